"""Membership changes: the record of disks, and the order of the changes."""

import pytest

from laburnumsill.consensus import membership_change
from laburnumsill.consensus import types

A, B, C, D = (types.ReplicaId(vm, "1") for vm in "abcd")
C2 = types.ReplicaId("c", "2")


def view(membership, desired, candidates=(), caught_up=(), disks=""):
    return membership_change.MembershipView(
        membership,
        list(desired),
        {request.replica.vm: request for request in candidates},
        frozenset(caught_up),
        frozenset({A, B, *caught_up}),
        frozenset(disks),
    )


@pytest.mark.parametrize("disks", ["", "ab"])
def test_the_disk_of_a_learner_counts_after_a_leader_change(disks):
    """The new leader has not received the join request of the learner."""
    membership = types.Membership((A, B, C), (D,), frozenset("abcd"))
    change = membership_change.next_change(
        view(membership, "abd", caught_up=(D,), disks=disks)
    )
    assert D in change.voters
    assert change.with_disk == frozenset("abcd")


def test_a_replaced_disk_counts_after_a_leader_change():
    membership = types.Membership((A, B, C), (C2,), frozenset("abc"))
    while (
        change := membership_change.next_change(
            view(membership, "abc", caught_up=(C2,))
        )
    ) is not None:
        membership = change
    assert membership.voters == (A, B, C2)
    assert membership.with_disk == frozenset("abc")


def test_a_successor_without_a_disk_clears_the_disk_record():
    membership = types.Membership((A, B), (C2,), frozenset("abc"))
    request = membership_change.JoinRequest(C2, False)
    change = membership_change.next_change(
        view(membership, "abc", [request], caught_up=(C2,))
    )
    assert change.with_disk == frozenset("ab")


def test_a_failed_voter_is_removed_before_the_next_promotion():
    """There is never more than one voter above the desired number."""
    replicas = [types.ReplicaId(vm, "1") for vm in "abcdefg"]
    membership = types.Membership(
        tuple(replicas[:5]), tuple(replicas[5:]), frozenset("abcdefg")
    )
    alive = frozenset(replicas[2:])
    sizes = []
    while (
        change := membership_change.next_change(
            membership_change.MembershipView(
                membership, list("cdefg"), {}, alive, alive, frozenset()
            )
        )
    ) is not None:
        membership = change
        sizes.append(len(membership.voters))
    assert membership.voters == tuple(replicas[2:])
    assert sizes == [6, 5, 6, 5]
