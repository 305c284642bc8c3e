"""Tests of the consensus engine on a simulated group."""

import dataclasses

import pytest

from laburnumsill.consensus import engine
from laburnumsill.consensus import types
from laburnumsill.consensus.tests import simulated_group


def elected_group(vms="abc", disks="ab", seed=1):
    group = simulated_group.Group(vms, disks, seed)
    return group, group.elect()


def run_until_done(group, operation):
    group.run_until(lambda: operation.done)


def test_elects_replicates_and_reads():
    group, leader = elected_group()
    operations = [group.write(leader, b"v%d" % n) for n in range(50)]
    operations.append(group.read(leader))
    group.run_until(lambda: all(one.done for one in operations))
    group.run(1.0)
    expected = [b"v%d" % n for n in range(50)]
    assert all(host.values == expected for host in group.hosts.values())
    with pytest.raises(engine.NotLeaderError) as raised:
        other = next(x for x in group.hosts.values() if x is not leader)
        other.engine.propose(b"x", group.now)
    assert raised.value.leader == leader.replica_id.vm


def test_lagging_follower_receives_snapshot_and_later_entries():
    group, leader = elected_group()
    lagging = next(x for x in group.hosts.values() if x is not leader)
    lagging.crash()
    for n in range(100):
        run_until_done(group, group.write(leader, b"v%d" % n))
        if n == 80:
            group.run_until(lambda: not leader.outputs)
            leader.snapshot()
    lagging.boot()
    group.run_until(lambda: lagging.values == leader.values)
    assert lagging.engine.term_at(20) is None


def test_isolated_leader_steps_down_and_fails_its_reads():
    group, leader = elected_group()
    group.run(1.0)  # until every replica has the first membership
    group.isolate(leader.replica_id.vm)
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


@pytest.mark.parametrize("seed", range(5))
def test_a_paused_leader_does_not_confirm_its_lead_into_a_later_term(seed):
    """Guards against a lead that counts from when late replies are read.

    The replies had arrived before the leader was cut off and replaced.
    """
    group, old = elected_group(seed=seed)
    group.run(1.0)
    old.paused_until = group.now + 4.0
    group.run(0.3)
    assert old.inbox
    group.isolate(old.replica_id.vm, 8.0)
    group.run_until(lambda: group.leader() not in (None, old))
    group.run(4.0)  # the group checks the confirmed lead at each step
    assert group.leader() is not old


def test_transfer():
    group, leader = elected_group()
    target = next(x for x in group.hosts.values() if x is not leader)
    leader.engine.transfer_leadership(target.replica_id.vm, group.now)
    group.run_until(lambda: group.leader() is target, 2.0)
    with pytest.raises(engine.NotLeaderError):
        leader.engine.transfer_leadership(target.replica_id.vm, group.now)


def test_no_commit_without_a_synced_disk():
    group, leader = elected_group("abcde", "a")
    if leader.replica_id.vm != "a":
        leader.engine.transfer_leadership("a", group.now)
        group.run_until(lambda: group.leader() is group.hosts["a"])
    run_until_done(group, group.write(group.leader(), b"x"))
    group.hosts["a"].crash()
    group.run_until(lambda: group.leader())
    write = group.write(group.leader(), b"y")
    group.run(3.0)
    assert not write.done
    group.hosts["a"].boot()
    group.run_until(lambda: any(b"y" in x.values for x in group.hosts.values()))


def test_messages_to_another_incarnation_are_dropped():
    replica_id = types.ReplicaId("a", "new")
    stored = types.StoredState("new", types.HardState(), None, ())
    group, _ = elected_group()
    replica = engine.Engine(
        "g", replica_id, stored, engine.Options(), 0.0, group.random
    )
    vote = types.Message(
        types.MessageKind.VOTE,
        types.ReplicaId("b", "i"),
        replica_id,
        9,
        index=5,
    )
    old = types.ReplicaId("a", "old")
    replica.step(dataclasses.replace(vote, target=old), 0.0)
    assert not replica.take_output().messages
    replica.step(vote, 0.0)
    output = replica.take_output()
    assert output.messages[0].granted and output.hard_state.vote.vm == "b"
    replica.tick(100.0)
    assert replica.role == "learner" and not replica.take_output().messages


def test_membership_rules():
    group, leader = elected_group()
    run_until_done(group, group.write(leader, b"x"))
    replica = leader.engine
    new_replica = types.ReplicaId("d", "i")
    current = replica.membership
    with pytest.raises(engine.InvalidMembershipError):
        voters = (*current.voters[1:], new_replica)
        replica.propose_membership(types.Membership(voters), group.now)
    learner = dataclasses.replace(current, learners=(new_replica,))
    replica.propose_membership(learner, group.now)
    with pytest.raises(engine.MembershipPendingError):
        replica.propose_membership(current, group.now)


def test_voter_replacement_tolerates_a_second_failure():
    group, _ = elected_group("abc", "abc")
    group.hosts["b"].crash()
    group.elect()
    new_replica = group.add("d").replica_id
    steps = (
        lambda m: dataclasses.replace(m, learners=(new_replica,)),
        lambda m: types.Membership((*m.voters, new_replica), (), m.with_disk),
        lambda m: types.Membership(
            tuple(x for x in m.voters if x.vm != "b"), (), frozenset("ac")
        ),
    )
    for step in steps:
        group.run_until(
            lambda step=step: (
                group.leader()
                and group.change_membership(
                    group.leader(), step(group.leader().engine.membership)
                )
            )
        )
        group.run(1.0)
    group.hosts["a"].crash()
    group.run(4.0)
    run_until_done(group, group.write(group.leader(), b"after"))


def test_replica_that_lost_its_disk_returns_without_a_vote():
    group, leader = elected_group("abc", "abc")
    group.run(1.0)
    wiped, lagging = (x for x in group.hosts.values() if x is not leader)
    group.isolate(lagging.replica_id.vm)
    write = group.write(leader, b"only on two")
    run_until_done(group, write)
    leader.crash(seconds=20.0)
    group.add(wiped.replica_id.vm)
    group.cut.clear()
    group.run(15.0)
    assert group.leader() is None
    group.run(15.0)
    assert group.leader() is leader
    run_until_done(group, group.read(leader))
    assert lagging.values == leader.values == [b"only on two"]


def test_removed_leader_transfers_leadership_and_disturbs_no_one():
    group, leader = elected_group()
    run_until_done(group, group.write(leader, b"x"))
    remaining = tuple(
        x for x in leader.engine.membership.voters if x != leader.replica_id
    )
    group.change_membership(leader, types.Membership(remaining))
    group.run(3.0)
    other, term = group.leader(), group.leader().engine.term
    assert leader.engine.role == "learner"
    group.run(10.0)
    assert (group.leader(), other.engine.term) == (other, term)


def test_replica_that_missed_its_removal_disturbs_no_one():
    group, leader = elected_group()
    run_until_done(group, group.write(leader, b"x"))
    removed = next(x for x in group.hosts.values() if x is not leader)
    group.isolate(removed.replica_id.vm)
    remaining = tuple(
        x for x in leader.engine.membership.voters if x != removed.replica_id
    )
    group.change_membership(leader, types.Membership(remaining))
    group.run(1.0)
    term = leader.engine.term
    group.cut.clear()
    group.run(10.0)
    assert (group.leader(), leader.engine.term) == (leader, term)
    assert removed.engine.role == "candidate"
