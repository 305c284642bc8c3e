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

import pathlib
import random

import pytest

from laburnumsill.consensus import store
from laburnumsill.consensus import store_disk
from laburnumsill.consensus import types
from laburnumsill.consensus.tests import simulated_disk

GROUP = "site"
SEEDS = range(20)
SEGMENT_BYTES = 400
CALLS_TO_SYNC = 1
"""A commit's first call to the system writes, its second syncs."""


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
