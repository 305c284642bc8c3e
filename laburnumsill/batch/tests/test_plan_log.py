"""Log lines about plans, parsed by `laburnumsill.explain`."""

import io

from laburnumsill.batch import commands
from laburnumsill.batch import model
from laburnumsill.batch import plan_log
from laburnumsill.batch import planner
from laburnumsill.batch import plans
from laburnumsill.batch.tests import planned_site
from laburnumsill.core import logs
from laburnumsill.core import trio_clock
from laburnumsill.explain import lines
from laburnumsill.explain import stories


async def test_explain_parses_the_lines_of_a_plan(monkeypatch):
    written = io.StringIO()
    monkeypatch.setattr("sys.stderr", written)
    logs.set_up("INFO", "core1")
    ledger = planned_site.site(racks=1)
    planned_site.submit(
        ledger,
        planned_site.job("g", 2, 8, gang=True),
        planned_site.job("waits", 2, 8, priority=1, gang=True),
    )
    made = planner.plan(
        plans.PlannerInput(
            ledger,
            set(ledger.workers),
            frozenset(),
            {},
            0,
            explain=lambda _: True,
        )
    )
    log = plan_log.PlanLog(ledger, trio_clock.TrioClock(1_700_000_000.0))
    for group in made.groups:
        for placement in group:
            log.log_placement(placement, "")
    log.log_placement(
        commands.Placement(model.RunId(model.TaskId("g", 0, 0, 0), 9), "w"),
        "over its capacity",
    )
    log.log_waiting(made, usable=2)
    site = stories.story_of(lines.events_of(written.getvalue().splitlines()))
    runs = site.jobs["g"].runs.values()
    assert len(runs) == 2 and all(run.gang for run in runs)
    (obstacle,) = site.jobs["waits"].obstacles
    assert "wanted:2" in obstacle.text
    assert log.units_waiting == 1
    assert not log.is_due(("waits", 0, 0))
    assert log.is_due(("another", 0, 0))
