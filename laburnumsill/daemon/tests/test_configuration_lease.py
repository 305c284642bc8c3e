import trio
import trio.testing

from laburnumsill.config import site
from laburnumsill.core import errors
from laburnumsill.core import trio_clock
from laburnumsill.daemon import configuration_lease
from laburnumsill.state import highest_version
from laburnumsill.testing import local_groups

REVOKED_MS = 5_000


class SlowGroups(local_groups.LocalGroups):
    """Answers after a while, or not at all."""

    def __init__(self, held):
        super().__init__({})
        self.held = held
        self.delay_s = 0.01
        self.gone = False

    async def query(self, group, query, deadline):
        if self.gone:
            await trio.sleep(deadline - trio.current_time())
            raise errors.NoQuorumError("gone")
        await trio.sleep(self.delay_s)
        return self.held.query(query)


def play(script):
    async def main():
        held = highest_version.HighestVersion()
        groups = SlowGroups(held)
        lease = configuration_lease.ConfigurationLease(
            "site",
            groups,
            lambda raw: site.SiteConfiguration(int(raw), (), (), ()),
            REVOKED_MS,
            trio_clock.TrioClock(),
        )
        async with trio.open_nursery() as nursery:
            nursery.start_soon(lease.run)
            await script(held, groups, lease)
            nursery.cancel_scope.cancel()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


def put(held, version):
    held.put(highest_version.PutDocument(version, str(version).encode()))


def test_a_new_version_is_in_force_in_time():
    async def script(held, groups, lease):
        await trio.sleep(1.0)
        assert lease.current is None and not lease.fresh
        for version in (3, 7):
            put(held, version)
            await trio.sleep(0.5)
            assert lease.current.version == version and lease.fresh

    play(script)


def test_without_the_core_it_ends_well_before_a_key_must_be_gone():
    async def script(held, groups, lease):
        put(held, 1)
        await trio.sleep(1.0)
        groups.gone = True
        cut_at = trio.current_time()
        while lease.current is not None:  # noqa: ASYNC110
            await trio.sleep(0.01)
        lasted_s = trio.current_time() - cut_at
        assert 2.5 < lasted_s < 0.8 * REVOKED_MS / 1000
        assert not lease.fresh
        groups.gone = False
        await trio.sleep(1.5)
        assert lease.current.version == 1 and lease.fresh

    play(script)


def test_an_answer_counts_from_when_it_was_asked_for():
    async def script(held, groups, lease):
        put(held, 1)
        await trio.sleep(1.0)
        groups.delay_s = 0.7  # a version may be accepted meanwhile
        await trio.sleep(5.0)
        age_s = trio.current_time() - lease._confirmed_at
        assert age_s >= 0.7

    play(script)
