"""Selection of the borrowers to preempt, cheapest first, whole gangs only."""

import dataclasses
from collections import abc

from laburnumsill.jobs import fit
from laburnumsill.state import jobs_book
from laburnumsill.state import jobs_messages
from laburnumsill.state import placements
from laburnumsill.state import workers

PREEMPTION_COST_S = 60.0
"""Fixed cost of preempting a gang besides its lost work, in seconds."""

CORES_PER_ACCELERATOR = 16
"""Cores whose lost work costs as much as that of one accelerator."""


@dataclasses.dataclass(frozen=True, slots=True)
class PreemptionPlan:
    """Slots that are free once the victims have stopped.

    Attributes:
        slots: One for each task.
        victims: Borrowing jobs to preempt.
        cost: Cost of preempting the victims, in accelerator seconds.
        ready: Whether the slots are free already.
    """

    slots: fit.Slots
    victims: tuple[str, ...]
    cost: float
    ready: bool


@dataclasses.dataclass(frozen=True, slots=True)
class CandidateSlot:
    """A possible slot on a worker, and the cost of freeing it."""

    cost: float
    worker_id: str
    mask: int


class PreemptionCosts:
    """Costs of preempting each borrower at one point in time."""

    def __init__(self, book: jobs_book.JobBook, now: float) -> None:
        self._book = book
        self._now = now
        self._costs: dict[str, float] = {}

    def of(self, job_id: str) -> float:
        """Returns the cost of preempting a job; 0 if it is stopping."""
        cost = self._costs.get(job_id)
        if cost is None:
            cost = self._cost(self._book.jobs[job_id])
            self._costs[job_id] = cost
        return cost

    def waive(self, job_ids: abc.Iterable[str]) -> None:
        """Sets the cost of jobs to 0, as if they were stopping already."""
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
        return size * (ran + PREEMPTION_COST_S)


def split_into_slots(
    worker: workers.WorkerRecord, mask: int, size: int, costs: PreemptionCosts
) -> list[CandidateSlot]:
    """Divides accelerators of a worker into candidate slots, cheapest first.

    Args:
        worker: The worker.
        mask: The accelerators that may be used; only borrowers run on them.
        size: Accelerators of a slot; 0 gives one slot without accelerators.
        costs: The costs of preempting borrowers.
    """
    worker_id = worker.announced.worker_id
    if not size:
        return [CandidateSlot(0.0, worker_id, 0)]
    available = [(0.0, mask & ~worker.used_mask)]
    for job_id, share in worker.tasks.items():
        part = share.mask & mask
        if part:
            available.append((costs.of(job_id), part))
    available.sort()
    candidates = []
    while sum(part.bit_count() for _, part in available) >= size:
        candidates.append(_next_candidate(worker_id, available, size))
    return candidates


def _next_candidate(
    worker_id: str, available: list[tuple[float, int]], size: int
) -> CandidateSlot:
    """Removes the cheapest `size` accelerators from `available`."""
    taken = 0
    cost = 0.0
    for place, (price, part) in enumerate(available):
        missing = size - taken.bit_count()
        if not missing:
            break
        if not part:
            continue
        cost += price
        chosen = workers.choose_mask(part, min(missing, part.bit_count()))
        taken |= chosen
        available[place] = (price, part & ~chosen)
    return CandidateSlot(cost, worker_id, taken)


def plan_preemption(
    book: jobs_book.JobBook,
    job: placements.Job,
    candidates: abc.Sequence[CandidateSlot],
    costs: PreemptionCosts,
) -> PreemptionPlan | None:
    """Returns the plan that frees the given slots for a job, or None.

    Further borrowers on the same workers are preempted if cores or memory are
    short; None means that even this does not suffice.
    """
    spec = job.spec
    slots = tuple(jobs_messages.Slot(c.worker_id, c.mask) for c in candidates)
    blocking: dict[str, None] = {}
    by_worker: dict[str, tuple[int, int]] = {}
    for slot in slots:
        mask, count = by_worker.get(slot.worker_id, (0, 0))
        by_worker[slot.worker_id] = (mask | slot.mask, count + 1)
    for worker_id, (mask, _) in by_worker.items():
        for other, share in book.pool.workers[worker_id].tasks.items():
            if share.mask & mask:
                blocking[other] = None
    for worker_id, (_, count) in by_worker.items():
        worker = book.pool.workers[worker_id]
        more = _victims_for_cores(book, worker, spec, count, blocking, costs)
        if more is None:
            return None
        blocking.update(dict.fromkeys(more))
    victims = tuple(v for v in blocking if not _is_stopping(book.jobs[v]))
    return PreemptionPlan(
        slots,
        victims,
        cost=sum(costs.of(victim) for victim in victims),
        ready=not blocking,
    )


def _is_stopping(job: placements.Job) -> bool:
    return job.placement is None or job.placement.stopping is not None


def _victims_for_cores(
    book: jobs_book.JobBook,
    worker: workers.WorkerRecord,
    spec: jobs_messages.JobSpec,
    count: int,
    blocking: abc.Collection[str],
    costs: PreemptionCosts,
) -> list[str] | None:
    """Returns the further borrowers to preempt on a worker, or None.

    `blocking` are the jobs that stop in any case. None means that cores or
    memory stay short even if all borrowers stop.
    """
    cores = worker.announced.cores - worker.used_cores - spec.cores * count
    memory_gb = worker.announced.memory_gb - worker.used_memory_gb
    memory_gb -= spec.memory_gb * count
    others = []
    for job_id, share in worker.tasks.items():
        other = book.jobs[job_id].spec
        if job_id in blocking:
            cores += other.cores * share.count
            memory_gb += other.memory_gb * share.count
        elif not other.guaranteed:
            others.append(job_id)
    others.sort(key=lambda job_id: (costs.of(job_id), job_id))
    more = []
    for job_id in others:
        if cores >= 0 and memory_gb >= 0:
            break
        other = book.jobs[job_id].spec
        share = worker.tasks[job_id]
        cores += other.cores * share.count
        memory_gb += other.memory_gb * share.count
        more.append(job_id)
    return more if cores >= 0 and memory_gb >= 0 else None


def cheapest_slots(
    groups: abc.Iterable[abc.Sequence[CandidateSlot]], count: int
) -> list[CandidateSlot] | None:
    """Returns the `count` cheapest slots, or None if there are fewer."""
    candidates = [candidate for group in groups for candidate in group]
    if len(candidates) < count:
        return None
    candidates.sort(
        key=lambda candidate: (
            candidate.cost,
            candidate.worker_id,
            candidate.mask,
        )
    )
    return candidates[:count]
