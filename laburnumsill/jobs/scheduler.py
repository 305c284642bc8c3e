"""The scheduler of one failure domain, active where its group is led.

All it decides is in the group before it is acted on; a new leader goes on
where the old one was, from the placements that are preparing, running or
stopping.
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

TICK_S = 0.1
"""Longest time between two passes of the planner, in seconds."""

MIN_PASS_S = 0.005
"""Shortest time between two passes, in seconds."""

SYNC_S = 0.25
"""Time between two comparisons with the view of members, in seconds."""

FOLLOWER_TICK_S = 0.25
"""Time between two looks at whether this VM leads, in seconds."""

STRANGER_TICK_S = 1.0
"""The same on a VM without a replica of the group, which can not lead."""


class DomainScheduler:
    """Places, starts, watches and stops the jobs of one failure domain."""

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
            if self._access.leads and self._current.get() is not None:
                await self._lead()
            hosted = self._access.machine is not None
            await trio.sleep(FOLLOWER_TICK_S if hosted else STRANGER_TICK_S)

    def usage(self, worker_id: str, report: typing.Any) -> None:
        """Takes in a worker's usage report, which lags behind."""
        if self._access.leads:
            self._overuse.note(worker_id, report)

    async def _lead(self) -> None:
        """Schedules until the lead is lost or the term changes."""
        term = self._access.term
        logs.event("scheduler-leads", domain=self._access.domain, term=term)
        lead = _Lead(
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
            nursery.start_soon(_while_leading, lead.watch.run, scope)
            nursery.start_soon(_while_leading, lead.throttle, scope)
            while self._access.leads and self._access.term == term:
                self._observe()
                self._wake = trio.Event()
                try:
                    await lead.step(nursery)
                except access.NotLeadingError:
                    break
                with trio.move_on_after(TICK_S):
                    await self._wake.wait()
                await trio.sleep(MIN_PASS_S)
            nursery.cancel_scope.cancel()
        logs.event("scheduler-follows", domain=self._access.domain, term=term)

    def _versioned(self) -> current_module.Versioned:
        versioned = self._current.versioned()
        if versioned is None:
            raise errors.UnavailableError("no configuration is in force")
        return versioned

    def _observe(self) -> None:
        """Wakes the planner with each change of the replica's jobs."""
        machine = self._access.machine
        if machine is not None and machine is not self._observed:
            self._observed = machine
            machine.observe(self._applied)

    def _applied(self, command: object) -> None:
        if type(command) in _WAKING:
            self._wake.set()


_WAKING = frozenset(
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
"""Commands after which the planner may have something to do."""


async def _while_leading(
    task: abc.Callable[[], abc.Awaitable[None]], scope: trio.CancelScope
) -> None:
    """Runs a task; if it finds that the lead is lost, all that leads ends."""
    try:
        await task()
    except* access.NotLeadingError:
        scope.cancel()


class _Lead:
    """What a scheduler does and knows while it leads."""

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
        self.watch = watch.Watch(
            domain,
            granter,
            self._driver,
            client,
            clock,
            metrics,
            self._limits,
        )
        self._sync = membership.WorkerSync(
            domain.domain, members, clock, self.watch.contacts
        )
        self._sync_due = 0.0
        self._planner = planner.Planner()
        self._driven: set[tuple[str, int, bool]] = set()

    async def step(self, nursery: trio.Nursery) -> None:
        """Takes in changes, plans once, and drives what is unsettled."""
        if self._clock.monotonic() >= self._sync_due:
            await self._take_in_changes()
            self._sync_due = self._clock.monotonic() + SYNC_S
        self._drive(nursery)
        await self._plan(nursery)

    async def throttle(self) -> None:
        """Acts on what the usage reports say, again and again."""
        while True:
            await trio.sleep(overuse.INTERVAL_S)
            for action in self._overuse.actions(self._domain.ledger.book):
                await overuse.carry_out(
                    action,
                    self._driver,
                    self._clock,
                    self._versioned().configuration.jobs.checkpoint_timeout_s,
                )

    def _limits(self) -> gangs.Limits:
        policy = self._versioned().configuration.jobs
        return gangs.Limits(
            policy.lease_s, policy.max_tries, policy.bad_worker_jobs
        )

    async def _take_in_changes(self) -> None:
        ledger = self._domain.ledger
        await self._take_in_guarantees()
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
        decisions.gauges(self._metrics, self._domain.domain, ledger.book)

    async def _take_in_guarantees(self) -> None:
        """Commits the guarantees of a newer configuration."""
        versioned = self._versioned()
        ledger = self._domain.ledger
        owed = policies.guarantees_of(
            versioned.configuration, self._domain.domain
        )
        if versioned.version <= ledger.guarantees_version:
            return
        if owed == ledger.book.cells.guarantees:
            return
        await self._domain.propose(
            jobs_messages.SetGuarantees(versioned.version, owed)
        )
        shortfall = ledger.book.cells.shortfall()
        logs.event(
            "guarantees-changed",
            level="WARNING" if shortfall else "INFO",
            domain=self._domain.domain,
            shortfall=shortfall,
        )

    async def _plan(self, nursery: trio.Nursery) -> None:
        """Carries out one pass of the planner."""
        book = self._domain.ledger.book
        policy = policies.policy_of(self._versioned().configuration)
        began = self._clock.monotonic()
        for step in self._planner.steps(book, policy, self._clock.wall()):
            took = self._clock.monotonic() - began
            self._metrics.observe("job_planning_seconds", took)
            try:
                await self._domain.propose(step.command)
            except errors.ConflictError as error:
                await self._refused(step, error)
                return
            decisions.note(self._metrics, book, step, self._clock.wall())
            self._drive(nursery)
            began = self._clock.monotonic()

    async def _refused(
        self, step: steps.Step, error: errors.ConflictError
    ) -> None:
        """Gives up a step that does not fit the state any more."""
        job_id = getattr(step.command, "job_id", "")
        logs.event(
            "step-refused",
            level="WARNING",
            step=type(step.command).__name__,
            job=job_id,
            detail=error.detail,
        )
        book = self._domain.ledger.book
        self._planner.refused(book, step.command, self._clock.wall())
        if job_id in book.held:
            await self._domain.propose(
                jobs_messages.DropHold(job_id, self._clock.wall())
            )

    def _drive(self, nursery: trio.Nursery) -> None:
        """Starts what is preparing and stops what is stopping, once each."""
        for job in list(self._domain.ledger.book.unsettled.values()):
            placement = job.placement
            if placement is None:
                continue
            stopping = placement.stopping is not None
            key = (job.job_id, placement.epoch, stopping)
            if key not in self._driven:
                self._driven.add(key)
                nursery.start_soon(self._driven_step, key)

    async def _driven_step(self, key: tuple[str, int, bool]) -> None:
        job_id, epoch, stopping = key
        try:
            if stopping:
                await self._driver.stop(job_id, epoch)
            else:
                await self._driver.start(job_id, epoch)
        except access.NotLeadingError:
            return
        except errors.LaburnumsillError as error:
            logs.event(
                "driver-failed", level="ERROR", job=job_id, detail=error.detail
            )
        self._driven.discard(key)
