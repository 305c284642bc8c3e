"""Tests of the clocks on a machine that is suspended for some seconds."""

import time

import pytest
import trio

from laburnumsill.core import clock as clocks
from laburnumsill.core import trio_clock

SUSPENDED_S = 6.0


@pytest.fixture
def suspend(monkeypatch):
    """Returns a function that simulates a suspension of some seconds."""
    suspended_s = 0.0
    system_gettime = time.clock_gettime

    def read(clock):
        return system_gettime(clock) + (
            suspended_s if clock == time.CLOCK_BOOTTIME else 0.0
        )

    def sleep(seconds):
        nonlocal suspended_s
        suspended_s += seconds

    monkeypatch.setattr(time, "clock_gettime", read)
    return sleep


def test_monotonic_time_includes_suspensions(suspend):
    clock = clocks.SystemClock()
    before = clock.monotonic()
    suspend(SUSPENDED_S)
    assert clock.monotonic() - before >= SUSPENDED_S


def test_a_deadline_expires_during_a_suspension(suspend):
    async def main():
        with trio.move_on_after(SUSPENDED_S / 2) as scope:
            await trio.sleep(0.01)
            suspend(SUSPENDED_S)
            for _ in range(100):
                await trio.sleep(0.01)
        return scope.cancelled_caught

    assert trio.run(main, clock=trio_clock.BootTimeClock())
