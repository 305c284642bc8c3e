"""Which rooms a gang that waits long keeps from others until it fits.

Without that, small tasks take each room as it becomes free, and the gang never
sees all that it needs free at one time.
"""

import dataclasses
from collections import abc

from laburnumsill.batch import ledger as ledgers
from laburnumsill.batch import packing
from laburnumsill.batch import records
from laburnumsill.batch import rooms as room_module
from laburnumsill.batch import units


@dataclasses.dataclass(frozen=True, slots=True)
class Kept:
    """What a gang keeps.

    Attributes:
        rack: The rack that holds it, "" if it spans racks.
        slots: The rooms, and for how many of its tasks each is kept.
    """

    rack: str
    slots: abc.Sequence[tuple[room_module.Room, int]]


def rooms_for(
    unit: units.Unit, rooms: abc.Sequence[room_module.Room], rack_before: str
) -> Kept | None:
    """Returns what a gang keeps, or None if its pool cannot hold it.

    It keeps one rack if any could hold it, and rooms all over the pool only if
    none could. A gang that cannot run anyhow keeps nothing: others may run.

    Args:
        unit: The gang.
        rooms: The workers that may run it.
        rack_before: The rack that it has kept until now, or "". That has
            emptied since and stays chosen as long as it could hold the gang.
    """
    racks = packing.racks_that_hold(unit, rooms)
    if not racks:
        return _kept(unit, "", rooms)
    rack = rack_before
    if rack not in racks:
        rack = max(racks, key=lambda name: _slots_soon(unit, racks[name]))
    return _kept(unit, rack, racks[rack])


def whole_at_ms(
    unit: units.Unit,
    kept: Kept,
    ledger: ledgers.BatchLedger,
    now_ms: int,
    step_ms: units.StepMs,
) -> float:
    """Returns when all that a gang keeps will probably be free, ms since 1970.

    Args:
        unit: The gang.
        kept: What it is about to keep.
        ledger: What runs there.
        now_ms: Wall time, ms since 1970.
        step_ms: Returns how long a task of a step takes, in ms.
    """
    ends = [
        _expected_end_ms(run, ledger, now_ms, step_ms)
        for room, count in kept.slots
        if unit.step.needs.times_in(room.free) < count
        for run in ledger.runs_on(room.worker.worker_id).values()
    ]
    return max(ends, default=0.0)


def _expected_end_ms(
    run: records.RunRecord,
    ledger: ledgers.BatchLedger,
    now_ms: int,
    step_ms: units.StepMs,
) -> float:
    """Returns when a run will probably end.

    One that takes longer than expected will go on for half as long as it has
    run: times differ by factors.
    """
    task = run.run.task
    job = ledger.jobs[task.job_id].job
    expected_ms = run.placed_ms + step_ms(job, task.step)
    ran_ms = now_ms - run.placed_ms
    return max(expected_ms, now_ms + ran_ms / 2)


def _slots_soon(unit: units.Unit, rooms: abc.Iterable[room_module.Room]) -> int:
    """Returns for how many tasks there will be room soon."""
    return sum(unit.step.needs.times_in(room.soon_free) for room in rooms)


def _kept(
    unit: units.Unit, rack: str, rooms: abc.Iterable[room_module.Room]
) -> Kept | None:
    """Returns the emptiest of some rooms that could hold a gang."""
    slots = []
    left = len(unit.tasks)
    for room in sorted(rooms, key=_emptiest_first):
        count = min(left, packing.slots_at_best(unit, room))
        if count:
            slots.append((room, count))
            left -= count
    return Kept(rack, slots) if not left else None


def _emptiest_first(room: room_module.Room) -> tuple[int, str]:
    """Orders rooms by what of them will be free soon, the most first.

    What is kept for a gang gets no new runs and empties further, so the same
    rooms are chosen at the next plan, or ones that are emptier still.
    """
    return (-room.soon_free.accelerators, room.worker.worker_id)
