"""Which runs to stop so that an urgent unit fits.

The cheapest sufficient set is sought greedily: for each task the worker on
which the least work is lost. A gang's member counts for its whole gang,
since stopping one stops all.
"""

import dataclasses
import functools
from collections import abc

from laburnumsill.batch import ledger as ledgers
from laburnumsill.batch import model
from laburnumsill.batch import packing
from laburnumsill.batch import policy as policies
from laburnumsill.batch import records
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


class Victims:
    """What may be stopped, by the workers where it runs.

    Args:
        victims: All of it.
    """

    def __init__(self, victims: abc.Iterable[Victim]) -> None:
        self._on_worker: dict[str, list[Victim]] = {}
        self._all_freed: dict[str, model.Resources] = {}
        for victim in victims:
            for worker_id, freed in victim.freed.items():
                self._on_worker.setdefault(worker_id, []).append(victim)
                self._all_freed[worker_id] = self.freed_on(worker_id) + freed
        for worker_id, there in self._on_worker.items():
            there.sort(key=functools.partial(_price, worker_id))

    def on_worker(self, worker_id: str) -> abc.Sequence[Victim]:
        """Returns those that run on a worker, the cheapest first."""
        return self._on_worker.get(worker_id, ())

    def freed_on(self, worker_id: str) -> model.Resources:
        """Returns what all of them free on a worker."""
        return self._all_freed.get(worker_id, _NOTHING)

    def remove(self, victim: Victim) -> None:
        """Takes out one that is being stopped."""
        for worker_id, freed in victim.freed.items():
            self._on_worker[worker_id].remove(victim)
            self._all_freed[worker_id] -= freed


_NOTHING = model.Resources()


def victims_below(
    ledger: ledgers.BatchLedger,
    priority: int,
    stopping: abc.Set[model.RunId],
    now_ms: int,
) -> list[Victim]:
    """Returns what may be stopped for a unit of a priority."""
    found: list[Victim] = []
    for key, runs in ledger.runs_of_steps.items():
        job = ledger.jobs[key[0]].job
        if job.terms.priority <= priority:
            continue
        step = job.steps[key[2]]
        left = [run for run in runs.values() if run.run not in stopping]
        if not step.gang:
            found += [_victim(step, (run,), now_ms) for run in left]
        elif left:
            found.append(_victim(step, left, now_ms))
    return found


def evict(
    unit: units.Unit,
    rooms: abc.Sequence[room_module.Room],
    victims: Victims,
    count_on: packing.CountOn,
    fast_first: bool,
    policy: policies.Policy = policies.ALL,
) -> Eviction | None:
    """Returns the cheapest way found to fit a unit, or None if there is none.

    Args:
        unit: An urgent unit that fits neither now nor soon.
        rooms: The workers that may run it.
        victims: What may be stopped.
        count_on: How many tasks of a task's step a worker has already.
        fast_first: Whether slow workers are to be taken only if the fast
            ones do not suffice.
        policy: Which mechanisms are in use.
    """
    fast = [room for room in rooms if not packing.is_slow(room)]
    preferences = [fast, rooms] if fast_first else [rooms]
    for some in preferences:
        racks = room_module.by_rack(some)
        choices = [
            _evict_within(unit, inside, victims, count_on, policy)
            for inside in racks.values()
        ]
        found = [choice for choice in choices if choice is not None]
        if found:
            return min(found, key=lambda one: sum(v.cost for v in one.victims))
    return _evict_within(unit, rooms, victims, count_on, policy)


def _evict_within(
    unit: units.Unit,
    rooms: abc.Sequence[room_module.Room],
    victims: Victims,
    count_on: packing.CountOn,
    policy: policies.Policy,
) -> Eviction | None:
    """Stops what makes the next slot cheapest, until there are enough."""
    clearing = _Clearing(unit.step.needs, rooms, victims, policy.cheapest_slot)
    if not clearing.make_slots(len(unit.tasks)):
        return None
    if policy.pruning:
        clearing.prune(len(unit.tasks))
    assignment = packing.fit(unit, rooms, clearing.room_of, count_on)
    if len(assignment) < len(unit.tasks):
        return None  # at most so many tasks may run on one worker
    return Eviction(tuple(clearing.chosen), assignment)


@dataclasses.dataclass(frozen=True, slots=True)
class _Offer:
    """What one more slot on a worker takes.

    Attributes:
        cost: Core-seconds that are lost, for each slot that is gained.
        worker_id: The worker.
        victims: What has to be stopped.
    """

    cost: float
    worker_id: str
    victims: tuple[Victim, ...]


class _Clearing:
    """Some rooms, and the victims that were chosen to make slots there.

    Args:
        needs: What one slot takes.
        rooms: Where.
        victims: What may be stopped.
        cheapest: Whether the cheapest slot is made next, not any.
    """

    def __init__(
        self,
        needs: model.Resources,
        rooms: abc.Sequence[room_module.Room],
        victims: Victims,
        cheapest: bool,
    ) -> None:
        self.chosen: list[Victim] = []
        self._needs = needs
        self._cheapest = cheapest
        self._victims = victims
        self._soon_free = {
            room.worker.worker_id: room.soon_free for room in rooms
        }
        self._slots = sum(
            needs.times_in(free) for free in self._soon_free.values()
        )
        self._offers: dict[str, _Offer] = {}

    def room_of(self, room: room_module.Room) -> model.Resources:
        """Returns what is free soon in a room, the chosen ones gone."""
        return self._soon_free[room.worker.worker_id]

    def make_slots(self, wanted: int) -> bool:
        """Chooses victims until there are so many slots, if that can be."""
        if self._most_slots() < wanted:
            return False
        for worker_id in self._soon_free:
            self._renew_offer(worker_id)
        while self._slots < wanted:
            if not self._offers:
                return False
            best = min(
                self._offers.values(),
                key=lambda offer: (
                    offer.cost if self._cheapest else 0.0,
                    offer.worker_id,
                ),
            )
            for victim in best.victims:
                self._choose(victim)
        return True

    def prune(self, wanted: int) -> None:
        """Leaves out victims without which there are enough slots as well.

        The dearest are tried first: each was chosen for one slot, and a gang
        that was chosen later may have freed it too.
        """
        for victim in sorted(self.chosen, key=lambda one: -one.cost):
            self._shift(victim, -1)
            if self._slots >= wanted:
                self.chosen.remove(victim)
            else:
                self._shift(victim, 1)

    def _most_slots(self) -> int:
        """Returns how many slots there would be with all victims gone."""
        return sum(
            self._needs.times_in(free + self._victims.freed_on(worker_id))
            for worker_id, free in self._soon_free.items()
        )

    def _renew_offer(self, worker_id: str) -> None:
        """Finds the victims for one more slot on a worker anew."""
        self._offers.pop(worker_id, None)
        free = self._soon_free[worker_id]
        before = self._needs.times_in(free)
        cost = 0.0
        group: list[Victim] = []
        for victim in self._victims.on_worker(worker_id):
            if victim in self.chosen:
                continue
            group.append(victim)
            cost += victim.cost
            free += victim.freed[worker_id]
            gained = self._needs.times_in(free) - before
            if gained > 0:
                self._offers[worker_id] = _Offer(
                    cost / gained, worker_id, tuple(group)
                )
                return

    def _choose(self, victim: Victim) -> None:
        self.chosen.append(victim)
        self._shift(victim, 1)
        for worker_id in victim.freed:
            if worker_id in self._soon_free:
                self._renew_offer(worker_id)

    def _shift(self, victim: Victim, sign: int) -> None:
        """Adds what a victim frees to the rooms, or takes it away again."""
        for worker_id, freed in victim.freed.items():
            before = self._soon_free.get(worker_id)
            if before is None:
                continue
            after = before + freed if sign > 0 else before - freed
            self._soon_free[worker_id] = after
            self._slots += self._needs.times_in(after)
            self._slots -= self._needs.times_in(before)


def _price(worker_id: str, victim: Victim) -> float:
    """Returns the cost for each core that it frees on a worker."""
    return victim.cost / max(model.weight(victim.freed[worker_id]), 0.001)


def _victim(
    step: model.Step, runs: abc.Sequence[records.RunRecord], now_ms: int
) -> Victim:
    """Returns runs of one step that end together."""
    freed: dict[str, model.Resources] = {}
    lost_s = 0.0
    for run in runs:
        there = freed.get(run.worker_id)
        freed[run.worker_id] = there + step.needs if there else step.needs
        ran_s = max(0.0, (now_ms - run.placed_ms) / 1000)
        lost_s += min(ran_s, SAVED_WORK_S) if step.saves_progress else ran_s
    cost = DISTURBANCE_CORE_S + lost_s * model.weight(step.needs)
    return Victim(tuple(run.run for run in runs), cost, freed)
