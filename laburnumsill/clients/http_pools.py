"""Persistent HTTP connections, with one pool for each address.

A pool of httpcore scans all its connections at each call, so there is one pool
for each worker instead of one for all.

All connections to an address may go silent at the same time, permanently and
without a reset, while new ones work. So after a request that timed out, idle
connections are closed and the requests in flight are suspected. Once a later
request is answered, the suspected requests are cancelled, since their
connections are most likely silent too.
"""

import collections
import dataclasses
import itertools
from collections import abc

import httpcore
import trio

from laburnumsill.clients import pinned_connections
from laburnumsill.clients import reset_streams
from laburnumsill.clients import wrapped_streams
from laburnumsill.core import clock as clocks
from laburnumsill.core import errors


class NoResponseError(errors.OutcomeUnknownError):
    """No response came; the request may have been executed."""

    slug = "no-response"
    title = "No response came"


@dataclasses.dataclass(frozen=True, slots=True)
class PoolLimits:
    """Limits and timeouts of the connections.

    Attributes:
        connections: Maximum number of connections to one address.
        keep_alive_s: Time after which an idle connection is closed, in
            seconds.
        connect_timeout_s: Timeout for a connection, in seconds.
        pools: Number of pools above which the least recently used one is
            closed.
    """

    connections: int
    keep_alive_s: float
    connect_timeout_s: float
    pools: int = 4_096


async def close_idle(pool: httpcore.AsyncConnectionPool) -> None:
    """Closes the connections that carry no request."""
    for connection in pool.connections:
        if connection.is_idle():
            await connection.aclose()


class _AddressPool:
    """The connections to one address and the requests in flight on them.

    Requests are numbered in the order in which they begin. Those below
    `_suspected_below` may be on silent connections.
    """

    def __init__(self, limits: PoolLimits) -> None:
        self.pool = httpcore.AsyncConnectionPool(
            max_connections=limits.connections,
            max_keepalive_connections=limits.connections,
            keepalive_expiry=limits.keep_alive_s,
            network_backend=wrapped_streams.WrappingBackend(
                reset_streams.ResetStream
            ),
        )
        self.pinned: pinned_connections.PinnedConnection | None = None
        self._in_flight: dict[int, trio.CancelScope] = {}
        self._numbers = itertools.count()
        self._suspected_below = 0

    @property
    def is_idle(self) -> bool:
        """Whether no connection carries a request."""
        if self.pinned is not None and self.pinned.in_use:
            return False
        return all(connection.is_idle() for connection in self.pool.connections)

    def begin(self, scope: trio.CancelScope) -> int:
        """Registers a request that `scope` cancels; returns its number."""
        number = next(self._numbers)
        self._in_flight[number] = scope
        return number

    def end(self, number: int) -> None:
        """Removes a request that has ended."""
        del self._in_flight[number]

    def record_response(self, number: int) -> None:
        """Cancels the suspected requests if `number` began after them."""
        if number < self._suspected_below:
            return
        for other, scope in self._in_flight.items():
            if other < self._suspected_below:
                scope.cancel()
        self._suspected_below = 0

    async def suspect_all(self) -> None:
        """Closes idle connections and suspects all requests in flight."""
        self._suspected_below = next(self._numbers)
        await close_idle(self.pool)
        if self.pinned is not None:
            await self.pinned.close_if_idle()

    async def close(self) -> None:
        """Closes all connections."""
        await self.pool.aclose()
        if self.pinned is not None:
            await self.pinned.http.aclose()


class HttpPools:
    """Sends requests over persistent connections.

    Args:
        clock: The clock of the deadlines.
        limits: Limits and timeouts of the connections.
    """

    def __init__(self, clock: clocks.Clock, limits: PoolLimits) -> None:
        self._clock = clock
        self._limits = limits
        self._address_pools: collections.OrderedDict[str, _AddressPool] = (
            collections.OrderedDict()
        )

    async def pinned(
        self, address: str, peer: str
    ) -> pinned_connections.PinnedConnection | None:
        """Returns the pinned connection to a process, None while it is in use.

        There is one for each address. It is opened by its first request, and
        replaced once it is over or another process is expected there.

        Args:
            address: The address of the process.
            peer: Identifies the process.

        Raises:
            NoResponseError: The address is not valid.
        """
        origin = _url(address, "/").origin
        address_pool = self._pool_for(address)
        known = address_pool.pinned
        if known is not None and known.in_use:
            return None
        if known is None or known.peer != peer or known.is_over:
            fresh = pinned_connections.PinnedConnection(
                peer, origin, self._limits.keep_alive_s
            )
            address_pool.pinned = fresh
            if known is not None:
                await known.http.aclose()
            if fresh.in_use or address_pool.pinned is not fresh:
                return None  # taken or replaced while the old one was closed
        return address_pool.pinned

    async def request(
        self,
        method: str,
        address: str,
        path: str,
        headers: abc.Mapping[str, str],
        content: bytes,
        deadline: float,
        pinned: pinned_connections.PinnedConnection | None = None,
    ) -> httpcore.Response:
        """Sends a request and returns its response, with any status.

        Args:
            method: The HTTP method.
            address: Host and port.
            path: Path and query.
            headers: The headers besides those of the connection.
            content: The body.
            deadline: Monotonic time by which the response has to be complete.
            pinned: The connection to send it over, in place of any of the pool.

        Raises:
            NoResponseError: No response came before the monotonic deadline,
                or the address is not valid.
        """
        call = f"{method} {path} at {address}"
        url = _url(address, path)
        remaining = deadline - self._clock.monotonic()
        await self._close_least_recent()
        address_pool = self._pool_for(address)
        sender = address_pool.pool if pinned is None else pinned
        scope = trio.CancelScope()
        number = address_pool.begin(scope)
        try:
            with trio.move_on_after(max(0.0, remaining)), scope:
                response = await sender.request(
                    method,
                    url,
                    headers=list(headers.items()),
                    content=content,
                    extensions={
                        "timeout": {"connect": self._limits.connect_timeout_s}
                    },
                )
                address_pool.record_response(number)
                return response
        except (OSError, UnicodeError, *_TRANSPORT_ERRORS) as error:
            raise NoResponseError(f"{call}: {error!r}") from error
        finally:
            address_pool.end(number)
        if scope.cancelled_caught:
            raise NoResponseError(f"{call}: its connection is silent")
        await address_pool.suspect_all()
        raise NoResponseError(f"{call}: none in time")

    async def close(self) -> None:
        """Closes all connections."""
        for address_pool in self._address_pools.values():
            await address_pool.close()
        self._address_pools.clear()

    def _pool_for(self, address: str) -> _AddressPool:
        address_pool = self._address_pools.get(address)
        if address_pool is None:
            address_pool = _AddressPool(self._limits)
            self._address_pools[address] = address_pool
        self._address_pools.move_to_end(address)
        return address_pool

    async def _close_least_recent(self) -> None:
        """Closes the least recently used pool if it is idle and surplus."""
        if len(self._address_pools) <= self._limits.pools:
            return
        address, address_pool = next(iter(self._address_pools.items()))
        if address_pool.is_idle:
            del self._address_pools[address]
            await address_pool.close()


def _url(address: str, path: str) -> httpcore.URL:
    """Returns the URL of a request.

    Raises:
        NoResponseError: The address cannot be part of a URL.
    """
    try:
        return httpcore.URL(f"http://{address}{path}")
    except (ValueError, TypeError) as error:
        raise NoResponseError(f"{path} at {address!r}: {error}") from error


_TRANSPORT_ERRORS = (
    httpcore.NetworkError,
    httpcore.ProtocolError,
    httpcore.TimeoutException,
    httpcore.UnsupportedProtocol,
    httpcore.ConnectionNotAvailable,
)
