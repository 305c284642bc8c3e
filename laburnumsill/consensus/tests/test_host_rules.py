"""Rules for the bootstrap, recovery and membership changes of a group."""

import dataclasses

import hypothesis
import pytest
from hypothesis import strategies

from laburnumsill.consensus import group_bootstrap
from laburnumsill.consensus import host_messages
from laburnumsill.consensus import host_recovery
from laburnumsill.consensus import membership
from laburnumsill.consensus import membership_change
from laburnumsill.consensus import types

A, B, C = (types.ReplicaId(vm, "1") for vm in "abc")
B2, C2, D = (types.ReplicaId(vm, "2") for vm in "bcd")
DISK_A = types.Membership((A, B, C), (), frozenset("a"))


def answer(replica: types.ReplicaId, **fields) -> host_messages.HelloAnswer:
    return host_messages.HelloAnswer(replica, **fields)


def test_bootstrap_requires_all_initial_voters_to_be_fresh():
    fresh = {"b": answer(B, fresh=True), "c": answer(C, fresh=True)}

    def bootstrap(answers):
        return group_bootstrap.initial_membership(
            A, True, ["a", "b", "c"], answers
        )

    assert bootstrap(fresh) == DISK_A
    assert bootstrap({"b": fresh["b"]}) is None
    assert bootstrap({**fresh, "c": answer(C)}) is None
    assert bootstrap({**fresh, "d": answer(D)}) is None
    assert bootstrap({**fresh, "c": host_messages.HelloAnswer()}) is None


OWN_ANSWER = answer(A, term=4, last_term=3, last_index=9)
LOST_ANSWERS = {"b": answer(B2, fresh=True), "c": answer(C2, fresh=True)}


def test_the_only_disk_recovers_the_group():
    recovery = host_recovery.recovery_membership(
        DISK_A, OWN_ANSWER, LOST_ANSWERS
    )
    assert recovery == (5, types.Membership((A,), (), frozenset("a")))


@pytest.mark.parametrize(
    ("membership_at_loss", "answers"),
    [
        (DISK_A, {"b": LOST_ANSWERS["b"]}),
        (DISK_A, {**LOST_ANSWERS, "c": answer(C)}),
        (DISK_A, {**LOST_ANSWERS, "d": answer(D, leader="d")}),
        (DISK_A, {**LOST_ANSWERS, "c": host_messages.HelloAnswer()}),
        (types.Membership((A, B, C), (), frozenset("ab")), LOST_ANSWERS),
        (types.Membership((A, B, C)), LOST_ANSWERS),
    ],
)
def test_no_recovery_if_an_acknowledged_entry_could_be_lost(
    membership_at_loss, answers
):
    assert (
        host_recovery.recovery_membership(
            membership_at_loss, OWN_ANSWER, answers
        )
        is None
    )


def test_the_survivor_with_the_newest_log_recovers():
    voters = tuple(types.ReplicaId(vm, "1") for vm in "abcde")
    five = types.Membership(voters, (), frozenset("ab"))
    lost = {vm: answer(types.ReplicaId(vm, "2"), fresh=True) for vm in "cde"}
    newer = answer(B, term=6, last_term=4, last_index=2)
    at_a = host_recovery.recovery_membership(
        five, OWN_ANSWER, {**lost, "b": newer}
    )
    at_b = host_recovery.recovery_membership(
        five, newer, {**lost, "a": OWN_ANSWER}
    )
    assert at_a is None
    left = types.Membership((A, B), (), frozenset("ab"))
    assert at_b == (7, left)


@dataclasses.dataclass
class CommittingGroup:
    """A group whose membership changes are all committed at once."""

    current: types.Membership
    desired: list[str]
    running: dict[str, types.ReplicaId]

    def run(self) -> types.Membership:
        for step in range(40):
            members = {*self.current.voters, *self.current.learners}
            reachable = frozenset(members & set(self.running.values()))
            view = membership_change.MembershipView(
                self.current,
                self.desired,
                {
                    vm: membership_change.JoinRequest(replica, vm in "abc")
                    for vm, replica in self.running.items()
                },
                reachable if step > 10 else frozenset(),
                reachable,
                frozenset("abc"),
            )
            change = membership_change.next_change(view)
            if change is None:
                continue
            membership.check_change(self.current, change)
            self.check(change)
            self.current = change
        return self.current

    def check(self, change: types.Membership) -> None:
        alive = sum(v in self.running.values() for v in change.voters)
        assert alive > len(change.voters) // 2
        lost = sum(v not in self.running.values() for v in DISK_A.voters)
        assert len(change.voters) >= 3 - lost
        for voter in set(change.voters) & set(DISK_A.voters):
            assert (voter.vm in change.with_disk) == (voter == A)


@hypothesis.given(
    strategies.permutations("abcde"),
    strategies.sets(strategies.sampled_from("abcde"), max_size=5),
    strategies.booleans(),
)
def test_desired_voters_are_reached_by_single_changes(
    order, lost_vms, five_voters
):
    """At most one initial voter is lost; all other replicas stay reachable."""
    lost = [vm for vm in "abc" if vm in lost_vms][:1]
    running = {vm: types.ReplicaId(vm, "1") for vm in "abcde"}
    for vm in lost:
        running[vm] = types.ReplicaId(vm, "2")
    desired = list(order[: 5 if five_voters else 3])
    reached = CommittingGroup(DISK_A, desired, running).run()
    assert {voter.vm for voter in reached.voters} == set(desired)
    assert set(reached.voters) <= set(running.values())
    assert reached.learners == ()
    old = {voter.vm for voter in reached.voters if voter in DISK_A.voters}
    new = {voter.vm for voter in reached.voters} - old
    assert reached.with_disk == (old & {"a"}) | (new & set("abc"))


def test_without_desired_voters_nothing_changes():
    replicas = frozenset(DISK_A.voters)
    view = membership_change.MembershipView(
        DISK_A, (), {}, replicas, replicas, frozenset()
    )
    assert membership_change.next_change(view) is None
