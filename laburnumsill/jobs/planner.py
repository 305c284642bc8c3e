"""The planner of a domain: a function of its state, the time and the policy.

A pass yields commands one by one. The caller applies each command before it
requests the next, so every step is planned on the state after the previous
one. The planner does no I/O, and no step iterates over all jobs or workers.
"""

import dataclasses
import heapq
import math
from collections import abc

from laburnumsill.jobs import claims
from laburnumsill.jobs import fit
from laburnumsill.jobs import gang_help
from laburnumsill.jobs import policy as policies
from laburnumsill.jobs import sharing
from laburnumsill.jobs import steps as steps_module
from laburnumsill.state import jobs_book
from laburnumsill.state import jobs_messages
from laburnumsill.state import jobs_queue
from laburnumsill.state import placements

MAX_SHAPES_PER_PASS = 256
"""Maximum number of shapes of borrowing jobs that one pass tries to place."""

URGENT_CHECKPOINT_S = 1.0
"""Checkpoint timeout of borrowers preempted by an urgent job, in seconds."""

REFUSAL_RETRY_S = 0.5
"""Delay before a refused step is planned again, in seconds.

The step is retried even if no capacity became free, because the cause of the
refusal may end without freeing any.
"""


@dataclasses.dataclass(slots=True)
class NegativeCache:
    """Negative cache: searches that failed and need not be repeated yet.

    An entry is valid until capacity becomes free, which `Pool.freed` counts.

    Attributes:
        retry_at: Wall time at which the whole cache is cleared.
        freed: `Pool.freed` for which `unclaimable` is valid.
        unplaceable: Shapes for which no free slots were found, with the
            `Pool.freed` of that search.
        unclaimable: Accounts and shapes for which no claim was found.
    """

    retry_at: float = math.inf
    freed: int = -1
    unplaceable: dict[jobs_queue.Shape, int] = dataclasses.field(
        default_factory=dict
    )
    unclaimable: set[tuple[str, jobs_queue.Shape]] = dataclasses.field(
        default_factory=set
    )

    def refresh(self, freed: int, waiting: int, now: float) -> None:
        """Removes entries that are out of date and bounds the cache's size.

        Args:
            freed: The current `Pool.freed`.
            waiting: The number of shapes among the queued borrowing jobs.
            now: Wall time.
        """
        if now >= self.retry_at:
            self.retry_at = math.inf
            self.unplaceable.clear()
            self.unclaimable.clear()
        if freed != self.freed:
            self.freed = freed
            self.unclaimable.clear()
        if len(self.unplaceable) > 2 * waiting + MAX_SHAPES_PER_PASS:
            self.unplaceable.clear()

    def shapes_to_try(
        self, shapes: abc.Iterable[jobs_queue.Shape]
    ) -> set[jobs_queue.Shape]:
        """Returns the shapes that this pass tries to place.

        If there are more than `MAX_SHAPES_PER_PASS`, these are the least
        recently tried ones.
        """
        found = [
            shape
            for shape in shapes
            if self.unplaceable.get(shape, -1) != self.freed
        ]
        if len(found) > MAX_SHAPES_PER_PASS:
            found.sort(key=lambda shape: self.unplaceable.get(shape, -1))
        return set(found[:MAX_SHAPES_PER_PASS])


class Planner:
    """Plans the placements, reservations and preemptions of one domain."""

    def __init__(self) -> None:
        self._cache = NegativeCache()

    def steps(
        self, book: jobs_book.JobBook, policy: policies.Policy, now: float
    ) -> abc.Iterator[steps_module.Step]:
        """Yields the steps of one pass, the most urgent first.

        Args:
            book: The domain's state; the caller changes it between steps.
            policy: Weights and limits.
            now: Wall time.
        """
        waiting = len(book.queue.borrowing_shapes())
        self._cache.refresh(book.pool.freed, waiting, now)
        yield from self._place_reserved(book, now)
        yield from self._claim_guaranteed(book, policy, now)
        yield from self._gangs(book, policy, now)
        yield from self._place_borrowers(book, policy, now)

    def record_refusal(
        self,
        book: jobs_book.JobBook,
        command: steps_module.Command,
        now: float,
    ) -> None:
        """Records that the ledger refused a step, so that others are tried.

        A step is refused if another command was committed between planning
        and commit. If that command took the job out of the queue, such as a
        cancellation, other jobs of the same shape stay eligible. Otherwise
        the shape is skipped until capacity becomes free, but for no longer
        than `REFUSAL_RETRY_S`.
        """
        if isinstance(command, jobs_messages.ReturnWorker):
            return
        job = book.jobs.get(command.job_id)
        if job is None or job.state is not jobs_messages.JobState.QUEUED:
            return
        shape = jobs_queue.shape_of(job)
        if job.spec.guaranteed:
            self._cache.unclaimable.add((job.spec.account, shape))
        else:
            self._cache.unplaceable[shape] = book.pool.freed
        self._cache.retry_at = now + REFUSAL_RETRY_S

    def _place_reserved(
        self, book: jobs_book.JobBook, now: float
    ) -> abc.Iterator[steps_module.Step]:
        """Places the jobs whose reserved slots have become free.

        A reservation on a worker that accepts no new tasks, because it is
        leaving or in quarantine, could never be used; it is dropped and the
        job is planned again.
        """
        for job in list(book.held.values()):
            if not job.hold:
                continue
            if not is_reservation_usable(book, job):
                yield steps_module.Step(
                    jobs_messages.DropHold(job.job_id, now), "held-slots-lost"
                )
            elif is_reservation_free(book, job):
                yield steps_module.Step(
                    steps_module.place_command(job, job.hold, now),
                    "held-slots-free",
                )

    def _claim_guaranteed(
        self, book: jobs_book.JobBook, policy: policies.Policy, now: float
    ) -> abc.Iterator[steps_module.Step]:
        """Claims cells for guaranteed jobs, by account, in submission order.

        If the oldest job does not fit into its account's unused guarantee,
        smaller jobs of the account may overtake it (backfill) until it has
        waited for the gang wait bound.
        """
        for account in book.queue.accounts(guaranteed=True):
            account_queue = book.queue.line(True, account)
            while account_queue is not None:
                step = self._claim(book, account_queue, account, policy, now)
                if step is None:
                    break
                yield step
                account_queue = book.queue.line(True, account)

    def _claim(
        self,
        book: jobs_book.JobBook,
        account_queue: jobs_queue.Line,
        account: str,
        policy: policies.Policy,
        now: float,
    ) -> steps_module.Step | None:
        for shape, job_id in account_queue.heads():
            job = book.jobs[job_id]
            if job.hold:
                continue
            if (account, shape) not in self._cache.unclaimable:
                claim = claims.find_claim(book, job, now)
                if claim is not None:
                    return claim_step(job, claim, policy, now)
                self._cache.unclaimable.add((account, shape))
            if now - job.submitted_at > policy.gang_wait_bound_s:
                return None
        return None

    def _gangs(
        self, book: jobs_book.JobBook, policy: policies.Policy, now: float
    ) -> abc.Iterator[steps_module.Step]:
        """Makes reservations and preemptions for large gangs that starve."""
        yield from gang_help.steps(book, policy, now)

    def _place_borrowers(
        self, book: jobs_book.JobBook, policy: policies.Policy, now: float
    ) -> abc.Iterator[steps_module.Step]:
        """Places borrowing jobs, the account with the lowest share first.

        Only shapes without an entry in the negative cache are tried, and a
        shape is dropped from the pass after its first failure.
        """
        shapes = self._cache.shapes_to_try(book.queue.borrowing_shapes())
        shares = [
            (sharing.dominant_share(book, policy, account), account)
            for account in book.queue.accounts(guaranteed=False)
        ]
        shares.sort()
        while shapes and shares:
            share, account = heapq.heappop(shares)
            step = self._place_next_borrower(book, account, shapes, now)
            if step is None:
                continue
            yield step
            share = sharing.dominant_share(book, policy, account)
            heapq.heappush(shares, (share, account))

    def _place_next_borrower(
        self,
        book: jobs_book.JobBook,
        account: str,
        shapes: set[jobs_queue.Shape],
        now: float,
    ) -> steps_module.Step | None:
        """Returns the placement of an account's next job that fits, or None.

        Removes from `shapes` those for which no free slots are found. A
        failure of a job that avoids workers says nothing about its shape.
        """
        account_queue = book.queue.line(False, account)
        if account_queue is None:
            return None
        for job in head_jobs(book, account_queue, shapes):
            shape = jobs_queue.shape_of(job)
            if shape not in shapes:
                continue
            slots = fit.find_free(
                book.pool, job.spec, steps_module.avoided_workers(book, job)
            )
            if slots is not None:
                return steps_module.Step(
                    steps_module.place_command(job, slots, now), "best-fit"
                )
            if not job.failed_on:
                shapes.discard(shape)
                self._cache.unplaceable[shape] = book.pool.freed
        return None


def head_jobs(
    book: jobs_book.JobBook,
    account_queue: jobs_queue.Line,
    shapes: abc.Set[jobs_queue.Shape],
) -> list[placements.Job]:
    """Returns the first queued job of each shape, in scheduling order.

    Urgent jobs precede others; within both, the order is that of submission.
    Declared run times are ignored, because ordering by them gains nothing;
    see the design note.
    """
    found = [
        book.jobs[job_id]
        for shape in account_queue.shapes & shapes
        if (job_id := account_queue.first(shape)) is not None
    ]
    found.sort(key=jobs_queue.sort_key)
    return found


def claim_step(
    job: placements.Job,
    claim: claims.Claim,
    policy: policies.Policy,
    now: float,
) -> steps_module.Step:
    """Returns the placement, or the reservation that preempts the victims."""
    plan = claim.plan
    if plan.ready:
        place = jobs_messages.PlaceJob(
            job.job_id, job.epoch + 1, plan.slots, now, claim.bind
        )
        return steps_module.Step(place, "guarantee-free")
    time_to_save = policy.checkpoint_timeout_s
    if job.spec.urgent:
        time_to_save = min(time_to_save, URGENT_CHECKPOINT_S)
    return steps_module.Step(
        jobs_messages.HoldSlots(
            job.job_id,
            job.epoch,
            plan.slots,
            claim.bind,
            plan.victims,
            jobs_messages.StopReason.RECLAIMED,
            checkpoint_until=now + time_to_save,
            now=now,
        ),
        "guarantee-reclaimed",
    )


def is_reservation_usable(book: jobs_book.JobBook, job: placements.Job) -> bool:
    """Returns whether all workers of a job's reservation accept tasks."""
    workers = book.pool.workers
    return all(workers[slot.worker_id].usable for slot in job.hold)


def is_reservation_free(book: jobs_book.JobBook, job: placements.Job) -> bool:
    """Returns whether all reserved slots of a job are free."""
    counts: dict[str, int] = {}
    for slot in job.hold:
        worker = book.pool.workers[slot.worker_id]
        if worker.used_mask & slot.mask:
            return False
        counts[slot.worker_id] = counts.get(slot.worker_id, 0) + 1
    for worker_id, count in counts.items():
        worker = book.pool.workers[worker_id]
        own = worker.announced
        if own.cores - worker.used_cores < count * job.spec.cores:
            return False
        memory_gb = own.memory_gb - worker.used_memory_gb
        if memory_gb < count * job.spec.memory_gb:
            return False
    return True
