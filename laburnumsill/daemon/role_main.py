"""The program of one role: `python3 -m laburnumsill.daemon.role_main ROLE`.

The settings file is named by the variable `LABURNUMSILL_NODE_FILE`, or by a
second argument. Exit codes are those of `daemon.running`.
"""

import gc
import os
import pathlib
import sys

SETTINGS_VARIABLE = "LABURNUMSILL_NODE_FILE"
ROLES = ("entry", "core")
EXIT_BAD_ARGUMENTS = 2


def main() -> None:
    """Runs the role that the first argument names."""
    arguments = sys.argv[1:]
    path = arguments[1] if len(arguments) > 1 else None
    path = path or os.environ.get(SETTINGS_VARIABLE)
    if not arguments or arguments[0] not in ROLES or path is None:
        print(
            f"usage: role_main {'|'.join(ROLES)} [SETTINGS]; without SETTINGS"
            f" the variable {SETTINGS_VARIABLE} names the file",
            file=sys.stderr,
        )
        sys.exit(EXIT_BAD_ARGUMENTS)
    # Modules stay until the end: collections while they load find nothing.
    gc.disable()
    from laburnumsill.daemon import role_process

    sys.exit(role_process.run(arguments[0], pathlib.Path(path)))


if __name__ == "__main__":
    main()
