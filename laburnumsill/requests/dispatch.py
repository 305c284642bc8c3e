"""The dispatch filter: chooses backend servers and sends requests to them.

A request is retried only if it is repeatable or no byte of it can have
reached a server, and only within the retry budget.
"""

import typing
from collections import abc

from laburnumsill.clients import backend
from laburnumsill.core import clock as clocks
from laburnumsill.core import errors
from laburnumsill.core import ids
from laburnumsill.core import logs
from laburnumsill.core import metrics as metrics_module
from laburnumsill.core import topology
from laburnumsill.requests import messages
from laburnumsill.requests import outlier_ejection
from laburnumsill.requests import policies as policies_module
from laburnumsill.requests import retry_budget
from laburnumsill.requests import servers

MIN_SERVER_ERROR_STATUS = 500
"""Lowest HTTP status that counts as a server failure."""

MIN_TIMEOUT_SHARE = 0.5
"""Share of the class's timeout after which a timed-out attempt counts as a
server failure. Earlier timeouts are ignored, so that callers with very short
deadlines cannot get servers ejected."""


class Exchange:
    """An attempt whose response head has arrived; callers must close it."""

    def __init__(
        self,
        dispatcher: "Dispatcher",
        state: servers.ServerState,
        answer: backend.BackendAnswer,
    ) -> None:
        self._dispatcher = dispatcher
        self._state = state
        self._answer = answer
        self._open = True

    @property
    def status(self) -> int:
        """The HTTP status of the answer."""
        return self._answer.status

    @property
    def headers(self) -> backend.Headers:
        """All headers of the answer."""
        return self._answer.headers

    async def chunks(self) -> typing.AsyncIterator[bytes]:
        """Yields the body, see `backend.BackendAnswer.chunks`."""
        try:
            async for chunk in self._answer.chunks():
                yield chunk
        except backend.AnswerLateError:
            raise  # a caller that reads slowly may be the cause
        except errors.OutcomeUnknownError:
            self._finish(servers.Failure.LOST)
            raise
        if self.status >= MIN_SERVER_ERROR_STATUS:
            self._finish(servers.Failure.ERROR)
        else:
            self._finish(None)

    async def aclose(self) -> None:
        """Closes the exchange; idempotent."""
        await self._answer.aclose()
        if self._open:
            self._open = False
            self._dispatcher.abandon_attempt(self._state)

    def _finish(self, failure: servers.Failure | None) -> None:
        self._open = False
        self._dispatcher.finish_attempt(self._state, failure)


class _Attempts:
    """The attempts made for one request.

    Attributes:
        server_ids: Ids of the attempted servers.
        count: Number of attempts.
        sent: Whether a byte of any attempt may have reached a server.
    """

    def __init__(self, max_attempts: int) -> None:
        self._max_attempts = max_attempts
        self.server_ids: set[str] = set()
        self.count = 0
        self.sent = False

    @property
    def exhausted(self) -> bool:
        """Whether the limit of attempts is reached."""
        return self.count >= self._max_attempts

    def record(self, state: servers.ServerState) -> None:
        """Records an attempt at a server."""
        self.server_ids.add(state.server.server_id)
        self.count += 1

    def overall_error(
        self, error: errors.LaburnumsillError
    ) -> errors.LaburnumsillError:
        """Returns the error that holds for all attempts, given the last one.

        If an earlier attempt may have reached a server, a last attempt that
        was not sent leaves the outcome unknown.
        """
        if not isinstance(error, errors.UnavailableError):
            return error
        if self.sent:
            return errors.OutcomeUnknownError(error.detail)
        return errors.NoServerError(error.detail)


def _is_retryable(
    error: errors.LaburnumsillError, attempt_id: str | None
) -> bool:
    """Returns whether a request may be retried after `error`.

    Claimed attempts are retried only if nothing was sent.
    """
    if isinstance(error, backend.NotSentError):
        return True
    return attempt_id is None and isinstance(error, errors.OutcomeUnknownError)


class Dispatcher:
    """Chooses servers and sends requests to them.

    Args:
        local_vm: This VM.
        table: The known servers.
        outlier_detector: Ejects failing servers.
        policies: The policies in force.
        client: HTTP client for backend servers.
        clock: The process's clock.
        metrics: The daemon's metrics.
    """

    def __init__(
        self,
        local_vm: topology.Vm,
        table: servers.ServerTable,
        outlier_detector: outlier_ejection.OutlierDetector,
        policies: policies_module.Policies,
        client: backend.BackendClient,
        clock: clocks.Clock,
        metrics: metrics_module.Metrics,
    ) -> None:
        self._local_vm = local_vm
        self._table = table
        self._outlier_detector = outlier_detector
        self._policies = policies
        self._client = client
        self._clock = clock
        self._metrics = metrics
        self._budget = retry_budget.RetryBudget()

    def capacity(self, service: str, share: float) -> float:
        """Returns this VM's concurrency limit, see `admit.Capacity`."""
        limiter = self._policies.limiter
        now = self._clock.monotonic()
        states = self._table.servers_of(service)
        usable = self._outlier_detector.usable_servers(
            states, now, repeatable=True
        )
        return sum(limiter.limit(state, share) for state in usable)

    async def run(
        self, request: messages.RoutedRequest, attempt_id: str | None = None
    ) -> Exchange:
        """Sends a request, with retries, until a response head arrives.

        Args:
            request: The request.
            attempt_id: Id of the claimed attempt of an at-most-once request;
                None if the request is repeatable.

        Raises:
            errors.UnavailableError: No byte can have reached a server.
            errors.OutcomeUnknownError: The request may have run.
        """
        policy = self._policies.request_policy
        self._budget.deposit(policy.retry_budget)
        attempts = _Attempts(policy.max_attempts)
        while True:
            try:
                exchange = await self._send_to_next_server(
                    request, attempts, attempt_id
                )
            except errors.LaburnumsillError as error:
                if _is_retryable(error, attempt_id) and self._try_acquire_retry(
                    request, attempts
                ):
                    continue
                overall_error = attempts.overall_error(error)
                if overall_error is error:
                    raise
                raise overall_error from error
            failed = exchange.status >= MIN_SERVER_ERROR_STATUS
            if not (failed and attempt_id is None):
                return exchange
            if not self._try_acquire_retry(request, attempts):
                return exchange
            await self._discard(exchange)

    def finish_attempt(
        self, state: servers.ServerState, failure: servers.Failure | None
    ) -> None:
        """Records the result of an attempt; `failure` is None on success."""
        state.in_flight -= 1
        if failure is None:
            self._outlier_detector.record_success(state)
        else:
            self._outlier_detector.record_failure(
                state, self._clock.monotonic(), failure
            )

    def abandon_attempt(self, state: servers.ServerState) -> None:
        """Records an attempt that is no evidence of the server's health."""
        state.in_flight -= 1
        self._outlier_detector.record_cancellation(state)

    def _classify_failure(
        self,
        error: errors.LaburnumsillError,
        request: messages.RoutedRequest,
        started: float,
    ) -> servers.Failure | None:
        """Returns the server failure behind an error, None if there is none.

        Args:
            error: The error that ended the attempt.
            request: The request.
            started: Monotonic time at which the attempt started.
        """
        if isinstance(error, backend.ConnectFailedError):
            return servers.Failure.REFUSED
        if isinstance(error, backend.AnswerLateError):
            waited_s = self._clock.monotonic() - started
            class_timeout_s = request.request_class.timeout_ms / 1000
            if waited_s < MIN_TIMEOUT_SHARE * class_timeout_s:
                return None
        if isinstance(error, errors.OutcomeUnknownError):
            return servers.Failure.LOST
        return None

    async def _send_to_next_server(
        self,
        request: messages.RoutedRequest,
        attempts: "_Attempts",
        attempt_id: str | None,
    ) -> Exchange:
        state = self._choose(request, attempts)
        attempts.record(state)
        try:
            exchange = await self._send(request, state, attempt_id)
        except errors.OutcomeUnknownError:
            attempts.sent = True
            raise
        attempts.sent = True
        return exchange

    def _try_acquire_retry(
        self, request: messages.RoutedRequest, attempts: "_Attempts"
    ) -> bool:
        """Returns whether to retry; if so, takes a retry from the budget."""
        if attempts.exhausted or self._clock.monotonic() >= request.deadline:
            return False
        if self._budget.try_spend():
            return True
        self._metrics.count("retry_budget_empty_total")
        return False

    async def _discard(self, exchange: Exchange) -> None:
        """Reads an error answer to its end, which records the failure."""
        try:
            async for _ in exchange.chunks():
                pass
        except errors.OutcomeUnknownError:
            pass
        finally:
            await exchange.aclose()

    async def _send(
        self,
        request: messages.RoutedRequest,
        state: servers.ServerState,
        attempt_id: str | None,
    ) -> Exchange:
        state.in_flight += 1
        self._outlier_detector.record_send(state)
        started = self._clock.monotonic()
        outgoing = backend.BackendRequest(
            attempt_id or ids.fresh("att"),
            request.method,
            request.target,
            request.headers,
            request.body,
        )
        outcome = "cancelled"
        try:
            answer = await self._client.send(
                state.server, outgoing, request.deadline
            )
            outcome = str(answer.status)
        except errors.LaburnumsillError as error:
            outcome = error.slug
            failure = self._classify_failure(error, request, started)
            if failure is None:
                self.abandon_attempt(state)
            else:
                self.finish_attempt(state, failure)
            raise
        except BaseException:
            self.abandon_attempt(state)
            raise
        finally:
            self._metrics.count(
                "attempts_total", service=request.service, outcome=outcome
            )
        latency_s = self._clock.monotonic() - started
        if answer.status < MIN_SERVER_ERROR_STATUS:
            state.observe_latency(latency_s)
            self._policies.limiter.observe(state, latency_s)
        return Exchange(self, state, answer)

    def _choose(
        self, request: messages.RoutedRequest, attempts: "_Attempts"
    ) -> servers.ServerState:
        usable = self._usable_servers(request, attempts.server_ids)
        if not usable:
            raise errors.NoServerError(
                f"no backend server of {request.service!r} can take requests"
            )
        candidates, reason = self._candidates(
            request, usable, attempts.count + 1
        )
        state = self._policies.chooser.choose(candidates)
        logs.decision(
            "request-routed",
            request=request.request_id,
            service=request.service,
            request_class=request.class_name,
            account=request.account,
            attempt=attempts.count + 1,
            server=state.server.server_id,
            among=len(candidates),
            why=reason,
            chooser=self._policies.request_policy.chooser,
            in_flight=state.in_flight,
            load=state.load,
        )
        return state

    def _candidates(
        self,
        request: messages.RoutedRequest,
        usable: list[servers.ServerState],
        attempt_number: int,
    ) -> tuple[list[servers.ServerState], str]:
        """Returns the servers to choose from, and the reason for the log.

        An ejected server that is due for a probe is chosen before all others;
        otherwise choosers would prefer idle servers and never probe it. Only
        the first attempt of a request that can be retried is a probe.
        Otherwise servers below their concurrency limits are preferred, first
        those in this VM's failure domain.
        """
        if request.request_class.repeatable:
            probes = [state for state in usable if state.ejected]
            if probes and attempt_number == 1 and not self._budget.empty:
                return probes, "probe"
            usable = [s for s in usable if not s.ejected] or usable
        limiter = self._policies.limiter
        for state in usable:
            state.limit = max(1.0, limiter.limit(state))
        below_limit = [s for s in usable if s.in_flight + 1 <= s.limit]
        local = [
            s for s in below_limit if s.server.domain == self._local_vm.domain
        ]
        if local:
            return local, "near"
        if below_limit:
            return below_limit, "far"
        return _least_over_limit(usable), "all-full"

    def _usable_servers(
        self, request: messages.RoutedRequest, attempted_ids: abc.Set[str]
    ) -> list[servers.ServerState]:
        usable = self._outlier_detector.usable_servers(
            self._table.servers_of(request.service),
            self._clock.monotonic(),
            repeatable=request.request_class.repeatable,
        )
        return [s for s in usable if s.server.server_id not in attempted_ids]


def _least_over_limit(
    states: list[servers.ServerState],
) -> list[servers.ServerState]:
    """Returns the servers that exceed their concurrency limits least."""
    max_headroom = max(state.limit - state.in_flight for state in states)
    return [s for s in states if s.limit - s.in_flight >= max_headroom]
