"""A minimal HTTP/1.1 server and client on asyncio streams."""

import asyncio
import dataclasses
import json
import typing
from collections import abc

REASONS = {200: "OK", 400: "Bad Request", 409: "Conflict", 421: "Misdirected"}


@dataclasses.dataclass
class Request:
    """A request as the server has read it.

    Attributes:
        method: The method.
        path: The path.
        headers: Values by lower-case name.
        body: The parsed JSON body, None without one.
    """

    method: str
    path: str
    headers: dict[str, str]
    body: typing.Any


Handler = abc.Callable[
    [Request], abc.Awaitable[tuple[int, dict[str, typing.Any]] | None]
]
"""Returns status and body of the answer, None to close the connection."""


class Server:
    """Serves requests on one address until `close`.

    Args:
        handler: Answers the requests.
        host: The address to listen on.
        port: The port, 0 for a free one.
    """

    def __init__(self, handler: Handler, host: str, port: int = 0) -> None:
        self._handler = handler
        self._host = host
        self._port = port
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def address(self) -> str:
        """The address, `host:port`."""
        return f"{self._host}:{self._port}"

    async def start(self) -> None:
        """Starts to listen."""
        self._server = await asyncio.start_server(
            self._accept, self._host, self._port
        )
        self._port = self._server.sockets[0].getsockname()[1]

    async def close(self) -> None:
        """Stops listening and closes all connections."""
        if self._server is not None:
            self._server.close()
        pending = set(self._tasks)
        while pending:  # a cancellation may be lost in `asyncio.wait_for`
            for task in pending:
                task.cancel()
            _, pending = await asyncio.wait(pending, timeout=0.2)

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        try:
            await self._serve(reader, writer)
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self._tasks.discard(task)
            writer.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while True:
            request = await read_request(reader)
            if request is None:
                return
            answer = await self._handler(request)
            if answer is None:
                return
            status, body = answer
            raw = json.dumps(body).encode()
            head = (
                f"HTTP/1.1 {status} {REASONS.get(status, 'Answer')}\r\n"
                "Content-Type: application/json\r\n"
                f"Content-Length: {len(raw)}\r\n\r\n"
            )
            writer.write(head.encode() + raw)
            await writer.drain()


async def read_request(reader: asyncio.StreamReader) -> Request | None:
    """Returns the next request, None at the end of the connection."""
    line = await reader.readline()
    if not line:
        return None
    method, path, _ = line.decode("latin-1").split(" ", 2)
    headers = await _read_headers(reader)
    length = int(headers.get("content-length", "0"))
    raw = await reader.readexactly(length) if length else b""
    return Request(method, path, headers, json.loads(raw) if raw else None)


async def _read_headers(reader: asyncio.StreamReader) -> dict[str, str]:
    headers = {}
    while True:
        line = (await reader.readline()).decode("latin-1").strip()
        if not line:
            return headers
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()


async def call(
    method: str,
    address: str,
    path: str,
    body: typing.Any = None,
    headers: abc.Mapping[str, str] | None = None,
    timeout_s: float = 1.0,
) -> tuple[int, typing.Any]:
    """Returns status and body of the answer; status 0 without one."""
    try:
        return await asyncio.wait_for(
            _call(method, address, path, body, headers or {}), timeout_s
        )
    except (TimeoutError, OSError, ValueError, EOFError):
        return 0, None


async def _call(
    method: str,
    address: str,
    path: str,
    body: typing.Any,
    headers: abc.Mapping[str, str],
) -> tuple[int, typing.Any]:
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        raw = b"" if body is None else json.dumps(body).encode()
        fields = {
            "Host": address,
            "Content-Type": "application/json",
            "Content-Length": str(len(raw)),
            "Connection": "close",
            **headers,
        }
        lines = "".join(f"{name}: {text}\r\n" for name, text in fields.items())
        writer.write(f"{method} {path} HTTP/1.1\r\n{lines}\r\n".encode() + raw)
        await writer.drain()
        status_line = await reader.readline()
        if not status_line:
            raise EOFError("the connection ended without an answer")
        status = int(status_line.split()[1])
        answer_headers = await _read_headers(reader)
        length = int(answer_headers.get("content-length", "0"))
        content = await reader.readexactly(length) if length else b""
        return status, json.loads(content) if content else None
    finally:
        writer.close()
