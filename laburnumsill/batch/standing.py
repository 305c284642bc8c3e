"""Jobs that stand still although there is room for them.

A job stands while nothing of it runs, a task's turn has come, and its pool has
free capacity for two copies of the task or gang. Each task of a long-running
step stands by itself. Racks and speeds do not matter: slow progress is better
than none. Capacity that the planner withholds for other units counts as free.
"""

import dataclasses
from collections import abc

from laburnumsill.batch import ledger as ledgers
from laburnumsill.batch import model
from laburnumsill.batch import packing
from laburnumsill.batch import units
from laburnumsill.batch import worker_capacity

ROOM_FACTOR = 2
"""Number of copies of a unit that the free capacity holds if the unit stands,
as in the users' rule."""

MAX_STANDING_MS = 1_500
"""Longest time for which a unit that stands waits for better capacity, in ms.
The users allow 3 s, which include the interval of the plans, the probe of the
workers, the commit and the start orders, each up to half a second."""


@dataclasses.dataclass(frozen=True, slots=True)
class AccountProgress:
    """How the jobs of one client account in one pool get on.

    Attributes:
        standing: Number of jobs that stand.
        moving: Number of jobs of which something runs.
    """

    standing: int
    moving: int


class RunningJobs:
    """The jobs of which a run is live or is placed by a plan.

    A run on a worker that does not answer counts as none: it may have ended.

    Args:
        ledger: The live runs.
        answering: Ids of the workers whose runs count.
    """

    def __init__(
        self, ledger: ledgers.BatchLedger, answering: abc.Container[str]
    ) -> None:
        self._ids = {
            key[0]
            for key, runs in ledger.runs_by_step.items()
            if any(run.worker_id in answering for run in runs.values())
        }

    def add(self, job_id: str) -> None:
        """Adds a job of which a run is placed."""
        self._ids.add(job_id)

    def may_stand(self, unit: units.Unit) -> bool:
        """Returns whether a waiting unit stands if there is room for it."""
        if unit.step.long_running:
            return True
        return unit.record.job.job_id not in self._ids


def has_room(
    unit: units.Unit,
    candidates: abc.Iterable[worker_capacity.Candidate],
    count_runs: packing.CountRuns,
) -> bool:
    """Returns whether idle capacity holds a unit `ROOM_FACTOR` times over.

    Each copy by itself may use a worker up to the step's `max_per_worker`.

    Args:
        unit: The unit.
        candidates: All workers that may run it.
        count_runs: Returns how many runs of a task's step a worker has.
    """
    limit = unit.step.max_per_worker
    room = 0
    for candidate in candidates:
        slots = unit.step.needs.copies_in(candidate.idle)
        if limit and slots:
            live = count_runs(candidate.worker.worker_id, unit.tasks[0])
            slots = min(slots, ROOM_FACTOR * max(0, limit - live))
        room += slots
    return room >= ROOM_FACTOR * unit.smallest_part


def without_begun(
    since_ms: abc.Mapping[model.StepKey, int],
    ledger: ledgers.BatchLedger,
    placed: abc.Container[model.StepKey],
) -> dict[model.StepKey, int]:
    """Returns since when steps stand whose runs are not known to have begun.

    A placement ends no standing: its worker may refuse to start the run.

    Args:
        since_ms: When the steps began to stand, monotonic, in ms.
        ledger: The live runs.
        placed: Steps of which a plan places runs.
    """
    unbegun = {}
    for key, began_ms in since_ms.items():
        runs = ledger.runs_by_step.get(key, {}).values()
        if key[0] not in ledger.active_jobs or any(run.seen for run in runs):
            continue
        if runs or key in placed:
            unbegun[key] = began_ms
    return unbegun


def progress_by_account(
    ledger: ledgers.BatchLedger, standing: abc.Iterable[model.StepKey]
) -> dict[tuple[str, str], AccountProgress]:
    """Returns the progress of active jobs, by client account and pool.

    Args:
        ledger: The active jobs and live runs.
        standing: The steps that stand.
    """
    standing_ids = {job_id for job_id, _, _ in standing}
    moving_ids = {job_id for job_id, _, _ in ledger.runs_by_step}
    found: dict[tuple[str, str], AccountProgress] = {}
    for job_id, record in ledger.active_jobs.items():
        key = (record.job.account, ledger.pool_of(record.job))
        before = found.get(key, AccountProgress(0, 0))
        found[key] = AccountProgress(
            before.standing + (job_id in standing_ids),
            before.moving + (job_id in moving_ids),
        )
    return found
