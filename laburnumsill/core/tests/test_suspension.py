"""Clocks of a machine that is suspended for some seconds."""

import time

import pytest
import trio

from laburnumsill.core import clock as clocks
from laburnumsill.core import trio_clock

SUSPENDED_S = 6.0


@pytest.fixture
def suspend(monkeypatch):
    """Returns a function that suspends the machine, and wakes it again."""
    slept = 0.0
    real = time.clock_gettime

    def read(clock):
        return real(clock) + (slept if clock == time.CLOCK_BOOTTIME else 0.0)

    def sleep(seconds):
        nonlocal slept
        slept += seconds

    monkeypatch.setattr(time, "clock_gettime", read)
    return sleep


def test_time_passes_while_a_machine_is_suspended(suspend):
    clock = clocks.SystemClock()
    before = clock.monotonic()
    suspend(SUSPENDED_S)
    assert clock.monotonic() - before >= SUSPENDED_S


def test_a_deadline_that_passed_during_a_suspension_is_noticed(suspend):
    async def main():
        with trio.move_on_after(SUSPENDED_S / 2) as scope:
            await trio.sleep(0.01)
            suspend(SUSPENDED_S)
            for _ in range(100):
                await trio.sleep(0.01)
        return scope.cancelled_caught

    assert trio.run(main, clock=trio_clock.BootTimeClock())
