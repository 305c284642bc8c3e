"""Tests of the run time estimates from the commands of the ledger."""

import math
import random
import statistics

import pytest

from laburnumsill.batch import caller_commands
from laburnumsill.batch import commands
from laburnumsill.batch import ledger as ledgers
from laburnumsill.batch import model
from laburnumsill.batch import run_times
from laburnumsill.batch import units

TERMS = model.QueueTerms("p", 1, 3, 3.0, 1000)
NEEDS = model.Resources(1000, 100, 1)


class Log:
    """Applies commands to a ledger and to the run time estimates."""

    def __init__(self):
        self.ledger = ledgers.BatchLedger()
        self.times = run_times.RunTimes(self.ledger)
        self.ends = 0
        for name in ("w0", "w1"):
            capacity = model.Resources(100_000, 100_000, 100)
            worker = model.Worker(name, "p", name, "d", capacity, (), name)
            self.apply(commands.PutWorker(worker))

    def apply(self, command):
        self.ledger.commands()[type(command)](command)
        self.times.observe(command)

    def job(self, job_id, declared_ms, queue="q", **step):
        spec = model.Step(step.pop("tasks", 1), NEEDS, declared_ms, **step)
        return model.Job(job_id, queue, "a", "", (spec,), TERMS)

    def run(self, job, *took_ms, places=("w0",)):
        """Submits a job and runs its tasks with the given run times."""
        self.apply(caller_commands.SubmitJob(job, 0))
        runs = [
            model.RunId(model.TaskId(job.job_id, 0, 0, index), 1)
            for index in range(len(took_ms))
        ]
        placed = tuple(
            commands.Placement(run, places[index % len(places)])
            for index, run in enumerate(runs)
        )
        gang = job.steps[0].gang
        groups = (placed,) if gang else tuple((one,) for one in placed)
        self.apply(commands.PlaceRuns(groups, 1000))
        for one, took in sorted(
            zip(placed, took_ms, strict=True), key=lambda pair: pair[1]
        ):
            self.ends += 1
            end = commands.EndedRun(self.ends, one.run, commands.EndKind.DONE)
            at_ms = 1000 + took
            self.apply(commands.NoteEnds(one.worker_id, (end,), at_ms))

    def expected_ms(self, declared_ms, queue="q"):
        return self.times.expected_ms(self.job("new", declared_ms, queue), 0)


def test_the_declared_time_is_expected_without_observations():
    assert Log().expected_ms(700) == 700


def mean_error(seed, usual_ms, spread, declared_error):
    """Returns the mean error of expected times after the first ten jobs.

    Args:
        seed: Seed of the random generator.
        usual_ms: Median run time of the jobs.
        spread: Sigma of the logarithm of the run times.
        declared_error: Sigma of the logarithm of the declared times' errors.
    """
    log = Log()
    source = random.Random(seed)
    errors = []
    for number in range(40):
        took_ms = usual_ms * source.lognormvariate(0, spread)
        declared_ms = int(took_ms * source.lognormvariate(0, declared_error))
        expected_ms = log.expected_ms(declared_ms)
        if number >= 10:
            errors.append(abs(math.log(expected_ms / took_ms)))
        log.run(log.job(f"j{number}", declared_ms), int(took_ms))
    return statistics.mean(errors)


def test_declared_times_that_are_far_off_are_corrected():
    assert (
        mean_error(1, 6800, 0.3, 0.9) < 0.4
    )  # the mean error of the declared times is 0.7


def test_accurate_declared_times_are_kept_in_a_queue_with_a_large_spread():
    assert mean_error(2, 2500, 0.8, 0.1) < 0.2


def test_a_queue_learns_nothing_from_another():
    log = Log()
    for number in range(10):
        log.run(log.job(f"j{number}", 1000, "other"), 9000)
    assert log.expected_ms(1000) == 1000
    assert log.expected_ms(1000, "other") > 4000


def test_the_mean_of_the_queue_is_expected_without_a_declared_time():
    log = Log()
    log.run(log.job("j", 0), 5000)
    assert log.expected_ms(0) == pytest.approx(5000)


def test_a_step_counts_with_the_mean_of_all_its_tasks():
    log = Log()
    job = log.job("j", 0, tasks=3)
    log.run(job, 1000, 8000, 8000)
    assert log.expected_ms(0) == pytest.approx(4000)  # the geometric mean


def test_a_gang_counts_once():
    log = Log()
    log.run(log.job("gang", 0, tasks=9, gang=True), *[8000] * 9)
    log.run(log.job("single", 0), 2000)
    assert log.expected_ms(0) == pytest.approx(4000)


@pytest.mark.parametrize(
    ("step", "places"),
    [
        ({"data_rack": "elsewhere"}, ("w0",)),
        ({"gang": True, "same_rack": True}, ("w0", "w1")),
    ],
)
def test_runs_far_from_their_data_or_split_over_racks_are_ignored(step, places):
    log = Log()
    log.run(log.job("j", 1000, tasks=2, **step), 9000, 9000, places=places)
    assert log.expected_ms(1000) == 1000


def test_the_objective_of_a_wide_step_allows_for_several_waves():
    log = Log()
    # 200 slots in all, so 50 in a wave
    log.apply(caller_commands.SubmitJob(log.job("wide", 1000, tasks=51), 0))
    log.apply(caller_commands.SubmitJob(log.job("slim", 1000, tasks=50), 0))
    ready = units.ready_units(log.ledger, 0)
    objectives = {unit.record.job.job_id: unit.objective_ms for unit in ready}
    assert objectives == {"wide": 7000, "slim": 4000}
