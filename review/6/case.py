"""A queue is sent to another service while a job of it waits."""

import asyncio
import os
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "second"))

import stand_ins  # noqa: E402

OLD = stand_ins.SERVICE
NEW = "hutdesk-2"
WAIT_S = 14.0
"""The bound `finish_s`."""


def document(version: int, service: str) -> dict:
    """Returns a configuration that sends all queues to one service."""
    body = stand_ins.configuration(version)
    for route in body["routes"]:
        route["service"] = service
    body["services"] = [stand_ins.service(OLD), stand_ins.service(NEW)]
    return body


async def case(site: stand_ins.Site, trouble: bool) -> bool:
    """Returns whether an accepted job never runs."""
    await site.start(document(1, OLD))
    old = [stand_ins.Executor(site, stand_ins.ZONES[0], "r0-1", OLD)]
    new = [
        stand_ins.Executor(site, stand_ins.ZONES[n % 3], f"r{n % 3}-1", NEW)
        for n in range(6)
    ]
    for one in (*old, *new):
        await one.boot()
    await asyncio.sleep(2.0)
    step = {"count": 1, "cpu": 8000, "mem_mb": 1024, "gpu": 2}
    first = {"count": 3, "cpu": 8000, "mem_mb": 1024, "gpu": 2}
    second = {**step, "depends_on": [0]}
    path = stand_ins.job_path("sweep")
    body = {"spec": stand_ins.spec(4.0), "steps": [first, second]}
    await site.submit(path, body)
    await asyncio.sleep(1.0)
    if trouble:
        await site.configure(document(2, NEW))
        await asyncio.gather(*(drain(one) for one in old))
    for _ in range(int(WAIT_S) + 10):
        state = await site.state(path)
        if state == "completed":
            break
        await asyncio.sleep(1.0)
    site.record.write(f"{path} is shown as {state}")
    for one in (*old, *new):
        if one.up:
            site.record.write(
                f"{one.id} of {one.service} is up and runs {sorted(one.runs)}"
            )
    later = stand_ins.job_path("sweep")
    await site.submit(later, {"spec": stand_ins.spec(1.0), "steps": [step]})
    await asyncio.sleep(3.0)
    site.record.write(f"{later} is shown as {await site.state(later)}")
    return state != "completed"


async def drain(executor: stand_ins.Executor) -> None:
    """Lets an executor finish what it runs, then leave."""
    executor.draining = True
    if not await executor.beat_once():
        raise stand_ins.CannotRunError("the drain was not acknowledged")
    await executor.idle()
    await asyncio.sleep(2.5)
    executor.left = True
    path = f"/-/instances/{executor.id}"
    for address in executor.site.control_addresses:
        answer = await stand_ins.call_once(address, "DELETE", path)
        executor.record.write(f"{executor.id}: DELETE -> {answer.status}")
        if answer.status == 200:
            break
    executor.end()


# With TROUBLE=0 the case does the same without the disruption.
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
stand_ins.play(case, str(FOLDER), TROUBLE)
