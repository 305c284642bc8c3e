"""Replacement of permanently lost VMs in the groups in which they vote."""

import dataclasses
from collections import abc

import trio

from laburnumsill.core import clock as clocks
from laburnumsill.core import errors
from laburnumsill.core import ids
from laburnumsill.core import logs
from laburnumsill.core import replication
from laburnumsill.core import topology
from laburnumsill.daemon import make_up_sync
from laburnumsill.state import memberships

CHECK_INTERVAL_S = 1.0
CHANGE_TIMEOUT_S = 5.0


@dataclasses.dataclass(frozen=True, slots=True)
class VoterChange:
    """Replacement of one voter of one group by another VM."""

    group: str
    old: str
    new: str


def choose_spare(
    vms: abc.Sequence[topology.Vm],
    voters: abc.Sequence[str],
    lost: str,
    reachable: abc.Set[str],
) -> str | None:
    """Returns the VM that is to replace a lost voter, or None.

    VMs of the lost VM's failure domain are preferred, so that the domain can
    still serve on its own; among these, VMs with a disk.

    Args:
        vms: All VMs.
        voters: The current voters of the group.
        lost: The lost voter.
        reachable: The VMs that can be reached.
    """
    by_id = {vm.vm_id: vm for vm in vms}
    lost_domain = by_id[lost].domain
    spares = [
        vm for vm in vms if vm.vm_id in reachable and vm.vm_id not in voters
    ]
    spares.sort(
        key=lambda vm: (vm.domain != lost_domain, not vm.has_disk, vm.vm_id)
    )
    return spares[0].vm_id if spares else None


def lost_vms(
    vms: abc.Sequence[topology.Vm],
    reachable: abc.Set[str],
    lost_deadlines: abc.Mapping[str, float],
    now: float,
) -> list[str]:
    """Returns the VMs that count as permanently lost.

    If no VM of a domain can be reached, the domain is partitioned rather than
    lost. Its VMs may still serve the domain and are not replaced.

    Args:
        vms: All VMs.
        reachable: The VMs that can be reached.
        lost_deadlines: Monotonic time at which each unreachable VM counts as
            lost.
        now: The current monotonic time.
    """
    reachable_domains = {vm.domain for vm in vms if vm.vm_id in reachable}
    return [
        vm.vm_id
        for vm in vms
        if vm.vm_id not in reachable
        and vm.domain in reachable_domains
        and lost_deadlines.get(vm.vm_id, now + 1) <= now
    ]


class Replacement:
    """Replaces lost VMs while this VM leads the root group.

    A VM that stays unreachable until its deadline is replaced in each group
    in which it votes. The root group records the change, and the leader of
    the group executes it.

    Args:
        vms: All VMs.
        groups: Access to the root group.
        peers: Access to the other VMs.
        sync: The current voters of all groups.
        replace_after_s: Time without contact after which a VM is replaced.
        clock: The clock.
    """

    def __init__(
        self,
        vms: abc.Sequence[topology.Vm],
        groups: replication.Groups,
        peers: replication.Peers,
        sync: make_up_sync.MembershipSync,
        replace_after_s: float,
        clock: clocks.Clock,
    ) -> None:
        self._vms = vms
        self._groups = groups
        self._peers = peers
        self._membership_sync = sync
        self._replace_after_s = replace_after_s
        self._clock = clock
        self._lost_deadlines: dict[str, float] = {}

    async def run(self) -> None:
        """Checks the VMs until cancelled."""
        while True:
            await trio.sleep(CHECK_INTERVAL_S)
            if not self._groups.leads(ids.ROOT_GROUP):
                self._lost_deadlines.clear()
                continue
            for change in self._due_changes():
                await self._try_replace(change.group, change.old, change.new)

    async def _try_replace(self, group: str, old: str, new: str) -> None:
        """Records that `new` replaces `old` in `group`; logs a failure."""
        try:
            await self.replace(group, old, new)
        except errors.LaburnumsillError as error:
            logs.event(
                "replacement-failed", group=group, old=old, error=error.detail
            )

    async def replace(self, group: str, old: str, new: str) -> None:
        """Records in the root group that `new` replaces `old` in `group`.

        Raises:
            errors.UnknownNameError: `group` or `new` is unknown, or `old` is
                not a voter of `group`.
            errors.LaburnumsillError: The root group refused the change.
        """
        voters = self._membership_sync.voters.get(group)
        if voters is None:
            raise errors.UnknownNameError(f"no group {group!r}")
        if old not in voters:
            raise errors.UnknownNameError(f"{old!r} is no voter of {group!r}")
        if new not in {vm.vm_id for vm in self._vms}:
            raise errors.UnknownNameError(f"no VM {new!r}")
        new_voters = tuple(sorted({*voters, new} - {old}))
        logs.decision("replace", group=group, old=old, new=new)
        await self._groups.propose(
            ids.ROOT_GROUP,
            memberships.ChangeMakeUp(
                group, tuple(sorted(voters)), new_voters, f"{old} is replaced"
            ),
            self._clock.monotonic() + CHANGE_TIMEOUT_S,
        )

    def _due_changes(self) -> list[VoterChange]:
        now = self._clock.monotonic()
        reachable = self._peers.reachable()
        for vm in self._vms:
            if vm.vm_id in reachable:
                self._lost_deadlines.pop(vm.vm_id, None)
            else:
                self._lost_deadlines.setdefault(
                    vm.vm_id, now + self._replace_after_s
                )
        changes = []
        for old in lost_vms(self._vms, reachable, self._lost_deadlines, now):
            for group, voters in self._membership_sync.voters.items():
                if old not in voters:
                    continue
                new = choose_spare(self._vms, voters, old, reachable)
                if new is not None:
                    changes.append(VoterChange(group, old, new))
        return changes
