"""The planner: what to do next in a domain, from its state, time and policy.

A pass yields commands one by one. The caller applies each before it asks
for the next, so every step sees the state that the one before has left.
Nothing here does I/O, and no step looks at all jobs or all workers.
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

SHAPES_A_PASS = 256
"""Shapes of borrowing jobs that one pass tries at most."""

URGENT_CHECKPOINT_S = 1.0
"""Time in seconds that borrowers have to save work for an urgent claim."""

RETRY_REFUSED_S = 0.5
"""A step that the ledger refused is planned again after this, in seconds,
though nothing became free: what stood in its way may be gone without that."""


@dataclasses.dataclass(slots=True)
class Memory:
    """What a pass need not try again until something becomes free.

    Attributes:
        retry_at: From this point, wall time, all is tried again.
        freed: `Pool.freed` when `stuck` was noted.
        full: Shapes that no free slots were found for, with `Pool.freed` as
            it was then.
        stuck: Accounts and shapes that no claim was found for.
    """

    retry_at: float = math.inf
    freed: int = -1
    full: dict[jobs_queue.Shape, int] = dataclasses.field(default_factory=dict)
    stuck: set[tuple[str, jobs_queue.Shape]] = dataclasses.field(
        default_factory=set
    )

    def refresh(self, freed: int, waiting: int, now: float) -> None:
        """Forgets what may have changed since, and shapes that wait no more.

        Args:
            freed: `Pool.freed` now.
            waiting: The number of shapes that wait.
            now: Wall time.
        """
        if now >= self.retry_at:
            self.retry_at = math.inf
            self.full.clear()
            self.stuck.clear()
        if freed != self.freed:
            self.freed = freed
            self.stuck.clear()
        if len(self.full) > 2 * waiting + SHAPES_A_PASS:
            self.full.clear()

    def untried(
        self, shapes: abc.Iterable[jobs_queue.Shape]
    ) -> set[jobs_queue.Shape]:
        """Returns the shapes to look at in this pass.

        Of very many shapes those tried longest ago are taken.
        """
        found = [
            shape for shape in shapes if self.full.get(shape, -1) != self.freed
        ]
        if len(found) > SHAPES_A_PASS:
            found.sort(key=lambda shape: self.full.get(shape, -1))
        return set(found[:SHAPES_A_PASS])


class Planner:
    """Plans for one domain."""

    def __init__(self) -> None:
        self._memory = Memory()

    def steps(
        self, book: jobs_book.JobBook, policy: policies.Policy, now: float
    ) -> abc.Iterator[steps_module.Step]:
        """Yields what to do now, the most urgent first.

        Args:
            book: The domain's state; it changes between two steps.
            policy: Weights and limits.
            now: Wall time.
        """
        waiting = len(book.queue.borrowing_shapes())
        self._memory.refresh(book.pool.freed, waiting, now)
        yield from self._held(book, now)
        yield from self._guaranteed(book, policy, now)
        yield from self._gangs(book, policy, now)
        yield from self._borrowers(book, policy, now)

    def refused(
        self,
        book: jobs_book.JobBook,
        command: steps_module.Command,
        now: float,
    ) -> None:
        """Notes that the ledger refused a step, so that others come first.

        Another command came between the plan and its commit. If it was about
        the job itself, as its cancellation, others of its shape may go there
        at once. Otherwise the shape is passed over until something becomes
        free, or for `RETRY_REFUSED_S`.
        """
        if isinstance(command, jobs_messages.ReturnWorker):
            return
        job = book.jobs.get(command.job_id)
        if job is None or job.state is not jobs_messages.JobState.QUEUED:
            return
        shape = jobs_queue.shape_of(job)
        if job.spec.guaranteed:
            self._memory.stuck.add((job.spec.account, shape))
        else:
            self._memory.full[shape] = book.pool.freed
        self._memory.retry_at = now + RETRY_REFUSED_S

    def _held(
        self, book: jobs_book.JobBook, now: float
    ) -> abc.Iterator[steps_module.Step]:
        """Places the jobs whose held slots have become free.

        A hold on a worker that gets no new tasks, as one that is leaving or
        set aside, would wait for it: it is given up and planned anew.
        """
        for job in list(book.held.values()):
            if not job.hold:
                continue
            if not is_usable(book, job):
                yield steps_module.Step(
                    jobs_messages.DropHold(job.job_id, now), "held-slots-lost"
                )
            elif is_free(book, job):
                yield steps_module.Step(
                    steps_module.place(job, job.hold, now), "held-slots-free"
                )

    def _guaranteed(
        self, book: jobs_book.JobBook, policy: policies.Policy, now: float
    ) -> abc.Iterator[steps_module.Step]:
        """Claims cells, account by account, in order of submission.

        A claim that does not fit its account's guarantee now lets smaller
        ones past until it has waited for the gang bound.
        """
        for account in book.queue.accounts(guaranteed=True):
            line = book.queue.line(True, account)
            while line is not None:
                step = self._claim(book, line, account, policy, now)
                if step is None:
                    break
                yield step
                line = book.queue.line(True, account)

    def _claim(
        self,
        book: jobs_book.JobBook,
        line: jobs_queue.Line,
        account: str,
        policy: policies.Policy,
        now: float,
    ) -> steps_module.Step | None:
        for shape, job_id in line.heads():
            job = book.jobs[job_id]
            if job.hold:
                continue
            if (account, shape) not in self._memory.stuck:
                claim = claims.find_claim(book, job, now)
                if claim is not None:
                    return claim_step(job, claim, policy, now)
                self._memory.stuck.add((account, shape))
            if now - job.submitted_at > policy.gang_wait_bound_s:
                return None
        return None

    def _gangs(
        self, book: jobs_book.JobBook, policy: policies.Policy, now: float
    ) -> abc.Iterator[steps_module.Step]:
        """Helps large borrowers that have waited long."""
        yield from gang_help.steps(book, policy, now)

    def _borrowers(
        self, book: jobs_book.JobBook, policy: policies.Policy, now: float
    ) -> abc.Iterator[steps_module.Step]:
        """Places borrowing jobs, the account with the least share first.

        Only shapes for which a place may be free are looked at, and each is
        tried once in vain at most.
        """
        shapes = self._memory.untried(book.queue.borrowing_shapes())
        shares = [
            (sharing.share_of(book, policy, account), account)
            for account in book.queue.accounts(guaranteed=False)
        ]
        shares.sort()
        while shapes and shares:
            share, account = heapq.heappop(shares)
            step = self._borrow(book, account, shapes, now)
            if step is None:
                continue
            yield step
            share = sharing.share_of(book, policy, account)
            heapq.heappush(shares, (share, account))

    def _borrow(
        self,
        book: jobs_book.JobBook,
        account: str,
        shapes: set[jobs_queue.Shape],
        now: float,
    ) -> steps_module.Step | None:
        """Returns the placement of an account's next job that fits.

        Shapes that turn out to have no place are taken out of `shapes`.
        """
        line = book.queue.line(False, account)
        if line is None:
            return None
        for job in candidates(book, line, shapes):
            shape = jobs_queue.shape_of(job)
            if shape not in shapes:
                continue
            slots = fit.find_free(
                book.pool, job.spec, steps_module.avoided(book, job)
            )
            if slots is not None:
                return steps_module.Step(
                    steps_module.place(job, slots, now), "best-fit"
                )
            if not job.failed_on:
                shapes.discard(shape)
                self._memory.full[shape] = book.pool.freed
        return None


def candidates(
    book: jobs_book.JobBook,
    line: jobs_queue.Line,
    shapes: abc.Set[jobs_queue.Shape],
) -> list[placements.Job]:
    """Returns a line's first job of each of the shapes, the next one first.

    Urgent jobs go first, then those submitted first. Declared run times
    have no part in it: ordering by them did not pay, see the design note.
    """
    found = [
        book.jobs[job_id]
        for shape in line.shapes & shapes
        if (job_id := line.first(shape)) is not None
    ]
    found.sort(key=jobs_queue.sort_key)
    return found


def claim_step(
    job: placements.Job,
    claim: claims.Claim,
    policy: policies.Policy,
    now: float,
) -> steps_module.Step:
    """Returns the placement, or the hold that stops those in the way."""
    room = claim.room
    if room.ready:
        place = jobs_messages.PlaceJob(
            job.job_id, job.epoch + 1, room.slots, now, claim.bind
        )
        return steps_module.Step(place, "guarantee-free")
    time_to_save = policy.checkpoint_timeout_s
    if job.spec.urgent:
        time_to_save = min(time_to_save, URGENT_CHECKPOINT_S)
    return steps_module.Step(
        jobs_messages.HoldSlots(
            job.job_id,
            job.epoch,
            room.slots,
            claim.bind,
            room.victims,
            jobs_messages.StopReason.RECLAIMED,
            checkpoint_until=now + time_to_save,
            now=now,
        ),
        "guarantee-reclaimed",
    )


def is_usable(book: jobs_book.JobBook, job: placements.Job) -> bool:
    """Returns whether all workers of a job's held slots get new tasks."""
    workers = book.pool.workers
    return all(workers[slot.worker_id].usable for slot in job.hold)


def is_free(book: jobs_book.JobBook, job: placements.Job) -> bool:
    """Returns whether all held slots of a job can be taken now."""
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
