"""Loopback ports that are nobody else's for as long as a test needs them.

Test runs go side by side, and so do the workers of one run. A port that was
only looked at is free to all of them until something listens on it, which
takes a process a second or more, and again while a VM is down between a kill
and its next start. So each port is kept by a socket that is bound and never
listens: who asks later is refused it, and the process that it is meant for may
listen all the same, since both sides allow the address to be reused.
"""

import collections
import random
import socket

HOST = "127.0.0.1"

FIRST_PORT = 20_000
LAST_PORT = 32_000
"""Below the range that the kernel gives to outgoing connections, 32,768 to
60,999 by default."""

MOST_KEPT = 400
"""Ports kept at once; a test takes under 100, and an open file limit of 1,024
is usual. The oldest are given back first."""


class PortReservations:
    """Ports of one process, kept from all others.

    Args:
        first: The lowest port that may be given.
        last: The one after the highest.
    """

    def __init__(self, first: int = FIRST_PORT, last: int = LAST_PORT) -> None:
        self._first = first
        self._last = last
        self._kept: collections.deque[socket.socket] = collections.deque()

    def take(self, count: int) -> list[int]:
        """Returns ports on which nobody listens or is about to."""
        return [self._take_one() for _ in range(count)]

    def release(self) -> None:
        """Gives all ports back."""
        while self._kept:
            self._kept.popleft().close()

    def _take_one(self) -> int:
        while True:
            port = random.randrange(self._first, self._last)
            keeper = _keep(port)
            if keeper is not None:
                break
        self._kept.append(keeper)
        if len(self._kept) > MOST_KEPT:
            self._kept.popleft().close()
        return port


def _keep(port: int) -> socket.socket | None:
    """Returns a socket that keeps a port, or None if it is taken."""
    keeper = socket.socket()
    try:
        keeper.bind((HOST, port))
    except OSError:
        keeper.close()
        return None
    # Only now: a bind that allows reuse would share what another one keeps.
    keeper.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    return keeper


_own = PortReservations()


def free_ports(count: int) -> list[int]:
    """Returns ports that are kept for this process from now on."""
    return _own.take(count)


def free_addresses(count: int) -> list[str]:
    """Returns loopback addresses that are kept for this process."""
    return [f"{HOST}:{port}" for port in free_ports(count)]


def free_address() -> str:
    """Returns one loopback address that is kept for this process."""
    return free_addresses(1)[0]
