"""Many entries that ask at once, and what the leader has to answer."""

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
    """Hands the questions of entries to a VM of the core."""

    def __init__(self):
        self.handlers = {}
        self.gone = set()

    def on_call(self, request_type, handler):
        self.handlers[request_type] = handler

    async def call(self, vm, request, deadline):
        if vm in self.gone:
            await trio.sleep(0.3)
            raise errors.PeerUnreachableError(vm)
        return await self.handlers[type(request)](request)


class Leader(local_groups.LocalGroups):
    """Counts what the leader is asked, and may lose its lead."""

    def __init__(self, newest, held):
        super().__init__({"site": replication.StateMachine(newest)})
        self._replica = replication.StateMachine(held)
        self.asked = 0
        self.lost = False
        self.takes_s = 0.01

    def local_state_machine(self, group):
        return self._replica

    async def query(self, group, query, deadline):
        self.asked += 1
        if self.lost:
            await trio.sleep_until(deadline)
            raise errors.NoQuorumError("nobody leads")
        await trio.sleep(self.takes_s)
        return await super().query(group, query, deadline)


class PeersOf:
    """Hands the questions of an entry to the VM that it asks.

    The one that stands by is in the entry's own failure domain.
    """

    def __init__(self, **leaders):
        self._peers = {}
        for vm, leader in leaders.items():
            self._peers[vm] = Peers()
            configuration_sharing.SharedConfirmation(
                "site",
                leader,
                self._peers[vm],
                "north" if vm == "standby" else "south",
                trio_clock.TrioClock(),
            )

    async def call(self, vm, request, deadline):
        return await self._peers[vm].call(vm, request, deadline)


class Core:
    def __init__(self, replica_is_behind=False):
        self.newest = highest_version.HighestVersion()
        held = self.newest
        if replica_is_behind:
            held = highest_version.HighestVersion()
        self.held = held
        self.leader = Leader(self.newest, held)
        self.peers = Peers()
        self.sharing = configuration_sharing.SharedConfirmation(
            "site", self.leader, self.peers, "north", trio_clock.TrioClock()
        )
        self.put(1)
        if replica_is_behind:
            self.put(1, self.held)

    def put(self, version, where=None):
        packed = highest_version.pack(b"%d" % version)
        command = highest_version.PutDocument(version, packed)
        (where or self.newest).put(command)


def play(script):
    trio.run(script, clock=trio.testing.MockClock(autojump_threshold=0))


async def ask_in_step(core, entries, seconds):
    async def ask():
        while trio.current_time() < ends_at:
            await core.sharing.answer(QUESTION)
            await trio.sleep(0.4)

    ends_at = trio.current_time() + seconds
    async with trio.open_nursery() as nursery:
        for _ in range(entries):
            nursery.start_soon(ask)


def test_the_leader_is_asked_no_more_often_for_many_entries():
    async def script():
        asked = []
        for entries in (10, 100):
            core = Core()
            await ask_in_step(core, entries, 10.0)
            asked.append(core.leader.asked)
        assert asked[0] == asked[1] <= 10.0 / 0.4 + 2

    play(script)


def test_the_confirmed_point_is_never_later_than_the_leader_knew():
    async def script():
        core = Core()
        for pause_s in (0.0, 0.05, 0.1, 0.19, 0.3):
            await trio.sleep(pause_s)
            sent_at = trio.current_time()
            answer = await core.sharing.answer(QUESTION)
            confirmed_at = sent_at + answer.confirmed_after_s
            # A version that is accepted after this point must not count.
            assert confirmed_at <= trio.current_time() - core.leader.takes_s
            assert confirmed_at >= sent_at - configuration_sharing.SHARED_S

    play(script)


def test_a_replica_that_is_behind_says_which_version_is_newest():
    async def script():
        core = Core(replica_is_behind=True)
        core.put(2)
        answer = await core.sharing.answer(QUESTION)
        assert (answer.part.version, answer.newest_version) == (1, 2)
        ahead = configuration_sharing.Question(highest_version.PartQuery(2))
        answer = await core.sharing.answer(ahead)
        assert answer.part == highest_version.Part(1)

    play(script)


def test_questions_of_one_moment_fail_together_while_nobody_leads():
    async def script():
        core = Core()
        core.leader.lost = True
        failures = []

        async def ask():
            with pytest.raises(errors.NoQuorumError):
                await core.sharing.answer(QUESTION)
            failures.append(trio.current_time())

        async with trio.open_nursery() as nursery:
            for _ in range(20):
                nursery.start_soon(ask)
        assert core.leader.asked == 1
        limit_s = configuration_sharing.ROUND_WITHIN_S
        assert max(failures) == pytest.approx(limit_s, abs=0.01)
        core.leader.lost = False
        await core.sharing.answer(QUESTION)

    play(script)


def test_an_entry_turns_to_another_vm_where_one_does_not_answer():
    async def script():
        core = Core()
        choice = core_choice.CoreChoice("entry", "north")
        source = configuration_sharing.NearbyCore(
            core.peers, lambda: ("a", "b", "c"), choice, trio_clock.TrioClock()
        )
        now = trio.current_time
        first = choice.next(("a", "b", "c"), now())
        core.peers.gone.add(first)
        for _ in range(2):  # the second time it is known to be gone
            answer = await source.ask(QUESTION.query, now() + 0.9)
            assert answer.newest_version == 1
        assert now() < 0.4
        core.peers.gone |= {"a", "b", "c"}
        with pytest.raises(errors.NoQuorumError):
            await source.ask(QUESTION.query, now() + 0.9)

    play(script)


@pytest.mark.parametrize("lost_s", [1.0 + 0.13 * n for n in range(12)])
def test_an_entry_is_fresh_again_soon_after_the_next_leader(lost_s):
    """The load: the leader's VM is gone, and for a while nobody leads."""

    async def script():
        core = Core()
        choice = core_choice.CoreChoice("entry", "north")
        clock = trio_clock.TrioClock()
        source = configuration_sharing.NearbyCore(
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
            core.peers.gone.add(choice.next(("a", "b", "c"), 2.0))
            core.leader.lost = True
            await trio.sleep(lost_s)
            core.leader.lost = False
            await trio.sleep(1.0)
            assert lease.may_refuse
            nursery.cancel_scope.cancel()

    play(script)


@pytest.mark.parametrize("held", [highest_version.NO_VERSION, 1])
def test_an_entry_near_a_vm_that_stands_by_gets_each_new_version(held):
    """A VM that votes no more, or never did, holds what it held then."""

    async def script():
        core = Core()
        kept = highest_version.HighestVersion()
        if held != highest_version.NO_VERSION:
            core.put(held, kept)
        peers = PeersOf(standby=Leader(core.newest, kept), voter=core.leader)
        choice = core_choice.CoreChoice("entry", "north")
        clock = trio_clock.TrioClock()
        lease = configuration_lease.ConfigurationLease(
            configuration_sharing.NearbyCore(
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


def test_where_all_vms_are_behind_an_entry_knows_that_there_is_more():
    async def script():
        core = Core()
        core.put(2)
        kept = highest_version.HighestVersion()
        core.put(1, kept)
        source = configuration_sharing.NearbyCore(
            PeersOf(standby=Leader(core.newest, kept)),
            lambda: ("standby",),
            core_choice.CoreChoice("entry", "north"),
            trio_clock.TrioClock(),
        )
        answer = await source.ask(QUESTION.query, trio.current_time() + 0.9)
        assert answer.behind
        assert (answer.part.version, answer.newest_version) == (1, 2)

    play(script)


def test_without_a_known_vm_the_failure_has_a_type():
    async def script():
        choice = core_choice.CoreChoice("entry", "north")
        source = configuration_sharing.NearbyCore(
            Peers(), lambda: (), choice, trio_clock.TrioClock()
        )
        with pytest.raises(errors.NoQuorumError):
            await source.ask(QUESTION.query, trio.current_time() + 0.5)

    play(script)


def test_entries_spread_over_vms_of_unknown_place():
    vms = ("a", "b", "c", "d", "e")
    chosen = [
        core_choice.CoreChoice(f"entry-{n}", "north").next(vms, 0.0)
        for n in range(100)
    ]
    assert min(chosen.count(vm) for vm in vms) >= 8


def test_a_vm_that_fails_again_and_again_is_tried_ever_more_seldom():
    choice = core_choice.CoreChoice("entry", "north")
    choice.answered("a", "north")
    choice.answered("b", "south")
    now, tries = 0.0, []
    while now < 60.0:
        if choice.next(("a", "b"), now) == "a":
            tries.append(now)
            choice.failed("a", now)
        now += 0.4
    assert len(tries) <= 8
    choice.answered("a", "north")
    assert choice.next(("a", "b"), now) == "a"
