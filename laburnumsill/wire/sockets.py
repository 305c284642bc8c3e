"""Opens TCP sockets and returns their addresses."""

import errno

import trio

from laburnumsill.wire import addresses
from laburnumsill.wire import failures

CONNECT_TIMEOUT_S = 0.5
"""Timeout of a TCP connect. TCP retransmits a lost SYN only after 1 s; a new
attempt sends one sooner."""


async def listen(address: str) -> list[trio.SocketListener]:
    """Listens on an address.

    Raises:
        failures.AddressInUseError: Another process has the address.
        failures.PeerListenError: Listening failed for another reason.
    """
    host, port = addresses.split(address)
    try:
        return await trio.open_tcp_listeners(port, host=host)
    except OSError as error:
        text = f"{address}: {error}"
        if error.errno == errno.EADDRINUSE:
            raise failures.AddressInUseError(text) from error
        raise failures.PeerListenError(text) from error


async def connect(address: str) -> trio.SocketStream:
    """Connects to an address.

    Raises:
        failures.ConnectionLostError: Connecting failed or timed out.
    """
    host, port = addresses.split(address)
    try:
        with trio.fail_after(CONNECT_TIMEOUT_S):
            return await trio.open_tcp_stream(host, port)
    except OSError as error:
        raise failures.ConnectionLostError(f"{address}: {error}") from error
    except trio.TooSlowError as error:
        raise failures.ConnectionLostError(
            f"{address}: no connection in {CONNECT_TIMEOUT_S} s"
        ) from error


def local_address(listener: trio.SocketListener) -> str:
    """Returns the address that a listener is bound to."""
    host, port = listener.socket.getsockname()[:2]
    return addresses.join(host, port)


def remote_address(stream: trio.SocketStream) -> str:
    """Returns the address of the other end, "unknown" if it is disconnected."""
    try:
        host, port = stream.socket.getpeername()[:2]
    except OSError:
        return "unknown"
    return addresses.join(host, port)
