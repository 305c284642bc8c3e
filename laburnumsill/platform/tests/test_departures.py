"""Departures of workers over HTTP."""

import trio

ACKNOWLEDGED_WITHIN_S = 1.0
"""Time after which a worker tries another VM."""


async def busy_worker(site):
    """Returns the path of a job and the worker that runs it."""
    path = await site.submit("sweep", 1)
    workers = site.pool.workers.values()
    with trio.fail_after(10.0):
        while not any(worker.running for worker in workers):  # noqa: ASYNC110
            await trio.sleep(0.01)
    return path, next(worker for worker in workers if worker.running)


async def test_a_departure_is_acknowledged_when_the_runs_have_stopped(site):
    """Guards against runs whose end only the leases would show."""
    site.work_s = 30.0
    path, worker = await busy_worker(site)
    began = trio.current_time()
    status, _ = await site.operator.call(
        "DELETE", f"/-/instances/{worker.worker.worker_id}"
    )
    assert status == 200
    assert trio.current_time() - began < ACKNOWLEDGED_WITHIN_S
    assert not worker.running
    site.work_s = 0.3
    worker.vanish()
    await site.callers.until_state(path, "completed")
    assert not site.oracle.broken, site.oracle.broken


async def test_a_departure_is_acknowledged_after_a_change_of_the_leader(site):
    site.work_s = 30.0
    path, worker = await busy_worker(site)
    await site.kill(await site.until_leader())
    call = f"/-/instances/{worker.worker.worker_id}"
    await site.operator.until(200, "DELETE", call, within=5.0)
    worker.vanish()
    site.work_s = 0.3
    await site.callers.until_state(path, "completed", within=30)
    assert not site.oracle.broken, site.oracle.broken
