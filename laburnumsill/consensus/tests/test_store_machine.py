"""The store under commits, kills, full disks and losses of power, at random.

The environment variable LABURNUMSILL_STORE_EXAMPLES asks for more examples,
from a new seed each time.
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
MORE = os.environ.get("LABURNUMSILL_STORE_EXAMPLES")
DARK_AFTER_KILL = 0.5
"""How often a loss of power follows a kill before the next start."""

VOTER = test_store_power_loss.VOTER
MEMBERSHIP = test_store_power_loss.MEMBERSHIP
entries = test_store_power_loss.entries
opened = test_store_power_loss.opened


class PowerLosses(stateful.RuleBasedStateMachine):
    """One store, killed at any call and without power at any moment.

    The disk is full from some call on, now and then. What a commit has
    returned for, and what an opened store has reported, must be found by every
    later opening.
    """

    def __init__(self):
        super().__init__()
        self.resources = contextlib.ExitStack()
        self.kept = None
        self.promised = types.Stored("", types.HardState(), None, ())
        self.last = 0
        self.term = 1
        self.stuck = None
        self.left_out = []

    @stateful.initialize(seed=strategies.integers(0, 2**16))
    def begin(self, seed):
        self.source = random.Random(seed)
        disk = simulated_disk.simulated()
        self.disk = self.resources.enter_context(disk)
        self.open()

    def teardown(self):
        if self.kept is not None:
            self.kept.close()
        self.resources.close()

    @stateful.rule(count=strategies.integers(1, 4))
    def commit_entries(self, count):
        new = entries(self.last + 1, self.last + count, self.term)
        self.commit([store.Change(entries=new)])

    @stateful.rule(back=strategies.integers(0, 3))
    def replace_entries(self, back):
        covered = self.covered()
        first = max(covered + 1, self.last - back)
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
        """What has come while a sync lasted shares the next one."""
        changes = []
        last = max(self.covered(), self.last - 1)
        for _ in range(count):
            self.term += 1
            state = types.HardState(self.term, VOTER)
            new = entries(last + 1, last + 2, self.term)
            changes.append(store.Change(hard_state=state, entries=new))
            last += 1
        self.commit(changes)

    @stateful.rule(back=strategies.integers(0, 4))
    def take_snapshot(self, back, start_calls=None):
        held = [e for e in self.promised.entries if e.index > self.covered()]
        if held:
            entry = held[max(0, len(held) - 1 - back)]
            data = f"{entry.index}".encode()
            taken = types.Snapshot(entry.index, entry.term, MEMBERSHIP, data)
            self.commit([store.Change(snapshot=taken)], start_calls)

    @stateful.rule(
        ahead=strategies.integers(0, 3), count=strategies.integers(0, 2)
    )
    def install_snapshot(self, ahead, count):
        """One from a leader whose log this replica did not match."""
        index = max(self.last, self.covered() + 1) + ahead
        self.term += 1
        state = types.HardState(self.term, None)
        sent = types.Snapshot(index, self.term, MEMBERSHIP, b"sent")
        new = entries(index + 1, index + count, self.term)
        self.commit([store.Change(state, sent, False, new)])

    @stateful.rule(calls=strategies.integers(0, 12))
    def be_killed_soon(self, calls):
        self.disk.kill_after(calls)

    @stateful.rule(calls=strategies.integers(0, 12))
    def fill_disk_soon(self, calls):
        self.disk.fill_after(calls)

    @stateful.rule()
    def make_room(self):
        self.disk.make_room()
        if self.stuck is not None:
            self.commit(self.stuck)

    @stateful.rule()
    def be_killed(self):
        self.reopen()

    @stateful.rule()
    def lose_power(self):
        self.disk.lose_power(self.source)
        self.reopen()

    @stateful.rule(
        calls=strategies.integers(6, 11),
        start_calls=strategies.integers(0, 6),
    )
    def have_a_snapshot_and_a_start_cut_short(self, calls, start_calls):
        """The snapshot may have its name, and the name not be durable."""
        self.disk.kill_after(calls)
        self.take_snapshot(0, start_calls)
        self.reopen()

    def covered(self):
        """Returns up to where a snapshot was taken, kept or left out.

        It was committed, so it is not replaced, and later snapshots are newer.
        """
        snapshots = [change.snapshot for change in self.left_out]
        if self.promised.snapshot:
            snapshots.append(self.promised.snapshot)
        return max((snapshot.index for snapshot in snapshots), default=0)

    def commit(self, changes, start_calls=None):
        """Commits changes; what a full disk did not take comes first."""
        changes = self.stuck or changes
        try:
            self.kept.commit(changes)
        except simulated_disk.ProcessKilled:
            if start_calls is not None:
                self.start_cut_short(start_calls)
            elif self.source.random() < DARK_AFTER_KILL:
                self.disk.lose_power(self.source)
            self.reopen(changes)
            return
        except store.DiskFullError:
            self.stuck = changes
            if len(changes) == 1 and changes[0].may_be_left_out:
                self.stuck = None
                self.left_out += changes
            return
        self.stuck = None
        if changes[0].snapshot is not None:
            self.left_out = []
        self.promised = store_model.states(self.promised, changes)[-1]
        self.last = store_model.last_index(self.promised)

    def reopen(self, unsure=None):
        """Starts again, with changes that may have been kept or not."""
        self.kept.close()
        self.disk.restart()
        self.open(unsure or self.stuck)

    def start_cut_short(self, calls):
        """Kills a start; what it may have reported is not asked for."""
        self.disk.kill_after(calls)
        ends = (simulated_disk.ProcessKilled, store.DiskFullError)
        with contextlib.suppress(*ends):
            opened(self.disk.root).close()
        self.disk.lose_power(self.source)

    def open(self, unsure=None):
        self.kept = self.opened_with_room()
        self.stuck = None
        found = self.kept.stored
        allowed = store_model.states(self.promised, unsure or ())
        for state, left_out in itertools.product(allowed[:], self.left_out):
            allowed += store_model.states(state, [left_out])
        assert any(store_model.same(found, one) for one in allowed), found
        self.promised = found
        self.last = store_model.last_index(found)
        self.left_out = []

    def opened_with_room(self):
        for _ in range(2):
            try:
                return opened(self.disk.root)
            except store.DiskFullError:
                continue
        self.disk.make_room()
        return opened(self.disk.root)


PowerLosses.TestCase.settings = hypothesis.settings(
    max_examples=int(MORE or EXAMPLES),
    stateful_step_count=30,
    derandomize=MORE is None,
    database=None,
    deadline=None,
    phases=(hypothesis.Phase.generate,),
    suppress_health_check=list(hypothesis.HealthCheck),
)
TestPowerLosses = PowerLosses.TestCase
