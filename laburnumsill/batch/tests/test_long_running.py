"""Long-running tasks in the ledger and the planner, after ends as done."""

import pytest

from laburnumsill.batch import caller_commands
from laburnumsill.batch import commands
from laburnumsill.batch import ledger as ledgers
from laburnumsill.batch import model
from laburnumsill.batch import obsolete_runs
from laburnumsill.batch import units
from laburnumsill.batch.tests import planned_site

BEFORE = 0
"""Semantics of the commands of earlier versions."""

RUNNING = caller_commands.JobState.RUNNING
COMPLETED = caller_commands.JobState.COMPLETED


def lasting(tasks=2, job_id="j", **step):
    return planned_site.job(job_id, tasks, 1, long_running=True, **step)


def site_with(*jobs):
    ledger = planned_site.site(1, 2)
    planned_site.submit(ledger, *jobs)
    return ledger


def task_of(index=0, step=0, job_id="j"):
    return model.TaskId(job_id, 0, step, index)


def place(ledger, tasks, number=1, semantics=commands.SEMANTICS):
    """Places a group of runs on the first worker; returns the refusal."""
    worker_id = min(ledger.workers)
    group = tuple(
        commands.Placement(model.RunId(task, number), worker_id)
        for task in tasks
    )
    placed = ledger.place(commands.PlaceRuns((group,), 0, semantics=semantics))
    return placed.refusals[0]


def end(ledger, task, number=1, kind="done", semantics=commands.SEMANTICS):
    """Records the end of a run."""
    worker_id = min(ledger.workers)
    ended = commands.EndedRun(
        ledger.last_end(worker_id) + 1,
        model.RunId(task, number),
        commands.EndKind(kind),
    )
    ledger.note_ends(commands.NoteEnds(worker_id, (ended,), 1, semantics))


def state_of(ledger, job_id="j"):
    return ledger.job_state(caller_commands.JobQuery(job_id)).state


def waiting_tasks(ledger):
    return [
        task for unit in units.ready_units(ledger, 0) for task in unit.tasks
    ]


def reloaded(ledger):
    """Returns a ledger that was restored from a snapshot."""
    restored = ledgers.BatchLedger()
    restored.load(ledger.dump())
    return restored


@pytest.mark.parametrize("kind", list(commands.EndKind))
def test_a_task_that_lasts_waits_again_after_any_end(kind):
    """Guards against an end as done that completes a long-running task."""
    ledger = site_with(lasting(1))
    for number in range(1, 6):
        assert place(ledger, [task_of()], number) == ""
        end(ledger, task_of(), number, kind)
        assert waiting_tasks(ledger) == [task_of()]
        assert state_of(ledger) == RUNNING


def test_a_gang_that_lasts_starts_as_a_whole_once_all_its_runs_have_ended():
    ledger = site_with(lasting(2, gang=True))
    tasks = [task_of(0), task_of(1)]
    assert place(ledger, tasks) == ""
    end(ledger, tasks[0])
    assert waiting_tasks(ledger) == []
    assert "has a live run" in place(ledger, tasks, 2)
    end(ledger, tasks[1])
    assert waiting_tasks(ledger) == tasks
    (unit,) = units.ready_units(ledger, 0)
    assert [unit.next_run(task).number for task in tasks] == [2, 2]
    assert place(ledger, tasks, 2) == ""


def test_the_rest_of_a_gang_of_which_one_member_has_ended_is_stopped():
    ledger = site_with(lasting(2, gang=True))
    place(ledger, [task_of(0), task_of(1)])
    end(ledger, task_of(0))
    stopped = dict(obsolete_runs.obsolete_runs(ledger))
    assert stopped == {model.RunId(task_of(1), 1): "its gang is incomplete"}


def test_a_run_of_a_task_that_lasts_is_not_stopped_after_an_earlier_one():
    ledger = site_with(lasting(2))
    place(ledger, [task_of(0)])
    place(ledger, [task_of(1)])
    end(ledger, task_of(0))
    place(ledger, [task_of(0)], 2)
    assert not list(obsolete_runs.obsolete_runs(ledger))


def test_a_task_that_lasts_has_one_run_at_a_time():
    ledger = site_with(lasting(1))
    place(ledger, [task_of()])
    end(ledger, task_of())
    assert place(ledger, [task_of()], 2) == ""
    assert "has a live run" in place(ledger, [task_of()], 3)


def test_a_run_number_is_not_used_again():
    ledger = site_with(lasting(1))
    place(ledger, [task_of()])
    end(ledger, task_of())
    assert "already had run 1" in place(ledger, [task_of()], 1)


def steps_job(*steps):
    terms = model.QueueTerms("pool", 0, 3)
    return model.Job("j", "q", "a", "", steps, terms)


def test_a_job_with_a_step_that_lasts_is_not_completed_by_the_other_steps():
    needs = model.Resources(1000, 1000, 1)
    ledger = site_with(
        steps_job(model.Step(1, needs, long_running=True), model.Step(1, needs))
    )
    for step in range(2):
        place(ledger, [task_of(step=step)])
        end(ledger, task_of(step=step))
    assert state_of(ledger) == RUNNING
    assert waiting_tasks(ledger) == [task_of(step=0)]


def test_a_step_that_depends_on_one_that_lasts_is_never_ready():
    needs = model.Resources(1000, 1000, 1)
    ledger = site_with(
        steps_job(
            model.Step(1, needs, long_running=True),
            model.Step(1, needs, depends_on=(0,)),
        )
    )
    place(ledger, [task_of()])
    end(ledger, task_of())
    assert waiting_tasks(ledger) == [task_of()]
    assert "depends on" in place(ledger, [task_of(step=1)])


def test_a_cancelled_job_that_lasts_gets_no_run():
    ledger = site_with(lasting(1))
    place(ledger, [task_of()])
    end(ledger, task_of())
    ledger.cancel(caller_commands.CancelJob("j", 2, "a"))
    assert not waiting_tasks(ledger)
    assert "has ended" in place(ledger, [task_of()], 2)


def test_an_end_of_an_earlier_version_keeps_its_effect():
    """Guards against replicas that apply one log in two ways."""
    ledger = site_with(lasting(1))
    place(ledger, [task_of()], semantics=BEFORE)
    end(ledger, task_of(), semantics=BEFORE)
    assert state_of(ledger) == COMPLETED
    assert state_of(reloaded(ledger)) == COMPLETED


def test_a_placement_of_an_earlier_version_keeps_its_effect():
    ledger = site_with(lasting(2))
    place(ledger, [task_of()], semantics=BEFORE)
    end(ledger, task_of(), semantics=BEFORE)
    assert "is done" in place(ledger, [task_of()], 2, semantics=BEFORE)


@pytest.mark.parametrize("restart", [lambda ledger: ledger, reloaded])
def test_tasks_that_an_earlier_version_took_for_done_run_again(restart):
    ledger = site_with(lasting(2))
    place(ledger, [task_of()], semantics=BEFORE)
    end(ledger, task_of(), semantics=BEFORE)
    ledger = restart(ledger)
    assert waiting_tasks(ledger) == [task_of(0), task_of(1)]
    assert place(ledger, [task_of()], 2) == ""
    assert not list(obsolete_runs.obsolete_runs(ledger))
    place(ledger, [task_of(1)])
    end(ledger, task_of(1))
    end(ledger, task_of(0), 2)
    assert state_of(ledger) == RUNNING
    assert waiting_tasks(ledger) == [task_of(0), task_of(1)]


def test_a_finite_task_still_is_done_after_its_end():
    ledger = site_with(planned_site.job("j", 1, 1))
    place(ledger, [task_of()])
    end(ledger, task_of())
    assert state_of(ledger) == COMPLETED
