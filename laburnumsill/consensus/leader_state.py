"""Leader state: replication, commit index, reads, leadership transfer."""

from laburnumsill.consensus import engine_errors
from laburnumsill.consensus import heartbeat_rounds
from laburnumsill.consensus import membership as membership_module
from laburnumsill.consensus import progress as progress_module
from laburnumsill.consensus import read_queue
from laburnumsill.consensus import replica as replica_module
from laburnumsill.consensus import snapshot_receiver
from laburnumsill.consensus import types
from laburnumsill.core import codec


class Leadership:
    """Leader state of one replica in one term.

    APPEND messages are built when the output is taken, so that all
    proposals of one iteration of the host's loop are batched.

    Attributes:
        progress: Replication progress of each other member.
    """

    def __init__(self, replica: replica_module.Replica) -> None:
        self.progress: dict[types.ReplicaId, progress_module.Progress] = {}
        self._replica = replica
        self._reads = read_queue.ReadQueue()
        self._rounds = heartbeat_rounds.HeartbeatRounds()
        self._heartbeat_at = replica.now
        self._transfer_to: types.ReplicaId | None = None
        self._transfer_deadline = replica.now
        self._timeout_now_sent = False
        self._update_members()
        self._append(types.EntryKind.EMPTY, b"")

    @property
    def transferring(self) -> bool:
        """Whether a leadership transfer is in progress."""
        return self._transfer_to is not None

    @property
    def removed(self) -> bool:
        """Whether a committed membership excludes this replica as a voter."""
        replica = self._replica
        return (
            not replica.is_voter
            and replica.log.membership_index <= replica.committed
        )

    @property
    def has_quorum(self) -> bool:
        """Whether a majority has replied within the election timeout."""
        return self._replica.now < self._quorum_deadline

    @property
    def confirmed_at(self) -> float | None:
        """Monotonic time before which no later term can have begun.

        None until a round of heartbeats was acknowledged by a majority.
        """
        return self._rounds.confirmed_at

    @property
    def can_commit(self) -> bool:
        """Whether this leader and enough other voters can write.

        Unreachable voters count as unable to write only if some member has
        reported that it cannot write. Otherwise it is left to the quorum check
        to end the leadership if a majority is unreachable.
        """
        replica = self._replica
        if not replica.writable:
            return False
        if all(member.writable for member in self.progress.values()):
            return True
        membership = replica.log.membership
        index = membership_module.committable_index(
            membership, self._is_writable, self._can_sync
        )
        return bool(index)

    @property
    def transfer_targets(self) -> list[types.ReplicaId]:
        """Other voters that can write; empty without a writable majority."""
        membership = self._replica.log.membership
        writable = [
            member for member in membership.voters if self._is_writable(member)
        ]
        if len(writable) < membership_module.majority(membership):
            return []
        return [
            member for member in writable if member != self._replica.replica_id
        ]

    @property
    def next_tick(self) -> float:
        """Monotonic time at which `tick` is due."""
        return min(self._heartbeat_at, self._quorum_deadline)

    @property
    def _quorum_deadline(self) -> float:
        replica = self._replica
        last_contact_at = membership_module.reached_by_majority(
            replica.log.membership, self._last_contact_at
        )
        return last_contact_at + replica.options.election_timeout_s

    def propose(self, kind: types.EntryKind, data: bytes) -> tuple[int, int]:
        """Appends an entry; returns its index and term."""
        return self._append(kind, data)

    def propose_membership(
        self, membership: types.Membership
    ) -> tuple[int, int]:
        """Appends a membership change, which takes effect at once.

        Raises:
            engine_errors.MembershipPendingError: The previous change,
                or the first entry of this term, is not committed.
            engine_errors.InvalidMembershipError: The change is not allowed.
        """
        replica = self._replica
        pending = replica.log.membership_index > replica.committed
        if pending or not replica.has_committed_in_term:
            raise engine_errors.MembershipPendingError(
                f"entry {replica.log.membership_index} is not committed",
                index=replica.log.membership_index,
            )
        membership_module.check_change(replica.log.membership, membership)
        position = self._append(
            types.EntryKind.MEMBERSHIP, codec.encode(membership)
        )
        self._update_members()
        return position

    def read(self, read_id: int) -> None:
        """Adds a read to the next heartbeat round."""
        self._reads.add(read_id)

    def transfer_leadership(self, vm: str) -> None:
        """Begins a leadership transfer to the voter on `vm`.

        Raises:
            engine_errors.NoSuchVoterError: There is no voter on `vm`.
        """
        replica = self._replica
        for voter in replica.log.membership.voters:
            if voter.vm == vm and voter != replica.replica_id:
                self._transfer_to = voter
                self._timeout_now_sent = False
                self._transfer_deadline = (
                    replica.now + replica.options.election_timeout_s
                )
                return
        if vm != replica.replica_id.vm:
            raise engine_errors.NoSuchVoterError(
                f"no voter of group {replica.group} is on {vm!r}", vm=vm
            )

    def tick(self) -> None:
        """Sends heartbeats when due, and aborts an expired transfer."""
        replica = self._replica
        if self.transferring and replica.now >= self._transfer_deadline:
            self._transfer_to = None
        if replica.now >= self._heartbeat_at:
            self._heartbeat_at = replica.now + replica.options.heartbeat_s
            self._send_heartbeats()
            self._confirm_rounds()

    def on_reply(self, message: types.Message) -> None:
        """Handles a reply of a member; ignores replies of other replicas."""
        progress = self.progress.get(message.source)
        if progress is None:
            return
        progress.last_contact_at = self._replica.now
        if message.kind is types.MessageKind.APPEND_REPLY:
            self._on_append_reply(progress, message)
        elif message.kind is types.MessageKind.HEARTBEAT_REPLY:
            progress.round = max(progress.round, message.round)
            progress.on_writable(not message.full)
            self._confirm_rounds()
        elif message.kind is types.MessageKind.SNAPSHOT_REPLY:
            progress.on_chunk_accepted(message.index, message.offset)

    def advance_commit_index(self) -> None:
        """Advances the commit index as far as the voters' logs allow.

        Only entries of the current term are committed by counting replicas;
        earlier entries are committed with them, since an entry of an older
        term that a majority holds may still be replaced.
        """
        replica = self._replica
        index = membership_module.committable_index(
            replica.log.membership, self._match_index, self._synced_index
        )
        if index <= replica.committed:
            return
        if replica.log.term_at(index) == replica.term:
            replica.commit_to(index)

    def flush(self) -> None:
        """Sends everything that flow control permits."""
        self._start_read_round()
        for member, progress in self.progress.items():
            while self._send_next(member, progress):
                pass
        self._transfer_if_unwritable()
        self._send_timeout_now()

    def fail_pending_reads(self) -> None:
        """Fails all pending reads."""
        self._replica.fail_reads(self._reads.drain())

    def transfer_to_best_voter(self) -> None:
        """Sends TIMEOUT_NOW to the best candidate among the voters.

        Voters that can write come first, then those with the highest match
        index.
        """
        voters = self._replica.log.membership.voters
        best = max(
            voters,
            key=lambda member: (
                self._is_writable(member),
                self._match_index(member),
            ),
        )
        self._send_heartbeats()
        self._replica.send(types.MessageKind.TIMEOUT_NOW, best)

    def retained_bytes(self) -> int:
        """Returns the number of entry bytes to retain behind a snapshot."""
        options = self._replica.options
        sending = any(
            member.mode is progress_module.Mode.SNAPSHOT
            for member in self.progress.values()
        )
        return options.max_retained_bytes if sending else options.retained_bytes

    def _append(self, kind: types.EntryKind, data: bytes) -> tuple[int, int]:
        replica = self._replica
        index = replica.log.last_index + 1
        replica.append(types.Entry(index, replica.term, kind, data))
        return index, replica.term

    def _update_members(self) -> None:
        replica = self._replica
        all_members = membership_module.members(replica.log.membership)
        for removed_member in self.progress.keys() - set(all_members):
            del self.progress[removed_member]
        for member in all_members:
            if member != replica.replica_id and member not in self.progress:
                self.progress[member] = progress_module.Progress(
                    replica.log.last_index + 1, replica.now, replica.options
                )

    def _last_contact_at(self, voter: types.ReplicaId) -> float:
        if voter == self._replica.replica_id:
            return self._replica.now
        return self.progress[voter].last_contact_at

    def _is_writable(self, voter: types.ReplicaId) -> bool:
        """Returns whether a voter is reachable and able to write."""
        replica = self._replica
        if voter == replica.replica_id:
            return replica.writable
        progress = self.progress[voter]
        unreachable_at = (
            progress.last_contact_at + replica.options.election_timeout_s
        )
        return progress.writable and replica.now < unreachable_at

    def _can_sync(self, voter: types.ReplicaId) -> bool:
        """Returns whether a voter can write and is known to have a disk."""
        has_disk = voter.vm in self._replica.log.membership.with_disk
        return self._is_writable(voter) and (
            has_disk or self._synced_index(voter) > 0
        )

    def _match_index(self, voter: types.ReplicaId) -> int:
        if voter == self._replica.replica_id:
            return self._replica.durable
        return self.progress[voter].match

    def _synced_index(self, voter: types.ReplicaId) -> int:
        if voter == self._replica.replica_id:
            return self._replica.durable if self._replica.has_disk else 0
        return self.progress[voter].synced

    def _acked_round(self, voter: types.ReplicaId) -> int:
        if voter == self._replica.replica_id:
            return self._rounds.newest
        return self.progress[voter].round

    def _on_append_reply(
        self, progress: progress_module.Progress, message: types.Message
    ) -> None:
        log = self._replica.log
        if message.granted:
            progress.on_append_accepted(
                message.index, message.synced, self._replica.now
            )
            self.advance_commit_index()
            return
        match_hint = log.last_at_term(message.hint, message.log_term)
        progress.on_append_rejected(message.index, match_hint)

    def _start_read_round(self) -> None:
        if (
            not self._reads.has_new_reads
            or not self._replica.has_committed_in_term
        ):
            return
        self._send_heartbeats()
        self._reads.assign(self._rounds.newest, self._replica.committed)
        self._confirm_rounds()

    def _confirm_rounds(self) -> None:
        confirmed_round = membership_module.reached_by_majority(
            self._replica.log.membership, self._acked_round
        )
        self._rounds.confirm(confirmed_round)
        self._replica.confirm_reads(self._reads.confirm(confirmed_round))

    def _send_heartbeats(self) -> None:
        """Sends a round of heartbeats and retransmits stalled messages.

        Reads start rounds too, so retransmission is not left to the periodic
        rounds. A round for reads does not postpone the next periodic one:
        that left gaps of nearly two heartbeat periods, from which followers
        derived an election timeout of 0.56 s instead of 0.3 s.
        """
        replica = self._replica
        number = self._rounds.begin(replica.now)
        for progress in self.progress.values():
            if progress.is_stalled(replica.now):
                progress.retry()
        for member, progress in self.progress.items():
            commit = min(progress.match, replica.committed)
            progress.sent_commit = max(progress.sent_commit, commit)
            replica.send(
                types.MessageKind.HEARTBEAT,
                member,
                commit=commit,
                round=number,
            )

    def _send_next(
        self, member: types.ReplicaId, progress: progress_module.Progress
    ) -> bool:
        """Sends the next message to a member, if any.

        Returns whether more entries remain to be sent to the member.
        """
        if not progress.may_send:
            return False
        if progress.mode is progress_module.Mode.SNAPSHOT:
            self._send_chunk(member, progress)
            return False
        log = self._replica.log
        if progress.next <= log.base_index and log.snapshot:
            progress.send_snapshot(log.snapshot)
            self._send_chunk(member, progress)
            return False
        probing = progress.mode is progress_module.Mode.PROBE
        commit_unsent = progress.idle and progress.sent_commit < min(
            progress.match, self._replica.committed
        )
        if progress.next > log.last_index and not probing and not commit_unsent:
            return False
        self._send_append(member, progress)
        return progress.next <= log.last_index

    def _send_append(
        self, member: types.ReplicaId, progress: progress_module.Progress
    ) -> None:
        replica = self._replica
        previous = progress.next - 1
        entries = replica.log.batch(
            progress.next, replica.options.max_append_bytes
        )
        replica.send(
            types.MessageKind.APPEND,
            member,
            index=previous,
            log_term=replica.log.term_at(previous) or 0,
            commit=replica.committed,
            entries=entries,
        )
        progress.sent_commit = min(replica.committed, previous + len(entries))
        progress.on_append_sent(entries, replica.now)

    def _send_chunk(
        self, member: types.ReplicaId, progress: progress_module.Progress
    ) -> None:
        replica = self._replica
        snapshot = progress.snapshot
        if snapshot is None:
            return
        end = progress.offset + replica.options.snapshot_chunk_bytes
        last = end >= len(snapshot.data)
        entry = snapshot_receiver.membership_entry(snapshot)
        replica.send(
            types.MessageKind.SNAPSHOT,
            member,
            index=snapshot.index,
            log_term=snapshot.term,
            entries=(entry,) if last else (),
            offset=progress.offset,
            data=snapshot.data[progress.offset : end],
            last=last,
        )
        progress.on_chunk_sent(replica.now)

    def _transfer_if_unwritable(self) -> None:
        """Begins a leadership transfer while this leader cannot write.

        A transfer that failed is started again at the next call.
        """
        if self._replica.writable:
            return
        transfer_targets = self.transfer_targets
        if not transfer_targets:
            self._transfer_to = None
        elif not self.transferring:
            self.transfer_leadership(
                max(transfer_targets, key=self._match_index).vm
            )

    def _send_timeout_now(self) -> None:
        target = self._transfer_to
        if target is None or self._timeout_now_sent:
            return
        replica = self._replica
        if not replica.writable and replica.committed < replica.log.last_index:
            # Committing the whole log shows that the other voters can write,
            # which granting a vote requires too.
            return
        if self._match_index(target) == self._replica.log.last_index:
            self._replica.send(types.MessageKind.TIMEOUT_NOW, target)
            self._timeout_now_sent = True
