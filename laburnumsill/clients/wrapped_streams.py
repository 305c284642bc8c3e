"""Wrappers that add behaviour to the network streams of httpcore."""

import typing
from collections import abc

import httpcore


class WrappedStream(httpcore.AsyncNetworkStream):
    """A stream that delegates to another; subclasses override methods.

    Args:
        stream: The underlying stream.
    """

    def __init__(self, stream: httpcore.AsyncNetworkStream) -> None:
        self._stream = stream

    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:
        """Reads, see httpcore."""
        return await self._stream.read(max_bytes, timeout)

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        """Writes, see httpcore."""
        await self._stream.write(buffer, timeout)

    async def aclose(self) -> None:
        """Closes the stream."""
        await self._stream.aclose()

    def get_extra_info(self, info: str) -> typing.Any:
        """Returns information about the stream, see httpcore."""
        return self._stream.get_extra_info(info)


class WrappingBackend(httpcore.AsyncNetworkBackend):
    """A network backend that connects over TCP and wraps each stream.

    Args:
        wrap: Returns the wrapper of a newly connected stream.
    """

    def __init__(
        self,
        wrap: abc.Callable[[httpcore.AsyncNetworkStream], WrappedStream],
    ) -> None:
        self._wrap = wrap
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
        return self._wrap(stream)

    async def sleep(self, seconds: float) -> None:
        """Sleeps, see httpcore."""
        await self._backend.sleep(seconds)
