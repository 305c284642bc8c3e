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


@dataclasses.dataclass(frozen=True, slots=True, eq=False)
class Victim:
    """Runs that end together, and what stopping them costs.

    Each is equal to itself only: comparing all runs took most of a plan.

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
    together: dict[tuple[model.StepKey, int], list[model.RunId]] = {}
    for run in ledger.runs:
        job = ledger.jobs[run.task.job_id].job
        if job.terms.priority <= priority or run in stopping:
            continue
        task = run.task
        gang = job.steps[task.step].gang
        index = -1 if gang else task.index
        key = (task.step_key, index)
        together.setdefault(key, []).append(run)
    return [_victim(ledger, runs, now_ms) for runs in together.values()]


def evict(
    unit: units.Unit,
    rooms: abc.Sequence[room_module.Room],
    victims: abc.Sequence[Victim],
    count_on: packing.CountOn,
    fast_first: bool,
) -> Eviction | None:
    """Returns the cheapest way found to fit a unit, or None if there is none.

    Args:
        unit: An urgent unit that fits neither now nor soon.
        rooms: The workers that may run it.
        victims: What may be stopped.
        count_on: How many tasks of a task's step a worker has already.
        fast_first: Whether slow workers are to be taken only if the fast
            ones do not suffice.
    """
    fast = [room for room in rooms if not packing.is_slow(room)]
    preferences = [fast, rooms] if fast_first else [rooms]
    for some in preferences:
        racks = room_module.by_rack(some)
        choices = [
            _evict_within(unit, inside, victims, count_on)
            for inside in racks.values()
        ]
        found = [choice for choice in choices if choice is not None]
        if found:
            return min(found, key=lambda one: sum(v.cost for v in one.victims))
    return _evict_within(unit, rooms, victims, count_on)


def _evict_within(
    unit: units.Unit,
    rooms: abc.Sequence[room_module.Room],
    victims: abc.Sequence[Victim],
    count_on: packing.CountOn,
) -> Eviction | None:
    """Stops what makes the next slot cheapest, until there are enough."""
    clearing = _Clearing(unit, rooms, victims)
    if not clearing.make_slots(len(unit.tasks)):
        return None
    clearing.prune(len(unit.tasks))
    assignment = packing.fit(unit, rooms, clearing.room_of, count_on)
    if len(assignment) < len(unit.tasks):
        return None  # at most so many tasks may run on one worker
    return Eviction(tuple(clearing.chosen), assignment)


class _Clearing:
    """Some rooms, and the victims that were chosen to make slots there.

    Args:
        unit: What is to fit.
        rooms: Where.
        victims: What may be stopped.
    """

    def __init__(
        self,
        unit: units.Unit,
        rooms: abc.Sequence[room_module.Room],
        victims: abc.Iterable[Victim],
    ) -> None:
        self.chosen: list[Victim] = []
        self._needs = unit.step.needs
        self._soon_free = {
            room.worker.worker_id: room.soon_free for room in rooms
        }
        self._on_worker: dict[str, list[Victim]] = {}
        for victim in victims:
            for worker_id in victim.freed:
                if worker_id in self._soon_free:
                    self._on_worker.setdefault(worker_id, []).append(victim)
        for worker_id, there in self._on_worker.items():
            there.sort(key=lambda one: _price(one, worker_id))

    def room_of(self, room: room_module.Room) -> model.Resources:
        """Returns what is free soon in a room, the chosen ones gone."""
        return self._soon_free[room.worker.worker_id]

    def make_slots(self, wanted: int) -> bool:
        """Chooses victims until there are so many slots, if that can be."""
        while self._slots() < wanted:
            offers = [
                offer
                for worker_id in self._on_worker
                if (offer := self._next_slot(worker_id)) is not None
            ]
            if not offers:
                return False
            _, _, group = min(offers, key=lambda offer: offer[:2])
            for victim in group:
                self._choose(victim)
        return True

    def prune(self, wanted: int) -> None:
        """Leaves out victims without which there are enough slots as well.

        The dearest are tried first: each was chosen for one slot, and a gang
        that was chosen later may have freed it too.
        """
        for victim in sorted(self.chosen, key=lambda one: -one.cost):
            self._shift(victim, -1)
            if self._slots() >= wanted:
                self.chosen.remove(victim)
            else:
                self._shift(victim, 1)

    def _slots(self) -> int:
        return sum(
            self._needs.times_in(free) for free in self._soon_free.values()
        )

    def _next_slot(
        self, worker_id: str
    ) -> tuple[float, str, list[Victim]] | None:
        """Returns what one more slot on a worker costs, and its victims."""
        free = self._soon_free[worker_id]
        before = self._needs.times_in(free)
        cost = 0.0
        group: list[Victim] = []
        for victim in self._on_worker[worker_id]:
            if victim in self.chosen:
                continue
            group.append(victim)
            cost += victim.cost
            free += victim.freed[worker_id]
            gained = self._needs.times_in(free) - before
            if gained > 0:
                return cost / gained, worker_id, group
        return None

    def _choose(self, victim: Victim) -> None:
        self.chosen.append(victim)
        self._shift(victim, 1)

    def _shift(self, victim: Victim, sign: int) -> None:
        """Adds what a victim frees to the rooms, or takes it away again."""
        for worker_id, freed in victim.freed.items():
            if worker_id not in self._soon_free:
                continue
            if sign > 0:
                self._soon_free[worker_id] += freed
            else:
                self._soon_free[worker_id] -= freed


def _price(victim: Victim, worker_id: str) -> float:
    """Returns the cost for each core that it frees on a worker."""
    return victim.cost / max(model.weight(victim.freed[worker_id]), 0.001)


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
