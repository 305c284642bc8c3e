"""Clocks and deadlines.

A deadline is a point in time in seconds. Inside one process it is a point on
the monotonic clock; between processes and in replicated state it is a point
on the wall clock (Unix seconds, UTC), whose drift between VMs is bounded by
`MAX_CLOCK_DRIFT_S`.
"""

import abc
import time

BOOT_TIME = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)
"""The steady clock that also counts the time in which the machine was
suspended; the plain one where the system has no such clock."""

MAX_CLOCK_DRIFT_S = 0.25
"""How far apart, in seconds, the wall clocks of any two VMs may be."""


class Clock(abc.ABC):
    """A source of time."""

    @abc.abstractmethod
    def monotonic(self) -> float:
        """Returns seconds that never go backwards."""

    @abc.abstractmethod
    def wall(self) -> float:
        """Returns Unix seconds, UTC."""

    def wall_ms(self) -> int:
        """Returns whole Unix milliseconds, UTC.

        Examples:
            >>> ManualClock(1.9999).wall_ms()
            1999
        """
        return int(self.wall() * 1000)

    def wall_deadline(self, monotonic_deadline: float) -> float:
        """Returns the wall-clock point of a monotonic deadline."""
        return self.wall() + (monotonic_deadline - self.monotonic())

    def monotonic_deadline(self, wall_deadline: float) -> float:
        """Returns the monotonic point of a wall-clock deadline."""
        return self.monotonic() + (wall_deadline - self.wall())


class SystemClock(Clock):
    """The clock of the operating system."""

    def monotonic(self) -> float:
        """Returns the time since boot, in which suspensions count.

        Leases and confirmations age while a machine is suspended. The origin
        is not that of `time.monotonic`, nor that of trio's clock.
        """
        return time.clock_gettime(BOOT_TIME)

    def wall(self) -> float:
        """Returns `time.time`."""
        return time.time()


class TimeLeftClock(SystemClock):
    """A clock whose deadlines leave the process as the time that is left.

    For VMs whose wall clocks may jump by seconds: a deadline that is sent to
    another VM is then longer by the time that the message takes, and nothing
    worse. All VMs of one system must use the same kind of clock.
    """

    def wall_deadline(self, monotonic_deadline: float) -> float:
        """Returns the seconds left until a monotonic deadline."""
        return monotonic_deadline - self.monotonic()

    def monotonic_deadline(self, wall_deadline: float) -> float:
        """Returns the monotonic point that lies so many seconds ahead."""
        return self.monotonic() + wall_deadline


class ManualClock(Clock):
    """A clock that moves only when told to, for tests and virtual time.

    Examples:
        >>> clock = ManualClock()
        >>> clock.advance(2.5)
        >>> clock.monotonic()
        2.5
    """

    def __init__(self, start: float = 0.0) -> None:
        self._now = start

    def advance(self, seconds: float) -> None:
        """Moves the clock on by `seconds`."""
        self._now += seconds

    def monotonic(self) -> float:
        """Returns the present point."""
        return self._now

    def wall(self) -> float:
        """Returns the present point."""
        return self._now
