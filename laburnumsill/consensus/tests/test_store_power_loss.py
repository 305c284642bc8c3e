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


def test_a_sync_that_failed_is_not_made_good_by_a_restart():
    """The system gives up what it could not write and syncs the rest."""
    for seed in SEEDS:
        with simulated_disk.simulated() as disk:
            kept = opened(disk.root)
            append(kept, 1, 3)
            disk.fail_next_sync()
            with pytest.raises(store.SyncFailedError):
                append(kept, 4, 4)
            kept.close()
            again = opened(disk.root)
            assert again.stored.entries == entries(1, 4)
            append(again, 5, 6)
            disk.lose_power(random.Random(seed))
            assert opened(disk.root).stored.entries == entries(1, 6)


def test_folders_outlive_a_loss_of_power_though_their_maker_was_killed():
    for calls, seed in itertools.product(range(8), SEEDS):
        with simulated_disk.simulated() as disk:
            folder = disk.root / "groups" / GROUP
            disk.kill_after(calls)
            with contextlib.suppress(simulated_disk.ProcessKilled):
                store_disk.DiskStore(folder, GROUP).close()
            disk.restart()
            kept = store_disk.DiskStore(folder, GROUP)
            append(kept, 1, 3)
            kept.close()
            disk.lose_power(random.Random(seed))
            again = store_disk.DiskStore(folder, GROUP)
            assert again.stored.entries == entries(1, 3)


@pytest.mark.parametrize("calls", range(3))
def test_a_batch_that_was_not_synced_is_no_damage(calls):
    """Whichever of its writes a loss of power leaves, and how much of them."""
    change = store.Change(entries=entries(4, 6))
    for seed in range(10 * len(SEEDS)):
        with simulated_disk.simulated() as disk:
            kept = opened(disk.root)
            append(kept, 1, 3)
            disk.kill_after(calls)
            with contextlib.suppress(simulated_disk.ProcessKilled):
                kept.commit([change])
            kept.close()
            disk.lose_power(random.Random(seed))
            found = opened(disk.root).stored.entries
            assert found == entries(1, len(found))
            assert len(found) >= 3


def test_a_snapshot_is_never_lost_with_the_one_before():
    """Its name must not be taken over: both files might lose it."""
    for calls, seed in itertools.product(range(12), SEEDS):
        with simulated_disk.simulated() as disk:
            disk.atomic_renames = False
            kept = opened(disk.root)
            append(kept, 1, 9)
            first = types.Snapshot(9, 1, MEMBERSHIP, b"first")
            kept.commit([store.Change(snapshot=first)])
            append(kept, 10, 12)
            second = types.Snapshot(12, 1, MEMBERSHIP, b"second")
            disk.kill_after(calls)
            with contextlib.suppress(simulated_disk.ProcessKilled):
                kept.commit([store.Change(snapshot=second)])
            kept.close()
            disk.lose_power(random.Random(seed))
            found = opened(disk.root).stored
            tail = entries(10, 12) if found.snapshot == first else ()
            assert found.snapshot in (first, second)
            assert found.entries == tail
