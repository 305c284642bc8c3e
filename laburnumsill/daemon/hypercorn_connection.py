"""A connection that hypercorn serves, in a staged shutdown."""

import typing
from collections import abc

import hypercorn.app_wrappers
import hypercorn.config
import hypercorn.typing
import trio
from hypercorn.trio import tcp_server
from hypercorn.trio import worker_context

from laburnumsill.daemon import staged_server
from laburnumsill.wire import arrivals

LAST_CALL_S = 0.1
"""Time for which an idle connection is kept at a shutdown, in which a call that
has arrived is read."""

Message = dict[str, typing.Any]
Receive = abc.Callable[[], abc.Awaitable[Message]]
Send = abc.Callable[[Message], abc.Awaitable[None]]
Application = abc.Callable[
    [typing.Any, typing.Any, typing.Any], abc.Awaitable[None]
]
"""An ASGI application."""


class HypercornConnection(staged_server.Connection):
    """A connection with any number of calls in progress.

    Args:
        application: The ASGI application.
        stream: The connection.
        config: Of hypercorn.
        context: Of hypercorn, for all connections of a server.
        is_closing: Returns whether an answer is the last one on its
            connection.
    """

    def __init__(
        self,
        application: Application,
        stream: arrivals.Stream,
        config: hypercorn.config.Config,
        context: worker_context.WorkerContext,
        is_closing: abc.Callable[[], bool],
    ) -> None:
        self._application = application
        self._stream = stream
        self._is_closing = is_closing
        self._calls = 0
        self._answers = 0
        self._answer_by: float | None = None
        self._scope = trio.CancelScope()
        self._server = tcp_server.TCPServer(
            hypercorn.app_wrappers.ASGIWrapper(
                typing.cast(typing.Any, self._serve)
            ),
            config,
            context,
            hypercorn.typing.ConnectionState({}),
            typing.cast(typing.Any, stream),
        )

    def finish(self, answer_by: float) -> None:
        """Closes it once all calls are answered, see the base class."""
        self._answer_by = answer_by
        self._limit_time()

    async def run(self) -> None:
        """Serves calls until either end closes the connection."""
        try:
            with self._scope:
                await self._server.run()
        finally:
            await trio.aclose_forcefully(self._stream)

    async def _serve(
        self,
        scope: abc.Mapping[str, typing.Any],
        receive: Receive,
        send: Send,
    ) -> None:
        """Has the application answer a call."""

        async def send_last(message: Message) -> None:
            await send(self._with_notice(scope, message))

        self._calls += 1
        self._limit_time()
        try:
            await self._application(scope, receive, send_last)
        finally:
            self._calls -= 1
            self._answers += 1
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

    def _limit_time(self) -> None:
        """Sets until when the connection is kept during a shutdown."""
        if self._answer_by is None:
            return
        self._scope.deadline = self._answer_by
        if not self._calls:
            is_expected = self._stream.has_unread or not self._answers
            kept_s = staged_server.FIRST_CALL_S if is_expected else LAST_CALL_S
            until = trio.current_time() + kept_s
            self._scope.deadline = min(until, self._answer_by)
