"""HTTP endpoints for requests to services and for the state of a key.

`ServicesApp` is a plain ASGI application, because answers are streamed and a
truncated answer must never look complete: the application then returns without
its last message, and the HTTP server closes the caller's connection.
"""

import typing
from collections import abc

import trio
from starlette import requests as starlette_requests
from starlette import responses
from starlette import routing

from laburnumsill.api import problems
from laburnumsill.clients import backend
from laburnumsill.core import clock as clocks
from laburnumsill.core import errors
from laburnumsill.core import ids
from laburnumsill.core import logs
from laburnumsill.requests import answer as answers
from laburnumsill.requests import headers
from laburnumsill.requests import messages
from laburnumsill.requests import router as routers

PREFIX = b"/v1/services/"
MAX_HEADER_BYTES = 16 * 1024
"""Total size of the names and values of all headers of a request."""

MAX_DISCARDED_BYTES = 4 * 1024 * 1024
DISCARD_TIMEOUT_S = 1.0
"""Limits for reading and discarding the body of a refused request before the
answer is sent. A connection that is closed with unread bytes is reset, and the
caller may lose the answer."""

REFUSED_BODY_TIMEOUT_S = 5.0
"""Timeout for discarding the rest of a refused body after the answer."""

Scope = abc.MutableMapping[str, typing.Any]
Receive = abc.Callable[[], abc.Awaitable[abc.MutableMapping[str, typing.Any]]]
Send = abc.Callable[[abc.MutableMapping[str, typing.Any]], abc.Awaitable[None]]


class HeadersTooLargeError(errors.InvalidInputError):
    """The headers of a request are over `MAX_HEADER_BYTES`."""

    slug = "headers-too-large"
    status = 431
    title = "Headers too large"


class ServicesApp:
    """The endpoint ``/v1/services/{service}/{path}``, for all methods.

    Args:
        router: Routes requests to backend servers.
        clock: The process's clock.
    """

    def __init__(
        self, router: routers.RequestRouter, clock: clocks.Clock | None = None
    ) -> None:
        self._router = router
        self._clock = clock or clocks.SystemClock()

    async def __call__(
        self, scope: Scope, receive: Receive, send: Send
    ) -> None:
        """Answers one request."""
        caller = _Caller(receive, send, scope["method"] == "HEAD")
        request_id = ids.fresh("req")
        async with trio.open_nursery() as nursery:
            nursery.start_soon(caller.watch_disconnect, nursery.cancel_scope)
            await self._serve(scope, caller, request_id)
            if not caller.body_refused:
                nursery.cancel_scope.cancel()
            nursery.cancel_scope.deadline = (
                trio.current_time() + REFUSED_BODY_TIMEOUT_S
            )

    async def _serve(
        self, scope: Scope, caller: "_Caller", request_id: str
    ) -> None:
        try:
            head = _request_head(scope, request_id, self._clock.monotonic())
            answer = await self._router.route(head, caller.body())
        except errors.LaburnumsillError as error:
            await caller.problem(error, request_id)
            return
        except Exception as error:  # callers get no internal details
            logs.event("route-failed", level="ERROR", error=repr(error))
            failure = errors.LaburnumsillError("unexpected failure")
            await caller.problem(failure, request_id)
            return
        try:
            await caller.answer(answer, request_id)
        except errors.LaburnumsillError as error:
            logs.event(
                "answer-cut",
                level="WARNING",
                request=request_id,
                error=error.slug,
            )
        finally:
            with trio.CancelScope(shield=True):
                await answer.aclose()


class _Caller:
    """The connection to a caller, for one request and its answer."""

    def __init__(self, receive: Receive, send: Send, head_only: bool) -> None:
        self._receive = receive
        self._send = send
        self._head_only = head_only
        self._body_read = trio.Event()
        self._body_refused = False

    @property
    def body_refused(self) -> bool:
        """Whether the answer was started before the body was read."""
        return self._body_refused

    async def body(self) -> abc.AsyncIterator[bytes]:
        """Yields the body as it arrives."""
        while True:
            message = await self._receive()
            if message["type"] == "http.disconnect":
                raise errors.InvalidInputError("the body was cut off")
            yield message.get("body", b"")
            if not message.get("more_body", False):
                self._body_read.set()
                return

    async def discard_body(self) -> None:
        """Reads and discards the rest of the body, within the limits."""
        remaining = MAX_DISCARDED_BYTES
        with trio.move_on_after(DISCARD_TIMEOUT_S):
            while remaining > 0 and not self._body_read.is_set():
                message = await self._receive()
                remaining -= len(message.get("body", b""))
                if not message.get("more_body", False):
                    self._body_read.set()

    async def watch_disconnect(self, scope: trio.CancelScope) -> None:
        """Cancels `scope` when the caller disconnects.

        Discards the chunks of a refused body that still arrive: if they are
        not read, the HTTP server blocks and holds them in memory.
        """
        await self._body_read.wait()
        while (await self._receive())["type"] != "http.disconnect":
            pass
        scope.cancel()

    async def answer(self, answer: messages.Answer, request_id: str) -> None:
        """Streams an answer to the caller."""
        own_headers = (
            (headers.OUTCOME, str(answer.outcome).encode()),
            (headers.REQUEST_ID, request_id.encode()),
        )
        sent_headers = list(answer.headers) + list(own_headers)
        body = answer.complete_body
        bodiless = answer.status in backend.BODILESS_STATUSES
        if body is not None and not (bodiless or _has_length(sent_headers)):
            sent_headers.append((b"content-length", str(len(body)).encode()))
        await self._start(answer.status, sent_headers)
        async for chunk in answer.chunks():
            await self._chunk(chunk, more=True)
        await self._chunk(b"", more=False)

    async def problem(
        self, error: errors.LaburnumsillError, request_id: str
    ) -> None:
        """Answers with a problem response and the request's outcome."""
        await self.discard_body()
        if not self._body_read.is_set():
            self._body_refused = True
            self._body_read.set()
        response = problems.problem(error)
        outcome = answers.outcome_of(error)
        sent_headers = [
            *response.raw_headers,
            (headers.OUTCOME, str(outcome).encode()),
            (headers.REQUEST_ID, request_id.encode()),
        ]
        await self._start(response.status_code, sent_headers)
        await self._chunk(bytes(response.body), more=False)

    async def _start(
        self, status: int, sent_headers: list[tuple[bytes, bytes]]
    ) -> None:
        await self._send(
            {
                "type": "http.response.start",
                "status": status,
                "headers": sent_headers,
            }
        )

    async def _chunk(self, chunk: bytes, *, more: bool) -> None:
        message = {
            "type": "http.response.body",
            "body": b"" if self._head_only else chunk,
            "more_body": more,
        }
        # After the last message the HTTP server reports a disconnect while it
        # is still completing the response. The shield keeps
        # `watch_disconnect` from cancelling that.
        with trio.CancelScope(shield=not more):
            await self._send(message)


def routes(router: routers.RequestRouter) -> list[routing.Route]:
    """Returns the route that reads the state of a key."""

    async def get_request(
        request: starlette_requests.Request,
    ) -> responses.Response:
        service = request.query_params.get("service", "")
        account = request.query_params.get("account", messages.ANONYMOUS)
        if not service:
            raise errors.InvalidInputError("the query lacks service=")
        key = messages.claim_key(service, account, request.path_params["key"])
        return problems.json_response(await router.key_status(key))

    return [
        routing.Route(
            "/v1/requests/{key:path}",
            problems.guarded(get_request),
            methods=["GET"],
        )
    ]


def _request_head(
    scope: Scope, request_id: str, arrived_at: float
) -> messages.RequestHead:
    received = tuple((name.lower(), value) for name, value in scope["headers"])
    if sum(len(name) + len(value) for name, value in received) > (
        MAX_HEADER_BYTES
    ):
        raise HeadersTooLargeError(
            f"the headers are over {MAX_HEADER_BYTES} bytes"
        )
    raw_path: bytes = scope.get("raw_path") or scope["path"].encode()
    service, _, rest = raw_path.removeprefix(PREFIX).partition(b"/")
    target = b"/" + rest
    if scope["query_string"]:
        target += b"?" + scope["query_string"]
    return messages.RequestHead(
        request_id,
        service.decode("latin-1"),
        scope["method"],
        target,
        received,
        arrived_at,
    )


def _has_length(fields: abc.Iterable[tuple[bytes, bytes]]) -> bool:
    return any(name == b"content-length" for name, _ in fields)
