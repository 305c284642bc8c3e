"""How much room urgent jobs may need again soon.

Urgent jobs come in bursts. What one of them has left would be taken at once by
tasks that wait, which are stopped again for the next one: that costs the work
and, worse, the time of a stop.
"""

import collections

from laburnumsill.batch import ledger as ledgers
from laburnumsill.batch import model
from laburnumsill.batch import packing
from laburnumsill.core import lately

WINDOW_S = 8.0
"""Urgent use of the last seconds counts: three times what an urgent job of the
users takes."""

SHARE = 0.5
"""Of the way back to the highest use, so much is kept free."""


class Headroom:
    """Remembers how much urgent jobs used lately.

    Examples:
        >>> headroom = Headroom()
        >>> headroom.to_keep(40, 0.0), headroom.to_keep(10, 1.0)
        (0, 15)
        >>> headroom.to_keep(10, 20.0)
        0
    """

    def __init__(self) -> None:
        self._used = lately.LargestLately(WINDOW_S)

    def to_keep(self, used: int, now: float) -> int:
        """Returns how many accelerators should be left free.

        Args:
            used: What urgent jobs use or wait for now.
            now: Monotonic.
        """
        self._used.add(now, used)
        return int(SHARE * (self._used.value - used))


def urgent_use(ledger: ledgers.BatchLedger) -> collections.Counter[str]:
    """Returns the accelerators that urgent jobs need, by client account."""
    use: collections.Counter[str] = collections.Counter()
    for record in ledger.active_jobs.values():
        if record.job.terms.priority == packing.URGENT_PRIORITY:
            use[record.job.account] += _accelerators(record.job)
    return use


def _accelerators(job: model.Job) -> int:
    """Returns the accelerators that a job needs at most at one time."""
    return max(
        (step.tasks * step.needs.accelerators for step in job.steps), default=0
    )
