"""A simulated disk that loses unsynced data at a power loss.

Files live in a real folder, which stands for the operating system's cache: it
keeps everything when a process is killed. The simulated disk holds the content
of each file at the file's last sync and the names in each folder at the
folder's last sync. A power loss resets the folder to that state. Each write
after the last sync is then present, missing or torn, independently of the
others, and each name is either the synced one or the newest one.

A process that is killed during a write leaves half of its bytes. On a full
disk, calls that change the disk fail: a write leaves half of its bytes, and a
sync drops the pages it could not write, as does a sync that fails with an I/O
error. Dropped pages can still be read from the cache, but a later sync does not
write them unless they are written again.
"""

import contextlib
import dataclasses
import errno
import fcntl
import os
import pathlib
import random
import stat
import tempfile
from collections import abc

import pytest

SURVIVING_SHARES = (0.0, 0.5, 1.0)
"""Share of an unsynced write that survives: missing, torn or present."""

ALL_LOST_PROBABILITY = 0.3
"""Probability that a file loses all of its unsynced writes."""


@dataclasses.dataclass(frozen=True, slots=True)
class _Write:
    """A write that has not been synced."""

    offset: int
    raw: bytes


@contextlib.contextmanager
def temporary_disk() -> abc.Iterator["SimulatedDisk"]:
    """Yields a simulated disk with an empty root folder, removed afterwards."""
    with (
        tempfile.TemporaryDirectory() as name,
        pytest.MonkeyPatch.context() as patches,
    ):
        data, lost = pathlib.Path(name, "data"), pathlib.Path(name, "lost")
        data.mkdir()
        lost.mkdir()
        disk = SimulatedDisk(data, lost, patches)
        yield disk
        disk.close()


class ProcessKilled(BaseException):
    """Raised by a system call to simulate the kill of the process."""


class SimulatedDisk:
    """A simulated disk that holds one folder.

    Args:
        root: The folder, which exists and is empty.
        lost_folders: Folder to which subfolders are moved when a power loss
            removes their names.
        monkeypatch: Replaces the system calls.

    Attributes:
        root: The folder.
        atomic_renames: Whether a renamed or replaced name refers to the old or
            the new file after a power loss. If false, the name may also be
            missing.
    """

    def __init__(
        self,
        root: pathlib.Path,
        lost_folders: pathlib.Path,
        monkeypatch: pytest.MonkeyPatch,
    ) -> None:
        self.root = root
        self.atomic_renames = True
        self._lost_folders = lost_folders
        self._calls_until_kill: int | None = None
        self._calls_until_full: int | None = None
        self._next_sync_fails = False
        # Keyed by inode, except for the names, which are keyed by folder. A
        # dropped range is the bytes that a failed sync did not write.
        self._dropped: dict[int, tuple[int, int]] = {}
        self._unsynced_writes: dict[int, list[_Write]] = {}
        self._synced_content: dict[int, bytes] = {}
        self._synced_names: dict[pathlib.Path, dict[str, int]] = {root: {}}
        self._descriptors: dict[int, int] = {}
        self._real_sync = os.fsync
        self._real_open = os.open
        self._real_write = os.write
        for name in ("replace", "rename", "unlink", "mkdir"):
            self._intercept(monkeypatch, name)
        self._intercept(monkeypatch, "write", self._before_write)
        self._intercept(monkeypatch, "ftruncate", self._before_truncate)
        monkeypatch.setattr(os, "fsync", self._sync)
        monkeypatch.setattr(os, "fdatasync", self._sync)

    def kill_after(self, calls: int) -> None:
        """Kills the process at the system call after the next `calls`."""
        self._calls_until_kill = calls

    def fill_after(self, calls: int) -> None:
        """Makes the disk full after the next `calls` changing calls."""
        self._calls_until_full = calls

    def free_space(self) -> None:
        """Frees space, so that calls on a full disk succeed again."""
        self._calls_until_full = None

    def fail_next_sync(self) -> None:
        """Makes the next sync of a file fail with an I/O error."""
        self._next_sync_fails = True

    def cancel_kill(self) -> None:
        """Cancels a pending kill, for the next process."""
        self._calls_until_kill = None

    def close(self) -> None:
        """Closes the descriptors of the tracked files."""
        for descriptor in self._descriptors.values():
            os.close(descriptor)
        self._descriptors = {}

    def lose_power(self, rng: random.Random) -> None:
        """Resets the folder to a random state possible after a power loss.

        The disk stays full if it was full.
        """
        self.cancel_kill()
        calls_until_full, self._calls_until_full = self._calls_until_full, None
        folders = self._folders()
        contents = {
            inode: self._content_after_loss(inode, rng)
            for inode in self._inodes(folders)
        }
        for folder in sorted(folders, key=lambda path: len(path.parts)):
            if folder.exists():
                self._restore_names(folder, contents, rng)
        self._reset()
        self._calls_until_full = calls_until_full

    def _intercept(
        self,
        monkeypatch: pytest.MonkeyPatch,
        name: str,
        hook: abc.Callable[..., None] = lambda *_: None,
    ) -> None:
        real = getattr(os, name)

        def intercepted(*args, **kwargs):
            self._track_files()
            if name == "write" and self._calls_until_kill == 0:
                self._write_half(*args)
            self._count_call()
            hook(*args)
            self._refuse_if_full()
            return real(*args, **kwargs)

        monkeypatch.setattr(os, name, intercepted)

    def _count_call(self) -> None:
        if self._calls_until_kill is None:
            return
        if self._calls_until_kill == 0:
            raise ProcessKilled
        self._calls_until_kill -= 1

    @property
    def _is_full(self) -> bool:
        return self._calls_until_full == 0

    def _refuse_if_full(self) -> None:
        if self._is_full:
            raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))
        if self._calls_until_full is not None:
            self._calls_until_full -= 1

    def _before_write(self, descriptor: int, raw: bytes) -> None:
        if self._is_full:
            self._write_half(descriptor, raw)
        else:
            self._record_write(descriptor, raw)

    def _write_half(self, descriptor: int, raw: bytes) -> None:
        raw = bytes(raw)[: len(raw) // 2]
        self._record_write(descriptor, raw)
        self._real_write(descriptor, raw)

    def _record_write(self, descriptor: int, raw: bytes) -> None:
        start = os.lseek(descriptor, 0, os.SEEK_CUR)
        if fcntl.fcntl(descriptor, fcntl.F_GETFL) & os.O_APPEND:
            start = os.fstat(descriptor).st_size
        inode = os.fstat(descriptor).st_ino
        write = _Write(start, bytes(raw))
        self._unsynced_writes.setdefault(inode, []).append(write)
        first, last = self._dropped.pop(inode, (0, 0))
        if start <= first:
            first = max(first, start + len(raw))
        if first < last:
            self._dropped[inode] = (first, last)

    def _before_truncate(self, descriptor: int, size: int) -> None:
        inode = os.fstat(descriptor).st_ino
        first, last = self._dropped.get(inode, (0, 0))
        if self._is_full:
            return
        self._dropped.pop(inode, None)
        if first < min(last, size):
            self._dropped[inode] = (first, min(last, size))

    def _drop_unsynced(self, inode: int) -> None:
        """Marks the unsynced bytes of a file as dropped by a failed sync."""
        size = len(self._content(inode))
        synced = len(self._synced_content.get(inode, b""))
        first, last = self._dropped.get(inode, (synced, size))
        if synced < size:
            self._dropped[inode] = (min(first, synced), max(last, size))

    def _sync(self, descriptor: int) -> None:
        self._track_files()
        self._count_call()
        info = os.fstat(descriptor)
        if stat.S_ISDIR(info.st_mode):
            folder = pathlib.Path(os.readlink(f"/proc/self/fd/{descriptor}"))
            self._refuse_if_full()
            self._synced_names[folder] = self._current_names(folder)
            return
        if self._is_full or self._next_sync_fails:
            self._drop_unsynced(info.st_ino)
        self._refuse_if_full()
        if self._next_sync_fails:
            self._next_sync_fails = False
            raise OSError(errno.EIO, os.strerror(errno.EIO))
        content = bytearray(self._content(info.st_ino))
        first, last = self._dropped.get(info.st_ino, (0, 0))
        content[first:last] = bytes(last - first)
        self._synced_content[info.st_ino] = bytes(content)
        self._unsynced_writes.pop(info.st_ino, None)
        self._sync_first_name(info.st_ino)

    def _sync_first_name(self, inode: int) -> None:
        """Makes the first name of a file durable with the file's first sync."""
        if any(
            inode in names.values() for names in self._synced_names.values()
        ):
            return
        for folder in self._folders():
            for name, number in self._current_names(folder).items():
                if number == inode:
                    self._synced_names.setdefault(folder, {})[name] = inode

    def _track_files(self) -> None:
        """Opens each file, so that its inode number is not reused."""
        for folder in self._folders():
            for name, inode in self._current_names(folder).items():
                path = folder / name
                if inode not in self._descriptors and not path.is_dir():
                    self._descriptors[inode] = self._real_open(
                        path, os.O_RDONLY
                    )

    def _folders(self) -> list[pathlib.Path]:
        subfolders = sorted(p for p in self.root.rglob("*") if p.is_dir())
        return [self.root, *subfolders]

    def _current_names(self, folder: pathlib.Path) -> dict[str, int]:
        paths = sorted(folder.iterdir())
        return {path.name: path.stat().st_ino for path in paths}

    def _content(self, inode: int) -> bytes:
        descriptor = self._descriptors[inode]
        return os.pread(descriptor, os.fstat(descriptor).st_size, 0)

    def _inodes(self, folders: list[pathlib.Path]) -> list[int]:
        """Returns the inodes that have a name, in the order of creation."""
        named = {
            i for names in self._synced_names.values() for i in names.values()
        }
        seen = {i for f in folders for i in self._current_names(f).values()}
        return [inode for inode in self._descriptors if inode in named | seen]

    def _content_after_loss(self, inode: int, rng: random.Random) -> bytes:
        """Returns the synced content with a random part of later writes."""
        synced = self._synced_content.get(inode, b"")
        size = len(self._content(inode))
        if size < len(synced):
            return rng.choice((synced, synced[:size]))
        content = bytearray(synced)
        if rng.random() < ALL_LOST_PROBABILITY:
            return bytes(content)
        for write in self._unsynced_writes.get(inode, ()):
            length = int(len(write.raw) * rng.choice(SURVIVING_SHARES))
            if not length:
                continue
            content += bytes(max(0, write.offset - len(content)))
            content[write.offset : write.offset + length] = write.raw[:length]
        first, last = self._dropped.get(inode, (0, 0))
        content[first:last] = bytes(len(content[first:last]))
        return bytes(content[:size])

    def _restore_names(
        self,
        folder: pathlib.Path,
        contents: dict[int, bytes],
        rng: random.Random,
    ) -> None:
        durable = self._synced_names.get(folder, {})
        present = self._current_names(folder)
        restored: dict[str, int] = {}
        for name in sorted(durable.keys() | present.keys()):
            choices = [durable.get(name), present.get(name)]
            if not self.atomic_renames and choices[0] != choices[1]:
                choices.append(None)
            inode = rng.choice(choices)
            if inode is not None:
                restored[name] = inode
        for name, inode in present.items():
            path = folder / name
            if inode in contents:
                path.unlink()
            elif restored.get(name) != inode:
                path.rename(self._lost_folders / f"{inode}")
        for name, inode in restored.items():
            if inode in contents:
                (folder / name).write_bytes(contents[inode])

    def _reset(self) -> None:
        """Makes everything in the folder durable, as the new initial state."""
        self.close()
        self._synced_content = {}
        self._dropped = {}
        self._unsynced_writes = {}
        self._synced_names = {}
        self._track_files()
        self._synced_content = {
            inode: self._content(inode) for inode in self._descriptors
        }
        for folder in self._folders():
            self._synced_names[folder] = self._current_names(folder)
