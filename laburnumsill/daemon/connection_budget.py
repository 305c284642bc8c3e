"""Limits of the memory and the descriptors that connections may use.

Servers whose callers are of one kind share a budget. See `core.byte_budget` for
whose connection is given up where it is used up.
"""

from laburnumsill.core import byte_budget
from laburnumsill.core import logs
from laburnumsill.core import metrics as metrics_module

LEAVING_SHARE = 0.125
"""Number of connections that may take their time to end after they were given
up, as a share of the limit of connections."""


class ConnectionBudget(byte_budget.ByteBudget):
    """Bounds the number of connections and the bytes that they hold.

    A connection that is given up answers a call that has begun. A second call
    of its `give_up` ends it without waiting for its caller to read that.

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
        super().__init__(max_bytes)
        self._max_connections = max_connections
        self._metrics = metrics
        self._leaving: dict[byte_budget.Holder, None] = {}

    def add(self, holder: byte_budget.Holder) -> None:
        """Adds a connection, for which another one may be given up."""
        super().add(holder)
        while self.holders > self._max_connections:
            if not self.give_up_oldest():
                return

    def remove(self, holder: byte_budget.Holder) -> None:
        """Removes a connection that has ended."""
        self._leaving.pop(holder, None)
        super().remove(holder)

    def give_up_oldest(self) -> bool:
        """Gives up a connection to free its descriptor.

        Returns:
            Whether there was one that keeps the process waiting.
        """
        oldest = self._longest_waiting(needs_bytes=False)
        if oldest is not None:
            self._give_up(oldest)
        return oldest is not None

    def _give_up(self, holder: byte_budget.Holder) -> None:
        super()._give_up(holder)
        self._leaving[holder] = None
        if len(self._leaving) > LEAVING_SHARE * self._max_connections:
            longest = next(iter(self._leaving))
            del self._leaving[longest]
            longest.give_up()

    def _on_give_up(self, held_bytes: int) -> None:
        logs.event(
            "connection-given-up",
            "WARNING",
            held_bytes=held_bytes,
            all_bytes=self.held_bytes,
            connections=self.holders,
        )
        self._metrics.count("http_connections_given_up_total")
