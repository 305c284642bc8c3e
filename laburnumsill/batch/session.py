"""Session of the leading scheduler with one worker.

A session requests a report when it begins, and further reports while the worker
may have runs. The first request carries the leader's fence to the worker, which
then rejects the orders of earlier leaders, and the answer lists the runs that
such orders have started. Each report request renews the leases; its answer
lists the runs that have ended. These ends are committed before the next
request acknowledges them to the worker. Orders without a clear answer are
retried. A run that may or may not have started is stopped, and is released only
after the worker has acknowledged the stop and a later report does not list the
run.

A report request renews the leases only while the worker answers: one that is
lost may have arrived, so it would delay the time from which the tasks of an
unreachable worker can certainly run elsewhere.
"""

import math
from collections import abc as collections_abc

import trio

from laburnumsill.batch import commands
from laburnumsill.batch import leases
from laburnumsill.batch import lost_work
from laburnumsill.batch import model
from laburnumsill.batch import orders
from laburnumsill.batch import term as terms
from laburnumsill.batch import worker_client
from laburnumsill.batch import worker_state
from laburnumsill.core import errors
from laburnumsill.core import logs

REPORT_WAIT_MS = 2_000
"""Long-poll timeout of a report, the longest that workers allow. Each report
has a price, so shorter waits cost more."""

UNSETTLED_WAIT_MS = 100
"""Long-poll timeout of a report while it is unknown whether a live run ever
started, or whether it still runs."""

RESEND_STOP_AFTER_S = 2.0
"""Time after an acknowledged stop at which a run that is still listed gets
another stop order; the users' workers need 1 s at most."""

REPLACED_PAUSE_S = 0.5
"""Pause between reports while another incarnation answers under the worker's
name; that incarnation announces itself within 1.5 s."""

MALFORMED_REPORT_PAUSE_S = 0.5
"""Pause after a report with malformed rows. A worker that has ends to list
answers without waiting, and it lists a malformed end in each report."""

UNACKNOWLEDGED_PAUSE_S = 0.1
"""Pause after the second report in a row that acknowledged no ends, as to a
worker that closes each connection. It lists its ends without waiting."""

RECENT_ANSWER_S = 0.1
"""Age up to which an answer shows, without a further probe, that the worker is
reachable: a cut would have to begin in between."""

RENEWAL_INTERVAL_MS = REPORT_WAIT_MS + round(1000 * orders.MAX_ORDER_TIMEOUT_S)
"""Longest time from a report request that the worker answers to the next one,
in ms. A lease that ends earlier is renewed after `UNSETTLED_WAIT_MS`."""

DEPARTURE_STOP_REASON = "its worker has announced its end"
"""Logged reason of the stops of all runs of a departing worker."""

MAX_MISSED_REPORTS = 2
"""Number of reports without a started run, as running or as ended, after which
the run is stopped. The acknowledged stop makes its absence certain."""


class WorkerSession:
    """Session with one worker; `run` is a task of the term's nursery.

    Args:
        worker: The worker as announced.
        term: The leader's term.
        nursery: Runs the orders as background tasks.
        announced_at: Monotonic time of the worker's last announcement.
    """

    def __init__(
        self,
        worker: model.Worker,
        term: terms.Term,
        nursery: trio.Nursery,
        announced_at: float,
    ) -> None:
        self._term = term
        self._state = worker_state.WorkerState(worker, term, announced_at)
        self._orders = orders.Orders(self._state, nursery)
        self._acknowledged_end = term.ledger.last_end(worker.worker_id)
        self._last_acknowledged = True
        self._has_reported = False
        self._contested_at: float | None = None
        self._probing = False
        self._has_undecided_runs = False
        self._poll_was_cut = False

    @property
    def worker(self) -> model.Worker:
        """The worker as announced."""
        return self._state.worker

    @property
    def worker_id(self) -> str:
        """The worker's id."""
        return self._state.worker_id

    @property
    def last_contact_at(self) -> float:
        """Monotonic time of the last message from the worker."""
        return self._state.last_contact_at

    @property
    def announcement_is_fresh(self) -> bool:
        """Whether the last announcement is recent enough to start runs."""
        return self._state.announcement_is_fresh

    @property
    def has_unread_ends(self) -> bool:
        """Whether the worker lists ends that cannot be read."""
        return self._state.has_unread_ends

    @property
    def unreachable_since(self) -> float | None:
        """Monotonic time since which calls have failed, or None."""
        return self._state.unreachable_since

    @property
    def start_backoff_until(self) -> float:
        """Monotonic time before which no run is placed on the worker."""
        return self._state.start_backoff_until

    @property
    def leases_expire_at(self) -> float:
        """Monotonic time by which all leases have certainly expired."""
        return self._state.leases.expires_at

    @property
    def stopping(self) -> collections_abc.Set[model.RunId]:
        """The runs that are being stopped."""
        return self._state.stops.keys()

    def progress(self) -> list[commands.SeenRun]:
        """Returns the last reported progress of the worker's live runs."""
        return self._state.progress()

    @property
    def outlived_losses(self) -> bool:
        """Whether the worker has reported since the last loss of its runs."""
        return self._state.outlived_losses

    def unconfirmed(self) -> tuple[model.RunId, ...]:
        """Returns the live runs that are not known to have begun."""
        return self._state.unconfirmed()

    @property
    def leaves_at(self) -> float | None:
        """Monotonic time from which a draining worker may leave, or None."""
        return self._state.leaves_at

    def observe_heartbeat(
        self, clock_ms: int | None, time_left_ms: int | None = None
    ) -> None:
        """Records a heartbeat.

        Args:
            clock_ms: The worker's clock when it was sent, or None.
            time_left_ms: Time for which the worker certainly stays, in ms;
                None if it does not drain.
        """
        self._state.observe_heartbeat(clock_ms, time_left_ms)

    def update(self, worker: model.Worker) -> None:
        """Replaces the worker's data after an announcement.

        Stops all runs of a worker that has announced its end. Wakes a session
        that waits although it has runs, as after a placement that an earlier
        term has proposed and that was committed in this one.
        """
        self._state.update(worker)
        runs = self._term.ledger.runs_on(self.worker_id)
        if worker.departing:
            for run in runs:
                self._orders.stop(run, DEPARTURE_STOP_REASON)
        if worker.departing or runs:
            self._state.wakeup.set()

    def verify(self) -> None:
        """Requests a report to check that this incarnation is alive.

        If another incarnation answers at the address, the session ends.
        """
        if self._contested_at is None:
            self._contested_at = self._term.clock.monotonic()
            logs.event("worker-contested", worker=self.worker_id)
        self._state.wakeup.set()

    async def end(self, successor: str) -> None:
        """Ends the session, since a successor has the worker's name."""
        await self._state.remove("it has started again", successor)

    @property
    def answered_recently(self) -> bool:
        """Whether the worker is reachable and answered a call recently."""
        age_s = self._term.clock.monotonic() - self._state.answered_at
        return self._state.unreachable_since is None and age_s < RECENT_ANSWER_S

    async def probe(self) -> bool:
        """Returns whether the worker is reachable; probes it if necessary.

        A run whose start order goes to a worker that is cut off may have
        started, and its task cannot run elsewhere until the worker's lease
        expires seconds later. An unanswered probe costs a tenth of a second.
        """
        if self.answered_recently:
            return True
        self._probing = True
        try:
            await self._state.probe()
        except errors.LaburnumsillError as error:
            await self._handle_call_failure(error)
            return False
        finally:
            self._probing = False
        return True

    async def probe_if_idle(self) -> None:
        """Probes a reachable worker, unless a probe is in progress."""
        if not self._probing and self._state.unreachable_since is None:
            await self.probe()

    def start(self, run: model.RunId) -> None:
        """Starts a run that was placed here, see `orders.Orders.start`."""
        self._orders.start(run)

    def stop(self, run: model.RunId, reason: str, for_job: str = "") -> None:
        """Stops a run, see `orders.Orders.stop`."""
        self._orders.stop(run, reason, for_job)

    async def run(self) -> None:
        """Requests reports while the worker may have something to report."""
        while True:
            if self._has_departed():
                await self._state.remove("it left")
                return
            if not self._needs_report():
                await self._state.wakeup.wait()
                self._state.wakeup = trio.Event()
                continue
            await self._report_once()

    def _has_departed(self) -> bool:
        """Returns whether a worker has announced its end and runs nothing.

        Its last report may list runs that are not live in the ledger. They are
        over at the latest when its leases have expired.
        """
        if not self._state.is_departing:
            return False
        if self._term.ledger.runs_on(self._state.worker_id):
            return False
        now = self._term.clock.monotonic()
        return not self._state.running or now >= self.leases_expire_at

    def _needs_report(self) -> bool:
        ledger = self._term.ledger
        unacknowledged = (
            ledger.last_end(self._state.worker_id) > self._acknowledged_end
        )
        runs = ledger.runs_on(self._state.worker_id)
        if runs or self._state.running or unacknowledged:
            return True
        if self._contested_at is not None:
            return True
        if self._state.unreachable_since is not None:
            return True
        pool = self._state.worker.pool
        return not self._has_reported and self._term.is_served(pool)

    async def _report_once(self) -> None:
        now = self._term.clock.monotonic()
        last_end = self._term.ledger.last_end(self._state.worker_id)
        lease_ms = None
        if self._state.unreachable_since is None:
            lease_ms = self._state.next_lease_ms()
        wait_ms = self._wait_ms()
        if lease_ms is not None:
            self._state.leases.record_grant(lease_ms)
            if self._state.lease_left_ms(lease_ms) < RENEWAL_INTERVAL_MS:
                wait_ms = min(wait_ms, UNSETTLED_WAIT_MS)
        order = worker_client.ReportOrder(
            lease_ms, self._term.fence, last_end, wait_ms
        )
        deadline = now + self._report_timeout_s(wait_ms)
        try:
            report = await self._request_report(order, deadline)
        except errors.LaburnumsillError as error:
            await self._handle_report_failure(error)
            return
        if report is None:
            return
        self._poll_was_cut = False
        was_acknowledged = self._last_acknowledged
        self._last_acknowledged = report.acknowledged
        if report.acknowledged:
            self._acknowledged_end = max(self._acknowledged_end, last_end)
        elif not was_acknowledged:
            await trio.sleep(UNACKNOWLEDGED_PAUSE_S)
        self._has_reported = True
        self._state.reported_at = now
        await self._finish_verification(now)
        asked_at = None if wait_ms else now
        self._state.record_answer(report.clock_ms, asked_at)
        await self._process_report(report, now)

    async def _request_report(
        self, order: worker_client.ReportOrder, deadline: float
    ) -> worker_client.Report | None:
        """Returns a report, or None if its long poll was cut short."""
        with trio.CancelScope() as scope:
            self._state.long_poll = scope if order.wait_ms else None
            try:
                return await self._term.client.report(
                    self._state.worker, order, deadline
                )
            finally:
                self._state.long_poll = None
        self._poll_was_cut = True
        return None

    async def _finish_verification(self, asked_at: float) -> None:
        """Ends a verification that began before the answered request."""
        contested_at = self._contested_at
        if contested_at is None or asked_at < contested_at:
            return
        self._contested_at = None
        await self._term.end_other_incarnations(self._state.worker)

    def _report_timeout_s(self, wait_ms: int) -> float:
        """Returns the timeout of a report, in s.

        A short report gets the upper bound of the adaptive timeout: its answer
        shows that calls take longer than they did.

        Args:
            wait_ms: The long-poll timeout of the report, in ms.
        """
        wait_s = wait_ms / 1000
        longest_s = wait_s + orders.MAX_ORDER_TIMEOUT_S
        if wait_ms < REPORT_WAIT_MS:
            return longest_s
        longest_wait_s = wait_s / (1 - leases.CLOCK_DRIFT)
        return min(longest_s, longest_wait_s + self._term.order_timeout.seconds)

    def _wait_ms(self) -> int:
        """Returns the long-poll timeout of the next report, in ms."""
        runs = self._term.ledger.runs_on(self._state.worker_id)
        if self._contested_at is not None or not self._state.leases.clock_known:
            return 0
        if self._state.unreachable_since is not None or self._poll_was_cut:
            return 0  # an answer that did not arrive may have listed ends
        if self._has_undecided_runs:
            return 0
        if not runs:
            return UNSETTLED_WAIT_MS if self._state.running else 0
        if self._state.is_departing:
            return UNSETTLED_WAIT_MS  # it may end without an answer
        if any(map(self._is_unsettled, runs)):
            return UNSETTLED_WAIT_MS
        wait_ms = min(REPORT_WAIT_MS, 1000 * self._next_end_left_s())
        return max(UNSETTLED_WAIT_MS, round(wait_ms))

    def _next_end_left_s(self) -> float:
        """Returns the time to the next end that a stop promises, in s.

        Infinite if there is none. A run that outlives its stop promises none.
        """
        now = self._term.clock.monotonic()
        left_s = (
            stop.acknowledged_at + orders.STOP_GRACE_S - now
            for stop in self._state.stops.values()
            if stop.acknowledged_at is not None
        )
        return min((one for one in left_s if one > 0), default=math.inf)

    def _is_unsettled(self, run: model.RunId) -> bool:
        """Returns whether a live run may be over without an end to wait for."""
        if self._is_stray(run) or self._state.missed_reports.get(run):
            return True
        stop = self._state.stops.get(run)
        if stop is None or stop.acknowledged_at is None:
            return False
        return run not in self._state.running

    async def _handle_report_failure(
        self, error: errors.LaburnumsillError
    ) -> None:
        await self._handle_call_failure(error)
        if isinstance(error, worker_client.IncarnationReplacedError):
            # The successor is unknown yet, or this worker has been removed.
            await trio.sleep(REPLACED_PAUSE_S)
            return
        if isinstance(error, worker_client.IncarnationGoneError):
            return
        await self._release_expired()
        await trio.sleep(orders.RETRY_PAUSE_S)

    async def _handle_call_failure(
        self, error: errors.LaburnumsillError
    ) -> None:
        """Updates the worker's state after a call that failed."""
        if isinstance(error, worker_client.IncarnationReplacedError):
            await self._state.handle_replacement(error)
            return
        if isinstance(error, worker_client.IncarnationGoneError):
            await self._state.remove(error.detail)
            return
        if isinstance(error, worker_client.FencedOffError):
            self._term.step_down(self._state.worker_id)
        self._state.mark_unreachable(error)

    async def _process_report(
        self, report: worker_client.Report, sent_at: float
    ) -> None:
        """Processes a report that was requested at `sent_at`, monotonic."""
        self._state.running = {listed.run: listed for listed in report.running}
        last_end = self._term.ledger.last_end(self._state.worker_id)
        new_ends = tuple(end for end in report.ended if end.number > last_end)
        self._state.has_unread_ends = bool(report.malformed_ended)
        if report.malformed_ended:
            new_ends = _before_first_gap(new_ends, last_end)
        if new_ends:
            await self._commit_ends(new_ends)
        ended_runs = {end.run for end in report.ended}
        is_readable = not (report.malformed_running or report.malformed_ended)
        # Further ends may follow those that a report lists. Only a report
        # without new ones shows that all ends are recorded.
        lists_all = not (new_ends or report.omits_ends)
        undecided = await self._reconcile(
            ended_runs, sent_at, is_readable and lists_all
        )
        self._has_undecided_runs = bool(undecided) and is_readable
        live = self._term.ledger.runs_on(self._state.worker_id)
        for run in self._state.running:
            if run not in live:
                self._orders.stop(
                    run, "the ledger has no such run on this worker"
                )
        self._resend_stops(sent_at)
        self._stop_stalled_runs()
        for run in [
            run for run in self._state.stops if self._state.has_ended(run)
        ]:
            del self._state.stops[run]
        if report.malformed_ended:
            await self._release_expired()
        if report.malformed_running or report.malformed_ended:
            await trio.sleep(MALFORMED_REPORT_PAUSE_S)

    def _resend_stops(self, sent_at: float) -> None:
        """Resends stop orders to runs that outlive their acknowledgement."""
        for run, stop in self._state.stops.items():
            acknowledged_at = stop.acknowledged_at
            if run not in self._state.running or acknowledged_at is None:
                continue
            if sent_at - acknowledged_at >= RESEND_STOP_AFTER_S:
                self._orders.resend_stop(run)

    def _stop_stalled_runs(self) -> None:
        """Stops stalled runs, so that their tasks can run elsewhere."""
        now = self._term.clock.monotonic()
        for run, listed in self._state.running.items():
            record = self._term.ledger.jobs.get(run.task.job_id)
            if record is None or run in self._state.stops:
                continue
            if record.task(run.task) is None:
                continue
            gang = record.job.steps[run.task.step].gang
            if not self._term.health.observe_progress(listed, gang, now):
                continue
            self._term.health.quarantine_for_stall(
                self._state.worker_id, run, now
            )
            logs.event(
                "run-stalled",
                "WARNING",
                job=run.task.job_id,
                run=run,
                worker=self._state.worker_id,
                percent=listed.percent,
            )
            self._orders.stop(run, "its progress is stalled")

    async def _commit_ends(self, ends: tuple[commands.EndedRun, ...]) -> None:
        for end in ends:
            logs.event(
                "run-ended",
                job=end.run.task.job_id,
                run=end.run,
                worker=self._state.worker_id,
                number=end.number,
                kind=end.kind,
                saved=end.saved,
            )
        at_ms = self._term.clock.wall_ms()
        for end in ends:
            self._count_lost_work(end, at_ms)
        active = self._term.ledger.active_jobs
        affected = [
            job_id
            for job_id in dict.fromkeys(end.run.task.job_id for end in ends)
            if job_id in active
        ]
        await self._term.commit(
            commands.NoteEnds(
                self._state.worker_id, ends, at_ms, commands.SEMANTICS
            )
        )
        for job_id in affected:
            self._term.log_job_end(job_id)
        for end in ends:
            self._state.missed_reports.pop(end.run, None)
            self._state.ordered.discard(end.run)
            self._observe_end(end)
        self._term.request_plan()

    def _count_lost_work(self, end: commands.EndedRun, at_ms: int) -> None:
        stop = self._state.stops.get(end.run)
        preempted = stop is not None and bool(stop.for_job)
        cause = lost_work.cause_of(end.kind, preempted)
        if cause is not None:
            self._term.lost_work.count(end.run, cause, end.saved, at_ms)

    def _observe_end(self, end: commands.EndedRun) -> None:
        record = self._term.ledger.jobs.get(end.run.task.job_id)
        if record is None or record.task(end.run.task) is None:
            return
        step = record.job.steps[end.run.task.step]
        now = self._term.clock.monotonic()
        self._term.restarts.observe_end(
            end, record.job, self._state.worker_id, now
        )
        health = self._term.health
        queue = record.job.queue
        if health.observe_end(self._state.worker_id, end, step, now, queue):
            logs.event(
                "worker-set-aside",
                "WARNING",
                worker=self._state.worker_id,
                reason="it probably fails what it runs",
                run=end.run,
            )

    async def _reconcile(
        self,
        ended_runs: collections_abc.Set[model.RunId],
        sent_at: float,
        is_complete: bool = True,
    ) -> list[model.RunId]:
        """Reconciles the runs placed on the worker with its report.

        Args:
            ended_runs: Runs whose ends are in the report.
            sent_at: Monotonic time at which the report was requested.
            is_complete: Whether the absence of a run from the report shows
                that it neither runs nor has ended there.

        Returns:
            The runs that are absent from a report that is not complete.
        """
        releases = []
        undecided = []
        for run in list(self._term.ledger.runs_on(self._state.worker_id)):
            stop = self._state.stops.get(run)
            if stop is None and self._is_stray(run):
                self._orders.stop(run, "its worker has started again")
            elif run in self._state.running:
                self._record_running(run)
            elif run in ended_runs or run in self._state.starting:
                continue
            elif not is_complete:
                undecided.append(run)
            elif stop is not None:
                acknowledged = stop.acknowledged_at
                if acknowledged is not None and acknowledged <= sent_at:
                    releases.append(self._state.release(run, "it never began"))
            elif run not in self._state.missed_reports:
                self._orders.start(run)  # placed by an earlier leader
            else:
                self._record_missing(run)
        await self._state.commit_releases(releases)
        return undecided

    def _is_stray(self, run: model.RunId) -> bool:
        record = self._term.ledger.runs.get(run)
        return record is not None and record.is_stray

    def _record_running(self, run: model.RunId) -> None:
        record = self._term.ledger.runs.get(run)
        if (
            record is not None
            and not record.seen
            and run not in self._state.missed_reports
        ):
            logs.event("run-seen", run=run, worker=self._state.worker_id)
        if record is not None and not record.seen:
            self._term.record_seen(run)
        self._state.missed_reports[run] = 0

    def _record_missing(self, run: model.RunId) -> None:
        """Counts a report without a started run; stops it at the limit."""
        self._state.missed_reports[run] += 1
        if self._state.missed_reports[run] >= MAX_MISSED_REPORTS:
            self._orders.stop(run, "its worker does not list it")

    async def _release_expired(self) -> None:
        """Releases all runs if the leases have expired."""
        if self._term.clock.monotonic() < self._state.leases.expires_at:
            return
        reason = "its lease has ended"
        runs = self._term.ledger.runs_on(self._state.worker_id)
        await self._state.commit_releases(
            [self._state.release(run, reason, is_lost=True) for run in runs]
        )


def _before_first_gap(
    ends: collections_abc.Iterable[commands.EndedRun], last_end: int
) -> tuple[commands.EndedRun, ...]:
    """Returns the ends whose numbers follow `last_end` without a gap.

    A later end must not be recorded: the next request would acknowledge the
    ends in the gap, too, and the worker would forget them.
    """
    return tuple(
        end
        for number, end in enumerate(ends, last_end + 1)
        if end.number == number
    )
