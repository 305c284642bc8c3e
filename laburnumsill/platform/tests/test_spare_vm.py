"""A core VM beyond those that vote."""

from laburnumsill.platform.tests import standin

SPARE = "127.0.77.4"
KNOWN_AFTER_S = 3.0


async def test_a_spare_vm_passes_announcements_on(site):
    await site.until_leader()
    await site.start_core(SPARE)
    worker = site.apps["w0"].worker
    spare = standin.Caller([f"{SPARE}:{site.control_port}"])
    answer = await spare.until(
        200,
        "PUT",
        f"/-/instances/{standin.wire_id(worker)}",
        standin.heartbeat(worker, 1_000),
        within=KNOWN_AFTER_S,
    )
    await spare.aclose()
    assert answer["heartbeat_addr"] == f"{site.leader()}:{site.control_port}"
