"""What the leader knows of one worker, and what its messages change."""

import dataclasses
import math

import trio

from laburnumsill.batch import commands
from laburnumsill.batch import leases as lease_module
from laburnumsill.batch import model
from laburnumsill.batch import term as terms
from laburnumsill.batch import worker_client
from laburnumsill.core import errors
from laburnumsill.core import logs

STOP_PROLONGING_AFTER_S = 1.5
"""After so long without an answer leases are prolonged no more, since an
order that seems lost may have arrived: only then do they ever end for sure."""

ANNOUNCED_WITHIN_S = 4.0
"""A worker that has not announced itself for so long gets no new runs, since
its capacity may have shrunk; it does so every 1.5 s."""


@dataclasses.dataclass(slots=True)
class Stop:
    """An order to stop a run.

    Attributes:
        reason: Why.
        acknowledged_at: When the worker acknowledged it, monotonic.
    """

    reason: str
    acknowledged_at: float | None = None


class WorkerState:
    """One worker as its session and its orders see it.

    Attributes:
        worker: What it says of itself.
        term: The lead under which it is dealt with.
        leases: Its clock, and how long its leases may last.
        running: What it listed as running, by run.
        started: Runs that it has confirmed, with the reports since then that
            did not list them.
        starting: Runs whose start orders are under way.
        ordered: Runs that were ordered here, or may have been by an earlier
            leader.
        stops: Runs that it was told to stop.
        wakeup: Set when the session has something to do.
        regained: Set when a worker answers again that did not.
        heard_at: When it was last heard from, monotonic.
        announced_at: When it last said what it has, monotonic.
        answered_at: When it last answered a call, monotonic.
        failing_since: Since when calls to it have failed, None if they have
            not.
        unwell_until: It is given no new runs before this point, monotonic.
    """

    def __init__(
        self, worker: model.Worker, term: terms.Term, announced_at: float
    ) -> None:
        now = term.clock.monotonic()
        self.worker = worker
        self.term = term
        self.leases = lease_module.LeaseBook(term.longest_lease_ms, now)
        self.running: dict[model.RunId, worker_client.RunningRun] = {}
        self.started: dict[model.RunId, int] = {}
        self.starting: set[model.RunId] = set()
        self.ordered = set(term.ledger.runs_on(worker.worker_id))
        self.stops: dict[model.RunId, Stop] = {}
        self.wakeup = trio.Event()
        self.regained = trio.Event()
        self.heard_at = now
        self.announced_at = announced_at
        self.answered_at = -math.inf
        self.failing_since: float | None = None
        self.unwell_until = now

    @property
    def worker_id(self) -> str:
        """The worker."""
        return self.worker.worker_id

    @property
    def lost(self) -> bool:
        """Whether calls have failed for so long that leases are to end."""
        since = self.failing_since
        now = self.term.clock.monotonic()
        return since is not None and now - since > STOP_PROLONGING_AFTER_S

    @property
    def announced_lately(self) -> bool:
        """Whether what is known of its room is new enough to start runs."""
        age_s = self.term.clock.monotonic() - self.announced_at
        return age_s < ANNOUNCED_WITHIN_S

    def saved(self, run: model.RunId) -> str:
        """Returns the newest progress of a run that was seen, or ""."""
        seen = self.running.get(run)
        return seen.saved if seen else ""

    def progress(self) -> list[commands.SeenRun]:
        """Returns the progress of all live runs that were seen here."""
        return [
            commands.SeenRun(run, seen.saved)
            for run, seen in self.running.items()
            if run in self.term.ledger.runs_on(self.worker_id)
        ]

    def hear(self, clock_ms: int | None) -> None:
        """Notes a heartbeat, with the worker's clock when it was sent."""
        if not self.announced_lately:
            self.term.wake()
        self.announced_at = self.term.clock.monotonic()
        self._hear(clock_ms)

    def _hear(self, clock_ms: int | None) -> None:
        now = self.term.clock.monotonic()
        self.heard_at = now
        if clock_ms is not None:
            self.leases.observe(clock_ms, now)

    async def ask(self) -> None:
        """Asks whether this incarnation is there.

        Raises:
            errors.LaburnumsillError: It is not, or does not answer.
        """
        now = self.term.clock.monotonic()
        noted = self.term.ledger.noted(self.worker_id)
        order = worker_client.ReportOrder(None, self.term.fence, noted, 0)
        deadline = now + self.term.attempt.seconds
        report = await self.term.client.report(self.worker, order, deadline)
        self.answered(report.clock_ms, now)

    def answered(
        self, clock_ms: int | None, asked_at: float | None = None
    ) -> None:
        """Notes that a call was answered.

        Args:
            clock_ms: The worker's clock then, None if it did not say.
            asked_at: When the call was made, monotonic; None for one that the
                worker was to answer later.
        """
        now = self.term.clock.monotonic()
        if asked_at is not None:
            self.term.attempt.note(now, now - asked_at)
        if self.failing_since is not None:
            logs.event("worker-regained", worker=self.worker_id)
            self.regained.set()
            self.regained = trio.Event()
            self.term.wake()
        self.failing_since = None
        self.answered_at = now
        self._hear(clock_ms)

    def unanswered(self, error: errors.LaburnumsillError) -> None:
        """Notes that a call was not answered: it is given no new runs."""
        if self.failing_since is not None:
            return
        self.failing_since = self.term.clock.monotonic()
        logs.event(
            "worker-lost",
            "WARNING",
            worker=self.worker_id,
            reason=error.slug,
            detail=error.detail,
        )
        self.wakeup.set()
        self.term.doubt_domain_of(self.worker)
        self.term.wake()

    def is_over(self, run: model.RunId) -> bool:
        """Returns whether a run neither runs there nor may do so."""
        live = run in self.term.ledger.runs_on(self.worker_id)
        return not live and run not in self.running

    async def replaced(
        self, error: worker_client.IncarnationReplacedError
    ) -> None:
        """Another incarnation has the worker's name and may have its orders.

        Until that one is known, nothing can be said of the runs.
        """
        successors = [
            other.worker_id
            for other in self.term.ledger.workers_named(self.worker.call_name)
            if other.worker_id != self.worker_id
        ]
        if successors:
            await self.gone(error.detail, successors[-1])
        else:
            self.unanswered(error)

    async def gone(self, reason: str, successor: str = "") -> None:
        """The worker's incarnation has ended, and all that ran on it.

        Args:
            reason: Why that is certain.
            successor: Another incarnation that may have orders for its runs,
                "" if none can.
        """
        lost = list(self.term.ledger.runs_on(self.worker_id))
        concerned = {run.task.job_id for run in lost}
        concerned &= self.term.ledger.active_jobs.keys()
        crashed = not self.worker.draining
        logs.event(
            "worker-gone",
            worker=self.worker_id,
            reason=reason,
            crashed=crashed,
            runs=len(lost),
            successor=successor,
        )
        await self.term.commit(
            commands.RemoveWorker(
                self.worker_id,
                reason,
                tuple(self.progress()),
                self.term.clock.wall_ms(),
                crashed,
                successor,
                tuple(run for run in lost if run not in self.ordered),
            )
        )
        for run in lost:
            self._log_lost(run)
        for job_id in sorted(concerned):
            self.term.log_end(job_id)
        self.term.wake()

    def _log_lost(self, run: model.RunId) -> None:
        logs.event(
            "run-lost",
            job=run.task.job_id,
            run=run,
            worker=self.worker_id,
            blame=self.term.ledger.crashes.blame_of(run.task).points,
        )

    def release(
        self, run: model.RunId, reason: str, is_lost: bool = False
    ) -> commands.Release:
        """Returns the release of a run, with its newest progress."""
        return commands.Release(
            run, self.worker_id, reason, self.saved(run), is_lost
        )

    async def commit_releases(self, releases: list[commands.Release]) -> None:
        """Commits that some runs certainly do not run and never will."""
        if not releases:
            return
        for one in releases:
            logs.event(
                "run-released",
                job=one.run.task.job_id,
                run=one.run,
                worker=self.worker_id,
                reason=one.reason,
            )
            self.started.pop(one.run, None)
            self.ordered.discard(one.run)
            self.term.health.forget_run(one.run)
        at_ms = self.term.clock.wall_ms()
        await self.term.commit(commands.ReleaseRuns(tuple(releases), at_ms))
        self.term.wake()
