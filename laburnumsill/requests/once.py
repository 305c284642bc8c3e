"""Runs a request that may run once only: claim, dispatch, settle.

It runs in a task of its own, so that a caller who hangs up does not end it
half way, and so that its end is always recorded. An answer up to the limit
is kept whole with the claim before the caller gets it. A larger one is
passed on as it arrives, and only its outcome is recorded.
"""

import dataclasses
import typing

import trio

from laburnumsill.config import models
from laburnumsill.core import clock as clocks
from laburnumsill.core import errors
from laburnumsill.core import logs
from laburnumsill.requests import admit
from laburnumsill.requests import answer as answers
from laburnumsill.requests import claim
from laburnumsill.requests import dispatch
from laburnumsill.requests import headers
from laburnumsill.requests import home
from laburnumsill.requests import messages
from laburnumsill.requests import settle
from laburnumsill.state import answers as stored_answers
from laburnumsill.state import claim_records

Result = messages.Answer | errors.LaburnumsillError


@dataclasses.dataclass(frozen=True, slots=True)
class _Claimed:
    """A granted attempt.

    Attributes:
        request: What it runs.
        attempt: Its id.
        group: The group that granted it.
        policy: The policy in force when it began.
    """

    request: messages.RoutedRequest
    attempt: str
    group: str
    policy: models.RequestPolicy


class AtMostOnceRunner:
    """Runs requests that are not repeatable.

    Args:
        admission: Gives slots.
        claim_filter: Gives claims.
        dispatcher: Sends requests.
        settler: Records ends.
        clock: The process's clock.
    """

    def __init__(
        self,
        admission: admit.Admission,
        claim_filter: claim.ClaimFilter,
        dispatcher: dispatch.Dispatcher,
        settler: settle.Settler,
        clock: clocks.Clock,
    ) -> None:
        self._admission = admission
        self._claim_filter = claim_filter
        self._dispatcher = dispatcher
        self._settler = settler
        self._clock = clock
        self._nursery: trio.Nursery | None = None
        self._running = 0

    @property
    def running(self) -> int:
        """Requests in progress, also those whose caller has hung up."""
        return self._running

    def start(self, nursery: trio.Nursery) -> None:
        """Runs requests in `nursery` from now on."""
        self._nursery = nursery

    async def run(
        self,
        request: messages.RoutedRequest,
        configuration: models.Configuration,
    ) -> messages.Answer:
        """Returns the answer; it is recorded unless it is streamed.

        Raises:
            errors.LaburnumsillError: See `answer.outcome_of`.
        """
        if self._nursery is None:
            raise errors.UnavailableError("the router is not running")
        send: trio.MemorySendChannel[Result]
        send, receive = trio.open_memory_channel(1)
        self._running += 1
        self._nursery.start_soon(self._task, request, configuration, send)
        async with receive:
            result = await receive.receive()
        if isinstance(result, errors.LaburnumsillError):
            raise result
        return result

    async def refuse(
        self,
        request: messages.RoutedRequest,
        configuration: models.Configuration,
        error: errors.LaburnumsillError,
    ) -> messages.Answer:
        """Raises `error`, or returns the answer of an earlier send.

        "Not run" is only said once the home group has made it true for all
        sends of the key that have arrived.
        """
        group = home.home_group(request.claim_key, configuration)
        status = await self._claim_filter.refuse(request, group)
        if status.state is claim_records.ClaimState.NOT_RUN:
            raise error
        return answers.of_claim(status)

    async def _task(
        self,
        request: messages.RoutedRequest,
        configuration: models.Configuration,
        send: "trio.MemorySendChannel[Result]",
    ) -> None:
        result: Result
        try:
            result = await self._run(request, configuration)
        except errors.LaburnumsillError as error:
            result = error
        except Exception as error:  # the border: no failure ends the router
            logs.event("run-failed", level="ERROR", error=repr(error))
            result = errors.LaburnumsillError("unexpected failure")
        finally:
            self._running -= 1
        try:
            send.send_nowait(result)
        except trio.BrokenResourceError:
            if isinstance(result, messages.Answer):
                await result.aclose()

    async def _run(
        self,
        request: messages.RoutedRequest,
        configuration: models.Configuration,
    ) -> messages.Answer:
        policy = configuration.requests
        group = home.home_group(request.claim_key, configuration)
        try:
            permit = await self._admission.acquire(request)
        except errors.LaburnumsillError as error:
            return await self.refuse(request, configuration, error)
        kept = False
        try:
            status = await self._claim_filter.claim(
                request, group, policy.claim_retention_s
            )
            if not status.granted:
                return answers.of_claim(status)
            claimed = _Claimed(request, status.attempt, group, policy)
            exchange = await self._dispatch(claimed)
            result = await self._collect(claimed, exchange, permit)
            kept = result.whole_body is None
            return result
        finally:
            if not kept:
                permit.release()

    async def _dispatch(self, claimed: _Claimed) -> dispatch.Exchange:
        try:
            return await self._dispatcher.run(claimed.request, claimed.attempt)
        except errors.UnavailableError:
            await self._settle(claimed, claim_records.ClaimState.NOT_RUN)
            raise
        except errors.OutcomeUnknownError:
            await self._settle(claimed, claim_records.ClaimState.UNKNOWN)
            raise
        except BaseException:
            self._settle_later(claimed, claim_records.ClaimState.UNKNOWN)
            raise

    async def _collect(
        self,
        claimed: _Claimed,
        exchange: dispatch.Exchange,
        permit: admit.Permit,
    ) -> messages.Answer:
        """Reads up to the limit of what is kept, then settles or streams."""
        chunks = exchange.chunks()
        parts: list[bytes] = []
        size = 0
        try:
            async for chunk in chunks:
                parts.append(chunk)
                size += len(chunk)
                if size > claimed.policy.max_stored_answer_bytes:
                    return self._stream(
                        claimed, exchange, permit, parts, chunks
                    )
        except errors.OutcomeUnknownError:
            await exchange.aclose()
            await self._settle(claimed, claim_records.ClaimState.UNKNOWN)
            raise
        except BaseException:
            await exchange.aclose()
            self._settle_later(claimed, claim_records.ClaimState.UNKNOWN)
            raise
        await exchange.aclose()
        answer = stored_answers.StoredAnswer(
            exchange.status,
            headers.end_to_end(exchange.headers),
            b"".join(parts),
        )
        await self._settle(claimed, claim_records.ClaimState.ANSWERED, answer)
        return answers.stored(answer)

    def _stream(
        self,
        claimed: _Claimed,
        exchange: dispatch.Exchange,
        permit: admit.Permit,
        parts: list[bytes],
        chunks: typing.AsyncIterator[bytes],
    ) -> messages.Answer:
        outcome = claim_records.ClaimState.UNKNOWN

        async def all_chunks() -> typing.AsyncIterator[bytes]:
            nonlocal outcome
            while parts:
                yield parts.pop(0)
            async for chunk in chunks:
                yield chunk
            outcome = claim_records.ClaimState.ANSWERED

        async def on_close() -> None:
            try:
                await exchange.aclose()
            finally:
                permit.release()
                self._settle_later(claimed, outcome)

        return messages.Answer(
            messages.Outcome.ANSWERED,
            exchange.status,
            headers.end_to_end(exchange.headers),
            all_chunks(),
            on_close,
        )

    async def _settle(
        self,
        claimed: _Claimed,
        outcome: claim_records.ClaimState,
        answer: stored_answers.StoredAnswer | None = None,
    ) -> None:
        command = self._command(claimed, outcome, answer)
        deadline = claimed.request.deadline
        await self._settler.now(claimed.group, command, deadline)

    def _settle_later(
        self, claimed: _Claimed, outcome: claim_records.ClaimState
    ) -> None:
        command = self._command(claimed, outcome, None)
        self._settler.later(claimed.group, command)

    def _command(
        self,
        claimed: _Claimed,
        outcome: claim_records.ClaimState,
        answer: stored_answers.StoredAnswer | None,
    ) -> claim_records.SettleRequest:
        return settle.settlement(
            claimed.request,
            claimed.attempt,
            outcome,
            answer,
            self._clock.wall(),
            claimed.policy.claim_retention_s,
        )
