"""What the ledger keeps of jobs, tasks and runs."""

import dataclasses
from collections import abc

from laburnumsill.batch import caller_commands
from laburnumsill.batch import model


@dataclasses.dataclass(slots=True)
class TaskRecord:
    """What is known of one task.

    Attributes:
        last_run: Number of its newest run, 0 before the first.
        failures: How many of its runs have failed by themselves.
        done_run: Number of the run that was done, 0 while none was.
        saved: The newest progress, from which a run can go on, or "".
    """

    last_run: int = 0
    failures: int = 0
    done_run: int = 0
    saved: str = ""


@dataclasses.dataclass(slots=True)
class StepRecord:
    """The tasks of one step of one occurrence.

    Attributes:
        tasks: By index.
        failed_runs: Of a gang: numbers of the runs that have failed.
        undone: How many of its tasks are not done.
    """

    tasks: list[TaskRecord]
    failed_runs: list[int] = dataclasses.field(default_factory=list)
    undone: int = 0


@dataclasses.dataclass(slots=True)
class JobRecord:
    """What is known of one job.

    Attributes:
        job: As it was submitted.
        submitted_ms: When it was accepted, ms since 1970.
        state: What is shown of it.
        ended_ms: When it ended, 0 before.
        begun: Whether one of its tasks was ever seen running or ended.
        steps: The steps of each occurrence.
    """

    job: model.Job
    submitted_ms: int
    state: caller_commands.JobState = caller_commands.JobState.QUEUED
    ended_ms: int = 0
    begun: bool = False
    steps: list[list[StepRecord]] = dataclasses.field(default_factory=list)

    @property
    def active(self) -> bool:
        """Whether tasks of it may still be started."""
        return self.state in ACTIVE_STATES

    @property
    def done(self) -> bool:
        """Whether all its tasks are done."""
        return all(
            not step.undone for occurrence in self.steps for step in occurrence
        )

    def task(self, task: model.TaskId) -> TaskRecord | None:
        """Returns the record of a task, or None if there is no such task."""
        step = self.step(task)
        if step is None or not 0 <= task.index < len(step.tasks):
            return None
        return step.tasks[task.index]

    def step(self, task: model.TaskId) -> StepRecord | None:
        """Returns the record of a task's step, or None."""
        if not 0 <= task.occurrence < len(self.steps):
            return None
        occurrence = self.steps[task.occurrence]
        known = 0 <= task.step < len(occurrence)
        return occurrence[task.step] if known else None

    def has_done_tasks(self, key: model.StepKey) -> bool:
        """Returns whether any task of a step of this job is done."""
        _, occurrence, number = key
        step = self.steps[occurrence][number]
        return step.undone < len(step.tasks)

    def ready(self, occurrence: int, step: int) -> bool:
        """Returns whether all that a step depends on is done."""
        records = self.steps[occurrence]
        return all(
            not records[number].undone
            for number in self.job.steps[step].depends_on
        )


ACTIVE_STATES = frozenset(
    {caller_commands.JobState.QUEUED, caller_commands.JobState.RUNNING}
)


@dataclasses.dataclass(slots=True)
class RunRecord:
    """A run that was placed and may be running.

    Attributes:
        run: Which run.
        worker_id: Where.
        placed_ms: When it was placed, ms since 1970.
        seen: Whether its worker has listed it as running.
        is_stray: Whether it was ordered of an earlier incarnation. Its orders
            may still be carried out, so it is stopped before it is over.
    """

    run: model.RunId
    worker_id: str
    placed_ms: int
    seen: bool = False
    is_stray: bool = False


def new_job(job: model.Job, at_ms: int) -> JobRecord:
    """Returns the record of a job that was just accepted."""
    return JobRecord(
        job, at_ms, steps=[_occurrence(job) for _ in range(job.occurrences)]
    )


def _occurrence(job: model.Job) -> list[StepRecord]:
    return [
        StepRecord([TaskRecord() for _ in range(step.tasks)], undone=step.tasks)
        for step in job.steps
    ]


def attempts(record: JobRecord, task: model.TaskId) -> int:
    """Returns how many runs of a task, or of its gang, have failed."""
    step = record.step(task)
    if step is None:
        return 0
    if record.job.steps[task.step].gang:
        return max(one.failures for one in step.tasks)
    return step.tasks[task.index].failures


def siblings(job: model.Job, task: model.TaskId) -> abc.Iterator[model.TaskId]:
    """Yields the names of all tasks of a task's step, itself too."""
    for index in range(job.steps[task.step].tasks):
        yield model.TaskId(task.job_id, task.occurrence, task.step, index)


def step_keys(job: model.Job) -> abc.Iterator[model.StepKey]:
    """Yields the names of all steps of all occurrences of a job."""
    for occurrence in range(job.occurrences):
        for number in range(len(job.steps)):
            yield (job.job_id, occurrence, number)
