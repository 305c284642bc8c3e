"""Start and stop orders to one worker, retried until the outcome is known."""

import contextlib
import math

import trio

from laburnumsill.batch import model
from laburnumsill.batch import packing
from laburnumsill.batch import worker_client
from laburnumsill.batch import worker_state
from laburnumsill.core import errors
from laburnumsill.core import logs

MAX_ORDER_TIMEOUT_S = 0.5
"""Upper bound of the adaptive timeout of an order."""

MIN_ORDER_TIMEOUT_S = 0.1
"""Lower bound of the adaptive timeout of an order. Of 2,891 starts in the
users' scenarios, network cuts included, the slowest was answered after 0.041 s.
A worker that takes longer gets no new runs until it answers. The order is
retried, which is harmless; an urgent gang has about 1.5 s of slack."""

RETRY_PAUSE_S = 0.1
"""Pause before an order is retried."""

MAX_STOP_RETRY_PAUSE_S = 0.8
"""Upper bound of the exponential backoff between unanswered stop orders. A cut
lasts for seconds, and each retry costs a connection and a log line. The pause
ends early when the worker answers any call."""

STOP_GRACE_S = 1.0
"""Longest time from an acknowledged stop to the end of the run, as the users'
workers guarantee it. A long poll that has not shown the end by then may have
lost its answer."""

START_TIMEOUT_S = 2.2
"""Time limit of a start order and its retries. The other members of a gang
wait 3 s for this one."""

MIN_START_LEASE_MS = round(2 * 1000 * MAX_ORDER_TIMEOUT_S)
"""Shortest lease of a run that is started, in ms: the order, and the report
that renews the lease. A leader that stood still can grant no longer ones until
its lead is confirmed again."""

START_BACKOFF_S = 1.0
"""Time for which a worker that has refused a start gets no new runs, and by
which the backoff grows when another start is given up."""

MAX_START_BACKOFF_S = 8.0
"""Upper bound of the backoff of a worker on which starts are given up. Jobs do
not stand still for it, since other workers take them. If it is the only worker
with room, it is tried again after 1 s at first."""


class Orders:
    """Starts and stops runs on one worker.

    Args:
        state: The state of the worker.
        nursery: Runs the orders as background tasks.
    """

    def __init__(
        self, state: worker_state.WorkerState, nursery: trio.Nursery
    ) -> None:
        self._state = state
        self._nursery = nursery
        self._starts_given_up = 0
        self._start_given_up_at = -math.inf
        self._start_failed_at = -math.inf

    def start(self, run: model.RunId) -> None:
        """Starts a run that was placed on the worker, in the background."""
        state = self._state
        if run not in state.starting and run not in state.stops:
            state.starting.add(run)
            self._nursery.start_soon(self._start, run)
        state.wakeup.set()

    def stop(self, run: model.RunId, reason: str, for_job: str = "") -> None:
        """Stops a run in the background, unless a stop is in progress.

        Args:
            run: The run.
            reason: Why the run is stopped, for the log.
            for_job: The job that needs the run's capacity, for the log, or "".
        """
        state = self._state
        if run not in state.stops:
            state.stops[run] = worker_state.StopOrder(reason, for_job=for_job)
            logs.decision(
                "run-stop",
                job=run.task.job_id,
                run=run,
                worker=state.worker_id,
                reason=reason,
                for_job=for_job,
            )
            self._nursery.start_soon(self._stop, run, for_job)
        state.wakeup.set()

    def resend_stop(self, run: model.RunId) -> None:
        """Sends a stop order again that the worker has acknowledged."""
        state = self._state
        stop = state.stops[run]
        stop.acknowledged_at = None
        logs.event(
            "run-outlives-stop",
            "WARNING",
            job=run.task.job_id,
            run=run,
            worker=state.worker_id,
            reason=stop.reason,
        )
        self._nursery.start_soon(self._stop, run, "")

    def _should_start(self, run: model.RunId) -> bool:
        """Returns whether a start order for a placed run is still due."""
        state = self._state
        if run in state.stops:
            return False
        if run not in state.term.ledger.runs_on(state.worker_id):
            return False
        if not state.announcement_is_fresh or not self._fits():
            return False
        if state.term.ledger.is_evacuated(state.worker.domain):
            return False
        if state.is_departing:
            return False
        return run.task.job_id in state.term.ledger.active_jobs

    def _fits(self) -> bool:
        """Returns whether all runs placed on the worker fit its capacity.

        The capacity may have shrunk since a run was placed.
        """
        ledger = self._state.term.ledger
        worker_id = self._state.worker_id
        if worker_id not in ledger.workers:
            return True
        return model.Resources().fits_in(ledger.free_on(worker_id))

    async def _start(self, run: model.RunId) -> None:
        state = self._state
        try:
            await self._start_with_retries(run)
        finally:
            state.starting.discard(run)
            state.wakeup.set()

    async def _start_with_retries(self, run: model.RunId) -> None:
        """Sends a start order and retries it until its outcome is known."""
        state = self._state
        clock = state.term.clock
        reason = "its start timed out"
        began_at = clock.monotonic()
        give_up_at = began_at + START_TIMEOUT_S
        # A worker refuses the orders of earlier terms, unless the fence is the
        # same: such an order may still be under way.
        may_have_started = state.term.repeats_fence and run in state.inherited
        while self._should_start(run):
            if may_have_started and run in state.running:
                return  # it has begun, although no order was answered
            if clock.monotonic() >= give_up_at:
                break
            try:
                if may_have_started and state.worker.name:
                    await state.probe()  # the worker may have restarted since
                async with self._slot(run):
                    if clock.monotonic() >= give_up_at:
                        continue  # the order has waited for its slot too long
                    started = await self._start_once(run)
                if started:
                    return
            except worker_client.IncarnationReplacedError as error:
                await state.handle_replacement(error)
                return
            except worker_client.IncarnationGoneError as error:
                await state.remove(error.detail)
                return
            except worker_client.RunOverError:
                state.stops[run] = worker_state.StopOrder(
                    "it has ended on the worker", clock.monotonic()
                )
                return
            except worker_client.LeaseTooOldError as error:
                self._record_start_failure(run, error)
            except (
                worker_client.OrderRefusedError,
                worker_client.NothingDoneError,
            ) as error:
                self._record_start_failure(run, error)
                self._back_off(START_BACKOFF_S)
                if not may_have_started:
                    await state.commit_releases(
                        [state.release(run, error.slug)]
                    )
                    return
                is_refused = isinstance(error, worker_client.OrderRefusedError)
                if is_refused and run not in state.running:
                    reason = "its start was refused"
                    break
            except errors.LaburnumsillError as error:
                self._record_start_failure(run, error)
                if isinstance(error, worker_client.NoAnswerError):
                    state.mark_unreachable(error)
                may_have_started = True
            await trio.sleep(RETRY_PAUSE_S)
        self._give_up_start(run, reason, began_at)

    def _give_up_start(
        self, run: model.RunId, reason: str, began_at: float
    ) -> None:
        """Stops a run that may have started, unless it is not placed here.

        Args:
            run: The run.
            reason: Why its start is given up, for the log.
            began_at: Monotonic time at which its start began, in s.
        """
        state = self._state
        if self._start_failed_at >= began_at and self._should_start(run):
            self._back_off_after(began_at)
        if run in state.term.ledger.runs_on(state.worker_id):
            self.stop(run, reason)

    def _back_off_after(self, began_at: float) -> None:
        """Keeps new runs off the worker after a start was given up.

        The backoff grows with each start that began after the last one was
        given up, until a start succeeds.

        Args:
            began_at: Monotonic time at which the start began, in s.
        """
        if began_at >= self._start_given_up_at:
            self._starts_given_up += 1
            self._start_given_up_at = self._state.term.clock.monotonic()
        backoff_s = START_BACKOFF_S * self._starts_given_up
        self._back_off(min(backoff_s, MAX_START_BACKOFF_S))

    def _back_off(self, backoff_s: float) -> None:
        """Keeps new runs off the worker for a time, in s."""
        until = self._state.term.clock.monotonic() + backoff_s
        self._state.start_backoff_until = max(
            self._state.start_backoff_until, until
        )

    def _slot(
        self, run: model.RunId, for_job: str = ""
    ) -> contextlib.AbstractAsyncContextManager[None]:
        """Returns a slot for an order.

        Orders to an unreachable worker need none: each of them would hold one
        for a whole timeout.

        Args:
            run: The run.
            for_job: The job that needs the run's capacity, or "".
        """
        state = self._state
        if state.unreachable_since is not None:
            return contextlib.nullcontext()
        record = state.term.ledger.jobs.get(for_job or run.task.job_id)
        priority = packing.URGENT_PRIORITY + 1
        if record is not None:
            priority = record.job.terms.priority
        return state.term.order_slots.slot(priority)

    async def _start_once(self, run: model.RunId) -> bool:
        """Sends one start order; returns whether the run has started."""
        state = self._state
        if not self._should_start(run):
            return False  # it became obsolete while the order waited
        now = state.term.clock.monotonic()
        lease_ms = state.next_lease_ms()
        if state.renewal_suspended:
            return False
        record = state.term.ledger.jobs.get(run.task.job_id)
        task = record.task(run.task) if record else None
        if record is None or task is None:
            return False
        if lease_ms is None:
            state.wakeup.set()  # the next report returns the clock
            return False
        if state.lease_left_ms(lease_ms) < MIN_START_LEASE_MS:
            return False
        state.leases.record_grant(lease_ms)
        order = worker_client.StartOrder(
            run, record.job.payload, task.saved, lease_ms, state.term.fence
        )
        state.ordered.add(run)
        answer = await state.term.client.start(
            state.worker, order, now + state.term.order_timeout.seconds
        )
        state.record_answer(answer.clock_ms, now)
        self._starts_given_up = 0
        state.missed_reports[run] = 0
        state.term.health.observe_start(run, state.term.clock.monotonic())
        logs.event(
            "run-started",
            job=run.task.job_id,
            run=run,
            worker=state.worker_id,
            fence=state.term.fence,
            saved=task.saved,
            took_ms=round((state.term.clock.monotonic() - now) * 1000),
        )
        return True

    def _record_start_failure(
        self, run: model.RunId, error: errors.LaburnumsillError
    ) -> None:
        state = self._state
        self._start_failed_at = state.term.clock.monotonic()
        logs.event(
            "run-start-failed",
            "WARNING",
            job=run.task.job_id,
            run=run,
            worker=state.worker_id,
            reason=error.slug,
            detail=error.detail,
        )
        clock_ms = error.context.get("clock_ms")
        if isinstance(clock_ms, int):
            state.leases.observe_clock(clock_ms, state.term.clock.monotonic())

    async def _stop(self, run: model.RunId, for_job: str) -> None:
        """Sends a stop order until the worker acknowledges it."""
        state = self._state
        pause_s = RETRY_PAUSE_S
        while run in state.stops and not state.has_ended(run):
            now = state.term.clock.monotonic()
            try:
                async with self._slot(run, for_job):
                    now = state.term.clock.monotonic()
                    answer = await state.term.client.stop(
                        state.worker,
                        run,
                        state.term.fence,
                        now + state.term.order_timeout.seconds,
                    )
            except worker_client.IncarnationGoneError as error:
                await state.remove(error.detail)
                return
            except errors.LaburnumsillError as error:
                logs.event(
                    "run-stop-failed",
                    "WARNING",
                    run=run,
                    worker=state.worker_id,
                    reason=error.slug,
                )
                if isinstance(error, worker_client.NoAnswerError):
                    state.mark_unreachable(error)
                if state.answered_at >= now:  # another call was answered since
                    pause_s = RETRY_PAUSE_S
                with trio.move_on_after(pause_s):
                    await state.reachable_again.wait()
                pause_s = min(2 * pause_s, MAX_STOP_RETRY_PAUSE_S)
                continue
            state.record_answer(answer.clock_ms, now)
            acknowledged_at = state.term.clock.monotonic()
            stop = state.stops.get(run)
            if stop is not None:
                stop.acknowledged_at = acknowledged_at
            if run in state.running or run in state.missed_reports:
                state.request_report(acknowledged_at + STOP_GRACE_S)
            else:
                state.request_report(acknowledged_at)  # it may never have begun
            return
