"""How long what runs on a worker may certainly go on without us.

A lease is a point on the worker's own clock, so an order that arrives late
prolongs nothing. That clock is only known from the worker's answers; it may
run slow by `CLOCK_DRIFT`.
"""

CLOCK_DRIFT = 0.02
"""Workers' clocks may be so much slow; from the users' protocol."""

LEASE_MARGIN_MS = 300
"""Kept off the longest lease that a worker grants, for the way there."""


class LeaseBook:
    """What is known of one worker's clock and of the leases given there.

    Args:
        longest_ms: The longest lease that workers grant.
        now: Monotonic; leases of earlier leaders end at most
            `longest_ms` of the worker's time after it.

    Examples:
        >>> book = LeaseBook(10_000, now=100.0)
        >>> book.observe(5_000, received_at=100.0)
        >>> book.next_lease_ms(100.0)
        14700
        >>> book.granted(14_700)
        >>> round(book.over_at, 2)
        110.2
    """

    def __init__(self, longest_ms: int, now: float) -> None:
        self._longest_ms = longest_ms
        self._clock_ms: int | None = None
        self._received_at = now
        self._granted_ms = 0
        self._over_at = now + longest_ms / 1000 / (1 - CLOCK_DRIFT)

    @property
    def known(self) -> bool:
        """Whether the worker's clock was seen."""
        return self._clock_ms is not None

    @property
    def over_at(self) -> float:
        """When all leases have certainly ended, monotonic."""
        return self._over_at

    def observe(self, clock_ms: int, received_at: float) -> None:
        """Notes that the worker's clock had reached a point by then."""
        if self._clock_ms is None or clock_ms >= self._clock_ms:
            self._clock_ms = clock_ms
            self._received_at = received_at
            # Its clock may have stood still, and then its leases last longer.
            self._reckon_end()

    def next_lease_ms(self, now: float) -> int | None:
        """Returns the end of a lease given now; None without a clock."""
        if self._clock_ms is None:
            return None
        elapsed_ms = int((now - self._received_at) * 1000)
        return self._clock_ms + elapsed_ms + self._longest_ms - LEASE_MARGIN_MS

    def granted(self, lease_ms: int) -> None:
        """Notes a lease before it is sent."""
        self._granted_ms = max(self._granted_ms, lease_ms)
        self._reckon_end()

    def _reckon_end(self) -> None:
        if self._clock_ms is None:
            return
        left_s = (self._granted_ms - self._clock_ms) / 1000
        over_at = self._received_at + left_s / (1 - CLOCK_DRIFT)
        self._over_at = max(self._over_at, over_at)
