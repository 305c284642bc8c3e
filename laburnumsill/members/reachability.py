"""Reachability of the VMs of each failure domain from this VM."""

import math
from collections import abc

from laburnumsill.core import clock as clocks
from laburnumsill.core import replication
from laburnumsill.core import topology
from laburnumsill.members import errors
from laburnumsill.members import watching


class Reachability:
    """The VMs that were reachable at the last update.

    Attributes:
        vms: All reachable VMs, this one included.
        by_domain: The sorted reachable VMs by domain; a domain without
            reachable VMs has no key.
    """

    def __init__(
        self,
        local_vm: topology.Vm,
        vms: abc.Sequence[topology.Vm],
        peers: replication.Peers,
        clock: clocks.Clock,
    ) -> None:
        self.vms: frozenset[str] = frozenset()
        self.by_domain: dict[str, list[str]] = {}
        self._local_vm = local_vm.vm_id
        self._domain_of = {vm.vm_id: vm.domain for vm in vms}
        self._has_domain_peers = any(
            vm.domain == local_vm.domain and vm.vm_id != local_vm.vm_id
            for vm in vms
        )
        self._reachable_since = dict.fromkeys(topology.domains(vms), math.inf)
        self._peers = peers
        self._clock = clock

    def update(self) -> bool:
        """Updates the reachable VMs; returns whether they have changed."""
        vms = self._peers.reachable() | {self._local_vm}
        if vms == self.vms:
            return False
        self.vms = vms
        self.by_domain = {}
        for vm in sorted(vms & self._domain_of.keys()):
            self.by_domain.setdefault(self._domain_of[vm], []).append(vm)
        now = self._clock.monotonic()
        for domain in self._reachable_since:
            if domain not in self.by_domain:
                self._reachable_since[domain] = math.inf
            elif self._reachable_since[domain] == math.inf:
                self._reachable_since[domain] = now
        return True

    @property
    def cut_off(self) -> bool:
        """Whether this VM reaches no other VM although its domain has some.

        A VM that is cut off cannot forward announcements, and without another
        voter of its domain it has no quorum. The only VM of a failure domain
        never counts as cut off, since it can serve its domain alone.
        """
        return self._has_domain_peers and self.vms <= {self._local_vm}

    def reachable_since(self, domain: str) -> float:
        """Returns since when a domain is reachable, infinite if it is not."""
        return self._reachable_since[domain]

    def watchers(self, key: int, domain: str) -> list[str]:
        """Returns the watchers of a member among the reachable VMs.

        Raises:
            errors.UnknownDomainError: There is no such domain.
            errors.DomainUnreachableError: No VM of it is reachable.
        """
        if domain not in self._reachable_since:
            raise errors.UnknownDomainError(f"no domain {domain!r}")
        vms = self.by_domain.get(domain)
        if not vms:
            raise errors.DomainUnreachableError(
                f"no VM of {domain!r} can be reached"
            )
        return watching.watchers_of(key, vms)
