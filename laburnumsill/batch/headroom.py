"""Headroom: capacity left free for the next urgent jobs.

Answers urgent work that comes in waves and bursts, on a site that waiting tasks
would fill in each trough. Without headroom, the next crest would stop those
tasks, which loses their work and delays its jobs until the runs have ended.
"""

import collections

from laburnumsill.batch import ledger as ledgers
from laburnumsill.batch import model
from laburnumsill.batch import packing
from laburnumsill.core import sliding_maximum

WINDOW_S = 14.0
"""Length of the sliding window over urgent demand, in seconds: about twice the
run time of the users' background tasks, which occupy what they get for long."""

MAX_POOL_SHARE = 0.25
"""Largest part of a pool that is left free. The widest urgent gang of a small
site takes most of it; all other work would wait after each one."""


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
