"""What is to be placed and stopped next: a pure function of a view.

Units are taken in order of priority and objective. One that fits is placed;
an urgent one that does not fit keeps what is about to be free, and stops the
cheapest runs of lower priority if that is not enough; a gang that has waited
long keeps room for itself (`keeping`), so that small tasks do not starve it,
also an urgent one that nothing can be stopped for.
"""

import dataclasses
import functools
from collections import abc

from laburnumsill.batch import apart
from laburnumsill.batch import checks
from laburnumsill.batch import commands
from laburnumsill.batch import headroom
from laburnumsill.batch import keeping
from laburnumsill.batch import ledger as ledgers
from laburnumsill.batch import model
from laburnumsill.batch import packing
from laburnumsill.batch import policy as policies
from laburnumsill.batch import preemption
from laburnumsill.batch import rooms as room_module
from laburnumsill.batch import units
from laburnumsill.batch import worker_health

FENCE_AFTER_MS = 3_000
"""A gang that has waited so long keeps room that becomes free, in ms: about
half a run of the users' background tasks."""

ANY_WORKER_AFTER_MS = 6_000
"""A unit that has waited so long, in ms, goes to any worker, also to a very
slow one or one on which it failed: a whole run of the users' tasks."""

SPREAD_AFTER_MS = 1_500
"""A gang that has waited so long, in ms, while most of its pool is free,
goes to several racks: nothing else would make use of the room."""

APART_FOR_MS = 1_500
"""A task that may crash its worker waits so long, in ms, for one that runs
nothing else; then it goes to the one that runs the least."""

HEADROOM_UNTIL_MS = 1_000
"""Tasks leave headroom while their job could begin so much later and still be
in time, in ms."""

SAFELY_SHORT = 3
"""A task may use room that is kept for a gang if it would leave it in time also
when it took so many times as long as expected: declared times of the users are
off by 0.5 to 0.9 (sigma of the logarithm), and 3 is e to the 1.1."""

MAX_FENCED = 1
"""So many waiting gangs keep room at a time; more would idle the site."""


@dataclasses.dataclass(frozen=True, slots=True)
class View:
    """What a plan is made of.

    Attributes:
        ledger: The replicated record.
        usable: The workers that may be given runs.
        stopping: Runs that were told to stop and have not ended.
        guarantees: Guaranteed accelerators by client account.
        now_ms: Wall time, ms since 1970.
        avoid: Workers on which a task is not to be run again.
        slowness: Run time on a worker relative to others.
        kept_racks: The racks that were kept for gangs at the last plan.
        explain: Whether it is to be said what stands in a unit's way.
        stop_grace_ms: What is stopped ends within so long.
        headroom: Accelerators that what can wait leaves to urgent jobs.
        step_ms: Returns how long a task of a step takes, in ms.
        policy: Which mechanisms are in use.
    """

    ledger: ledgers.BatchLedger
    usable: abc.Set[str]
    stopping: abc.Set[model.RunId]
    guarantees: abc.Mapping[str, int]
    now_ms: int
    avoid: abc.Callable[[model.TaskId], abc.Set[str]] = lambda _: frozenset()
    slowness: abc.Callable[[str], float] = lambda _: 1.0
    kept_racks: abc.Mapping[model.StepKey, str] = dataclasses.field(
        default_factory=dict
    )
    explain: abc.Callable[[model.StepKey], bool] = lambda _: False
    stop_grace_ms: int = 0
    headroom: int = 0
    step_ms: units.StepMs = units.declared_ms
    policy: policies.Policy = policies.ALL


@dataclasses.dataclass(slots=True)
class Plan:
    """What to do next.

    Attributes:
        groups: Runs to place, each group whole.
        stops: Runs to stop, to make room.
        waiting: Units that could not be placed.
        kept_racks: The racks that are kept for gangs, for the next plan.
        obstacles: What stands in the way of waiting units, for people.
        stopped_for: The jobs that need the room of what is stopped, for people.
    """

    groups: list[commands.Group]
    stops: list[model.RunId]
    waiting: list[units.Unit]
    kept_racks: dict[model.StepKey, str] = dataclasses.field(
        default_factory=dict
    )
    obstacles: dict[model.StepKey, str] = dataclasses.field(
        default_factory=dict
    )
    stopped_for: dict[model.RunId, str] = dataclasses.field(
        default_factory=dict
    )


def plan(view: View) -> Plan:
    """Returns what to place and to stop.

    Most events of a calm site come while nothing waits, and then no worker is
    looked at.
    """
    waiting = units.ready_units(view.ledger, view.now_ms, view.step_ms)
    if not waiting:
        return Plan([], [], [])
    return _Planner(view).run(waiting)


class _Planner:
    def __init__(self, view: View) -> None:
        self._view = view
        self._ledger = view.ledger
        self._policy = view.policy
        self._plan = Plan([], [], [])
        self._rooms = room_module.rooms_of(
            view.ledger, view.usable, view.stopping, view.slowness
        )
        self._urgent_use = headroom.urgent_use(view.ledger)
        self._victims: preemption.Victims | None = None
        self._fenced = 0
        self._kept_until_ms = 0.0
        self._most_slots: dict[tuple[object, ...], int] = {}
        self._suitable: dict[tuple[str, str], _Suitable] = {}

    def run(self, waiting: abc.Iterable[units.Unit]) -> Plan:
        for unit in sorted(waiting, key=self._order):
            self._place(unit)
        return self._plan

    def _order(self, unit: units.Unit) -> tuple[object, ...]:
        return (
            unit.priority,
            not self._guaranteed(unit),
            self._policy.in_time_first and not self._in_time(unit),
            unit.objective_ms,
            unit.key,
        )

    def _in_time(self, unit: units.Unit) -> bool:
        """Whether a unit's job can still be in time if it starts now."""
        return self._view.now_ms + unit.chain_ms <= unit.objective_ms

    def _guaranteed(self, unit: units.Unit) -> bool:
        if unit.priority != packing.URGENT_PRIORITY:
            return False
        account = unit.record.job.account
        own = self._view.guarantees.get(account, 0)
        return self._urgent_use[account] <= own

    def _place(self, unit: units.Unit) -> None:
        rooms = self._eligible(unit)
        found = [] if self._has_no_room(unit) else self._fit(unit, rooms)
        may_use_kept = self._may_use_kept_room() and self._may_share(unit)
        if len(found) < len(unit.tasks) and may_use_kept:
            found = self._fit_into_kept(unit, rooms, found)
        found = self._within_headroom(unit, found)
        self._take(unit, found)
        placed = {task for task, _ in found}
        unit.tasks = [task for task in unit.tasks if task not in placed]
        if not unit.tasks:
            return
        if self._view.explain(unit.key):
            self._plan.obstacles[unit.key] = self._obstacle(unit, rooms)
        self._plan.waiting.append(unit)
        if not self._may_share(unit):
            return
        if unit.priority == packing.URGENT_PRIORITY:
            self._make_room(unit, rooms)
        elif unit.step.gang:
            self._keep_rooms(unit, rooms)

    def _fit(
        self, unit: units.Unit, rooms: list[room_module.Room]
    ) -> packing.Assignment:
        """Returns where a unit fits, apart from suspects if that can be."""
        if not self._ledger.crashes.suspects:
            return self._fit_now(unit, rooms)
        fit = functools.partial(self._fit_now, unit)
        if unit.apart_since_ms is None:
            return apart.fit_other(unit, rooms, fit)
        return apart.fit_suspect(unit, rooms, fit, self._may_share(unit))

    def _fit_now(
        self, unit: units.Unit, rooms: abc.Sequence[room_module.Room]
    ) -> packing.Assignment:
        return packing.fit(
            unit,
            rooms,
            packing.free_now,
            self._count_on,
            self._may_spread(unit, rooms),
        )

    def _may_share(self, unit: units.Unit) -> bool:
        """Whether a unit may go where others run."""
        since_ms = unit.apart_since_ms
        return since_ms is None or self._view.now_ms >= since_ms + APART_FOR_MS

    def _fit_into_kept(
        self,
        unit: units.Unit,
        rooms: list[room_module.Room],
        found: packing.Assignment,
    ) -> packing.Assignment:
        """Returns where a unit fits if it may use room kept for a gang.

        Tasks may that will be gone when the gang begins. Others may if their
        job would stand still while most of the pool is free: one task is
        enough for that, and delays the gang little, as it goes where the least
        is free. Another gang may if it need not spread; it would hold the room
        long.

        Args:
            unit: The tasks.
            rooms: The workers that may run them.
            found: Where they fit without.
        """
        in_time = self._leaves_kept_room_in_time(unit)
        if not in_time and (found or not self._stands_still(unit)):
            return found
        found = packing.fit(unit, rooms, packing.free_or_kept, self._count_on)
        return found if in_time or unit.step.gang else found[:1]

    def _may_use_kept_room(self) -> bool:
        return self._fenced > 0 and self._policy.tasks_in_kept_room

    def _stands_still(self, unit: units.Unit) -> bool:
        """Whether nothing of a unit runs though most of its pool is free."""
        waited = self._view.now_ms - unit.waiting_since_ms
        if waited < SPREAD_AFTER_MS or unit.key in self._ledger.runs_of_steps:
            return False
        return self._is_mostly_free(unit)

    def _within_headroom(
        self, unit: units.Unit, found: packing.Assignment
    ) -> packing.Assignment:
        """Returns what of an assignment leaves headroom for urgent jobs.

        A gang goes whole or not at all. Of other steps of which nothing runs
        one task goes in any case, so that no job is idle while there is room.
        """
        step = unit.step
        if not self._leaves_headroom(unit):
            return found
        rooms = self._suitable_for(unit).all
        free = sum(room.free.accelerators for room in rooms)
        most = max(0, free - self._view.headroom) // step.needs.accelerators
        if step.gang:
            return found if len(found) <= most else []
        least = 0 if unit.key in self._ledger.runs_of_steps else 1
        return found[: max(least, most)]

    def _leaves_headroom(self, unit: units.Unit) -> bool:
        """Whether a unit is one that can wait for urgent jobs to come.

        The load that this is for: bursts of urgent jobs, one after the other.
        A gang that begins between two of them is stopped by the second and
        begins anew. It waits only while it could run twice and be in time:
        gangs find room seldom enough.
        """
        step = unit.step
        if unit.priority == packing.URGENT_PRIORITY or not self._view.headroom:
            return False
        if step.long_running or not step.needs.accelerators:
            return False
        spare_ms = unit.objective_ms - self._view.now_ms - unit.chain_ms
        least_ms = unit.chain_ms if step.gang else HEADROOM_UNTIL_MS
        return spare_ms >= least_ms

    def _has_no_room(self, unit: units.Unit) -> bool:
        """Whether an earlier unit like this has shown that it cannot fit.

        What is free only becomes less while a plan is made, so the slots
        that were counted for the first unit bound those for the others.
        """
        step = unit.step
        key = (unit.record.job.terms.pool, step.required_label, step.needs)
        if key not in self._most_slots:
            self._most_slots[key] = sum(
                step.needs.times_in(room.free)
                for room in self._suitable_for(unit).all
            )
        wanted = len(unit.tasks) if step.gang else 1
        return self._most_slots[key] < wanted

    def _may_spread(
        self, unit: units.Unit, rooms: abc.Sequence[room_module.Room]
    ) -> bool:
        """Whether a gang should rather run slowly than wait for one rack."""
        if not self._policy.spreading:
            return False
        waited = self._view.now_ms - unit.waiting_since_ms
        return waited >= SPREAD_AFTER_MS and packing.mostly_free(
            rooms, packing.free_now
        )

    def _is_mostly_free(self, unit: units.Unit) -> bool:
        """Whether most of a unit's pool is free, or only kept for a gang."""
        suitable = self._suitable_for(unit)
        if suitable.mostly_free:
            suitable.mostly_free = packing.mostly_free(
                suitable.all, packing.free_or_kept
            )
        return suitable.mostly_free

    def _suitable_for(self, unit: units.Unit) -> "_Suitable":
        """Returns the workers of a unit's pool that have its label."""
        key = (unit.record.job.terms.pool, unit.step.required_label)
        if key not in self._suitable:
            rooms = packing.eligible(unit, self._rooms.values())
            self._suitable[key] = _Suitable(rooms, _without_very_slow(rooms))
        return self._suitable[key]

    def _eligible(self, unit: units.Unit) -> list[room_module.Room]:
        suitable = self._suitable_for(unit)
        waited = self._view.now_ms - unit.waiting_since_ms
        if waited >= ANY_WORKER_AFTER_MS:
            return suitable.all  # rather a poor worker than none
        avoid: set[str] = set()
        for task in unit.tasks:
            avoid |= self._view.avoid(task)
        if not avoid:
            return suitable.sound or suitable.all
        kept = [
            room for room in suitable.all if room.worker.worker_id not in avoid
        ]
        return _without_very_slow(kept) or kept or suitable.all

    def _take(self, unit: units.Unit, found: packing.Assignment) -> None:
        placements = []
        for task, room in found:
            room.take(unit.step.needs)
            room.runs += 1
            room.holds_suspect |= unit.apart_since_ms is not None
            run = unit.run_of(task)
            placements.append(commands.Placement(run, room.worker.worker_id))
        if unit.step.gang and placements:
            self._plan.groups.append(tuple(placements))
        else:
            self._plan.groups += [(placement,) for placement in placements]

    def _obstacle(self, unit: units.Unit, rooms: list[room_module.Room]) -> str:
        """Says in one word how much room there is, for people."""
        slots = [
            sum(unit.step.needs.times_in(room.free) for room in inside)
            for inside in room_module.by_rack(rooms).values()
        ]
        return (
            f"workers:{len(rooms)},best-rack:{max(slots, default=0)},"
            f"all:{sum(slots)},wanted:{len(unit.tasks)},kept-for-gangs:{self._fenced}"
        )

    def _make_room(
        self, unit: units.Unit, rooms: list[room_module.Room]
    ) -> None:
        """Keeps what is about to be free; stops others if it is too little."""
        soon = packing.fit(unit, rooms, packing.free_soon, self._count_on)
        if len(soon) == len(unit.tasks):
            self._reserve(unit, soon)
            return
        eviction = preemption.evict(
            unit,
            rooms,
            self._may_stop(),
            self._count_on,
            self._needs_fast_workers(unit, rooms),
            self._policy,
        )
        if eviction is None:
            self._reserve(unit, soon)
            if unit.step.gang:
                self._keep_rooms(unit, rooms)
            return
        for victim in eviction.victims:
            self._stop(victim, unit)
        self._reserve(unit, eviction.assignment)

    def _needs_fast_workers(
        self, unit: units.Unit, rooms: abc.Iterable[room_module.Room]
    ) -> bool:
        """Whether a unit would be late on slow workers after a stop."""
        slowest = max((room.slowness for room in rooms), default=1.0)
        begins_ms = self._view.now_ms + self._view.stop_grace_ms
        ends_ms = begins_ms + slowest * unit.chain_ms
        return ends_ms > unit.objective_ms

    def _may_stop(self) -> preemption.Victims:
        if self._victims is None:
            self._victims = preemption.Victims(
                preemption.victims_below(
                    self._ledger,
                    packing.URGENT_PRIORITY,
                    self._view.stopping,
                    self._view.now_ms,
                )
            )
        return self._victims

    def _stop(self, victim: preemption.Victim, unit: units.Unit) -> None:
        if self._victims is not None:
            self._victims.remove(victim)
        self._plan.stops += victim.runs
        for run in victim.runs:
            self._plan.stopped_for[run] = unit.record.job.job_id
        for worker_id, amount in victim.freed.items():
            room = self._rooms.get(worker_id)
            if room is not None:
                room.leaving += amount

    def _keep_rooms(
        self, unit: units.Unit, rooms: list[room_module.Room]
    ) -> None:
        """Keeps for a gang that waits long what will be room for it."""
        if not self._policy.kept_rooms:
            return
        waited = self._view.now_ms - unit.waiting_since_ms
        if waited < FENCE_AFTER_MS or self._fenced >= MAX_FENCED:
            return
        rack_before = self._view.kept_racks.get(unit.key, "")
        kept = keeping.rooms_for(unit, rooms, rack_before)
        if kept is None:
            return
        self._fenced += 1
        self._kept_until_ms = keeping.whole_at_ms(
            unit, kept, self._ledger, self._view.now_ms, self._view.step_ms
        )
        if kept.rack:
            self._plan.kept_racks[unit.key] = kept.rack
        for room, count in kept.slots:
            for _ in range(count):
                room.keep(unit.step.needs)

    def _leaves_kept_room_in_time(self, unit: units.Unit) -> bool:
        """Whether tasks end long before a gang can use what it keeps."""
        step = unit.step
        if step.gang or step.long_running:
            return False
        step_ms = self._view.step_ms(unit.record.job, unit.number)
        most_ms = SAFELY_SHORT * step_ms
        return self._view.now_ms + most_ms <= self._kept_until_ms

    def _reserve(self, unit: units.Unit, found: packing.Assignment) -> None:
        for _, room in found:
            room.take(unit.step.needs)

    def _count_on(self, worker_id: str, task: model.TaskId) -> int:
        return checks.count_on(self._ledger, worker_id, task)


@dataclasses.dataclass(slots=True)
class _Suitable:
    """The rooms that may run a kind of unit.

    Attributes:
        all: All of them.
        sound: Those whose workers are not very slow.
        mostly_free: Whether most of them may be free. What is free only
            becomes less while a plan is made, so False stays.
    """

    all: list[room_module.Room]
    sound: list[room_module.Room]
    mostly_free: bool = True


def _without_very_slow(
    rooms: abc.Iterable[room_module.Room],
) -> list[room_module.Room]:
    return [room for room in rooms if room.slowness < worker_health.VERY_SLOW]
