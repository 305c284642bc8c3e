"""HTTP connections that are kept open, a pool for each address.

A pool looks through all its connections at each call, so there is one for
each worker instead of one for all.
"""

import collections
import dataclasses
from collections import abc

import httpcore
import trio

from laburnumsill.core import clock as clocks
from laburnumsill.core import errors


class NoResponseError(errors.OutcomeUnknownError):
    """No response came; the request may have been carried out."""

    slug = "no-response"
    title = "No response came"


@dataclasses.dataclass(frozen=True, slots=True)
class PoolLimits:
    """Bounds of the connections.

    Attributes:
        connections: Most connections to one address.
        keep_alive_s: An idle connection is kept for so long, in seconds.
        connect_within_s: Longest time to connect, in seconds.
        pools: Addresses whose connections are kept; the longest unused goes
            first.
    """

    connections: int
    keep_alive_s: float
    connect_within_s: float
    pools: int = 4_096


class HttpPools:
    """Sends requests over kept connections.

    Args:
        clock: The clock of the deadlines.
        limits: Bounds of the connections.
    """

    def __init__(self, clock: clocks.Clock, limits: PoolLimits) -> None:
        self._clock = clock
        self._limits = limits
        self._pools: collections.OrderedDict[
            str, httpcore.AsyncConnectionPool
        ] = collections.OrderedDict()

    async def request(
        self,
        method: str,
        address: str,
        path: str,
        headers: abc.Mapping[str, str],
        content: bytes,
        deadline: float,
    ) -> httpcore.Response:
        """Returns the response, whatever its status.

        Raises:
            NoResponseError: None came before the monotonic deadline, or the
                address is none that can be used.
        """
        call = f"{method} {path} at {address}"
        url = _url(address, path)
        remaining = deadline - self._clock.monotonic()
        await self._close_unused()
        try:
            with trio.move_on_after(max(0.0, remaining)):
                return await self._pool_of(address).request(
                    method,
                    url,
                    headers=list(headers.items()),
                    content=content,
                    extensions={
                        "timeout": {"connect": self._limits.connect_within_s}
                    },
                )
        except (OSError, UnicodeError, *_LOST) as error:
            raise NoResponseError(f"{call}: {error!r}") from error
        await self._close_idle(address)
        raise NoResponseError(f"{call}: none in time")

    async def close(self) -> None:
        """Closes all connections."""
        for pool in self._pools.values():
            await pool.aclose()
        self._pools.clear()

    def _pool_of(self, address: str) -> httpcore.AsyncConnectionPool:
        pool = self._pools.get(address)
        if pool is None:
            pool = httpcore.AsyncConnectionPool(
                max_connections=self._limits.connections,
                max_keepalive_connections=self._limits.connections,
                keepalive_expiry=self._limits.keep_alive_s,
            )
            self._pools[address] = pool
        self._pools.move_to_end(address)
        return pool

    async def _close_idle(self, address: str) -> None:
        """Closes the connections to an address that carry no request.

        Connections may go silent for good without a reset, all at once;
        without this each of them would cost a timeout of its own.
        """
        pool = self._pools.get(address)
        for connection in pool.connections if pool else ():
            if connection.is_idle():
                await connection.aclose()

    async def _close_unused(self) -> None:
        """Closes the longest unused pool where there are too many."""
        if len(self._pools) <= self._limits.pools:
            return
        address, pool = next(iter(self._pools.items()))
        if all(entry.is_idle() for entry in pool.connections):
            del self._pools[address]
            await pool.aclose()


def _url(address: str, path: str) -> httpcore.URL:
    """Returns where a request goes.

    Raises:
        NoResponseError: The address can not be part of a URL.
    """
    try:
        return httpcore.URL(f"http://{address}{path}")
    except (ValueError, TypeError) as error:
        raise NoResponseError(f"{path} at {address!r}: {error}") from error


_LOST = (
    httpcore.NetworkError,
    httpcore.ProtocolError,
    httpcore.TimeoutException,
    httpcore.UnsupportedProtocol,
    httpcore.ConnectionNotAvailable,
)
