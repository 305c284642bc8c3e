"""A small HTTP/1.1 server for ASGI applications, on h11 and trio.

It is used by the roles that start often on small VMs: it loads a fifth of the
modules of a complete ASGI server, and a request needs one task and no queue.
HTTP/2, WebSockets, TLS and full-duplex streams are not supported.

The scope of a request tells after which time it began to arrive, in the
extension `arrivals.EXTENSION`: a process that stood still reads requests whose
callers may have left.
"""

import enum
import functools
import time
import typing
import urllib.parse
from collections import abc

import h11
import trio

from laburnumsill.core import errors
from laburnumsill.core import logs
from laburnumsill.core import metrics as metrics_module
from laburnumsill.daemon import listening
from laburnumsill.wire import arrivals

MAX_HEADER_BYTES = 32 * 1024
KEEP_ALIVE_S = 60
MAX_LOGGED_PATH = 80
"""Number of characters of a path in a log line."""

RECEIVE_BYTES = 32_768
"""Maximum size of one read. Headers are rejected after the first read that
exceeds their limit."""

SEND_TIMEOUT_S = 60
"""The connection of a caller that has not read an answer by then is closed."""

LINGER_S = 0.5
"""Time for which the rest of a body is read and discarded after an early
response, since closing a connection with unread bytes resets it."""

Message = dict[str, typing.Any]
Application = abc.Callable[
    [
        Message,
        abc.Callable[[], abc.Awaitable[Message]],
        abc.Callable[[Message], abc.Awaitable[None]],
    ],
    abc.Awaitable[None],
]

_STREAM_ERRORS = (trio.BrokenResourceError, trio.ClosedResourceError)


class ConnectionEnd(enum.StrEnum):
    """How a connection ended, a label of `http_connections_ended_total`."""

    ANSWERED = "answered"
    """By the server, after an answer that said so."""

    CALLER = "caller"
    """By the caller, or by a failure of the network."""

    IDLE = "idle"
    """By the server, while no call had begun to arrive."""

    INVALID = "invalid"
    """By the server, after invalid HTTP."""

    CUT = "cut"
    """By the server, while a call was open or unread."""


class Monitor:
    """Counts how connections end, and logs the calls that are cut.

    Args:
        name: The name of the server in metrics and logs.
        metrics: Receives the counters.
    """

    def __init__(self, name: str, metrics: metrics_module.Metrics) -> None:
        self._name = name
        self._metrics = metrics

    def on_end(self, end: ConnectionEnd) -> None:
        """Records the end of a connection."""
        self._metrics.count(
            "http_connections_ended_total", server=self._name, end=end
        )

    def on_cut(self, request: h11.Request | None, since_s: float) -> None:
        """Records a call that ended with its connection.

        Args:
            request: The request, None if it was not read.
            since_s: Seconds since it was read or, if it was not, since the
                last answer on the connection.
        """
        target = request.target.decode("ascii") if request else ""
        logs.event(
            "call-cut",
            level="WARNING",
            server=self._name,
            method=request.method.decode("ascii") if request else "",
            path=target[:MAX_LOGGED_PATH],
            read=request is not None,
            since_ms=round(since_s * 1000),
        )


async def serve(
    application: Application,
    address: str,
    stop: abc.Callable[[], abc.Awaitable[None]],
    stop_grace_s: float,
    monitor: Monitor | None = None,
    *,
    task_status: trio.TaskStatus[list[str]] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Serves an ASGI application until `stop` returns.

    Args:
        application: The ASGI application.
        address: ``host:port`` to listen on.
        stop: Returns when no new connection is to be accepted.
        stop_grace_s: Seconds in which requests in flight can complete then.
        monitor: Records the ends of connections, if given.
        task_status: Started once the socket listens.

    Raises:
        listening.AddressTakenError: Another process listens on the address.
        listening.ListenError: Listening on the address failed.
    """
    listener = arrivals.Listener(await listening.listen(address))
    connections: set[_Connection] = set()
    monitor = monitor or Monitor("", metrics_module.Metrics())

    async def handle(stream: arrivals.Stream) -> None:
        connection = _Connection(application, stream, monitor)
        connections.add(connection)
        try:
            await connection.run()
        finally:
            connections.discard(connection)

    async with trio.open_nursery() as running:
        async with trio.open_nursery() as accepting:
            accepting.start_soon(
                functools.partial(
                    trio.serve_listeners,
                    handle,
                    [listener],
                    handler_nursery=running,
                )
            )
            task_status.started([address])
            await stop()
            accepting.cancel_scope.cancel()
        for connection in list(connections):
            connection.finish()
        running.cancel_scope.deadline = trio.current_time() + stop_grace_s


class _ClosedError(errors.LaburnumsillError):
    """The connection has ended."""

    slug = "connection-closed"


class _Connection:
    """One caller's connection, which serves one exchange at a time."""

    def __init__(
        self,
        application: Application,
        stream: arrivals.Stream,
        monitor: Monitor,
    ) -> None:
        self._application = application
        self._stream = stream
        self._monitor = monitor
        self._request: h11.Request | None = None
        self._since = trio.current_time()
        self._arrived_after: float | None = None
        self._protocol = _new_protocol()
        self._idle: trio.CancelScope | None = None
        self._finishing = False

    def finish(self) -> None:
        """Closes the connection after the exchange in progress, if any."""
        self._finishing = True
        if self._idle is not None:
            self._idle.cancel()

    async def run(self) -> None:
        """Serves exchanges until either end closes the connection."""
        end = ConnectionEnd.CUT
        try:
            while await self._exchange():
                self._protocol.start_next_cycle()
            end = ConnectionEnd.ANSWERED
            if self._protocol.our_state is h11.IDLE:
                end = ConnectionEnd.IDLE
        except (_ClosedError, *_STREAM_ERRORS):
            end = ConnectionEnd.CALLER
        except h11.RemoteProtocolError as error:
            end = ConnectionEnd.INVALID
            await self._reject(error)
        finally:
            self._record(end)
            await trio.aclose_forcefully(self._stream)

    def _record(self, end: ConnectionEnd) -> None:
        """Records the end of the connection and of a call that it cuts."""
        is_idle = end in (ConnectionEnd.IDLE, ConnectionEnd.CUT)
        if is_idle and self._request is None:
            end = ConnectionEnd.CUT if self._has_unread else ConnectionEnd.IDLE
        if end is ConnectionEnd.CUT:
            since_s = trio.current_time() - self._since
            self._monitor.on_cut(self._request, since_s)
        self._monitor.on_end(end)

    @property
    def _has_unread(self) -> bool:
        """Whether a part of a further call has arrived."""
        return bool(self._protocol.trailing_data[0]) or self._stream.has_unread

    async def _exchange(self) -> bool:
        """Serves one exchange; returns whether the connection can be reused."""
        request = await self._next_request()
        if request is None:
            return False
        self._request = request
        self._since = trio.current_time()
        exchange = _Exchange(self, request)
        try:
            await self._application(
                _scope(request, self._arrived_after),
                exchange.receive,
                exchange.send,
            )
        except (_ClosedError, h11.RemoteProtocolError, *_STREAM_ERRORS):
            raise
        except Exception as error:  # a failure must not affect other requests
            logs.event(
                "http-server",
                level="ERROR",
                message="the application failed",
                error=repr(error),
            )
            await exchange.send_failure()
        self._request = None
        self._since = trio.current_time()
        await self._discard_body()
        done = self._protocol.our_state is h11.DONE
        return done and self._protocol.their_state is h11.DONE

    async def _next_request(self) -> h11.Request | None:
        """Returns the next request, None if the connection is to be closed."""
        if self._finishing:
            return None
        unread, _ = self._protocol.trailing_data
        self._arrived_after = self._stream.empty_at if unread else None
        self._idle = trio.CancelScope(
            deadline=trio.current_time() + KEEP_ALIVE_S
        )
        event = None
        with self._idle:
            event = await self.next_event()
        self._idle = None
        return event if isinstance(event, h11.Request) else None

    async def next_event(self) -> typing.Any:
        """Returns the next h11 event.

        Raises:
            _ClosedError: The caller closed the connection.
            h11.RemoteProtocolError: The caller sent invalid HTTP.
        """
        while True:
            event = self._protocol.next_event()
            if event is not h11.NEED_DATA:
                return event
            if self._protocol.they_are_waiting_for_100_continue:
                await self.write(
                    h11.InformationalResponse(status_code=100, headers=[])
                )
            data = await self._stream.receive_some(RECEIVE_BYTES)
            if self._arrived_after is None:
                self._arrived_after = self._stream.empty_at
            if not data:
                raise _ClosedError("the caller closed the connection")
            self._protocol.receive_data(data)

    async def write(self, *events: typing.Any) -> None:
        """Sends h11 events in one write.

        Raises:
            _ClosedError: The caller has not read the data in time.
        """
        pieces = (self._protocol.send(event) for event in events)
        data = b"".join(piece for piece in pieces if piece)
        if not data:
            return
        with trio.move_on_after(SEND_TIMEOUT_S):
            await self._stream.send_all(data)
            return
        raise _ClosedError("the caller did not read the answer in time")

    async def _discard_body(self) -> None:
        """Discards the rest of the body after an early response."""
        with trio.move_on_after(LINGER_S):
            while self._protocol.their_state is h11.SEND_BODY:
                await self.next_event()

    async def _reject(self, error: h11.RemoteProtocolError) -> None:
        """Answers invalid HTTP, unless a response has been started."""
        if self._protocol.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return
        headers = [("content-length", "0"), ("connection", "close")]
        with trio.move_on_after(LINGER_S):
            try:
                await self.write(
                    h11.Response(
                        status_code=error.error_status_hint, headers=headers
                    ),
                    h11.EndOfMessage(),
                )
            except _STREAM_ERRORS:
                return


class _Exchange:
    """The `receive` and `send` callables of one request for the application."""

    def __init__(self, connection: _Connection, request: h11.Request) -> None:
        self._connection = connection
        self._is_head = request.method == b"HEAD"
        self._body_ended = False
        self._response: h11.Response | None = None
        self._response_started = False

    async def receive(self) -> Message:
        """Returns the next part of the body."""
        if self._body_ended:
            return {"type": "http.disconnect"}
        try:
            event = await self._connection.next_event()
        except (_ClosedError, *_STREAM_ERRORS):
            return {"type": "http.disconnect"}
        if isinstance(event, h11.Data):
            return {
                "type": "http.request",
                "body": bytes(event.data),
                "more_body": True,
            }
        self._body_ended = True
        return {"type": "http.request", "body": b"", "more_body": False}

    async def send(self, message: Message) -> None:
        """Sends the next part of the response."""
        if message["type"] == "http.response.start":
            self._response = h11.Response(
                status_code=message["status"],
                headers=[*message.get("headers", ()), (b"date", _date())],
            )
            return
        events: list[typing.Any] = []
        if not self._response_started and self._response is not None:
            events.append(self._response)
            self._response_started = True
        body = message.get("body", b"")
        if body and not self._is_head:
            events.append(h11.Data(data=body))
        if not message.get("more_body", False):
            events.append(h11.EndOfMessage())
        await self._connection.write(*events)

    async def send_failure(self) -> None:
        """Sends status 500 after a failure of the application.

        Raises:
            _ClosedError: A response has been started, so the connection must
                be closed.
        """
        if self._response_started:
            raise _ClosedError("the answer was not completed")
        await self.send(
            {
                "type": "http.response.start",
                "status": 500,
                "headers": [
                    (b"content-length", b"0"),
                    (b"connection", b"close"),
                ],
            }
        )
        await self.send({"type": "http.response.body"})


def _new_protocol() -> h11.Connection:
    return h11.Connection(
        h11.SERVER, max_incomplete_event_size=MAX_HEADER_BYTES
    )


def _scope(request: h11.Request, arrived_after: float | None) -> Message:
    """Returns the ASGI scope of a request.

    Args:
        request: The request.
        arrived_after: Monotonic time in s after which it began to arrive.
    """
    raw_path, _, query = request.target.partition(b"?")
    return {
        "type": "http",
        "asgi": {"version": "3.0"},
        "http_version": request.http_version.decode("ascii"),
        "method": request.method.decode("ascii").upper(),
        "path": urllib.parse.unquote(raw_path.decode("ascii")),
        "raw_path": raw_path,
        "query_string": query,
        "headers": list(request.headers),
        "extensions": {arrivals.EXTENSION: {arrivals.AFTER: arrived_after}},
    }


def _date() -> bytes:
    return time.strftime("%a, %d %b %Y %H:%M:%S GMT", time.gmtime()).encode()
