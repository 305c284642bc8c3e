"""Emulated days of a site with jobs like the users', and their credit.

A job earns credit that depends on whether it met its objective, see
`load.credit`.
"""

import dataclasses
import random
import statistics
from collections import abc

import trio

from laburnumsill.batch import caller_commands
from laburnumsill.batch import policy as policies
from laburnumsill.emulator import load as loads
from laburnumsill.emulator import site as sites
from laburnumsill.emulator import standing
from laburnumsill.emulator import troubles
from laburnumsill.emulator import virtual_time
from laburnumsill.emulator import workers as worker_module

DAY_S = 40.0
"""Time during which jobs arrive."""

SETTLE_S = 40.0
"""Longest wait for the jobs to end after the last arrival."""

POLL_INTERVAL_S = 0.05

SHAPES = {
    "tana-shore": loads.TANA_SHORE,
    "fingal": loads.FINGAL,
    "further": loads.FURTHER,
    "wide": loads.WIDE,
    "shifted": loads.SHIFTED,
}
"""The known sites by name."""


@dataclasses.dataclass(frozen=True, slots=True)
class Day:
    """The parameters of an emulated day.

    Attributes:
        shape: The site.
        seed: Seed of all random decisions.
        load: Multiple of the usual arrival rates.
        kinds: The faults to inject, names from `troubles.KINDS`.
        policy: The enabled mechanisms of the planner.
        lost_share: Share of the answers to orders that are lost from the start
            of the day.
        settle_s: Longest wait for the jobs to end after the last arrival, in
            seconds.
        terms: What is asked of the site about jobs that stand still.
    """

    shape: loads.Shape
    seed: int
    load: float = 1.0
    kinds: tuple[str, ...] = ()
    policy: policies.Policy = policies.ALL
    lost_share: float = 0.0
    settle_s: float = SETTLE_S
    terms: standing.Terms = standing.DEFAULT_TERMS


@dataclasses.dataclass(frozen=True, slots=True)
class Result:
    """The result of an emulated day.

    Attributes:
        offered: Credit if all jobs had met their objectives, by kind of job.
        earned: Credit earned, by kind of job.
        wasted_share: Lost core-seconds relative to the useful ones.
        urgent_ratio: Mean duration of urgent jobs relative to their work.
        states: Number of jobs by their last shown state.
        broken: Violated invariants, one line each, see `oracle`.
    """

    offered: dict[str, float]
    earned: dict[str, float]
    wasted_share: float
    urgent_ratio: float
    states: dict[str, int]
    broken: list[str]


def run(day: Day) -> Result:
    """Runs a day in virtual time."""
    return virtual_time.run(day.seed, _run_day, day)


async def _run_day(day: Day) -> Result:
    rng = random.Random(day.seed)
    shape = day.shape
    jobs = loads.arrivals(shape, rng, DAY_S, day.load)
    site = sites.EmulatedSite(
        day.seed,
        shape.racks,
        shape.per_rack,
        shape.capacity,
        shape.stop_grace_s,
        worker_module.Checkpointing(shape.checkpoint_s, shape.restore_s),
        day.policy,
        random_names=True,
        restore_ms=int(1000 * shape.restore_s),
        terms=day.terms,
    )
    site.client.lost_share = day.lost_share
    async with trio.open_nursery() as nursery:
        await nursery.start(site.run)
        for number, worker in enumerate(site.pool.workers.values()):
            if number % 3 == 2:
                worker.behaviour.speed = 1 / shape.slow_workers
        site.guarantees = dict.fromkeys(loads.ACCOUNTS, shape.guaranteed)
        async with trio.open_nursery() as submissions:
            for arrival in jobs:
                submissions.start_soon(_submit, site, arrival)
            if day.kinds:
                submissions.start_soon(
                    troubles.inject, site, rng, day.kinds, DAY_S
                )
        with trio.move_on_after(day.settle_s):
            while site.ledger.active_jobs:
                await trio.sleep(POLL_INTERVAL_S)
                site.look()
        site.look()
        nursery.cancel_scope.cancel()
    return _result(site, jobs)


async def _submit(site: sites.EmulatedSite, arrival: loads.Arrival) -> None:
    """Submits a job at its arrival, and cancels it if it is to be cancelled."""
    await trio.sleep(arrival.at_s)
    await site.submit(
        arrival.job, list(arrival.work_s), task_spread=arrival.kind.task_spread
    )
    if arrival.cancel_after_s is not None:
        await trio.sleep(arrival.cancel_after_s)
        await site.cancel(arrival.job.job_id)


def _result(
    site: sites.EmulatedSite, jobs: abc.Sequence[loads.Arrival]
) -> Result:
    """Returns the result of a day; its credit excludes jobs to be cancelled."""
    offered: dict[str, float] = {}
    earned: dict[str, float] = {}
    ratios = []
    counted = [arrival for arrival in jobs if arrival.cancel_after_s is None]
    means = loads.mean_core_s(jobs)
    for arrival in counted:
        name = arrival.kind.name
        ended_at = _ended_at(site, arrival)
        duration_s = None if ended_at is None else ended_at - arrival.at_s
        max_credit = loads.credit(arrival, means[name], 0.0)
        offered[name] = offered.get(name, 0) + max_credit
        earned_credit = loads.credit(arrival, means[name], duration_s)
        earned[name] = earned.get(name, 0) + earned_credit
        if name == loads.URGENT and duration_s is not None:
            ratios.append(duration_s / sum(arrival.work_s))
    useful = sum(arrival.core_s for arrival in counted)
    states: dict[str, int] = {}
    for outcome in site.outcomes.values():
        states[outcome.state] = states.get(outcome.state, 0) + 1
    return Result(
        offered,
        earned,
        site.pool.lost_core_s / useful if useful else 0.0,
        statistics.mean(ratios) if ratios else 0.0,
        states,
        list(site.oracle.broken),
    )


def _ended_at(site: sites.EmulatedSite, arrival: loads.Arrival) -> float | None:
    """Returns the time of completion of a job on the loop's clock, or None."""
    record = site.ledger.jobs.get(arrival.job.job_id)
    if record is None or record.state is not caller_commands.JobState.COMPLETED:
        return None
    return record.ended_ms / 1000 - sites.EPOCH


@dataclasses.dataclass(frozen=True, slots=True)
class Summary:
    """The results of several days of one site at one load, combined.

    Attributes:
        earned: Credit earned, relative to the credit offered.
        by_kind: `earned` by kind of job.
        wasted: Mean of the days' `wasted_share`.
        urgent_ratio: Mean of the days' `urgent_ratio`.
        broken: All violated invariants, with the seeds of their days.
    """

    earned: float
    by_kind: dict[str, float]
    wasted: float
    urgent_ratio: float
    broken: list[str]


def summary(results: abc.Mapping[int, Result]) -> Summary:
    """Combines results, given by the seeds of their days."""
    offered: dict[str, float] = {}
    earned: dict[str, float] = {}
    for result in results.values():
        for kind, worth in result.offered.items():
            offered[kind] = offered.get(kind, 0) + worth
            earned[kind] = earned.get(kind, 0) + result.earned[kind]
    total = sum(offered.values())
    return Summary(
        sum(earned.values()) / total if total else 0.0,
        {kind: earned[kind] / offered[kind] for kind in sorted(offered)},
        statistics.mean(result.wasted_share for result in results.values()),
        statistics.mean(result.urgent_ratio for result in results.values()),
        [
            f"seed {seed}: {line}"
            for seed, result in results.items()
            for line in result.broken
        ],
    )
