"""What a plan is told beside the ledger: of workers, times and headroom.

It leaves out what the policy does without.
"""

from collections import abc

from laburnumsill.batch import headroom
from laburnumsill.batch import learnt as learnt_module
from laburnumsill.batch import ledger as ledgers
from laburnumsill.batch import model
from laburnumsill.batch import policy as policies
from laburnumsill.batch import units
from laburnumsill.batch import worker_health
from laburnumsill.core import clock as clocks


class Outlook:
    """Puts together what was learnt and what was observed.

    Args:
        policy: Which mechanisms are in use.
        ledger: The ledger that plans are made of.
        learnt: What was learnt from the commands of the ledger.
        health: What the leader has observed of workers.
        clock: The clock of this process.

    Attributes:
        step_ms: Returns how long a task of a step takes, in ms.
    """

    def __init__(
        self,
        policy: policies.Policy,
        ledger: ledgers.BatchLedger,
        learnt: learnt_module.Learnt,
        health: worker_health.WorkerHealth,
        clock: clocks.Clock,
    ) -> None:
        self.step_ms: units.StepMs = units.declared_ms
        if policy.learnt_times:
            self.step_ms = learnt.times.expected_ms
        self._policy = policy
        self._ledger = ledger
        self._learnt = learnt
        self._health = health
        self._clock = clock
        self._headroom = headroom.Headroom()

    def headroom(self) -> int:
        """Returns how many accelerators are to be left to urgent jobs."""
        if not self._policy.headroom:
            return 0
        used = headroom.urgent_use(self._ledger).total()
        return self._headroom.to_keep(used, self._clock.monotonic())

    def avoid(self, task: model.TaskId) -> abc.Set[str]:
        """Returns the workers on which a task is not to be run again."""
        if not self._policy.avoiding:
            return frozenset()
        return self._health.avoid(task)

    def set_aside(self, worker_id: str, now: float) -> bool:
        """Returns whether a worker is to get nothing now."""
        if not self._policy.setting_aside:
            return False
        return self._health.set_aside(worker_id, now)

    def slowness(self, worker_id: str) -> float:
        """Returns the run time on a worker relative to others."""
        now = self._clock.monotonic()
        lately = self._health.slowness_lately(worker_id, now)
        if lately >= worker_health.VERY_SLOW and self._policy.very_slow_last:
            return lately
        if not self._policy.learnt_speeds:
            return 1.0
        usual = self._learnt.speeds.slowness(worker_id)
        return min(usual, worker_health.NOT_VERY_SLOW)
