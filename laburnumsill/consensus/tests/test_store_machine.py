"""Random tests of the store with kills, full disks and power losses.

The environment variable LABURNUMSILL_STORE_EXAMPLES sets another number of
examples, which are then drawn from a new seed at each run.
"""

import contextlib
import itertools
import os
import random

import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from laburnumsill.consensus import store
from laburnumsill.consensus import types
from laburnumsill.consensus.tests import simulated_disk
from laburnumsill.consensus.tests import store_model
from laburnumsill.consensus.tests import test_store_power_loss

EXAMPLES = 100
REQUESTED_EXAMPLES = os.environ.get("LABURNUMSILL_STORE_EXAMPLES")
POWER_LOSS_AFTER_KILL_PROBABILITY = 0.5
"""Probability that a power loss follows a kill before the next start."""

VOTER = test_store_power_loss.VOTER
MEMBERSHIP = test_store_power_loss.MEMBERSHIP
entries = test_store_power_loss.entries
open_store = test_store_power_loss.open_store


class PowerLosses(stateful.RuleBasedStateMachine):
    """A store whose process may be killed or lose power at any system call.

    The disk may also become full at any call. The state of each commit that
    returned, and each state that an opened store reported, must be found
    whenever the store is opened later.

    Attributes:
        durable: The state that must be found.
        last_index: Its last index.
        refused: Changes that a full disk refused, or None. They are committed
            again before any others.
        skipped: Snapshots that a full disk refused and that are not committed
            again.
    """

    def __init__(self):
        super().__init__()
        self.resources = contextlib.ExitStack()
        self.replica_store = None
        self.durable = types.StoredState("", types.HardState(), None, ())
        self.last_index = 0
        self.term = 1
        self.refused = None
        self.skipped = []

    @stateful.initialize(seed=strategies.integers(0, 2**16))
    def create_disk(self, seed):
        self.rng = random.Random(seed)
        disk = simulated_disk.temporary_disk()
        self.disk = self.resources.enter_context(disk)
        self.open()

    def teardown(self):
        if self.replica_store is not None:
            self.replica_store.close()
        self.resources.close()

    @stateful.rule(count=strategies.integers(1, 4))
    def commit_entries(self, count):
        new = entries(self.last_index + 1, self.last_index + count, self.term)
        self.commit([store.Change(entries=new)])

    @stateful.rule(back=strategies.integers(0, 3))
    def replace_entries(self, back):
        snapshot_index = self.snapshot_index()
        first = max(snapshot_index + 1, self.last_index - back)
        self.term += 1
        new = entries(first, first + 1, self.term)
        self.commit([store.Change(entries=new)])

    @stateful.rule()
    def vote(self):
        self.term += 1
        state = types.HardState(self.term, VOTER)
        self.commit([store.Change(hard_state=state)])

    @stateful.rule(count=strategies.integers(2, 4))
    def commit_many(self, count):
        """Commits several changes at once, as after a sync they waited for."""
        changes = []
        last = max(self.snapshot_index(), self.last_index - 1)
        for _ in range(count):
            self.term += 1
            state = types.HardState(self.term, VOTER)
            new = entries(last + 1, last + 2, self.term)
            changes.append(store.Change(hard_state=state, entries=new))
            last += 1
        self.commit(changes)

    @stateful.rule(back=strategies.integers(0, 4))
    def take_snapshot(self, back, open_calls=None):
        log = [
            e for e in self.durable.entries if e.index > self.snapshot_index()
        ]
        if log:
            entry = log[max(0, len(log) - 1 - back)]
            data = f"{entry.index}".encode()
            taken = types.Snapshot(entry.index, entry.term, MEMBERSHIP, data)
            self.commit([store.Change(snapshot=taken)], open_calls)

    @stateful.rule(
        ahead=strategies.integers(0, 3), count=strategies.integers(0, 2)
    )
    def install_snapshot(self, ahead, count):
        """Installs a snapshot of a leader whose log does not match."""
        index = max(self.last_index, self.snapshot_index() + 1) + ahead
        self.term += 1
        state = types.HardState(self.term, None)
        sent = types.Snapshot(index, self.term, MEMBERSHIP, b"sent")
        new = entries(index + 1, index + count, self.term)
        self.commit([store.Change(state, sent, False, new)])

    @stateful.rule(calls=strategies.integers(0, 12))
    def kill_soon(self, calls):
        self.disk.kill_after(calls)

    @stateful.rule(calls=strategies.integers(0, 12))
    def fill_disk_soon(self, calls):
        self.disk.fill_after(calls)

    @stateful.rule()
    def free_space(self):
        self.disk.free_space()
        if self.refused is not None:
            self.commit(self.refused)

    @stateful.rule()
    def kill(self):
        self.reopen()

    @stateful.rule()
    def lose_power(self):
        self.disk.lose_power(self.rng)
        self.reopen()

    @stateful.rule(
        calls=strategies.integers(6, 11),
        open_calls=strategies.integers(0, 6),
    )
    def kill_during_snapshot_and_open(self, calls, open_calls):
        """Interrupts a snapshot and the start after it.

        The snapshot may have its name while the name is not durable yet.
        """
        self.disk.kill_after(calls)
        self.take_snapshot(0, open_calls)
        self.reopen()

    def snapshot_index(self):
        """Returns the highest index of a snapshot, stored or skipped.

        Entries up to it are committed: they are not replaced, and later
        snapshots are newer.
        """
        snapshots = [change.snapshot for change in self.skipped]
        if self.durable.snapshot:
            snapshots.append(self.durable.snapshot)
        return max((snapshot.index for snapshot in snapshots), default=0)

    def commit(self, changes, open_calls=None):
        """Commits `changes`, or else those that a full disk refused before."""
        changes = self.refused or changes
        try:
            self.replica_store.commit(changes)
        except simulated_disk.ProcessKilled:
            if open_calls is not None:
                self.kill_during_open(open_calls)
            elif self.rng.random() < POWER_LOSS_AFTER_KILL_PROBABILITY:
                self.disk.lose_power(self.rng)
            self.reopen(changes)
            return
        except store.DiskFullError:
            self.refused = changes
            if len(changes) == 1 and changes[0].can_be_skipped:
                self.refused = None
                self.skipped += changes
            return
        self.refused = None
        if changes[0].snapshot is not None:
            self.skipped = []
        self.durable = store_model.states(self.durable, changes)[-1]
        self.last_index = store_model.last_index(self.durable)

    def reopen(self, uncertain=None):
        """Opens the store in a new process.

        Args:
            uncertain: Changes that may be stored, in part or as a whole.
        """
        self.replica_store.close()
        self.disk.cancel_kill()
        self.open(uncertain or self.refused)

    def kill_during_open(self, calls):
        """Kills a start and loses power; the state it reported is ignored."""
        self.disk.kill_after(calls)
        interruptions = (simulated_disk.ProcessKilled, store.DiskFullError)
        with contextlib.suppress(*interruptions):
            open_store(self.disk.root).close()
        self.disk.lose_power(self.rng)

    def open(self, uncertain=None):
        self.replica_store = self.open_with_space()
        self.refused = None
        found = self.replica_store.stored
        allowed = store_model.states(self.durable, uncertain or ())
        for state, skipped in itertools.product(allowed[:], self.skipped):
            allowed += store_model.states(state, [skipped])
        assert any(store_model.same(found, expected) for expected in allowed), (
            found
        )
        self.durable = found
        self.last_index = store_model.last_index(found)
        self.skipped = []

    def open_with_space(self):
        for _ in range(2):
            try:
                return open_store(self.disk.root)
            except store.DiskFullError:
                continue
        self.disk.free_space()
        return open_store(self.disk.root)


PowerLosses.TestCase.settings = hypothesis.settings(
    max_examples=int(REQUESTED_EXAMPLES or EXAMPLES),
    stateful_step_count=30,
    derandomize=REQUESTED_EXAMPLES is None,
    database=None,
    deadline=None,
    phases=(hypothesis.Phase.generate,),
    suppress_health_check=list(hypothesis.HealthCheck),
)
TestPowerLosses = PowerLosses.TestCase
