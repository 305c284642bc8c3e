"""Reservation of capacity for a gang that has waited long.

Without a reservation, small tasks use free capacity as soon as it appears, and
there is never enough at one time for the gang.
"""

import dataclasses
from collections import abc

from laburnumsill.batch import ledger as ledgers
from laburnumsill.batch import packing
from laburnumsill.batch import records
from laburnumsill.batch import units
from laburnumsill.batch import worker_capacity


@dataclasses.dataclass(frozen=True, slots=True)
class Reservation:
    """Capacity reserved for a gang.

    Attributes:
        rack: The reserved rack, "" if the gang is to span racks.
        slots: Workers, each with the number of tasks it is reserved for.
    """

    rack: str
    slots: abc.Sequence[tuple[worker_capacity.Candidate, int]]


def find_reservation(
    unit: units.Unit,
    candidates: abc.Sequence[worker_capacity.Candidate],
    previous_rack: str,
) -> Reservation | None:
    """Returns a reservation for a gang, or None if its pool cannot hold it.

    The reservation is in one rack if any rack could hold the gang once empty,
    else all over the pool. There is none for a gang that cannot run even in an
    empty pool, so that other units can use the capacity.

    Args:
        unit: The gang.
        candidates: The workers that may run it.
        previous_rack: The rack that was reserved for it in the previous plan,
            or "". That rack has been emptying since, so it stays reserved while
            it could hold the gang.
    """
    racks = packing.feasible_racks(unit, candidates)
    if not racks:
        return _reservation(unit, "", candidates)
    rack = previous_rack
    if rack not in racks:
        rack = max(racks, key=lambda name: _soon_free_slots(unit, racks[name]))
    return _reservation(unit, rack, racks[rack])


def expected_start_ms(
    unit: units.Unit,
    reservation: Reservation,
    ledger: ledgers.BatchLedger,
    now_ms: int,
    step_ms: units.StepMs,
) -> float:
    """Returns when a gang's whole reservation is expected to be free.

    Args:
        unit: The gang.
        reservation: Its reservation.
        ledger: The runs on the reserved workers.
        now_ms: Wall time, ms since 1970.
        step_ms: Returns the expected run time of a step's tasks, in ms.

    Returns:
        Wall time, ms since 1970; 0 if no run has to end before.
    """
    ends = [
        _expected_end_ms(run, ledger, now_ms, step_ms)
        for candidate, count in reservation.slots
        if unit.step.needs.copies_in(candidate.free) < count
        for run in ledger.runs_on(candidate.worker.worker_id).values()
    ]
    return max(ends, default=0.0)


def _expected_end_ms(
    run: records.RunRecord,
    ledger: ledgers.BatchLedger,
    now_ms: int,
    step_ms: units.StepMs,
) -> float:
    """Returns when a run is expected to end, ms since 1970.

    Each run is expected to go on for at least half as long as it has run, as
    estimates of run times are off by a factor.
    """
    task = run.run.task
    job = ledger.jobs[task.job_id].job
    expected_ms = run.placed_ms + step_ms(job, task.step)
    ran_ms = now_ms - run.placed_ms
    return max(expected_ms, now_ms + ran_ms / 2)


def _soon_free_slots(
    unit: units.Unit, candidates: abc.Iterable[worker_capacity.Candidate]
) -> int:
    """Returns how many of a unit's tasks fit into the soon free capacity."""
    return sum(
        unit.step.needs.copies_in(candidate.soon_free)
        for candidate in candidates
    )


def _reservation(
    unit: units.Unit,
    rack: str,
    candidates: abc.Iterable[worker_capacity.Candidate],
) -> Reservation | None:
    """Returns a reservation of the emptiest workers, or None if too few."""
    slots = []
    left = len(unit.tasks)
    for candidate in sorted(candidates, key=_emptiest_first):
        count = min(left, packing.max_slots(unit, candidate))
        if count:
            slots.append((candidate, count))
            left -= count
    return Reservation(rack, slots) if not left else None


def _emptiest_first(candidate: worker_capacity.Candidate) -> tuple[int, str]:
    """Returns a sort key that puts the most soon free capacity first.

    Reserved workers get no new runs and become emptier, so the next plan
    chooses the same workers or emptier ones.
    """
    return (-candidate.soon_free.accelerators, candidate.worker.worker_id)
