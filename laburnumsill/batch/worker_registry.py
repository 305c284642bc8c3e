"""The present and the removed workers of the ledger."""

from collections import abc

import msgspec

from laburnumsill.batch import model

MAX_SLOT_COUNTS = 1_000
"""Maximum number of cached results of `WorkerRegistry.slots_in`; the users
have some dozens of distinct amounts a day."""

MAX_ABSENT_WORKERS = 1_000
"""Maximum number of removed workers whose last recorded end, or whose last
announcement, is kept.

A worker that was removed as unreachable may return after a network partition.
It may then report ends that were recorded before, and its announcements from
before a drain may arrive late. The numbers take some 20 bytes a worker.
"""


class WorkerRegistry:
    """The workers of the ledger.

    Attributes:
        workers: The present workers, by id.
        last_ends: By worker id: number of the last recorded end.
        sequences: By worker id: sequence number of the last applied
            announcement.
        ended: By worker id: when an incarnation ended, ms since 1970; holds
            only incarnations that are known to have ended.

    Examples:
        >>> registry = WorkerRegistry()
        >>> capacity = model.Resources(4, 4, 4)
        >>> worker = model.Worker("w", "p", "a:1", "d", capacity)
        >>> registry.put(worker, 3), registry.put(worker, 2)
        (True, False)
        >>> registry.remove("w", ended_ms=5)
        >>> registry.put(worker, 4)
        False
    """

    def __init__(self) -> None:
        self.workers: dict[str, model.Worker] = {}
        self.last_ends: dict[str, int] = {}
        self.sequences: dict[str, int] = {}
        self.ended: dict[str, int] = {}
        self._excluded_domains: abc.Set[str] = frozenset()
        self._slot_counts: dict[tuple[str, model.Resources], int] = {}

    def slots_in(self, pool: str, needs: model.Resources) -> int:
        """Returns how many copies of an amount fit into a pool's workers.

        Counts the total capacity of the workers, not the free capacity, and
        leaves out the workers in excluded failure domains.
        """
        key = (pool, needs)
        if key not in self._slot_counts:
            if len(self._slot_counts) >= MAX_SLOT_COUNTS:
                self._slot_counts.clear()
            self._slot_counts[key] = sum(
                needs.copies_in(worker.capacity)
                for worker in self.workers.values()
                if worker.pool == pool
                and worker.domain not in self._excluded_domains
            )
        return self._slot_counts[key]

    def set_excluded_domains(self, domains: abc.Set[str]) -> None:
        """Sets the failure domains whose workers `slots_in` leaves out."""
        self._excluded_domains = domains
        self._slot_counts.clear()

    def put(self, worker: model.Worker, sequence: int) -> bool:
        """Applies an announcement of a worker; returns whether it was applied.

        An announcement that arrives after a later one, or after its sender
        has announced its end, is ignored.
        """
        worker_id = worker.worker_id
        is_stale = sequence < self.sequences.get(worker_id, 0)
        if is_stale or worker_id in self.ended or self.is_departing(worker_id):
            return False
        self.workers[worker_id] = worker
        self._slot_counts.clear()
        self.sequences[worker_id] = sequence
        return True

    def is_departing(self, worker_id: str) -> bool:
        """Returns whether a present worker has announced its end."""
        worker = self.workers.get(worker_id)
        return worker is not None and worker.departing

    def depart(self, worker_id: str) -> None:
        """Records that a present worker has announced its end."""
        self.workers[worker_id] = msgspec.structs.replace(
            self.workers[worker_id], draining=True, departing=True
        )

    def record_ends(self, worker_id: str, last: int) -> None:
        """Records the number of a worker's last recorded end."""
        if worker_id not in self.ended:
            self.last_ends[worker_id] = last

    def remove(self, worker_id: str, ended_ms: int) -> None:
        """Removes a worker.

        A worker that is not known to have ended may return, so the number of
        its last recorded end is kept, and that of its last announcement if it
        was draining.

        Args:
            worker_id: The worker.
            ended_ms: When it ended, ms since 1970; 0 if that is not known.
        """
        worker = self.workers.pop(worker_id, None)
        self._slot_counts.clear()
        if ended_ms:
            self.last_ends.pop(worker_id, None)
            self.ended[worker_id] = ended_ms
        was_active = worker is not None and not worker.draining
        if ended_ms or was_active:
            self.sequences.pop(worker_id, None)
        self._trim_absent(self.last_ends)
        self._trim_absent(self.sequences)

    def forget(self, before_ms: int) -> None:
        """Deletes the incarnations that ended before a time."""
        self.ended = {
            worker_id: ended_ms
            for worker_id, ended_ms in self.ended.items()
            if ended_ms >= before_ms
        }

    def named(self, name: str) -> abc.Iterator[model.Worker]:
        """Yields the present incarnations that calls to a name may reach."""
        return (
            worker
            for worker in self.workers.values()
            if worker.call_name == name
        )

    def _trim_absent(self, numbers: dict[str, int]) -> None:
        """Deletes the oldest entries of absent workers above the maximum."""
        absent = [key for key in numbers if key not in self.workers]
        for worker_id in absent[: max(0, len(absent) - MAX_ABSENT_WORKERS)]:
            del numbers[worker_id]
