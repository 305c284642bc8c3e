"""Distribution of the groups' memberships from the root group to every VM."""

import dataclasses
from collections import abc

import trio

from laburnumsill.core import codec
from laburnumsill.core import ids
from laburnumsill.core import logs
from laburnumsill.core import replication
from laburnumsill.core import topology
from laburnumsill.state import memberships

BROADCAST_INTERVAL_S = 1.0
"""Interval at which the root group's leader notifies all VMs."""


@codec.register("make-up.notice")
@dataclasses.dataclass(frozen=True, slots=True)
class MakeUpNotice:
    """The groups' memberships, as the root group's leader has applied them."""

    make_up: memberships.MakeUp


class MembershipSync:
    """Keeps the groups' memberships on this VM up to date.

    The leader of the root group reads them from its replica and sends them to
    the other VMs. An older revision never replaces a newer one, so late
    notices and those of a deposed leader have no effect.

    Args:
        vms: All VMs.
        local_vm: This VM.
        groups: Access to the root group.
        peers: Access to the other VMs.
        set_desired_voters: Sets the desired voters by group on this VM.
    """

    def __init__(
        self,
        vms: abc.Sequence[topology.Vm],
        local_vm: topology.Vm,
        groups: replication.Groups,
        peers: replication.Peers,
        set_desired_voters: abc.Callable[
            [abc.Mapping[str, abc.Sequence[str]]], None
        ],
    ) -> None:
        self._initial_groups = topology.initial_voters(vms)
        self._others = [vm.vm_id for vm in vms if vm.vm_id != local_vm.vm_id]
        self._groups = groups
        self._peers = peers
        self._set_desired_voters = set_desired_voters
        self._make_up = memberships.MakeUp()
        peers.on_notice(MakeUpNotice, self._on_notice)

    @property
    def voters(self) -> dict[str, list[str]]:
        """The voters of every group, by the newest revision on this VM."""
        return self._make_up.voters_by_group(self._initial_groups)

    @property
    def revision(self) -> int:
        """The newest revision on this VM."""
        return self._make_up.revision

    async def run(self) -> None:
        """Broadcasts the memberships while this VM leads the root group."""
        while True:
            if self._groups.leads(ids.ROOT_GROUP):
                self._broadcast()
            await trio.sleep(BROADCAST_INTERVAL_S)

    def _broadcast(self) -> None:
        machine = self._groups.local_state_machine(ids.ROOT_GROUP)
        if machine is None:
            return
        self._update(machine.component("make-up").membership)
        if not self._make_up.revision:
            return
        for vm_id in self._others:
            self._peers.notify(vm_id, MakeUpNotice(self._make_up))

    def _on_notice(self, notice: MakeUpNotice) -> None:
        self._update(notice.make_up)

    def _update(self, newer: memberships.MakeUp) -> None:
        if newer.revision <= self._make_up.revision:
            return
        self._make_up = newer
        logs.event("make-up-followed", revision=newer.revision)
        self._set_desired_voters(self.voters)
