"""Membership rules: quorums, commits and changes."""

import typing
from collections import abc

from laburnumsill.consensus import engine_errors
from laburnumsill.consensus import types

Number = typing.TypeVar("Number", int, float)


def members(membership: types.Membership) -> tuple[types.ReplicaId, ...]:
    """Returns the voters and the learners."""
    return membership.voters + membership.learners


def majority(membership: types.Membership) -> int:
    """Returns the smallest number of voters that is a majority.

    Examples:
        >>> three = tuple(types.ReplicaId(vm, "i") for vm in "abc")
        >>> majority(types.Membership(three))
        2
    """
    return len(membership.voters) // 2 + 1


def reached_by_majority(
    membership: types.Membership,
    value: abc.Callable[[types.ReplicaId], Number],
) -> Number:
    """Returns the highest value that a majority of the voters has reached.

    Args:
        membership: A membership with at least one voter.
        value: Returns the value that a voter has reached.
    """
    values = sorted((value(voter) for voter in membership.voters), reverse=True)
    return values[majority(membership) - 1]


def committable_index(
    membership: types.Membership,
    match_index: abc.Callable[[types.ReplicaId], int],
    synced_index: abc.Callable[[types.ReplicaId], int],
) -> int:
    """Returns the highest index that may be committed.

    A majority of the voters must hold the entry, and at least one synced disk
    if any voter is in `with_disk`. If both conditions hold for an index, they
    hold for all lower ones. The disk may be that of any voter, so that a group
    whose `with_disk` is incomplete can commit after those listed are lost.

    Args:
        membership: A membership with at least one voter.
        match_index: Returns the highest index that a voter holds.
        synced_index: Returns the highest index on a voter's synced disk, 0
            without a disk.
    """
    index = reached_by_majority(membership, match_index)
    if not any(voter.vm in membership.with_disk for voter in membership.voters):
        return index
    return min(index, max(map(synced_index, membership.voters)))


def check_change(old: types.Membership, new: types.Membership) -> None:
    """Checks that the membership may change from `old` to `new`.

    Any majorities of two memberships that differ by one voter overlap, so
    that no two leaders are elected in one term.

    Raises:
        engine_errors.InvalidMembershipError: The change is not allowed.
    """
    if not new.voters:
        raise engine_errors.InvalidMembershipError(
            "the membership has no voters"
        )
    all_members = members(new)
    vms = {member.vm for member in all_members}
    if len(set(all_members)) != len(all_members):
        raise engine_errors.InvalidMembershipError(
            f"duplicate replica in {all_members!r}"
        )
    if not new.with_disk <= vms:
        raise engine_errors.InvalidMembershipError(
            f"with_disk has non-members: {sorted(new.with_disk - vms)!r}"
        )
    changed = set(old.voters) ^ set(new.voters)
    if len(changed) > 1:
        raise engine_errors.InvalidMembershipError(
            f"more than one voter changes: {sorted(changed)!r}"
        )
