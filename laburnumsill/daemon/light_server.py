"""A small HTTP/1.1 server for ASGI applications, on h11 and trio.

It is used by the roles that start often on small VMs: it loads a fifth of the
modules of a complete ASGI server, and a request needs one task and no queue.
HTTP/2, WebSockets, TLS and full-duplex streams are not supported.

The scope of a request tells after which time it began to arrive, in the
extension `arrivals.EXTENSION`: a process that stood still reads requests whose
callers may have left.

A server shuts down in two stages, so that no call is cut. From `close_after_
answers` on, each answer tells its caller that it is the last one on its
connection. From `stop` on, no connection is accepted, after those that wait to
be; idle connections are closed, and the others once their calls are answered.
"""

import errno
import math
from collections import abc

import trio

from laburnumsill.core import logs
from laburnumsill.core import metrics as metrics_module
from laburnumsill.daemon import connection_budget
from laburnumsill.daemon import connection_monitor
from laburnumsill.daemon import light_connection
from laburnumsill.daemon import light_exchange
from laburnumsill.daemon import listening
from laburnumsill.wire import arrivals

OUT_OF_RESOURCES = frozenset(
    {errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM}
)
"""Failures of accepting that pass when a connection is closed."""

ACCEPT_PAUSE_S = 0.1
"""Pause after such a failure."""

DEFAULT_MAX_BYTES = 64 * 1024 * 1024
DEFAULT_MAX_CONNECTIONS = 512

LAST_ANSWERS_S = 0.2
"""Time for the answers to calls that are given up, at the end of a shutdown."""


class LightServer:
    """Serves an ASGI application on one address.

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
        self._application = application
        self._address = address
        self._monitor = monitor
        self._budget = budget
        self._connections: set[light_connection.Connection] = set()
        self._listener: arrivals.Listener | None = None
        self._closing = False
        self._stopping = trio.Event()
        self._answer_by = math.inf
        self._ended = trio.Event()

    def close_after_answers(self) -> None:
        """Makes each answer the last one on its connection from now on."""
        self._closing = True

    def stop(self, answer_by: float) -> None:
        """Ends the server once all calls that have arrived are answered.

        Args:
            answer_by: Time of the loop at which a call that is still open is
                given up, with an answer that says so.
        """
        self._closing = True
        self._answer_by = answer_by
        self._stopping.set()

    async def wait_ended(self) -> None:
        """Waits until all connections have ended after `stop`."""
        await self._ended.wait()

    def listen(self) -> None:
        """Starts to listen; connections wait until the server runs.

        Raises:
            listening.AddressTakenError: Another process listens on the
                address.
            listening.ListenError: Listening on the address failed.
        """
        self._listener = arrivals.Listener(listening.listen(self._address))

    async def run(
        self,
        *,
        task_status: trio.TaskStatus[list[str]] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Serves from `listen` until `stop`.

        Args:
            task_status: Started once connections are accepted.
        """
        listener = self._listener
        assert listener is not None
        try:
            await self._run(listener, task_status)
        finally:
            listener.close()
            self._ended.set()

    async def _run(
        self,
        listener: arrivals.Listener,
        task_status: trio.TaskStatus[list[str]],
    ) -> None:
        async with trio.open_nursery() as running:
            async with trio.open_nursery() as accepting:
                accepting.start_soon(self._accept, listener, running)
                task_status.started([self._address])
                await self._stopping.wait()
                accepting.cancel_scope.cancel()
            for stream in listener.close():
                running.start_soon(self._handle, stream)
            for connection in list(self._connections):
                connection.finish(self._answer_by)
            running.cancel_scope.deadline = self._answer_by + LAST_ANSWERS_S

    async def _accept(
        self, listener: arrivals.Listener, running: trio.Nursery
    ) -> None:
        """Accepts connections until cancelled; the listener stays open."""
        while True:
            try:
                stream = await listener.accept()
            except OSError as error:
                if error.errno not in OUT_OF_RESOURCES:
                    raise
                logs.event(
                    "accept-failed",
                    level="ERROR",
                    address=self._address,
                    error=repr(error),
                )
                self._budget.give_up_oldest()
                await trio.sleep(ACCEPT_PAUSE_S)
                continue
            running.start_soon(self._handle, stream)

    async def _handle(self, stream: arrivals.Stream) -> None:
        connection = light_connection.Connection(
            self._application,
            stream,
            self._monitor,
            self._budget,
            lambda: self._closing,
        )
        if self._stopping.is_set():
            connection.finish(self._answer_by)
        self._connections.add(connection)
        try:
            await connection.run()
        finally:
            self._connections.discard(connection)


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
    """Serves an ASGI application until `stop` returns.

    Args:
        application: The ASGI application.
        address: ``host:port`` to listen on.
        stop: Returns when no new connection is to be accepted.
        stop_grace_s: Seconds in which requests in flight can complete then.
        monitor: Records the ends of connections, if given.
        budget: Bounds what the connections hold, if given.
        task_status: Started once the socket listens.

    Raises:
        listening.AddressTakenError: Another process listens on the address.
        listening.ListenError: Listening on the address failed.
    """
    metrics = metrics_module.Metrics()
    monitor = monitor or connection_monitor.Monitor("", metrics)
    budget = budget or connection_budget.ConnectionBudget(
        DEFAULT_MAX_BYTES, DEFAULT_MAX_CONNECTIONS, metrics
    )
    server = LightServer(application, address, monitor, budget)
    server.listen()
    async with trio.open_nursery() as nursery:
        await nursery.start(server.run)
        task_status.started([address])
        await stop()
        server.stop(trio.current_time() + stop_grace_s)
