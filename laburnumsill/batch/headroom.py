"""Headroom: capacity left free for the next urgent jobs.

Answers urgent work that comes in waves and bursts, on a site that waiting tasks
would fill in each trough. Without headroom, the next crest would stop those
tasks, which loses their work and delays its jobs until the runs have ended.
"""

import collections
from collections import abc

from laburnumsill.batch import ledger as ledgers
from laburnumsill.batch import model
from laburnumsill.batch import packing
from laburnumsill.batch import units
from laburnumsill.batch import worker_capacity
from laburnumsill.core import sliding_maximum

WINDOW_S = 14.0
"""Length of the sliding window over urgent demand, in seconds: about twice the
run time of the users' background tasks, which occupy what they get for long."""

MAX_POOL_SHARE = 0.25
"""Largest part of a pool that is left free. The widest urgent gang of a small
site takes most of it; all other work would wait after each one."""

MIN_SLACK_MS = 1_000
"""Single tasks leave headroom while their job has at least this slack, in ms:
it can start later by that time and still meet its objective."""


class Headroom:
    """Computes headroom from the recent demand of urgent jobs.

    Examples:
        >>> headroom = Headroom()
        >>> headroom.update(40, 0.0), headroom.update(10, 1.0)
        (0, 30)
        >>> headroom.update(10, 20.0)
        0
    """

    def __init__(self) -> None:
        self._recent = sliding_maximum.SlidingMaximum(WINDOW_S)

    def update(self, demand: int, now: float) -> int:
        """Records the demand and returns how many accelerators to leave free.

        Args:
            demand: Accelerators that urgent jobs use or wait for.
            now: Monotonic time, in seconds.
        """
        self._recent.add(now, demand)
        return int(self._recent.value) - demand


def tasks_beside(
    headroom: int, pool: int, free: int, task_accelerators: int
) -> int:
    """Returns how many tasks may start in a pool so that headroom is left.

    Args:
        headroom: Accelerators to leave free, as far as the pool's share allows.
        pool: Accelerators of all workers of the pool.
        free: Free accelerators of the pool.
        task_accelerators: Accelerators of each task.

    Examples:
        >>> tasks_beside(30, 400, 50, 4), tasks_beside(30, 80, 50, 4)
        (5, 7)
        >>> tasks_beside(30, 400, 20, 4)
        0
    """
    left_free = min(headroom, int(MAX_POOL_SHARE * pool))
    return max(0, free - left_free) // task_accelerators


def leaves_headroom(unit: units.Unit, headroom: int, now_ms: int) -> bool:
    """Returns whether a unit has enough slack to leave headroom.

    Urgent jobs come in successive bursts: a gang that starts between two of
    them is preempted by the second and starts over. A gang waits only while it
    could run twice and still meet its objective, since it seldom finds enough
    free capacity.

    Args:
        unit: The unit.
        headroom: Accelerators to leave free.
        now_ms: Wall time, ms since 1970.
    """
    step = unit.step
    if unit.priority == packing.URGENT_PRIORITY or not headroom:
        return False
    if step.long_running or not step.needs.accelerators:
        return False
    slack_ms = unit.objective_ms - now_ms - unit.critical_path_ms
    min_ms = unit.critical_path_ms if step.gang else MIN_SLACK_MS
    return slack_ms >= min_ms


def limit(
    unit: units.Unit,
    assignment: packing.Assignment,
    candidates: abc.Collection[worker_capacity.Candidate],
    available: packing.Available,
    headroom: int,
    has_runs: bool,
) -> packing.Assignment:
    """Returns the part of a unit's assignment that leaves headroom.

    A gang is placed as a whole or not at all. Of any other step without runs,
    one task is placed in any case, so that no job is idle while there is free
    capacity.

    Args:
        unit: The unit.
        assignment: An assignment of some of its tasks.
        candidates: All workers that may run it.
        available: Returns the capacity of a worker that counts as free.
        headroom: Accelerators to leave free.
        has_runs: Whether tasks of its step are running.
    """
    max_tasks = tasks_beside(
        headroom,
        sum(one.worker.capacity.accelerators for one in candidates),
        sum(available(one).accelerators for one in candidates),
        unit.step.needs.accelerators,
    )
    if unit.step.gang:
        return assignment if len(assignment) <= max_tasks else []
    return assignment[: max(0 if has_runs else 1, max_tasks)]


def urgent_demand(ledger: ledgers.BatchLedger) -> collections.Counter[str]:
    """Returns the accelerators that active urgent jobs need, by account."""
    demand: collections.Counter[str] = collections.Counter()
    for record in ledger.active_jobs.values():
        if record.job.terms.priority == packing.URGENT_PRIORITY:
            demand[record.job.account] += _accelerators(record.job)
    return demand


def _accelerators(job: model.Job) -> int:
    """Returns the accelerators of a job's largest step."""
    return max(
        (step.tasks * step.needs.accelerators for step in job.steps), default=0
    )
