"""The jobs, workers and cells of a domain, and the changes to them.

Each change is checked first; if it is refused, an error is raised and the
state stays as it was. Derived state (free capacity, queue, placed jobs) is
maintained incrementally and rebuilt after a snapshot was loaded.

A hold is a reservation of slots for a queued job; the slots may still be in
use by the jobs that are preempted for it.
"""

import dataclasses
from collections import abc

from laburnumsill.core import errors
from laburnumsill.state import cells as cells_module
from laburnumsill.state import jobs_checks
from laburnumsill.state import jobs_messages
from laburnumsill.state import jobs_pool
from laburnumsill.state import jobs_queue
from laburnumsill.state import placements
from laburnumsill.state import workers

JobState = jobs_messages.JobState


@dataclasses.dataclass(slots=True)
class Use:
    """Resources in use by an account.

    Attributes:
        guaranteed: Accelerators of its guaranteed jobs.
        borrowed: Accelerators of its borrowing jobs.
        borrowed_cores: Cores of its borrowing jobs.
        running: Number of its jobs with a placement.
    """

    guaranteed: int = 0
    borrowed: int = 0
    borrowed_cores: int = 0
    running: int = 0


class JobBook:
    """The state of a domain's jobs.

    Attributes:
        jobs: All jobs by id, in the order of submission.
        pool: The workers.
        cells: The guarantees and the bound cells.
        queue: The queued jobs.
        live: The jobs with a placement, by id.
        unsettled: The jobs whose placement is preparing or stopping, by id.
        held: The jobs with reserved slots, by id.
        use: The resources in use by each account.
        large_in_use: Accelerators in use by large borrowing jobs.
    """

    def __init__(self) -> None:
        self.jobs: dict[str, placements.Job] = {}
        self.pool = jobs_pool.Pool()
        self.cells = cells_module.CellAllocator(self.pool)
        self.queue = jobs_queue.Queue()
        self.live: dict[str, placements.Job] = {}
        self.unsettled: dict[str, placements.Job] = {}
        self.held: dict[str, placements.Job] = {}
        self.use: dict[str, Use] = {}
        self.large_in_use = 0
        self._jobs_by_cell: dict[jobs_messages.Cell, set[str]] = {}

    def get(self, job_id: str) -> placements.Job:
        """Returns a job.

        Raises:
            errors.NotFoundError: There is no job with that id.
        """
        job = self.jobs.get(job_id)
        if job is None:
            raise errors.NotFoundError(f"no job {job_id!r}", job=job_id)
        return job

    def add(self, job: placements.Job) -> None:
        """Adds a new job to the queue."""
        self.jobs[job.job_id] = job
        self.queue.add(job)

    def remove(self, job_id: str) -> None:
        """Removes a job that has ended."""
        del self.jobs[job_id]

    def place(
        self,
        job: placements.Job,
        slots: tuple[jobs_messages.Slot, ...],
        bind: abc.Sequence[jobs_messages.Cell],
        now: float,
    ) -> None:
        """Places a queued job on slots under its next epoch.

        Raises:
            errors.ConflictError: A slot is not free or not allowed.
        """
        held = job.hold
        if held:
            self.pool.unreserve(job.job_id, job.spec, held)
        try:
            self._check_and_bind(job, slots, bind, slots == held)
        except errors.ConflictError:
            if held:
                self.pool.reserve(job.job_id, job.spec, held)
            raise
        self.held.pop(job.job_id, None)
        job.hold = ()
        self._release_cells(job, held, keep=slots)
        self.queue.remove(job)
        job.epoch += 1
        job.placement = placements.Placement(job.epoch, slots, now)
        job.state = JobState.PREPARING
        self._occupy(job)

    def reserve(
        self,
        job: placements.Job,
        slots: tuple[jobs_messages.Slot, ...],
        bind: abc.Sequence[jobs_messages.Cell],
    ) -> None:
        """Reserves slots for a queued job; borrowing jobs may be on them.

        Raises:
            errors.ConflictError: A slot is not allowed.
        """
        if job.hold:
            raise jobs_checks.PlacementRefusedError(
                f"{job.job_id} has slots held"
            )
        self._check_and_bind(
            job, slots, bind, was_held=False, may_be_in_use=True
        )
        job.hold = slots
        self.held[job.job_id] = job
        self.pool.reserve(job.job_id, job.spec, slots)

    def cancel_reservation(self, job: placements.Job) -> None:
        """Cancels the reservation of a job, if any."""
        if not job.hold:
            return
        held = job.hold
        self.pool.unreserve(job.job_id, job.spec, held)
        job.hold = ()
        del self.held[job.job_id]
        self._release_cells(job, held, keep=())

    def run(self, job: placements.Job, now: float) -> None:
        """Marks a job as running after all its tasks were prepared."""
        job.state = JobState.RUNNING
        job.started_at = now
        if job.placement is not None:
            job.placement.running = True
        del self.unsettled[job.job_id]

    def stop(
        self,
        job: placements.Job,
        reason: jobs_messages.StopReason,
        lease_until: float,
        checkpoint_until: float,
    ) -> None:
        """Marks a job's placement as stopping.

        If it is already stopping, a cancellation only ends the time to
        checkpoint.

        Args:
            job: The job; without a placement it is left unchanged.
            reason: Reason of the stop.
            lease_until: Wall time up to which its leases may be valid.
            checkpoint_until: Wall time up to which its tasks may checkpoint.
        """
        placement = job.placement
        if placement is None:
            return
        if placement.stopping is not None:
            if reason == jobs_messages.StopReason.CANCELLED:
                placement.checkpoint_until = 0.0
            return
        placement.stopping = reason
        placement.lease_bound = max(lease_until, checkpoint_until)
        placement.checkpoint_until = checkpoint_until
        job.state = JobState.STOPPING
        job.reason = str(reason)
        self.unsettled[job.job_id] = job

    def release_slots(self, job: placements.Job) -> None:
        """Frees the slots of a job's placement."""
        slots = job.slots
        self.pool.release(job.job_id, job.spec, slots)
        self._count_use(job, -1)
        job.placement = None
        del self.live[job.job_id]
        self.unsettled.pop(job.job_id, None)
        self._release_cells(job, slots, keep=())
        for worker_id in {slot.worker_id for slot in slots}:
            self._remove_if_gone(worker_id)

    def requeue(self, job: placements.Job, now: float) -> None:
        """Queues a job again, at its old position."""
        job.state = JobState.QUEUED
        job.queued_at = now
        self.queue.add(job)

    def end(
        self, job: placements.Job, state: JobState, reason: str, now: float
    ) -> None:
        """Ends a job without a placement."""
        if job.state == JobState.QUEUED:
            self.queue.remove(job)
        self.cancel_reservation(job)
        job.state = state
        job.reason = reason
        job.ended_at = now

    def put_worker(self, record: workers.WorkerRecord) -> None:
        """Adds or replaces a worker."""
        worker_id = record.announced.worker_id
        old = self.pool.workers.get(worker_id)
        self.pool.put(record)
        if old is not None and old.announced.rack != record.announced.rack:
            self.cells.refresh(old.announced.rack)
        self.cells.refresh(record.announced.rack)

    def worker_changed(self, worker_id: str) -> None:
        """Updates the derived state after a change of a worker's record.

        The slots of a usable worker may have become free by the change, for
        instance if it is no longer leaving or in quarantine.
        """
        worker = self.pool.workers[worker_id]
        if worker.usable:
            self.pool.freed += 1
        self.pool.reindex(worker_id)
        self.cells.refresh(worker.announced.rack)

    def lose_worker(self, worker_id: str) -> None:
        """Marks a worker as gone; it is removed once no task is on it."""
        worker = self.pool.workers[worker_id]
        for job_id in list(worker.holds):
            self.cancel_reservation(self.jobs[job_id])
        worker.gone = True
        self.worker_changed(worker_id)
        self._remove_if_gone(worker_id)

    def borrowers_with_holds(self, worker_id: str, mask: int) -> list[str]:
        """Returns the borrowing jobs with a hold on some accelerators."""
        holds = self.pool.workers[worker_id].holds
        return [
            job_id
            for job_id, held in holds.items()
            if held & mask and not self.jobs[job_id].spec.guaranteed
        ]

    def rebuild(self) -> None:
        """Rebuilds the derived state from jobs, workers and bound cells."""
        self.queue = jobs_queue.Queue()
        self.live = {}
        self.unsettled = {}
        self.held = {}
        self.use = {}
        self.large_in_use = 0
        self._jobs_by_cell = {}
        for job in self.jobs.values():
            if job.state == JobState.QUEUED:
                self.queue.add(job)
            if job.placement is not None:
                self._occupy(job)
            if job.hold:
                self.held[job.job_id] = job
                self.pool.reserve(job.job_id, job.spec, job.hold)
                self._use_cells(job, job.hold)

    def _occupy(self, job: placements.Job) -> None:
        self.live[job.job_id] = job
        if job.state != JobState.RUNNING:
            self.unsettled[job.job_id] = job
        self.pool.occupy(job.job_id, job.spec, job.slots)
        self._use_cells(job, job.slots)
        self._count_use(job, 1)

    def _count_use(self, job: placements.Job, sign: int) -> None:
        spec = job.spec
        use = self.use.setdefault(spec.account, Use())
        use.running += sign
        if jobs_queue.is_large(job):
            self.large_in_use += sign * spec.total_accelerators
        if spec.guaranteed:
            use.guaranteed += sign * spec.total_accelerators
        else:
            use.borrowed += sign * spec.total_accelerators
            use.borrowed_cores += sign * spec.tasks * spec.cores

    def _check_and_bind(
        self,
        job: placements.Job,
        slots: tuple[jobs_messages.Slot, ...],
        bind: abc.Sequence[jobs_messages.Cell],
        was_held: bool,
        may_be_in_use: bool = False,
    ) -> None:
        """Checks slots for a job and binds cells.

        For a guaranteed job, the holds of borrowing jobs on the slots are
        cancelled.

        Args:
            job: A queued job without a hold.
            slots: The slots for its tasks.
            bind: Cells to bind to its account first.
            was_held: Whether the same slots were reserved for it until now.
            may_be_in_use: Whether borrowing jobs may still be on the slots.

        Raises:
            errors.ConflictError: A slot or a binding is not allowed.
        """
        spec = job.spec
        if len(slots) != spec.tasks:
            raise jobs_checks.PlacementRefusedError(
                f"{len(slots)} slots for {spec.tasks} tasks"
            )
        masks = jobs_checks.masks_of(slots)
        jobs_checks.check_rack(self.pool, spec, masks)
        if bind and not spec.guaranteed:
            raise jobs_checks.PlacementRefusedError("a borrower binds no cells")
        self.cells.bind(spec.account, bind)
        try:
            self._check_binding(job, slots, bind)
            for worker_id, (mask, count) in masks.items():
                self._check_worker(job, worker_id, mask, count, may_be_in_use)
                if not may_be_in_use:
                    jobs_checks.check_capacity(
                        self.pool.workers[worker_id], spec, count, was_held
                    )
        except errors.ConflictError:
            for cell in bind:
                self.cells.unbind(spec.account, cell)
            raise
        if spec.guaranteed:
            for worker_id, (mask, _) in masks.items():
                for other in self.borrowers_with_holds(worker_id, mask):
                    self.cancel_reservation(self.jobs[other])
            self._use_cells(job, slots)

    def _check_binding(
        self,
        job: placements.Job,
        slots: abc.Iterable[jobs_messages.Slot],
        bind: abc.Iterable[jobs_messages.Cell],
    ) -> None:
        unused = set(bind) - set(self._cells_of(job, slots))
        if unused:
            raise jobs_checks.PlacementRefusedError(f"no slot is in {unused}")

    def _check_worker(
        self,
        job: placements.Job,
        worker_id: str,
        mask: int,
        count: int,
        may_be_in_use: bool,
    ) -> None:
        """Checks the slots of a job on one worker."""
        spec = job.spec
        worker = self.pool.workers[worker_id]
        required = worker.footprint(spec) * count
        wrong_size = mask.bit_count() != required
        if wrong_size or mask & ~worker.full_mask:
            raise jobs_checks.PlacementRefusedError(
                f"mask {mask:b} of {worker_id!r} is not {required} accelerators"
            )
        unavailable = self.guaranteed_mask(worker)
        if not may_be_in_use:
            unavailable |= worker.used_mask
        if spec.guaranteed:
            unavailable |= ~self.cells.owned_mask(spec.account, worker_id)
        else:
            unavailable |= worker.held_mask
        if mask & unavailable:
            raise jobs_checks.PlacementRefusedError(
                f"mask {mask:b} of {worker_id!r} is not free for {job.job_id}"
            )

    def guaranteed_mask(self, worker: workers.WorkerRecord) -> int:
        """Returns the accelerators that guaranteed jobs reserve or use."""
        mask = 0
        for job_id, held in worker.holds.items():
            if self.jobs[job_id].spec.guaranteed:
                mask |= held
        for job_id, share in worker.tasks.items():
            if self.jobs[job_id].spec.guaranteed:
                mask |= share.mask
        return mask

    def _use_cells(
        self, job: placements.Job, slots: abc.Iterable[jobs_messages.Slot]
    ) -> None:
        if not job.spec.guaranteed:
            return
        for cell in self._cells_of(job, slots):
            self._jobs_by_cell.setdefault(cell, set()).add(job.job_id)

    def _release_cells(
        self,
        job: placements.Job,
        slots: abc.Iterable[jobs_messages.Slot],
        keep: abc.Iterable[jobs_messages.Slot],
    ) -> None:
        if not job.spec.guaranteed:
            return
        kept = set(self._cells_of(job, keep))
        for cell in self._cells_of(job, slots):
            if cell in kept:
                continue
            users = self._jobs_by_cell.get(cell, set())
            users.discard(job.job_id)
            if not users:
                self._jobs_by_cell.pop(cell, None)
                self.cells.unbind(job.spec.account, cell)

    def _cells_of(
        self, job: placements.Job, slots: abc.Iterable[jobs_messages.Slot]
    ) -> list[jobs_messages.Cell]:
        """Returns the account's bound cells that contain some of the slots."""
        masks: dict[str, int] = {}
        for slot in slots:
            masks[slot.worker_id] = masks.get(slot.worker_id, 0) | slot.mask
        found = []
        for cell in self.cells.bound.get(job.spec.account, ()):
            if any(
                self.cells.overlaps(cell, worker_id, mask)
                for worker_id, mask in masks.items()
            ):
                found.append(cell)
        return found

    def _remove_if_gone(self, worker_id: str) -> None:
        worker = self.pool.workers.get(worker_id)
        if worker is None or not worker.gone or worker.tasks:
            return
        self.pool.remove(worker_id)
        self.cells.remove_worker(worker_id)
        self.cells.refresh(worker.announced.rack)
