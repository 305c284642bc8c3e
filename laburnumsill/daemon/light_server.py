"""A small HTTP/1.1 server for ASGI applications, on h11 and trio.

It is used by the roles that start often on small VMs: it loads a fifth of the
modules of a complete ASGI server, and a request needs one task and no queue.
HTTP/2, WebSockets, TLS and full-duplex streams are not supported.

The scope of a request tells after which time it began to arrive, in the
extension `arrivals.EXTENSION`: a process that stood still reads requests whose
callers may have left.
"""

from collections import abc

import trio

from laburnumsill.core import metrics as metrics_module
from laburnumsill.daemon import connection_budget
from laburnumsill.daemon import connection_monitor
from laburnumsill.daemon import light_connection
from laburnumsill.daemon import light_exchange
from laburnumsill.daemon import staged_server
from laburnumsill.wire import arrivals

DEFAULT_MAX_BYTES = 64 * 1024 * 1024
DEFAULT_MAX_CONNECTIONS = 512


class LightServer(staged_server.StagedServer):
    """Serves an ASGI application on one address.

    A call that is given up at the end of a shutdown gets an answer that says
    so.

    Args:
        application: The ASGI application. It acts on a call only once it has
            read the whole body.
        address: ``host:port`` to listen on.
        monitor: Records the ends of connections.
        budget: Bounds what the connections of the process hold.
    """

    def __init__(
        self,
        application: light_exchange.Application,
        address: str,
        monitor: connection_monitor.Monitor,
        budget: connection_budget.ConnectionBudget,
    ) -> None:
        super().__init__(address, budget)
        self._application = application
        self._monitor = monitor

    def _make_connection(
        self, stream: arrivals.Stream
    ) -> light_connection.Connection:
        return light_connection.Connection(
            self._application,
            stream,
            self._monitor,
            self._budget,
            lambda: self.closing,
        )


async def serve(
    application: light_exchange.Application,
    address: str,
    stop: abc.Callable[[], abc.Awaitable[None]],
    stop_grace_s: float,
    monitor: connection_monitor.Monitor | None = None,
    budget: connection_budget.ConnectionBudget | None = None,
    *,
    task_status: trio.TaskStatus[list[str]] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Serves an ASGI application until `stop` returns, see `staged_server`.

    Args:
        application: The ASGI application.
        address: ``host:port`` to listen on.
        stop: Returns when no new connection is to be accepted.
        stop_grace_s: Seconds in which requests in flight can complete then.
        monitor: Records the ends of connections, if given.
        budget: Bounds what the connections hold, if given.
        task_status: Started once the socket listens.
    """
    metrics = metrics_module.Metrics()
    monitor = monitor or connection_monitor.Monitor("", metrics)
    budget = budget or connection_budget.ConnectionBudget(
        DEFAULT_MAX_BYTES, DEFAULT_MAX_CONNECTIONS, metrics
    )
    server = LightServer(application, address, monitor, budget)
    await staged_server.serve(server, stop, stop_grace_s, task_status)
