"""A role's daemon on a machine whose disk fills up and that is suspended.

Started as `daemon.role_main` is. While the file that `full_marker` names is
there, each write to a file leaves half of its bytes and fails with ENOSPC. The
steady clock lacks the seconds that the file of `suspended_marker` holds, which
is read when the process is continued.
"""

import errno
import os
import pathlib
import signal
import sys
import time

LAST_STANDARD = 2
"""The descriptors up to this one are the log's."""


def full_marker(settings: pathlib.Path) -> pathlib.Path:
    """Returns the file that makes the disk of a daemon full."""
    return settings.with_suffix(".full")


def suspended_marker(settings: pathlib.Path) -> pathlib.Path:
    """Returns the file that tells how long a daemon was suspended."""
    return settings.with_suffix(".suspended")


def limit_writes(marker: pathlib.Path) -> None:
    """Has all writes to files fail while `marker` is there."""
    real = os.write

    def write(descriptor: int, raw: bytes) -> int:
        if descriptor > LAST_STANDARD and marker.exists():
            real(descriptor, bytes(raw)[: len(raw) // 2])
            raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))
        return real(descriptor, raw)

    os.write = write


def stop_clock(marker: pathlib.Path) -> None:
    """Has the steady clock leave out the time of suspensions."""
    missing_s = 0.0

    def read_marker(*_: object) -> None:
        nonlocal missing_s
        if marker.exists():
            missing_s = float(marker.read_text())

    def without(clock):
        return lambda: clock() - missing_s

    signal.signal(signal.SIGCONT, read_marker)
    time.monotonic = without(time.monotonic)
    time.perf_counter = without(time.perf_counter)


if __name__ == "__main__":
    settings_file = pathlib.Path(sys.argv[2])
    suspended_marker(settings_file).unlink(missing_ok=True)
    stop_clock(suspended_marker(settings_file))
    limit_writes(full_marker(settings_file))

    # Imported once the clocks are in their place: others take them by name.
    from laburnumsill.daemon import role_main

    role_main.main()
