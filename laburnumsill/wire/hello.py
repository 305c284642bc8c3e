"""The exchange of hellos that starts each connection.

Of two VMs the one with the lower id dials and speaks first. Until the other
end has said who it is, only a short frame is taken from it.
"""

import contextlib
from collections import abc

import trio

from laburnumsill.wire import failures
from laburnumsill.wire import frames
from laburnumsill.wire.generated.peer import ttypes

PROTOCOL = 1
"""Version of the protocol; another one is refused."""

MAX_HELLO_BYTES = 1024
"""Largest first frame."""

HELLO_TIMEOUT_S = 1.0
"""Time from the connection to the end of the exchange."""


@contextlib.contextmanager
def time_limit() -> abc.Iterator[None]:
    """Limits the whole exchange to its time.

    Raises:
        failures.ConnectionLostError: It took too long.
    """
    try:
        with trio.fail_after(HELLO_TIMEOUT_S):
            yield
    except trio.TooSlowError as error:
        raise failures.ConnectionLostError("no hello in time") from error


async def send(stream: trio.abc.SendStream, vm: str) -> None:
    """Says that this end is `vm`.

    Raises:
        failures.ConnectionLostError: It could not be sent.
    """
    frame = ttypes.Frame(hello=ttypes.Hello(vm, PROTOCOL))
    try:
        await stream.send_all(frames.encode(frame))
    except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
        raise failures.ConnectionLostError(
            f"sending a hello failed: {error.__cause__ or error!r}"
        ) from error


async def receive(reader: frames.FrameReader) -> str:
    """Returns the id of the VM at the other end.

    Raises:
        failures.WireError: It sent no hello of this protocol.
    """
    frame = await reader.read(MAX_HELLO_BYTES)
    hello = frame.hello
    if hello is None:
        raise failures.HelloRefusedError("the first frame is no hello")
    if hello.protocol != PROTOCOL:
        raise failures.HelloRefusedError(
            f"{hello.vm_id!r} speaks protocol {hello.protocol}, not {PROTOCOL}"
        )
    return str(hello.vm_id)
