"""Callers that cancel a job before its submission was answered."""

import random

import pytest
import trio

from laburnumsill.emulator import site as sites
from laburnumsill.emulator import troubles
from laburnumsill.emulator import virtual_time
from laburnumsill.emulator.tests import test_site

DAY_S = 30.0
JOBS = 60
PATIENCE_S = 0.5


async def submit_and_cancel(site, rng, number):
    """Submits a job; leaves and cancels it after half a second."""
    await trio.sleep(rng.uniform(0.0, DAY_S))
    job, work_s = test_site.job_of(rng, number)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(site.submit, job, work_s)
        await trio.sleep(PATIENCE_S)
        await site.cancel(job.job_id)


async def run_day(seed):
    rng = random.Random(seed)
    site = sites.EmulatedSite(seed)
    async with trio.open_nursery() as nursery:
        await nursery.start(site.run)
        async with trio.open_nursery() as day:
            day.start_soon(troubles.inject, site, rng, ["lead"], DAY_S)
            for number in range(JOBS):
                day.start_soon(submit_and_cancel, site, rng, number)
        await trio.sleep(5.0)
        nursery.cancel_scope.cancel()
    return site


@pytest.mark.parametrize("seed", range(4))
def test_a_job_never_runs_once_its_cancelling_was_acknowledged(seed):
    """Guards against a submission that is applied after the cancelling.

    Both wait for a leader, so either may be applied first.
    """
    site = virtual_time.run(seed, run_day, seed)
    assert site.oracle.broken == []
    assert site.ledger.withdrawn
