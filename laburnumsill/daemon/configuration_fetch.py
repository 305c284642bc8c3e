"""Fetching what leads from one accepted configuration version to a newer.

The differences are fetched where there are any, and each is checked by the
digest of what it gives; the whole is fetched where there are none or where
one does not fit.
"""

import dataclasses
from collections import abc

import trio

from laburnumsill.config import difference
from laburnumsill.core import errors
from laburnumsill.core import logs
from laburnumsill.state import configuration_versions

Ask = abc.Callable[
    [int], abc.Awaitable[configuration_versions.ConfigurationUpdate]
]
"""Asks for what leads on from a version, 0 for the whole."""

Open = abc.Callable[
    [configuration_versions.AcceptedConfiguration],
    configuration_versions.ParsedVersion,
]
"""Returns a version with its values."""


@dataclasses.dataclass(frozen=True, slots=True)
class Fetched:
    """An answer; without `whole` and `reached` there is nothing newer.

    Attributes:
        whole: A newer version.
        reached: The newer version that `steps` led to.
        steps: The steps to it.
    """

    whole: configuration_versions.AcceptedConfiguration | None = None
    reached: configuration_versions.ParsedVersion | None = None
    steps: abc.Sequence[configuration_versions.VersionStep] = ()


async def fetch(
    ask: Ask,
    base: configuration_versions.AcceptedConfiguration | None,
    open_version: Open,
) -> Fetched | None:
    """Fetches what is newer than a version.

    Args:
        ask: Asks whoever may have a newer one.
        base: The version in force here, None if there is none.
        open_version: Opens it.

    Returns:
        None if there was no answer.
    """
    try:
        update = await ask(base.version if base else 0)
        if base is not None and update.steps:
            reached = await _reached(base, update.steps, open_version)
            if reached is not None:
                return Fetched(reached=reached, steps=update.steps)
            update = await ask(0)
    except errors.LaburnumsillError as error:
        logs.event("configuration-fetch-failed", level="DEBUG", error=error)
        return None
    return Fetched(whole=update.whole)


async def _reached(
    base: configuration_versions.AcceptedConfiguration,
    steps: abc.Iterable[configuration_versions.VersionStep],
    open_version: Open,
) -> configuration_versions.ParsedVersion | None:
    """Returns what steps lead to from a version, None if they do not fit."""
    try:
        reached = open_version(base)
        for step in steps:
            reached = reached.apply(step)
            await trio.lowlevel.checkpoint()
    except difference.UnfitDifferenceError as error:
        logs.event(
            "configuration-difference-unfit",
            level="ERROR",
            version=base.version,
            error=error.detail,
        )
        return None
    return reached
