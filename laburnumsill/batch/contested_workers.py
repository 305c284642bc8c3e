"""Workers of which two claim one address or one name."""

from collections import abc

from laburnumsill.batch import model


def contested(
    workers: abc.Collection[model.Worker], named: abc.Set[str]
) -> set[str]:
    """Returns the workers that claim an address or a name of another's.

    One of them has ended, and which one is not known until the address is
    asked: a late announcement may be that of the ended one. One whose pool the
    configuration does not name puts no other in doubt, since anyone may have
    announced it.

    Args:
        workers: All that are known.
        named: The pools that the configuration names.

    Examples:
        >>> old = model.Worker("old", "p", "a:1", "d", model.Resources())
        >>> new = model.Worker("new", "p", "a:1", "d", model.Resources())
        >>> stray = model.Worker("stray", "q", "a:1", "d", model.Resources())
        >>> sorted(contested([old, new], {"p"}))
        ['new', 'old']
        >>> contested([old, stray], {"p"}), contested([old], {"p"})
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
        if worker.pool not in named
        or sum(other.pool in named for other in claimants) > 1
    }
