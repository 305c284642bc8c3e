"""Queues that a configuration sends to another pool while they have jobs."""

import random

import pytest
import trio

from laburnumsill.batch import model
from laburnumsill.emulator import days
from laburnumsill.emulator import site as sites
from laburnumsill.emulator import troubles
from laburnumsill.emulator import virtual_time

NEEDS = model.Resources(2000, 1024, 1)
TERMS = model.QueueTerms(sites.POOL, 2, 3, 3.0, 3000)
SETTLE_S = 30.0


def job(job_id, *steps, **changes):
    return model.Job(job_id, "q", "a", "", steps, TERMS, **changes)


def run_site(script, seed=1):
    """Runs a script on a site with a worker in each pool."""

    async def main():
        site = sites.EmulatedSite(seed, racks=1, per_rack=1)
        async with trio.open_nursery() as nursery:
            await nursery.start(site.run)
            site.add_worker("new", 0, pool=sites.OTHER_POOL)
            await trio.sleep(1.0)
            await script(site)
            with trio.move_on_after(SETTLE_S):
                while site.ledger.active_jobs:  # noqa: ASYNC110
                    await trio.sleep(0.2)
            site.look()
            nursery.cancel_scope.cancel()
        assert not site.oracle.broken, site.oracle.broken[:3]
        return site

    return virtual_time.run(seed, main)


def states(site):
    return {outcome.state for outcome in site.outcomes.values()}


async def take_away(site, worker_id):
    worker = site.pool.workers[worker_id]
    await troubles.reclaim_worker(site, worker, 0.1)


def test_a_waiting_step_runs_in_the_pool_to_which_its_queue_was_sent():
    """Guards against jobs that wait for good for workers that have left."""

    async def script(site):
        first = model.Step(3, NEEDS, 2000)
        second = model.Step(1, NEEDS, 2000, (0,))
        await site.submit(job("j", first, second), [2.0, 1.0])
        await trio.sleep(1.0)
        site.move_queue("q", sites.OTHER_POOL)
        await trio.sleep(1.5)
        await take_away(site, "w0-0")

    assert states(run_site(script)) == {"completed"}


def test_a_step_whose_tasks_partly_wait_goes_on_in_the_new_pool():
    async def script(site):
        whole = model.Resources(64_000, 1024, 2)
        await site.submit(job("j", model.Step(6, whole, 1000)), [1.0])
        await trio.sleep(0.5)
        site.move_queue("q", sites.OTHER_POOL)
        await trio.sleep(0.6)
        assert len(site.pool.workers["new"].running) == 1
        assert not site.pool.workers["w0-0"].running

    assert states(run_site(script)) == {"completed"}


@pytest.mark.parametrize("gang", [False, True])
def test_runs_go_on_where_they_run(gang):
    async def script(site):
        await site.submit(
            job("j", model.Step(2, NEEDS, 3000, gang=gang)), [3.0]
        )
        await trio.sleep(1.0)
        site.move_queue("q", sites.OTHER_POOL)
        await trio.sleep(1.0)
        assert len(site.pool.workers["w0-0"].running) == 2

    site = run_site(script)
    tasks = site.ledger.jobs["j"].steps[0][0].tasks
    assert [task.last_run for task in tasks] == [1, 1]


def test_a_gang_that_loses_its_worker_starts_whole_in_the_new_pool():
    async def script(site):
        step = model.Step(2, NEEDS, 3000, gang=True, saves_progress=True)
        await site.submit(job("j", step), [6.0])
        await trio.sleep(3.0)
        site.move_queue("q", sites.OTHER_POOL)
        site.pool.workers["w0-0"].crash()

    assert states(run_site(script)) == {"completed"}


def test_a_queue_that_comes_back_uses_its_first_pool_again():
    async def script(site):
        await site.submit(job("j", model.Step(1, NEEDS, 1000)), [1.0])
        await trio.sleep(0.5)
        for pool in (sites.OTHER_POOL, sites.POOL, sites.OTHER_POOL):
            site.move_queue("q", pool)
            await trio.sleep(0.6)
        site.move_queue("q", sites.POOL)
        await take_away(site, "new")
        for number in range(3):
            two = (model.Step(1, NEEDS), model.Step(1, NEEDS, 0, (0,)))
            await site.submit(job(f"k{number}", *two), [0.5, 0.5])

    assert states(run_site(script)) == {"completed"}


def test_later_occurrences_run_in_the_new_pool():
    async def script(site):
        first_due_ms = int(1000 * (sites.EPOCH + trio.current_time()))
        step = model.Step(1, NEEDS, 500)
        timed = job(
            "j",
            step,
            repeat_count=3,
            first_due_ms=first_due_ms,
            interval_ms=2000,
        )
        await site.submit(timed, [0.5])
        await trio.sleep(1.0)
        site.move_queue("q", sites.OTHER_POOL)
        await take_away(site, "w0-0")

    assert states(run_site(script)) == {"completed"}


@pytest.mark.parametrize("seed", range(4))
def test_a_queue_moves_also_beside_a_change_of_the_leader(seed):
    """Guards against a move that only the former leader knew of."""
    rng = random.Random(seed)

    async def script(site):
        two = (model.Step(2, NEEDS), model.Step(2, NEEDS, 0, (0,)))
        await site.submit(job("j", *two), [2.0, 1.0])
        await trio.sleep(1.0)
        site.move_queue("q", sites.OTHER_POOL)
        await trio.sleep(rng.choice([0.0, 0.002, 0.7]))
        site.groups.lead("")
        site.ledger.load(site.ledger.dump())
        await trio.sleep(rng.uniform(0.0, 1.0))
        site.groups.lead("vm2")
        await take_away(site, "w0-0")

    assert states(run_site(script, seed)) == {"completed"}


def test_a_job_that_was_accepted_with_an_older_configuration_moves_too():
    """Guards against an entry that does not know of the change yet."""

    async def script(site):
        site.move_queue("q", sites.OTHER_POOL)
        await take_away(site, "w0-0")
        await trio.sleep(2.0)
        await site.submit(job("j", model.Step(1, NEEDS)), [0.5])

    assert states(run_site(script)) == {"completed"}


def test_a_dropped_queue_keeps_the_pool_that_it_had_last():
    async def script(site):
        two = (model.Step(1, NEEDS), model.Step(1, NEEDS, 0, (0,)))
        await site.submit(job("j", *two), [2.0, 1.0])
        site.move_queue("q", sites.OTHER_POOL)
        await trio.sleep(1.0)
        site.drop_queue("q")
        await take_away(site, "w0-0")

    assert states(run_site(script)) == {"completed"}


@pytest.mark.parametrize("kinds", ["move", "move,lead,crash,cut,depart"])
@pytest.mark.parametrize("seed", range(3))
def test_moved_queues_on_a_busy_day_break_no_invariant(kinds, seed):
    shape = days.SHAPES["fingal"]
    result = days.run(days.Day(shape, seed, kinds=tuple(kinds.split(","))))
    assert not result.broken, result.broken[:3]
