"""Status of the replicas of one VM, for operators."""

import dataclasses

from laburnumsill.consensus import group as groups
from laburnumsill.consensus import types
from laburnumsill.core import codec


@codec.register("host.group-status")
@dataclasses.dataclass(frozen=True, slots=True)
class GroupStatus:
    """The status of one replica according to its own VM.

    Attributes:
        group: The name of the group.
        vm: The VM of this replica.
        incarnation: The incarnation of this replica.
        role: One of leader, candidate, follower and learner.
        term: The current term.
        leader: The VM that leads as far as this replica knows, or None.
        voters: The VMs of the voters.
        learners: The VMs of the learners.
        committed: The commit index known to this replica.
        applied: The index of the last applied entry.
        last_index: The index of the last entry in the log.
        store: ``disk`` or ``memory``.
    """

    group: str
    vm: str
    incarnation: str
    role: str
    term: int
    leader: str | None
    voters: tuple[str, ...]
    learners: tuple[str, ...]
    committed: int
    applied: int
    last_index: int
    store: str


def status_of(group: groups.HostedGroup) -> GroupStatus:
    """Returns the status of a hosted replica."""
    engine = group.engine
    leader = engine.leader
    return GroupStatus(
        group=group.name,
        vm=group.replica_id.vm,
        incarnation=group.replica_id.incarnation,
        role=engine.role,
        term=engine.term,
        leader=leader.vm if leader else None,
        voters=_vms(engine.membership.voters),
        learners=_vms(engine.membership.learners),
        committed=engine.committed,
        applied=group.applied,
        last_index=engine.last_index,
        store="disk" if group.with_disk else "memory",
    )


def _vms(replicas: tuple[types.ReplicaId, ...]) -> tuple[str, ...]:
    return tuple(replica.vm for replica in replicas)
