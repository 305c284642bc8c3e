"""Renewal of the leases of running tasks, and detection of ended tasks.

The answer to a renewal contains the state of the task, so one call per task
does both. A whole gang is stopped if a member failed or was lost, or if the
lease of a member is about to expire because its renewals fail.
"""

import collections
from collections import abc

import trio

from laburnumsill.clients import worker as worker_client
from laburnumsill.core import clock as clocks
from laburnumsill.core import errors
from laburnumsill.core import logs
from laburnumsill.core import metrics as metrics_module
from laburnumsill.jobs import access
from laburnumsill.jobs import gangs
from laburnumsill.jobs import leases
from laburnumsill.state import jobs_messages
from laburnumsill.state import placements

Action = worker_client.Action
StopReason = jobs_messages.StopReason

BASE_INTERVAL_S = 1.0
"""Interval of renewals while few jobs run, in seconds."""

RENEWALS_PER_S = 500
"""Target number of running jobs renewed per second.

With more jobs than that, the interval grows in proportion, but never beyond
what leases allow.
"""

STOP_BELOW_FRACTION = 0.34
"""Fraction of a lease; a gang is stopped if a member's lease has less left."""

MAX_WORKERS_AT_ONCE = 256
"""Maximum number of workers that are called concurrently."""

MAX_CALL_TIMEOUT_S = 1.0
"""Maximum timeout of a renewal, in seconds."""

CALL_LEASE_FRACTION = 1 / 6
"""Maximum timeout of a renewal as a fraction of a lease.

It keeps a stalled worker from delaying the next round.
"""


class Watch:
    """Renews the leases of one domain's running placements.

    Attributes:
        contacts: Monotonic time of the last contact with each worker.
    """

    def __init__(
        self,
        domain: access.DomainAccess,
        granter: leases.LeaseGranter,
        driver: gangs.GangDriver,
        client: worker_client.WorkerClient,
        clock: clocks.Clock,
        metrics: metrics_module.Metrics,
        limits: abc.Callable[[], gangs.GangLimits],
    ) -> None:
        self.contacts: dict[str, float] = {}
        self._domain = domain
        self._granter = granter
        self._driver = driver
        self._client = client
        self._clock = clock
        self._metrics = metrics
        self._limits = limits
        self._renewed: dict[str, float] = {}
        self._succeeded: dict[str, set[str]] = {}

    async def run(self) -> None:
        """Renews all running tasks periodically until cancelled."""
        while True:
            began = self._clock.monotonic()
            live = len(self._domain.ledger.book.live)
            if live:
                await self._renew_all()
            spent = self._clock.monotonic() - began
            await trio.sleep(max(0.02, self._interval(live) - spent))

    def _interval(self, live: int) -> float:
        longest = self._limits().lease_s / leases.RENEWALS_PER_LEASE
        wanted = max(BASE_INTERVAL_S, live / RENEWALS_PER_S)
        return min(longest, wanted)

    async def _renew_all(self) -> None:
        """Renews all running tasks, concurrently for different workers."""
        expires_at = await self._granter.extend_if_due(self._limits().lease_s)
        by_worker = self._by_worker()
        self._prune()
        at_once = trio.CapacityLimiter(MAX_WORKERS_AT_ONCE)
        async with trio.open_nursery() as nursery:
            for members in by_worker.values():
                nursery.start_soon(
                    self._renew_on_worker, members, expires_at, at_once
                )

    def _by_worker(
        self,
    ) -> dict[str, list[tuple[placements.Job, gangs.Member]]]:
        found: dict[str, list[tuple[placements.Job, gangs.Member]]]
        found = collections.defaultdict(list)
        for job in self._domain.ledger.book.live.values():
            if not _is_running(job) or not self._granter.may_renew(job.job_id):
                continue
            done = self._succeeded.get(job.job_id, ())
            for member in self._driver.members(job):
                if member.task_id not in done:
                    found[member.slot.worker_id].append((job, member))
        return found

    def _prune(self) -> None:
        """Removes the records of jobs without a placement."""
        live = self._domain.ledger.book.live
        for job_id in [j for j in self._succeeded if j not in live]:
            del self._succeeded[job_id]
        if len(self._renewed) > 2 * sum(len(j.slots) for j in live.values()):
            names = {m.task_id for j in live.values() for m in self._members(j)}
            self._renewed = {
                name: expires_at
                for name, expires_at in self._renewed.items()
                if name in names
            }

    def _members(self, job: placements.Job) -> list[gangs.Member]:
        return self._driver.members(job)

    async def _renew_on_worker(
        self,
        members: abc.Sequence[tuple[placements.Job, gangs.Member]],
        expires_at: float,
        at_once: trio.CapacityLimiter,
    ) -> None:
        async with at_once:
            reachable = True
            for job, member in members:
                epoch = job.epoch
                if not _is_running(job):
                    continue
                if reachable:
                    reachable = await self._renew_task(
                        job, epoch, member, expires_at
                    )
                else:
                    await self._check_lease(job, epoch, member)

    async def _renew_task(
        self,
        job: placements.Job,
        epoch: int,
        member: gangs.Member,
        expires_at: float,
    ) -> bool:
        """Renews one task and returns whether its worker answered."""
        try:
            report = await self._renew(member, epoch, expires_at)
            if report.state == "prepared":
                # The previous leader committed the start but did not send it.
                report = await self._call(
                    Action.START, member, epoch, expires_at
                )
            state, reason = report.state, report.ended_reason or ""
        except worker_client.TaskNotLiveError as error:
            state = error.state
            reason = str(error.context.get("ended_reason") or error.detail)
        except worker_client.WorkerRefusedError as error:
            logs.event("renewal-refused", job=job.job_id, detail=error.detail)
            await self._check_lease(job, epoch, member)
            return True
        except worker_client.WorkerUnreachableError:
            await self._check_lease(job, epoch, member)
            return False
        self.contacts[member.slot.worker_id] = self._clock.monotonic()
        if state in ("running", "prepared"):
            self._renewed[member.task_id] = expires_at
        else:
            await self._handle_end(job, epoch, member, state, reason)
        return True

    async def _renew(
        self, member: gangs.Member, epoch: int, expires_at: float
    ) -> worker_client.TaskReport:
        return await self._call(Action.RENEW, member, epoch, expires_at)

    async def _call(
        self,
        action: Action,
        member: gangs.Member,
        epoch: int,
        expires_at: float,
    ) -> worker_client.TaskReport:
        longest = CALL_LEASE_FRACTION * self._limits().lease_s
        timeout_s = min(MAX_CALL_TIMEOUT_S, longest)
        return await self._client.act(
            member.address,
            action,
            member.task_id,
            epoch,
            expires_at,
            self._clock.monotonic() + timeout_s,
        )

    async def _check_lease(
        self, job: placements.Job, epoch: int, member: gangs.Member
    ) -> None:
        """Stops the gang if the member's lease is about to expire."""
        if not _is_running_epoch(job, epoch):
            return
        expires_at = self._renewed.setdefault(
            member.task_id, self._clock.wall() + self._limits().lease_s
        )
        left = expires_at - self._clock.wall()
        if left < STOP_BELOW_FRACTION * self._limits().lease_s:
            await self._driver.commit_stop(
                job.job_id,
                epoch,
                StopReason.WORKER_LOST,
                detail=f"{member.slot.worker_id} did not renew",
            )

    async def _handle_end(
        self,
        job: placements.Job,
        epoch: int,
        member: gangs.Member,
        state: str,
        reason: str,
    ) -> None:
        if not _is_running_epoch(job, epoch):
            return
        if state == "succeeded":
            await self._member_succeeded(job, epoch, member)
            return
        failed = state == "failed"
        await self._driver.commit_stop(
            job.job_id,
            epoch,
            StopReason.TASK_FAILED if failed else StopReason.WORKER_LOST,
            blamed=member.slot.worker_id if failed else "",
            detail=f"{member.task_id} {state or 'unknown'}: {reason}",
        )

    async def _member_succeeded(
        self, job: placements.Job, epoch: int, member: gangs.Member
    ) -> None:
        done = self._succeeded.setdefault(job.job_id, set())
        done.add(member.task_id)
        ended = {m.task_id for m in self._members(job)}
        if not ended <= done:
            return
        try:
            await self._domain.propose(
                jobs_messages.JobSucceeded(
                    job.job_id,
                    epoch,
                    self._clock.wall(),
                    self._limits().bad_worker_jobs,
                )
            )
        except errors.ConflictError as error:
            logs.event("success-refused", job=job.job_id, detail=error.detail)
            return
        self._metrics.count("jobs_ended_total", outcome="succeeded")
        logs.event("job-succeeded", job=job.job_id, epoch=epoch)


def _is_running(job: placements.Job) -> bool:
    """Returns whether a job's placement is running and not stopping."""
    placement = job.placement
    return (
        placement is not None
        and placement.running
        and placement.stopping is None
    )


def _is_running_epoch(job: placements.Job, epoch: int) -> bool:
    """Returns whether a job is still running under the given epoch."""
    return _is_running(job) and job.epoch == epoch
