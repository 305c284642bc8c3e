"""Days on which leaders stand still and are deposed in the meantime."""

import random

import pytest
import trio

from laburnumsill.batch import model
from laburnumsill.emulator import site as sites
from laburnumsill.emulator import troubles
from laburnumsill.emulator import virtual_time
from laburnumsill.emulator.tests import test_site

DAY_S = 60.0
JOBS = 8
WORK_S = (20.0, 40.0)
"""Shortest and longest work of a task; a lease ends after 10 s."""


async def run_day(seed, kinds):
    """Runs a day of tasks that outlast several leases; returns the site."""
    rng = random.Random(seed)
    site = sites.EmulatedSite(seed)
    async with trio.open_nursery() as nursery:
        await nursery.start(site.run)
        for number in range(JOBS):
            step = model.Step(1, model.Resources(6000, 1024, 8), 30_000)
            terms = model.QueueTerms("pool", 1, 4, 3.0, 1000)
            job = model.Job(f"j{number}", "long", "a", "", (step,), terms)
            await site.submit(job, [rng.uniform(*WORK_S)])
        await troubles.inject(site, rng, kinds, DAY_S)
        await test_site.settle(site)
        nursery.cancel_scope.cancel()
    return site


@pytest.mark.parametrize("seed", range(8))
def test_no_task_runs_twice_while_a_deposed_leader_resumes(seed):
    """Guards against leases that outlast what the next leader waits for."""
    site = virtual_time.run(seed, run_day, seed, ["depose"])
    test_site.check(site)


@pytest.mark.parametrize("seed", range(100, 104))
def test_leaders_are_deposed_while_other_faults_are_injected(seed):
    """Guards against leases that only other faults make too long."""
    kinds = ["depose", "depose", "suspend", "lost"]
    site = virtual_time.run(seed, run_day, seed, kinds)
    test_site.check(site)
