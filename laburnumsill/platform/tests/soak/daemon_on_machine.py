"""Runs a role's daemon with simulated full disks and VM suspensions.

The arguments are those of `daemon.role_main`. While the file `full_marker`
exists, each write to a file stores half of its bytes and fails with ENOSPC. The
monotonic clock excludes the seconds in the file `suspended_marker`, which is
read when the process receives SIGCONT.
"""

import errno
import os
import pathlib
import signal
import sys
import time

LAST_STANDARD_DESCRIPTOR = 2
"""Last descriptor of the standard streams, which carry the log."""


def full_marker(settings: pathlib.Path) -> pathlib.Path:
    """Returns the file whose existence simulates a full disk of a daemon."""
    return settings.with_suffix(".full")


def suspended_marker(settings: pathlib.Path) -> pathlib.Path:
    """Returns the file with the total suspension time of a daemon."""
    return settings.with_suffix(".suspended")


def simulate_full_disk(marker: pathlib.Path) -> None:
    """Makes all writes to files fail while `marker` exists."""
    real = os.write

    def write(descriptor: int, raw: bytes) -> int:
        if descriptor > LAST_STANDARD_DESCRIPTOR and marker.exists():
            real(descriptor, bytes(raw)[: len(raw) // 2])
            raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))
        return real(descriptor, raw)

    os.write = write


def exclude_suspensions(marker: pathlib.Path) -> None:
    """Makes the monotonic clocks exclude the time of suspensions."""
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
    exclude_suspensions(suspended_marker(settings_file))
    simulate_full_disk(full_marker(settings_file))

    # Imported after the clocks are replaced, since modules bind them by name.
    from laburnumsill.daemon import role_main

    role_main.main()
