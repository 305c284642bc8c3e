"""Which disks a membership counts on while its members change."""

import pytest

from laburnumsill.consensus import group_make_up
from laburnumsill.consensus import types

A, B, C, D = (types.ReplicaId(vm, "1") for vm in "abcd")
C_AGAIN = types.ReplicaId("c", "2")


def view(membership, desired, candidates=(), caught_up=(), disks=""):
    return group_make_up.MembershipView(
        membership,
        list(desired),
        {one.replica.vm: one for one in candidates},
        frozenset(caught_up),
        frozenset({A, B, *caught_up}),
        frozenset(disks),
    )


@pytest.mark.parametrize("disks", ["", "ab"])
def test_the_disk_of_a_learner_counts_though_another_vm_leads_meanwhile(disks):
    """The next leader never heard the learner ask to join."""
    membership = types.Membership((A, B, C), (D,), frozenset("abcd"))
    change = group_make_up.next_change(
        view(membership, "abd", caught_up=(D,), disks=disks)
    )
    assert D in change.voters
    assert change.with_disk == frozenset("abcd")


def test_a_disk_that_was_lost_counts_again_though_another_vm_leads():
    membership = types.Membership((A, B, C), (C_AGAIN,), frozenset("abc"))
    while (
        change := group_make_up.next_change(
            view(membership, "abc", caught_up=(C_AGAIN,))
        )
    ) is not None:
        membership = change
    assert membership.voters == (A, B, C_AGAIN)
    assert membership.with_disk == frozenset("abc")


def test_a_replica_without_a_disk_takes_the_mark_of_the_one_before_away():
    membership = types.Membership((A, B), (C_AGAIN,), frozenset("abc"))
    asked = group_make_up.JoinRequest(C_AGAIN, False)
    change = group_make_up.next_change(
        view(membership, "abc", [asked], caught_up=(C_AGAIN,))
    )
    assert change.with_disk == frozenset("ab")


def test_a_dead_voter_leaves_before_the_next_spare_votes():
    """There is never more than one voter above those that are wanted."""
    replicas = [types.ReplicaId(vm, "1") for vm in "abcdefg"]
    membership = types.Membership(
        tuple(replicas[:5]), tuple(replicas[5:]), frozenset("abcdefg")
    )
    here = frozenset(replicas[2:])
    sizes = []
    while (
        change := group_make_up.next_change(
            group_make_up.MembershipView(
                membership, list("cdefg"), {}, here, here, frozenset()
            )
        )
    ) is not None:
        membership = change
        sizes.append(len(membership.voters))
    assert membership.voters == tuple(replicas[2:])
    assert sizes == [6, 5, 6, 5]
