import math

from laburnumsill.batch import last_leader


def observe_repeatedly(last, leader, begin, end, step=0.05):
    now = begin
    while now < end:
        last.observe(leader, now)
        now += step


def test_without_any_leader_the_last_known_time_is_minus_infinity():
    last = last_leader.LastKnownLeader()
    observe_repeatedly(last, None, 10.0, 12.0)
    assert last.known_at == -math.inf


def test_observations_just_after_a_stall_are_ignored():
    last = last_leader.LastKnownLeader()
    observe_repeatedly(last, "vm1", 0.0, 5.0)
    observe_repeatedly(last, "vm1", 15.0, 15.0 + last_leader.STALL_RECOVERY_S)
    assert 4.9 < last.known_at < 5.0
    observe_repeatedly(last, "vm1", 16.1, 17.0)
    assert last.known_at > 16.9
