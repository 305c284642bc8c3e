"""Clocks and deadlines.

A deadline is a time in seconds: inside one process by the monotonic clock,
between processes and in replicated state by the wall clock (Unix seconds,
UTC). The wall clocks of two VMs differ by at most `MAX_CLOCK_DRIFT_S`.
"""

import abc
import time

BOOT_TIME = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)
"""The monotonic clock that includes the time in which the machine was
suspended, or the ordinary monotonic clock if the system lacks it."""

MAX_CLOCK_DRIFT_S = 0.25
"""Maximum difference between the wall clocks of any two VMs."""


class Clock(abc.ABC):
    """A source of time."""

    @abc.abstractmethod
    def monotonic(self) -> float:
        """Returns the monotonic time in seconds."""

    @abc.abstractmethod
    def wall(self) -> float:
        """Returns the wall time in Unix seconds, UTC."""

    def wall_ms(self) -> int:
        """Returns the wall time in whole Unix milliseconds, UTC.

        Examples:
            >>> ManualClock(1.9999).wall_ms()
            1999
        """
        return int(self.wall() * 1000)

    def wall_deadline(self, monotonic_deadline: float) -> float:
        """Converts a monotonic deadline to wall time."""
        return self.wall() + (monotonic_deadline - self.monotonic())

    def monotonic_deadline(self, wall_deadline: float) -> float:
        """Converts a wall-clock deadline to monotonic time."""
        return self.monotonic() + (wall_deadline - self.wall())


class SystemClock(Clock):
    """The clock of the operating system."""

    def monotonic(self) -> float:
        """Returns the time since boot, including suspensions.

        Leases and confirmations expire while a machine is suspended. The
        origin differs from those of `time.monotonic` and of trio's clock.
        """
        return time.clock_gettime(BOOT_TIME)

    def wall(self) -> float:
        """Returns the result of `time.time`."""
        return time.time()


class TimeLeftClock(SystemClock):
    """A clock that converts deadlines to the remaining time.

    For VMs whose wall clocks may jump by seconds: a deadline sent to another
    VM is only extended by the latency of the message. All VMs of one system
    must use the same kind of clock.
    """

    def wall_deadline(self, monotonic_deadline: float) -> float:
        """Converts a monotonic deadline to the remaining seconds."""
        return monotonic_deadline - self.monotonic()

    def monotonic_deadline(self, wall_deadline: float) -> float:
        """Converts remaining seconds to a monotonic deadline."""
        return self.monotonic() + wall_deadline


class ManualClock(Clock):
    """A clock that only `advance` moves, for tests and virtual time.

    Examples:
        >>> clock = ManualClock()
        >>> clock.advance(2.5)
        >>> clock.monotonic()
        2.5
    """

    def __init__(self, start: float = 0.0) -> None:
        self._now = start

    def advance(self, seconds: float) -> None:
        """Advances the clock by `seconds`."""
        self._now += seconds

    def monotonic(self) -> float:
        """Returns the current time of this clock."""
        return self._now

    def wall(self) -> float:
        """Returns the current time of this clock."""
        return self._now
