"""Detection of workers that claim the same address or the same name."""

from collections import abc

from laburnumsill.batch import model


def contested_ids(
    workers: abc.Collection[model.Worker], configured_pools: abc.Set[str]
) -> set[str]:
    """Returns the ids of workers whose address or name another worker claims.

    At most one of the claimants still runs, and only a probe of the address
    shows which one: the announcement of an ended worker may arrive late. A
    worker whose pool is not in the configuration does not make others
    contested, since anyone may have announced it.

    Args:
        workers: All workers in the ledger.
        configured_pools: The pools in the configuration.

    Examples:
        >>> old = model.Worker("old", "p", "a:1", "d", model.Resources())
        >>> new = model.Worker("new", "p", "a:1", "d", model.Resources())
        >>> stray = model.Worker("stray", "q", "a:1", "d", model.Resources())
        >>> sorted(contested_ids([old, new], {"p"}))
        ['new', 'old']
        >>> contested_ids([old, stray], {"p"}), contested_ids([old], {"p"})
        ({'stray'}, set())
    """
    addresses = {worker.address for worker in workers}
    names = {worker.call_name for worker in workers}
    if len(addresses) == len(names) == len(workers):
        return set()
    claims: dict[tuple[str, str], list[model.Worker]] = {}
    for worker in workers:
        for claim in (("at", worker.address), ("named", worker.call_name)):
            claims.setdefault(claim, []).append(worker)
    return {
        worker.worker_id
        for claimants in claims.values()
        if len(claimants) > 1
        for worker in claimants
        if worker.pool not in configured_pools
        or sum(other.pool in configured_pools for other in claimants) > 1
    }
