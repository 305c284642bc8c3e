"""Invariants that the oracle checks, and their exceptions."""

import pytest

from laburnumsill.batch import model
from laburnumsill.emulator import oracle as oracles

STEP = model.Step(1, model.Resources(1000, 1000, 1))
JOB = model.Job("j", "q", "a", "", (STEP,), model.QueueTerms("pool", 1, 3))
TASK = model.TaskId("j", 0, 0, 0)
WORKER = model.Worker("w", "pool", "w", "d", model.Resources(8000, 8000, 8))


@pytest.mark.parametrize("after_expiry", [False, True])
def test_done_task_may_restart_only_after_its_lease_expired(after_expiry):
    """The end is read after the worker was unreachable for a lease."""
    oracle = oracles.Oracle()
    oracle.submitted(JOB)
    oracle.check_start(model.RunId(TASK, 1), WORKER, 1.0, late=False)
    oracle.record_end(model.RunId(TASK, 1), "w", 2.0, done=True)
    oracle.record_acknowledged_end(
        model.RunId(TASK, 1), "done", gang=False, after_expiry=after_expiry
    )
    oracle.check_start(model.RunId(TASK, 2), WORKER, 15.0, late=False)
    assert bool(oracle.broken) is not after_expiry


def test_simultaneous_runs_are_a_violation_even_after_expiry():
    oracle = oracles.Oracle()
    oracle.submitted(JOB)
    oracle.check_start(model.RunId(TASK, 1), WORKER, 1.0, late=False)
    oracle.record_acknowledged_end(
        model.RunId(TASK, 1), "done", gang=False, after_expiry=True
    )
    oracle.check_start(model.RunId(TASK, 2), WORKER, 2.0, late=False)
    assert len(oracle.broken) == 1


def test_a_crashing_task_may_be_started_twice_more_after_three_crashes():
    oracle = oracles.Oracle()
    oracle.submitted(JOB)
    for number in range(1, 7):
        assert not oracle.broken
        run = model.RunId(TASK, number)
        oracle.check_start(run, WORKER, float(number), late=False)
        oracle.record_crash(run, "w", float(number))
    assert oracle.broken == ["6.000 BUDGET j.0.0.0#6 after 5 crashes"]


LASTING_JOB = model.Job(
    "j",
    "q",
    "a",
    "",
    (model.Step(1, STEP.needs, long_running=True),),
    JOB.terms,
)


def end_lasting_run(oracle, number, kind):
    """Plays a run of the lasting task to an end that is acknowledged."""
    run = model.RunId(TASK, number)
    oracle.check_start(run, WORKER, float(number), late=False)
    oracle.record_end(run, "w", number + 0.5, done=kind == "done")
    oracle.record_acknowledged_end(run, kind, gang=False)


@pytest.mark.parametrize("kind", ["done", "failed"])
def test_a_long_running_task_may_restart_after_any_end(kind):
    oracle = oracles.Oracle()
    oracle.submitted(LASTING_JOB)
    for number in range(1, 7):
        end_lasting_run(oracle, number, kind)
    assert not oracle.broken


def test_a_long_running_task_runs_once_at_a_time():
    oracle = oracles.Oracle()
    oracle.submitted(LASTING_JOB)
    end_lasting_run(oracle, 1, "done")
    oracle.check_start(model.RunId(TASK, 2), WORKER, 2.0, late=False)
    oracle.check_start(model.RunId(TASK, 3), WORKER, 2.1, late=False)
    assert [line.split()[1] for line in oracle.broken] == ["TWICE"]


def test_a_job_of_long_running_tasks_is_never_completed():
    oracle = oracles.Oracle()
    oracle.submitted(LASTING_JOB)
    end_lasting_run(oracle, 1, "done")
    oracle.shown("j", "completed", 2.0)
    assert [line.split()[1] for line in oracle.broken] == ["MIXED"]
