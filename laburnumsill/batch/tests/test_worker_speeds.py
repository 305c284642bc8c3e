"""Tests of the worker speed estimates from the commands of the ledger."""

import random

from laburnumsill.batch import caller_commands
from laburnumsill.batch import commands
from laburnumsill.batch import ledger as ledgers
from laburnumsill.batch import model
from laburnumsill.batch import worker_speeds

WORKERS = [f"w{number}" for number in range(12)]
SLOW = WORKERS[::3]
TASKS = 24
TASK_SPREAD = 0.2


class Log:
    """Applies commands to a ledger and to the speed estimates."""

    def __init__(self):
        self.ledger = ledgers.BatchLedger()
        self.speeds = worker_speeds.WorkerSpeeds(self.ledger)
        self.numbers = dict.fromkeys(WORKERS, 0)
        for name in WORKERS:
            capacity = model.Resources(10**6, 10**6, 100)
            self.apply(
                commands.PutWorker(model.Worker(name, "p", name, "d", capacity))
            )

    def apply(self, command):
        self.ledger.commands()[type(command)](command)
        self.speeds.observe(command)

    def run_step(self, job_id, source, **step):
        """Runs a job with one step; slow workers take 1.3 times as long."""
        spec = model.Step(TASKS, model.Resources(1000, 100, 1), **step)
        terms = model.QueueTerms("p", 1, 3)
        job = model.Job(job_id, "q", "a", "", (spec,), terms)
        self.apply(caller_commands.SubmitJob(job, 0))
        tasks = [model.TaskId(job_id, 0, 0, i) for i in range(TASKS)]
        placed = [
            commands.Placement(model.RunId(t, 1), source.choice(WORKERS))
            for t in tasks
        ]
        groups = (tuple(placed),) if spec.gang else tuple((p,) for p in placed)
        self.apply(commands.PlaceRuns(groups, 1000))
        usual_s = source.uniform(2.0, 12.0)
        ends = []
        for one in placed:
            took_s = usual_s * source.lognormvariate(0, TASK_SPREAD)
            took_s *= 1.3 if one.worker_id in SLOW else 1.0
            ends.append((1000 + int(1000 * took_s), one))
        for at_ms, one in sorted(ends, key=lambda end: end[0]):
            self.numbers[one.worker_id] += 1
            end = commands.EndedRun(
                self.numbers[one.worker_id], one.run, commands.EndKind.DONE
            )
            self.apply(commands.NoteEnds(one.worker_id, (end,), at_ms))


def test_slow_workers_are_detected_among_uneven_tasks():
    right = 0
    for seed in range(10):
        log = Log()
        source = random.Random(seed)
        for number in range(4):
            log.run_step(f"j{number}", source)
        slowest = sorted(WORKERS, key=log.speeds.slowness)[-len(SLOW) :]
        right += len(set(slowest) & set(SLOW))
    assert right >= 0.85 * 10 * len(SLOW), right


def test_workers_without_comparable_run_times_have_no_estimate():
    log = Log()
    assert {log.speeds.slowness(name) for name in WORKERS} == {1.0}
    source = random.Random(1)
    log.run_step("gang", source, gang=True)
    log.run_step("far", source, data_rack="r1")
    assert {log.speeds.slowness(name) for name in WORKERS} == {1.0}


def test_a_removed_worker_has_no_estimate():
    log = Log()
    log.run_step("j", random.Random(1))
    assert log.speeds.slowness("w0") != 1.0
    log.apply(commands.RemoveWorker("w0", "gone"))
    assert log.speeds.slowness("w0") == 1.0


def test_two_replicas_have_the_same_estimates():
    logs = [Log(), Log()]
    for log in logs:
        source = random.Random(7)
        for number in range(3):
            log.run_step(f"j{number}", source)
    one, other = ([x.speeds.slowness(w) for w in WORKERS] for x in logs)
    assert one == other
