"""Bootstrap of a group.

A replica without stored state cannot know whether it is new or has lost its
log and votes. Therefore it neither votes nor bootstraps the group on its own,
but sends a hello to the other VMs. One VM alone may bootstrap a group, and only
if all other initial voters answer that they have no log either. If any of them
has one, the group exists, and the replica joins it under its new incarnation.
"""

from collections import abc

import trio

from laburnumsill.consensus import host_messages
from laburnumsill.consensus import types
from laburnumsill.core import errors
from laburnumsill.core import replication

Answers = dict[str, host_messages.HelloAnswer]


def bootstrap_vm(initial_voters: abc.Sequence[str], disks: abc.Set[str]) -> str:
    """Returns the only VM that may bootstrap a group.

    It is the first initial voter with a disk, else the first initial voter.

    Examples:
        >>> bootstrap_vm(["a", "b", "c"], {"b", "c"})
        'b'
        >>> bootstrap_vm(["a", "b", "c"], set())
        'a'
    """
    for vm in initial_voters:
        if vm in disks:
            return vm
    return initial_voters[0]


def initial_membership(
    replica_id: types.ReplicaId,
    with_disk: bool,
    initial_voters: abc.Sequence[str],
    answers: Answers,
) -> types.Membership | None:
    """Returns the initial membership, or None if bootstrap is not allowed.

    Args:
        replica_id: The replica that bootstraps the group.
        with_disk: Whether that replica has a disk.
        initial_voters: The VMs of the group's initial voters.
        answers: The answers to the hello of that replica, by VM.
    """
    if any(answer.established for answer in answers.values()):
        return None
    voters = []
    disks = set()
    for vm in initial_voters:
        replica: types.ReplicaId | None = replica_id
        has_disk = with_disk
        if vm != replica_id.vm:
            answer = answers.get(vm, host_messages.HelloAnswer())
            replica = answer.replica
            has_disk = answer.with_disk
        if replica is None:
            return None
        voters.append(replica)
        if has_disk:
            disks.add(vm)
    return types.Membership(tuple(voters), (), frozenset(disks))


async def send_hellos(
    peers: replication.Peers,
    vms: abc.Iterable[str],
    hello: host_messages.Hello,
    deadline: float,
) -> Answers:
    """Sends a hello to all `vms` and returns the answers received in time."""
    answers: Answers = {}

    async def send_hello(vm: str) -> None:
        try:
            answers[vm] = await peers.call(vm, hello, deadline)
        except errors.LaburnumsillError:
            return

    async with trio.open_nursery() as nursery:
        for vm in vms:
            nursery.start_soon(send_hello, vm)
    return answers
