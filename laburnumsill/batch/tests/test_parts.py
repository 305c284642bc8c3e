"""Switches of the scheduler's parts."""

import pytest

from laburnumsill.batch import parts
from laburnumsill.batch import policy as policies
from laburnumsill.config import site
from laburnumsill.config import switches

AUTO, ON, OFF = switches.Switch


def queue(priority, stretch=1.5):
    return site.Queue(
        f"q{priority}",
        "h",
        f"/{priority}/",
        "p",
        3000,
        250,
        priority,
        3,
        stretch,
    )


MIXED = (queue(0), queue(1, 3.0))


def in_use(policy):
    return policy.deferral, policy.saved_at_stop, policy.leaving_workers


@pytest.mark.parametrize(
    "queues, restore_ms, expected",
    [
        (MIXED, 100, (True, True, True)),
        (MIXED, 0, (True, True, True)),
        (MIXED, None, (True, False, True)),
        ((queue(0, 3.0),), 100, (False, True, True)),
        ((queue(1, 3.0), queue(2)), 100, (False, True, False)),
        ((), None, (False, False, False)),
    ],
    ids=[
        "mixed",
        "progress is restored at once",
        "no progress saved at stops",
        "urgent work only",
        "no urgent work",
        "no configuration",
    ],
)
def test_auto_follows_the_configuration(queues, restore_ms, expected):
    chosen = parts.Parts(AUTO, AUTO, AUTO)
    assert in_use(chosen.restrict(policies.ALL, queues, restore_ms)) == expected


def test_leaving_workers_is_off_unless_it_is_asked_for():
    chosen = parts.Parts().restrict(policies.ALL, MIXED, 100)
    assert in_use(chosen) == (True, True, False)


@pytest.mark.parametrize("queues", [MIXED, ()])
@pytest.mark.parametrize("restore_ms", [100, None])
def test_on_and_off_hold_whatever_the_configuration(queues, restore_ms):
    on = parts.Parts(ON, ON, ON).restrict(policies.ALL, queues, restore_ms)
    off = parts.Parts(OFF, OFF, OFF).restrict(policies.ALL, queues, restore_ms)
    assert on == policies.ALL
    assert in_use(off) == (False, False, False)


def test_a_mechanism_that_the_policy_leaves_out_stays_out():
    policy = policies.without(["deferral", "headroom"])
    chosen = parts.Parts(ON, ON, ON).restrict(policy, MIXED, 100)
    assert not chosen.deferral and not chosen.headroom
    assert chosen.saved_at_stop
