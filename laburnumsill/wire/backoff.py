"""Exponential backoff with jitter between attempts to connect."""

import random


class Backoff:
    """Delays that double up to a limit, each shortened at random by up to half.

    The jitter keeps VMs that lost the same peer from dialing it at once.

    Examples:
        >>> backoff = Backoff(0.05, 1.0)
        >>> delays = [backoff.next() for _ in range(9)]
        >>> 0.025 <= delays[0] <= 0.05 and 0.5 <= delays[-1] <= 1.0
        True
    """

    def __init__(self, initial_s: float, max_s: float) -> None:
        self._initial_s = initial_s
        self._max_s = max_s
        self._next_s = initial_s

    def reset(self) -> None:
        """Resets the delay to the initial one."""
        self._next_s = self._initial_s

    def next(self) -> float:
        """Returns the next delay, in seconds."""
        delay = self._next_s * random.uniform(0.5, 1.0)
        self._next_s = min(self._max_s, 2 * self._next_s)
        return delay
