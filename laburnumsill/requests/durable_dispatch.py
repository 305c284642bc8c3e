"""Dispatches durable requests until their final states are recorded.

The leader of a home group dispatches the group's pending requests. After a
leader change the new leader dispatches all pending requests again, so a
repeatable request may run more than once. One that is not repeatable needs
a claim and runs at most once.
"""

import dataclasses

import trio

from laburnumsill.config import current as current_module
from laburnumsill.config import models
from laburnumsill.core import clock as clocks
from laburnumsill.core import errors
from laburnumsill.core import ids
from laburnumsill.core import logs
from laburnumsill.core import metrics as metrics_module
from laburnumsill.core import replication
from laburnumsill.requests import messages
from laburnumsill.requests import router as routers
from laburnumsill.state import durable

SCAN_INTERVAL_S = 0.1
"""Interval of the scans for pending requests while there are any."""

IDLE_SCAN_INTERVAL_S = 0.5
"""Interval of the scans while there are no pending requests."""

MAX_CONCURRENT_DISPATCHES = 64
"""Limit of concurrent dispatches on one VM, for each home group."""

INITIAL_BACKOFF_S = 0.2
MAX_BACKOFF_S = 30.0

_RECORD_TIMEOUT_S = 2.0
_MAX_DOUBLINGS = 16


@dataclasses.dataclass(slots=True)
class _DispatchState:
    """This VM's dispatches of one request.

    Attributes:
        count: Number of dispatches.
        next_at: Monotonic time of the next dispatch.
        running: Whether a dispatch is in progress.
    """

    count: int = 0
    next_at: float = 0.0
    running: bool = False


class DurableDispatcher:
    """Dispatches the durable requests of the groups that this VM leads.

    Args:
        router: The request router.
        groups: The replicated groups.
        current: The configuration in force.
        clock: The process's clock.
        metrics: The daemon's metrics.
    """

    def __init__(
        self,
        router: routers.RequestRouter,
        groups: replication.Groups,
        current: current_module.Current,
        clock: clocks.Clock,
        metrics: metrics_module.Metrics,
    ) -> None:
        self._router = router
        self._groups = groups
        self._current = current
        self._clock = clock
        self._metrics = metrics
        self._dispatches: dict[str, dict[str, _DispatchState]] = {}

    async def run(
        self,
        *,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Dispatches until cancelled."""
        async with trio.open_nursery() as nursery:
            task_status.started()
            while True:
                configuration = self._current.get()
                if configuration is not None:
                    for domain in configuration.domains:
                        self._scan(ids.domain_group(domain), nursery)
                any_pending = any(self._dispatches.values())
                await trio.sleep(
                    SCAN_INTERVAL_S if any_pending else IDLE_SCAN_INTERVAL_S
                )

    def _scan(self, group: str, nursery: trio.Nursery) -> None:
        machine = self._groups.local_state_machine(group)
        if machine is None or not self._groups.leads(group):
            self._dispatches.pop(group, None)
            return
        durable_requests: durable.DurableRequests = machine.component("durable")
        dispatches = self._dispatches.setdefault(group, {})
        for key in [
            key for key in dispatches if key not in durable_requests.pending
        ]:
            if not dispatches[key].running:
                del dispatches[key]
        running = sum(entry.running for entry in dispatches.values())
        now = self._clock.monotonic()
        for key, record in durable_requests.pending.items():
            if running >= MAX_CONCURRENT_DISPATCHES:
                return
            entry = dispatches.setdefault(key, _DispatchState())
            if entry.running or now < entry.next_at:
                continue
            entry.running = True
            running += 1
            nursery.start_soon(self._dispatch, group, record, entry)

    async def _dispatch(
        self, group: str, record: durable.DurableRecord, entry: _DispatchState
    ) -> None:
        entry.count += 1
        try:
            end_command = await self._dispatch_once(record)
            if end_command is not None:
                await self._record_end(group, end_command)
        except errors.LaburnumsillError as error:
            logs.event(
                "durable-dispatch-failed",
                key=record.key,
                tries=entry.count,
                error=error.slug,
            )
        except Exception as error:  # retried after the backoff
            logs.event("dispatch-broken", level="ERROR", error=repr(error))
        finally:
            doublings = min(entry.count - 1, _MAX_DOUBLINGS)
            backoff_s = min(MAX_BACKOFF_S, INITIAL_BACKOFF_S * 2**doublings)
            entry.next_at = self._clock.monotonic() + backoff_s
            entry.running = False

    async def _dispatch_once(
        self, record: durable.DurableRecord
    ) -> durable.EndDurable | None:
        """Runs a request once.

        Returns:
            The command that records its final state, or None to retry it.
        """
        work = record.work
        if work is None:
            return None
        if self._clock.wall() >= record.deadline:
            return self._end_command(record, durable.DurableState.EXPIRED, 0)
        request = self._build_request(work)
        try:
            status = await self._run_request(request)
        except errors.OutcomeUnknownError:
            if request.request_class.repeatable:
                return None
            return self._end_command(record, durable.DurableState.UNKNOWN, 0)
        if 200 <= status < 300:
            return self._end_command(
                record, durable.DurableState.SUCCEEDED, status
            )
        if request.request_class.repeatable:
            return None
        return self._end_command(record, durable.DurableState.FAILED, status)

    async def _run_request(self, request: messages.RoutedRequest) -> int:
        answer = await self._router.run_durable(request)
        try:
            async for _ in answer.chunks():
                pass
        finally:
            await answer.aclose()
        return answer.status

    def _build_request(
        self, work: durable.DurableWork
    ) -> messages.RoutedRequest:
        configuration = self._current.get()
        if configuration is None:
            raise errors.UnavailableError("no configuration is in force yet")
        request_class = configuration.classes.get(work.request_class)
        if request_class is None:
            raise errors.UnknownNameError(f"no class {work.request_class!r}")
        account = configuration.accounts.get(work.account, models.Account())
        now = self._clock.monotonic()
        return messages.RoutedRequest(
            ids.fresh("req"),
            work.service,
            work.request_class,
            request_class,
            work.account,
            account.weight,
            account.max_in_flight,
            work.idempotency_key,
            work.method,
            work.target,
            work.headers,
            work.body,
            now,
            now + request_class.timeout_ms / 1000,
        )

    def _end_command(
        self,
        record: durable.DurableRecord,
        state: durable.DurableState,
        status: int,
    ) -> durable.EndDurable:
        now = self._clock.wall()
        configuration = self._current.get()
        policy = (
            configuration.requests if configuration else models.RequestPolicy()
        )
        return durable.EndDurable(
            record.key, state, status, now, now + policy.claim_retention_s
        )

    async def _record_end(self, group: str, end: durable.EndDurable) -> None:
        """Records a final state, with retries while this VM leads the group."""
        self._metrics.count("durable_ended_total", state=str(end.state))
        while self._groups.leads(group):
            propose_deadline = self._clock.monotonic() + _RECORD_TIMEOUT_S
            try:
                await self._groups.propose(group, end, propose_deadline)
            except (errors.UnavailableError, errors.ProposalLostError):
                await trio.sleep(INITIAL_BACKOFF_S)
            else:
                logs.event("durable-ended", key=end.key, state=end.state)
                return
