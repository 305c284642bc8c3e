"""Reads and writes the snapshot files of a replica.

A snapshot is written under a temporary name, synced and renamed, and then its
folder is synced. The file name contains the snapshot's index, and the older
snapshot is removed only when the new name is durable, so a rename need not be
atomic across a power loss.
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
        group: The group of the replica.
        incarnation: Incarnation of the replica that wrote the snapshot.
        index: Last log index that the snapshot covers.
        term: Term of the entry at `index`.
        membership: Membership of the group at `index`.
        log_from: Number of the first segment to replay; older segments are
            obsolete.
    """

    group: str
    incarnation: str
    index: int
    term: int
    membership: types.Membership
    log_from: int


def write(folder: pathlib.Path, header: SnapshotHeader, data: bytes) -> None:
    """Writes a snapshot to `folder`, then removes older snapshots.

    Raises:
        errors.StorageError: The disk is full or failed.
    """
    head = segments.prefix(segments.SNAPSHOT_MAGIC) + segments.encode_record(
        segments.RecordType.HEADER, msgspec.msgpack.encode(header)
    )
    body = segments.encode_record(segments.RecordType.SNAPSHOT_DATA, data)
    path = folder / f"snapshot-{header.index:020d}"
    durable_files.write_file(path, (head, body))
    _remove_older(path)


def read(
    folder: pathlib.Path,
) -> tuple[SnapshotHeader, types.Snapshot] | None:
    """Returns the newest snapshot in `folder`, or None if there is none.

    Older snapshots are removed. The caller must have synced the folder.

    Raises:
        store.DamagedLogError: The snapshot does not match its checksums.
        store.UnknownFormatError: The snapshot has another format version.
    """
    paths = _paths(folder)
    if not paths:
        return None
    path = paths[-1]
    raw = path.read_bytes()
    records = list(segments.decode_records(raw, segments.SNAPSHOT_MAGIC, path))
    kinds = [record.type for record in records]
    expected = [segments.RecordType.HEADER, segments.RecordType.SNAPSHOT_DATA]
    if kinds != expected or segments.end_offset(records[-1]) != len(raw):
        raise store.DamagedLogError(f"{path}: records {kinds!r}")
    header = msgspec.msgpack.decode(records[0].payload, type=SnapshotHeader)
    snapshot = types.Snapshot(
        header.index, header.term, header.membership, records[1].payload
    )
    _remove_older(path)
    return header, snapshot


def _paths(folder: pathlib.Path) -> list[pathlib.Path]:
    """Returns the snapshot files in a folder, the newest last."""
    return sorted(p for p in folder.iterdir() if _NAME.fullmatch(p.name))


def _remove_older(path: pathlib.Path) -> None:
    """Removes the snapshots that are older than the one at `path`."""
    for older in _paths(path.parent):
        if older < path:
            older.unlink()
