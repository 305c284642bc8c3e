"""Tests of the store with process kills and power losses in any order.

They guard against a gap in the log of every voter. All core VMs of a site were
killed after entry 389 was written and before it was synced. The restarted
processes read the entry from the operating system's cache, acknowledged it and
started a new segment; the old segment was not synced again. A power loss 17 s
later removed the entry from all three voters. Each found entry 390 after 388
and set its store aside as damaged, so no voter had the accepted jobs.
"""

import contextlib
import itertools
import pathlib
import random

import pytest

from laburnumsill.consensus import store
from laburnumsill.consensus import store_disk
from laburnumsill.consensus import types
from laburnumsill.consensus.tests import simulated_disk

GROUP = "site"
VOTER = types.ReplicaId("vm1", "r-1")
MEMBERSHIP = types.Membership((VOTER,), (), frozenset({"vm1"}))
SEEDS = range(20)
SEGMENT_BYTES = 400
CALLS_BEFORE_SYNC = 1
"""System calls of a commit before its sync: one write."""

MIN_OPEN_CALLS = 8
"""Lower bound of the system calls of an open that a full disk refuses."""


def entries(first: int, last: int, term: int = 1) -> tuple[types.Entry, ...]:
    return tuple(
        types.Entry(i, term, types.EntryKind.COMMAND, f"{term}:{i}".encode())
        for i in range(first, last + 1)
    )


def append(disk_store: store.ReplicaStore, first: int, last: int) -> None:
    disk_store.commit([store.Change(entries=entries(first, last))])


def open_store(root: pathlib.Path) -> store_disk.DiskStore:
    return store_disk.DiskStore(root / GROUP, GROUP, SEGMENT_BYTES)


def kill_before_sync(disk, disk_store, change: store.Change) -> None:
    disk.kill_after(CALLS_BEFORE_SYNC)
    with pytest.raises(simulated_disk.ProcessKilled):
        disk_store.commit([change])
    disk_store.close()
    disk.cancel_kill()


def test_entries_read_at_a_restart_survive_a_power_loss():
    change = store.Change(entries=entries(4, 4))
    for seed in SEEDS:
        with simulated_disk.temporary_disk() as disk:
            disk_store = open_store(disk.root)
            append(disk_store, 1, 3)
            kill_before_sync(disk, disk_store, change)
            reopened = open_store(disk.root)
            assert reopened.stored.entries == entries(1, 4)
            append(reopened, 5, 6)
            disk.lose_power(random.Random(seed))
            assert open_store(disk.root).stored.entries == entries(1, 6)


def test_a_vote_read_at_a_restart_survives_a_power_loss():
    state = types.HardState(4, VOTER)
    change = store.Change(hard_state=state)
    for seed in SEEDS:
        with simulated_disk.temporary_disk() as disk:
            disk_store = open_store(disk.root)
            kill_before_sync(disk, disk_store, change)
            assert open_store(disk.root).stored.hard_state == state
            disk.lose_power(random.Random(seed))
            assert open_store(disk.root).stored.hard_state == state


def test_the_folders_of_a_new_store_survive_a_power_loss():
    for seed in SEEDS:
        with simulated_disk.temporary_disk() as disk:
            folder = disk.root / "groups" / GROUP
            disk_store = store_disk.DiskStore(folder, GROUP)
            append(disk_store, 1, 3)
            disk_store.close()
            disk.lose_power(random.Random(seed))
            reopened = store_disk.DiskStore(folder, GROUP)
            assert reopened.stored.entries == entries(1, 3)


def test_entries_read_after_a_failed_open_survive_a_power_loss():
    """The process was killed before a sync; the disk is full at the restart."""
    change = store.Change(entries=entries(4, 4))
    for seed, calls in itertools.product(SEEDS[:5], range(MIN_OPEN_CALLS)):
        with simulated_disk.temporary_disk() as disk:
            disk_store = open_store(disk.root)
            append(disk_store, 1, 3)
            kill_before_sync(disk, disk_store, change)
            disk.fill_after(calls)
            with pytest.raises(store.DiskFullError):
                open_store(disk.root)
            disk.free_space()
            found = open_store(disk.root).stored.entries
            assert found[:3] == entries(1, 3)
            disk.lose_power(random.Random(seed))
            assert open_store(disk.root).stored.entries == found


@pytest.mark.parametrize("calls", range(4, 12))
def test_segments_are_kept_until_the_snapshot_name_is_durable(calls):
    """Kills the snapshot's commit, then the start that removes segments."""
    snapshot = types.Snapshot(9, 1, MEMBERSHIP, b"state")
    change = store.Change(snapshot=snapshot)
    for open_calls, seed in itertools.product(range(7), SEEDS):
        with simulated_disk.temporary_disk() as disk:
            disk_store = open_store(disk.root)
            append(disk_store, 1, 9)
            disk.kill_after(calls)
            with contextlib.suppress(simulated_disk.ProcessKilled):
                disk_store.commit([change])
            disk_store.close()
            disk.kill_after(open_calls)
            with contextlib.suppress(simulated_disk.ProcessKilled):
                open_store(disk.root).close()
            disk.lose_power(random.Random(seed))
            found = open_store(disk.root).stored
            assert found.snapshot or found.entries == entries(1, 9)


def test_a_restart_rewrites_entries_whose_sync_failed():
    """The system drops the pages it could not write; later syncs skip them."""
    for seed in SEEDS:
        with simulated_disk.temporary_disk() as disk:
            disk_store = open_store(disk.root)
            append(disk_store, 1, 3)
            disk.fail_next_sync()
            with pytest.raises(store.SyncFailedError):
                append(disk_store, 4, 4)
            disk_store.close()
            reopened = open_store(disk.root)
            assert reopened.stored.entries == entries(1, 4)
            append(reopened, 5, 6)
            disk.lose_power(random.Random(seed))
            assert open_store(disk.root).stored.entries == entries(1, 6)


def test_folders_survive_a_power_loss_after_a_kill_during_creation():
    for calls, seed in itertools.product(range(8), SEEDS):
        with simulated_disk.temporary_disk() as disk:
            folder = disk.root / "groups" / GROUP
            disk.kill_after(calls)
            with contextlib.suppress(simulated_disk.ProcessKilled):
                store_disk.DiskStore(folder, GROUP).close()
            disk.cancel_kill()
            disk_store = store_disk.DiskStore(folder, GROUP)
            append(disk_store, 1, 3)
            disk_store.close()
            disk.lose_power(random.Random(seed))
            reopened = store_disk.DiskStore(folder, GROUP)
            assert reopened.stored.entries == entries(1, 3)


@pytest.mark.parametrize("calls", range(3))
def test_an_unsynced_batch_is_not_reported_as_damage(calls):
    """A power loss keeps any of the batch's writes, whole, torn or not."""
    change = store.Change(entries=entries(4, 6))
    for seed in range(10 * len(SEEDS)):
        with simulated_disk.temporary_disk() as disk:
            disk_store = open_store(disk.root)
            append(disk_store, 1, 3)
            disk.kill_after(calls)
            with contextlib.suppress(simulated_disk.ProcessKilled):
                disk_store.commit([change])
            disk_store.close()
            disk.lose_power(random.Random(seed))
            found = open_store(disk.root).stored.entries
            assert found == entries(1, len(found))
            assert len(found) >= 3


def test_a_kill_during_a_snapshot_keeps_the_old_or_the_new_one():
    """A new snapshot has a file name of its own.

    If it replaced the old file, a power loss could remove both.
    """
    for calls, seed in itertools.product(range(12), SEEDS):
        with simulated_disk.temporary_disk() as disk:
            disk.atomic_renames = False
            disk_store = open_store(disk.root)
            append(disk_store, 1, 9)
            first = types.Snapshot(9, 1, MEMBERSHIP, b"first")
            disk_store.commit([store.Change(snapshot=first)])
            append(disk_store, 10, 12)
            second = types.Snapshot(12, 1, MEMBERSHIP, b"second")
            disk.kill_after(calls)
            with contextlib.suppress(simulated_disk.ProcessKilled):
                disk_store.commit([store.Change(snapshot=second)])
            disk_store.close()
            disk.lose_power(random.Random(seed))
            found = open_store(disk.root).stored
            tail = entries(10, 12) if found.snapshot == first else ()
            assert found.snapshot in (first, second)
            assert found.entries == tail
