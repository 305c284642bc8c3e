"""Choosing the slots that are kept free for a gang that waits.

No new work gets the slots; what runs on them ends by itself or is stopped
like any borrower for a claim. Only smaller borrowers are drained, and each
is stopped for gangs a few times at most, so that gangs do not go on
stopping one another.
"""

from laburnumsill.jobs import eviction
from laburnumsill.jobs import policy as policies
from laburnumsill.state import jobs_book
from laburnumsill.state import placements

CANDIDATES = 16
"""Racks that are compared."""

MAX_STOPS = 2
"""How often a job is stopped so that gangs can start."""

STOP_FACTOR = 2.0
"""A gang that has waited this many bounds has borrowers stopped for it."""


def may_stop(
    other: placements.Job,
    gang: placements.Job,
    policy: policies.Policy,
    now: float,
) -> bool:
    """Returns whether a borrower may be stopped for a gang.

    A smaller one may at any time; one as large only for a gang that has
    waited twice its bound, and once it has itself run for the bound.
    """
    if other.spec.guaranteed or other.interruptions >= MAX_STOPS:
        return False
    if other.spec.total_accelerators < gang.spec.total_accelerators:
        return True
    bound = policy.gang_wait_bound_s
    ran = now - (other.started_at or now)
    return now - gang.queued_at > STOP_FACTOR * bound and ran > bound


def find_drain(
    book: jobs_book.JobBook,
    job: placements.Job,
    policy: policies.Policy,
    now: float,
) -> eviction.Room | None:
    """Returns the slots that are cheapest to drain for a gang, or None."""
    spec = job.spec
    best: eviction.Room | None = None
    racks = book.pool.racks_by_size(spec.total_accelerators)
    for number, rack in enumerate(racks):
        if number >= CANDIDATES:
            break
        costs = eviction.Costs(book, now)
        groups = []
        for worker in rack.workers.values():
            if not worker.usable or not worker.size(spec):
                continue
            mask = worker.full_mask & ~book.guaranteed_mask(worker)
            mask &= ~worker.held_mask
            for other, share in worker.tasks.items():
                if not may_stop(book.jobs[other], job, policy, now):
                    mask &= ~share.mask
            chunks = eviction.chunks_on(worker, mask, spec.accelerators, costs)
            groups.append(chunks[: worker.size(spec)])
        chosen = eviction.take(groups, spec.tasks)
        if chosen is None:
            continue
        room = eviction.settle(book, job, chosen, costs)
        if room is not None and (best is None or room.cost < best.cost):
            best = room
    return best
