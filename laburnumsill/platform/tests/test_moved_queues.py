"""Configurations that send a queue to another service while it has jobs."""

from laburnumsill.platform.tests import standin

OTHER = "hutdesk-2"


def configuration(version, service):
    document = standin.configuration(version)
    for route in document["routes"]:
        route["service"] = service
    document["services"] = [
        {"name": name, "enforces_capacity": False}
        for name in (standin.POOL, OTHER)
    ]
    return document


async def move_queue_of_running_job(site):
    """Moves the queue of a job of which some tasks wait; returns its path."""
    site.work_s = 2.0
    path = await site.submit("batch", 1, count=4, gpu=8)
    await site.callers.until_state(path, "running")
    await site.start_worker("w9", pool=OTHER)
    site.oracle.record_pool("batch", OTHER)
    await site.configure(configuration(2, OTHER))
    return path


async def test_waiting_tasks_run_at_the_service_that_their_queue_has_now(site):
    """Guards against a job that waits for good for a service that is gone."""
    path = await move_queue_of_running_job(site)
    await site.callers.until_state(path, "completed")
    assert "/-/run-start" in site.apps["w9"].calls
    assert not site.oracle.broken, site.oracle.broken


async def test_a_new_leader_knows_the_service_of_a_queue(site):
    """Guards against a job that only the former leader would have moved."""
    path = await move_queue_of_running_job(site)
    await site.kill(await site.until_leader())
    await site.callers.until_state(path, "completed", within=30)
    assert "/-/run-start" in site.apps["w9"].calls
    assert not site.oracle.broken, site.oracle.broken
