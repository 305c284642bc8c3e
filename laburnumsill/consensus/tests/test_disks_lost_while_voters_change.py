"""Disks and power are lost right after a write, while the voters change.

A site bears the loss of n disks at once with 2n + 1 voters. Before that, VMs
come back empty, are replaced, go dark or are cut off, never more than n of
them at once; a VM counts as lost until it has been back for a while.
"""

import math
import os

import pytest

from laburnumsill.consensus.tests import kept_group

CATCH_UP_S = 4.0
"""A VM counts as lost for so long after it is back."""

SERVED_AGAIN_S = 8.0
SITES = [("abc", 3), ("abcd", 3), ("abcde", 5), ("abcdef", 5)]
"""The VMs of a site with a disk, and how many of them vote."""

SEEDS = int(os.environ.get("LABURNUMSILL_VOTER_SEEDS", "12"))


class Day:
    """Troubles of one group, then a write and the last loss."""

    def __init__(self, vms: str, wanted: int, seed: int) -> None:
        self.group = kept_group.KeptGroup(vms, wanted, seed)
        self.random = self.group.random
        self.tolerated = wanted // 2
        self.lost_until: dict[str, float] = {}
        self.names = iter("nopqrstuvwxyz")
        self.group.load = 0.3
        self.group.run(3.0)

    def lost(self, but: str = "") -> int:
        """Returns how many VMs count as lost now, one of them left out."""
        now = self.group.now
        return sum(
            until > now for vm, until in self.lost_until.items() if vm != but
        )

    def count_lost(self, vm: str, seconds: float) -> None:
        """Counts a VM as lost that is back after so many seconds."""
        until = self.group.now + seconds + CATCH_UP_S
        self.lost_until[vm] = max(self.lost_until.get(vm, 0.0), until)

    def here(self) -> list[str]:
        """Returns the VMs whose processes run now."""
        return [vm for vm, host in self.group.hosts.items() if host.engine]

    def left(self) -> list[str]:
        """Returns the VMs that are not gone for good."""
        return [
            vm
            for vm, host in self.group.hosts.items()
            if host.engine or math.isfinite(host.boot_at)
        ]

    def trouble(self) -> None:
        """Brings one VM into trouble, if the site bears that now."""
        group = self.group
        vm = self.random.choice(self.left())
        if self.lost(but=vm) >= self.tolerated:
            return
        seconds = self.random.choice((0.1, 1.0, 3.0, 6.0))
        kind = self.random.choice(("disk", "dark", "cut", "replace"))
        if kind == "disk":
            group.lose_disk(vm, seconds)
        elif kind == "dark":
            group.lose_power(vm, seconds)
        elif kind == "cut":
            group.isolate(vm, seconds)
        else:
            seconds = 1.0
            group.lose_power(vm, math.inf)
            group.lose_disk(next(self.names), seconds)
        self.count_lost(vm, seconds)

    def restart_all(self) -> None:
        """Ends all processes; what they had not synced is gone."""
        for vm in self.here():
            seconds = self.random.uniform(0.05, 0.4)
            self.group.hosts[vm].crash(None, seconds)
            self.count_lost(vm, seconds)

    def last_loss(self, most_kept: int) -> None:
        """Loses n disks and all power right after a write was acknowledged.

        Args:
            most_kept: At most so many records that were being written stay.
        """
        group = self.group
        group.run_until(lambda: self.lost() == 0, 30.0)
        operation = None
        while operation is None or not operation.done:
            operation = group.write(group.elect(), b"acknowledged")
            if operation is not None:
                group.run_until(
                    lambda one=operation: one.done or not group.leader()
                )
        here = self.here()
        gone = self.random.sample(here, self.tolerated)
        for vm in here:
            seconds = self.random.uniform(0.1, 0.6)
            if vm in gone:
                group.lose_disk(vm, seconds)
            else:
                kept = self.random.randint(0, most_kept)
                group.lose_power(vm, seconds, kept)

    def check_served(self) -> None:
        """What was acknowledged can be read, and something be written."""
        group = self.group
        group.load = 0.0
        group.until_read(SERVED_AGAIN_S)
        operation = group.write(group.elect(), b"last")
        group.run_until(lambda: operation.done)


@pytest.mark.parametrize("most_kept", [0, 4])
@pytest.mark.parametrize(("vms", "wanted"), SITES)
@pytest.mark.parametrize("seed", range(SEEDS))
def test_what_was_acknowledged_is_read_after_voters_changed(
    vms, wanted, seed, most_kept
):
    day = Day(vms, wanted, seed)
    for _ in range(day.random.randint(2, 8)):
        day.trouble()
        if day.random.random() < 0.15:
            day.restart_all()
        day.group.run(day.random.choice((0.2, 0.5, 1.5, 4.0)))
    day.last_loss(most_kept)
    day.check_served()
