"""Choosing the slots that are kept free for a gang that waited too long.

No new work gets the slots; what runs on them ends by itself or, once the
gang has waited twice its bound, is stopped like any borrower for a claim.
"""

from laburnumsill.jobs import eviction
from laburnumsill.state import jobs_book
from laburnumsill.state import placements

CANDIDATES = 16
"""Racks that are compared."""


def find_drain(
    book: jobs_book.JobBook, job: placements.Job, now: float
) -> eviction.Room | None:
    """Returns the slots that are cheapest to drain for a gang, or None."""
    spec = job.spec
    best: eviction.Room | None = None
    racks = book.pool.racks_by_size(spec.total_accelerators)
    for number, rack in enumerate(racks):
        if number >= CANDIDATES:
            break
        costs = eviction.Costs(book, now)
        groups = []
        for worker in rack.workers.values():
            if not worker.usable or not worker.size(spec):
                continue
            mask = worker.full_mask & ~book.guaranteed_mask(worker)
            mask &= ~worker.held_mask
            chunks = eviction.chunks_on(worker, mask, spec.accelerators, costs)
            groups.append(chunks[: worker.size(spec)])
        chosen = eviction.take(groups, spec.tasks)
        if chosen is None:
            continue
        room = eviction.settle(book, job, chosen, costs)
        if room is not None and (best is None or room.cost < best.cost):
            best = room
    return best
