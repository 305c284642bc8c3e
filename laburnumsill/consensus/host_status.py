"""What operators are shown of the replicas of one VM."""

import dataclasses

from laburnumsill.consensus import group as groups
from laburnumsill.consensus import types
from laburnumsill.core import codec


@codec.register("host.group-status")
@dataclasses.dataclass(frozen=True, slots=True)
class GroupStatus:
    """One replica as its own VM sees it.

    Attributes:
        group: The group.
        vm: The VM of this replica.
        incarnation: Which life of the replica this is.
        role: One of leader, candidate, follower and learner.
        term: The newest term.
        leader: The VM that leads as far as is known, or None.
        voters: The VMs of the voters.
        learners: The VMs of the learners.
        committed: The highest committed index known.
        applied: The highest index applied.
        last_index: The last index of the log.
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
        vm=group.me.vm,
        incarnation=group.me.incarnation,
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
