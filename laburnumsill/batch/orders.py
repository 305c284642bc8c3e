"""Orders to one worker, given until it is clear what became of them."""

import trio

from laburnumsill.batch import model
from laburnumsill.batch import worker_client
from laburnumsill.batch import worker_state
from laburnumsill.core import errors
from laburnumsill.core import logs

ATTEMPT_S = 0.5
"""Longest wait for the answer to an order, in seconds."""

SHORTEST_ATTEMPT_S = 0.1
"""Such an answer is waited for so long at least. Of 2,891 starts on the users'
days, with cuts among them, the slowest was answered after 0.041 s. A worker
that takes longer is passed over until it answers, and the order is repeated,
which is harmless: an urgent gang has about 1.5 s to spare."""

RETRY_PAUSE_S = 0.1
"""Pause before an order without an answer is given again."""

LONGEST_STOP_PAUSE_S = 0.8
"""The pauses between stops without an answer double up to this, and end when
the worker answers anything: a cut lasts for seconds, and each repeat is a new
connection and a line in the log."""

START_GIVE_UP_S = 2.2
"""A start without an answer is given up after so long: the other members of
a gang wait 3 s for it."""

UNWELL_S = 1.0
"""A worker that refused a start is given no new runs for so long."""


class Orders:
    """Starts and stops runs on one worker.

    Args:
        state: What is known of the worker.
        nursery: Runs the orders under way.
    """

    def __init__(
        self, state: worker_state.WorkerState, nursery: trio.Nursery
    ) -> None:
        self._state = state
        self._nursery = nursery

    def start(self, run: model.RunId) -> None:
        """Begins to start a run that was placed here."""
        state = self._state
        if run not in state.starting and run not in state.stops:
            state.starting.add(run)
            self._nursery.start_soon(self._start, run)
        state.wakeup.set()

    def stop(self, run: model.RunId, reason: str, for_job: str = "") -> None:
        """Begins to stop a run, once.

        Args:
            run: Which.
            reason: Why, for people.
            for_job: The job that needs its room, for people; "" for none.
        """
        state = self._state
        if run not in state.stops:
            state.stops[run] = worker_state.Stop(reason)
            logs.decision(
                "run-stop",
                job=run.task.job_id,
                run=run,
                worker=state.worker_id,
                reason=reason,
                for_job=for_job,
            )
            self._nursery.start_soon(self._stop, run)
        state.wakeup.set()

    def stop_again(self, run: model.RunId) -> None:
        """Gives an acknowledged stop once more."""
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
        self._nursery.start_soon(self._stop, run)

    def _wanted(self, run: model.RunId) -> bool:
        """Whether a placed run is still to be started."""
        state = self._state
        if run in state.stops:
            return False
        if run not in state.term.ledger.runs_on(state.worker_id):
            return False
        if not state.announced_lately or not self._has_room():
            return False
        return run.task.job_id in state.term.ledger.active_jobs

    def _has_room(self) -> bool:
        """Whether all that is placed on the worker fits into it.

        Its capacity may have shrunk since a run was placed there.
        """
        ledger = self._state.term.ledger
        worker_id = self._state.worker_id
        if worker_id not in ledger.workers:
            return True
        return model.Resources().fits_in(ledger.free_on(worker_id))

    async def _start(self, run: model.RunId) -> None:
        state = self._state
        try:
            await self._start_until_clear(run)
        finally:
            state.starting.discard(run)
            state.wakeup.set()

    async def _start_until_clear(self, run: model.RunId) -> None:
        """Gives a start order until it is clear what became of it."""
        state = self._state
        clock = state.term.clock
        give_up_at = clock.monotonic() + START_GIVE_UP_S
        maybe_begun = False
        while self._wanted(run) and clock.monotonic() < give_up_at:
            try:
                if maybe_begun and state.worker.name:
                    await state.ask()  # it may have started again since
                if await self._start_once(run):
                    return
            except worker_client.IncarnationReplacedError as error:
                await state.replaced(error)
                return
            except worker_client.IncarnationGoneError as error:
                await state.gone(error.detail)
                return
            except worker_client.RunOverError:
                state.stops[run] = worker_state.Stop("over", clock.monotonic())
                return
            except worker_client.LeaseTooOldError as error:
                self._log_start_failure(run, error)
            except (
                worker_client.OrderRefusedError,
                worker_client.NothingDoneError,
            ) as error:
                self._log_start_failure(run, error)
                state.unwell_until = clock.monotonic() + UNWELL_S
                if not maybe_begun:
                    reason = error.slug
                    await state.commit_releases([state.release(run, reason)])
                    return
            except errors.LaburnumsillError as error:
                self._log_start_failure(run, error)
                if isinstance(error, worker_client.NoAnswerError):
                    state.unanswered(error)
                maybe_begun = True
            await trio.sleep(RETRY_PAUSE_S)
        if run in state.term.ledger.runs_on(state.worker_id):
            self.stop(run, "its start was given up")

    async def _start_once(self, run: model.RunId) -> bool:
        """Gives a start order once; returns whether the run is there now."""
        state = self._state
        now = state.term.clock.monotonic()
        lease_ms = state.leases.next_lease_ms(now)
        if state.lost:
            return False
        record = state.term.ledger.jobs.get(run.task.job_id)
        task = record.task(run.task) if record else None
        if record is None or task is None:
            return False
        if lease_ms is None:
            state.wakeup.set()  # a report brings the clock
            return False
        state.leases.granted(lease_ms)
        order = worker_client.StartOrder(
            run, record.job.payload, task.saved, lease_ms, state.term.fence
        )
        state.ordered.add(run)
        answer = await state.term.client.start(
            state.worker, order, now + state.term.attempt.seconds
        )
        state.answered(answer.clock_ms, now)
        state.started[run] = 0
        state.term.health.note_started(run, state.term.clock.monotonic())
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

    def _log_start_failure(
        self, run: model.RunId, error: errors.LaburnumsillError
    ) -> None:
        state = self._state
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
            state.leases.observe(clock_ms, state.term.clock.monotonic())

    async def _stop(self, run: model.RunId) -> None:
        """Gives a stop order until it is acknowledged."""
        state = self._state
        pause_s = RETRY_PAUSE_S
        while run in state.stops and not state.is_over(run):
            now = state.term.clock.monotonic()
            deadline = now + state.term.attempt.seconds
            try:
                answer = await state.term.client.stop(
                    state.worker, run, state.term.fence, deadline
                )
            except worker_client.IncarnationGoneError as error:
                await state.gone(error.detail)
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
                    state.unanswered(error)
                if state.answered_at >= now:  # it has come back meanwhile
                    pause_s = RETRY_PAUSE_S
                with trio.move_on_after(pause_s):
                    await state.regained.wait()
                pause_s = min(2 * pause_s, LONGEST_STOP_PAUSE_S)
                continue
            state.answered(answer.clock_ms, now)
            stop = state.stops.get(run)
            if stop is not None:
                stop.acknowledged_at = state.term.clock.monotonic()
            state.wakeup.set()
            return
