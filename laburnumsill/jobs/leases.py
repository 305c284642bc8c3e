"""Granting of leases up to the expiry that the domain's group committed."""

import trio

from laburnumsill.core import clock as clocks
from laburnumsill.jobs import access
from laburnumsill.state import jobs_messages

EXTEND_BELOW_FRACTION = 0.75
"""Fraction of a lease; with less time than this left, the expiry is extended.

The margin lets members miss one round of renewals.
"""

RENEWALS_PER_LEASE = 3
"""Minimum number of renewals in the length of a lease."""


class LeaseGranter:
    """Extends the committed expiry of leases and decides which jobs renew.

    All leases of a domain have the same committed expiry. A deposed leader
    cannot commit an extension, and so cannot renew a lease that its successor
    assumes to be expired.
    """

    def __init__(
        self, domain: access.DomainAccess, clock: clocks.Clock
    ) -> None:
        self._domain = domain
        self._clock = clock
        self._granted = jobs_messages.Leases(0.0, ())
        self._lock = trio.Lock()

    @property
    def expires_at(self) -> float:
        """Committed expiry of leases, the latest that may be granted."""
        return self._granted.until

    async def extend_if_due(self, lease_s: float) -> float:
        """Returns the committed expiry of leases, after extending it if due.

        Args:
            lease_s: Length of a lease in seconds.

        Raises:
            access.NotLeadingError: This VM is not the leader any more.
        """
        async with self._lock:
            now = self._clock.wall()
            if self._granted.until - now < EXTEND_BELOW_FRACTION * lease_s:
                self._granted = await self._domain.propose(
                    jobs_messages.ExtendLeases(
                        self._domain.term, now + lease_s, now
                    )
                )
        return self._granted.until

    def may_renew(self, job_id: str) -> bool:
        """Returns whether a job was not being stopped at the last extension."""
        return job_id not in self._granted.stopping
