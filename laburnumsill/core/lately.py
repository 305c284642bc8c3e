"""The largest of the numbers that were seen lately."""

import collections


class LargestLately:
    """Remembers numbers for a while, in constant time for each.

    Args:
        remembered_s: For how long, in seconds.

    Examples:
        >>> largest = LargestLately(10.0)
        >>> for at, number in (0.0, 3.0), (1.0, 2.0), (8.0, 1.0):
        ...     largest.add(at, number)
        >>> largest.value
        3.0
        >>> largest.add(10.5, 1.0)
        >>> largest.value, largest.count
        (2.0, 4)
    """

    def __init__(self, remembered_s: float) -> None:
        self._remembered_s = remembered_s
        self._count = 0
        self._falling: collections.deque[tuple[float, float]] = (
            collections.deque()
        )

    @property
    def count(self) -> int:
        """How many numbers were ever added."""
        return self._count

    @property
    def value(self) -> float:
        """The largest, 0.0 before the first."""
        return self._falling[0][1] if self._falling else 0.0

    def add(self, now: float, number: float) -> None:
        """Adds a number that was seen at a monotonic point.

        Those that are smaller than a newer one will never be the largest.
        """
        self._count += 1
        while self._falling and self._falling[-1][1] <= number:
            self._falling.pop()
        self._falling.append((now, number))
        while self._falling[0][0] < now - self._remembered_s:
            self._falling.popleft()
