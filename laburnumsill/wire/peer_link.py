"""What a VM knows of its connection to one other VM."""

import trio

from laburnumsill.wire import connection as connections
from laburnumsill.wire import failures


class PeerLink:
    """The connection to one other VM, and who waits for it or its end.

    Attributes:
        connection: The connection to it, or None.
        connected: Set while there is a connection.
        detached: Set while there is none.
        dialing: Ends the dialing, None where this VM never dials it.
    """

    def __init__(self) -> None:
        self.connection: connections.Connection | None = None
        self.connected = trio.Event()
        self.detached = trio.Event()
        self.detached.set()
        self.dialing: trio.CancelScope | None = None
        self._wanted = trio.Event()

    def attach(self, connection: connections.Connection) -> None:
        """Uses a new connection; an older one is certainly dead."""
        if self.connection is not None:
            self.connection.lose(failures.ConnectionLostError("replaced"))
        self.connection = connection
        self.connected.set()
        self.detached = trio.Event()

    def detach(self, connection: connections.Connection) -> None:
        """Forgets a connection that was lost, unless it was replaced."""
        if self.connection is connection:
            self.connection = None
            self.connected = trio.Event()
            self.detached.set()

    def want(self) -> None:
        """Notes that somebody waits for a connection."""
        self._wanted.set()

    async def until_wanted(self) -> None:
        """Returns once somebody waits, which is forgotten by that."""
        await self._wanted.wait()
        self._wanted = trio.Event()
