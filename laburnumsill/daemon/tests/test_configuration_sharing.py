"""Configuration queries of entries and the leader queries they cause."""

import pytest
import trio
import trio.testing

from laburnumsill.config import site
from laburnumsill.core import errors
from laburnumsill.core import replication
from laburnumsill.core import trio_clock
from laburnumsill.daemon import configuration_lease
from laburnumsill.daemon import configuration_sharing
from laburnumsill.daemon import core_choice
from laburnumsill.state import highest_version
from laburnumsill.testing import local_groups

QUESTION = configuration_sharing.Question(highest_version.PartQuery())


class Peers:
    """Delivers questions of entries to a VM of the core."""

    def __init__(self):
        self.handlers = {}
        self.unreachable = set()

    def on_call(self, request_type, handler):
        self.handlers[request_type] = handler

    async def call(self, vm, request, deadline):
        if vm in self.unreachable:
            await trio.sleep(0.3)
            raise errors.PeerUnreachableError(vm)
        return await self.handlers[type(request)](request)


class Leader(local_groups.LocalGroups):
    """Access to the group; counts queries of the leader, which may be down."""

    def __init__(self, newest, replica):
        super().__init__({"site": replication.StateMachine(newest)})
        self._replica = replication.StateMachine(replica)
        self.queries = 0
        self.is_down = False
        self.delay_s = 0.01

    def local_state_machine(self, group):
        return self._replica

    async def query(self, group, query, deadline):
        self.queries += 1
        if self.is_down:
            await trio.sleep_until(deadline)
            raise errors.NoQuorumError("no leader")
        await trio.sleep(self.delay_s)
        return await super().query(group, query, deadline)


class CorePeers:
    """Delivers questions of an entry to the VM that it names.

    The VM `standby` is in the entry's own failure domain.
    """

    def __init__(self, **leaders):
        self._peers = {}
        for vm, leader in leaders.items():
            self._peers[vm] = Peers()
            configuration_sharing.ConfigurationResponder(
                "site",
                leader,
                self._peers[vm],
                "north" if vm == "standby" else "south",
                trio_clock.TrioClock(),
            )

    async def call(self, vm, request, deadline):
        return await self._peers[vm].call(vm, request, deadline)


class Core:
    """A VM of the core; its replica may be behind the leader's."""

    def __init__(self, replica_is_behind=False):
        self.newest = highest_version.HighestVersion()
        replica = self.newest
        if replica_is_behind:
            replica = highest_version.HighestVersion()
        self.replica = replica
        self.leader = Leader(self.newest, replica)
        self.peers = Peers()
        self.sharing = configuration_sharing.ConfigurationResponder(
            "site", self.leader, self.peers, "north", trio_clock.TrioClock()
        )
        self.put(1)
        if replica_is_behind:
            self.put(1, self.replica)

    def put(self, version, document=None):
        packed = highest_version.pack(b"%d" % version)
        command = highest_version.PutDocument(version, packed)
        (document or self.newest).put(command)


def play(script):
    trio.run(script, clock=trio.testing.MockClock(autojump_threshold=0))


async def ask_periodically(core, entries, seconds):
    async def ask():
        while trio.current_time() < ends_at:
            await core.sharing.answer(QUESTION)
            await trio.sleep(0.4)

    ends_at = trio.current_time() + seconds
    async with trio.open_nursery() as nursery:
        for _ in range(entries):
            nursery.start_soon(ask)


def test_leader_queries_do_not_grow_with_the_entries():
    async def script():
        query_counts = []
        for entries in (10, 100):
            core = Core()
            await ask_periodically(core, entries, 10.0)
            query_counts.append(core.leader.queries)
        assert query_counts[0] == query_counts[1] <= 10.0 / 0.4 + 2

    play(script)


def test_confirmation_time_is_not_after_the_leader_query():
    async def script():
        core = Core()
        for pause_s in (0.0, 0.05, 0.1, 0.19, 0.3):
            await trio.sleep(pause_s)
            sent_at = trio.current_time()
            answer = await core.sharing.answer(QUESTION)
            confirmed_at = sent_at + answer.confirmed_after_s
            # The confirmation must not cover versions accepted later.
            assert confirmed_at <= trio.current_time() - core.leader.delay_s
            assert (
                confirmed_at
                >= sent_at - configuration_sharing.CONFIRMATION_MAX_AGE_S
            )

    play(script)


def test_a_replica_that_is_behind_reports_the_newest_version():
    async def script():
        core = Core(replica_is_behind=True)
        core.put(2)
        answer = await core.sharing.answer(QUESTION)
        assert (answer.part.version, answer.newest_version) == (1, 2)
        ahead = configuration_sharing.Question(highest_version.PartQuery(2))
        answer = await core.sharing.answer(ahead)
        assert answer.part == highest_version.Part(1)

    play(script)


def test_concurrent_questions_fail_together_without_a_leader():
    async def script():
        core = Core()
        core.leader.is_down = True
        failures = []

        async def ask():
            with pytest.raises(errors.NoQuorumError):
                await core.sharing.answer(QUESTION)
            failures.append(trio.current_time())

        async with trio.open_nursery() as nursery:
            for _ in range(20):
                nursery.start_soon(ask)
        assert core.leader.queries == 1
        limit_s = configuration_sharing.LEADER_TIMEOUT_S
        assert max(failures) == pytest.approx(limit_s, abs=0.01)
        core.leader.is_down = False
        await core.sharing.answer(QUESTION)

    play(script)


def test_an_entry_queries_another_vm_if_one_does_not_answer():
    async def script():
        core = Core()
        choice = core_choice.CoreChoice("entry", "north")
        source = configuration_sharing.CoreSource(
            core.peers, lambda: ("a", "b", "c"), choice, trio_clock.TrioClock()
        )
        now = trio.current_time
        first = choice.next(("a", "b", "c"), now())
        core.peers.unreachable.add(first)
        for _ in range(2):  # the second query skips the failed VM
            answer = await source.ask(QUESTION.query, now() + 0.9)
            assert answer.newest_version == 1
        assert now() < 0.4
        core.peers.unreachable |= {"a", "b", "c"}
        with pytest.raises(errors.NoQuorumError):
            await source.ask(QUESTION.query, now() + 0.9)

    play(script)


@pytest.mark.parametrize("lost_s", [1.0 + 0.13 * n for n in range(12)])
def test_an_entry_is_fresh_again_soon_after_an_election(lost_s):
    """The leader's VM fails, and there is no leader for a while."""

    async def script():
        core = Core()
        choice = core_choice.CoreChoice("entry", "north")
        clock = trio_clock.TrioClock()
        source = configuration_sharing.CoreSource(
            core.peers, lambda: ("a", "b", "c"), choice, clock
        )
        lease = configuration_lease.ConfigurationLease(
            source,
            lambda raw: site.SiteConfiguration(int(raw), (), (), ()),
            5_000,
            clock,
        )
        async with trio.open_nursery() as nursery:
            nursery.start_soon(lease.run)
            await trio.sleep(2.0)
            assert lease.may_refuse
            core.peers.unreachable.add(choice.next(("a", "b", "c"), 2.0))
            core.leader.is_down = True
            await trio.sleep(lost_s)
            core.leader.is_down = False
            await trio.sleep(1.0)
            assert lease.may_refuse
            nursery.cancel_scope.cancel()

    play(script)


@pytest.mark.parametrize("standby_version", [highest_version.NO_VERSION, 1])
def test_an_entry_whose_nearest_vm_is_no_voter_gets_new_versions(
    standby_version,
):
    """The replica of a VM that is not a voter stays at its old version."""

    async def script():
        core = Core()
        standby_replica = highest_version.HighestVersion()
        if standby_version != highest_version.NO_VERSION:
            core.put(standby_version, standby_replica)
        peers = CorePeers(
            standby=Leader(core.newest, standby_replica), voter=core.leader
        )
        choice = core_choice.CoreChoice("entry", "north")
        clock = trio_clock.TrioClock()
        lease = configuration_lease.ConfigurationLease(
            configuration_sharing.CoreSource(
                peers, lambda: ("standby", "voter"), choice, clock
            ),
            lambda raw: site.SiteConfiguration(int(raw), (), (), ()),
            5_000,
            clock,
        )
        async with trio.open_nursery() as nursery:
            nursery.start_soon(lease.run)
            for version in (2, 3):
                await trio.sleep(3.0)
                core.put(version)
                await trio.sleep(1.0)
                assert lease.current is not None
                assert lease.current.version == version
                assert lease.may_refuse
            nursery.cancel_scope.cancel()

    play(script)


def test_an_entry_knows_the_newest_version_if_all_vms_are_behind():
    async def script():
        core = Core()
        core.put(2)
        standby_replica = highest_version.HighestVersion()
        core.put(1, standby_replica)
        source = configuration_sharing.CoreSource(
            CorePeers(standby=Leader(core.newest, standby_replica)),
            lambda: ("standby",),
            core_choice.CoreChoice("entry", "north"),
            trio_clock.TrioClock(),
        )
        answer = await source.ask(QUESTION.query, trio.current_time() + 0.9)
        assert answer.is_behind
        assert (answer.part.version, answer.newest_version) == (1, 2)

    play(script)


def test_without_a_known_vm_the_query_fails_with_no_quorum():
    async def script():
        choice = core_choice.CoreChoice("entry", "north")
        source = configuration_sharing.CoreSource(
            Peers(), lambda: (), choice, trio_clock.TrioClock()
        )
        with pytest.raises(errors.NoQuorumError):
            await source.ask(QUESTION.query, trio.current_time() + 0.5)

    play(script)


def test_entries_spread_over_vms_of_unknown_domain():
    vms = ("a", "b", "c", "d", "e")
    chosen = [
        core_choice.CoreChoice(f"entry-{n}", "north").next(vms, 0.0)
        for n in range(100)
    ]
    assert min(chosen.count(vm) for vm in vms) >= 8


def test_backoff_grows_with_repeated_failures_of_a_vm():
    choice = core_choice.CoreChoice("entry", "north")
    choice.record_answer("a", "north")
    choice.record_answer("b", "south")
    now, tries = 0.0, []
    while now < 60.0:
        if choice.next(("a", "b"), now) == "a":
            tries.append(now)
            choice.record_failure("a", now)
        now += 0.4
    assert len(tries) <= 8
    choice.record_answer("a", "north")
    assert choice.next(("a", "b"), now) == "a"
