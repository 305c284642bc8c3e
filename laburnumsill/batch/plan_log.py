"""Log lines about the leader's plans.

The logs alone must show where each run was placed and why a step waits;
`laburnumsill.explain` parses these lines.
"""

from laburnumsill.batch import commands
from laburnumsill.batch import ledger as ledgers
from laburnumsill.batch import model
from laburnumsill.batch import plans
from laburnumsill.batch import records
from laburnumsill.batch import standing
from laburnumsill.batch import units
from laburnumsill.core import clock as clocks
from laburnumsill.core import logs

WAITING_LOG_INTERVAL_S = 5.0
"""Interval between log lines about the same waiting unit, in seconds."""

STANDING_LOG_AFTER_MS = 1_000
"""Time after which a standing unit is logged at once, in ms."""


class PlanLog:
    """Logs placements and waiting units.

    Args:
        ledger: The ledger on which the plans are based.
        clock: The clock of this process.
    """

    def __init__(
        self, ledger: ledgers.BatchLedger, clock: clocks.Clock
    ) -> None:
        self._ledger = ledger
        self._clock = clock
        self._next_line_at: dict[model.StepKey, float] = {}
        self._deferred: set[model.StepKey] = set()
        self._standing_since_ms: dict[model.StepKey, int] = {}
        self._logged_standing: set[model.StepKey] = set()

    @property
    def units_waiting(self) -> int:
        """Number of units that waited in the last plan."""
        return len(self._next_line_at)

    @property
    def jobs_standing(self) -> int:
        """Number of jobs that stood in the last plan, see `standing`."""
        return len({job_id for job_id, _, _ in self._standing_since_ms})

    @property
    def longest_standing_s(self) -> float:
        """Longest time for which a unit has stood, in seconds."""
        longest_ms = max(
            map(self._standing_ms, self._standing_since_ms), default=0
        )
        return longest_ms / 1000

    def is_due(self, key: model.StepKey) -> bool:
        """Returns whether the next line about a waiting unit is due."""
        if self._next_line_at.get(key, 0.0) <= self._clock.monotonic():
            return True
        stands_long = self._standing_ms(key) >= STANDING_LOG_AFTER_MS
        return stands_long and key not in self._logged_standing

    def log_placement(
        self, placement: commands.Placement, refusal: str
    ) -> None:
        """Logs a placement.

        Args:
            placement: The placement.
            refusal: Why the ledger refused it, "" if it did not.
        """
        record = self._ledger.jobs.get(placement.run.task.job_id)
        waited_ms = 0
        if record is not None:
            waited_ms = self._clock.wall_ms() - record.submitted_ms
        logs.decision(
            "run-placed" if not refusal else "placement-refused",
            job=placement.run.task.job_id,
            run=placement.run,
            worker=placement.worker_id,
            queue=record.job.queue if record else "",
            gang=_is_gang(record, placement.run),
            waited_ms=waited_ms,
            refusal=refusal,
        )

    def log_waiting(self, plan: plans.Plan, usable: int) -> None:
        """Logs units when they begin to wait, and then at intervals.

        Args:
            plan: The plan.
            usable: Number of workers on which runs could be placed.
        """
        now = self._clock.monotonic()
        next_line_at = {}
        self._standing_since_ms = plan.standing_since_ms
        self._logged_standing &= plan.standing_since_ms.keys()
        by_account = (
            standing.progress_by_account(self._ledger, plan.standing_since_ms)
            if plan.obstacles
            else {}
        )
        for unit in plan.waiting:
            next_line_at[unit.key] = self._next_line_at.get(unit.key, now)
            if unit.key in plan.obstacles:
                self._log_unit(
                    unit,
                    plan.obstacles[unit.key],
                    usable,
                    by_account[unit.record.job.account, unit.pool],
                )
                next_line_at[unit.key] = now + WAITING_LOG_INTERVAL_S
                if self._standing_ms(unit.key) >= STANDING_LOG_AFTER_MS:
                    self._logged_standing.add(unit.key)
        self._next_line_at = next_line_at

    def log_deferred(self, plan: plans.Plan, usable: int, unheard: int) -> int:
        """Logs units whose preemption is deferred; returns how many are new.

        Args:
            plan: The plan.
            usable: Number of workers on which runs could be placed.
            unheard: Number of workers that are still expected to announce
                themselves.
        """
        new = [one for one in plan.deferred if one.key not in self._deferred]
        for unit in new:
            logs.decision(
                "preemption-deferred",
                job=unit.record.job.job_id,
                step=unit.step_index,
                tasks=len(unit.tasks),
                accelerators=unit.step.needs.accelerators,
                waited_ms=self._clock.wall_ms() - unit.waiting_since_ms,
                slack_ms=round(
                    unit.objective_ms
                    - unit.critical_path_ms
                    - self._clock.wall_ms()
                ),
                usable=usable,
                unheard=unheard,
            )
        self._deferred = {unit.key for unit in plan.deferred}
        return len(new)

    def _standing_ms(self, key: model.StepKey) -> int:
        """Returns for how long a unit has stood, in ms; 0 if it does not."""
        now_ms = round(1000 * self._clock.monotonic())
        return now_ms - self._standing_since_ms.get(key, now_ms)

    def _log_unit(
        self,
        unit: units.Unit,
        obstacle: str,
        usable: int,
        account: standing.AccountProgress,
    ) -> None:
        logs.decision(
            "unit-waits",
            job=unit.record.job.job_id,
            occurrence=unit.occurrence,
            step=unit.step_index,
            tasks=len(unit.tasks),
            accelerators=unit.step.needs.accelerators,
            gang=unit.step.gang,
            same_rack=unit.step.same_rack,
            data_rack=unit.step.data_rack,
            label=unit.step.required_label,
            priority=unit.priority,
            waited_ms=self._clock.wall_ms() - unit.waiting_since_ms,
            obstacle=obstacle,
            usable=usable,
            runs=unit.next_run(unit.tasks[0]).number - 1,
            standing_ms=self._standing_ms(unit.key),
            account_jobs_standing=account.standing,
            account_jobs_moving=account.moving,
        )


def _is_gang(record: records.JobRecord | None, run: model.RunId) -> bool:
    """Returns whether a run belongs to a gang."""
    return record is not None and record.job.steps[run.task.step].gang
