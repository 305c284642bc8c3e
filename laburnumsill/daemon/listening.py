"""Listening on an address, with typed errors."""

import errno
import socket

from laburnumsill.core import errors

LISTEN_BACKLOG = 512

RECEIVE_BUFFER_BYTES = 16 * 1024
"""Size of the kernel's receive buffer of a connection, about which holds what a
caller sends ahead of what is read."""


class ListenError(errors.LaburnumsillError):
    """Listening on an address of this daemon failed."""

    slug = "listen"
    title = "Cannot listen on an address"


class AddressTakenError(ListenError):
    """Another process listens on an address of this daemon."""

    slug = "address-taken"
    title = "An address is in use"


def listen(address: str) -> socket.socket:
    """Returns a non-blocking socket that listens on ``host:port``.

    Raises:
        AddressTakenError: Another process listens on the address.
        ListenError: Listening on the address failed.
    """
    host, _, port = address.rpartition(":")
    listening = socket.socket()
    try:
        listening.setblocking(False)
        listening.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listening.bind((host, int(port)))
        listening.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
        )
        listening.listen(LISTEN_BACKLOG)
    except (OSError, ValueError, OverflowError) as error:
        listening.close()
        text = f"{address}: {error}"
        if isinstance(error, OSError) and error.errno == errno.EADDRINUSE:
            raise AddressTakenError(text) from error
        raise ListenError(text) from error
    return listening
