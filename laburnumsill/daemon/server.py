"""The HTTP server of one daemon: hypercorn with limits and event logs."""

import logging
import sys
from collections import abc

import hypercorn.config
import trio
from hypercorn.trio import worker_context

from laburnumsill.core import logs
from laburnumsill.core import metrics as metrics_module
from laburnumsill.daemon import connection_budget
from laburnumsill.daemon import hypercorn_connection
from laburnumsill.daemon import staged_server
from laburnumsill.wire import arrivals

MAX_HEADER_BYTES = 32 * 1024
KEEP_ALIVE_S = 60
MAX_CONNECTIONS = 1_024
"""Limit of the connections of a daemon. An open head of 32 KB takes up to three
times its size."""

MAX_QUEUED_CHUNKS = 2
"""Number of chunks of a body, each of at most 64 KB, that wait to be read."""


class _EventHandler(logging.Handler):
    """Logs hypercorn's own messages as events."""

    def emit(self, record: logging.LogRecord) -> None:
        """Logs one record."""
        logs.event(
            "http-server",
            level=record.levelname,
            message=record.getMessage(),
            error=repr(record.exc_info[1]) if record.exc_info else "",
        )


def _logger() -> logging.Logger:
    logger = logging.getLogger("laburnumsill.http")
    logger.handlers = [_EventHandler()]
    logger.setLevel(logging.WARNING)
    logger.propagate = False
    return logger


def _config() -> hypercorn.config.Config:
    config = hypercorn.config.Config()
    config.accesslog = None
    config.errorlog = _logger()
    config.h11_max_incomplete_size = MAX_HEADER_BYTES
    config.keep_alive_timeout = KEEP_ALIVE_S
    config.h2_max_concurrent_streams = 1  # a limit of connections is of calls
    config.max_app_queue_size = MAX_QUEUED_CHUNKS
    config.include_server_header = False
    return config


class HypercornServer(staged_server.StagedServer):
    """Serves an ASGI application on one address, by hypercorn's connections.

    Args:
        application: The ASGI application; it gets no lifespan scope.
        address: ``host:port`` to listen on.
        budget: Bounds the number of connections.
    """

    def __init__(
        self,
        application: hypercorn_connection.Application,
        address: str,
        budget: connection_budget.ConnectionBudget,
    ) -> None:
        super().__init__(address, budget)
        self._application = application
        self._config = _config()
        self._context = worker_context.WorkerContext(None)

    def _make_connection(
        self, stream: arrivals.Stream
    ) -> hypercorn_connection.HypercornConnection:
        return hypercorn_connection.HypercornConnection(
            self._application,
            stream,
            self._config,
            self._context,
            self._budget,
            lambda: self.closing,
        )


def new_budget(
    metrics: metrics_module.Metrics,
) -> connection_budget.ConnectionBudget:
    """Returns a budget of connections; their bytes are bounded elsewhere."""
    return connection_budget.ConnectionBudget(
        sys.maxsize, MAX_CONNECTIONS, metrics
    )


async def serve(
    application: hypercorn_connection.Application,
    address: str,
    stop: abc.Callable[[], abc.Awaitable[None]],
    stop_grace_s: float,
    *,
    task_status: trio.TaskStatus[list[str]] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Serves an ASGI application until `stop` returns, see `staged_server`.

    Args:
        application: The ASGI application.
        address: ``host:port`` to listen on.
        stop: Returns when no new connection is to be accepted.
        stop_grace_s: Seconds in which requests in flight can complete then.
        task_status: Started once the socket listens.
    """
    budget = new_budget(metrics_module.Metrics())
    server = HypercornServer(application, address, budget)
    await staged_server.serve(server, stop, stop_grace_s, task_status)
