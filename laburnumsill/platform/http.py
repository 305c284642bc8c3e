"""Minimal ASGI helpers that read whole requests and send whole responses.

A role serves only a few calls, and a web framework would cost memory
(docs/STYLE.md has the figures).
"""

import dataclasses
import sys
import typing
from collections import abc

import msgspec
import trio

from laburnumsill.core import errors
from laburnumsill.wire import arrivals

Scope = abc.Mapping[str, typing.Any]
Receive = abc.Callable[[], abc.Awaitable[dict[str, typing.Any]]]
Send = abc.Callable[[dict[str, typing.Any]], abc.Awaitable[None]]

MAX_BODY_BYTES = 4 * 1024 * 1024
"""Hard limit of the size of a body, whatever the configuration allows."""

MAX_DIGITS = 18
"""Digits of a number in a header. Python refuses to convert strings of more
than 4,300 digits to integers."""

BODY_CHUNK_TIMEOUT_S = 10.0
"""Timeout for the next chunk of a body. Without it, a connection on which no
more data arrives would hold its file descriptor forever. The users' callers
wait at most 10 s for the whole answer."""

BODY_TIMEOUT_S = 50.0
"""Timeout for a whole body. Without it, a caller that sends a byte now and then
would hold its connection forever."""


class BodyTooLargeError(errors.TooLargeError):
    """A body that exceeds the size limit of its call."""

    slug = "body-too-large"


class BodyLateError(errors.UnavailableError):
    """A chunk took `BODY_CHUNK_TIMEOUT_S` or the body `BODY_TIMEOUT_S`."""

    slug = "body-late"
    title = "The body did not arrive in time"


class LateRequestError(errors.UnavailableError):
    """The request may have waited here for longer than its caller waits.

    Nothing was done. A process that stood still reads such requests when it
    resumes; a later one of the same caller may have been answered elsewhere.
    """

    slug = "request-late"
    title = "The request was read too late"


class DisconnectedError(errors.LaburnumsillError):
    """The caller disconnected before its request was complete."""

    slug = "disconnected"


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """A request without its body.

    Attributes:
        method: The HTTP method in upper case.
        path: The decoded path without the query.
        headers: Values by lower-case name; of repeated headers, the last value.
        arrived_after: Monotonic time in s after which it began to arrive, or
            None if the server does not know.
    """

    method: str
    path: str
    headers: abc.Mapping[str, str]
    arrived_after: float | None = None

    @property
    def announced_bytes(self) -> int:
        """Length that the caller has announced for its body, 0 without one."""
        return self.number("content-length") or 0

    def number(self, name: str) -> int | None:
        """Returns the number in a header, None if there is none.

        Args:
            name: The name of the header in lower case. A number of over
                `MAX_DIGITS` digits counts as the largest.
        """
        text = self.headers.get(name, "")
        if not text.isdecimal():
            return None
        return int(text) if len(text) <= MAX_DIGITS else sys.maxsize

    def deadline(self, now: float, patience_s: float) -> float:
        """Returns until when the caller certainly waits, in monotonic s.

        Args:
            now: Present monotonic time in s.
            patience_s: For how long the caller waits for the answer.

        Raises:
            LateRequestError: It may have left already.
        """
        if self.arrived_after is None:
            return now + patience_s
        deadline = self.arrived_after + patience_s
        if now >= deadline:
            waited_s = now - self.arrived_after
            raise LateRequestError(f"it may have waited for {waited_s:.3f} s")
        return deadline


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """An HTTP response.

    Attributes:
        status: The HTTP status.
        body: The whole body.
        retry_after_s: Value of the `Retry-After` header, None to omit it.
        content_type: The media type of the body.
    """

    status: int
    body: bytes = b""
    retry_after_s: int | None = None
    content_type: str = "application/json"


def request_of(scope: Scope) -> Request:
    """Returns the request that an ASGI scope describes."""
    headers = {
        name.decode("latin-1").lower(): value.decode("latin-1")
        for name, value in scope["headers"]
    }
    arrival = scope.get("extensions", {}).get(arrivals.EXTENSION, {})
    return Request(
        scope["method"], scope["path"], headers, arrival.get(arrivals.AFTER)
    )


async def read_body(
    receive: Receive, limit: int = MAX_BODY_BYTES, announced: int = 0
) -> bytes:
    """Returns the whole body of a request.

    Args:
        receive: The `receive` callable of the ASGI call.
        limit: Size limit in bytes; `MAX_BODY_BYTES` holds in any case.
        announced: The length that the caller has announced. A body that is
            too large is refused unread.

    Raises:
        BodyLateError: A chunk took `BODY_CHUNK_TIMEOUT_S`, or the whole body
            `BODY_TIMEOUT_S`.
        BodyTooLargeError: The body is larger than `limit`.
        DisconnectedError: The caller disconnected.
    """
    limit = min(limit, MAX_BODY_BYTES)
    if announced > limit:
        raise BodyTooLargeError(f"{announced} bytes announced, over {limit}")
    # A list of small chunks would use many times their size in memory.
    body = bytearray()
    deadline = trio.current_time() + BODY_TIMEOUT_S
    while True:
        message = await _next_message(receive, deadline)
        if message["type"] == "http.disconnect":
            raise DisconnectedError("the caller went away")
        body += message.get("body", b"")
        if len(body) > limit:
            raise BodyTooLargeError(f"over {limit} bytes")
        if not message.get("more_body", False):
            return bytes(body)


async def _next_message(
    receive: Receive, deadline: float
) -> dict[str, typing.Any]:
    chunk_deadline = trio.current_time() + BODY_CHUNK_TIMEOUT_S
    with trio.move_on_at(min(deadline, chunk_deadline)):
        return await receive()
    raise BodyLateError("no more of it arrived in time")


async def send_answer(send: Send, answer: Answer) -> None:
    """Sends a whole answer.

    Args:
        send: The `send` callable of the ASGI call.
        answer: The answer.
    """
    headers = [
        (b"content-type", answer.content_type.encode()),
        (b"content-length", str(len(answer.body)).encode()),
    ]
    if answer.retry_after_s is not None:
        headers.append((b"retry-after", str(answer.retry_after_s).encode()))
    await send(
        {
            "type": "http.response.start",
            "status": answer.status,
            "headers": headers,
        }
    )
    await send({"type": "http.response.body", "body": answer.body})


def json_answer(status: int, document: object) -> Answer:
    """Returns an answer with a JSON body."""
    return Answer(status, msgspec.json.encode(document))


def failure(status: int, error: errors.LaburnumsillError) -> Answer:
    """Returns the answer to a request that failed."""
    retry = error.retry_after_s
    document = {
        "type": error.slug,
        "title": error.title,
        "detail": error.detail,
    }
    return Answer(
        status,
        msgspec.json.encode(document),
        None if retry is None else max(1, round(retry)),
    )
