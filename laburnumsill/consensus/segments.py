"""The files of a log: records with checksums, in numbered segments.

A file is an 8-byte magic with the format version, then records. A record is
its length and checksum (CRC-32 of type and payload), both 32 bits big-endian,
a type byte and the payload.

A segment's first record names its group, incarnation and number and carries
a random nonce. All that one sync covers is a batch, which starts with a record
of the nonce and the batch's number. The start of the next batch is written as
soon as a sync has ended, so a bad record with a readable batch start after it
was synced and is damaged, while a bad record after the last batch start is a
tail that was torn before its sync ended, and nothing rests on it.
"""

import dataclasses
import enum
import pathlib
import struct
import zlib
from collections import abc

import msgspec

from laburnumsill.consensus import store
from laburnumsill.consensus import types

FORMAT_VERSION = 1
SEGMENT_MAGIC = b"LBSLOG"
SNAPSHOT_MAGIC = b"LBSSNP"
NONCE_BYTES = 8

_PREFIX = struct.Struct(">6sH")
_RECORD = struct.Struct(">IIB")
_ENTRY = struct.Struct(">QQB")
_BATCH = struct.Struct(f">{NONCE_BYTES}sQ")


class RecordType(enum.IntEnum):
    """What a record holds."""

    HEADER = 1
    BATCH = 2
    HARD_STATE = 3
    ENTRY = 4
    SNAPSHOT_DATA = 5


_KNOWN_TYPES = frozenset(RecordType)

HEAD_RECORDS = 3
"""Header, term and first batch start are synced before a segment is used."""


@dataclasses.dataclass(frozen=True, slots=True)
class SegmentHeader:
    """The first record of a segment."""

    group: str
    incarnation: str
    number: int
    nonce: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Record:
    """One record and where it starts in its file."""

    type: RecordType
    payload: bytes
    offset: int


def prefix(magic: bytes) -> bytes:
    """Returns the first bytes of a file."""
    return _PREFIX.pack(magic, FORMAT_VERSION)


def record(kind: RecordType, payload: bytes) -> bytes:
    """Returns one record."""
    checksum = zlib.crc32(payload, zlib.crc32(bytes((kind,))))
    return _RECORD.pack(len(payload), checksum, kind) + payload


def entry_record(entry: types.Entry) -> bytes:
    """Returns the record of an entry of the log."""
    head = _ENTRY.pack(entry.index, entry.term, entry.kind)
    return record(RecordType.ENTRY, head + entry.data)


def entry_of(payload: bytes) -> types.Entry:
    """Returns the entry that `entry_record` encoded."""
    index, term, kind = _ENTRY.unpack_from(payload)
    data = payload[_ENTRY.size :]
    return types.Entry(index, term, types.EntryKind(kind), data)


def hard_state_record(hard_state: types.HardState) -> bytes:
    """Returns the record of a term and vote."""
    return record(RecordType.HARD_STATE, msgspec.msgpack.encode(hard_state))


def hard_state_of(payload: bytes) -> types.HardState:
    """Returns the term and vote that `hard_state_record` encoded."""
    return msgspec.msgpack.decode(payload, type=types.HardState)


def batch_record(nonce: bytes, number: int) -> bytes:
    """Returns the record that starts a batch."""
    return record(RecordType.BATCH, _BATCH.pack(nonce, number))


def header_record(header: SegmentHeader) -> bytes:
    """Returns the first record of a segment."""
    return record(RecordType.HEADER, msgspec.msgpack.encode(header))


def record_at(raw: bytes, offset: int) -> Record | None:
    """Returns the record that starts at `offset`, or None if it is bad."""
    if offset + _RECORD.size > len(raw):
        return None
    length, checksum, kind = _RECORD.unpack_from(raw, offset)
    start = offset + _RECORD.size
    payload = raw[start : start + length]
    if len(payload) != length:
        return None
    if zlib.crc32(payload, zlib.crc32(bytes((kind,)))) != checksum:
        return None
    if kind not in _KNOWN_TYPES:
        return None
    return Record(RecordType(kind), payload, offset)


def end_of(found: Record) -> int:
    """Returns the offset after a record."""
    return found.offset + _RECORD.size + len(found.payload)


def records(
    raw: bytes, magic: bytes, path: pathlib.Path
) -> abc.Iterator[Record]:
    """Yields the records of a file up to its end or the first bad one.

    Raises:
        store.DamagedLogError: The file does not start as it should.
        store.UnknownFormatError: Another version wrote it.
    """
    if len(raw) < _PREFIX.size:
        raise store.DamagedLogError(f"{path}: {len(raw)} bytes, no prefix")
    found_magic, version = _PREFIX.unpack_from(raw)
    if found_magic != magic:
        raise store.DamagedLogError(f"{path}: starts with {found_magic!r}")
    if version != FORMAT_VERSION:
        raise store.UnknownFormatError(f"{path}: format version {version}")
    offset = _PREFIX.size
    while offset < len(raw):
        found = record_at(raw, offset)
        if found is None:
            return
        yield found
        offset = end_of(found)


def has_batch_after(raw: bytes, offset: int, nonce: bytes) -> bool:
    """Returns whether a batch starts after a bad record at `offset`."""
    place = raw.find(nonce, offset)
    while place >= 0:
        found = record_at(raw, place - _RECORD.size)
        if found is not None and found.type is RecordType.BATCH:
            return True
        place = raw.find(nonce, place + 1)
    return False
