"""Checks the invariants of a site against the events on its workers."""

import collections
import dataclasses

import msgspec

from laburnumsill.batch import model

CANCEL_GRACE_S = 3.0
"""No run of a job may start later than this after its cancellation."""

SHRINK_GRACE_S = 4.5
"""Time until a reduced capacity is enforced: the delay that the users' sites
allow for its announcement, and the interval between two heartbeats."""

EVACUATION_GRACE_S = 5.0
"""No run may start in a failure domain later than this after its evacuation."""

CRASH_LIMIT = 3
"""Worker crashes during its runs after which a task counts as crashing."""

MAX_EXTRA_STARTS = 2
"""Most starts of a task once it counts as crashing."""

NOTHING = model.Resources()


@dataclasses.dataclass(slots=True)
class GroundTruth:
    """The actual history of one job, as its workers executed it.

    Attributes:
        job: The job as submitted.
        cancelled_at: Time of the acknowledgement of its cancellation, or None.
        accepted_at: Time of the acknowledgement of its submission, or None.
        begun: Whether any of its tasks was ever started.
        running: The workers of its live runs.
        starts: Number of runs, by task.
        ended_at: Time of the end of the last run, by task.
        last_end: Time of the last end of any of its runs, or None.
        done: Tasks that have completed; a long-running task never does.
        done_counts: Number of tasks that have completed, by step.
        acknowledged_done: Tasks whose completion the leader acknowledged.
        failures: Acknowledged failures, by task.
        crashes: Worker crashes during runs of a task, by task.
        extra_starts: Starts after `CRASH_LIMIT` crashes, by task.
    """

    job: model.Job
    cancelled_at: float | None = None
    accepted_at: float | None = None
    begun: bool = False
    running: dict[model.RunId, str] = dataclasses.field(default_factory=dict)
    starts: collections.Counter[model.TaskId] = dataclasses.field(
        default_factory=collections.Counter
    )
    ended_at: dict[model.TaskId, float] = dataclasses.field(
        default_factory=dict
    )
    last_end: float | None = None
    done: set[model.TaskId] = dataclasses.field(default_factory=set)
    done_counts: collections.Counter[model.StepKey] = dataclasses.field(
        default_factory=collections.Counter
    )
    acknowledged_done: set[model.TaskId] = dataclasses.field(
        default_factory=set
    )
    failures: dict[model.TaskId, int] = dataclasses.field(default_factory=dict)
    crashes: collections.Counter[model.TaskId] = dataclasses.field(
        default_factory=collections.Counter
    )
    extra_starts: collections.Counter[model.TaskId] = dataclasses.field(
        default_factory=collections.Counter
    )

    def lasts(self, task: model.TaskId) -> bool:
        """Returns whether a task runs until its job is cancelled."""
        return self.job.steps[task.step].long_running


class Oracle:
    """Records the events of a site and collects violated invariants.

    A violation is reported as a line with the time, a word and details:

    - `UNASKED`: a run of a job that was not submitted, or was cancelled;
    - `TWICE`: a run of a task that is running, or done already; a run of a
      long-running task may end as done, which does not make the task done;
    - `ORDER`: a run before a step on which its step depends;
    - `BUDGET`: a run after the last allowed failure or crash; the failures
      of long-running tasks are not limited;
    - `LIMIT`: a run beyond the capacity of its worker;
    - `ROUTE`: a run in a pool to which its queue was never sent;
    - `EVAC`: a run in an evacuated failure domain;
    - `MIXED`: a state was shown that the job does not have;
    - `STILL`: a job stood still beside free room, see `standing`.

    Attributes:
        broken: The violations, one line each.
        jobs: The actual histories of the jobs, by id.
    """

    def __init__(self) -> None:
        self.broken: list[str] = []
        self.jobs: dict[str, GroundTruth] = {}
        self._live: dict[model.TaskId, dict[model.RunId, str]] = {}
        self._used: dict[str, model.Resources] = {}
        self._evacuated_at: dict[str, float] = {}
        self._pools: dict[str, list[str]] = {}
        self._former_capacities: dict[
            str, list[tuple[float, model.Resources]]
        ] = {}

    def submitted(self, job: model.Job) -> None:
        """Records that a job was submitted."""
        self.jobs.setdefault(job.job_id, GroundTruth(job))

    def record_acceptance(self, job_id: str, now: float) -> None:
        """Records that the submission of a job was acknowledged."""
        self.jobs[job_id].accepted_at = now

    def used(self, worker_id: str) -> model.Resources:
        """Returns the resources that runs use on a worker."""
        return self._used.get(worker_id, NOTHING)

    def pool_of(self, job: model.Job) -> str:
        """Returns the pool to which a configuration sent a job's queue last."""
        pools = self._pools.get(job.queue)
        return pools[-1] if pools else job.terms.pool

    def check_start(
        self, run: model.RunId, worker: model.Worker, now: float, late: bool
    ) -> None:
        """Checks a run that starts on a worker.

        Args:
            run: The run.
            worker: The worker.
            now: Time of the event loop's clock.
            late: Whether the order was delayed; invariants with a time bound
                are not checked for it.
        """
        truth = self.jobs.get(run.task.job_id)
        if truth is None:
            self._break(now, f"UNASKED {run}")
            return
        truth.begun = True
        others = self._live.setdefault(run.task, {})
        if others:
            self._break(now, f"TWICE {run} on {worker.worker_id}: {others}")
        if run.task in truth.acknowledged_done:
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
        if at is not None and now > at + CANCEL_GRACE_S and not late:
            self._break(now, f"UNASKED {run}, cancelled at {at:.2f}")
        at = self._evacuated_at.get(worker.domain)
        if at is not None and now > at + EVACUATION_GRACE_S and not late:
            self._break(
                now, f"EVAC {run} in {worker.domain}, evacuated at {at:.2f}"
            )
        spent = truth.failures.get(run.task, 0)
        if spent >= truth.job.terms.max_attempts and not step.long_running:
            self._break(now, f"BUDGET {run} after {spent} failures")
        if truth.crashes[run.task] >= CRASH_LIMIT and not late:
            truth.extra_starts[run.task] += 1
            if truth.extra_starts[run.task] > MAX_EXTRA_STARTS:
                count = truth.crashes[run.task]
                self._break(now, f"BUDGET {run} after {count} crashes")
        pools = self._pools.get(truth.job.queue, ())
        if worker.pool not in {truth.job.terms.pool, *pools}:
            self._break(now, f"ROUTE {run} in {worker.pool}")
        used = self.used(worker.worker_id) + step.needs
        self._used[worker.worker_id] = used
        if not used.fits_in(self._max_capacity(worker, now)):
            self._break(now, f"LIMIT {run} on {worker.worker_id}: {used}")
        others[run] = worker.worker_id
        truth.running[run] = worker.worker_id
        truth.starts[run.task] += 1

    def record_pool(self, queue: str, pool: str) -> None:
        """Records that a configuration sends a queue to a pool."""
        self._pools.setdefault(queue, []).append(pool)

    def record_evacuation(self, domain: str, now: float) -> None:
        """Records that the evacuation of a domain was acknowledged."""
        self._evacuated_at[domain] = now

    def record_restore(self, domain: str) -> None:
        """Records that an order to take a domain back was sent."""
        self._evacuated_at.pop(domain, None)

    def record_resize(self, worker: model.Worker, now: float) -> None:
        """Records a worker's capacity just before it changes.

        Runs may use this capacity for another `SHRINK_GRACE_S`.
        """
        until = (now + SHRINK_GRACE_S, worker.capacity)
        self._former_capacities.setdefault(worker.worker_id, []).append(until)

    def _max_capacity(
        self, worker: model.Worker, now: float
    ) -> model.Resources:
        """Returns the most resources that runs may use on a worker now.

        This is the maximum, per resource, of the current capacity and the
        recent ones.
        """
        former = self._former_capacities.get(worker.worker_id, [])
        allowed = [resources for until, resources in former if now <= until]
        allowed.append(worker.capacity)
        return model.Resources(
            max(resources.cpu_millis for resources in allowed),
            max(resources.memory_mb for resources in allowed),
            max(resources.accelerators for resources in allowed),
        )

    def record_end(
        self, run: model.RunId, worker_id: str, now: float, done: bool
    ) -> None:
        """Records that a run ended and released its resources."""
        truth = self.jobs[run.task.job_id]
        if done and not truth.lasts(run.task) and run.task not in truth.done:
            truth.done.add(run.task)
            truth.done_counts[run.task.step_key] += 1
        self._release(run, worker_id, now)

    def record_crash(
        self, run: model.RunId, worker_id: str, now: float
    ) -> None:
        """Records that a worker crashed during a run."""
        self.jobs[run.task.job_id].crashes[run.task] += 1
        self._release(run, worker_id, now)

    def _release(self, run: model.RunId, worker_id: str, now: float) -> None:
        if self._live.get(run.task, {}).pop(run, None) is None:
            return
        truth = self.jobs[run.task.job_id]
        needs = truth.job.steps[run.task.step].needs
        self._used[worker_id] = self._used[worker_id] - needs
        del truth.running[run]
        truth.ended_at[run.task] = truth.last_end = now

    def record_acknowledged_end(
        self,
        run: model.RunId,
        kind: str,
        gang: bool,
        after_expiry: bool = False,
    ) -> None:
        """Records that the leader acknowledged the end of a run.

        Args:
            run: The run that ended.
            kind: The kind of its end.
            gang: Whether the end applies to all members of its gang.
            after_expiry: Whether the worker's lease has expired since the end.
                A leader may then consider the run lost and restart its task,
                even while the end is being delivered.
        """
        truth = self.jobs[run.task.job_id]
        if kind == "done" and (after_expiry or truth.lasts(run.task)):
            return
        if kind == "done" and gang:
            step = truth.job.steps[run.task.step]
            for index in range(step.tasks):
                truth.acknowledged_done.add(
                    msgspec.structs.replace(run.task, index=index)
                )
        elif kind == "done":
            truth.acknowledged_done.add(run.task)
        elif kind == "failed":
            count = truth.failures.get(run.task, 0)
            truth.failures[run.task] = count + 1

    def shown(self, job_id: str, state: str, now: float) -> None:
        """Checks a state of a job that was shown to a caller."""
        truth = self.jobs.get(job_id)
        if truth is None:
            self._break(now, f"MIXED {job_id} was never sent")
        elif state == "completed" and truth.job.lasts:
            self._break(now, f"MIXED {job_id} runs until it is cancelled")
        elif state == "completed":
            wanted = sum(s.tasks for s in truth.job.steps)
            if len(truth.done) < wanted * truth.job.occurrences:
                self._break(now, f"MIXED {job_id} is not completed")

    def _break(self, now: float, text: str) -> None:
        self.broken.append(f"{now:.3f} {text}")
