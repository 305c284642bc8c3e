"""Disks are lost while all other VMs lose power, right after a write."""

import pytest

from laburnumsill.consensus.tests import simulated_group

WRITES = 5


@pytest.mark.parametrize(
    ("vms", "lost_disks"), [("abc", 1), ("abcde", 1), ("abcde", 2)]
)
@pytest.mark.parametrize("seed", range(12))
def test_what_was_acknowledged_outlives_lost_disks_and_a_loss_of_power(
    vms, lost_disks, seed
):
    """Of 2n + 1 voters n lose their disks, those that acknowledged too."""
    group = simulated_group.Group(vms, vms, seed)
    group.load = 0.3
    group.run(2.0)
    for number in range(WRITES):
        leader = group.elect()
        operation = group.write(leader, b"acknowledged-%d" % number)
        if operation is not None:
            group.run_until(lambda one=operation: one.done or _gone(group))
    acknowledged = group.floor
    lost = set(group.random.sample(vms, lost_disks))
    for vm in vms:
        if vm in lost:
            group.add(vm)
        else:
            group.hosts[vm].crash(0, group.random.uniform(0.1, 0.6))
    group.load = 0.0
    group.run_until(group.leader)
    leader = group.leader()
    assert leader.me.vm not in lost
    group.run_until(lambda: group.leader().applied >= acknowledged)
    last = []

    def written():
        last.append(group.write(group.leader(), b"last"))
        group.run(0.5)
        return any(one is not None and one.done for one in last)

    group.run_until(written)


@pytest.mark.parametrize(
    ("vms", "counted"), [("abc", "a"), ("abcde", "a"), ("abcde", "ab")]
)
@pytest.mark.parametrize("seed", range(4))
def test_a_majority_of_disks_goes_on_without_those_the_membership_counts_on(
    vms, counted, seed
):
    """A membership may lack the marks of disks that its voters do have."""
    group = simulated_group.Group(vms, vms, seed, counted)
    group.run(2.0)
    leader = group.elect()
    operation = group.write(leader, b"acknowledged")
    group.run_until(lambda: operation.done or _gone(group))
    for vm in vms:
        if vm in counted:
            group.add(vm)
        else:
            group.hosts[vm].crash(0, group.random.uniform(0.1, 0.6))
    group.until_read()


def _gone(group):
    """Whether the leader was lost meanwhile, and its write with it."""
    return group.leader() is None
