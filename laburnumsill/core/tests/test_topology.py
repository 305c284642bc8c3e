import hypothesis
from hypothesis import strategies

from laburnumsill.core import hashing
from laburnumsill.core import topology


@strategies.composite
def sites(draw):
    """Two to nine domains of two to four VMs, one with a disk in each."""
    vms = []
    for domain in range(draw(strategies.integers(2, 9))):
        for rank in range(draw(strategies.integers(2, 4))):
            name = f"vm{domain}-{rank}"
            vms.append(topology.Vm(name, f"d{domain}", "", "", rank == 0))
    return vms


@hypothesis.given(sites())
def test_a_domain_cut_off_keeps_a_majority_of_its_own_group(vms):
    domain_of = {vm.vm_id: vm.domain for vm in vms}
    for domain in topology.domains(vms):
        voters = topology.domain_voters(vms, domain)
        inside = [vm for vm in voters if domain_of[vm] == domain]
        assert len(voters) == 3
        assert len(inside) == 2


@hypothesis.given(sites())
def test_the_loss_of_one_domain_leaves_the_root_group_a_majority(vms):
    domain_of = {vm.vm_id: vm.domain for vm in vms}
    voters = topology.root_voters(vms)
    assert len(voters) % 2 == 1
    if len(topology.domains(vms)) < 3:
        return  # with two domains one of them holds the majority
    for domain in topology.domains(vms):
        left = [vm for vm in voters if domain_of[vm] != domain]
        assert len(left) > len(voters) // 2


@hypothesis.given(sites())
def test_every_group_has_a_disk(vms):
    with_disk = {vm.vm_id for vm in vms if vm.has_disk}
    for voters in topology.initial_voters(vms).values():
        assert with_disk & set(voters)


@hypothesis.given(
    strategies.text(),
    strategies.sets(strategies.text(min_size=1), min_size=2),
)
def test_losing_a_node_moves_only_its_own_keys(key, nodes):
    chosen = hashing.rendezvous(key, nodes)
    for gone in nodes - {chosen}:
        assert hashing.rendezvous(key, nodes - {gone}) == chosen
