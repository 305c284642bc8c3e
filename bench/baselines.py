"""The policies that the planner is measured against."""

import abc
import collections
from collections import abc as collections_abc

import sortedcontainers

from bench import virtual_domain
from laburnumsill.jobs import fit
from laburnumsill.jobs import steps
from laburnumsill.state import jobs_book
from laburnumsill.state import jobs_messages
from laburnumsill.state import placements


class Fifo(virtual_domain.Placing):
    """Strictly in the order of submission: the first one holds up all."""

    claims = False

    def __init__(self) -> None:
        self._queue: sortedcontainers.SortedList = sortedcontainers.SortedList(
            key=_number
        )

    def submitted(self, job_id: str) -> None:
        """Puts a job at its place in the order of submission."""
        self._queue.add(job_id)

    def steps(
        self, book: jobs_book.JobBook, now: float
    ) -> collections_abc.Iterator[steps.Command]:
        """Places jobs until the first that does not fit."""
        while self._queue:
            job = book.jobs[self._queue[0]]
            slots = self._fit(book, job)
            if slots is None:
                return
            self._queue.pop(0)
            yield _place(job, slots, now)

    @abc.abstractmethod
    def _fit(
        self, book: jobs_book.JobBook, job: placements.Job
    ) -> fit.Slots | None:
        """Returns free slots for a job, or None."""


class FifoFirstFit(Fifo):
    """FIFO on the first workers, by name, that have room."""

    def _fit(
        self, book: jobs_book.JobBook, job: placements.Job
    ) -> fit.Slots | None:
        spec = job.spec
        for rack in book.pool.racks.values():
            slots: list[jobs_messages.Slot] = []
            for worker in rack.workers.values():
                wanted = min(worker.room(spec), spec.tasks - len(slots))
                slots += _lowest(worker.free_mask, spec, wanted, worker)
            if len(slots) == spec.tasks:
                return tuple(slots)
        return None


class FifoBestFit(Fifo):
    """FIFO with the production planner's best fit."""

    def _fit(
        self, book: jobs_book.JobBook, job: placements.Job
    ) -> fit.Slots | None:
        return fit.find_free(book.pool, job.spec)


class Easy(FifoBestFit):
    """FIFO best fit with EASY backfill on the declared run times.

    A later job may go first if by its declared time it ends before the
    first one can start, by the declared times of what runs.

    References:
        D. Lifka, "The ANL/IBM SP Scheduling System", JSSPP 1995.
    """

    def steps(
        self, book: jobs_book.JobBook, now: float
    ) -> collections_abc.Iterator[steps.Command]:
        """Places the first jobs, then those that do not delay the next."""
        yield from super().steps(book, now)
        if not self._queue:
            return
        head = book.jobs[self._queue[0]]
        shadow = _shadow(book, head, now)
        for job_id in list(self._queue)[1:]:
            job = book.jobs[job_id]
            if now + (job.spec.estimated_run_s or 0.0) > shadow:
                continue
            slots = self._fit(book, job)
            if slots is not None:
                self._queue.remove(job_id)
                yield _place(job, slots, now)


def _shadow(book: jobs_book.JobBook, head: placements.Job, now: float) -> float:
    """Returns when the first job can start by what is declared."""
    free: collections.Counter[str] = collections.Counter()
    rooms = {}
    for name, worker in book.pool.workers.items():
        free[name] = worker.free_mask.bit_count()
        rooms[name] = worker.announced.rack
    ends = sorted(
        (
            max(
                now,
                (job.started_at or now) + (job.spec.estimated_run_s or 0.0),
            ),
            job.job_id,
        )
        for job in book.live.values()
    )
    for at, job_id in ends:
        for slot in book.jobs[job_id].slots:
            free[slot.worker_id] += slot.mask.bit_count()
        by_rack: collections.Counter[str] = collections.Counter()
        for name, count in free.items():
            by_rack[rooms[name]] += count // head.spec.accelerators
        if max(by_rack.values()) >= head.spec.tasks:
            return at
    return now


def _lowest(
    free: int,
    spec: jobs_messages.JobSpec,
    count: int,
    worker: object,
) -> list[jobs_messages.Slot]:
    slots = []
    bits = [1 << n for n in range(free.bit_length()) if free >> n & 1]
    name = worker.announced.worker_id  # type: ignore[attr-defined]
    for _ in range(count):
        mask = sum(bits[: spec.accelerators])
        bits = bits[spec.accelerators :]
        slots.append(jobs_messages.Slot(name, mask))
    return slots


def _place(
    job: placements.Job, slots: fit.Slots, now: float
) -> jobs_messages.PlaceJob:
    return jobs_messages.PlaceJob(job.job_id, job.epoch + 1, slots, now)


def _number(job_id: str) -> int:
    return int(job_id.rpartition(".")[2])
