"""What the hosts of replicas say to each other besides Raft messages."""

import msgspec

from laburnumsill.consensus import types
from laburnumsill.core import codec


@codec.register("host.transfer")
class TransferOrder(msgspec.Struct, frozen=True):
    """Asks the leader of a group to hand its lead over.

    Attributes:
        group: The group.
        vm: Who is to lead, or None for the voter that is furthest on.
        deadline: Wall-clock point.
    """

    group: str
    vm: str | None
    deadline: float


@codec.register("host.hello")
class Hello(msgspec.Struct, frozen=True):
    """A replica that is in no membership it knows of presents itself.

    Attributes:
        group: The group.
        replica: The replica.
        with_disk: Whether it has a disk.
    """

    group: str
    replica: types.ReplicaId
    with_disk: bool


@codec.register("host.hello-answer")
class HelloAnswer(msgspec.Struct, frozen=True):
    """What another host knows of the group.

    Attributes:
        replica: Its own replica, or None if it hosts none.
        fresh: Whether that replica knows nothing of the group.
        with_disk: Whether that replica has a disk.
        member: Whether the asker is in the newest membership known there.
        leader: The VM that leads, as far as is known there.
        term: The newest term known there.
        last_term: The term of the last entry of its log.
        last_index: The index of the last entry of its log.
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
        """Whether the group certainly exists."""
        return self.replica is not None and not self.fresh
