"""The filters choose and dispatch: sends a request to a backend server.

A request is sent again only where it is repeatable or where no byte of it
can have reached a server, and only within the retry budget.
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
from laburnumsill.requests import budget
from laburnumsill.requests import health as health_module
from laburnumsill.requests import messages
from laburnumsill.requests import policies as policies_module
from laburnumsill.requests import servers

SERVER_ERROR = 500
"""Lowest HTTP status that counts as a failure of the server."""

FAIR_TIMEOUT_SHARE = 0.5
"""Part of its class's time that a request must have waited for its answer
before a late one counts against the server: a caller that asks for too short
a time must not get servers ejected."""


class Exchange:
    """One attempt whose answer's head has arrived; close it in every case."""

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
            raise  # maybe for a caller that reads slowly
        except errors.OutcomeUnknownError:
            self._end(servers.Failure.LOST)
            raise
        if self.status >= SERVER_ERROR:
            self._end(servers.Failure.ERROR)
        else:
            self._end(None)

    async def aclose(self) -> None:
        """Ends the exchange; may be called again."""
        await self._answer.aclose()
        if self._open:
            self._open = False
            self._dispatcher.broken_off(self._state)

    def _end(self, failure: servers.Failure | None) -> None:
        self._open = False
        self._dispatcher.ended(self._state, failure)


class _Tries:
    """What was tried for one request.

    Attributes:
        servers: Ids of the servers that had an attempt.
        count: Attempts so far.
        sent: Whether a byte of any attempt may have reached a server.
    """

    def __init__(self, max_attempts: int) -> None:
        self._max_attempts = max_attempts
        self.servers: set[str] = set()
        self.count = 0
        self.sent = False

    @property
    def exhausted(self) -> bool:
        """Whether there may be no further attempt."""
        return self.count >= self._max_attempts

    def note(self, state: servers.ServerState) -> None:
        """Notes an attempt at a server."""
        self.servers.add(state.server.server_id)
        self.count += 1

    def truth(
        self, error: errors.LaburnumsillError
    ) -> errors.LaburnumsillError:
        """Returns the error that is true of all attempts, not of the last."""
        if not isinstance(error, errors.UnavailableError):
            return error
        if self.sent:
            return errors.OutcomeUnknownError(error.detail)
        return errors.NoServerError(error.detail)


def _repeats(error: errors.LaburnumsillError, attempt: str | None) -> bool:
    """Returns whether a request may be sent again after `error`."""
    if isinstance(error, backend.NotSentError):
        return True
    return attempt is None and isinstance(error, errors.OutcomeUnknownError)


class Dispatcher:
    """Chooses servers and sends requests to them.

    Args:
        me: This VM.
        table: The present servers.
        health: Which of them are ejected.
        policies: The policies in force.
        client: The way to the servers.
        clock: The process's clock.
        metrics: Where attempts are counted.
    """

    def __init__(
        self,
        me: topology.Vm,
        table: servers.ServerTable,
        health: health_module.Health,
        policies: policies_module.Policies,
        client: backend.BackendClient,
        clock: clocks.Clock,
        metrics: metrics_module.Metrics,
    ) -> None:
        self._me = me
        self._table = table
        self._health = health
        self._policies = policies
        self._client = client
        self._clock = clock
        self._metrics = metrics
        self._budget = budget.RetryBudget()

    def capacity(self, service: str, share: float) -> float:
        """Returns what this VM may have in flight, see `admit.Capacity`."""
        limiter = self._policies.limiter
        now = self._clock.monotonic()
        present = self._table.present(service)
        usable = self._health.usable(present, now, repeatable=True)
        return sum(limiter.limit(state, share) for state in usable)

    async def run(
        self, request: messages.RoutedRequest, attempt: str | None = None
    ) -> Exchange:
        """Sends a request until an answer's head is in.

        Args:
            request: What to send.
            attempt: Id of the one attempt that may send anything; None
                where the request is repeatable.

        Raises:
            errors.UnavailableError: No byte can have reached a server.
            errors.OutcomeUnknownError: It may have run.
        """
        policy = self._policies.request_policy
        self._budget.earn(policy.retry_budget)
        tries = _Tries(policy.max_attempts)
        while True:
            try:
                exchange = await self._try(request, tries, attempt)
            except errors.LaburnumsillError as error:
                if _repeats(error, attempt) and self._retry(request, tries):
                    continue
                truth = tries.truth(error)
                if truth is error:
                    raise
                raise truth from error
            failed = exchange.status >= SERVER_ERROR
            if not (failed and attempt is None):
                return exchange
            if not self._retry(request, tries):
                return exchange
            await self._drop(exchange)

    def ended(
        self, state: servers.ServerState, failure: servers.Failure | None
    ) -> None:
        """Notes the end of an attempt, a success where `failure` is None."""
        state.in_flight -= 1
        if failure is None:
            self._health.succeeded(state)
        else:
            self._health.failed(state, self._clock.monotonic(), failure)

    def broken_off(self, state: servers.ServerState) -> None:
        """Notes an attempt that tells nothing of the server."""
        state.in_flight -= 1
        self._health.cancelled(state)

    def _failure_of(
        self,
        error: errors.LaburnumsillError,
        request: messages.RoutedRequest,
        started: float,
    ) -> servers.Failure | None:
        """Returns what an error says of the server, None for nothing bad.

        Args:
            error: The error that ended the attempt.
            request: What was sent.
            started: Monotonic point of the attempt's start.
        """
        if isinstance(error, backend.ConnectFailedError):
            return servers.Failure.REFUSED
        if isinstance(error, backend.AnswerLateError):
            waited_s = self._clock.monotonic() - started
            fair_s = request.request_class.timeout_ms / 1000
            if waited_s < FAIR_TIMEOUT_SHARE * fair_s:
                return None
        if isinstance(error, errors.OutcomeUnknownError):
            return servers.Failure.LOST
        return None

    async def _try(
        self,
        request: messages.RoutedRequest,
        tries: "_Tries",
        attempt: str | None,
    ) -> Exchange:
        state = self._choose(request, tries)
        tries.note(state)
        try:
            exchange = await self._attempt(request, state, attempt)
        except errors.OutcomeUnknownError:
            tries.sent = True
            raise
        tries.sent = True
        return exchange

    def _retry(self, request: messages.RoutedRequest, tries: "_Tries") -> bool:
        """Returns whether to try again, and takes it from the budget."""
        if tries.exhausted or self._clock.monotonic() >= request.deadline:
            return False
        if self._budget.spend():
            return True
        self._metrics.count("retry_budget_empty_total")
        return False

    async def _drop(self, exchange: Exchange) -> None:
        """Reads a failed answer to its end, so that it is counted."""
        try:
            async for _ in exchange.chunks():
                pass
        except errors.OutcomeUnknownError:
            pass
        finally:
            await exchange.aclose()

    async def _attempt(
        self,
        request: messages.RoutedRequest,
        state: servers.ServerState,
        attempt: str | None,
    ) -> Exchange:
        state.in_flight += 1
        self._health.sent(state)
        started = self._clock.monotonic()
        outgoing = backend.BackendRequest(
            attempt or ids.fresh("att"),
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
            failure = self._failure_of(error, request, started)
            if failure is None:
                self.broken_off(state)
            else:
                self.ended(state, failure)
            raise
        except BaseException:
            self.broken_off(state)
            raise
        finally:
            self._metrics.count(
                "attempts_total", service=request.service, outcome=outcome
            )
        latency_s = self._clock.monotonic() - started
        if answer.status < SERVER_ERROR:
            state.observe_latency(latency_s)
            self._policies.limiter.observe(state, latency_s)
        return Exchange(self, state, answer)

    def _choose(
        self, request: messages.RoutedRequest, tries: "_Tries"
    ) -> servers.ServerState:
        usable = self._usable(request, tries.servers)
        if not usable:
            raise errors.NoServerError(
                f"no backend server of {request.service!r} can take requests"
            )
        candidates, why = self._candidates(request, usable, tries.count + 1)
        state = self._policies.chooser.choose(candidates)
        logs.decision(
            "request-routed",
            request=request.request_id,
            service=request.service,
            request_class=request.class_name,
            account=request.account,
            attempt=tries.count + 1,
            server=state.server.server_id,
            among=len(candidates),
            why=why,
            chooser=self._policies.request_policy.chooser,
            in_flight=state.in_flight,
            load=state.load,
        )
        return state

    def _candidates(
        self,
        request: messages.RoutedRequest,
        usable: list[servers.ServerState],
        number: int,
    ) -> tuple[list[servers.ServerState], str]:
        """Returns the servers to choose from, and why just these.

        An ejected server whose probe is due goes before all others, or a
        chooser that finds enough idle ones would never win it back. Only a
        first attempt that can be sent again is the probe.
        """
        if request.request_class.repeatable:
            due = [state for state in usable if state.ejected]
            if due and number == 1 and not self._budget.empty:
                return due, "probe"
            usable = [s for s in usable if not s.ejected] or usable
        limiter = self._policies.limiter
        for state in usable:
            state.limit = max(1.0, limiter.limit(state))
        room = [s for s in usable if s.in_flight + 1 <= s.limit]
        near = [s for s in room if s.server.domain == self._me.domain]
        if near:
            return near, "near"
        if room:
            return room, "far"
        return _with_most_room(usable), "all-full"

    def _usable(
        self, request: messages.RoutedRequest, tried: abc.Set[str]
    ) -> list[servers.ServerState]:
        usable = self._health.usable(
            self._table.present(request.service),
            self._clock.monotonic(),
            repeatable=request.request_class.repeatable,
        )
        return [s for s in usable if s.server.server_id not in tried]


def _with_most_room(
    states: list[servers.ServerState],
) -> list[servers.ServerState]:
    """Returns the servers that are over their limits by least."""
    most = max(state.limit - state.in_flight for state in states)
    return [s for s in states if s.limit - s.in_flight >= most]
