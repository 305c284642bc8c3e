"""Reading a replica's folder back after a start."""

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
    """Returns the file of a segment."""
    return folder / f"log-{number:012d}"


@dataclasses.dataclass(frozen=True, slots=True)
class FoundSegment:
    """A readable segment.

    Attributes:
        number: Its place in the log.
        path: Its file.
        first_index: Index of its first entry, 0 if it has none.
        last_index: The highest index in it, 0 if it has no entry.
        size: Bytes that count.
        unsynced: Entries after its last batch start. No sync of theirs is
            known to have ended, so the file may hold them and the disk not.
    """

    number: int
    path: pathlib.Path
    first_index: int
    last_index: int
    size: int
    unsynced: int

    def __str__(self) -> str:
        """Returns its number and entries, such as ``2:390-412``."""
        return f"{self.number}:{self.first_index}-{self.last_index}"


@dataclasses.dataclass(slots=True)
class Found:
    """What a folder holds.

    Attributes:
        incarnation: Who wrote it, or empty in a new folder.
        hard_state: The last term and vote.
        snapshot: The snapshot, or None.
        entries: The entries after the snapshot.
        segments: The segments that still count.
        next_number: A segment number that was never used.
    """

    incarnation: str = ""
    hard_state: types.HardState = types.HardState()
    snapshot: types.Snapshot | None = None
    entries: tuple[types.Entry, ...] = ()
    segments: list[FoundSegment] = dataclasses.field(default_factory=list)
    next_number: int = 1


def replay(folder: pathlib.Path, group: str) -> Found:
    """Returns what `folder` holds, with a torn tail cut off.

    Raises:
        store.DamagedLogError: Something before the tail can not be trusted.
        store.UnknownFormatError: Another version wrote it.
    """
    return _Replay(folder, group).run()


class _Replay:
    """One reading of a folder."""

    def __init__(self, folder: pathlib.Path, group: str) -> None:
        self._folder = folder
        self._group = group
        self._found = Found()
        self._log: list[types.Entry] = []

    def run(self) -> Found:
        """Reads the snapshot, then the segments in order."""
        # A snapshot's name may be younger than the last sync of the folder;
        # the segments that it replaces must not go before it is durable.
        durable_files.sync_folder(self._folder)
        for path in self._folder.glob(f"*{durable_files.ASIDE_SUFFIX}"):
            path.unlink()
        log_from = self._read_snapshot()
        numbers = self._numbers()
        if numbers:
            self._found.next_number = numbers[-1] + 1
        counting = [number for number in numbers if number >= log_from]
        for number in numbers:
            if number < log_from:
                segment_path(self._folder, number).unlink()
        self._check_numbers(counting, log_from)
        for number in counting:
            self._read_segment(number, number == counting[-1])
        self._found.entries = self._after_snapshot()
        return self._found

    def _read_snapshot(self) -> int:
        read = snapshots.read(self._folder)
        if read is None:
            return 1
        header, snapshot = read
        self._check_owner(header.group, header.incarnation, self._folder)
        self._found.snapshot = snapshot
        return header.log_from

    def _numbers(self) -> list[int]:
        matches = map(
            _SEGMENT_NAME.fullmatch,
            (path.name for path in self._folder.iterdir()),
        )
        return sorted(int(match[1]) for match in matches if match)

    def _check_numbers(self, numbers: list[int], log_from: int) -> None:
        if not numbers and self._found.snapshot is None:
            return
        wanted = list(range(log_from, log_from + max(1, len(numbers))))
        if numbers != wanted:
            raise store.DamagedLogError(
                f"{self._folder}: segments {numbers}, wanted {wanted}"
            )

    def _check_owner(
        self, group: str, incarnation: str, path: pathlib.Path
    ) -> None:
        known = self._found.incarnation or incarnation
        if group != self._group or incarnation != known:
            raise store.DamagedLogError(
                f"{path}: of {group!r} {incarnation!r},"
                f" wanted {self._group!r} {known!r}"
            )
        self._found.incarnation = incarnation

    def _read_segment(self, number: int, is_last: bool) -> None:
        path = segment_path(self._folder, number)
        raw = path.read_bytes()
        content = self._read_records(raw, number, path)
        if content.records < segments.HEAD_RECORDS:
            raise store.DamagedLogError(
                f"{path}: {content.records} head records"
            )
        if content.end < len(raw):
            self._cut_tail(path, raw, content.end, content.nonce, is_last)
        if is_last:
            # Its writer may have been killed between a write and the sync:
            # only the operating system's cache holds such a tail, and a
            # loss of power would take what a restart had relied on. A sync
            # that found no room may have given it up, so it is written again.
            start = content.last_batch
            durable_files.write_again(path, raw[start : content.end], start)
        self._found.segments.append(content.summary(number, path))

    def _read_records(
        self, raw: bytes, number: int, path: pathlib.Path
    ) -> "_Content":
        """Takes the records of a segment up to its end or the first bad one."""
        content = _Content()
        for part in segments.records(raw, segments.SEGMENT_MAGIC, path):
            if not content.nonce:
                content.nonce = self._read_header(part, number, path)
            elif part.type is segments.RecordType.HARD_STATE:
                state = segments.hard_state_of(part.payload)
                self._found.hard_state = state
            elif part.type is segments.RecordType.ENTRY:
                entry = segments.entry_of(part.payload)
                content.indices.append(entry.index)
                self._take(entry, path)
            elif part.type is segments.RecordType.BATCH:
                content.synced = len(content.indices)
                content.last_batch = part.offset
            content.end = segments.end_of(part)
            content.records += 1
        return content

    def _read_header(
        self, part: segments.Record, number: int, path: pathlib.Path
    ) -> bytes:
        if part.type is not segments.RecordType.HEADER:
            raise store.DamagedLogError(f"{path}: no header")
        header = msgspec.msgpack.decode(
            part.payload, type=segments.SegmentHeader
        )
        self._check_owner(header.group, header.incarnation, path)
        if header.number != number:
            raise store.DamagedLogError(f"{path}: is segment {header.number}")
        return header.nonce

    def _take(self, entry: types.Entry, path: pathlib.Path) -> None:
        """Appends an entry, which voids those at and after its index."""
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

    def _cut_tail(
        self,
        path: pathlib.Path,
        raw: bytes,
        end: int,
        nonce: bytes,
        is_last: bool,
    ) -> None:
        if not is_last or segments.has_batch_after(raw, end, nonce):
            raise store.DamagedLogError(f"{path}: bad record at {end}")
        logs.event(
            "torn-tail-cut",
            level="WARNING",
            group=self._group,
            path=path,
            offset=end,
            dropped_bytes=len(raw) - end,
        )
        durable_files.truncate(path, end)

    def _after_snapshot(self) -> tuple[types.Entry, ...]:
        covered = self._found.snapshot.index if self._found.snapshot else 0
        entries = tuple(e for e in self._log if e.index > covered)
        if entries and entries[0].index != covered + 1:
            raise store.DamagedLogError(
                f"{self._folder}: log starts at {entries[0].index},"
                f" the snapshot ends at {covered}"
            )
        return entries


@dataclasses.dataclass(slots=True)
class _Content:
    """What was read of a segment.

    Attributes:
        nonce: From its header.
        records: How many could be read.
        end: The offset after the last of them.
        last_batch: The offset of the last batch start.
        indices: Those of the entries, in the order of the file.
        synced: How many of these come before the last batch start.
    """

    nonce: bytes = b""
    records: int = 0
    end: int = 0
    last_batch: int = 0
    indices: list[int] = dataclasses.field(default_factory=list)
    synced: int = 0

    def summary(self, number: int, path: pathlib.Path) -> FoundSegment:
        """Returns what is told of the segment."""
        return FoundSegment(
            number,
            path,
            self.indices[0] if self.indices else 0,
            max(self.indices, default=0),
            self.end,
            len(self.indices) - self.synced,
        )
