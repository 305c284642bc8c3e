"""Judges jobs that stand still though there is room for them.

A job stands still while none of its tasks runs on a worker that is up, the
turn of one of its tasks has come, and the free room for this task, or for its
whole gang, is enough for two of it. Racks and speeds of workers do not matter.
A promise is broken once a job has stood still for `LONGEST_STAND_S` that were
calm, with `CALM_S` of calm before them.

Each task of a long-running step, or its gang, is judged by itself, whether
others of its job run or not, from `REST_S` after its last run.
"""

import dataclasses
import enum
import math
import statistics
from collections import abc

from laburnumsill.batch import model
from laburnumsill.emulator import oracle as oracles

LONGEST_STAND_S = 3.0
"""Time for which a job may stand still, in seconds."""

CALM_S = 4.0
"""Time without disturbances before a stand that counts, in seconds."""

REST_S = 6.0
"""Time after the end of its last run for which a long-running task may rest, in
seconds."""

LONGEST_GAP_S = 0.6
"""Maximum time between two moments, in seconds. The soak's own loop is late
beyond it, and a lack of progress is then no evidence against the daemons."""

ROOM_FACTOR = 2
"""Number of copies of a unit for which there has to be room."""


@dataclasses.dataclass(frozen=True, slots=True)
class WorkerState:
    """A worker at some moment.

    Attributes:
        worker: The incarnation.
        running: What each task that runs on it uses.
        is_up: Whether the incarnation executes tasks.
        is_ready: Whether it accepts runs: it is not draining.
        is_evacuated: Whether its failure domain is being evacuated.
    """

    worker: model.Worker
    running: abc.Mapping[model.TaskId, model.Resources]
    is_up: bool = True
    is_ready: bool = True
    is_evacuated: bool = False

    @property
    def used(self) -> model.Resources:
        """Resources that the running tasks use."""
        return sum(self.running.values(), model.Resources())

    @property
    def accepts_runs(self) -> bool:
        """Whether its free room counts."""
        return self.is_up and self.is_ready and not self.is_evacuated

    @property
    def condition(self) -> tuple[model.Worker, bool, bool]:
        """What a change of the worker changes."""
        return (self.worker, self.is_up, self.is_ready)

    def copies(self, unit: "Unit") -> int:
        """Returns how many tasks of a unit fit into its free room."""
        step = unit.step
        label = step.required_label
        if not self.accepts_runs or (label and label not in self.worker.labels):
            return 0
        copies = step.needs.copies_in(self.worker.capacity - self.used)
        return min(copies, step.max_per_worker or copies)


@dataclasses.dataclass(frozen=True, slots=True)
class JobState:
    """An accepted job that nobody has cancelled and that has not ended.

    Attributes:
        path: The path of the job.
        truth: Its history on the workers.
        runs: Number of runs that have begun, by task.
        pools: The pools that its queue may have.
    """

    path: str
    truth: oracles.GroundTruth
    runs: abc.Mapping[model.TaskId, int]
    pools: abc.Set[str]

    @property
    def may_have_failed(self) -> bool:
        """Whether a task has no attempt left, so that nothing may start."""
        allowed = self.truth.job.terms.max_attempts
        return any(
            count >= allowed and not self.truth.lasts(task)
            for task, count in self.truth.failures.items()
        )

    @property
    def run_count(self) -> int:
        """Number of runs of the whole job."""
        return sum(
            self.runs.get(task, 0)
            for number in range(len(self.truth.job.steps))
            for task in self._tasks(number)
        )

    def units(self, at: float) -> abc.Iterator["Unit"]:
        """Yields the units whose turn has come.

        There is one of each step, and of a long-running step one for each task
        or gang that neither runs nor rests at a time.
        """
        done = self.truth.done
        for number, step in enumerate(self.truth.job.steps):
            undone = [task for task in self._tasks(number) if task not in done]
            if undone and all(
                done.issuperset(self._tasks(before))
                for before in step.depends_on
            ):
                if step.long_running:
                    yield from self._rested_units(number, at)
                    continue
                runs = [self.runs.get(task, 0) for task in undone]
                yield Unit(self.path, number, step, runs)

    def _rested_units(self, number: int, at: float) -> abc.Iterator["Unit"]:
        """Yields the units of a long-running step that may not rest longer."""
        step = self.truth.job.steps[number]
        tasks = self._tasks(number)
        running = {run.task for run in self.truth.running}
        for unit in [tasks] if step.gang else [[task] for task in tasks]:
            ends = [
                self.truth.ended_at[task]
                for task in unit
                if task in self.truth.ended_at
            ]
            rests = at < max(ends, default=-math.inf) + REST_S
            if not rests and not running.issuperset(unit):
                runs = [self.runs.get(task, 0) for task in unit]
                yield Unit(self.path, number, step, runs, unit[0].index)

    def _tasks(self, number: int) -> list[model.TaskId]:
        job = self.truth.job
        return [
            model.TaskId(job.job_id, 0, number, index)
            for index in range(job.steps[number].tasks)
        ]


@dataclasses.dataclass(frozen=True, slots=True)
class Unit:
    """What is placed as a whole: any task of a step that is left, or a gang.

    Attributes:
        path: The path of the job.
        number: The number of the step.
        step: The step.
        runs: Number of runs of each task of the step that is not done; of a
            long-running step, of each task of the unit.
        index: The first task of a unit of a long-running step.
    """

    path: str
    number: int
    step: model.Step
    runs: abc.Sequence[int]
    index: int = 0

    @property
    def key(self) -> "_Key":
        """Identifies the job, the step, and a task that is judged by itself."""
        return (self.path, self.number, self.index)

    @property
    def size(self) -> int:
        """Number of tasks that have to be placed together."""
        return self.step.tasks if self.step.gang else 1

    def __str__(self) -> str:
        needs = self.step.needs
        return (
            f"step={self.number} tasks={self.size}"
            f" gang={'yes' if self.step.gang else 'no'}"
            f" needs={needs.cpu_millis}m,{needs.memory_mb}MB"
            f",{needs.accelerators} runs={','.join(map(str, self.runs))}"
        )


_Key = tuple[str, int, int]
"""The path of a job, the number of a step, and the first task of a unit."""


@dataclasses.dataclass(frozen=True, slots=True)
class Moment:
    """What is seen of a site at some time.

    Attributes:
        at: The time.
        workers: All workers.
        jobs: All jobs that are owed.
        disturbed_at: Time of the last disturbance, see
            `records.Disturbances`.
        failing_at: Time at which a task that always fails last ran. It excuses
            no stand, but a line tells it.
    """

    at: float
    workers: abc.Sequence[WorkerState]
    jobs: abc.Sequence[JobState]
    disturbed_at: float
    failing_at: float = -math.inf

    def room(self, unit: Unit, pools: abc.Set[str]) -> int:
        """Returns for how many tasks of a unit each of some pools has room."""
        return min(
            (
                sum(one.copies(unit) for one in self._up_workers(pool))
                for pool in pools
            ),
            default=0,
        )

    @property
    def share_in_use(self) -> float:
        """Share of the accelerators of all workers that tasks use."""
        up = [one for one in self.workers if one.is_up]
        used = sum(one.used.accelerators for one in up)
        total = sum(one.worker.capacity.accelerators for one in up)
        return used / max(1, total)

    def is_under_half(self, pools: abc.Set[str]) -> bool:
        """Returns whether less than half of each pool is in use."""
        return all(map(self._pool_is_under_half, pools))

    def _pool_is_under_half(self, pool: str) -> bool:
        workers = self._up_workers(pool)
        nothing = model.Resources()
        used = sum((one.used for one in workers), nothing)
        total = sum((one.worker.capacity for one in workers), nothing)
        return (
            2 * used.cpu_millis < total.cpu_millis
            and 2 * used.memory_mb < total.memory_mb
            and 2 * used.accelerators < total.accelerators
        )

    def _up_workers(self, pool: str) -> list[WorkerState]:
        return [
            one for one in self.workers if one.is_up and one.worker.pool == pool
        ]


class _Finding(enum.IntEnum):
    """What a stand is, the worst last."""

    NOTHING = 0
    LATE_LOOP = 1
    BESIDE_CRASH = 2
    BROKEN = 3


@dataclasses.dataclass(slots=True)
class _Stand:
    """A stand of a unit.

    Attributes:
        since: Time of its beginning.
        run_count: Number of runs of what is judged, the job or the unit.
        finding: The worst finding so far.
        facts: Describes the moment of that finding.
    """

    since: float
    run_count: int
    finding: _Finding = _Finding.NOTHING
    facts: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class _Candidate:
    """A unit that stands at some moment."""

    unit: Unit
    job: JobState
    room: int

    @property
    def run_count(self) -> int:
        """Number of runs of what is judged: of the job, or of the unit."""
        if self.unit.step.long_running:
            return sum(self.unit.runs)
        return self.job.run_count


class Watch:
    """Judges a sequence of moments.

    A crash that a job causes changes the workers, and is thus a disturbance.
    Stands that only such changes excuse are counted beside.

    Args:
        asks_under_half: Whether a stand counts only while under half of the
            pool is in use.

    Attributes:
        broken: One line for each stand that breaks a promise.
        excused_count: Number of stands while the soak's own loop was late.
        beside_crash_count: Number of stands that only a change of workers
            excuses.
        longest_beside_crash_s: The longest of these stands, in seconds.
        judged: The shares of accelerators in use at the moments at which a
            stand would have counted.
    """

    def __init__(self, asks_under_half: bool = False) -> None:
        self.broken: list[str] = []
        self.excused_count = 0
        self.beside_crash_count = 0
        self.longest_beside_crash_s = 0.0
        self.judged: list[float] = []
        self._asks_under_half = asks_under_half
        self._stands: dict[_Key, _Stand] = {}
        self._conditions: set[tuple[model.Worker, bool, bool]] = set()
        self._changed_at = -math.inf
        self._late_at = -math.inf
        self._observed_at = math.inf

    @property
    def line(self) -> str:
        """What was seen besides broken promises."""
        return (
            f"stood-beside-crashes={self.beside_crash_count}"
            f" longest={self.longest_beside_crash_s:.2f}"
            f" stood-while-loop-late={self.excused_count}"
            f" judged-moments={len(self.judged)}"
            f" in-use={statistics.fmean(self.judged or [0.0]):.2f}"
        )

    def standing_since(self, at: float) -> set[str]:
        """Returns the paths of the jobs that have stood still since `at`."""
        return {
            path
            for (path, _, _), stand in self._stands.items()
            if stand.since <= at
        }

    def observe(self, moment: Moment) -> None:
        """Judges a moment; calls come in the order of time."""
        self._note_changes(moment)
        live = {
            task.job_id
            for worker in moment.workers
            if worker.is_up
            for task in worker.running
        }
        moving = {
            job.path for job in moment.jobs if job.truth.job.job_id in live
        }
        candidates = {
            candidate.unit.key: candidate
            for job in moment.jobs
            if not job.may_have_failed
            for candidate in self._candidates(job, moment)
            if candidate.unit.step.long_running or job.path not in moving
        }
        self._update_stands(candidates, moment.at)
        if self._verdict(moment) is _Finding.BROKEN:
            self.judged.append(moment.share_in_use)
        for key, candidate in candidates.items():
            self._judge(self._stands[key], candidate, moment, len(moving))

    def close(self) -> None:
        """Ends all stands; must be called after the last moment."""
        self._update_stands({}, self._observed_at)

    def _note_changes(self, moment: Moment) -> None:
        conditions = {worker.condition for worker in moment.workers}
        if conditions != self._conditions:
            self._changed_at = moment.at
            self._conditions = conditions
        if moment.at - self._observed_at > LONGEST_GAP_S:
            self._late_at = moment.at
        self._observed_at = moment.at

    def _candidates(
        self, job: JobState, moment: Moment
    ) -> abc.Iterator[_Candidate]:
        if self._asks_under_half and not moment.is_under_half(job.pools):
            return
        for unit in job.units(moment.at):
            room = moment.room(unit, job.pools)
            if room >= ROOM_FACTOR * unit.size:
                yield _Candidate(unit, job, room)

    def _update_stands(
        self, candidates: abc.Mapping[_Key, _Candidate], at: float
    ) -> None:
        """Ends the stands that are over and begins new ones."""
        for key, stand in list(self._stands.items()):
            candidate = candidates.get(key)
            if candidate is None or candidate.run_count > stand.run_count:
                self._end(key[0], self._stands.pop(key), at)
        for key, candidate in candidates.items():
            stand = _Stand(at, candidate.run_count)
            self._stands.setdefault(key, stand)

    def _judge(
        self, stand: _Stand, candidate: _Candidate, moment: Moment, moving: int
    ) -> None:
        finding = self._finding(stand, moment)
        if finding <= stand.finding:
            return
        standing = self.standing_since(moment.at - LONGEST_STAND_S)
        others = len(standing - {candidate.unit.path})
        is_under_half = moment.is_under_half(candidate.job.pools)
        stand.finding = finding
        stand.facts = (
            f"{candidate.unit} room={candidate.room} others-stand={others}"
            f" others-move={moving}"
            f" under-half={'yes' if is_under_half else 'no'}"
            f" failing-before-s={moment.at - moment.failing_at:.1f}"
        )

    def _finding(self, stand: _Stand, moment: Moment) -> _Finding:
        if moment.at - stand.since < LONGEST_STAND_S:
            return _Finding.NOTHING
        return self._verdict(moment)

    def _verdict(self, moment: Moment) -> _Finding:
        """Returns what a stand that is long enough is at a moment."""
        calm_from = moment.at - LONGEST_STAND_S - CALM_S
        if moment.disturbed_at > calm_from:
            return _Finding.NOTHING
        if self._late_at > calm_from:
            return _Finding.LATE_LOOP
        if self._changed_at > calm_from:
            return _Finding.BESIDE_CRASH
        return _Finding.BROKEN

    def _end(self, path: str, stand: _Stand, at: float) -> None:
        if stand.finding is _Finding.BROKEN:
            self.broken.append(
                f"{at:.3f} LOST {path} stands still from {stand.since:.2f} to"
                f" {at:.2f}: {stand.facts}"
            )
        elif stand.finding is _Finding.BESIDE_CRASH:
            self.beside_crash_count += 1
            self.longest_beside_crash_s = max(
                self.longest_beside_crash_s, at - stand.since
            )
        elif stand.finding is _Finding.LATE_LOOP:
            self.excused_count += 1
