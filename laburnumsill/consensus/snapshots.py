"""The snapshot files: written aside, synced, renamed, their folder synced.

Each has a name of its own, with its index, and the one before goes only when
the new name is durable. Nothing rests on renames that are atomic across a loss
of power.
"""

import dataclasses
import pathlib
import re

import msgspec

from laburnumsill.consensus import durable_files
from laburnumsill.consensus import segments
from laburnumsill.consensus import store
from laburnumsill.consensus import types

_NAME = re.compile(r"snapshot-(\d{20})")


@dataclasses.dataclass(frozen=True, slots=True)
class SnapshotHeader:
    """The first record of a snapshot file.

    Attributes:
        group: The group it belongs to.
        incarnation: The replica that wrote it.
        index: Last index that it stands for.
        term: Term of the entry at `index`.
        membership: The make-up of the group at `index`.
        log_from: First segment that still counts; older ones are void.
    """

    group: str
    incarnation: str
    index: int
    term: int
    membership: types.Membership
    log_from: int


def write(folder: pathlib.Path, header: SnapshotHeader, data: bytes) -> None:
    """Writes a snapshot to `folder`, then removes those before it.

    Raises:
        errors.StorageError: The disk is full or failed.
    """
    raw = segments.prefix(segments.SNAPSHOT_MAGIC) + segments.record(
        segments.RecordType.HEADER, msgspec.msgpack.encode(header)
    )
    body = segments.record(segments.RecordType.SNAPSHOT_DATA, data)
    path = folder / f"snapshot-{header.index:020d}"
    durable_files.write_file(path, (raw, body))
    _remove_before(path)


def read(
    folder: pathlib.Path,
) -> tuple[SnapshotHeader, types.Snapshot] | None:
    """Returns the newest snapshot in `folder`, or None if there is none.

    Those before it are removed. The names in the folder have to be durable.

    Raises:
        store.DamagedLogError: The snapshot does not match its checksums.
        store.UnknownFormatError: Another version wrote it.
    """
    paths = _paths(folder)
    if not paths:
        return None
    path = paths[-1]
    raw = path.read_bytes()
    found = list(segments.records(raw, segments.SNAPSHOT_MAGIC, path))
    kinds = [part.type for part in found]
    wanted = [segments.RecordType.HEADER, segments.RecordType.SNAPSHOT_DATA]
    if kinds != wanted or segments.end_of(found[-1]) != len(raw):
        raise store.DamagedLogError(f"{path}: records {kinds!r}")
    header = msgspec.msgpack.decode(found[0].payload, type=SnapshotHeader)
    snapshot = types.Snapshot(
        header.index, header.term, header.membership, found[1].payload
    )
    _remove_before(path)
    return header, snapshot


def _paths(folder: pathlib.Path) -> list[pathlib.Path]:
    """Returns the snapshots in a folder, the newest last."""
    return sorted(p for p in folder.iterdir() if _NAME.fullmatch(p.name))


def _remove_before(path: pathlib.Path) -> None:
    for older in _paths(path.parent):
        if older < path:
            older.unlink()
