"""Detection of tasks that crash their workers.

A crashed worker reports no ends of runs, so the task that crashed it has to be
inferred from the runs that several crashed workers had in common. The case
to handle is a task that crashes every worker that starts it, while workers
also crash occasionally for other reasons and most of them run tasks of many
jobs.

A crash blames every task that ran on the worker, and a task that ran alone
there is blamed more. A task with enough blame is a suspect: it is isolated
from other tasks, and only one suspect of a step runs at a time, which limits
both the workers that it can crash and the tasks that are blamed with it. The
suspects of a long-running step wait for each other for a short time only. A
task whose blame reaches the limit fails its job.

A start order without a clear answer leaves open whether its run began on the
worker. No later message settles it: the next incarnation of the worker can only
show that the run does not run there. The run may have crashed the worker before
it could answer, so it is blamed like any other, but a higher limit applies.
"""

import dataclasses
from collections import abc

from laburnumsill.batch import model

BLAME_ALONE = 2
"""Points for the crash of a worker that ran no other task."""

BLAME_BESIDE_OTHERS = 1
"""Points for the crash of a worker that also ran other tasks."""

SUSPECT_BLAME = 2
"""Points from which a task is a suspect and is isolated from others."""

BLAME_LIMIT = 5
"""Points at which the job of a task fails: after three crashes if the task ran
alone, after at most five otherwise. Only points for runs that are known to
have begun count."""

UNCONFIRMED_BLAME_LIMIT = BLAME_LIMIT + BLAME_ALONE
"""Points for all runs at which the job of a task fails: a task that ran alone
has one crash more, so that a single run that never began fails no job."""

CRASHES_BEFORE_START_LIMIT = 3
"""Number of crashes, alone or not, after which the further starts of a task
are limited to `MAX_LATER_STARTS`."""

MAX_LATER_STARTS = 2
"""Maximum number of starts of a task after `CRASHES_BEFORE_START_LIMIT`
crashes. `BLAME_LIMIT` does not bound these starts: if another member of the
gang crashes its worker first each time, the blame of the task does not grow."""

MAX_LOSSES = 1_000
"""Maximum number of lost workers that are recorded until it is known whether
they crashed."""


@dataclasses.dataclass(frozen=True, slots=True)
class Blame:
    """The blame of a task for crashes of workers.

    Attributes:
        points: Sum of the points for all crashes.
        at_ms: Time of the last crash, ms since 1970.
        crashes: Number of workers that crashed while they ran the task.
        later_starts: Number of placements of the task after
            `CRASHES_BEFORE_START_LIMIT` crashes.
        unconfirmed: Those of `points` that are for runs which are not known
            to have begun.
        unconfirmed_crashes: Those of `crashes` with such a run of the task.
    """

    points: int = 0
    at_ms: int = 0
    crashes: int = 0
    later_starts: int = 0
    unconfirmed: int = 0
    unconfirmed_crashes: int = 0

    @property
    def confirmed(self) -> int:
        """The points for runs that are known to have begun."""
        return self.points - self.unconfirmed

    @property
    def likely_crashes(self) -> int:
        """The crashes without one during which the task may not have run."""
        return self.crashes - min(1, self.unconfirmed_crashes)


NO_BLAME = Blame()


@dataclasses.dataclass(slots=True)
class Loss:
    """The runs that were lost with an unreachable worker.

    Attributes:
        address: Address of the worker.
        points: Points for the task of each run if the worker has crashed.
        runs: Lost runs whose ends the worker has not reported.
        unconfirmed: Runs that are not known to have begun.
    """

    address: str
    points: int
    runs: list[model.RunId]
    unconfirmed: list[model.RunId] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(slots=True)
class Records:
    """The state of a `CrashTracker`, for snapshots.

    Attributes:
        blame: Blame by task id, written as text.
        losses: Losses by worker id.
    """

    blame: dict[str, Blame] = dataclasses.field(default_factory=dict)
    losses: dict[str, Loss] = dataclasses.field(default_factory=dict)


class CrashTracker:
    """Attributes crashes of workers to tasks.

    Examples:
        >>> tracker = CrashTracker()
        >>> run = model.RunId(model.TaskId("j", 0, 0, 0), 1)
        >>> for _ in range(3):
        ...     tracker.record_crash([run], 1000)
        >>> tracker.blame_of(run.task).points, tracker.is_over_limit(run.task)
        (6, True)
        >>> other = model.RunId(model.TaskId("k", 0, 0, 0), 1)
        >>> tracker.record_crash([run, other], 2000)
        >>> sorted(task.job_id for task in tracker.suspects)
        ['j']
    """

    def __init__(self, records: Records | None = None) -> None:
        initial = records or Records()
        self._losses = dict(initial.losses)
        self._blame = {
            model.TaskId.parse(text): blame
            for text, blame in initial.blame.items()
        }
        self._suspects: set[model.TaskId] = set()
        self._update_suspects()

    @property
    def records(self) -> Records:
        """The state of the tracker, for a snapshot."""
        blame = {str(task): blame for task, blame in self._blame.items()}
        return Records(blame, dict(self._losses))

    @property
    def suspects(self) -> abc.Set[model.TaskId]:
        """The tasks that are to be isolated from others."""
        return self._suspects

    def blame_of(self, task: model.TaskId) -> Blame:
        """Returns the blame of a task."""
        return self._blame.get(task, NO_BLAME)

    def is_over_limit(self, task: model.TaskId) -> bool:
        """Returns whether the blame of a task has reached one of its limits."""
        blame = self.blame_of(task)
        return (
            blame.confirmed >= BLAME_LIMIT
            or blame.points >= UNCONFIRMED_BLAME_LIMIT
        )

    def may_start(self, task: model.TaskId) -> bool:
        """Returns whether a task has not used up its `MAX_LATER_STARTS`."""
        blame = self.blame_of(task)
        return (
            blame.later_starts < MAX_LATER_STARTS
            or blame.likely_crashes < CRASHES_BEFORE_START_LIMIT
        )

    def record_start(self, task: model.TaskId) -> None:
        """Counts a placement of a task, if its starts are limited."""
        blame = self._blame.get(task)
        if blame is not None and blame.crashes >= CRASHES_BEFORE_START_LIMIT:
            self._blame[task] = dataclasses.replace(
                blame, later_starts=blame.later_starts + 1
            )

    def record_crash(
        self,
        runs: abc.Collection[model.RunId],
        at_ms: int,
        unconfirmed: abc.Container[model.RunId] = (),
    ) -> None:
        """Blames the tasks of all runs of a worker that has crashed.

        Args:
            runs: All its runs.
            at_ms: When it crashed, ms since 1970.
            unconfirmed: Runs that are not known to have begun.
        """
        self._add_blame(runs, _points_for(runs), at_ms, unconfirmed)

    def record_loss(
        self,
        worker: model.Worker,
        runs: abc.Collection[model.RunId],
        unconfirmed: abc.Container[model.RunId] = (),
    ) -> None:
        """Records the loss of a worker that may have crashed.

        The oldest loss is discarded if there are more than `MAX_LOSSES`.

        Args:
            worker: The worker.
            runs: All its runs.
            unconfirmed: Runs that are not known to have begun.
        """
        if not runs:
            return
        loss = Loss(
            worker.address,
            _points_for(runs),
            list(runs),
            [run for run in runs if run in unconfirmed],
        )
        self._losses[worker.worker_id] = loss
        if len(self._losses) > MAX_LOSSES:
            del self._losses[next(iter(self._losses))]

    def clear_run(self, worker_id: str, run: model.RunId) -> None:
        """Removes a run from a loss, since its worker has reported its end."""
        loss = self._losses.get(worker_id)
        if loss is not None and run in loss.runs:
            loss.runs.remove(run)
            if not loss.runs:
                del self._losses[worker_id]

    def resolve_loss(
        self, worker_id: str, crashed: bool, at_ms: int
    ) -> list[model.RunId]:
        """Resolves the loss of a worker that is now known to have ended.

        Returns:
            The runs whose tasks were blamed; none if it has not crashed.
        """
        loss = self._losses.pop(worker_id, None)
        if loss is None or not crashed:
            return []
        self._add_blame(loss.runs, loss.points, at_ms, loss.unconfirmed)
        return loss.runs

    def lost_at(self, address: str, successor: str) -> list[str]:
        """Returns the lost workers at the present address of `successor`."""
        if not self._losses:
            return []
        return [
            worker_id
            for worker_id, loss in self._losses.items()
            if loss.address == address and worker_id != successor
        ]

    def keep_jobs(self, jobs: abc.Container[str]) -> None:
        """Removes the tasks and runs of all jobs that are not in `jobs`."""
        for task in [key for key in self._blame if key.job_id not in jobs]:
            del self._blame[task]
        self._update_suspects()
        for worker_id, loss in list(self._losses.items()):
            loss.runs = [run for run in loss.runs if run.task.job_id in jobs]
            if not loss.runs:
                del self._losses[worker_id]

    def _add_blame(
        self,
        runs: abc.Iterable[model.RunId],
        points: int,
        at_ms: int,
        unconfirmed: abc.Container[model.RunId],
    ) -> None:
        for run in runs:
            before = self.blame_of(run.task)
            self._blame[run.task] = Blame(
                before.points + points,
                at_ms,
                before.crashes + 1,
                before.later_starts,
                before.unconfirmed + points * (run in unconfirmed),
                before.unconfirmed_crashes + (run in unconfirmed),
            )
        self._update_suspects()

    def _update_suspects(self) -> None:
        self._suspects = {
            task
            for task, blame in self._blame.items()
            if blame.points >= SUSPECT_BLAME
        }


def _points_for(runs: abc.Collection[model.RunId]) -> int:
    return BLAME_ALONE if len(runs) == 1 else BLAME_BESIDE_OTHERS
