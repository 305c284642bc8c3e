"""The HTTP server of one daemon: hypercorn with limits and event logs."""

import logging
import select
import socket
import typing
from collections import abc

import hypercorn.config
import hypercorn.trio
import trio

from laburnumsill.core import logs
from laburnumsill.daemon import listening

MAX_HEADER_BYTES = 32 * 1024
KEEP_ALIVE_S = 60
QUIET_S = 0.1
"""Time without a waiting connection after which the listener is closed. In it
the calls of the connections that were accepted last are read."""

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


class HttpOnly:
    """Adds the ASGI lifespan protocol to an application without it.

    Args:
        application: An ASGI application that supports only HTTP.
    """

    def __init__(self, application: typing.Any) -> None:
        self._application = application

    async def __call__(
        self,
        scope: abc.Mapping[str, typing.Any],
        receive: abc.Callable[[], abc.Awaitable[dict[str, typing.Any]]],
        send: abc.Callable[[dict[str, typing.Any]], abc.Awaitable[None]],
    ) -> None:
        """Serves one scope."""
        if scope["type"] != "lifespan":
            await self._application(scope, receive, send)
            return
        message = await receive()
        while message["type"] != "lifespan.shutdown":
            await send({"type": "lifespan.startup.complete"})
            message = await receive()
        await send({"type": "lifespan.shutdown.complete"})


class ClosingWhileStopping:
    """Makes each answer the last one on its connection during a shutdown.

    hypercorn then closes the connection without notice, and a caller that
    has sent its next call on it gets no answer.

    Args:
        application: An ASGI application.
        is_stopping: Whether the server is going to stop.
    """

    def __init__(
        self, application: typing.Any, is_stopping: abc.Callable[[], bool]
    ) -> None:
        self._application = application
        self._is_stopping = is_stopping

    async def __call__(
        self,
        scope: abc.Mapping[str, typing.Any],
        receive: abc.Callable[[], abc.Awaitable[dict[str, typing.Any]]],
        send: abc.Callable[[dict[str, typing.Any]], abc.Awaitable[None]],
    ) -> None:
        """Serves one scope."""

        async def send_last(message: dict[str, typing.Any]) -> None:
            is_start = message["type"] == "http.response.start"
            if is_start and self._is_stopping():
                fields = [*message["headers"], (b"connection", b"close")]
                message = {**message, "headers": fields}
            await send(message)

        await self._application(scope, receive, send_last)


async def serve(
    application: typing.Any,
    address: str,
    stop: abc.Callable[[], abc.Awaitable[None]],
    stop_grace_s: float,
    *,
    task_status: trio.TaskStatus[list[str]] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Serves an ASGI application until `stop` returns.

    Args:
        application: The ASGI application.
        address: ``host:port`` to listen on.
        stop: Returns when no new connection is to be accepted.
        stop_grace_s: Seconds in which requests in flight can complete then; at
            most half of them wait for connections to be accepted.
        task_status: Started once the socket listens.

    Raises:
        listening.AddressTakenError: Another process listens on the address.
        listening.ListenError: Listening on the address failed.
    """
    listener = listening.listen(address)
    queue = listener.dup()
    config = hypercorn.config.Config()
    config.bind = [f"fd://{listener.detach()}"]
    config.accesslog = None
    config.errorlog = _logger()
    config.h11_max_incomplete_size = MAX_HEADER_BYTES
    config.keep_alive_timeout = KEEP_ALIVE_S
    config.graceful_timeout = stop_grace_s
    config.backlog = listening.LISTEN_BACKLOG
    config.max_app_queue_size = MAX_QUEUED_CHUNKS
    config.include_server_header = False

    async def stop_when_accepted() -> None:
        await stop()
        deadline = trio.current_time() + stop_grace_s
        with trio.move_on_at((trio.current_time() + deadline) / 2):
            await _until_quiet(queue)
        queue.close()
        config.graceful_timeout = deadline - trio.current_time()

    with queue:
        await hypercorn.trio.serve(
            application,
            config,
            shutdown_trigger=stop_when_accepted,
            mode="asgi",
            task_status=task_status,
        )


async def _until_quiet(queue: socket.socket) -> None:
    """Waits until no connection has waited to be accepted for `QUIET_S`."""
    poll = select.poll()
    poll.register(queue, select.POLLIN)
    quiet_at = trio.current_time() + QUIET_S
    while trio.current_time() < quiet_at:
        if poll.poll(0):
            quiet_at = trio.current_time() + QUIET_S
        await trio.sleep(QUIET_S / 10)
