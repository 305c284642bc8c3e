"""Runs of cancelled jobs end soon, even if started by late orders."""

import pytest
import trio
import trio.testing

from laburnumsill.batch import model
from laburnumsill.batch import worker_client
from laburnumsill.emulator import site as sites

WORKERS = 4
JOBS = 6
MAX_RUN_S = 1.5
"""Time to list and stop a run, which then ends within 0.4 s."""

WATCHED_S = 25.0
"""Late orders are executed up to 12 s after they were sent."""


def job(number):
    step = model.Step(4, model.Resources(1000, 64, 1), 1000)
    terms = model.QueueTerms("pool", 1, 3)
    return model.Job(f"j{number}", "q", "a", "", (step,), terms)


async def watch(site, cut_until, found):
    """Collects the runs that continue although their worker is reachable."""
    ends_at = trio.current_time() + WATCHED_S
    while trio.current_time() < ends_at:
        await trio.sleep(0.1)
        now = trio.current_time()
        if now >= cut_until:
            site.client.cut = set()
        found.extend(
            f"{now:.1f} {one.run} since {one.started_at:.1f}"
            for worker in site.pool.workers.values()
            for one in worker.running.values()
            if now - max(one.started_at, cut_until) > MAX_RUN_S
        )


@pytest.mark.parametrize("cut_s", [0.0, 3.0, 8.0, 14.0])
@pytest.mark.parametrize("seed", range(6))
def test_cancelled_job_ends_although_its_leader_was_removed(seed, cut_s):
    """The start orders are executed late, some on unreachable workers.

    The leader that sent them was removed before they arrived.
    """
    found = []

    async def main():
        site = sites.EmulatedSite(seed, racks=1, per_rack=WORKERS)
        async with trio.open_nursery() as nursery:
            await nursery.start(site.run)
            await trio.sleep(1.0)
            site.client.late_share = 1.0
            for number in range(JOBS):
                await site.submit(job(number), [30.0])
            await trio.sleep(0.1 + site.random.random())
            site.groups.lead("vm2")  # vm1 is removed
            site.client.late_share = 0.0
            if cut_s:
                site.client.cut = set(site.pool.workers)
            for number in range(JOBS):
                await site.cancel(f"j{number}")
            await watch(site, trio.current_time() + cut_s, found)
            nursery.cancel_scope.cancel()
        assert not site.oracle.broken, site.oracle.broken

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
    assert not found, found[:3]


def test_idle_worker_refuses_orders_of_an_earlier_leader():
    async def main():
        site = sites.EmulatedSite(1, racks=1, per_rack=WORKERS)
        async with trio.open_nursery() as nursery:
            await nursery.start(site.run)
            await trio.sleep(1.0)
            fence = site.groups.current_term
            site.groups.lead("vm2")
            await trio.sleep(0.5)
            run = model.RunId(model.TaskId("j0", 0, 0, 0), 1)
            late = worker_client.StartOrder(run, "", "", 10_000, fence)
            for worker in site.pool.workers.values():
                with pytest.raises(worker_client.FencedOffError):
                    worker.start(late, True)
            nursery.cancel_scope.cancel()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
