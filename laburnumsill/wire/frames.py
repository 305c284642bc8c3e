"""Frames: a 4-byte big-endian length and one thrift `Frame`.

The body is in thrift's compact protocol, encoded and decoded by the library's
C extension. Lengths are checked before memory is allocated for them.
"""

import struct

import trio
from thrift.protocol import TCompactProtocol
from thrift.transport import TTransport

from laburnumsill.core import clock as clocks
from laburnumsill.wire import failures
from laburnumsill.wire.generated.peer import ttypes

MAX_FRAME_BYTES = 16 * 1024 * 1024
"""Largest body of a frame."""

MAX_LIST_LENGTH = 65_536
"""Limit of the elements of one list in a frame."""

RECEIVE_BYTES = 65_536
"""Limit of the bytes read from the socket at a time."""

_HEADER = struct.Struct("!I")
_factory = TCompactProtocol.TCompactProtocolAcceleratedFactory(
    string_length_limit=MAX_FRAME_BYTES,
    container_length_limit=MAX_LIST_LENGTH,
    fallback=False,
)


def encode(frame: ttypes.Frame) -> bytes:
    r"""Returns a frame as bytes, prefixed by its length.

    Raises:
        failures.FrameTooLargeError: The body exceeds `MAX_FRAME_BYTES`.

    Examples:
        >>> encode(ttypes.Frame())
        b'\x00\x00\x00\x01\x00'
    """
    buffer = TTransport.TMemoryBuffer()
    frame.write(_factory.getProtocol(buffer))
    body = buffer.getvalue()
    _check_length(len(body), MAX_FRAME_BYTES)
    return _HEADER.pack(len(body)) + body


def decode(body: bytes) -> ttypes.Frame:
    """Returns the frame in `body`, which has no length prefix.

    Raises:
        failures.MalformedFrameError: `body` is not exactly one complete frame.
    """
    buffer = TTransport.TMemoryBuffer(body)
    frame = ttypes.Frame()
    try:
        frame.read(_factory.getProtocol(buffer))
    except Exception as error:  # the extension raises many types for garbage
        raise failures.MalformedFrameError(
            f"{error!r} in a frame of {len(body)} bytes"
        ) from error
    if buffer.cstringio_buf.tell() != len(body):
        raise failures.MalformedFrameError(
            f"{len(body) - buffer.cstringio_buf.tell()} bytes after a frame"
        )
    _check_fields(frame)
    return frame


class FrameReader:
    """Reads frames from a stream.

    Attributes:
        last_contact_at: Monotonic time at which bytes were last received.
        byte_count: Number of bytes received.
    """

    def __init__(
        self, stream: trio.abc.ReceiveStream, clock: clocks.Clock
    ) -> None:
        self._stream = stream
        self._clock = clock
        self._buffer = bytearray()
        self.last_contact_at = clock.monotonic()
        self.byte_count = 0

    async def read(self, limit: int = MAX_FRAME_BYTES) -> ttypes.Frame:
        """Returns the next frame.

        Args:
            limit: Maximum length of the body, in bytes.

        Raises:
            failures.ConnectionLostError: The stream ended or broke.
            failures.FrameTooLargeError: The length exceeds `limit`.
            failures.MalformedFrameError: The body is not a frame.
        """
        await self._fill(_HEADER.size)
        (length,) = _HEADER.unpack_from(self._buffer)
        _check_length(length, limit)
        end = _HEADER.size + length
        await self._fill(end)
        body = bytes(memoryview(self._buffer)[_HEADER.size : end])
        del self._buffer[:end]
        return decode(body)

    async def _fill(self, size: int) -> None:
        """Receives until the buffer contains at least `size` bytes."""
        while len(self._buffer) < size:
            try:
                chunk = await self._stream.receive_some(RECEIVE_BYTES)
            except (trio.BrokenResourceError, trio.ClosedResourceError) as e:
                raise failures.ConnectionLostError(
                    f"receiving failed: {e.__cause__ or e!r}"
                ) from e
            if not chunk:
                raise failures.ConnectionLostError("the peer closed it")
            self._buffer += chunk
            self.byte_count += len(chunk)
            self.last_contact_at = self._clock.monotonic()


def _check_length(length: int, limit: int) -> None:
    if length > limit:
        raise failures.FrameTooLargeError(
            f"a frame of {length} bytes, {limit} are allowed"
        )


def _check_fields(frame: ttypes.Frame) -> None:
    """Checks that all messages have the fields that every sender sets."""
    for call in frame.calls or ():
        _check_set(call.call_id, call.payload, call.deadline)
    for reply in frame.replies or ():
        _check_set(reply.call_id, reply.ok, reply.payload)
    for message in frame.raft or ():
        _check_set(message.kind, message.group, message.source, message.term)
    if frame.hello is not None:
        _check_set(frame.hello.vm_id, frame.hello.protocol)


def _check_set(*fields: object) -> None:
    if None in fields:
        raise failures.MalformedFrameError(f"a field is missing: {fields!r}")
