"""The store of a replica: its term, vote, log and snapshot.

The host commits the changes of the engine's outputs in order. It sends the
messages that depend on a change only after `commit` has returned.
"""

import abc
import dataclasses
import errno
from collections import abc as collections_abc

from laburnumsill.consensus import types
from laburnumsill.core import errors
from laburnumsill.core import ids


class DamagedLogError(errors.StorageError):
    """A stored record before the tail does not match its checksum."""

    slug = "damaged-log"
    title = "The stored log is damaged"


class UnknownFormatError(errors.StorageError):
    """A stored file has a format version that this program cannot read."""

    slug = "unknown-log-format"
    title = "The stored log has another format version"


class DiskFullError(errors.StorageError):
    """The data folder has no space left."""

    slug = "disk-full"
    title = "The disk is full"


class SyncFailedError(errors.StorageError):
    """An fsync failed; the content of the file on disk is unknown."""

    slug = "sync-failed"
    title = "A sync failed"


class StoreIoError(errors.StorageError):
    """An I/O error other than a full disk or a failed sync."""

    slug = "store-io"
    title = "The disk failed"


class StoreClosedError(errors.StorageError):
    """The store is closed, or has failed, and accepts no more commits."""

    slug = "store-closed"
    title = "The store is closed"


DISK_FULL_RETRY_S = 0.5
"""Interval between attempts to write to a full disk.

A replica has to take part again within 2 s after space becomes free, and an
attempt costs one sync.
"""

_FULL_ERRNOS = frozenset({errno.ENOSPC, errno.EDQUOT})


def storage_error(error: OSError, where: object) -> errors.StorageError:
    """Returns the storage error for an error of the operating system.

    Args:
        error: The operating system's error.
        where: The file or folder, for the detail text.
    """
    detail = f"{where}: {error.strerror or error!r}"
    if error.errno in _FULL_ERRNOS:
        return DiskFullError(detail)
    return StoreIoError(detail)


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """A change to the stored state; its fields are applied in their order.

    Attributes:
        hard_state: The new term and vote, or None.
        snapshot: A snapshot that replaces the log up to its index, or None.
        keep_tail: Whether to keep the entries after the snapshot. True for a
            snapshot taken by this replica; False for one installed by a
            leader whose log does not match this replica's.
        entries: Entries to append. An entry at or below the last index
            replaces the entry at its index and truncates all after it.
    """

    hard_state: types.HardState | None = None
    snapshot: types.Snapshot | None = None
    keep_tail: bool = True
    entries: tuple[types.Entry, ...] = ()

    @property
    def can_be_skipped(self) -> bool:
        """True if the change is only a snapshot taken by this replica.

        The log still holds the entries that such a snapshot covers.
        """
        return (
            self.snapshot is not None
            and self.keep_tail
            and self.hard_state is None
            and not self.entries
        )

    @property
    def is_empty(self) -> bool:
        """True if the change stores nothing."""
        return (
            self.hard_state is None
            and self.snapshot is None
            and not self.entries
        )


def batches(
    changes: collections_abc.Sequence[Change],
) -> collections_abc.Iterator[list[Change]]:
    """Yields `changes` in batches to commit; a snapshot is a batch of its own.

    A batch is committed again after a full disk. Without a snapshot among its
    changes, the repeated commit cannot append entries that a stored snapshot
    already covers.

    Examples:
        >>> entries = Change(entries=(
        ...     types.Entry(1, 1, types.EntryKind.EMPTY, b""),))
        >>> taken = Change(snapshot=types.Snapshot(
        ...     1, 1, types.Membership(()), b""))
        >>> list(map(len, batches([entries, entries, taken, entries])))
        [2, 1, 1]
    """
    batch: list[Change] = []
    for change in changes:
        if change.snapshot is not None:
            if batch:
                yield batch
            yield [change]
            batch = []
        else:
            batch.append(change)
    if batch:
        yield batch


class ReplicaStore(abc.ABC):
    """Stores the state of one replica of one group."""

    @property
    @abc.abstractmethod
    def stored(self) -> types.StoredState:
        """The state that was read when the store was opened."""

    @property
    @abc.abstractmethod
    def with_disk(self) -> bool:
        """True if `commit` syncs to a disk and so needs a worker thread."""

    @property
    @abc.abstractmethod
    def log_bytes(self) -> int:
        """Size of the log since the last snapshot, in bytes."""

    @abc.abstractmethod
    def commit(self, changes: collections_abc.Sequence[Change]) -> None:
        """Stores `changes` durably in their order, with one sync if possible.

        Calls must not overlap. With a disk, the call runs in a worker thread.

        Raises:
            DiskFullError: Some or none of `changes` are stored. Once there is
                space, the same changes may be committed again, before any
                others; a snapshot taken by this replica may be skipped.
            errors.StorageError: The disk failed; the process must exit.
        """

    @abc.abstractmethod
    def close(self) -> None:
        """Closes the store; committed changes stay stored."""


def is_fresh(stored: types.StoredState) -> bool:
    """Returns whether a store holds no state besides its incarnation."""
    return (
        stored.hard_state == types.HardState()
        and stored.snapshot is None
        and not stored.entries
    )


class MemoryStore(ReplicaStore):
    """The store of a VM without a disk; each start is a new incarnation.

    The engine holds the log in memory, so this store only counts its size.

    Examples:
        >>> store = MemoryStore()
        >>> is_fresh(store.stored)
        True
    """

    def __init__(self) -> None:
        self._stored = types.StoredState(
            ids.fresh("r"), types.HardState(), None, ()
        )
        self._log_bytes = 0

    @property
    def stored(self) -> types.StoredState:
        """The empty state of a new incarnation."""
        return self._stored

    @property
    def with_disk(self) -> bool:
        """False: `commit` neither syncs nor blocks."""
        return False

    @property
    def log_bytes(self) -> int:
        """Bytes of entry data appended since the last snapshot."""
        return self._log_bytes

    def commit(self, changes: collections_abc.Sequence[Change]) -> None:
        """Adds the entry data of `changes` to the size of the log."""
        for change in changes:
            if change.snapshot is not None:
                self._log_bytes = 0
            self._log_bytes += sum(len(e.data) for e in change.entries)

    def close(self) -> None:
        """Does nothing."""
