"""Checks of a placement against what is free on its workers."""

from collections import abc

from laburnumsill.core import errors
from laburnumsill.state import jobs_messages
from laburnumsill.state import jobs_pool
from laburnumsill.state import workers


class PlacementRefusedError(errors.ConflictError):
    """A placement that does not fit the state as it is now."""

    slug = "placement-refused"
    title = "The placement does not fit the present state"


def masks_of(
    slots: abc.Iterable[jobs_messages.Slot],
) -> dict[str, tuple[int, int]]:
    """Returns the accelerators and number of the slots on each worker.

    Raises:
        PlacementRefusedError: Two slots overlap.
    """
    masks: dict[str, tuple[int, int]] = {}
    for slot in slots:
        mask, count = masks.get(slot.worker_id, (0, 0))
        if mask & slot.mask:
            raise PlacementRefusedError(f"{slot} overlaps another slot")
        masks[slot.worker_id] = (mask | slot.mask, count + 1)
    return masks


def check_rack(
    pool: jobs_pool.Pool,
    spec: jobs_messages.JobSpec,
    worker_ids: abc.Iterable[str],
) -> None:
    """Checks that the workers are usable and, where needed, in one rack.

    Raises:
        PlacementRefusedError: They are not.
    """
    racks = set()
    for worker_id in worker_ids:
        worker = pool.workers.get(worker_id)
        if worker is None or not worker.usable:
            raise PlacementRefusedError(f"{worker_id!r} cannot be used")
        racks.add(worker.announced.rack)
    if spec.adjacency == "rack" and len(racks) > 1:
        raise PlacementRefusedError(f"{sorted(racks)} are not one rack")


def check_room(
    worker: workers.WorkerRecord,
    spec: jobs_messages.JobSpec,
    count: int,
    was_held: bool,
) -> None:
    """Checks that a worker has cores and memory for `count` tasks.

    What is held for others counts as taken, but not against a job with slots
    of its own: their cores may come from the same borrower that was stopped.

    Raises:
        PlacementRefusedError: It has not.
    """
    cores = worker.free_cores
    memory_gb = worker.free_memory_gb
    if spec.guaranteed or was_held:
        cores += worker.held_cores
        memory_gb += worker.held_memory_gb
    if cores < spec.cores * count or memory_gb < spec.memory_gb * count:
        raise PlacementRefusedError(
            f"{worker.announced.worker_id!r} has {cores} cores and"
            f" {memory_gb} GB left for {count} tasks of {spec.cores} cores"
            f" and {spec.memory_gb} GB"
        )
