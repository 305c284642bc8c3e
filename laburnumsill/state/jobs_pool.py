"""The workers of a domain by rack, with indexes of the free capacity.

The indexes are updated with each change, so that the search for slots visits
a few racks and never all workers.
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
"""Accelerators of a task for which the free slots of racks are indexed."""

TRACKED_CORES = (1, 2, 4, 8, 16, 32)
"""Cores of a task for which the free slots of racks are indexed."""

_UNBOUNDED_COUNT = 1 << 60


@dataclasses.dataclass(frozen=True, slots=True)
class RackTotals:
    """Free capacity of a rack's usable workers, the keys of the indexes.

    Attributes:
        slots: Free slots for each of `TRACKED_SIZES`.
        partial: Those of them on workers that are partly in use.
        core_slots: Free slots for each of `TRACKED_CORES`.
        cores: Free cores.
    """

    slots: tuple[int, ...]
    partial: tuple[int, ...]
    core_slots: tuple[int, ...]
    cores: int


class Rack:
    """The workers of one rack.

    Attributes:
        name: The rack's name.
        accelerators: All accelerators, those of unusable workers too.
        workers: The workers by id.
        indexed_totals: The totals that the indexes hold, None if the rack is
            not indexed.
    """

    __slots__ = ("name", "accelerators", "workers", "indexed_totals")

    def __init__(self, name: str) -> None:
        self.name = name
        self.accelerators = 0
        self.workers: dict[str, workers.WorkerRecord] = {}
        self.indexed_totals: RackTotals | None = None

    def totals(self) -> RackTotals:
        """Returns the present totals over the usable workers."""
        slots = [0] * len(TRACKED_SIZES)
        partial = [0] * len(TRACKED_SIZES)
        core_slots = [0] * len(TRACKED_CORES)
        cores = 0
        for worker in self.workers.values():
            if not worker.usable:
                continue
            free_cores = max(0, worker.free_cores)
            cores += free_cores
            for position, size in enumerate(TRACKED_CORES):
                core_slots[position] += free_cores // size
            free = worker.free_mask.bit_count()
            if not free:
                continue
            is_partly_used = free < worker.announced.accelerators
            for position, size in enumerate(TRACKED_SIZES):
                count = free // size
                slots[position] += count
                if is_partly_used:
                    partial[position] += count
        return RackTotals(
            tuple(slots), tuple(partial), tuple(core_slots), cores
        )


class Pool:
    """All workers of a domain, with indexes of the free capacity of racks.

    Attributes:
        workers: The workers by id.
        racks: The racks by name.
        accelerators: All accelerators, those of unusable workers too.
        cores: All cores, those of unusable workers too.
        free_accelerators: Free accelerators of usable workers.
        free_cores: Free cores of usable workers.
        freed: Counter that increases whenever slots may have become free.
    """

    def __init__(self) -> None:
        self.workers: dict[str, workers.WorkerRecord] = {}
        self.racks: dict[str, Rack] = {}
        self.accelerators = 0
        self.cores = 0
        self.free_accelerators = 0
        self.free_cores = 0
        self.freed = 0
        self._slots = [_new_index() for _ in TRACKED_SIZES]
        self._partial = [_new_index() for _ in TRACKED_SIZES]
        self._core_slots = [_new_index() for _ in TRACKED_CORES]
        self._deferred: set[str] | None = None

    @contextlib.contextmanager
    def deferred(self) -> abc.Iterator[None]:
        """Defers index updates: each changed rack is indexed once, at exit."""
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
        self.reindex(own.worker_id)
        self.freed += 1

    def remove(self, worker_id: str) -> None:
        """Removes a worker; an unknown one is ignored."""
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

    def reindex(self, worker_id: str) -> None:
        """Updates the indexes after a change of a worker's record."""
        self._reindex(self.racks[self.workers[worker_id].announced.rack])

    def occupy(
        self,
        job_id: str,
        spec: jobs_messages.JobSpec,
        slots: abc.Sequence[jobs_messages.Slot],
    ) -> None:
        """Marks the slots of a job's tasks as in use."""
        for slot in slots:
            worker = self.workers[slot.worker_id]
            worker.used_mask |= slot.mask
            worker.used_cores += spec.cores
            worker.used_memory_gb += spec.memory_gb
            share = worker.tasks.setdefault(job_id, workers.JobShare())
            share.mask |= slot.mask
            share.count += 1
        self._reindex_all(slots)

    def release(
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

    def reserve(
        self,
        job_id: str,
        spec: jobs_messages.JobSpec,
        slots: abc.Sequence[jobs_messages.Slot],
    ) -> None:
        """Reserves slots, in use or not, for a job."""
        for slot in slots:
            worker = self.workers[slot.worker_id]
            worker.holds[job_id] = worker.holds.get(job_id, 0) | slot.mask
            worker.held_mask |= slot.mask
            worker.held_cores += spec.cores
            worker.held_memory_gb += spec.memory_gb
        self._reindex_all(slots)

    def unreserve(
        self,
        job_id: str,
        spec: jobs_messages.JobSpec,
        slots: abc.Sequence[jobs_messages.Slot],
    ) -> None:
        """Cancels the reservation of a job."""
        for slot in slots:
            worker = self.workers[slot.worker_id]
            worker.holds.pop(job_id, None)
            worker.held_mask &= ~slot.mask
            worker.held_cores -= spec.cores
            worker.held_memory_gb -= spec.memory_gb
        self._reindex_all(slots)
        self.freed += 1

    def racks_with(self, count: int, size: int) -> abc.Iterator[Rack]:
        """Yields racks with `count` free slots, those with fewest first.

        Args:
            count: Number of tasks that have to fit.
            size: Accelerators of a task, above 0. If it is not in
                `TRACKED_SIZES`, the next smaller tracked size is used and a
                yielded rack may be too small.
        """
        yield from self._racks_from(
            self._slots[_size_index(TRACKED_SIZES, size)], count
        )

    def partly_used_racks_with(self, size: int) -> abc.Iterator[Rack]:
        """Yields racks with a free slot on a partly used worker.

        Racks with the fewest such slots come first.
        """
        yield from self._racks_from(
            self._partial[_size_index(TRACKED_SIZES, size)], 1
        )

    def racks_with_cores(self, count: int, cores: int) -> abc.Iterator[Rack]:
        """Yields racks with `count` free slots of `cores` cores.

        Racks without a free accelerator come first, so that free accelerators
        are not left without cores; then racks with the fewest free slots.
        """
        index = self._core_slots[_size_index(TRACKED_CORES, cores)]
        for has_accelerators in (False, True):
            low = ((has_accelerators, count), "")
            high = ((has_accelerators, _UNBOUNDED_COUNT), "")
            for _, name in index.irange(low, high):
                yield self.racks[name]

    def racks_by_size(self, accelerators: int) -> abc.Iterator[Rack]:
        """Yields racks with at least that number of accelerators.

        Racks with the most free accelerators come first.
        """
        for _, name in reversed(self._slots[0]):
            rack = self.racks[name]
            if rack.accelerators >= accelerators:
                yield rack

    def _racks_from(
        self, index: sortedcontainers.SortedList, min_count: int
    ) -> abc.Iterator[Rack]:
        for _, name in index.irange((min_count, "")):
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
        rack.indexed_totals = rack.totals()
        self._count_free(rack, 1)
        for index, key in self._index_entries(rack):
            index.add((key, rack.name))

    def _unindex(self, rack: Rack) -> None:
        if rack.indexed_totals is not None:
            for index, key in self._index_entries(rack):
                index.discard((key, rack.name))
            self._count_free(rack, -1)
            rack.indexed_totals = None

    def _count_free(self, rack: Rack, sign: int) -> None:
        if rack.indexed_totals is not None:
            self.free_accelerators += sign * rack.indexed_totals.slots[0]
            self.free_cores += sign * rack.indexed_totals.cores

    def _index_entries(
        self, rack: Rack
    ) -> abc.Iterator[tuple[sortedcontainers.SortedList, typing.Any]]:
        indexed_totals = rack.indexed_totals
        if indexed_totals is None:
            return
        yield from zip(self._slots, indexed_totals.slots, strict=True)
        yield from zip(self._partial, indexed_totals.partial, strict=True)
        has_accelerators = indexed_totals.slots[0] > 0
        for index, count in zip(
            self._core_slots, indexed_totals.core_slots, strict=True
        ):
            yield index, (has_accelerators, count)


def _new_index() -> sortedcontainers.SortedList:
    return sortedcontainers.SortedList()


def _size_index(tracked: tuple[int, ...], size: int) -> int:
    """Returns the position of the largest tracked size up to `size`."""
    return max(0, bisect.bisect_right(tracked, size) - 1)
