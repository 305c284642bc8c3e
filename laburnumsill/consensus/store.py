"""What a replica keeps: term, vote, log and snapshot, on a disk or not.

The host hands a store the changes of the engine's outputs in their order and
sends nothing that promises them before `commit` has returned.
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
    """A stored file has a format version that this program lacks."""

    slug = "unknown-log-format"
    title = "The stored log has another format version"


class DiskFullError(errors.StorageError):
    """The data folder has no space left."""

    slug = "disk-full"
    title = "The disk is full"


class SyncFailedError(errors.StorageError):
    """The operating system could not sync a file; its content is unknown."""

    slug = "sync-failed"
    title = "A sync failed"


class StoreIoError(errors.StorageError):
    """Another failure of the disk."""

    slug = "store-io"
    title = "The disk failed"


class StoreClosedError(errors.StorageError):
    """The store failed before, or was closed, and takes nothing more."""

    slug = "store-closed"
    title = "The store is closed"


RETRY_S = 0.5
"""Pause between tries to write to a full disk, in seconds: a replica has to
take part again within 2 s of there being room, and a try takes one sync."""

_FULL_ERRNOS = frozenset({errno.ENOSPC, errno.EDQUOT})


def storage_error(error: OSError, where: object) -> errors.StorageError:
    """Returns the typed form of an error of the operating system."""
    detail = f"{where}: {error.strerror or error!r}"
    if error.errno in _FULL_ERRNOS:
        return DiskFullError(detail)
    return StoreIoError(detail)


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """One step of what is to be kept, in the order of an `Output`.

    Attributes:
        hard_state: A new term or vote, or None.
        snapshot: A snapshot that stands for the log up to its index, or None.
        keep_tail: Whether the entries after the snapshot stay; they do when
            it was taken here, and go when it came from a leader whose log
            this replica did not match.
        entries: Entries to append; one at or below the last index replaces
            that one and all after it.
    """

    hard_state: types.HardState | None = None
    snapshot: types.Snapshot | None = None
    keep_tail: bool = True
    entries: tuple[types.Entry, ...] = ()

    @property
    def may_be_left_out(self) -> bool:
        """Whether it is a snapshot taken here, and the log holds as much."""
        return (
            self.snapshot is not None
            and self.keep_tail
            and self.hard_state is None
            and not self.entries
        )

    @property
    def is_empty(self) -> bool:
        """Whether nothing is to be kept."""
        return (
            self.hard_state is None
            and self.snapshot is None
            and not self.entries
        )


def batches(
    changes: collections_abc.Sequence[Change],
) -> collections_abc.Iterator[list[Change]]:
    """Yields `changes` in order, those with a snapshot alone.

    So what is committed again after a full disk never brings entries back
    from before a snapshot that was kept.

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
    """Keeps the state of one replica of one group."""

    @property
    @abc.abstractmethod
    def stored(self) -> types.Stored:
        """What was found when the store was opened."""

    @property
    @abc.abstractmethod
    def with_disk(self) -> bool:
        """Whether `commit` syncs to a disk, and so must not block the loop."""

    @property
    @abc.abstractmethod
    def log_bytes(self) -> int:
        """The size of the log since the last snapshot, in bytes."""

    @abc.abstractmethod
    def commit(self, changes: collections_abc.Sequence[Change]) -> None:
        """Keeps `changes` in their order, with one sync where it can.

        Calls never overlap; with a disk it runs in a worker thread.

        Raises:
            DiskFullError: Some or none of `changes` are kept. Once there is
                room the same changes may be committed again, before others;
                a snapshot that was taken here may be left out.
            errors.StorageError: The disk failed; the process must not go on.
        """

    @abc.abstractmethod
    def close(self) -> None:
        """Ends the use of the store; what was committed stays."""


def is_fresh(stored: types.Stored) -> bool:
    """Returns whether a store holds nothing but its incarnation."""
    return (
        stored.hard_state == types.HardState()
        and stored.snapshot is None
        and not stored.entries
    )


class MemoryStore(ReplicaStore):
    """The store of a VM without a disk; each start is a new incarnation.

    The engine holds the log, so nothing is kept here but its size.

    Examples:
        >>> store = MemoryStore()
        >>> is_fresh(store.stored)
        True
    """

    def __init__(self) -> None:
        self._stored = types.Stored(ids.fresh("r"), types.HardState(), None, ())
        self._log_bytes = 0

    @property
    def stored(self) -> types.Stored:
        """An empty state under a new incarnation."""
        return self._stored

    @property
    def with_disk(self) -> bool:
        """False."""
        return False

    @property
    def log_bytes(self) -> int:
        """The bytes of data appended since the last snapshot."""
        return self._log_bytes

    def commit(self, changes: collections_abc.Sequence[Change]) -> None:
        """Counts the bytes of the log."""
        for change in changes:
            if change.snapshot is not None:
                self._log_bytes = 0
            self._log_bytes += sum(len(e.data) for e in change.entries)

    def close(self) -> None:
        """Does nothing."""
