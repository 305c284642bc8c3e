"""Workers that depart while their runs go on."""

import random

import pytest
import trio

from laburnumsill.batch import intake as intakes
from laburnumsill.batch import model
from laburnumsill.emulator import days
from laburnumsill.emulator import site as sites
from laburnumsill.emulator import troubles
from laburnumsill.emulator import virtual_time

ACKNOWLEDGED_WITHIN_S = 0.8
"""A worker waits for one second; the rest is left for the way to the VM."""


def job(job_id, **step):
    one = model.Step(2, model.Resources(2000, 1024, 1), 2000, **step)
    terms = model.QueueTerms("pool", 2, 3, 3.0, 3000)
    return model.Job(job_id, "q", "a", "", (one,), terms)


def run_site(seed, script):
    async def main():
        site = sites.EmulatedSite(seed, racks=2, per_rack=3)
        async with trio.open_nursery() as nursery:
            await nursery.start(site.run)
            await trio.sleep(1.0)
            await script(site)
            nursery.cancel_scope.cancel()
        assert not site.oracle.broken, site.oracle.broken[:3]
        return site

    return virtual_time.run(seed, main)


async def until_ended(site):
    with trio.fail_after(60.0):
        while site.ledger.active_jobs:  # noqa: ASYNC110
            await trio.sleep(0.1)


def busy_worker(site):
    return next(one for one in site.pool.workers.values() if one.running)


@pytest.mark.parametrize("kinds", ["depart", "depart,lead,lost,late,cut"])
@pytest.mark.parametrize("seed", range(4))
def test_departures_on_a_busy_day_break_no_invariant(kinds, seed):
    """Guards against runs that are placed again before they have ended."""
    shape = days.SHAPES["fingal"]
    result = days.run(days.Day(shape, seed, kinds=tuple(kinds.split(","))))
    assert not result.broken, result.broken[:3]


@pytest.mark.parametrize("gang", [False, True])
@pytest.mark.parametrize("seed", range(4))
def test_a_departure_before_a_change_of_the_leader_starts_no_second_run(
    gang, seed
):
    """Guards against a next leader that knows of no departure."""

    async def script(site):
        rng = random.Random(seed)
        await site.submit(job("j", gang=gang), [8.0])
        await trio.sleep(1.0)
        worker = busy_worker(site)
        site.client.cut = {worker.worker.worker_id}
        await site.intakes["vm1"].leave(worker.worker.worker_id)
        site.groups.lead("")
        site.ledger.load(site.ledger.dump())
        await trio.sleep(rng.uniform(0.0, 2.0))
        site.groups.lead("vm2")
        await trio.sleep(rng.uniform(0.0, 9.0))
        worker.vanish()
        await until_ended(site)

    run_site(seed, script)


@pytest.mark.parametrize("answers", [True, False])
def test_a_departure_is_acknowledged_in_time(answers):
    """Guards against workers that end without an acknowledgement."""

    async def script(site):
        await site.submit(job("j", long_running=True), [1e6])
        await trio.sleep(1.0)
        worker_id = busy_worker(site).worker.worker_id
        if not answers:
            site.client.cut = {worker_id}
        for _ in range(2):
            began = trio.current_time()
            await site.intakes["vm2"].leave(worker_id)
            assert trio.current_time() - began < ACKNOWLEDGED_WITHIN_S
        assert bool(site.ledger.runs_on(worker_id)) == (not answers)

    run_site(1, script)


def test_a_departing_worker_gets_no_new_runs():
    async def script(site):
        worker = next(iter(site.pool.workers.values()))
        worker_id = worker.worker.worker_id
        await site.intakes["vm1"].leave(worker_id)
        late = intakes.Announcement(worker.worker, 900, worker.clock_ms)
        await site.intakes["vm2"].announce(late)
        for number in range(30):
            await site.submit(job(f"j{number}"), [1.0])
        await trio.sleep(0.5)
        assert not worker.running
        await until_ended(site)

    run_site(1, script)


def test_a_departure_that_arrives_after_its_successor_ends_only_its_sender():
    async def script(site):
        await site.submit(job("j"), [4.0])
        await trio.sleep(1.0)
        sender = busy_worker(site)
        sender.crash()
        await trio.sleep(5.0)
        await site.intakes["vm1"].leave(sender.worker.worker_id)
        successor = site.pool.newest[f"{sender.worker.worker_id}x"]
        worker_id = successor.worker.worker_id
        assert worker_id in site.ledger.workers
        assert not site.ledger.is_departing(worker_id)
        await until_ended(site)

    run_site(1, script)


def test_a_stand_in_departs_at_most_once():
    async def script(site):
        worker = next(iter(site.pool.workers.values()))
        rng = random.Random(1)
        await troubles.depart(site, worker, rng)
        assert worker.gone
        await troubles.depart(site, worker, rng)

    run_site(1, script)
