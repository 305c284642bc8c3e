import hypothesis
from hypothesis import strategies

from laburnumsill.core import hashing
from laburnumsill.core import topology


@strategies.composite
def sites(draw):
    """Generates 2 to 9 domains of 2 to 4 VMs each, one of them with a disk."""
    vms = []
    for domain in range(draw(strategies.integers(2, 9))):
        for rank in range(draw(strategies.integers(2, 4))):
            name = f"vm{domain}-{rank}"
            vms.append(topology.Vm(name, f"d{domain}", "", "", rank == 0))
    return vms


@hypothesis.given(sites())
def test_a_partitioned_domain_has_a_majority_of_its_own_group(vms):
    domain_of = {vm.vm_id: vm.domain for vm in vms}
    for domain in topology.domains(vms):
        voters = topology.domain_voters(vms, domain)
        inside = [vm for vm in voters if domain_of[vm] == domain]
        assert len(voters) == 3
        assert len(inside) == 2


@hypothesis.given(sites())
def test_the_root_group_keeps_a_majority_without_any_one_domain(vms):
    domain_of = {vm.vm_id: vm.domain for vm in vms}
    voters = topology.root_voters(vms)
    assert len(voters) % 2 == 1
    if len(topology.domains(vms)) < 3:
        return  # with two domains, one of them has the majority
    for domain in topology.domains(vms):
        remaining = [vm for vm in voters if domain_of[vm] != domain]
        assert len(remaining) > len(voters) // 2


@hypothesis.given(sites())
def test_every_group_has_a_voter_with_a_disk(vms):
    with_disk = {vm.vm_id for vm in vms if vm.has_disk}
    for voters in topology.initial_voters(vms).values():
        assert with_disk & set(voters)


@hypothesis.given(
    strategies.text(),
    strategies.sets(strategies.text(min_size=1), min_size=2),
)
def test_removing_a_node_moves_only_its_keys(key, nodes):
    chosen = hashing.rendezvous(key, nodes)
    for gone in nodes - {chosen}:
        assert hashing.rendezvous(key, nodes - {gone}) == chosen
