"""Files that outlive a loss of power.

A write lasts once its file has been synced, a name once its folder has. What
a file shows before that may be gone after a loss of power, also to a process
that has only read it.
"""

import contextlib
import os
import pathlib
from collections import abc

from laburnumsill.consensus import store
from laburnumsill.core import errors

ASIDE_SUFFIX = ".new"
"""Of files that are still being written; left by a crash, they are void."""


def write_all(descriptor: int, raw: bytes, path: pathlib.Path) -> None:
    """Writes all of `raw`.

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
    """Makes a file appear under its name whole and synced, or not at all.

    Raises:
        errors.StorageError: The disk is full or failed.
    """
    aside = path.with_name(path.name + ASIDE_SUFFIX)
    try:
        _write_aside(aside, parts)
        os.replace(aside, path)
    except OSError as error:
        _remove(aside)
        raise store.storage_error(error, aside) from error
    except store.DiskFullError:
        _remove(aside)
        raise
    sync_folder(path.parent)


def _write_aside(aside: pathlib.Path, parts: abc.Iterable[bytes]) -> None:
    descriptor = os.open(aside, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o600)
    try:
        for part in parts:
            write_all(descriptor, part, aside)
        sync(descriptor, aside)
    finally:
        os.close(descriptor)


def _remove(aside: pathlib.Path) -> None:
    """Frees the room of a file that was not finished, if that can be done."""
    with contextlib.suppress(OSError):
        aside.unlink(missing_ok=True)


def sync(descriptor: int, path: pathlib.Path) -> None:
    """Waits until the data of a file is on the disk.

    Raises:
        store.DiskFullError: Delayed allocation found no space.
        store.SyncFailedError: What the file holds is unknown now.
    """
    try:
        os.fdatasync(descriptor)
    except OSError as error:
        raise _sync_error(error, path) from error


def _sync_error(error: OSError, path: pathlib.Path) -> errors.StorageError:
    typed = store.storage_error(error, path)
    if isinstance(typed, store.DiskFullError):
        return typed
    return store.SyncFailedError(typed.detail)


def cut(descriptor: int, size: int, path: pathlib.Path) -> None:
    """Cuts an open file to `size` bytes and syncs it.

    Raises:
        store.DiskFullError: There was no room even for that.
        store.SyncFailedError: What the file holds is unknown now.
    """
    try:
        os.ftruncate(descriptor, size)
        os.fsync(descriptor)
    except OSError as error:
        raise _sync_error(error, path) from error


def write_again(path: pathlib.Path, raw: bytes, offset: int) -> None:
    """Writes what a file holds at `offset` once more, and syncs the file.

    Raises:
        errors.StorageError: The disk is full or failed.
    """
    with _opened(path, os.O_WRONLY) as descriptor:
        os.lseek(descriptor, offset, os.SEEK_SET)
        write_all(descriptor, raw, path)
        sync(descriptor, path)


def truncate(path: pathlib.Path, size: int) -> None:
    """Cuts a file to `size` bytes and syncs it.

    Raises:
        errors.StorageError: The disk failed.
    """
    with _opened(path, os.O_WRONLY) as descriptor:
        cut(descriptor, size, path)


def make_folder(folder: pathlib.Path) -> None:
    """Makes a folder and those above it that are missing, names synced.

    The folder above and the one above that are synced even if they were
    there: the process that made them may have been killed before it did.

    Raises:
        errors.StorageError: The disk is full or failed.
    """
    missing = [path for path in folder.parents if not path.exists()]
    try:
        folder.mkdir(parents=True, exist_ok=True)
    except OSError as error:
        raise store.storage_error(error, folder) from error
    unsure = (folder.parent, folder.parent.parent)
    for parent in {*unsure, *(path.parent for path in missing)}:
        sync_folder(parent)


def sync_folder(folder: pathlib.Path) -> None:
    """Waits until the names in a folder are on the disk.

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
    """Yields the descriptor of a file or folder that is there.

    Raises:
        errors.StorageError: It cannot be opened.
    """
    try:
        descriptor = os.open(path, flags)
    except OSError as error:
        raise store.storage_error(error, path) from error
    try:
        yield descriptor
    finally:
        os.close(descriptor)
