"""Growing, jittered pauses between attempts to connect."""

import random


class Backoff:
    """Pauses that double up to a bound, each shortened at random by half.

    The jitter keeps VMs that lost the same peer from dialing it in step.

    Examples:
        >>> backoff = Backoff(0.05, 1.0)
        >>> pauses = [backoff.next() for _ in range(9)]
        >>> 0.025 <= pauses[0] <= 0.05 and 0.5 <= pauses[-1] <= 1.0
        True
    """

    def __init__(self, first_s: float, limit_s: float) -> None:
        self._first_s = first_s
        self._limit_s = limit_s
        self._next_s = first_s

    def reset(self) -> None:
        """Starts again with the first pause."""
        self._next_s = self._first_s

    def next(self) -> float:
        """Returns the next pause, in seconds."""
        pause = self._next_s * random.uniform(0.5, 1.0)
        self._next_s = min(self._limit_s, 2 * self._next_s)
        return pause
