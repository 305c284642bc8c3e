"""Rules about the make-up of a group: quorums, commits, changes."""

import typing
from collections import abc

from laburnumsill.consensus import engine_errors
from laburnumsill.consensus import types

Number = typing.TypeVar("Number", int, float)


def members(membership: types.Membership) -> tuple[types.ReplicaId, ...]:
    """Returns the voters and the learners."""
    return membership.voters + membership.learners


def majority(membership: types.Membership) -> int:
    """Returns how many voters are more than half of them.

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
    """Returns the highest number that a majority of voters has reached.

    Args:
        membership: The make-up of the group, with at least one voter.
        value: What a voter has reached.
    """
    values = sorted((value(voter) for voter in membership.voters), reverse=True)
    return values[majority(membership) - 1]


def committable(
    membership: types.Membership,
    held: abc.Callable[[types.ReplicaId], int],
    synced: abc.Callable[[types.ReplicaId], int],
) -> int:
    """Returns the highest index that may be committed.

    A majority of the voters must hold it, and one synced disk must if the
    membership counts on any. Both conditions hold for all lower indexes too.
    The disk may be any voter's: a group whose membership has lost the marks of
    some disks goes on when those that are marked are gone.

    Args:
        membership: The make-up of the group, with at least one voter.
        held: The highest index a voter holds.
        synced: The highest index on a voter's synced disk, 0 without one.
    """
    index = reached_by_majority(membership, held)
    if not any(voter.vm in membership.with_disk for voter in membership.voters):
        return index
    return min(index, max(map(synced, membership.voters)))


def check_change(old: types.Membership, new: types.Membership) -> None:
    """Checks that `new` may directly follow `old`.

    Majorities of two memberships that differ by one voter always share a
    voter, so that two leaders cannot be elected in one term.

    Raises:
        engine_errors.InvalidMembershipError: It may not.
    """
    if not new.voters:
        raise engine_errors.InvalidMembershipError("no voters are left")
    everyone = members(new)
    vms = {member.vm for member in everyone}
    if len(set(everyone)) != len(everyone):
        raise engine_errors.InvalidMembershipError(
            f"a replica appears twice in {everyone!r}"
        )
    if not new.with_disk <= vms:
        raise engine_errors.InvalidMembershipError(
            f"no members: {sorted(new.with_disk - vms)!r}"
        )
    changed = set(old.voters) ^ set(new.voters)
    if len(changed) > 1:
        raise engine_errors.InvalidMembershipError(
            f"more than one voter changes: {sorted(changed)!r}"
        )
