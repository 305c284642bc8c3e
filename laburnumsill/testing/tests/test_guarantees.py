"""Guarantees come back from borrowers, with real processes."""

import pathlib
import time

import pytest

from laburnumsill.testing import cluster
from laburnumsill.testing import gang_history
from laburnumsill.testing import job_calls

CHECKPOINT_S = 2.0
"""The time that a borrower has to save its work."""

RECLAIM_BOUND_S = CHECKPOINT_S + gang_history.LEASE_S + 2.0
"""A claim runs within this time: a borrower has saved or was stopped, its
lease has ended, and the gang was prepared and started."""

WORKER_TTL_S = 2.0
LOSS_BOUND_S = RECLAIM_BOUND_S + 2 * gang_history.LEASE_S + 2 * WORKER_TTL_S
"""The same if a worker dies meanwhile: its silence is noticed, the leases on
it end, and the claim takes other cells."""

SITE = cluster.Layout(domains={"north": 3}, workers=5)
GUARANTEES = {
    "lakeside": {"north": {"workers": 2}},
    "golf": {"north": {"workers": 2}},
    "dunes": {},
}
BORROWERS = ((2, 8), (2, 8), (2, 4))
"""Gangs (tasks, accelerators of each) that fill the five workers."""


async def start(site, **policy):
    await job_calls.start_site(
        site, GUARANTEES, checkpoint_timeout_s=CHECKPOINT_S, **policy
    )


async def fill(site, run_s=600.0, estimate=1.0):
    """Fills the pool with borrowers; returns the tasks of each."""
    jobs = {}
    for number, (tasks, accelerators) in enumerate(BORROWERS):
        job = await job_calls.submit_until_accepted(
            site,
            f"b{number}",
            tasks,
            accelerators,
            run_s,
            account="dunes",
            estimated_run_s=run_s * estimate,
        )
        jobs[job] = tasks
    for job in jobs:
        await job_calls.until_state(site, job, "running")
    return jobs


async def claim(site, account, run_s=2.0, estimate=1.0):
    """Claims an account's whole guarantee as one gang."""
    return await job_calls.submit_until_accepted(
        site,
        f"claim-{account}",
        2,
        8,
        run_s,
        account=account,
        guaranteed=True,
        estimated_run_s=run_s * estimate,
    )


async def until_runs(site, job, tasks, since, bound_s):
    """Waits for a gang's start and checks that it came within the bound."""
    started = []

    async def runs():
        for (name, _), parts in gang_history.intervals(site).items():
            if name == job and len(parts) == tasks:
                started[:] = [begin for begin, _ in parts]
        return bool(started)

    await site.until(runs, f"{job} runs", bound_s + 20)
    took = max(started) - since
    print(f"{job} ran whole {took:.2f} s after its claim")
    assert took <= bound_s, took


async def worker_of_a_claim(site, jobs):
    """Returns a worker that a claim waits for while a borrower saves."""
    found = []

    async def stopping():
        for job in jobs:
            view = await job_calls.view_of(site, job)
            if view is not None and view["state"] == "stopping":
                found[:] = view["workers"]
        return bool(found)

    await site.until(stopping, "a borrower is stopping")
    return found[0]


def interrupted(site, jobs):
    """Returns which of these jobs have had a member stopped."""
    ended = gang_history.lines(site, "ended")
    return {line["job_id"] for line in ended} & set(jobs)


async def test_whole_guarantees_claimed_at_once_come_back(
    tmp_path: pathlib.Path,
):
    async with cluster.running(tmp_path, SITE) as site:
        await start(site)
        jobs = await fill(site)
        since = time.time()
        for account in ("lakeside", "golf"):
            jobs[await claim(site, account)] = 2
        for job in list(jobs)[-2:]:
            await until_runs(site, job, 2, since, RECLAIM_BOUND_S)
            await job_calls.until_state(site, job, "succeeded")
        stopped = interrupted(site, list(jobs)[:3])
        saved = gang_history.lines(site, "checkpointed")
        assert {line["job_id"] for line in saved} == stopped
        gang_history.check_gangs(site, jobs)


async def test_a_borrower_that_ignores_checkpoints_is_stopped(
    tmp_path: pathlib.Path,
):
    async with cluster.running(tmp_path, SITE) as site:
        await start(site)
        await job_calls.behave(site, {"ignore_checkpoint": True})
        jobs = await fill(site)
        since = time.time()
        for account in ("lakeside", "golf"):
            jobs[await claim(site, account)] = 2
        for job in list(jobs)[-2:]:
            await until_runs(site, job, 2, since, RECLAIM_BOUND_S)
        assert not gang_history.lines(site, "checkpointed")
        gang_history.check_gangs(site, jobs)


async def test_a_worker_that_dies_during_a_claim_only_delays_it(
    tmp_path: pathlib.Path,
):
    async with cluster.running(tmp_path, SITE) as site:
        await start(site)
        await job_calls.behave(site, {"ignore_checkpoint": True})
        jobs = await fill(site)
        since = time.time()
        for account in ("lakeside", "golf"):
            jobs[await claim(site, account)] = 2
        dead = await worker_of_a_claim(site, jobs)
        site.process(dead).kill()
        killed = {dead: time.time()}
        for job in list(jobs)[-2:]:
            await until_runs(site, job, 2, since, LOSS_BOUND_S)
        gang_history.check_gangs(site, jobs, killed)


async def test_a_worker_that_drains_during_a_claim_only_delays_it(
    tmp_path: pathlib.Path,
):
    halves = cluster.Layout(domains={"north": 3}, workers=2)
    async with cluster.running(tmp_path, halves) as site:
        await job_calls.start_site(
            site,
            {"golf": {"north": {"pairs": 1}}, "dunes": {}},
            checkpoint_timeout_s=CHECKPOINT_S,
        )
        await job_calls.behave(site, {"ignore_checkpoint": True})
        jobs = {
            await job_calls.submit_until_accepted(
                site, f"b{number}", 1, 4, 600.0, account="dunes"
            ): 1
            for number in range(4)
        }
        for job in jobs:
            await job_calls.until_state(site, job, "running")
        since = time.time()
        job = await job_calls.submit_until_accepted(
            site, "claim", 1, 2, 2.0, account="golf", guaranteed=True
        )
        leaving = await worker_of_a_claim(site, jobs)
        # The other half of the worker goes on running, so it is not gone.
        fault = {"leaving": True, "ignore_checkpoint": True}
        await job_calls.behave(site, fault, [leaving])
        jobs[job] = 1
        await until_runs(site, job, 1, since, LOSS_BOUND_S)
        ran = gang_history.lines(site, "running")
        assert [x["worker"] for x in ran if x["job_id"] == job] != [leaving]
        gang_history.check_gangs(site, jobs)


@pytest.mark.parametrize("estimate", [0.1, 10.0])
async def test_estimates_far_off_delay_no_claim(
    tmp_path: pathlib.Path, estimate: float
):
    async with cluster.running(tmp_path, SITE) as site:
        await start(site)
        jobs = await fill(site, 600.0, estimate)
        since = time.time()
        job = await claim(site, "golf", 1.0, estimate)
        jobs[job] = 2
        await until_runs(site, job, 2, since, RECLAIM_BOUND_S)
        await job_calls.until_state(site, job, "succeeded")
        gang_history.check_gangs(site, jobs)
