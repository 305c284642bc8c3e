"""Selection of the slots that are reserved for a waiting gang.

No other job is placed on reserved slots; the tasks that run on them either
end or are preempted. Borrowers as large as the gang are preempted only for
one that has waited very long, and every job is preempted a limited number of
times, so that gangs do not preempt one another forever.
"""

from laburnumsill.jobs import eviction
from laburnumsill.jobs import policy as policies
from laburnumsill.state import jobs_book
from laburnumsill.state import placements

MAX_COMPARED_RACKS = 16
"""Maximum number of racks that are compared."""

MAX_INTERRUPTIONS = 2
"""Interruptions after which a job is not preempted for a gang any more."""

PREEMPTION_WAIT_FACTOR = 2.0
"""Multiple of the gang wait bound after which borrowers are preempted."""


def may_preempt(
    other: placements.Job,
    gang: placements.Job,
    policy: policies.Policy,
    now: float,
) -> bool:
    """Returns whether a borrower may be preempted for a gang.

    A smaller borrower always may. One that is at least as large may only if
    the gang has waited for `PREEMPTION_WAIT_FACTOR` times the gang wait
    bound and the borrower has run for longer than the bound.
    """
    if other.spec.guaranteed or other.interruptions >= MAX_INTERRUPTIONS:
        return False
    if other.spec.total_accelerators < gang.spec.total_accelerators:
        return True
    bound = policy.gang_wait_bound_s
    ran = now - (other.started_at or now)
    return now - gang.queued_at > PREEMPTION_WAIT_FACTOR * bound and ran > bound


def find_reservation(
    book: jobs_book.JobBook,
    job: placements.Job,
    policy: policies.Policy,
    now: float,
) -> eviction.PreemptionPlan | None:
    """Returns the cheapest slots to reserve for a gang, or None."""
    spec = job.spec
    best: eviction.PreemptionPlan | None = None
    racks = book.pool.racks_by_size(spec.total_accelerators)
    for number, rack in enumerate(racks):
        if number >= MAX_COMPARED_RACKS:
            break
        costs = eviction.PreemptionCosts(book, now)
        groups = []
        for worker in rack.workers.values():
            if not worker.usable or not worker.size(spec):
                continue
            mask = worker.full_mask & ~book.guaranteed_mask(worker)
            mask &= ~worker.held_mask
            for other, share in worker.tasks.items():
                if not may_preempt(book.jobs[other], job, policy, now):
                    mask &= ~share.mask
            candidates = eviction.split_into_slots(
                worker, mask, spec.accelerators, costs
            )
            groups.append(candidates[: worker.size(spec)])
        chosen = eviction.cheapest_slots(groups, spec.tasks)
        if chosen is None:
            continue
        plan = eviction.plan_preemption(book, job, chosen, costs)
        if plan is not None and (best is None or plan.cost < best.cost):
            best = plan
    return best
