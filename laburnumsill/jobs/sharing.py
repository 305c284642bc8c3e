"""Sharing what is borrowed among the accounts."""

from laburnumsill.jobs import policy as policies
from laburnumsill.state import jobs_book


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
