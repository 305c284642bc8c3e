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
from laburnumsill.daemon import configuration_download
from laburnumsill.daemon import configuration_sharing
from laburnumsill.state import highest_version
from laburnumsill.wire import backoff

ASK_EVERY_S = 0.4
"""A new version must be in force within 2 s, and cut-off is to be noticed."""

ASK_AGAIN_S = 0.15
"""First pause after a question without an answer; it grows to `ASK_EVERY_S`."""

ANSWER_WITHIN_S = 0.9
"""Three VMs can be asked in turn, and readiness lasts for two such rounds."""

FRESH_S = 2.0
"""A VM is ready while its last confirmation is not older than this."""

REFUSE_WITHIN_S = 1.0
"""A call may be refused for what the configuration lacks while the last
confirmation is not older than this: two rounds of asking, and half of the
2 s within which a version must be in force."""

KEY_LEASE_SHARE = 0.7
"""Share of the time in which a key must be revoked that the configuration is
used without a confirmation; the rest covers a request already under way."""

Decode = abc.Callable[[bytes], site.SiteConfiguration]


class ConfigurationLease:
    """Keeps the newest configuration and knows how fresh it is.

    Args:
        source: Answers with the newest document.
        decode: Reads a document; those in force are always valid.
        key_revoked_ms: A key that was taken away works no longer than this.
        clock: The clock of this process.
    """

    def __init__(
        self,
        source: configuration_sharing.Source,
        decode: Decode,
        key_revoked_ms: int,
        clock: clocks.Clock,
    ) -> None:
        self._source = source
        self._decode = decode
        self._lease_s = key_revoked_ms / 1000 * KEY_LEASE_SHARE
        self._clock = clock
        self._current: site.SiteConfiguration | None = None
        self._download = configuration_download.Download()
        self._newest_version = highest_version.NO_VERSION
        self._confirmed_at = float("-inf")
        self._lost = False
        self._pauses = backoff.Backoff(ASK_AGAIN_S, ASK_EVERY_S)

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
            pause_s = await self._ask()
            await trio.sleep(pause_s)

    def _age_s(self) -> float:
        return self._clock.monotonic() - self._confirmed_at

    def _current_version(self) -> int:
        if self._current is None:
            return highest_version.NO_VERSION
        return self._current.version

    async def _ask(self) -> float:
        """Asks once; returns how long to wait before the next question."""
        asked_at = self._clock.monotonic()
        query = self._download.next_query(self._current_version())
        try:
            answer = await self._source.ask(query, asked_at + ANSWER_WITHIN_S)
        except errors.LaburnumsillError as error:
            self._note_lost(error)
            return self._pauses.next()
        self._note_regained()
        part = answer.part
        self._take(part)
        self._newest_version = max(self._newest_version, answer.newest_version)
        if part.version != self._current_version() and part.packed:
            return 0.0
        if self._newest_version <= self._current_version():
            confirmed_at = asked_at + answer.confirmed_after_s
            self._confirmed_at = max(self._confirmed_at, confirmed_at)
        return ASK_EVERY_S

    def _take(self, part: highest_version.Part) -> None:
        """Takes a part; brings the document into force once it is whole."""
        document = self._download.take(part)
        if document is None or part.version <= self._current_version():
            return
        self._current = self._decode(document)
        logs.event(
            "configuration-in-force",
            version=part.version,
            bytes=len(document),
            packed_bytes=part.size,
        )

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
        self._pauses.reset()
