"""Planner: decides which runs to place and to stop, as a pure function.

Units are planned in order of priority and objective. A unit that fits is
placed. An urgent unit that does not fit is allocated capacity that is about to
be freed; if that is not enough, it preempts the cheapest runs of lower
priority. A gang that has waited long gets a reservation (see `reservations`),
so that small tasks do not starve it; so does an urgent gang for which no
preemption is possible.
"""

import functools
import itertools
from collections import abc

from laburnumsill.batch import commands
from laburnumsill.batch import headroom
from laburnumsill.batch import isolation
from laburnumsill.batch import model
from laburnumsill.batch import obstacles
from laburnumsill.batch import packing
from laburnumsill.batch import placement_checks
from laburnumsill.batch import plan_candidates
from laburnumsill.batch import plans
from laburnumsill.batch import preemption
from laburnumsill.batch import reservations
from laburnumsill.batch import standing
from laburnumsill.batch import unheard_workers
from laburnumsill.batch import units
from laburnumsill.batch import worker_capacity

RESERVE_AFTER_MS = 3_000
"""Waiting time after which a gang gets a reservation, in ms: about half the run
time of the users' background tasks."""

SPREAD_AFTER_MS = 1_500
"""Waiting time after which a gang may span racks if most of its pool is free,
in ms: the free capacity would otherwise stay unused. A step without runs may
use reserved capacity after the same time."""

ISOLATION_TIMEOUT_MS = 1_000
"""Time for which a task that is suspected of crashing its worker waits for an
idle worker, in ms; after that it goes to the worker with the fewest runs. Its
job may stand for 3 s, of which a crash is noted up to 1.5 s late, at the next
announcement from the worker's address."""

BACKFILL_TIME_FACTOR = 3
"""Factor on the expected run time of a task that backfills a reservation: it
must end before the gang starts even if it takes this many times as long. The
error of the users' declared times is log-normal with a sigma of 0.5 to 0.9;
3 is e to the 1.1."""

EXCLUSIVE_AFTER_MS = 40_000
"""Waiting time of a gang after which units that stand in a busy pool may not
use its reservation, in ms: several run times of the users' background tasks.
Before, much of the pool would be idle for it."""

MAX_RESERVATIONS = 1
"""Reservations at a time; more would leave too much of the site idle."""


def plan(planner_input: plans.PlannerInput) -> plans.Plan:
    """Returns the runs to place and to stop.

    Does not look at the workers if no unit waits, which is the case at most
    events of a site with little load.
    """
    waiting = units.ready_units(
        planner_input.ledger,
        planner_input.now_ms,
        planner_input.step_ms,
        planner_input.is_paused,
    )
    if not waiting:
        unbegun = standing.without_begun(
            planner_input.standing_since_ms, planner_input.ledger, ()
        )
        return plans.Plan([], [], [], standing_since_ms=unbegun)
    return _Planner(planner_input).run(waiting)


class _Planner:
    """Makes one plan; units planned earlier reduce the capacity for later ones.

    Args:
        planner_input: The input of the planner.
    """

    def __init__(self, planner_input: plans.PlannerInput) -> None:
        self._input = planner_input
        self._ledger = planner_input.ledger
        self._policy = planner_input.policy
        self._plan = plans.Plan([], [], [])
        self._candidates = plan_candidates.PlanCandidates(
            worker_capacity.find_candidates(
                planner_input.ledger,
                planner_input.usable,
                planner_input.stopping,
                planner_input.slowness,
            ),
            self._find_unusable,
            planner_input.avoided_workers,
            planner_input.now_ms,
        )
        self._urgent_demand = headroom.urgent_demand(planner_input.ledger)
        self._unheard: list[worker_capacity.Candidate] | None = None
        self._held_pools: set[str] = set()
        self._victims: preemption.Victims | None = None
        self._reservations = 0
        self._reservation_start_ms = 0.0
        self._reserved_for = ""
        self._reservation_is_exclusive = False
        self._running_jobs = standing.RunningJobs(
            planner_input.ledger, planner_input.usable | planner_input.unheard
        )

    def run(self, waiting: abc.Iterable[units.Unit]) -> plans.Plan:
        for unit in sorted(waiting, key=self._sort_key):
            self._plan_unit(unit)
        placed = {
            placement.run.task.step_key
            for group in self._plan.groups
            for placement in group
        }
        unbegun = standing.without_begun(
            self._input.standing_since_ms, self._ledger, placed
        )
        self._plan.standing_since_ms = unbegun | self._plan.standing_since_ms
        return self._plan

    def _sort_key(self, unit: units.Unit) -> tuple[object, ...]:
        return (
            unit.priority,
            not self._is_within_guarantee(unit),
            self._policy.in_time_first and not self._can_meet_objective(unit),
            unit.objective_ms,
            unit.key,
        )

    def _can_meet_objective(self, unit: units.Unit) -> bool:
        """Returns whether a unit that starts now can meet its objective."""
        return self._input.now_ms + unit.critical_path_ms <= unit.objective_ms

    def _is_within_guarantee(self, unit: units.Unit) -> bool:
        """Returns whether an urgent unit is within its account's guarantee."""
        if unit.priority != packing.URGENT_PRIORITY:
            return False
        account = unit.record.job.account
        guarantee = self._input.guarantees.get(account, 0)
        return self._urgent_demand[account] <= guarantee

    def _plan_unit(self, unit: units.Unit) -> None:
        """Places the tasks that fit; preempts or reserves for the others."""
        if self._is_held(unit):
            self._note_waiting(unit)
            return
        candidates = self._candidates.eligible(unit)
        assignment = (
            []
            if self._candidates.cannot_fit(unit)
            else self._fit(unit, candidates)
        )
        may_backfill = self._may_backfill() and self._may_share(unit)
        if len(assignment) < len(unit.tasks) and may_backfill:
            assignment = self._backfill(unit, candidates, assignment)
        assignment = self._within_headroom(unit, assignment)
        if not assignment and self._has_stood_long(unit):
            assignment = self._fit_standing(unit)
        self._place_tasks(unit, assignment)
        placed = {task for task, _ in assignment}
        unit.tasks = [task for task in unit.tasks if task not in placed]
        if not unit.tasks:
            return
        self._note_waiting(unit)
        if not self._may_share(unit):
            return
        if unit.priority == packing.URGENT_PRIORITY:
            self._preempt_for(unit, candidates)
        elif unit.step.gang:
            self._reserve_for(unit, candidates)

    def _fit(
        self, unit: units.Unit, candidates: list[worker_capacity.Candidate]
    ) -> packing.Assignment:
        """Returns an assignment that isolates suspects where possible."""
        if not self._ledger.crashes.suspects:
            return self._fit_in_free(unit, candidates)
        fit = functools.partial(self._fit_in_free, unit)
        if unit.isolated_since_ms is None:
            return isolation.fit_regular(unit, candidates, fit)
        return isolation.fit_suspect(
            unit, candidates, fit, self._may_share(unit)
        )

    def _fit_in_free(
        self,
        unit: units.Unit,
        candidates: abc.Sequence[worker_capacity.Candidate],
    ) -> packing.Assignment:
        return packing.fit(
            unit,
            candidates,
            packing.free_now,
            self._count_runs,
            unit.step.gang and self._may_spread(unit, candidates),
        )

    def _has_stood_long(self, unit: units.Unit) -> bool:
        """Returns whether a unit stands and must not wait any longer."""
        since_ms = self._input.standing_since_ms.get(unit.key)
        if since_ms is None or not self._may_share(unit):
            return False
        stood_ms = self._input.steady_ms - since_ms
        return stood_ms >= standing.MAX_STANDING_MS and self._stands(unit)

    def _fit_standing(self, unit: units.Unit) -> packing.Assignment:
        """Returns an assignment of a unit that stands, to any idle capacity.

        Poor workers and capacity that is kept for others are used only if the
        rest does not suffice. Of a step whose tasks are placed one by one, one
        task makes the job move. Each task of a long-running step stands by
        itself, so all are placed.
        """
        kept = [packing.idle_now] if self._may_use_reservation(unit) else []
        choices = itertools.product(
            (self._candidates.eligible(unit), self._candidates.all_for(unit)),
            (packing.free_now, *kept),
        )
        for candidates, available in choices:
            assignment = packing.fit(
                unit, candidates, available, self._count_runs, may_spread=True
            )
            if assignment:
                break
        if not (unit.step.gang or unit.step.long_running):
            return assignment[:1]
        return self._within_headroom(unit, assignment, packing.idle_now)

    def _may_use_reservation(self, unit: units.Unit) -> bool:
        """Returns whether a unit that stands may use reserved capacity.

        In a busy pool a stream of units that stand would starve the gang.
        """
        return (
            not self._reservation_is_exclusive
            or self._candidates.is_mostly_free(unit)
        )

    def _may_share(self, unit: units.Unit) -> bool:
        """Returns whether a unit may share a worker with other runs."""
        since_ms = unit.isolated_since_ms
        if since_ms is None:
            return True
        # The wall clock may have been set back.
        isolated_ms = self._input.now_ms - since_ms
        return not 0 <= isolated_ms < ISOLATION_TIMEOUT_MS

    def _backfill(
        self,
        unit: units.Unit,
        candidates: list[worker_capacity.Candidate],
        assignment: packing.Assignment,
    ) -> packing.Assignment:
        """Returns an assignment that may use reserved capacity.

        Tasks that will end before the reserved gang starts may use it. So may
        a step that waits without runs while most of its pool is free. Of such
        a step one task is placed, so that its job makes progress; this delays
        the gang little, as the task goes to the worker with the least free
        capacity. Another gang is placed as a whole, but does not spread over
        racks for this: it would be slow and occupy the capacity for long.

        Args:
            unit: The tasks.
            candidates: The workers that may run them.
            assignment: The assignment without reserved capacity.
        """
        ends_before = self._ends_before_reservation(unit)
        if not ends_before and (assignment or not self._is_starved(unit)):
            return assignment
        assignment = packing.fit(
            unit, candidates, packing.free_or_reserved, self._count_runs
        )
        return assignment if ends_before or unit.step.gang else assignment[:1]

    def _may_backfill(self) -> bool:
        return self._reservations > 0 and self._policy.tasks_in_kept_room

    def _is_starved(self, unit: units.Unit) -> bool:
        """Returns whether a step waits without runs in a mostly free pool."""
        waited = self._input.now_ms - unit.waiting_since_ms
        if waited < SPREAD_AFTER_MS or unit.key in self._ledger.runs_by_step:
            return False
        return self._candidates.is_mostly_free(unit)

    def _within_headroom(
        self,
        unit: units.Unit,
        assignment: packing.Assignment,
        available: packing.Available = packing.free_now,
    ) -> packing.Assignment:
        """Returns the part of an assignment that leaves headroom."""
        wanted = self._input.headroom
        if not headroom.leaves_headroom(unit, wanted, self._input.now_ms):
            return assignment
        return headroom.limit(
            unit,
            assignment,
            self._candidates.all_for(unit),
            available,
            wanted,
            has_runs=unit.key in self._ledger.runs_by_step,
        )

    def _may_spread(
        self,
        unit: units.Unit,
        candidates: abc.Sequence[worker_capacity.Candidate],
    ) -> bool:
        """Returns whether a gang should span racks rather than wait for one."""
        if not self._policy.spreading:
            return False
        waited = self._input.now_ms - unit.waiting_since_ms
        return waited >= SPREAD_AFTER_MS and packing.mostly_free(
            candidates, packing.free_now
        )

    def _place_tasks(
        self, unit: units.Unit, assignment: packing.Assignment
    ) -> None:
        """Adds runs to the plan, as one group for a gang."""
        placements = []
        for task, candidate in assignment:
            candidate.allocate(unit.step.needs)
            candidate.run_count += 1
            candidate.has_suspect |= unit.isolated_since_ms is not None
            self._running_jobs.add(task.job_id)
            run = unit.next_run(task)
            placements.append(
                commands.Placement(run, candidate.worker.worker_id)
            )
        if unit.step.gang and placements:
            self._plan.groups.append(tuple(placements))
        else:
            self._plan.groups += [(placement,) for placement in placements]

    def _note_waiting(self, unit: units.Unit) -> None:
        """Adds a unit with tasks that were not placed to the plan's output."""
        self._plan.waiting.append(unit)
        if self._stands(unit):
            since_ms = self._input.standing_since_ms.get(
                unit.key, self._input.steady_ms
            )
            self._plan.standing_since_ms[unit.key] = since_ms
        if self._input.explain(unit.key):
            self._plan.obstacles[unit.key] = self._obstacle(unit)

    def _stands(self, unit: units.Unit) -> bool:
        """Returns whether a waiting unit stands still, see `standing`."""
        if not self._running_jobs.may_stand(unit):
            return False
        return self._candidates.may_have_room(
            unit, standing.ROOM_FACTOR
        ) and standing.has_room(
            unit, self._candidates.known_for(unit), self._count_runs
        )

    def _find_unusable(self) -> list[worker_capacity.Candidate]:
        """Returns the known workers on which nothing may be placed now."""
        unusable = {
            worker_id
            for worker_id, worker in self._ledger.workers.items()
            if worker_id not in self._input.usable
            and not self._ledger.is_evacuated(worker.domain)
        }
        found = worker_capacity.find_candidates(
            self._ledger,
            unusable,
            self._input.stopping,
            self._input.slowness,
        )
        return list(found.values())

    def _obstacle(self, unit: units.Unit) -> str:
        """Returns why a unit waits, without spaces, for the log."""
        candidates = self._candidates.eligible(unit)
        held = self._is_held(unit)
        holder = (
            obstacles.Holder.UNHEARD_WORKERS
            if held
            else obstacles.holder_of(unit, self._candidates, self._count_runs)
        )
        evacuated = "+".join(sorted(self._ledger.evacuated_domains))
        return (
            f"workers:{len(candidates)},"
            f"{obstacles.free_slots(unit, candidates)},"
            f"wanted:{len(unit.tasks)},kept-for-gangs:{self._reservations}"
            f",held-by:{holder}"
            + (f",kept-for:{self._reserved_for}" if self._reserved_for else "")
            + (f",evacuated:{evacuated}" if evacuated else "")
        )

    def _preempt_for(
        self, unit: units.Unit, candidates: list[worker_capacity.Candidate]
    ) -> None:
        """Allocates capacity that is about to be freed, else preempts runs."""
        soon = packing.fit(
            unit, candidates, packing.free_soon, self._count_runs
        )
        if len(soon) == len(unit.tasks):
            self._allocate(unit, soon)
            return
        if self._defers_preemption(unit, candidates):
            return
        chosen = preemption.find_preemption(
            unit,
            candidates,
            self._preemptible(),
            self._count_runs,
            self._needs_fast_workers(unit, candidates),
            self._policy,
        )
        if chosen is None:
            self._allocate(unit, soon)
            if unit.step.gang:
                self._reserve_for(unit, candidates)
            return
        for victim in chosen.victims:
            self._stop(victim, unit)
        self._allocate(unit, chosen.assignment)

    def _defers_preemption(
        self, unit: units.Unit, candidates: list[worker_capacity.Candidate]
    ) -> bool:
        """Defers the preemption for a unit that fits with unheard workers.

        The capacity of the assignment is allocated, and units of lower
        priority are not placed in the pool, so that none of them takes it.
        """
        if not self._input.unheard or not self._policy.deferral:
            return False
        if not unheard_workers.may_defer(
            unit, self._input.now_ms, self._input.stop_grace_ms
        ):
            return False
        if self._unheard is None:
            found = worker_capacity.find_candidates(
                self._ledger,
                self._input.unheard,
                self._input.stopping,
                self._input.slowness,
            )
            self._unheard = list(found.values())
        assignment = unheard_workers.fit_with_unheard(
            unit, candidates, self._unheard, self._count_runs
        )
        if not assignment:
            return False
        self._allocate(unit, assignment)
        self._held_pools.add(unit.pool)
        self._plan.deferred.append(unit)
        return True

    def _is_held(self, unit: units.Unit) -> bool:
        """Returns whether a unit waits since urgent ones wait for workers."""
        return (
            unit.priority != packing.URGENT_PRIORITY
            and unit.pool in self._held_pools
        )

    def _needs_fast_workers(
        self,
        unit: units.Unit,
        candidates: abc.Iterable[worker_capacity.Candidate],
    ) -> bool:
        """Returns whether a unit misses its objective on the slowest worker.

        It starts there after a preempted run has ended.
        """
        slowest = max(
            (candidate.slowness for candidate in candidates), default=1.0
        )
        start_ms = self._input.now_ms + self._input.stop_grace_ms
        end_ms = start_ms + slowest * unit.critical_path_ms
        return end_ms > unit.objective_ms

    def _preemptible(self) -> preemption.Victims:
        if self._victims is None:
            self._victims = preemption.Victims(
                preemption.victims_below(
                    self._ledger,
                    packing.URGENT_PRIORITY,
                    self._input.stopping,
                    self._input.now_ms,
                    self._input.restore_ms
                    if self._policy.saved_at_stop
                    else None,
                )
            )
        return self._victims

    def _stop(self, victim: preemption.Victim, unit: units.Unit) -> None:
        """Adds the stop of a victim to the plan."""
        if self._victims is not None:
            self._victims.remove(victim)
        self._plan.stops += victim.runs
        for run in victim.runs:
            self._plan.preempted_for[run] = unit.record.job.job_id
        for worker_id, amount in victim.freed.items():
            candidate = self._candidates.by_id.get(worker_id)
            if candidate is not None:
                candidate.used_by_stopping += amount

    def _reserve_for(
        self, unit: units.Unit, candidates: list[worker_capacity.Candidate]
    ) -> None:
        """Reserves capacity for a gang that has waited long."""
        if not self._policy.kept_rooms:
            return
        waited = self._input.now_ms - unit.waiting_since_ms
        if waited < RESERVE_AFTER_MS or self._reservations >= MAX_RESERVATIONS:
            return
        previous_rack = self._input.reserved_racks.get(unit.key, "")
        reservation = reservations.find_reservation(
            unit, candidates, previous_rack
        )
        if reservation is None:
            return
        self._reservations += 1
        self._reservation_is_exclusive = waited >= EXCLUSIVE_AFTER_MS
        self._reserved_for = unit.record.job.job_id
        self._reservation_start_ms = reservations.expected_start_ms(
            unit,
            reservation,
            self._ledger,
            self._input.now_ms,
            self._input.step_ms,
        )
        if reservation.rack:
            self._plan.reserved_racks[unit.key] = reservation.rack
        for candidate, count in reservation.slots:
            for _ in range(count):
                candidate.reserve(unit.step.needs)

    def _ends_before_reservation(self, unit: units.Unit) -> bool:
        """Returns whether a unit's tasks end before the gang can start."""
        step = unit.step
        if step.gang or step.long_running:
            return False
        step_ms = self._input.step_ms(unit.record.job, unit.step_index)
        max_ms = BACKFILL_TIME_FACTOR * step_ms
        return self._input.now_ms + max_ms <= self._reservation_start_ms

    def _allocate(
        self, unit: units.Unit, assignment: packing.Assignment
    ) -> None:
        """Holds the capacity of runs that are to be placed later."""
        for _, candidate in assignment:
            candidate.hold(unit.step.needs)

    def _count_runs(self, worker_id: str, task: model.TaskId) -> int:
        return placement_checks.count_runs(self._ledger, worker_id, task)
