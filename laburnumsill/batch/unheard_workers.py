"""Deferral of preemption while a new leader learns its pool.

Answers urgent work that arrives around a change of leader. A new leader places
runs on a worker only after its next announcement, so for a second or two it
plans with a part of the pool. Preemption on that part would stop runs although
the other workers have free capacity.
"""

from collections import abc

from laburnumsill.batch import packing
from laburnumsill.batch import units
from laburnumsill.batch import worker_capacity

FIRST_ANNOUNCEMENT_TIMEOUT_S = 3.0
"""Age of a term from which a worker without an announcement is not expected any
more: workers announce themselves every 1.5 s and try another VM after 1 s."""

REPLAN_INTERVAL_S = 0.1
"""Longest time between two plans while preemption is deferred."""

DEFERRAL_MARGIN_MS = 200
"""Time that a deferral may cost a unit before its next plan takes effect, in
ms: the interval of the plans, and the commit of a placement."""


def may_defer(unit: units.Unit, now_ms: int, stop_grace_ms: int) -> bool:
    """Returns whether a preemption at the next plan still meets the objective.

    A unit that cannot meet it any more is not deferred: it is late already.

    Args:
        unit: The unit.
        now_ms: Wall time, ms since 1970.
        stop_grace_ms: Time within which a run ends after a stop order, in ms.
    """
    latest_ms = unit.objective_ms - unit.critical_path_ms - stop_grace_ms
    return now_ms + DEFERRAL_MARGIN_MS <= latest_ms


def fit_with_unheard(
    unit: units.Unit,
    heard: abc.Iterable[worker_capacity.Candidate],
    unheard: abc.Iterable[worker_capacity.Candidate],
    count_runs: packing.CountRuns,
) -> packing.Assignment:
    """Returns an assignment that includes workers not heard from yet.

    Args:
        unit: A unit that fits on the usable workers neither now nor soon.
        heard: The usable workers that may run it.
        unheard: All workers that the leader still expects to hear from.
        count_runs: Returns how many runs of a task's step a worker has.

    Returns:
        The assignment; empty unless all tasks fit without preemption.
    """
    expected = packing.eligible(unit, unheard)
    if not expected:
        return []
    assignment = packing.fit(
        unit, [*heard, *expected], packing.free_soon, count_runs
    )
    return assignment if len(assignment) == len(unit.tasks) else []
