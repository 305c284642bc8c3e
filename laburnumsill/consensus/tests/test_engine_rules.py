"""Tests of single rules of the engine, driven by a few messages each."""

import dataclasses
import random

import pytest

from laburnumsill.consensus import election_timeout
from laburnumsill.consensus import engine
from laburnumsill.consensus import tick_alignment
from laburnumsill.consensus import types
from laburnumsill.consensus.tests import simulated_group
from laburnumsill.core import codec

A, B, C = (types.ReplicaId(vm, "i") for vm in "abc")
THREE = types.Membership((A, B, C), (), frozenset("a"))
KIND = types.MessageKind


def entry(index, term, data=b""):
    return types.Entry(index, term, types.EntryKind.COMMAND, data)


def membership_entry(index, term, membership):
    kind = types.EntryKind.MEMBERSHIP
    return types.Entry(index, term, kind, codec.encode(membership))


FOUNDING = membership_entry(1, 1, THREE)


def new_engine(hard_state, *entries, replica_id=A):
    log = (FOUNDING, *entries)
    stored = types.StoredState("i", hard_state, None, log, with_disk=True)
    options = engine.Options()
    return engine.Engine(
        "g", replica_id, stored, options, 0.0, random.Random(1)
    )


def send(target, kind, source, term, **fields):
    """Steps `target` with a message from `source`; returns the output."""
    target.step(types.Message(kind, source, A, term, **fields), 0.1)
    return target.take_output()


def win_election(target):
    """Makes `target` campaign and win; returns the output after that."""
    target.tick(10.0)
    term = target.term + 1
    send(target, KIND.PRE_VOTE_REPLY, B, term, granted=True)
    return send(target, KIND.VOTE_REPLY, B, term, granted=True)


def test_vote_is_synced_before_it_is_sent_and_survives_a_restart():
    voter = new_engine(types.HardState(1, None))
    output = send(voter, KIND.VOTE, B, 5, index=1, log_term=1)
    assert output.messages[0].granted
    assert output.hard_state == types.HardState(5, B)
    restarted = new_engine(output.hard_state)
    output = send(restarted, KIND.VOTE, C, 5, index=9, log_term=4)
    assert not output.messages[0].granted
    without_vote = new_engine(types.HardState(5, None))
    output = send(without_vote, KIND.VOTE, B, 5, index=1, log_term=1)
    assert output.hard_state == types.HardState(5, B)
    output = send(without_vote, KIND.APPEND, C, 6, index=1, log_term=1)
    assert output.hard_state == types.HardState(6, None)


def test_follower_of_a_live_leader_ignores_a_vote_without_a_transfer():
    follower = new_engine(types.HardState(2, None))
    send(follower, KIND.HEARTBEAT, B, 2)
    vote = {"index": 9, "log_term": 2}
    assert send(follower, KIND.VOTE, C, 3, **vote) == types.Output()
    output = send(follower, KIND.VOTE, C, 3, granted=True, **vote)
    assert output.messages[0].granted


@pytest.mark.parametrize("name", ["propose", "read"])
def test_a_late_leader_reads_its_inbox_before_it_gives_its_lead_up(name):
    # The reply waited in the socket while the loop of the leader stood still.
    leader = new_engine(types.HardState(1, None))
    win_election(leader)
    late = 10.0 + 2 * engine.Options().election_timeout_s
    arguments = (b"x",) if name == "propose" else ()
    with pytest.raises(engine.NotLeaderError):
        getattr(leader, name)(*arguments, late)
    reply = types.Message(KIND.HEARTBEAT_REPLY, B, A, leader.term)
    leader.step(reply, late)
    leader.tick(late)
    assert leader.role == "leader"
    getattr(leader, name)(*arguments, late)


def test_a_lead_is_confirmed_until_its_acknowledged_heartbeats_were_sent():
    """Guards against a leader that counts its lead from when it reads replies.

    It may have been replaced while they waited to be read.
    """
    leader = new_engine(types.HardState(1, None))
    win_election(leader)
    assert leader.confirmed_at is None
    leader.tick(0.2)
    sent = [
        message
        for message in leader.take_output().messages
        if message.kind is KIND.HEARTBEAT
    ]
    reply = types.Message(
        KIND.HEARTBEAT_REPLY, B, A, leader.term, round=sent[-1].round
    )
    leader.step(reply, 17.0)
    assert leader.confirmed_at == 0.2
    leader.step(dataclasses.replace(reply, source=C), 18.0)
    assert leader.confirmed_at == 0.2


def test_a_replaced_leader_has_no_confirmed_lead():
    leader = new_engine(types.HardState(1, None))
    win_election(leader)
    leader.tick(0.2)
    sent = leader.take_output().messages[-1]
    send(leader, KIND.HEARTBEAT_REPLY, B, 2, round=sent.round)
    assert leader.confirmed_at is not None
    send(leader, KIND.HEARTBEAT, C, 3)
    assert leader.confirmed_at is None


def test_a_leader_without_a_quorum_steps_down_at_its_tick():
    leader = new_engine(types.HardState(1, None))
    win_election(leader)
    leader.tick(10.0 + 2 * engine.Options().election_timeout_s)
    assert leader.role == "follower"


def test_a_vote_counts_after_the_timer_of_its_campaign():
    # On links slower than the timer no candidate was ever elected.
    candidate = new_engine(types.HardState(1, None))
    candidate.tick(10.0)
    send(candidate, KIND.PRE_VOTE_REPLY, B, 2, granted=True)
    candidate.tick(candidate.next_tick())
    requested = {message.kind for message in candidate.take_output().messages}
    assert requested == {KIND.PRE_VOTE}
    send(candidate, KIND.VOTE_REPLY, C, 2, granted=True)
    assert (candidate.role, candidate.term) == ("leader", 2)


def test_a_vote_does_not_count_once_another_leader_is_known():
    candidate = new_engine(types.HardState(1, None))
    candidate.tick(10.0)
    send(candidate, KIND.PRE_VOTE_REPLY, B, 2, granted=True)
    send(candidate, KIND.HEARTBEAT, B, 3)
    send(candidate, KIND.VOTE_REPLY, C, 2, granted=True)
    assert (candidate.role, candidate.term) == ("follower", 3)


@pytest.mark.parametrize(
    "other_index, other_vm, yields",
    [(1, "a", True), (1, "c", False), (2, "c", True)],
    ids=["lower id", "higher id", "newer log"],
)
def test_of_two_candidates_whose_pre_votes_cross_one_yields(
    other_index, other_vm, yields
):
    # Both used to win their pre-votes and split the votes, again and again.
    target = types.ReplicaId("b", "i")
    other = types.ReplicaId(other_vm, "i")
    candidate = new_engine(types.HardState(1, None), replica_id=target)
    for number in range(2):
        candidate.tick(candidate.next_tick())
        term = candidate.term + 1
        request = types.Message(
            KIND.PRE_VOTE, other, target, term, index=other_index, log_term=1
        )
        candidate.step(request, candidate.next_tick() - 0.01)
        if not number and yields:
            assert candidate.role == "follower"
    grant = types.Message(
        KIND.PRE_VOTE_REPLY, other, target, term, granted=True
    )
    candidate.step(grant, candidate.next_tick() - 0.01)
    # It yields once a term, as the other may be unable to win.
    assert candidate.term == term


def test_a_failed_campaign_doubles_the_next_timer_once():
    # Candidates that restart faster than votes come back elect nobody.
    timeout_s = engine.Options().election_timeout_s
    candidate = new_engine(types.HardState(1, None))
    now = 10.0
    waits = []
    for _ in range(4):
        candidate.tick(now)
        waits.append((candidate.next_tick() - now) / timeout_s)
        now = candidate.next_tick()
    assert 0.5 <= waits[0] <= 1
    assert all(1 <= wait <= 2 for wait in waits[1:])
    candidate.step(types.Message(KIND.HEARTBEAT, B, A, 1), now)
    candidate.tick(candidate.next_tick())
    assert candidate.next_tick() - now <= 3 * timeout_s


def test_entry_of_an_older_term_is_not_committed_by_counting():
    leader = new_engine(types.HardState(3, None), entry(2, 2))
    send(leader, KIND.HEARTBEAT, B, 3, commit=1)
    win_election(leader)
    assert (leader.role, leader.term) == ("leader", 4)
    leader.on_synced(3, 4)
    send(leader, KIND.APPEND_REPLY, B, 4, granted=True, index=2)
    assert leader.committed == 1
    with pytest.raises(engine.MembershipPendingError):
        leader.propose_membership(THREE, 0.2)
    read = leader.read(0.2)
    output = send(leader, KIND.HEARTBEAT_REPLY, B, 4)
    assert not output.reads
    send(leader, KIND.APPEND_REPLY, B, 4, granted=True, index=3)
    assert leader.committed == 3
    output = send(leader, KIND.HEARTBEAT_REPLY, B, 4, round=1)
    assert output.reads == (types.ConfirmedRead(read, 3),)


def test_follower_commits_only_entries_that_match_the_leader():
    follower = new_engine(types.HardState(2, None), entry(2, 2, b"old"))
    send(follower, KIND.APPEND, B, 3, index=1, log_term=1, commit=2)
    assert follower.committed == 1


def test_membership_in_a_replaced_entry_is_undone():
    two = dataclasses.replace(THREE, voters=(A, B))
    follower = new_engine(types.HardState(2, None), membership_entry(2, 2, two))
    assert follower.membership == two
    other = (entry(2, 3),)
    send(follower, KIND.APPEND, C, 3, index=1, log_term=1, entries=other)
    assert follower.membership == THREE


def test_leader_whose_removal_is_not_committed_can_lead_again():
    others = dataclasses.replace(THREE, voters=(B, C), with_disk=frozenset())
    leader = new_engine(
        types.HardState(2, None), membership_entry(2, 2, others)
    )
    leader.tick(10.0)
    send(leader, KIND.PRE_VOTE_REPLY, B, 3, granted=True)
    assert leader.role == "candidate", "its own vote does not count"
    send(leader, KIND.PRE_VOTE_REPLY, C, 3, granted=True)
    for voter in (B, C):
        send(leader, KIND.VOTE_REPLY, voter, 3, granted=True)
    assert leader.role == "leader"
    for voter in (B, C):
        match = {"granted": True, "index": 3}
        output = send(leader, KIND.APPEND_REPLY, voter, 3, **match)
    assert leader.role == "learner" and leader.committed == 3
    assert output.messages[-1].kind is KIND.TIMEOUT_NOW
    leader.tick(99.0)
    assert not leader.take_output().messages


def test_sync_of_a_replaced_entry_is_ignored():
    replica = new_engine(types.HardState(1, None))
    position = {"index": 1, "log_term": 1}
    old = (entry(2, 2), entry(3, 2))
    send(replica, KIND.APPEND, B, 2, entries=old, **position)
    send(replica, KIND.APPEND, C, 3, entries=(entry(2, 3),), **position)
    win_election(replica)
    send(replica, KIND.APPEND_REPLY, B, 4, granted=True, index=3)
    replica.on_synced(3, 2)
    assert replica.committed == 0
    replica.on_synced(3, 4)
    assert replica.committed == 3


def test_committed_entry_is_never_replaced():
    follower = new_engine(types.HardState(2, None), entry(2, 2))
    send(follower, KIND.HEARTBEAT, B, 2, commit=2)
    other = (entry(2, 3),)
    with pytest.raises(engine.LogBrokenError):
        send(follower, KIND.APPEND, C, 3, index=1, log_term=1, entries=other)


def test_idle_leader_sends_one_heartbeat_per_interval_to_each_member():
    leader = new_engine(types.HardState(1, None))
    win_election(leader)
    leader.on_synced(2, 2)
    for member in (B, C):
        send(leader, KIND.APPEND_REPLY, member, 2, granted=True, index=2)
    leader.take_output()
    now, sent = 0.1, []
    for _ in range(8):
        now = leader.next_tick()
        leader.tick(now)
        sent += leader.take_output().messages
        for member in (B, C):
            reply = types.Message(KIND.HEARTBEAT_REPLY, member, A, 2)
            leader.step(reply, now)
    assert {message.kind for message in sent} == {KIND.HEARTBEAT}
    assert len(sent) == 2 * 8


def test_lagging_member_catches_up_under_continuous_reads():
    group = simulated_group.Group("abc", "abc", 5)
    leader = group.elect()
    lagging = next(vm for vm in "abc" if vm != leader.replica_id.vm)

    def generate_load(seconds):
        for _ in range(round(seconds / 0.05)):
            group.write(leader, b"x")
            group.read(leader)
            group.run(0.05)

    generate_load(1.0)
    group.isolate(lagging, 4.0)  # messages in flight are lost
    generate_load(6.0)
    progress = leader.engine.progress[group.hosts[lagging].replica_id]
    assert progress.match >= leader.engine.committed - 5


@pytest.mark.parametrize("seed", range(40))
def test_acknowledged_entry_survives_a_disk_loss_and_a_power_loss(seed):
    """One disk is lost, and all other VMs lose their unsynced writes."""
    group = simulated_group.Group("abc", "abc", seed)
    group.load = 0.5
    leader = group.elect()
    group.run(0.5 + seed / 10)
    operation = group.write(leader, b"acknowledged")
    group.run_until(lambda: operation.done)
    synced = [
        vm
        for vm, host in group.hosts.items()
        if any(
            entry.data == b"acknowledged" for entry in host.disk.stored.entries
        )
    ]
    assert len(synced) >= 2, "the only synced disk may be the one that is lost"
    lost = synced[0]
    for vm, host in group.hosts.items():
        if vm != lost:
            host.crash(0, 0.3)
    group.add(lost)
    group.load = 0.0
    group.run(6.0)
    survivors = [h for vm, h in group.hosts.items() if vm != lost]
    assert any(h.engine.role == "leader" for h in survivors)
    for host in survivors:
        assert b"acknowledged" in host.values


def test_entry_on_one_synced_disk_is_not_acknowledged():
    """The only follower receives the entry, but its disk hangs."""
    group = simulated_group.Group("abc", "abc", 3)
    leader = group.elect()
    group.run(1.0)
    hanging, dead = (h for h in group.hosts.values() if h is not leader)
    dead.crash()
    hanging._execute = lambda output: None
    operation = group.write(leader, b"held by two, synced by one")
    group.run(3.0)
    assert hanging.engine.last_index >= operation.index
    assert not operation.done


def test_unwritable_replica_grants_and_accepts_nothing():
    follower = new_engine(types.HardState(2, None))
    send(follower, KIND.HEARTBEAT, B, 2)
    follower.set_writable(False)
    ask = {"index": 9, "log_term": 2}
    assert not send(follower, KIND.PRE_VOTE, C, 3, **ask).messages
    assert send(follower, KIND.VOTE, C, 3, granted=True, **ask) == (
        types.Output()
    )
    assert send(follower, KIND.TIMEOUT_NOW, B, 2) == types.Output()
    more = {"index": 1, "log_term": 1, "entries": (entry(2, 2),)}
    assert send(follower, KIND.APPEND, B, 2, **more) == types.Output()
    follower.tick(99.0)
    assert follower.role == "follower"
    assert follower.take_output() == types.Output()
    follower.set_writable(True)
    assert send(follower, KIND.APPEND, B, 2, **more).entries == (entry(2, 2),)


def test_unwritable_replica_follows_and_reports_it():
    follower = new_engine(types.HardState(2, None))
    follower.set_writable(False)
    output = send(follower, KIND.HEARTBEAT, B, 2, round=3)
    assert output.messages[0].full
    assert output.messages[0].round == 3
    send(follower, KIND.APPEND, C, 3, index=1, log_term=1)
    assert follower.leader == C


def test_unwritable_leader_refuses_proposals_without_a_writable_majority():
    leader = new_engine(types.HardState(1, None))
    win_election(leader)
    leader.set_writable(False)
    send(leader, KIND.HEARTBEAT_REPLY, B, 2, full=True)
    assert not leader.can_commit
    with pytest.raises(engine.NoRoomError):
        leader.propose(b"x", 0.1)


def test_unwritable_leader_transfers_once_the_others_committed_its_log():
    everyone = dataclasses.replace(THREE, with_disk=frozenset("abc"))
    stored = types.StoredState(
        "i",
        types.HardState(1, None),
        None,
        (membership_entry(1, 1, everyone),),
        with_disk=True,
    )
    leader = engine.Engine(
        "g", A, stored, engine.Options(), 0.0, random.Random(1)
    )
    win_election(leader)
    leader.set_writable(False)
    held = {"granted": True, "index": 2, "synced": 2}
    output = send(leader, KIND.APPEND_REPLY, B, 2, **held)
    assert KIND.TIMEOUT_NOW not in {one.kind for one in output.messages}
    with pytest.raises(engine.NotLeaderError):
        leader.propose(b"x", 0.1)
    output = send(leader, KIND.APPEND_REPLY, C, 2, **held)
    orders = [one for one in output.messages if one.kind is KIND.TIMEOUT_NOW]
    assert len(orders) == 1
    assert leader.committed == 2


def test_leader_refuses_proposals_while_no_follower_can_write():
    leader = new_engine(types.HardState(1, None))
    win_election(leader)
    for member in (B, C):
        send(leader, KIND.HEARTBEAT_REPLY, member, 2, full=True)
    with pytest.raises(engine.NoRoomError):
        leader.propose(b"x", 0.1)
    send(leader, KIND.HEARTBEAT_REPLY, C, 2)
    assert leader.can_commit
    leader.propose(b"x", 0.1)


def test_unwritable_member_is_sent_no_entries():
    leader = new_engine(types.HardState(1, None))
    win_election(leader)
    for member in (B, C):
        send(leader, KIND.APPEND_REPLY, member, 2, granted=True, index=2)
    send(leader, KIND.HEARTBEAT_REPLY, B, 2, full=True)
    leader.propose(b"x", 0.1)
    sent = leader.take_output().messages
    assert [one.target for one in sent if one.entries] == [C]
    output = send(leader, KIND.HEARTBEAT_REPLY, B, 2)
    assert [one.target for one in output.messages if one.entries] == [B]


def test_entries_dropped_by_a_full_member_are_retransmitted():
    leader = new_engine(types.HardState(1, None))
    win_election(leader)
    for member in (B, C):
        send(leader, KIND.APPEND_REPLY, member, 2, granted=True, index=2)
    leader.propose(b"x", 0.1)
    assert len([one for one in leader.take_output().messages if one.entries])
    send(leader, KIND.HEARTBEAT_REPLY, B, 2, full=True)
    output = send(leader, KIND.HEARTBEAT_REPLY, B, 2)
    again = [one for one in output.messages if one.entries]
    assert [(one.target, one.entries[0].data) for one in again] == [(B, b"x")]


def test_election_timeout_stays_short_under_continuous_reads():
    """Reads do not postpone the periodic heartbeats of the leader.

    Each read sends a round of heartbeats. If that round postponed the next
    periodic one, gaps of nearly two heartbeat intervals would appear, as the
    host aligns its ticks, and the election timeout would double.
    """
    options = engine.Options(0.8, 0.1)
    stored = types.StoredState(
        "i", types.HardState(1, None), None, (FOUNDING,), with_disk=True
    )
    leader = engine.Engine("g", A, stored, options, 0.0, random.Random(1))
    leader.tick(10.0)
    for kind in (KIND.PRE_VOTE_REPLY, KIND.VOTE_REPLY):
        leader.step(types.Message(kind, B, A, 2, granted=True), 10.0)
    leader.take_output()
    leader.on_synced(2, 2)
    first = types.Message(KIND.APPEND_REPLY, B, A, 2, granted=True, index=2)
    leader.step(first, 10.0)
    assert leader.committed == 2
    source = random.Random(7)
    timeout = election_timeout.ElectionTimeout(options)
    now, read_at = 10.0, 10.25
    while now < 40.0:
        requested_at = leader.next_tick()
        tick_at = tick_alignment.aligned_tick_at(requested_at, 0.1, leads=True)
        now = max(now, min(tick_at, read_at))
        if now >= tick_at:
            leader.tick(
                tick_alignment.aligned_time(now, requested_at, 0.1, leads=True)
            )
        else:
            leader.read(now)
            read_at += source.expovariate(1.5 / 0.1)
        sent = [one for one in leader.take_output().messages if one.target == B]
        if not any(one.kind is KIND.HEARTBEAT for one in sent):
            continue
        timeout.on_leader_message(now)
        for member in (B, C):
            answer = types.Message(
                KIND.HEARTBEAT_REPLY, member, A, 2, round=sent[-1].round
            )
            leader.step(answer, now)
    assert leader.role == "leader"
    assert timeout.seconds == pytest.approx(0.3, abs=0.05)
