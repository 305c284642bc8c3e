"""How soon a silent leader is missed, and that a slow one is not."""

import random

import pytest

from laburnumsill.consensus import options as options_module
from laburnumsill.consensus import patience
from laburnumsill.core import learnt_wait

OPTIONS = options_module.Options(0.8, 0.1)


def after(*gaps: float) -> patience.ElectionTimeout:
    """Returns the patience of a follower that saw these gaps."""
    timeout = patience.ElectionTimeout(OPTIONS)
    now = 100.0
    timeout.on_leader_message(now)
    for gap in gaps:
        now += gap
        timeout.on_leader_message(now)
    return timeout


def test_nothing_is_learnt_from_a_few_messages():
    assert after(0.1, 0.1).seconds == 0.8


def test_a_regular_leader_is_missed_after_three_heartbeats():
    assert after(*[0.1] * 50).seconds == pytest.approx(0.3)


def test_a_busy_leader_is_given_three_heartbeats_too():
    assert after(*[0.002] * 500).seconds == pytest.approx(0.3)


def test_a_leader_that_was_held_up_is_given_more():
    held_up = after(*[0.1] * 20, 0.2, *[0.1] * 20)
    assert held_up.seconds == pytest.approx(0.6)


def test_patience_has_an_end():
    assert after(*[0.1] * 20, 0.7, *[0.1] * 5).seconds == 0.8


def test_what_held_the_leader_up_long_ago_is_forgotten():
    beats = int(learnt_wait.REMEMBERED_S / 0.1) + 2
    assert after(*[0.1] * 9, 0.25, *[0.1] * beats).seconds == (
        pytest.approx(0.3)
    )


def test_the_silence_between_two_leaders_is_no_gap():
    timeout = after(*[0.1] * 20)
    timeout.reset()
    timeout.on_leader_message(110.0)
    timeout.on_leader_message(110.1)
    assert timeout.seconds == pytest.approx(0.3)


@pytest.mark.parametrize(
    "delay_s, lost",
    [(0.001, 0.0), (0.003, 0.05), (0.15, 0.0), (0.1, 0.02)],
    ids=["quiet", "lossy", "slow disk", "held up"],
)
def test_a_leader_that_is_there_is_seldom_missed(delay_s, lost):
    """Heartbeats that come late by up to a delay, some of them lost."""
    source = random.Random(7)
    timeout = patience.ElectionTimeout(OPTIONS)
    heard_at = 0.0
    missed = 0
    for beat in range(1, 6_000):
        if source.random() < lost:
            continue
        now = max(heard_at, 0.1 * beat + source.uniform(0, delay_s))
        missed += beat > 1 and now - heard_at > timeout.seconds
        timeout.on_leader_message(now)
        heard_at = now
    # In ten minutes.
    assert missed <= (1 if lost else 0)
