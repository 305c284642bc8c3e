"""Limit on the leader's share of time spent on slow plans."""

import trio
import trio.testing

from laburnumsill.batch import leading
from laburnumsill.batch import planner
from laburnumsill.emulator import site as sites

PLAN_S = 0.02
"""Duration of a plan, as on a large site."""

WATCHED_S = 3.0


def test_plans_leave_most_of_the_time_to_commits_and_reports(monkeypatch):
    """Events that arrive continuously must not cause back-to-back plans."""
    clock = trio.testing.MockClock(autojump_threshold=0)
    plans = 0
    plan = planner.plan

    def slow_plan(planner_input):
        nonlocal plans
        plans += 1
        clock.jump(PLAN_S)
        return plan(planner_input)

    async def main():
        site = sites.EmulatedSite(1)
        async with trio.open_nursery() as nursery:
            await nursery.start(site.run)
            await trio.sleep(1.0)
            monkeypatch.setattr(planner, "plan", slow_plan)
            ends_at = trio.current_time() + WATCHED_S
            while trio.current_time() < ends_at:
                for scheduler in site.schedulers.values():
                    scheduler.on_command(object())
                await trio.sleep(0.001)
            nursery.cancel_scope.cancel()

    trio.run(main, clock=clock)
    assert plans
    assert plans * PLAN_S <= 1.1 * leading.MAX_PLANNING_SHARE * WATCHED_S
