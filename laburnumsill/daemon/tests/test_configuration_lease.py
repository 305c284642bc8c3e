"""Freshness of an entry's configuration lease, also on slow links."""

import random

import trio
import trio.testing

from laburnumsill.config import site
from laburnumsill.consensus import remote_groups
from laburnumsill.core import codec
from laburnumsill.core import errors
from laburnumsill.core import replication
from laburnumsill.core import trio_clock
from laburnumsill.daemon import configuration_lease
from laburnumsill.daemon import configuration_sharing
from laburnumsill.state import highest_version
from laburnumsill.testing import local_groups

REVOKED_MS = 5_000
LINK_BYTES_PER_S = 250_000
"""Bandwidth of the slowest link of an entry VM."""


class SlowGroups(local_groups.LocalGroups):
    """Groups that answer with a delay, or not at all."""

    def __init__(self, held):
        super().__init__(
            {"site": replication.StateMachine(held)},
        )
        self.delay_s = 0.01
        self.has_slow_link = False
        self.is_down = False

    async def query(self, group, query, deadline):
        if self.is_down:
            await trio.sleep(deadline - trio.current_time())
            raise errors.NoQuorumError("no leader")
        await trio.sleep(self.delay_s)
        answer = await super().query(group, query, deadline)
        if self.has_slow_link:
            transfer_s = len(codec.encode(answer)) / LINK_BYTES_PER_S
            await trio.sleep(min(transfer_s, remote_groups.MAX_CALL_TIMEOUT_S))
            if transfer_s > remote_groups.MAX_CALL_TIMEOUT_S:
                raise errors.NoQuorumError("the answer took too long")
        return answer


class GroupSource(configuration_sharing.Source):
    """Source that queries the group directly, as a VM of the core does."""

    def __init__(self, groups):
        self._groups = groups

    async def ask(self, query, deadline):
        part = await self._groups.query("site", query, deadline)
        return configuration_sharing.Confirmed(part, part.version, 0.0)


def play(script):
    async def main():
        held = highest_version.HighestVersion()
        groups = SlowGroups(held)
        lease = configuration_lease.ConfigurationLease(
            GroupSource(groups),
            lambda raw: site.SiteConfiguration(int(raw.split()[0]), (), (), ()),
            REVOKED_MS,
            trio_clock.TrioClock(),
        )
        async with trio.open_nursery() as nursery:
            nursery.start_soon(lease.run)
            await script(held, groups, lease)
            nursery.cancel_scope.cancel()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


def put(held, version, padding_bytes=0):
    padding = random.Random(version).randbytes(padding_bytes)
    document = b"%d %s" % (version, padding)
    packed = highest_version.pack(document)
    held.put(highest_version.PutDocument(version, packed))


def test_a_new_version_is_in_force_within_half_a_second():
    async def script(held, groups, lease):
        await trio.sleep(1.0)
        assert lease.current is None and not lease.fresh
        for version in (3, 7):
            put(held, version)
            await trio.sleep(0.5)
            assert lease.current.version == version and lease.fresh

    play(script)


def test_lease_ends_without_the_core_before_the_revocation_limit():
    async def script(held, groups, lease):
        put(held, 1)
        await trio.sleep(1.0)
        groups.is_down = True
        cut_at = trio.current_time()
        while lease.current is not None:  # noqa: ASYNC110
            await trio.sleep(0.01)
        elapsed_s = trio.current_time() - cut_at
        assert 2.5 < elapsed_s < 0.8 * REVOKED_MS / 1000
        assert not lease.fresh
        groups.is_down = False
        await trio.sleep(1.5)
        assert lease.current.version == 1 and lease.fresh

    play(script)


def test_lease_starts_when_the_query_is_sent():
    async def script(held, groups, lease):
        put(held, 1)
        await trio.sleep(1.0)
        groups.delay_s = 0.7  # a version may be accepted during the query
        await trio.sleep(5.0)
        age_s = trio.current_time() - lease._confirmed_at
        assert age_s >= 0.7

    play(script)


def test_a_large_document_is_downloaded_over_a_slow_link():
    """Guards against documents that exceed the timeout of a call.

    On a large site a configuration with 1,400 more queues did not reach the
    entries.
    """

    async def script(held, groups, lease):
        groups.has_slow_link = True
        put(held, 1)
        await trio.sleep(1.0)
        put(held, 2, padding_bytes=300_000)
        await trio.sleep(2.0)
        assert lease.current.version == 2 and lease.fresh
        assert lease.may_refuse

    play(script)


def test_download_restarts_when_a_newer_document_replaces_it():
    async def script(held, groups, lease):
        groups.has_slow_link = True
        put(held, 1)
        await trio.sleep(1.0)
        for version in (2, 3, 4):
            put(held, version, padding_bytes=100_000)
            await trio.sleep(0.25)
        await trio.sleep(1.0)
        assert lease.current.version == 4 and lease.fresh

    play(script)


def test_calls_may_not_be_refused_during_a_download():
    async def script(held, groups, lease):
        groups.has_slow_link = True
        put(held, 1)
        await trio.sleep(1.0)
        assert lease.may_refuse
        put(held, 2, padding_bytes=300_000)
        await trio.sleep(0.6)
        assert lease.current.version == 1 and not lease.may_refuse

    play(script)


def test_calls_may_not_be_refused_after_an_old_confirmation():
    async def script(held, groups, lease):
        put(held, 1)
        await trio.sleep(1.0)
        groups.is_down = True
        await trio.sleep(1.5)
        assert lease.current.version == 1 and not lease.may_refuse

    play(script)
