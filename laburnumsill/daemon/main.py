"""The daemon's program: `laburnumsilld --settings FILE`.

Exit codes: 0 after a graceful shutdown, 1 after a failure that it must not
go on from, such as a failed disk, 2 for bad settings or arguments.
"""

import argparse
import pathlib
import sys

import trio

from laburnumsill.core import errors
from laburnumsill.core import logs
from laburnumsill.daemon import assembly
from laburnumsill.daemon import settings

EXIT_FAILED = 1
EXIT_BAD_SETTINGS = 2


def main() -> None:
    """Reads the settings and runs the daemon until it is told to stop."""
    parser = argparse.ArgumentParser(
        prog="laburnumsilld", description="One daemon of laburnumsill."
    )
    parser.add_argument(
        "--settings",
        type=pathlib.Path,
        required=True,
        help="TOML file with this VM's addresses, failure domain and peers",
    )
    arguments = parser.parse_args()
    sys.exit(run(arguments.settings))


def run(settings_file: pathlib.Path) -> int:
    """Runs one daemon and returns its exit code."""
    try:
        loaded = settings.load(settings_file)
    except errors.LaburnumsillError as error:
        print(f"laburnumsilld: {error.detail}", file=sys.stderr)
        return EXIT_BAD_SETTINGS
    logs.set_up(loaded.log_level, loaded.me.vm_id)
    try:
        trio.run(assembly.Daemon(loaded).run, strict_exception_groups=True)
    except BaseExceptionGroup as group:
        expected, others = group.split(errors.LaburnumsillError)
        if others is not None or expected is None:
            raise
        for leaf in _leaves(expected):
            logs.event(
                "daemon-failed",
                level="CRITICAL",
                type=type(leaf).__name__,
                error=str(leaf),
            )
        return EXIT_FAILED
    return 0


def _leaves(group: BaseExceptionGroup) -> list[BaseException]:
    """Returns the exceptions in a group, however deep they lie."""
    found: list[BaseException] = []
    for error in group.exceptions:
        if isinstance(error, BaseExceptionGroup):
            found += _leaves(error)
        else:
            found.append(error)
    return found


if __name__ == "__main__":
    main()
