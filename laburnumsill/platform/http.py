"""Plain ASGI: a request read whole, an answer sent whole.

A role has a few calls and needs none of what a framework would bring, which
costs memory (docs/STYLE.md has the figures).
"""

import dataclasses
import typing
from collections import abc

import msgspec
import trio

from laburnumsill.core import errors

Scope = abc.Mapping[str, typing.Any]
Receive = abc.Callable[[], abc.Awaitable[dict[str, typing.Any]]]
Send = abc.Callable[[dict[str, typing.Any]], abc.Awaitable[None]]

MAX_BODY_BYTES = 4 * 1024 * 1024
"""Largest body that is read at all, whatever the configuration allows."""

PIECE_WITHIN_S = 10.0
"""Longest wait for the next piece of a body. A caller whose connection has
gone silent would keep its descriptor for ever; the users' callers wait 10 s
for the whole answer at most."""


class BodyTooLargeError(errors.TooLargeError):
    """A body over the limit of its call."""

    slug = "body-too-large"


class BodyLateError(errors.UnavailableError):
    """Nothing came of a body for so long that its caller is given up."""

    slug = "body-late"
    title = "The body did not arrive in time"


class DisconnectedError(errors.LaburnumsillError):
    """The caller went away before its request was whole."""

    slug = "disconnected"


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """One request without its body.

    Attributes:
        method: In capitals.
        path: Decoded, without the query.
        headers: By name in lower case; the last of equal ones counts.
    """

    method: str
    path: str
    headers: abc.Mapping[str, str]


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """One answer.

    Attributes:
        status: The HTTP status.
        body: The whole body.
        retry_after_s: When to come back, None for nothing said.
        content_type: Of the body.
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
    return Request(scope["method"], scope["path"], headers)


async def read_body(receive: Receive, limit: int = MAX_BODY_BYTES) -> bytes:
    """Returns the whole body.

    Raises:
        BodyLateError: Nothing came for `PIECE_WITHIN_S`.
        BodyTooLargeError: It is larger than `limit`.
        DisconnectedError: The caller went away.
    """
    pieces = []
    size = 0
    while True:
        message = await _next_message(receive)
        if message["type"] == "http.disconnect":
            raise DisconnectedError("the caller went away")
        piece = message.get("body", b"")
        size += len(piece)
        if size > limit:
            raise BodyTooLargeError(f"over {limit} bytes")
        pieces.append(piece)
        if not message.get("more_body", False):
            return b"".join(pieces)


async def _next_message(receive: Receive) -> dict[str, typing.Any]:
    with trio.move_on_after(PIECE_WITHIN_S):
        return await receive()
    raise BodyLateError(f"nothing for {PIECE_WITHIN_S:.0f} s")


async def send_answer(send: Send, answer: Answer, close: bool = False) -> None:
    """Sends an answer whole.

    Args:
        send: Of the ASGI call.
        answer: What to send.
        close: Whether the connection is closed after it.
    """
    headers = [
        (b"content-type", answer.content_type.encode()),
        (b"content-length", str(len(answer.body)).encode()),
    ]
    if answer.retry_after_s is not None:
        headers.append((b"retry-after", str(answer.retry_after_s).encode()))
    if close:
        headers.append((b"connection", b"close"))
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
