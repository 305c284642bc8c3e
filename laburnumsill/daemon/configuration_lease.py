"""The configuration in force on a VM without replicated state.

It is asked for again and again. Each answer was confirmed by a quorum after
it was asked for, so the configuration was the newest at some point since
then; a VM that gets no answer stops using it well before a key that was
taken away must have stopped working.
"""

import typing
from collections import abc

import trio

from laburnumsill.config import site
from laburnumsill.core import clock as clocks
from laburnumsill.core import errors
from laburnumsill.core import logs
from laburnumsill.core import replication
from laburnumsill.daemon import configuration_download
from laburnumsill.state import highest_version

ASK_EVERY_S = 0.35
"""A new version must be in force within 2 s, and cut-off is to be noticed."""

ANSWER_WITHIN_S = 0.8

FRESH_S = 2.0
"""A VM is ready while its last confirmation is not older than this."""

REFUSE_WITHIN_S = 1.0
"""A call may be refused for what the configuration lacks while the last
confirmation is not older than this: three rounds of asking, and half of the
2 s within which a version must be in force."""

KEY_LEASE_SHARE = 0.7
"""Share of the time in which a key must be revoked that the configuration is
used without a confirmation; the rest covers a request already under way."""

Decode = abc.Callable[[bytes], site.SiteConfiguration]


class ConfigurationLease:
    """Keeps the newest configuration and knows how fresh it is.

    Args:
        group: The group whose state machine holds the document.
        groups: Access to it.
        decode: Reads a document; those in force are always valid.
        key_revoked_ms: A key that was taken away works no longer than this.
        clock: The clock of this process.
    """

    def __init__(
        self,
        group: str,
        groups: replication.Groups,
        decode: Decode,
        key_revoked_ms: int,
        clock: clocks.Clock,
    ) -> None:
        self._group = group
        self._groups = groups
        self._decode = decode
        self._lease_s = key_revoked_ms / 1000 * KEY_LEASE_SHARE
        self._clock = clock
        self._current: site.SiteConfiguration | None = None
        self._download = configuration_download.Download()
        self._newest_version = highest_version.NO_VERSION
        self._confirmed_at = float("-inf")
        self._lost = False

    @property
    def current(self) -> site.SiteConfiguration | None:
        """The configuration in force; None without a valid lease."""
        if self._clock.monotonic() - self._confirmed_at > self._lease_s:
            return None
        return self._current

    @property
    def fresh(self) -> bool:
        """Whether it was confirmed lately."""
        return self._current is not None and self._age_s() <= FRESH_S

    @property
    def may_refuse(self) -> bool:
        """Whether what is missing here is certainly not in a newer version."""
        behind = self._newest_version > self._current_version()
        return not behind and self._age_s() <= REFUSE_WITHIN_S

    async def run(self) -> typing.NoReturn:
        """Keeps asking until cancelled."""
        while True:
            if not await self._ask():
                await trio.sleep(ASK_EVERY_S)

    def _age_s(self) -> float:
        return self._clock.monotonic() - self._confirmed_at

    def _current_version(self) -> int:
        if self._current is None:
            return highest_version.NO_VERSION
        return self._current.version

    async def _ask(self) -> bool:
        """Asks once; returns whether a newer document is still incomplete."""
        asked_at = self._clock.monotonic()
        query = self._download.next_query(self._current_version())
        try:
            part = await self._groups.query(
                self._group, query, asked_at + ANSWER_WITHIN_S
            )
        except errors.LaburnumsillError as error:
            self._note_lost(error)
            return False
        self._note_regained()
        self._newest_version = part.version
        document = self._download.take(part)
        if document is not None:
            self._current = self._decode(document)
            logs.event(
                "configuration-in-force",
                version=part.version,
                bytes=len(document),
                packed_bytes=part.size,
            )
        if part.version != self._current_version():
            return bool(part.packed)
        if self._current is not None:
            self._confirmed_at = asked_at
        return False

    def _note_lost(self, error: errors.LaburnumsillError) -> None:
        if not self._lost:
            logs.event(
                "core-lost", "WARNING", reason=error.slug, detail=error.detail
            )
        self._lost = True

    def _note_regained(self) -> None:
        if self._lost:
            logs.event("core-regained")
        self._lost = False
