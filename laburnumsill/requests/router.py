"""The request router, which passes each request through the filters.

The order is classify, read, admit, claim, dispatch, settle, answer. Requests
that are repeatable (safe to run more than once) skip claim and settle;
durable requests are only committed here, see `accept`.
"""

import functools
import random
from collections import abc

import trio

from laburnumsill.clients import backend
from laburnumsill.config import current as current_module
from laburnumsill.config import models
from laburnumsill.core import clock as clocks
from laburnumsill.core import errors
from laburnumsill.core import logs
from laburnumsill.core import members
from laburnumsill.core import metrics as metrics_module
from laburnumsill.core import replication
from laburnumsill.core import topology
from laburnumsill.requests import accept
from laburnumsill.requests import admit
from laburnumsill.requests import answer as answers
from laburnumsill.requests import at_most_once
from laburnumsill.requests import claim
from laburnumsill.requests import classify
from laburnumsill.requests import dispatch
from laburnumsill.requests import headers
from laburnumsill.requests import lookup
from laburnumsill.requests import messages
from laburnumsill.requests import outlier_ejection
from laburnumsill.requests import policies
from laburnumsill.requests import read_body
from laburnumsill.requests import servers
from laburnumsill.requests import settle

CONTROL_INTERVAL_S = 0.1
"""Interval at which the limiter adapts and queued requests are admitted."""

CONNECTION_CLEANUP_INTERVAL_S = 10.0
"""Interval at which connections to departed servers are closed."""

_DRAIN_POLL_INTERVAL_S = 0.02


class RequestRouter:
    """Routes callers' requests to backend servers.

    Args:
        local_vm: This VM.
        groups: The replicated groups.
        view: The known backend servers.
        current: The configuration in force.
        client: HTTP client for backend servers.
        clock: The process's clock.
        metrics: The daemon's metrics.
        entry_vms: Number of VMs that share each backend server.
    """

    def __init__(
        self,
        local_vm: topology.Vm,
        groups: replication.Groups,
        view: members.MemberView,
        current: current_module.Current,
        client: backend.BackendClient,
        clock: clocks.Clock,
        metrics: metrics_module.Metrics,
        entry_vms: int = backend.ENTRY_VMS,
    ) -> None:
        self._groups = groups
        self._current = current
        self._clock = clock
        self._metrics = metrics
        rng = random.Random()
        self._policies = policies.Policies(current, entry_vms, rng)
        self._client = client
        self._table = servers.ServerTable(view)
        self._dispatcher = dispatch.Dispatcher(
            local_vm,
            self._table,
            outlier_ejection.OutlierDetector(rng),
            self._policies,
            client,
            clock,
            metrics,
        )
        self._admission = admit.Admission(
            self._dispatcher.capacity, self._classes_of, clock, metrics
        )
        self._settler = settle.Settler(groups, clock, metrics)
        claim_filter = claim.ClaimFilter(local_vm, groups, self._settler, clock)
        self._at_most_once = at_most_once.AtMostOnceRunner(
            self._admission,
            claim_filter,
            self._dispatcher,
            self._settler,
            clock,
        )
        self._accept_filter = accept.AcceptFilter(groups, clock)
        self._body_reader = read_body.BodyReader(clock)
        self._draining = False
        self._in_flight = 0

    @property
    def in_flight(self) -> int:
        """Number of requests received and not completed."""
        return self._in_flight

    async def run(
        self,
        *,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Runs the background tasks until cancelled."""
        async with trio.open_nursery() as nursery:
            self._settler.start(nursery)
            self._at_most_once.start(nursery)
            nursery.start_soon(self._close_stale_connections)
            task_status.started()
            while True:
                await trio.sleep(CONTROL_INTERVAL_S)
                self._policies.limiter.tick(self._clock.monotonic())
                self._admission.admit_all_waiting()

    async def _close_stale_connections(self) -> None:
        while True:
            await trio.sleep(CONNECTION_CLEANUP_INTERVAL_S)
            await self._client.close_unused_connections(self._table.addresses())

    async def drain(self, deadline: float) -> None:
        """Refuses new requests and waits for those in flight.

        Args:
            deadline: Monotonic time after which requests in flight are no
                longer waited for.
        """
        self._draining = True
        while (
            self._in_flight
            or self._settler.pending
            or self._at_most_once.running
        ):
            if self._clock.monotonic() >= deadline:
                logs.event("drain-timeout", in_flight=self._in_flight)
                return
            await trio.sleep(_DRAIN_POLL_INTERVAL_S)

    async def route(
        self,
        head: messages.RequestHead,
        body: abc.AsyncIterator[bytes],
    ) -> messages.Answer:
        """Returns the answer to a caller's request; callers must close it.

        Args:
            head: The request without its body.
            body: Chunks of the body as they arrive.

        Raises:
            errors.LaburnumsillError: No backend server's answer is
                available; `answer.outcome_of` maps the error to the
                request's outcome.
        """
        self._in_flight += 1
        try:
            result = await self._answer(head, body)
        except BaseException:
            self._in_flight -= 1
            raise
        result.add_close_callback(self._decrement_in_flight)
        return result

    async def key_status(self, key: str) -> lookup.KeyStatus:
        """Returns the status of an idempotency key, see `lookup.key_status`."""
        return await lookup.key_status(
            key, self._groups, self._configuration(), self._clock
        )

    async def run_durable(
        self, request: messages.RoutedRequest
    ) -> messages.Answer:
        """Dispatches a durable request once and returns the answer."""
        if request.request_class.repeatable:
            return await self._run_repeatable(request)
        return await self._run_at_most_once(request)

    async def _answer(
        self, head: messages.RequestHead, body: abc.AsyncIterator[bytes]
    ) -> messages.Answer:
        request = None
        outcome = "error"
        try:
            classified = self._classify(head)
            async with self._body_reader.read_request(
                classified, body
            ) as request:
                result = await self._run(request)
            outcome = str(result.outcome)
            return result
        except errors.LaburnumsillError as error:
            outcome = str(answers.outcome_of(error))
            raise
        finally:
            self._record_metrics(head, request, outcome)

    def _classify(self, head: messages.RequestHead) -> classify.ClassifiedHead:
        configuration = self._current.get()
        if configuration is not None:
            return classify.classify(head, configuration)
        detail = "no configuration is in force yet"
        if headers.find(head.headers, headers.KEY) is not None:
            raise messages.HomeUnreachableError(detail)
        raise errors.UnavailableError(detail)

    async def _run(self, request: messages.RoutedRequest) -> messages.Answer:
        if self._draining:
            return await self._refuse_draining(request)
        if request.request_class.durable:
            return await self._accept_filter.accept(
                request, self._configuration()
            )
        if request.request_class.repeatable:
            return await self._run_repeatable(request)
        return await self._run_at_most_once(request)

    async def _refuse_draining(
        self, request: messages.RoutedRequest
    ) -> messages.Answer:
        error = messages.DrainingError("this VM takes no new requests")
        if request.request_class.durable:
            raise messages.HomeUnreachableError(error.detail) from error
        if request.request_class.repeatable:
            raise error
        return await self._at_most_once.refuse(
            request, self._configuration(), error
        )

    async def _run_repeatable(
        self, request: messages.RoutedRequest
    ) -> messages.Answer:
        permit = await self._admission.acquire(request)
        try:
            exchange = await self._dispatcher.run(request)
        except BaseException:
            permit.release()
            raise
        return answers.from_exchange(
            exchange, functools.partial(_close_and_release, exchange, permit)
        )

    async def _run_at_most_once(
        self, request: messages.RoutedRequest
    ) -> messages.Answer:
        return await self._at_most_once.run(request, self._configuration())

    def _configuration(self) -> models.Configuration:
        configuration = self._current.get()
        if configuration is None:
            raise errors.UnavailableError("no configuration is in force yet")
        return configuration

    def _classes_of(self, service: str) -> dict[str, models.RequestClass]:
        configuration = self._configuration()
        entry = configuration.services.get(service)
        names = entry.classes if entry else []
        return {name: configuration.classes[name] for name in names}

    def _record_metrics(
        self,
        head: messages.RequestHead,
        request: messages.RoutedRequest | None,
        outcome: str,
    ) -> None:
        class_name = request.class_name if request else "none"
        account = request.account if request else "none"
        self._metrics.count(
            "requests_total",
            request_class=class_name,
            account=account,
            outcome=outcome,
        )
        self._metrics.observe(
            "request_seconds",
            self._clock.monotonic() - head.arrived_at,
            request_class=class_name,
            account=account,
        )

    async def _decrement_in_flight(self) -> None:
        self._in_flight -= 1


async def _close_and_release(
    exchange: dispatch.Exchange, permit: admit.Permit
) -> None:
    try:
        await exchange.aclose()
    finally:
        permit.release()
