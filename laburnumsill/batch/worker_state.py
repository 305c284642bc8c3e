"""State that the leader keeps for one worker."""

import dataclasses
import math

import trio

from laburnumsill.batch import commands
from laburnumsill.batch import leases as lease_module
from laburnumsill.batch import lost_work
from laburnumsill.batch import model
from laburnumsill.batch import term as terms
from laburnumsill.batch import worker_client
from laburnumsill.core import errors
from laburnumsill.core import logs

RENEWAL_TIMEOUT_S = 1.5
"""A worker that has been unreachable for longer gets no start orders, which
renew its leases; reports renew none while it is unreachable. An order that
seems lost may have arrived, so its leases would never be certain to expire if
they were still renewed."""

ANNOUNCEMENT_MAX_AGE_S = 4.0
"""Age at which a worker's last announcement is stale. The worker then gets no
new runs, since its capacity may have shrunk; workers announce every 1.5 s."""

CUT_INTERVAL_S = 4.0
"""Shortest time between two long polls that end early because a call was not
answered. A worker may answer reports but no orders. Each cut would then cost a
report and a connection, and the answer would prompt the next order at once."""


@dataclasses.dataclass(slots=True)
class StopOrder:
    """An order to stop a run.

    Attributes:
        reason: Why the run is stopped, for the log.
        acknowledged_at: Monotonic time at which the worker acknowledged the
            order; None before.
        for_job: The job that needs the run's capacity, or "".
    """

    reason: str
    acknowledged_at: float | None = None
    for_job: str = ""


class WorkerState:
    """State of one worker, shared by its session and its orders.

    Args:
        worker: The worker as announced.
        term: The leader's term.
        announced_at: Monotonic time of the worker's last announcement.

    Attributes:
        worker: The worker as announced.
        term: The leader's term.
        leases: The worker's clock and the expiry of its leases.
        running: Runs in the worker's last report, by id.
        missed_reports: Number of consecutive reports that did not list a run,
            for each run that the worker has confirmed to have started.
        starting: Runs whose start orders are in progress.
        ordered: Runs for which a start order was sent to this worker, or may
            have been sent by an earlier leader.
        inherited: Runs that were placed on the worker before this term.
        stops: Stop orders by run.
        wakeup: Set when the session has something to do.
        long_poll: Cancels the long poll in progress; None if there is none.
        reachable_again: Set when an unreachable worker answers again.
        last_contact_at: Monotonic time of the last message from the worker.
        announced_at: Monotonic time of the last announcement.
        answered_at: Monotonic time of the last answer to a call.
        reported_at: Monotonic time at which the last report that was answered
            was requested.
        unreachable_since: Monotonic time of the first failed call after the
            last answer; None while calls succeed.
        start_backoff_until: Monotonic time before which no run is placed on
            the worker.
        leaves_at: Monotonic time from which a draining worker may leave; None
            if it does not drain.
        has_unread_ends: Whether its last report lists an end in a row that
            cannot be read. It gets no new runs, and its leases are not
            renewed: only their expiry shows that the run of that end is over.
    """

    def __init__(
        self, worker: model.Worker, term: terms.Term, announced_at: float
    ) -> None:
        now = term.clock.monotonic()
        self.term = term
        self.leases = lease_module.LeaseTracker(term.longest_lease_ms, now)
        self.update(worker)
        self.running: dict[model.RunId, worker_client.RunningRun] = {}
        self.missed_reports: dict[model.RunId, int] = {}
        self.starting: set[model.RunId] = set()
        self.inherited = frozenset(term.ledger.runs_on(worker.worker_id))
        self.ordered = set(self.inherited)
        self.stops: dict[model.RunId, StopOrder] = {}
        self.wakeup = trio.Event()
        self.long_poll: trio.CancelScope | None = None
        self.reachable_again = trio.Event()
        self._next_cut_at = now
        self.last_contact_at = now
        self.announced_at = announced_at
        self.answered_at = -math.inf
        self.reported_at = -math.inf
        self._lost_at = now
        self.unreachable_since: float | None = None
        self.start_backoff_until = now
        self.leaves_at: float | None = None
        self.has_unread_ends = False

    @property
    def worker_id(self) -> str:
        """The worker's id."""
        return self.worker.worker_id

    def update(self, worker: model.Worker) -> None:
        """Replaces the worker's data after an announcement."""
        self.worker = worker
        if worker.draining:
            self.leases.shorten(lease_module.DRAINING_LEASE_MS)

    @property
    def renewal_suspended(self) -> bool:
        """Whether the worker has been unreachable for too long to renew."""
        since = self.unreachable_since
        now = self.term.clock.monotonic()
        return since is not None and now - since > RENEWAL_TIMEOUT_S

    @property
    def announcement_is_fresh(self) -> bool:
        """Whether the last announcement is recent enough to start runs."""
        age_s = self.term.clock.monotonic() - self.announced_at
        return age_s < ANNOUNCEMENT_MAX_AGE_S

    @property
    def is_departing(self) -> bool:
        """Whether the worker has announced its end."""
        return self.term.ledger.is_departing(self.worker_id)

    @property
    def outlived_losses(self) -> bool:
        """Whether the worker has reported since the last loss of its runs.

        Their leases had ended, so it was not one of them that crashed it.
        """
        return self.reported_at > self._lost_at

    def next_lease_ms(self) -> int | None:
        """Returns the end of a lease that is granted now, on its clock.

        None if no lease can be granted, see `leases.LeaseTracker`, or if the
        worker is departing or has unread ends: its runs count as ended once
        its leases expire.
        """
        if self.is_departing or self.has_unread_ends:
            return None
        now = self.term.clock.monotonic()
        return self.leases.next_lease_ms(now, self.term.lead_confirmed_at)

    def lease_left_ms(self, lease_ms: int) -> float:
        """Returns the estimated time until the end of a lease, in ms."""
        return self.leases.left_ms(lease_ms, self.term.clock.monotonic())

    def saved(self, run: model.RunId) -> str:
        """Returns a run's last reported saved progress, or ""."""
        listed = self.running.get(run)
        return listed.saved if listed else ""

    def unconfirmed(self) -> tuple[model.RunId, ...]:
        """Returns the worker's live runs that are not known to have begun.

        No start order of theirs was confirmed and no report has listed them.
        """
        live = self.term.ledger.runs_on(self.worker_id)
        return tuple(
            run
            for run, record in live.items()
            if run not in self.missed_reports and not record.seen
        )

    def progress(self) -> list[commands.SeenRun]:
        """Returns the last reported progress of the worker's live runs."""
        return [
            commands.SeenRun(run, listed.saved)
            for run, listed in self.running.items()
            if run in self.term.ledger.runs_on(self.worker_id)
        ]

    def observe_heartbeat(
        self, clock_ms: int | None, time_left_ms: int | None
    ) -> None:
        """Records a heartbeat; see `session.WorkerSession`."""
        if not self.announcement_is_fresh:
            self.term.request_plan()
        self.announced_at = self.term.clock.monotonic()
        if time_left_ms is not None:
            if self.leaves_at is None:
                self.term.request_plan()
            self.leaves_at = self.announced_at + time_left_ms / 1000
        self._record_contact(clock_ms)

    def _record_contact(self, clock_ms: int | None) -> None:
        now = self.term.clock.monotonic()
        self.last_contact_at = now
        if clock_ms is not None:
            self.leases.observe_clock(clock_ms, now)

    async def probe(self) -> None:
        """Probes the worker with a report that renews no lease.

        Raises:
            errors.LaburnumsillError: The worker did not answer, or another
                incarnation did.
        """
        now = self.term.clock.monotonic()
        last_end = self.term.ledger.last_end(self.worker_id)
        order = worker_client.ReportOrder(None, self.term.fence, last_end, 0)
        deadline = now + self.term.order_timeout.seconds
        report = await self.term.client.report(self.worker, order, deadline)
        self.record_answer(report.clock_ms, now)

    def record_answer(
        self, clock_ms: int | None, asked_at: float | None = None
    ) -> None:
        """Records the answer to a call; the worker is reachable.

        Args:
            clock_ms: The worker's clock in the answer, or None.
            asked_at: Monotonic time of the call, to measure the round trip;
                None for a report whose answer the worker was to delay.
        """
        now = self.term.clock.monotonic()
        if asked_at is not None:
            self.term.order_timeout.record(now, now - asked_at)
        if self.unreachable_since is not None:
            logs.event("worker-regained", worker=self.worker_id)
            self.reachable_again.set()
            self.reachable_again = trio.Event()
            self.term.request_plan()
        self.unreachable_since = None
        self.answered_at = now
        self._record_contact(clock_ms)

    def mark_unreachable(self, error: errors.LaburnumsillError) -> None:
        """Marks the worker as unreachable, so that it gets no new runs."""
        if self.unreachable_since is not None:
            return
        self.unreachable_since = self.term.clock.monotonic()
        logs.event(
            "worker-lost",
            "WARNING",
            worker=self.worker_id,
            reason=error.slug,
            detail=error.detail,
        )
        self._cut_long_poll()
        self.term.probe_domain_of(self.worker)
        self.term.request_plan()

    def _cut_long_poll(self) -> None:
        """Requests a report in place of a long poll, see `CUT_INTERVAL_S`."""
        now = self.term.clock.monotonic()
        if self.long_poll is not None and now >= self._next_cut_at:
            self._next_cut_at = now + CUT_INTERVAL_S
            self.request_report(now)
        self.wakeup.set()

    def request_report(self, at: float) -> None:
        """Requests a report, in place of a long poll that is in progress then.

        For what the answer to the long poll might show only when its wait is
        over, or not at all.

        Args:
            at: Monotonic time of the request, in s.
        """
        if self.long_poll is not None:
            left_s = at - self.term.clock.monotonic()
            self.long_poll.deadline = min(
                self.long_poll.deadline, trio.current_time() + left_s
            )
        self.wakeup.set()

    def has_ended(self, run: model.RunId) -> bool:
        """Returns whether a run is neither placed here nor listed."""
        live = run in self.term.ledger.runs_on(self.worker_id)
        return not live and run not in self.running

    async def handle_replacement(
        self, error: worker_client.IncarnationReplacedError
    ) -> None:
        """Handles the answer of another incarnation of the worker.

        The successor may have received the orders to this incarnation. Until
        it has announced itself, the state of the runs is unknown and the
        worker only counts as unreachable.
        """
        successors = [
            other.worker_id
            for other in self.term.ledger.workers_named(self.worker.call_name)
            if other.worker_id != self.worker_id
        ]
        if successors:
            await self.remove(error.detail, successors[-1])
        else:
            self.mark_unreachable(error)

    async def remove(self, reason: str, successor: str = "") -> None:
        """Removes the worker after its incarnation and its runs have ended.

        Args:
            reason: Why the end is certain, for the log.
            successor: Id of another incarnation that may have received orders
                for the runs, or "".
        """
        lost = list(self.term.ledger.runs_on(self.worker_id))
        affected = {run.task.job_id for run in lost}
        affected &= self.term.ledger.active_jobs.keys()
        crashed = not (self.worker.draining or self.is_departing)
        logs.event(
            "worker-gone",
            worker=self.worker_id,
            reason=reason,
            crashed=crashed,
            runs=len(lost),
            successor=successor,
        )
        now_ms = self.term.clock.wall_ms()
        for run in lost:
            self.term.lost_work.count(
                run, lost_work.Cause.WORKER_LOST, self.saved(run), now_ms
            )
        await self.term.commit(
            commands.RemoveWorker(
                self.worker_id,
                reason,
                tuple(self.progress()),
                now_ms,
                crashed,
                successor,
                tuple(run for run in lost if run not in self.ordered),
                spares_long_running=True,
                unconfirmed=self.unconfirmed(),
                outlived_losses=self.outlived_losses,
            )
        )
        for run in lost:
            self.running.pop(run, None)
            self._log_lost(run)
        for job_id in sorted(affected):
            self.term.log_job_end(job_id)
        self.term.request_plan()

    def _log_lost(self, run: model.RunId) -> None:
        blame = self.term.ledger.crashes.blame_of(run.task)
        logs.event(
            "run-lost",
            job=run.task.job_id,
            run=run,
            worker=self.worker_id,
            blame=blame.points,
            confirmed=blame.confirmed,
        )

    def release(
        self, run: model.RunId, reason: str, is_lost: bool = False
    ) -> commands.Release:
        """Returns the release of a run, with its last reported progress."""
        return commands.Release(
            run,
            self.worker_id,
            reason,
            self.saved(run),
            is_lost,
            run in self.unconfirmed(),
        )

    async def commit_releases(self, releases: list[commands.Release]) -> None:
        """Releases runs that are certain not to run now or later."""
        if not releases:
            return
        if any(release.is_lost for release in releases):
            self._lost_at = self.term.clock.monotonic()
        for release in releases:
            logs.event(
                "run-released",
                job=release.run.task.job_id,
                run=release.run,
                worker=self.worker_id,
                reason=release.reason,
            )
            self.running.pop(release.run, None)
            self.missed_reports.pop(release.run, None)
            self.ordered.discard(release.run)
            self.term.health.forget_run(release.run)
        at_ms = self.term.clock.wall_ms()
        await self.term.commit(commands.ReleaseRuns(tuple(releases), at_ms))
        self.term.request_plan()
