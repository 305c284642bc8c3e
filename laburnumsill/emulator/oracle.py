"""What must always hold, judged by what the workers see."""

import collections
import dataclasses

import msgspec

from laburnumsill.batch import model

CANCEL_S = 3.0
"""Nothing of a job starts later than this after its cancellation."""

SHRUNK_AFTER_S = 4.5
"""A capacity that has shrunk counts so much later, in seconds: what the
users' sites allow for word of it, and the time between two heartbeats."""

CRASHES_BORNE = 3
"""After so many crashes under it a task is a crashing one."""

STARTS_BORNE = 2
"""A crashing task is started at most so many times more."""


@dataclasses.dataclass(slots=True)
class Truth:
    """What the emulation knows of one job.

    Attributes:
        job: As it was submitted.
        cancelled_at: When its cancellation was acknowledged, or None.
        begun: Whether any of its tasks was ever started.
        done: Tasks that have ended well.
        noted_done: Tasks whose good end was noted.
        failures: Noted failures by task.
        crashes: How many workers have crashed while they ran a task.
        starts_beyond: Starts of a task after `CRASHES_BORNE` crashes.
    """

    job: model.Job
    cancelled_at: float | None = None
    begun: bool = False
    done: set[model.TaskId] = dataclasses.field(default_factory=set)
    noted_done: set[model.TaskId] = dataclasses.field(default_factory=set)
    failures: dict[model.TaskId, int] = dataclasses.field(default_factory=dict)
    crashes: collections.Counter[model.TaskId] = dataclasses.field(
        default_factory=collections.Counter
    )
    starts_beyond: collections.Counter[model.TaskId] = dataclasses.field(
        default_factory=collections.Counter
    )


class Oracle:
    """Collects broken rules.

    Attributes:
        broken: One line for each.
        jobs: What is known of the jobs by id.
    """

    def __init__(self) -> None:
        self.broken: list[str] = []
        self.jobs: dict[str, Truth] = {}
        self._live: dict[model.TaskId, dict[model.RunId, str]] = {}
        self._used: dict[str, model.Resources] = {}
        self._shrunk: dict[str, list[tuple[float, model.Resources]]] = {}

    def submitted(self, job: model.Job) -> None:
        """Notes that a job was sent."""
        self.jobs.setdefault(job.job_id, Truth(job))

    def started(
        self, run: model.RunId, worker: model.Worker, now: float, late: bool
    ) -> None:
        """Judges a run that begins on a worker.

        Args:
            run: Which run.
            worker: Where.
            now: The loop's time.
            late: Whether the order was carried out late; rules with a time
                bound do not hold for it.
        """
        truth = self.jobs.get(run.task.job_id)
        if truth is None:
            self._break(now, f"UNASKED {run}")
            return
        truth.begun = True
        others = self._live.setdefault(run.task, {})
        if others:
            self._break(now, f"TWICE {run} on {worker.worker_id}: {others}")
        if run.task in truth.noted_done:
            self._break(now, f"TWICE {run}: its task is done")
        step = truth.job.steps[run.task.step]
        for number in step.depends_on:
            for index in range(truth.job.steps[number].tasks):
                before = msgspec.structs.replace(
                    run.task, step=number, index=index
                )
                if before not in truth.done:
                    self._break(now, f"ORDER {run} before {before}")
        at = truth.cancelled_at
        if at is not None and now > at + CANCEL_S and not late:
            self._break(now, f"UNASKED {run}, cancelled at {at:.2f}")
        spent = truth.failures.get(run.task, 0)
        if spent >= truth.job.terms.max_attempts:
            self._break(now, f"BUDGET {run} after {spent} failures")
        if truth.crashes[run.task] >= CRASHES_BORNE and not late:
            truth.starts_beyond[run.task] += 1
            if truth.starts_beyond[run.task] > STARTS_BORNE:
                count = truth.crashes[run.task]
                self._break(now, f"BUDGET {run} after {count} crashes")
        used = self._used.get(worker.worker_id, model.Resources()) + step.needs
        self._used[worker.worker_id] = used
        if not used.fits_in(self._room_of(worker, now)):
            self._break(now, f"LIMIT {run} on {worker.worker_id}: {used}")
        others[run] = worker.worker_id

    def resized(self, worker: model.Worker, now: float) -> None:
        """Notes that a worker's capacity is about to change from this."""
        until = (now + SHRUNK_AFTER_S, worker.capacity)
        self._shrunk.setdefault(worker.worker_id, []).append(until)

    def _room_of(self, worker: model.Worker, now: float) -> model.Resources:
        """Returns the most that a worker may hold now."""
        held = self._shrunk.get(worker.worker_id, [])
        rooms = [room for until, room in held if now <= until]
        rooms.append(worker.capacity)
        return model.Resources(
            max(room.cpu_millis for room in rooms),
            max(room.memory_mb for room in rooms),
            max(room.accelerators for room in rooms),
        )

    def ended(self, run: model.RunId, worker_id: str, done: bool) -> None:
        """Notes that a run occupies its worker no more."""
        if done:
            self.jobs[run.task.job_id].done.add(run.task)
        self._leave(run, worker_id)

    def crashed(self, run: model.RunId, worker_id: str) -> None:
        """Notes that a worker has crashed while a run was there."""
        self.jobs[run.task.job_id].crashes[run.task] += 1
        self._leave(run, worker_id)

    def _leave(self, run: model.RunId, worker_id: str) -> None:
        if self._live.get(run.task, {}).pop(run, None) is None:
            return
        truth = self.jobs[run.task.job_id]
        needs = truth.job.steps[run.task.step].needs
        self._used[worker_id] = self._used[worker_id] - needs

    def noted(
        self, run: model.RunId, kind: str, gang: bool, lapsed: bool = False
    ) -> None:
        """Notes that an end was acknowledged to its worker.

        Args:
            run: Which run had ended.
            kind: How.
            gang: Whether the end stands for all of its gang.
            lapsed: Whether the worker's lease has run out since the end. A
                leader may take the run for lost then and start its task again,
                also while the end is being read at last.
        """
        truth = self.jobs[run.task.job_id]
        if lapsed and kind == "done":
            return
        if kind == "done" and gang:
            step = truth.job.steps[run.task.step]
            for index in range(step.tasks):
                truth.noted_done.add(
                    msgspec.structs.replace(run.task, index=index)
                )
        elif kind == "done":
            truth.noted_done.add(run.task)
        elif kind == "failed":
            count = truth.failures.get(run.task, 0)
            truth.failures[run.task] = count + 1

    def shown(self, job_id: str, state: str, now: float) -> None:
        """Judges a state that was shown of a job."""
        truth = self.jobs.get(job_id)
        if truth is None:
            self._break(now, f"MIXED {job_id} was never sent")
        elif state == "completed":
            wanted = sum(s.tasks for s in truth.job.steps)
            if len(truth.done) < wanted * truth.job.occurrences:
                self._break(now, f"MIXED {job_id} is not completed")

    def _break(self, now: float, text: str) -> None:
        self.broken.append(f"{now:.3f} {text}")
