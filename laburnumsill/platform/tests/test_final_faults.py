"""Tests of a power loss of all VMs in which a core VM also loses its disk."""

import shutil

import pytest

from laburnumsill.platform.tests import standin

ENTRY = "127.0.77.11"
RECOVERY_TIMEOUT_S = 12.0


@pytest.mark.parametrize("loses", ["leader", "follower"])
async def test_a_power_loss_with_a_lost_disk_loses_no_data(site, loses):
    leader = await site.until_leader()
    other = next(vm for vm in site.seeds if vm != leader)
    site.work_s = 2.0
    await site.configure(standin.configuration(7))
    path = await site.submit("sweep", 60)
    for vm in [*site.seeds, ENTRY]:
        site.scopes[vm].cancel()
    for vm in [*site.seeds, ENTRY]:
        await site.ended[vm].wait()
    shutil.rmtree(site.folder / (leader if loses == "leader" else other))
    site.callers.addresses.clear()
    await site.start_entry(ENTRY)
    for vm in site.seeds:
        await site.start_core(vm, founding=False)
    held = await site.operator.until(
        200, "GET", "/-/config", within=RECOVERY_TIMEOUT_S
    )
    assert held["version"] == 7
    later = await site.submit("urgent", 61)
    for one in (path, later):
        await site.callers.until_state(one, "completed", within=20)
