"""Focused tests of the consensus engine."""

import dataclasses

import pytest

from laburnumsill.consensus import engine
from laburnumsill.consensus import types
from laburnumsill.consensus.tests import simulated_group


def elected(vms="abc", disks="ab", seed=1):
    group = simulated_group.Group(vms, disks, seed)
    return group, group.elect()


def settle(group, operation):
    group.run_until(lambda: operation.done)


def test_elects_replicates_and_reads():
    group, leader = elected()
    operations = [group.write(leader, b"v%d" % n) for n in range(50)]
    operations.append(group.read(leader))
    group.run_until(lambda: all(one.done for one in operations))
    group.run(1.0)
    expected = [b"v%d" % n for n in range(50)]
    assert all(host.values == expected for host in group.hosts.values())
    with pytest.raises(engine.NotLeaderError) as raised:
        other = next(x for x in group.hosts.values() if x is not leader)
        other.engine.propose(b"x", group.now)
    assert raised.value.leader == leader.me.vm


def test_late_follower_gets_snapshot_and_tail():
    group, leader = elected()
    late = next(x for x in group.hosts.values() if x is not leader)
    late.crash()
    for n in range(100):
        settle(group, group.write(leader, b"v%d" % n))
        if n == 80:
            group.run_until(lambda: not leader.outputs)
            leader.snapshot()
    late.boot()
    group.run_until(lambda: late.values == leader.values)
    assert late.engine.term_at(20) is None


def test_isolated_leader_steps_down_and_fails_its_reads():
    group, leader = elected()
    group.run(1.0)  # the founding membership reaches all
    group.isolate(leader.me.vm)
    read = group.read(leader)
    write = group.write(leader, b"x")
    group.run(engine.Options().election_timeout_s + 0.1)
    assert leader.engine.role != "leader"
    assert not (read.done or write.done or leader.reads)
    group.run(5.0)
    other, term = group.leader(), group.leader().engine.term
    assert other is not leader
    group.cut.clear()
    group.run(5.0)
    assert group.leader() is other
    assert (other.engine.term, leader.engine.term) == (term, term)


def test_transfer():
    group, leader = elected()
    target = next(x for x in group.hosts.values() if x is not leader)
    leader.engine.transfer(target.me.vm, group.now)
    group.run_until(lambda: group.leader() is target, 2.0)
    with pytest.raises(engine.NotLeaderError):
        leader.engine.transfer(target.me.vm, group.now)


def test_no_commit_without_a_synced_disk():
    group, leader = elected("abcde", "a")
    if leader.me.vm != "a":
        leader.engine.transfer("a", group.now)
        group.run_until(lambda: group.leader() is group.hosts["a"])
    settle(group, group.write(group.leader(), b"x"))
    group.hosts["a"].crash()
    group.run_until(lambda: group.leader())
    write = group.write(group.leader(), b"y")
    group.run(3.0)
    assert not write.done
    group.hosts["a"].boot()
    group.run_until(lambda: any(b"y" in x.values for x in group.hosts.values()))


def test_messages_to_another_incarnation_are_dropped():
    me = types.ReplicaId("a", "new")
    stored = types.Stored("new", types.HardState(), None, ())
    group, _ = elected()
    made = engine.Engine("g", me, stored, engine.Options(), 0.0, group.random)
    vote = types.Message(
        types.MessageKind.VOTE, types.ReplicaId("b", "i"), me, 9, index=5
    )
    old = types.ReplicaId("a", "old")
    made.step(dataclasses.replace(vote, target=old), 0.0)
    assert not made.take_output().messages
    made.step(vote, 0.0)
    output = made.take_output()
    assert output.messages[0].granted and output.hard_state.vote.vm == "b"
    made.tick(100.0)
    assert made.role == "learner" and not made.take_output().messages


def test_membership_rules():
    group, leader = elected()
    settle(group, group.write(leader, b"x"))
    made = leader.engine
    fresh = types.ReplicaId("d", "i")
    present = made.membership
    with pytest.raises(engine.InvalidMembershipError):
        voters = (*present.voters[1:], fresh)
        made.propose_membership(types.Membership(voters), group.now)
    learner = dataclasses.replace(present, learners=(fresh,))
    made.propose_membership(learner, group.now)
    with pytest.raises(engine.MembershipPendingError):
        made.propose_membership(present, group.now)


def test_replacement_then_second_loss():
    group, _ = elected("abc", "abc")
    group.hosts["b"].crash()
    group.elect()
    fresh = group.add("d").me
    steps = (
        lambda m: dataclasses.replace(m, learners=(fresh,)),
        lambda m: types.Membership((*m.voters, fresh), (), m.with_disk),
        lambda m: types.Membership(
            tuple(x for x in m.voters if x.vm != "b"), (), frozenset("ac")
        ),
    )
    for step in steps:
        group.run_until(
            lambda step=step: (
                group.leader()
                and group.change(
                    group.leader(), step(group.leader().engine.membership)
                )
            )
        )
        group.run(1.0)
    group.hosts["a"].crash()
    group.run(4.0)
    settle(group, group.write(group.leader(), b"after"))


def test_lost_disk_comes_back_without_a_vote():
    group, leader = elected("abc", "abc")
    group.run(1.0)
    loser, late = (x for x in group.hosts.values() if x is not leader)
    group.isolate(late.me.vm)
    write = group.write(leader, b"only on two")
    settle(group, write)
    leader.crash(seconds=20.0)
    group.add(loser.me.vm)
    group.cut.clear()
    group.run(15.0)
    assert group.leader() is None
    group.run(15.0)
    assert group.leader() is leader
    settle(group, group.read(leader))
    assert late.values == leader.values == [b"only on two"]


def test_removed_leader_hands_over_and_disturbs_no_one():
    group, leader = elected()
    settle(group, group.write(leader, b"x"))
    left = tuple(x for x in leader.engine.membership.voters if x != leader.me)
    group.change(leader, types.Membership(left))
    group.run(3.0)
    other, term = group.leader(), group.leader().engine.term
    assert leader.engine.role == "learner"
    group.run(10.0)
    assert (group.leader(), other.engine.term) == (other, term)


def test_replica_that_missed_its_removal_disturbs_no_one():
    group, leader = elected()
    settle(group, group.write(leader, b"x"))
    gone = next(x for x in group.hosts.values() if x is not leader)
    group.isolate(gone.me.vm)
    left = tuple(x for x in leader.engine.membership.voters if x != gone.me)
    group.change(leader, types.Membership(left))
    group.run(1.0)
    term = leader.engine.term
    group.cut.clear()
    group.run(10.0)
    assert (group.leader(), leader.engine.term) == (leader, term)
    assert gone.engine.role == "candidate"
