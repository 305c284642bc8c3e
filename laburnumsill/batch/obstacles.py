"""Explains why a unit waits: the free slots and what holds the unit back."""

import enum
from collections import abc

from laburnumsill.batch import packing
from laburnumsill.batch import plan_candidates
from laburnumsill.batch import units
from laburnumsill.batch import worker_capacity


class Holder(enum.StrEnum):
    """What keeps a unit from being placed.

    Attributes:
        NO_ROOM: Its pool has no capacity for it.
        UNUSABLE_WORKERS: Only workers on which nothing may be placed have the
            capacity: they are unreachable or in quarantine, for example.
        UNHEARD_WORKERS: A new leader holds the pool for urgent units until it
            has heard from all workers.
        RESERVATION: The idle capacity is reserved for a gang, or held for an
            urgent unit.
        POOR_WORKERS: Only workers that are very slow, or on which one of its
            tasks has failed, have the capacity.
        DATA_RACK: Only workers outside the rack of its data have the capacity.
        ONE_RACK: No rack can hold the whole gang.
        ISOLATION: A task suspected of crashing workers waits for an idle one.
        HEADROOM: The free capacity is left for urgent jobs.
    """

    NO_ROOM = "no-room"
    UNUSABLE_WORKERS = "unusable-workers"
    UNHEARD_WORKERS = "unheard-workers"
    RESERVATION = "reservation"
    POOR_WORKERS = "poor-workers"
    DATA_RACK = "data-rack"
    ONE_RACK = "one-rack"
    ISOLATION = "isolation"
    HEADROOM = "headroom"


def holder_of(
    unit: units.Unit,
    candidates: plan_candidates.PlanCandidates,
    count_runs: packing.CountRuns,
) -> Holder:
    """Returns what keeps a unit of a pool that is not held from being placed.

    Args:
        unit: The unit, or what of it was not placed.
        candidates: The candidates of the plan.
        count_runs: Returns how many runs of a task's step a worker has.
    """

    def holds(
        workers: abc.Sequence[worker_capacity.Candidate],
        available: packing.Available,
    ) -> bool:
        slots = packing.count_slots(unit, workers, available, count_runs)
        return sum(slots.values()) >= unit.smallest_part

    all_workers = candidates.all_for(unit)
    eligible = candidates.eligible(unit)
    if not holds(candidates.known_for(unit), packing.idle_now):
        return Holder.NO_ROOM
    if not holds(all_workers, packing.idle_now):
        return Holder.UNUSABLE_WORKERS
    if not holds(all_workers, packing.free_now):
        return Holder.RESERVATION
    if not holds(eligible, packing.free_now):
        return Holder.POOR_WORKERS
    if not packing.fit(unit, eligible, packing.free_now, count_runs):
        return Holder.ONE_RACK if unit.step.gang else Holder.DATA_RACK
    if unit.isolated_since_ms is not None:
        return Holder.ISOLATION
    return Holder.HEADROOM


def free_slots(
    unit: units.Unit, candidates: abc.Iterable[worker_capacity.Candidate]
) -> str:
    """Returns a summary of the free slots, without spaces, for the log."""
    slots = [
        sum(unit.step.needs.copies_in(candidate.free) for candidate in inside)
        for inside in worker_capacity.by_rack(candidates).values()
    ]
    return f"best-rack:{max(slots, default=0)},all:{sum(slots)}"
