"""A role's daemon whose disk is full as long as a file says so.

Started as `daemon.role_main` is. While the file that `full_marker` names is
there, each write to a file leaves half of its bytes and fails with ENOSPC.
"""

import errno
import os
import pathlib
import sys

from laburnumsill.daemon import role_main

LAST_STANDARD = 2
"""The descriptors up to this one are the log's."""


def full_marker(settings: pathlib.Path) -> pathlib.Path:
    """Returns the file that makes the disk of a daemon full."""
    return settings.with_suffix(".full")


def limit_writes(marker: pathlib.Path) -> None:
    """Has all writes to files fail while `marker` is there."""
    real = os.write

    def write(descriptor: int, raw: bytes) -> int:
        if descriptor > LAST_STANDARD and marker.exists():
            real(descriptor, bytes(raw)[: len(raw) // 2])
            raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))
        return real(descriptor, raw)

    os.write = write


if __name__ == "__main__":
    limit_writes(full_marker(pathlib.Path(sys.argv[2])))
    role_main.main()
