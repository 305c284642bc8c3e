"""Leases on workers: the time for which runs continue without the scheduler.

A lease ends at a time on the worker's own clock, so a delayed order does not
extend it. The scheduler knows that clock only from the worker's messages; it
may run slow by `CLOCK_DRIFT`.

A leader counts the leases of earlier leaders as expired one longest lease after
its own term began. So a lease must end within the longest lease of a time at
which no later term had begun, whatever the leader that grants it believes by
then: it may have stood still and been replaced.
"""

import math

CLOCK_DRIFT = 0.02
"""Maximum share by which a worker's clock runs slow; set by the users'
protocol."""

LEASE_MARGIN_MS = 300
"""Subtracted from the longest lease that a worker grants, to allow for the
latency of the order and for the age of the confirmation of the lead."""

DRAINING_LEASE_MS = 3_000
"""Longest lease on a worker that is draining, in ms. It may end at short notice
without a sign, and its tasks can run elsewhere only when its leases have
expired. A report renews them every 2 s at the latest, and an order takes 0.5 s
at most."""


class LeaseTracker:
    """The leases on one worker, with an estimate of its clock.

    Args:
        longest_ms: The longest lease that workers grant, in ms.
        now: Present monotonic time in s; leases of earlier leaders end at
            most `longest_ms` of the worker's time after it.

    Examples:
        >>> leases = LeaseTracker(10_000, now=100.0)
        >>> leases.observe_clock(5_000, received_at=100.0)
        >>> leases.next_lease_ms(100.0, lead_confirmed_at=99.9)
        14700
        >>> leases.next_lease_ms(100.0, lead_confirmed_at=98.0)
        13000
        >>> leases.record_grant(14_700)
        >>> round(leases.expires_at, 2)
        110.2
    """

    def __init__(self, longest_ms: int, now: float) -> None:
        self._longest_ms = longest_ms
        self._clock_ms: int | None = None
        self._received_at = now
        self._granted_ms = 0
        self._expires_at = now + longest_ms / 1000 / (1 - CLOCK_DRIFT)

    def shorten(self, longest_ms: int) -> None:
        """Limits the length of leases that are granted from now on, in ms."""
        self._longest_ms = min(self._longest_ms, longest_ms)

    @property
    def clock_known(self) -> bool:
        """Whether a reading of the worker's clock was received."""
        return self._clock_ms is not None

    @property
    def expires_at(self) -> float:
        """Monotonic time in s by which all leases have certainly expired."""
        return self._expires_at

    def observe_clock(self, clock_ms: int, received_at: float) -> None:
        """Records a reading of the worker's clock.

        Readings that go backwards are ignored.

        Args:
            clock_ms: The worker's clock, in ms.
            received_at: When the reading arrived, monotonic, in s.
        """
        if self._clock_ms is None or clock_ms >= self._clock_ms:
            self._clock_ms = clock_ms
            self._received_at = received_at
            # The clock may have stood still, which delays the end of leases.
            self._extend_expiry()

    def next_lease_ms(
        self, now: float, lead_confirmed_at: float | None
    ) -> int | None:
        """Returns the end of a lease that is granted now.

        It is at most the longest lease after `lead_confirmed_at`, on the
        worker's clock at that time as computed for the slowest clock. A reading
        that was received late makes the lease shorter.

        Args:
            now: Present monotonic time in s.
            lead_confirmed_at: Monotonic time in s before which no later term
                began, None if there is no such time.

        Returns:
            A time on the worker's clock, in ms; None if no lease can be
            granted, as no reading of that clock was received or the lead is
            not confirmed.
        """
        if self._clock_ms is None or lead_confirmed_at is None:
            return None
        counts_from = min(now - LEASE_MARGIN_MS / 1000, lead_confirmed_at)
        elapsed_s = counts_from - self._received_at
        if elapsed_s > 0:
            elapsed_s *= 1 - CLOCK_DRIFT
        return self._clock_ms + math.floor(elapsed_s * 1000) + self._longest_ms

    def left_ms(self, lease_ms: int, now: float) -> float:
        """Returns the estimated time until the end of a lease, in ms.

        Args:
            lease_ms: The end of the lease on the worker's clock, in ms.
            now: Present monotonic time in s.
        """
        if self._clock_ms is None:
            return 0.0
        elapsed_ms = (now - self._received_at) * 1000
        return lease_ms - self._clock_ms - elapsed_ms

    def record_grant(self, lease_ms: int) -> None:
        """Records a lease, before it is sent to the worker."""
        self._granted_ms = max(self._granted_ms, lease_ms)
        self._extend_expiry()

    def _extend_expiry(self) -> None:
        """Moves the expiry to the end of the last lease, if that is later."""
        if self._clock_ms is None:
            return
        left_s = (self._granted_ms - self._clock_ms) / 1000
        expires_at = self._received_at + left_s / (1 - CLOCK_DRIFT)
        self._expires_at = max(self._expires_at, expires_at)
