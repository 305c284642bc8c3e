"""Network streams that reset the connection of an abandoned request.

After an orderly close the kernel still delivers unsent bytes, so a request that
is delayed by a network partition arrives once the partition heals, long after
it timed out. A reset makes the kernel discard these bytes.
"""

import socket
import struct

import httpcore

from laburnumsill.clients import wrapped_streams

_RESET_ON_CLOSE = struct.pack("ii", 1, 0)
"""A `struct linger` with a timeout of 0 s, so that close sends a reset."""


class ResetStream(wrapped_streams.WrappedStream):
    """A stream that is reset if it is closed before its answer begins.

    Args:
        stream: The underlying stream.
    """

    def __init__(self, stream: httpcore.AsyncNetworkStream) -> None:
        super().__init__(stream)
        self._unanswered = False

    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:
        """Reads; the answer to the last write has begun."""
        chunk = await super().read(max_bytes, timeout)
        self._unanswered = False
        return chunk

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        """Writes; an answer is pending until the next read."""
        self._unanswered = True
        await super().write(buffer, timeout)

    async def aclose(self) -> None:
        """Closes the stream, with a reset if an answer is pending."""
        tcp_socket = self.get_extra_info("socket")
        if (
            self._unanswered
            and tcp_socket is not None
            and tcp_socket.fileno() >= 0
        ):
            tcp_socket.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE
            )
        await super().aclose()
