"""What the ledger remembers of workers, those that are gone included."""

from collections import abc

from laburnumsill.batch import model

MAX_SLOT_COUNTS = 1_000
"""Amounts for which it is remembered how often they fit into a pool; a day of
the users has some dozens."""

MAX_ABSENT_WORKERS = 1_000
"""Workers that were removed for their silence and of which it is remembered,
in some 20 bytes each, what may arrive or be listed once more when a cut heals:
ends that are noted, and announcements from before a drain."""


class WorkerBook:
    """Workers, and what was heard of them last.

    Attributes:
        workers: Those that are known, by id.
        noted: The place up to which a worker's ends are noted.
        sequences: Which announcement of a worker is gone by.
        ended: When incarnations have certainly ended, ms since 1970.

    Examples:
        >>> book = WorkerBook()
        >>> one = model.Worker("w", "p", "a:1", "d", model.Resources(4, 4, 4))
        >>> book.put(one, 3), book.put(one, 2)
        (True, False)
        >>> book.remove("w", ended_ms=5)
        >>> book.put(one, 4)
        False
    """

    def __init__(self) -> None:
        self.workers: dict[str, model.Worker] = {}
        self.noted: dict[str, int] = {}
        self.sequences: dict[str, int] = {}
        self.ended: dict[str, int] = {}
        self._slots: dict[tuple[str, model.Resources], int] = {}

    def slots_in(self, pool: str, needs: model.Resources) -> int:
        """Returns how many times an amount fits into a pool's workers."""
        key = (pool, needs)
        if key not in self._slots:
            if len(self._slots) >= MAX_SLOT_COUNTS:
                self._slots.clear()
            self._slots[key] = sum(
                needs.times_in(worker.capacity)
                for worker in self.workers.values()
                if worker.pool == pool
            )
        return self._slots[key]

    def put(self, worker: model.Worker, sequence: int) -> bool:
        """Takes what a worker says of itself; returns whether it counts.

        An announcement may arrive after later ones, and also after the end
        of its sender: such a one changes nothing.
        """
        worker_id = worker.worker_id
        overtaken = sequence < self.sequences.get(worker_id, 0)
        if overtaken or worker_id in self.ended:
            return False
        self.workers[worker_id] = worker
        self._slots.clear()
        self.sequences[worker_id] = sequence
        return True

    def note_ends(self, worker_id: str, last: int) -> None:
        """Takes note up to which place a worker's ends are noted."""
        if worker_id not in self.ended:
            self.noted[worker_id] = last

    def remove(self, worker_id: str, ended_ms: int) -> None:
        """Forgets a worker.

        Args:
            worker_id: The worker.
            ended_ms: When it has certainly ended, ms since 1970, or 0.
        """
        known = self.workers.pop(worker_id, None)
        self._slots.clear()
        if ended_ms:
            self.noted.pop(worker_id, None)
            self.ended[worker_id] = ended_ms
        ready = known is not None and not known.draining
        if ended_ms or ready:
            self.sequences.pop(worker_id, None)
        self._forget_absent(self.noted)
        self._forget_absent(self.sequences)

    def forget(self, before_ms: int) -> None:
        """Forgets the incarnations that ended before a time."""
        self.ended = {
            worker_id: ended_ms
            for worker_id, ended_ms in self.ended.items()
            if ended_ms >= before_ms
        }

    def named(self, name: str) -> abc.Iterator[model.Worker]:
        """Yields the known incarnations that calls to a name may reach."""
        return (one for one in self.workers.values() if one.call_name == name)

    def _forget_absent(self, known: dict[str, int]) -> None:
        """Forgets what is known of the workers that are gone the longest."""
        absent = [one for one in known if one not in self.workers]
        for worker_id in absent[: max(0, len(absent) - MAX_ABSENT_WORKERS)]:
            del known[worker_id]
