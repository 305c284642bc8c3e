"""Estimates for the planner: run times, worker health and speed, headroom.

Mechanisms that the policy turns off are left out.
"""

from collections import abc

from laburnumsill.batch import headroom
from laburnumsill.batch import ledger as ledgers
from laburnumsill.batch import ledger_estimates
from laburnumsill.batch import model
from laburnumsill.batch import policy as policies
from laburnumsill.batch import units
from laburnumsill.batch import worker_health
from laburnumsill.core import clock as clocks


class Estimates:
    """Estimates from the ledger's history and the leader's observations.

    Args:
        policy: The mechanisms in use.
        ledger: The ledger on which plans are based.
        history: Run times and speeds estimated from the ledger's commands.
        health: The leader's observations of workers.
        clock: The clock of this process.

    Attributes:
        step_ms: Returns the expected run time of a step's tasks, in ms.
    """

    def __init__(
        self,
        policy: policies.Policy,
        ledger: ledgers.BatchLedger,
        history: ledger_estimates.LedgerEstimates,
        health: worker_health.WorkerHealth,
        clock: clocks.Clock,
    ) -> None:
        self.step_ms: units.StepMs = units.declared_ms
        if policy.learnt_times:
            self.step_ms = history.times.expected_ms
        self._policy = policy
        self._ledger = ledger
        self._history = history
        self._health = health
        self._clock = clock
        self._headroom = headroom.Headroom()

    def headroom(self) -> int:
        """Returns how many accelerators to leave free for urgent jobs."""
        if not self._policy.headroom:
            return 0
        demand = headroom.urgent_demand(self._ledger).total()
        return self._headroom.update(demand, self._clock.monotonic())

    def avoided_workers(self, task: model.TaskId) -> abc.Set[str]:
        """Returns the workers on which a task should not run again."""
        if not self._policy.avoiding:
            return frozenset()
        return self._health.avoided_workers(task)

    def is_quarantined(self, worker_id: str, now: float) -> bool:
        """Returns whether a worker is in quarantine and gets no new runs."""
        if not self._policy.setting_aside:
            return False
        return self._health.is_quarantined(worker_id, now)

    def run_ms(self, task: model.TaskId, worker_id: str) -> float:
        """Returns the expected run time of a task on a worker, in ms.

        Args:
            task: A task of a job in the ledger.
            worker_id: The worker.
        """
        job = self._ledger.jobs[task.job_id].job
        return self.slowness(worker_id) * self.step_ms(job, task.step)

    def slowness(self, worker_id: str) -> float:
        """Returns the run time on a worker relative to other workers.

        Uses the recent run times if they show a very slow worker, otherwise
        the long-term ones.
        """
        now = self._clock.monotonic()
        recent = self._health.recent_slowness(worker_id, now)
        if (
            recent >= worker_health.VERY_SLOW_RATIO
            and self._policy.very_slow_last
        ):
            return recent
        if not self._policy.learnt_speeds:
            return 1.0
        long_term = self._history.speeds.slowness(worker_id)
        return min(long_term, worker_health.MAX_SLOW_RATIO)
