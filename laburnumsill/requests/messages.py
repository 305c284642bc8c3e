"""What flows through the filters: a request on its way in, an answer out."""

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
"""The account of callers that name none, on an equal footing with others."""


class Outcome(enum.StrEnum):
    """What a caller is told in `Laburnumsill-Outcome`.

    `ANSWERED`: a backend server ran it and this is its whole answer.
    `NOT_RUN`: no byte of it can have reached a backend server.
    `UNKNOWN`: it may have run.
    `ACCEPTED`: it is kept and will run, see durable requests.
    """

    ANSWERED = "answered"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"
    ACCEPTED = "accepted"


class DrainingError(errors.UnavailableError):
    """This VM is shutting down; another one takes the request."""

    slug = "draining"
    title = "This VM is shutting down"


class HomeUnreachableError(errors.OutcomeUnknownError):
    """The group that keeps the request's record cannot be reached.

    Nothing was sent for this request. Whether an earlier send of the same
    key ran cannot be told, so the outcome of the key is unknown.
    """

    slug = "home-unreachable"
    status = 503
    title = "The home group of the request cannot be reached"
    default_retry_after_s = 1.0


class AnswerNotKeptError(errors.ConflictError):
    """The request was answered, and the answer was not kept for resends."""

    slug = "answer-not-kept"
    title = "The request was answered; its answer was too large to keep"


@dataclasses.dataclass(frozen=True, slots=True)
class RequestHead:
    """A request as it came in, before its body is read.

    Attributes:
        request_id: Fresh for each request, for logs and the caller.
        service: The service it names.
        method: The HTTP method.
        target: Path and query at the backend server.
        headers: All headers, names in lower case.
        arrived: Monotonic point of its arrival.
    """

    request_id: str
    service: str
    method: str
    target: bytes
    headers: backend.Headers
    arrived: float


@dataclasses.dataclass(frozen=True)
class RoutedRequest:
    """A classified request.

    Attributes:
        request_id: See `RequestHead`.
        service: The service.
        class_name: Its class.
        request_class: The class as configured.
        account: Its client account.
        weight: The account's weight.
        max_in_flight: The account's limit on one VM.
        key: The idempotency key, or None.
        method: The HTTP method.
        target: Path and query at the backend server.
        headers: End-to-end headers, names in lower case.
        body: The whole body.
        arrived: Monotonic point of its arrival.
        deadline: Monotonic point by which it must have ended.
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
    arrived: float
    deadline: float

    @property
    def claim_key(self) -> str:
        """The key in the name space of its service and account."""
        return claim_key(self.service, self.account, self.key or "")

    @functools.cached_property
    def digest(self) -> str:
        """Digest of all that a resend must repeat."""
        head = f"{self.method} ".encode() + self.target + b"\0"
        return hashing.digest(head + self.body)


def claim_key(service: str, account: str, key: str) -> str:
    """Returns a caller's key in the name space of service and account.

    Examples:
        >>> claim_key("huts", "tana", "k1")
        'huts/tana/k1'
    """
    return f"{service}/{account}/{key}"


class Answer:
    """What the caller gets: a head, and a body that may be streamed.

    Args:
        outcome: What became of the request.
        status: The HTTP status.
        headers: Headers, names in lower case.
        body: The whole body, or its chunks, which raise when they are cut.
        on_close: Called once when the answer was passed on or given up.
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
        """Calls `callback` too when the answer is closed."""
        self._on_close.append(callback)

    @property
    def whole_body(self) -> bytes | None:
        """The body if it is at hand whole, else None."""
        return self._body if isinstance(self._body, bytes) else None

    async def chunks(self) -> typing.AsyncIterator[bytes]:
        """Yields the body; ends only when it is whole."""
        if isinstance(self._body, bytes):
            if self._body:
                yield self._body
            return
        async for chunk in self._body:
            yield chunk

    async def aclose(self) -> None:
        """Gives back what the answer holds; may be called again."""
        callbacks = self._on_close
        self._on_close = []
        for callback in callbacks:
            await callback()
