"""How fast workers are, from how long tasks of the same step took on them.

Tasks of one step have about the same work, so what one of them took tells of
its worker once it is compared with the others. A step's tasks run on several
workers and a worker runs tasks of several steps; both effects are fitted
together, as means of the logarithms (a two-way layout).

Everything is taken from the replicated commands, so each replica learns the
same, and a new leader knows what the old one knew.
"""

import collections
import dataclasses
import math
import statistics
from collections import abc

from laburnumsill.batch import commands
from laburnumsill.batch import ledger as ledgers
from laburnumsill.batch import model
from laburnumsill.batch import placed_runs

NOTICEABLY_SLOW = 1.12
"""Relative run time from which a worker counts as slower than others."""

SAMPLES_A_WORKER = 16
"""Newest run times of a worker that are gone by; the users' workers end
about a task in two seconds."""

STEPS = 64
"""Newest steps whose run times are compared."""

MIN_SIBLINGS = 3
"""So many tasks of a step must have ended before they are compared."""

CAUTION = 2.0
"""A worker counts as one of usual speed as strongly as so many run times
would show it: tasks of the users' steps differ by 0.2 (sigma of the
logarithm), their workers by 0.13, and (0.2 / 0.13) squared is 2.4."""

LARGEST_EFFECT = 0.7
"""A single run time counts for no more than twice the usual one (its
logarithm): what is slower than that passes, see `worker_health`."""

USUAL_QUANTILE = 0.25
"""Workers are compared with the one at this rank among those known: slow
workers are the minority."""


@dataclasses.dataclass(slots=True)
class _StepTimes:
    """What the tasks of a step took, as logarithms of seconds."""

    times: list[tuple[str, float]] = dataclasses.field(default_factory=list)
    usual: float = 0.0


class WorkerSpeeds:
    """Learns from the commands of one ledger.

    Args:
        ledger: The ledger that the commands were applied to.
    """

    def __init__(self, ledger: ledgers.BatchLedger) -> None:
        self._ledger = ledger
        self._placed = placed_runs.PlacedRuns(ledger, _is_comparable)
        self._steps: collections.OrderedDict[model.StepKey, _StepTimes] = (
            collections.OrderedDict()
        )
        self._workers: dict[
            str, collections.deque[tuple[model.StepKey, float]]
        ] = {}
        self._effects: dict[str, float] = {}
        self._usual_effect = 0.0

    def slowness(self, worker_id: str) -> float:
        """Returns the run time on a worker relative to usual ones."""
        effect = self._effects.get(worker_id)
        if effect is None:
            return 1.0
        return math.exp(effect - self._usual_effect)

    def take(self, command: object) -> None:
        """Takes note of a command that was applied to the ledger."""
        done = self._placed.done_by(command)
        for run in done:
            self._add(run.task, run.worker_id, math.log(run.took_ms / 1000))
        if done:
            self._fit_usual()
        if isinstance(command, commands.RemoveWorker):
            self._workers.pop(command.worker_id, None)
            self._effects.pop(command.worker_id, None)

    def _add(self, task: model.TaskId, worker_id: str, time: float) -> None:
        key = task.step_key
        step = self._steps.setdefault(key, _StepTimes())
        step.times.append((worker_id, time))
        times = self._workers.setdefault(
            worker_id, collections.deque(maxlen=SAMPLES_A_WORKER)
        )
        times.append((key, time))
        if len(self._steps) > STEPS:
            self._steps.popitem(last=False)
        if len(step.times) >= MIN_SIBLINGS:
            self._fit(step)

    def _fit(self, step: _StepTimes) -> None:
        """Fits a step's usual time, then the workers that its tasks ran on."""
        step.usual = statistics.fmean(
            time - self._effects.get(worker_id, 0.0)
            for worker_id, time in step.times
        )
        for worker_id in {worker_id for worker_id, _ in step.times}:
            self._fit_worker(worker_id)

    def _fit_worker(self, worker_id: str) -> None:
        differences = list(self._differences(worker_id))
        if differences:
            self._effects[worker_id] = sum(differences) / (
                len(differences) + CAUTION
            )

    def _differences(self, worker_id: str) -> abc.Iterator[float]:
        for key, time in self._workers.get(worker_id, ()):
            step = self._steps.get(key)
            if step is not None and len(step.times) >= MIN_SIBLINGS:
                difference = time - step.usual
                yield max(-LARGEST_EFFECT, min(LARGEST_EFFECT, difference))

    def _fit_usual(self) -> None:
        known = sorted(self._effects.values())
        if known:
            self._usual_effect = known[int(len(known) * USUAL_QUANTILE)]


def _is_comparable(step: model.Step, _: commands.Group) -> bool:
    """Whether a run's time will tell of its worker."""
    return step.tells_speed
