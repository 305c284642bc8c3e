"""Choice of the VMs to replace and of the spare VMs."""

from laburnumsill.core import topology
from laburnumsill.daemon import replacement


def vm(name, domain, disk=False):
    return topology.Vm(name, domain, "", "", disk)


VMS = [
    vm("a1", "a", True),
    vm("a2", "a"),
    vm("a3", "a"),
    vm("b1", "b", True),
    vm("b2", "b"),
]
ALL = {"a1", "a2", "a3", "b1", "b2"}


def test_a_spare_of_the_same_domain_is_preferred():
    voters = ["a1", "a2", "b1"]
    assert replacement.choose_spare(VMS, voters, "a1", ALL - {"a1"}) == "a3"
    assert replacement.choose_spare(VMS, voters, "b1", ALL - {"b1"}) == "b2"


def test_no_spare_if_all_reachable_vms_vote():
    assert replacement.choose_spare(VMS[:3], ["a1", "a2", "a3"], "a1", ALL) is (
        None
    )


def test_a_vm_is_lost_only_after_its_deadline():
    deadlines = {"a2": 10.0}
    assert replacement.lost_vms(VMS, ALL - {"a2"}, deadlines, 9.0) == []
    assert replacement.lost_vms(VMS, ALL - {"a2"}, deadlines, 10.0) == ["a2"]


def test_vms_of_an_unreachable_domain_are_not_lost():
    deadlines = {"b1": 1.0, "b2": 1.0}
    assert replacement.lost_vms(VMS, ALL - {"b1", "b2"}, deadlines, 9.0) == []
