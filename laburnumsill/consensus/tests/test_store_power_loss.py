"""The store when processes are killed and the power is lost, in any order.

All core VMs of a site were killed while an entry was being written, came back
within a second, went on for 17 s, and then lost power. Each of the three
voters found the same hole in its log and set the whole of it aside, so nobody
was left who knew the jobs that had been accepted:

    replica-opened group=site fresh=False disk=True last_index=389
    store-damaged group=site detail="log-000000000002: entry 390 after 388"

Entry 389 had been written and not synced when the processes were killed. The
restart read it from the operating system's cache, told the group that it was
stored, and began a new segment; the old one was never synced again.
"""

import contextlib
import itertools
import os
import pathlib
import random

import hypothesis
import pytest
from hypothesis import stateful
from hypothesis import strategies

from laburnumsill.consensus import store
from laburnumsill.consensus import store_disk
from laburnumsill.consensus import types
from laburnumsill.consensus.tests import simulated_disk

GROUP = "site"
VOTER = types.ReplicaId("vm1", "r-1")
MEMBERSHIP = types.Membership((VOTER,), (), frozenset({"vm1"}))
SEEDS = range(20)
SEGMENT_BYTES = 400
EXAMPLES = 60
MORE_EXAMPLES = "LABURNUMSILL_STORE_EXAMPLES"
"""An environment variable that asks for more, from a new seed each time."""
CALLS_TO_SYNC = 1
"""A commit's first call to the system writes, its second syncs."""
CALLS_TO_OPEN = 8
"""Calls of an opening that a full disk refuses, at least."""


def entries(first: int, last: int, term: int = 1) -> tuple[types.Entry, ...]:
    return tuple(
        types.Entry(i, term, types.EntryKind.COMMAND, f"{term}:{i}".encode())
        for i in range(first, last + 1)
    )


def append(kept: store.ReplicaStore, first: int, last: int) -> None:
    kept.commit([store.Change(entries=entries(first, last))])


def opened(root: pathlib.Path) -> store_disk.DiskStore:
    return store_disk.DiskStore(root / GROUP, GROUP, SEGMENT_BYTES)


def killed_before_sync(disk, kept, change: store.Change) -> None:
    disk.kill_after(CALLS_TO_SYNC)
    with pytest.raises(simulated_disk.ProcessKilled):
        kept.commit([change])
    kept.close()
    disk.restart()


def test_what_a_restart_read_back_outlives_a_loss_of_power():
    lost = store.Change(entries=entries(4, 4))
    for seed in SEEDS:
        with simulated_disk.simulated() as disk:
            kept = opened(disk.root)
            append(kept, 1, 3)
            killed_before_sync(disk, kept, lost)
            again = opened(disk.root)
            assert again.stored.entries == entries(1, 4)
            append(again, 5, 6)
            disk.lose_power(random.Random(seed))
            assert opened(disk.root).stored.entries == entries(1, 6)


def test_a_vote_read_back_outlives_a_loss_of_power():
    state = types.HardState(4, VOTER)
    change = store.Change(hard_state=state)
    for seed in SEEDS:
        with simulated_disk.simulated() as disk:
            kept = opened(disk.root)
            killed_before_sync(disk, kept, change)
            assert opened(disk.root).stored.hard_state == state
            disk.lose_power(random.Random(seed))
            assert opened(disk.root).stored.hard_state == state


def test_the_folders_of_a_new_store_outlive_a_loss_of_power():
    for seed in SEEDS:
        with simulated_disk.simulated() as disk:
            folder = disk.root / "groups" / GROUP
            kept = store_disk.DiskStore(folder, GROUP)
            append(kept, 1, 3)
            kept.close()
            disk.lose_power(random.Random(seed))
            again = store_disk.DiskStore(folder, GROUP)
            assert again.stored.entries == entries(1, 3)


def test_a_tail_whose_sync_found_no_room_is_not_relied_on():
    """It was killed before a sync, and the disk was full at its restart."""
    lost = store.Change(entries=entries(4, 4))
    for seed, calls in itertools.product(SEEDS[:5], range(CALLS_TO_OPEN)):
        with simulated_disk.simulated() as disk:
            kept = opened(disk.root)
            append(kept, 1, 3)
            killed_before_sync(disk, kept, lost)
            disk.fill_after(calls)
            with pytest.raises(store.DiskFullError):
                opened(disk.root)
            disk.make_room()
            found = opened(disk.root).stored.entries
            assert found[:3] == entries(1, 3)
            disk.lose_power(random.Random(seed))
            assert opened(disk.root).stored.entries == found


@pytest.mark.parametrize("calls", range(4, 12))
def test_a_snapshot_whose_name_is_not_durable_voids_no_segment(calls):
    """A start that removes what the snapshot replaces is cut short too."""
    snapshot = types.Snapshot(9, 1, MEMBERSHIP, b"state")
    change = store.Change(snapshot=snapshot)
    for start_calls, seed in itertools.product(range(7), SEEDS):
        with simulated_disk.simulated() as disk:
            kept = opened(disk.root)
            append(kept, 1, 9)
            disk.kill_after(calls)
            with contextlib.suppress(simulated_disk.ProcessKilled):
                kept.commit([change])
            kept.close()
            disk.kill_after(start_calls)
            with contextlib.suppress(simulated_disk.ProcessKilled):
                opened(disk.root).close()
            disk.lose_power(random.Random(seed))
            found = opened(disk.root).stored
            assert found.snapshot or found.entries == entries(1, 9)


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
        self.left_out = None

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
        self.commit(store.Change(entries=new))

    @stateful.rule(back=strategies.integers(0, 3))
    def replace_entries(self, back):
        covered = self.covered()
        first = max(covered + 1, self.last - back)
        self.term += 1
        self.commit(store.Change(entries=entries(first, first + 1, self.term)))

    @stateful.rule()
    def vote(self):
        self.term += 1
        state = types.HardState(self.term, VOTER)
        self.commit(store.Change(hard_state=state))

    @stateful.rule()
    def take_snapshot(self, start_calls=None):
        if self.last > self.covered():
            term = self.promised.entries[-1].term
            data = f"{self.last}".encode()
            snapshot = types.Snapshot(self.last, term, MEMBERSHIP, data)
            self.commit(store.Change(snapshot=snapshot), start_calls)

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
        self.take_snapshot(start_calls)
        self.reopen()

    def covered(self):
        snapshot = self.promised.snapshot
        return snapshot.index if snapshot else 0

    def commit(self, change, start_calls=None):
        """Commits a change; what a full disk did not take comes first."""
        change = self.stuck or change
        try:
            self.kept.commit([change])
        except simulated_disk.ProcessKilled:
            if start_calls is not None:
                self.start_cut_short(start_calls)
            self.reopen(change)
            return
        except store.DiskFullError:
            self.stuck = change
            if change.snapshot is not None:
                self.stuck, self.left_out = None, change
            return
        self.stuck = None
        if change.snapshot is not None:
            self.left_out = None
        self.promised = after(self.promised, change)
        self.last = last_index(self.promised)

    def reopen(self, unsure=None):
        """Starts again, with a change that may have been kept or not."""
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
        allowed = [self.promised]
        if unsure is not None:
            allowed += partly(self.promised, unsure)
        if self.left_out is not None:
            allowed += [after(one, self.left_out) for one in allowed]
        assert any(same(found, stored) for stored in allowed), (found, allowed)
        self.promised = found
        self.last = last_index(found)
        self.left_out = None

    def opened_with_room(self):
        for _ in range(2):
            try:
                return opened(self.disk.root)
            except store.DiskFullError:
                continue
        self.disk.make_room()
        return opened(self.disk.root)


def last_index(stored: types.Stored) -> int:
    """Returns the index of the last entry, or the snapshot's."""
    if stored.entries:
        return stored.entries[-1].index
    return stored.snapshot.index if stored.snapshot else 0


def same(found: types.Stored, wanted: types.Stored) -> bool:
    """Returns whether two stores hold the same, whoever wrote them."""
    return (found.hard_state, found.snapshot, found.entries) == (
        wanted.hard_state,
        wanted.snapshot,
        wanted.entries,
    )


def after(stored: types.Stored, change: store.Change) -> types.Stored:
    """Returns what a store holds after a whole change."""
    kept = list(stored.entries)
    snapshot = change.snapshot or stored.snapshot
    if change.entries:
        kept = [e for e in kept if e.index < change.entries[0].index]
        kept += change.entries
    if change.snapshot is not None:
        kept = [e for e in kept if e.index > change.snapshot.index]
    state = change.hard_state or stored.hard_state
    return types.Stored(stored.incarnation, state, snapshot, tuple(kept))


def partly(stored: types.Stored, change: store.Change) -> list[types.Stored]:
    """Returns what may be found after a kill in the middle of a change."""
    whole = [after(stored, change)]
    for count in range(1, len(change.entries)):
        part = store.Change(entries=change.entries[:count])
        whole.append(after(stored, part))
    return whole


PowerLosses.TestCase.settings = hypothesis.settings(
    max_examples=int(os.environ.get(MORE_EXAMPLES, EXAMPLES)),
    stateful_step_count=30,
    derandomize=MORE_EXAMPLES not in os.environ,
    database=None,
    deadline=None,
    phases=(hypothesis.Phase.generate,),
    suppress_health_check=list(hypothesis.HealthCheck),
)
TestPowerLosses = PowerLosses.TestCase
