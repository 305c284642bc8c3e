"""Network streams that detect surplus bytes after an answer.

If a backend server sends more than one answer to a request, the surplus would
be read as the answer to the next request on that connection. So the bytes
received are compared with the length of the answer, and a connection with
surplus bytes is not reused: httpcore checks whether a stream is readable
before it reuses the connection, and closes it if so; a stream with surplus
bytes reports that it is readable.
"""

import typing

import httpcore

from laburnumsill.clients import wrapped_streams

MAX_HEAD_BYTES = 128 * 1024
"""Number of leading bytes in which the end of an answer's head is searched."""

_HEAD_END = b"\r\n\r\n"
_LAST_CHUNK = b"0\r\n\r\n"


class CountedStream(wrapped_streams.WrappedStream):
    """A stream that counts the bytes received for the current answer.

    Args:
        stream: The underlying stream.
    """

    def __init__(self, stream: httpcore.AsyncNetworkStream) -> None:
        super().__init__(stream)
        self._has_read = False
        self._byte_count = 0
        self._head = b""
        self._last_read = b""
        self._has_surplus = False

    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:
        """Reads a chunk and counts its bytes."""
        chunk = await super().read(max_bytes, timeout)
        self._has_read = True
        self._byte_count += len(chunk)
        self._last_read = chunk
        if _HEAD_END not in self._head and len(self._head) < MAX_HEAD_BYTES:
            self._head += chunk
        return chunk

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        """Writes; the first write after a read begins a new exchange."""
        if self._has_read:
            self._has_read = False
            self._byte_count = 0
            self._head = b""
        await super().write(buffer, timeout)

    def get_extra_info(self, info: str) -> typing.Any:
        """Returns the stream's information; surplus bytes are readable."""
        if info == "is_readable" and self._has_surplus:
            return True
        return super().get_extra_info(info)

    def finish(self, body_bytes: int, *, chunked: bool) -> None:
        """Checks for surplus bytes after a complete answer.

        Args:
            body_bytes: Length of its body.
            chunked: Whether the body has chunked encoding. Then no bytes are
                counted; the last chunk must be the end of the last bytes
                read.
        """
        if chunked:
            end = self._last_read.find(_LAST_CHUNK)
            self._has_surplus = end + len(_LAST_CHUNK) != len(self._last_read)
            return
        head_bytes = self._head.find(_HEAD_END) + len(_HEAD_END)
        self._has_surplus = head_bytes + body_bytes != self._byte_count
