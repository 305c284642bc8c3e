"""Choice of the VM that a configuration version is fetched from."""

import random
from collections import abc

from laburnumsill.core import clock as clocks
from laburnumsill.core import hashing
from laburnumsill.core import topology

DOMAIN_WAIT_S = 0.4
"""Time that a VM waits until a VM of its own failure domain has a version,
before it fetches the version from another domain too."""


class Sources:
    """Chooses the VM to fetch a version from; prefers the own failure domain.

    Explanation:
        In a failure domain in which no VM has the version yet, one VM,
        selected by rendezvous hashing of the version, fetches it from another
        domain. The others wait and fetch it from that VM, or after
        `DOMAIN_WAIT_S` from another domain too.

    Args:
        local_vm: This VM.
        vms: All VMs.
        clock: The clock.
    """

    def __init__(
        self,
        local_vm: topology.Vm,
        vms: abc.Iterable[topology.Vm],
        clock: clocks.Clock,
    ) -> None:
        self._local_vm_id = local_vm.vm_id
        self._domain_vms = {
            vm.vm_id for vm in vms if vm.domain == local_vm.domain
        }
        self._clock = clock
        self._in_force: int | None = None
        self._cross_domain_at = 0.0

    def choose(
        self,
        version: int,
        in_force: int,
        sources: set[str],
        reachable: abc.Set[str],
    ) -> str | None:
        """Returns the VM to fetch from, None to wait for one of the own domain.

        Args:
            version: The version to fetch.
            in_force: The older version in force on this VM; the wait ends
                `DOMAIN_WAIT_S` after the first notice of a newer one.
            sources: The VMs that have the version by their notices, at least
                one.
            reachable: The VMs that can be reached.
        """
        same_domain = sources & reachable & self._domain_vms
        if same_domain:
            return random.choice(sorted(same_domain))
        if not self._may_cross_domains(version, in_force, reachable):
            return None
        return random.choice(sorted((sources & reachable) or sources))

    def _may_cross_domains(
        self, version: int, in_force: int, reachable: abc.Set[str]
    ) -> bool:
        now = self._clock.monotonic()
        if in_force != self._in_force:
            self._in_force = in_force
            self._cross_domain_at = now + DOMAIN_WAIT_S
        if now >= self._cross_domain_at:
            return True
        candidates = (self._domain_vms & reachable) | {self._local_vm_id}
        return hashing.rendezvous(str(version), candidates) == self._local_vm_id
