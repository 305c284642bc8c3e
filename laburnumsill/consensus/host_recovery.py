"""Recovery of a group after a majority of voters restarted without their logs.

An acknowledged entry is on a majority of the voters and on at least one synced
disk. If a majority of the voters has lost its state, no leader can be elected,
but the disks still hold every acknowledged entry, provided that no disk is
lost. A restarted voter counts as a lost disk if the membership records a disk
for it, or if its new incarnation has a disk. If no disk is lost, the surviving
voter with the most up-to-date log continues with the survivors alone, and the
others rejoin as new replicas.

The most up-to-date log has every acknowledged entry. Such an entry is on a
surviving disk, and every log that ends in a later term, or at a higher index of
the same term, contains it, because the leader of a term has all entries
committed before that term.
"""

from collections import abc

from laburnumsill.consensus import host_messages
from laburnumsill.consensus import types

Answers = abc.Mapping[str, host_messages.HelloAnswer]


def survivors(
    membership: types.Membership,
    own_answer: host_messages.HelloAnswer,
    answers: Answers,
) -> dict[types.ReplicaId, host_messages.HelloAnswer] | None:
    """Returns the surviving voters, or None if the group may not be recovered.

    It may not be recovered while any replica knows a leader, while a voter has
    not answered, if a majority survives, or if a disk is lost.

    Args:
        membership: The latest membership in the log of this replica.
        own_answer: The answer of this replica to a hello.
        answers: The answers of the other VMs, by VM.
    """
    all_answers = dict(answers)
    if own_answer.replica is not None:
        all_answers[own_answer.replica.vm] = own_answer
    if any(answer.leader for answer in all_answers.values()):
        return None
    remaining = {}
    for voter in membership.voters:
        answer = all_answers.get(voter.vm)
        if answer is None or answer.replica is None:
            return None
        if answer.replica == voter:
            remaining[voter] = answer
        elif voter.vm in membership.with_disk or answer.with_disk:
            return None
    if not remaining or len(remaining) > len(membership.voters) // 2:
        return None
    disks_left = any(voter.vm in membership.with_disk for voter in remaining)
    return remaining if disks_left else None


def recovery_membership(
    membership: types.Membership,
    own_answer: host_messages.HelloAnswer,
    answers: Answers,
) -> tuple[int, types.Membership] | None:
    """Returns the term and membership for a recovery, or None.

    The result is None except on the survivor with the most up-to-date log. If
    several logs are equal, the replica whose id sorts first recovers the group.

    Args:
        membership: The latest membership in the log of this replica.
        own_answer: The answer of this replica to a hello.
        answers: The answers of the other VMs, by VM.
    """
    remaining = survivors(membership, own_answer, answers)
    if remaining is None:
        return None
    newest = min(
        remaining,
        key=lambda voter: (
            -remaining[voter].last_term,
            -remaining[voter].last_index,
            voter,
        ),
    )
    if newest != own_answer.replica:
        return None
    term = 1 + max(answer.term for answer in remaining.values())
    voters = tuple(voter for voter in membership.voters if voter in remaining)
    disks = {voter.vm for voter in voters} & membership.with_disk
    return term, types.Membership(voters, (), frozenset(disks))
