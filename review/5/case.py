"""More ends than one answer lists, while the core changes its leader."""

import asyncio
import os
import pathlib
import random
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "second"))

import stand_ins  # noqa: E402

TASKS = 100
JOBS = 36
AWAY_S = 3.5
"""How long the killed process is away, as in the site file."""

END_WITHIN_S = 1.0


async def until_at_work(executor: stand_ins.Executor, count: int) -> None:
    """Waits until so many tasks are at work.

    Raises:
        stand_ins.CannotRunError: They are not, within 15 s.
    """
    for _ in range(300):
        if len(executor.runs) >= count:
            return
        await asyncio.sleep(0.05)
    raise stand_ins.CannotRunError("not all tasks were started")


async def case(site: stand_ins.Site, trouble: bool) -> bool:
    """Returns whether a task was started after a noted end `done`."""
    await site.start(stand_ins.configuration(1))
    executor = stand_ins.Executor(site, stand_ins.ZONES[0], "r0-1")
    await executor.boot()
    await asyncio.sleep(2.0)
    step = {"count": TASKS, "cpu": 35, "mem_mb": 64}
    body = {"spec": stand_ins.spec(100.0), "steps": [step]}
    paths = [stand_ins.job_path("sweep") for _ in range(JOBS)]
    for number, path in enumerate(paths):
        await site.submit(path, body)
        await until_at_work(executor, (number + 1) * TASKS)
    site.record.write(f"{len(executor.runs)} tasks at work")
    await asyncio.sleep(3.0)
    if trouble:
        leader = site.leader()
        site.kill(leader)
    now = stand_ins.time.monotonic()
    for run in executor.runs.values():
        run.ends_at = now + random.uniform(0.1, END_WITHIN_S)
    again: list[str] = []

    def check(_: stand_ins.Executor, run: stand_ins.Run) -> None:
        run.ends_at = run.began + 1.0
        if run.task in executor.done:
            again.append(run.task)

    executor.on_start = check
    await asyncio.sleep(AWAY_S)
    if trouble:
        site.start_process(leader)
    states: set[str] = set()
    for _ in range(20):
        await asyncio.sleep(1.0)
        states = {await site.state(path) for path in paths}
        if states == {"completed"} and not executor.runs:
            break
    site.record.write(f"the jobs are shown as {sorted(states)}")
    await asyncio.sleep(2.0)
    noted = []
    for task in again:
        number, ended_at = executor.done[task]
        noted_at = executor.noted.get(number)
        if noted_at is None:
            continue
        if any(ended_at <= lapse <= noted_at for lapse in executor.lapses):
            continue
        noted.append(
            f"{task}: end {number} at {ended_at:.3f}, noted at"
            f" {noted_at:.3f}, no lapse between"
        )
    site.record.write(
        f"{len(again)} tasks were started after their end `done`,"
        f" {len(noted)} of these ends were taken note of before a lapse"
    )
    for text in noted[:10]:
        site.record.write(f"TWICE: {text}")
    return bool(noted)


# With TROUBLE=0 the case does the same without the disruption.
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
stand_ins.play(case, str(FOLDER), TROUBLE)
