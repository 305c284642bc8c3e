"""The first filter: reads a request's body within its limits."""

from collections import abc

import trio

from laburnumsill.core import clock as clocks
from laburnumsill.core import errors

MAX_BODY_MEMORY = 32 * 1024 * 1024
"""Bytes of all request bodies that one VM holds at a time."""


class BodyMemory:
    """Bounds the bytes of all bodies that are held at a time.

    Args:
        limit: The bound, in bytes.

    Examples:
        >>> memory = BodyMemory(10)
        >>> held = memory.hold()
        >>> held.add(8)
        >>> held.release()
        >>> memory.used
        0
    """

    def __init__(self, limit: int = MAX_BODY_MEMORY) -> None:
        self._limit = limit
        self._used = 0

    @property
    def used(self) -> int:
        """Bytes that are held now."""
        return self._used

    def hold(self) -> "HeldBody":
        """Returns the account of one body."""
        return HeldBody(self)

    def take(self, size: int) -> None:
        """Takes in bytes.

        Raises:
            errors.OverloadedError: That would be over the limit.
        """
        if self._used + size > self._limit:
            raise errors.OverloadedError(
                f"request bodies take {self._used} bytes here, the most"
                f" are {self._limit}"
            )
        self._used += size

    def give_back(self, size: int) -> None:
        """Gives back bytes that were taken in."""
        self._used -= size


class HeldBody:
    """What one body takes of a `BodyMemory`; release it in every case."""

    def __init__(self, memory: BodyMemory) -> None:
        self._memory = memory
        self._size = 0

    @property
    def size(self) -> int:
        """Its bytes so far."""
        return self._size

    def add(self, size: int) -> None:
        """Adds bytes, see `BodyMemory.take`."""
        self._memory.take(size)
        self._size += size

    def release(self) -> None:
        """Gives all back; may be called again."""
        self._memory.give_back(self._size)
        self._size = 0


async def read_body(
    chunks: abc.AsyncIterator[bytes],
    limit: int,
    clock: clocks.Clock,
    deadline: float,
    held: HeldBody,
) -> bytes:
    """Returns the whole body.

    Args:
        chunks: The body as it arrives.
        limit: Largest body, in bytes.
        clock: The process's clock.
        deadline: Monotonic point by which it must have arrived.
        held: Where its bytes are counted.

    Raises:
        errors.TooLargeError: It is longer than `limit`.
        errors.OverloadedError: All bodies together take too much memory.
        errors.DeadlinePassedError: It did not arrive in time.
    """
    # One buffer, because a list of small pieces takes many times their size.
    body = bytearray()
    with trio.move_on_after(max(0.0, deadline - clock.monotonic())):
        async for chunk in chunks:
            if len(body) + len(chunk) > limit:
                raise errors.TooLargeError(f"the body is over {limit} bytes")
            held.add(len(chunk))
            body += chunk
        return bytes(body)
    raise errors.DeadlinePassedError("the body did not arrive in time")
