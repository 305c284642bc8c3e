"""What runs on the VM that leads: sessions, plans and housekeeping.

One session deals with each worker, a planner is woken by what changes, and
workers that are silent and jobs that ended long ago are looked for. When the
lead is lost, all of it is cancelled; the ledger tells the next leader which
runs there may be.
"""

import dataclasses
import math
from collections import abc

import trio

from laburnumsill.batch import commands
from laburnumsill.batch import contested_workers
from laburnumsill.batch import learnt as learnt_module
from laburnumsill.batch import ledger as ledgers
from laburnumsill.batch import model
from laburnumsill.batch import orders
from laburnumsill.batch import outlook
from laburnumsill.batch import plan_log
from laburnumsill.batch import planner
from laburnumsill.batch import policy as policies
from laburnumsill.batch import records
from laburnumsill.batch import session as sessions
from laburnumsill.batch import term as terms
from laburnumsill.batch import units
from laburnumsill.batch import worker_client
from laburnumsill.batch import worker_health
from laburnumsill.core import clock as clocks
from laburnumsill.core import errors
from laburnumsill.core import learnt_wait
from laburnumsill.core import logs
from laburnumsill.core import metrics as metrics_module
from laburnumsill.core import replication

LEAD_POLL_S = 0.05
"""How often a VM looks whether it has come to lead."""

HOUSEKEEPING_S = 0.5
"""How often workers are looked at for their silence."""

COMMIT_WITHIN_S = 2.0
"""A commit that takes longer ends the term: the lead is as good as lost."""

PLANNING_SHARE = 0.25
"""Most of the loop's time that goes to plans: after one there is a rest, in
which more events gather. Plans of today's sites take a millisecond; with 176
workers and a plan at each event they took all that commits and reports left."""

DOUBT_EVERY_S = 0.5
"""The workers of a failure domain are asked at most so often whether they
answer; each question is priced."""

LONGEST_REST_S = 0.1
"""Longest rest after a plan; urgent jobs have 1.5 s to spare in all."""

ANNOUNCED_BEFORE_S = 2.0
"""When nobody leads any more, what is known of a worker may be so old: it
announces itself every 1.5 s, and a lost leader is missed after 0.6 s."""

FORGET_WORKER_S = 12.0
"""A worker that was silent for so long, and whose leases are over, is gone."""

KEEP_ENDED_S = 300.0
"""Jobs are remembered for so long after their end; the users ask for 120 s
at least."""


URGENT_STOP = "an urgent job needs the room"
"""Why runs are stopped that a plan stops."""

FORGET_EVERY_S = 30
"""How often jobs that ended long ago are looked for."""


class LeadLostError(errors.UnavailableError):
    """A commit of the scheduler failed: another VM leads, or none."""

    slug = "lead-lost"
    title = "The scheduler does not lead any more"


@dataclasses.dataclass(frozen=True, slots=True)
class WorkerBounds:
    """How long workers take for something at most.

    Attributes:
        longest_lease_ms: The longest lease that they grant.
        stop_grace_ms: From the order to stop a run to its end.
    """

    longest_lease_ms: int
    stop_grace_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class Context:
    """What a scheduler works with, whoever leads.

    Attributes:
        group: The group whose state machine holds the ledger.
        groups: Access to it.
        client: Gives orders to workers.
        guarantees: Returns the guaranteed accelerators by client account.
        clock: The clock of this process.
        metrics: Takes the counters.
        bounds: What workers take at most.
        pools: Returns the pools that the configuration names.
        policy: Which mechanisms are in use.
    """

    group: str
    groups: replication.LeaderGroups
    client: worker_client.WorkerClient
    guarantees: abc.Callable[[], abc.Mapping[str, int]]
    clock: clocks.Clock
    metrics: metrics_module.Metrics
    bounds: WorkerBounds
    pools: abc.Callable[[], abc.Set[str]]
    policy: policies.Policy = policies.ALL


class LeadingTerm(terms.Term):
    """What runs while this VM leads.

    Args:
        context: What the scheduler was given.
        ledger: The ledger, with all that earlier leaders did.
        fence: The term of the lead.
        learnt: What was learnt from the commands of the ledger.
        led_at: When a leader was known before this one, monotonic.
    """

    def __init__(
        self,
        context: Context,
        ledger: ledgers.BatchLedger,
        fence: int,
        learnt: learnt_module.Learnt,
        led_at: float,
    ) -> None:
        self.ledger = ledger
        self.client = context.client
        self.clock = context.clock
        self.fence = fence
        self.longest_lease_ms = context.bounds.longest_lease_ms
        self.health = worker_health.WorkerHealth()
        self.attempt = learnt_wait.LearntWait(
            orders.SHORTEST_ATTEMPT_S,
            orders.ATTEMPT_S,
            learnt_wait.ANSWERS_BORNE,
        )
        self._context = context
        self._policy = context.policy
        self._outlook = outlook.Outlook(
            context.policy, ledger, learnt, self.health, context.clock
        )
        self._plan_log = plan_log.PlanLog(ledger, context.clock)
        self._sessions: dict[str, sessions.WorkerSession] = {}
        self._scopes: dict[str, trio.CancelScope] = {}
        self._seen: set[model.RunId] = set()
        self._wakeup = trio.Event()
        self._wakeup.set()
        self._scope = trio.CancelScope()
        self._nursery: trio.Nursery
        self._kept_racks: dict[model.StepKey, str] = {}
        self._doubted: dict[str, float] = {}
        self._forget_at_ms = 0
        announced_at = led_at - ANNOUNCED_BEFORE_S
        self._inherited = dict.fromkeys(ledger.workers, announced_at)

    async def run(self) -> None:
        """Runs until the lead is lost."""
        with self._scope:
            async with trio.open_nursery() as nursery:
                self._nursery = nursery
                nursery.start_soon(self._watch_lead)
                nursery.start_soon(self._keep_house)
                await self._keep_planning()

    def is_served(self, pool: str) -> bool:
        """Returns whether a pool is configured, or was for a job."""
        if pool in self._context.pools():
            return True
        jobs = self.ledger.jobs.values()
        return any(record.job.terms.pool == pool for record in jobs)

    def wake(self) -> None:
        """Has a plan made soon."""
        self._wakeup.set()

    def note_seen(self, run: model.RunId) -> None:
        """Notes a run that is committed as seen with the next batch."""
        self._seen.add(run)

    def fenced_off(self, worker_id: str) -> None:
        """A worker obeys a later leader: this term is over."""
        logs.event("fenced-off", "WARNING", worker=worker_id, fence=self.fence)
        self._scope.cancel()

    def doubt_domain_of(self, worker: model.Worker) -> None:
        """Has the workers of a failure domain asked, see the base class."""
        now = self.clock.monotonic()
        if now < self._doubted.get(worker.domain, -math.inf) + DOUBT_EVERY_S:
            return
        self._doubted[worker.domain] = now
        for session in self._sessions.values():
            if session.worker.domain == worker.domain and not session.answers:
                self._nursery.start_soon(session.ask_unless_asked)

    def hear(self, worker_id: str, clock_ms: int | None) -> None:
        """Passes a heartbeat to the worker's session."""
        session = self._sessions.get(worker_id)
        if session is not None:
            session.hear(clock_ms)

    async def verified(self, worker: model.Worker) -> None:
        """Removes others of a worker's name, see the base class."""
        for other in list(self.ledger.workers_named(worker.call_name)):
            session = self._sessions.get(other.worker_id)
            if session is not None and other.worker_id != worker.worker_id:
                await session.end(worker.worker_id)

    async def commit(self, command: object) -> object:
        """Commits a command, see the base class."""
        deadline = self.clock.monotonic() + COMMIT_WITHIN_S
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

    async def _watch_lead(self) -> None:
        groups = self._context.groups
        group = self._context.group
        while True:
            await trio.sleep(LEAD_POLL_S)
            if not groups.leads(group) or groups.term(group) != self.fence:
                self._scope.cancel()
                return

    async def _keep_planning(self) -> None:
        while True:
            with trio.move_on_after(self._until_next_due_s()):
                await self._wakeup.wait()
            self._wakeup = trio.Event()
            began = self.clock.monotonic()
            made = self._make_plan()
            took_s = self.clock.monotonic() - began
            if made.groups:
                await self._place(made.groups)
            rest_s = took_s * (1 / PLANNING_SHARE - 1)
            await trio.sleep(min(LONGEST_REST_S, rest_s))

    def _make_plan(self) -> planner.Plan:
        """Returns what to place; what is to end is being stopped already."""
        self._match_sessions()
        self._stop_unwanted()
        contested = contested_workers.contested(
            self.ledger.workers.values(), self._context.pools()
        )
        for worker_id in contested:
            self._sessions[worker_id].verify()
        return self._plan_with(self._usable(contested))

    def _until_next_due_s(self) -> float:
        now_ms = self.clock.wall_ms()
        due_ms = units.next_due_ms(self.ledger, now_ms)
        if due_ms is None:
            return HOUSEKEEPING_S
        return min(HOUSEKEEPING_S, (due_ms - now_ms) / 1000 + 0.001)

    def _plan_with(self, usable: abc.Set[str]) -> planner.Plan:
        view = planner.View(
            self.ledger,
            usable,
            frozenset(self._stopping()),
            self._context.guarantees(),
            self.clock.wall_ms(),
            self._outlook.avoid,
            self._outlook.slowness,
            self._kept_racks,
            self._plan_log.is_due,
            self._context.bounds.stop_grace_ms,
            self._outlook.headroom(),
            self._outlook.step_ms,
            self._policy,
        )
        made = planner.plan(view)
        self._kept_racks = made.kept_racks
        self._plan_log.waiting(made, len(usable))
        for run in made.stops:
            self._stop(run, URGENT_STOP, made.stopped_for[run])
        return made

    async def _place(self, groups: abc.Sequence[commands.Group]) -> None:
        """Places groups whose workers all answer; the others are planned anew.

        The load that this is for: a failure domain is cut off while urgent
        gangs come. Without it those that were placed there began 4 to 6 s
        late, once the leases of their workers had ended.
        """
        if not self._policy.asking:
            await self._commit_placements(groups)
            return
        silent = await self._silent_of(groups)
        groups = [
            group
            for group in groups
            if silent.isdisjoint(one.worker_id for one in group)
        ]
        if silent:
            self.wake()
        if groups:
            await self._commit_placements(groups)

    async def _silent_of(
        self, groups: abc.Iterable[commands.Group]
    ) -> abc.Set[str]:
        """Returns the workers of groups that do not answer."""
        silent = set()

        async def ask(worker_id: str) -> None:
            session = self._sessions.get(worker_id)
            if session is None or not await session.ask():
                silent.add(worker_id)

        async with trio.open_nursery() as nursery:
            # In an order of their own, so that a day can be repeated.
            for worker_id in sorted(
                {one.worker_id for group in groups for one in group}
            ):
                nursery.start_soon(ask, worker_id)
        return silent

    async def _commit_placements(
        self, groups: abc.Sequence[commands.Group]
    ) -> None:
        command = commands.PlaceRuns(tuple(groups), self.clock.wall_ms())
        placed = await self.commit(command)
        assert isinstance(placed, commands.Placed)
        for group, refusal in zip(groups, placed.refusals, strict=True):
            for placement in group:
                self._plan_log.placement(placement, refusal)
                session = self._sessions.get(placement.worker_id)
                if not refusal and session is not None:
                    session.start(placement.run)

    def _usable(self, contested: abc.Set[str]) -> set[str]:
        """Returns the workers that may be given runs now."""
        now = self.clock.monotonic()
        return {
            worker_id
            for worker_id, session in self._sessions.items()
            if session.failing_since is None
            and worker_id not in contested
            and session.announced_lately
            and now >= session.unwell_until
            and not self._outlook.set_aside(worker_id, now)
        }

    def _stopping(self) -> set[model.RunId]:
        found: set[model.RunId] = set()
        for session in self._sessions.values():
            found |= session.stopping
        return found

    def _stop(self, run: model.RunId, reason: str, for_job: str = "") -> None:
        record = self.ledger.runs.get(run)
        session = self._sessions.get(record.worker_id) if record else None
        if session is not None:
            session.stop(run, reason, for_job)

    def _stop_unwanted(self) -> None:
        """Stops runs of ended jobs, done tasks and broken gangs."""
        unwanted = [
            (run, reason)
            for key, runs in self.ledger.runs_of_steps.items()
            for run, reason in self._unwanted_of(key, runs)
        ]
        for run, reason in unwanted:
            self._stop(run, reason)

    def _unwanted_of(
        self, key: model.StepKey, runs: abc.Iterable[model.RunId]
    ) -> abc.Iterator[tuple[model.RunId, str]]:
        """Yields the runs of a step that are to end, and why."""
        record = self.ledger.jobs.get(key[0])
        reason = ""
        if record is None:
            reason = "its job is not known"
        elif not record.active:
            reason = f"its job is {record.state}"
        elif record.job.steps[key[2]].gang and not _is_whole(record, key, runs):
            reason = "its gang is not whole"
        elif not record.has_done_tasks(key):
            return
        for run in runs:
            task = record.task(run.task) if record else None
            if task is not None and task.done_run:
                if task.done_run != run.number:
                    yield run, "its task is done"
            elif reason:
                yield run, reason

    def _match_sessions(self) -> None:
        """Has a session for each worker that is known, and no other."""
        for worker_id, worker in self.ledger.workers.items():
            session = self._sessions.get(worker_id)
            if session is not None:
                session.update(worker)
                continue
            announced_at = self._inherited.pop(
                worker_id, self.clock.monotonic()
            )
            session = sessions.WorkerSession(
                worker, self, self._nursery, announced_at
            )
            self._sessions[worker_id] = session
            self._scopes[worker_id] = trio.CancelScope()
            self._nursery.start_soon(self._run_session, session)
        for worker_id in list(self._sessions):
            if worker_id not in self.ledger.workers:
                del self._sessions[worker_id]
                self._scopes.pop(worker_id).cancel()

    async def _run_session(self, session: sessions.WorkerSession) -> None:
        with self._scopes[session.worker_id]:
            await session.run()

    async def _keep_house(self) -> None:
        while True:
            await trio.sleep(HOUSEKEEPING_S)
            await self._commit_seen()
            await self._remove_silent()
            await self._forget_ended()
            self._publish()

    async def _commit_seen(self) -> None:
        if not self._seen:
            return
        seen = tuple(commands.SeenRun(run) for run in sorted(self._seen))
        self._seen.clear()
        await self.commit(commands.NoteRunning(seen))

    async def _remove_silent(self) -> None:
        now = self.clock.monotonic()
        for worker_id, session in list(self._sessions.items()):
            silent_s = now - session.heard_at
            if silent_s < FORGET_WORKER_S or now < session.leases_over_at:
                continue
            reason = f"silent for {silent_s:.1f} s"
            logs.event("worker-gone", worker=worker_id, reason=reason)
            saved = tuple(session.progress())
            await self.commit(commands.RemoveWorker(worker_id, reason, saved))
            self.wake()

    async def _forget_ended(self) -> None:
        """Forgets jobs that ended long ago, some at a time."""
        now_ms = self.clock.wall_ms()
        self.health.keep_jobs(self.ledger.active_jobs)
        if now_ms < self._forget_at_ms:
            return
        self._forget_at_ms = now_ms + FORGET_EVERY_S * 1000
        before_ms = now_ms - int(KEEP_ENDED_S * 1000)
        if self.ledger.may_forget(before_ms):
            await self.commit(commands.ForgetJobs(before_ms))

    def _publish(self) -> None:
        metrics = self._context.metrics
        metrics.gauge("jobs_active", len(self.ledger.active_jobs))
        metrics.gauge("runs_live", len(self.ledger.runs))
        metrics.gauge("workers_known", len(self.ledger.workers))
        metrics.gauge("units_waiting", self._plan_log.units_waiting)


def _is_whole(
    record: records.JobRecord,
    key: model.StepKey,
    runs: abc.Iterable[model.RunId],
) -> bool:
    """Whether all members of a gang are live, in runs of one number."""
    numbers = [run.number for run in runs]
    tasks = record.job.steps[key[2]].tasks
    return len(numbers) >= tasks and len(set(numbers)) == 1
