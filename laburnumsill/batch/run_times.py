"""Estimation of run times from declared times and observed ones.

Declared times are inaccurate. Their error differs by queue, and so does the
spread of the run times within a queue; both are estimated for each queue. The
expected time combines the declared time and the queue's mean: the larger the
error of the queue's declared times, the less the declared time counts, and the
larger the spread, the less the mean counts. In logarithms this is the mean of
two normal estimates, each weighted by the inverse of its variance.

The estimates depend only on the replicated commands, so all replicas have the
same ones, and a new leader starts with those of its predecessor.
"""

import dataclasses
import math

from laburnumsill.batch import commands
from laburnumsill.batch import ledger as ledgers
from laburnumsill.batch import model
from laburnumsill.batch import run_timer

PRIOR_WEIGHT = 2.0
"""Weight of the prior variances, in steps."""

PRIOR_ERROR = 0.5
"""Prior error of declared times, sigma of the logarithm."""

PRIOR_SPREAD = 0.5
"""Prior spread of run times within a queue, sigma of the logarithm."""

MAX_TRACKED_STEPS = 4_096
"""Limit of the steps with done tasks that are kept, to count each step once."""


@dataclasses.dataclass(slots=True)
class _Moments:
    """Count, sum and sum of squares of some numbers."""

    count: float = 0.0
    total: float = 0.0
    squares: float = 0.0

    @property
    def mean(self) -> float:
        return self.total / self.count if self.count else 0.0

    def add(self, number: float) -> None:
        self.count += 1
        self.total += number
        self.squares += number * number

    def variance(self, prior_sigma: float) -> float:
        """Returns the variance, combined with a prior one."""
        around_mean = self.squares - self.count * self.mean**2
        assumed = PRIOR_WEIGHT * prior_sigma**2
        return (max(0.0, around_mean) + assumed) / (self.count + PRIOR_WEIGHT)


@dataclasses.dataclass(slots=True)
class _QueueTimes:
    """Observed run times of one queue, as logarithms of milliseconds.

    Attributes:
        actual: Run times of tasks.
        errors: Differences between run times and declared times.
    """

    actual: _Moments = dataclasses.field(default_factory=_Moments)
    errors: _Moments = dataclasses.field(default_factory=_Moments)


class RunTimes:
    """Estimates of the run times of tasks.

    Args:
        ledger: The ledger to which the commands are applied.
    """

    def __init__(self, ledger: ledgers.BatchLedger) -> None:
        self._ledger = ledger
        self._timer = run_timer.RunTimer(ledger, self._is_representative)
        self._queues: dict[str, _QueueTimes] = {}
        self._step_times: dict[model.StepKey, list[float] | None] = {}

    def expected_ms(self, job: model.Job, number: int) -> float:
        """Returns the expected run time of a task of a step, in ms.

        Args:
            job: The job.
            number: Index of the step.
        """
        declared_ms = job.steps[number].estimated_ms
        queue = self._queues.get(job.queue)
        if queue is None or not queue.actual.count:
            return declared_ms
        if declared_ms <= 0:
            return math.exp(queue.actual.mean)
        # The queue's mean is itself an estimate from `count` steps.
        spread = queue.actual.variance(PRIOR_SPREAD)
        spread *= 1 + 1 / queue.actual.count
        error = queue.errors.variance(PRIOR_ERROR)
        declared = math.log(declared_ms) + queue.errors.mean
        weight = spread / (spread + error)
        return math.exp(weight * declared + (1 - weight) * queue.actual.mean)

    def observe(self, command: object) -> None:
        """Updates the estimates after a command was applied to the ledger."""
        for run in self._timer.observe(command):
            self._observe_run(run)

    def _is_representative(
        self, step: model.Step, group: commands.Group
    ) -> bool:
        """Returns whether runs do all work of their tasks, near their data."""
        if step.data_rack or step.long_running:
            return False
        return not step.same_rack or len(self._racks(group)) == 1

    def _racks(self, group: commands.Group) -> set[str]:
        workers = self._ledger.workers
        return {
            workers[placement.worker_id].rack
            for placement in group
            if placement.worker_id in workers
        }

    def _observe_run(self, run: run_timer.DoneRun) -> None:
        """Records the mean time of a step's tasks once all of them are done.

        Before that the mean would be biased towards short tasks. A gang is done
        with its first member; the ends of the others are ignored.
        """
        key = run.task.step_key
        times = self._step_times.setdefault(key, [])
        if times is None:
            return
        times.append(math.log(run.took_ms))
        job_id, occurrence, number = key
        record = self._ledger.jobs.get(job_id)
        if record is not None and not record.steps[occurrence][number].undone:
            self._add(record.job, number, sum(times) / len(times))
            self._step_times[key] = None
        if len(self._step_times) > MAX_TRACKED_STEPS:
            del self._step_times[next(iter(self._step_times))]

    def _add(self, job: model.Job, number: int, actual: float) -> None:
        queue = self._queues.setdefault(job.queue, _QueueTimes())
        queue.actual.add(actual)
        declared_ms = job.steps[number].estimated_ms
        if declared_ms > 0:
            queue.errors.add(actual - math.log(declared_ms))
