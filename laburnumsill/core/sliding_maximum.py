"""Maximum of the values in a sliding time window."""

import collections


class SlidingMaximum:
    """Maximum over a sliding window, in amortized constant time per value.

    Args:
        window_s: Length of the window, in seconds.

    Examples:
        >>> maximum = SlidingMaximum(10.0)
        >>> for at, value in (0.0, 3.0), (1.0, 2.0), (8.0, 1.0):
        ...     maximum.add(at, value)
        >>> maximum.value
        3.0
        >>> maximum.add(10.5, 1.0)
        >>> maximum.value, maximum.count
        (2.0, 4)
    """

    def __init__(self, window_s: float) -> None:
        self._window_s = window_s
        self._count = 0
        self._falling: collections.deque[tuple[float, float]] = (
            collections.deque()
        )

    @property
    def count(self) -> int:
        """Number of values added so far, including those outside the window."""
        return self._count

    @property
    def value(self) -> float:
        """The maximum, or 0.0 before the first value."""
        return self._falling[0][1] if self._falling else 0.0

    def add(self, now: float, value: float) -> None:
        """Adds a value measured at the monotonic time `now`.

        Older values that are not larger are dropped, since they can never
        become the maximum.
        """
        self._count += 1
        while self._falling and self._falling[-1][1] <= value:
            self._falling.pop()
        self._falling.append((now, value))
        while self._falling[0][0] < now - self._window_s:
            self._falling.popleft()
