"""Isolation of tasks that are suspected of crashing their workers.

Isolation is a preference: a job never waits long for it.
"""

from collections import abc

from laburnumsill.batch import packing
from laburnumsill.batch import units
from laburnumsill.batch import worker_capacity

Candidates = abc.Sequence[worker_capacity.Candidate]

Fit = abc.Callable[[Candidates], packing.Assignment]
"""Returns an assignment of a unit to some candidates."""


def fit_regular(
    unit: units.Unit, candidates: Candidates, fit: Fit
) -> packing.Assignment:
    """Returns an assignment of a unit without suspects.

    It avoids workers that run a suspect if the whole unit fits elsewhere.
    """
    without_suspects = [
        candidate for candidate in candidates if not candidate.has_suspect
    ]
    assignment = fit(without_suspects)
    if len(assignment) == len(unit.tasks) or len(without_suspects) == len(
        candidates
    ):
        return assignment
    return fit(candidates)


def fit_suspect(
    unit: units.Unit, candidates: Candidates, fit: Fit, may_share: bool
) -> packing.Assignment:
    """Returns an assignment of a suspect to idle workers or the least busy one.

    If a worker with two suspects crashes, both get the same blame and neither
    can be ruled out. So they share a worker only if every worker has a suspect.

    Args:
        unit: The suspect, or a gang with a suspect among its tasks.
        candidates: The workers that may run it.
        fit: Returns an assignment to some of them.
        may_share: Whether it may share a worker with other runs.
    """
    assignment = fit(
        [candidate for candidate in candidates if not candidate.run_count]
    )
    if assignment or not may_share:
        return assignment
    without_suspects = [
        candidate for candidate in candidates if not candidate.has_suspect
    ] or candidates
    if unit.step.gang:
        return fit(without_suspects)
    by_runs = sorted(
        without_suspects, key=lambda candidate: candidate.run_count
    )
    return next(filter(None, (fit([candidate]) for candidate in by_runs)), [])
