"""A small HTTP/1.1 server for ASGI applications, on h11 and trio.

It serves the roles that start often on small VMs: it loads a fifth of the
modules of a whole ASGI server, and a request takes one task and no queues.
HTTP/2, WebSockets, TLS and streams in both directions at a time are left out.
"""

import functools
import time
import typing
import urllib.parse
from collections import abc

import h11
import trio

from laburnumsill.core import errors
from laburnumsill.core import logs
from laburnumsill.daemon import listening

MAX_HEADER_BYTES = 32 * 1024
KEEP_ALIVE_S = 60
RECEIVE_BYTES = 32_768
"""Headers are refused at the first receipt past their limit."""

READ_WITHIN_S = 60
"""A caller that has not read an answer by then is given up."""

LINGER_S = 0.5
"""After an early answer the rest of a body is read and dropped for so long,
since closing a connection with unread bytes resets it."""

Message = dict[str, typing.Any]
Application = abc.Callable[
    [
        Message,
        abc.Callable[[], abc.Awaitable[Message]],
        abc.Callable[[Message], abc.Awaitable[None]],
    ],
    abc.Awaitable[None],
]

_FAULTS = (trio.BrokenResourceError, trio.ClosedResourceError)


async def serve(
    application: Application,
    address: str,
    stop: abc.Callable[[], abc.Awaitable[None]],
    stop_grace_s: float,
    *,
    task_status: trio.TaskStatus[list[str]] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Serves an ASGI application until `stop` returns.

    Args:
        application: The ASGI application.
        address: ``host:port`` to listen on.
        stop: Returns when no new connection is to be taken.
        stop_grace_s: Seconds that exchanges in flight have after that.
        task_status: Started once the socket listens.

    Raises:
        listening.AddressTakenError: Another process listens on the address.
        listening.ListenError: It cannot be listened on.
    """
    listener = await listening.listen(address)
    connections: set[_Connection] = set()

    async def handle(stream: trio.SocketStream) -> None:
        connection = _Connection(application, stream)
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
    """One caller's connection: one exchange after the other."""

    def __init__(
        self, application: Application, stream: trio.SocketStream
    ) -> None:
        self._application = application
        self._stream = stream
        self._http = _new_protocol()
        self._idle: trio.CancelScope | None = None
        self._finishing = False

    def finish(self) -> None:
        """Ends the connection after the exchange in flight, if there is one."""
        self._finishing = True
        if self._idle is not None:
            self._idle.cancel()

    async def run(self) -> None:
        """Serves exchanges until either end closes the connection."""
        try:
            while await self._exchange():
                self._http.start_next_cycle()
        except (_ClosedError, *_FAULTS):
            pass
        except h11.RemoteProtocolError as error:
            await self._refuse(error)
        finally:
            await trio.aclose_forcefully(self._stream)

    async def _exchange(self) -> bool:
        """Serves one exchange; returns whether another one may follow."""
        request = await self._next_request()
        if request is None:
            return False
        exchange = _Exchange(self, request)
        try:
            await self._application(
                _scope(request), exchange.receive, exchange.send
            )
        except (_ClosedError, h11.RemoteProtocolError, *_FAULTS):
            raise
        except Exception as error:  # one request's fault must not stop others
            logs.event(
                "http-server",
                level="ERROR",
                message="the application failed",
                error=repr(error),
            )
            await exchange.fail()
        await self._drop_rest()
        done = self._http.our_state is h11.DONE
        return done and self._http.their_state is h11.DONE

    async def _next_request(self) -> h11.Request | None:
        """Returns the next request; None if none comes."""
        if self._finishing:
            return None
        self._idle = trio.CancelScope(
            deadline=trio.current_time() + KEEP_ALIVE_S
        )
        event = None
        with self._idle:
            event = await self.next_event()
        self._idle = None
        return event if isinstance(event, h11.Request) else None

    async def next_event(self) -> typing.Any:
        """Returns the next event of the protocol.

        Raises:
            _ClosedError: The caller went away.
            h11.RemoteProtocolError: It sent what is no HTTP.
        """
        while True:
            event = self._http.next_event()
            if event is not h11.NEED_DATA:
                return event
            if self._http.they_are_waiting_for_100_continue:
                await self.write(
                    h11.InformationalResponse(status_code=100, headers=[])
                )
            data = await self._stream.receive_some(RECEIVE_BYTES)
            if not data:
                raise _ClosedError("the caller went away")
            self._http.receive_data(data)

    async def write(self, *events: typing.Any) -> None:
        """Sends events of the protocol in one piece.

        Raises:
            _ClosedError: The caller does not read.
        """
        pieces = (self._http.send(event) for event in events)
        data = b"".join(piece for piece in pieces if piece)
        if not data:
            return
        with trio.move_on_after(READ_WITHIN_S):
            await self._stream.send_all(data)
            return
        raise _ClosedError("the caller does not read its answer")

    async def _drop_rest(self) -> None:
        """Reads what is left of a request that was answered early."""
        with trio.move_on_after(LINGER_S):
            while self._http.their_state is h11.SEND_BODY:
                await self.next_event()

    async def _refuse(self, error: h11.RemoteProtocolError) -> None:
        """Answers bytes that are no request, if nothing was answered yet."""
        if self._http.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
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
            except _FAULTS:
                return


class _Exchange:
    """The two callables that an ASGI application has for one request."""

    def __init__(self, connection: _Connection, request: h11.Request) -> None:
        self._connection = connection
        self._without_body = request.method == b"HEAD"
        self._received = False
        self._response: h11.Response | None = None
        self._answering = False

    async def receive(self) -> Message:
        """Returns the next part of the body."""
        if self._received:
            return {"type": "http.disconnect"}
        try:
            event = await self._connection.next_event()
        except (_ClosedError, *_FAULTS):
            return {"type": "http.disconnect"}
        if isinstance(event, h11.Data):
            return {
                "type": "http.request",
                "body": bytes(event.data),
                "more_body": True,
            }
        self._received = True
        return {"type": "http.request", "body": b"", "more_body": False}

    async def send(self, message: Message) -> None:
        """Takes the next part of the answer."""
        if message["type"] == "http.response.start":
            self._response = h11.Response(
                status_code=message["status"],
                headers=[*message.get("headers", ()), (b"date", _date())],
            )
            return
        events: list[typing.Any] = []
        if not self._answering and self._response is not None:
            events.append(self._response)
            self._answering = True
        body = message.get("body", b"")
        if body and not self._without_body:
            events.append(h11.Data(data=body))
        if not message.get("more_body", False):
            events.append(h11.EndOfMessage())
        await self._connection.write(*events)

    async def fail(self) -> None:
        """Answers for an application that failed, if it has not begun to.

        Raises:
            _ClosedError: It has, so the caller must see the end.
        """
        if self._answering:
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


def _scope(request: h11.Request) -> Message:
    """Returns the ASGI scope of a request."""
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
    }


def _date() -> bytes:
    return time.strftime("%a, %d %b %Y %H:%M:%S GMT", time.gmtime()).encode()
