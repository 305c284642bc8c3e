"""Execution of a daemon's main task, and the exit codes of its process.

Exit codes: 0 after a graceful shutdown, `EXIT_FAILED` after a fatal failure,
such as a disk failure, `EXIT_BAD_SETTINGS` for invalid settings or arguments.
"""

from collections import abc

import trio

from laburnumsill.core import errors
from laburnumsill.core import logs
from laburnumsill.core import trio_clock

EXIT_FAILED = 1
EXIT_BAD_SETTINGS = 2


def run(main: abc.Callable[[], abc.Awaitable[None]]) -> int:
    """Runs a daemon until it ends and returns the exit code.

    An exception that is not a `LaburnumsillError` is a bug: it is logged like
    the others and raised again.
    """
    try:
        trio.run(
            main,
            clock=trio_clock.BootTimeClock(),
            strict_exception_groups=True,
        )
    except BaseExceptionGroup as group:
        for leaf in _leaves(group):
            logs.event(
                "daemon-failed",
                level="CRITICAL",
                type=type(leaf).__name__,
                error=str(leaf),
            )
        if group.split(errors.LaburnumsillError)[1] is not None:
            raise
        return EXIT_FAILED
    return 0


def _leaves(group: BaseExceptionGroup) -> list[BaseException]:
    """Returns the exceptions in a group and its nested groups."""
    found: list[BaseException] = []
    for error in group.exceptions:
        if isinstance(error, BaseExceptionGroup):
            found += _leaves(error)
        else:
            found.append(error)
    return found
