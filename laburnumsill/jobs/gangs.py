"""Start and stop of whole gangs.

A gang starts once every member has prepared and this is committed. If one
member fails, refuses or does not answer, all are stopped. The slots of a gang
are free again only when every member has confirmed its end or every lease
has expired.
"""

import dataclasses
from collections import abc

import trio

from laburnumsill.clients import worker as worker_client
from laburnumsill.core import clock as clocks
from laburnumsill.core import errors
from laburnumsill.core import logs
from laburnumsill.core import metrics as metrics_module
from laburnumsill.jobs import access
from laburnumsill.jobs import leases
from laburnumsill.state import jobs_messages
from laburnumsill.state import placements

Action = worker_client.Action
StopReason = jobs_messages.StopReason

CALL_TIMEOUT_S = 1.0
"""Timeout of one call to a worker, in seconds."""

STEP_LEASE_FRACTION = 0.3
"""Timeout of all attempts at one step, as a fraction of a lease."""

RETRY_PAUSE_S = 0.1
CHECKPOINT_POLL_S = 0.1
MAX_REFUSALS = 2
"""Number of refusals after which a step has failed."""


class StepFailedError(errors.LaburnumsillError):
    """A member could not be prepared or started."""

    slug = "gang-step-failed"
    title = "A member of the gang failed"

    def __init__(
        self,
        detail: str,
        *,
        worker_id: str = "",
        reason: str = "",
        retry_after_s: float | None = None,
    ) -> None:
        super().__init__(
            detail,
            retry_after_s=retry_after_s,
            worker_id=worker_id,
            reason=reason,
        )
        self.worker_id = worker_id
        self.reason = StopReason(reason or StopReason.REFUSED)


@dataclasses.dataclass(frozen=True, slots=True)
class Member:
    """One task of a placement.

    Attributes:
        task_id: Id of the task on its worker.
        address: Address of the worker's task interface.
        slot: The worker and the accelerators of the task.
    """

    task_id: str
    address: str
    slot: jobs_messages.Slot


@dataclasses.dataclass(frozen=True, slots=True)
class GangLimits:
    """The limits of the job policy that apply to placed gangs."""

    lease_s: float
    max_tries: int
    bad_worker_jobs: int


class GangDriver:
    """Starts and stops the placements of one domain."""

    def __init__(
        self,
        domain: access.DomainAccess,
        granter: leases.LeaseGranter,
        client: worker_client.WorkerClient,
        clock: clocks.Clock,
        metrics: metrics_module.Metrics,
        limits: abc.Callable[[], GangLimits],
    ) -> None:
        self._domain = domain
        self._granter = granter
        self._client = client
        self._clock = clock
        self._metrics = metrics
        self._limits = limits

    def members(self, job: placements.Job) -> list[Member]:
        """Returns the members of a job's placement."""
        workers = self._domain.ledger.book.pool.workers
        return [
            Member(
                placements.task_id(job.job_id, job.epoch, number),
                workers[slot.worker_id].announced.address,
                slot,
            )
            for number, slot in enumerate(job.slots)
        ]

    async def throttle(
        self, worker_id: str, task_id: str, epoch: int, share: float
    ) -> None:
        """Limits a task to a fraction of full speed.

        Raises:
            errors.LaburnumsillError: The worker is unknown, or the call
                failed.
        """
        worker = self._domain.ledger.book.pool.workers.get(worker_id)
        if worker is None:
            raise errors.NotFoundError(f"no worker {worker_id!r}")
        await self._client.act(
            worker.announced.address,
            Action.THROTTLE,
            task_id,
            epoch,
            self._granter.expires_at,
            self._clock.monotonic() + CALL_TIMEOUT_S,
            share,
        )

    async def start(self, job_id: str, epoch: int) -> None:
        """Prepares all members, commits the start, and starts them."""
        job = self._unstopped(job_id, epoch)
        if job is None:
            return
        members = self.members(job)
        try:
            await self._prepare_all(job, members)
            await self._domain.propose(
                jobs_messages.JobStarted(job_id, epoch, self._clock.wall())
            )
            await self._start_all(job_id, epoch, members)
        except StepFailedError as error:
            await self.commit_stop(
                job_id, epoch, error.reason, error.worker_id, error.detail
            )
        except errors.ConflictError as error:
            logs.event("start-refused", job=job_id, detail=error.detail)

    async def commit_stop(
        self,
        job_id: str,
        epoch: int,
        reason: StopReason,
        blamed: str = "",
        detail: str = "",
        checkpoint_until: float = 0.0,
    ) -> None:
        """Commits the stop of a placement; `stop` then executes it."""
        limits = self._limits()
        logs.decision(
            "placement-stopped",
            job=job_id,
            epoch=epoch,
            why=reason,
            worker=blamed,
            detail=detail,
        )
        self._metrics.count("placements_stopped_total", reason=reason)
        try:
            await self._domain.propose(
                jobs_messages.StopPlacement(
                    job_id,
                    epoch,
                    reason,
                    self._clock.wall(),
                    blamed=blamed,
                    detail=detail,
                    checkpoint_until=checkpoint_until,
                    max_tries=limits.max_tries,
                    bad_worker_jobs=limits.bad_worker_jobs,
                )
            )
        except errors.ConflictError as error:
            logs.event("stop-refused", job=job_id, detail=error.detail)

    async def stop(self, job_id: str, epoch: int) -> None:
        """Stops all members of a stopping placement and releases its slots."""
        job = self._domain.ledger.book.jobs[job_id]
        placement = job.placement
        if placement is None or placement.epoch != epoch:
            return
        members = self.members(job)
        if placement.running:
            await self._checkpoint_all(placement, members)
        confirmed = await self._stop_all(placement, members)
        if not confirmed:
            safe_in = placement.safe_at - self._clock.wall()
            await trio.sleep(max(0.0, safe_in) + RETRY_PAUSE_S)
        await self._domain.propose(
            jobs_messages.ReleasePlacement(
                job_id, epoch, confirmed, self._clock.wall()
            )
        )

    def _unstopped(self, job_id: str, epoch: int) -> placements.Job | None:
        """Returns the job if placement `epoch` is current and not stopping."""
        job = self._domain.ledger.book.jobs.get(job_id)
        if job is None or job.placement is None:
            return None
        placement = job.placement
        if placement.epoch != epoch or placement.stopping is not None:
            return None
        return job

    async def _prepare_all(
        self, job: placements.Job, members: abc.Sequence[Member]
    ) -> None:
        lease_s = self._limits().lease_s
        expires_at = await self._granter.extend_if_due(lease_s)
        deadline = self._clock.monotonic() + STEP_LEASE_FRACTION * lease_s

        async def prepare(member: Member) -> None:
            order = _prepare_order(job, member, expires_at)
            await self._retry(
                member,
                deadline,
                lambda call_deadline: self._client.prepare(
                    member.address, member.task_id, order, call_deadline
                ),
            )

        await self._run_on_all(members, prepare)

    async def _start_all(
        self, job_id: str, epoch: int, members: abc.Sequence[Member]
    ) -> None:
        lease_s = self._limits().lease_s
        expires_at = await self._granter.extend_if_due(lease_s)
        deadline = self._clock.monotonic() + STEP_LEASE_FRACTION * lease_s

        async def start(member: Member) -> None:
            if self._unstopped(job_id, epoch) is None:
                return
            await self._retry(
                member,
                deadline,
                lambda call_deadline: self._client.act(
                    member.address,
                    Action.START,
                    member.task_id,
                    epoch,
                    expires_at,
                    call_deadline,
                ),
            )

        await self._run_on_all(members, start)

    async def _run_on_all(
        self,
        members: abc.Sequence[Member],
        step: abc.Callable[[Member], abc.Awaitable[None]],
    ) -> None:
        """Runs a step for all members concurrently, up to the first failure."""
        failures: list[StepFailedError] = []

        async def run_on(member: Member, scope: trio.CancelScope) -> None:
            try:
                await step(member)
            except StepFailedError as error:
                failures.append(error)
                scope.cancel()

        async with trio.open_nursery() as nursery:
            for member in members:
                nursery.start_soon(run_on, member, nursery.cancel_scope)
        if failures:
            raise failures[0]

    async def _retry(
        self,
        member: Member,
        deadline: float,
        call: abc.Callable[[float], abc.Awaitable[worker_client.TaskReport]],
    ) -> None:
        """Retries a call until it succeeds.

        Raises:
            StepFailedError: The worker refused the call `MAX_REFUSALS` times,
                the task is not live, or the deadline passed without an answer.
        """
        refusals = 0
        while True:
            call_deadline = self._clock.monotonic() + CALL_TIMEOUT_S
            try:
                report = await call(min(call_deadline, deadline))
                if not report.live and report.state != "succeeded":
                    raise _step_failed(member, f"is {report.state}")
                return
            except worker_client.TaskNotLiveError as error:
                if error.state == "succeeded":
                    return
                raise _step_failed(member, error.detail) from error
            except worker_client.WorkerRefusedError as error:
                refusals += 1
                if refusals >= MAX_REFUSALS:
                    raise _step_failed(member, error.detail) from error
            except worker_client.WorkerUnreachableError as error:
                if self._clock.monotonic() >= deadline:
                    raise StepFailedError(
                        error.detail,
                        worker_id=member.slot.worker_id,
                        reason=StopReason.UNREACHABLE,
                    ) from error
            await trio.sleep(RETRY_PAUSE_S)

    async def _checkpoint_all(
        self,
        placement: placements.Placement,
        members: abc.Sequence[Member],
    ) -> None:
        """Checkpoints the members, up to the committed deadline."""
        if placement.checkpoint_until <= self._clock.wall():
            return
        async with trio.open_nursery() as nursery:
            for member in members:
                nursery.start_soon(self._checkpoint, placement, member)

    async def _checkpoint(
        self, placement: placements.Placement, member: Member
    ) -> None:
        began = self._clock.wall()
        action = Action.CHECKPOINT
        while self._clock.wall() < placement.checkpoint_until:
            call_deadline = self._clock.monotonic() + CALL_TIMEOUT_S
            try:
                report = await self._client.act(
                    member.address,
                    action,
                    member.task_id,
                    placement.epoch,
                    placement.checkpoint_until,
                    call_deadline,
                )
                action = Action.RENEW
                if (report.checkpointed_at or 0.0) >= began:
                    return
            except worker_client.WorkerRefusedError:
                return
            except worker_client.WorkerUnreachableError:
                pass
            await trio.sleep(CHECKPOINT_POLL_S)

    async def _stop_all(
        self,
        placement: placements.Placement,
        members: abc.Sequence[Member],
    ) -> bool:
        """Stops the members and returns whether all confirmed their end."""
        confirmed: list[bool] = []

        async def stop(member: Member) -> None:
            confirmed.append(await self._stop(placement, member))

        async with trio.open_nursery() as nursery:
            for member in members:
                nursery.start_soon(stop, member)
        return all(confirmed)

    async def _stop(
        self, placement: placements.Placement, member: Member
    ) -> bool:
        while self._clock.wall() < placement.safe_at + RETRY_PAUSE_S:
            call_deadline = self._clock.monotonic() + CALL_TIMEOUT_S
            try:
                report = await self._client.act(
                    member.address,
                    Action.STOP,
                    member.task_id,
                    placement.epoch,
                    placement.safe_at,
                    call_deadline,
                )
                if not report.live:
                    return True
            except worker_client.TaskNotLiveError:
                return True
            except (
                worker_client.WorkerRefusedError,
                worker_client.WorkerUnreachableError,
            ):
                pass
            await trio.sleep(RETRY_PAUSE_S)
        return False


def _step_failed(member: Member, detail: str) -> StepFailedError:
    return StepFailedError(
        detail, worker_id=member.slot.worker_id, reason=StopReason.REFUSED
    )


def _prepare_order(
    job: placements.Job, member: Member, expires_at: float
) -> worker_client.Prepare:
    spec = job.spec
    return worker_client.Prepare(
        job_id=job.job_id,
        epoch=job.epoch,
        lease_deadline=expires_at,
        accelerators=worker_client.indexes(member.slot.mask, spec.accelerators),
        cores=spec.cores,
        memory_gb=spec.memory_gb,
        run_s=spec.run_s,
        command=spec.command,
    )
