"""One worker as the leading scheduler deals with it.

A session asks for reports for as long as runs may be there: each report
prolongs the leases and brings the ends, which are committed before the next
one lets the worker forget them. Orders without a clear answer are given
again; a run that may or may not have begun is stopped, and counts as gone
only once the worker has acknowledged that and does not list it.
"""

import abc
import dataclasses
from collections import abc as collections_abc

import trio

from laburnumsill.batch import commands
from laburnumsill.batch import leases
from laburnumsill.batch import ledger as ledgers
from laburnumsill.batch import model
from laburnumsill.batch import worker_client
from laburnumsill.batch import worker_health
from laburnumsill.core import clock as clocks
from laburnumsill.core import errors
from laburnumsill.core import logs

REPORT_WAIT_MS = 2_000
"""A report may wait so long for an end; the longest that workers allow. Each
report is priced, so a short wait costs."""

SETTLE_WAIT_MS = 100
"""The same while it is open whether a stopped run ever began."""

ATTEMPT_S = 1.0
"""Longest wait for the answer to an order."""

RETRY_PAUSE_S = 0.1
"""Pause before an order without an answer is given again."""

START_GIVE_UP_S = 2.2
"""A start without an answer is given up after so long: the other members of
a gang wait 3 s for it."""

STOP_PROLONGING_AFTER_S = 1.5
"""After so long without an answer leases are prolonged no more, since an
order that seems lost may have arrived: only then do they ever end for sure."""

MISSED_REPORTS = 2
"""A run that was started and is in so many reports neither as running nor
as ended is stopped, so that it certainly is not there."""


class Term(abc.ABC):
    """What a session needs of the scheduler that leads.

    Attributes:
        ledger: The replicated record as applied on this VM.
        client: Gives orders to workers.
        clock: The clock of this process.
        fence: The term of the lead, on every order.
        health: What was observed of workers.
        longest_lease_ms: The longest lease that workers grant.
    """

    ledger: ledgers.BatchLedger
    client: worker_client.WorkerClient
    clock: clocks.Clock
    fence: int
    health: worker_health.WorkerHealth
    longest_lease_ms: int

    @abc.abstractmethod
    async def commit(self, command: object) -> None:
        """Commits a command; a lost lead ends the term instead."""

    @abc.abstractmethod
    def wake(self) -> None:
        """Has a plan made soon."""

    @abc.abstractmethod
    def note_seen(self, run: model.RunId) -> None:
        """Notes that a run was seen running for the first time."""

    @abc.abstractmethod
    def fenced_off(self, worker_id: str) -> None:
        """Notes that a worker obeys a later leader."""


@dataclasses.dataclass(slots=True)
class _Stop:
    """An order to stop a run.

    Attributes:
        reason: Why.
        acknowledged_at: When the worker acknowledged it, monotonic.
    """

    reason: str
    acknowledged_at: float | None = None


class WorkerSession:
    """See the module; `run` is a task of the term's nursery."""

    def __init__(
        self, worker: model.Worker, term: Term, nursery: trio.Nursery
    ) -> None:
        now = term.clock.monotonic()
        self._worker_id = worker.worker_id
        self._worker = worker
        self._term = term
        self._nursery = nursery
        self._leases = leases.LeaseBook(term.longest_lease_ms, now)
        self._running: dict[model.RunId, worker_client.RunningRun] = {}
        self._started: dict[model.RunId, int] = {}
        self._starting: set[model.RunId] = set()
        self._stops: dict[model.RunId, _Stop] = {}
        self._wakeup = trio.Event()
        self._reported_noted = term.ledger.noted(worker.worker_id)
        self._heard_at = now
        self._failing_since: float | None = None
        self._unwell_until = now

    @property
    def worker_id(self) -> str:
        """The worker."""
        return self._worker_id

    @property
    def heard_at(self) -> float:
        """When the worker was last heard from, monotonic."""
        return self._heard_at

    @property
    def failing_since(self) -> float | None:
        """Since when calls to it have failed, None if they have not."""
        return self._failing_since

    @property
    def unwell_until(self) -> float:
        """It is given no new runs before this point, monotonic."""
        return self._unwell_until

    @property
    def leases_over_at(self) -> float:
        """When nothing runs there any more without us, monotonic."""
        return self._leases.over_at

    @property
    def stopping(self) -> collections_abc.Set[model.RunId]:
        """The runs that it was told to stop."""
        return self._stops.keys()

    def saved(self, run: model.RunId) -> str:
        """Returns the newest progress of a run that was seen, or ""."""
        seen = self._running.get(run)
        return seen.saved if seen else ""

    def progress(self) -> list[commands.SeenRun]:
        """Returns the progress of all live runs that were seen here."""
        return [
            commands.SeenRun(run, seen.saved)
            for run, seen in self._running.items()
            if run in self._term.ledger.runs_on(self._worker_id)
        ]

    def hear(self, clock_ms: int | None) -> None:
        """Notes a heartbeat, with the worker's clock when it was sent."""
        now = self._term.clock.monotonic()
        self._heard_at = now
        if clock_ms is not None:
            self._leases.observe(clock_ms, now)

    def update(self, worker: model.Worker) -> None:
        """Takes what the worker says of itself now."""
        self._worker = worker

    def start(self, run: model.RunId) -> None:
        """Begins to start a run that was placed here."""
        if run not in self._starting and run not in self._stops:
            self._starting.add(run)
            self._nursery.start_soon(self._start, run)
        self._wakeup.set()

    def stop(self, run: model.RunId, reason: str) -> None:
        """Begins to stop a run, once."""
        if run not in self._stops:
            self._stops[run] = _Stop(reason)
            logs.decision(
                "run-stop",
                job=run.task.job_id,
                run=run,
                worker=self._worker_id,
                reason=reason,
            )
            self._nursery.start_soon(self._stop, run)
        self._wakeup.set()

    async def run(self) -> None:
        """Asks for reports while there is anything to hear."""
        while True:
            if not self._needs_report():
                await self._wakeup.wait()
                self._wakeup = trio.Event()
                continue
            await self._report_once()

    def _needs_report(self) -> bool:
        ledger = self._term.ledger
        unsaid = ledger.noted(self._worker_id) > self._reported_noted
        return bool(ledger.runs_on(self._worker_id)) or unsaid

    async def _report_once(self) -> None:
        now = self._term.clock.monotonic()
        noted = self._term.ledger.noted(self._worker_id)
        lease_ms = self._leases.next_lease_ms(now)
        if self._is_lost(now):
            lease_ms = None
        wait_ms = self._wait_ms()
        if lease_ms is not None:
            self._leases.granted(lease_ms)
        order = worker_client.ReportOrder(
            lease_ms, self._term.fence, noted, wait_ms
        )
        deadline = now + wait_ms / 1000 + ATTEMPT_S
        try:
            report = await self._term.client.report(
                self._worker, order, deadline
            )
        except errors.LaburnumsillError as error:
            await self._report_failed(error)
            return
        self._reported_noted = max(self._reported_noted, noted)
        self._answered(report.clock_ms)
        await self._take(report, now)

    def _is_lost(self, now: float) -> bool:
        """Whether calls have failed for so long that leases are to end."""
        since = self._failing_since
        return since is not None and now - since > STOP_PROLONGING_AFTER_S

    def _wait_ms(self) -> int:
        """Returns how long the next report may wait for an end."""
        runs = self._term.ledger.runs_on(self._worker_id)
        if not runs:
            return 0
        if not self._leases.known:
            return 0
        unsettled = any(
            stop.acknowledged_at is not None and run not in self._running
            for run, stop in self._stops.items()
            if run in runs
        )
        return SETTLE_WAIT_MS if unsettled else REPORT_WAIT_MS

    def _answered(self, clock_ms: int | None) -> None:
        if self._failing_since is not None:
            logs.event("worker-regained", worker=self._worker_id)
            self._term.wake()
        self._failing_since = None
        self.hear(clock_ms)

    async def _report_failed(self, error: errors.LaburnumsillError) -> None:
        now = self._term.clock.monotonic()
        if isinstance(error, worker_client.IncarnationGoneError):
            await self._gone(error.detail)
            return
        if isinstance(error, worker_client.FencedOffError):
            self._term.fenced_off(self._worker_id)
        if self._failing_since is None:
            self._failing_since = now
            logs.event(
                "worker-lost",
                "WARNING",
                worker=self._worker_id,
                reason=error.slug,
                detail=error.detail,
            )
            self._term.wake()
        if now >= self._leases.over_at:
            await self._release_all("its lease has ended")
        await trio.sleep(RETRY_PAUSE_S)

    async def _gone(self, reason: str) -> None:
        """The worker's incarnation has ended, and all that ran on it."""
        logs.event("worker-gone", worker=self._worker_id, reason=reason)
        await self._term.commit(
            commands.RemoveWorker(
                self._worker_id, reason, tuple(self.progress())
            )
        )
        self._term.wake()

    async def _take(self, report: worker_client.Report, sent_at: float) -> None:
        """Takes note of a report that was asked for at `sent_at`."""
        self._running = {seen.run: seen for seen in report.running}
        noted = self._term.ledger.noted(self._worker_id)
        fresh = tuple(end for end in report.ended if end.number > noted)
        if fresh:
            await self._note_ends(fresh)
        listed = {end.run for end in report.ended}
        await self._settle(listed, sent_at)
        for run in self._running:
            if run not in self._term.ledger.runs:
                self.stop(run, "nobody asked for it any more")
        self._look_for_hangs()
        for run in [run for run in self._stops if self._is_over(run)]:
            del self._stops[run]

    def _look_for_hangs(self) -> None:
        """Stops runs whose progress stands still, to run them elsewhere."""
        now = self._term.clock.monotonic()
        for run, seen in self._running.items():
            record = self._term.ledger.jobs.get(run.task.job_id)
            if record is None or run in self._stops:
                continue
            gang = record.job.steps[run.task.step].gang
            if not self._term.health.note_running(seen, gang, now):
                continue
            self._term.health.note_hang(self._worker_id, run, now)
            logs.event(
                "run-stalled",
                "WARNING",
                job=run.task.job_id,
                run=run,
                worker=self._worker_id,
                percent=seen.percent,
            )
            self.stop(run, "its progress stands still")

    async def _note_ends(self, ends: tuple[commands.EndedRun, ...]) -> None:
        for end in ends:
            logs.event(
                "run-ended",
                job=end.run.task.job_id,
                run=end.run,
                worker=self._worker_id,
                number=end.number,
                kind=end.kind,
                saved=end.saved,
            )
        at_ms = int(self._term.clock.wall() * 1000)
        await self._term.commit(commands.NoteEnds(self._worker_id, ends, at_ms))
        for end in ends:
            self._started.pop(end.run, None)
            self._observe_end(end)
        self._term.wake()

    def _observe_end(self, end: commands.EndedRun) -> None:
        record = self._term.ledger.jobs.get(end.run.task.job_id)
        if record is None:
            return
        step = record.job.steps[end.run.task.step]
        now = self._term.clock.monotonic()
        health = self._term.health
        if health.note_end(self._worker_id, end, step, now):
            logs.event(
                "worker-set-aside",
                "WARNING",
                worker=self._worker_id,
                reason="different jobs failed on it",
                run=end.run,
            )

    async def _settle(
        self, listed: collections_abc.Set[model.RunId], sent_at: float
    ) -> None:
        """Finds out what became of placed runs that are not running."""
        releases = []
        for run in list(self._term.ledger.runs_on(self._worker_id)):
            stop = self._stops.get(run)
            if run in self._running:
                self._see(run)
            elif run in listed or run in self._starting:
                continue
            elif stop is not None:
                acknowledged = stop.acknowledged_at
                if acknowledged is not None and acknowledged <= sent_at:
                    releases.append(self._release(run, "it never began"))
            elif run not in self._started:
                self.start(run)  # placed by an earlier leader
            else:
                self._miss(run)
        await self._commit_releases(releases)

    def _see(self, run: model.RunId) -> None:
        record = self._term.ledger.runs.get(run)
        if record is not None and not record.seen and run not in self._started:
            logs.event("run-seen", run=run, worker=self._worker_id)
        if record is not None and not record.seen:
            self._term.note_seen(run)
        self._started[run] = 0

    def _miss(self, run: model.RunId) -> None:
        """A run that was started is in a report in no way."""
        self._started[run] += 1
        if self._started[run] >= MISSED_REPORTS:
            self.stop(run, "its worker does not know it")

    def _release(self, run: model.RunId, reason: str) -> commands.Release:
        return commands.Release(run, self._worker_id, reason, self.saved(run))

    async def _release_all(self, reason: str) -> None:
        runs = self._term.ledger.runs_on(self._worker_id)
        await self._commit_releases([self._release(r, reason) for r in runs])

    async def _commit_releases(self, releases: list[commands.Release]) -> None:
        if not releases:
            return
        for one in releases:
            logs.event(
                "run-released",
                job=one.run.task.job_id,
                run=one.run,
                worker=self._worker_id,
                reason=one.reason,
            )
            self._started.pop(one.run, None)
            self._term.health.forget_run(one.run)
        at_ms = int(self._term.clock.wall() * 1000)
        await self._term.commit(commands.ReleaseRuns(tuple(releases), at_ms))
        self._term.wake()

    def _is_over(self, run: model.RunId) -> bool:
        live = run in self._term.ledger.runs_on(self._worker_id)
        return not live and run not in self._running

    def _wanted(self, run: model.RunId) -> bool:
        """Whether a placed run is still to be started."""
        if run in self._stops:
            return False
        if run not in self._term.ledger.runs_on(self._worker_id):
            return False
        return run.task.job_id in self._term.ledger.active_jobs

    async def _start(self, run: model.RunId) -> None:
        try:
            await self._start_until_clear(run)
        finally:
            self._starting.discard(run)
            self._wakeup.set()

    async def _start_until_clear(self, run: model.RunId) -> None:
        """Gives a start order until it is clear what became of it."""
        clock = self._term.clock
        give_up_at = clock.monotonic() + START_GIVE_UP_S
        maybe_begun = False
        while self._wanted(run) and clock.monotonic() < give_up_at:
            try:
                if await self._start_once(run):
                    return
            except worker_client.IncarnationGoneError as error:
                await self._gone(error.detail)
                return
            except worker_client.RunOverError:
                self._stops[run] = _Stop("over", clock.monotonic())
                return
            except worker_client.LeaseTooOldError as error:
                self._log_start_failure(run, error)
            except (
                worker_client.OrderRefusedError,
                worker_client.NothingDoneError,
            ) as error:
                self._log_start_failure(run, error)
                self._unwell_until = clock.monotonic() + 1.0
                if not maybe_begun:
                    reason = error.slug
                    await self._commit_releases([self._release(run, reason)])
                    return
            except errors.LaburnumsillError as error:
                self._log_start_failure(run, error)
                maybe_begun = True
            await trio.sleep(RETRY_PAUSE_S)
        if run in self._term.ledger.runs_on(self._worker_id):
            self.stop(run, "its start was given up")

    async def _start_once(self, run: model.RunId) -> bool:
        """Gives a start order once; returns whether the run is there now."""
        now = self._term.clock.monotonic()
        lease_ms = self._leases.next_lease_ms(now)
        if self._is_lost(now):
            return False
        record = self._term.ledger.jobs.get(run.task.job_id)
        task = record.task(run.task) if record else None
        if record is None or task is None:
            return False
        if lease_ms is None:
            self._wakeup.set()  # a report brings the clock
            return False
        self._leases.granted(lease_ms)
        order = worker_client.StartOrder(
            run, record.job.payload, task.saved, lease_ms, self._term.fence
        )
        answer = await self._term.client.start(
            self._worker, order, now + ATTEMPT_S
        )
        self._answered(answer.clock_ms)
        self._started[run] = 0
        self._term.health.note_started(run, self._term.clock.monotonic())
        logs.event(
            "run-started",
            job=run.task.job_id,
            run=run,
            worker=self._worker_id,
            fence=self._term.fence,
            saved=task.saved,
            took_ms=round((self._term.clock.monotonic() - now) * 1000),
        )
        return True

    def _log_start_failure(
        self, run: model.RunId, error: errors.LaburnumsillError
    ) -> None:
        logs.event(
            "run-start-failed",
            "WARNING",
            job=run.task.job_id,
            run=run,
            worker=self._worker_id,
            reason=error.slug,
            detail=error.detail,
        )
        clock_ms = error.context.get("clock_ms")
        if isinstance(clock_ms, int):
            self._leases.observe(clock_ms, self._term.clock.monotonic())

    async def _stop(self, run: model.RunId) -> None:
        """Gives a stop order until it is acknowledged."""
        while run in self._stops and not self._is_over(run):
            deadline = self._term.clock.monotonic() + ATTEMPT_S
            try:
                answer = await self._term.client.stop(
                    self._worker, run, self._term.fence, deadline
                )
            except worker_client.IncarnationGoneError as error:
                await self._gone(error.detail)
                return
            except errors.LaburnumsillError as error:
                logs.event(
                    "run-stop-failed",
                    "WARNING",
                    run=run,
                    worker=self._worker_id,
                    reason=error.slug,
                )
                await trio.sleep(RETRY_PAUSE_S)
                continue
            self._answered(answer.clock_ms)
            stop = self._stops.get(run)
            if stop is not None:
                stop.acknowledged_at = self._term.clock.monotonic()
            self._wakeup.set()
            return
