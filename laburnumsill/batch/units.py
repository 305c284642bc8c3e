"""What can be placed now: gangs whole, other tasks one by one."""

import dataclasses
import math
from collections import abc

from laburnumsill.batch import ledger as ledgers
from laburnumsill.batch import model
from laburnumsill.batch import records

WAVES_IN_A_POOL = 4
"""A wave is a quarter of what a pool can run at a time; from the users' rules
on credit."""


@dataclasses.dataclass(slots=True)
class Unit:
    """Tasks of one step that wait to be placed.

    Attributes:
        record: The job.
        occurrence: Which occurrence.
        number: Which step.
        tasks: The tasks that wait; all of a gang.
        waiting_since_ms: Since when they could run, ms since 1970.
        objective_ms: Until when their job is in time, ms since 1970.
        chain_ms: Expected time of the job's longest chain of steps.
        apart_since_ms: Since when it is to run apart from others, as it may
            crash its workers, ms since 1970; None if it need not.
    """

    record: records.JobRecord
    occurrence: int
    number: int
    tasks: list[model.TaskId]
    waiting_since_ms: int
    objective_ms: float
    chain_ms: float
    apart_since_ms: int | None = None

    @property
    def step(self) -> model.Step:
        """The step as it was submitted."""
        return self.record.job.steps[self.number]

    @property
    def priority(self) -> int:
        """That of the job's queue."""
        return self.record.job.terms.priority

    @property
    def key(self) -> model.StepKey:
        """Names the unit among all."""
        return (self.record.job.job_id, self.occurrence, self.number)

    def run_of(self, task: model.TaskId) -> model.RunId:
        """Returns the next run of a task; a gang's have one number."""
        step = self.record.steps[self.occurrence][self.number]
        if self.step.gang:
            last = max(one.last_run for one in step.tasks)
        else:
            last = step.tasks[task.index].last_run
        return model.RunId(task, last + 1)


StepMs = abc.Callable[[model.Job, int], float]
"""Returns how long a task of a step takes, in ms."""


def declared_ms(job: model.Job, number: int) -> float:
    """Returns what the submitter says a task of a step takes, in ms."""
    return job.steps[number].estimated_ms


def ready_units(
    ledger: ledgers.BatchLedger, now_ms: int, step_ms: StepMs = declared_ms
) -> list[Unit]:
    """Returns all units that could run now, in no order."""
    found: list[Unit] = []
    for record in ledger.active_jobs.values():
        for occurrence in range(len(record.steps)):
            if record.job.due_ms(occurrence) > now_ms:
                continue
            found += _units_of(ledger, record, occurrence, step_ms)
    return found


def next_due_ms(ledger: ledgers.BatchLedger, now_ms: int) -> int | None:
    """Returns when the next occurrence is due, None if none is."""
    return min(
        (
            record.job.due_ms(occurrence)
            for record in ledger.active_jobs.values()
            for occurrence in range(len(record.steps))
            if record.job.due_ms(occurrence) > now_ms
        ),
        default=None,
    )


def chain_ms(job: model.Job, step_ms: StepMs = declared_ms) -> float:
    """Returns the time of a job's longest chain of steps, in ms.

    Examples:
        >>> first = model.Step(1, model.Resources(), 900)
        >>> second = model.Step(1, model.Resources(), 500, (0,))
        >>> terms = model.QueueTerms("p", 0, 1)
        >>> chain_ms(model.Job("j", "q", "", "", (first, second), terms))
        1400
    """
    ends: list[float] = []
    for this, step in enumerate(job.steps):
        before = max((ends[number] for number in step.depends_on), default=0)
        ends.append(before + step_ms(job, this))
    return max(ends, default=0)


def _waves(ledger: ledgers.BatchLedger, job: model.Job, number: int) -> int:
    """Returns how often the time of a step counts in its job's objective.

    The users count a step that is wider than a part of its pool as several
    waves, one after the other.
    """
    step = job.steps[number]
    slots = ledger.slots_in(job.terms.pool, step.needs)
    return math.ceil(step.tasks / max(1, slots // WAVES_IN_A_POOL))


def _units_of(
    ledger: ledgers.BatchLedger,
    record: records.JobRecord,
    occurrence: int,
    step_ms: StepMs,
) -> abc.Iterator[Unit]:
    """Yields the units of one occurrence of a job."""
    job = record.job
    timing = None
    for number, step in enumerate(record.steps[occurrence]):
        if not step.undone or not record.ready(occurrence, number):
            continue
        tasks = ledger.waiting_tasks((job.job_id, occurrence, number))
        whole = len(tasks) == job.steps[number].tasks
        if not tasks or (job.steps[number].gang and not whole):
            continue
        if timing is None:
            timing = _timing(ledger, record, occurrence, step_ms)
        for part, apart_since_ms in _parts(ledger, job.steps[number], tasks):
            yield Unit(
                record,
                occurrence,
                number,
                part,
                timing.since_ms,
                timing.objective_ms,
                timing.chain_ms,
                apart_since_ms,
            )


def _parts(
    ledger: ledgers.BatchLedger,
    step: model.Step,
    tasks: abc.Sequence[model.TaskId],
) -> abc.Iterator[tuple[list[model.TaskId], int | None]]:
    """Yields the tasks of a step that may be placed together.

    Of those that may crash their workers there is one at a time, apart from
    the others; each with since when it is to be apart.
    """
    suspects = ledger.crashes.suspects
    waiting = [task for task in tasks if task in suspects]
    if not waiting:
        yield list(tasks), None
        return
    blames = {task: ledger.crashes.blame_of(task) for task in waiting}
    worst = max(waiting, key=lambda task: blames[task].points)
    if step.gang:
        yield list(tasks), blames[worst].at_ms
        return
    others = [task for task in tasks if task not in suspects]
    if others:
        yield others, None
    if not _runs_any(ledger, worst.step_key, suspects):
        yield [worst], blames[worst].at_ms


def _runs_any(
    ledger: ledgers.BatchLedger,
    key: model.StepKey,
    tasks: abc.Set[model.TaskId],
) -> bool:
    """Returns whether any of some tasks of a step runs."""
    return any(run.task in tasks for run in ledger.runs_of_steps.get(key, ()))


@dataclasses.dataclass(frozen=True, slots=True)
class _Timing:
    """See the attributes of `Unit`."""

    since_ms: int
    objective_ms: float
    chain_ms: float


def _timing(
    ledger: ledgers.BatchLedger,
    record: records.JobRecord,
    occurrence: int,
    step_ms: StepMs,
) -> _Timing:
    job = record.job
    times = [step_ms(job, number) for number in range(len(job.steps))]
    since_ms = max(record.submitted_ms, job.due_ms(occurrence))
    allowed_ms = chain_ms(
        job, lambda job, number: _waves(ledger, job, number) * times[number]
    )
    return _Timing(
        since_ms,
        since_ms + job.terms.stretch * allowed_ms + job.terms.target_ms,
        chain_ms(job, lambda _, number: times[number]),
    )
