"""In which order waiting jobs are looked at."""

import math

from laburnumsill.jobs import policy as policies
from laburnumsill.state import jobs_book
from laburnumsill.state import placements


def score(
    job: placements.Job, policy: policies.Policy, now: float
) -> tuple[bool, float, int]:
    """Returns a job's rank among its account's; the least goes first.

    Urgent jobs go first. The weight of completion time favours little
    declared work, that of fragmentation favours large gangs, which fit only
    while racks are whole; each wait of the gang bound counts like work
    smaller by the factor e, so that nothing waits for ever.
    """
    spec = job.spec
    work = math.log(max(1.0, policies.declared_work(spec)))
    size = math.log(max(1.0, spec.total_accelerators))
    waited = (now - job.submitted_at) / policy.gang_wait_bound_s
    rank = (
        policy.completion_weight * work
        - policy.fragmentation_weight * size
        - waited
    )
    return not spec.urgent, rank, job.sequence


def share_of(
    book: jobs_book.JobBook, policy: policies.Policy, account: str
) -> float:
    """Returns how much an account borrows, relative to its weight.

    It is the larger of its parts of the domain's accelerators and cores.

    References:
        A. Ghodsi et al., "Dominant Resource Fairness", NSDI 2011.
    """
    use = book.use.get(account)
    if use is None:
        return 0.0
    accelerators = use.borrowed / max(1, book.pool.accelerators)
    cores = use.borrowed_cores / max(1, book.pool.cores)
    return max(accelerators, cores) / policy.weight(account)
