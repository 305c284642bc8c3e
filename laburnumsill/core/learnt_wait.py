"""How long to wait for what usually comes sooner."""

from laburnumsill.core import lately

REMEMBERED_S = 10.0
"""Waits of so long ago count: disks and links are slow for seconds."""

ANSWERS_BORNE = 4
"""An attempt has so many times the longest answer of late: one order may wait
for the sync of the one before, or for a packet that is sent again."""

MIN_SEEN = 8
"""Until so many waits were seen the longest one holds."""


class LearntWait:
    """A multiple of the longest wait of late, between two bounds.

    Args:
        shortest_s: It is so long at least, in seconds.
        longest_s: And so long at most, as well as until enough was seen.
        times: The multiple.

    Examples:
        >>> wait = LearntWait(0.1, 0.5, times=4)
        >>> wait.seconds
        0.5
        >>> for at in range(20):
        ...     wait.note(at / 10, 0.003)
        >>> wait.seconds
        0.1
        >>> wait.note(2.0, 0.05)
        >>> wait.seconds
        0.2
    """

    def __init__(
        self, shortest_s: float, longest_s: float, times: float
    ) -> None:
        self._shortest_s = shortest_s
        self._longest_s = longest_s
        self._times = times
        self._seen = lately.LargestLately(REMEMBERED_S)

    @property
    def seconds(self) -> float:
        """How long to wait next."""
        if self._seen.count < MIN_SEEN:
            return self._longest_s
        usual_s = self._times * self._seen.value
        return min(self._longest_s, max(self._shortest_s, usual_s))

    def note(self, now: float, took_s: float) -> None:
        """Notes what a wait took that ended at a monotonic point."""
        self._seen.add(now, took_s)
