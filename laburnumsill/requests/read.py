"""The first filter: reads a request's body within its limits."""

from collections import abc

import trio

from laburnumsill.core import clock as clocks
from laburnumsill.core import errors


async def read_body(
    chunks: abc.AsyncIterator[bytes],
    limit: int,
    clock: clocks.Clock,
    deadline: float,
) -> bytes:
    """Returns the whole body.

    Args:
        chunks: The body as it arrives.
        limit: Largest body, in bytes.
        clock: The process's clock.
        deadline: Monotonic point by which it must have arrived.

    Raises:
        errors.TooLargeError: It is longer than `limit`.
        errors.DeadlinePassedError: It did not arrive in time.
    """
    parts = []
    size = 0
    with trio.move_on_after(max(0.0, deadline - clock.monotonic())):
        async for chunk in chunks:
            size += len(chunk)
            if size > limit:
                raise errors.TooLargeError(f"the body is over {limit} bytes")
            parts.append(chunk)
        return b"".join(parts)
    raise errors.DeadlinePassedError("the body did not arrive in time")
