"""How long tasks will take: declared times, corrected by what was seen.

Declared times are rough, how rough differs by queue, and so does how much the
work of a queue's jobs differs. Both are learnt for each queue: a declared time
counts the less the further earlier ones of its queue were off, and the usual
time of the queue the less the more its jobs differ. In logarithms that is the
mean of two normal estimates, each weighted by the inverse of its variance.

Everything is taken from the replicated commands, so each replica learns the
same, and a new leader knows what the old one knew.
"""

import dataclasses
import math

from laburnumsill.batch import commands
from laburnumsill.batch import ledger as ledgers
from laburnumsill.batch import model
from laburnumsill.batch import placed_runs

PRIOR_STEPS = 2.0
"""So many steps' worth the assumptions below count, until more was seen."""

PRIOR_ERROR = 0.5
"""Assumed error of declared times, sigma of the logarithm."""

PRIOR_SPREAD = 0.5
"""Assumed difference of run times within a queue, sigma of the logarithm."""

MAX_STEPS_SEEN = 4_096
"""Steps of which some tasks are done, remembered so that each counts once."""


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
        """Returns the variance, together with what was assumed of it."""
        around_mean = self.squares - self.count * self.mean**2
        assumed = PRIOR_STEPS * prior_sigma**2
        return (max(0.0, around_mean) + assumed) / (self.count + PRIOR_STEPS)


@dataclasses.dataclass(slots=True)
class _QueueTimes:
    """What was seen of one queue, in logarithms of milliseconds.

    Attributes:
        taken: How long tasks took.
        errors: That, less what was declared.
    """

    taken: _Moments = dataclasses.field(default_factory=_Moments)
    errors: _Moments = dataclasses.field(default_factory=_Moments)


class RunTimes:
    """Learns from the commands of one ledger.

    Args:
        ledger: The ledger that the commands were applied to.
    """

    def __init__(self, ledger: ledgers.BatchLedger) -> None:
        self._ledger = ledger
        self._placed = placed_runs.PlacedRuns(ledger, self._is_usual)
        self._queues: dict[str, _QueueTimes] = {}
        self._taken: dict[model.StepKey, list[float] | None] = {}

    def expected_ms(self, job: model.Job, number: int) -> float:
        """Returns how long a task of a step will take, in ms."""
        declared_ms = job.steps[number].estimated_ms
        queue = self._queues.get(job.queue)
        if queue is None or not queue.taken.count:
            return declared_ms
        if declared_ms <= 0:
            return math.exp(queue.taken.mean)
        # The queue's mean is itself known only from so many steps.
        spread = queue.taken.variance(PRIOR_SPREAD)
        spread *= 1 + 1 / queue.taken.count
        error = queue.errors.variance(PRIOR_ERROR)
        declared = math.log(declared_ms) + queue.errors.mean
        weight = spread / (spread + error)
        return math.exp(weight * declared + (1 - weight) * queue.taken.mean)

    def take(self, command: object) -> None:
        """Takes note of a command that was applied to the ledger."""
        for run in self._placed.done_by(command):
            self._take_run(run)

    def _is_usual(self, step: model.Step, group: commands.Group) -> bool:
        """Whether runs do all the work of their tasks, near their data."""
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

    def _take_run(self, run: placed_runs.DoneRun) -> None:
        """Takes the mean time of a step's tasks once all of them are done.

        Earlier the short ones among them would count for all. A gang is done
        with the first of its members; the others say the same again.
        """
        key = run.task.step_key
        times = self._taken.setdefault(key, [])
        if times is None:
            return
        times.append(math.log(run.took_ms))
        job_id, occurrence, number = key
        record = self._ledger.jobs.get(job_id)
        if record is not None and not record.steps[occurrence][number].undone:
            self._add(record.job, number, sum(times) / len(times))
            self._taken[key] = None
        if len(self._taken) > MAX_STEPS_SEEN:
            del self._taken[next(iter(self._taken))]

    def _add(self, job: model.Job, number: int, taken: float) -> None:
        queue = self._queues.setdefault(job.queue, _QueueTimes())
        queue.taken.add(taken)
        declared_ms = job.steps[number].estimated_ms
        if declared_ms > 0:
            queue.errors.add(taken - math.log(declared_ms))
