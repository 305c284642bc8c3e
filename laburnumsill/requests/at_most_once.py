"""Runs at-most-once requests: admit, claim, dispatch, settle.

Each request runs in a task of its own, so that it is not cancelled and its
outcome is still recorded if the caller disconnects. An answer up to the size
limit is stored with the claim before the caller gets it. A larger answer is
streamed, and only its outcome is recorded.
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
from laburnumsill.requests import home_groups
from laburnumsill.requests import messages
from laburnumsill.requests import settle
from laburnumsill.state import answers as stored_answers
from laburnumsill.state import claim_records

Result = messages.Answer | errors.LaburnumsillError


@dataclasses.dataclass(frozen=True, slots=True)
class _GrantedClaim:
    """A claim that was granted to this VM.

    Attributes:
        request: The claimed request.
        attempt: The id of the attempt that may run it.
        group: The home group, which granted the claim.
        policy: The policy in force when the request started.
    """

    request: messages.RoutedRequest
    attempt: str
    group: str
    policy: models.RequestPolicy


class AtMostOnceRunner:
    """Runs requests that are not repeatable, each at most once.

    Args:
        admission: The admission filter.
        claim_filter: The claim filter.
        dispatcher: The dispatch filter.
        settler: The settle filter.
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
        """Requests in progress, including those of disconnected callers."""
        return self._running

    def start(self, nursery: trio.Nursery) -> None:
        """Sets the nursery in which requests run."""
        self._nursery = nursery

    async def run(
        self,
        request: messages.RoutedRequest,
        configuration: models.Configuration,
    ) -> messages.Answer:
        """Runs a request and returns the answer, stored unless streamed.

        Raises:
            errors.LaburnumsillError: See `answer.outcome_of`.
        """
        if self._nursery is None:
            raise errors.UnavailableError("the router is not running")
        result_sender: trio.MemorySendChannel[Result]
        result_sender, result_receiver = trio.open_memory_channel(1)
        self._running += 1
        self._nursery.start_soon(
            self._run_task, request, configuration, result_sender
        )
        async with result_receiver:
            result = await result_receiver.receive()
        if isinstance(result, errors.LaburnumsillError):
            raise result
        return result

    async def refuse(
        self,
        request: messages.RoutedRequest,
        configuration: models.Configuration,
        error: errors.LaburnumsillError,
    ) -> messages.Answer:
        """Fences off a rejected request's key, or returns its stored answer.

        `error` reports the outcome "not run". It is raised only after the
        home group has fenced off the key, so that no send of it that has
        arrived by now can run.

        Raises:
            errors.LaburnumsillError: `error`, or the status of an earlier
                send that ran or may have run.
        """
        group = home_groups.home_group(request.claim_key, configuration)
        status = await self._claim_filter.refuse(request, group)
        if status.state is claim_records.ClaimState.NOT_RUN:
            raise error
        return answers.from_claim_status(status)

    async def _run_task(
        self,
        request: messages.RoutedRequest,
        configuration: models.Configuration,
        result_sender: "trio.MemorySendChannel[Result]",
    ) -> None:
        result: Result
        try:
            result = await self._run(request, configuration)
        except errors.LaburnumsillError as error:
            result = error
        except Exception as error:  # one request must not stop the router
            logs.event("run-failed", level="ERROR", error=repr(error))
            result = errors.LaburnumsillError("unexpected failure")
        finally:
            self._running -= 1
        try:
            result_sender.send_nowait(result)
        except trio.BrokenResourceError:
            if isinstance(result, messages.Answer):
                await result.aclose()

    async def _run(
        self,
        request: messages.RoutedRequest,
        configuration: models.Configuration,
    ) -> messages.Answer:
        policy = configuration.requests
        group = home_groups.home_group(request.claim_key, configuration)
        try:
            permit = await self._admission.acquire(request)
        except errors.LaburnumsillError as error:
            return await self.refuse(request, configuration, error)
        permit_transferred = False
        try:
            status = await self._claim_filter.claim(
                request, group, policy.claim_retention_s
            )
            if not status.granted:
                return answers.from_claim_status(status)
            grant = _GrantedClaim(request, status.attempt, group, policy)
            exchange = await self._dispatch(grant)
            result = await self._read_answer(grant, exchange, permit)
            permit_transferred = result.complete_body is None
            return result
        finally:
            if not permit_transferred:
                permit.release()

    async def _dispatch(self, grant: _GrantedClaim) -> dispatch.Exchange:
        try:
            return await self._dispatcher.run(grant.request, grant.attempt)
        except errors.UnavailableError:
            await self._settle(grant, claim_records.ClaimState.NOT_RUN)
            raise
        except errors.OutcomeUnknownError:
            await self._settle(grant, claim_records.ClaimState.UNKNOWN)
            raise
        except BaseException:
            self._settle_later(grant, claim_records.ClaimState.UNKNOWN)
            raise

    async def _read_answer(
        self,
        grant: _GrantedClaim,
        exchange: dispatch.Exchange,
        permit: admit.Permit,
    ) -> messages.Answer:
        """Reads the answer and settles it, or streams it over the limit."""
        chunks = exchange.chunks()
        parts: list[bytes] = []
        size = 0
        try:
            async for chunk in chunks:
                parts.append(chunk)
                size += len(chunk)
                if size > grant.policy.max_stored_answer_bytes:
                    return self._stream(grant, exchange, permit, parts, chunks)
        except errors.OutcomeUnknownError:
            await exchange.aclose()
            await self._settle(grant, claim_records.ClaimState.UNKNOWN)
            raise
        except BaseException:
            await exchange.aclose()
            self._settle_later(grant, claim_records.ClaimState.UNKNOWN)
            raise
        await exchange.aclose()
        answer = stored_answers.StoredAnswer(
            exchange.status,
            headers.end_to_end(exchange.headers),
            b"".join(parts),
        )
        await self._settle(grant, claim_records.ClaimState.ANSWERED, answer)
        return answers.from_stored_answer(answer)

    def _stream(
        self,
        grant: _GrantedClaim,
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
                self._settle_later(grant, outcome)

        return messages.Answer(
            messages.Outcome.ANSWERED,
            exchange.status,
            headers.end_to_end(exchange.headers),
            all_chunks(),
            on_close,
        )

    async def _settle(
        self,
        grant: _GrantedClaim,
        outcome: claim_records.ClaimState,
        answer: stored_answers.StoredAnswer | None = None,
    ) -> None:
        command = self._command(grant, outcome, answer)
        deadline = grant.request.deadline
        await self._settler.record_now(grant.group, command, deadline)

    def _settle_later(
        self, grant: _GrantedClaim, outcome: claim_records.ClaimState
    ) -> None:
        command = self._command(grant, outcome, None)
        self._settler.record_later(grant.group, command)

    def _command(
        self,
        grant: _GrantedClaim,
        outcome: claim_records.ClaimState,
        answer: stored_answers.StoredAnswer | None,
    ) -> claim_records.SettleRequest:
        return settle.settle_command(
            grant.request,
            grant.attempt,
            outcome,
            answer,
            self._clock.wall(),
            grant.policy.claim_retention_s,
        )
