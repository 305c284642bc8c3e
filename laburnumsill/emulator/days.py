"""Days of an emulated site: jobs like the users', and what they earned."""

import dataclasses
import random
import statistics
from collections import abc

import trio

from laburnumsill.batch import caller_commands
from laburnumsill.batch import policy as policies
from laburnumsill.emulator import load as loads
from laburnumsill.emulator import site as sites
from laburnumsill.emulator import troubles
from laburnumsill.emulator import virtual_time
from laburnumsill.emulator import workers as worker_module

DAY_S = 40.0
"""Jobs are handed in for so long."""

SETTLE_S = 40.0
"""So much longer a day may take, until all jobs have ended."""

LOOK_EVERY_S = 0.05

SHAPES = {
    "tana-shore": loads.TANA_SHORE,
    "fingal": loads.FINGAL,
    "further": loads.FURTHER,
    "wide": loads.WIDE,
}
"""The shapes of known sites."""


@dataclasses.dataclass(frozen=True, slots=True)
class Day:
    """What to play.

    Attributes:
        shape: The site.
        seed: Of everything that is random.
        load: Multiple of the usual rates of jobs.
        kinds: The troubles that may come, see `troubles.KINDS`.
        policy: Which mechanisms of the planner are in use.
    """

    shape: loads.Shape
    seed: int
    load: float = 1.0
    kinds: tuple[str, ...] = ()
    policy: policies.Policy = policies.ALL


@dataclasses.dataclass(frozen=True, slots=True)
class Result:
    """What became of a day.

    Attributes:
        owed: Worth of the jobs that came, by kind.
        earned: Worth of those that were in time, less of late ones.
        wasted_share: Core-seconds thrown away, relative to the useful ones.
        urgent_ratio: Mean time of urgent jobs relative to their work.
        states: How many jobs ended in each state.
        broken: What must always hold and did not, one line each.
    """

    owed: dict[str, float]
    earned: dict[str, float]
    wasted_share: float
    urgent_ratio: float
    states: dict[str, int]
    broken: list[str]


def run(day: Day) -> Result:
    """Plays a day in virtual time."""
    return virtual_time.run(day.seed, _play, day)


async def _play(day: Day) -> Result:
    source = random.Random(day.seed)
    shape = day.shape
    jobs = loads.arrivals(shape, source, DAY_S, day.load)
    site = sites.EmulatedSite(
        day.seed,
        shape.racks,
        shape.per_rack,
        shape.capacity,
        shape.stop_grace_s,
        worker_module.Saving(shape.checkpoint_s, shape.restore_s),
        day.policy,
    )
    async with trio.open_nursery() as nursery:
        await nursery.start(site.run)
        for number, worker in enumerate(site.pool.workers.values()):
            if number % 3 == 2:
                worker.behaviour.speed = 1 / shape.slow_workers
        site.guarantees = dict.fromkeys(loads.ACCOUNTS, shape.guaranteed)
        async with trio.open_nursery() as handing_in:
            for one in jobs:
                handing_in.start_soon(_hand_in, site, one)
            if day.kinds:
                handing_in.start_soon(
                    troubles.bring, site, source, day.kinds, DAY_S
                )
        with trio.move_on_after(SETTLE_S):
            while site.ledger.active_jobs:
                await trio.sleep(LOOK_EVERY_S)
                site.look()
        site.look()
        nursery.cancel_scope.cancel()
    return _result(site, jobs)


async def _hand_in(site: sites.EmulatedSite, one: loads.Arrival) -> None:
    """Hands a job in, and cancels it if it is to be."""
    await trio.sleep(one.at_s)
    await site.submit(one.job, list(one.work_s), uneven=one.kind.uneven)
    if one.cancel_after_s is not None:
        await trio.sleep(one.cancel_after_s)
        await site.cancel(one.job.job_id)


def _result(
    site: sites.EmulatedSite, jobs: abc.Sequence[loads.Arrival]
) -> Result:
    """Adds up what the jobs of a day earned."""
    owed: dict[str, float] = {}
    earned: dict[str, float] = {}
    ratios = []
    wanted = [one for one in jobs if one.cancel_after_s is None]
    means = loads.mean_core_s(jobs)
    for one in wanted:
        name = one.kind.name
        ended = _ended_at(site, one)
        took = None if ended is None else ended - one.at_s
        full = loads.credit(one, means[name], 0.0)
        owed[name] = owed.get(name, 0) + full
        got = loads.credit(one, means[name], took)
        earned[name] = earned.get(name, 0) + got
        if name == loads.URGENT and took is not None:
            ratios.append(took / sum(one.work_s))
    useful = sum(one.core_s for one in wanted)
    states: dict[str, int] = {}
    for outcome in site.outcomes.values():
        states[outcome.state] = states.get(outcome.state, 0) + 1
    return Result(
        owed,
        earned,
        site.pool.lost_core_s / useful if useful else 0.0,
        statistics.mean(ratios) if ratios else 0.0,
        states,
        list(site.oracle.broken),
    )


def _ended_at(site: sites.EmulatedSite, one: loads.Arrival) -> float | None:
    """Returns when a job was completed, on the loop's clock."""
    record = site.ledger.jobs.get(one.job.job_id)
    if record is None or record.state is not caller_commands.JobState.COMPLETED:
        return None
    return record.ended_ms / 1000 - sites.EPOCH


@dataclasses.dataclass(frozen=True, slots=True)
class Summary:
    """Some days of one site at one load, added up.

    Attributes:
        earned: Share of all worth that was earned.
        by_kind: The same by kind of job.
        wasted: Mean of the days' `wasted_share`.
        urgent_ratio: Mean of the days' `urgent_ratio`.
        broken: All broken rules, with the seeds of their days.
    """

    earned: float
    by_kind: dict[str, float]
    wasted: float
    urgent_ratio: float
    broken: list[str]


def summary(results: abc.Mapping[int, Result]) -> Summary:
    """Adds up results by the seeds of their days."""
    owed: dict[str, float] = {}
    earned: dict[str, float] = {}
    for result in results.values():
        for kind, worth in result.owed.items():
            owed[kind] = owed.get(kind, 0) + worth
            earned[kind] = earned.get(kind, 0) + result.earned[kind]
    total = sum(owed.values())
    return Summary(
        sum(earned.values()) / total if total else 0.0,
        {kind: earned[kind] / owed[kind] for kind in sorted(owed)},
        statistics.mean(one.wasted_share for one in results.values()),
        statistics.mean(one.urgent_ratio for one in results.values()),
        [
            f"seed {seed}: {line}"
            for seed, result in results.items()
            for line in result.broken
        ],
    )
