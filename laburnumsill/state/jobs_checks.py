"""Checks of a placement against the free capacity of its workers."""

from collections import abc

from laburnumsill.core import errors
from laburnumsill.state import jobs_messages
from laburnumsill.state import jobs_pool
from laburnumsill.state import workers


class PlacementRefusedError(errors.ConflictError):
    """A command on a placement that does not fit the present state."""

    slug = "placement-refused"
    title = "The placement does not fit the present state"


def masks_of(
    slots: abc.Iterable[jobs_messages.Slot],
) -> dict[str, tuple[int, int]]:
    """Returns the accelerator mask and number of slots for each worker.

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
    """Checks that the workers are usable and, if required, in one rack.

    Raises:
        PlacementRefusedError: A worker is not usable, or they are in several
            racks.
    """
    racks = set()
    for worker_id in worker_ids:
        worker = pool.workers.get(worker_id)
        if worker is None or not worker.usable:
            raise PlacementRefusedError(f"{worker_id!r} cannot be used")
        racks.add(worker.announced.rack)
    if spec.adjacency == "rack" and len(racks) > 1:
        raise PlacementRefusedError(f"{sorted(racks)} are not one rack")


def check_capacity(
    worker: workers.WorkerRecord,
    spec: jobs_messages.JobSpec,
    count: int,
    was_held: bool,
) -> None:
    """Checks that a worker has cores and memory for `count` tasks.

    Cores and memory reserved for other jobs count as in use, except for a
    guaranteed job and a job whose slots were reserved: several reservations
    may count on the cores of the same stopped borrower.

    Raises:
        PlacementRefusedError: The worker has too few cores or memory.
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
