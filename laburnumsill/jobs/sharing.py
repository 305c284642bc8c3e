"""Fair sharing of borrowed capacity among the accounts."""

from laburnumsill.jobs import policy as policies
from laburnumsill.state import jobs_book


def dominant_share(
    book: jobs_book.JobBook, policy: policies.Policy, account: str
) -> float:
    """Returns the dominant share of an account, divided by its weight.

    The dominant share is the larger of the fractions of the domain's
    accelerators and cores that the account borrows.

    References:
        A. Ghodsi et al., "Dominant Resource Fairness", NSDI 2011.
    """
    use = book.use.get(account)
    if use is None:
        return 0.0
    accelerators = use.borrowed / max(1, book.pool.accelerators)
    cores = use.borrowed_cores / max(1, book.pool.cores)
    return max(accelerators, cores) / policy.weight(account)
