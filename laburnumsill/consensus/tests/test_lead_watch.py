"""How long calls wait for a leader while none is there."""

import pytest
import trio
import trio.testing

from laburnumsill.consensus import engine as engines
from laburnumsill.consensus import forwarded
from laburnumsill.consensus import lead_watch
from laburnumsill.consensus import remote
from laburnumsill.core import errors
from laburnumsill.core import replication
from laburnumsill.core import trio_clock

COMMIT_S = 0.012
SAYING_SO_S = 0.03
COMMAND = forwarded.Answer()
"""Any message that can be encoded."""


class CorePeers(replication.Peers):
    """Three core VMs, of which one leads until it is lost.

    Attributes:
        leader: The VM that leads, "" for none.
        named: Whom the others name as the leader.
        asked: How often any VM was asked.
    """

    def __init__(self) -> None:
        self.leader = "a"
        self.named: str | None = "a"
        self.silent: set[str] = set()
        self.asked = 0

    async def call(self, vm, request, deadline):
        self.asked += 1
        if vm in self.silent:
            await trio.sleep(max(0.0, deadline - trio.current_time()))
            raise errors.OutcomeUnknownError(f"{vm}: no reply came")
        await trio.sleep(0.002)
        if vm != self.leader:
            raise engines.NotLeaderError(vm, leader=self.named)
        await trio.sleep(COMMIT_S)
        return forwarded.Answer()

    def on_call(self, request_type, handler):
        raise NotImplementedError

    def notify(self, vm, notice):
        raise NotImplementedError

    def on_notice(self, notice_type, handler):
        raise NotImplementedError

    def reachable(self):
        return frozenset("abc")


def groups_over(peers: CorePeers) -> remote.RemoteGroups:
    clock = trio_clock.TrioClock(1_700_000_000.0)
    return remote.RemoteGroups("front", peers, clock, lambda: ["a", "b", "c"])


async def propose(groups: remote.RemoteGroups) -> float:
    """Returns how long a command took, with a wait that is long enough."""
    began = trio.current_time()
    await groups.propose("g", COMMAND, began + 3.0)
    return trio.current_time() - began


async def lose_leader(peers: CorePeers, groups, for_s: float) -> None:
    """Warms up, has the leader freeze, and lets another one lead later."""
    for _ in range(10):
        await propose(groups)
    peers.leader = ""
    peers.silent = {"a"}

    async def elect() -> None:
        await trio.sleep(0.3)
        peers.named = None  # the others miss it
        await trio.sleep(for_s - 0.3)
        peers.leader = peers.named = "b"

    trio.lowlevel.spawn_system_task(elect)


async def test_a_call_is_taken_in_as_soon_as_there_is_a_new_leader(
    autojump_clock,
):
    """The load: urgent jobs come while the leader has just frozen."""
    peers = CorePeers()
    groups = groups_over(peers)
    await lose_leader(peers, groups, 0.5)
    took_s = []

    async def come(after_s: float) -> None:
        await trio.sleep(after_s)
        took_s.append(after_s + await propose(groups))

    async with trio.open_nursery() as nursery:
        for number in range(10):
            nursery.start_soon(come, 0.05 * number)
    # Half a pause of 50 ms and one attempt at the VM that froze come on top.
    assert max(took_s) < 0.5 + 0.2


async def test_calls_are_refused_at_once_while_nobody_leads_for_long(
    autojump_clock,
):
    peers = CorePeers()
    groups = groups_over(peers)
    await lose_leader(peers, groups, 60.0)
    with pytest.raises(errors.LaburnumsillError):
        await propose(groups)
    await trio.sleep(2.0)
    began = trio.current_time()
    with pytest.raises(errors.UnavailableError):
        await propose(groups)
    assert trio.current_time() - began < 0.5


async def test_a_leader_that_lost_one_message_is_found_again(autojump_clock):
    peers = CorePeers()
    groups = groups_over(peers)
    for _ in range(10):
        await propose(groups)
    peers.silent = {"a"}

    async def answer_again() -> None:
        await trio.sleep(0.05)
        peers.silent = set()

    trio.lowlevel.spawn_system_task(answer_again)
    assert await propose(groups) < 0.4


class FreezingPeers(CorePeers):
    """The leader confirms its lead, and freezes at the command after that."""

    def __init__(self) -> None:
        super().__init__()
        self.freezes = False
        self.commands: list[str] = []

    async def call(self, vm, request, deadline):
        if isinstance(request, forwarded.ForwardedProposal):
            self.commands.append(vm)
            if self.freezes and vm == self.leader:
                self.leader = ""
                self.silent = {vm}
        return await super().call(vm, request, deadline)


async def test_an_unknown_outcome_is_asked_about_until_it_is_known(
    autojump_clock,
):
    """The load: the leader freezes just when a command has been sent to it.

    Its caller could not safely try again, so it is sent anew, which changes
    nothing if it was carried out, for as long as the caller waits.
    """
    peers = FreezingPeers()
    groups = groups_over(peers)
    for _ in range(10):
        await propose(groups)
    peers.freezes = True

    async def elect() -> None:
        await trio.sleep(2.2)
        peers.freezes = False
        peers.leader = peers.named = "b"

    trio.lowlevel.spawn_system_task(elect)
    assert 2.0 < await propose(groups) < 2.6


async def test_no_command_is_sent_to_a_leader_that_does_not_confirm_its_lead(
    autojump_clock,
):
    """The load: calls come while the leader has just lost power.

    What was not sent is known not to be carried out, so a caller is told that
    its job does not run, and may try again at once.
    """
    peers = FreezingPeers()
    groups = groups_over(peers)
    for _ in range(10):
        await propose(groups)
    peers.leader, peers.silent, peers.named = "", {"a"}, None
    peers.commands.clear()
    for _ in range(5):
        with pytest.raises(errors.NoQuorumError):
            await propose(groups)
        await trio.sleep(0.3)
    assert peers.commands == []


async def test_what_was_certainly_not_taken_is_refused_long_before_its_deadline(
    autojump_clock,
):
    peers = CorePeers()
    groups = groups_over(peers)
    for _ in range(10):
        await propose(groups)
    peers.leader = ""
    peers.named = None
    began = trio.current_time()
    with pytest.raises(errors.NoQuorumError):
        await propose(groups)
    assert trio.current_time() - began < lead_watch.ELECTION_WITHIN_S + 0.2


class SlowPeers(CorePeers):
    """Nobody leads, and saying so takes a busy VM a while."""

    async def call(self, vm, request, deadline):
        left_s = deadline - trio.current_time()
        await trio.sleep(min(SAYING_SO_S, max(0.0, left_s)))
        if left_s < SAYING_SO_S:
            raise errors.OutcomeUnknownError(f"{vm}: no reply came")
        raise engines.NotLeaderError(vm, leader=None)


@pytest.mark.parametrize("within_s", [0.2 + 0.01 * n for n in range(40)])
async def test_what_nobody_took_is_refused_and_not_unknown(
    within_s, autojump_clock
):
    """The load: a caller asks while nobody leads, until its time is up.

    An attempt just before the end has no answer, and its caller would hear
    that the command may have been carried out.
    """
    groups = groups_over(SlowPeers())
    with pytest.raises(errors.NoQuorumError):
        await groups.propose("g", COMMAND, trio.current_time() + within_s)


def test_a_slow_disk_is_given_its_time():
    watch = lead_watch.LeadWatch(0.3)
    assert watch.attempt_s == 0.3
    for number in range(20):
        watch.answered("a", number / 10, number / 10 + COMMIT_S)
    assert watch.attempt_s == lead_watch.SHORTEST_ATTEMPT_S
    watch.answered("a", 2.0, 2.05)
    assert watch.attempt_s == pytest.approx(0.2)
    watch.answered("a", 2.1, 2.5)
    assert watch.attempt_s == 0.3


def test_a_leader_that_answers_is_not_missed_any_more():
    watch = lead_watch.LeadWatch(0.3)
    watch.missed(10.0)
    watch.missed(10.9)
    assert watch.worth_waiting_until(10.9) == 11.05
    watch.answered("a", 12.0, 12.0)
    assert watch.worth_waiting_until(12.0) == 13.0
