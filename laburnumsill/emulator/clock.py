"""The clock of an emulated site."""

import trio

from laburnumsill.core import clock as clocks

EPOCH = 1_700_000_000.0
"""Wall time at the start of an emulation, in Unix seconds."""


class TrioClock(clocks.Clock):
    """Follows the clock of the trio loop, which tests make virtual."""

    def monotonic(self) -> float:
        """Returns the loop's time."""
        return trio.current_time()

    def wall(self) -> float:
        """Returns the loop's time as Unix seconds."""
        return EPOCH + trio.current_time()
