"""The lines that a leader writes about its plans.

A person must be able to see where each run was placed, and why a step waits,
from the logs alone; `laburnumsill.explain` reads these lines back.
"""

from laburnumsill.batch import commands
from laburnumsill.batch import ledger as ledgers
from laburnumsill.batch import model
from laburnumsill.batch import planner
from laburnumsill.batch import records
from laburnumsill.batch import units
from laburnumsill.core import clock as clocks
from laburnumsill.core import logs

WAITING_EVERY_S = 5.0
"""A unit that waits is written again so often, with what stands in its way."""


class PlanLog:
    """Writes plans, and remembers which units were written as waiting.

    Args:
        ledger: What the plans are of.
        clock: The clock of this process.
    """

    def __init__(
        self, ledger: ledgers.BatchLedger, clock: clocks.Clock
    ) -> None:
        self._ledger = ledger
        self._clock = clock
        self._write_at: dict[model.StepKey, float] = {}

    @property
    def units_waiting(self) -> int:
        """How many units waited in the last plan."""
        return len(self._write_at)

    def is_due(self, key: model.StepKey) -> bool:
        """Returns whether what stands in a unit's way is to be written."""
        return self._write_at.get(key, 0.0) <= self._clock.monotonic()

    def placement(self, placement: commands.Placement, refusal: str) -> None:
        """Writes one placement and why the ledger refused it, if it did."""
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

    def waiting(self, made: planner.Plan, usable: int) -> None:
        """Writes a line when a unit begins to wait, and now and then.

        Args:
            made: The plan.
            usable: How many workers could be given runs.
        """
        now = self._clock.monotonic()
        write_at = {}
        for unit in made.waiting:
            write_at[unit.key] = self._write_at.get(unit.key, now)
            if unit.key in made.obstacles:
                self._write(unit, made.obstacles[unit.key], usable)
                write_at[unit.key] = now + WAITING_EVERY_S
        self._write_at = write_at

    def _write(self, unit: units.Unit, obstacle: str, usable: int) -> None:
        logs.decision(
            "unit-waits",
            job=unit.record.job.job_id,
            occurrence=unit.occurrence,
            step=unit.number,
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
        )


def _is_gang(record: records.JobRecord | None, run: model.RunId) -> bool:
    """Whether a run works only together with the others of its step."""
    return record is not None and record.job.steps[run.task.step].gang
