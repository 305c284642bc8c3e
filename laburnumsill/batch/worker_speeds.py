"""Estimation of worker speeds from the run times of tasks of the same step.

Tasks of one step have about the same work, so the run time of one of them,
relative to the others, is a measure of its worker's speed. A step's tasks run
on several workers and a worker runs tasks of several steps; both effects are
fitted together, as means of the logarithms (a two-way layout).

The estimates depend only on the replicated commands, so all replicas have the
same ones, and a new leader starts with those of its predecessor.
"""

import collections
import dataclasses
import math
import statistics
from collections import abc

from laburnumsill.batch import commands
from laburnumsill.batch import ledger as ledgers
from laburnumsill.batch import model
from laburnumsill.batch import run_timer

SLOW_RATIO = 1.12
"""Relative run time from which a worker counts as slow."""

SAMPLES_PER_WORKER = 16
"""Number of newest run times used for a worker; the users' workers end about
one task in two seconds."""

MAX_STEPS = 64
"""Number of newest steps whose run times are compared."""

MIN_SIBLINGS = 3
"""Number of ended tasks of a step from which their times are compared."""

PRIOR_SAMPLES = 2.0
"""Weight of the prior assumption of average speed, in run times (shrinkage).
Tasks of the users' steps differ by 0.2 and their workers by 0.13 (sigma of the
logarithm); the ratio of the variances, (0.2 / 0.13)^2, is 2.4."""

MAX_EFFECT = 0.7
"""Bound of a single residual, about the logarithm of 2, so that one run time
counts as at most twice the mean. Larger slowness is temporary and is handled by
`worker_health`."""

BASELINE_QUANTILE = 0.25
"""Quantile of the worker effects that is the baseline of relative run times.
Slow workers are the minority, so the worker at this rank has normal speed."""


@dataclasses.dataclass(slots=True)
class _StepTimes:
    """Run times of a step's tasks, as logarithms of seconds.

    Attributes:
        times: Pairs of a worker and the time of a task on it.
        mean: Mean time, corrected by the effects of the workers.
    """

    times: list[tuple[str, float]] = dataclasses.field(default_factory=list)
    mean: float = 0.0


class WorkerSpeeds:
    """Estimates of the relative run times of workers.

    Args:
        ledger: The ledger to which the commands are applied.
    """

    def __init__(self, ledger: ledgers.BatchLedger) -> None:
        self._ledger = ledger
        self._timer = run_timer.RunTimer(ledger, _is_comparable)
        self._steps: collections.OrderedDict[model.StepKey, _StepTimes] = (
            collections.OrderedDict()
        )
        self._workers: dict[
            str, collections.deque[tuple[model.StepKey, float]]
        ] = {}
        self._effects: dict[str, float] = {}
        self._baseline_effect = 0.0

    def slowness(self, worker_id: str) -> float:
        """Returns the run time on a worker relative to the baseline.

        1.0 if the worker has no estimate.
        """
        effect = self._effects.get(worker_id)
        if effect is None:
            return 1.0
        return math.exp(effect - self._baseline_effect)

    def observe(self, command: object) -> None:
        """Updates the estimates after a command was applied to the ledger."""
        done = self._timer.observe(command)
        for run in done:
            self._add(run.task, run.worker_id, math.log(run.took_ms / 1000))
        if done:
            self._fit_baseline()
        if isinstance(command, commands.RemoveWorker):
            self._workers.pop(command.worker_id, None)
            self._effects.pop(command.worker_id, None)

    def _add(self, task: model.TaskId, worker_id: str, time: float) -> None:
        key = task.step_key
        step = self._steps.setdefault(key, _StepTimes())
        step.times.append((worker_id, time))
        times = self._workers.setdefault(
            worker_id, collections.deque(maxlen=SAMPLES_PER_WORKER)
        )
        times.append((key, time))
        if len(self._steps) > MAX_STEPS:
            self._steps.popitem(last=False)
        if len(step.times) >= MIN_SIBLINGS:
            self._fit(step)

    def _fit(self, step: _StepTimes) -> None:
        """Fits a step's mean time, then the workers that its tasks ran on."""
        step.mean = statistics.fmean(
            time - self._effects.get(worker_id, 0.0)
            for worker_id, time in step.times
        )
        for worker_id in {worker_id for worker_id, _ in step.times}:
            self._fit_worker(worker_id)

    def _fit_worker(self, worker_id: str) -> None:
        residuals = list(self._residuals(worker_id))
        if residuals:
            self._effects[worker_id] = sum(residuals) / (
                len(residuals) + PRIOR_SAMPLES
            )

    def _residuals(self, worker_id: str) -> abc.Iterator[float]:
        for key, time in self._workers.get(worker_id, ()):
            step = self._steps.get(key)
            if step is not None and len(step.times) >= MIN_SIBLINGS:
                residual = time - step.mean
                yield max(-MAX_EFFECT, min(MAX_EFFECT, residual))

    def _fit_baseline(self) -> None:
        effects = sorted(self._effects.values())
        if effects:
            self._baseline_effect = effects[
                int(len(effects) * BASELINE_QUANTILE)
            ]


def _is_comparable(step: model.Step, _: commands.Group) -> bool:
    """Returns whether a run's time is a measure of its worker's speed."""
    return step.measures_worker_speed
