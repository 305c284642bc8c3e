"""Which VM of the core an entry turns to for what any of them can answer."""

import math
from collections import abc

from laburnumsill.core import hashing

FIRST_AVOIDANCE_S = 1.0
LONGEST_AVOIDANCE_S = 16.0
"""A VM that failed is tried again after a time that doubles up to this."""


class CoreChoice:
    """Prefers a VM in the entry's own failure domain that answers.

    The domain of a VM is known from its first answer, so each is asked once
    until one is found in the own domain. Among equals the entries of a site
    spread by a hash.

    Args:
        me: The id of this entry.
        domain: Its failure domain.

    Examples:
        >>> choice = CoreChoice("entry", "north")
        >>> vms = ("a", "b")
        >>> first = choice.next(vms, 0.0)
        >>> choice.answered(first, "south")
        >>> second = choice.next(vms, 0.0)
        >>> choice.answered(second, "north")
        >>> first != second and choice.next(vms, 0.0) == second
        True
        >>> choice.failed(second, 1.0)
        >>> choice.next(vms, 1.5) == first, choice.next(vms, 2.5) == second
        (True, True)
    """

    def __init__(self, me: str, domain: str) -> None:
        self._me = me
        self._domain = domain
        self._domains: dict[str, str] = {}
        self._failures: dict[str, tuple[int, float]] = {}

    def next(self, vms: abc.Iterable[str], now: float) -> str | None:
        """Returns whom to ask; None if no VM is known.

        Args:
            vms: The VMs that are known.
            now: Monotonic point.
        """
        order = hashing.rendezvous_order(self._me, vms)
        return min(order, key=lambda vm: self._rank(vm, now), default=None)

    def answered(self, vm: str, domain: str) -> None:
        """Notes that a VM answered, and where it is."""
        self._domains[vm] = domain
        self._failures.pop(vm, None)

    def failed(self, vm: str, now: float) -> None:
        """Notes that a VM could not answer."""
        count = self._failures.get(vm, (0, 0.0))[0] + 1
        avoidance = FIRST_AVOIDANCE_S * math.ldexp(1.0, min(count - 1, 10))
        until = now + min(avoidance, LONGEST_AVOIDANCE_S)
        self._failures[vm] = (count, until)

    def _rank(self, vm: str, now: float) -> tuple[float, int]:
        until = self._failures.get(vm, (0, 0.0))[1]
        known = self._domains.get(vm)
        distance = 1 if known is None else 2 * (known != self._domain)
        return (until if until > now else 0.0, distance)
