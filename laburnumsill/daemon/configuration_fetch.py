"""Fetching of a newer accepted configuration version.

The differences to the newer version are fetched if there are any, and the
result of each is checked by its digest. The whole version is fetched if there
are no differences or one does not apply.
"""

import dataclasses
from collections import abc

import trio

from laburnumsill.config import difference
from laburnumsill.core import errors
from laburnumsill.core import logs
from laburnumsill.state import configuration_versions

Query = abc.Callable[
    [int], abc.Awaitable[configuration_versions.ConfigurationUpdate]
]
"""Queries the update since a version; 0 asks for the whole newest version."""

Parse = abc.Callable[
    [configuration_versions.AcceptedConfiguration],
    configuration_versions.ParsedVersion,
]
"""Returns a version with its parsed document."""


@dataclasses.dataclass(frozen=True, slots=True)
class FetchResult:
    """The result of a fetch; `whole` and `patched` are None if none is newer.

    Attributes:
        whole: A newer version that was fetched whole.
        patched: A newer version that was obtained by applying `steps`.
        steps: The steps from the base version to `patched`.
    """

    whole: configuration_versions.AcceptedConfiguration | None = None
    patched: configuration_versions.ParsedVersion | None = None
    steps: abc.Sequence[configuration_versions.VersionStep] = ()


async def fetch(
    query: Query,
    base: configuration_versions.AcceptedConfiguration | None,
    parse_version: Parse,
) -> FetchResult | None:
    """Fetches a version that is newer than `base`.

    Args:
        query: Queries the root group or a peer.
        base: The version in force here, None if there is none.
        parse_version: Parses the document of `base`.

    Returns:
        The result, None if the query failed.
    """
    try:
        update = await query(base.version if base else 0)
        if base is not None and update.steps:
            patched = await _apply_steps(base, update.steps, parse_version)
            if patched is not None:
                return FetchResult(patched=patched, steps=update.steps)
            update = await query(0)
    except errors.LaburnumsillError as error:
        logs.event("configuration-fetch-failed", level="DEBUG", error=error)
        return None
    return FetchResult(whole=update.whole)


async def _apply_steps(
    base: configuration_versions.AcceptedConfiguration,
    steps: abc.Iterable[configuration_versions.VersionStep],
    parse_version: Parse,
) -> configuration_versions.ParsedVersion | None:
    """Returns the version after the steps, None if one does not apply."""
    try:
        patched = parse_version(base)
        for step in steps:
            patched = patched.apply(step)
            await trio.lowlevel.checkpoint()
    except difference.UnfitDifferenceError as error:
        logs.event(
            "configuration-difference-unfit",
            level="ERROR",
            version=base.version,
            error=error.detail,
        )
        return None
    return patched
