"""Records of jobs, steps, tasks and runs in the ledger."""

import dataclasses
from collections import abc

from laburnumsill.batch import caller_commands
from laburnumsill.batch import model


@dataclasses.dataclass(slots=True)
class TaskRecord:
    """The state of one task.

    Attributes:
        last_run: Number of its newest run, 0 before the first.
        failures: Number of its runs that failed; runs that were stopped or
            lost do not count. A run of a gang counts for all its members.
        done_run: Number of the run that completed the task, 0 before. A
            long-running task has one only if an earlier version of this
            program has recorded it, see `JobRecord.completing_run`.
        saved: Newest saved progress, from which a run can resume, or "".
    """

    last_run: int = 0
    failures: int = 0
    done_run: int = 0
    saved: str = ""


@dataclasses.dataclass(slots=True)
class StepRecord:
    """The state of one step of one occurrence.

    Attributes:
        tasks: Its tasks, by index.
        failed_runs: For a gang: numbers of the runs that have failed.
        undone: Number of its tasks without a `done_run`.
    """

    tasks: list[TaskRecord]
    failed_runs: list[int] = dataclasses.field(default_factory=list)
    undone: int = 0


@dataclasses.dataclass(slots=True)
class JobRecord:
    """The state of one job.

    Attributes:
        job: The job as it was submitted.
        submitted_ms: Time of its acceptance, ms since 1970.
        state: Its state as callers see it.
        ended_ms: Time of its end, ms since 1970; 0 before.
        begun: Whether a worker has listed a run of it as running or ended.
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
        """Whether the job has not ended, so that tasks may be started."""
        return self.state in ACTIVE_STATES

    @property
    def done(self) -> bool:
        """Whether a run of each task of the job was recorded as done."""
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
        """Returns the record of a task's step, or None if there is none."""
        if not 0 <= task.occurrence < len(self.steps):
            return None
        occurrence = self.steps[task.occurrence]
        exists = 0 <= task.step < len(occurrence)
        return occurrence[task.step] if exists else None

    def completing_run(self, task: model.TaskId) -> int:
        """Returns the number of the run that completed a task, 0 before.

        Always 0 for a long-running task, which needs a further run until its
        job is cancelled.
        """
        record = self.task(task)
        if record is None or self.job.steps[task.step].long_running:
            return 0
        return record.done_run

    def undone_tasks(self, key: model.StepKey) -> abc.Iterator[model.TaskId]:
        """Yields the tasks of a step that need a further run, or run."""
        _, occurrence, number = key
        lasts = self.job.steps[number].long_running
        for index, task in enumerate(self.steps[occurrence][number].tasks):
            if lasts or not task.done_run:
                yield model.TaskId(*key, index)

    def is_step_open(self, occurrence: int, step: int) -> bool:
        """Returns whether any task of a step is not done."""
        lasts = self.job.steps[step].long_running
        return lasts or self.steps[occurrence][step].undone > 0

    def has_done_tasks(self, key: model.StepKey) -> bool:
        """Returns whether any task of the given step is done."""
        _, occurrence, number = key
        if self.job.steps[number].long_running:
            return False
        step = self.steps[occurrence][number]
        return step.undone < len(step.tasks)

    def ready(self, occurrence: int, step: int) -> bool:
        """Returns whether all steps that a step depends on are done.

        A step that depends on a long-running one is ready only if an earlier
        version of this program has recorded the tasks of that one as done.
        """
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
    """A live run: one that was placed and may be running.

    Attributes:
        run: Id of the run.
        worker_id: The worker on which it was placed.
        placed_ms: Time of its placement, ms since 1970.
        seen: Whether its worker has listed it as running.
        is_stray: Whether it was ordered from an earlier incarnation of its
            worker. The present incarnation may still carry out that order,
            so the run is stopped before it counts as ended.
    """

    run: model.RunId
    worker_id: str
    placed_ms: int
    seen: bool = False
    is_stray: bool = False


def new_job(job: model.Job, at_ms: int) -> JobRecord:
    """Returns the initial record of a job that is accepted at `at_ms`."""
    return JobRecord(
        job, at_ms, steps=[_new_steps(job) for _ in range(job.occurrences)]
    )


def _new_steps(job: model.Job) -> list[StepRecord]:
    return [
        StepRecord([TaskRecord() for _ in range(step.tasks)], undone=step.tasks)
        for step in job.steps
    ]


def failed_attempts(record: JobRecord, task: model.TaskId) -> int:
    """Returns how many runs of a task, or of its gang, have failed."""
    step = record.step(task)
    if step is None:
        return 0
    if record.job.steps[task.step].gang:
        return max(member.failures for member in step.tasks)
    return step.tasks[task.index].failures


def siblings(job: model.Job, task: model.TaskId) -> abc.Iterator[model.TaskId]:
    """Yields the ids of all tasks of a task's step, including the task."""
    for index in range(job.steps[task.step].tasks):
        yield model.TaskId(task.job_id, task.occurrence, task.step, index)


def step_keys(job: model.Job) -> abc.Iterator[model.StepKey]:
    """Yields the keys of all steps of all occurrences of a job."""
    for occurrence in range(job.occurrences):
        for number in range(len(job.steps)):
            yield (job.job_id, occurrence, number)
