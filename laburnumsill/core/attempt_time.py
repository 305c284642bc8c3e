"""How long to wait for an answer before another way is tried."""

from laburnumsill.core import lately

ANSWERS_BORNE = 4
"""An attempt has so many times the longest answer of late: one order may wait
for the sync of the one before, or for a packet that is sent again."""

REMEMBERED_S = 10.0
"""Answers of so long ago count: disks and links are slow for seconds."""

MIN_ANSWERS = 8
"""Until so many answers came an attempt has the longest time."""


class AttemptTime:
    """Learns from how long answers take.

    Args:
        shortest_s: An attempt has so long at least, in seconds.
        longest_s: And so long at most.

    Examples:
        >>> attempt = AttemptTime(0.1, 0.5)
        >>> attempt.seconds
        0.5
        >>> for at in range(20):
        ...     attempt.note(at / 10, 0.003)
        >>> attempt.seconds
        0.1
        >>> attempt.note(2.0, 0.05)
        >>> attempt.seconds
        0.2
    """

    def __init__(self, shortest_s: float, longest_s: float) -> None:
        self._shortest_s = shortest_s
        self._longest_s = longest_s
        self._took = lately.LargestLately(REMEMBERED_S)

    @property
    def seconds(self) -> float:
        """How long the next attempt has."""
        if self._took.count < MIN_ANSWERS:
            return self._longest_s
        usual_s = ANSWERS_BORNE * self._took.value
        return min(self._longest_s, max(self._shortest_s, usual_s))

    def note(self, now: float, took_s: float) -> None:
        """Notes an answer that came at a monotonic point."""
        self._took.add(now, took_s)
