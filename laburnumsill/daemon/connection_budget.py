"""Limits of the memory and the descriptors that connections may use.

All servers of a process share one budget. Where it is used up, the connection
that has kept the process waiting for longest is given up: a caller whose call
arrives without pauses keeps none waiting for long, so callers that hold their
connections or send slowly cannot shut the others out.

A call that has arrived whole is never given up. So the answer to one that is
given up says truly that it has not run.
"""

import abc
import math

from laburnumsill.core import logs
from laburnumsill.core import metrics as metrics_module

LEAVING_SHARE = 0.125
"""Number of connections that may take their time to end after they were given
up, as a share of the limit of connections."""


class Holder(abc.ABC):
    """A connection that takes part in a budget."""

    @property
    @abc.abstractmethod
    def waiting_since(self) -> float | None:
        """Time since which its caller keeps it waiting, None if it does not."""

    @abc.abstractmethod
    def give_up(self) -> None:
        """Ends the connection, after an answer to a call that has begun.

        A second call ends it without waiting for its caller to read that.
        """


class ConnectionBudget:
    """Bounds the number of connections and the bytes that they hold.

    A connection that was given up counts no more, though it takes a moment to
    end.

    Args:
        max_bytes: Limit of the bytes of all calls and answers that are not
            complete, and of the calls that are served.
        max_connections: Limit of the number of connections.
        metrics: Receives the counters.
    """

    def __init__(
        self,
        max_bytes: int,
        max_connections: int,
        metrics: metrics_module.Metrics,
    ) -> None:
        self._max_bytes = max_bytes
        self._max_connections = max_connections
        self._metrics = metrics
        self._held: dict[Holder, int] = {}
        self._leaving: dict[Holder, None] = {}
        self._held_bytes = 0

    @property
    def held_bytes(self) -> int:
        """Bytes that all connections hold."""
        return self._held_bytes

    @property
    def connections(self) -> int:
        """Number of connections that count."""
        return len(self._held)

    def add(self, holder: Holder) -> None:
        """Adds a connection, for which another one may be given up."""
        self._held[holder] = 0
        while len(self._held) > self._max_connections:
            if not self._give_up_one(needs_bytes=False):
                return

    def remove(self, holder: Holder) -> None:
        """Removes a connection that has ended."""
        self._leaving.pop(holder, None)
        self._held_bytes -= self._held.pop(holder, 0)

    def take(self, holder: Holder, size: int) -> None:
        """Adds bytes to a connection; connections may be given up for it."""
        if holder not in self._held:
            return
        self._held[holder] += size
        self._held_bytes += size
        while self._held_bytes > self._max_bytes:
            if not self._give_up_one(needs_bytes=True):
                return

    def release(self, holder: Holder) -> None:
        """Takes all bytes off a connection."""
        if holder in self._held:
            self._held_bytes -= self._held[holder]
            self._held[holder] = 0

    def give_up_oldest(self) -> bool:
        """Gives up a connection to free its descriptor.

        Returns:
            Whether there was one that keeps the process waiting.
        """
        return self._give_up_one(needs_bytes=False)

    def _give_up_one(self, needs_bytes: bool) -> bool:
        """Gives up the connection that waits longest, if any waits."""
        chosen: Holder | None = None
        oldest = math.inf
        for holder, held in self._held.items():
            since = holder.waiting_since
            if since is None or (needs_bytes and not held):
                continue
            if since < oldest:
                chosen, oldest = holder, since
        if chosen is None:
            return False
        logs.event(
            "connection-given-up",
            "WARNING",
            held_bytes=self._held[chosen],
            all_bytes=self._held_bytes,
            connections=len(self._held),
        )
        self._metrics.count("http_connections_given_up_total")
        self.remove(chosen)
        self._leaving[chosen] = None
        chosen.give_up()
        if len(self._leaving) > LEAVING_SHARE * self._max_connections:
            longest = next(iter(self._leaving))
            del self._leaving[longest]
            longest.give_up()
        return True
