"""Tests of the store with restarts, torn tails, damage and disk failures."""

import errno
import os
import pathlib

import pytest

from laburnumsill.consensus import segments
from laburnumsill.consensus import store
from laburnumsill.consensus import store_disk
from laburnumsill.consensus import types
from laburnumsill.core import errors

GROUP = "domain.north"
VOTER = types.ReplicaId("vm1", "r-1")
MEMBERSHIP = types.Membership((VOTER,), (), frozenset({"vm1"}))


def entry(index: int, term: int = 1, data: bytes = b"x") -> types.Entry:
    return types.Entry(index, term, types.EntryKind.COMMAND, data)


def entries(first: int, last: int, term: int = 1) -> tuple[types.Entry, ...]:
    return tuple(
        entry(i, term, f"{i}".encode()) for i in range(first, last + 1)
    )


def append(
    disk_store: store.ReplicaStore, *batches: tuple[types.Entry, ...]
) -> None:
    for batch in batches:
        disk_store.commit([store.Change(entries=batch)])


def reopen(
    disk_store: store_disk.DiskStore, folder: pathlib.Path
) -> store_disk.DiskStore:
    disk_store.close()
    return store_disk.DiskStore(folder, GROUP)


def last_segment(folder: pathlib.Path) -> pathlib.Path:
    """Returns the newest segment with entries; a new one is smaller."""
    used = [p for p in folder.glob("log-*") if p.stat().st_size > 200]
    return sorted(used)[-1]


@pytest.fixture
def folder(tmp_path):
    return tmp_path / GROUP


def test_term_vote_and_entries_survive_a_restart(folder):
    disk_store = store_disk.DiskStore(folder, GROUP)
    assert store.is_fresh(disk_store.stored)
    state = types.HardState(3, VOTER)
    disk_store.commit([store.Change(hard_state=state, entries=entries(1, 5))])
    append(disk_store, entries(4, 6, term=2))
    reopened = reopen(disk_store, folder)
    assert reopened.stored == types.StoredState(
        disk_store.stored.incarnation,
        state,
        None,
        entries(1, 3) + entries(4, 6, term=2),
        with_disk=True,
    )


def test_a_snapshot_removes_the_segments_it_covers(folder):
    disk_store = store_disk.DiskStore(folder, GROUP, segment_bytes=300)
    for index in range(1, 101):
        append(disk_store, (entry(index, data=b"d" * 100),))
    before = len(list(folder.glob("log-*")))
    snapshot = types.Snapshot(90, 1, MEMBERSHIP, b"state")
    disk_store.commit([store.Change(snapshot=snapshot)])
    assert before > 20
    assert len(list(folder.glob("log-*"))) < 12
    append(disk_store, (entry(101),))
    reopened = reopen(disk_store, folder)
    assert reopened.stored.snapshot == snapshot
    assert [e.index for e in reopened.stored.entries] == list(range(91, 102))


def test_an_installed_snapshot_discards_the_log(folder):
    disk_store = store_disk.DiskStore(folder, GROUP)
    append(disk_store, entries(1, 50))
    snapshot = types.Snapshot(40, 7, MEMBERSHIP, b"theirs")
    disk_store.commit([store.Change(snapshot=snapshot, keep_tail=False)])
    reopened = reopen(disk_store, folder)
    assert reopened.stored.snapshot == snapshot
    assert reopened.stored.entries == ()


def test_a_tail_torn_at_any_byte_is_truncated(folder):
    disk_store = store_disk.DiskStore(folder, GROUP)
    append(disk_store, entries(1, 3))
    synced = last_segment(folder).read_bytes()
    append(disk_store, entries(4, 6))
    disk_store.close()
    path = last_segment(folder)
    raw = path.read_bytes()
    for size in range(len(synced), len(raw)):
        for other in folder.glob("log-*"):
            if other != path:
                other.unlink()
        path.write_bytes(raw[:size])
        reopened = store_disk.DiskStore(folder, GROUP)
        found = reopened.stored.entries
        reopened.close()
        assert found == entries(1, len(found))
        assert 3 <= len(found) <= 6


@pytest.mark.parametrize("index", [2, 6])
def test_a_store_with_a_damaged_synced_record_is_set_aside(folder, index):
    disk_store = store_disk.DiskStore(folder, GROUP)
    append(disk_store, entries(1, 3), entries(4, 6))
    disk_store.close()
    path = last_segment(folder)
    raw = bytearray(path.read_bytes())
    start = raw.index(segments.entry_record(entries(index, index)[0]))
    raw[start + 12] ^= 1
    path.write_bytes(raw)
    with pytest.raises(store.DamagedLogError):
        store_disk.DiskStore(folder, GROUP)
    new_store = store_disk.open_or_set_aside(folder, GROUP)
    assert store.is_fresh(new_store.stored)
    assert new_store.stored.incarnation != disk_store.stored.incarnation
    set_aside = list(folder.parent.glob(f"{GROUP}.set-aside*"))
    assert len(set_aside) == 1
    assert last_segment(set_aside[0]).read_bytes() == raw


def test_damage_of_any_byte_of_a_synced_entry_is_detected(folder):
    disk_store = store_disk.DiskStore(folder, GROUP)
    append(disk_store, entries(1, 3), entries(4, 6))
    disk_store.close()
    path = last_segment(folder)
    raw = path.read_bytes()
    record = segments.entry_record(entries(2, 2)[0])
    start = raw.index(record)
    for offset in range(len(record)):
        damaged = bytearray(raw)
        damaged[start + offset] ^= 1
        path.write_bytes(damaged)
        with pytest.raises(store.DamagedLogError):
            store_disk.DiskStore(folder, GROUP)


def test_a_torn_or_missing_older_segment_is_detected(folder):
    for term in (1, 2, 3):
        disk_store = store_disk.DiskStore(folder, GROUP)
        disk_store.commit([store.Change(hard_state=types.HardState(term))])
        disk_store.close()
    older = sorted(folder.glob("log-*"))[1]
    raw = older.read_bytes()
    older.write_bytes(raw[:-1])
    with pytest.raises(store.DamagedLogError):
        store_disk.DiskStore(folder, GROUP)
    older.unlink()
    with pytest.raises(store.DamagedLogError):
        store_disk.DiskStore(folder, GROUP)


def test_a_damaged_snapshot_and_an_unknown_version_are_detected(folder):
    disk_store = store_disk.DiskStore(folder, GROUP)
    append(disk_store, entries(1, 3))
    disk_store.commit(
        [store.Change(snapshot=types.Snapshot(3, 1, MEMBERSHIP, b"state"))]
    )
    disk_store.close()
    (path,) = folder.glob("snapshot-*")
    raw = path.read_bytes()
    path.write_bytes(raw[:-1] + b"!")
    with pytest.raises(store.DamagedLogError):
        store_disk.DiskStore(folder, GROUP)
    path.write_bytes(raw[:7] + b"\x63" + raw[8:])
    with pytest.raises(store.UnknownFormatError):
        store_disk.open_or_set_aside(folder, GROUP)


def test_a_crash_during_a_snapshot_write_keeps_the_old_state(
    folder, monkeypatch
):
    disk_store = store_disk.DiskStore(folder, GROUP)
    append(disk_store, entries(1, 3))
    real_call = os.replace

    def crash(source, target):
        if pathlib.Path(target).name.startswith("snapshot-"):
            raise OSError(errno.EIO, "crash")
        real_call(source, target)

    monkeypatch.setattr(os, "replace", crash)
    change = store.Change(snapshot=types.Snapshot(3, 1, MEMBERSHIP, b"new"))
    with pytest.raises(errors.StorageError):
        disk_store.commit([change])
    monkeypatch.undo()
    reopened = reopen(disk_store, folder)
    assert reopened.stored.snapshot is None
    assert reopened.stored.entries == entries(1, 3)


@pytest.mark.parametrize(
    ("call", "number", "expected"),
    [
        ("write", errno.EIO, store.StoreIoError),
        ("fdatasync", errno.EIO, store.SyncFailedError),
    ],
)
def test_a_failing_disk_is_fatal(folder, monkeypatch, call, number, expected):
    disk_store = store_disk.DiskStore(folder, GROUP)

    def fail(*_):
        raise OSError(number, os.strerror(number))

    monkeypatch.setattr(os, call, fail)
    with pytest.raises(expected):
        append(disk_store, entries(1, 1))
    monkeypatch.undo()
    with pytest.raises(store.StoreClosedError):
        append(disk_store, entries(1, 1))


def test_many_changes_take_one_sync(folder, monkeypatch):
    disk_store = store_disk.DiskStore(folder, GROUP)
    calls = []
    real_call = os.fdatasync
    monkeypatch.setattr(
        os, "fdatasync", lambda fd: (calls.append(fd), real_call(fd))[1]
    )
    disk_store.commit(
        [store.Change(entries=entries(i, i)) for i in range(1, 101)]
    )
    assert len(calls) == 1
