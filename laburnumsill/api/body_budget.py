"""Limit of the memory that the bodies of operators and members may use.

See `core.byte_budget` for which body is given up where it is reached.
"""

import typing
from collections import abc

import trio
from starlette import types

from laburnumsill.core import byte_budget
from laburnumsill.core import errors
from laburnumsill.core import logs

MAX_HELD_BYTES = 32 * 1024 * 1024
"""Limit of the bytes of all bodies that are read and not yet answered: eight
of the largest, or 32,768 announcements of 1 KiB."""

MAX_DISCARDED_BYTES = 8 * 1024 * 1024
DISCARD_TIMEOUT_S = 1.0
"""Limits for reading and discarding the rest of a body before the answer is
sent. A connection that is closed with unread bytes is reset, and the caller may
lose the answer."""

_BODY_HEADERS = {b"content-length", b"transfer-encoding"}


class BodyBudget(byte_budget.ByteBudget):
    """Bounds the bytes of all bodies that one application reads.

    Args:
        max_held_bytes: The limit; a single body must fit into it.
    """

    def __init__(self, max_held_bytes: int = MAX_HELD_BYTES) -> None:
        super().__init__(max_held_bytes)

    async def serve(
        self,
        application: types.ASGIApp,
        scope: types.Scope,
        receive: types.Receive,
        send: types.Send,
    ) -> None:
        """Lets an application serve one request within the limit.

        The application's `receive` raises `errors.OverloadedError` if the body
        is given up.
        """
        names = {name.lower() for name, _ in scope["headers"]}
        if not names & _BODY_HEADERS:
            await application(scope, receive, send)
            return
        body = _Body(self, receive, send)
        self.add(body)
        try:
            await application(scope, body.receive, body.send)
        finally:
            self.remove(body)

    def _on_give_up(self, held_bytes: int) -> None:
        logs.event(
            "body-given-up",
            "WARNING",
            held_bytes=held_bytes,
            all_bytes=self.held_bytes,
            bodies=self.holders,
        )


class _Body(byte_budget.Holder):
    """The body of one request, and the answer to it."""

    def __init__(
        self, budget: BodyBudget, receive: types.Receive, send: types.Send
    ) -> None:
        self._since = trio.current_time()
        self._complete = False
        self._budget = budget
        self._receive = receive
        self._send = send
        self._given_up = False
        self._receiving = trio.CancelScope()

    @property
    def waiting_since(self) -> float | None:
        """Time at which it began to arrive, None once it is complete."""
        return None if self._complete else self._since

    def give_up(self) -> None:
        """Makes `receive` fail, also one that waits."""
        self._given_up = True
        self._receiving.cancel()

    async def receive(self) -> types.Message:
        """Returns the next message, whose bytes count from now on.

        Raises:
            errors.OverloadedError: The body was given up.
        """
        if self._complete:
            return await self._receive()
        message: abc.MutableMapping[str, typing.Any] = {}
        if not self._given_up:
            self._receiving = trio.CancelScope()
            with self._receiving:
                message = await self._receive()
        if not self._given_up:
            self._note(message)
            self._budget.take(self, len(message.get("body", b"")))
        if self._given_up:
            raise errors.OverloadedError("too many bytes of bodies are held")
        return message

    async def send(self, message: types.Message) -> None:
        """Sends a message, the first one after the rest of the body."""
        if message["type"] == "http.response.start" and not self._complete:
            await self._discard()
        await self._send(message)

    async def _discard(self) -> None:
        remaining = MAX_DISCARDED_BYTES
        with trio.move_on_after(DISCARD_TIMEOUT_S):
            while remaining > 0 and not self._complete:
                message = await self._receive()
                remaining -= len(message.get("body", b""))
                self._note(message)

    def _note(self, message: types.Message) -> None:
        if not message.get("more_body", False):
            self._complete = True
