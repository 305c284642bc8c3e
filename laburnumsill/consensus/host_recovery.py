"""Bringing a group back after most of its memory-only voters restarted.

An acknowledged entry is on a majority and on at least one synced disk. If a
majority of the voters has lost its state, no leader can be elected, yet the
disks still hold everything that was acknowledged, provided that no disk is
among the losses. A disk is lost where the voter was marked to have one, or
where its successor has one. Then the surviving voter with the newest log goes
on with the survivors alone, and the others rejoin as new replicas.

The newest log has every acknowledged entry: the entry is on some surviving
disk, and a log that ends in a later term, or in the same term further on,
contains it, because the leader of a term has all entries committed before it.
"""

from collections import abc

from laburnumsill.consensus import host_messages
from laburnumsill.consensus import types

Answers = abc.Mapping[str, host_messages.HelloAnswer]


def survivors(
    membership: types.Membership,
    me: host_messages.HelloAnswer,
    answers: Answers,
) -> dict[types.ReplicaId, host_messages.HelloAnswer] | None:
    """Returns the voters that are left, or None if nothing may be done.

    Nothing may be done while a leader is known to anyone, while any voter is
    silent, when a majority is left, or when a disk is lost.

    Args:
        membership: The newest membership known here.
        me: What this replica would answer.
        answers: What the other VMs answered.
    """
    everyone = dict(answers)
    if me.replica is not None:
        everyone[me.replica.vm] = me
    if any(answer.leader for answer in everyone.values()):
        return None
    left = {}
    for voter in membership.voters:
        answer = everyone.get(voter.vm)
        if answer is None or answer.replica is None:
            return None
        if answer.replica == voter:
            left[voter] = answer
        elif voter.vm in membership.with_disk or answer.with_disk:
            return None
    if not left or len(left) > len(membership.voters) // 2:
        return None
    disks_left = any(voter.vm in membership.with_disk for voter in left)
    return left if disks_left else None


def recovery_entry(
    membership: types.Membership,
    me: host_messages.HelloAnswer,
    answers: Answers,
) -> tuple[int, types.Membership] | None:
    """Returns the term and membership to go on with, or None.

    Only the voter with the newest log gets one; of several, the one whose id
    comes first.

    Args:
        membership: The newest membership known here.
        me: What this replica would answer.
        answers: What the other VMs answered.
    """
    left = survivors(membership, me, answers)
    if left is None:
        return None
    newest = min(
        left,
        key=lambda voter: (
            -left[voter].last_term,
            -left[voter].last_index,
            voter,
        ),
    )
    if newest != me.replica:
        return None
    term = 1 + max(answer.term for answer in left.values())
    voters = tuple(voter for voter in membership.voters if voter in left)
    disks = {voter.vm for voter in voters} & membership.with_disk
    return term, types.Membership(voters, (), frozenset(disks))
