"""The file of the version in force, when the power is lost.

A process that is killed between the rename of a new file and the sync of its
folder leaves a name that only the operating system's cache holds. A later
process reads the new version there, and a loss of power would bring the old
one back. The daemon writes what it has read again before it acts on it; what
`read` returns is durable by itself all the same.
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
def test_a_version_that_a_restart_read_outlives_a_loss_of_power(calls):
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
