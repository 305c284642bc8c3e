"""Which tasks crash the workers that start them.

A worker that crashes lists no ends, so what ended it can only be told from
what it ran, crash after crash. The load that this is for: one task crashes
each worker that starts it, while workers crash by themselves now and then and
most run tasks of many jobs.

All tasks of a crashed worker are blamed, one that was alone there more than
one that was not. A task that is blamed enough is a suspect: it is run apart
from others, and of a step one suspect at a time, so that few workers are lost
to it and few others are blamed beside it. A suspect that is blamed further
is condemned, and its job fails.
"""

import dataclasses
from collections import abc

from laburnumsill.batch import model

BLAME_ALONE = 2
"""For a crash of a worker that ran nothing else."""

BLAME_BESIDE_OTHERS = 1

SUSPECT_FROM = 2
"""Blame from which a task is run apart from others."""

CONDEMNED_FROM = 5
"""Blame from which a task is given up: three crashes while it was alone, at
most five in all."""

MANY_CRASHES = 3
"""After so many crashes of any kind a task is started few times more."""

STARTS_AFTER_MANY = 2
"""So many times: another member of its gang may crash first each time, and
then its own blame does not grow."""

MAX_LOSSES = 1_000
"""Lost workers that are remembered until it is known whether they crashed."""


@dataclasses.dataclass(frozen=True, slots=True)
class Blame:
    """How much a task is blamed.

    Attributes:
        points: In all.
        at_ms: When it was blamed last, ms since 1970.
        crashes: How many workers have crashed while it ran there.
        later_starts: How often it was placed after `MANY_CRASHES` of them.
    """

    points: int = 0
    at_ms: int = 0
    crashes: int = 0
    later_starts: int = 0


UNBLAMED = Blame()


@dataclasses.dataclass(slots=True)
class Loss:
    """Runs that were given up on a worker which could not be reached.

    Attributes:
        address: Of the worker.
        points: The blame for each of the runs, should it have crashed.
        runs: The runs.
    """

    address: str
    points: int
    runs: list[model.RunId]


@dataclasses.dataclass(slots=True)
class Records:
    """What a `CrashBook` holds, for snapshots.

    Attributes:
        blame: By the names of tasks.
        losses: By the ids of workers.
    """

    blame: dict[str, Blame] = dataclasses.field(default_factory=dict)
    losses: dict[str, Loss] = dataclasses.field(default_factory=dict)


class CrashBook:
    """Blames tasks for crashes.

    Examples:
        >>> book = CrashBook()
        >>> run = model.RunId(model.TaskId("j", 0, 0, 0), 1)
        >>> for _ in range(3):
        ...     book.crash([run], 1000)
        >>> book.blame_of(run.task).points, book.is_condemned(run.task)
        (6, True)
        >>> other = model.RunId(model.TaskId("k", 0, 0, 0), 1)
        >>> book.crash([run, other], 2000)
        >>> sorted(task.job_id for task in book.suspects)
        ['j']
    """

    def __init__(self, records: Records | None = None) -> None:
        known = records or Records()
        self._losses = dict(known.losses)
        self._blame = {
            model.TaskId.parse(name): blame
            for name, blame in known.blame.items()
        }
        self._suspects: set[model.TaskId] = set()
        self._find_suspects()

    @property
    def records(self) -> Records:
        """All of it."""
        blame = {str(task): blame for task, blame in self._blame.items()}
        return Records(blame, dict(self._losses))

    @property
    def suspects(self) -> abc.Set[model.TaskId]:
        """The tasks that are to run apart from others."""
        return self._suspects

    def blame_of(self, task: model.TaskId) -> Blame:
        """Returns how much a task is blamed."""
        return self._blame.get(task, UNBLAMED)

    def is_condemned(self, task: model.TaskId) -> bool:
        """Returns whether a task is to be given up."""
        return self.blame_of(task).points >= CONDEMNED_FROM

    def may_start(self, task: model.TaskId) -> bool:
        """Returns whether a task may be started once more."""
        return self.blame_of(task).later_starts < STARTS_AFTER_MANY

    def start(self, task: model.TaskId) -> None:
        """Notes that a task is placed."""
        blame = self._blame.get(task)
        if blame is not None and blame.crashes >= MANY_CRASHES:
            self._blame[task] = dataclasses.replace(
                blame, later_starts=blame.later_starts + 1
            )

    def crash(self, runs: abc.Collection[model.RunId], at_ms: int) -> None:
        """Notes that a worker has crashed which ran just these."""
        self._add(runs, _points_for(runs), at_ms)

    def lose(
        self, worker: model.Worker, runs: abc.Collection[model.RunId]
    ) -> None:
        """Notes that runs were given up on a worker that may have crashed.

        Args:
            worker: The worker.
            runs: All that it ran.
        """
        if not runs:
            return
        loss = Loss(worker.address, _points_for(runs), list(runs))
        self._losses[worker.worker_id] = loss
        if len(self._losses) > MAX_LOSSES:
            del self._losses[next(iter(self._losses))]

    def explain(self, worker_id: str, run: model.RunId) -> None:
        """Notes that a worker has told how a run ended: it did not crash."""
        loss = self._losses.get(worker_id)
        if loss is not None and run in loss.runs:
            loss.runs.remove(run)
            if not loss.runs:
                del self._losses[worker_id]

    def settle(
        self, worker_id: str, crashed: bool, at_ms: int
    ) -> list[model.RunId]:
        """Notes that a worker has ended; returns the runs that are blamed."""
        loss = self._losses.pop(worker_id, None)
        if loss is None or not crashed:
            return []
        self._add(loss.runs, loss.points, at_ms)
        return loss.runs

    def lost_at(self, address: str, successor: str) -> list[str]:
        """Returns the lost workers at an address that another has now."""
        if not self._losses:
            return []
        return [
            worker_id
            for worker_id, loss in self._losses.items()
            if loss.address == address and worker_id != successor
        ]

    def keep_jobs(self, jobs: abc.Container[str]) -> None:
        """Forgets the tasks of all other jobs."""
        for task in [one for one in self._blame if one.job_id not in jobs]:
            del self._blame[task]
        self._find_suspects()
        for worker_id, loss in list(self._losses.items()):
            loss.runs = [run for run in loss.runs if run.task.job_id in jobs]
            if not loss.runs:
                del self._losses[worker_id]

    def _add(
        self, runs: abc.Iterable[model.RunId], points: int, at_ms: int
    ) -> None:
        for run in runs:
            before = self.blame_of(run.task)
            self._blame[run.task] = Blame(
                before.points + points,
                at_ms,
                before.crashes + 1,
                before.later_starts,
            )
        self._find_suspects()

    def _find_suspects(self) -> None:
        self._suspects = {
            task
            for task, blame in self._blame.items()
            if blame.points >= SUSPECT_FROM
        }


def _points_for(runs: abc.Collection[model.RunId]) -> int:
    return BLAME_ALONE if len(runs) == 1 else BLAME_BESIDE_OTHERS
