"""One hosted Raft replica: its engine, store and state machine.

The output of the engine is executed in order: entries and hard states are
queued for the store, messages that acknowledge them are held back until they
are synced, and committed entries are applied. A sync runs in a worker thread.
Meanwhile the engine continues: heartbeats and entries are sent and received,
and all changes queued during a sync share the next one.
"""

import dataclasses
import math
import random
from collections import abc

import trio

from laburnumsill.consensus import engine as engines
from laburnumsill.consensus import group_apply
from laburnumsill.consensus import group_leadership
from laburnumsill.consensus import group_waiters
from laburnumsill.consensus import held_messages
from laburnumsill.consensus import store
from laburnumsill.consensus import tick_alignment
from laburnumsill.consensus import types
from laburnumsill.core import clock as clocks
from laburnumsill.core import codec
from laburnumsill.core import logs
from laburnumsill.core import replication

SNAPSHOT_ENTRIES = 4096
"""Number of entries applied since the last snapshot that triggers the next."""

SNAPSHOT_LOG_BYTES = 32 * 1024 * 1024
"""Size of the stored log, in bytes, that triggers a snapshot."""

SNAPSHOT_RETRY_S = 10.0
"""Delay after a snapshot that did not fit on the disk, in seconds. Each retry
encodes the whole state."""


@dataclasses.dataclass(frozen=True, slots=True)
class SnapshotLimits:
    """Limits whose excess triggers a snapshot.

    Attributes:
        entries: Number of entries applied since the last snapshot.
        log_bytes: Size of the stored log in bytes.
    """

    entries: int = SNAPSHOT_ENTRIES
    log_bytes: int = SNAPSHOT_LOG_BYTES


class HostedGroup:
    """One replica of a group on this VM.

    Attributes:
        name: The name of the group.
        replica_id: The id of this replica.
        machine: The state machine.
        outgoing: The messages that may be sent now; the host removes them.
    """

    def __init__(
        self,
        name: str,
        vm: str,
        replica_store: store.ReplicaStore,
        machine: replication.StateMachine,
        clock: clocks.Clock,
        options: engines.Options,
        limits: SnapshotLimits,
        rng: random.Random,
    ) -> None:
        self.name = name
        self.replica_id = types.ReplicaId(vm, replica_store.stored.incarnation)
        self.machine = machine
        self.outgoing: list[types.Message] = []
        self._store = replica_store
        self._clock = clock
        self._options = options
        self._limits = limits
        self._rng = rng
        self._hard_state = replica_store.stored.hard_state
        self._applier = group_apply.Applier(name, machine, replica_store.stored)
        self._proposals = group_waiters.PendingProposals(name)
        self._reads = group_waiters.PendingReads(name)
        self._pending_changes: list[store.Change] = []
        # Changes are numbered in the order in which they are queued. These are
        # the numbers of the last queued and stored change, and of the last one
        # with a hard state.
        self._queued_changes = 0
        self._stored_changes = 0
        self._hard_state_change = 0
        self._held_messages = held_messages.HeldMessages()
        self._change_queued = trio.Event()
        self._change_stored = trio.Event()
        self._is_bootstrapping = False
        self._next_snapshot_at = -math.inf
        self._leadership = group_leadership.LeadershipState(name)
        self._reported_membership_index = 0
        self._engine = self._new_engine(replica_store.stored)

    @property
    def engine(self) -> engines.Engine:
        """The engine; callers must not change it."""
        return self._engine

    @property
    def with_disk(self) -> bool:
        """Whether the store of this replica is on a disk."""
        return self._store.with_disk

    @property
    def writable(self) -> bool:
        """Whether the last write to the store succeeded (no full disk)."""
        return self._engine.writable

    @property
    def synced_index(self) -> int:
        """Index of the last entry that is durable in the local store."""
        return self._engine.durable

    @property
    def applied(self) -> int:
        """Index of the last applied entry."""
        return self._applier.applied

    @property
    def leads(self) -> bool:
        """Whether this replica is the leader, as far as it knows."""
        return self._engine.role == "leader"

    @property
    def confirmed_at(self) -> float | None:
        """Monotonic time before which no term after the current one began.

        None unless this replica is leader and a majority has acknowledged it.
        """
        confirmed_at = self._engine.confirmed_at
        if confirmed_at is None:
            return None
        return confirmed_at - tick_alignment.TOLERANCE_S

    @property
    def has_caught_up(self) -> bool:
        """Whether this replica leads and has applied an entry of its term.

        It has then applied all entries acknowledged in earlier terms.
        """
        applied_in = self._engine.term_at(self.applied)
        return self.leads and applied_in == self._engine.term

    @property
    def is_fresh(self) -> bool:
        """Whether this replica has no log entries yet."""
        return self._engine.last_index == 0 and not self._is_bootstrapping

    @property
    def is_member(self) -> bool:
        """Whether this replica is in the latest membership in its log."""
        membership = self._engine.membership
        return self.replica_id in membership.voters + membership.learners

    def take_membership_committed(self) -> bool:
        """Returns whether a membership change has been committed.

        Each change is reported once, and only on the leader, which proposes
        the next change.
        """
        index = self._engine.membership_index
        committed = (
            self._reported_membership_index < index <= self._engine.committed
        )
        if committed:
            self._reported_membership_index = index
        return committed and self.leads

    @property
    def next_tick_at(self) -> float:
        """When `tick` has to be called next, in monotonic seconds."""
        return tick_alignment.aligned_tick_at(
            self._engine.next_tick(), self._options.heartbeat_s, self.leads
        )

    def tick(self, now: float) -> None:
        """Advances the clock of the engine."""
        if self._is_bootstrapping:
            return
        tick_time = tick_alignment.aligned_time(
            now, self._engine.next_tick(), self._options.heartbeat_s, self.leads
        )
        self._engine.tick(tick_time)

    def step(self, message: types.Message) -> None:
        """Passes a message to the engine."""
        if not self._is_bootstrapping:
            self._engine.step(message, self._clock.monotonic())

    def propose(self, data: bytes) -> group_waiters.Waiter:
        """Proposes a command.

        Returns:
            The waiter for its outcome.

        Raises:
            engines.NotLeaderError: This replica does not lead.
        """
        position = self._engine.propose(data, self._clock.monotonic())
        return self._proposals.add(*position)

    def propose_membership(self, membership: types.Membership) -> None:
        """Proposes a membership change.

        Raises:
            engines.NotLeaderError: This replica does not lead.
            engines.MembershipPendingError: The last change is not committed.
            engines.InvalidMembershipError: The membership may not follow the
                current one.
        """
        self._engine.propose_membership(membership, self._clock.monotonic())

    def read(self, query: object) -> group_waiters.Waiter:
        """Starts a linearizable query, answered after a heartbeat round.

        Returns:
            The waiter for its outcome.

        Raises:
            engines.NotLeaderError: This replica does not lead.
        """
        read_id = self._engine.read(self._clock.monotonic())
        return self._reads.add(read_id, query)

    def transfer_leadership(self, vm: str) -> None:
        """Starts a leadership transfer to the voter on `vm`.

        Raises:
            engines.NotLeaderError: This replica does not lead.
            engines.NoSuchVoterError: There is no voter on `vm`.
        """
        self._engine.transfer_leadership(vm, self._clock.monotonic())

    async def leadership_ended(self) -> None:
        """Waits until this replica has lost or transferred its leadership."""
        await self._leadership.wait_ended()

    async def bootstrap(self, membership: types.Membership) -> None:
        """Bootstraps the group: stores its first entry, then starts the engine.

        A term and vote stored earlier are preserved.

        Raises:
            StorageError: The disk failed.
        """
        hard_state, entry = engines.Engine.bootstrap(
            self.name, self.replica_id, membership
        )
        if self._hard_state.term:
            hard_state = self._hard_state
        self._is_bootstrapping = True
        self._queue_change(
            store.Change(hard_state=hard_state, entries=(entry,))
        )
        if not self.with_disk:
            self._store_now()
        while self._stored_changes < self._queued_changes:
            await self._change_stored.wait()
        self._engine = self._new_engine(
            types.StoredState(
                self.replica_id.incarnation,
                hard_state,
                None,
                (entry,),
                self.with_disk,
            )
        )
        self._is_bootstrapping = False
        logs.event("group-founded", group=self.name, voters=membership.voters)

    def recover(self, term: int, membership: types.Membership) -> None:
        """Adopts a membership after the loss of a majority of the voters.

        The membership is appended as an entry of a new term, as if a leader of
        that term had sent it. No other replica can have been elected in it.

        Args:
            term: A term later than those of all surviving voters.
            membership: The surviving voters.
        """
        last = self._engine.last_index
        entry = types.Entry(
            last + 1,
            term,
            types.EntryKind.MEMBERSHIP,
            codec.encode(membership),
        )
        self.step(
            types.Message(
                types.MessageKind.APPEND,
                self.replica_id,
                self.replica_id,
                term,
                index=last,
                log_term=self._engine.term_at(last) or 0,
                entries=(entry,),
            )
        )

    def process_output(self) -> None:
        """Executes the pending output of the engine."""
        if self._is_bootstrapping:
            return
        while True:
            output = self._engine.take_output()
            if output == _NOTHING:
                break
            self._execute(output)
        self._release_messages()
        self._update_leadership()
        self._snapshot_if_due()

    async def run_sync_loop(
        self, schedule_output: abc.Callable[[], None]
    ) -> None:
        """Stores queued changes in a worker thread until cancelled.

        On a full disk the write is retried until there is free space. The
        store is closed at the end, when no sync is running.

        Args:
            schedule_output: Called after each sync, and when the disk turns
                out to be full, so that the output of the engine is processed.

        Raises:
            StorageError: The disk failed.
        """
        try:
            while True:
                await self._change_queued.wait()
                self._change_queued = trio.Event()
                for batch in store.batches(self._take_pending()):
                    await self._store_batch(batch, schedule_output)
        finally:
            self._store.close()

    async def _store_batch(
        self, batch: list[store.Change], schedule_output: abc.Callable[[], None]
    ) -> None:
        """Stores a batch; on a full disk, retries until it fits.

        A batch of snapshots alone is dropped instead, and taken again later.
        """
        while True:
            try:
                await trio.to_thread.run_sync(self._store.commit, batch)
            except store.DiskFullError as error:
                if all(change.can_be_skipped for change in batch):
                    self._postpone_snapshot(error)
                    break
                self._on_disk_full(error)
                schedule_output()
                await trio.sleep(store.DISK_FULL_RETRY_S)
            else:
                self._on_disk_writable()
                break
        self._on_stored(batch)
        schedule_output()

    def _on_disk_full(self, error: store.DiskFullError) -> None:
        """Drops the messages that wait for a sync and reports the full disk."""
        self._held_messages.discard_after(self._stored_changes)
        if self.writable:
            self._engine.set_writable(False)
            logs.event(
                "disk-full",
                "ERROR",
                group=self.name,
                leads=self.leads,
                last=self._engine.last_index,
                kept=self.synced_index,
                detail=error.detail,
            )

    def _on_disk_writable(self) -> None:
        if not self.writable:
            self._engine.set_writable(True)
            logs.event("disk-room", "WARNING", group=self.name)

    def _postpone_snapshot(self, error: store.DiskFullError) -> None:
        """Postpones the snapshot; the log still has all that it covers."""
        self._next_snapshot_at = self._clock.monotonic() + SNAPSHOT_RETRY_S
        logs.event(
            "snapshot-put-off", "WARNING", group=self.name, detail=error.detail
        )

    def stop(self) -> None:
        """Fails all pending proposals and reads."""
        self._proposals.fail("the replica was stopped")
        self._reads.fail_all()

    def _new_engine(self, stored: types.StoredState) -> engines.Engine:
        return engines.Engine(
            self.name,
            self.replica_id,
            stored,
            self._options,
            self._clock.monotonic(),
            self._rng,
        )

    def _execute(self, output: types.Output) -> None:
        if output.snapshot is not None:
            self._applier.install(output.snapshot)
            self._proposals.fail("a snapshot came", output.snapshot.index)
        change = store.Change(
            output.hard_state, output.snapshot, False, output.entries
        )
        if not change.is_empty:
            self._queue_change(change)
        for message in output.messages:
            self._held_messages.add(self._required_change(message), message)
        if not self.with_disk:
            self._store_now()
        for entry in output.committed:
            outcome = self._applier.apply(entry)
            self._proposals.resolve(entry.index, entry.term, outcome)
        for read in output.reads:
            self._answer_read(read)
        for read_id in output.failed_reads:
            self._reads.fail(read_id)

    def _queue_change(self, change: store.Change) -> None:
        self._queued_changes += 1
        self._pending_changes.append(change)
        if change.hard_state is not None:
            self._hard_state = change.hard_state
            self._hard_state_change = self._queued_changes
        self._change_queued.set()

    def _required_change(self, message: types.Message) -> int:
        """Returns the number of the change that must be stored first."""
        if message.kind in held_messages.UNSYNCED_KINDS:
            return self._hard_state_change
        return self._queued_changes

    def _take_pending(self) -> list[store.Change]:
        changes = self._pending_changes
        self._pending_changes = []
        return changes

    def _store_now(self) -> None:
        changes = self._take_pending()
        if changes:
            self._store.commit(changes)
            self._on_stored(changes)

    def _on_stored(self, changes: list[store.Change]) -> None:
        self._stored_changes += len(changes)
        self._change_stored.set()
        self._change_stored = trio.Event()
        for change in reversed(changes):
            if change.entries and not self._is_bootstrapping:
                last = change.entries[-1]
                self._engine.on_synced(last.index, last.term)
                break

    def _release_messages(self) -> None:
        """Releases the held messages whose changes are stored."""
        self.outgoing += self._held_messages.release(
            self._stored_changes, self.writable
        )

    def _answer_read(self, read: types.ConfirmedRead) -> None:
        pending = self._reads.pop(read.read_id)
        if pending is not None:
            query, waiter = pending
            waiter.succeed(self._applier.query(query))

    def _update_leadership(self) -> None:
        """Fails all pending requests when the leadership has ended."""
        if self._leadership.update(self._engine):
            self._proposals.fail("the lead was lost before the commit")
            self._reads.fail_all()

    def _snapshot_if_due(self) -> None:
        is_postponed = self._clock.monotonic() < self._next_snapshot_at
        if is_postponed or not self.writable:
            return
        snapshot_index = self._applier.snapshot_index
        entries = self.applied - snapshot_index
        log_is_large = (
            self._store.log_bytes >= self._limits.log_bytes and entries
        )
        if entries < self._limits.entries and not log_is_large:
            return
        index = self.applied
        snapshot = types.Snapshot(
            index,
            self._engine.term_at(index) or 0,
            self._engine.membership_at(index),
            self.machine.dump(),
        )
        self._applier.snapshot_index = index
        self._engine.compact(snapshot)
        self._queue_change(store.Change(snapshot=snapshot))
        if not self.with_disk:
            self._store_now()


_NOTHING = types.Output()
