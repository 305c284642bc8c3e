"""Best-fit search for free slots that avoids fragmenting workers and racks."""

from collections import abc

from laburnumsill.state import jobs_messages
from laburnumsill.state import jobs_pool
from laburnumsill.state import workers

Slots = tuple[jobs_messages.Slot, ...]


def find_free(
    pool: jobs_pool.Pool,
    spec: jobs_messages.JobSpec,
    avoid: abc.Collection[str] = (),
) -> Slots | None:
    """Returns free slots for all tasks of a borrowing job, or None.

    The gang is placed in the fullest rack that can hold it, and there on the
    fewest workers. A single task is placed on a partly used worker before an
    empty one. Only racks with enough free capacity according to the indexes
    are searched.

    Args:
        pool: The workers.
        spec: The job.
        avoid: Workers to exclude, such as those on which the job failed.
    """
    for rack in _candidates(pool, spec):
        slots = pack(rack.workers.values(), spec, spec.tasks, avoid)
        if slots is not None:
            return slots
    if spec.adjacency == "any" and spec.tasks > 1:
        return _scatter(pool, spec, avoid)
    return None


def _candidates(
    pool: jobs_pool.Pool, spec: jobs_messages.JobSpec
) -> abc.Iterator[jobs_pool.Rack]:
    if not spec.accelerators:
        yield from pool.racks_with_cores(spec.tasks, spec.cores)
        return
    if spec.tasks == 1:
        yield from pool.partly_used_racks_with(spec.accelerators)
    yield from pool.racks_with(spec.tasks, spec.accelerators)


def pack(
    candidates: abc.Iterable[workers.WorkerRecord],
    spec: jobs_messages.JobSpec,
    count: int,
    avoid: abc.Collection[str] = (),
) -> Slots | None:
    """Returns `count` free slots on the given workers, or None.

    As long as no worker holds all remaining tasks, the emptiest one is
    filled; then the remainder goes to the fullest worker that holds it. This
    places a gang on the fewest workers.
    """
    fitting = []
    for worker in candidates:
        if not worker.usable or worker.announced.worker_id in avoid:
            continue
        capacity = worker.room(spec)
        if capacity:
            free = worker.free_mask.bit_count()
            fitting.append((capacity, free, worker.announced.worker_id, worker))
    if sum(capacity for capacity, *_ in fitting) < count:
        return None
    fitting.sort(key=lambda entry: entry[:3])
    slots: list[jobs_messages.Slot] = []
    while len(slots) < count:
        left = count - len(slots)
        enough = (n for n, entry in enumerate(fitting) if entry[0] >= left)
        place = next(enough, len(fitting) - 1)
        capacity, _, _, worker = fitting.pop(place)
        slots += slots_on(worker, spec, min(capacity, left))
    return tuple(slots)


def slots_on(
    worker: workers.WorkerRecord, spec: jobs_messages.JobSpec, count: int
) -> list[jobs_messages.Slot]:
    """Returns `count` free slots of one worker, which must have them."""
    free = worker.free_mask
    slots = []
    for _ in range(count):
        mask = workers.choose_mask(free, spec.accelerators)
        free &= ~mask
        slots.append(jobs_messages.Slot(worker.announced.worker_id, mask))
    return slots


def _scatter(
    pool: jobs_pool.Pool,
    spec: jobs_messages.JobSpec,
    avoid: abc.Collection[str],
) -> Slots | None:
    """Returns slots in several racks, for a gang without adjacency."""
    slots: list[jobs_messages.Slot] = []
    one = spec.accelerators
    racks = (
        pool.racks_with(1, one) if one else pool.racks_with_cores(1, spec.cores)
    )
    for rack in racks:
        for worker in rack.workers.values():
            if not worker.usable or worker.announced.worker_id in avoid:
                continue
            left = spec.tasks - len(slots)
            slots += slots_on(worker, spec, min(worker.room(spec), left))
            if len(slots) == spec.tasks:
                return tuple(slots)
    return None


def ever_fits(
    candidates: abc.Iterable[workers.WorkerRecord],
    spec: jobs_messages.JobSpec,
) -> bool:
    """Returns whether the gang would fit if all these workers were empty."""
    by_rack: dict[str, int] = {}
    for worker in candidates:
        rack = worker.announced.rack if spec.adjacency == "rack" else ""
        by_rack[rack] = by_rack.get(rack, 0) + worker.size(spec)
    return any(capacity >= spec.tasks for capacity in by_rack.values())
