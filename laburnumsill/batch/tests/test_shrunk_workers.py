"""Workers whose capacity shrinks while they run, or that have not said so."""

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


def play(script, racks=1, per_rack=1):
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


async def announce(site, room, sequence, clock_ms=None):
    worker = site.pool.workers["w0-0"].worker
    said = msgspec.structs.replace(worker, capacity=room)
    await site.intakes["vm2"].announce(
        intakes.Announcement(said, sequence, clock_ms)
    )


def test_a_late_announcement_of_more_room_is_not_believed():
    """It was sent before the worker said, more than once, that it has less."""

    async def script(site):
        site.silent.add("w0-0")
        full = capacity(site)
        await announce(site, SMALL, 105)
        await announce(site, SMALL, 107)
        await announce(site, full, 106)
        assert capacity(site) == SMALL
        await announce(site, full, 108)
        assert capacity(site) == full

    play(script)


def test_a_new_leader_believes_in_more_room_when_it_is_said_twice():
    """It has not heard what the leader before it has heard."""

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

    play(script)


def test_what_was_heard_before_another_vm_led_is_not_gone_by():
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

    play(script)


def test_a_drain_is_believed_at_once_though_more_room_is_not():
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

    play(script)


def test_a_new_leader_starts_no_run_where_the_room_has_gone():
    """The run was placed by the leader before it, and never ordered."""

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

    play(script)


@pytest.mark.parametrize("dark_s", [5.0, 12.0])
def test_after_a_time_without_a_leader_workers_are_heard_before_they_are_used(
    dark_s,
):
    async def script(site):
        site.groups.lead("")
        site.pool.workers["w0-0"].resize(SMALL)
        await trio.sleep(dark_s)
        site.groups.lead("vm2")
        await site.submit(job("j", 4), [1.0])
        await trio.sleep(8.0)
        site.look()
        assert site.outcomes["j"].state == "completed"

    play(script)


def test_a_worker_that_only_answers_orders_gets_no_new_runs():
    """Its answers do not say how much room it has."""

    async def script(site):
        await site.submit(job("j", 1), [30.0])
        await trio.sleep(1.0)
        site.silent.add("w0-0")
        site.pool.workers["w0-0"].resize(SMALL)
        await trio.sleep(6.0)
        await site.submit(job("k", 2), [1.0])
        await trio.sleep(4.0)
        assert {run.task.job_id for run in site.ledger.runs} == {"j"}

    play(script)


def test_nothing_is_planned_where_more_is_in_use_than_there_is():
    """The ledger would refuse it, again and again."""
    ledger = planned_site.site(1, 1)
    planned_site.occupy(ledger, "w00", "o", 8)
    worker = msgspec.structs.replace(
        ledger.workers["w00"], capacity=model.Resources(64_000, 65_536, 4)
    )
    ledger.put_worker(commands.PutWorker(worker))
    step = model.Step(1, model.Resources(1000, 64, 0), 1000)
    terms = model.QueueTerms("pool", 1, 3)
    planned_site.submit(ledger, model.Job("j", "q", "a", "", (step,), terms))
    assert not planner.plan(planned_site.view(ledger)).groups
