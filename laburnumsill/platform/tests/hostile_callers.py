"""Crowds of callers that hold or send far more than they may.

A caller opens one connection, sends what its script says and then holds the
connection open. It never reads an answer.
"""

import contextlib
import dataclasses
import itertools
from collections import abc

import h11
import trio

from laburnumsill.platform.tests import standin

PIECE = b" " * 65_536

SENDING_S = 20.0
"""Time for a crowd to send what it wants to; a victim may stop to read."""

SETTLE_S = 1.0
"""Time for the victim to read what has arrived."""

TRICKLE_INTERVAL_S = 2.0

MOST_CONNECTING = 100
"""Connections that a crowd opens at once; a daemon keeps more waiting."""

RECEIVE_BYTES = 65_536


@dataclasses.dataclass(frozen=True, slots=True)
class Script:
    """What one connection sends.

    Attributes:
        pieces: Sent one after the other.
        trickles: Whether single bytes follow for ever, with pauses.
    """

    pieces: abc.Iterable[bytes]
    trickles: bool = False


Scripts = abc.Callable[[int], Script]
"""Returns the script of a connection by its number."""


def head(
    method: str, path: str, *headers: str, key: str = standin.KEY
) -> bytes:
    """Returns the begin of a request, up to the body."""
    lines = [
        f"{method} {path} HTTP/1.1",
        f"Host: {standin.HOST}",
        f"Authorization: Bearer {key}",
        *headers,
    ]
    return "\r\n".join([*lines, "", ""]).encode()


def body(size: int) -> abc.Iterator[bytes]:
    """Yields the pieces of a body of `size` bytes."""
    yield from itertools.repeat(PIECE, size // len(PIECE))
    yield PIECE[: size % len(PIECE)]


def announced(
    method: str, path: str, size: int, sent: int, key: str = standin.KEY
) -> Scripts:
    """Announces `size` bytes and sends the first `sent` of them.

    Args:
        method: The HTTP method.
        path: The path, in which ``{}`` is the number of the connection.
        size: The length that the headers announce.
        sent: Number of bytes that are sent.
        key: The API key.
    """

    def script(number: int) -> Script:
        length = f"Content-Length: {size}"
        begin = head(method, path.format(f"{number:016x}"), length, key=key)
        return Script(itertools.chain([begin], body(sent)))

    return script


def chunked(method: str, path: str, sent: int) -> Scripts:
    """Sends chunks of `sent` bytes in all and never the last one."""
    chunk = f"{len(PIECE):x}\r\n".encode() + PIECE + b"\r\n"

    def script(number: int) -> Script:
        coding = "Transfer-Encoding: chunked"
        begin = head(method, path.format(f"{number:016x}"), coding)
        chunks = itertools.repeat(chunk, sent // len(PIECE))
        return Script(itertools.chain([begin], chunks))

    return script


def slow(method: str, path: str, size: int, sent: int) -> Scripts:
    """Sends `sent` of `size` bytes, then one more now and then."""

    def script(number: int) -> Script:
        length = f"Content-Length: {size}"
        begin = head(method, path.format(f"{number:016x}"), length)
        return Script(itertools.chain([begin], body(sent)), trickles=True)

    return script


def endless_headers(method: str, path: str, size: int) -> Scripts:
    """Sends headers of `size` bytes and never their end."""

    def script(number: int) -> Script:
        begin = head(method, path.format(f"{number:016x}"))[:-2]
        return Script([begin + b"X-Filler: " + b"x" * (size - len(begin))])

    return script


def pipelined(method: str, path: str, calls: int) -> Scripts:
    """Sends calls without a body one after the other."""

    def script(number: int) -> Script:
        return Script([head(method, path) * calls])

    return script


class Crowd:
    """Connections to one address.

    Args:
        address: The address, ``host:port``.
        connections: Number of connections.
        scripts: What the connections send.

    Attributes:
        connected: Number of connections that were established.
    """

    def __init__(
        self, address: str, connections: int, scripts: Scripts
    ) -> None:
        self.connected = 0
        self._sending = connections
        self._finished = trio.Event()
        self._host, _, self._port = address.rpartition(":")
        self._scripts = scripts
        self._connecting = trio.CapacityLimiter(MOST_CONNECTING)

    async def run(self, number: int) -> None:
        """Plays one connection until it is cancelled."""
        async with self._connecting:
            stream = await trio.open_tcp_stream(self._host, int(self._port))
        self.connected += 1
        script = self._scripts(number)
        async with stream:
            with contextlib.suppress(trio.BrokenResourceError):
                for piece in script.pieces:
                    await stream.send_all(piece)
            self._sending -= 1
            if not self._sending:
                self._finished.set()
            with contextlib.suppress(trio.BrokenResourceError):
                while script.trickles:
                    await trio.sleep(TRICKLE_INTERVAL_S)
                    await stream.send_all(b" ")
            await trio.sleep_forever()

    async def until_finished(self) -> None:
        """Waits until the connections have sent what they can."""
        with trio.move_on_after(SENDING_S):
            await self._finished.wait()
        await trio.sleep(SETTLE_S)


@contextlib.asynccontextmanager
async def holding(
    address: str, connections: int, scripts: Scripts
) -> abc.AsyncIterator[Crowd]:
    """Yields a crowd that has sent what it can and holds its connections.

    Args:
        address: The address that it calls, ``host:port``.
        connections: Number of connections.
        scripts: What the connections send.
    """
    crowd = Crowd(address, connections, scripts)
    async with trio.open_nursery() as nursery:
        for number in range(connections):
            nursery.start_soon(crowd.run, number)
        await crowd.until_finished()
        yield crowd
        nursery.cancel_scope.cancel()


async def status_while_sending(
    address: str, path: str, size: int, pause_s: float
) -> int:
    """Returns the status of the whole answer to a body that is being sent.

    Args:
        address: The address, ``host:port``.
        path: The path to which the body is posted.
        size: Size of the body, in bytes.
        pause_s: Pause after each piece, in seconds.
    """
    protocol = h11.Connection(h11.CLIENT)
    headers = [
        ("host", standin.HOST),
        ("authorization", f"Bearer {standin.KEY}"),
        ("content-length", str(size)),
    ]
    request = h11.Request(method="POST", target=path, headers=headers)
    host, _, port = address.rpartition(":")
    stream = await trio.open_tcp_stream(host, int(port))

    async def send() -> None:
        await stream.send_all(protocol.send(request))
        for piece in body(size):
            await stream.send_all(piece)
            await trio.sleep(pause_s)

    async with stream, trio.open_nursery() as nursery:
        nursery.start_soon(send)
        status = 0
        while True:
            event = protocol.next_event()
            if event is h11.NEED_DATA:
                data = await stream.receive_some(RECEIVE_BYTES)
                protocol.receive_data(data)
            elif isinstance(event, h11.Response):
                status = event.status_code
            elif isinstance(event, h11.EndOfMessage):
                nursery.cancel_scope.cancel()
                return status
