"""The daemon's program: `laburnumsilld --settings FILE`.

Its exit codes are those of `daemon.running`.
"""

import argparse
import pathlib
import sys

from laburnumsill.core import errors
from laburnumsill.core import logs
from laburnumsill.daemon import assembly
from laburnumsill.daemon import running
from laburnumsill.daemon import settings


def main() -> None:
    """Parses the arguments, runs the daemon and exits with its exit code."""
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
    """Runs one daemon with a settings file; returns the exit code."""
    try:
        loaded = settings.load(settings_file)
    except errors.LaburnumsillError as error:
        print(f"laburnumsilld: {error.detail}", file=sys.stderr)
        return running.EXIT_BAD_SETTINGS
    logs.set_up(loaded.log_level, loaded.local_vm.vm_id)
    return running.run(assembly.Daemon(loaded).run)


if __name__ == "__main__":
    main()
