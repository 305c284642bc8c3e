"""The store against restarts, torn tails, damage and a failing disk."""

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


def append(kept: store.ReplicaStore, *batches: tuple[types.Entry, ...]) -> None:
    for batch in batches:
        kept.commit([store.Change(entries=batch)])


def reopened(
    kept: store_disk.DiskStore, folder: pathlib.Path
) -> store_disk.DiskStore:
    kept.close()
    return store_disk.DiskStore(folder, GROUP)


def last_segment(folder: pathlib.Path) -> pathlib.Path:
    used = [p for p in folder.glob("log-*") if p.stat().st_size > 200]
    return sorted(used)[-1]


@pytest.fixture
def folder(tmp_path):
    return tmp_path / GROUP


def test_term_vote_and_entries_survive_a_restart(folder):
    kept = store_disk.DiskStore(folder, GROUP)
    assert store.is_fresh(kept.stored)
    state = types.HardState(3, VOTER)
    kept.commit([store.Change(hard_state=state, entries=entries(1, 5))])
    append(kept, entries(4, 6, term=2))
    again = reopened(kept, folder)
    assert again.stored == types.Stored(
        kept.stored.incarnation,
        state,
        None,
        entries(1, 3) + entries(4, 6, term=2),
        with_disk=True,
    )


def test_small_segments_are_dropped_after_a_snapshot(folder):
    kept = store_disk.DiskStore(folder, GROUP, segment_bytes=300)
    for index in range(1, 101):
        append(kept, (entry(index, data=b"d" * 100),))
    before = len(list(folder.glob("log-*")))
    snapshot = types.Snapshot(90, 1, MEMBERSHIP, b"state")
    kept.commit([store.Change(snapshot=snapshot)])
    assert before > 20
    assert len(list(folder.glob("log-*"))) < 12
    append(kept, (entry(101),))
    again = reopened(kept, folder)
    assert again.stored.snapshot == snapshot
    assert [e.index for e in again.stored.entries] == list(range(91, 102))


def test_an_installed_snapshot_voids_the_log(folder):
    kept = store_disk.DiskStore(folder, GROUP)
    append(kept, entries(1, 50))
    snapshot = types.Snapshot(40, 7, MEMBERSHIP, b"theirs")
    kept.commit([store.Change(snapshot=snapshot, keep_tail=False)])
    again = reopened(kept, folder)
    assert again.stored.snapshot == snapshot
    assert again.stored.entries == ()


def test_a_torn_tail_is_cut_at_every_byte(folder):
    kept = store_disk.DiskStore(folder, GROUP)
    append(kept, entries(1, 3))
    whole = last_segment(folder).read_bytes()
    append(kept, entries(4, 6))
    kept.close()
    path = last_segment(folder)
    raw = path.read_bytes()
    for size in range(len(whole), len(raw)):
        for other in folder.glob("log-*"):
            if other != path:
                other.unlink()
        path.write_bytes(raw[:size])
        again = store_disk.DiskStore(folder, GROUP)
        found = again.stored.entries
        again.close()
        assert found == entries(1, len(found))
        assert 3 <= len(found) <= 6


@pytest.mark.parametrize("index", [2, 6])
def test_damage_of_what_was_synced_is_refused_and_set_aside(folder, index):
    kept = store_disk.DiskStore(folder, GROUP)
    append(kept, entries(1, 3), entries(4, 6))
    kept.close()
    path = last_segment(folder)
    raw = bytearray(path.read_bytes())
    place = raw.index(segments.entry_record(entries(index, index)[0]))
    raw[place + 12] ^= 1
    path.write_bytes(raw)
    with pytest.raises(store.DamagedLogError):
        store_disk.DiskStore(folder, GROUP)
    fresh = store_disk.open_or_set_aside(folder, GROUP)
    assert store.is_fresh(fresh.stored)
    assert fresh.stored.incarnation != kept.stored.incarnation
    aside = list(folder.parent.glob(f"{GROUP}.set-aside*"))
    assert len(aside) == 1
    assert last_segment(aside[0]).read_bytes() == raw


def test_damage_of_any_byte_of_a_synced_entry_is_refused(folder):
    kept = store_disk.DiskStore(folder, GROUP)
    append(kept, entries(1, 3), entries(4, 6))
    kept.close()
    path = last_segment(folder)
    raw = path.read_bytes()
    record = segments.entry_record(entries(2, 2)[0])
    place = raw.index(record)
    for offset in range(len(record)):
        damaged = bytearray(raw)
        damaged[place + offset] ^= 1
        path.write_bytes(damaged)
        with pytest.raises(store.DamagedLogError):
            store_disk.DiskStore(folder, GROUP)


def test_an_older_segment_torn_or_lost_is_refused(folder):
    for term in (1, 2, 3):
        kept = store_disk.DiskStore(folder, GROUP)
        kept.commit([store.Change(hard_state=types.HardState(term))])
        kept.close()
    older = sorted(folder.glob("log-*"))[1]
    raw = older.read_bytes()
    older.write_bytes(raw[:-1])
    with pytest.raises(store.DamagedLogError):
        store_disk.DiskStore(folder, GROUP)
    older.unlink()
    with pytest.raises(store.DamagedLogError):
        store_disk.DiskStore(folder, GROUP)


def test_a_damaged_snapshot_and_another_version_are_refused(folder):
    kept = store_disk.DiskStore(folder, GROUP)
    append(kept, entries(1, 3))
    kept.commit(
        [store.Change(snapshot=types.Snapshot(3, 1, MEMBERSHIP, b"state"))]
    )
    kept.close()
    (path,) = folder.glob("snapshot-*")
    raw = path.read_bytes()
    path.write_bytes(raw[:-1] + b"!")
    with pytest.raises(store.DamagedLogError):
        store_disk.DiskStore(folder, GROUP)
    path.write_bytes(raw[:7] + b"\x63" + raw[8:])
    with pytest.raises(store.UnknownFormatError):
        store_disk.open_or_set_aside(folder, GROUP)


def test_a_crash_while_a_snapshot_is_written_keeps_the_old_state(
    folder, monkeypatch
):
    kept = store_disk.DiskStore(folder, GROUP)
    append(kept, entries(1, 3))
    real = os.replace

    def crash(source, target):
        if pathlib.Path(target).name.startswith("snapshot-"):
            raise OSError(errno.EIO, "crash")
        real(source, target)

    monkeypatch.setattr(os, "replace", crash)
    change = store.Change(snapshot=types.Snapshot(3, 1, MEMBERSHIP, b"new"))
    with pytest.raises(errors.StorageError):
        kept.commit([change])
    monkeypatch.undo()
    again = reopened(kept, folder)
    assert again.stored.snapshot is None
    assert again.stored.entries == entries(1, 3)


@pytest.mark.parametrize(
    ("call", "number", "expected"),
    [
        ("write", errno.EIO, store.StoreIoError),
        ("fdatasync", errno.EIO, store.SyncFailedError),
    ],
)
def test_a_failing_disk_is_fatal(folder, monkeypatch, call, number, expected):
    kept = store_disk.DiskStore(folder, GROUP)

    def fail(*_):
        raise OSError(number, os.strerror(number))

    monkeypatch.setattr(os, call, fail)
    with pytest.raises(expected):
        append(kept, entries(1, 1))
    monkeypatch.undo()
    with pytest.raises(store.StoreClosedError):
        append(kept, entries(1, 1))


def test_many_changes_take_one_sync(folder, monkeypatch):
    kept = store_disk.DiskStore(folder, GROUP)
    calls = []
    real = os.fdatasync
    monkeypatch.setattr(
        os, "fdatasync", lambda fd: (calls.append(fd), real(fd))[1]
    )
    kept.commit([store.Change(entries=entries(i, i)) for i in range(1, 101)])
    assert len(calls) == 1
