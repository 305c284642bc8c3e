"""The consensus engine: the Raft state machine of one replica, without I/O."""

import random as random_module

from laburnumsill.consensus import election
from laburnumsill.consensus import engine_errors
from laburnumsill.consensus import follower_state
from laburnumsill.consensus import leader_state
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
_NEEDS_STORAGE = frozenset((*_FROM_CANDIDATE, types.MessageKind.TIMEOUT_NOW))
_TO_CANDIDATE = frozenset(
    {types.MessageKind.PRE_VOTE_REPLY, types.MessageKind.VOTE_REPLY}
)


class Engine:
    """One replica of a replicated log that follows the Raft algorithm.

    The host passes in the time, messages and proposals, takes the output and
    executes it in the order of its fields. After `Output.entries` is stored,
    and synced if the VM has a disk, the host calls `on_synced`. The host drops
    its whole stored log when it executes `Output.snapshot`.

    An entry is committed when a majority of the voters holds it and, if any
    voter has a disk, at least one synced disk holds it too. There are no
    leader leases: a read waits until a majority has acknowledged a heartbeat
    that was sent after the read arrived. Leases to others may be counted from
    `confirmed_at`.

    Examples:
        >>> replica_id = types.ReplicaId("a", "i1")
        >>> hard_state, entry = Engine.bootstrap(
        ...     "root", replica_id, types.Membership((replica_id,)))
        >>> stored = types.StoredState("i1", hard_state, None, (entry,))
        >>> engine = Engine("root", replica_id, stored, Options(), 0.0,
        ...                 random_module.Random(1))
        >>> engine.tick(2.0)
        >>> engine.role
        'leader'
        >>> index, term = engine.propose(b"x", 2.0)
        >>> _ = engine.take_output()
        >>> engine.on_synced(index, term)
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
        replica_id: types.ReplicaId,
        stored: types.StoredState,
        options: options_module.Options,
        now: float,
        random: random_module.Random,
    ) -> None:
        self._replica = replica_module.Replica(
            group, replica_id, stored, options, now, random
        )
        self._follower = follower_state.Follower(self._replica)
        self._role = roles.Role(self._replica)
        self._last_read_id = 0

    @staticmethod
    def bootstrap(
        group: str, replica_id: types.ReplicaId, membership: types.Membership
    ) -> tuple[types.HardState, types.Entry]:
        """Returns the hard state and first entry for the bootstrap of a group.

        The replica that bootstraps the group stores both before its engine
        starts.

        Raises:
            InvalidMembershipError: The replica is not a voter in `membership`.
        """
        if replica_id not in membership.voters:
            raise InvalidMembershipError(
                f"replica {replica_id!r} of group {group} is not a voter in"
                f" {membership.voters!r}"
            )
        entry = types.Entry(
            1, 1, types.EntryKind.MEMBERSHIP, codec.encode(membership)
        )
        return types.HardState(1, replica_id), entry

    @property
    def role(self) -> str:
        """The role: leader, candidate, follower or learner."""
        return self._role.name

    @property
    def term(self) -> int:
        """The current term."""
        return self._replica.term

    @property
    def leader(self) -> types.ReplicaId | None:
        """The leader of the current term, or None if unknown."""
        return self._role.leader

    @property
    def failed_campaigns(self) -> int:
        """Number of campaigns in a row that failed since a leader was known."""
        return self._role.failed_campaigns

    @property
    def membership(self) -> types.Membership:
        """The latest membership in the log; without voters if there is none."""
        return self._replica.log.membership

    @property
    def membership_index(self) -> int:
        """Index of the entry that holds `membership`; 0 if there is none."""
        return self._replica.log.membership_index

    @property
    def committed(self) -> int:
        """The commit index."""
        return self._replica.committed

    @property
    def durable(self) -> int:
        """The highest index in the store of this replica."""
        return self._replica.durable

    @property
    def delivered(self) -> int:
        """The highest index delivered to the host for application."""
        return self._replica.delivered

    @property
    def writable(self) -> bool:
        """Whether the host can store entries and votes, see `set_writable`."""
        return self._replica.writable

    @property
    def can_commit(self) -> bool:
        """Whether this replica is leader and enough voters can write."""
        leadership = self._role.leadership
        return leadership is not None and leadership.can_commit

    @property
    def confirmed_at(self) -> float | None:
        """Monotonic time before which no term after the current one began.

        None unless this replica is leader and a majority has acknowledged it.
        """
        leadership = self._role.leadership
        return None if leadership is None else leadership.confirmed_at

    @property
    def has_committed_in_term(self) -> bool:
        """Whether this replica leads and has committed an entry in its term.

        Until then a leader confirms no reads and changes no membership.
        """
        return self._role.leadership is not None and (
            self._replica.has_committed_in_term
        )

    @property
    def last_index(self) -> int:
        """Index of the last entry in the log."""
        return self._replica.log.last_index

    @property
    def progress(self) -> dict[types.ReplicaId, progress_module.Progress]:
        """Replication progress of each other member; empty unless leader."""
        return (
            dict(self._role.leadership.progress)
            if self._role.leadership
            else {}
        )

    def term_at(self, index: int) -> int | None:
        """Returns the term of the entry at `index`, or None if unknown."""
        return self._replica.log.term_at(index)

    def membership_at(self, index: int) -> types.Membership:
        """Returns the membership in effect at `index`, for a snapshot there."""
        return self._replica.log.membership_at(index)

    def next_tick(self) -> float:
        """Returns the monotonic time at which `tick` is due."""
        if self._role.leadership:
            return self._role.leadership.next_tick
        return self._role.election_deadline

    def set_writable(self, writable: bool) -> None:
        """Sets whether the host can store entries and votes.

        While it cannot, for instance because the disk is full, the replica
        accepts no entries, grants no votes and does not campaign. It follows
        its leader and reports to it that it cannot write. A leader that cannot
        write refuses proposals, serves reads, and transfers leadership to a
        voter that can write.
        """
        self._replica.writable = writable

    def tick(self, now: float) -> None:
        """Handles timers that have expired at `now`."""
        self._replica.now = now
        leadership = self._role.check_quorum()
        if leadership:
            leadership.tick()
        elif now >= self._role.election_deadline:
            self._role.on_election_timeout()

    def step(self, message: types.Message, now: float) -> None:
        """Handles a message from another replica."""
        self._replica.now = now
        if message.target != self._replica.replica_id:
            return
        if message.kind in _NEEDS_STORAGE and not self.writable:
            return
        if message.term > self.term and not self._role.handle_newer_term(
            message
        ):
            return
        if message.kind in _FROM_CANDIDATE:
            self._role.answer_candidate(message)
        elif message.kind in _TO_CANDIDATE:
            self._role.count_vote(message)
        elif message.term < self.term:
            self._reject_stale_leader(message)
        elif message.kind in _FROM_LEADER:
            self._handle_leader_message(message)
        elif message.kind in _TO_LEADER:
            self._handle_reply(message)
        elif message.kind is types.MessageKind.TIMEOUT_NOW:
            self._role.start_campaign(election.Stage.VOTE, for_transfer=True)

    def propose(self, data: bytes, now: float) -> tuple[int, int]:
        """Appends a command; returns its index and term.

        Raises:
            NotLeaderError: This replica does not lead.
            NoRoomError: Too few voters can write.
        """
        return self._leadership_for_proposal(now).propose(
            types.EntryKind.COMMAND, data
        )

    def propose_membership(
        self, membership: types.Membership, now: float
    ) -> tuple[int, int]:
        """Appends a membership change; returns its index and term.

        Raises:
            NotLeaderError: This replica does not lead.
            NoRoomError: Too few voters can write.
            MembershipPendingError: The previous change, or the first entry
                of this term, is not committed.
            InvalidMembershipError: The change is not allowed, for instance
                because more than one voter changes.
        """
        position = self._leadership_for_proposal(now).propose_membership(
            membership
        )
        self._advance_commit_index()
        return position

    def read(self, now: float) -> int:
        """Begins a linearizable read; returns its id.

        Raises:
            NotLeaderError: This replica does not lead.
        """
        leadership = self._leadership_with_quorum(now)
        self._last_read_id += 1
        leadership.read(self._last_read_id)
        return self._last_read_id

    def transfer_leadership(self, vm: str, now: float) -> None:
        """Begins a leadership transfer to the voter on `vm`.

        Proposals are refused until that voter is leader or an election
        timeout has passed.

        Raises:
            NotLeaderError: This replica does not lead, or a transfer is in
                progress.
            NoSuchVoterError: There is no voter on `vm`.
        """
        leadership = self._leadership_with_quorum(now)
        if leadership.transferring:
            raise self._not_leader()
        leadership.transfer_leadership(vm)

    def on_synced(self, index: int, term: int | None = None) -> None:
        """Records that the entries up to `index` are stored.

        Args:
            index: Index of the last entry stored.
            term: Term of that entry, which shows whether the entry has been
                replaced since. Required if the host steps the engine between
                taking the output and this call.
        """
        replica = self._replica
        if term is not None and replica.log.term_at(index) != term:
            return
        index = min(index, replica.log.last_index)
        replica.durable = max(replica.durable, index)
        self._advance_commit_index()

    def compact(self, snapshot: types.Snapshot) -> None:
        """Compacts the log with a snapshot of the applied state.

        Args:
            snapshot: A snapshot at an index that was delivered and applied;
                its membership is `membership_at` of that index.

        Raises:
            LogBrokenError: The index was not delivered.
        """
        replica = self._replica
        previous = replica.log.snapshot
        if previous and snapshot.index <= previous.index:
            return
        if snapshot.index > replica.delivered:
            raise LogBrokenError(
                f"snapshot at {snapshot.index} but delivered"
                f" to {replica.delivered}"
            )
        retained_bytes = replica.options.retained_bytes
        if self._role.leadership:
            retained_bytes = self._role.leadership.retained_bytes()
        replica.log.compact(snapshot, retained_bytes)

    def take_output(self) -> types.Output:
        """Returns the pending output and clears it."""
        if self._role.leadership:
            self._role.leadership.flush()
        return self._replica.take_output()

    def _leadership_for_proposal(self, now: float) -> leader_state.Leadership:
        """Returns the leader state if this replica accepts proposals.

        Raises:
            NotLeaderError: This replica does not lead, or it is about to
                transfer leadership.
            NoRoomError: Too few voters can write.
        """
        leadership = self._leadership_with_quorum(now)
        if leadership.transferring:
            raise self._not_leader()
        if leadership.can_commit:
            return leadership
        if leadership.transfer_targets:
            raise self._not_leader()
        raise NoRoomError(f"too many disks of {self._replica.group} are full")

    def _leadership_with_quorum(self, now: float) -> leader_state.Leadership:
        """Returns the leader state of a leader that has a quorum.

        Only `tick` ends the leadership. The host calls it after `step` for
        all messages that have arrived, which may show that the quorum is not
        lost and only this process was held up.

        Raises:
            NotLeaderError: This replica does not lead, or seems to have lost
                its quorum.
        """
        self._replica.now = now
        leadership = self._role.leadership
        if leadership is None or not leadership.has_quorum:
            raise self._not_leader()
        return leadership

    def _not_leader(self) -> NotLeaderError:
        known_leader = self._role.leader
        if known_leader == self._replica.replica_id:
            known_leader = None
        return NotLeaderError(
            f"{self._replica.replica_id.vm} does not lead"
            f" {self._replica.group}",
            leader=known_leader.vm if known_leader else None,
        )

    def _reject_stale_leader(self, message: types.Message) -> None:
        """Replies to a leader of an older term with the current term."""
        if message.kind in _FROM_LEADER:
            self._replica.send(types.MessageKind.APPEND_REPLY, message.source)

    def _handle_leader_message(self, message: types.Message) -> None:
        self._role.follow(message.source)
        if message.kind is types.MessageKind.HEARTBEAT:
            self._follower.on_heartbeat(message)
        elif not self.writable:
            return
        elif message.kind is types.MessageKind.APPEND:
            self._follower.on_append(message)
        else:
            self._follower.on_snapshot(message)

    def _handle_reply(self, message: types.Message) -> None:
        if self._role.leadership:
            self._role.leadership.on_reply(message)
            self._role.resign_if_removed()

    def _advance_commit_index(self) -> None:
        if self._role.leadership:
            self._role.leadership.advance_commit_index()
            self._role.resign_if_removed()
