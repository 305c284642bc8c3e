"""A simulated group whose voters are kept as those of a site are.

Each VM runs the product's own choice of voters beside its engine, knows no
more of the others than they told it since its process started, and forgets
that when it starts again.
"""

import string

from laburnumsill.consensus import engine as engines
from laburnumsill.consensus import host_members
from laburnumsill.consensus import host_messages
from laburnumsill.consensus import types
from laburnumsill.consensus import voter_choice
from laburnumsill.consensus.tests import simulated_group
from laburnumsill.core import clock as clocks
from laburnumsill.core import replication

GROUP = "g"
TURNS_A_ROUND = 5
"""Turns of the group, of 0.05 s each, for one of housekeeping."""


class _NoPeers(replication.Peers):
    """The hellos of this test go directly from keeper to keeper."""

    async def call(self, vm, request, deadline):
        raise NotImplementedError

    def notify(self, vm, notice):
        raise NotImplementedError

    def on_call(self, request_type, handler):
        raise NotImplementedError

    def on_notice(self, notice_type, handler):
        raise NotImplementedError

    def reachable(self):
        raise NotImplementedError


class _Hosted:
    """What a keeper sees of the replica beside it."""

    name = GROUP
    with_disk = True

    def __init__(self, host: simulated_group.Host, now: float) -> None:
        self._now = now
        self.me = host.me
        self.engine = host.engine

    @property
    def is_fresh(self) -> bool:
        return self.engine.last_index == 0

    @property
    def is_member(self) -> bool:
        membership = self.engine.membership
        return self.me in membership.voters + membership.learners

    def propose_membership(self, membership: types.Membership) -> None:
        self.engine.propose_membership(membership, self._now)


class KeptGroup(simulated_group.Group):
    """A group of `wanted` voters on some of its VMs, all with disks."""

    def __init__(self, vms: str, wanted: int, seed: int) -> None:
        self._wanted = wanted
        self._managers: dict[str, host_members.MembershipManager] = {}
        self._engines: dict[str, engines.Engine | None] = {}
        self._clock = clocks.ManualClock()
        self._turn = 0
        self._settled_index = 0
        super().__init__(vms[:wanted], string.ascii_lowercase, seed)
        for spare in vms[wanted:]:
            self.add(spare)

    @property
    def voters(self) -> tuple[types.ReplicaId, ...]:
        """The voters that the leader knows, none without a leader."""
        leader = self.leader()
        return leader.engine.membership.voters if leader else ()

    def run(self, seconds: float) -> None:
        for _ in range(round(seconds / 0.05)):
            super().run(0.05)
            self._turn += 1
            if self._settled() or self._turn % TURNS_A_ROUND == 0:
                self._reconcile()

    def lose_power(self, vm: str, seconds: float, kept: int = 0) -> None:
        """Takes the process for a while, and what was not synced.

        Args:
            vm: Which VM.
            seconds: For so long.
            kept: So many records of the write that was under way stay.
        """
        self.hosts[vm].crash(kept, seconds)

    def lose_disk(self, vm: str, seconds: float = 0.0) -> None:
        """Brings a VM back empty after a while."""
        self.add(vm).crash(0, seconds)

    def _reconcile(self) -> None:
        self._clock.advance(self.now - self._clock.monotonic())
        up = {vm: host for vm, host in self.hosts.items() if self._is_up(host)}
        for vm, host in up.items():
            if self._engines.get(vm) is not host.engine:
                self._engines[vm] = host.engine
                self._managers[vm] = self._new_manager(vm)
            self._managers[vm].set_make_up({GROUP: tuple(self.hosts)})
        for vm in self.random.sample(sorted(up), len(up)):
            hosted = _Hosted(up[vm], self.now)
            if self._managers[vm].needs_discovery(hosted):
                self._say_hello(hosted, up)
            if up[vm].engine.role == "leader":
                self._managers[vm].reconcile(hosted)

    def _settled(self) -> bool:
        """Whether the leader may propose the next step of a change."""
        leader = self.leader()
        if leader is None:
            return False
        index = leader.engine.membership_index
        settled = self._settled_index < index <= leader.engine.committed
        if settled:
            self._settled_index = index
        return settled

    def _is_up(self, host: simulated_group.Host) -> bool:
        return host.engine is not None and self.now >= host.paused_until

    def _new_manager(self, vm: str) -> host_members.MembershipManager:
        return host_members.MembershipManager(
            vm,
            {},
            frozenset(sorted(self.hosts)[:3]),
            _NoPeers(),
            self._clock,
            simulated_group.OPTIONS,
            voter_choice.VoterChoice(self._wanted),
        )

    def _say_hello(
        self, hosted: _Hosted, up: dict[str, simulated_group.Host]
    ) -> None:
        hello = host_messages.Hello(GROUP, hosted.me, True)
        for vm, host in up.items():
            pair = frozenset((vm, hosted.me.vm))
            if vm in self._managers and self.now >= self.cut.get(pair, 0.0):
                self._managers[vm].answer(hello, _Hosted(host, self.now))
