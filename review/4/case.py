"""A leaving executor whose farewell is taken, but not answered in time."""

import asyncio
import os
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "second"))

import stand_ins  # noqa: E402

DRAIN_S = 2.0
"""The bound `drain_ms`: for so long it serves after the acknowledgement."""

ENDS_ANYWAY_S = 2.5
"""Without an acknowledgement it ends anyway, some seconds later."""


async def leave(executor: stand_ins.Executor, is_cut: bool) -> None:
    """Drains an executor and ends it.

    Args:
        executor: The executor.
        is_cut: Whether it is cut off in one direction just as it says
            farewell: what it sends arrives, and nothing comes back to it.
    """
    site = executor.site
    proxy = stand_ins.OneWayProxy(site.control_addresses[0], executor.host)
    await proxy.start()
    connection = stand_ins.Connection(proxy.address)
    path = f"/-/instances/{executor.id}"
    executor.draining = True
    while True:
        body = executor.report("draining")
        answer = await connection.call("PUT", path, body)
        if answer.status == 200:
            break
        await asyncio.sleep(0.1)
    site.record.write(f"{executor.id}: draining, acknowledged")
    await asyncio.sleep(DRAIN_S)
    executor.left = True
    if is_cut:
        proxy.silent = executor.is_deaf = True
        site.record.write(f"{executor.id} is cut off one way")
    site.record.write(f"{executor.id}: DELETE {path}")
    answer = await connection.call("DELETE", path)
    site.record.write(f"{executor.id}: DELETE -> {answer.status or 'nothing'}")
    if answer.status != 200:
        await asyncio.sleep(ENDS_ANYWAY_S - 1.0)
    executor.end()


async def case(site: stand_ins.Site, trouble: bool) -> bool:
    """Returns whether a task ran on two executors that were up."""
    await site.start(stand_ins.configuration(1))
    executors = [
        stand_ins.Executor(site, stand_ins.ZONES[n % 3], f"r{n % 3}-1")
        for n in range(6)
    ]
    for one in executors:
        await one.boot()
    await asyncio.sleep(2.0)
    path = stand_ins.job_path("sweep")
    job_id = path.rpartition("/")[2]
    step = {"count": 1, "cpu": 8000, "mem_mb": 1024, "gpu": 2}
    body = {"spec": stand_ins.spec(12.0), "steps": [step]}
    await site.submit(path, body)
    twice: list[float] = []

    def check(executor: stand_ins.Executor, run: stand_ins.Run) -> None:
        for other in executors:
            if other is not executor and other.up and run.task in other.runs:
                twice.append(site.record.now())
                site.record.write(
                    f"TWICE: {run.task} also runs on {other.id}, which is up"
                )

    for one in executors:
        one.on_start = check
    await asyncio.sleep(1.0)
    found = next(one for one in executors if one.runs)
    await leave(found, trouble)
    for _ in range(60):
        state = await site.state(path)
        if state == "completed":
            break
        await asyncio.sleep(0.5)
    site.record.write(f"{job_id} is shown as {state}")
    return bool(twice)


# With TROUBLE=0 the case does the same without the disruption.
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
stand_ins.play(case, str(FOLDER), TROUBLE)
