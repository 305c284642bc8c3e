"""What the oracle lets pass, and what it does not."""

import pytest

from laburnumsill.batch import model
from laburnumsill.emulator import oracle as oracles

STEP = model.Step(1, model.Resources(1000, 1000, 1))
JOB = model.Job("j", "q", "a", "", (STEP,), model.QueueTerms("pool", 1, 3))
TASK = model.TaskId("j", 0, 0, 0)
WORKER = model.Worker("w", "pool", "w", "d", model.Resources(8000, 8000, 8))


@pytest.mark.parametrize("lapsed", [False, True])
def test_a_done_task_may_start_again_only_if_its_lease_ran_out(lapsed):
    """A cut lasts longer than a lease; the end is read when it heals."""
    oracle = oracles.Oracle()
    oracle.submitted(JOB)
    oracle.started(model.RunId(TASK, 1), WORKER, 1.0, late=False)
    oracle.ended(model.RunId(TASK, 1), "w", done=True)
    oracle.noted(model.RunId(TASK, 1), "done", gang=False, lapsed=lapsed)
    oracle.started(model.RunId(TASK, 2), WORKER, 15.0, late=False)
    assert bool(oracle.broken) is not lapsed


def test_two_runs_at_one_time_are_broken_whatever_lapsed():
    oracle = oracles.Oracle()
    oracle.submitted(JOB)
    oracle.started(model.RunId(TASK, 1), WORKER, 1.0, late=False)
    oracle.noted(model.RunId(TASK, 1), "done", gang=False, lapsed=True)
    oracle.started(model.RunId(TASK, 2), WORKER, 2.0, late=False)
    assert len(oracle.broken) == 1


def test_a_crashing_task_may_be_started_twice_more_after_three_crashes():
    oracle = oracles.Oracle()
    oracle.submitted(JOB)
    for number in range(1, 7):
        assert not oracle.broken
        run = model.RunId(TASK, number)
        oracle.started(run, WORKER, float(number), late=False)
        oracle.crashed(run, "w")
    assert oracle.broken == ["6.000 BUDGET j.0.0.0#6 after 5 crashes"]
