import pytest

from bench import failover


@pytest.mark.parametrize("learnt", [False, True])
def test_a_lost_leader_is_followed_by_the_next_one(learnt):
    assert 0 < failover.time_without_leader(learnt, 0) < failover.LONGEST_S


@pytest.mark.parametrize("seed", range(5))
def test_a_lost_leader_is_followed_on_slow_links(seed):
    # Round trips of 0.4 to 0.6 s are below the election timeout of 0.8 s.
    conditions = failover.Conditions(trip_s=0.2)
    time_s = failover.time_without_leader(True, seed, conditions)
    assert time_s < failover.LONGEST_S


@pytest.mark.parametrize("name", failover.QUIET)
def test_a_live_leader_stays(name, monkeypatch):
    monkeypatch.setattr(failover, "QUIET_S", 10.0)
    assert not failover.elections_uncalled_for(True, failover.QUIET[name])
