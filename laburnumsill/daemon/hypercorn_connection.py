"""A connection that hypercorn serves, in a budget and a staged shutdown."""

import contextlib
import math
import typing
from collections import abc

import hypercorn.app_wrappers
import hypercorn.config
import hypercorn.typing
import trio
from hypercorn.trio import tcp_server
from hypercorn.trio import worker_context

from laburnumsill.core import byte_budget
from laburnumsill.core import logs
from laburnumsill.daemon import connection_budget
from laburnumsill.daemon import staged_server
from laburnumsill.wire import arrivals

LAST_CALL_S = 0.1
"""Time for which an idle connection is kept at a shutdown, in which a call that
has arrived is read."""

LATE_LOOP_S = 0.05
"""Time after which a loop that wakes a task was held up."""

LINGER_S = 0.5
"""Time for which a caller may take to close its side after the last answer."""

RECEIVE_BYTES = 32_768

_BODY_HEADERS = frozenset({b"content-length", b"transfer-encoding"})

Message = dict[str, typing.Any]
Receive = abc.Callable[[], abc.Awaitable[Message]]
Send = abc.Callable[[Message], abc.Awaitable[None]]
Application = abc.Callable[
    [typing.Any, typing.Any, typing.Any], abc.Awaitable[None]
]
"""An ASGI application."""


class _KeptStream:
    """The stream that hypercorn sees, which it cannot close.

    Closing with unread bytes resets the connection, and a reset may destroy an
    answer that the caller has not read yet.

    Args:
        stream: The connection.
        on_data: Called when data, or the end of it, has arrived and is read
            next. While it is read, neither the socket nor hypercorn has it.
    """

    def __init__(
        self, stream: arrivals.Stream, on_data: abc.Callable[[], None]
    ) -> None:
        self._stream = stream
        self._on_data = on_data
        self._receiving = trio.CancelScope()
        self._closed = trio.Event()

    async def wait_closed(self) -> None:
        """Waits until hypercorn has closed the stream."""
        await self._closed.wait()

    @property
    def socket(self) -> trio.socket.SocketType:
        """The socket of the connection."""
        return self._stream.socket

    async def receive_some(self, max_bytes: int) -> bytes:
        """Returns received data.

        Raises:
            trio.ClosedResourceError: hypercorn has closed the stream.
        """
        self._receiving = trio.CancelScope()
        with self._receiving:
            if not self._closed.is_set():
                await self._stream.wait_for_data()
                self._on_data()
                return await self._stream.receive_some(max_bytes)
        raise trio.ClosedResourceError

    async def send_all(self, data: bytes) -> None:
        """Sends data.

        Raises:
            trio.ClosedResourceError: hypercorn has closed the stream.
        """
        if self._closed.is_set():
            raise trio.ClosedResourceError
        await self._stream.send_all(data)

    async def send_eof(self) -> None:
        """Ends what is sent."""
        await self._stream.send_eof()

    async def aclose(self) -> None:
        """Ends what hypercorn receives and sends."""
        self._closed.set()
        self._receiving.cancel()
        await trio.lowlevel.checkpoint()


class HypercornConnection(byte_budget.Holder, staged_server.Connection):
    """A connection with any number of calls in progress.

    Args:
        application: The ASGI application.
        stream: The connection.
        config: Of hypercorn.
        context: Of hypercorn, for all connections of a server.
        budget: Bounds the number of connections.
        is_closing: Returns whether an answer is the last one on its
            connection.
    """

    def __init__(
        self,
        application: Application,
        stream: arrivals.Stream,
        config: hypercorn.config.Config,
        context: worker_context.WorkerContext,
        budget: connection_budget.ConnectionBudget,
        is_closing: abc.Callable[[], bool],
    ) -> None:
        self._application = application
        self._stream = stream
        self._kept_stream = _KeptStream(stream, self._note_data)
        self._budget = budget
        self._is_closing = is_closing
        self._calls = 0
        self._whole_calls = 0
        self._sends = 0
        self._answers = 0
        self._has_begun = False
        self._finishing = trio.Event()
        self._answer_by = math.inf
        self._idle_until = math.inf
        self._waiting = trio.CancelScope()
        self._since = trio.current_time()
        self._scope = trio.CancelScope()
        self._server = tcp_server.TCPServer(
            hypercorn.app_wrappers.ASGIWrapper(
                typing.cast(typing.Any, self._serve)
            ),
            config,
            context,
            hypercorn.typing.ConnectionState({}),
            typing.cast(typing.Any, self._kept_stream),
        )

    @property
    def waiting_since(self) -> float | None:
        """Time since which no whole call is served, see the base class.

        A call whose answer is being sent waits for its caller.
        """
        return None if self._whole_calls > self._sends else self._since

    def give_up(self) -> None:
        """Closes the connection, also while an answer is sent."""
        self._scope.cancel()

    def finish(self, answer_by: float) -> None:
        """Closes it once all calls are answered, see the base class."""
        self._answer_by = answer_by
        self._limit_time()
        self._finishing.set()

    async def run(self) -> None:
        """Serves calls until either end closes the connection."""
        self._budget.add(self)
        try:
            with self._scope:
                await self._run_server()
        except* Exception as errors:  # must not affect other connections
            logs.event(
                "http-server",
                level="ERROR",
                message="a connection failed",
                error=repr(errors),
            )
        finally:
            self._budget.remove(self)

    async def _run_server(self) -> None:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._close_when_cancelled)
            nursery.start_soon(self._end_when_due)
            async with trio.open_nursery() as ending:
                ending.start_soon(self._close_after_answer)
                await self._server.run()
            nursery.cancel_scope.cancel()

    async def _close_after_answer(self) -> None:
        """Lets the caller read the last answer before the connection ends."""
        await self._kept_stream.wait_closed()
        with (
            contextlib.suppress(
                trio.BrokenResourceError, trio.ClosedResourceError
            ),
            trio.move_on_after(LINGER_S),
        ):
            await self._stream.send_eof()
            while await self._stream.receive_some(RECEIVE_BYTES):
                pass
        await trio.aclose_forcefully(self._stream)

    async def _close_when_cancelled(self) -> None:
        """Ends a send in progress, which hypercorn shields."""
        try:
            await trio.sleep_forever()
        finally:
            await trio.aclose_forcefully(self._stream)

    async def _serve(
        self,
        scope: abc.Mapping[str, typing.Any],
        receive: Receive,
        send: Send,
    ) -> None:
        """Has the application answer a call."""
        is_whole = False

        def end_call() -> None:
            nonlocal is_whole
            self._whole_calls += not is_whole
            is_whole = True

        async def receive_counted() -> Message:
            message = await receive()
            if not message.get("more_body", False):
                end_call()
            return message

        async def send_counted(message: Message) -> None:
            self._sends += 1
            self._since = trio.current_time()
            try:
                await send(self._with_notice(scope, message))
            finally:
                self._sends -= 1

        if not _BODY_HEADERS & {name for name, _ in scope["headers"]}:
            end_call()
        self._calls += 1
        self._has_begun = False
        self._since = trio.current_time()
        self._limit_time()
        try:
            await self._application(scope, receive_counted, send_counted)
        finally:
            self._calls -= 1
            self._whole_calls -= is_whole
            self._answers += 1
            self._since = trio.current_time()
            self._limit_time()

    def _with_notice(
        self, scope: abc.Mapping[str, typing.Any], message: Message
    ) -> Message:
        """Returns a message that says whether its answer is the last one.

        HTTP/2 has no such header.
        """
        is_start = message["type"] == "http.response.start"
        is_http_1 = scope["http_version"].startswith("1")
        if not (is_start and is_http_1 and self._is_closing()):
            return message
        fields = [*message["headers"], (b"connection", b"close")]
        return {**message, "headers": fields}

    def _note_data(self) -> None:
        """Records that a part of a further call has arrived."""
        if not self._calls:
            self._has_begun = True
            self._waiting.deadline = self._ends_at

    def _limit_time(self) -> None:
        """Sets until when the connection is kept without a call."""
        if self._answer_by == math.inf:
            return
        is_expected = self._stream.has_unread or not self._answers
        kept_s = staged_server.FIRST_CALL_S if is_expected else LAST_CALL_S
        self._idle_until = trio.current_time() + kept_s
        self._waiting.deadline = self._ends_at

    @property
    def _ends_at(self) -> float:
        """Time of the loop at which the connection is to end in a shutdown."""
        if self._calls or self._has_begun:
            return self._answer_by
        return min(self._idle_until, self._answer_by)

    async def _end_when_due(self) -> None:
        """Ends the connection in a shutdown, but no call that has arrived.

        The loop may have stood still while a call arrived. Such a call is read
        before the connection counts as idle. Where the loop stood still over
        the end of the grace, calls have a last time to be answered.
        """
        await self._finishing.wait()
        while (ends_at := self._ends_at) > trio.current_time():
            with trio.CancelScope(deadline=ends_at) as self._waiting:
                await trio.sleep_forever()
            if self._ends_at < self._answer_by and self._stream.has_unread:
                self._note_data()
        if trio.current_time() > ends_at + LATE_LOOP_S:
            await trio.sleep(staged_server.LAST_ANSWERS_S)
        self._scope.cancel()
