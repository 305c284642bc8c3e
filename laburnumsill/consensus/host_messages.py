"""Messages between the hosts of replicas, besides Raft messages."""

import msgspec

from laburnumsill.consensus import types
from laburnumsill.core import codec


@codec.register("host.transfer")
class TransferOrder(msgspec.Struct, frozen=True):
    """Asks the leader of a group to transfer its leadership.

    Attributes:
        group: The name of the group.
        vm: The VM of the new leader, or None for the reachable voter with the
            most entries.
        deadline: When the transfer fails, in wall-clock seconds.
    """

    group: str
    vm: str | None
    deadline: float


@codec.register("host.hello")
class Hello(msgspec.Struct, frozen=True):
    """Announces a replica that is not a member, or knows no leader.

    Attributes:
        group: The name of the group.
        replica: The id of the replica.
        with_disk: Whether the replica has a disk.
    """

    group: str
    replica: types.ReplicaId
    with_disk: bool


@codec.register("host.hello-answer")
class HelloAnswer(msgspec.Struct, frozen=True):
    """The state of a group according to another host.

    Attributes:
        replica: The replica of that host, or None if it hosts none.
        fresh: Whether that replica has no log entries yet.
        with_disk: Whether that replica has a disk.
        member: Whether the sender of the hello is in the latest membership in
            that replica's log.
        leader: The VM that leads according to that replica, or None.
        term: The current term of that replica.
        last_term: The term of the last entry in its log.
        last_index: The index of the last entry in its log.
    """

    replica: types.ReplicaId | None = None
    fresh: bool = False
    with_disk: bool = False
    member: bool = False
    leader: str | None = None
    term: int = 0
    last_term: int = 0
    last_index: int = 0

    @property
    def established(self) -> bool:
        """Whether the answer proves that the group exists."""
        return self.replica is not None and not self.fresh
