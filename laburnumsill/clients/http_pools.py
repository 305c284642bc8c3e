"""HTTP connections that are kept open, a pool for each address.

A pool looks through all its connections at each call, so there is one for
each worker instead of one for all.

Connections may go silent for good, without a reset and all at once, while new
ones work. A request without an answer closes those that carry nothing; if a
later one is answered, the requests that were under way before are given up,
since their connections are most likely silent too.
"""

import collections
import dataclasses
import itertools
from collections import abc

import httpcore
import trio

from laburnumsill.clients import reset_streams
from laburnumsill.clients import wrapped_streams
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


async def close_idle(pool: httpcore.AsyncConnectionPool) -> None:
    """Closes the connections that carry no request."""
    for connection in pool.connections:
        if connection.is_idle():
            await connection.aclose()


class _Place:
    """The connections to one address, and the requests under way there."""

    def __init__(self, limits: PoolLimits) -> None:
        self.pool = httpcore.AsyncConnectionPool(
            max_connections=limits.connections,
            max_keepalive_connections=limits.connections,
            keepalive_expiry=limits.keep_alive_s,
            network_backend=wrapped_streams.WrappingBackend(
                reset_streams.ResetStream
            ),
        )
        self._under_way: dict[int, trio.CancelScope] = {}
        self._numbers = itertools.count()
        self._suspected_below = 0

    @property
    def is_idle(self) -> bool:
        """Whether no request is under way."""
        return all(entry.is_idle() for entry in self.pool.connections)

    def begin(self, scope: trio.CancelScope) -> int:
        """Notes a request that `scope` ends; returns its number."""
        number = next(self._numbers)
        self._under_way[number] = scope
        return number

    def end(self, number: int) -> None:
        """Notes that a request is over."""
        del self._under_way[number]

    def answered(self, number: int) -> None:
        """Gives up the suspected requests if a later one was answered."""
        if number < self._suspected_below:
            return
        for other, scope in self._under_way.items():
            if other < self._suspected_below:
                scope.cancel()
        self._suspected_below = 0

    async def suspect_all(self) -> None:
        """Closes what is idle and suspects what is under way."""
        self._suspected_below = next(self._numbers)
        await close_idle(self.pool)


class HttpPools:
    """Sends requests over kept connections.

    Args:
        clock: The clock of the deadlines.
        limits: Bounds of the connections.
    """

    def __init__(self, clock: clocks.Clock, limits: PoolLimits) -> None:
        self._clock = clock
        self._limits = limits
        self._places: collections.OrderedDict[str, _Place] = (
            collections.OrderedDict()
        )

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
        place = self._place_of(address)
        scope = trio.CancelScope()
        number = place.begin(scope)
        try:
            with trio.move_on_after(max(0.0, remaining)), scope:
                response = await place.pool.request(
                    method,
                    url,
                    headers=list(headers.items()),
                    content=content,
                    extensions={
                        "timeout": {"connect": self._limits.connect_within_s}
                    },
                )
                place.answered(number)
                return response
        except (OSError, UnicodeError, *_LOST) as error:
            raise NoResponseError(f"{call}: {error!r}") from error
        finally:
            place.end(number)
        if scope.cancelled_caught:
            raise NoResponseError(f"{call}: its connection is silent")
        await place.suspect_all()
        raise NoResponseError(f"{call}: none in time")

    async def close(self) -> None:
        """Closes all connections."""
        for place in self._places.values():
            await place.pool.aclose()
        self._places.clear()

    def _place_of(self, address: str) -> _Place:
        place = self._places.get(address)
        if place is None:
            place = _Place(self._limits)
            self._places[address] = place
        self._places.move_to_end(address)
        return place

    async def _close_unused(self) -> None:
        """Closes the longest unused pool where there are too many."""
        if len(self._places) <= self._limits.pools:
            return
        address, place = next(iter(self._places.items()))
        if place.is_idle:
            del self._places[address]
            await place.pool.aclose()


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
