"""Workers that are reclaimed at a notice of seconds, under urgent gangs."""

import pytest
import trio

from laburnumsill.batch import leaving_workers
from laburnumsill.batch import model
from laburnumsill.batch import policy as policies
from laburnumsill.batch.tests import planned_site
from laburnumsill.emulator import site as sites
from laburnumsill.emulator import troubles
from laburnumsill.emulator import virtual_time

GRACE_MS = 400
LATEST_MS = GRACE_MS + leaving_workers.LATEST_STOP_MARGIN_MS
OFF = policies.without(["leaving_workers"])


def step(**changes):
    return model.Step(1, model.Resources(1, 1, 1), 2000, **changes)


@pytest.mark.parametrize(
    "one, priority, run_left_ms, worker_left_ms, stopped",
    [
        (step(), 0, 2000, 2000, False),
        (step(), 0, 2001, 2000, True),
        (step(), 0, 100, -50, True),
        (step(), 0, -100, 2000, False),
        (step(), 1, 9000, 2000, False),
        (step(), 1, 9000, -2000, False),
        (step(saves_progress=True), 1, 9000, LATEST_MS + 1, False),
        (step(saves_progress=True), 1, 9000, LATEST_MS, True),
        (step(saves_progress=True), 0, 9000, LATEST_MS + 1, False),
        (step(saves_progress=True), 1, 100, 200, False),
        (step(saves_progress=True), 1, 100, -200, True),
        (step(long_running=True), 0, 9000, 0, False),
    ],
    ids=[
        "urgent, ends in time",
        "urgent, does not",
        "urgent, the worker may leave now",
        "urgent, overdue",
        "background that saves nothing",
        "the same, the worker may leave now",
        "saving, works on",
        "saving, at the last moment",
        "urgent and saving",
        "saving, ends in time",
        "saving, the worker may leave now",
        "long-running",
    ],
)
def test_runs_that_a_stop_serves_are_stopped(
    one, priority, run_left_ms, worker_left_ms, stopped
):
    found = leaving_workers.must_stop(
        one, priority, run_left_ms, worker_left_ms, GRACE_MS
    )
    assert found is stopped


def test_a_gang_is_stopped_as_a_whole():
    ledger = planned_site.site(racks=1, per_rack=2)
    gang = planned_site.job("u", 2, 8, gang=True)
    planned_site.submit(ledger, gang)
    made = planned_site.planner.plan(planned_site.planner_input(ledger))
    planned_site.apply_plan(ledger, made)
    found = leaving_workers.runs_to_stop(
        ledger, {"w00": 1_000.0}, lambda *_: 2_000.0, 0, GRACE_MS
    )
    assert {run.task.index for run in found} == {0, 1}
    none = leaving_workers.runs_to_stop(
        ledger, {}, lambda *_: 2_000.0, 0, GRACE_MS
    )
    assert none == []


# The load: urgent gangs on workers that are gone 1.5 s after their notice.

WORK_S = 2.5
GANGS = 4
LEAVING = 4
NOTICE_S = 1.5
NOTICE_AFTER_S = 0.2


def play(policy, seed, may_stand=False):
    """Returns the time to the end of each urgent job, in s.

    Args:
        policy: The mechanisms of the planner in use.
        seed: Seed of the site.
        may_stand: Whether jobs may stand still, as they do without the
            mechanism under test.
    """

    async def main():
        site = sites.EmulatedSite(seed, racks=4, per_rack=4, policy=policy)
        async with trio.open_nursery() as nursery:
            await nursery.start(site.run)
            await trio.sleep(2.0)
            for number in range(GANGS):
                gang = planned_site.urgent_gang(f"u{number}")
                await site.submit(gang, [WORK_S])
            await trio.sleep(NOTICE_AFTER_S)
            busy = [w for w in site.pool.workers.values() if w.running]
            for worker in busy[:LEAVING]:
                nursery.start_soon(
                    troubles.reclaim_worker, site, worker, NOTICE_S
                )
            await trio.sleep(25.0)
            site.look()
            nursery.cancel_scope.cancel()
        broken = [
            line
            for line in site.oracle.broken
            if not (may_stand and " STILL " in line)
        ]
        assert not broken
        records = [site.ledger.jobs[f"u{n}"] for n in range(GANGS)]
        return [(one.ended_ms - one.submitted_ms) / 1000 for one in records]

    return virtual_time.run(seed, main)


def test_urgent_gangs_on_reclaimed_workers_run_elsewhere_at_once():
    """Guards against gangs that wait for the leases of lost workers."""
    seeds = range(3)
    before = [
        took for seed in seeds for took in play(OFF, seed, may_stand=True)
    ]
    after = [took for seed in seeds for took in play(policies.ALL, seed)]
    assert max(before) > 8.0
    assert max(after) < NOTICE_AFTER_S + WORK_S + 1.5
