"""Clocks of trio's event loop, whose time may be virtual."""

import time

import trio
import trio.abc

from laburnumsill.core import clock as clocks


class TrioClock(clocks.Clock):
    """A clock that follows the time of trio's event loop.

    Args:
        epoch: Wall time at the loop's time zero, in Unix seconds.
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
    """A clock for `trio.run` that also advances while the machine is suspended.

    The kernel's timers stop during a suspension, so an overdue deadline is
    noticed at the next wake-up of the loop.
    """

    def start_clock(self) -> None:
        """Does nothing; the clock needs no preparation."""

    def current_time(self) -> float:
        """Returns the time since boot."""
        return time.clock_gettime(clocks.BOOT_TIME)

    def deadline_to_sleep_time(self, deadline: float) -> float:
        """Returns the seconds to sleep until a deadline."""
        return deadline - self.current_time()
