"""A small HTTP client for tests, the demo and the load programs."""

import dataclasses
import typing
from collections import abc

import httpcore
import orjson

CONNECT_TIMEOUT_S = 2.0
DEFAULT_TIMEOUT_S = 15.0


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """A whole answer.

    Attributes:
        status: The HTTP status.
        headers: The headers, with names in lower case.
        body: The body.
    """

    status: int
    headers: dict[str, str]
    body: bytes

    def json(self) -> typing.Any:
        """Returns the body, decoded."""
        return orjson.loads(self.body)

    @property
    def outcome(self) -> str | None:
        """The value of the `Laburnumsill-Outcome` header."""
        return self.headers.get("laburnumsill-outcome")


class Client:
    """Sends requests to one address; each failure is httpcore's own error."""

    def __init__(self, address: str) -> None:
        self._base = f"http://{address}"
        self._pool = httpcore.AsyncConnectionPool(
            max_connections=512, max_keepalive_connections=64
        )

    async def send(
        self,
        method: str,
        path: str,
        body: object | bytes | None = None,
        headers: abc.Mapping[str, str] | None = None,
        timeout_s: float = DEFAULT_TIMEOUT_S,
    ) -> Answer:
        """Returns the answer to one request.

        Args:
            method: The HTTP method.
            path: The path with its query.
            body: Bytes as they are, anything else as JSON.
            headers: Further headers.
            timeout_s: Longest silence, in seconds.
        """
        content = body if isinstance(body, bytes) else b""
        sent = dict(headers or {})
        if body is not None and not isinstance(body, bytes):
            content = orjson.dumps(body)
            sent.setdefault("Content-Type", "application/json")
        timeouts = dict.fromkeys(("read", "write", "pool"), timeout_s)
        timeouts["connect"] = CONNECT_TIMEOUT_S
        response = await self._pool.request(
            method,
            self._base + path,
            headers=list(sent.items()),
            content=content,
            extensions={"timeout": timeouts},
        )
        return Answer(
            response.status,
            {
                name.decode("latin-1").lower(): value.decode("latin-1")
                for name, value in response.headers
            },
            response.content,
        )

    async def close(self) -> None:
        """Closes all connections."""
        await self._pool.aclose()
