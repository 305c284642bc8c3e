"""The configuration in force on a VM without replicated state.

The VM polls the core for the configuration. A quorum confirms that the answer
was the newest at some time, which is the start of a lease. A VM that gets no
confirmation stops using its configuration well before a revoked key must have
stopped working.
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

POLL_INTERVAL_S = 0.4
"""A new version must be in force within 2 s, and the loss of the core must be
detected."""

INITIAL_BACKOFF_S = 0.15
"""Backoff after a failed query; it grows up to `POLL_INTERVAL_S`."""

QUERY_TIMEOUT_S = 0.9
"""Allows queries of three VMs in turn; readiness lasts for two timeouts."""

READY_MAX_AGE_S = 2.0
"""Maximum age of the last confirmation at which a VM is ready."""

REFUSAL_MAX_AGE_S = 1.0
"""Maximum age of the last confirmation at which a call may be refused because
the configuration lacks a name or key: two polls, and half of the 2 s within
which a version must be in force."""

KEY_LEASE_SHARE = 0.7
"""Duration of the lease as a share of the time within which a revoked key must
stop working; the rest covers a request already in progress."""

Decode = abc.Callable[[bytes], site.SiteConfiguration]


class ConfigurationLease:
    """Holds the newest configuration and the time of its last confirmation.

    Args:
        source: Source of the newest document.
        decode: Decodes a document; documents in force are always valid.
        key_revoked_ms: Time within which a revoked key must stop working.
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
        self._core_lost = False
        self._backoff = backoff.Backoff(INITIAL_BACKOFF_S, POLL_INTERVAL_S)

    @property
    def current(self) -> site.SiteConfiguration | None:
        """The configuration in force, None without a valid lease."""
        if self._clock.monotonic() - self._confirmed_at > self._lease_s:
            return None
        return self._current

    @property
    def fresh(self) -> bool:
        """Whether the last confirmation is at most `READY_MAX_AGE_S` old."""
        return self._current is not None and self._age_s() <= READY_MAX_AGE_S

    @property
    def may_refuse(self) -> bool:
        """Whether calls may be refused for names or keys that are missing here.

        This requires a recent confirmation that no newer version exists, which
        could contain them.
        """
        behind = self._newest_version > self._current_version()
        return not behind and self._age_s() <= REFUSAL_MAX_AGE_S

    async def run(self) -> typing.NoReturn:
        """Polls until cancelled."""
        while True:
            pause_s = await self._poll()
            await trio.sleep(pause_s)

    def _age_s(self) -> float:
        return self._clock.monotonic() - self._confirmed_at

    def _current_version(self) -> int:
        if self._current is None:
            return highest_version.NO_VERSION
        return self._current.version

    async def _poll(self) -> float:
        """Queries once; returns the pause before the next query."""
        queried_at = self._clock.monotonic()
        query = self._download.next_query(self._current_version())
        try:
            answer = await self._source.ask(query, queried_at + QUERY_TIMEOUT_S)
        except errors.LaburnumsillError as error:
            self._record_failure(error)
            return self._backoff.next()
        self._record_success()
        part = answer.part
        self._add_part(part)
        self._newest_version = max(self._newest_version, answer.newest_version)
        if part.version != self._current_version() and part.packed:
            return 0.0
        if self._newest_version <= self._current_version():
            confirmed_at = queried_at + answer.confirmed_after_s
            self._confirmed_at = max(self._confirmed_at, confirmed_at)
        return POLL_INTERVAL_S

    def _add_part(self, part: highest_version.Part) -> None:
        """Adds a part; puts the document in force once it is complete."""
        document = self._download.add_part(part)
        if document is None or part.version <= self._current_version():
            return
        self._current = self._decode(document)
        logs.event(
            "configuration-in-force",
            version=part.version,
            bytes=len(document),
            packed_bytes=part.size,
        )

    def _record_failure(self, error: errors.LaburnumsillError) -> None:
        if not self._core_lost:
            logs.event(
                "core-lost", "WARNING", reason=error.slug, detail=error.detail
            )
        self._core_lost = True

    def _record_success(self) -> None:
        if self._core_lost:
            logs.event("core-regained")
        self._core_lost = False
        self._backoff.reset()
