"""The record format of log segments and snapshot files.

A file starts with an 8-byte prefix (magic and format version), followed by
records. A record is its payload length and checksum (CRC-32 of type and
payload), both 32 bits big-endian, then a type byte and the payload.

The first record of a segment, its header, holds the group, the incarnation,
the segment number and a random nonce. The records covered by one sync form a
batch, which starts with a batch start record: the nonce and the number of the
batch. The next batch start is written as soon as the sync has returned.

A bad record before a readable batch start was therefore synced and is damaged.
A bad record after the last batch start is a torn write whose sync did not
complete; nothing depends on it, so it can be truncated.
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
    """Types of records; the numbers are part of the file format."""

    HEADER = 1
    BATCH = 2
    HARD_STATE = 3
    ENTRY = 4
    SNAPSHOT_DATA = 5


_KNOWN_TYPES = frozenset(RecordType)

HEAD_RECORDS = 3
"""Records at the start of a segment: header, hard state and batch start.

They are synced before the segment is used.
"""


@dataclasses.dataclass(frozen=True, slots=True)
class SegmentHeader:
    """The payload of the first record of a segment."""

    group: str
    incarnation: str
    number: int
    nonce: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Record:
    """A record and the offset in its file at which it starts."""

    type: RecordType
    payload: bytes
    offset: int


def prefix(magic: bytes) -> bytes:
    """Returns the first 8 bytes of a file: `magic` and the format version."""
    return _PREFIX.pack(magic, FORMAT_VERSION)


def encode_record(kind: RecordType, payload: bytes) -> bytes:
    """Returns the bytes of a record, checksum included."""
    checksum = zlib.crc32(payload, zlib.crc32(bytes((kind,))))
    return _RECORD.pack(len(payload), checksum, kind) + payload


def entry_record(entry: types.Entry) -> bytes:
    """Returns the record of a log entry."""
    head = _ENTRY.pack(entry.index, entry.term, entry.kind)
    return encode_record(RecordType.ENTRY, head + entry.data)


def decode_entry(payload: bytes) -> types.Entry:
    """Returns the log entry in the payload of an `ENTRY` record."""
    index, term, kind = _ENTRY.unpack_from(payload)
    data = payload[_ENTRY.size :]
    return types.Entry(index, term, types.EntryKind(kind), data)


def hard_state_record(hard_state: types.HardState) -> bytes:
    """Returns the record of a term and vote."""
    return encode_record(
        RecordType.HARD_STATE, msgspec.msgpack.encode(hard_state)
    )


def decode_hard_state(payload: bytes) -> types.HardState:
    """Returns the term and vote in the payload of a `HARD_STATE` record."""
    return msgspec.msgpack.decode(payload, type=types.HardState)


def batch_start_record(nonce: bytes, number: int) -> bytes:
    """Returns the record that starts batch `number` of a segment."""
    return encode_record(RecordType.BATCH, _BATCH.pack(nonce, number))


def header_record(header: SegmentHeader) -> bytes:
    """Returns the first record of a segment."""
    return encode_record(RecordType.HEADER, msgspec.msgpack.encode(header))


def decode_record(raw: bytes, offset: int) -> Record | None:
    """Returns the record at `offset`, or None.

    None means that the record is torn, has an unknown type or does not match
    its checksum.
    """
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


def end_offset(record: Record) -> int:
    """Returns the offset of the first byte after a record."""
    return record.offset + _RECORD.size + len(record.payload)


def decode_records(
    raw: bytes, magic: bytes, path: pathlib.Path
) -> abc.Iterator[Record]:
    """Yields the records of a file up to its end or the first bad record.

    Args:
        raw: The content of the file.
        magic: The expected magic.
        path: The file, for error messages.

    Raises:
        store.DamagedLogError: The file does not start with `magic`.
        store.UnknownFormatError: The file has another format version.
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
        record = decode_record(raw, offset)
        if record is None:
            return
        yield record
        offset = end_offset(record)


def has_batch_start_after(raw: bytes, offset: int, nonce: bytes) -> bool:
    """Returns whether a batch start follows a bad record at `offset`.

    Args:
        raw: The content of the segment.
        offset: Where the bad record starts.
        nonce: The nonce of the segment.
    """
    position = raw.find(nonce, offset)
    while position >= 0:
        record = decode_record(raw, position - _RECORD.size)
        if record is not None and record.type is RecordType.BATCH:
            return True
        position = raw.find(nonce, position + 1)
    return False
