"""The store of a replica on disk: numbered log segments and a snapshot."""

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
"""Size above which the next batch starts a new segment."""

LOGGED_SEGMENTS = 8
"""Number of the newest segments that the event `store-opened` lists."""


@dataclasses.dataclass(slots=True)
class _Segment:
    """A segment file.

    Attributes:
        number: Segment number.
        path: The file.
        last_index: The highest entry index that was ever written to the file,
            0 if there is none.
        size: Size of the file in bytes.
        synced_size: Size in bytes that the last sync covered.
    """

    number: int
    path: pathlib.Path
    last_index: int
    size: int
    synced_size: int


class DiskStore(store.ReplicaStore):
    """A store that keeps one replica in `folder` and creates it if missing.

    After a write or a sync on a full disk, the active segment may end in a
    part of a batch, and the operating system may have dropped pages that still
    read as written. The next commit therefore first truncates the segment to
    its last synced size and writes the batch start again.

    Args:
        folder: The folder, used by this replica alone.
        group: Name of the group, which is stored in the files.
        segment_bytes: Size above which the next batch starts a new segment.

    Raises:
        store.DamagedLogError: The stored files are damaged.
        store.UnknownFormatError: A file has another format version.
        errors.StorageError: The disk is full or failed.
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
        self._needs_rollback = False
        self._creating_segment = False
        self._batch_number = 0
        self._nonce = b""
        self._segments: list[_Segment] = []
        self._log_bytes = 0
        try:
            self._open()
        except OSError as error:
            raise store.storage_error(error, folder) from error

    @property
    def stored(self) -> types.StoredState:
        """The state that was read when the store was opened."""
        return self._stored

    @property
    def with_disk(self) -> bool:
        """True: `commit` syncs to a disk."""
        return True

    @property
    def log_bytes(self) -> int:
        """Size in bytes of the segments kept since the last snapshot."""
        return self._log_bytes

    def commit(self, changes: abc.Sequence[store.Change]) -> None:
        """Writes and syncs `changes`; see `store.ReplicaStore.commit`."""
        if self._failed or self._descriptor < 0:
            raise store.StoreClosedError(f"{self._folder} is not open")
        try:
            self._commit(changes)
        except OSError as error:
            failure = store.storage_error(error, self._folder)
            self._handle_failure(failure)
            raise failure from error
        except errors.StorageError as error:
            self._handle_failure(error)
            raise

    def close(self) -> None:
        """Closes the active segment."""
        if self._descriptor >= 0:
            os.close(self._descriptor)
            self._descriptor = -1

    def _open(self) -> None:
        durable_files.make_folder(self._folder)
        replayed = store_replay.replay(self._folder, self._group)
        self._log_opened(replayed)
        self._incarnation = replayed.incarnation or ids.fresh("r")
        self._hard_state = replayed.hard_state
        self._stored = types.StoredState(
            self._incarnation,
            replayed.hard_state,
            replayed.snapshot,
            replayed.entries,
            with_disk=True,
        )
        for segment in replayed.segments:
            self._segments.append(
                _Segment(
                    segment.number,
                    segment.path,
                    segment.last_index,
                    segment.size,
                    segment.size,
                )
            )
            self._log_bytes += segment.size
        self._start_segment(replayed.next_number)

    def _handle_failure(self, error: errors.StorageError) -> None:
        """Schedules a rollback after a full disk; other errors are final."""
        if isinstance(error, store.DiskFullError):
            self._needs_rollback = True
        else:
            self._failed = True

    def _roll_back_unsynced(self) -> None:
        """Truncates the active segment to its synced size after a full disk.

        If a new segment was being created, its file may already exist, with
        the hard state at the time of the failure. Replay would let that hard
        state override later records of the older segment, so the new segment
        is created again and the older one gets no more records.
        """
        if not self._needs_rollback:
            return
        active = self._segments[-1]
        durable_files.truncate_open(
            self._descriptor, active.synced_size, active.path
        )
        active.size = active.synced_size
        if self._creating_segment:
            self._start_segment(active.number + 1)
        elif self._batch_number:
            self._start_batch()
        self._needs_rollback = False

    def _log_opened(self, replayed: store_replay.ReplayResult) -> None:
        logs.event(
            "store-opened",
            group=self._group,
            snapshot_index=replayed.snapshot.index if replayed.snapshot else 0,
            segments=",".join(map(str, replayed.segments[-LOGGED_SEGMENTS:])),
            unsynced_entries=sum(
                segment.unsynced_entries for segment in replayed.segments
            ),
        )

    def _commit(self, changes: abc.Sequence[store.Change]) -> None:
        self._roll_back_unsynced()
        if self._segments[-1].size >= self._segment_bytes:
            self._rotate_segment()
        pending: list[bytes] = []
        for change in changes:
            if change.hard_state is not None:
                self._hard_state = change.hard_state
                pending.append(segments.hard_state_record(change.hard_state))
            if change.snapshot is not None:
                self._flush(pending)
                pending = []
                self._save_snapshot(change.snapshot, change.keep_tail)
            for entry in change.entries:
                pending.append(segments.entry_record(entry))
            self._update_last_index(change.entries)
        self._flush(pending)

    def _update_last_index(self, entries: tuple[types.Entry, ...]) -> None:
        if entries:
            active = self._segments[-1]
            active.last_index = max(active.last_index, entries[-1].index)

    def _flush(self, pending: list[bytes]) -> None:
        """Writes the records of the batch, syncs them, starts the next batch.

        Args:
            pending: The encoded records that follow the batch start.
        """
        if not pending:
            return
        self._roll_back_unsynced()
        active = self._segments[-1]
        raw = b"".join(pending)
        durable_files.write_all(self._descriptor, raw, active.path)
        durable_files.sync(self._descriptor, active.path)
        active.size += len(raw)
        active.synced_size = active.size
        self._log_bytes += len(raw)
        self._batch_number += 1
        try:
            self._start_batch()
        except store.DiskFullError:
            # The batch that was just synced is stored all the same.
            self._needs_rollback = True

    def _start_batch(self) -> None:
        """Writes a batch start, which is synced together with its batch."""
        active = self._segments[-1]
        start = segments.batch_start_record(self._nonce, self._batch_number)
        durable_files.write_all(self._descriptor, start, active.path)
        active.size += len(start)
        self._log_bytes += len(start)

    def _rotate_segment(self) -> None:
        """Starts a new segment unless the active one has no batch yet."""
        self._roll_back_unsynced()
        if self._batch_number:
            self._start_segment(self._segments[-1].number + 1)

    def _start_segment(self, number: int) -> None:
        """Creates segment `number` durably and makes it the active one.

        The new file starts with its header, the hard state and a batch start.
        """
        if self._descriptor >= 0:
            # The last batch start was written after the last sync. A power
            # loss could tear it, and replay accepts a torn record in the
            # newest segment only.
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
            + segments.batch_start_record(nonce, 0)
        )
        self._creating_segment = True
        durable_files.write_file(path, (raw,))
        descriptor = os.open(path, os.O_WRONLY | os.O_APPEND)
        self.close()
        self._descriptor = descriptor
        self._nonce = nonce
        self._batch_number = 0
        self._creating_segment = False
        self._segments.append(_Segment(number, path, 0, len(raw), len(raw)))

    def _save_snapshot(self, snapshot: types.Snapshot, keep_tail: bool) -> None:
        """Writes a snapshot, then removes the segments it makes obsolete."""
        self._rotate_segment()
        live = self._segments[-1:]
        if keep_tail:
            live = self._segments_after(snapshot.index)
        header = snapshots.SnapshotHeader(
            self._group,
            self._incarnation,
            snapshot.index,
            snapshot.term,
            snapshot.membership,
            live[0].number,
        )
        snapshots.write(self._folder, header, snapshot.data)
        for segment in self._segments:
            if segment.number < live[0].number:
                segment.path.unlink(missing_ok=True)
        self._segments = live
        self._log_bytes = sum(segment.size for segment in live)

    def _segments_after(self, index: int) -> list[_Segment]:
        """Returns the segments from the first with an entry after `index`.

        If there is none, the list holds the active segment only.
        """
        for position, segment in enumerate(self._segments):
            if segment.last_index > index:
                return self._segments[position:]
        return self._segments[-1:]


def set_aside(folder: pathlib.Path) -> pathlib.Path:
    """Renames the folder of a damaged or retired store; deletes nothing.

    Returns:
        The new path of the folder.

    Raises:
        errors.StorageError: The disk is full or failed.
    """
    target = folder.with_name(ids.fresh(f"{folder.name}.set-aside"))
    try:
        os.rename(folder, target)
    except OSError as error:
        raise store.storage_error(error, folder) from error
    durable_files.sync_folder(folder.parent)
    logs.event("store-set-aside", level="ERROR", folder=folder, place=target)
    return target


def open_or_set_aside(folder: pathlib.Path, group: str) -> DiskStore:
    """Opens a store; a damaged one is set aside and replaced by a new one.

    The new store is empty and has a new incarnation, so the replica rejoins
    its group as a learner and receives the state from its peers.

    Raises:
        store.UnknownFormatError: A file has another format version.
        errors.StorageError: The disk is full or failed.
    """
    try:
        return DiskStore(folder, group)
    except store.DamagedLogError as error:
        logs.event(
            "store-damaged", level="ERROR", group=group, detail=error.detail
        )
        set_aside(folder)
        return DiskStore(folder, group)
