"""Brings the groups' make-up from the root group to every VM."""

import dataclasses
from collections import abc

import trio

from laburnumsill.core import codec
from laburnumsill.core import ids
from laburnumsill.core import logs
from laburnumsill.core import replication
from laburnumsill.core import topology
from laburnumsill.state import memberships

INTERVAL_S = 1.0
"""How often the root group's leader tells every VM the make-up."""


@codec.register("make-up.notice")
@dataclasses.dataclass(frozen=True, slots=True)
class MakeUpNotice:
    """The make-up, as the root group's leader has applied it."""

    make_up: memberships.MakeUp


class MakeUpSync:
    """Follows the make-up; a VM without a root replica hears of it by notice.

    An older revision never replaces a newer one, so that late notices and
    those of a leader that was deposed do no harm.
    """

    def __init__(
        self,
        vms: abc.Sequence[topology.Vm],
        me: topology.Vm,
        groups: replication.Groups,
        peers: replication.Peers,
        set_make_up: abc.Callable[[abc.Mapping[str, abc.Sequence[str]]], None],
    ) -> None:
        self._first = topology.first_groups(vms)
        self._others = [vm.vm_id for vm in vms if vm.vm_id != me.vm_id]
        self._groups = groups
        self._peers = peers
        self._set_make_up = set_make_up
        self._present = memberships.MakeUp()
        peers.on_notice(MakeUpNotice, self._on_notice)

    @property
    def voters(self) -> dict[str, list[str]]:
        """The voters of every group, as far as this VM has heard."""
        return self._present.voters_by_group(self._first)

    @property
    def revision(self) -> int:
        """The newest revision that this VM has heard of."""
        return self._present.revision

    async def run(self) -> None:
        """Spreads the make-up for as long as this VM leads the root group."""
        while True:
            if self._groups.leads(ids.ROOT_GROUP):
                self._spread()
            await trio.sleep(INTERVAL_S)

    def _spread(self) -> None:
        machine = self._groups.local(ids.ROOT_GROUP)
        if machine is None:
            return
        self._follow(machine.component("make-up").membership)
        if not self._present.revision:
            return
        for vm_id in self._others:
            self._peers.notify(vm_id, MakeUpNotice(self._present))

    def _on_notice(self, notice: MakeUpNotice) -> None:
        self._follow(notice.make_up)

    def _follow(self, newer: memberships.MakeUp) -> None:
        if newer.revision <= self._present.revision:
            return
        self._present = newer
        logs.event("make-up-followed", revision=newer.revision)
        self._set_make_up(self.voters)
