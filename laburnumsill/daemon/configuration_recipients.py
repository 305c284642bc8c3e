"""Choice of the VMs that are notified of the version in force on this VM."""

import collections
from collections import abc

from laburnumsill.core import hashing
from laburnumsill.core import topology

MAX_BROADCAST_PEERS = 8
"""Number of other VMs up to which all are notified of a new version at once."""

VMS_PER_ROUND = 4
"""Number of VMs that are notified in one round."""


class Recipients:
    """Chooses the VMs to notify of a new version and in each round.

    Explanation:
        If each of n VMs notified all others of each version, that would be
        n * (n - 1) notices. With more than `MAX_BROADCAST_PEERS` others, a VM
        notifies those of its own failure domain. A follower of the root
        group also notifies one VM of each other domain, selected by
        rendezvous hashing of the version: the one that fetches first, see
        `configuration_sources`. The leader does not, since it already sends
        the version to all voters; the VMs then fetch from its followers. The
        rounds cover VMs that missed a notice.

    Args:
        local_vm: This VM.
        vms: All VMs.
    """

    def __init__(
        self, local_vm: topology.Vm, vms: abc.Iterable[topology.Vm]
    ) -> None:
        self._others: list[str] = []
        self._same_domain: list[str] = []
        self._other_domains: dict[str, set[str]] = collections.defaultdict(set)
        for vm in vms:
            if vm.vm_id == local_vm.vm_id:
                continue
            self._others.append(vm.vm_id)
            if vm.domain == local_vm.domain:
                self._same_domain.append(vm.vm_id)
            else:
                self._other_domains[vm.domain].add(vm.vm_id)
        self._next_index = 0

    def for_new_version(
        self, version: int, reachable: abc.Set[str], is_root_follower: bool
    ) -> list[str]:
        """Returns the VMs to notify at once of a version that came into force.

        Args:
            version: The version.
            reachable: The VMs that can be reached.
            is_root_follower: Whether this VM has a replica of the root group
                and is not its leader.
        """
        if len(self._others) <= MAX_BROADCAST_PEERS:
            return self._others
        if not is_root_follower:
            return self._same_domain
        selected = [
            hashing.rendezvous(str(version), vms & reachable)
            for vms in self._other_domains.values()
            if vms & reachable
        ]
        return self._same_domain + selected

    def for_next_round(self) -> list[str]:
        """Returns the VMs to notify in the next round, in round-robin order."""
        count = min(VMS_PER_ROUND, len(self._others))
        chosen = [
            self._others[(self._next_index + offset) % len(self._others)]
            for offset in range(count)
        ]
        if chosen:
            self._next_index = (self._next_index + count) % len(self._others)
        return chosen
