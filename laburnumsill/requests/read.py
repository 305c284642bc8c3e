"""The first filter: reads a request's body within its limits.

Bodies wait in memory until their requests end, so all bodies of one VM
together have a limit, of which one account may take half.
"""

import collections
import contextlib
from collections import abc

import trio

from laburnumsill.core import clock as clocks
from laburnumsill.core import errors
from laburnumsill.requests import classify
from laburnumsill.requests import messages

MAX_HELD_BYTES = 16 * 1024 * 1024
"""Bytes of all bodies that one VM holds."""

MAX_ACCOUNT_SHARE = 0.5
"""Part of these that one account's bodies may take."""


class UnreadError(errors.OutcomeUnknownError):
    """The body of a request with a key could not be read.

    Nothing was sent. Whether an earlier send of the key ran is not looked
    up, since without the body it cannot be told to be the same request.
    """

    slug = "unread"
    status = 503
    title = "The body could not be read"
    default_retry_after_s = 1.0


class BodyReader:
    """Reads bodies and counts what is held of them.

    Args:
        clock: The process's clock.
        max_held_bytes: Bytes of all bodies that are held.
    """

    def __init__(
        self, clock: clocks.Clock, max_held_bytes: int = MAX_HELD_BYTES
    ) -> None:
        self._clock = clock
        self._max_held_bytes = max_held_bytes
        self._held: collections.Counter[str] = collections.Counter()

    @property
    def held_bytes(self) -> int:
        """Bytes of all bodies that are held."""
        return self._held.total()

    @contextlib.asynccontextmanager
    async def reading(
        self,
        classified: classify.Classified,
        chunks: abc.AsyncIterator[bytes],
    ) -> abc.AsyncIterator[messages.RoutedRequest]:
        """Yields the whole request; its body counts as held inside.

        Args:
            classified: What its head says.
            chunks: The body as it arrives.

        Raises:
            errors.TooLargeError: The body is over its service's limit.
            errors.OverloadedError: Too many bodies are held.
            errors.DeadlinePassedError: The body did not arrive in time.
            UnreadError: In place of the last two, where there may have been
                an earlier send.
        """
        parts: list[bytes] = []
        try:
            try:
                await self._read(classified, chunks, parts)
            except (errors.OverloadedError, errors.DeadlinePassedError) as err:
                if classified.needs_key:
                    raise UnreadError(err.detail) from err
                raise
            yield classified.with_body(b"".join(parts))
        finally:
            self._release(classified.account, sum(map(len, parts)))

    async def _read(
        self,
        classified: classify.Classified,
        chunks: abc.AsyncIterator[bytes],
        parts: list[bytes],
    ) -> None:
        limit = classified.service.max_body_bytes
        size = 0
        left = classified.deadline - self._clock.monotonic()
        with trio.move_on_after(max(0.0, left)):
            async for chunk in chunks:
                size += len(chunk)
                if size > limit:
                    raise errors.TooLargeError(
                        f"the body is over {limit} bytes"
                    )
                self._hold(classified.account, len(chunk))
                parts.append(chunk)
            return
        raise errors.DeadlinePassedError("the body did not arrive in time")

    def _hold(self, account: str, size: int) -> None:
        own = self._held[account] + size
        if (
            self.held_bytes + size > self._max_held_bytes
            or own > self._max_held_bytes * MAX_ACCOUNT_SHARE
        ):
            raise errors.OverloadedError(
                f"{self.held_bytes} bytes of bodies are held,"
                f" {own - size} of them of account {account!r}"
            )
        self._held[account] = own

    def _release(self, account: str, size: int) -> None:
        self._held[account] -= size
        if not self._held[account]:
            del self._held[account]
