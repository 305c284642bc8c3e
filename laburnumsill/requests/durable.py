"""Dispatches durable requests until their success is recorded.

The VM that leads the home group dispatches what is pending there. After a
change of leader the new one starts over with all that is pending, so a
repeatable request may run again; one that is not repeatable goes through
its claim and runs once at most.
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

SCAN_S = 0.1
"""Period of looking for pending requests while there are any."""

IDLE_SCAN_S = 0.5
"""Period of looking for pending requests while none was found."""

MAX_RUNNING = 64
"""Durable requests that one VM dispatches at a time, for each domain."""

FIRST_BACKOFF_S = 0.2
LONGEST_BACKOFF_S = 30.0

_RECORD_PATIENCE_S = 2.0
_MAX_DOUBLINGS = 16


@dataclasses.dataclass(slots=True)
class _Tries:
    """Dispatches of one request by this VM; `next_at` is monotonic."""

    count: int = 0
    next_at: float = 0.0
    running: bool = False


class DurableDispatcher:
    """Dispatches the durable requests of the domains that this VM leads.

    Args:
        router: Runs each dispatch.
        groups: The replicated groups.
        current: The configuration in force.
        clock: The process's clock.
        metrics: Where ends are counted.
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
        self._tries: dict[str, dict[str, _Tries]] = {}

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
                busy = any(self._tries.values())
                await trio.sleep(SCAN_S if busy else IDLE_SCAN_S)

    def _scan(self, group: str, nursery: trio.Nursery) -> None:
        machine = self._groups.local_state_machine(group)
        if machine is None or not self._groups.leads(group):
            self._tries.pop(group, None)
            return
        component: durable.DurableRequests = machine.component("durable")
        tries = self._tries.setdefault(group, {})
        for key in [key for key in tries if key not in component.pending]:
            if not tries[key].running:
                del tries[key]
        running = sum(entry.running for entry in tries.values())
        now = self._clock.monotonic()
        for key, record in component.pending.items():
            if running >= MAX_RUNNING:
                return
            entry = tries.setdefault(key, _Tries())
            if entry.running or now < entry.next_at:
                continue
            entry.running = True
            running += 1
            nursery.start_soon(self._dispatch, group, record, entry)

    async def _dispatch(
        self, group: str, record: durable.DurableRecord, entry: _Tries
    ) -> None:
        entry.count += 1
        try:
            end = await self._end_of(record)
            if end is not None:
                await self._record(group, end)
        except errors.LaburnumsillError as error:
            logs.event(
                "durable-dispatch-failed",
                key=record.key,
                tries=entry.count,
                error=error.slug,
            )
        except Exception as error:  # the border: it is tried again
            logs.event("dispatch-broken", level="ERROR", error=repr(error))
        finally:
            doublings = min(entry.count - 1, _MAX_DOUBLINGS)
            backoff_s = min(LONGEST_BACKOFF_S, FIRST_BACKOFF_S * 2**doublings)
            entry.next_at = self._clock.monotonic() + backoff_s
            entry.running = False

    async def _end_of(
        self, record: durable.DurableRecord
    ) -> durable.EndDurable | None:
        """Returns how a request ended, or None if it is to be tried again."""
        work = record.work
        if work is None:
            return None
        if self._clock.wall() >= record.deadline:
            return self._end(record, durable.DurableState.EXPIRED, 0)
        request = self._request(work)
        try:
            status = await self._status_of(request)
        except errors.OutcomeUnknownError:
            if request.request_class.repeatable:
                return None
            return self._end(record, durable.DurableState.UNKNOWN, 0)
        if 200 <= status < 300:
            return self._end(record, durable.DurableState.SUCCEEDED, status)
        if request.request_class.repeatable:
            return None
        return self._end(record, durable.DurableState.FAILED, status)

    async def _status_of(self, request: messages.RoutedRequest) -> int:
        answer = await self._router.run_durable(request)
        try:
            async for _ in answer.chunks():
                pass
        finally:
            await answer.aclose()
        return answer.status

    def _request(self, work: durable.DurableWork) -> messages.RoutedRequest:
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

    def _end(
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

    async def _record(self, group: str, end: durable.EndDurable) -> None:
        """Records an end; while that is lost and this VM leads, again."""
        self._metrics.count("durable_ended_total", state=str(end.state))
        while self._groups.leads(group):
            until = self._clock.monotonic() + _RECORD_PATIENCE_S
            try:
                await self._groups.propose(group, end, until)
            except (errors.UnavailableError, errors.ProposalLostError):
                await trio.sleep(FIRST_BACKOFF_S)
            else:
                logs.event("durable-ended", key=end.key, state=end.state)
                return
