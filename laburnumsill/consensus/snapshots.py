"""The snapshot file: written aside, synced, renamed, its folder synced."""

import dataclasses
import pathlib

import msgspec

from laburnumsill.consensus import durable_files
from laburnumsill.consensus import segments
from laburnumsill.consensus import store
from laburnumsill.consensus import types

_NAME = "snapshot"


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
    """Replaces the snapshot in `folder` by a new one, whole or not at all.

    Raises:
        errors.StorageError: The disk is full or failed.
    """
    raw = segments.prefix(segments.SNAPSHOT_MAGIC) + segments.record(
        segments.RecordType.HEADER, msgspec.msgpack.encode(header)
    )
    body = segments.record(segments.RecordType.SNAPSHOT_DATA, data)
    durable_files.write_file(folder / _NAME, (raw, body))


def read(
    folder: pathlib.Path,
) -> tuple[SnapshotHeader, types.Snapshot] | None:
    """Returns the snapshot in `folder`, or None if there never was one.

    Raises:
        store.DamagedLogError: The snapshot does not match its checksums.
        store.UnknownFormatError: Another version wrote it.
    """
    path = folder / _NAME
    if not path.exists():
        return None
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
    return header, snapshot
