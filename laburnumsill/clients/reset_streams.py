"""Network streams that are reset where an exchange was given up.

A connection that is closed in order still delivers what waits to be sent, so
an order that a cut holds back arrives when the cut ends, long after it was
given up. A reset makes the kernel forget it.
"""

import socket
import struct

import httpcore

from laburnumsill.clients import wrapped_streams

_RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class ResetStream(wrapped_streams.WrappedStream):
    """A stream that is reset if it is closed before an answer has begun.

    Args:
        stream: The stream it reads from and writes to.
    """

    def __init__(self, stream: httpcore.AsyncNetworkStream) -> None:
        super().__init__(stream)
        self._unanswered = False

    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:
        """Reads."""
        chunk = await super().read(max_bytes, timeout)
        self._unanswered = False
        return chunk

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        """Writes."""
        self._unanswered = True
        await super().write(buffer, timeout)

    async def aclose(self) -> None:
        """Closes the stream."""
        own = self.get_extra_info("socket")
        if self._unanswered and own is not None and own.fileno() >= 0:
            own.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
        await super().aclose()
