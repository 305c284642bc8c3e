"""Connections that are never replaced silently by another one.

A pool may send the next request over a new connection, on which another
process may listen at the same address by then. All requests of a pinned
connection reach the process that accepted it, or none.
"""

import typing

import httpcore
import trio

from laburnumsill.clients import reset_streams
from laburnumsill.clients import wrapped_streams


class PinnedConnection:
    """One connection to one process; carries one request at a time.

    Args:
        peer: The process that is expected at the address.
        origin: The address, as a URL without a path.
        keep_alive_s: Time after which the idle connection expires, in seconds.

    Attributes:
        peer: The process that is expected at the address.
        http: The connection.
        is_confirmed: Whether a response on this connection has shown that it
            reaches the expected process.
    """

    def __init__(
        self, peer: str, origin: httpcore.Origin, keep_alive_s: float
    ) -> None:
        self.peer = peer
        self.http = httpcore.AsyncHTTPConnection(
            origin,
            keepalive_expiry=keep_alive_s,
            network_backend=wrapped_streams.WrappingBackend(
                reset_streams.ResetStream
            ),
        )
        self.is_confirmed = False
        self._requests = 0

    @property
    def in_use(self) -> bool:
        """Whether a request is in flight."""
        return self._requests > 0

    @property
    def is_over(self) -> bool:
        """Whether the connection can carry no further request."""
        return self.http.is_closed() or self.http.has_expired()

    def __enter__(self) -> "PinnedConnection":
        """Marks the connection as in use."""
        self._requests += 1
        return self

    def __exit__(self, *_: object) -> None:
        """Marks the connection as free."""
        self._requests -= 1

    async def request(
        self, method: str, url: httpcore.URL, **options: typing.Any
    ) -> httpcore.Response:
        """Sends a request and returns its response; see httpcore.

        The end of the response is shielded, as in a pool of httpcore: a
        connection whose complete response is not closed stays busy for good.
        """
        async with self.http.stream(method, url, **options) as response:
            await response.aread()
            with trio.CancelScope(shield=True):
                await response.aclose()
        return response

    async def close_if_idle(self) -> None:
        """Closes the connection unless a request is in flight."""
        if not self.in_use:
            await self.http.aclose()
