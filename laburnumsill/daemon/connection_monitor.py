"""Metrics and log lines of the connections of a server."""

import enum

import h11

from laburnumsill.core import logs
from laburnumsill.core import metrics as metrics_module

MAX_LOGGED_PATH = 80
"""Number of characters of a path in a log line."""


class ConnectionEnd(enum.StrEnum):
    """How a connection ended, a label of `http_connections_ended_total`."""

    ANSWERED = "answered"
    """By the server, after an answer that said so."""

    CALLER = "caller"
    """By the caller, or by a failure of the network."""

    IDLE = "idle"
    """By the server, while no call had begun to arrive."""

    INVALID = "invalid"
    """By the server, after invalid HTTP."""

    GIVEN_UP = "given-up"
    """By the server, to make room for others."""

    CUT = "cut"
    """By the server, while a call was open or unread."""


class Monitor:
    """Counts how connections end, and logs the calls that are cut.

    Args:
        name: The name of the server in metrics and logs.
        metrics: Receives the counters.
    """

    def __init__(self, name: str, metrics: metrics_module.Metrics) -> None:
        self._name = name
        self._metrics = metrics

    def on_end(self, end: ConnectionEnd) -> None:
        """Records the end of a connection."""
        self._metrics.count(
            "http_connections_ended_total", server=self._name, end=end
        )

    def on_cut(self, request: h11.Request | None, since_s: float) -> None:
        """Records a call that ended with its connection.

        Args:
            request: The request, None if it was not read.
            since_s: Seconds since it was read or, if it was not, since the
                last answer on the connection.
        """
        target = request.target.decode("ascii") if request else ""
        logs.event(
            "call-cut",
            level="WARNING",
            server=self._name,
            method=request.method.decode("ascii") if request else "",
            path=target[:MAX_LOGGED_PATH],
            read=request is not None,
            since_ms=round(since_s * 1000),
        )
