"""Power loss and the file of the version in force.

A process that is killed between the rename of a new file and the sync of its
folder leaves a directory entry that is only in the operating system's cache.
A later process reads the new version there, and a power loss would revert to
the old one. The daemon writes the version again before it acts on it, but what
`read` returns must be durable even without that.
"""

import contextlib
import random

import pytest

from laburnumsill.consensus.tests import simulated_disk
from laburnumsill.daemon import configuration_file
from laburnumsill.daemon.tests import test_configuration_sync

SEEDS = range(20)
CALLS = range(8)


@pytest.mark.parametrize("calls", CALLS)
def test_version_read_after_a_restart_survives_power_loss(calls):
    for seed in SEEDS:
        site = test_configuration_sync.Site()
        with simulated_disk.temporary_disk() as disk:
            file = configuration_file.ConfigurationFile(disk.root)
            file.write(site.push())
            disk.kill_after(calls)
            with contextlib.suppress(simulated_disk.ProcessKilled):
                file.write(site.push())
            disk.cancel_kill()
            read = file.read()
            disk.lose_power(random.Random(seed))
            assert file.read() == read
