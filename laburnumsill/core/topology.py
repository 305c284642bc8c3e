"""The VMs of the system and the initial voters of its groups."""

import dataclasses
from collections import abc

from laburnumsill.core import codec
from laburnumsill.core import ids

SMALL_ROOT_DOMAINS = 3
"""With up to this number of domains the root group has 3 voters, which is one
in each of 3 domains."""

LARGE_ROOT_VOTERS = 5
"""Number of voters of the root group with more domains."""


@codec.register("topology.vm")
@dataclasses.dataclass(frozen=True, slots=True)
class Vm:
    """An entry VM.

    Attributes:
        vm_id: Its id, unique in the system.
        domain: Its failure domain.
        client_address: ``host:port`` of its HTTP interface.
        peer_address: ``host:port`` of its peer interface.
        has_disk: Whether it stores state in a data folder.
    """

    vm_id: str
    domain: str
    client_address: str
    peer_address: str
    has_disk: bool


def domains(vms: abc.Iterable[Vm]) -> list[str]:
    """Returns the names of the failure domains, sorted."""
    return sorted({vm.domain for vm in vms})


def domain_voters(vms: abc.Sequence[Vm], domain: str) -> list[str]:
    """Returns the initial voters of a domain's group: two inside, one outside.

    A partitioned domain has two of three voters, a quorum, and the group
    tolerates the loss of any one VM. VMs with a disk are preferred. The
    outside voter is from the next domain in name order, which distributes
    these voters evenly.

    Args:
        vms: All VMs of the system.
        domain: The domain of the group.
    """
    inside = [vm for vm in vms if vm.domain == domain]
    names = domains(vms)
    position = names.index(domain)
    others = names[position + 1 :] + names[:position]
    outside: list[Vm] = []
    for name in others:
        outside += _disks_first(vm for vm in vms if vm.domain == name)
    chosen = _disks_first(inside)[:2] + outside[:1]
    return [vm.vm_id for vm in chosen]


def root_voters(vms: abc.Sequence[Vm]) -> list[str]:
    """Returns the initial voters of the root group: 3 or 5, spread evenly."""
    names = domains(vms)
    by_domain = {
        name: _disks_first(vm for vm in vms if vm.domain == name)
        for name in names
    }
    wanted = 3 if len(names) <= SMALL_ROOT_DOMAINS else LARGE_ROOT_VOTERS
    chosen: list[str] = []
    rank = 0
    while len(chosen) < wanted and rank < len(vms):
        for name in names:
            if rank < len(by_domain[name]) and len(chosen) < wanted:
                chosen.append(by_domain[name][rank].vm_id)
        rank += 1
    return chosen if len(chosen) % 2 else chosen[:-1]


def initial_voters(vms: abc.Sequence[Vm]) -> dict[str, list[str]]:
    """Returns the initial voters of every group, by group name.

    Examples:
        >>> vms = [Vm(f"vm{n}", f"d{n % 3}", "", "", n < 3) for n in range(8)]
        >>> initial_voters(vms)["root"]
        ['vm0', 'vm1', 'vm2']
        >>> initial_voters(vms)["domain.d2"]
        ['vm2', 'vm5', 'vm0']
    """
    groups = {str(ids.ROOT_GROUP): root_voters(vms)}
    for name in domains(vms):
        groups[ids.domain_group(name)] = domain_voters(vms, name)
    return groups


def _disks_first(vms: abc.Iterable[Vm]) -> list[Vm]:
    return sorted(vms, key=lambda vm: (not vm.has_disk, vm.vm_id))
