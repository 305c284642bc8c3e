"""Acknowledged writes survive disk and power losses after membership changes.

A site with 2n + 1 voters tolerates the simultaneous loss of n disks. Before
that loss, VMs lose their disks, are replaced, lose power or are partitioned,
never more than n of them at once. A VM counts as lost until it has been back
for `RECOVERY_TIME_S`.
"""

import math
import os

import pytest

from laburnumsill.consensus.tests import managed_group

RECOVERY_TIME_S = 4.0
"""Time after the return of a VM during which it still counts as lost."""

SERVICE_TIMEOUT_S = 8.0
SITES = [("abc", 3), ("abcd", 3), ("abcde", 5), ("abcdef", 5)]
"""The VMs with a disk of each site, and the number of voters among them."""

SEEDS = int(os.environ.get("LABURNUMSILL_VOTER_SEEDS", "12"))


class Scenario:
    """Faults in one group, followed by a write and the loss of n disks."""

    def __init__(self, vms: str, voter_count: int, seed: int) -> None:
        self.group = managed_group.ManagedGroup(vms, voter_count, seed)
        self.random = self.group.random
        self.tolerated = voter_count // 2
        self.lost_until: dict[str, float] = {}
        self.spare_names = iter("nopqrstuvwxyz")
        self.group.load = 0.3
        self.group.run(3.0)

    def lost_count(self, excluding: str = "") -> int:
        """Returns the number of VMs that count as lost, without `excluding`."""
        now = self.group.now
        return sum(
            until > now
            for vm, until in self.lost_until.items()
            if vm != excluding
        )

    def record_loss(self, vm: str, seconds: float) -> None:
        """Records the loss of a VM that returns after `seconds`."""
        until = self.group.now + seconds + RECOVERY_TIME_S
        self.lost_until[vm] = max(self.lost_until.get(vm, 0.0), until)

    def running_vms(self) -> list[str]:
        """Returns the VMs whose processes are running."""
        return [vm for vm, host in self.group.hosts.items() if host.engine]

    def remaining_vms(self) -> list[str]:
        """Returns the VMs that run or will return."""
        return [
            vm
            for vm, host in self.group.hosts.items()
            if host.engine or math.isfinite(host.boot_at)
        ]

    def inject_fault(self) -> None:
        """Injects a fault into one VM, if the site tolerates another loss."""
        group = self.group
        vm = self.random.choice(self.remaining_vms())
        if self.lost_count(excluding=vm) >= self.tolerated:
            return
        seconds = self.random.choice((0.1, 1.0, 3.0, 6.0))
        fault = self.random.choice(("disk", "dark", "cut", "replace"))
        if fault == "disk":
            group.lose_disk(vm, seconds)
        elif fault == "dark":
            group.lose_power(vm, seconds)
        elif fault == "cut":
            group.isolate(vm, seconds)
        else:
            seconds = 1.0
            group.lose_power(vm, math.inf)
            group.lose_disk(next(self.spare_names), seconds)
        self.record_loss(vm, seconds)

    def restart_all(self) -> None:
        """Restarts all processes, with the loss of their unsynced writes."""
        for vm in self.running_vms():
            seconds = self.random.uniform(0.05, 0.4)
            self.group.hosts[vm].crash(None, seconds)
            self.record_loss(vm, seconds)

    def final_loss(self, max_kept_records: int) -> None:
        """Loses n disks and all power right after an acknowledged write.

        Args:
            max_kept_records: The largest number of records of a current write
                that survive on the other disks.
        """
        group = self.group
        group.run_until(lambda: self.lost_count() == 0, 30.0)
        operation = None
        while operation is None or not operation.done:
            operation = group.write(group.elect(), b"acknowledged")
            if operation is not None:
                group.run_until(
                    lambda operation=operation: (
                        operation.done or not group.leader()
                    )
                )
        running_vms = self.running_vms()
        lost_disks = self.random.sample(running_vms, self.tolerated)
        for vm in running_vms:
            seconds = self.random.uniform(0.1, 0.6)
            if vm in lost_disks:
                group.lose_disk(vm, seconds)
            else:
                kept_records = self.random.randint(0, max_kept_records)
                group.lose_power(vm, seconds, kept_records)

    def check_service(self) -> None:
        """Checks that acknowledged writes can be read, and a write succeeds."""
        group = self.group
        group.load = 0.0
        group.run_until_read(SERVICE_TIMEOUT_S)
        operation = group.write(group.elect(), b"last")
        group.run_until(lambda: operation.done)


@pytest.mark.parametrize("max_kept_records", [0, 4])
@pytest.mark.parametrize(("vms", "voter_count"), SITES)
@pytest.mark.parametrize("seed", range(SEEDS))
def test_acknowledged_writes_are_read_after_voter_changes(
    vms, voter_count, seed, max_kept_records
):
    scenario = Scenario(vms, voter_count, seed)
    for _ in range(scenario.random.randint(2, 8)):
        scenario.inject_fault()
        if scenario.random.random() < 0.15:
            scenario.restart_all()
        scenario.group.run(scenario.random.choice((0.2, 0.5, 1.5, 4.0)))
    scenario.final_loss(max_kept_records)
    scenario.check_service()
