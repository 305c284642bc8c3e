"""Limit of the memory that the bodies of operators and members may use.

Where the limit is reached, the body that has been arriving for longest is given
up: one that arrives without pauses is soon complete, so callers that hold their
bodies or send slowly cannot shut the others out. A body that its endpoint has
got whole is never given up, so the refusal says truly that nothing was run.
"""

import typing
from collections import abc

import trio
from starlette import types

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


class BodyBudget:
    """Bounds the bytes of all bodies that one application reads.

    Args:
        max_held_bytes: The limit; a single body must fit into it.
    """

    def __init__(self, max_held_bytes: int = MAX_HELD_BYTES) -> None:
        self._max_held_bytes = max_held_bytes
        self._held_bytes = 0
        self._bodies: dict[_Body, None] = {}

    @property
    def held_bytes(self) -> int:
        """Bytes of all bodies that were not given up."""
        return self._held_bytes

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
        self._bodies[body] = None
        try:
            await application(scope, body.receive, body.send)
        finally:
            self._remove(body)

    def take(self, body: "_Body", size: int) -> None:
        """Adds bytes to a body, for which others may be given up, or it."""
        body.held_bytes += size
        self._held_bytes += size
        while self._held_bytes > self._max_held_bytes:
            self._give_up(self._oldest_arriving() or body)

    def _oldest_arriving(self) -> "_Body | None":
        for body in self._bodies:
            if body.held_bytes and not body.complete:
                return body
        return None

    def _give_up(self, body: "_Body") -> None:
        logs.event(
            "body-given-up",
            "WARNING",
            held_bytes=body.held_bytes,
            all_bytes=self._held_bytes,
            bodies=len(self._bodies),
        )
        self._remove(body)
        body.give_up()

    def _remove(self, body: "_Body") -> None:
        if body in self._bodies:
            del self._bodies[body]
            self._held_bytes -= body.held_bytes


class _Body:
    """The body of one request, and the answer to it."""

    def __init__(
        self, budget: BodyBudget, receive: types.Receive, send: types.Send
    ) -> None:
        self.held_bytes = 0
        self.complete = False
        self._budget = budget
        self._receive = receive
        self._send = send
        self._given_up = False
        self._receiving = trio.CancelScope()

    def give_up(self) -> None:
        """Makes `receive` fail, also one that waits."""
        self._given_up = True
        self._receiving.cancel()

    async def receive(self) -> types.Message:
        """Returns the next message, whose bytes count from now on.

        Raises:
            errors.OverloadedError: The body was given up.
        """
        if self.complete:
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
        if message["type"] == "http.response.start" and not self.complete:
            await self._discard()
        await self._send(message)

    async def _discard(self) -> None:
        remaining = MAX_DISCARDED_BYTES
        with trio.move_on_after(DISCARD_TIMEOUT_S):
            while remaining > 0 and not self.complete:
                message = await self._receive()
                remaining -= len(message.get("body", b""))
                self._note(message)

    def _note(self, message: types.Message) -> None:
        if not message.get("more_body", False):
            self.complete = True
