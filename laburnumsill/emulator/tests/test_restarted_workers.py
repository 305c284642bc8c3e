"""Workers that crash and start again under their names."""

import random

import msgspec
import pytest
import trio

from laburnumsill.batch import intake as intakes
from laburnumsill.batch import model
from laburnumsill.emulator import site as sites
from laburnumsill.emulator import virtual_time

SETTLE_S = 60.0
FEWEST_CRASHES = 3


def job(job_id, tasks, **step):
    needs = model.Resources(2000, 1024, 1)
    one = model.Step(tasks, needs, 2000, **step)
    terms = model.QueueTerms("pool", 2, 3, 3.0, 3000)
    return model.Job(job_id, "q", "a", "", (one,), terms)


def play(seed, script, racks=2, per_rack=3):
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


def crash_some(site, source, count):
    here = [w for w in site.pool.workers.values() if not w.gone]
    for worker in source.sample(here, min(count, len(here))):
        worker.crash()


@pytest.mark.parametrize("seed", range(8))
def test_crashes_again_and_again_lose_and_double_nothing(seed):
    source = random.Random(seed)

    async def script(site):
        for number in range(50):
            one = job(f"j{number}", source.randint(1, 5), gang=number % 3 == 0)
            await site.submit(one, [source.uniform(0.3, 2.0)])
            await trio.sleep(0.5)
            if number % 10 == 9:
                crash_some(site, source, 2)

    assert states(play(seed, script)) == {"completed"}


@pytest.mark.parametrize("seed", range(8))
def test_a_new_leader_and_a_snapshot_know_the_lives_apart(seed):
    source = random.Random(seed)

    async def script(site):
        for number in range(30):
            one = job(f"j{number}", source.randint(1, 5))
            await site.submit(one, [source.uniform(0.5, 3.0)])
            await trio.sleep(0.6)
            if number % 10 == 5:
                crash_some(site, source, 2)
                await trio.sleep(source.uniform(0.0, 3.0))
                site.groups.lead("")
                site.ledger.load(site.ledger.dump())
                await trio.sleep(source.uniform(0.0, 3.0))
                site.groups.lead(source.choice(["vm1", "vm2"]))

    assert states(play(seed, script)) == {"completed"}


@pytest.mark.parametrize("seed", range(6))
def test_orders_that_reach_the_next_life_run_nothing_twice(seed):
    """It starts again so soon that orders for the life before reach it."""

    async def script(site):
        site.restart_s = (0.0, 0.05)
        site.client.lost_share = 0.5
        for number in range(20):
            await site.submit(job(f"j{number}", 4), [2.0])
            await trio.sleep(0.3)
            crash_some(site, site.random, 1)
        site.client.lost_share = 0.0

    site = play(seed, script)
    for job_id, outcome in site.outcomes.items():
        # Three workers crash each second, which may look like a task's fault.
        crashes = site.oracle.jobs[job_id].crashes.values()
        given_up = max(crashes, default=0) >= FEWEST_CRASHES
        assert outcome.state == "completed" or given_up


def one_worker(script):
    return play(1, script, racks=1, per_rack=1)


def test_a_late_announcement_of_an_earlier_life_is_told_by_asking():
    """Neither its end nor its number of starts is known any more."""

    async def script(site):
        old = site.pool.lives["w0-0"].worker
        site.pool.lives["w0-0"].crash()
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


def test_a_worker_that_starts_again_elsewhere_is_used_there():
    """Nothing answers at its former address."""

    async def script(site):
        site.keeps_names = False
        site.restart_s = (60.0, 60.0)
        site.pool.lives["w0-0"].crash()
        await trio.sleep(1.0)
        site.add_worker("w0-0@7", 0, "elsewhere", "w0-0")
        await trio.sleep(2.0)
        await site.submit(job("j", 2), [0.5])
        await trio.sleep(3.0)
        assert list(site.ledger.workers) == ["w0-0@7"]

    assert states(one_worker(script)) == {"completed"}


def test_a_departure_of_an_earlier_life_does_not_end_the_next():
    async def script(site):
        site.pool.lives["w0-0"].crash()
        await trio.sleep(6.0)
        known = list(site.ledger.workers)
        await site.intakes["vm1"].leave("w0-0")
        assert list(site.ledger.workers) == known

    one_worker(script)


def test_a_departure_ends_the_life_that_drains():
    async def script(site):
        site.pool.lives["w0-0"].crash()
        await trio.sleep(6.0)
        (here,) = site.ledger.workers.values()
        leaving = msgspec.structs.replace(here, draining=True)
        await site.intakes["vm1"].announce(
            intakes.Announcement(leaving, 1_000, None)
        )
        await site.intakes["vm1"].leave("w0-0")
        assert not site.ledger.workers

    one_worker(script)
