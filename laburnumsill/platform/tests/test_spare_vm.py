"""Tests of a core VM that is not an initial voter."""

import trio

from laburnumsill.platform.tests import standin

SPARE = "127.0.77.4"
ANNOUNCE_TIMEOUT_S = 3.0
DOWNTIME_S = 3.0
"""Downtime after which a voter has been replaced."""

RESTART_WAIT_S = 1.5
IN_FORCE_S = 2.0


async def test_a_spare_vm_forwards_announcements(site):
    await site.until_leader()
    await site.start_core(SPARE)
    worker = site.apps["w0"].worker
    spare = standin.Caller([f"{SPARE}:{site.control_port}"])
    answer = await spare.until(
        200,
        "PUT",
        f"/-/instances/{standin.wire_id(worker)}",
        standin.heartbeat(worker, 1_000),
        within=ANNOUNCE_TIMEOUT_S,
    )
    await spare.aclose()
    assert answer["heartbeat_addr"] == f"{site.leader()}:{site.control_port}"


def configuration_with(version: int) -> dict:
    """Returns a configuration with a route that only this version has."""
    document = standin.configuration(version)
    route = {**document["routes"][-1], "name": f"only-{version}"}
    route["path_prefix"] = f"/only-{version}/"
    document["routes"].append(route)
    return document


async def test_a_change_is_in_force_in_time_after_voters_are_replaced(site):
    """Each core VM in turn is down and replaced.

    The entry may read the configuration from any of them.
    """
    await site.until_leader()
    await site.start_core(SPARE)
    await trio.sleep(RESTART_WAIT_S)
    for number, vm in enumerate([*site.seeds, SPARE]):
        await site.kill(vm)
        await trio.sleep(DOWNTIME_S)
        await site.start_core(vm)
        await trio.sleep(RESTART_WAIT_S)
        version = 10 + number
        await site.configure(configuration_with(version))
        await site.callers.until(
            200, "GET", f"/only-{version}/", within=IN_FORCE_S
        )
