"""Tests of the store on a disk that is full for a number of system calls."""

import errno
import itertools
import os

import pytest

from laburnumsill.consensus import durable_files
from laburnumsill.consensus import store
from laburnumsill.consensus import store_disk
from laburnumsill.consensus import types
from laburnumsill.core import errors

GROUP = "domain.north"
VOTER = types.ReplicaId("vm1", "r-1")
MEMBERSHIP = types.Membership((VOTER,), (), frozenset({"vm1"}))
SMALL_SEGMENT = 400
"""Bytes; a few batches fill a segment."""


def entries(first: int, last: int, term: int = 1) -> tuple[types.Entry, ...]:
    return tuple(
        types.Entry(i, term, types.EntryKind.COMMAND, b"%d" % i * 30)
        for i in range(first, last + 1)
    )


def snapshot(index: int, term: int) -> types.Snapshot:
    return types.Snapshot(index, term, MEMBERSHIP, b"state at %d" % index)


BATCHES = [
    [store.Change(types.HardState(1, VOTER), entries=entries(1, 2))],
    [store.Change(entries=entries(3, 4)), store.Change(entries=entries(5, 5))],
    [store.Change(types.HardState(2), entries=entries(4, 6, 2))],
    [store.Change(snapshot=snapshot(4, 2))],
    [store.Change(entries=entries(7, 8, 2))],
    [store.Change(types.HardState(4), snapshot(20, 4), False)],
    [store.Change(entries=entries(21, 23, 4))],
    [store.Change(types.HardState(5, VOTER))],
    [store.Change(entries=entries(24, 25, 5))],
]


class Model:
    """The states that a store passes through, one for each record."""

    def __init__(self) -> None:
        self.states = [(types.HardState(), None, ())]

    def add(self, batch: list[store.Change]) -> None:
        for change in batch:
            for record in (change.hard_state, change.snapshot, *change.entries):
                if record is not None:
                    self._add(record, change.keep_tail)

    def _add(self, record: object, keep_tail: bool) -> None:
        state, saved, log = self.states[-1]
        if isinstance(record, types.HardState):
            state = record
        elif isinstance(record, types.Snapshot):
            saved = record
            log = tuple(e for e in log if e.index > record.index and keep_tail)
        else:
            log = (*(e for e in log if e.index < record.index), record)
        self.states.append((state, saved, log))


def stored_state(disk_store: store.ReplicaStore) -> tuple:
    stored = disk_store.stored
    return (stored.hard_state, stored.snapshot, stored.entries)


class FullDisk:
    """A disk that fails a range of system calls with ENOSPC.

    A failed write leaves half of its bytes. A failed sync drops the unsynced
    bytes, which then read as zeros.
    """

    CHANGING = (
        "write",
        "fdatasync",
        "fsync",
        "ftruncate",
        "replace",
        "unlink",
        "mkdir",
    )

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.calls = 0
        self.first = None
        self.last = 0
        self._patch = monkeypatch
        self._synced: dict[int, int] = {}
        self._real = {name: getattr(os, name) for name in self.CHANGING}
        self._real["open"] = os.open
        for name in self._real:
            monkeypatch.setattr(os, name, self._call(name))

    def fill(self, first: int, count: int) -> None:
        self.first = self.calls + first
        self.last = self.calls + first + count - 1

    @property
    def has_failed(self) -> bool:
        return self.first is not None and self.calls >= self.first

    def free_space(self) -> None:
        self.first = None

    def _call(self, name):
        def call(*args, **kwargs):
            if name == "open" and not args[1] & os.O_CREAT:
                return self._real[name](*args, **kwargs)
            self.calls += 1
            is_full = self.first is not None and (
                self.first <= self.calls <= self.last
            )
            if is_full:
                self._apply_partially(name, args)
                raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))
            result = self._real[name](*args, **kwargs)
            if name in ("fdatasync", "fsync"):
                info = os.fstat(args[0])
                self._synced[info.st_ino] = info.st_size
            elif name == "open":
                self._synced[os.fstat(result).st_ino] = 0
            return result

        return call

    def _apply_partially(self, name, args) -> None:
        if name == "write":
            raw = bytes(args[1])
            self._real["write"](args[0], raw[: len(raw) // 2])
        elif name == "fdatasync":
            info = os.fstat(args[0])
            synced = self._synced.get(info.st_ino, 0)
            self._real["ftruncate"](args[0], synced)
            self._real["ftruncate"](args[0], info.st_size)


@pytest.fixture
def folder(tmp_path):
    return tmp_path / GROUP


@pytest.fixture
def disk(monkeypatch):
    return FullDisk(monkeypatch)


def open_store(folder):
    return store_disk.DiskStore(folder, GROUP, SMALL_SEGMENT)


def count_commit_calls(folder, disk) -> int:
    disk_store = open_store(folder)
    before = disk.calls
    for batch in BATCHES:
        disk_store.commit(batch)
    disk_store.close()
    return disk.calls - before


def commit_with_retries(disk_store, batch, disk, attempts=50):
    for _ in range(attempts):
        try:
            disk_store.commit(batch)
        except store.DiskFullError:
            continue
        return
    raise AssertionError("the commit still fails although there is space")


@pytest.mark.parametrize("count", [1, 2, 5, 20])
def test_a_full_disk_at_any_call_loses_nothing(folder, disk, count):
    total = count_commit_calls(folder / "first", disk)
    assert total > 50
    model = Model()
    for batch in BATCHES:
        model.add(batch)
    for first in range(1, total + 1):
        store_folder = folder / f"from-{first}"
        disk_store = open_store(store_folder)
        disk.fill(first, count)
        for batch in BATCHES:
            commit_with_retries(disk_store, batch, disk)
        disk_store.close()
        disk.free_space()
        assert stored_state(open_store(store_folder)) == model.states[-1], first


@pytest.mark.parametrize("count", [1, 3])
def test_a_kill_on_a_full_disk_loses_no_committed_batch(folder, disk, count):
    total = count_commit_calls(folder / "first", disk)
    for first, attempts in itertools.product(range(1, total + 1), (1, 2)):
        store_folder = folder / f"from-{first}-{attempts}"
        disk_store = open_store(store_folder)
        disk.fill(first, count)
        committed = commit_until_killed(disk_store, attempts)
        disk.free_space()
        reopened = open_store(store_folder)
        check_state(reopened, committed)
        assert reopened.stored.incarnation == disk_store.stored.incarnation
        for batch in BATCHES[committed:]:
            reopened.commit(batch)
        reopened.close()
        check_state(open_store(store_folder), len(BATCHES))


def commit_until_killed(disk_store, attempts) -> int:
    """Commits until a batch fails; returns the number of committed batches."""
    for number, batch in enumerate(BATCHES):
        for _ in range(attempts):
            try:
                disk_store.commit(batch)
            except store.DiskFullError:
                continue
            break
        else:
            disk_store.close()
            return number
    disk_store.close()
    return len(BATCHES)


def check_state(reopened, committed) -> None:
    """Checks for all committed batches, with any records of the next one."""
    model = Model()
    for batch in BATCHES[:committed]:
        model.add(batch)
    start = len(model.states) - 1
    for batch in BATCHES[committed : committed + 1]:
        model.add(batch)
    assert stored_state(reopened) in model.states[start:]


def count_open_calls(folder, disk) -> int:
    before = disk.calls
    open_store(folder).close()
    return disk.calls - before


def test_an_open_succeeds_once_a_full_disk_has_space(folder, disk):
    new_store_calls, old_store_calls = (
        count_open_calls(folder, disk) for _ in range(2)
    )
    assert min(new_store_calls, old_store_calls) > 4
    for first in range(1, new_store_calls + 1):
        store_folder = folder / f"from-{first}"
        fail_to_open(store_folder, disk, first)
        disk_store = open_store(store_folder)
        for batch in BATCHES:
            disk_store.commit(batch)
        disk_store.close()
        for call in range(1, old_store_calls + 1):
            fail_to_open(store_folder, disk, call)
        check_state(open_store(store_folder), len(BATCHES))


def fail_to_open(store_folder, disk, first) -> None:
    disk.fill(first, 1000)
    with pytest.raises(store.DiskFullError):
        open_store(store_folder)
    disk.free_space()


def test_a_snapshot_on_a_full_disk_leaves_no_file_and_the_log_goes_on(
    folder, disk
):
    disk_store = open_store(folder)
    for batch in BATCHES[:3]:
        disk_store.commit(batch)
    big = types.Snapshot(5, 2, MEMBERSHIP, b"s" * 100_000)
    real_call = durable_files.write_all

    def write_all(descriptor, raw, path):
        if len(raw) > 50_000:
            raise store.DiskFullError(f"{path}: no space")
        real_call(descriptor, raw, path)

    disk._patch.setattr(durable_files, "write_all", write_all)
    for _ in range(5):
        with pytest.raises(store.DiskFullError):
            disk_store.commit([store.Change(snapshot=big)])
    assert not list(folder.glob("snapshot*"))
    before = len(list(folder.iterdir()))
    with pytest.raises(store.DiskFullError):
        disk_store.commit([store.Change(snapshot=big)])
    assert len(list(folder.iterdir())) == before
    disk_store.commit([store.Change(entries=entries(7, 8, 2))])
    disk_store.close()
    expected = entries(1, 3) + entries(4, 6, 2) + entries(7, 8, 2)
    assert open_store(folder).stored.entries == expected


def test_a_batch_is_rewritten_after_a_sync_on_a_full_disk(folder, disk):
    disk_store = open_store(folder)
    disk_store.commit(BATCHES[0])
    disk.fill(2, 1)  # The write succeeds and its sync fails.
    with pytest.raises(store.DiskFullError):
        disk_store.commit(BATCHES[1])
    disk_store.commit(BATCHES[1])
    disk_store.close()
    assert open_store(folder).stored.entries == entries(1, 5)


def test_an_io_error_during_the_rollback_is_fatal(folder, disk, monkeypatch):
    disk_store = open_store(folder)
    disk.fill(1, 1)
    with pytest.raises(store.DiskFullError):
        disk_store.commit(BATCHES[0])

    def fail(*_):
        raise OSError(errno.EIO, os.strerror(errno.EIO))

    monkeypatch.setattr(os, "fsync", fail)
    with pytest.raises(store.SyncFailedError):
        disk_store.commit(BATCHES[0])
    monkeypatch.undo()
    with pytest.raises(errors.StorageError):
        disk_store.commit(BATCHES[0])


def test_an_incomplete_segment_does_not_restore_an_old_term(folder, disk):
    """Its file may exist already, with the hard state of the failed commit."""
    disk_store = open_store(folder)
    disk_store.commit(BATCHES[0])
    before = disk.calls
    disk_store.commit([store.Change(snapshot=snapshot(1, 1))])
    commit_calls = disk.calls - before
    for number in range(1, commit_calls + 1):
        store_folder = folder / f"from-{number}"
        disk_store = open_store(store_folder)
        disk_store.commit(BATCHES[0])
        disk.fill(number, 1)
        skipped = False
        try:
            disk_store.commit([store.Change(snapshot=snapshot(1, 1))])
        except store.DiskFullError:
            skipped = True
        disk.free_space()
        disk_store.commit([store.Change(types.HardState(9, VOTER))])
        disk_store.close()
        reopened = open_store(store_folder)
        assert reopened.stored.hard_state == types.HardState(9, VOTER)
        assert skipped or reopened.stored.snapshot == snapshot(1, 1)


def test_damage_before_a_batch_that_was_not_synced_is_detected(folder, disk):
    disk_store = open_store(folder)
    disk_store.commit(BATCHES[0])
    # Call 1 writes the batch; call 4 writes it again, after the truncation, its
    # sync and the batch start.
    for first in (1, 4):
        disk.fill(first, 1)
        with pytest.raises(store.DiskFullError):
            disk_store.commit(BATCHES[1])
    disk_store.close()
    path = max(folder.glob("log-*"))
    raw = bytearray(path.read_bytes())
    raw[raw.index(entries(2, 2)[0].data)] ^= 1
    path.write_bytes(raw)
    with pytest.raises(store.DamagedLogError):
        open_store(folder)
