"""The messages of the pipeline: requests, answers and outcomes."""

import dataclasses
import enum
import functools
import typing
from collections import abc

from laburnumsill.clients import backend
from laburnumsill.config import models
from laburnumsill.core import errors
from laburnumsill.core import hashing

ANONYMOUS = "anonymous"
"""The account of callers that name none; treated like any other account."""


class Outcome(enum.StrEnum):
    """The outcome of a request, as in the header `Laburnumsill-Outcome`.

    `ANSWERED`: a backend server ran the request and returned this answer.
    `NOT_RUN`: no byte of the request can have reached a backend server.
    `UNKNOWN`: the request may have run.
    `ACCEPTED`: the durable request is committed and will run.
    """

    ANSWERED = "answered"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"
    ACCEPTED = "accepted"


class DrainingError(errors.UnavailableError):
    """This VM is shutting down and accepts no new requests."""

    slug = "draining"
    title = "This VM is shutting down"


class HomeUnreachableError(errors.OutcomeUnknownError):
    """The group that stores the request's record cannot be reached.

    Nothing was sent for this request. An earlier send of the same key may
    have run, so the outcome of the key is unknown.
    """

    slug = "home-unreachable"
    status = 503
    title = "The home group of the request cannot be reached"
    default_retry_after_s = 1.0


class AnswerNotKeptError(errors.ConflictError):
    """The request was answered, but its answer is not stored for resends."""

    slug = "answer-not-kept"
    title = "The request was answered; its answer was too large to keep"


@dataclasses.dataclass(frozen=True, slots=True)
class RequestHead:
    """The head of a received request, before its body is read.

    Attributes:
        request_id: Unique id, for logs and the caller.
        service: The requested service.
        method: The HTTP method.
        target: Path and query at the backend server.
        headers: All headers, names in lower case.
        arrived_at: Monotonic time of arrival.
    """

    request_id: str
    service: str
    method: str
    target: bytes
    headers: backend.Headers
    arrived_at: float


@dataclasses.dataclass(frozen=True)
class RoutedRequest:
    """A complete, classified request.

    Attributes:
        request_id: See `RequestHead`.
        service: The service.
        class_name: The name of the request's class.
        request_class: The class as configured.
        account: The client account.
        weight: The account's weight.
        max_in_flight: The account's concurrency limit on one VM.
        key: The idempotency key, or None.
        method: The HTTP method.
        target: Path and query at the backend server.
        headers: End-to-end headers, names in lower case.
        body: The complete body.
        arrived_at: Monotonic time of arrival.
        deadline: Deadline of the request, in monotonic time.
    """

    request_id: str
    service: str
    class_name: str
    request_class: models.RequestClass
    account: str
    weight: float
    max_in_flight: int
    key: str | None
    method: str
    target: bytes
    headers: backend.Headers
    body: bytes
    arrived_at: float
    deadline: float

    @property
    def claim_key(self) -> str:
        """The key in the namespace of its service and account."""
        return claim_key(self.service, self.account, self.key or "")

    @functools.cached_property
    def digest(self) -> str:
        """Digest of method, target and body, which must match on resends."""
        head = f"{self.method} ".encode() + self.target + b"\0"
        return hashing.digest(head + self.body)


def claim_key(service: str, account: str, key: str) -> str:
    """Returns a caller's key in the namespace of its service and account.

    Examples:
        >>> claim_key("huts", "tana", "k1")
        'huts/tana/k1'
    """
    return f"{service}/{account}/{key}"


class Answer:
    """An answer to the caller; the body may be streamed.

    Args:
        outcome: The outcome of the request.
        status: The HTTP status.
        headers: Headers, names in lower case.
        body: The complete body, or its chunks; the iterator raises an error
            if the body is cut off.
        on_close: Called once when the answer is closed.
    """

    def __init__(
        self,
        outcome: Outcome,
        status: int,
        headers: backend.Headers,
        body: bytes | abc.AsyncIterator[bytes],
        on_close: abc.Callable[[], abc.Awaitable[None]] | None = None,
    ) -> None:
        self.outcome = outcome
        self.status = status
        self.headers = headers
        self._body = body
        self._on_close = [] if on_close is None else [on_close]

    def add_close_callback(
        self, callback: abc.Callable[[], abc.Awaitable[None]]
    ) -> None:
        """Adds a callback for the closing of the answer."""
        self._on_close.append(callback)

    @property
    def complete_body(self) -> bytes | None:
        """The complete body, or None if it is streamed."""
        return self._body if isinstance(self._body, bytes) else None

    async def chunks(self) -> typing.AsyncIterator[bytes]:
        """Yields the body; raises an error if it is incomplete."""
        if isinstance(self._body, bytes):
            if self._body:
                yield self._body
            return
        async for chunk in self._body:
            yield chunk

    async def aclose(self) -> None:
        """Releases the answer's resources; idempotent."""
        callbacks = self._on_close
        self._on_close = []
        for callback in callbacks:
            await callback()
