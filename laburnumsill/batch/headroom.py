"""How much room urgent jobs may need again soon.

Urgent jobs come in bursts. What one of them has left would be taken at once by
tasks that wait, which are stopped again for the next one: that costs the work
and, worse, the time of a stop.
"""

import collections

WINDOW_S = 8.0
"""Urgent use of the last seconds counts: three times what an urgent job of the
users takes."""

SHARE = 0.5
"""Of the way back to the highest use, so much is kept free."""


class Headroom:
    """Remembers how much urgent jobs used lately.

    Examples:
        >>> headroom = Headroom()
        >>> headroom.to_keep(40, 0.0), headroom.to_keep(10, 1.0)
        (0, 15)
        >>> headroom.to_keep(10, 20.0)
        0
    """

    def __init__(self) -> None:
        self._peaks: collections.deque[tuple[float, int]] = collections.deque()

    def to_keep(self, used: int, now: float) -> int:
        """Returns how many accelerators should be left free.

        Args:
            used: What urgent jobs use or wait for now.
            now: Monotonic.
        """
        while self._peaks and self._peaks[-1][1] <= used:
            self._peaks.pop()
        self._peaks.append((now, used))
        while self._peaks[0][0] < now - WINDOW_S:
            self._peaks.popleft()
        return int(SHARE * (self._peaks[0][1] - used))
