"""A simulated group whose membership is managed as on a real site.

Each VM runs the membership manager and the voter choice of the product beside
its engine. It knows of the other VMs only what it has received from them since
its process started.
"""

import string

from laburnumsill.consensus import engine as engines
from laburnumsill.consensus import host_messages
from laburnumsill.consensus import membership_manager
from laburnumsill.consensus import types
from laburnumsill.consensus import voter_choice
from laburnumsill.consensus.tests import simulated_group
from laburnumsill.core import clock as clocks
from laburnumsill.core import replication

GROUP = "g"
STEPS_PER_RECONCILIATION = 5
"""Number of simulation steps, of 0.05 s each, between reconciliations."""


class _NoPeers(replication.Peers):
    """Unused peers: hellos are passed directly between the managers."""

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


class _HostedReplica:
    """The part of a hosted replica that the membership manager uses."""

    name = GROUP
    with_disk = True

    def __init__(self, host: simulated_group.Host, now: float) -> None:
        self._now = now
        self.replica_id = host.replica_id
        self.engine = host.engine

    @property
    def is_fresh(self) -> bool:
        return self.engine.last_index == 0

    @property
    def is_member(self) -> bool:
        membership = self.engine.membership
        return self.replica_id in membership.voters + membership.learners

    def propose_membership(self, membership: types.Membership) -> None:
        self.engine.propose_membership(membership, self._now)


class ManagedGroup(simulated_group.Group):
    """A group with managed membership; all its VMs have disks.

    Args:
        vms: The VMs; the first `voter_count` are the initial voters.
        voter_count: The desired number of voters.
        seed: The seed of the random numbers.
    """

    def __init__(self, vms: str, voter_count: int, seed: int) -> None:
        self._voter_count = voter_count
        self._managers: dict[str, membership_manager.MembershipManager] = {}
        self._engines: dict[str, engines.Engine | None] = {}
        self._clock = clocks.ManualClock()
        self._step_count = 0
        self._reported_membership_index = 0
        super().__init__(vms[:voter_count], string.ascii_lowercase, seed)
        for spare in vms[voter_count:]:
            self.add(spare)

    @property
    def voters(self) -> tuple[types.ReplicaId, ...]:
        """The voters according to the leader; empty without a leader."""
        leader = self.leader()
        return leader.engine.membership.voters if leader else ()

    def run(self, seconds: float) -> None:
        for _ in range(round(seconds / 0.05)):
            super().run(0.05)
            self._step_count += 1
            if (
                self._membership_was_committed()
                or self._step_count % STEPS_PER_RECONCILIATION == 0
            ):
                self._reconcile()

    def lose_power(
        self, vm: str, seconds: float, kept_records: int = 0
    ) -> None:
        """Stops a VM for a while, with the loss of its unsynced writes.

        Args:
            vm: The VM.
            seconds: How long the VM is down.
            kept_records: The number of records of the current write that
                survive.
        """
        self.hosts[vm].crash(kept_records, seconds)

    def lose_disk(self, vm: str, seconds: float = 0.0) -> None:
        """Restarts a VM with an empty disk after `seconds`."""
        self.add(vm).crash(0, seconds)

    def _reconcile(self) -> None:
        self._clock.advance(self.now - self._clock.monotonic())
        running = {
            vm: host for vm, host in self.hosts.items() if self._is_up(host)
        }
        for vm, host in running.items():
            if self._engines.get(vm) is not host.engine:
                self._engines[vm] = host.engine
                self._managers[vm] = self._new_manager(vm)
            self._managers[vm].set_desired_voters({GROUP: tuple(self.hosts)})
        for vm in self.random.sample(sorted(running), len(running)):
            hosted = _HostedReplica(running[vm], self.now)
            if self._managers[vm].needs_discovery(hosted):
                self._send_hello(hosted, running)
            if running[vm].engine.role == "leader":
                self._managers[vm].reconcile(hosted)

    def _membership_was_committed(self) -> bool:
        """Returns whether a membership change was newly committed."""
        leader = self.leader()
        if leader is None:
            return False
        index = leader.engine.membership_index
        committed = (
            self._reported_membership_index < index <= leader.engine.committed
        )
        if committed:
            self._reported_membership_index = index
        return committed

    def _is_up(self, host: simulated_group.Host) -> bool:
        return host.engine is not None and self.now >= host.paused_until

    def _new_manager(self, vm: str) -> membership_manager.MembershipManager:
        return membership_manager.MembershipManager(
            vm,
            {},
            frozenset(sorted(self.hosts)[:3]),
            _NoPeers(),
            self._clock,
            simulated_group.OPTIONS,
            voter_choice.VoterChoice(self._voter_count),
        )

    def _send_hello(
        self, hosted: _HostedReplica, running: dict[str, simulated_group.Host]
    ) -> None:
        hello = host_messages.Hello(GROUP, hosted.replica_id, True)
        for vm, host in running.items():
            link = frozenset((vm, hosted.replica_id.vm))
            if vm in self._managers and self.now >= self.cut.get(link, 0.0):
                self._managers[vm].answer_hello(
                    hello, _HostedReplica(host, self.now)
                )
