"""Starvation prevention for large borrowing gangs.

A gang that has waited past the gang wait bound is placed before others where
it fits. If enough capacity is free but fragmented, small borrowers are
preempted after a part of the bound, so that they restart elsewhere. Past the
bound, slots are reserved for the gang, and past twice the bound the borrowers
that still run on them are preempted.
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

MAX_RESERVATIONS = 2
"""Maximum number of borrowing gangs with a reservation at a time."""

LARGE_SHARE = 0.7
"""Fraction of a domain's accelerators up to which large gangs are favored.

The limit applies only while small borrowers wait past the bound too.
"""

MAX_GANGS_PER_PASS = 4
"""Maximum number of large gangs that one pass considers, oldest first."""


def steps(
    book: jobs_book.JobBook, policy: policies.Policy, now: float
) -> abc.Iterator[steps_module.Step]:
    """Yields preemptions on reserved slots, then a step for one waiting gang.

    That gang is the longest waiting one for which a step is found.
    """
    reserving = [j for j in book.held.values() if not j.spec.guaranteed]
    for job in reserving:
        step = preempt_on_reserved(book, job, policy, now)
        if step is not None:
            yield step
    for gang in oldest_large_jobs(book):
        if small_job_starves(book, policy, now) and not is_within_large_share(
            book, gang
        ):
            continue
        step = _help_gang(book, gang, len(reserving), policy, now)
        if step is not None:
            yield step
            return


def _help_gang(
    book: jobs_book.JobBook,
    gang: placements.Job,
    reserving: int,
    policy: policies.Policy,
    now: float,
) -> steps_module.Step | None:
    """Returns the least disruptive step that lets a gang start, or None."""
    waited = now - gang.queued_at
    if waited > policy.gang_wait_bound_s:
        slots = fit.find_free(
            book.pool, gang.spec, steps_module.avoided_workers(book, gang)
        )
        if slots is not None:
            return steps_module.Step(
                steps_module.place_command(gang, slots, now), "gang-first"
            )
    if reserving >= MAX_RESERVATIONS:
        return None
    if waited > policy.defragmentation_wait_s and is_fragmented(book, gang):
        plan = drains.find_reservation(book, gang, policy, now)
        if plan is not None:
            return reservation_step(gang, plan, plan.victims, policy, now)
    if waited > policy.gang_wait_bound_s:
        plan = drains.find_reservation(book, gang, policy, now)
        if plan is not None:
            return reservation_step(gang, plan, (), policy, now)
    return None


def oldest_large_jobs(book: jobs_book.JobBook) -> list[placements.Job]:
    """Returns the oldest large borrowers without a reservation."""
    found: list[placements.Job] = []
    for job_id in book.queue.large():
        job = book.jobs[job_id]
        if not job.hold:
            found.append(job)
        if len(found) >= MAX_GANGS_PER_PASS:
            break
    return found


def small_job_starves(
    book: jobs_book.JobBook, policy: policies.Policy, now: float
) -> bool:
    """Returns whether a small borrower has waited past the bound too."""
    job_id = book.queue.oldest_small()
    if job_id is None:
        return False
    return now - book.jobs[job_id].queued_at > policy.gang_wait_bound_s


def is_within_large_share(
    book: jobs_book.JobBook, gang: placements.Job
) -> bool:
    """Returns whether a gang fits into the share of large borrowers.

    The share is `LARGE_SHARE` of the domain, but at least one gang. While
    small jobs starve too, gangs beyond it are scheduled like all others.
    """
    held = sum(
        job.spec.total_accelerators
        for job in book.held.values()
        if jobs_queue.is_large(job)
    )
    size = gang.spec.total_accelerators
    share = LARGE_SHARE * book.pool.accelerators
    return book.large_in_use + held + size <= max(share, size)


def is_fragmented(book: jobs_book.JobBook, gang: placements.Job) -> bool:
    """Returns whether only fragmentation keeps a gang from starting.

    Enough accelerators are free then, so the borrowers preempted for the gang
    fit into the free capacity elsewhere.
    """
    return book.pool.free_accelerators >= gang.spec.total_accelerators


def reservation_step(
    gang: placements.Job,
    plan: eviction.PreemptionPlan,
    victims: tuple[str, ...],
    policy: policies.Policy,
    now: float,
) -> steps_module.Step:
    """Returns the reservation of slots for a gang that preempts the victims."""
    return steps_module.Step(
        jobs_messages.HoldSlots(
            gang.job_id,
            gang.epoch,
            plan.slots,
            bind=(),
            victims=victims,
            reason=jobs_messages.StopReason.DRAINED,
            checkpoint_until=now + policy.checkpoint_timeout_s,
            now=now,
        ),
        "move-borrowers-together" if victims else "gang-waited-past-bound",
    )


def preempt_on_reserved(
    book: jobs_book.JobBook,
    gang: placements.Job,
    policy: policies.Policy,
    now: float,
) -> steps_module.Step | None:
    """Returns the preemption of borrowers on slots reserved for too long."""
    if (
        now - gang.queued_at
        < drains.PREEMPTION_WAIT_FACTOR * policy.gang_wait_bound_s
    ):
        return None
    victims = tuple(
        victim
        for victim in victims_on_reserved(book, gang)
        if drains.may_preempt(book.jobs[victim], gang, policy, now)
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


def victims_on_reserved(
    book: jobs_book.JobBook, job: placements.Job
) -> tuple[str, ...]:
    """Returns the borrowers that still run on a job's reserved slots."""
    costs = eviction.PreemptionCosts(book, 0.0)
    candidates = [
        eviction.CandidateSlot(0.0, slot.worker_id, slot.mask)
        for slot in job.hold
    ]
    plan = eviction.plan_preemption(book, job, candidates, costs)
    return plan.victims if plan is not None else ()
