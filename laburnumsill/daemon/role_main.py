"""The program of one role: `python3 -m laburnumsill.daemon.role_main ROLE`.

The settings file is given by a second argument, or else by the environment
variable `LABURNUMSILL_NODE_FILE`. The exit codes are those of `daemon.running`.
"""

import gc
import os
import pathlib
import sys
from collections import abc

from laburnumsill.core import errors
from laburnumsill.core import logs
from laburnumsill.daemon import role_settings
from laburnumsill.daemon import running

SETTINGS_VARIABLE = "LABURNUMSILL_NODE_FILE"
ROLES = ("entry", "core")


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
        sys.exit(running.EXIT_BAD_SETTINGS)
    sys.exit(run(arguments[0], pathlib.Path(path)))


def run(role: str, path: pathlib.Path) -> int:
    """Runs one daemon and returns its exit code."""
    try:
        settings = role_settings.load(path)
    except errors.LaburnumsillError as error:
        print(f"laburnumsill {role}: {error.detail}", file=sys.stderr)
        return running.EXIT_BAD_SETTINGS
    logs.set_up_bounded(settings.log_level, settings.name, sys.stdout)
    main_task = _daemon(role, path, settings)
    gc.freeze()  # excludes the modules, which are never freed, from collections
    return running.run(main_task)


def _daemon(
    role: str, path: pathlib.Path, settings: role_settings.RoleSettings
) -> abc.Callable[[], abc.Awaitable[None]]:
    """Returns the main coroutine function of a role; imports only that role."""
    if role == "entry":
        from laburnumsill.daemon import entry_role

        return entry_role.EntryDaemon(path, settings).run
    from laburnumsill.daemon import core_role

    return core_role.CoreDaemon(path, settings).run


if __name__ == "__main__":
    main()
