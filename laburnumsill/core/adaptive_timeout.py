"""Timeout that adapts to recently measured durations."""

from laburnumsill.core import sliding_maximum

WINDOW_S = 10.0
"""Age up to which durations count: disks and links stay slow for seconds."""

ANSWER_TIME_MULTIPLE = 4
"""Timeout of a call as a multiple of the longest recent answer time: a call may
wait for the sync of the previous one, or for a retransmitted packet."""

MIN_SAMPLES = 8
"""Number of durations below which the maximum timeout applies."""


class AdaptiveTimeout:
    """A multiple of the longest recent duration, between two limits.

    Args:
        min_s: Minimum timeout, in seconds.
        max_s: Maximum timeout, in seconds. It also applies until
            `MIN_SAMPLES` durations were recorded.
        multiple: Timeout as a multiple of the longest recent duration.

    Examples:
        >>> timeout = AdaptiveTimeout(0.1, 0.5, multiple=4)
        >>> timeout.seconds
        0.5
        >>> for at in range(20):
        ...     timeout.record(at / 10, 0.003)
        >>> timeout.seconds
        0.1
        >>> timeout.record(2.0, 0.05)
        >>> timeout.seconds
        0.2
    """

    def __init__(self, min_s: float, max_s: float, multiple: float) -> None:
        self._min_s = min_s
        self._max_s = max_s
        self._multiple = multiple
        self._longest = sliding_maximum.SlidingMaximum(WINDOW_S)

    @property
    def seconds(self) -> float:
        """The current timeout, in seconds."""
        if self._longest.count < MIN_SAMPLES:
            return self._max_s
        timeout_s = self._multiple * self._longest.value
        return min(self._max_s, max(self._min_s, timeout_s))

    def record(self, now: float, duration_s: float) -> None:
        """Records a duration that ended at the monotonic time `now`."""
        self._longest.add(now, duration_s)
