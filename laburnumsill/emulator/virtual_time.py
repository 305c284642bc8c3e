"""Runs an emulation in virtual time, the same way for the same seed."""

import typing
from collections import abc

import trio
import trio.testing
from trio._core import _run as trio_run

T = typing.TypeVar("T")


def run(
    seed: int, main: abc.Callable[..., abc.Awaitable[T]], *args: object
) -> T:
    """Returns what `main` returns; time passes whenever all tasks wait.

    Args:
        seed: Of the order in which tasks run that can run. Trio shuffles
            them, and a seed is to repeat its day, so its shuffle is seeded.
        main: The emulation.
        *args: For `main`.
    """
    # Trio calls it final; its own tests set it like this.
    trio_run._ALLOW_DETERMINISTIC_SCHEDULING = True  # type: ignore[misc]
    trio_run._r.seed(seed)
    clock = trio.testing.MockClock(autojump_threshold=0)
    return trio.run(main, *args, clock=clock)
