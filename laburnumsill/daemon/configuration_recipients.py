"""Which VMs are told the version in force on this one."""

import collections
from collections import abc

from laburnumsill.core import hashing
from laburnumsill.core import topology

ALL_UP_TO = 8
"""With up to so many other VMs all are told of each new version at once."""

ROUND_VMS = 4
"""How many VMs are told in one round."""


class Recipients:
    """Chooses who is told of a new version, and who in each round.

    Explanation:
        If each of n VMs told all others of each version, that would be
        n * (n - 1) notices. Beyond `ALL_UP_TO` others a VM tells those of
        its own failure domain, and one with a replica of the root group
        also the VM of each other domain that the version draws, which is
        the one that fetches first, see `configuration_sources`. The rounds
        cover whoever was missed.

    Args:
        me: This VM.
        vms: All VMs.
    """

    def __init__(self, me: topology.Vm, vms: abc.Iterable[topology.Vm]) -> None:
        self._others: list[str] = []
        self._near: list[str] = []
        self._far: dict[str, set[str]] = collections.defaultdict(set)
        for vm in vms:
            if vm.vm_id == me.vm_id:
                continue
            self._others.append(vm.vm_id)
            if vm.domain == me.domain:
                self._near.append(vm.vm_id)
            else:
                self._far[vm.domain].add(vm.vm_id)
        self._turn = 0

    def of_new(
        self, version: int, reachable: abc.Set[str], has_replica: bool
    ) -> list[str]:
        """Returns who is told at once of a version that came into force.

        Args:
            version: The version.
            reachable: The VMs that can be reached.
            has_replica: Whether this VM has a replica of the root group.
        """
        if len(self._others) <= ALL_UP_TO:
            return self._others
        if not has_replica:
            return self._near
        drawn = [
            hashing.rendezvous(str(version), vms & reachable)
            for vms in self._far.values()
            if vms & reachable
        ]
        return self._near + drawn

    def of_round(self) -> list[str]:
        """Returns who is told in the next round; each has its turn."""
        count = min(ROUND_VMS, len(self._others))
        chosen = [
            self._others[(self._turn + offset) % len(self._others)]
            for offset in range(count)
        ]
        if chosen:
            self._turn = (self._turn + count) % len(self._others)
        return chosen
