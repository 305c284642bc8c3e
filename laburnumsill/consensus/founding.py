"""Founding a group once, and joining it ever after.

A replica without any stored state can not know whether it is new or has lost
what it promised. It never votes or founds on its own account then: it asks.
Only one VM may found a group, and only when every other first voter has said
that it is as fresh; if anyone is established, the group exists and the
replica asks to join it under its new incarnation.
"""

from collections import abc

import trio

from laburnumsill.consensus import host_messages
from laburnumsill.consensus import types
from laburnumsill.core import errors
from laburnumsill.core import replication

Answers = dict[str, host_messages.HelloAnswer]


def founder(first_voters: abc.Sequence[str], disks: abc.Set[str]) -> str:
    """Returns the one VM that may found a group.

    Examples:
        >>> founder(["a", "b", "c"], {"b", "c"})
        'b'
        >>> founder(["a", "b", "c"], set())
        'a'
    """
    for vm in first_voters:
        if vm in disks:
            return vm
    return first_voters[0]


def founding_membership(
    me: types.ReplicaId,
    with_disk: bool,
    first_voters: abc.Sequence[str],
    answers: Answers,
) -> types.Membership | None:
    """Returns the first membership, or None if it may not be written.

    Args:
        me: The founder's replica.
        with_disk: Whether it has a disk.
        first_voters: The VMs of the group's first make-up.
        answers: What was answered to the founder's hello, by VM.
    """
    if any(answer.established for answer in answers.values()):
        return None
    voters = []
    disks = set()
    for vm in first_voters:
        replica: types.ReplicaId | None = me
        has_disk = with_disk
        if vm != me.vm:
            answer = answers.get(vm, host_messages.HelloAnswer())
            replica = answer.replica
            has_disk = answer.with_disk
        if replica is None:
            return None
        voters.append(replica)
        if has_disk:
            disks.add(vm)
    return types.Membership(tuple(voters), (), frozenset(disks))


async def ask(
    peers: replication.Peers,
    vms: abc.Iterable[str],
    hello: host_messages.Hello,
    deadline: float,
) -> Answers:
    """Returns the answers of those `vms` that gave one in time."""
    answers: Answers = {}

    async def ask_one(vm: str) -> None:
        try:
            answers[vm] = await peers.call(vm, hello, deadline)
        except errors.LaburnumsillError:
            return

    async with trio.open_nursery() as nursery:
        for vm in vms:
            nursery.start_soon(ask_one, vm)
    return answers
