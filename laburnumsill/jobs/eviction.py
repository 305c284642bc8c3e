"""Which borrowers to stop to make room, cheapest first, whole gangs only."""

import dataclasses
from collections import abc

from laburnumsill.jobs import fit
from laburnumsill.state import jobs_book
from laburnumsill.state import jobs_messages
from laburnumsill.state import placements
from laburnumsill.state import workers

STOP_COST_S = 60.0
"""What stopping a gang costs besides the work it loses, in seconds."""

CORES_PER_ACCELERATOR = 16
"""Cores whose lost work is counted like that of one accelerator."""


@dataclasses.dataclass(frozen=True, slots=True)
class Room:
    """Slots that become free once the victims have stopped.

    Attributes:
        slots: One for each task.
        victims: Borrowing jobs to stop.
        cost: Work that the victims lose, in accelerator seconds.
        ready: Whether the slots are free already.
    """

    slots: fit.Slots
    victims: tuple[str, ...]
    cost: float
    ready: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Chunk:
    """A possible slot on a worker and what it costs to free it."""

    cost: float
    worker_id: str
    mask: int


class Costs:
    """What it costs to stop each borrower, as of one moment."""

    def __init__(self, book: jobs_book.JobBook, now: float) -> None:
        self._book = book
        self._now = now
        self._costs: dict[str, float] = {}

    def of(self, job_id: str) -> float:
        """Returns the cost of stopping a job; 0 if it stops already."""
        cost = self._costs.get(job_id)
        if cost is None:
            cost = self._cost(self._book.jobs[job_id])
            self._costs[job_id] = cost
        return cost

    def waive(self, job_ids: abc.Iterable[str]) -> None:
        """Counts jobs as stopped already: all their slots are free then."""
        for job_id in job_ids:
            self._costs[job_id] = 0.0

    def _cost(self, job: placements.Job) -> float:
        placement = job.placement
        if placement is None or placement.stopping is not None:
            return 0.0
        spec = job.spec
        size = max(
            spec.total_accelerators,
            spec.tasks * spec.cores / CORES_PER_ACCELERATOR,
        )
        ran = 0.0
        if job.started_at is not None and placement.running:
            ran = max(0.0, self._now - job.started_at)
        return size * (ran + STOP_COST_S)


def chunks_on(
    worker: workers.WorkerRecord, mask: int, size: int, costs: Costs
) -> list[Chunk]:
    """Divides accelerators of a worker into possible slots, cheapest first.

    Args:
        worker: The worker.
        mask: The accelerators that may be used; what runs on them is all
            borrowed.
        size: Accelerators of a slot; 0 is taken as 1 slot without any.
        costs: What stopping each borrower costs.
    """
    worker_id = worker.announced.worker_id
    if not size:
        return [Chunk(0.0, worker_id, 0)]
    left = [(0.0, mask & ~worker.used_mask)]
    for job_id, share in worker.tasks.items():
        part = share.mask & mask
        if part:
            left.append((costs.of(job_id), part))
    left.sort()
    chunks = []
    while sum(part.bit_count() for _, part in left) >= size:
        chunks.append(_next_chunk(worker_id, left, size))
    return chunks


def _next_chunk(
    worker_id: str, left: list[tuple[float, int]], size: int
) -> Chunk:
    """Takes the cheapest `size` accelerators out of `left`."""
    taken = 0
    cost = 0.0
    for place, (price, part) in enumerate(left):
        missing = size - taken.bit_count()
        if not missing:
            break
        if not part:
            continue
        cost += price
        got = workers.choose_mask(part, min(missing, part.bit_count()))
        taken |= got
        left[place] = (price, part & ~got)
    return Chunk(cost, worker_id, taken)


def settle(
    book: jobs_book.JobBook,
    job: placements.Job,
    chunks: abc.Sequence[Chunk],
    costs: Costs,
) -> Room | None:
    """Returns the room that chunks make, or None if cores never suffice."""
    spec = job.spec
    slots = tuple(jobs_messages.Slot(c.worker_id, c.mask) for c in chunks)
    in_way: dict[str, None] = {}
    by_worker: dict[str, tuple[int, int]] = {}
    for slot in slots:
        mask, count = by_worker.get(slot.worker_id, (0, 0))
        by_worker[slot.worker_id] = (mask | slot.mask, count + 1)
    for worker_id, (mask, _) in by_worker.items():
        for other, share in book.pool.workers[worker_id].tasks.items():
            if share.mask & mask:
                in_way[other] = None
    for worker_id, (_, count) in by_worker.items():
        worker = book.pool.workers[worker_id]
        more = _for_cores(book, worker, spec, count, in_way, costs)
        if more is None:
            return None
        in_way.update(dict.fromkeys(more))
    victims = tuple(v for v in in_way if not _is_stopping(book.jobs[v]))
    return Room(
        slots,
        victims,
        cost=sum(costs.of(victim) for victim in victims),
        ready=not in_way,
    )


def _is_stopping(job: placements.Job) -> bool:
    return job.placement is None or job.placement.stopping is not None


def _for_cores(
    book: jobs_book.JobBook,
    worker: workers.WorkerRecord,
    spec: jobs_messages.JobSpec,
    count: int,
    in_way: abc.Collection[str],
    costs: Costs,
) -> list[str] | None:
    """Returns further borrowers to stop so that cores and memory suffice."""
    cores = worker.announced.cores - worker.used_cores - spec.cores * count
    memory_gb = worker.announced.memory_gb - worker.used_memory_gb
    memory_gb -= spec.memory_gb * count
    rest = []
    for job_id, share in worker.tasks.items():
        other = book.jobs[job_id].spec
        if job_id in in_way:
            cores += other.cores * share.count
            memory_gb += other.memory_gb * share.count
        elif not other.guaranteed:
            rest.append(job_id)
    rest.sort(key=lambda job_id: (costs.of(job_id), job_id))
    more = []
    for job_id in rest:
        if cores >= 0 and memory_gb >= 0:
            break
        other = book.jobs[job_id].spec
        share = worker.tasks[job_id]
        cores += other.cores * share.count
        memory_gb += other.memory_gb * share.count
        more.append(job_id)
    return more if cores >= 0 and memory_gb >= 0 else None


def take(
    groups: abc.Iterable[abc.Sequence[Chunk]], count: int
) -> list[Chunk] | None:
    """Returns the `count` cheapest chunks, or None if there are fewer."""
    chunks = [chunk for group in groups for chunk in group]
    if len(chunks) < count:
        return None
    chunks.sort(key=lambda chunk: (chunk.cost, chunk.worker_id, chunk.mask))
    return chunks[:count]
