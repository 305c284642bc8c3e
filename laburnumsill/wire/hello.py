"""The exchange of hellos that starts each connection.

The dialing VM, which outside open networks is the one with the lower id, sends
its hello first. The size of the first frame is limited, since the other end is
not identified before it.
"""

import contextlib
from collections import abc

import trio

from laburnumsill.wire import failures
from laburnumsill.wire import frames
from laburnumsill.wire.generated.peer import ttypes

PROTOCOL = 1
"""Version of the protocol; peers with another version are refused."""

MAX_HELLO_BYTES = 1024
"""Limit of the size of the first frame."""

HELLO_TIMEOUT_S = 1.0
"""Timeout of the whole exchange, from the TCP connection on."""


@contextlib.contextmanager
def time_limit() -> abc.Iterator[None]:
    """Applies `HELLO_TIMEOUT_S` to the exchange in its body.

    Raises:
        failures.ConnectionLostError: The exchange timed out.
    """
    try:
        with trio.fail_after(HELLO_TIMEOUT_S):
            yield
    except trio.TooSlowError as error:
        raise failures.ConnectionLostError("no hello in time") from error


async def send(stream: trio.abc.SendStream, vm: str) -> None:
    """Sends the hello of this end, which is `vm`.

    Raises:
        failures.ConnectionLostError: Sending failed.
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
        failures.WireError: The other end sent no hello of this protocol.
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
