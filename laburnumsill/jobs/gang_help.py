"""Helping large borrowers that small ones keep from starting.

A gang past its bound goes first where it fits. Where enough is free but
scattered, small borrowers are moved out of its way after a part of the
bound; past the bound slots are drained for it, and past twice the bound
what still runs on them is stopped.
"""

from collections import abc

from laburnumsill.jobs import drains
from laburnumsill.jobs import eviction
from laburnumsill.jobs import fit
from laburnumsill.jobs import policy as policies
from laburnumsill.jobs import steps as steps_module
from laburnumsill.state import jobs_book
from laburnumsill.state import jobs_messages
from laburnumsill.state import jobs_queue
from laburnumsill.state import placements

MAX_DRAINS = 2
"""Gangs that slots are drained for at a time."""

LARGE_SHARE = 0.85
"""Part of a domain up to which large borrowers are helped."""

GANGS_A_PASS = 4
"""Large borrowers that one pass sees to at most, the oldest first."""


def steps(
    book: jobs_book.JobBook, policy: policies.Policy, now: float
) -> abc.Iterator[steps_module.Step]:
    """Sees to the large borrower that waited longest and can be helped."""
    draining = [j for j in book.held.values() if not j.spec.guaranteed]
    for job in draining:
        step = hasten(book, job, policy, now)
        if step is not None:
            yield step
    for gang in longest_waiting(book):
        if not has_share(book, gang):
            continue
        step = _for_gang(book, gang, len(draining), policy, now)
        if step is not None:
            yield step
            return


def _for_gang(
    book: jobs_book.JobBook,
    gang: placements.Job,
    draining: int,
    policy: policies.Policy,
    now: float,
) -> steps_module.Step | None:
    """Returns what helps a gang along, the mildest that does."""
    waited = now - gang.queued_at
    if waited > policy.gang_wait_bound_s:
        slots = fit.find_free(
            book.pool, gang.spec, steps_module.avoided(book, gang)
        )
        if slots is not None:
            return steps_module.Step(
                steps_module.place(gang, slots, now), "gang-first"
            )
    if draining >= MAX_DRAINS:
        return None
    if waited > policy.move_patience_s and can_move(book, gang):
        room = drains.find_drain(book, gang, policy, now)
        if room is not None:
            return drain_step(gang, room, room.victims, policy, now)
    if waited > policy.gang_wait_bound_s:
        room = drains.find_drain(book, gang, policy, now)
        if room is not None:
            return drain_step(gang, room, (), policy, now)
    return None


def longest_waiting(book: jobs_book.JobBook) -> list[placements.Job]:
    """Returns the oldest large borrowers that no slots are held for."""
    found: list[placements.Job] = []
    for job_id in book.queue.large():
        job = book.jobs[job_id]
        if not job.hold:
            found.append(job)
        if len(found) >= GANGS_A_PASS:
            break
    return found


def has_share(book: jobs_book.JobBook, gang: placements.Job) -> bool:
    """Returns whether large borrowers have less than what they may claim.

    They are helped up to a part of the domain, one gang at least, so that
    small jobs move too; beyond it they compete like all others.
    """
    held = sum(
        job.spec.total_accelerators
        for job in book.held.values()
        if jobs_queue.is_large(job)
    )
    size = gang.spec.total_accelerators
    share = LARGE_SHARE * book.pool.accelerators
    return book.large_in_use + held + size <= max(share, size)


def can_move(book: jobs_book.JobBook, gang: placements.Job) -> bool:
    """Returns whether a gang only lacks that what is free is together.

    What is stopped to make room for it fits into what is free elsewhere.
    """
    return book.pool.free_accelerators >= gang.spec.total_accelerators


def drain_step(
    gang: placements.Job,
    room: eviction.Room,
    victims: tuple[str, ...],
    policy: policies.Policy,
    now: float,
) -> steps_module.Step:
    """Returns the hold that keeps slots for a gang and stops the victims."""
    return steps_module.Step(
        jobs_messages.HoldSlots(
            gang.job_id,
            gang.epoch,
            room.slots,
            bind=(),
            victims=victims,
            reason=jobs_messages.StopReason.DRAINED,
            checkpoint_until=now + policy.checkpoint_timeout_s,
            now=now,
        ),
        "move-borrowers-together" if victims else "gang-waited-past-bound",
    )


def hasten(
    book: jobs_book.JobBook,
    gang: placements.Job,
    policy: policies.Policy,
    now: float,
) -> steps_module.Step | None:
    """Stops what still runs on slots that drain for too long."""
    if now - gang.queued_at < drains.STOP_FACTOR * policy.gang_wait_bound_s:
        return None
    victims = tuple(
        victim
        for victim in in_way(book, gang)
        if drains.may_stop(book.jobs[victim], gang, policy, now)
    )
    if not victims:
        return None
    return steps_module.Step(
        jobs_messages.HoldSlots(
            gang.job_id,
            gang.epoch,
            gang.hold,
            bind=(),
            victims=victims,
            reason=jobs_messages.StopReason.DRAINED,
            checkpoint_until=now + policy.checkpoint_timeout_s,
            now=now,
        ),
        "drain-took-too-long",
    )


def in_way(book: jobs_book.JobBook, job: placements.Job) -> tuple[str, ...]:
    """Returns the borrowers that still run on a job's held slots."""
    costs = eviction.Costs(book, 0.0)
    chunks = [
        eviction.Chunk(0.0, slot.worker_id, slot.mask) for slot in job.hold
    ]
    room = eviction.settle(book, job, chunks, costs)
    return room.victims if room is not None else ()
