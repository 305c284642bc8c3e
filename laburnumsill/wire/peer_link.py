"""State of the connection to one other VM."""

import trio

from laburnumsill.wire import connection as connections
from laburnumsill.wire import failures


class PeerLink:
    """The connection to one other VM, with events for its begin and end.

    Attributes:
        connection: The current connection, or None.
        connected: Set while there is a connection.
        disconnected: Set while there is no connection.
        dial_scope: Cancels the dialing, None where this VM does not dial.
    """

    def __init__(self) -> None:
        self.connection: connections.Connection | None = None
        self.connected = trio.Event()
        self.disconnected = trio.Event()
        self.disconnected.set()
        self.dial_scope: trio.CancelScope | None = None
        self._requested = trio.Event()

    def attach(self, connection: connections.Connection) -> None:
        """Replaces the connection; the old one must be dead by then."""
        if self.connection is not None:
            self.connection.close(failures.ConnectionLostError("replaced"))
        self.connection = connection
        self.connected.set()
        self.disconnected = trio.Event()

    def detach(self, connection: connections.Connection) -> None:
        """Removes a lost connection, unless it was replaced already."""
        if self.connection is connection:
            self.connection = None
            self.connected = trio.Event()
            self.disconnected.set()

    def request_connection(self) -> None:
        """Requests that a connection be dialed on demand."""
        self._requested.set()

    async def wait_for_request(self) -> None:
        """Waits until a connection is requested, and clears the request."""
        await self._requested.wait()
        self._requested = trio.Event()
