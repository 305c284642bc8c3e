"""Watches for jobs that stand still although there is room for them.

A unit is one task, or all tasks of a gang. A job stands still while none of its
tasks runs, the turn of a unit has come, and the workers have room for the unit
twice over. The tasks of a long-running step are judged one by one, whether
others of their job run or not.
"""

import collections
import dataclasses
import typing
from collections import abc

from laburnumsill.batch import model
from laburnumsill.emulator import oracle as oracles

MAX_STILL_S = 3.0
"""Time for which a job may stand still."""

CALM_S = 4.0
"""Time after a disturbance or a change before which nothing is judged."""

REST_S = 6.0
"""Time after the end of a run before which a long-running task may rest."""

SAMPLE_INTERVAL_S = 0.25
"""Time between two samples of a site."""

COPIES = 2
"""How many times the free room has to hold a unit."""


@dataclasses.dataclass(frozen=True, slots=True)
class Terms:
    """What is asked of a site.

    Attributes:
        only_under_half: Whether jobs are judged only while less than half of
            each resource of their pool is in use; long-running tasks are
            judged however full it is.
        lost_answers_disturb: Whether the loss of answers to orders is a
            disturbance, during which nothing is judged.
    """

    only_under_half: bool = True
    lost_answers_disturb: bool = True


DEFAULT_TERMS = Terms()


@dataclasses.dataclass(frozen=True, slots=True)
class Conditions:
    """The conditions on a site at a time.

    Attributes:
        now: The time, of the event loop's clock.
        wall_ms: The time in ms since 1970.
        workers: The workers that are up.
        evacuated: The evacuated failure domains.
        disturbed: Whether a disturbance goes on.
        settings: All else whose changes count as a disturbance, such as the
            term of the leader and the configuration.
    """

    now: float
    wall_ms: int
    workers: tuple[model.Worker, ...]
    evacuated: frozenset[str] = frozenset()
    disturbed: bool = False
    settings: abc.Hashable = None


_Key = tuple[str, model.TaskId | None]
"""What stands still: a job, or one of its long-running tasks."""


class _Unit(typing.NamedTuple):
    """A unit whose turn has come.

    Attributes:
        task: The task, the first one of a gang.
        step: Its step.
        undone: Number of tasks of the step that are not done.
        idle_since: Time from which nothing that it is judged by has run.
    """

    task: model.TaskId
    step: model.Step
    undone: int
    idle_since: float

    @property
    def key(self) -> _Key:
        """What stands still if the unit does not run."""
        return (
            self.task.job_id,
            self.task if self.step.long_running else None,
        )

    @property
    def tasks(self) -> int:
        """Number of tasks of the unit."""
        return self.step.tasks if self.step.gang else 1


class _Standing(typing.NamedTuple):
    """A unit that does not run, and how many tasks of its step have room."""

    unit: _Unit
    room: int


@dataclasses.dataclass(slots=True)
class _Span:
    """A time for which a unit stands still.

    Attributes:
        since: Its start, of the event loop's clock.
        line: Index of its line in the violations, or None before it has one.
    """

    since: float
    line: int | None = None


class _Room:
    """The free room of a site at a time.

    Args:
        oracle: Knows the resources in use.
        conditions: The conditions at that time.
    """

    def __init__(self, oracle: oracles.Oracle, conditions: Conditions) -> None:
        self._oracle = oracle
        self._workers = conditions.workers
        self._free = [
            (worker, worker.capacity - oracle.used(worker.worker_id))
            for worker in conditions.workers
            if not (worker.draining or worker.departing)
            and worker.domain not in conditions.evacuated
        ]
        self._copies: dict[
            tuple[str, str, model.Resources], dict[str, int]
        ] = {}
        self._under_half: dict[str, bool] = {}

    def copies(self, unit: _Unit, truth: oracles.GroundTruth) -> int:
        """Returns how many tasks of the unit's step have room.

        Each of the `COPIES` of the unit may use a worker up to the step's
        `max_per_worker`.
        """
        step = unit.step
        copies = self._copies_by_worker(self._oracle.pool_of(truth.job), step)
        if not step.max_per_worker:
            return sum(copies.values())
        beside = collections.Counter(
            worker_id
            for run, worker_id in truth.running.items()
            if run.task.step_key == unit.task.step_key
        )
        return sum(
            min(
                count,
                COPIES * max(0, step.max_per_worker - beside[worker_id]),
            )
            for worker_id, count in copies.items()
        )

    def _copies_by_worker(
        self, pool: str, step: model.Step
    ) -> abc.Mapping[str, int]:
        key = (pool, step.required_label, step.needs)
        if key not in self._copies:
            label = step.required_label
            self._copies[key] = {
                worker.worker_id: copies
                for worker, free in self._free
                if worker.pool == pool
                and (not label or label in worker.labels)
                and (copies := step.needs.copies_in(free))
            }
        return self._copies[key]

    def is_under_half(self, pool: str) -> bool:
        """Returns whether less than half of each resource is in use."""
        if pool not in self._under_half:
            used = capacity = model.Resources()
            for worker in self._workers:
                if worker.pool == pool:
                    used += self._oracle.used(worker.worker_id)
                    capacity += worker.capacity
            self._under_half[pool] = all(
                2 * amount < whole or not whole
                for amount, whole in (
                    (used.cpu_millis, capacity.cpu_millis),
                    (used.memory_mb, capacity.memory_mb),
                    (used.accelerators, capacity.accelerators),
                )
            )
        return self._under_half[pool]


class StandingWatch:
    """Reports jobs that stand still to an oracle.

    A job is reported as one line `STILL`, which is extended for as long as the
    job stands still.

    Args:
        oracle: Knows the actual history of the jobs, and takes the lines.
        has_ended: Returns whether a job is shown in a final state.
        terms: What is asked of the site.
    """

    def __init__(
        self,
        oracle: oracles.Oracle,
        has_ended: abc.Callable[[str], bool],
        terms: Terms,
    ) -> None:
        self._oracle = oracle
        self._has_ended = has_ended
        self._terms = terms
        self._ended: set[str] = set()
        self._spans: dict[_Key, _Span] = {}
        self._last_setting: abc.Hashable = None
        self._calm_since = 0.0

    def sample(self, conditions: Conditions) -> None:
        """Judges all jobs under the conditions at a time."""
        if not self._is_calm(conditions):
            self._spans = {}
            return
        now = conditions.now
        room = _Room(self._oracle, conditions)
        standing = self._standing(conditions, room)
        before, self._spans = self._spans, {}
        for key, (unit, _) in standing.items():
            span = before.get(key)
            if span is None or span.since < unit.idle_since:
                span = _Span(now)
            self._spans[key] = span
        for key, found in standing.items():
            span = self._spans[key]
            if now - span.since >= MAX_STILL_S:
                self._report(span, now, self._describe(found, span, now, room))

    def _is_calm(self, conditions: Conditions) -> bool:
        """Returns whether nothing was disturbed or changed for `CALM_S`."""
        setting = (
            conditions.workers,
            conditions.evacuated,
            conditions.settings,
        )
        if conditions.disturbed or setting != self._last_setting:
            self._calm_since = conditions.now
            self._last_setting = setting
        return conditions.now - self._calm_since >= CALM_S

    def _standing(
        self, conditions: Conditions, room: _Room
    ) -> dict[_Key, _Standing]:
        """Returns what stands still at a time."""
        standing: dict[_Key, _Standing] = {}
        for job_id, truth in self._oracle.jobs.items():
            pool = self._oracle.pool_of(truth.job)
            spares_jobs = self._terms.only_under_half
            for unit in self._idle_units(truth, conditions):
                if unit.key in standing:
                    continue
                is_spared = spares_jobs and not unit.step.long_running
                if is_spared and not room.is_under_half(pool):
                    continue
                copies = room.copies(unit, truth)
                if copies < COPIES * unit.tasks:
                    continue
                if self._has_ended(job_id):
                    self._ended.add(job_id)
                    break
                standing[unit.key] = _Standing(unit, copies)
        return standing

    def _idle_units(
        self, truth: oracles.GroundTruth, conditions: Conditions
    ) -> abc.Iterator[_Unit]:
        """Yields the units of a job whose turn has come and that do not run.

        Of tasks that are not judged one by one, there is one for each step.
        """
        job = truth.job
        accepted_at = truth.accepted_at
        if (
            accepted_at is None
            or truth.cancelled_at is not None
            or job.job_id in self._ended
        ):
            return
        for key in _open_steps(truth, conditions.wall_ms):
            step = job.steps[key[2]]
            undone = step.tasks - truth.done_counts[key]
            if step.long_running:
                yield from _rested_units(truth, key, conditions.now)
            elif not truth.running:
                task = next(_undone_tasks(truth, key))
                last_end = truth.last_end
                idle_since = accepted_at if last_end is None else last_end
                yield _Unit(task, step, undone, idle_since)

    def _report(self, span: _Span, now: float, text: str) -> None:
        line = f"{now:.3f} STILL {text}"
        if span.line is None:
            span.line = len(self._oracle.broken)
            self._oracle.broken.append(line)
        else:
            self._oracle.broken[span.line] = line

    def _describe(
        self, found: _Standing, span: _Span, now: float, room: _Room
    ) -> str:
        task, step, undone, _ = found.unit
        truth = self._oracle.jobs[task.job_id]
        pool = self._oracle.pool_of(truth.job)
        others = [
            other
            for job_id, other in self._oracle.jobs.items()
            if job_id != task.job_id
            and other.job.account == truth.job.account
            and self._oracle.pool_of(other.job) == pool
        ]
        still = {job_id for job_id, _ in self._spans}
        standing = sum(other.job.job_id in still for other in others)
        moving = sum(bool(other.running) for other in others)
        needs = step.needs
        return (
            f"job {task.job_id} step {task.occurrence}.{task.step}"
            f" from {span.since:.2f} to {now:.2f}:"
            f" task={task.index} runs={truth.starts[task]}"
            f" tasks={step.tasks} undone={undone} gang={step.gang}"
            f" long_running={step.long_running}"
            f" needs={needs.cpu_millis}m,{needs.memory_mb}MB,"
            f"{needs.accelerators}acc"
            f" pool={pool} room={found.room}"
            f" under_half={room.is_under_half(pool)}"
            f" others_still={standing} others_moving={moving}"
        )


def _open_steps(
    truth: oracles.GroundTruth, wall_ms: int
) -> abc.Iterator[model.StepKey]:
    """Yields the steps whose turn has come and that are not done."""
    job = truth.job
    counts = truth.done_counts
    for occurrence in range(job.occurrences):
        if job.due_ms(occurrence) > wall_ms:
            return
        for number, step in enumerate(job.steps):
            key = (job.job_id, occurrence, number)
            if counts[key] < step.tasks and all(
                counts[(job.job_id, occurrence, before)]
                >= job.steps[before].tasks
                for before in step.depends_on
            ):
                yield key


def _undone_tasks(
    truth: oracles.GroundTruth, key: model.StepKey
) -> abc.Iterator[model.TaskId]:
    """Yields the tasks of a step that are not done."""
    for index in range(truth.job.steps[key[2]].tasks):
        task = model.TaskId(*key, index)
        if task not in truth.done:
            yield task


def _rested_units(
    truth: oracles.GroundTruth, key: model.StepKey, now: float
) -> abc.Iterator[_Unit]:
    """Yields the units of a long-running step that may not rest any longer."""
    step = truth.job.steps[key[2]]
    running = {run.task for run in truth.running}
    undone = list(_undone_tasks(truth, key))
    units = [undone] if step.gang else [[task] for task in undone]
    for tasks in units:
        if running.issuperset(tasks):
            continue
        ends = [
            truth.ended_at[task] for task in tasks if task in truth.ended_at
        ]
        last_end = max(ends, default=-REST_S)
        if now - last_end >= REST_S:
            yield _Unit(tasks[0], step, len(undone), last_end)
