"""Finding the VMs of the core: from seeds, then from any that answers.

Nobody is told who there is. Every daemon knows the seeds of its settings,
which may be out of date or down, and asks the VMs it has found for those
that they know.
"""

from collections import abc

import msgspec
import trio

from laburnumsill.core import clock as clocks
from laburnumsill.core import codec
from laburnumsill.core import errors
from laburnumsill.core import logs
from laburnumsill.wire import network as networks

ASK_EVERY_S = 1.0

SELDOM_S = 8.0
"""A VM that only calls the core asks this seldom at last while it hears of
nothing new; it still follows when the VMs of the core are replaced one by one.
"""

ASK_WITHIN_S = 0.5

FORGET_AFTER_S = 60.0
"""A VM that is no member, no seed and was not reached for so long goes."""


@codec.register("directory.ask")
class CoreQuestion(msgspec.Struct, frozen=True):
    """Asks which VMs of the core are known."""

    asker: str


@codec.register("directory.answer")
class CoreAnswer(msgspec.Struct, frozen=True):
    """The VMs of the core that are known."""

    vms: tuple[str, ...]


class Directory:
    """The VMs of the core as this daemon knows them.

    Args:
        me: This VM's id among its peers.
        network: Connections to them.
        address_of: Returns where a VM listens for its peers.
        members: Returns the VMs that the replicated state names.
        clock: The clock of this process.
        longest_pause_s: The pause between two questions doubles up to this
            while nothing new is heard.
    """

    def __init__(
        self,
        me: str,
        network: networks.PeerNetwork,
        address_of: abc.Callable[[str], str],
        members: abc.Callable[[], abc.Iterable[str]],
        clock: clocks.Clock,
        longest_pause_s: float = ASK_EVERY_S,
    ) -> None:
        self._me = me
        self._network = network
        self._address_of = address_of
        self._members = members
        self._clock = clock
        self._longest_pause_s = longest_pause_s
        self._seeds: tuple[str, ...] = ()
        self._reached_at: dict[str, float] = {}
        self._turn = 0

    @property
    def vms(self) -> tuple[str, ...]:
        """The other VMs of the core that are known, those reached first."""
        reachable = self._network.reachable()
        known = sorted(self._reached_at.keys() - {self._me})
        return tuple(sorted(known, key=lambda vm: vm not in reachable))

    def answer_questions(self) -> None:
        """Answers the question of other daemons, as a VM of the core."""
        self._network.on_call(CoreQuestion, self._answer)

    def set_seeds(self, seeds: abc.Iterable[str]) -> None:
        """Takes the seeds of the settings."""
        self._seeds = tuple(seeds)
        self.learn(self._seeds)

    def learn(self, vms: abc.Iterable[str]) -> bool:
        """Makes VMs known; returns whether any of them is new."""
        any_new = False
        for vm in vms:
            if vm == self._me or vm in self._reached_at:
                continue
            self._reached_at[vm] = self._clock.monotonic()
            self._network.add_peer(vm, self._address_of(vm))
            logs.event("core-vm-learnt", peer=vm)
            any_new = True
        return any_new

    async def run(self) -> None:
        """Keeps what is known up to date until cancelled."""
        pause_s = ASK_EVERY_S
        while True:
            self.learn(self._members())
            settled = await self._ask_one()
            self._forget_lost()
            pause_s = 2 * pause_s if settled else ASK_EVERY_S
            pause_s = min(pause_s, self._longest_pause_s)
            await trio.sleep(pause_s)

    async def _ask_one(self) -> bool:
        """Asks the next VM that can be reached; returns if it knew no more."""
        reachable = self._network.reachable()
        candidates = [vm for vm in sorted(self._reached_at) if vm in reachable]
        if not candidates:
            return False
        self._turn += 1
        vm = candidates[self._turn % len(candidates)]
        deadline = self._clock.monotonic() + ASK_WITHIN_S
        try:
            answer = await self._network.call(
                vm, CoreQuestion(self._me), deadline
            )
        except errors.LaburnumsillError as error:
            logs.event(
                "core-question-failed", "DEBUG", peer=vm, reason=error.slug
            )
            return False
        return not self.learn(answer.vms)

    async def _answer(self, question: CoreQuestion) -> CoreAnswer:
        members = tuple(self._members())
        reachable = self._network.reachable()
        reached = (vm for vm in self._reached_at if vm in reachable)
        return CoreAnswer(tuple({self._me, *members, *reached}))

    def _forget_lost(self) -> None:
        now = self._clock.monotonic()
        reachable = self._network.reachable()
        kept = {*self._seeds, *self._members()}
        for vm in list(self._reached_at):
            if vm in reachable or vm in kept:
                self._reached_at[vm] = now
            elif now - self._reached_at[vm] > FORGET_AFTER_S:
                del self._reached_at[vm]
                self._network.remove_peer(vm)
                logs.event("core-vm-forgotten", peer=vm)
