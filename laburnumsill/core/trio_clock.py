"""The clock of the trio loop, which tests and emulations make virtual."""

import time

import trio
import trio.abc

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


class BootTimeClock(trio.abc.Clock):
    """A clock for `trio.run` by which deadlines pass during a suspension.

    The kernel's timers stop meanwhile, so what is overdue is noticed when the
    loop wakes next.
    """

    def start_clock(self) -> None:
        """Needs no preparation."""

    def current_time(self) -> float:
        """Returns the time since boot."""
        return time.clock_gettime(clocks.BOOT_TIME)

    def deadline_to_sleep_time(self, deadline: float) -> float:
        """Returns how long to sleep until a deadline, in seconds."""
        return deadline - self.current_time()
