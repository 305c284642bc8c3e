"""Granting leases no further than the domain's group has committed."""

import trio

from laburnumsill.core import clock as clocks
from laburnumsill.jobs import access
from laburnumsill.state import jobs_messages

FRESH_PART = 0.75
"""A lease with less than this part of its length left is extended first, so
that a round of renewals may be missed."""

RENEWALS = 3
"""Renewals for each length of a lease."""


class LeaseGranter:
    """Moves on the committed end of leases and says who may have one.

    All leases of a domain end at the same committed point in time. A leader
    that was deposed cannot move it on, and so cannot prolong a lease that
    its successor has reason to believe ended.
    """

    def __init__(
        self, domain: access.DomainAccess, clock: clocks.Clock
    ) -> None:
        self._domain = domain
        self._clock = clock
        self._granted = jobs_messages.Leases(0.0, ())
        self._lock = trio.Lock()

    @property
    def until(self) -> float:
        """Wall time up to which leases may be granted now."""
        return self._granted.until

    async def fresh(self, lease_s: float) -> float:
        """Returns a committed end of leases that is far enough away.

        Args:
            lease_s: Length of a lease in seconds.

        Raises:
            access.NotLeadingError: This VM leads no more.
        """
        async with self._lock:
            now = self._clock.wall()
            if self._granted.until - now < FRESH_PART * lease_s:
                self._granted = await self._domain.propose(
                    jobs_messages.ExtendLeases(
                        self._domain.term, now + lease_s, now
                    )
                )
        return self._granted.until

    def may_renew(self, job_id: str) -> bool:
        """Returns whether a job was not being stopped at the last commit."""
        return job_id not in self._granted.stopping
