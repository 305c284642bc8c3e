"""Headroom: capacity left free for the next urgent jobs.

Urgent jobs come in bursts. Without headroom, waiting tasks would start as soon
as one urgent job ends and be preempted by the next. That loses their work and,
worse, delays the urgent job until they have stopped.
"""

import collections

from laburnumsill.batch import ledger as ledgers
from laburnumsill.batch import model
from laburnumsill.batch import packing
from laburnumsill.core import sliding_maximum

WINDOW_S = 8.0
"""Length of the sliding window over urgent demand, in seconds: three times the
run time of the users' urgent jobs."""

SHARE = 0.5
"""Part of the difference between the highest demand in the window and the
current demand that is left free."""


class Headroom:
    """Computes headroom from the recent demand of urgent jobs.

    Examples:
        >>> headroom = Headroom()
        >>> headroom.update(40, 0.0), headroom.update(10, 1.0)
        (0, 15)
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
        return int(SHARE * (self._recent.value - demand))


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
