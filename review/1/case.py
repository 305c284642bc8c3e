"""A leader that wakes up in a zone that is cut off renews leases.

The leader's machine stands still while its zone is cut off. The other zones
elect a new leader. The old one wakes up, does not know that yet, and renews
the leases of the workers in its zone. The new leader counts their leases from
its own election, and starts their tasks again while they still run.
"""

import asyncio
import pathlib
import signal
import sys
import time

from review.common import site as sites

ROUNDS = 4
TASKS = 17
WORK_MS = 11_000
FREEZE_AFTER_S = 2.2
CUT_AFTER_S = 0.33
FROZEN_S = 2.05
CUT_S = 6.5
PAUSE_S = 5.0


def overlaps(site: sites.Site) -> list[str]:
    """Returns the pairs of runs of one task that ran at the same time."""
    ends = {}
    runs: dict[str, list[tuple[float, float, str, int]]] = {}
    for worker in site.workers:
        for at, task, number, _ in worker.ends:
            ends[worker.name, task, number] = at
    now = time.monotonic()
    for worker in site.workers:
        for at, task, number in worker.starts:
            end = ends.get((worker.name, task, number), now)
            runs.setdefault(task, []).append((at, end, worker.name, number))
    found = []
    for task, intervals in runs.items():
        intervals.sort()
        for one, other in zip(intervals, intervals[1:], strict=False):
            both_s = min(one[1], other[1]) - other[0]
            if both_s > 0:
                found.append(
                    f"{task} run {one[3]} on {one[2]} and run {other[3]} on "
                    f"{other[2]} for {both_s:.2f} s"
                )
    return found


async def until_tasks_run(site: sites.Site) -> None:
    """Waits until all tasks of a job run.

    Raises:
        sites.CannotRunError: They did not start in time.
    """
    deadline = time.monotonic() + 15
    while sum(len(worker.running) for worker in site.workers) < TASKS:
        if time.monotonic() > deadline:
            raise sites.CannotRunError("the tasks did not start")
        await asyncio.sleep(0.02)


async def play_round(site: sites.Site, number: int, trouble: bool) -> None:
    """Plays one job, with the disruption while it runs."""
    path = f"/recon/3d5a9c70b1e84f{number:02x}"
    step = {
        "count": TASKS,
        "cpu": 13000,
        "mem_mb": 26000,
        "gpu": 8,
        "estimate_ms": WORK_MS,
    }
    await site.submit(path, {"spec": "recon", "steps": [step]})
    await until_tasks_run(site)
    await asyncio.sleep(FREEZE_AFTER_S)
    fence = max(worker.fence for worker in site.workers)
    told = max(site.workers, key=lambda worker: worker.fence)
    leader = told.leader.rpartition(":")[0]
    zone = site.zone_of(leader)
    site.record(f"the leader is {leader} in {zone}")
    if trouble:
        frozen_at = time.monotonic()
        site.signal(leader, signal.SIGSTOP)
        await asyncio.sleep(CUT_AFTER_S)
        await site.cut_zone(zone, fence)
        await asyncio.sleep(frozen_at + FROZEN_S - time.monotonic())
        site.signal(leader, signal.SIGCONT)
        healed_at = frozen_at + CUT_AFTER_S + CUT_S
        await asyncio.sleep(healed_at - time.monotonic())
        site.heal()
    deadline = time.monotonic() + 25
    while await site.state(path) != "completed":
        if time.monotonic() > deadline:
            raise sites.CannotRunError(f"{path} is not completed")
        await asyncio.sleep(0.5)


async def play(site: sites.Site, trouble: bool) -> str:
    """Plays the case; returns what broke the rule, "" if it held."""
    for number in range(ROUNDS):
        await play_round(site, number, trouble)
        found = overlaps(site)
        for line in found:
            site.record(f"at the same time: {line}")
        if found:
            return f"TWICE: {'; '.join(found)}"
        await asyncio.sleep(PAUSE_S)
    return ""


if __name__ == "__main__":
    folder = pathlib.Path(__file__).parent
    sys.exit(sites.main(folder, play, lambda _: WORK_MS))
