"""Units: the waiting tasks of a step that are planned together.

A gang is placed as a whole, the tasks of other steps one by one.
"""

import dataclasses
import math
from collections import abc

from laburnumsill.batch import ledger as ledgers
from laburnumsill.batch import model
from laburnumsill.batch import records

WAVES_PER_POOL = 4
"""Waves that fill a pool: a wave is a quarter of the tasks that a pool can run
at a time, as in the users' rules on credit."""

SUSPECT_HOLD_MS = 3_000
"""Time after its last blame for which a suspect of a long-running step waits
for another suspect of the step, in ms. The users allow 9 s between two runs of
such a task; 4 s of it may pass before the crash is known, since leases last as
long, and 2 s until the next plan, its probes, its commit and the start."""


@dataclasses.dataclass(slots=True)
class Unit:
    """Tasks of one step that wait to be placed.

    Attributes:
        record: The job.
        occurrence: Index of the job's occurrence.
        step_index: Index of the step.
        tasks: The waiting tasks; all tasks of a gang.
        pool: The pool whose workers may run them.
        waiting_since_ms: When the job was submitted or the occurrence became
            due, whichever is later, ms since 1970.
        objective_ms: Time by which the job should end, ms since 1970.
        critical_path_ms: Expected run time of the job's critical path of steps.
        isolated_since_ms: When a task of the unit was last blamed for a crash
            and became a suspect to be isolated, ms since 1970; None if there is
            no suspect.
    """

    record: records.JobRecord
    occurrence: int
    step_index: int
    tasks: list[model.TaskId]
    pool: str
    waiting_since_ms: int
    objective_ms: float
    critical_path_ms: float
    isolated_since_ms: int | None = None

    @property
    def step(self) -> model.Step:
        """The submitted step."""
        return self.record.job.steps[self.step_index]

    @property
    def priority(self) -> int:
        """Priority of the job's queue; 0 is the highest."""
        return self.record.job.terms.priority

    @property
    def key(self) -> model.StepKey:
        """Key of the step in this occurrence of the job."""
        return (self.record.job.job_id, self.occurrence, self.step_index)

    @property
    def smallest_part(self) -> int:
        """Number of tasks that can only be placed together."""
        return len(self.tasks) if self.step.gang else 1

    def next_run(self, task: model.TaskId) -> model.RunId:
        """Returns the id of a task's next run; a gang's runs share a number."""
        step = self.record.steps[self.occurrence][self.step_index]
        if self.step.gang:
            last = max(state.last_run for state in step.tasks)
        else:
            last = step.tasks[task.index].last_run
        return model.RunId(task, last + 1)


StepMs = abc.Callable[[model.Job, int], float]
"""Returns the expected run time of a step's tasks, in ms."""


TaskFilter = abc.Callable[[model.TaskId], bool]
"""Returns whether something holds for a task."""


def never(_: model.TaskId) -> bool:
    """Returns False, whatever the task."""
    return False


def declared_ms(job: model.Job, number: int) -> float:
    """Returns the declared run time of a step's tasks, in ms."""
    return job.steps[number].estimated_ms


def ready_units(
    ledger: ledgers.BatchLedger,
    now_ms: int,
    step_ms: StepMs = declared_ms,
    is_paused: TaskFilter = never,
) -> list[Unit]:
    """Returns all units whose tasks could run now, unsorted.

    Args:
        ledger: The ledger.
        now_ms: Wall time, ms since 1970.
        step_ms: Returns the expected run time of a step's tasks, in ms.
        is_paused: Returns whether a long-running task may not be started yet.
    """
    ready: list[Unit] = []
    for record in ledger.active_jobs.values():
        for occurrence in range(len(record.steps)):
            if record.job.due_ms(occurrence) > now_ms:
                continue
            ready += _units_of(
                ledger, record, occurrence, now_ms, step_ms, is_paused
            )
    return ready


def next_due_ms(ledger: ledgers.BatchLedger, now_ms: int) -> int | None:
    """Returns when the next occurrence of any job is due, or None."""
    return min(
        (
            record.job.due_ms(occurrence)
            for record in ledger.active_jobs.values()
            for occurrence in range(len(record.steps))
            if record.job.due_ms(occurrence) > now_ms
        ),
        default=None,
    )


def critical_path_ms(job: model.Job, step_ms: StepMs = declared_ms) -> float:
    """Returns the time of the critical path of a job's steps, in ms.

    Examples:
        >>> first = model.Step(1, model.Resources(), 900)
        >>> second = model.Step(1, model.Resources(), 500, (0,))
        >>> terms = model.QueueTerms("p", 0, 1)
        >>> job = model.Job("j", "q", "", "", (first, second), terms)
        >>> critical_path_ms(job)
        1400
    """
    ends: list[float] = []
    for number, step in enumerate(job.steps):
        start = max((ends[other] for other in step.depends_on), default=0)
        ends.append(start + step_ms(job, number))
    return max(ends, default=0)


def _waves(ledger: ledgers.BatchLedger, job: model.Job, number: int) -> int:
    """Returns the number of waves of a step, for its job's objective.

    By the users' rules, a step that is wider than a part of its pool counts as
    several successive waves, each with the run time of a task.
    """
    step = job.steps[number]
    slots = ledger.slots_in(ledger.pool_of(job), step.needs)
    return math.ceil(step.tasks / max(1, slots // WAVES_PER_POOL))


def _units_of(
    ledger: ledgers.BatchLedger,
    record: records.JobRecord,
    occurrence: int,
    now_ms: int,
    step_ms: StepMs,
    is_paused: TaskFilter,
) -> abc.Iterator[Unit]:
    """Yields the ready units of one occurrence of a job."""
    job = record.job
    timing = None
    for number in range(len(job.steps)):
        is_open = record.is_step_open(occurrence, number)
        if not is_open or not record.ready(occurrence, number):
            continue
        tasks = ledger.waiting_tasks((job.job_id, occurrence, number))
        if job.steps[number].long_running:
            tasks = [task for task in tasks if not is_paused(task)]
        complete = len(tasks) == job.steps[number].tasks
        if not tasks or (job.steps[number].gang and not complete):
            continue
        if timing is None:
            timing = _timing(ledger, record, occurrence, step_ms)
        for part, isolated_since_ms in _parts(
            ledger, job.steps[number], tasks, now_ms
        ):
            yield Unit(
                record,
                occurrence,
                number,
                part,
                ledger.pool_of(job),
                timing.since_ms,
                timing.objective_ms,
                timing.critical_path_ms,
                isolated_since_ms,
            )


def _parts(
    ledger: ledgers.BatchLedger,
    step: model.Step,
    tasks: abc.Sequence[model.TaskId],
    now_ms: int,
) -> abc.Iterator[tuple[list[model.TaskId], int | None]]:
    """Yields the parts of a step whose tasks may be placed together.

    Suspects are separated from the other tasks and run one at a time, the one
    with the most blame first. A run of a long-running step does not end by
    itself, so its suspects wait for each other for `SUSPECT_HOLD_MS` only. A
    gang is never split.

    Yields:
        Tasks, and when a suspect among them was last blamed, ms since 1970;
        None if there is no suspect.
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
    is_free = not _has_live_run(ledger, worst.step_key, suspects)
    for task in waiting:
        at_ms = blames[task].at_ms
        may_wait = not step.long_running or _is_held(at_ms, now_ms)
        if not may_wait or (is_free and task == worst):
            yield [task], at_ms


def _is_held(blamed_ms: int, now_ms: int) -> bool:
    """Returns whether a suspect was blamed within `SUSPECT_HOLD_MS`.

    Args:
        blamed_ms: When it was last blamed, ms since 1970.
        now_ms: Wall time, ms since 1970. It may have been set back.
    """
    return blamed_ms <= now_ms < blamed_ms + SUSPECT_HOLD_MS


def _has_live_run(
    ledger: ledgers.BatchLedger,
    key: model.StepKey,
    tasks: abc.Set[model.TaskId],
) -> bool:
    """Returns whether any of some tasks of a step has a live run."""
    return any(run.task in tasks for run in ledger.runs_by_step.get(key, ()))


@dataclasses.dataclass(frozen=True, slots=True)
class _Timing:
    """Times of an occurrence; see the attributes of `Unit`."""

    since_ms: int
    objective_ms: float
    critical_path_ms: float


def _timing(
    ledger: ledgers.BatchLedger,
    record: records.JobRecord,
    occurrence: int,
    step_ms: StepMs,
) -> _Timing:
    job = record.job
    times = [step_ms(job, number) for number in range(len(job.steps))]
    since_ms = max(record.submitted_ms, job.due_ms(occurrence))
    expected_ms = critical_path_ms(
        job, lambda job, number: _waves(ledger, job, number) * times[number]
    )
    return _Timing(
        since_ms,
        since_ms + job.terms.stretch * expected_ms + job.terms.target_ms,
        critical_path_ms(job, lambda _, number: times[number]),
    )
