"""Bin packing: the assignment of one unit's tasks to workers."""

from collections import abc

from laburnumsill.batch import model
from laburnumsill.batch import units
from laburnumsill.batch import worker_capacity
from laburnumsill.batch import worker_speeds

URGENT_PRIORITY = 0
"""Priority of the jobs that may preempt others and have guaranteed capacity."""

Assignment = list[tuple[model.TaskId, worker_capacity.Candidate]]
"""Tasks, each with the worker that is to run it."""

Available = abc.Callable[[worker_capacity.Candidate], model.Resources]
"""Returns the capacity of a worker that a unit may use."""

CountRuns = abc.Callable[[str, model.TaskId], int]
"""Returns how many live runs of a task's step a worker has."""


def free_now(candidate: worker_capacity.Candidate) -> model.Resources:
    """Returns the free capacity of a worker."""
    return candidate.free


def free_soon(candidate: worker_capacity.Candidate) -> model.Resources:
    """Returns the free capacity once runs that are being stopped have ended."""
    return candidate.soon_free


def free_or_reserved(candidate: worker_capacity.Candidate) -> model.Resources:
    """Returns the free capacity, including what is reserved for a gang."""
    return candidate.free_or_reserved


def idle_now(candidate: worker_capacity.Candidate) -> model.Resources:
    """Returns the capacity that no run uses, whatever it is kept for."""
    return candidate.idle


def eligible(
    unit: units.Unit, candidates: abc.Iterable[worker_capacity.Candidate]
) -> list[worker_capacity.Candidate]:
    """Returns the candidates of a unit's pool that have its required label."""
    step = unit.step
    return [
        candidate
        for candidate in candidates
        if candidate.worker.pool == unit.pool
        and (
            not step.required_label
            or step.required_label in candidate.worker.labels
        )
    ]


def fit(
    unit: units.Unit,
    candidates: abc.Sequence[worker_capacity.Candidate],
    available: Available,
    count_runs: CountRuns,
    may_spread: bool = False,
) -> Assignment:
    """Returns an assignment of as many of a unit's tasks as fit.

    A gang goes to one rack if it fits into one: the fullest one that holds
    it, so that empty racks are left for larger gangs. Within a rack, the
    workers with the least available capacity are filled first.

    Args:
        unit: The tasks.
        candidates: The workers that may run them.
        available: Returns the capacity of a worker that the unit may use.
        count_runs: Returns how many runs of a task's step a worker has.
        may_spread: Whether the unit may run where it is much slower: a gang
            on several racks although one could hold it once empty, and other
            tasks outside the rack of their data.

    Returns:
        The assignment; empty if no task fits, or not all tasks of a gang.
    """
    slots = count_slots(unit, candidates, available, count_runs)
    wanted = len(unit.tasks)
    if not unit.step.gang:
        ordered = _order_for_tasks(unit, candidates, available, may_spread)
        return _assign(unit, ordered, slots)
    chosen = _best_rack(unit, candidates, slots, available)
    if chosen is None and (may_spread or not _needs_one_rack(unit, candidates)):
        chosen = _largest_racks_first(unit, candidates, slots, available)
    if chosen is None:
        return []
    assignment = _assign(unit, chosen, slots)
    return assignment if len(assignment) == wanted else []


def count_slots(
    unit: units.Unit,
    candidates: abc.Sequence[worker_capacity.Candidate],
    available: Available,
    count_runs: CountRuns,
) -> dict[str, int]:
    """Returns how many of a unit's tasks fit on each worker."""
    step = unit.step
    slots = {}
    for candidate in candidates:
        count = step.needs.copies_in(available(candidate))
        if step.max_per_worker:
            live = count_runs(candidate.worker.worker_id, unit.tasks[0])
            count = min(count, max(0, step.max_per_worker - live))
        slots[candidate.worker.worker_id] = count
    return slots


def _best_rack(
    unit: units.Unit,
    candidates: abc.Sequence[worker_capacity.Candidate],
    slots: dict[str, int],
    available: Available,
) -> list[worker_capacity.Candidate] | None:
    """Returns the candidates of the fullest rack that holds a unit, or None.

    Racks near the data and racks with enough fast workers are preferred.
    """
    best: tuple[bool, bool, float] | None = None
    chosen = None
    for rack, inside in worker_capacity.by_rack(candidates).items():
        if sum(slots[r.worker.worker_id] for r in inside) < len(unit.tasks):
            continue
        left = sum(available(candidate).accelerators for candidate in inside)
        far_from_data = (
            bool(unit.step.data_rack) and rack != unit.step.data_rack
        )
        slow = unit.priority == URGENT_PRIORITY and not _fits_fast(
            unit, inside, slots
        )
        if best is None or (far_from_data, slow, left) < best:
            best = (far_from_data, slow, left)
            chosen = inside
    return _fullest_first(unit, chosen, available) if chosen else None


def _fits_fast(
    unit: units.Unit,
    candidates: abc.Sequence[worker_capacity.Candidate],
    slots: dict[str, int],
) -> bool:
    """Returns whether a unit fits on the workers that are not slow."""
    fast = sum(
        slots[candidate.worker.worker_id]
        for candidate in candidates
        if not is_slow(candidate)
    )
    return fast >= len(unit.tasks)


def is_slow(candidate: worker_capacity.Candidate) -> bool:
    """Returns whether a worker is noticeably slower than others."""
    return candidate.slowness >= worker_speeds.SLOW_RATIO


def _needs_one_rack(
    unit: units.Unit, candidates: abc.Sequence[worker_capacity.Candidate]
) -> bool:
    """Returns whether a gang should wait for a rack that could hold it."""
    return unit.step.same_rack and bool(feasible_racks(unit, candidates))


def feasible_racks(
    unit: units.Unit, candidates: abc.Sequence[worker_capacity.Candidate]
) -> dict[str, list[worker_capacity.Candidate]]:
    """Returns the racks that could hold a unit once they are empty, by name."""
    return {
        rack: inside
        for rack, inside in worker_capacity.by_rack(candidates).items()
        if sum(max_slots(unit, candidate) for candidate in inside)
        >= len(unit.tasks)
    }


def max_slots(unit: units.Unit, candidate: worker_capacity.Candidate) -> int:
    """Returns how many of a unit's tasks a worker can run once it is empty.

    Long-running tasks do not end by themselves, so their resources count as
    free only for an urgent unit, which may preempt them.
    """
    urgent = unit.priority == URGENT_PRIORITY
    emptied = candidate.worker.capacity if urgent else candidate.max_free
    count = unit.step.needs.copies_in(emptied)
    limit = unit.step.max_per_worker
    return min(count, limit) if limit else count


def _largest_racks_first(
    unit: units.Unit,
    candidates: abc.Sequence[worker_capacity.Candidate],
    slots: dict[str, int],
    available: Available,
) -> list[worker_capacity.Candidate]:
    """Returns all candidates, racks with most slots first.

    Filled in this order, a gang spans few racks.
    """
    racks = worker_capacity.by_rack(candidates)
    order = sorted(
        racks,
        key=lambda rack: -sum(slots[r.worker.worker_id] for r in racks[rack]),
    )
    ordered: list[worker_capacity.Candidate] = []
    for rack in order:
        ordered += _fullest_first(unit, racks[rack], available)
    return ordered


def _order_for_tasks(
    unit: units.Unit,
    candidates: abc.Sequence[worker_capacity.Candidate],
    available: Available,
    may_spread: bool,
) -> list[worker_capacity.Candidate]:
    """Returns candidates for single tasks, fullest first.

    Only workers in the rack of their data are candidates, if there are any. If
    the tasks may spread, the others follow.
    """
    rack = unit.step.data_rack
    near = [
        candidate for candidate in candidates if candidate.worker.rack == rack
    ]
    if not rack or not near:
        return _fullest_first(unit, candidates, available)
    ordered = _fullest_first(unit, near, available)
    if may_spread:
        far = (one for one in candidates if one.worker.rack != rack)
        ordered += _fullest_first(unit, far, available)
    return ordered


def _fullest_first(
    unit: units.Unit,
    candidates: abc.Iterable[worker_capacity.Candidate],
    available: Available,
) -> list[worker_capacity.Candidate]:
    """Returns candidates in the order in which a unit should fill them.

    For urgent units, fast workers come first. Then the fullest come first, so
    that whole workers are left for gangs. Racks are not sorted by how full they
    are, see docs/design/site-planner.md.
    """
    urgent = unit.priority == URGENT_PRIORITY

    def sort_key(
        candidate: worker_capacity.Candidate,
    ) -> tuple[bool, int, int, str]:
        free = available(candidate)
        return (
            urgent and is_slow(candidate),
            free.accelerators,
            free.cpu_millis,
            candidate.worker.worker_id,
        )

    return sorted(candidates, key=sort_key)


def _assign(
    unit: units.Unit,
    candidates: abc.Iterable[worker_capacity.Candidate],
    slots: dict[str, int],
) -> Assignment:
    """Returns an assignment that fills candidates in their order."""
    assignment: Assignment = []
    waiting = iter(unit.tasks)
    left = len(unit.tasks)
    for candidate in candidates:
        count = min(slots[candidate.worker.worker_id], left)
        left -= count
        assignment += [(next(waiting), candidate) for _ in range(count)]
    return assignment


def mostly_free(
    candidates: abc.Iterable[worker_capacity.Candidate], available: Available
) -> bool:
    """Returns whether less than half of each resource of workers is in use.

    Args:
        candidates: The workers.
        available: Returns the capacity of a worker that is not in use.
    """
    capacity = free = model.Resources()
    for candidate in candidates:
        capacity += candidate.worker.capacity
        free += available(candidate)
    used = capacity - free
    return (
        2 * used.accelerators < max(1, capacity.accelerators)
        and 2 * used.cpu_millis < max(1, capacity.cpu_millis)
        and 2 * used.memory_mb < max(1, capacity.memory_mb)
    )
