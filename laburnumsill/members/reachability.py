"""Which VMs of each failure domain can be reached from this one."""

import math
from collections import abc

from laburnumsill.core import clock as clocks
from laburnumsill.core import replication
from laburnumsill.core import topology
from laburnumsill.members import errors
from laburnumsill.members import watching


class Reachability:
    """The reachable VMs as of the last update.

    Attributes:
        vms: All reachable VMs.
        by_domain: The reachable VMs of each domain that has any, sorted.
    """

    def __init__(
        self,
        me: topology.Vm,
        vms: abc.Sequence[topology.Vm],
        peers: replication.Peers,
        clock: clocks.Clock,
    ) -> None:
        self.vms: frozenset[str] = frozenset()
        self.by_domain: dict[str, list[str]] = {}
        self._me = me.vm_id
        self._domain_of = {vm.vm_id: vm.domain for vm in vms}
        self._has_neighbours = any(
            vm.domain == me.domain and vm.vm_id != me.vm_id for vm in vms
        )
        self._since = dict.fromkeys(topology.domains(vms), math.inf)
        self._peers = peers
        self._clock = clock

    def update(self) -> bool:
        """Asks the peers and returns whether anything is different."""
        vms = self._peers.reachable() | {self._me}
        if vms == self.vms:
            return False
        self.vms = vms
        self.by_domain = {}
        for vm in sorted(vms & self._domain_of.keys()):
            self.by_domain.setdefault(self._domain_of[vm], []).append(vm)
        now = self._clock.monotonic()
        for domain in self._since:
            if domain not in self.by_domain:
                self._since[domain] = math.inf
            elif self._since[domain] == math.inf:
                self._since[domain] = now
        return True

    @property
    def cut_off(self) -> bool:
        """Whether this VM reaches no other, though its domain has others.

        What such a VM hears it can pass on to nobody, and without another
        voter of its domain it decides nothing itself. The only VM of a
        failure domain is no such case: it serves its domain alone.
        """
        return self._has_neighbours and self.vms <= {self._me}

    def since(self, domain: str) -> float:
        """Returns since when a domain is in reach, infinite if it is not."""
        return self._since[domain]

    def watchers(self, key: int, domain: str) -> list[str]:
        """Returns the watchers of a member as seen from here.

        Raises:
            errors.UnknownDomainError: There is no such domain.
            errors.DomainUnreachableError: No VM of it can be reached.
        """
        if domain not in self._since:
            raise errors.UnknownDomainError(f"no domain {domain!r}")
        vms = self.by_domain.get(domain)
        if not vms:
            raise errors.DomainUnreachableError(
                f"no VM of {domain!r} can be reached"
            )
        return watching.watchers_of(key, vms)
