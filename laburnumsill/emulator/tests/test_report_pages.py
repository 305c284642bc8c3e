"""Days on which workers have more ends than a report lists."""

import random

import pytest
import trio

from laburnumsill.batch import model
from laburnumsill.emulator import site as sites
from laburnumsill.emulator import virtual_time

TASKS = 40
JOBS = 6


def job(number):
    step = model.Step(TASKS, model.Resources(500, 256, 0), 1000)
    terms = model.QueueTerms("pool", 2, 3, 3.0, 3000)
    return model.Job(f"j{number}", "q", "a", "", (step,), terms)


@pytest.mark.parametrize("loses_leader", [False, True])
@pytest.mark.parametrize("listed_ends", [1, 3, 10])
@pytest.mark.parametrize("seed", range(3))
def test_no_task_runs_again_after_an_end_behind_the_listed_ones(
    listed_ends, loses_leader, seed
):
    rng = random.Random(seed)

    async def main():
        site = sites.EmulatedSite(seed, racks=1, per_rack=3)
        site.pool.listed_ends = listed_ends
        async with trio.open_nursery() as nursery:
            await nursery.start(site.run)
            for number in range(JOBS):
                await site.submit(job(number), [rng.uniform(1.0, 3.0)])
                await trio.sleep(rng.uniform(0.0, 0.5))
                if loses_leader and number % 2:
                    site.groups.lead("")
                    await trio.sleep(rng.uniform(1.0, 3.0))
                    site.groups.lead(rng.choice(["vm1", "vm2"]))
            with trio.fail_after(60.0):
                while site.ledger.active_jobs:  # noqa: ASYNC110
                    await trio.sleep(0.1)
            nursery.cancel_scope.cancel()
        runs = [
            task.last_run
            for record in site.ledger.jobs.values()
            for task in record.steps[0][0].tasks
        ]
        return site.oracle.broken, runs

    broken, runs = virtual_time.run(seed, main)
    assert not broken, broken[:3]
    assert set(runs) == {1}
