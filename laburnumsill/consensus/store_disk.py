"""A replica's store in a folder: numbered segments and one snapshot."""

import dataclasses
import os
import pathlib
import secrets
from collections import abc

from laburnumsill.consensus import durable_files
from laburnumsill.consensus import segments
from laburnumsill.consensus import snapshots
from laburnumsill.consensus import store
from laburnumsill.consensus import store_replay
from laburnumsill.consensus import types
from laburnumsill.core import errors
from laburnumsill.core import ids
from laburnumsill.core import logs

SEGMENT_BYTES = 4 * 1024 * 1024
"""Size after which the next batch starts a new segment."""

LOGGED_SEGMENTS = 8
"""How many of the newest segments are named in the log at a start."""


@dataclasses.dataclass(slots=True)
class _Segment:
    """A segment file.

    Attributes:
        number: Its number.
        path: Its file.
        last_index: The highest index that was ever written to it.
        size: Its bytes.
        synced: How many of these were synced.
    """

    number: int
    path: pathlib.Path
    last_index: int
    size: int
    synced: int


class DiskStore(store.ReplicaStore):
    """Keeps one replica in `folder`, which is made if it is missing.

    Where a write or a sync found the disk full, the active segment may end in
    part of a batch, and the system may have dropped what it could not write
    while it looks written. So all after the last sync is cut off and written
    again before anything else.

    Args:
        folder: The folder of this replica alone.
        group: The group's name, which the files carry.
        segment_bytes: Size after which a new segment starts.

    Raises:
        store.DamagedLogError: What is stored can not be trusted.
        store.UnknownFormatError: Another version wrote it.
        errors.StorageError: The disk failed.
    """

    def __init__(
        self,
        folder: pathlib.Path,
        group: str,
        segment_bytes: int = SEGMENT_BYTES,
    ) -> None:
        self._folder = folder
        self._group = group
        self._segment_bytes = segment_bytes
        self._descriptor = -1
        self._failed = False
        self._torn = False
        self._beginning = False
        self._batch = 0
        self._nonce = b""
        self._segments: list[_Segment] = []
        self._log_bytes = 0
        try:
            self._open()
        except OSError as error:
            raise store.storage_error(error, folder) from error

    @property
    def stored(self) -> types.Stored:
        """What was found when the store was opened."""
        return self._stored

    @property
    def with_disk(self) -> bool:
        """True."""
        return True

    @property
    def log_bytes(self) -> int:
        """The bytes written to the log since the last snapshot."""
        return self._log_bytes

    def commit(self, changes: abc.Sequence[store.Change]) -> None:
        """Writes and syncs `changes`, see the base class."""
        if self._failed or self._descriptor < 0:
            raise store.StoreClosedError(f"{self._folder} is not open")
        try:
            self._commit(changes)
        except OSError as error:
            typed = store.storage_error(error, self._folder)
            self._note_failure(typed)
            raise typed from error
        except errors.StorageError as error:
            self._note_failure(error)
            raise

    def close(self) -> None:
        """Closes the active segment."""
        if self._descriptor >= 0:
            os.close(self._descriptor)
            self._descriptor = -1

    def _open(self) -> None:
        durable_files.make_folder(self._folder)
        found = store_replay.replay(self._folder, self._group)
        self._log_found(found)
        self._incarnation = found.incarnation or ids.fresh("r")
        self._hard_state = found.hard_state
        self._stored = types.Stored(
            self._incarnation,
            found.hard_state,
            found.snapshot,
            found.entries,
            with_disk=True,
        )
        for part in found.segments:
            self._segments.append(
                _Segment(
                    part.number,
                    part.path,
                    part.last_index,
                    part.size,
                    part.size,
                )
            )
            self._log_bytes += part.size
        self._start_segment(found.next_number)

    def _note_failure(self, error: errors.StorageError) -> None:
        """Only a full disk leaves something that can be mended."""
        if isinstance(error, store.DiskFullError):
            self._torn = True
        else:
            self._failed = True

    def _mend(self) -> None:
        """Takes back what a full disk has left undone after the last sync.

        A segment that was being begun may be there already, with the term of
        that time: nothing may be written to the one before it any more.
        """
        if not self._torn:
            return
        active = self._segments[-1]
        durable_files.cut(self._descriptor, active.synced, active.path)
        active.size = active.synced
        if self._beginning:
            self._start_segment(active.number + 1)
        elif self._batch:
            self._start_batch()
        self._torn = False

    def _log_found(self, found: store_replay.Found) -> None:
        logs.event(
            "store-opened",
            group=self._group,
            snapshot_index=found.snapshot.index if found.snapshot else 0,
            segments=",".join(map(str, found.segments[-LOGGED_SEGMENTS:])),
            unsynced_entries=sum(part.unsynced for part in found.segments),
        )

    def _commit(self, changes: abc.Sequence[store.Change]) -> None:
        self._mend()
        if self._segments[-1].size >= self._segment_bytes:
            self._next_segment()
        pending: list[bytes] = []
        for change in changes:
            if change.hard_state is not None:
                self._hard_state = change.hard_state
                pending.append(segments.hard_state_record(change.hard_state))
            if change.snapshot is not None:
                self._flush(pending)
                pending = []
                self._keep_snapshot(change.snapshot, change.keep_tail)
            for entry in change.entries:
                pending.append(segments.entry_record(entry))
            self._note_entries(change.entries)
        self._flush(pending)

    def _note_entries(self, entries: tuple[types.Entry, ...]) -> None:
        if entries:
            active = self._segments[-1]
            active.last_index = max(active.last_index, entries[-1].index)

    def _flush(self, pending: list[bytes]) -> None:
        """Writes the rest of one batch, syncs it and starts the next."""
        if not pending:
            return
        self._mend()
        active = self._segments[-1]
        raw = b"".join(pending)
        durable_files.write_all(self._descriptor, raw, active.path)
        durable_files.sync(self._descriptor, active.path)
        active.size += len(raw)
        active.synced = active.size
        self._log_bytes += len(raw)
        self._batch += 1
        try:
            self._start_batch()
        except store.DiskFullError:
            self._torn = True  # the batch before is kept all the same

    def _start_batch(self) -> None:
        """Writes the start of a batch; it is synced with the batch."""
        active = self._segments[-1]
        start = segments.batch_record(self._nonce, self._batch)
        durable_files.write_all(self._descriptor, start, active.path)
        active.size += len(start)
        self._log_bytes += len(start)

    def _next_segment(self) -> None:
        """Has the next batch begin a segment; one without a batch will do."""
        self._mend()
        if self._batch:
            self._start_segment(self._segments[-1].number + 1)

    def _start_segment(self, number: int) -> None:
        """Makes a segment durable, header and term included, then uses it."""
        if self._descriptor >= 0:
            # The last batch start is written after a sync. A loss of power
            # may tear it, which is damage in all but the last segment.
            durable_files.sync(self._descriptor, self._segments[-1].path)
        path = store_replay.segment_path(self._folder, number)
        nonce = secrets.token_bytes(segments.NONCE_BYTES)
        header = segments.SegmentHeader(
            self._group, self._incarnation, number, nonce
        )
        raw = (
            segments.prefix(segments.SEGMENT_MAGIC)
            + segments.header_record(header)
            + segments.hard_state_record(self._hard_state)
            + segments.batch_record(nonce, 0)
        )
        self._beginning = True
        durable_files.write_file(path, (raw,))
        descriptor = os.open(path, os.O_WRONLY | os.O_APPEND)
        self.close()
        self._descriptor = descriptor
        self._nonce = nonce
        self._batch = 0
        self._beginning = False
        self._segments.append(_Segment(number, path, 0, len(raw), len(raw)))

    def _keep_snapshot(self, snapshot: types.Snapshot, keep_tail: bool) -> None:
        self._next_segment()
        kept = self._segments[-1:]
        if keep_tail:
            kept = self._after(snapshot.index)
        header = snapshots.SnapshotHeader(
            self._group,
            self._incarnation,
            snapshot.index,
            snapshot.term,
            snapshot.membership,
            kept[0].number,
        )
        snapshots.write(self._folder, header, snapshot.data)
        for part in self._segments:
            if part.number < kept[0].number:
                part.path.unlink(missing_ok=True)
        self._segments = kept
        self._log_bytes = sum(part.size for part in kept)

    def _after(self, index: int) -> list[_Segment]:
        """Returns the segments from the first that holds more than `index`."""
        for position, part in enumerate(self._segments):
            if part.last_index > index:
                return self._segments[position:]
        return self._segments[-1:]


def set_aside(folder: pathlib.Path) -> pathlib.Path:
    """Renames a store that can not be trusted; nothing is ever deleted.

    Returns:
        Where it is now.

    Raises:
        errors.StorageError: The disk failed.
    """
    place = folder.with_name(ids.fresh(f"{folder.name}.set-aside"))
    try:
        os.rename(folder, place)
    except OSError as error:
        raise store.storage_error(error, folder) from error
    durable_files.sync_folder(folder.parent)
    logs.event("store-set-aside", level="ERROR", folder=folder, place=place)
    return place


def open_or_set_aside(folder: pathlib.Path, group: str) -> DiskStore:
    """Opens a store; a damaged one is set aside for an empty new one.

    The new one has a fresh incarnation, so the replica rejoins its group as a
    learner and is repaired from its peers.

    Raises:
        errors.StorageError: The disk failed.
    """
    try:
        return DiskStore(folder, group)
    except store.DamagedLogError as error:
        logs.event(
            "store-damaged", level="ERROR", group=group, detail=error.detail
        )
        set_aside(folder)
        return DiskStore(folder, group)
