"""Workers that crash and restart under their names."""

import random

import msgspec
import pytest
import trio

from laburnumsill.batch import intake as intakes
from laburnumsill.batch import model
from laburnumsill.emulator import site as sites
from laburnumsill.emulator import virtual_time

SETTLE_S = 60.0
MIN_CRASHES_TO_FAIL = 3
"""A job may fail once this many workers crashed during runs of a task."""


def job(job_id, tasks, **step):
    needs = model.Resources(2000, 1024, 1)
    one = model.Step(tasks, needs, 2000, **step)
    terms = model.QueueTerms("pool", 2, 3, 3.0, 3000)
    return model.Job(job_id, "q", "a", "", (one,), terms)


def run_site(seed, script, racks=2, per_rack=3):
    async def main():
        site = sites.EmulatedSite(seed, racks, per_rack)
        site.keeps_names = True
        async with trio.open_nursery() as nursery:
            await nursery.start(site.run)
            await trio.sleep(1.0)
            await script(site)
            with trio.move_on_after(SETTLE_S):
                while site.ledger.active_jobs or site.ledger.runs:
                    await trio.sleep(0.2)
                    site.look()
            site.look()
            nursery.cancel_scope.cancel()
        assert not site.oracle.broken, site.oracle.broken[:3]
        return site

    return virtual_time.run(seed, main)


def states(site):
    return {outcome.state for outcome in site.outcomes.values()}


def crash_some(site, rng, count):
    here = [w for w in site.pool.workers.values() if not w.gone]
    for worker in rng.sample(here, min(count, len(here))):
        worker.crash()


@pytest.mark.parametrize("seed", range(8))
def test_repeated_crashes_lose_no_job_and_duplicate_no_run(seed):
    rng = random.Random(seed)

    async def script(site):
        for number in range(50):
            one = job(f"j{number}", rng.randint(1, 5), gang=number % 3 == 0)
            await site.submit(one, [rng.uniform(0.3, 2.0)])
            await trio.sleep(0.5)
            if number % 10 == 9:
                crash_some(site, rng, 2)

    assert states(run_site(seed, script)) == {"completed"}


@pytest.mark.parametrize("seed", range(8))
def test_incarnations_stay_distinct_after_failover_and_snapshot(seed):
    rng = random.Random(seed)

    async def script(site):
        for number in range(30):
            one = job(f"j{number}", rng.randint(1, 5))
            await site.submit(one, [rng.uniform(0.5, 3.0)])
            await trio.sleep(0.6)
            if number % 10 == 5:
                crash_some(site, rng, 2)
                await trio.sleep(rng.uniform(0.0, 3.0))
                site.groups.lead("")
                site.ledger.load(site.ledger.dump())
                await trio.sleep(rng.uniform(0.0, 3.0))
                site.groups.lead(rng.choice(["vm1", "vm2"]))

    assert states(run_site(seed, script)) == {"completed"}


@pytest.mark.parametrize("seed", range(6))
def test_orders_that_reach_the_successor_start_no_second_run(seed):
    """Workers restart within 50 ms, so orders for a predecessor reach them."""

    async def script(site):
        site.restart_delay_s = (0.0, 0.05)
        site.client.lost_share = 0.5
        for number in range(20):
            await site.submit(job(f"j{number}", 4), [2.0])
            await trio.sleep(0.3)
            crash_some(site, site.random, 1)
        site.client.lost_share = 0.0

    site = run_site(seed, script)
    for job_id, outcome in site.outcomes.items():
        # Three workers crash each second, so a task may be blamed for crashes.
        crashes = site.oracle.jobs[job_id].crashes.values()
        may_fail = max(crashes, default=0) >= MIN_CRASHES_TO_FAIL
        assert outcome.state == "completed" or may_fail


def one_worker(script):
    return run_site(1, script, racks=1, per_rack=1)


def test_late_announcement_of_a_predecessor_is_rejected_by_a_probe():
    """Neither its end nor its incarnation number is recorded any more."""

    async def script(site):
        old = site.pool.newest["w0-0"].worker
        site.pool.newest["w0-0"].crash()
        await trio.sleep(6.0)
        (here,) = site.ledger.workers.values()
        assert here.call_name == old.call_name
        site.ledger._registry.ended.clear()
        late = intakes.Announcement(old, 900, 1000)
        await site.intakes["vm2"].announce(late)
        await site.submit(job("j", 2), [0.5])
        await trio.sleep(3.0)
        assert list(site.ledger.workers) == [here.worker_id]

    assert states(one_worker(script)) == {"completed"}


def test_worker_that_restarts_at_another_address_is_used_there():
    """The former address of the worker refuses connections."""

    async def script(site):
        site.keeps_names = False
        site.restart_delay_s = (60.0, 60.0)
        site.pool.newest["w0-0"].crash()
        await trio.sleep(1.0)
        site.add_worker("w0-0@7", 0, "elsewhere", "w0-0")
        await trio.sleep(2.0)
        await site.submit(job("j", 2), [0.5])
        await trio.sleep(3.0)
        assert list(site.ledger.workers) == ["w0-0@7"]

    assert states(one_worker(script)) == {"completed"}


def test_departure_of_a_predecessor_does_not_end_the_successor():
    async def script(site):
        site.pool.newest["w0-0"].crash()
        await trio.sleep(6.0)
        known = list(site.ledger.workers)
        await site.intakes["vm1"].leave("w0-0")
        assert list(site.ledger.workers) == known

    one_worker(script)


@pytest.mark.parametrize("answers", [True, False])
def test_departure_removes_the_draining_incarnation_once_its_runs_are_over(
    answers,
):
    """Guards against runs that are placed again while they still run."""

    async def script(site):
        site.pool.newest["w0-0"].crash()
        await trio.sleep(6.0)
        (here,) = site.ledger.workers.values()
        await site.submit(job("j", 1), [30.0])
        await trio.sleep(1.0)
        (run,) = site.ledger.runs
        leaving = msgspec.structs.replace(here, draining=True)
        await site.intakes["vm1"].announce(
            intakes.Announcement(leaving, 1_000, None)
        )
        if not answers:
            site.client.cut = {here.worker_id}
        await site.intakes["vm1"].leave("w0-0")
        departing = site.pool.newest["w0-0"]
        assert bool(site.ledger.runs) == (not answers)
        while site.ledger.workers:
            assert run in site.ledger.runs or not departing.running
            await trio.sleep(0.01)
        assert not departing.running
        await site.cancel("j")

    one_worker(script)
