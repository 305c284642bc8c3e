"""What the fakes share: settings, serving HTTP, and broken answers."""

import argparse
import gc
import pathlib
import tomllib
import typing

import hypercorn.config
import hypercorn.trio
import pydantic
import trio
from starlette import requests
from starlette import responses
from starlette import types as asgi

from laburnumsill.core import errors
from laburnumsill.core import logs

SettingsT = typing.TypeVar("SettingsT", bound=pydantic.BaseModel)

GRACE_S = 600.0
"""Time for requests in flight at a graceful end, in seconds."""

KEEP_ALIVE_S = 75.0
"""Time that an idle connection stays open, in seconds."""


def settings_from_arguments(model: type[SettingsT], about: str) -> SettingsT:
    """Returns the settings in the file named by ``--settings``."""
    parser = argparse.ArgumentParser(description=about)
    parser.add_argument("--settings", type=pathlib.Path, required=True)
    return load_settings(model, parser.parse_args().settings)


def load_settings(model: type[SettingsT], path: pathlib.Path) -> SettingsT:
    """Returns the validated settings in a TOML file.

    Raises:
        errors.InvalidConfigurationError: The file is no such settings file.
    """
    try:
        return model.model_validate(tomllib.loads(path.read_text()))
    except (tomllib.TOMLDecodeError, pydantic.ValidationError) as error:
        raise errors.InvalidConfigurationError(f"{path}: {error}") from error


class Listener:
    """Serves an ASGI app on one address; it can refuse for a while.

    Attributes:
        ended: Set once all requests have ended after `stop`.
    """

    def __init__(self, app: asgi.ASGIApp, address: str) -> None:
        self.ended = trio.Event()
        self._app = app
        self._address = address
        self._stopping = trio.Event()
        self._scope = trio.CancelScope()
        self._refuse_until = 0.0

    def refuse(self, seconds: float) -> None:
        """Closes the listener and all connections for `seconds`."""
        self._refuse_until = trio.current_time() + seconds
        self._scope.cancel()

    def stop(self) -> None:
        """Takes no more connections and ends once all requests have."""
        self._stopping.set()

    async def run(
        self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Serves until `stop`; reports started once it listens."""
        while not self._stopping.is_set():
            self._scope = trio.CancelScope()
            with self._scope:
                await self._serve(task_status)
            task_status = trio.TASK_STATUS_IGNORED
            # Cancelled connections are closed with their last reference.
            gc.collect()
            wait = self._refuse_until - trio.current_time()
            with trio.move_on_after(max(0, wait)):
                await self._stopping.wait()
        self.ended.set()

    async def _serve(self, task_status: trio.TaskStatus[None]) -> None:
        config = hypercorn.config.Config()
        config.bind = [self._address]
        config.loglevel = "WARNING"
        config.graceful_timeout = GRACE_S
        config.keep_alive_timeout = KEEP_ALIVE_S
        config.keep_alive_max_requests = 10**9
        config.backlog = 1024
        async with trio.open_nursery() as nursery:
            await nursery.start(
                self._hypercorn, config, name=f"listen {self._address}"
            )
            logs.event("listening", address=self._address)
            task_status.started()

    async def _hypercorn(
        self,
        config: hypercorn.config.Config,
        *,
        task_status: trio.TaskStatus[typing.Any],
    ) -> None:
        await hypercorn.trio.serve(
            typing.cast(typing.Any, self._app),
            config,
            shutdown_trigger=self._stopping.wait,
            task_status=task_status,
            mode="asgi",
        )


async def disconnected(request: requests.Request) -> None:
    """Waits until the caller of a request, read whole, has gone."""
    while (await request.receive())["type"] != "http.disconnect":
        pass


class CutResponse(responses.Response):
    """Closes the connection before any byte of the final answer.

    Only an informational (1xx) answer goes out, which clients skip.
    """

    async def __call__(
        self, scope: asgi.Scope, receive: asgi.Receive, send: asgi.Send
    ) -> None:
        """Sends the informational answer and ends."""
        await send(
            {"type": "http.response.start", "status": 102, "headers": []}
        )


class TruncatedResponse(responses.Response):
    """Promises its whole body, sends a part and closes the connection."""

    def __init__(self, body: bytes, sent: int) -> None:
        super().__init__(body, media_type="application/octet-stream")
        self._sent = min(sent, max(0, len(body) - 1))

    async def __call__(
        self, scope: asgi.Scope, receive: asgi.Receive, send: asgi.Send
    ) -> None:
        """Sends the first part of the body and ends."""
        await send(
            {
                "type": "http.response.start",
                "status": self.status_code,
                "headers": self.raw_headers,
            }
        )
        part = bytes(self.body)[: self._sent]
        await send(
            {"type": "http.response.body", "body": part, "more_body": True}
        )
