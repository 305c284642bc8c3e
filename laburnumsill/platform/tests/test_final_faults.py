"""All VMs of a site lose power, entries too, while a disk is lost."""

import shutil

import pytest

from laburnumsill.platform.tests import standin

ENTRY = "127.0.77.11"
SERVED_AGAIN_S = 12.0


@pytest.mark.parametrize("loses", ["leader", "follower"])
async def test_a_disk_lost_while_all_lose_power_loses_nothing(site, loses):
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
        200, "GET", "/-/config", within=SERVED_AGAIN_S
    )
    assert held["version"] == 7
    later = await site.submit("urgent", 61)
    for one in (path, later):
        await site.callers.until_state(one, "completed", within=20)
