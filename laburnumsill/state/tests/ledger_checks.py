"""Invariants of a job ledger, computed from its jobs and workers only."""

import itertools

from laburnumsill.core import members
from laburnumsill.state import cells
from laburnumsill.state import jobs
from laburnumsill.state import jobs_messages

State = jobs_messages.JobState
PLACED = {State.PREPARING, State.RUNNING, State.STOPPING, State.CANCELLING}


def worker(name, rack, accelerators=4, incarnation="1", leaving=False):
    return members.Worker(
        worker_id=name, domain="north", rack=rack, address=name,
        incarnation=incarnation, sequence=1, cores=32, memory_gb=64,
        accelerators=accelerators, leaving=leaving,
    )  # fmt: skip


def check(ledger: jobs.JobLedger):
    book = ledger.book
    check_slots(book)
    check_states(book)
    check_cells(book)
    check_indexes(book)


def check_slots(book):
    """No accelerator is in two placements, and every gang is whole."""
    masks, cores, held = {}, {}, {}
    for job in book.jobs.values():
        if job.placement is not None:
            assert len(job.placement.slots) == job.spec.tasks
            assert job.placement.epoch == job.epoch
        for slot in job.slots:
            assert not masks.get(slot.worker_id, 0) & slot.mask, job
            masks[slot.worker_id] = masks.get(slot.worker_id, 0) | slot.mask
            cores[slot.worker_id] = (
                cores.get(slot.worker_id, 0) + job.spec.cores
            )
            if job.spec.accelerators:
                assert slot.mask.bit_count() >= job.spec.accelerators
        if job.spec.adjacency == "rack" and job.slots:
            racks = {
                book.pool.workers[s.worker_id].announced.rack for s in job.slots
            }
            assert len(racks) == 1
        for slot in job.hold:
            assert not held.get(slot.worker_id, 0) & slot.mask, job
            held[slot.worker_id] = held.get(slot.worker_id, 0) | slot.mask
    assert set(masks) <= set(book.pool.workers)
    for name, record in book.pool.workers.items():
        assert record.used_mask == masks.get(name, 0)
        assert record.used_cores == cores.get(name, 0)
        assert record.held_mask == held.get(name, 0)
        assert record.used_cores <= record.announced.cores
        assert not record.used_mask & ~record.full_mask


def check_states(book):
    """Each job is queued, has a placement or has ended."""
    waiting = 0
    for job in book.jobs.values():
        assert (job.placement is not None) == (job.state in PLACED), job
        assert (job.job_id in book.live) == (job.placement is not None)
        waiting += job.state == State.QUEUED
        assert not job.hold or job.state == State.QUEUED
        assert (job.job_id in book.held) == bool(job.hold)
        unsettled = job.state in PLACED - {State.RUNNING}
        assert (job.job_id in book.unsettled) == unsettled
    assert len(book.queue) == waiting
    queued = sum(
        len(book.queue.line(kind, account) or ())
        for kind in (True, False)
        for account in book.queue.accounts(kind)
    )
    assert queued == waiting


def check_cells(book):
    """Bound cells are disjoint and used, and contain all guaranteed tasks."""
    bound_masks, unused = {}, set()
    for account, bound in book.cells.bound.items():
        for cell in bound:
            for name, mask in masks_of(book, cell).items():
                assert not bound_masks.get(name, 0) & mask, cell
                bound_masks[name] = bound_masks.get(name, 0) | mask
            unused.add((account, cell))
    for job in book.jobs.values():
        if not job.spec.guaranteed:
            continue
        for slot in job.slots + job.hold:
            own = 0
            for cell in book.cells.bound.get(job.spec.account, ()):
                mask = masks_of(book, cell).get(slot.worker_id, 0)
                own |= mask
                if mask & slot.mask:
                    unused.discard((job.spec.account, cell))
            assert not slot.mask & ~own, (job, slot)
    assert not unused, f"bound and not used: {unused}"


def masks_of(book, cell):
    if cell.level == cells.Level.RACK:
        return {
            name: record.full_mask
            for name, record in book.pool.workers.items()
            if record.announced.rack == cell.rack
        }
    if cell.level == cells.Level.WORKER:
        return {cell.worker_id: book.pool.workers[cell.worker_id].full_mask}
    return {cell.worker_id: cell.mask}


def check_indexes(book):
    """Incrementally maintained totals equal recomputed ones."""
    for rack in book.pool.racks.values():
        assert rack.indexed_totals == rack.totals()
    assert book.pool.free_accelerators == sum(
        record.free_mask.bit_count()
        for record in book.pool.workers.values()
        if record.usable
    )
    for rack in book.pool.racks.values():
        maintained = book.cells.supply(rack.name)
        assert maintained == book.cells._count_supply(rack)


def restorable(book):
    """Returns whether hardware suffices for all unbound cells, by search.

    All hardware outside bound cells and unusable workers counts as free:
    the jobs on it are borrowing jobs and can be preempted.
    """
    bound = {}
    for account in book.cells.bound.values():
        for cell in account:
            for name, mask in masks_of(book, cell).items():
                bound[name] = bound.get(name, 0) | mask
    singles, pairs, whole, racks = book.cells.total_unbound()
    free, by_rack, whole_racks = {}, {}, []
    for name, record in book.pool.workers.items():
        by_rack.setdefault(record.announced.rack, []).append(name)
        if record.usable:
            free[name] = record.full_mask & ~bound.get(name, 0)
    for names in by_rack.values():
        if all(
            free.get(name) == book.pool.workers[name].full_mask
            for name in names
        ):
            whole_racks.append(names)
    for chosen in itertools.combinations(whole_racks, racks):
        gone = {name for names in chosen for name in names}
        rest = {name: mask for name, mask in free.items() if name not in gone}
        full = [
            name
            for name, mask in rest.items()
            if mask and mask == book.pool.workers[name].full_mask
        ]
        for assigned in itertools.combinations(full, whole):
            left = [m for name, m in rest.items() if name not in assigned]
            total = sum(mask.bit_count() for mask in left)
            in_pairs = sum(cells.whole_pairs(mask) for mask in left)
            if in_pairs >= pairs and total - 2 * pairs >= singles:
                return True
    return False
