"""Replays the folder of a replica: its snapshot and log segments."""

import dataclasses
import pathlib
import re

import msgspec

from laburnumsill.consensus import durable_files
from laburnumsill.consensus import segments
from laburnumsill.consensus import snapshots
from laburnumsill.consensus import store
from laburnumsill.consensus import types
from laburnumsill.core import logs

_SEGMENT_NAME = re.compile(r"log-(\d{12})")


def segment_path(folder: pathlib.Path, number: int) -> pathlib.Path:
    """Returns the path of a segment."""
    return folder / f"log-{number:012d}"


@dataclasses.dataclass(frozen=True, slots=True)
class ReplayedSegment:
    """A segment that was read.

    Attributes:
        number: Segment number; the log is in the order of these numbers.
        path: The segment's file.
        first_index: Index of the first entry, 0 if there is none.
        last_index: Highest index of an entry, 0 if there is none.
        size: Bytes up to the end of the last valid record.
        unsynced_entries: Number of entries after the last batch start. Their
            sync may not have completed, so before the replay possibly only
            the operating system's cache held them.
    """

    number: int
    path: pathlib.Path
    first_index: int
    last_index: int
    size: int
    unsynced_entries: int

    def __str__(self) -> str:
        """Returns the number and the range of entries, as ``2:390-412``."""
        return f"{self.number}:{self.first_index}-{self.last_index}"


@dataclasses.dataclass(slots=True)
class ReplayResult:
    """The state that was read from a folder.

    Attributes:
        incarnation: Incarnation that wrote the folder, empty if it is new.
        hard_state: The last term and vote.
        snapshot: The newest snapshot, or None.
        entries: The log entries after the snapshot.
        segments: The segments from the snapshot's `log_from` on, in order.
        next_number: An unused segment number, above all existing ones.
    """

    incarnation: str = ""
    hard_state: types.HardState = types.HardState()
    snapshot: types.Snapshot | None = None
    entries: tuple[types.Entry, ...] = ()
    segments: list[ReplayedSegment] = dataclasses.field(default_factory=list)
    next_number: int = 1


def replay(folder: pathlib.Path, group: str) -> ReplayResult:
    """Reads the stored state of a replica and truncates a torn tail.

    Obsolete segments and temporary files are removed.

    Args:
        folder: The folder of the replica.
        group: The group that the files must belong to.

    Raises:
        store.DamagedLogError: The files are damaged or incomplete elsewhere
            than in a torn tail, or belong to another replica.
        store.UnknownFormatError: A file has another format version.
    """
    return _Replay(folder, group).run()


class _Replay:
    """The state of one replay of a folder."""

    def __init__(self, folder: pathlib.Path, group: str) -> None:
        self._folder = folder
        self._group = group
        self._result = ReplayResult()
        self._log: list[types.Entry] = []

    def run(self) -> ReplayResult:
        """Reads the snapshot, then the segments in order."""
        # The rename of a snapshot may not be synced yet, and it must be
        # durable before the segments that the snapshot replaces are removed.
        durable_files.sync_folder(self._folder)
        for path in self._folder.glob(f"*{durable_files.TEMPORARY_SUFFIX}"):
            path.unlink()
        log_from = self._read_snapshot()
        numbers = self._segment_numbers()
        if numbers:
            self._result.next_number = numbers[-1] + 1
        live = [number for number in numbers if number >= log_from]
        for number in numbers:
            if number < log_from:
                segment_path(self._folder, number).unlink()
        self._check_numbers(live, log_from)
        for number in live:
            self._read_segment(number, number == live[-1])
        self._result.entries = self._entries_after_snapshot()
        return self._result

    def _read_snapshot(self) -> int:
        """Reads the snapshot; returns the first segment number to replay."""
        stored = snapshots.read(self._folder)
        if stored is None:
            return 1
        header, snapshot = stored
        self._check_owner(header.group, header.incarnation, self._folder)
        self._result.snapshot = snapshot
        return header.log_from

    def _segment_numbers(self) -> list[int]:
        matches = map(
            _SEGMENT_NAME.fullmatch,
            (path.name for path in self._folder.iterdir()),
        )
        return sorted(int(match[1]) for match in matches if match)

    def _check_numbers(self, numbers: list[int], log_from: int) -> None:
        """Checks that no segment from `log_from` on is missing."""
        if not numbers and self._result.snapshot is None:
            return
        expected = list(range(log_from, log_from + max(1, len(numbers))))
        if numbers != expected:
            raise store.DamagedLogError(
                f"{self._folder}: segments {numbers}, expected {expected}"
            )

    def _check_owner(
        self, group: str, incarnation: str, path: pathlib.Path
    ) -> None:
        """Checks that a file belongs to this group and one incarnation."""
        expected = self._result.incarnation or incarnation
        if group != self._group or incarnation != expected:
            raise store.DamagedLogError(
                f"{path}: belongs to {group!r} {incarnation!r},"
                f" expected {self._group!r} {expected!r}"
            )
        self._result.incarnation = incarnation

    def _read_segment(self, number: int, is_last: bool) -> None:
        path = segment_path(self._folder, number)
        raw = path.read_bytes()
        content = self._read_records(raw, number, path)
        if content.records < segments.HEAD_RECORDS:
            raise store.DamagedLogError(
                f"{path}: segment head has {content.records} valid records"
            )
        if content.end < len(raw):
            self._truncate_tail(path, raw, content.end, content.nonce, is_last)
        if is_last:
            # The previous process may have been killed between a write and
            # its sync. Only the operating system's cache holds such a batch,
            # and a power loss would remove entries that this start has
            # reported as stored. It is rewritten, not only synced, because a
            # sync that failed on a full disk may have marked its pages clean
            # without writing them.
            start = content.last_batch
            durable_files.rewrite(path, raw[start : content.end], start)
        self._result.segments.append(content.summary(number, path))

    def _read_records(
        self, raw: bytes, number: int, path: pathlib.Path
    ) -> "_SegmentContent":
        """Applies the records of a segment up to its end or a bad record."""
        content = _SegmentContent()
        for record in segments.decode_records(
            raw, segments.SEGMENT_MAGIC, path
        ):
            if not content.nonce:
                content.nonce = self._read_header(record, number, path)
            elif record.type is segments.RecordType.HARD_STATE:
                state = segments.decode_hard_state(record.payload)
                self._result.hard_state = state
            elif record.type is segments.RecordType.ENTRY:
                entry = segments.decode_entry(record.payload)
                content.entry_indexes.append(entry.index)
                self._append(entry, path)
            elif record.type is segments.RecordType.BATCH:
                content.synced_entries = len(content.entry_indexes)
                content.last_batch = record.offset
            content.end = segments.end_offset(record)
            content.records += 1
        return content

    def _read_header(
        self, record: segments.Record, number: int, path: pathlib.Path
    ) -> bytes:
        """Checks the header of segment `number`; returns its nonce."""
        if record.type is not segments.RecordType.HEADER:
            raise store.DamagedLogError(f"{path}: no header")
        header = msgspec.msgpack.decode(
            record.payload, type=segments.SegmentHeader
        )
        self._check_owner(header.group, header.incarnation, path)
        if header.number != number:
            raise store.DamagedLogError(
                f"{path}: header has segment number {header.number}"
            )
        return header.nonce

    def _append(self, entry: types.Entry, path: pathlib.Path) -> None:
        """Truncates the log from the entry's index on and appends the entry."""
        if not self._log or entry.index <= self._log[0].index:
            self._log = [entry]
            return
        kept = entry.index - self._log[0].index
        if kept > len(self._log):
            raise store.DamagedLogError(
                f"{path}: entry {entry.index} after {self._log[-1].index}"
            )
        del self._log[kept:]
        self._log.append(entry)

    def _truncate_tail(
        self,
        path: pathlib.Path,
        raw: bytes,
        end: int,
        nonce: bytes,
        is_last: bool,
    ) -> None:
        """Truncates a torn tail that starts at offset `end`.

        Raises:
            store.DamagedLogError: The bad record at `end` was synced before.
        """
        if not is_last or segments.has_batch_start_after(raw, end, nonce):
            raise store.DamagedLogError(f"{path}: bad record at offset {end}")
        logs.event(
            "torn-tail-cut",
            level="WARNING",
            group=self._group,
            path=path,
            offset=end,
            dropped_bytes=len(raw) - end,
        )
        durable_files.truncate(path, end)

    def _entries_after_snapshot(self) -> tuple[types.Entry, ...]:
        covered = self._result.snapshot.index if self._result.snapshot else 0
        entries = tuple(e for e in self._log if e.index > covered)
        if entries and entries[0].index != covered + 1:
            raise store.DamagedLogError(
                f"{self._folder}: log starts at {entries[0].index},"
                f" the snapshot ends at {covered}"
            )
        return entries


@dataclasses.dataclass(slots=True)
class _SegmentContent:
    """The valid records of a segment, up to its end or the first bad record.

    Attributes:
        nonce: The nonce in the header.
        records: Number of valid records.
        end: Offset of the first byte after the last valid record.
        last_batch: Offset of the last batch start.
        entry_indexes: Indexes of the entries, in the order of the file.
        synced_entries: Number of entries before the last batch start.
    """

    nonce: bytes = b""
    records: int = 0
    end: int = 0
    last_batch: int = 0
    entry_indexes: list[int] = dataclasses.field(default_factory=list)
    synced_entries: int = 0

    def summary(self, number: int, path: pathlib.Path) -> ReplayedSegment:
        """Returns the description of the segment in the replay result."""
        return ReplayedSegment(
            number,
            path,
            self.entry_indexes[0] if self.entry_indexes else 0,
            max(self.entry_indexes, default=0),
            self.end,
            len(self.entry_indexes) - self.synced_entries,
        )
