"""Scheduling on the leader: worker sessions, planning and housekeeping.

Each worker has one session. Changes of the ledger or of a worker's state
trigger a new plan. Housekeeping removes silent workers and the expired records
of ended jobs. When leadership is lost, everything is cancelled; the next leader
finds in the ledger which runs may exist.
"""

import dataclasses
import math
from collections import abc

import trio

from laburnumsill.batch import commands
from laburnumsill.batch import contested_workers
from laburnumsill.batch import estimates
from laburnumsill.batch import leaving_workers
from laburnumsill.batch import ledger as ledgers
from laburnumsill.batch import ledger_estimates
from laburnumsill.batch import lost_work
from laburnumsill.batch import model
from laburnumsill.batch import obsolete_runs
from laburnumsill.batch import order_slots
from laburnumsill.batch import orders
from laburnumsill.batch import plan_log
from laburnumsill.batch import planner
from laburnumsill.batch import plans
from laburnumsill.batch import policy as policies
from laburnumsill.batch import queue_pools
from laburnumsill.batch import restarts
from laburnumsill.batch import session as sessions
from laburnumsill.batch import term as terms
from laburnumsill.batch import unheard_workers
from laburnumsill.batch import units
from laburnumsill.batch import worker_client
from laburnumsill.batch import worker_health
from laburnumsill.core import adaptive_timeout
from laburnumsill.core import clock as clocks
from laburnumsill.core import errors
from laburnumsill.core import logs
from laburnumsill.core import metrics as metrics_module
from laburnumsill.core import replication

LEADERSHIP_POLL_S = 0.05
"""Interval at which a VM checks whether it leads the group."""

HOUSEKEEPING_INTERVAL_S = 0.5
"""Interval of housekeeping, and the longest wait for an event before a plan."""

COMMIT_TIMEOUT_S = 2.0
"""Timeout of a commit. A leader whose commit times out ends its term."""

MAX_PLANNING_SHARE = 0.25
"""Largest share of the event loop's time for planning. A pause after each plan
lets events accumulate. A plan takes about a millisecond; with 176 workers and a
plan for each event, planning starved commits and reports."""

DOMAIN_PROBE_INTERVAL_S = 0.5
"""Shortest interval between two rounds of probes of a failure domain; each
probe has a price."""

MAX_PLANNING_PAUSE_S = 0.1
"""Longest pause after a plan; urgent jobs have 1.5 s of slack in all."""

INHERITED_ANNOUNCEMENT_AGE_S = 2.0
"""Age that a new leader assumes for the workers' last announcements at the time
when the previous leader was last known: a worker announces itself every 1.5 s,
and the loss of a leader is detected after 0.6 s."""

WORKER_REMOVAL_TIMEOUT_S = 12.0
"""Silence after which a worker is removed, once its leases have expired."""

ENDED_JOB_RETENTION_S = 300.0
"""Time for which records of ended and of withdrawn jobs are kept. The users
require at least 120 s, and a submission waits for `gateway.MAX_SUBMISSION_S` at
most."""

URGENT_STOP_REASON = "an urgent job needs the room"
"""Logged reason of the stops that a plan demands."""

LEAVING_STOP_REASON = "its worker leaves before it can end"
"""Logged reason of the stops of runs on workers that are about to leave."""

RETENTION_CHECK_INTERVAL_S = 30
"""Interval of the deletion of expired records of jobs, in s."""


class LeadLostError(errors.UnavailableError):
    """A commit of the scheduler failed: another VM leads, or no VM does."""

    slug = "lead-lost"
    title = "The scheduler does not lead any more"


@dataclasses.dataclass(frozen=True, slots=True)
class WorkerLimits:
    """Time limits that workers guarantee.

    Attributes:
        longest_lease_ms: The longest lease that they grant.
        stop_grace_ms: Longest time from a stop order to the end of the run.
        restore_ms: Longest time to restore progress that was saved at a stop;
            None if workers save none then.
    """

    longest_lease_ms: int
    stop_grace_ms: int
    restore_ms: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class SchedulerContext:
    """Dependencies of a scheduler, on every VM.

    Attributes:
        group: The group whose state machine holds the ledger.
        groups: Access to the groups of this VM.
        client: Sends orders to workers.
        guarantees: Returns the guaranteed accelerators by client account.
        clock: The clock of this process.
        metrics: Receives the gauges.
        worker_limits: Time limits that workers guarantee.
        pools: Returns the configured pools.
        policy: Returns the mechanisms in use.
        queues: Returns the configured pools of the queues.
    """

    group: str
    groups: replication.LeaderGroups
    client: worker_client.WorkerClient
    guarantees: abc.Callable[[], abc.Mapping[str, int]]
    clock: clocks.Clock
    metrics: metrics_module.Metrics
    worker_limits: WorkerLimits
    pools: abc.Callable[[], abc.Set[str]]
    policy: abc.Callable[[], policies.Policy] = lambda: policies.ALL
    queues: abc.Callable[[], queue_pools.ConfiguredPools] = lambda: (
        queue_pools.NOT_CONFIGURED
    )


class LeadingTerm(terms.Term):
    """One term of this VM as the leading scheduler.

    Args:
        context: Dependencies of the scheduler.
        ledger: The ledger, with all commands of earlier leaders applied.
        fence: Raft term of this leader, the fencing token of its orders.
        history: Estimates of worker speeds and run times from the ledger.
        leader_known_at: Monotonic time at which a previous leader was last
            known.
        repeats_fence: See the base class.
    """

    def __init__(
        self,
        context: SchedulerContext,
        ledger: ledgers.BatchLedger,
        fence: int,
        history: ledger_estimates.LedgerEstimates,
        leader_known_at: float,
        repeats_fence: bool = False,
    ) -> None:
        self.ledger = ledger
        self.client = context.client
        self.clock = context.clock
        self.fence = fence
        self.repeats_fence = repeats_fence
        self.longest_lease_ms = context.worker_limits.longest_lease_ms
        self.health = worker_health.WorkerHealth()
        self.order_timeout = adaptive_timeout.AdaptiveTimeout(
            orders.MIN_ORDER_TIMEOUT_S,
            orders.MAX_ORDER_TIMEOUT_S,
            adaptive_timeout.ANSWER_TIME_MULTIPLE,
        )
        self.order_slots = order_slots.OrderSlots()
        self.lost_work = lost_work.LostWork(ledger, context.metrics)
        self.restarts = restarts.Restarts(context.metrics)
        self._context = context
        self._policy = context.policy()
        self._estimates = estimates.Estimates(
            self._policy, ledger, history, self.health, context.clock
        )
        self._plan_log = plan_log.PlanLog(ledger, context.clock)
        self._sessions: dict[str, sessions.WorkerSession] = {}
        self._scopes: dict[str, trio.CancelScope] = {}
        self._seen: set[model.RunId] = set()
        self._wakeup = trio.Event()
        self._wakeup.set()
        self._scope = trio.CancelScope()
        self._nursery: trio.Nursery
        self._reserved_racks: dict[model.StepKey, str] = {}
        self._standing_since_ms: dict[model.StepKey, int] = {}
        self._domain_probed_at: dict[str, float] = {}
        self._next_retention_check_ms = 0
        self._unheard_until = (
            self.clock.monotonic()
            + unheard_workers.FIRST_ANNOUNCEMENT_TIMEOUT_S
        )
        self._defers_preemption = False
        announced_at = leader_known_at - INHERITED_ANNOUNCEMENT_AGE_S
        self._inherited_announced_at = dict.fromkeys(
            ledger.workers, announced_at
        )

    @property
    def lead_confirmed_at(self) -> float | None:
        """Monotonic time before which no later term began, or None."""
        return self._context.groups.lead_confirmed_at(
            self._context.group, self.fence
        )

    async def run(self) -> None:
        """Runs until leadership is lost."""
        _log_policy(self._policy)
        with self._scope:
            async with trio.open_nursery() as nursery:
                self._nursery = nursery
                nursery.start_soon(self._watch_leadership)
                nursery.start_soon(self._run_housekeeping)
                await self._run_planner()

    def is_served(self, pool: str) -> bool:
        """Returns whether a pool is configured or a recorded job uses it."""
        if pool in self._context.pools():
            return True
        jobs = [record.job for record in self.ledger.jobs.values()]
        return any(
            pool in (job.terms.pool, self.ledger.pool_of(job)) for job in jobs
        )

    def request_plan(self) -> None:
        """Requests a new plan."""
        self._wakeup.set()

    def record_seen(self, run: model.RunId) -> None:
        """Records a run as seen; housekeeping commits it with others."""
        self._seen.add(run)

    def step_down(self, worker_id: str) -> None:
        """Ends the term: a worker obeys the leader of a later one."""
        logs.event("fenced-off", "WARNING", worker=worker_id, fence=self.fence)
        self._scope.cancel()

    def probe_domain_of(self, worker: model.Worker) -> None:
        """Probes workers of a failure domain, see the base class."""
        now = self.clock.monotonic()
        if (
            now
            < self._domain_probed_at.get(worker.domain, -math.inf)
            + DOMAIN_PROBE_INTERVAL_S
        ):
            return
        self._domain_probed_at[worker.domain] = now
        for session in self._sessions.values():
            if (
                session.worker.domain == worker.domain
                and not session.answered_recently
            ):
                self._nursery.start_soon(session.probe_if_idle)

    def observe_heartbeat(
        self, worker_id: str, clock_ms: int | None, time_left_ms: int | None
    ) -> None:
        """Passes a heartbeat to the worker's session."""
        session = self._sessions.get(worker_id)
        if session is not None:
            session.observe_heartbeat(clock_ms, time_left_ms)

    async def end_other_incarnations(self, worker: model.Worker) -> None:
        """Ends sessions of replaced workers, see the base class."""
        for other in list(self.ledger.workers_named(worker.call_name)):
            session = self._sessions.get(other.worker_id)
            if session is not None and other.worker_id != worker.worker_id:
                await session.end(worker.worker_id)

    async def commit(self, command: object) -> object:
        """Commits a command, see the base class."""
        deadline = self.clock.monotonic() + COMMIT_TIMEOUT_S
        try:
            return await self._context.groups.propose(
                self._context.group, command, deadline
            )
        except errors.LaburnumsillError as error:
            logs.event(
                "scheduler-commit-failed",
                "WARNING",
                command=type(command).__name__,
                reason=error.slug,
                detail=error.detail,
            )
            self._scope.cancel()
            await trio.lowlevel.checkpoint()
            raise LeadLostError(error.detail) from error

    async def _watch_leadership(self) -> None:
        groups = self._context.groups
        group = self._context.group
        while True:
            await trio.sleep(LEADERSHIP_POLL_S)
            if not groups.leads(group) or groups.term(group) != self.fence:
                self._scope.cancel()
                return

    async def _run_planner(self) -> None:
        while True:
            with trio.move_on_after(self._seconds_to_next_due()):
                await self._wakeup.wait()
            self._wakeup = trio.Event()
            await self._move_queues()
            began = self.clock.monotonic()
            plan = self._make_plan()
            took_s = self.clock.monotonic() - began
            if plan.groups:
                await self._place_groups(plan.groups)
            pause_s = took_s * (1 / MAX_PLANNING_SHARE - 1)
            await trio.sleep(min(MAX_PLANNING_PAUSE_S, pause_s))

    async def _move_queues(self) -> None:
        """Records the queues with jobs that the configuration has moved."""
        configured = self._context.queues()
        jobs = (record.job for record in self.ledger.active_jobs.values())
        moved = queue_pools.moved_queues(self.ledger, jobs, configured)
        if not moved:
            return
        for queue, pool in moved.items():
            logs.event(
                "queue-moved",
                queue=queue,
                pool=pool,
                version=configured.version,
            )
        await self.commit(queue_pools.MoveQueues(configured.version, moved))

    def _make_plan(self) -> plans.Plan:
        """Returns a plan, after starting the stops of obsolete runs."""
        self._update_policy()
        self._sync_sessions()
        self._stop_obsolete_runs()
        self._stop_runs_of_leaving_workers()
        contested = contested_workers.contested_ids(
            self.ledger.workers.values(), self._context.pools()
        )
        for worker_id in contested:
            self._sessions[worker_id].verify()
        return self._plan_with(
            self._usable_workers(contested), self._unheard_workers(contested)
        )

    def _seconds_to_next_due(self) -> float:
        longest_s = HOUSEKEEPING_INTERVAL_S
        if self._defers_preemption:
            longest_s = unheard_workers.REPLAN_INTERVAL_S
        now = self.clock.monotonic()
        resume = self.restarts.next_resume(now)
        if resume is not None:
            longest_s = min(longest_s, resume - now)
        now_ms = self.clock.wall_ms()
        due_ms = units.next_due_ms(self.ledger, now_ms)
        if due_ms is None:
            return longest_s
        return min(longest_s, (due_ms - now_ms) / 1000 + 0.001)

    def _update_policy(self) -> None:
        """Applies a change of the mechanisms in use."""
        policy = self._context.policy()
        if policy != self._policy:
            self._policy = policy
            _log_policy(policy)

    def _plan_with(
        self, usable: abc.Set[str], unheard: abc.Set[str]
    ) -> plans.Plan:
        now = self.clock.monotonic()
        planner_input = plans.PlannerInput(
            self.ledger,
            usable,
            frozenset(self._stopping()),
            self._context.guarantees(),
            self.clock.wall_ms(),
            self._estimates.avoided_workers,
            self._estimates.slowness,
            self._reserved_racks,
            self._plan_log.is_due,
            self._context.worker_limits.stop_grace_ms,
            self._estimates.headroom(),
            self._estimates.step_ms,
            self._policy,
            unheard,
            self._context.worker_limits.restore_ms,
            round(1000 * now),
            self._standing_since_ms,
            lambda task: self.restarts.is_paused(task, now),
        )
        plan = planner.plan(planner_input)
        self._reserved_racks = plan.reserved_racks
        self._standing_since_ms = plan.standing_since_ms
        self._defers_preemption = bool(plan.deferred)
        self._plan_log.log_waiting(plan, len(usable))
        deferrals = self._plan_log.log_deferred(plan, len(usable), len(unheard))
        if deferrals:
            self._context.metrics.count(
                "preemptions_deferred_total", by=deferrals
            )
        for run in plan.stops:
            self._stop(run, URGENT_STOP_REASON, plan.preempted_for[run])
        return plan

    async def _place_groups(self, groups: abc.Sequence[commands.Group]) -> None:
        """Places groups whose workers are all reachable; replans the others.

        The probes guard against a failure domain that is cut off while urgent
        gangs arrive. Without them, gangs placed there started 4 to 6 s late,
        after the leases of their workers had expired.
        """
        if not self._policy.asking:
            await self._commit_placements(groups)
            return
        unreachable = await self._unreachable_workers(groups)
        groups = [
            group
            for group in groups
            if unreachable.isdisjoint(
                placement.worker_id for placement in group
            )
        ]
        if unreachable:
            self.request_plan()
        if groups:
            await self._commit_placements(groups)

    async def _unreachable_workers(
        self, groups: abc.Iterable[commands.Group]
    ) -> abc.Set[str]:
        """Probes the workers of groups; returns those that do not answer."""
        unreachable = set()

        async def probe(worker_id: str) -> None:
            session = self._sessions.get(worker_id)
            if session is None or not await session.probe():
                unreachable.add(worker_id)

        async with trio.open_nursery() as nursery:
            # Sorted, so that an emulator run is reproducible.
            for worker_id in sorted(
                {placement.worker_id for group in groups for placement in group}
            ):
                nursery.start_soon(probe, worker_id)
        return unreachable

    async def _commit_placements(
        self, groups: abc.Sequence[commands.Group]
    ) -> None:
        command = commands.PlaceRuns(
            tuple(groups),
            self.clock.wall_ms(),
            spares_long_running=True,
            semantics=commands.SEMANTICS,
        )
        placed = await self.commit(command)
        assert isinstance(placed, commands.Placed)
        for group, refusal in zip(groups, placed.refusals, strict=True):
            for placement in group:
                self._plan_log.log_placement(placement, refusal)
                session = self._sessions.get(placement.worker_id)
                if not refusal and session is not None:
                    session.start(placement.run)

    def _usable_workers(self, contested: abc.Set[str]) -> set[str]:
        """Returns the workers on which runs may be placed now."""
        now = self.clock.monotonic()
        return {
            worker_id
            for worker_id, session in self._sessions.items()
            if session.unreachable_since is None
            and not session.has_unread_ends
            and worker_id not in contested
            and session.announcement_is_fresh
            and not self.ledger.is_evacuated(session.worker.domain)
            and now >= session.start_backoff_until
            and not self._estimates.is_quarantined(worker_id, now)
        }

    def _unheard_workers(self, contested: abc.Set[str]) -> set[str]:
        """Returns the workers whose first announcement is still expected."""
        now = self.clock.monotonic()
        if now >= self._unheard_until:
            return set()
        return {
            worker_id
            for worker_id, session in self._sessions.items()
            if session.unreachable_since is None
            and worker_id not in contested
            and not session.announcement_is_fresh
            and not self.ledger.is_evacuated(session.worker.domain)
        }

    def _stopping(self) -> set[model.RunId]:
        stopping: set[model.RunId] = set()
        for session in self._sessions.values():
            stopping |= session.stopping
        return stopping

    def _stop(self, run: model.RunId, reason: str, for_job: str = "") -> None:
        record = self.ledger.runs.get(run)
        session = self._sessions.get(record.worker_id) if record else None
        if session is not None:
            session.stop(run, reason, for_job)

    def _stop_obsolete_runs(self) -> None:
        """Stops runs of ended jobs, done tasks and incomplete gangs."""
        for run, reason in list(obsolete_runs.obsolete_runs(self.ledger)):
            self._stop(run, reason)

    def _stop_runs_of_leaving_workers(self) -> None:
        """Stops runs that would be lost with a worker that is to leave."""
        if not self._policy.leaving_workers:
            return
        now = self.clock.monotonic()
        worker_left_ms = {
            worker_id: 1000 * (session.leaves_at - now)
            for worker_id, session in self._sessions.items()
            if session.leaves_at is not None
            and session.unreachable_since is None
        }
        for run in leaving_workers.runs_to_stop(
            self.ledger,
            worker_left_ms,
            self._estimates.run_ms,
            self.clock.wall_ms(),
            self._context.worker_limits.stop_grace_ms,
        ):
            self._stop(run, LEAVING_STOP_REASON)

    def _sync_sessions(self) -> None:
        """Starts sessions for new workers and ends those of removed ones."""
        for worker_id, worker in self.ledger.workers.items():
            session = self._sessions.get(worker_id)
            if session is None:
                session = self._start_session(worker)
            session.update(worker)
        for worker_id in list(self._sessions):
            if worker_id not in self.ledger.workers:
                del self._sessions[worker_id]
                self._scopes.pop(worker_id).cancel()

    def _start_session(self, worker: model.Worker) -> sessions.WorkerSession:
        worker_id = worker.worker_id
        announced_at = self._inherited_announced_at.pop(
            worker_id, self.clock.monotonic()
        )
        session = sessions.WorkerSession(
            worker, self, self._nursery, announced_at
        )
        self._sessions[worker_id] = session
        self._scopes[worker_id] = trio.CancelScope()
        self._nursery.start_soon(self._run_session, session)
        return session

    async def _run_session(self, session: sessions.WorkerSession) -> None:
        with self._scopes[session.worker_id]:
            await session.run()

    async def _run_housekeeping(self) -> None:
        while True:
            await trio.sleep(HOUSEKEEPING_INTERVAL_S)
            await self._commit_seen()
            await self._remove_silent_workers()
            await self._forget_ended_jobs()
            self._publish()

    async def _commit_seen(self) -> None:
        if not self._seen:
            return
        seen = tuple(commands.SeenRun(run) for run in sorted(self._seen))
        self._seen.clear()
        await self.commit(commands.NoteRunning(seen))

    async def _remove_silent_workers(self) -> None:
        now = self.clock.monotonic()
        for worker_id, session in list(self._sessions.items()):
            silent_s = now - session.last_contact_at
            if (
                silent_s < WORKER_REMOVAL_TIMEOUT_S
                or now < session.leases_expire_at
            ):
                continue
            reason = f"silent for {silent_s:.1f} s"
            logs.event("worker-gone", worker=worker_id, reason=reason)
            saved = tuple(session.progress())
            await self.commit(
                commands.RemoveWorker(
                    worker_id,
                    reason,
                    saved,
                    unconfirmed=session.unconfirmed(),
                    outlived_losses=session.outlived_losses,
                )
            )
            self.request_plan()

    async def _forget_ended_jobs(self) -> None:
        """Deletes ended jobs after their retention time, in batches."""
        now_ms = self.clock.wall_ms()
        self.health.keep_jobs(self.ledger.active_jobs)
        self.restarts.keep_jobs(self.ledger.active_jobs)
        self.health.keep_workers(self.ledger.workers)
        if now_ms < self._next_retention_check_ms:
            return
        self._next_retention_check_ms = (
            now_ms + RETENTION_CHECK_INTERVAL_S * 1000
        )
        before_ms = now_ms - int(ENDED_JOB_RETENTION_S * 1000)
        if self.ledger.has_expired_records(before_ms):
            await self.commit(commands.ForgetJobs(before_ms))

    def _publish(self) -> None:
        metrics = self._context.metrics
        confirmed_at = self.lead_confirmed_at
        if confirmed_at is not None:
            age_s = self.clock.monotonic() - confirmed_at
            metrics.gauge("lead_confirmation_age_seconds", age_s)
        metrics.gauge("jobs_active", len(self.ledger.active_jobs))
        metrics.gauge("runs_live", len(self.ledger.runs))
        metrics.gauge("workers_known", len(self.ledger.workers))
        metrics.gauge("units_waiting", self._plan_log.units_waiting)
        metrics.gauge("jobs_standing", self._plan_log.jobs_standing)
        metrics.gauge(
            "longest_standing_seconds", self._plan_log.longest_standing_s
        )
        metrics.gauge("orders_waiting", self.order_slots.waiting)
        metrics.gauge("jobs_withdrawn", len(self.ledger.withdrawn))
        metrics.gauge("domains_evacuated", len(self.ledger.evacuated_domains))


def _log_policy(policy: policies.Policy) -> None:
    """Logs which of the mechanisms that a site can turn off are in use."""
    logs.event(
        "scheduler-parts",
        deferred_preemption=policy.deferral,
        saved_progress=policy.saved_at_stop,
        leaving_workers=policy.leaving_workers,
    )
