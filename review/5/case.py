"""More ends than one answer lists, while the core changes its leader."""

import asyncio
import pathlib
import random
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "second"))

import stand_ins  # noqa: E402

TASKS = 100
JOBS = 42
URGENT_EVERY = 7
AWAY_S = 3.5
"""How long the killed process is away, as in the site file."""

END_WITHIN_S = 0.5


async def until_at_work(
    executors: list[stand_ins.Executor], count: int
) -> None:
    """Waits until so many tasks are at work.

    Raises:
        stand_ins.CannotRunError: They are not, within 15 s.
    """
    for _ in range(300):
        if sum(len(one.runs) for one in executors) >= count:
            return
        await asyncio.sleep(0.05)
    raise stand_ins.CannotRunError("not all tasks were started")


async def case(site: stand_ins.Site, trouble: bool) -> bool:
    """Returns whether a task was started after a noted end `done`."""
    await site.start(stand_ins.configuration(1))
    executors = [
        stand_ins.Executor(site, stand_ins.ZONES[n], f"r{n}-1")
        for n in range(2)
    ]
    for one in executors:
        await one.boot()
    await asyncio.sleep(2.0)
    step = {"count": TASKS, "cpu": 25, "mem_mb": 64}
    body = {"spec": stand_ins.spec(100.0), "steps": [step]}
    queues = [
        "batch" if number % URGENT_EVERY else "urgent" for number in range(JOBS)
    ]
    paths = [stand_ins.job_path(queue) for queue in queues]
    for number, path in enumerate(paths):
        await site.submit(path, body)
        await until_at_work(executors, (number + 1) * TASKS)
    for one in executors:
        site.record.write(f"{len(one.runs)} tasks at work on {one.id}")
    await asyncio.sleep(3.0)
    if trouble:
        leader = site.leader()
        site.kill(leader)
    now = stand_ins.time.monotonic()
    for one in executors:
        for run in one.runs.values():
            run.ends_at = now + random.uniform(0.1, END_WITHIN_S)
    again: list[str] = []

    def first_end(task: str) -> stand_ins.Executor | None:
        """Returns the executor on which a task has ended `done`."""
        return next((one for one in executors if task in one.done), None)

    def check(_: stand_ins.Executor, run: stand_ins.Run) -> None:
        run.ends_at = run.began + 1.0
        if first_end(run.task) is not None:
            again.append(run.task)

    for one in executors:
        one.on_start = check
    await asyncio.sleep(AWAY_S)
    if trouble:
        site.start_process(leader)
    states: set[str] = set()
    for _ in range(20):
        await asyncio.sleep(1.0)
        states = {await site.state(path) for path in paths}
        if states == {"completed"} and not any(one.runs for one in executors):
            break
    site.record.write(f"the jobs are shown as {sorted(states)}")
    await asyncio.sleep(2.0)
    noted = []
    for task in again:
        one = first_end(task)
        if one is None:
            continue
        number, ended_at = one.done[task]
        noted_at = one.noted.get(number)
        if noted_at is None:
            continue
        if any(ended_at <= lapse <= noted_at for lapse in one.lapses):
            continue
        noted.append(
            f"{task}: end {number} on {one.id} at {ended_at:.3f},"
            f" noted at {noted_at:.3f}, no lapse between"
        )
    site.record.write(
        f"{len(again)} tasks were started after their end `done`,"
        f" {len(noted)} of these ends were taken note of before a lapse"
    )
    for text in noted[:10]:
        site.record.write(f"TWICE: {text}")
    return bool(noted)


stand_ins.play(case, str(FOLDER))
