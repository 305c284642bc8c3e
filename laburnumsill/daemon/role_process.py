"""One role's process: its settings, its logs, and the parts that it needs."""

import gc
import pathlib
import sys
from collections import abc

from laburnumsill.core import errors
from laburnumsill.core import logs
from laburnumsill.daemon import role_settings
from laburnumsill.daemon import running


def run(role: str, path: pathlib.Path) -> int:
    """Runs one daemon and returns its exit code."""
    try:
        settings = role_settings.load(path)
    except errors.LaburnumsillError as error:
        print(f"laburnumsill {role}: {error.detail}", file=sys.stderr)
        return running.EXIT_BAD_SETTINGS
    logs.set_up_bounded(settings.log_level, settings.name, sys.stdout)
    main = _daemon(role, path, settings)
    gc.freeze()
    gc.enable()
    return running.run(main)


def _daemon(
    role: str, path: pathlib.Path, settings: role_settings.RoleSettings
) -> abc.Callable[[], abc.Awaitable[None]]:
    """Returns the coroutine function of a role, importing only its parts."""
    if role == "entry":
        from laburnumsill.daemon import entry_role

        return entry_role.EntryDaemon(path, settings).run
    from laburnumsill.daemon import core_role

    return core_role.CoreDaemon(path, settings).run
