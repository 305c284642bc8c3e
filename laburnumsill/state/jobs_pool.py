"""All workers of a domain, by rack, with indexes over what is free.

The indexes are kept up with each change, so that finding a place looks at a
few racks and never at all workers.
"""

import bisect
import contextlib
import dataclasses
import typing
from collections import abc

import sortedcontainers

from laburnumsill.state import jobs_messages
from laburnumsill.state import workers

TRACKED_SIZES = (1, 2, 4, 8)
"""Accelerators of a task for which the free slots of a rack are indexed."""

TRACKED_CORES = (1, 2, 4, 8, 16, 32)
"""Cores of a task for which the free slots of a rack are indexed."""

UNBOUNDED = 1 << 60


@dataclasses.dataclass(frozen=True, slots=True)
class Sums:
    """What of a rack the indexes are made of.

    Attributes:
        slots: Free slots for each of `TRACKED_SIZES`.
        partial: Those of them on workers that are in use already.
        core_slots: Free slots for each of `TRACKED_CORES`.
        cores: Free cores.
    """

    slots: tuple[int, ...]
    partial: tuple[int, ...]
    core_slots: tuple[int, ...]
    cores: int


class Rack:
    """The workers of one rack and the sums that the indexes are made of."""

    __slots__ = ("name", "accelerators", "workers", "keys")

    def __init__(self, name: str) -> None:
        self.name = name
        self.accelerators = 0
        self.workers: dict[str, workers.WorkerRecord] = {}
        self.keys: Sums | None = None

    def sums(self) -> Sums:
        """Returns the sums over the usable workers as they are now."""
        slots = [0] * len(TRACKED_SIZES)
        partial = [0] * len(TRACKED_SIZES)
        core_slots = [0] * len(TRACKED_CORES)
        cores = 0
        for worker in self.workers.values():
            if not worker.usable:
                continue
            free_cores = max(0, worker.free_cores)
            cores += free_cores
            for place, size in enumerate(TRACKED_CORES):
                core_slots[place] += free_cores // size
            free = worker.free_mask.bit_count()
            if not free:
                continue
            broken = free < worker.announced.accelerators
            for place, size in enumerate(TRACKED_SIZES):
                count = free // size
                slots[place] += count
                if broken:
                    partial[place] += count
        return Sums(tuple(slots), tuple(partial), tuple(core_slots), cores)


class Pool:
    """All workers of a domain, with indexes by rack.

    Attributes:
        workers: By id.
        racks: By name.
        accelerators: All accelerators, those of unusable workers too.
        cores: All cores.
        free_accelerators: Those free on usable workers.
        free_cores: Cores free on usable workers.
        freed: Grows whenever a place may have become free.
    """

    def __init__(self) -> None:
        self.workers: dict[str, workers.WorkerRecord] = {}
        self.racks: dict[str, Rack] = {}
        self.accelerators = 0
        self.cores = 0
        self.free_accelerators = 0
        self.free_cores = 0
        self.freed = 0
        self._slots = [_index() for _ in TRACKED_SIZES]
        self._partial = [_index() for _ in TRACKED_SIZES]
        self._core_slots = [_index() for _ in TRACKED_CORES]
        self._deferred: set[str] | None = None

    @contextlib.contextmanager
    def deferred(self) -> abc.Iterator[None]:
        """Brings each changed rack's indexes up to date once, at the end."""
        self._deferred = set()
        try:
            yield
        finally:
            names, self._deferred = self._deferred, None
            for name in names:
                if name in self.racks:
                    self._reindex(self.racks[name])

    def put(self, record: workers.WorkerRecord) -> None:
        """Adds a worker or replaces its record."""
        self.remove(record.announced.worker_id)
        own = record.announced
        self.workers[own.worker_id] = record
        rack = self.racks.get(own.rack)
        if rack is None:
            rack = self.racks[own.rack] = Rack(own.rack)
        rack.workers[own.worker_id] = record
        rack.accelerators += own.accelerators
        self.accelerators += own.accelerators
        self.cores += own.cores
        self.changed(own.worker_id)
        self.freed += 1

    def remove(self, worker_id: str) -> None:
        """Forgets a worker; an unknown one is ignored."""
        record = self.workers.pop(worker_id, None)
        if record is None:
            return
        rack = self.racks[record.announced.rack]
        del rack.workers[worker_id]
        rack.accelerators -= record.announced.accelerators
        self.accelerators -= record.announced.accelerators
        self.cores -= record.announced.cores
        self._reindex(rack)
        if not rack.workers:
            del self.racks[rack.name]

    def changed(self, worker_id: str) -> None:
        """Brings the indexes up to date with one worker's record."""
        self._reindex(self.racks[self.workers[worker_id].announced.rack])

    def take(
        self,
        job_id: str,
        spec: jobs_messages.JobSpec,
        slots: abc.Sequence[jobs_messages.Slot],
    ) -> None:
        """Marks the slots of a job's tasks as used."""
        for slot in slots:
            worker = self.workers[slot.worker_id]
            worker.used_mask |= slot.mask
            worker.used_cores += spec.cores
            worker.used_memory_gb += spec.memory_gb
            share = worker.tasks.setdefault(job_id, workers.OnWorker())
            share.mask |= slot.mask
            share.count += 1
        self._reindex_all(slots)

    def give_back(
        self,
        job_id: str,
        spec: jobs_messages.JobSpec,
        slots: abc.Sequence[jobs_messages.Slot],
    ) -> None:
        """Marks the slots of a job's tasks as free."""
        for slot in slots:
            worker = self.workers[slot.worker_id]
            worker.used_mask &= ~slot.mask
            worker.used_cores -= spec.cores
            worker.used_memory_gb -= spec.memory_gb
            worker.tasks.pop(job_id, None)
        self._reindex_all(slots)
        self.freed += 1

    def hold(
        self,
        job_id: str,
        spec: jobs_messages.JobSpec,
        slots: abc.Sequence[jobs_messages.Slot],
    ) -> None:
        """Keeps slots, in use or not, for a job: no other gets them."""
        for slot in slots:
            worker = self.workers[slot.worker_id]
            worker.holds[job_id] = worker.holds.get(job_id, 0) | slot.mask
            worker.held_mask |= slot.mask
            worker.held_cores += spec.cores
            worker.held_memory_gb += spec.memory_gb
        self._reindex_all(slots)

    def drop(
        self,
        job_id: str,
        spec: jobs_messages.JobSpec,
        slots: abc.Sequence[jobs_messages.Slot],
    ) -> None:
        """Ends the hold of a job."""
        for slot in slots:
            worker = self.workers[slot.worker_id]
            worker.holds.pop(job_id, None)
            worker.held_mask &= ~slot.mask
            worker.held_cores -= spec.cores
            worker.held_memory_gb -= spec.memory_gb
        self._reindex_all(slots)
        self.freed += 1

    def racks_with(self, count: int, size: int) -> abc.Iterator[Rack]:
        """Yields racks with `count` free slots of `size`, fullest first.

        Args:
            count: Tasks that have to fit.
            size: Accelerators of a task, above 0. Between tracked sizes the
                rack may turn out too small.
        """
        yield from self._from(self._slots[_place(TRACKED_SIZES, size)], count)

    def broken_racks_with(self, size: int) -> abc.Iterator[Rack]:
        """Yields racks with a free slot on a worker already in use."""
        yield from self._from(self._partial[_place(TRACKED_SIZES, size)], 1)

    def racks_with_cores(self, count: int, cores: int) -> abc.Iterator[Rack]:
        """Yields racks with `count` free slots of `cores` cores.

        Racks without a free accelerator come first, so that none is left
        without cores; then the fullest.
        """
        index = self._core_slots[_place(TRACKED_CORES, cores)]
        for has_accelerators in (False, True):
            least = ((has_accelerators, count), "")
            most = ((has_accelerators, UNBOUNDED), "")
            for _, name in index.irange(least, most):
                yield self.racks[name]

    def racks_by_size(self, accelerators: int) -> abc.Iterator[Rack]:
        """Yields racks with so many accelerators, most free ones first."""
        for _, name in reversed(self._slots[0]):
            rack = self.racks[name]
            if rack.accelerators >= accelerators:
                yield rack

    def _from(
        self, index: sortedcontainers.SortedList, least: int
    ) -> abc.Iterator[Rack]:
        for _, name in index.irange((least, "")):
            yield self.racks[name]

    def _reindex_all(self, slots: abc.Sequence[jobs_messages.Slot]) -> None:
        names = {self.workers[slot.worker_id].announced.rack for slot in slots}
        for name in names:
            self._reindex(self.racks[name])

    def _reindex(self, rack: Rack) -> None:
        if self._deferred is not None:
            self._deferred.add(rack.name)
            return
        self._unindex(rack)
        if not rack.workers:
            return
        rack.keys = rack.sums()
        self._count_free(rack, 1)
        for index, key in self._entries(rack):
            index.add((key, rack.name))

    def _unindex(self, rack: Rack) -> None:
        if rack.keys is not None:
            for index, key in self._entries(rack):
                index.discard((key, rack.name))
            self._count_free(rack, -1)
            rack.keys = None

    def _count_free(self, rack: Rack, sign: int) -> None:
        if rack.keys is not None:
            self.free_accelerators += sign * rack.keys.slots[0]
            self.free_cores += sign * rack.keys.cores

    def _entries(
        self, rack: Rack
    ) -> abc.Iterator[tuple[sortedcontainers.SortedList, typing.Any]]:
        keys = rack.keys
        if keys is None:
            return
        yield from zip(self._slots, keys.slots, strict=True)
        yield from zip(self._partial, keys.partial, strict=True)
        has_accelerators = keys.slots[0] > 0
        for index, count in zip(self._core_slots, keys.core_slots, strict=True):
            yield index, (has_accelerators, count)


def _index() -> sortedcontainers.SortedList:
    return sortedcontainers.SortedList()


def _place(tracked: tuple[int, ...], size: int) -> int:
    """Returns the position of the largest tracked size up to `size`."""
    return max(0, bisect.bisect_right(tracked, size) - 1)
