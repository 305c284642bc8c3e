import math

from laburnumsill.batch import last_lead


def watched(last, leader, begin, end, step=0.05):
    now = begin
    while now < end:
        last.observe(leader, now)
        now += step


def test_a_vm_that_has_just_started_knows_of_no_lead_before():
    last = last_lead.LastKnownLeader()
    watched(last, None, 10.0, 12.0)
    assert last.known_at == -math.inf


def test_what_is_believed_after_a_stall_is_older_than_that():
    last = last_lead.LastKnownLeader()
    watched(last, "vm1", 0.0, 5.0)
    watched(last, "vm1", 15.0, 15.0 + last_lead.STALL_RECOVERY_S)
    assert 4.9 < last.known_at < 5.0
    watched(last, "vm1", 16.1, 17.0)
    assert last.known_at > 16.9
