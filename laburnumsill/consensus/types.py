"""Types shared by the consensus engine, its store and its host.

The engine is a pure state machine: the host passes it the time, messages and
proposals, then takes an `Output` and executes it in this order: append and
sync, send, apply. Messages that depend on stored state are only sent after
that state is synced.
"""

import dataclasses
import enum

from laburnumsill.core import codec


@codec.register("raft.replica-id")
@dataclasses.dataclass(frozen=True, slots=True, order=True)
class ReplicaId:
    """Identity of one incarnation of a replica.

    A replica that lost its state returns under a new incarnation, so that
    votes and acknowledgements of the old one are not attributed to it.

    Attributes:
        vm: The VM on which the replica runs.
        incarnation: Random id, drawn when the replica is created and kept on
            disk if there is one.
    """

    vm: str
    incarnation: str


class EntryKind(enum.IntEnum):
    """Kind of a log entry."""

    COMMAND = 0
    MEMBERSHIP = 1
    EMPTY = 2


@dataclasses.dataclass(frozen=True, slots=True)
class Entry:
    """One entry of the replicated log; indexes start at 1."""

    index: int
    term: int
    kind: EntryKind
    data: bytes


@codec.register("raft.membership")
@dataclasses.dataclass(frozen=True, slots=True)
class Membership:
    """The replicas of a group; at most one voter changes at a time.

    Attributes:
        voters: Replicas that count for elections and commits.
        learners: Replicas that receive the log but do not vote.
        with_disk: VMs of the voters and learners that sync to a disk.
    """

    voters: tuple[ReplicaId, ...]
    learners: tuple[ReplicaId, ...] = ()
    with_disk: frozenset[str] = frozenset()


@dataclasses.dataclass(frozen=True, slots=True)
class HardState:
    """Term and vote, synced before any message that depends on them."""

    term: int = 0
    vote: ReplicaId | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Snapshot:
    """A snapshot of the applied state up to and including `index`."""

    index: int
    term: int
    membership: Membership
    data: bytes


class MessageKind(enum.IntEnum):
    """Kind of a Raft message; the numbers match peer.thrift."""

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
    """One Raft message between two replicas of a group.

    A replica drops messages whose `target` differs from its own id,
    including the incarnation.

    Attributes:
        index: APPEND: index of the entry before `entries`; PRE_VOTE and VOTE:
            index of the candidate's last entry; granted APPEND_REPLY: match
            index; rejected APPEND_REPLY: index of the missing entry; SNAPSHOT
            and SNAPSHOT_REPLY: index of the snapshot.
        log_term: Term of the entry at `index`; of that at `hint` in a rejected
            APPEND_REPLY.
        commit: Commit index of the sender.
        granted: Replies: whether the request was granted; PRE_VOTE and VOTE:
            whether the campaign results from a leadership transfer.
        hint: Rejected APPEND_REPLY: highest index at which the logs may match.
        round: Number of the heartbeat round, which confirms reads.
        synced: APPEND_REPLY: highest index on the sender's synced disk, 0
            without a disk.
        offset: SNAPSHOT: byte offset of `data` in the whole snapshot;
            SNAPSHOT_REPLY: number of bytes received.
        last: SNAPSHOT: whether this is the last chunk.
        full: HEARTBEAT_REPLY: whether the sender cannot write now.
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
    """Actions that the host executes, in the order of the fields.

    Attributes:
        hard_state: New term or vote to sync, or None.
        snapshot: Complete snapshot to store and load, or None.
        entries: Entries to append; an entry at or below the last stored index
            replaces the entry there and all later ones.
        messages: Messages to send after the fields above are synced.
        committed: Entries to apply, in order.
        reads: Confirmed reads to serve after `committed` is applied.
        failed_reads: Ids of reads that failed because leadership was lost.
    """

    hard_state: HardState | None = None
    snapshot: Snapshot | None = None
    entries: tuple[Entry, ...] = ()
    messages: tuple[Message, ...] = ()
    committed: tuple[Entry, ...] = ()
    reads: tuple[ConfirmedRead, ...] = ()
    failed_reads: tuple[int, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class StoredState:
    """Stored state of a replica when its store is opened.

    Attributes:
        incarnation: The incarnation that wrote the state.
        hard_state: Last synced term and vote.
        snapshot: Last complete snapshot, or None.
        entries: Log entries after the snapshot.
        with_disk: Whether the store syncs to a disk.
    """

    incarnation: str
    hard_state: HardState
    snapshot: Snapshot | None
    entries: tuple[Entry, ...]
    with_disk: bool = False
