"""Network streams that know whether an answer ended where its bytes did.

A backend server that sends more than one answer to a request would have the
rest read as the answer to the next one on that connection. So the bytes that
came in are counted against the answer's length, and a connection with bytes
left over is not used again. httpcore asks a stream whether it is readable
before it reuses it, and drops one that is; a stream with bytes left over
says so.
"""

import typing

import httpcore

from laburnumsill.clients import wrapped_streams

MAX_HEAD_BYTES = 128 * 1024
"""Bytes searched for the end of an answer's head."""

_HEAD_END = b"\r\n\r\n"
_LAST_CHUNK = b"0\r\n\r\n"


class CountedStream(wrapped_streams.WrappedStream):
    """A stream that counts the bytes of one answer at a time.

    Args:
        stream: The stream it reads from and writes to.
    """

    def __init__(self, stream: httpcore.AsyncNetworkStream) -> None:
        super().__init__(stream)
        self._reading = False
        self._count = 0
        self._head = b""
        self._last = b""
        self._left_over = False

    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:
        """Reads and counts."""
        chunk = await super().read(max_bytes, timeout)
        self._reading = True
        self._count += len(chunk)
        self._last = chunk
        if _HEAD_END not in self._head and len(self._head) < MAX_HEAD_BYTES:
            self._head += chunk
        return chunk

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        """Writes; the first write after a read begins a new exchange."""
        if self._reading:
            self._reading = False
            self._count = 0
            self._head = b""
        await super().write(buffer, timeout)

    def get_extra_info(self, info: str) -> typing.Any:
        """Returns what the stream says, see the module's docstring."""
        if info == "is_readable" and self._left_over:
            return True
        return super().get_extra_info(info)

    def finish(self, body_bytes: int, *, chunked: bool) -> None:
        """Notes that an answer ended whole.

        Args:
            body_bytes: Length of its body.
            chunked: Whether the body came in chunks; its framing then is
                not counted, but must end with the last bytes read.
        """
        if chunked:
            end = self._last.find(_LAST_CHUNK)
            self._left_over = end + len(_LAST_CHUNK) != len(self._last)
            return
        head_bytes = self._head.find(_HEAD_END) + len(_HEAD_END)
        self._left_over = head_bytes + body_bytes != self._count
