"""Durable file operations.

A write is durable once its file has been synced, and a file name once its
folder has been synced. Data that was written but not synced can be read from
the operating system's cache, also after the writing process was killed, and
may be gone after a power loss.
"""

import contextlib
import os
import pathlib
from collections import abc

from laburnumsill.consensus import store
from laburnumsill.core import errors

TEMPORARY_SUFFIX = ".new"
"""Suffix of files that are being written; one left by a crash is discarded."""


def write_all(descriptor: int, raw: bytes, path: pathlib.Path) -> None:
    """Writes all of `raw` to the open file at `path`.

    Raises:
        errors.StorageError: The disk is full or failed.
    """
    view = memoryview(raw)
    try:
        while view:
            view = view[os.write(descriptor, view) :]
    except OSError as error:
        raise store.storage_error(error, path) from error


def write_file(path: pathlib.Path, parts: abc.Iterable[bytes]) -> None:
    """Writes a file atomically: under a temporary name, synced, then renamed.

    Raises:
        errors.StorageError: The disk is full or failed.
    """
    temporary = path.with_name(path.name + TEMPORARY_SUFFIX)
    try:
        _write_temporary(temporary, parts)
        os.replace(temporary, path)
    except OSError as error:
        _remove(temporary)
        raise store.storage_error(error, temporary) from error
    except store.DiskFullError:
        _remove(temporary)
        raise
    sync_folder(path.parent)


def _write_temporary(
    temporary: pathlib.Path, parts: abc.Iterable[bytes]
) -> None:
    descriptor = os.open(
        temporary, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o600
    )
    try:
        for part in parts:
            write_all(descriptor, part, temporary)
        sync(descriptor, temporary)
    finally:
        os.close(descriptor)


def _remove(temporary: pathlib.Path) -> None:
    """Removes an incomplete file to free its space; ignores errors."""
    with contextlib.suppress(OSError):
        temporary.unlink(missing_ok=True)


def sync(descriptor: int, path: pathlib.Path) -> None:
    """Syncs the data of an open file to the disk.

    Raises:
        store.DiskFullError: Delayed allocation found no space.
        store.SyncFailedError: The content of the file on disk is unknown.
    """
    try:
        os.fdatasync(descriptor)
    except OSError as error:
        raise _sync_error(error, path) from error


def _sync_error(error: OSError, path: pathlib.Path) -> errors.StorageError:
    failure = store.storage_error(error, path)
    if isinstance(failure, store.DiskFullError):
        return failure
    return store.SyncFailedError(failure.detail)


def truncate_open(descriptor: int, size: int, path: pathlib.Path) -> None:
    """Truncates an open file to `size` bytes and syncs it.

    Raises:
        store.DiskFullError: The disk is too full to sync the truncation.
        store.SyncFailedError: The content of the file on disk is unknown.
    """
    try:
        os.ftruncate(descriptor, size)
        os.fsync(descriptor)
    except OSError as error:
        raise _sync_error(error, path) from error


def rewrite(path: pathlib.Path, raw: bytes, offset: int) -> None:
    """Writes `raw` over the same bytes at `offset` and syncs the file.

    After a failed sync the system may have marked pages clean that it did not
    write; a later sync writes them only if they are written anew.

    Raises:
        errors.StorageError: The disk is full or failed.
    """
    with _opened(path, os.O_WRONLY) as descriptor:
        os.lseek(descriptor, offset, os.SEEK_SET)
        write_all(descriptor, raw, path)
        sync(descriptor, path)


def truncate(path: pathlib.Path, size: int) -> None:
    """Truncates a file to `size` bytes and syncs it.

    Raises:
        errors.StorageError: The disk failed.
    """
    with _opened(path, os.O_WRONLY) as descriptor:
        truncate_open(descriptor, size, path)


def make_folder(folder: pathlib.Path) -> None:
    """Creates a folder and its missing parents, and syncs their names.

    The two nearest parents are synced even if they exist already: the process
    that created the folders may have been killed before it synced them.

    Raises:
        errors.StorageError: The disk is full or failed.
    """
    missing = [path for path in folder.parents if not path.exists()]
    try:
        folder.mkdir(parents=True, exist_ok=True)
    except OSError as error:
        raise store.storage_error(error, folder) from error
    nearest = (folder.parent, folder.parent.parent)
    for parent in {*nearest, *(path.parent for path in missing)}:
        sync_folder(parent)


def sync_folder(folder: pathlib.Path) -> None:
    """Syncs the names in a folder to the disk.

    Raises:
        errors.StorageError: The disk failed.
    """
    with _opened(folder, os.O_RDONLY | os.O_DIRECTORY) as descriptor:
        try:
            os.fsync(descriptor)
        except OSError as error:
            raise _sync_error(error, folder) from error


@contextlib.contextmanager
def _opened(path: pathlib.Path, flags: int) -> abc.Iterator[int]:
    """Yields a descriptor of an existing file or folder.

    Raises:
        errors.StorageError: The file or folder cannot be opened.
    """
    try:
        descriptor = os.open(path, flags)
    except OSError as error:
        raise store.storage_error(error, path) from error
    try:
        yield descriptor
    finally:
        os.close(descriptor)
