"""When a VM last knew that anybody led, before it came to lead itself.

What the ledger says of workers is as old as that: while nobody leads, no
announcement is taken note of.
"""

import math

STALL_S = 1.0
"""A VM that has not looked for so long was stopped, and what it believes of
the lead is as old as that."""

BELIEVED_AGAIN_S = 1.0
"""So long after a stall it has heard from the leader there is, or missed it:
a lost leader is missed after 0.6 s at most."""


class LastLead:
    """Remembers when a leader was known.

    Examples:
        >>> last = LastLead()
        >>> for tenth in range(20):
        ...     last.look("vm1", tenth / 10)
        >>> last.look(None, 2.0)
        >>> last.known_at
        1.9
    """

    def __init__(self) -> None:
        self._known_at = -math.inf
        self._looked_at = -math.inf
        self._doubted_until = -math.inf

    @property
    def known_at(self) -> float:
        """When a leader was known last, monotonic; -inf for never."""
        return self._known_at

    def look(self, leader: str | None, now: float) -> None:
        """Takes note of who leads, None for nobody, as far as is known."""
        if now - self._looked_at > STALL_S:
            self._doubted_until = now + BELIEVED_AGAIN_S
        self._looked_at = now
        if leader is not None and now >= self._doubted_until:
            self._known_at = now
