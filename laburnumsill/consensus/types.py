"""Types shared by the consensus engine, its store and its host.

The engine is a pure state machine: the host passes it time, messages and
proposals, then takes an `Output` and carries it out in this order: append
and sync, then send, then apply. Messages that promise durability are only
sent after the sync they depend on.
"""

import dataclasses
import enum

from laburnumsill.core import codec


@codec.register("raft.replica-id")
@dataclasses.dataclass(frozen=True, slots=True, order=True)
class ReplicaId:
    """One life of one replica.

    A replica that lost its state comes back under a new incarnation, so
    that nothing it promised before can be held against its empty state.

    Attributes:
        vm: The VM it runs on.
        incarnation: Drawn at random when the replica was made; kept on disk
            where there is one.
    """

    vm: str
    incarnation: str


class EntryKind(enum.IntEnum):
    """What an entry of the log holds."""

    COMMAND = 0
    MEMBERSHIP = 1
    EMPTY = 2


@dataclasses.dataclass(frozen=True, slots=True)
class Entry:
    """One entry of the log; indexes start at 1."""

    index: int
    term: int
    kind: EntryKind
    data: bytes


@codec.register("raft.membership")
@dataclasses.dataclass(frozen=True, slots=True)
class Membership:
    """The make-up of a group; changed by one replica at a time.

    Attributes:
        voters: Replicas that count for elections and commits.
        learners: Replicas that only receive the log.
        with_disk: The VMs among both that sync to a disk.
    """

    voters: tuple[ReplicaId, ...]
    learners: tuple[ReplicaId, ...] = ()
    with_disk: frozenset[str] = frozenset()


@dataclasses.dataclass(frozen=True, slots=True)
class HardState:
    """What must be synced before a vote or a term is acted on."""

    term: int = 0
    vote: ReplicaId | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Snapshot:
    """The applied state up to and including `index`."""

    index: int
    term: int
    membership: Membership
    data: bytes


class MessageKind(enum.IntEnum):
    """Kinds of messages; the numbers are those of peer.thrift."""

    PRE_VOTE = 1
    PRE_VOTE_REPLY = 2
    VOTE = 3
    VOTE_REPLY = 4
    APPEND = 5
    APPEND_REPLY = 6
    HEARTBEAT = 7
    HEARTBEAT_REPLY = 8
    SNAPSHOT = 9
    SNAPSHOT_REPLY = 10
    TIMEOUT_NOW = 11
    HELLO = 12
    HELLO_REPLY = 13


@dataclasses.dataclass(frozen=True, slots=True)
class Message:
    """One message between two replicas of a group.

    A message whose `target` is not the receiver's own id, incarnation
    included, is dropped.

    Attributes:
        index: APPEND: index of the entry before `entries`; VOTE: last index;
            APPEND_REPLY: highest matching index.
        log_term: Term of the entry at `index`.
        commit: The sender's commit index.
        hint: APPEND_REPLY refused: where to go on from.
        round: Number of the heartbeat round, which confirms reads.
        synced: APPEND_REPLY: highest index on the sender's synced disk, 0
            without a disk.
        offset: SNAPSHOT: position of `data` in the whole snapshot.
        last: SNAPSHOT: whether this is the last chunk.
        full: HEARTBEAT_REPLY: whether the sender can write nothing now.
    """

    kind: MessageKind
    source: ReplicaId
    target: ReplicaId
    term: int
    index: int = 0
    log_term: int = 0
    commit: int = 0
    entries: tuple[Entry, ...] = ()
    granted: bool = False
    hint: int = 0
    round: int = 0
    synced: int = 0
    offset: int = 0
    data: bytes = b""
    last: bool = False
    full: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class ConfirmedRead:
    """A read that may be served once `index` is applied."""

    read_id: int
    index: int


@dataclasses.dataclass(frozen=True, slots=True)
class Output:
    """What the host has to carry out, in the order of the fields.

    Attributes:
        hard_state: New term or vote to sync, or None.
        install: Snapshot received whole, to store and load, or None.
        append: Entries to append; an entry at or below the last stored index
            replaces that one and all after it.
        messages: To send after the above is synced.
        committed: Entries to apply, in order.
        reads: Reads that may be served after `committed` is applied.
        lost_reads: Reads that cannot be confirmed any more.
    """

    hard_state: HardState | None = None
    install: Snapshot | None = None
    append: tuple[Entry, ...] = ()
    messages: tuple[Message, ...] = ()
    committed: tuple[Entry, ...] = ()
    reads: tuple[ConfirmedRead, ...] = ()
    lost_reads: tuple[int, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Stored:
    """What a replica's store holds when it is opened.

    Attributes:
        incarnation: The incarnation that wrote it.
        hard_state: Last synced term and vote.
        snapshot: Last whole snapshot, or None.
        entries: The log after the snapshot.
        with_disk: Whether the store syncs to a disk.
    """

    incarnation: str
    hard_state: HardState
    snapshot: Snapshot | None
    entries: tuple[Entry, ...]
    with_disk: bool = False
