"""One replica that this VM hosts: engine, store and state machine together.

The output of the engine is carried out in its order: what it wants kept is
queued for the store, messages that promise it are held until it is synced,
committed entries are applied. A sync runs in a worker thread; meanwhile the
engine goes on, heartbeats and entries flow, and everything that arrives
shares the next sync.
"""

import dataclasses
import math
import random
from collections import abc

import trio

from laburnumsill.consensus import engine as engines
from laburnumsill.consensus import group_apply
from laburnumsill.consensus import group_lead
from laburnumsill.consensus import group_promises
from laburnumsill.consensus import group_ticks
from laburnumsill.consensus import group_waiters
from laburnumsill.consensus import store
from laburnumsill.consensus import types
from laburnumsill.core import clock as clocks
from laburnumsill.core import codec
from laburnumsill.core import logs
from laburnumsill.core import replication

SNAPSHOT_ENTRIES = 4096
"""Entries after which a snapshot is taken."""

SNAPSHOT_LOG_BYTES = 32 * 1024 * 1024
"""Log bytes after which a snapshot is taken."""

SNAPSHOT_RETRY_S = 10.0
"""Pause after a snapshot for which there was no room, in seconds: each try
encodes the whole state."""


@dataclasses.dataclass(frozen=True, slots=True)
class SnapshotLimits:
    """When a snapshot is taken.

    Attributes:
        entries: After so many entries.
        log_bytes: After so many bytes of log.
    """

    entries: int = SNAPSHOT_ENTRIES
    log_bytes: int = SNAPSHOT_LOG_BYTES


class HostedGroup:
    """One replica of one group on this VM.

    Attributes:
        name: The group.
        me: This replica.
        machine: Its state machine.
        outgoing: Messages that may be sent now; the host takes them.
    """

    def __init__(
        self,
        name: str,
        vm: str,
        kept: store.ReplicaStore,
        machine: replication.StateMachine,
        clock: clocks.Clock,
        options: engines.Options,
        limits: SnapshotLimits,
        source: random.Random,
    ) -> None:
        self.name = name
        self.me = types.ReplicaId(vm, kept.stored.incarnation)
        self.machine = machine
        self.outgoing: list[types.Message] = []
        self._store = kept
        self._clock = clock
        self._options = options
        self._limits = limits
        self._random = source
        self._hard_state = kept.stored.hard_state
        self._applier = group_apply.Applier(name, machine, kept.stored)
        self._proposals = group_waiters.Proposals(name)
        self._reads = group_waiters.Reads(name)
        self._pending: list[store.Change] = []
        self._queued = 0
        self._kept = 0
        self._hard_state_at = 0
        self._held = group_promises.HeldMessages()
        self._changed = trio.Event()
        self._synced = trio.Event()
        self._paused = False
        self._no_snapshot_before = -math.inf
        self._lead = group_lead.Lead(name)
        self._settled_index = 0
        self._engine = self._new_engine(kept.stored)

    @property
    def engine(self) -> engines.Engine:
        """The engine, to be read only."""
        return self._engine

    @property
    def with_disk(self) -> bool:
        """Whether its store is on a disk."""
        return self._store.with_disk

    @property
    def writable(self) -> bool:
        """Whether its store took the last change that it was given."""
        return self._engine.writable

    @property
    def synced_index(self) -> int:
        """Index up to which its own log is stored."""
        return self._engine.durable

    @property
    def applied(self) -> int:
        """Index of the last entry applied."""
        return self._applier.applied

    @property
    def leads(self) -> bool:
        """Whether this replica leads as far as it knows."""
        return self._engine.role == "leader"

    @property
    def has_caught_up(self) -> bool:
        """Whether it leads and has applied an entry of its own term.

        It has applied all that was acknowledged before it led, then.
        """
        applied_in = self._engine.term_at(self.applied)
        return self.leads and applied_in == self._engine.term

    @property
    def is_fresh(self) -> bool:
        """Whether this replica knows nothing of its group."""
        return self._engine.last_index == 0 and not self._paused

    @property
    def is_member(self) -> bool:
        """Whether this replica is in the newest membership it knows."""
        membership = self._engine.membership
        return self.me in membership.voters + membership.learners

    def take_settled(self) -> bool:
        """Whether a change of the make-up was committed since the last call.

        Only the leader is told: it is the one to propose the next change.
        """
        index = self._engine.membership_index
        committed = self._settled_index < index <= self._engine.committed
        if committed:
            self._settled_index = index
        return committed and self.leads

    @property
    def due(self) -> float:
        """The monotonic point at which `tick` is needed."""
        return group_ticks.due(
            self._engine.next_tick(), self._options.heartbeat_s, self.leads
        )

    def tick(self, now: float) -> None:
        """Passes time to the engine."""
        if self._paused:
            return
        moment = group_ticks.moment(
            now, self._engine.next_tick(), self._options.heartbeat_s, self.leads
        )
        self._engine.tick(moment)

    def step(self, message: types.Message) -> None:
        """Passes a message to the engine."""
        if not self._paused:
            self._engine.step(message, self._clock.monotonic())

    def propose(self, data: bytes) -> group_waiters.Waiter:
        """Appends a command.

        Raises:
            engines.NotLeaderError: This replica does not lead.
        """
        place = self._engine.propose(data, self._clock.monotonic())
        return self._proposals.add(*place)

    def propose_membership(self, membership: types.Membership) -> None:
        """Appends a change of the make-up.

        Raises:
            engines.NotLeaderError: This replica does not lead.
            engines.MembershipPendingError: The last change is not committed.
            engines.InvalidMembershipError: It may not follow the present one.
        """
        self._engine.propose_membership(membership, self._clock.monotonic())

    def read(self, query: object) -> group_waiters.Waiter:
        """Begins a query that is answered once the lead is confirmed.

        Raises:
            engines.NotLeaderError: This replica does not lead.
        """
        read_id = self._engine.read(self._clock.monotonic())
        return self._reads.add(read_id, query)

    def transfer(self, vm: str) -> None:
        """Begins to hand the lead to the voter on `vm`.

        Raises:
            engines.NotLeaderError: This replica does not lead.
            engines.NoSuchVoterError: There is no voter on `vm`.
        """
        self._engine.transfer(vm, self._clock.monotonic())

    async def lead_ended(self) -> None:
        """Waits until this replica has lost or handed over its lead."""
        await self._lead.until_ended()

    async def found(self, membership: types.Membership) -> None:
        """Writes the first entry of the group, then takes part in it.

        A term and vote that were given before are kept.

        Raises:
            StorageError: The disk failed.
        """
        hard_state, entry = engines.Engine.found(self.name, self.me, membership)
        if self._hard_state.term:
            hard_state = self._hard_state
        self._paused = True
        self._queue(store.Change(hard_state=hard_state, entries=(entry,)))
        if not self.with_disk:
            self._commit_now()
        while self._kept < self._queued:
            await self._synced.wait()
        self._engine = self._new_engine(
            types.Stored(
                self.me.incarnation, hard_state, None, (entry,), self.with_disk
            )
        )
        self._paused = False
        logs.event("group-founded", group=self.name, voters=membership.voters)

    def recover(self, term: int, membership: types.Membership) -> None:
        """Takes up a membership that no leader can bring about any more.

        It enters the log as an entry of a new term, as if a leader of that
        term had sent it; nobody else can have been elected in it.

        Args:
            term: A term that no surviving voter has entered.
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
                self.me,
                self.me,
                term,
                index=last,
                log_term=self._engine.term_at(last) or 0,
                entries=(entry,),
            )
        )

    def pump(self) -> None:
        """Carries out everything that the engine wants done now."""
        if self._paused:
            return
        while True:
            output = self._engine.take_output()
            if output == _NOTHING:
                break
            self._carry_out(output)
        self._release()
        self._note_lead()
        self._snapshot_if_due()

    async def keep_syncing(self, pumped: abc.Callable[[], None]) -> None:
        """Syncs what is queued, again and again, in a worker thread.

        What a full disk does not take is tried until there is room. The store
        is closed at the end, when no sync runs any more.

        Args:
            pumped: Called after each sync, and when the disk is found to be
                full, to pump this group.

        Raises:
            StorageError: The disk failed.
        """
        try:
            while True:
                await self._changed.wait()
                self._changed = trio.Event()
                for batch in store.batches(self._take_pending()):
                    await self._keep(batch, pumped)
        finally:
            self._store.close()

    async def _keep(
        self, batch: list[store.Change], pumped: abc.Callable[[], None]
    ) -> None:
        """Commits a batch, as soon as there is room for it."""
        while True:
            try:
                await trio.to_thread.run_sync(self._store.commit, batch)
            except store.DiskFullError as error:
                if all(change.may_be_left_out for change in batch):
                    self._put_snapshot_off(error)
                    break
                self._lose_disk(error)
                pumped()
                await trio.sleep(store.RETRY_S)
            else:
                self._regain_disk()
                break
        self._note_kept(batch)
        pumped()

    def _lose_disk(self, error: store.DiskFullError) -> None:
        """Promises nothing more until the store takes something again."""
        self._held.drop_after(self._kept)
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

    def _regain_disk(self) -> None:
        if not self.writable:
            self._engine.set_writable(True)
            logs.event("disk-room", "WARNING", group=self.name)

    def _put_snapshot_off(self, error: store.DiskFullError) -> None:
        """Goes on with the log, which holds all that the snapshot does."""
        self._no_snapshot_before = self._clock.monotonic() + SNAPSHOT_RETRY_S
        logs.event(
            "snapshot-put-off", "WARNING", group=self.name, detail=error.detail
        )

    def stop(self) -> None:
        """Fails all that waits."""
        self._proposals.lose("the replica was stopped")
        self._reads.lose_all()

    def _new_engine(self, stored: types.Stored) -> engines.Engine:
        return engines.Engine(
            self.name,
            self.me,
            stored,
            self._options,
            self._clock.monotonic(),
            self._random,
        )

    def _carry_out(self, output: types.Output) -> None:
        if output.install is not None:
            self._applier.install(output.install)
            self._proposals.lose("a snapshot came", output.install.index)
        change = store.Change(
            output.hard_state, output.install, False, output.append
        )
        if not change.is_empty:
            self._queue(change)
        for message in output.messages:
            self._held.add(self._needed_sync(message), message)
        if not self.with_disk:
            self._commit_now()
        for entry in output.committed:
            outcome = self._applier.apply(entry)
            self._proposals.settle(entry.index, entry.term, outcome)
        for read in output.reads:
            self._answer(read)
        for read_id in output.lost_reads:
            self._reads.lose(read_id)

    def _queue(self, change: store.Change) -> None:
        self._queued += 1
        self._pending.append(change)
        if change.hard_state is not None:
            self._hard_state = change.hard_state
            self._hard_state_at = self._queued
        self._changed.set()

    def _needed_sync(self, message: types.Message) -> int:
        """Returns the number of the change that must be kept first."""
        if message.kind in group_promises.UNSYNCED_KINDS:
            return self._hard_state_at
        return self._queued

    def _take_pending(self) -> list[store.Change]:
        changes = self._pending
        self._pending = []
        return changes

    def _commit_now(self) -> None:
        changes = self._take_pending()
        if changes:
            self._store.commit(changes)
            self._note_kept(changes)

    def _note_kept(self, changes: list[store.Change]) -> None:
        self._kept += len(changes)
        self._synced.set()
        self._synced = trio.Event()
        for change in reversed(changes):
            if change.entries and not self._paused:
                last = change.entries[-1]
                self._engine.synced(last.index, last.term)
                break

    def _release(self) -> None:
        """Lets the messages go whose changes are kept."""
        self.outgoing += self._held.take(self._kept, self.writable)

    def _answer(self, read: types.ConfirmedRead) -> None:
        found = self._reads.take(read.read_id)
        if found is not None:
            query, waiter = found
            waiter.succeed(self._applier.query(query))

    def _note_lead(self) -> None:
        """Tells the waiters when the lead is lost or won."""
        if self._lead.note(self._engine):
            self._proposals.lose("the lead was lost before the commit")
            self._reads.lose_all()

    def _snapshot_if_due(self) -> None:
        too_early = self._clock.monotonic() < self._no_snapshot_before
        if too_early or not self.writable:
            return
        covered = self._applier.covered
        entries = self.applied - covered
        large = self._store.log_bytes >= self._limits.log_bytes and entries
        if entries < self._limits.entries and not large:
            return
        index = self.applied
        snapshot = types.Snapshot(
            index,
            self._engine.term_at(index) or 0,
            self._engine.membership_at(index),
            self.machine.dump(),
        )
        self._applier.covered = index
        self._engine.compact(snapshot)
        self._queue(store.Change(snapshot=snapshot))
        if not self.with_disk:
            self._commit_now()


_NOTHING = types.Output()
