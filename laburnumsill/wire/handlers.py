"""Runs the handlers of peers' messages and contains their failures."""

from collections import abc

import trio

from laburnumsill.core import clock as clocks
from laburnumsill.core import codec
from laburnumsill.core import errors
from laburnumsill.core import logs
from laburnumsill.core import replication
from laburnumsill.wire.generated.peer import ttypes

RaftHandler = abc.Callable[[abc.Sequence[ttypes.RaftMessage]], None]


class Handlers:
    """Registry of the handlers of calls, notices and Raft messages.

    Attributes:
        raft: The handler of Raft messages, None until one is set.
    """

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._calls: dict[type, replication.AsyncHandler] = {}
        self._notices: dict[type, replication.Handler] = {}
        self.raft: RaftHandler | None = None

    def add_call(
        self, request_type: type, handler: replication.AsyncHandler
    ) -> None:
        """Registers the handler of calls of `request_type`."""
        self._calls[request_type] = handler

    def add_notice(
        self, notice_type: type, handler: replication.Handler
    ) -> None:
        """Registers the handler of notices of `notice_type`."""
        self._notices[notice_type] = handler

    async def run(self, request: object, deadline: float) -> object:
        """Runs the handler of a call and returns its result.

        The handler is cancelled at the deadline, a monotonic time.

        Raises:
            errors.DeadlinePassedError: The deadline had passed; the handler
                was not run.
            errors.OutcomeUnknownError: It was cancelled at the deadline.
            errors.LaburnumsillError: There is no handler, or the handler
                raised this error or another exception, which is logged.
        """
        handler = self._calls.get(type(request))
        if handler is None:
            raise errors.LaburnumsillError(
                f"no handler for calls of {type(request).__name__}"
            )
        remaining = deadline - self._clock.monotonic()
        if remaining <= 0:
            raise errors.DeadlinePassedError(f"{-remaining:.3f} s too late")
        with trio.move_on_after(remaining):
            return await _run_handler(handler, request)
        raise errors.OutcomeUnknownError("cancelled at the deadline")

    async def answer(self, call: ttypes.Call) -> ttypes.Reply:
        """Runs a call from a peer and returns its result or error as reply.

        The deadline of a call is wall time, so it is extended by the bound on
        the clocks' drift.
        """
        try:
            request = codec.decode(call.payload)
            deadline = self._clock.monotonic_deadline(call.deadline)
            result = await self.run(
                request, deadline + clocks.MAX_CLOCK_DRIFT_S
            )
            payload = b"" if result is None else codec.encode(result)
        except errors.LaburnumsillError as error:
            return error_reply(call.call_id, error)
        except TypeError as error:  # the class of the result is not registered
            logs.event("call-result-refused", "ERROR", error=repr(error))
            failure = errors.LaburnumsillError("the result has no encoding")
            return error_reply(call.call_id, failure)
        return ttypes.Reply(call.call_id, True, payload)

    def handle_notice(self, notice: object) -> None:
        """Passes a notice to its handler; drops it without a handler."""
        handler = self._notices.get(type(notice))
        if handler is None:
            return
        try:
            handler(notice)
        except Exception as error:  # must not end the connection
            logs.event(
                "notice-handler-failed",
                "ERROR",
                notice=type(notice).__name__,
                error=repr(error),
            )

    def handle_encoded_notice(self, raw: bytes) -> None:
        """Decodes a notice from a peer and passes it to its handler."""
        try:
            notice = codec.decode(raw)
        except codec.UndecodableMessageError as error:
            logs.event("notice-undecodable", "WARNING", error=error.detail)
            return
        self.handle_notice(notice)

    def handle_raft(self, messages: abc.Sequence[ttypes.RaftMessage]) -> None:
        """Passes Raft messages to their handler."""
        if self.raft is None:
            return
        try:
            self.raft(messages)
        except Exception as error:  # must not end the connection
            logs.event("raft-handler-failed", "ERROR", error=repr(error))


def error_reply(call_id: int, error: errors.LaburnumsillError) -> ttypes.Reply:
    """Returns the reply that raises `error` at the caller."""
    try:
        payload = codec.encode(error.to_record())
    except TypeError:  # the context cannot be encoded
        plain = errors.ErrorRecord(error.slug, error.detail, None, {})
        payload = codec.encode(plain)
    return ttypes.Reply(call_id, False, payload)


async def _run_handler(
    handler: replication.AsyncHandler, request: object
) -> object:
    try:
        return await handler(request)
    except errors.LaburnumsillError:
        raise
    except Exception as error:  # only typed errors are sent to peers
        logs.event(
            "call-handler-failed",
            "ERROR",
            call=type(request).__name__,
            error=repr(error),
        )
        raise errors.LaburnumsillError("unexpected failure") from error
