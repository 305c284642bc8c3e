"""Measures the planner on an emulated site: worth, waste and waiting.

    python -m bench.batch_planning [--days N] [--load X ...] [--site NAME]

Each day is played in virtual time with the real scheduler and ledger. The
table gives, for each site and load, the share of the worth that jobs earned
(all, and by kind), the share of core-seconds that was thrown away, and the
mean completion of urgent jobs relative to their work.
"""

import argparse
import dataclasses
import json
import random
import statistics

import loguru
import trio
import trio.testing
from trio._core import _run as trio_run

from laburnumsill.emulator import load as loads
from laburnumsill.emulator import site as sites

DAY_S = 40.0
SETTLE_S = 40.0
SHAPES = {"tana-shore": loads.TANA_SHORE, "fingal": loads.FINGAL}
SLOW_WORKERS = 1.3


@dataclasses.dataclass
class Result:
    """What one day earned."""

    owed: dict[str, float]
    earned: dict[str, float]
    wasted_share: float
    urgent_ratio: float


async def play(shape: loads.Shape, seed: int, load: float) -> Result:
    """Plays one day."""
    source = random.Random(seed)
    jobs = loads.arrivals(shape, source, DAY_S, load)
    site = sites.EmulatedSite(
        seed,
        shape.racks,
        shape.per_rack,
        shape.capacity,
        shape.stop_grace_s,
    )
    async with trio.open_nursery() as nursery:
        await nursery.start(site.run)
        for number, worker in enumerate(site.pool.workers.values()):
            if number % 3 == 2:  # as on the users' sites
                worker.behaviour.speed = 1 / SLOW_WORKERS
        site.guarantees = dict.fromkeys("abcd", 30)
        async with trio.open_nursery() as day:
            for one in jobs:
                day.start_soon(hand_in, site, one)
        with trio.move_on_after(SETTLE_S):
            while site.ledger.active_jobs:
                await trio.sleep(0.05)
                site.look()
        nursery.cancel_scope.cancel()
    assert not site.oracle.broken, site.oracle.broken
    return result_of(site, jobs)


async def hand_in(site: sites.EmulatedSite, one: loads.Arrival) -> None:
    """Hands a job in, looks at it, and cancels it if it is to be."""
    await trio.sleep(one.at_s)
    await site.submit(one.job, list(one.work_s), uneven=one.kind.uneven)
    if one.cancel_after_s is not None:
        await trio.sleep(one.cancel_after_s)
        await site.cancel(one.job.job_id)


def result_of(site: sites.EmulatedSite, jobs: list[loads.Arrival]) -> Result:
    """Adds up what the jobs of a day earned."""
    owed: dict[str, float] = {}
    earned: dict[str, float] = {}
    ratios = []
    means = {
        kind: statistics.mean(j.core_s for j in jobs if j.kind.name == kind)
        for kind in {j.kind.name for j in jobs}
    }
    for one in jobs:
        if one.cancel_after_s is not None:
            continue
        name = one.kind.name
        ended = ended_at(site, one)
        took = None if ended is None else ended - one.at_s
        mean = means[name]
        full = loads.credit(one, mean, 0.0)
        owed[name] = owed.get(name, 0) + full
        earned[name] = earned.get(name, 0) + loads.credit(one, mean, took)
        if name == "urgent" and took is not None:
            ratios.append(took / sum(one.work_s))
    useful = sum(j.core_s for j in jobs if j.cancel_after_s is None)
    return Result(
        owed,
        earned,
        site.pool.lost_core_s / useful,
        statistics.mean(ratios) if ratios else 0.0,
    )


def ended_at(site: sites.EmulatedSite, one: loads.Arrival) -> float | None:
    """Returns when a job was completed, on the loop's clock."""
    record = site.ledger.jobs.get(one.job.job_id)
    if record is None or record.state != "completed":
        return None
    return record.ended_ms / 1000 - sites.EPOCH


def run_days(shape: loads.Shape, load: float, days: int) -> list[Result]:
    """Plays some days."""
    results = []
    for seed in range(days):
        trio_run._ALLOW_DETERMINISTIC_SCHEDULING = True
        trio_run._r.seed(seed)
        clock = trio.testing.MockClock(autojump_threshold=0)
        results.append(trio.run(play, shape, seed, load, clock=clock))
    return results


def row(name: str, load: float, results: list[Result]) -> dict[str, object]:
    """Returns one line of the table."""
    kinds = ["urgent", "sweep", "batch"]
    owed = {k: sum(r.owed.get(k, 0) for r in results) for k in kinds}
    earned = {k: sum(r.earned.get(k, 0) for r in results) for k in kinds}
    line: dict[str, object] = {
        "site": name,
        "load": load,
        "all": round(sum(earned.values()) / sum(owed.values()), 3),
    }
    for kind in kinds:
        line[kind] = round(earned[kind] / owed[kind], 3)
    line["wasted"] = round(statistics.mean(r.wasted_share for r in results), 3)
    line["urgent_ratio"] = round(
        statistics.mean(r.urgent_ratio for r in results), 2
    )
    return line


def main() -> None:
    """Prints the table."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--days", type=int, default=8)
    parser.add_argument("--load", type=float, nargs="*", default=[0.7, 1, 1.6])
    parser.add_argument("--site", choices=sorted(SHAPES), default=None)
    parser.add_argument("--json", default=None)
    arguments = parser.parse_args()
    loguru.logger.remove()
    lines = []
    for name, shape in SHAPES.items():
        if arguments.site not in (None, name):
            continue
        for load in arguments.load:
            line = row(name, load, run_days(shape, load, arguments.days))
            lines.append(line)
            print(" ".join(f"{k}={v}" for k, v in line.items()), flush=True)
    if arguments.json:
        with open(arguments.json, "w", encoding="utf-8") as file:
            json.dump(lines, file, indent=1)


if __name__ == "__main__":
    main()
