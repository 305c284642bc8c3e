"""One request of a connection and its answer, as ASGI applications see them."""

import abc
import time
import typing
import urllib.parse
from collections import abc as collections_abc

import h11
import trio

from laburnumsill.core import errors
from laburnumsill.wire import arrivals

Message = dict[str, typing.Any]
Application = collections_abc.Callable[
    [
        Message,
        collections_abc.Callable[[], collections_abc.Awaitable[Message]],
        collections_abc.Callable[[Message], collections_abc.Awaitable[None]],
    ],
    collections_abc.Awaitable[None],
]

STREAM_ERRORS = (trio.BrokenResourceError, trio.ClosedResourceError)


class ClosedError(errors.LaburnumsillError):
    """The connection has ended."""

    slug = "connection-closed"


class CutError(ClosedError):
    """The connection has ended before the answer was complete."""

    slug = "connection-cut"


class Channel(abc.ABC):
    """The connection of an exchange."""

    @property
    @abc.abstractmethod
    def is_last_answer(self) -> bool:
        """Whether the connection is to be closed after the present answer."""

    @abc.abstractmethod
    def begin_service(self) -> None:
        """Counts no time as the caller's: the call has arrived whole."""

    @abc.abstractmethod
    async def next_event(self) -> typing.Any:
        """Returns the next h11 event.

        Raises:
            ClosedError: The caller closed the connection.
            h11.RemoteProtocolError: The caller sent invalid HTTP.
        """

    @abc.abstractmethod
    async def write(self, *events: typing.Any) -> None:
        """Sends h11 events in one write.

        Raises:
            ClosedError: The caller has not read the data in time.
        """


class Exchange:
    """The `receive` and `send` callables of one request for the application."""

    def __init__(self, connection: Channel, request: h11.Request) -> None:
        self._connection = connection
        self._is_head = request.method == b"HEAD"
        self._body_ended = False
        self._is_whole = not _has_body(request)
        if self._is_whole:
            connection.begin_service()
        self._response: h11.Response | None = None
        self._response_started = False

    async def receive(self) -> Message:
        """Returns the next part of the body."""
        if self._body_ended:
            return {"type": "http.disconnect"}
        try:
            event = await self._connection.next_event()
        except (ClosedError, *STREAM_ERRORS):
            return {"type": "http.disconnect"}
        if isinstance(event, h11.Data):
            return {
                "type": "http.request",
                "body": bytes(event.data),
                "more_body": True,
            }
        self._body_ended = self._is_whole = True
        self._connection.begin_service()
        return {"type": "http.request", "body": b"", "more_body": False}

    async def send(self, message: Message) -> None:
        """Sends the next part of the response."""
        if message["type"] == "http.response.start":
            headers = [*message.get("headers", ()), (b"date", _date())]
            if self._connection.is_last_answer:
                headers.append((b"connection", b"close"))
            self._response = h11.Response(
                status_code=message["status"], headers=headers
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

    async def send_failure(
        self, status: int, *headers: tuple[bytes, bytes]
    ) -> None:
        """Sends a response without a body, the last one on the connection.

        Raises:
            CutError: A response has been started, so the connection must
                be closed.
        """
        if self._response_started:
            raise CutError("the answer was not completed")
        self._response = h11.Response(
            status_code=status,
            headers=[
                (b"content-length", b"0"),
                (b"connection", b"close"),
                (b"date", _date()),
                *headers,
            ],
        )
        await self.send({"type": "http.response.body"})

    async def send_unfinished(self) -> None:
        """Sends a response in place of an application that was given up.

        An application that has not read the whole body has not acted on it; of
        any other, nothing is known.

        Raises:
            CutError: A response has been started, so the connection must
                be closed.
        """
        if self._is_whole:
            await self.send_failure(504)
        else:
            await self.send_failure(503, (b"retry-after", b"1"))


def _has_body(request: h11.Request) -> bool:
    return any(
        name == b"transfer-encoding"
        or (name == b"content-length" and value != b"0")
        for name, value in request.headers
    )


def scope(request: h11.Request, arrived_after: float | None) -> Message:
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
