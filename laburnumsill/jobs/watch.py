"""Renewing the leases of what runs, and noticing what has ended.

A renewal's answer tells how the task stands, so one call a task does both.
A gang is stopped whole when a member failed, was lost, or could not be
renewed for so long that its lease is about to end.
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

MAX_INTERVAL_S = 1.0
"""Longest time between two looks at a running task while there are few."""

CALLS_PER_S = 500
"""Renewals a second that looking more often than needed may cost."""

LAST_PART = 0.34
"""A gang is stopped once a member's lease has less than this part left."""

MAX_WORKERS_AT_ONCE = 256
MAX_CALL_TIMEOUT_S = 1.0
CALL_PART = 1 / 6
"""A renewal waits for its answer for this part of a lease at most, so that
a worker that hangs does not hold up the next round."""


class Watch:
    """Watches the running placements of one domain.

    Attributes:
        contacts: Monotonic point of the last answer of each worker.
    """

    def __init__(
        self,
        domain: access.DomainAccess,
        granter: leases.LeaseGranter,
        driver: gangs.GangDriver,
        client: worker_client.WorkerClient,
        clock: clocks.Clock,
        metrics: metrics_module.Metrics,
        limits: abc.Callable[[], gangs.Limits],
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
        """Looks at all running tasks again and again until cancelled."""
        while True:
            began = self._clock.monotonic()
            live = len(self._domain.ledger.book.live)
            if live:
                await self._round()
            spent = self._clock.monotonic() - began
            await trio.sleep(max(0.02, self._interval(live) - spent))

    def _interval(self, live: int) -> float:
        longest = self._limits().lease_s / leases.RENEWALS
        wanted = max(MAX_INTERVAL_S, live / CALLS_PER_S)
        return min(longest, wanted)

    async def _round(self) -> None:
        """Renews everything that runs, worker by worker."""
        until = await self._granter.fresh(self._limits().lease_s)
        by_worker = self._by_worker()
        self._forget()
        at_once = trio.CapacityLimiter(MAX_WORKERS_AT_ONCE)
        async with trio.open_nursery() as nursery:
            for members in by_worker.values():
                nursery.start_soon(self._worker, members, until, at_once)

    def _by_worker(
        self,
    ) -> dict[str, list[tuple[placements.Job, gangs.Member]]]:
        found: dict[str, list[tuple[placements.Job, gangs.Member]]]
        found = collections.defaultdict(list)
        for job in self._domain.ledger.book.live.values():
            if not _runs(job) or not self._granter.may_renew(job.job_id):
                continue
            done = self._succeeded.get(job.job_id, ())
            for member in self._driver.members(job):
                if member.task_id not in done:
                    found[member.slot.worker_id].append((job, member))
        return found

    def _forget(self) -> None:
        """Forgets what was noted of jobs that run no more."""
        live = self._domain.ledger.book.live
        for job_id in [j for j in self._succeeded if j not in live]:
            del self._succeeded[job_id]
        if len(self._renewed) > 2 * sum(len(j.slots) for j in live.values()):
            names = {m.task_id for j in live.values() for m in self._of(j)}
            self._renewed = {
                name: until
                for name, until in self._renewed.items()
                if name in names
            }

    def _of(self, job: placements.Job) -> list[gangs.Member]:
        return self._driver.members(job)

    async def _worker(
        self,
        members: abc.Sequence[tuple[placements.Job, gangs.Member]],
        until: float,
        at_once: trio.CapacityLimiter,
    ) -> None:
        async with at_once:
            answers = True
            for job, member in members:
                epoch = job.epoch
                if not _runs(job):
                    continue
                if answers:
                    answers = await self._task(job, epoch, member, until)
                else:
                    await self._check_lease(job, epoch, member)

    async def _task(
        self,
        job: placements.Job,
        epoch: int,
        member: gangs.Member,
        until: float,
    ) -> bool:
        """Renews one task; returns whether its worker answered."""
        try:
            report = await self._renew(member, epoch, until)
            if report.state == "prepared":
                # The leader before this one committed the start and did not
                # come to send it.
                report = await self._call(Action.START, member, epoch, until)
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
            self._renewed[member.task_id] = until
        else:
            await self._ended(job, epoch, member, state, reason)
        return True

    async def _renew(
        self, member: gangs.Member, epoch: int, until: float
    ) -> worker_client.TaskReport:
        return await self._call(Action.RENEW, member, epoch, until)

    async def _call(
        self, action: Action, member: gangs.Member, epoch: int, until: float
    ) -> worker_client.TaskReport:
        longest = CALL_PART * self._limits().lease_s
        timeout_s = min(MAX_CALL_TIMEOUT_S, longest)
        return await self._client.act(
            member.address,
            action,
            member.task_id,
            epoch,
            until,
            self._clock.monotonic() + timeout_s,
        )

    async def _check_lease(
        self, job: placements.Job, epoch: int, member: gangs.Member
    ) -> None:
        """Stops the gang if the member's lease is about to end."""
        if not _is_at(job, epoch):
            return
        known = self._renewed.setdefault(
            member.task_id, self._clock.wall() + self._limits().lease_s
        )
        left = known - self._clock.wall()
        if left < LAST_PART * self._limits().lease_s:
            await self._driver.give_up(
                job.job_id,
                epoch,
                StopReason.WORKER_LOST,
                detail=f"{member.slot.worker_id} did not renew",
            )

    async def _ended(
        self,
        job: placements.Job,
        epoch: int,
        member: gangs.Member,
        state: str,
        reason: str,
    ) -> None:
        if not _is_at(job, epoch):
            return
        if state == "succeeded":
            await self._member_succeeded(job, epoch, member)
            return
        failed = state == "failed"
        await self._driver.give_up(
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
        ended = {m.task_id for m in self._of(job)}
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


def _runs(job: placements.Job) -> bool:
    """Returns whether a job's placement runs and is not given up."""
    placement = job.placement
    return (
        placement is not None
        and placement.running
        and placement.stopping is None
    )


def _is_at(job: placements.Job, epoch: int) -> bool:
    """Returns whether a job still runs under the epoch that was asked of."""
    return _runs(job) and job.epoch == epoch
