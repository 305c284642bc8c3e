"""Time at which a VM last knew of a leader, before it becomes the leader.

The workers' data in the ledger may be as old as this time: without a leader no
announcement is recorded.
"""

import math

STALL_S = 1.0
"""Time without an observation after which the VM counts as stalled. Its
knowledge of the leader is then from before the stall."""

STALL_RECOVERY_S = 1.0
"""Time after a stall during which observations are ignored. By then the VM has
received a message of the current leader or detected its loss, which takes 0.6 s
at most."""


class LastKnownLeader:
    """Records when a leader was last known.

    Examples:
        >>> last = LastKnownLeader()
        >>> for tenth in range(20):
        ...     last.observe("vm1", tenth / 10)
        >>> last.observe(None, 2.0)
        >>> last.known_at
        1.9
    """

    def __init__(self) -> None:
        self._known_at = -math.inf
        self._observed_at = -math.inf
        self._distrusted_until = -math.inf

    @property
    def known_at(self) -> float:
        """Monotonic time at which a leader was last known; -inf if never."""
        return self._known_at

    def observe(self, leader: str | None, now: float) -> None:
        """Records the leader that this VM believes in, or None."""
        if now - self._observed_at > STALL_S:
            self._distrusted_until = now + STALL_RECOVERY_S
        self._observed_at = now
        if leader is not None and now >= self._distrusted_until:
            self._known_at = now
