"""Replaces VMs that are lost for good in the groups that they vote in."""

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
class Change:
    """One voter of one group to be replaced."""

    group: str
    old: str
    new: str


def choose_spare(
    vms: abc.Sequence[topology.Vm],
    voters: abc.Sequence[str],
    lost: str,
    reachable: abc.Set[str],
) -> str | None:
    """Returns the VM that is to take the place of a lost voter, or None.

    A VM of the lost one's failure domain goes first, so that the domain can
    still go on alone; then one that has a disk.

    Args:
        vms: All VMs.
        voters: The group's present voters.
        lost: The voter that is lost.
        reachable: The VMs that can be reached.
    """
    by_id = {vm.vm_id: vm for vm in vms}
    home = by_id[lost].domain
    spares = [
        vm for vm in vms if vm.vm_id in reachable and vm.vm_id not in voters
    ]
    spares.sort(key=lambda vm: (vm.domain != home, not vm.has_disk, vm.vm_id))
    return spares[0].vm_id if spares else None


def lost_vms(
    vms: abc.Sequence[topology.Vm],
    reachable: abc.Set[str],
    lost_deadlines: abc.Mapping[str, float],
    now: float,
) -> list[str]:
    """Returns the VMs that count as lost for good.

    A VM of a domain of which no VM can be reached is cut off rather than
    lost: it may well serve its domain, and it is left alone.

    Args:
        vms: All VMs.
        reachable: The VMs that can be reached.
        lost_deadlines: When each silent VM counts as lost; monotonic.
        now: The present point.
    """
    seen = {vm.domain for vm in vms if vm.vm_id in reachable}
    return [
        vm.vm_id
        for vm in vms
        if vm.vm_id not in reachable
        and vm.domain in seen
        and lost_deadlines.get(vm.vm_id, now + 1) <= now
    ]


class Replacement:
    """Watches the VMs while this one leads the root group.

    A VM that was silent until its deadline is replaced, one voter of each
    group at a time; the groups' leaders carry the change out.
    """

    def __init__(
        self,
        vms: abc.Sequence[topology.Vm],
        groups: replication.Groups,
        peers: replication.Peers,
        sync: make_up_sync.MakeUpSync,
        replace_after_s: float,
        clock: clocks.Clock,
    ) -> None:
        self._vms = vms
        self._groups = groups
        self._peers = peers
        self._sync = sync
        self._replace_after_s = replace_after_s
        self._clock = clock
        self._lost_deadlines: dict[str, float] = {}

    async def run(self) -> None:
        """Checks for as long as the daemon runs."""
        while True:
            await trio.sleep(CHECK_INTERVAL_S)
            if not self._groups.leads(ids.ROOT_GROUP):
                self._lost_deadlines.clear()
                continue
            for change in self._due_changes():
                await self.replace(change.group, change.old, change.new)

    async def replace(self, group: str, old: str, new: str) -> None:
        """Records that `new` takes the place of `old`; failures are logged."""
        try:
            await self.replace_now(group, old, new)
        except errors.LaburnumsillError as error:
            logs.event(
                "replacement-failed", group=group, old=old, error=error.detail
            )

    async def replace_now(self, group: str, old: str, new: str) -> None:
        """Records that `new` takes the place of `old` in `group`.

        Raises:
            errors.UnknownNameError: No such group or VM, or `old` is no voter.
            errors.LaburnumsillError: The root group refused the change.
        """
        voters = self._sync.voters.get(group)
        if voters is None:
            raise errors.UnknownNameError(f"no group {group!r}")
        if old not in voters:
            raise errors.UnknownNameError(f"{old!r} is no voter of {group!r}")
        if new not in {vm.vm_id for vm in self._vms}:
            raise errors.UnknownNameError(f"no VM {new!r}")
        changed = tuple(sorted({*voters, new} - {old}))
        logs.decision("replace", group=group, old=old, new=new)
        await self._groups.propose(
            ids.ROOT_GROUP,
            memberships.ChangeMakeUp(
                group, tuple(sorted(voters)), changed, f"{old} is replaced"
            ),
            self._clock.monotonic() + CHANGE_TIMEOUT_S,
        )

    def _due_changes(self) -> list[Change]:
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
            for group, voters in self._sync.voters.items():
                if old not in voters:
                    continue
                new = choose_spare(self._vms, voters, old, reachable)
                if new is not None:
                    changes.append(Change(group, old, new))
        return changes
