"""One worker as the leading scheduler deals with it.

A session asks for a report at first and then for as long as runs may be
there. The first one brings the worker the leader's fence, after which it
carries out no order of an earlier leader, and shows what such orders have
begun. Each report prolongs the leases and brings the ends, which are committed
before the next one lets the worker forget them. Orders without a clear answer
are given again; a run that may or may not have begun is stopped, and counts as
gone only once the worker has acknowledged that and does not list it.
"""

from collections import abc as collections_abc

import trio

from laburnumsill.batch import commands
from laburnumsill.batch import model
from laburnumsill.batch import orders
from laburnumsill.batch import term as terms
from laburnumsill.batch import worker_client
from laburnumsill.batch import worker_state
from laburnumsill.core import errors
from laburnumsill.core import logs

REPORT_WAIT_MS = 2_000
"""A report may wait so long for an end; the longest that workers allow. Each
report is priced, so a short wait costs."""

SETTLE_WAIT_MS = 100
"""The same while it is open whether a stopped run ever began."""


STOP_AGAIN_S = 2.0
"""A run that is listed for so long after its stop was acknowledged is stopped
again; the users' workers take 1 s at most."""

REPLACED_PAUSE_S = 0.5
"""Pause before a worker is asked again under whose name another incarnation
answers; that announces itself within 1.5 s."""

UNREAD_PAUSE_S = 0.5
"""Pause after a report that could not be read in full: ends that are listed
have the worker answer at once, and this one will list them again."""

ANSWERED_LATELY_S = 0.1
"""A worker that answered so lately is taken to answer still: a cut would have
to begin in between."""

MISSED_REPORTS = 2
"""A run that was started and is in so many reports neither as running nor
as ended is stopped, so that it certainly is not there."""


class WorkerSession:
    """See the module; `run` is a task of the term's nursery.

    Args:
        worker: The worker.
        term: The lead under which it is dealt with.
        nursery: Runs the orders under way.
        announced_at: When it last said what it has, monotonic.
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
        self._reported_noted = term.ledger.noted(worker.worker_id)
        self._answered = False
        self._doubted_at: float | None = None
        self._asking = False

    @property
    def worker(self) -> model.Worker:
        """What the worker says of itself."""
        return self._state.worker

    @property
    def worker_id(self) -> str:
        """The worker."""
        return self._state.worker_id

    @property
    def heard_at(self) -> float:
        """When the worker was last heard from, monotonic."""
        return self._state.heard_at

    @property
    def announced_lately(self) -> bool:
        """Whether what is known of its room is new enough to start runs."""
        return self._state.announced_lately

    @property
    def failing_since(self) -> float | None:
        """Since when calls to it have failed, None if they have not."""
        return self._state.failing_since

    @property
    def unwell_until(self) -> float:
        """It is given no new runs before this point, monotonic."""
        return self._state.unwell_until

    @property
    def leases_over_at(self) -> float:
        """When nothing runs there any more without us, monotonic."""
        return self._state.leases.over_at

    @property
    def stopping(self) -> collections_abc.Set[model.RunId]:
        """The runs that it was told to stop."""
        return self._state.stops.keys()

    def progress(self) -> list[commands.SeenRun]:
        """Returns the progress of all live runs that were seen here."""
        return self._state.progress()

    def hear(self, clock_ms: int | None) -> None:
        """Notes a heartbeat, with the worker's clock when it was sent."""
        self._state.hear(clock_ms)

    def update(self, worker: model.Worker) -> None:
        """Takes what the worker says of itself now."""
        self._state.worker = worker

    def verify(self) -> None:
        """Asks the worker's address whether this incarnation is there.

        Another one there answers so, and the session ends then.
        """
        if self._doubted_at is None:
            self._doubted_at = self._term.clock.monotonic()
            logs.event("worker-contested", worker=self.worker_id)
        self._state.wakeup.set()

    async def end(self, successor: str) -> None:
        """Ends the session: another incarnation has the worker's name."""
        await self._state.gone("it has started again", successor)

    @property
    def answers(self) -> bool:
        """Whether the worker answered just now."""
        age_s = self._term.clock.monotonic() - self._state.answered_at
        return self._state.failing_since is None and age_s < ANSWERED_LATELY_S

    async def ask(self) -> bool:
        """Returns whether the worker answers, asking it if need be.

        A run that is ordered on a worker which is cut off may have begun, and
        its task can not run elsewhere until the worker's lease has ended, some
        seconds later. A worker that is asked first and does not answer costs a
        tenth of a second.
        """
        if self.answers:
            return True
        self._asking = True
        try:
            await self._state.ask()
        except errors.LaburnumsillError as error:
            await self._unanswered(error)
            return False
        finally:
            self._asking = False
        return True

    async def ask_unless_asked(self) -> None:
        """Asks a worker that seemed well, if nobody does so already."""
        if not self._asking and self._state.failing_since is None:
            await self.ask()

    def start(self, run: model.RunId) -> None:
        """Begins to start a run that was placed here."""
        self._orders.start(run)

    def stop(self, run: model.RunId, reason: str, for_job: str = "") -> None:
        """Begins to stop a run, once; see `orders.Orders.stop`."""
        self._orders.stop(run, reason, for_job)

    async def run(self) -> None:
        """Asks for reports while there is anything to hear."""
        while True:
            if not self._needs_report():
                await self._state.wakeup.wait()
                self._state.wakeup = trio.Event()
                continue
            await self._report_once()

    def _needs_report(self) -> bool:
        ledger = self._term.ledger
        unsaid = ledger.noted(self._state.worker_id) > self._reported_noted
        runs = ledger.runs_on(self._state.worker_id)
        if runs or self._state.running or unsaid:
            return True
        if self._doubted_at is not None:
            return True
        if self._state.failing_since is not None:
            return True
        pool = self._state.worker.pool
        return not self._answered and self._term.is_served(pool)

    async def _report_once(self) -> None:
        now = self._term.clock.monotonic()
        noted = self._term.ledger.noted(self._state.worker_id)
        lease_ms = self._state.leases.next_lease_ms(now)
        if self._state.lost:
            lease_ms = None
        wait_ms = self._wait_ms()
        if lease_ms is not None:
            self._state.leases.granted(lease_ms)
        order = worker_client.ReportOrder(
            lease_ms, self._term.fence, noted, wait_ms
        )
        deadline = now + wait_ms / 1000 + orders.ATTEMPT_S
        try:
            report = await self._term.client.report(
                self._state.worker, order, deadline
            )
        except errors.LaburnumsillError as error:
            await self._report_failed(error)
            return
        self._reported_noted = max(self._reported_noted, noted)
        self._answered = True
        await self._note_verified(now)
        asked_at = None if wait_ms else now
        self._state.answered(report.clock_ms, asked_at)
        await self._take(report, now)

    async def _note_verified(self, asked_at: float) -> None:
        """This incarnation was there when it was asked."""
        doubted_at = self._doubted_at
        if doubted_at is None or asked_at < doubted_at:
            return
        self._doubted_at = None
        await self._term.verified(self._state.worker)

    def _wait_ms(self) -> int:
        """Returns how long the next report may wait for an end."""
        runs = self._term.ledger.runs_on(self._state.worker_id)
        if self._doubted_at is not None or not self._state.leases.known:
            return 0
        if not runs:
            return SETTLE_WAIT_MS if self._state.running else 0
        unsettled = any(map(self._is_stray, runs)) or any(
            stop.acknowledged_at is not None and run not in self._state.running
            for run, stop in self._state.stops.items()
            if run in runs
        )
        return SETTLE_WAIT_MS if unsettled else REPORT_WAIT_MS

    async def _report_failed(self, error: errors.LaburnumsillError) -> None:
        await self._unanswered(error)
        if isinstance(error, worker_client.IncarnationReplacedError):
            # Its successor has not announced itself, or this is removed.
            await trio.sleep(REPLACED_PAUSE_S)
            return
        if isinstance(error, worker_client.IncarnationGoneError):
            return
        if self._term.clock.monotonic() >= self._state.leases.over_at:
            await self._release_all("its lease has ended")
        await trio.sleep(orders.RETRY_PAUSE_S)

    async def _unanswered(self, error: errors.LaburnumsillError) -> None:
        """Takes note of a question that had no good answer."""
        if isinstance(error, worker_client.IncarnationReplacedError):
            await self._state.replaced(error)
            return
        if isinstance(error, worker_client.IncarnationGoneError):
            await self._state.gone(error.detail)
            return
        if isinstance(error, worker_client.FencedOffError):
            self._term.fenced_off(self._state.worker_id)
        self._state.unanswered(error)

    async def _take(self, report: worker_client.Report, sent_at: float) -> None:
        """Takes note of a report that was asked for at `sent_at`."""
        self._state.running = {seen.run: seen for seen in report.running}
        noted = self._term.ledger.noted(self._state.worker_id)
        fresh = tuple(end for end in report.ended if end.number > noted)
        if fresh:
            await self._note_ends(fresh)
        listed = {end.run for end in report.ended}
        await self._settle(listed, sent_at, not report.unread_running)
        live = self._term.ledger.runs_on(self._state.worker_id)
        for run in self._state.running:
            if run not in live:
                self._orders.stop(run, "nobody asked for it any more")
        self._stop_again(sent_at)
        self._look_for_hangs()
        for run in [
            run for run in self._state.stops if self._state.is_over(run)
        ]:
            del self._state.stops[run]
        if report.unread_running or report.unread_ended:
            await trio.sleep(UNREAD_PAUSE_S)

    def _stop_again(self, sent_at: float) -> None:
        """Gives the stops again whose runs are listed long after them."""
        for run, stop in self._state.stops.items():
            acknowledged_at = stop.acknowledged_at
            if run not in self._state.running or acknowledged_at is None:
                continue
            if sent_at - acknowledged_at >= STOP_AGAIN_S:
                self._orders.stop_again(run)

    def _look_for_hangs(self) -> None:
        """Stops runs whose progress stands still, to run them elsewhere."""
        now = self._term.clock.monotonic()
        for run, seen in self._state.running.items():
            record = self._term.ledger.jobs.get(run.task.job_id)
            if record is None or run in self._state.stops:
                continue
            if record.task(run.task) is None:
                continue
            gang = record.job.steps[run.task.step].gang
            if not self._term.health.note_running(seen, gang, now):
                continue
            self._term.health.note_hang(self._state.worker_id, run, now)
            logs.event(
                "run-stalled",
                "WARNING",
                job=run.task.job_id,
                run=run,
                worker=self._state.worker_id,
                percent=seen.percent,
            )
            self._orders.stop(run, "its progress stands still")

    async def _note_ends(self, ends: tuple[commands.EndedRun, ...]) -> None:
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
        active = self._term.ledger.active_jobs
        concerned = {end.run.task.job_id for end in ends} & active.keys()
        await self._term.commit(
            commands.NoteEnds(self._state.worker_id, ends, at_ms)
        )
        for job_id in concerned:
            self._term.log_end(job_id)
        for end in ends:
            self._state.started.pop(end.run, None)
            self._state.ordered.discard(end.run)
            self._observe_end(end)
        self._term.wake()

    def _observe_end(self, end: commands.EndedRun) -> None:
        record = self._term.ledger.jobs.get(end.run.task.job_id)
        if record is None or record.task(end.run.task) is None:
            return
        step = record.job.steps[end.run.task.step]
        now = self._term.clock.monotonic()
        health = self._term.health
        queue = record.job.queue
        if health.note_end(self._state.worker_id, end, step, now, queue):
            logs.event(
                "worker-set-aside",
                "WARNING",
                worker=self._state.worker_id,
                reason="it probably fails what it runs",
                run=end.run,
            )

    async def _settle(
        self,
        listed: collections_abc.Set[model.RunId],
        sent_at: float,
        whole: bool = True,
    ) -> None:
        """Finds out what became of placed runs that are not running.

        Args:
            listed: Runs whose ends are in the report.
            sent_at: When the report was asked for, monotonic.
            whole: Whether a run that is not in the report is not there.
        """
        releases = []
        for run in list(self._term.ledger.runs_on(self._state.worker_id)):
            stop = self._state.stops.get(run)
            if stop is None and self._is_stray(run):
                self._orders.stop(run, "its worker has started again")
            elif run in self._state.running:
                self._see(run)
            elif run in listed or run in self._state.starting:
                continue
            elif stop is not None:
                acknowledged = stop.acknowledged_at
                if acknowledged is None or not whole:
                    continue
                if acknowledged <= sent_at:
                    releases.append(self._state.release(run, "it never began"))
            elif run not in self._state.started:
                self._orders.start(run)  # placed by an earlier leader
            elif whole:
                self._miss(run)
        await self._state.commit_releases(releases)

    def _is_stray(self, run: model.RunId) -> bool:
        record = self._term.ledger.runs.get(run)
        return record is not None and record.is_stray

    def _see(self, run: model.RunId) -> None:
        record = self._term.ledger.runs.get(run)
        if (
            record is not None
            and not record.seen
            and run not in self._state.started
        ):
            logs.event("run-seen", run=run, worker=self._state.worker_id)
        if record is not None and not record.seen:
            self._term.note_seen(run)
        self._state.started[run] = 0

    def _miss(self, run: model.RunId) -> None:
        """A run that was started is in a report in no way."""
        self._state.started[run] += 1
        if self._state.started[run] >= MISSED_REPORTS:
            self._orders.stop(run, "its worker does not know it")

    async def _release_all(self, reason: str) -> None:
        runs = self._term.ledger.runs_on(self._state.worker_id)
        await self._state.commit_releases(
            [self._state.release(run, reason, is_lost=True) for run in runs]
        )
