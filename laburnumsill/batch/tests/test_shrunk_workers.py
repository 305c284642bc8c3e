"""Tests of workers whose capacity shrinks, announced or not."""

import msgspec
import pytest
import trio
import trio.testing

from laburnumsill.batch import commands
from laburnumsill.batch import intake as intakes
from laburnumsill.batch import model
from laburnumsill.batch import planner
from laburnumsill.batch.tests import planned_site
from laburnumsill.emulator import site as sites

SMALL = model.Resources(8_000, 8_192, 1)


def run_site(script, racks=1, per_rack=1):
    async def main():
        site = sites.EmulatedSite(1, racks, per_rack)
        async with trio.open_nursery() as nursery:
            await nursery.start(site.run)
            await trio.sleep(2.0)
            await script(site)
            nursery.cancel_scope.cancel()
        assert not site.oracle.broken, site.oracle.broken

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


def job(job_id, tasks, accelerators=1):
    step = model.Step(tasks, model.Resources(1000, 64, accelerators), 1000)
    return model.Job(
        job_id, "q", "a", "", (step,), model.QueueTerms("pool", 1, 3)
    )


def capacity(site):
    (worker,) = site.ledger.workers.values()
    return worker.capacity


async def announce(site, announced_capacity, sequence, clock_ms=None):
    worker = site.pool.workers["w0-0"].worker
    announced = msgspec.structs.replace(worker, capacity=announced_capacity)
    await site.intakes["vm2"].announce(
        intakes.Announcement(announced, sequence, clock_ms)
    )


def test_a_delayed_announcement_of_larger_capacity_is_ignored():
    """An announcement is overtaken by later ones of a smaller capacity."""

    async def script(site):
        site.silent.add("w0-0")
        full = capacity(site)
        await announce(site, SMALL, 105)
        await announce(site, SMALL, 107)
        await announce(site, full, 106)
        assert capacity(site) == SMALL
        await announce(site, full, 108)
        assert capacity(site) == full

    run_site(script)


def test_a_new_leader_accepts_larger_capacity_with_the_second_announcement():
    """The new leader lacks the sequence numbers that its predecessor had."""

    async def script(site):
        site.silent.add("w0-0")
        full = capacity(site)
        await announce(site, SMALL, 105)
        await announce(site, SMALL, 107)
        site.groups.lead("vm2")
        await trio.sleep(0.2)
        await announce(site, full, 106)
        assert capacity(site) == SMALL
        await announce(site, full, 108)
        assert capacity(site) == full

    run_site(script)


def test_sequence_numbers_of_an_earlier_term_are_not_used():
    async def script(site):
        site.silent.add("w0-0")
        full = capacity(site)
        await announce(site, SMALL, 105)
        site.groups.lead("vm2")
        await trio.sleep(0.2)
        await announce(site, SMALL, 107)
        site.groups.lead("vm1")
        await trio.sleep(0.2)
        await announce(site, full, 106)
        assert capacity(site) == SMALL

    run_site(script)


def test_a_new_leader_accepts_a_drain_at_once_but_not_larger_capacity():
    async def script(site):
        site.silent.add("w0-0")
        full = capacity(site)
        await announce(site, SMALL, 105)
        site.groups.lead("vm2")
        await trio.sleep(0.2)
        worker = site.pool.workers["w0-0"].worker
        leaving = msgspec.structs.replace(worker, draining=True, capacity=full)
        await site.intakes["vm2"].announce(
            intakes.Announcement(leaving, 106, None)
        )
        assert site.ledger.workers["w0-0"].draining
        assert capacity(site) == SMALL

    run_site(script)


def test_a_new_leader_starts_no_run_that_exceeds_a_shrunk_capacity():
    """A run was placed by the previous leader, but its start was not sent."""

    async def script(site):
        await site.submit(job("j", 1, 8), [1.0])
        site.groups.lead("")
        run = model.RunId(model.TaskId("j", 0, 0, 0), 1)
        group = (commands.Placement(run, "w0-0"),)
        site.groups.machine.apply(commands.PlaceRuns((group,), 0))
        site.pool.workers["w0-0"].resize(SMALL)
        await trio.sleep(6.0)
        site.groups.machine.apply(
            commands.PutWorker(site.pool.workers["w0-0"].worker, 50)
        )
        site.groups.lead("vm2")
        await trio.sleep(4.0)
        assert not site.ledger.runs

    run_site(script)


@pytest.mark.parametrize("leaderless_s", [5.0, 12.0])
def test_a_new_leader_waits_for_announcements_after_a_time_without_a_leader(
    leaderless_s,
):
    async def script(site):
        site.groups.lead("")
        site.pool.workers["w0-0"].resize(SMALL)
        await trio.sleep(leaderless_s)
        site.groups.lead("vm2")
        await site.submit(job("j", 4), [1.0])
        await trio.sleep(8.0)
        site.look()
        assert site.outcomes["j"].state == "completed"

    run_site(script)


def test_a_worker_that_does_not_announce_itself_gets_no_new_runs():
    """Answers to orders do not contain the worker's capacity."""

    async def script(site):
        await site.submit(job("j", 1), [30.0])
        await trio.sleep(1.0)
        site.silent.add("w0-0")
        site.pool.workers["w0-0"].resize(SMALL)
        await trio.sleep(6.0)
        await site.submit(job("k", 2), [1.0])
        await trio.sleep(4.0)
        assert {run.task.job_id for run in site.ledger.runs} == {"j"}

    run_site(script)


def test_no_run_is_planned_on_an_overcommitted_worker():
    """The ledger would refuse such a placement after each plan."""
    ledger = planned_site.site(1, 1)
    planned_site.occupy(ledger, "w00", "o", 8)
    worker = msgspec.structs.replace(
        ledger.workers["w00"], capacity=model.Resources(64_000, 65_536, 4)
    )
    ledger.put_worker(commands.PutWorker(worker))
    step = model.Step(1, model.Resources(1000, 64, 0), 1000)
    terms = model.QueueTerms("pool", 1, 3)
    planned_site.submit(ledger, model.Job("j", "q", "a", "", (step,), terms))
    assert not planner.plan(planned_site.planner_input(ledger)).groups
