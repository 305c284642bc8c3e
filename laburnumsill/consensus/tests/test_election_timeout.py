"""Tests of the adaptive election timeout."""

import random

import pytest

from laburnumsill.consensus import election_timeout
from laburnumsill.consensus import options as options_module
from laburnumsill.core import adaptive_timeout

OPTIONS = options_module.Options(0.8, 0.1)


def timeout_after(*gaps: float) -> election_timeout.ElectionTimeout:
    """Returns the election timeout of a follower after these gaps."""
    timeout = election_timeout.ElectionTimeout(OPTIONS)
    now = 100.0
    timeout.on_leader_message(now)
    for gap in gaps:
        now += gap
        timeout.on_leader_message(now)
    return timeout


def test_few_messages_leave_the_maximum_timeout():
    assert timeout_after(0.1, 0.1).seconds == 0.8


def test_timeout_of_a_regular_leader_is_three_heartbeats():
    assert timeout_after(*[0.1] * 50).seconds == pytest.approx(0.3)


def test_timeout_of_a_busy_leader_is_three_heartbeats_too():
    assert timeout_after(*[0.002] * 500).seconds == pytest.approx(0.3)


def test_delayed_message_raises_the_timeout():
    delayed = timeout_after(*[0.1] * 20, 0.2, *[0.1] * 20)
    assert delayed.seconds == pytest.approx(0.6)


def test_timeout_is_limited():
    assert timeout_after(*[0.1] * 20, 0.7, *[0.1] * 5).seconds == 0.8


def test_old_delays_are_forgotten():
    beats = int(adaptive_timeout.WINDOW_S / 0.1) + 2
    assert timeout_after(*[0.1] * 9, 0.25, *[0.1] * beats).seconds == (
        pytest.approx(0.3)
    )


def test_interval_between_two_leaders_is_no_gap():
    timeout = timeout_after(*[0.1] * 20)
    timeout.reset()
    timeout.on_leader_message(110.0)
    timeout.on_leader_message(110.1)
    assert timeout.seconds == pytest.approx(0.3)


@pytest.mark.parametrize(
    "delay_s, loss",
    [(0.001, 0.0), (0.003, 0.05), (0.15, 0.0), (0.1, 0.02)],
    ids=["quiet", "lossy", "slow disk", "held up"],
)
def test_live_leader_rarely_times_out(delay_s, loss):
    """Heartbeats are delayed by up to `delay_s`, and some are lost."""
    source = random.Random(7)
    timeout = election_timeout.ElectionTimeout(OPTIONS)
    last_message_at = 0.0
    timeouts = 0
    for beat in range(1, 6_000):
        if source.random() < loss:
            continue
        now = max(last_message_at, 0.1 * beat + source.uniform(0, delay_s))
        timeouts += beat > 1 and now - last_message_at > timeout.seconds
        timeout.on_leader_message(now)
        last_message_at = now
    # Limits for ten minutes of heartbeats.
    assert timeouts <= (1 if loss else 0)
