"""Preemption: choice of the runs to stop so that an urgent unit fits.

A greedy search for a cheap sufficient set: for each task, the worker on which
the least work is lost. A gang member counts as its whole gang, since stopping
one member stops all of them.
"""

import dataclasses
import functools
from collections import abc

from laburnumsill.batch import ledger as ledgers
from laburnumsill.batch import model
from laburnumsill.batch import packing
from laburnumsill.batch import policy as policies
from laburnumsill.batch import records
from laburnumsill.batch import units
from laburnumsill.batch import worker_capacity

MAX_UNSAVED_WORK_S = 1.0
"""Work that a run with saved progress loses at most, in seconds, where
workers save it at intervals only: the users' workers do so once a second."""

PREEMPTION_COST_CORE_S = 20.0
"""Cost of any preemption besides the lost work, in core-seconds: another start,
restoring saved progress, and the delay of a job that might otherwise have met
its objective."""


@dataclasses.dataclass(frozen=True, slots=True, eq=False)
class Victim:
    """Runs that can only be stopped together, and the cost of that.

    Victims are compared by identity: comparing their runs took most of the
    time of a plan.

    Attributes:
        runs: One run, or all runs of a gang.
        cost: Cost of the preemption, in core-seconds.
        freed: Freed resources by worker.
    """

    runs: tuple[model.RunId, ...]
    cost: float
    freed: abc.Mapping[str, model.Resources]


@dataclasses.dataclass(frozen=True, slots=True)
class Preemption:
    """Runs to stop, and the assignment of the unit after they have ended."""

    victims: tuple[Victim, ...]
    assignment: packing.Assignment


class Victims:
    """Possible victims, indexed by worker.

    Args:
        victims: All possible victims.
    """

    def __init__(self, victims: abc.Iterable[Victim]) -> None:
        self._on_worker: dict[str, list[Victim]] = {}
        self._all_freed: dict[str, model.Resources] = {}
        for victim in victims:
            for worker_id, freed in victim.freed.items():
                self._on_worker.setdefault(worker_id, []).append(victim)
                self._all_freed[worker_id] = self.freed_on(worker_id) + freed
        for worker_id, on_worker in self._on_worker.items():
            on_worker.sort(key=functools.partial(_cost_per_core, worker_id))

    def on_worker(self, worker_id: str) -> abc.Sequence[Victim]:
        """Returns the victims on a worker, cheapest per freed core first."""
        return self._on_worker.get(worker_id, ())

    def freed_on(self, worker_id: str) -> model.Resources:
        """Returns the resources that all victims together free on a worker."""
        return self._all_freed.get(worker_id, _NO_RESOURCES)

    def remove(self, victim: Victim) -> None:
        """Removes a victim that is being stopped."""
        for worker_id, freed in victim.freed.items():
            self._on_worker[worker_id].remove(victim)
            self._all_freed[worker_id] -= freed


_NO_RESOURCES = model.Resources()


def victims_below(
    ledger: ledgers.BatchLedger,
    priority: int,
    stopping: abc.Set[model.RunId],
    now_ms: int,
    restore_ms: int | None = None,
) -> list[Victim]:
    """Returns the victims for a unit of a priority: runs of lower priority.

    Args:
        ledger: The jobs and their live runs.
        priority: Priority of the unit.
        stopping: Runs that were ordered to stop already.
        now_ms: Wall time, ms since 1970.
        restore_ms: Time in which a worker restores progress that was saved at
            a stop, in ms; None if workers save none then.
    """
    restore_s = MAX_UNSAVED_WORK_S if restore_ms is None else restore_ms / 1000
    below: list[Victim] = []
    for key, runs in ledger.runs_by_step.items():
        job = ledger.jobs[key[0]].job
        if job.terms.priority <= priority:
            continue
        step = job.steps[key[2]]
        left = [run for run in runs.values() if run.run not in stopping]
        if not step.gang:
            below += [
                _make_victim(step, (run,), now_ms, restore_s) for run in left
            ]
        elif left:
            below.append(_make_victim(step, left, now_ms, restore_s))
    return below


def find_preemption(
    unit: units.Unit,
    candidates: abc.Sequence[worker_capacity.Candidate],
    victims: Victims,
    count_runs: packing.CountRuns,
    fast_first: bool,
    policy: policies.Policy = policies.ALL,
) -> Preemption | None:
    """Returns the cheapest preemption found for a unit, or None.

    Args:
        unit: An urgent unit that fits neither now nor soon.
        candidates: The workers that may run it.
        victims: The possible victims.
        count_runs: Returns how many runs of a task's step a worker has.
        fast_first: Whether slow workers are used only if the fast ones are
            not enough.
        policy: The mechanisms in use.
    """
    fast = [
        candidate for candidate in candidates if not packing.is_slow(candidate)
    ]
    preferences = [fast, candidates] if fast_first else [candidates]
    for preferred in preferences:
        racks = worker_capacity.by_rack(preferred)
        preemptions = [
            _preemption_on(unit, inside, victims, count_runs, policy)
            for inside in racks.values()
        ]
        sufficient = [choice for choice in preemptions if choice is not None]
        if sufficient:
            return min(
                sufficient,
                key=lambda choice: sum(v.cost for v in choice.victims),
            )
    return _preemption_on(unit, candidates, victims, count_runs, policy)


def _preemption_on(
    unit: units.Unit,
    candidates: abc.Sequence[worker_capacity.Candidate],
    victims: Victims,
    count_runs: packing.CountRuns,
    policy: policies.Policy,
) -> Preemption | None:
    """Returns the preemption that frees slots on some workers, or None."""
    selection = _VictimSelection(
        unit.step.needs, candidates, victims, policy.cheapest_slot
    )
    if not selection.make_slots(len(unit.tasks)):
        return None
    if policy.pruning:
        selection.prune(len(unit.tasks))
    assignment = packing.fit(unit, candidates, selection.available, count_runs)
    if len(assignment) < len(unit.tasks):
        return None  # the step's limit per worker leaves too few slots
    return Preemption(tuple(selection.chosen), assignment)


@dataclasses.dataclass(frozen=True, slots=True)
class _Option:
    """A way to gain at least one more slot on a worker.

    Attributes:
        cost: Cost for each slot that is gained, in core-seconds.
        worker_id: The worker.
        victims: The victims that have to be stopped.
    """

    cost: float
    worker_id: str
    victims: tuple[Victim, ...]


class _VictimSelection:
    """Greedy choice of victims that free slots on some workers.

    Args:
        needs: Resources of one slot.
        candidates: The workers.
        victims: The possible victims.
        cheapest: Whether the next slot is the cheapest one rather than any.

    Attributes:
        chosen: The victims chosen until now.
    """

    def __init__(
        self,
        needs: model.Resources,
        candidates: abc.Sequence[worker_capacity.Candidate],
        victims: Victims,
        cheapest: bool,
    ) -> None:
        self.chosen: list[Victim] = []
        self._needs = needs
        self._cheapest = cheapest
        self._victims = victims
        self._soon_free = {
            candidate.worker.worker_id: candidate.soon_free
            for candidate in candidates
        }
        self._slots = sum(
            needs.copies_in(free) for free in self._soon_free.values()
        )
        self._options: dict[str, _Option] = {}

    def available(
        self, candidate: worker_capacity.Candidate
    ) -> model.Resources:
        """Returns a worker's free capacity after the chosen victims end."""
        return self._soon_free[candidate.worker.worker_id]

    def make_slots(self, wanted: int) -> bool:
        """Chooses victims until there are enough slots.

        Returns:
            Whether there are as many slots as wanted.
        """
        if self._max_slots() < wanted:
            return False
        for worker_id in self._soon_free:
            self._update_option(worker_id)
        while self._slots < wanted:
            if not self._options:
                return False
            best = min(
                self._options.values(),
                key=lambda option: (
                    option.cost if self._cheapest else 0.0,
                    option.worker_id,
                ),
            )
            for victim in best.victims:
                self._choose(victim)
        return True

    def prune(self, wanted: int) -> None:
        """Removes victims that are not needed for the wanted slots.

        A victim was chosen for one slot, which a gang that was chosen later
        may free as well. The most expensive victims are tried first.
        """
        for victim in sorted(self.chosen, key=lambda victim: -victim.cost):
            self._apply(victim, -1)
            if self._slots >= wanted:
                self.chosen.remove(victim)
            else:
                self._apply(victim, 1)

    def _max_slots(self) -> int:
        """Returns how many slots there would be if all victims were stopped."""
        return sum(
            self._needs.copies_in(free + self._victims.freed_on(worker_id))
            for worker_id, free in self._soon_free.items()
        )

    def _update_option(self, worker_id: str) -> None:
        """Recomputes the victims for one more slot on a worker."""
        self._options.pop(worker_id, None)
        free = self._soon_free[worker_id]
        before = self._needs.copies_in(free)
        cost = 0.0
        group: list[Victim] = []
        for victim in self._victims.on_worker(worker_id):
            if victim in self.chosen:
                continue
            group.append(victim)
            cost += victim.cost
            free += victim.freed[worker_id]
            gained = self._needs.copies_in(free) - before
            if gained > 0:
                self._options[worker_id] = _Option(
                    cost / gained, worker_id, tuple(group)
                )
                return

    def _choose(self, victim: Victim) -> None:
        self.chosen.append(victim)
        self._apply(victim, 1)
        for worker_id in victim.freed:
            if worker_id in self._soon_free:
                self._update_option(worker_id)

    def _apply(self, victim: Victim, sign: int) -> None:
        """Adds the resources that a victim frees, or subtracts them again."""
        for worker_id, freed in victim.freed.items():
            before = self._soon_free.get(worker_id)
            if before is None:
                continue
            after = before + freed if sign > 0 else before - freed
            self._soon_free[worker_id] = after
            self._slots += self._needs.copies_in(after)
            self._slots -= self._needs.copies_in(before)


def _cost_per_core(worker_id: str, victim: Victim) -> float:
    """Returns a victim's cost for each core that it frees on a worker."""
    return victim.cost / max(
        model.core_equivalents(victim.freed[worker_id]), 0.001
    )


def _make_victim(
    step: model.Step,
    runs: abc.Sequence[records.RunRecord],
    now_ms: int,
    restore_s: float,
) -> Victim:
    """Returns the victim that consists of some runs of one step.

    A run that saves its progress loses `restore_s` of work at most.
    """
    freed: dict[str, model.Resources] = {}
    lost_s = 0.0
    for run in runs:
        before = freed.get(run.worker_id)
        freed[run.worker_id] = before + step.needs if before else step.needs
        ran_s = max(0.0, (now_ms - run.placed_ms) / 1000)
        lost_s += min(ran_s, restore_s) if step.saves_progress else ran_s
    cost = PREEMPTION_COST_CORE_S + lost_s * model.core_equivalents(step.needs)
    return Victim(tuple(run.run for run in runs), cost, freed)
