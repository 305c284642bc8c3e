"""Choice of the VM of the core that an entry sends a query to."""

import math
from collections import abc

from laburnumsill.core import hashing

INITIAL_BACKOFF_S = 1.0
MAX_BACKOFF_S = 16.0
"""The backoff after a failure of a VM doubles with each failure up to this."""


class CoreChoice:
    """Selects a VM of the core; prefers the entry's own failure domain.

    The domain of a VM is known from its first answer, so each VM is queried
    once until one in the own domain is found. Rendezvous hashing spreads the
    entries of a site over equally good VMs.

    Args:
        entry_id: The id of this entry.
        domain: Its failure domain.

    Examples:
        >>> choice = CoreChoice("entry", "north")
        >>> vms = ("a", "b")
        >>> first = choice.next(vms, 0.0)
        >>> choice.record_answer(first, "south")
        >>> second = choice.next(vms, 0.0)
        >>> choice.record_answer(second, "north")
        >>> first != second and choice.next(vms, 0.0) == second
        True
        >>> choice.record_failure(second, 1.0)
        >>> choice.next(vms, 1.5) == first, choice.next(vms, 2.5) == second
        (True, True)
    """

    def __init__(self, entry_id: str, domain: str) -> None:
        self._entry_id = entry_id
        self._domain = domain
        self._domains: dict[str, str] = {}
        self._failures: dict[str, tuple[int, float]] = {}

    def next(self, vms: abc.Iterable[str], now: float) -> str | None:
        """Returns the VM to query, None if no VM is known.

        Args:
            vms: The known VMs of the core.
            now: The current monotonic time.
        """
        order = hashing.rendezvous_order(self._entry_id, vms)
        return min(order, key=lambda vm: self._rank(vm, now), default=None)

    def record_answer(self, vm: str, domain: str) -> None:
        """Records that a VM answered, and its failure domain."""
        self._domains[vm] = domain
        self._failures.pop(vm, None)

    def record_failure(self, vm: str, now: float) -> None:
        """Records that a VM failed to answer, which starts its backoff."""
        count = self._failures.get(vm, (0, 0.0))[0] + 1
        backoff_s = INITIAL_BACKOFF_S * math.ldexp(1.0, min(count - 1, 10))
        retry_at = now + min(backoff_s, MAX_BACKOFF_S)
        self._failures[vm] = (count, retry_at)

    def _rank(self, vm: str, now: float) -> tuple[float, int]:
        """Returns the sort key of a VM; VMs in their backoff come last."""
        retry_at = self._failures.get(vm, (0, 0.0))[1]
        domain = self._domains.get(vm)
        distance = 1 if domain is None else 2 * (domain != self._domain)
        return (retry_at if retry_at > now else 0.0, distance)
