"""The consensus engine: one replica of one group, without any I/O."""

import random as random_module

from laburnumsill.consensus import election
from laburnumsill.consensus import engine_errors
from laburnumsill.consensus import following
from laburnumsill.consensus import leading
from laburnumsill.consensus import options as options_module
from laburnumsill.consensus import progress as progress_module
from laburnumsill.consensus import replica as replica_module
from laburnumsill.consensus import roles
from laburnumsill.consensus import types
from laburnumsill.core import codec

Options = options_module.Options
NotLeaderError = engine_errors.NotLeaderError
MembershipPendingError = engine_errors.MembershipPendingError
InvalidMembershipError = engine_errors.InvalidMembershipError
NoRoomError = engine_errors.NoRoomError
NoSuchVoterError = engine_errors.NoSuchVoterError
LogBrokenError = engine_errors.LogBrokenError

_FROM_LEADER = frozenset(
    {
        types.MessageKind.APPEND,
        types.MessageKind.HEARTBEAT,
        types.MessageKind.SNAPSHOT,
    }
)
_TO_LEADER = frozenset(
    {
        types.MessageKind.APPEND_REPLY,
        types.MessageKind.HEARTBEAT_REPLY,
        types.MessageKind.SNAPSHOT_REPLY,
    }
)
_FROM_CANDIDATE = frozenset(
    {types.MessageKind.PRE_VOTE, types.MessageKind.VOTE}
)
_NEEDS_A_VOTE = frozenset((*_FROM_CANDIDATE, types.MessageKind.TIMEOUT_NOW))
_TO_CANDIDATE = frozenset(
    {types.MessageKind.PRE_VOTE_REPLY, types.MessageKind.VOTE_REPLY}
)


class Engine:
    """One replica of a replicated log, after the Raft algorithm.

    The host passes in time, messages and proposals, takes the output and
    carries it out in the order of its fields. After `Output.append` is
    stored, and synced where there is a disk, it calls `synced`. The host
    drops its whole stored log when it carries out `Output.install`.

    An entry is committed when a majority of the voters holds it and, if any
    voter has a disk, at least one synced disk does. No leases are used: a
    read waits until a majority has answered a heartbeat sent after it came.

    Examples:
        >>> me = types.ReplicaId("a", "i1")
        >>> hard_state, entry = Engine.found(
        ...     "root", me, types.Membership((me,)))
        >>> stored = types.Stored("i1", hard_state, None, (entry,))
        >>> engine = Engine("root", me, stored, Options(), 0.0,
        ...                 random_module.Random(1))
        >>> engine.tick(2.0)
        >>> engine.role
        'leader'
        >>> index, term = engine.propose(b"x", 2.0)
        >>> _ = engine.take_output()
        >>> engine.synced(index, term)
        >>> [entry.data for entry in engine.take_output().committed][-1]
        b'x'

    References:
        D. Ongaro and J. Ousterhout, "In search of an understandable
        consensus algorithm", USENIX ATC 2014.
        D. Ongaro, "Consensus: bridging theory and practice", 2014.
    """

    def __init__(
        self,
        group: str,
        me: types.ReplicaId,
        stored: types.Stored,
        options: options_module.Options,
        now: float,
        random: random_module.Random,
    ) -> None:
        self._replica = replica_module.Replica(
            group, me, stored, options, now, random
        )
        self._follower = following.Follower(self._replica)
        self._role = roles.Role(self._replica)
        self._read_ids = 0

    @staticmethod
    def found(
        group: str, me: types.ReplicaId, membership: types.Membership
    ) -> tuple[types.HardState, types.Entry]:
        """Returns what the founder of a group stores before it starts.

        Raises:
            InvalidMembershipError: `me` is not a voter of the membership.
        """
        if me not in membership.voters:
            raise InvalidMembershipError(
                f"founder {me!r} of group {group} is not among"
                f" {membership.voters!r}"
            )
        entry = types.Entry(
            1, 1, types.EntryKind.MEMBERSHIP, codec.encode(membership)
        )
        return types.HardState(1, me), entry

    @property
    def role(self) -> str:
        """One of leader, candidate, follower and learner."""
        return self._role.name

    @property
    def term(self) -> int:
        """The newest term this replica has entered."""
        return self._replica.term

    @property
    def leader(self) -> types.ReplicaId | None:
        """The leader of the present term, as far as is known."""
        return self._role.leader

    @property
    def membership(self) -> types.Membership:
        """The newest membership in the log; no voters if there is none."""
        return self._replica.log.membership

    @property
    def membership_index(self) -> int:
        """Index of the entry that holds `membership`; 0 if none."""
        return self._replica.log.membership_index

    @property
    def committed(self) -> int:
        """The highest index known to be committed."""
        return self._replica.committed

    @property
    def durable(self) -> int:
        """The highest index that its own store holds."""
        return self._replica.durable

    @property
    def handed(self) -> int:
        """The highest index handed out to be applied."""
        return self._replica.handed

    @property
    def writable(self) -> bool:
        """Whether its host can store anything, see `set_writable`."""
        return self._replica.writable

    @property
    def can_commit(self) -> bool:
        """Whether this replica leads and enough voters can write."""
        leadership = self._role.leadership
        return leadership is not None and leadership.can_commit

    @property
    def leads_committed(self) -> bool:
        """Whether it leads and an entry of its term is committed.

        Before that it answers no reads and changes no membership.
        """
        return self._role.leadership is not None and (
            self._replica.leads_committed
        )

    @property
    def last_index(self) -> int:
        """Index of the last entry in the log."""
        return self._replica.log.last_index

    @property
    def progress(self) -> dict[types.ReplicaId, progress_module.Progress]:
        """What the leader knows of each other member; else empty."""
        return (
            dict(self._role.leadership.progress)
            if self._role.leadership
            else {}
        )

    def term_at(self, index: int) -> int | None:
        """Returns the term of the entry at `index`, or None if unknown."""
        return self._replica.log.term_at(index)

    def membership_at(self, index: int) -> types.Membership:
        """Returns the membership to put into a snapshot at `index`."""
        return self._replica.log.membership_at(index)

    def next_tick(self) -> float:
        """Returns the monotonic point at which `tick` is needed."""
        if self._role.leadership:
            return self._role.leadership.next_tick
        return self._role.election_at

    def set_writable(self, writable: bool) -> None:
        """Notes whether the host can store anything.

        A replica that can not takes no entries, grants no votes and does not
        campaign. It follows its leader, tells it so, and answers reads; if it
        leads, it takes no proposals and hands its lead to a voter that can.
        """
        self._replica.writable = writable

    def tick(self, now: float) -> None:
        """Does what has become due."""
        self._replica.now = now
        leadership = self._confirm_support(now)
        if leadership:
            leadership.tick()
        elif now >= self._role.election_at:
            self._role.miss_leader()

    def step(self, message: types.Message, now: float) -> None:
        """Takes a message from another replica."""
        self._replica.now = now
        if message.target != self._replica.me:
            return
        if message.kind in _NEEDS_A_VOTE and not self.writable:
            return
        if message.term > self.term and not self._role.meet_newer_term(message):
            return
        if message.kind in _FROM_CANDIDATE:
            self._role.answer_candidate(message)
        elif message.kind in _TO_CANDIDATE:
            self._role.count_vote(message)
        elif message.term < self.term:
            self._correct(message)
        elif message.kind in _FROM_LEADER:
            self._follow(message)
        elif message.kind in _TO_LEADER:
            self._take_reply(message)
        elif message.kind is types.MessageKind.TIMEOUT_NOW:
            self._role.start_campaign(election.Stage.VOTE, ordered=True)

    def propose(self, data: bytes, now: float) -> tuple[int, int]:
        """Appends a command; returns its index and term.

        Raises:
            NotLeaderError: This replica does not lead.
            NoRoomError: Too many voters can not write.
        """
        return self._led_now(now).propose(types.EntryKind.COMMAND, data)

    def propose_membership(
        self, membership: types.Membership, now: float
    ) -> tuple[int, int]:
        """Appends a change of the membership; returns its index and term.

        Raises:
            NotLeaderError: This replica does not lead.
            NoRoomError: Too many voters can not write.
            MembershipPendingError: The last change is not committed.
            InvalidMembershipError: More than one voter changes.
        """
        place = self._led_now(now).propose_membership(membership)
        self._advance()
        return place

    def read(self, now: float) -> int:
        """Begins a confirmed read; returns its id.

        Raises:
            NotLeaderError: This replica does not lead.
        """
        leadership = self._confirm_support(now)
        if leadership is None:
            raise self._not_leader()
        self._read_ids += 1
        leadership.read(self._read_ids)
        return self._read_ids

    def transfer(self, vm: str, now: float) -> None:
        """Begins to hand the lead to the voter on `vm`.

        Until that voter leads, or an election timeout has passed, proposals
        are refused.

        Raises:
            NotLeaderError: This replica does not lead.
            NoSuchVoterError: There is no voter on `vm`.
        """
        leadership = self._confirm_support(now)
        if leadership is None or leadership.transferring:
            raise self._not_leader()
        leadership.transfer(vm)

    def synced(self, index: int, term: int | None = None) -> None:
        """Notes that the entries up to `index` are stored.

        Args:
            index: Index of the last entry stored.
            term: Term of that entry; it tells whether the entry was replaced
                meanwhile. A host that steps the engine between taking the
                output and calling this must pass it.
        """
        replica = self._replica
        if term is not None and replica.log.term_at(index) != term:
            return
        index = min(index, replica.log.last_index)
        replica.durable = max(replica.durable, index)
        self._advance()

    def compact(self, snapshot: types.Snapshot) -> None:
        """Takes a snapshot of the state applied up to an index.

        Args:
            snapshot: At an index that was handed out and applied; its
                membership is `membership_at` of that index.

        Raises:
            LogBrokenError: The index was not handed out.
        """
        replica = self._replica
        known = replica.log.snapshot
        if known and snapshot.index <= known.index:
            return
        if snapshot.index > replica.handed:
            raise LogBrokenError(
                f"snapshot at {snapshot.index}, applied to {replica.handed}"
            )
        kept = replica.options.kept_bytes
        if self._role.leadership:
            kept = self._role.leadership.kept_bytes()
        replica.log.compact(snapshot, kept)

    def take_output(self) -> types.Output:
        """Returns what the host has to carry out, and empties it."""
        if self._role.leadership:
            self._role.leadership.flush()
        return self._replica.take_output()

    def _led_now(self, now: float) -> leading.Leadership:
        """Returns the leadership, if proposals may be added to it."""
        leadership = self._confirm_support(now)
        if leadership is None or leadership.transferring:
            raise self._not_leader()
        if leadership.can_commit:
            return leadership
        if leadership.successors:
            raise self._not_leader()
        raise NoRoomError(f"too many disks of {self._replica.group} are full")

    def _confirm_support(self, now: float) -> leading.Leadership | None:
        self._replica.now = now
        return self._role.confirm_support()

    def _not_leader(self) -> NotLeaderError:
        other = self._role.leader
        if other == self._replica.me:
            other = None
        return NotLeaderError(
            f"{self._replica.me.vm} does not lead {self._replica.group}",
            leader=other.vm if other else None,
        )

    def _correct(self, message: types.Message) -> None:
        """Tells a leader of an older term that it leads no more."""
        if message.kind in _FROM_LEADER:
            self._replica.send(types.MessageKind.APPEND_REPLY, message.source)

    def _follow(self, message: types.Message) -> None:
        self._role.hear(message.source)
        if message.kind is types.MessageKind.HEARTBEAT:
            self._follower.on_heartbeat(message)
        elif not self.writable:
            return
        elif message.kind is types.MessageKind.APPEND:
            self._follower.on_append(message)
        else:
            self._follower.on_snapshot(message)

    def _take_reply(self, message: types.Message) -> None:
        if self._role.leadership:
            self._role.leadership.on_reply(message)
            self._role.leave_if_removed()

    def _advance(self) -> None:
        if self._role.leadership:
            self._role.leadership.advance()
            self._role.leave_if_removed()
