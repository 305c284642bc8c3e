"""Network streams that are reset where an exchange was given up.

A connection that is closed in order still delivers what waits to be sent, so
an order that a cut holds back arrives when the cut ends, long after it was
given up. A reset makes the kernel forget it.
"""

import socket
import struct
import typing
from collections import abc

import httpcore

_RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class ResetStream(httpcore.AsyncNetworkStream):
    """A stream that is reset if it is closed before an answer has begun.

    Args:
        stream: The stream it reads from and writes to.
    """

    def __init__(self, stream: httpcore.AsyncNetworkStream) -> None:
        self._stream = stream
        self._unanswered = False

    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:
        """Reads."""
        chunk = await self._stream.read(max_bytes, timeout)
        self._unanswered = False
        return chunk

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        """Writes."""
        self._unanswered = True
        await self._stream.write(buffer, timeout)

    async def aclose(self) -> None:
        """Closes the stream."""
        own = self._stream.get_extra_info("socket")
        if self._unanswered and own is not None and own.fileno() >= 0:
            own.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
        await self._stream.aclose()

    def get_extra_info(self, info: str) -> typing.Any:
        """Returns what the stream says."""
        return self._stream.get_extra_info(info)


class ResetBackend(httpcore.AsyncNetworkBackend):
    """Makes such streams over TCP."""

    def __init__(self) -> None:
        self._backend = httpcore.TrioBackend()

    async def connect_tcp(
        self,
        host: str,
        port: int,
        timeout: float | None = None,
        local_address: str | None = None,
        socket_options: abc.Iterable[typing.Any] | None = None,
    ) -> httpcore.AsyncNetworkStream:
        """Connects, see httpcore."""
        stream = await self._backend.connect_tcp(
            host, port, timeout, local_address, socket_options
        )
        return ResetStream(stream)

    async def sleep(self, seconds: float) -> None:
        """Sleeps."""
        await self._backend.sleep(seconds)
