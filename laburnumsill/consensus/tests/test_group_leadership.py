import random

import loguru

from laburnumsill.consensus import engine as engines
from laburnumsill.consensus import group_leadership
from laburnumsill.consensus import types

VOTERS = tuple(types.ReplicaId(vm, "i") for vm in "ab")


def test_each_failed_campaign_is_logged():
    # A group without a leader used to say nothing at all.
    hard_state, entry = engines.Engine.bootstrap(
        "g", VOTERS[0], types.Membership(VOTERS)
    )
    stored = types.StoredState("i", hard_state, None, (entry,))
    engine = engines.Engine(
        "g", VOTERS[0], stored, engines.Options(), 0.0, random.Random(1)
    )
    state = group_leadership.LeadershipState("g")
    lines = []
    sink = loguru.logger.add(lines.append, format="{message}")
    for _ in range(4):
        engine.tick(engine.next_tick())
        state.update(engine)
        state.update(engine)
    loguru.logger.remove(sink)
    assert [line.strip() for line in lines] == [
        f"event=group-campaign-failed group=g term=1 in_a_row={number}"
        for number in (1, 2, 3)
    ]
