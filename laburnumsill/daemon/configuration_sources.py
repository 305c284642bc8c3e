"""Which VM a configuration version is fetched from."""

import random
from collections import abc

from laburnumsill.core import clock as clocks
from laburnumsill.core import hashing
from laburnumsill.core import topology

NEAR_S = 0.4
"""Time that a VM waits for one of its own failure domain to have a version
before it fetches it from another domain too."""


class Sources:
    """Chooses the VM to fetch a version from, one of the own domain first.

    Explanation:
        Of a failure domain in which no VM has the version yet, one VM drawn
        by the version fetches it from another domain; the others wait and
        fetch it from that one, or after `NEAR_S` from another domain too.

    Args:
        me: This VM.
        vms: All VMs.
        clock: The clock.
    """

    def __init__(
        self,
        me: topology.Vm,
        vms: abc.Iterable[topology.Vm],
        clock: clocks.Clock,
    ) -> None:
        self._me = me.vm_id
        self._domain = {vm.vm_id for vm in vms if vm.domain == me.domain}
        self._clock = clock
        self._in_force: int | None = None
        self._far_from = 0.0

    def choose(
        self,
        version: int,
        in_force: int,
        sources: set[str],
        reachable: abc.Set[str],
    ) -> str | None:
        """Returns the VM to fetch from, None to wait for a nearer one.

        Args:
            version: The version to fetch.
            in_force: The older version in force on this VM; the wait is over
                `NEAR_S` after the first newer one was heard of.
            sources: The VMs that said that they have it, at least one.
            reachable: The VMs that can be reached.
        """
        near = sources & reachable & self._domain
        if near:
            return random.choice(sorted(near))
        if not self._may_go_far(version, in_force, reachable):
            return None
        return random.choice(sorted((sources & reachable) or sources))

    def _may_go_far(
        self, version: int, in_force: int, reachable: abc.Set[str]
    ) -> bool:
        now = self._clock.monotonic()
        if in_force != self._in_force:
            self._in_force = in_force
            self._far_from = now + NEAR_S
        if now >= self._far_from:
            return True
        candidates = (self._domain & reachable) | {self._me}
        return hashing.rendezvous(str(version), candidates) == self._me
