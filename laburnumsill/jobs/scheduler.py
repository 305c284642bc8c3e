"""The scheduler of one failure domain, active on the leader of its group.

Every decision is committed in the group before it is executed. A new leader
therefore resumes from the placements that are preparing, running or stopping.
"""

import typing
from collections import abc

import trio

from laburnumsill.clients import worker as worker_client
from laburnumsill.config import current as current_module
from laburnumsill.core import clock as clocks
from laburnumsill.core import errors
from laburnumsill.core import logs
from laburnumsill.core import members as members_module
from laburnumsill.core import metrics as metrics_module
from laburnumsill.core import replication
from laburnumsill.jobs import access
from laburnumsill.jobs import decisions
from laburnumsill.jobs import gangs
from laburnumsill.jobs import leases
from laburnumsill.jobs import membership
from laburnumsill.jobs import overuse
from laburnumsill.jobs import planner
from laburnumsill.jobs import policy as policies
from laburnumsill.jobs import steps
from laburnumsill.jobs import watch
from laburnumsill.state import jobs_messages

MAX_PASS_INTERVAL_S = 0.1
"""Maximum interval between two passes of the planner, in seconds."""

MIN_PASS_INTERVAL_S = 0.005
"""Minimum interval between two passes of the planner, in seconds."""

SYNC_INTERVAL_S = 0.25
"""Interval of reconciliation with members and configuration, in seconds."""

FOLLOWER_TICK_S = 0.25
"""Interval at which a follower checks for leadership, in seconds."""

NO_REPLICA_TICK_S = 1.0
"""Interval on a VM without a replica, which cannot lead, in seconds."""


class DomainScheduler:
    """Places, starts, monitors and stops the jobs of one failure domain."""

    def __init__(
        self,
        domain: str,
        groups: replication.Groups,
        members: members_module.MemberView,
        current: current_module.Current,
        workers: worker_client.WorkerClient,
        clock: clocks.Clock,
        metrics: metrics_module.Metrics,
    ) -> None:
        self._access = access.DomainAccess(domain, groups, clock)
        self._members = members
        self._current = current
        self._client = workers
        self._clock = clock
        self._metrics = metrics
        self._wake = trio.Event()
        self._observed: replication.StateMachine | None = None
        self._overuse = overuse.OveruseControl()

    async def run(
        self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Schedules while this VM leads the domain's group, until cancelled."""
        task_status.started()
        while True:
            if self._access.is_leader and self._current.get() is not None:
                await self._run_term()
            hosted = self._access.machine is not None
            await trio.sleep(FOLLOWER_TICK_S if hosted else NO_REPLICA_TICK_S)

    def usage(self, worker_id: str, report: typing.Any) -> None:
        """Records a worker's usage report, which may be out of date."""
        if self._access.is_leader:
            self._overuse.record_report(worker_id, report)

    async def _run_term(self) -> None:
        """Schedules until leadership is lost or the term changes."""
        term = self._access.term
        logs.event("scheduler-leads", domain=self._access.domain, term=term)
        leader_term = _LeaderTerm(
            self._access,
            self._members,
            self._versioned,
            self._client,
            self._clock,
            self._metrics,
            self._overuse,
        )
        async with trio.open_nursery() as nursery:
            scope = nursery.cancel_scope
            nursery.start_soon(_while_leading, leader_term.monitor.run, scope)
            nursery.start_soon(_while_leading, leader_term.limit_overuse, scope)
            while self._access.is_leader and self._access.term == term:
                self._observe()
                self._wake = trio.Event()
                try:
                    await leader_term.step(nursery)
                except access.NotLeadingError:
                    break
                with trio.move_on_after(MAX_PASS_INTERVAL_S):
                    await self._wake.wait()
                await trio.sleep(MIN_PASS_INTERVAL_S)
            nursery.cancel_scope.cancel()
        logs.event("scheduler-follows", domain=self._access.domain, term=term)

    def _versioned(self) -> current_module.Versioned:
        versioned = self._current.versioned()
        if versioned is None:
            raise errors.UnavailableError("no configuration is in force")
        return versioned

    def _observe(self) -> None:
        """Registers for commands that the local replica applies."""
        machine = self._access.machine
        if machine is not None and machine is not self._observed:
            self._observed = machine
            machine.observe(self._on_applied)

    def _on_applied(self, command: object) -> None:
        if type(command) in _WAKING_COMMANDS:
            self._wake.set()


_WAKING_COMMANDS = frozenset(
    {
        jobs_messages.SubmitJob,
        jobs_messages.CancelJob,
        jobs_messages.PutWorkers,
        jobs_messages.ReleasePlacement,
        jobs_messages.JobSucceeded,
        jobs_messages.StopPlacement,
        jobs_messages.HoldSlots,
    }
)
"""Commands after which the planner may find a new step."""


async def _while_leading(
    task: abc.Callable[[], abc.Awaitable[None]], scope: trio.CancelScope
) -> None:
    """Runs a task and cancels the scope if leadership turns out to be lost."""
    try:
        await task()
    except* access.NotLeadingError:
        scope.cancel()


class _LeaderTerm:
    """The components and state of a scheduler for one term as leader."""

    def __init__(
        self,
        domain: access.DomainAccess,
        members: members_module.MemberView,
        versioned: abc.Callable[[], current_module.Versioned],
        client: worker_client.WorkerClient,
        clock: clocks.Clock,
        metrics: metrics_module.Metrics,
        overuse_control: overuse.OveruseControl,
    ) -> None:
        self._domain = domain
        self._versioned = versioned
        self._client = client
        self._clock = clock
        self._metrics = metrics
        self._overuse = overuse_control
        granter = leases.LeaseGranter(domain, clock)
        self._driver = gangs.GangDriver(
            domain, granter, client, clock, metrics, self._limits
        )
        self.monitor = watch.Watch(
            domain,
            granter,
            self._driver,
            client,
            clock,
            metrics,
            self._limits,
        )
        self._sync = membership.WorkerSync(
            domain.domain, members, clock, self.monitor.contacts
        )
        self._next_sync_at = 0.0
        self._planner = planner.Planner()
        self._driving: set[tuple[str, int, bool]] = set()

    async def step(self, nursery: trio.Nursery) -> None:
        """Reconciles if due, starts drivers of placements, and plans once."""
        if self._clock.monotonic() >= self._next_sync_at:
            await self._reconcile()
            self._next_sync_at = self._clock.monotonic() + SYNC_INTERVAL_S
        self._start_drivers(nursery)
        await self._plan(nursery)

    async def limit_overuse(self) -> None:
        """Periodically throttles or stops tasks that use too much."""
        while True:
            await trio.sleep(overuse.CHECK_INTERVAL_S)
            for enforcement in self._overuse.enforcements(
                self._domain.ledger.book
            ):
                await overuse.enforce(
                    enforcement,
                    self._driver,
                    self._clock,
                    self._versioned().configuration.jobs.checkpoint_timeout_s,
                )

    def _limits(self) -> gangs.GangLimits:
        policy = self._versioned().configuration.jobs
        return gangs.GangLimits(
            policy.lease_s, policy.max_tries, policy.bad_worker_jobs
        )

    async def _reconcile(self) -> None:
        """Commits changes of guarantees and workers, and ends quarantines."""
        ledger = self._domain.ledger
        await self._update_guarantees()
        command = self._sync.changes(ledger)
        if command is not None:
            logs.event(
                "workers-changed",
                domain=self._domain.domain,
                present=len(command.present),
                gone=",".join(command.gone),
            )
            await self._domain.propose(command)
        now = self._clock.wall()
        for worker_id, worker in list(ledger.book.pool.workers.items()):
            if 0.0 < worker.aside_until <= now:
                await self._domain.propose(
                    jobs_messages.ReturnWorker(worker_id, now)
                )
                logs.decision("worker-probed", worker=worker_id)
        decisions.set_gauges(self._metrics, self._domain.domain, ledger.book)

    async def _update_guarantees(self) -> None:
        """Commits the guarantees of a newer configuration."""
        versioned = self._versioned()
        ledger = self._domain.ledger
        desired = policies.guarantees_of(
            versioned.configuration, self._domain.domain
        )
        if versioned.version <= ledger.guarantees_version:
            return
        if desired == ledger.book.cells.guarantees:
            return
        await self._domain.propose(
            jobs_messages.SetGuarantees(versioned.version, desired)
        )
        shortfall = ledger.book.cells.shortfall()
        logs.event(
            "guarantees-changed",
            level="WARNING" if shortfall else "INFO",
            domain=self._domain.domain,
            shortfall=shortfall,
        )

    async def _plan(self, nursery: trio.Nursery) -> None:
        """Runs one pass of the planner and commits its steps."""
        book = self._domain.ledger.book
        policy = policies.policy_of(self._versioned().configuration)
        began = self._clock.monotonic()
        for step in self._planner.steps(book, policy, self._clock.wall()):
            took = self._clock.monotonic() - began
            self._metrics.observe("job_planning_seconds", took)
            try:
                await self._domain.propose(step.command)
            except errors.ConflictError as error:
                await self._handle_refusal(step, error)
                return
            decisions.record_step(self._metrics, book, step, self._clock.wall())
            self._start_drivers(nursery)
            began = self._clock.monotonic()

    async def _handle_refusal(
        self, step: steps.Step, error: errors.ConflictError
    ) -> None:
        """Records a refused step and drops the reservation of its job."""
        job_id = getattr(step.command, "job_id", "")
        logs.event(
            "step-refused",
            level="WARNING",
            step=type(step.command).__name__,
            job=job_id,
            detail=error.detail,
        )
        book = self._domain.ledger.book
        self._planner.record_refusal(book, step.command, self._clock.wall())
        if job_id in book.held:
            await self._domain.propose(
                jobs_messages.DropHold(job_id, self._clock.wall())
            )

    def _start_drivers(self, nursery: trio.Nursery) -> None:
        """Starts a driver for each placement that is preparing or stopping."""
        for job in list(self._domain.ledger.book.unsettled.values()):
            placement = job.placement
            if placement is None:
                continue
            stopping = placement.stopping is not None
            key = (job.job_id, placement.epoch, stopping)
            if key not in self._driving:
                self._driving.add(key)
                nursery.start_soon(self._drive_placement, key)

    async def _drive_placement(self, key: tuple[str, int, bool]) -> None:
        job_id, epoch, stopping = key
        try:
            if stopping:
                await self._driver.stop(job_id, epoch)
            else:
                await self._driver.start(job_id, epoch)
        except access.NotLeadingError as error:
            # Driven again if this VM leads in the same term after all.
            logs.event("driver-ended", job=job_id, detail=error.detail)
        except errors.LaburnumsillError as error:
            logs.event(
                "driver-failed", level="ERROR", job=job_id, detail=error.detail
            )
        finally:
            self._driving.discard(key)
