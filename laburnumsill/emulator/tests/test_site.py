"""The scheduler against emulated workers, in virtual time."""

import random

import pytest
import trio

from laburnumsill.batch import model
from laburnumsill.emulator import site as sites
from laburnumsill.emulator import troubles
from laburnumsill.emulator import virtual_time

GIB = 1024
DAY_S = 30.0
SETTLE_S = 90.0


def job_of(rng, number):
    """Returns a job like those of the users, and the work of its steps."""
    kind = rng.choice(["urgent", "sweep", "batch"])
    accelerators = rng.choice([1, 2, 4, 8])
    if kind == "urgent":
        steps = [
            model.Step(
                rng.randint(1, 4),
                model.Resources(4000, GIB, accelerators),
                2500,
                gang=True,
                same_rack=rng.random() < 0.8,
            )
        ]
        terms = model.QueueTerms("pool", 0, 3, 1.5, 250)
    elif kind == "sweep":
        steps = [
            model.Step(
                rng.randint(1, 6),
                model.Resources(6000, GIB, accelerators),
                5000,
                gang=True,
                saves_progress=rng.random() < 0.5,
            )
        ]
        terms = model.QueueTerms("pool", 1, 2, 3.0, 1000)
    else:
        first = model.Step(
            rng.randint(1, 12),
            model.Resources(2000, GIB, 1),
            3000,
            saves_progress=rng.random() < 0.5,
            data_rack=rng.choice(["", "r0", "r1"]),
            max_per_worker=rng.choice([0, 2]),
        )
        steps = [first]
        if rng.random() < 0.3:
            after = model.Step(
                2, model.Resources(2000, GIB, 1), 1000, depends_on=(0,)
            )
            steps.append(after)
        terms = model.QueueTerms("pool", 2, 4, 3.0, 3000)
    job = model.Job(f"j{number}", kind, "a", "payload", tuple(steps), terms)
    return job, [rng.uniform(0.5, 5.0) for _ in steps]


async def submit_jobs(site, rng, count):
    for number in range(count):
        job, work_s = job_of(rng, number)
        await site.submit(job, work_s, always_fails=rng.random() < 0.05)
        if rng.random() < 0.15:
            await trio.sleep(rng.uniform(0, 0.5))
            await site.cancel(job.job_id)
        await trio.sleep(rng.expovariate(count / DAY_S))


async def settle(site):
    """Waits until all jobs and runs have ended, and checks what is shown."""
    with trio.move_on_after(SETTLE_S):
        while site.ledger.active_jobs or site.ledger.runs:
            await trio.sleep(0.5)
            site.look()
    site.look()


async def run_day(seed, kinds, count=40):
    """Runs one day and returns the site."""
    rng = random.Random(seed)
    site = sites.EmulatedSite(seed)
    async with trio.open_nursery() as nursery:
        await nursery.start(site.run)
        async with trio.open_nursery() as day:
            day.start_soon(submit_jobs, site, rng, count)
            if kinds:
                day.start_soon(troubles.inject, site, rng, kinds, DAY_S)
        await settle(site)
        nursery.cancel_scope.cancel()
    return site


def run(seed, kinds, count=40):
    return virtual_time.run(seed, run_day, seed, kinds, count)


def check(site):
    assert site.oracle.broken == []
    states = {outcome.state for outcome in site.outcomes.values()}
    assert states <= {"completed", "failed", "cancelled"}
    for job_id, outcome in site.outcomes.items():
        if outcome.state == "failed":
            assert (
                job_id in site.failing_jobs or site.oracle.jobs[job_id].failures
            )


@pytest.mark.parametrize("seed", range(4))
def test_all_jobs_end_on_a_day_without_faults(seed):
    site = run(seed, [])
    check(site)
    for job_id, outcome in site.outcomes.items():
        failed = outcome.state == "failed"
        assert failed == (
            job_id in site.failing_jobs and outcome.state != "cancelled"
        )


BASE_FAULTS = list(troubles.BASE_KINDS)


@pytest.mark.parametrize("kind", troubles.KINDS)
@pytest.mark.parametrize("seed", range(4))
def test_one_fault_violates_no_invariant(kind, seed):
    check(run(100 + seed, [kind]))


@pytest.mark.parametrize("seed", range(20))
def test_base_faults_together_violate_no_invariant(seed):
    check(run(1000 + seed, BASE_FAULTS))


@pytest.mark.parametrize("seed", range(20))
def test_all_faults_together_violate_no_invariant(seed):
    check(run(2000 + seed, list(troubles.KINDS)))


def test_nothing_is_committed_while_no_vm_leads():
    """Guards against an emulation in which callers never wait for a leader."""

    async def main():
        site = sites.EmulatedSite(1)
        async with trio.open_nursery() as nursery:
            await nursery.start(site.run)
            site.groups.lead("")
            job, work_s = job_of(random.Random(1), 1)
            nursery.start_soon(site.submit, job, work_s)
            await trio.sleep(1.0)
            assert not site.ledger.jobs
            site.groups.lead("vm2")
            await trio.sleep(1.0)
            assert site.ledger.jobs
            nursery.cancel_scope.cancel()

    virtual_time.run(1, main)
