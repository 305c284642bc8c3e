"""The clock of the trio loop, which tests and emulations make virtual."""

import trio

from laburnumsill.core import clock as clocks


class TrioClock(clocks.Clock):
    """Follows the loop's time.

    Args:
        epoch: Wall time at the loop's zero, in Unix seconds.
    """

    def __init__(self, epoch: float = 0.0) -> None:
        self._epoch = epoch

    def monotonic(self) -> float:
        """Returns the loop's time."""
        return trio.current_time()

    def wall(self) -> float:
        """Returns the loop's time as Unix seconds."""
        return self._epoch + trio.current_time()
