"""A server that accepts connections and shuts down without cutting a call.

It shuts down in two stages. From `close_after_answers` on, each answer tells
its caller that it is the last one on its connection. From `stop` on, no
connection is accepted, after those that wait to be; idle connections are
closed, and the others once their calls are answered.
"""

import abc
import errno
import math
from collections import abc as collections_abc

import trio

from laburnumsill.core import logs
from laburnumsill.daemon import connection_budget
from laburnumsill.daemon import listening
from laburnumsill.wire import arrivals

OUT_OF_RESOURCES = frozenset(
    {errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM}
)
"""Failures of accepting that pass when a connection is closed."""

ACCEPT_PAUSE_S = 0.1
"""Pause after such a failure."""

FIRST_CALL_S = 1.0
"""Time for which a new connection is kept during a shutdown until its first
call arrives: its caller has opened it to call at once."""

LAST_ANSWERS_S = 0.2
"""Time for the answers to calls that are given up, at the end of a shutdown."""


class Connection(abc.ABC):
    """A connection of such a server."""

    @abc.abstractmethod
    async def run(self) -> None:
        """Serves calls until the connection has ended."""

    @abc.abstractmethod
    def finish(self, answer_by: float) -> None:
        """Closes the connection once all calls that have arrived are answered.

        Args:
            answer_by: Time of the loop at which a call that is still open is
                given up.
        """


class StagedServer(abc.ABC):
    """Accepts connections on one address.

    Args:
        address: ``host:port`` to listen on.
        budget: Bounds what the connections hold.
    """

    def __init__(
        self, address: str, budget: connection_budget.ConnectionBudget
    ) -> None:
        self._address = address
        self._budget = budget
        self._connections: set[Connection] = set()
        self._listener: arrivals.Listener | None = None
        self._closing = False
        self._stopping = trio.Event()
        self._answer_by = math.inf
        self._ended = trio.Event()

    @property
    def closing(self) -> bool:
        """Whether an answer is the last one on its connection."""
        return self._closing

    def close_after_answers(self) -> None:
        """Makes each answer the last one on its connection from now on."""
        self._closing = True

    def stop(self, answer_by: float) -> None:
        """Ends the server once all calls that have arrived are answered.

        Args:
            answer_by: Time of the loop at which a call that is still open is
                given up.
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

    @abc.abstractmethod
    def _make_connection(self, stream: arrivals.Stream) -> Connection:
        """Returns what serves an accepted connection."""

    async def _run(
        self,
        listener: arrivals.Listener,
        task_status: trio.TaskStatus[list[str]],
    ) -> None:
        async with trio.open_nursery() as timing:
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
                timing.start_soon(
                    end_after_last_answers,
                    running.cancel_scope,
                    self._answer_by,
                )
            timing.cancel_scope.cancel()

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
        connection = self._make_connection(stream)
        if self._stopping.is_set():
            connection.finish(self._answer_by)
        self._connections.add(connection)
        try:
            await connection.run()
        finally:
            self._connections.discard(connection)


async def end_after_last_answers(
    scope: trio.CancelScope, answer_by: float
) -> None:
    """Cancels a scope `LAST_ANSWERS_S` after calls are given up.

    A loop that stood still over `answer_by` gets that time after it: what had
    arrived meanwhile could not be read before.
    """
    await trio.sleep_until(answer_by)
    await trio.sleep(LAST_ANSWERS_S)
    scope.cancel()


async def serve(
    server: StagedServer,
    stop: collections_abc.Callable[[], collections_abc.Awaitable[None]],
    stop_grace_s: float,
    task_status: trio.TaskStatus[list[str]],
) -> None:
    """Runs a server until `stop` returns and its connections have ended.

    Args:
        server: The server.
        stop: Returns when no new connection is to be accepted.
        stop_grace_s: Seconds in which requests in flight can complete then.
        task_status: Started with the addresses once the server runs.

    Raises:
        listening.AddressTakenError: Another process listens on the address.
        listening.ListenError: Listening on the address failed.
    """
    server.listen()
    async with trio.open_nursery() as nursery:
        task_status.started(await nursery.start(server.run))
        await stop()
        server.stop(trio.current_time() + stop_grace_s)
