"""A disk that forgets what was not synced when its power is lost.

Files live in a real folder, which plays the part of the operating system's
cache: a process that is killed finds everything there again. Beside it stands
what the disk holds: the content of each file at its last sync, and the names
of each folder at its last sync. A loss of power makes the folder show that; of
the later writes each is there, missing or torn, whatever became of those before
it, and of the names each is the old or the new one.

A process that is killed in a write leaves half of its bytes. A disk that is
full refuses what changes it: a write leaves half of its bytes too, and a sync
gives up what it could not write, as one that fails does. The cache shows that
still, and no later sync writes it, unless it is written anew.
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

KEPT_SHARES = (0.0, 0.5, 1.0)
"""Of a write after a sync: missing, torn or present."""

ALL_MISSING = 0.3
"""How often all writes after the syncs are gone."""


@dataclasses.dataclass(frozen=True, slots=True)
class _Write:
    """A write that no sync has covered."""

    offset: int
    raw: bytes


@contextlib.contextmanager
def simulated() -> abc.Iterator["SimulatedDisk"]:
    """Yields a disk below an empty folder; both are gone afterwards."""
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
    """Ends a process in the middle of what it does."""


class SimulatedDisk:
    """The disk below one folder.

    Args:
        root: The folder, which exists and is empty.
        lost: Another one, for folders whose names are lost.
        monkeypatch: Takes the place of the system calls.

    Attributes:
        root: The folder.
        atomic_renames: Whether a name that was given to another file shows
            the old file or the new one after a loss of power. Otherwise it
            may be gone, too.
    """

    def __init__(
        self,
        root: pathlib.Path,
        lost: pathlib.Path,
        monkeypatch: pytest.MonkeyPatch,
    ) -> None:
        self.root = root
        self.atomic_renames = True
        self._lost = lost
        self._calls_left: int | None = None
        self._full_after: int | None = None
        self._syncs_fail = False
        self._given_up: dict[int, tuple[int, int]] = {}
        self._writes: dict[int, list[_Write]] = {}
        self._synced: dict[int, bytes] = {}
        self._names: dict[pathlib.Path, dict[str, int]] = {root: {}}
        self._open: dict[int, int] = {}
        self._real_sync = os.fsync
        self._real_open = os.open
        self._real_write = os.write
        for name in ("replace", "rename", "unlink", "mkdir"):
            self._count(monkeypatch, name)
        self._count(monkeypatch, "write", self._before_write)
        self._count(monkeypatch, "ftruncate", self._before_cut)
        monkeypatch.setattr(os, "fsync", self._sync)
        monkeypatch.setattr(os, "fdatasync", self._sync)

    def kill_after(self, calls: int) -> None:
        """Kills the process at the call after so many to the system."""
        self._calls_left = calls

    def fill_after(self, calls: int) -> None:
        """Takes nothing from the call after so many on."""
        self._full_after = calls

    def make_room(self) -> None:
        """Takes everything again."""
        self._full_after = None

    def fail_next_sync(self) -> None:
        """Has the next sync of a file fail with an error of the disk."""
        self._syncs_fail = True

    def restart(self) -> None:
        """Lets the next process work undisturbed."""
        self._calls_left = None

    def close(self) -> None:
        """Closes the files that are kept open."""
        for descriptor in self._open.values():
            os.close(descriptor)
        self._open = {}

    def lose_power(self, source: random.Random) -> None:
        """Shows what the disk holds after a loss of power."""
        self.restart()
        full_after, self._full_after = self._full_after, None
        folders = self._folders()
        contents = {
            inode: self._after_loss(inode, source)
            for inode in self._inodes(folders)
        }
        for folder in sorted(folders, key=lambda path: len(path.parts)):
            if folder.exists():
                self._restore(folder, contents, source)
        self._forget()
        self._full_after = full_after

    def _count(
        self,
        monkeypatch: pytest.MonkeyPatch,
        name: str,
        before: abc.Callable[..., None] = lambda *_: None,
    ) -> None:
        real = getattr(os, name)

        def counted(*args, **kwargs):
            self._note_names()
            if name == "write" and self._calls_left == 0:
                self._write_half(*args)
            self._pass_call()
            before(*args)
            self._refuse_if_full()
            return real(*args, **kwargs)

        monkeypatch.setattr(os, name, counted)

    def _pass_call(self) -> None:
        if self._calls_left is None:
            return
        if self._calls_left == 0:
            raise ProcessKilled
        self._calls_left -= 1

    @property
    def _is_full(self) -> bool:
        return self._full_after == 0

    def _refuse_if_full(self) -> None:
        if self._is_full:
            raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))
        if self._full_after is not None:
            self._full_after -= 1

    def _before_write(self, descriptor: int, raw: bytes) -> None:
        if self._is_full:
            self._write_half(descriptor, raw)
        else:
            self._note_write(descriptor, raw)

    def _write_half(self, descriptor: int, raw: bytes) -> None:
        raw = bytes(raw)[: len(raw) // 2]
        self._note_write(descriptor, raw)
        self._real_write(descriptor, raw)

    def _note_write(self, descriptor: int, raw: bytes) -> None:
        start = os.lseek(descriptor, 0, os.SEEK_CUR)
        if fcntl.fcntl(descriptor, fcntl.F_GETFL) & os.O_APPEND:
            start = os.fstat(descriptor).st_size
        inode = os.fstat(descriptor).st_ino
        write = _Write(start, bytes(raw))
        self._writes.setdefault(inode, []).append(write)
        first, last = self._given_up.pop(inode, (0, 0))
        if start <= first:
            first = max(first, start + len(raw))
        if first < last:
            self._given_up[inode] = (first, last)

    def _before_cut(self, descriptor: int, size: int) -> None:
        inode = os.fstat(descriptor).st_ino
        first, last = self._given_up.get(inode, (0, 0))
        if self._is_full:
            return
        self._given_up.pop(inode, None)
        if first < min(last, size):
            self._given_up[inode] = (first, min(last, size))

    def _give_up(self, inode: int) -> None:
        """Forgets what a failed sync should have written."""
        size = len(self._content(inode))
        synced = len(self._synced.get(inode, b""))
        first, last = self._given_up.get(inode, (synced, size))
        if synced < size:
            self._given_up[inode] = (min(first, synced), max(last, size))

    def _sync(self, descriptor: int) -> None:
        self._note_names()
        self._pass_call()
        found = os.fstat(descriptor)
        if stat.S_ISDIR(found.st_mode):
            folder = pathlib.Path(os.readlink(f"/proc/self/fd/{descriptor}"))
            self._refuse_if_full()
            self._names[folder] = self._present(folder)
            return
        if self._is_full or self._syncs_fail:
            self._give_up(found.st_ino)
        self._refuse_if_full()
        if self._syncs_fail:
            self._syncs_fail = False
            raise OSError(errno.EIO, os.strerror(errno.EIO))
        content = bytearray(self._content(found.st_ino))
        first, last = self._given_up.get(found.st_ino, (0, 0))
        content[first:last] = bytes(last - first)
        self._synced[found.st_ino] = bytes(content)
        self._writes.pop(found.st_ino, None)
        self._note_new_file(found.st_ino)

    def _note_new_file(self, inode: int) -> None:
        """A new file's first name is durable with its own first sync."""
        if any(inode in names.values() for names in self._names.values()):
            return
        for folder in self._folders():
            for name, number in self._present(folder).items():
                if number == inode:
                    self._names.setdefault(folder, {})[name] = inode

    def _note_names(self) -> None:
        """Keeps each file open, so that its number is not used again."""
        for folder in self._folders():
            for name, inode in self._present(folder).items():
                path = folder / name
                if inode not in self._open and not path.is_dir():
                    self._open[inode] = self._real_open(path, os.O_RDONLY)

    def _folders(self) -> list[pathlib.Path]:
        found = sorted(p for p in self.root.rglob("*") if p.is_dir())
        return [self.root, *found]

    def _present(self, folder: pathlib.Path) -> dict[str, int]:
        paths = sorted(folder.iterdir())
        return {path.name: path.stat().st_ino for path in paths}

    def _content(self, inode: int) -> bytes:
        descriptor = self._open[inode]
        return os.pread(descriptor, os.fstat(descriptor).st_size, 0)

    def _inodes(self, folders: list[pathlib.Path]) -> list[int]:
        """Returns the files that have a name, in the order they were made."""
        named = {i for names in self._names.values() for i in names.values()}
        seen = {i for f in folders for i in self._present(f).values()}
        return [inode for inode in self._open if inode in named | seen]

    def _after_loss(self, inode: int, source: random.Random) -> bytes:
        """Returns the synced content and a part of what came after it."""
        synced = self._synced.get(inode, b"")
        size = len(self._content(inode))
        if size < len(synced):
            return source.choice((synced, synced[:size]))
        found = bytearray(synced)
        if source.random() < ALL_MISSING:
            return bytes(found)
        for write in self._writes.get(inode, ()):
            kept = int(len(write.raw) * source.choice(KEPT_SHARES))
            if not kept:
                continue
            found += bytes(max(0, write.offset - len(found)))
            found[write.offset : write.offset + kept] = write.raw[:kept]
        first, last = self._given_up.get(inode, (0, 0))
        found[first:last] = bytes(len(found[first:last]))
        return bytes(found[:size])

    def _restore(
        self,
        folder: pathlib.Path,
        contents: dict[int, bytes],
        source: random.Random,
    ) -> None:
        durable = self._names.get(folder, {})
        present = self._present(folder)
        kept: dict[str, int] = {}
        for name in sorted(durable.keys() | present.keys()):
            choices = [durable.get(name), present.get(name)]
            if not self.atomic_renames and choices[0] != choices[1]:
                choices.append(None)
            inode = source.choice(choices)
            if inode is not None:
                kept[name] = inode
        for name, inode in present.items():
            path = folder / name
            if inode in contents:
                path.unlink()
            elif kept.get(name) != inode:
                path.rename(self._lost / f"{inode}")
        for name, inode in kept.items():
            if inode in contents:
                (folder / name).write_bytes(contents[inode])

    def _forget(self) -> None:
        """Starts anew from what stands in the folder, all of it durable."""
        self.close()
        self._synced = {}
        self._given_up = {}
        self._writes = {}
        self._names = {}
        self._note_names()
        self._synced = {inode: self._content(inode) for inode in self._open}
        for folder in self._folders():
            self._names[folder] = self._present(folder)
