"""Tests of disks lost while all other VMs lose power, right after a write."""

import pytest

from laburnumsill.consensus.tests import simulated_group

WRITES = 5


@pytest.mark.parametrize(
    ("vms", "lost_disks"), [("abc", 1), ("abcde", 1), ("abcde", 2)]
)
@pytest.mark.parametrize("seed", range(12))
def test_acknowledged_writes_survive_lost_disks_and_a_power_loss(
    vms, lost_disks, seed
):
    """Of 2n + 1 voters up to n lose their disks; all others lose power.

    The voters that lose their disks may have acknowledged the writes.
    """
    group = simulated_group.Group(vms, vms, seed)
    group.load = 0.3
    group.run(2.0)
    for number in range(WRITES):
        leader = group.elect()
        operation = group.write(leader, b"acknowledged-%d" % number)
        if operation is not None:
            group.run_until(
                lambda one=operation: one.done or _has_no_leader(group)
            )
    acknowledged_index = group.floor
    vms_without_disk = set(group.random.sample(vms, lost_disks))
    for vm in vms:
        if vm in vms_without_disk:
            group.add(vm)
        else:
            group.hosts[vm].crash(0, group.random.uniform(0.1, 0.6))
    group.load = 0.0
    group.run_until(group.leader)
    leader = group.leader()
    assert leader.replica_id.vm not in vms_without_disk
    group.run_until(lambda: group.leader().applied >= acknowledged_index)
    last_writes = []

    def written():
        last_writes.append(group.write(group.leader(), b"last"))
        group.run(0.5)
        return any(one is not None and one.done for one in last_writes)

    group.run_until(written)


@pytest.mark.parametrize(
    ("vms", "counted"), [("abc", "a"), ("abcde", "a"), ("abcde", "ab")]
)
@pytest.mark.parametrize("seed", range(4))
def test_a_majority_of_disks_goes_on_when_with_disk_is_incomplete(
    vms, counted, seed
):
    """The membership's `with_disk` names only `counted` of the VMs with disks.

    The VMs that it names lose their disks, and all others lose power.
    """
    group = simulated_group.Group(vms, vms, seed, counted)
    group.run(2.0)
    leader = group.elect()
    operation = group.write(leader, b"acknowledged")
    group.run_until(lambda: operation.done or _has_no_leader(group))
    for vm in vms:
        if vm in counted:
            group.add(vm)
        else:
            group.hosts[vm].crash(0, group.random.uniform(0.1, 0.6))
    group.run_until_read()


def _has_no_leader(group):
    """Returns whether there is no leader; a pending write may be lost then."""
    return group.leader() is None
