"""What a replica does while it leads."""

from laburnumsill.consensus import engine_errors
from laburnumsill.consensus import membership as membership_module
from laburnumsill.consensus import progress as progress_module
from laburnumsill.consensus import reads
from laburnumsill.consensus import replica as replica_module
from laburnumsill.consensus import snapshot_receiver
from laburnumsill.consensus import types
from laburnumsill.core import codec


class Leadership:
    """One replica's lead in one term.

    Messages with entries are made when the output is taken, so that all
    proposals of one turn of the host's loop share them.

    Attributes:
        progress: What is known of each other member.
    """

    def __init__(self, replica: replica_module.Replica) -> None:
        self.progress: dict[types.ReplicaId, progress_module.Progress] = {}
        self._replica = replica
        self._reads = reads.ReadQueue()
        self._heartbeat_at = replica.now
        self._transfer_to: types.ReplicaId | None = None
        self._transfer_deadline = replica.now
        self._transfer_ordered = False
        self._match_members()
        self._append(types.EntryKind.EMPTY, b"")

    @property
    def transferring(self) -> bool:
        """Whether the lead is being handed over."""
        return self._transfer_to is not None

    @property
    def removed(self) -> bool:
        """Whether a committed membership leaves this replica out."""
        replica = self._replica
        return (
            not replica.votes
            and replica.log.membership_index <= replica.committed
        )

    @property
    def supported(self) -> bool:
        """Whether a majority was heard within the election timeout."""
        return self._replica.now < self._support_deadline

    @property
    def can_commit(self) -> bool:
        """Whether this leader and enough other voters can write.

        Who is silent counts as unable only where some voter's disk is full;
        else a majority's silence ends the lead.
        """
        replica = self._replica
        if not replica.writable:
            return False
        if all(one.writable for one in self.progress.values()):
            return True
        membership = replica.log.membership
        able = membership_module.committable(
            membership, self._able, self._able_to_sync
        )
        return bool(able)

    @property
    def successors(self) -> list[types.ReplicaId]:
        """The other voters that can write; none if they elect nobody."""
        membership = self._replica.log.membership
        able = [one for one in membership.voters if self._able(one)]
        if len(able) < membership_module.majority(membership):
            return []
        return [one for one in able if one != self._replica.me]

    @property
    def next_tick(self) -> float:
        """When `tick` is needed."""
        return min(self._heartbeat_at, self._support_deadline)

    @property
    def _support_deadline(self) -> float:
        replica = self._replica
        heard = membership_module.reached_by_majority(
            replica.log.membership, self._heard_at
        )
        return heard + replica.options.election_timeout_s

    def propose(self, kind: types.EntryKind, data: bytes) -> tuple[int, int]:
        """Appends an entry; returns its index and term."""
        return self._append(kind, data)

    def propose_membership(
        self, membership: types.Membership
    ) -> tuple[int, int]:
        """Appends a change of the membership, which holds from now on.

        Raises:
            engine_errors.MembershipPendingError: The last change, or the
                first entry of this term, is not committed.
            engine_errors.InvalidMembershipError: It may not follow.
        """
        replica = self._replica
        pending = replica.log.membership_index > replica.committed
        if pending or not replica.leads_committed:
            raise engine_errors.MembershipPendingError(
                f"entry {replica.log.membership_index} is not committed",
                index=replica.log.membership_index,
            )
        membership_module.check_change(replica.log.membership, membership)
        place = self._append(
            types.EntryKind.MEMBERSHIP, codec.encode(membership)
        )
        self._match_members()
        return place

    def read(self, read_id: int) -> None:
        """Adds a read to the next heartbeat round."""
        self._reads.add(read_id)

    def transfer(self, vm: str) -> None:
        """Begins to hand the lead to the voter on `vm`.

        Raises:
            engine_errors.NoSuchVoterError: There is none.
        """
        replica = self._replica
        for voter in replica.log.membership.voters:
            if voter.vm == vm and voter != replica.me:
                self._transfer_to = voter
                self._transfer_ordered = False
                self._transfer_deadline = (
                    replica.now + replica.options.election_timeout_s
                )
                return
        if vm != replica.me.vm:
            raise engine_errors.NoSuchVoterError(
                f"no voter of group {replica.group} is on {vm!r}", vm=vm
            )

    def tick(self) -> None:
        """Sends heartbeats and repeats what was lost, when due."""
        replica = self._replica
        if self.transferring and replica.now >= self._transfer_deadline:
            self._transfer_to = None
        if replica.now >= self._heartbeat_at:
            self._heartbeat_at = replica.now + replica.options.heartbeat_s
            self._send_heartbeats()

    def on_reply(self, message: types.Message) -> None:
        """Takes any reply of a member; others are ignored."""
        progress = self.progress.get(message.source)
        if progress is None:
            return
        progress.heard_at = self._replica.now
        if message.kind is types.MessageKind.APPEND_REPLY:
            self._on_append_reply(progress, message)
        elif message.kind is types.MessageKind.HEARTBEAT_REPLY:
            progress.round = max(progress.round, message.round)
            progress.note_writable(not message.full)
            self._confirm_reads()
        elif message.kind is types.MessageKind.SNAPSHOT_REPLY:
            progress.accept_chunk(message.index, message.offset)

    def advance(self) -> None:
        """Commits what may be committed.

        Only an entry of the present term is counted; those before it are
        committed with it, since an entry of an older term on a majority
        may still be replaced.
        """
        replica = self._replica
        index = membership_module.committable(
            replica.log.membership, self._held, self._synced
        )
        if index <= replica.committed:
            return
        if replica.log.term_at(index) == replica.term:
            replica.commit_to(index)

    def flush(self) -> None:
        """Sends everything that flow control lets go."""
        self._begin_reads()
        for member, progress in self.progress.items():
            while self._send_next(member, progress):
                pass
        self._yield_if_full()
        self._order_transfer()

    def resign(self) -> None:
        """Fails the reads that wait."""
        self._replica.lose_reads(self._reads.drain())

    def hand_over(self) -> None:
        """Asks the best voter to campaign at once.

        That is the one that is furthest on, of those that can write.
        """
        voters = self._replica.log.membership.voters
        best = max(voters, key=lambda one: (self._able(one), self._held(one)))
        self._send_heartbeats()
        self._replica.send(types.MessageKind.TIMEOUT_NOW, best)

    def kept_bytes(self) -> int:
        """Returns how many entry bytes to keep behind a snapshot."""
        options = self._replica.options
        sending = any(
            one.mode is progress_module.Mode.SNAPSHOT
            for one in self.progress.values()
        )
        return options.max_kept_bytes if sending else options.kept_bytes

    def _append(self, kind: types.EntryKind, data: bytes) -> tuple[int, int]:
        replica = self._replica
        index = replica.log.last_index + 1
        replica.append(types.Entry(index, replica.term, kind, data))
        return index, replica.term

    def _match_members(self) -> None:
        replica = self._replica
        everyone = membership_module.members(replica.log.membership)
        for gone in self.progress.keys() - set(everyone):
            del self.progress[gone]
        for member in everyone:
            if member != replica.me and member not in self.progress:
                self.progress[member] = progress_module.Progress(
                    replica.log.last_index + 1, replica.now, replica.options
                )

    def _heard_at(self, voter: types.ReplicaId) -> float:
        if voter == self._replica.me:
            return self._replica.now
        return self.progress[voter].heard_at

    def _able(self, voter: types.ReplicaId) -> bool:
        """Whether a voter is there and said that it can write."""
        replica = self._replica
        if voter == replica.me:
            return replica.writable
        progress = self.progress[voter]
        silent_at = progress.heard_at + replica.options.election_timeout_s
        return progress.writable and replica.now < silent_at

    def _able_to_sync(self, voter: types.ReplicaId) -> bool:
        """Whether a voter that can write has a disk, as far as is known."""
        marked = voter.vm in self._replica.log.membership.with_disk
        return self._able(voter) and (marked or self._synced(voter) > 0)

    def _held(self, voter: types.ReplicaId) -> int:
        if voter == self._replica.me:
            return self._replica.durable
        return self.progress[voter].match

    def _synced(self, voter: types.ReplicaId) -> int:
        if voter == self._replica.me:
            return self._replica.durable if self._replica.has_disk else 0
        return self.progress[voter].synced

    def _round(self, voter: types.ReplicaId) -> int:
        if voter == self._replica.me:
            return self._reads.number
        return self.progress[voter].round

    def _on_append_reply(
        self, progress: progress_module.Progress, message: types.Message
    ) -> None:
        log = self._replica.log
        if message.granted:
            progress.accept(message.index, message.synced, self._replica.now)
            self.advance()
            return
        agreed = log.last_at_term(message.hint, message.log_term)
        progress.refuse(message.index, agreed)

    def _begin_reads(self) -> None:
        if not self._reads.waiting or not self._replica.leads_committed:
            return
        self._reads.begin_round(self._replica.committed)
        self._send_heartbeats()
        self._confirm_reads()

    def _confirm_reads(self) -> None:
        number = membership_module.reached_by_majority(
            self._replica.log.membership, self._round
        )
        self._replica.confirm_reads(self._reads.confirm(number))

    def _send_heartbeats(self) -> None:
        """Sends a round of heartbeats, and repeats what went unanswered.

        Reads begin rounds too; what was lost must not have to wait for a pause
        between them. They don't put the regular round off: gaps between those
        of nearly two periods taught followers to miss their leader after
        0.56 s in place of 0.3 s.
        """
        replica = self._replica
        for progress in self.progress.values():
            if progress.stalled(replica.now):
                progress.retry()
        for member, progress in self.progress.items():
            commit = min(progress.match, replica.committed)
            progress.sent_commit = max(progress.sent_commit, commit)
            replica.send(
                types.MessageKind.HEARTBEAT,
                member,
                commit=commit,
                round=self._reads.number,
            )

    def _send_next(
        self, member: types.ReplicaId, progress: progress_module.Progress
    ) -> bool:
        """Sends one message if there is one to send; returns whether."""
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
        news = progress.idle and progress.sent_commit < min(
            progress.match, self._replica.committed
        )
        if progress.next > log.last_index and not probing and not news:
            return False
        self._send_append(member, progress)
        return progress.next <= log.last_index

    def _send_append(
        self, member: types.ReplicaId, progress: progress_module.Progress
    ) -> None:
        replica = self._replica
        before = progress.next - 1
        entries = replica.log.batch(
            progress.next, replica.options.max_append_bytes
        )
        replica.send(
            types.MessageKind.APPEND,
            member,
            index=before,
            log_term=replica.log.term_at(before) or 0,
            commit=replica.committed,
            entries=entries,
        )
        progress.sent_commit = min(replica.committed, before + len(entries))
        progress.sent(entries, replica.now)

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
        progress.sent_chunk(replica.now)

    def _yield_if_full(self) -> None:
        """Begins to hand over, again and again, while it can not write."""
        if self._replica.writable:
            return
        successors = self.successors
        if not successors:
            self._transfer_to = None
        elif not self.transferring:
            self.transfer(max(successors, key=self._held).vm)

    def _order_transfer(self) -> None:
        target = self._transfer_to
        if target is None or self._transfer_ordered:
            return
        replica = self._replica
        if not replica.writable and replica.committed < replica.log.last_index:
            return  # that the others commit it shows that they can vote
        if self._held(target) == self._replica.log.last_index:
            self._replica.send(types.MessageKind.TIMEOUT_NOW, target)
            self._transfer_ordered = True
