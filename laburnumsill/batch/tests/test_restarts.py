"""Pauses before long-running tasks are started again."""

import hypothesis
import pytest
from hypothesis import strategies as st

from laburnumsill.batch import commands
from laburnumsill.batch import model
from laburnumsill.batch import restarts as restart_module
from laburnumsill.batch import units
from laburnumsill.batch.tests import planned_site
from laburnumsill.core import metrics as metrics_module

TASK = model.TaskId("j", 0, 0, 0)
OTHER = model.TaskId("j", 0, 0, 1)


class Ends:
    """Ends of the runs of a job of one step, and the pauses after them."""

    def __init__(self, **step):
        step.setdefault("long_running", True)
        self.metrics = metrics_module.Metrics()
        self.restarts = restart_module.Restarts(self.metrics)
        self.job = planned_site.job("j", 2, 1, **step)
        self.now = 1000.0

    def end(self, number, task=TASK, kind="done"):
        """Records an end now; returns the pause after it, in seconds."""
        ended = commands.EndedRun(
            number, model.RunId(task, number), commands.EndKind(kind)
        )
        self.restarts.observe_end(ended, self.job, "w", self.now)
        resume = self.restarts.next_resume(self.now)
        return 0.0 if resume is None else resume - self.now

    def is_paused(self, task=TASK):
        return self.restarts.is_paused(task, self.now)


@pytest.mark.parametrize("kind", ["done", "failed"])
def test_pauses_grow_up_to_2_s_while_the_ends_follow_each_other_soon(kind):
    ends = Ends()
    pauses = []
    for number in range(1, 8):
        pauses.append(ends.end(number, kind=kind))
        ends.now += 2.5
    assert pauses == [0.0, 0.25, 0.5, 1.0, 2.0, 2.0, 2.0]


def test_a_task_that_has_run_for_long_starts_again_at_once():
    ends = Ends()
    ends.end(1)
    ends.now += 0.1
    assert ends.end(2) > 0
    ends.now += restart_module.SETTLED_S
    assert ends.end(3) == 0


def test_a_pause_ends():
    ends = Ends()
    ends.end(1)
    pause_s = ends.end(2)
    assert ends.is_paused()
    assert not ends.is_paused(OTHER)
    ends.now += pause_s
    assert not ends.is_paused()
    assert ends.restarts.next_resume(ends.now) is None


def test_a_gang_has_one_pause_however_many_members_end():
    ends = Ends(gang=True)
    ends.end(1, TASK)
    assert ends.end(1, OTHER) == 0
    pause_s = ends.end(2, TASK)
    assert ends.end(2, OTHER) == pause_s == restart_module.FIRST_PAUSE_S
    assert ends.is_paused(TASK) and ends.is_paused(OTHER)


@pytest.mark.parametrize(
    "kind", sorted(set(commands.EndKind) - restart_module.OWN_ENDS)
)
def test_an_end_by_an_order_or_a_lease_makes_no_pause(kind):
    ends = Ends()
    ends.end(1)
    assert ends.end(2, kind=kind) == 0


def test_a_task_that_does_not_last_has_no_pause():
    ends = Ends(long_running=False)
    ends.end(1, kind="failed")
    assert ends.end(2, kind="failed") == 0


def test_an_end_that_is_repeated_counts_once():
    ends = Ends()
    ends.end(1)
    assert ends.end(1) == 0


def test_the_pauses_of_ended_jobs_are_dropped():
    ends = Ends()
    ends.end(1)
    ends.end(2)
    ends.restarts.keep_jobs({"j"})
    assert ends.is_paused()
    ends.restarts.keep_jobs(())
    assert not ends.is_paused()


def test_ends_are_counted_by_kind():
    ends = Ends()
    for number, kind in enumerate(("done", "done", "failed", "stopped"), 1):
        ends.end(number, kind=kind)
    text = ends.metrics.render()[0].decode()
    for kind, count in (("done", 2), ("failed", 1)):
        labels = f'kind="{kind}",queue="q0"'
        assert f"long_running_ends_total{{{labels}}} {count}" in text
    assert "stopped" not in text


@hypothesis.given(st.lists(st.floats(0.0, 30.0), max_size=40))
def test_no_pause_is_longer_than_the_bound(gaps):
    ends = Ends()
    for number, gap_s in enumerate(gaps, 1):
        ends.now += gap_s
        assert 0 <= ends.end(number) <= restart_module.MAX_PAUSE_S + 1e-9


def test_a_paused_task_is_no_unit_but_its_siblings_are():
    ledger = planned_site.site()
    planned_site.submit(ledger, planned_site.job("j", 2, 1, long_running=True))
    paused = units.ready_units(ledger, 0, is_paused=TASK.__eq__)
    assert [list(unit.tasks) for unit in paused] == [[OTHER]]


def test_a_paused_gang_waits_as_a_whole():
    ledger = planned_site.site()
    gang = planned_site.job("j", 2, 1, gang=True, long_running=True)
    planned_site.submit(ledger, gang)
    assert not units.ready_units(ledger, 0, is_paused=TASK.__eq__)
