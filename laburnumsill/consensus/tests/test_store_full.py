"""The store on a disk that is full from some call on, for a while."""

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
    """What is to be found, record by record."""

    def __init__(self) -> None:
        self.states = [(types.HardState(), None, ())]

    def add(self, batch: list[store.Change]) -> None:
        for change in batch:
            for record in (change.hard_state, change.snapshot, *change.entries):
                if record is not None:
                    self._add(record, change.keep_tail)

    def _add(self, record: object, keep_tail: bool) -> None:
        state, taken, log = self.states[-1]
        if isinstance(record, types.HardState):
            state = record
        elif isinstance(record, types.Snapshot):
            taken = record
            log = tuple(e for e in log if e.index > record.index and keep_tail)
        else:
            log = (*(e for e in log if e.index < record.index), record)
        self.states.append((state, taken, log))


def found(kept: store.ReplicaStore) -> tuple:
    stored = kept.stored
    return (stored.hard_state, stored.snapshot, stored.entries)


class FullDisk:
    """Fails calls with ENOSPC, from one on and for a number of them.

    A write that fails leaves half of its bytes. A sync that fails drops what
    was not synced, which reads as zeros from then on.
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
    def failed(self) -> bool:
        return self.first is not None and self.calls >= self.first

    def empty(self) -> None:
        self.first = None

    def _call(self, name):
        def call(*args, **kwargs):
            if name == "open" and not args[1] & os.O_CREAT:
                return self._real[name](*args, **kwargs)
            self.calls += 1
            full = self.first is not None and (
                self.first <= self.calls <= self.last
            )
            if full:
                self._leave_a_piece(name, args)
                raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))
            result = self._real[name](*args, **kwargs)
            if name in ("fdatasync", "fsync"):
                info = os.fstat(args[0])
                self._synced[info.st_ino] = info.st_size
            elif name == "open":
                self._synced[os.fstat(result).st_ino] = 0
            return result

        return call

    def _leave_a_piece(self, name, args) -> None:
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


def opened(folder):
    return store_disk.DiskStore(folder, GROUP, SMALL_SEGMENT)


def calls_in_all(folder, disk) -> int:
    kept = opened(folder)
    before = disk.calls
    for batch in BATCHES:
        kept.commit(batch)
    kept.close()
    return disk.calls - before


def until_kept(kept, batch, disk, tries=50):
    for _ in range(tries):
        try:
            kept.commit(batch)
        except store.DiskFullError:
            continue
        return
    raise AssertionError("room again, and it is not taken")


@pytest.mark.parametrize("count", [1, 2, 5, 20])
def test_a_full_disk_loses_nothing_at_any_call(folder, disk, count):
    total = calls_in_all(folder / "first", disk)
    assert total > 50
    model = Model()
    for batch in BATCHES:
        model.add(batch)
    for first in range(1, total + 1):
        place = folder / f"from-{first}"
        kept = opened(place)
        disk.fill(first, count)
        for batch in BATCHES:
            until_kept(kept, batch, disk)
        kept.close()
        disk.empty()
        assert found(opened(place)) == model.states[-1], first


@pytest.mark.parametrize("count", [1, 3])
def test_a_kill_on_a_full_disk_loses_nothing_that_was_kept(folder, disk, count):
    total = calls_in_all(folder / "first", disk)
    for first, tries in itertools.product(range(1, total + 1), (1, 2)):
        place = folder / f"from-{first}-{tries}"
        kept = opened(place)
        disk.fill(first, count)
        kept_batches = killed_while_full(kept, tries)
        disk.empty()
        again = opened(place)
        check_found(again, kept_batches)
        assert again.stored.incarnation == kept.stored.incarnation
        for batch in BATCHES[kept_batches:]:
            again.commit(batch)
        again.close()
        check_found(opened(place), len(BATCHES))


def killed_while_full(kept, tries) -> int:
    """Returns how many batches were kept when the process ended."""
    for number, batch in enumerate(BATCHES):
        for _ in range(tries):
            try:
                kept.commit(batch)
            except store.DiskFullError:
                continue
            break
        else:
            kept.close()
            return number
    kept.close()
    return len(BATCHES)


def check_found(again, kept_batches) -> None:
    """All that was kept is there, with some records of the next batch."""
    model = Model()
    for batch in BATCHES[:kept_batches]:
        model.add(batch)
    least = len(model.states) - 1
    for batch in BATCHES[kept_batches : kept_batches + 1]:
        model.add(batch)
    assert found(again) in model.states[least:]


def calls_to_open(folder, disk) -> int:
    before = disk.calls
    opened(folder).close()
    return disk.calls - before


def test_an_open_on_a_full_disk_fails_typed_and_works_with_room(folder, disk):
    in_new, in_old = (calls_to_open(folder, disk) for _ in range(2))
    assert min(in_new, in_old) > 4
    for first in range(1, in_new + 1):
        place = folder / f"from-{first}"
        fail_to_open(place, disk, first)
        kept = opened(place)
        for batch in BATCHES:
            kept.commit(batch)
        kept.close()
        for again in range(1, in_old + 1):
            fail_to_open(place, disk, again)
        check_found(opened(place), len(BATCHES))


def fail_to_open(place, disk, first) -> None:
    disk.fill(first, 1000)
    with pytest.raises(store.DiskFullError):
        opened(place)
    disk.empty()


def test_a_snapshot_without_room_leaves_no_file_and_the_log_goes_on(
    folder, disk
):
    kept = opened(folder)
    for batch in BATCHES[:3]:
        kept.commit(batch)
    big = types.Snapshot(5, 2, MEMBERSHIP, b"s" * 100_000)
    real = durable_files.write_all

    def write_all(descriptor, raw, path):
        if len(raw) > 50_000:
            raise store.DiskFullError(f"{path}: no room")
        real(descriptor, raw, path)

    disk._patch.setattr(durable_files, "write_all", write_all)
    for _ in range(5):
        with pytest.raises(store.DiskFullError):
            kept.commit([store.Change(snapshot=big)])
    assert not list(folder.glob("snapshot*"))
    before = len(list(folder.iterdir()))
    with pytest.raises(store.DiskFullError):
        kept.commit([store.Change(snapshot=big)])
    assert len(list(folder.iterdir())) == before
    kept.commit([store.Change(entries=entries(7, 8, 2))])
    kept.close()
    expected = entries(1, 3) + entries(4, 6, 2) + entries(7, 8, 2)
    assert opened(folder).stored.entries == expected


def test_a_failed_sync_is_not_repeated_over_dropped_pages(folder, disk):
    kept = opened(folder)
    kept.commit(BATCHES[0])
    disk.fill(2, 1)  # the write is done, its sync finds no room
    with pytest.raises(store.DiskFullError):
        kept.commit(BATCHES[1])
    kept.commit(BATCHES[1])
    kept.close()
    assert opened(folder).stored.entries == entries(1, 5)


def test_a_sync_that_fails_otherwise_while_it_is_mended_is_fatal(
    folder, disk, monkeypatch
):
    kept = opened(folder)
    disk.fill(1, 1)
    with pytest.raises(store.DiskFullError):
        kept.commit(BATCHES[0])

    def fail(*_):
        raise OSError(errno.EIO, os.strerror(errno.EIO))

    monkeypatch.setattr(os, "fsync", fail)
    with pytest.raises(store.SyncFailedError):
        kept.commit(BATCHES[0])
    monkeypatch.undo()
    with pytest.raises(errors.StorageError):
        kept.commit(BATCHES[0])


def test_a_segment_that_was_begun_without_room_takes_no_term_back(folder, disk):
    """Its name is there already, with the term of then."""
    kept = opened(folder)
    kept.commit(BATCHES[0])
    before = disk.calls
    kept.commit([store.Change(snapshot=snapshot(1, 1))])
    in_all = disk.calls - before
    for number in range(1, in_all + 1):
        place = folder / f"from-{number}"
        kept = opened(place)
        kept.commit(BATCHES[0])
        disk.fill(number, 1)
        left_out = False
        try:
            kept.commit([store.Change(snapshot=snapshot(1, 1))])
        except store.DiskFullError:
            left_out = True
        disk.empty()
        kept.commit([store.Change(types.HardState(9, VOTER))])
        kept.close()
        again = opened(place)
        assert again.stored.hard_state == types.HardState(9, VOTER)
        assert left_out or again.stored.snapshot == snapshot(1, 1)


def test_damage_of_what_was_kept_is_found_beside_a_batch_that_was_not(
    folder, disk
):
    kept = opened(folder)
    kept.commit(BATCHES[0])
    for first in (1, 4):  # the batch; then it again, after cut and start
        disk.fill(first, 1)
        with pytest.raises(store.DiskFullError):
            kept.commit(BATCHES[1])
    kept.close()
    path = max(folder.glob("log-*"))
    raw = bytearray(path.read_bytes())
    raw[raw.index(entries(2, 2)[0].data)] ^= 1
    path.write_bytes(raw)
    with pytest.raises(store.DamagedLogError):
        opened(folder)
