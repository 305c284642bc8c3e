"""Plans that order hundreds of starts at once."""

import pytest
import trio
import trio.lowlevel
import trio.testing

from laburnumsill.batch import commands
from laburnumsill.batch import model
from laburnumsill.batch import order_slots
from laburnumsill.batch import orders
from laburnumsill.batch import worker_client
from laburnumsill.batch.tests import test_session
from laburnumsill.emulator import site as sites
from laburnumsill.emulator import virtual_time

LOOP_S = 0.001
"""Time of the leader's loop that an order takes."""


async def hold(slots, priority, order, name, seconds=0.1):
    async with slots.slot(priority):
        order.append(name)
        await trio.sleep(seconds)


async def test_no_more_orders_than_slots_are_in_flight(autojump_clock):
    slots = order_slots.OrderSlots(3)
    begun = []
    async with trio.open_nursery() as nursery:
        for number in range(7):
            nursery.start_soon(hold, slots, 1, begun, number)
        await trio.sleep(0.05)
        assert len(begun) == 3 and slots.waiting == 4
        await trio.sleep(0.1)
        assert len(begun) == 6 and slots.waiting == 1
    assert len(begun) == 7 and slots.waiting == 0


async def test_urgent_orders_do_not_wait(autojump_clock):
    """Others may hold all slots for a timeout while workers are cut off."""
    slots = order_slots.OrderSlots(1)
    begun = []
    async with trio.open_nursery() as nursery:
        for priority, name in [(2, "a"), (2, "b"), (1, "c"), (0, "d")]:
            nursery.start_soon(hold, slots, priority, begun, name)
            await trio.sleep(0.001)
        assert begun == ["a", "d"]
    assert begun == ["a", "d", "c", "b"]


@pytest.mark.parametrize("cancelled_at_s", [0.05, 0.099])
async def test_a_cancelled_order_gives_its_slot_on(
    autojump_clock, cancelled_at_s
):
    """The second cancellation comes at the moment of the grant."""
    slots = order_slots.OrderSlots(1)
    begun = []
    async with trio.open_nursery() as nursery:
        nursery.start_soon(hold, slots, 1, begun, "a")
        await trio.sleep(0.001)
        with trio.move_on_after(cancelled_at_s):
            await hold(slots, 1, begun, "b")
        nursery.start_soon(hold, slots, 1, begun, "c")
    assert begun[0] == "a" and begun[-1] == "c"
    with trio.fail_after(1):
        await hold(slots, 1, begun, "d")


class BusyClient(test_session.ScriptedClient):
    """Each call takes `LOOP_S` of one loop, one after the other."""

    def __init__(self):
        super().__init__()
        self._loop = trio.Lock()
        self.unanswered = 0

    async def start(self, worker, order, deadline):
        began = trio.current_time()
        async with self._loop:
            await trio.sleep(LOOP_S)
        if trio.current_time() > deadline:
            self.unanswered += 1
            raise worker_client.NoAnswerError(f"began at {began}")
        return worker_client.Answer(1000)


def unanswered_starts(slots, runs=400):
    """Returns how many of many starts at once are not answered in time."""

    async def main():
        async with trio.open_nursery() as nursery:
            term = test_session.FakeTerm(nursery)
            term.client = BusyClient()
            term.order_slots = slots
            term.order_timeout.record(0.0, 0.003)
            for number in range(8):
                term.order_timeout.record(0.0, 0.003 + number / 1e6)
            needs = model.Resources(1, 1, 0)
            step = model.Step(runs, needs)
            queue_terms = model.QueueTerms("pool", 1, 3)
            job = model.Job("many", "q", "a", "", (step,), queue_terms)
            term.ledger.submit(test_session.caller_commands.SubmitJob(job, 0))
            placements = [
                commands.Placement(
                    model.RunId(model.TaskId("many", 0, 0, n), 1), "w"
                )
                for n in range(runs)
            ]
            placed = term.ledger.place(
                commands.PlaceRuns(tuple((one,) for one in placements), 0)
            )
            assert set(placed.refusals) == {""}
            for one in placements:
                term.session.start(one.run)
            await trio.sleep(1.0)
            nursery.cancel_scope.cancel()
        return term.client.unanswered

    return trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


def test_hundreds_of_starts_at_once_are_all_answered_in_time():
    """Guards against timeouts that the leader's own load brings about.

    Workers that had carried out their orders counted as unreachable, and the
    members of gangs began more than 4 s apart.
    """
    assert unanswered_starts(order_slots.OrderSlots(10_000)) > 0
    assert unanswered_starts(order_slots.OrderSlots()) == 0


def test_a_site_starts_as_many_tasks_as_before():
    """The limit delays no order of a leader that is not busy."""

    async def main():
        site = sites.EmulatedSite(1, 4, 8)
        async with trio.open_nursery() as nursery:
            await nursery.start(site.run)
            step = model.Step(250, model.Resources(100, 64, 1), 2000)
            terms = model.QueueTerms(sites.POOL, 2, 3, 3.0, 3000)
            job = model.Job("b", "batch", "a", "", (step,), terms)
            await site.submit(job, [2.0])
            await trio.sleep(6.0)
            nursery.cancel_scope.cancel()
        assert not site.oracle.broken
        record = site.ledger.jobs["b"]
        return (record.ended_ms - record.submitted_ms) / 1000

    assert virtual_time.run(1, main) < 2.5


def test_a_start_that_has_waited_too_long_for_its_slot_is_not_sent():
    """Guards against gang members that start after the others gave up."""

    async def script(term):
        term.client.reports = [worker_client.Report(1000, (), ())]
        async with trio.open_nursery() as nursery:
            term.order_slots = order_slots.OrderSlots(1)
            nursery.start_soon(
                hold, term.order_slots, 1, [], "", orders.START_TIMEOUT_S + 0.1
            )
            await trio.testing.wait_all_tasks_blocked()
            term.session.start(test_session.RUN)
            await trio.sleep(2 * orders.START_TIMEOUT_S)
        assert not term.client.given("start")
        assert term.client.given("stop") == [test_session.RUN]

    test_session.run_script(script)
