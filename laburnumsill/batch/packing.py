"""Fitting one unit into what is free."""

from collections import abc

from laburnumsill.batch import model
from laburnumsill.batch import rooms as room_module
from laburnumsill.batch import units
from laburnumsill.batch import worker_speeds

URGENT_PRIORITY = 0
"""Jobs of this priority may stop others and own what is guaranteed."""

Assignment = list[tuple[model.TaskId, room_module.Room]]
RoomOf = abc.Callable[[room_module.Room], model.Resources]
CountOn = abc.Callable[[str, model.TaskId], int]


def free_now(room: room_module.Room) -> model.Resources:
    """Returns what is free now."""
    return room.free


def free_soon(room: room_module.Room) -> model.Resources:
    """Returns what will be free when all that is being stopped has ended."""
    return room.soon_free


def free_or_kept(room: room_module.Room) -> model.Resources:
    """Returns what is free now, also what is kept for a gang that waits."""
    return room.free_or_kept


def eligible(
    unit: units.Unit, rooms: abc.Iterable[room_module.Room]
) -> list[room_module.Room]:
    """Returns the rooms whose workers may run a unit's tasks at all."""
    step = unit.step
    pool = unit.record.job.terms.pool
    return [
        room
        for room in rooms
        if room.worker.pool == pool
        and (
            not step.required_label or step.required_label in room.worker.labels
        )
    ]


def fit(
    unit: units.Unit,
    rooms: abc.Sequence[room_module.Room],
    room_of: RoomOf,
    count_on: CountOn,
    may_spread: bool = False,
) -> Assignment:
    """Returns where a unit's tasks fit: all of a gang, else those that do.

    A gang goes to one rack if it fits into one: the fullest that holds it,
    so that empty racks stay whole for larger gangs. Within a rack the
    workers with the least room go first.

    Args:
        unit: The tasks.
        rooms: The workers that may run them.
        room_of: What of a worker may be used.
        count_on: How many tasks of a task's step a worker has already.
        may_spread: Whether a gang that is much slower on several racks may
            go to several all the same.

    Returns:
        Tasks and their workers; empty if nothing, or not all of a gang, fits.
    """
    slots = _slots(unit, rooms, room_of, count_on)
    wanted = len(unit.tasks)
    if not unit.step.gang:
        return _assign(unit, _in_order(unit, rooms, room_of), slots)
    chosen = _best_rack(unit, rooms, slots, room_of)
    if chosen is None and (may_spread or not _needs_one_rack(unit, rooms)):
        chosen = _widest_racks_first(unit, rooms, slots, room_of)
    if chosen is None:
        return []
    found = _assign(unit, chosen, slots)
    return found if len(found) == wanted else []


def _slots(
    unit: units.Unit,
    rooms: abc.Sequence[room_module.Room],
    room_of: RoomOf,
    count_on: CountOn,
) -> dict[str, int]:
    """Returns how many of a unit's tasks fit on each worker."""
    step = unit.step
    slots = {}
    for room in rooms:
        count = step.needs.times_in(room_of(room))
        if step.max_per_worker:
            known = count_on(room.worker.worker_id, unit.tasks[0])
            count = min(count, max(0, step.max_per_worker - known))
        slots[room.worker.worker_id] = count
    return slots


def _best_rack(
    unit: units.Unit,
    rooms: abc.Sequence[room_module.Room],
    slots: dict[str, int],
    room_of: RoomOf,
) -> list[room_module.Room] | None:
    """Returns the rooms of the rack that holds a unit with the least left."""
    best: tuple[bool, bool, float] | None = None
    chosen = None
    for rack, inside in room_module.by_rack(rooms).items():
        if sum(slots[r.worker.worker_id] for r in inside) < len(unit.tasks):
            continue
        left = sum(room_of(room).accelerators for room in inside)
        away = bool(unit.step.data_rack) and rack != unit.step.data_rack
        slow = unit.priority == URGENT_PRIORITY and not _fits_fast(
            unit, inside, slots
        )
        if best is None or (away, slow, left) < best:
            best = (away, slow, left)
            chosen = inside
    return _fullest_first(unit, chosen, room_of) if chosen else None


def _fits_fast(
    unit: units.Unit,
    rooms: abc.Sequence[room_module.Room],
    slots: dict[str, int],
) -> bool:
    """Whether a unit fits on those workers that are not slow."""
    fast = sum(
        slots[room.worker.worker_id] for room in rooms if not is_slow(room)
    )
    return fast >= len(unit.tasks)


def is_slow(room: room_module.Room) -> bool:
    """Whether runs take noticeably longer on a worker than on others."""
    return room.slowness >= worker_speeds.NOTICEABLY_SLOW


def _needs_one_rack(
    unit: units.Unit, rooms: abc.Sequence[room_module.Room]
) -> bool:
    """Whether a gang should wait for one rack: some rack could hold it."""
    return unit.step.same_rack and bool(racks_that_hold(unit, rooms))


def racks_that_hold(
    unit: units.Unit, rooms: abc.Sequence[room_module.Room]
) -> dict[str, list[room_module.Room]]:
    """Returns the racks that could hold a unit once they are empty."""
    return {
        rack: inside
        for rack, inside in room_module.by_rack(rooms).items()
        if sum(slots_at_best(unit, room) for room in inside) >= len(unit.tasks)
    }


def slots_at_best(unit: units.Unit, room: room_module.Room) -> int:
    """Returns how many of a unit's tasks a worker can run once it is empty.

    Runs that last do not end by themselves; an urgent unit may stop them.
    """
    urgent = unit.priority == URGENT_PRIORITY
    best = room.worker.capacity if urgent else room.free_at_best
    count = unit.step.needs.times_in(best)
    most = unit.step.max_per_worker
    return min(count, most) if most else count


def _widest_racks_first(
    unit: units.Unit,
    rooms: abc.Sequence[room_module.Room],
    slots: dict[str, int],
    room_of: RoomOf,
) -> list[room_module.Room]:
    """Returns all rooms, so that a gang touches few racks."""
    racks = room_module.by_rack(rooms)
    order = sorted(
        racks,
        key=lambda rack: -sum(slots[r.worker.worker_id] for r in racks[rack]),
    )
    found: list[room_module.Room] = []
    for rack in order:
        found += _fullest_first(unit, racks[rack], room_of)
    return found


def _in_order(
    unit: units.Unit,
    rooms: abc.Sequence[room_module.Room],
    room_of: RoomOf,
) -> list[room_module.Room]:
    """Returns rooms for single tasks: near their data, then the fullest."""
    rack = unit.step.data_rack
    near = [room for room in rooms if room.worker.rack == rack]
    if rack and near:
        return _fullest_first(unit, near, room_of)
    return _fullest_first(unit, rooms, room_of)


def _fullest_first(
    unit: units.Unit,
    rooms: abc.Iterable[room_module.Room],
    room_of: RoomOf,
) -> list[room_module.Room]:
    """Returns rooms in the order in which a unit should fill them.

    Urgent units go to the fast workers first. Then the fullest goes first, so
    that whole workers are left for gangs. Filling the fullest rack first was
    tried and reverted, see docs/design/site-planner.md.
    """
    urgent = unit.priority == URGENT_PRIORITY

    def key(room: room_module.Room) -> tuple[bool, int, int, str]:
        free = room_of(room)
        return (
            urgent and is_slow(room),
            free.accelerators,
            free.cpu_millis,
            room.worker.worker_id,
        )

    return sorted(rooms, key=key)


def _assign(
    unit: units.Unit,
    rooms: abc.Iterable[room_module.Room],
    slots: dict[str, int],
) -> Assignment:
    found: Assignment = []
    waiting = iter(unit.tasks)
    left = len(unit.tasks)
    for room in rooms:
        take = min(slots[room.worker.worker_id], left)
        left -= take
        found += [(next(waiting), room) for _ in range(take)]
    return found


def mostly_free(rooms: abc.Iterable[room_module.Room], room_of: RoomOf) -> bool:
    """Returns whether less than half of what workers have is in use.

    Args:
        rooms: The workers.
        room_of: What of a worker counts as not in use.
    """
    capacity = free = model.Resources()
    for room in rooms:
        capacity += room.worker.capacity
        free += room_of(room)
    used = capacity - free
    return (
        2 * used.accelerators < max(1, capacity.accelerators)
        and 2 * used.cpu_millis < max(1, capacity.cpu_millis)
        and 2 * used.memory_mb < max(1, capacity.memory_mb)
    )
