"""When a group may be founded, recovered or changed."""

import dataclasses

import hypothesis
import pytest
from hypothesis import strategies

from laburnumsill.consensus import founding
from laburnumsill.consensus import group_make_up
from laburnumsill.consensus import host_messages
from laburnumsill.consensus import host_recovery
from laburnumsill.consensus import membership
from laburnumsill.consensus import types

A, B, C = (types.ReplicaId(vm, "1") for vm in "abc")
B2, C2, D = (types.ReplicaId(vm, "2") for vm in "bcd")
DISK_A = types.Membership((A, B, C), (), frozenset("a"))


def answer(replica: types.ReplicaId, **fields) -> host_messages.HelloAnswer:
    return host_messages.HelloAnswer(replica, **fields)


def test_a_group_is_founded_only_when_all_first_voters_are_fresh():
    fresh = {"b": answer(B, fresh=True), "c": answer(C, fresh=True)}

    def found(answers):
        return founding.initial_membership(A, True, ["a", "b", "c"], answers)

    assert found(fresh) == DISK_A
    assert found({"b": fresh["b"]}) is None
    assert found({**fresh, "c": answer(C)}) is None
    assert found({**fresh, "d": answer(D)}) is None
    assert found({**fresh, "c": host_messages.HelloAnswer()}) is None


OLD = answer(A, term=4, last_term=3, last_index=9)
LOST = {"b": answer(B2, fresh=True), "c": answer(C2, fresh=True)}


def test_a_group_goes_on_from_its_only_disk():
    found = host_recovery.recovery_membership(DISK_A, OLD, LOST)
    assert found == (5, types.Membership((A,), (), frozenset("a")))


@pytest.mark.parametrize(
    ("made_of", "answers"),
    [
        (DISK_A, {"b": LOST["b"]}),
        (DISK_A, {**LOST, "c": answer(C)}),
        (DISK_A, {**LOST, "d": answer(D, leader="d")}),
        (DISK_A, {**LOST, "c": host_messages.HelloAnswer()}),
        (types.Membership((A, B, C), (), frozenset("ab")), LOST),
        (types.Membership((A, B, C)), LOST),
    ],
)
def test_a_group_is_not_recovered_where_that_could_lose_something(
    made_of, answers
):
    assert host_recovery.recovery_membership(made_of, OLD, answers) is None


def test_the_newest_survivor_recovers():
    voters = tuple(types.ReplicaId(vm, "1") for vm in "abcde")
    five = types.Membership(voters, (), frozenset("ab"))
    lost = {vm: answer(types.ReplicaId(vm, "2"), fresh=True) for vm in "cde"}
    newer = answer(B, term=6, last_term=4, last_index=2)
    at_a = host_recovery.recovery_membership(five, OLD, {**lost, "b": newer})
    at_b = host_recovery.recovery_membership(five, newer, {**lost, "a": OLD})
    assert at_a is None
    left = types.Membership((A, B), (), frozenset("ab"))
    assert at_b == (7, left)


@dataclasses.dataclass
class Made:
    """A group whose every change is committed at once."""

    present: types.Membership
    desired: list[str]
    here: dict[str, types.ReplicaId]

    def run(self) -> types.Membership:
        for turn in range(40):
            known = {*self.present.voters, *self.present.learners}
            there = frozenset(known & set(self.here.values()))
            view = group_make_up.MembershipView(
                self.present,
                self.desired,
                {
                    vm: group_make_up.JoinRequest(replica, vm in "abc")
                    for vm, replica in self.here.items()
                },
                there if turn > 10 else frozenset(),
                there,
                frozenset("abc"),
            )
            change = group_make_up.next_change(view)
            if change is None:
                continue
            membership.check_change(self.present, change)
            self.check(change)
            self.present = change
        return self.present

    def check(self, change: types.Membership) -> None:
        alive = sum(v in self.here.values() for v in change.voters)
        assert alive > len(change.voters) // 2
        lost = sum(v not in self.here.values() for v in DISK_A.voters)
        assert len(change.voters) >= 3 - lost
        for voter in set(change.voters) & set(DISK_A.voters):
            assert (voter.vm in change.with_disk) == (voter == A)


@hypothesis.given(
    strategies.permutations("abcde"),
    strategies.sets(strategies.sampled_from("abcde"), max_size=5),
    strategies.booleans(),
)
def test_any_make_up_is_reached_one_voter_at_a_time(order, renewed, odd):
    """One old voter at most is lost; the rest is there throughout."""
    lost = [vm for vm in "abc" if vm in renewed][:1]
    here = {vm: types.ReplicaId(vm, "1") for vm in "abcde"}
    for vm in lost:
        here[vm] = types.ReplicaId(vm, "2")
    desired = list(order[: 5 if odd else 3])
    reached = Made(DISK_A, desired, here).run()
    assert {voter.vm for voter in reached.voters} == set(desired)
    assert set(reached.voters) <= set(here.values())
    assert reached.learners == ()
    old = {voter.vm for voter in reached.voters if voter in DISK_A.voters}
    new = {voter.vm for voter in reached.voters} - old
    assert reached.with_disk == (old & {"a"}) | (new & set("abc"))


def test_a_group_that_the_make_up_lacks_is_left_alone():
    here = frozenset(DISK_A.voters)
    view = group_make_up.MembershipView(DISK_A, (), {}, here, here, frozenset())
    assert group_make_up.next_change(view) is None
