"""Which runs to stop so that an urgent unit fits.

The cheapest sufficient set is sought greedily: for each task the worker on
which the least work is lost. A gang's member counts for its whole gang,
since stopping one stops all.
"""

import dataclasses
from collections import abc

from laburnumsill.batch import ledger as ledgers
from laburnumsill.batch import model
from laburnumsill.batch import packing
from laburnumsill.batch import rooms as room_module
from laburnumsill.batch import units

SAVED_WORK_S = 1.0
"""Work lost at most by a step that saves progress, in seconds: the users'
workers save once a second."""

DISTURBANCE_CORE_S = 20.0
"""What any stop costs beside the work lost, in core-seconds: a start, the
restoring, and the time of a job that may have been in time."""


@dataclasses.dataclass(frozen=True, slots=True)
class Victim:
    """Runs that end together, and what stopping them costs.

    Attributes:
        runs: One run, or all of a gang.
        cost: Core-seconds of work that would be lost.
        freed: What each worker gets back.
    """

    runs: tuple[model.RunId, ...]
    cost: float
    freed: abc.Mapping[str, model.Resources]


@dataclasses.dataclass(frozen=True, slots=True)
class Eviction:
    """Runs to stop, and where the unit goes when they have ended."""

    victims: tuple[Victim, ...]
    assignment: packing.Assignment


def victims_below(
    ledger: ledgers.BatchLedger,
    priority: int,
    stopping: abc.Set[model.RunId],
    now_ms: int,
) -> list[Victim]:
    """Returns what may be stopped for a unit of a priority."""
    together: dict[tuple[str, int, int, int], list[model.RunId]] = {}
    for run in ledger.runs:
        job = ledger.jobs[run.task.job_id].job
        if job.terms.priority <= priority or run in stopping:
            continue
        task = run.task
        gang = job.steps[task.step].gang
        index = -1 if gang else task.index
        key = (task.job_id, task.occurrence, task.step, index)
        together.setdefault(key, []).append(run)
    return [_victim(ledger, runs, now_ms) for runs in together.values()]


def evict(
    unit: units.Unit,
    rooms: abc.Sequence[room_module.Room],
    victims: abc.Sequence[Victim],
    count_on: packing.CountOn,
) -> Eviction | None:
    """Returns the cheapest way found to fit a unit, or None if there is none.

    Args:
        unit: An urgent unit that fits neither now nor soon.
        rooms: The workers that may run it.
        victims: What may be stopped.
        count_on: How many tasks of a task's step a worker has already.
    """
    racks = room_module.by_rack(rooms)
    choices = [
        _evict_within(unit, r, victims, count_on) for r in racks.values()
    ]
    found = [choice for choice in choices if choice is not None]
    if not found:
        return _evict_within(unit, rooms, victims, count_on)
    return min(found, key=lambda one: sum(v.cost for v in one.victims))


def _evict_within(
    unit: units.Unit,
    rooms: abc.Sequence[room_module.Room],
    victims: abc.Sequence[Victim],
    count_on: packing.CountOn,
) -> Eviction | None:
    """Stops victims one by one, the cheapest for their room first."""
    inside = {room.worker.worker_id for room in rooms}
    useful = [v for v in victims if inside & v.freed.keys()]
    useful.sort(key=lambda victim: _price(victim, inside))
    chosen: list[Victim] = []
    for victim in useful:
        chosen.append(victim)
        found = _fit_after(unit, rooms, chosen, count_on)
        if len(found) == len(unit.tasks):
            return _pruned(unit, rooms, chosen, count_on)
    return None


def _pruned(
    unit: units.Unit,
    rooms: abc.Sequence[room_module.Room],
    chosen: list[Victim],
    count_on: packing.CountOn,
) -> Eviction:
    """Leaves out the victims without which the unit fits as well.

    The dearest are tried first. Victims were added until the unit fitted, so
    some of them freed room that it does not use.
    """
    for victim in sorted(chosen, key=lambda one: -one.cost):
        others = [one for one in chosen if one is not victim]
        if len(_fit_after(unit, rooms, others, count_on)) == len(unit.tasks):
            chosen = others
    assignment = _fit_after(unit, rooms, chosen, count_on)
    return Eviction(tuple(chosen), assignment)


def _fit_after(
    unit: units.Unit,
    rooms: abc.Sequence[room_module.Room],
    victims: abc.Iterable[Victim],
    count_on: packing.CountOn,
) -> packing.Assignment:
    """Returns where a unit fits once some victims have ended."""
    extra: dict[str, model.Resources] = {}
    for victim in victims:
        for worker_id, freed in victim.freed.items():
            known = extra.get(worker_id, model.Resources())
            extra[worker_id] = known + freed

    def room_of(room: room_module.Room) -> model.Resources:
        more = extra.get(room.worker.worker_id)
        return room.soon_free + more if more else room.soon_free

    return packing.fit(unit, rooms, room_of, count_on)


def _price(victim: Victim, inside: abc.Set[str]) -> float:
    """Returns the cost for each accelerator that it frees in these rooms."""
    freed = sum(
        model.weight(amount)
        for worker_id, amount in victim.freed.items()
        if worker_id in inside
    )
    return victim.cost / max(freed, 0.001)


def _victim(
    ledger: ledgers.BatchLedger, runs: list[model.RunId], now_ms: int
) -> Victim:
    freed: dict[str, model.Resources] = {}
    cost = DISTURBANCE_CORE_S
    for run in runs:
        record = ledger.runs[run]
        needs = ledger.needs_of(run)
        freed[record.worker_id] = (
            freed.get(record.worker_id, model.Resources()) + needs
        )
        step = ledger.jobs[run.task.job_id].job.steps[run.task.step]
        ran_s = max(0.0, (now_ms - record.placed_ms) / 1000)
        lost_s = min(ran_s, SAVED_WORK_S) if step.saves_progress else ran_s
        cost += lost_s * model.weight(needs)
    return Victim(tuple(runs), cost, freed)
