"""The read filter: reads request bodies within memory limits.

Bodies are buffered until their requests end, so the buffered bytes of a VM
are limited, and those of one account to a share of that limit.
"""

import collections
import contextlib
from collections import abc

import trio

from laburnumsill.core import clock as clocks
from laburnumsill.core import errors
from laburnumsill.requests import classify
from laburnumsill.requests import messages

MAX_BUFFERED_BYTES = 16 * 1024 * 1024
"""Limit of the buffered bytes of all bodies on one VM."""

MAX_ACCOUNT_SHARE = 0.5
"""Share of that limit which one account's bodies may use."""


class UnreadError(errors.OutcomeUnknownError):
    """The body of a request with a key could not be read.

    Nothing was sent. Earlier sends of the key are not looked up, because
    without the body's digest the request cannot be matched to them.
    """

    slug = "unread"
    status = 503
    title = "The body could not be read"
    default_retry_after_s = 1.0


class BodyReader:
    """Reads bodies and limits the buffered bytes.

    Args:
        clock: The process's clock.
        max_buffered_bytes: Limit of the buffered bytes of all bodies.
    """

    def __init__(
        self, clock: clocks.Clock, max_buffered_bytes: int = MAX_BUFFERED_BYTES
    ) -> None:
        self._clock = clock
        self._max_buffered_bytes = max_buffered_bytes
        self._buffered_by_account: collections.Counter[str] = (
            collections.Counter()
        )

    @property
    def buffered_bytes(self) -> int:
        """Buffered bytes of all bodies."""
        return self._buffered_by_account.total()

    @contextlib.asynccontextmanager
    async def read_request(
        self,
        classified: classify.ClassifiedHead,
        chunks: abc.AsyncIterator[bytes],
    ) -> abc.AsyncIterator[messages.RoutedRequest]:
        """Yields the complete request, whose body stays buffered until exit.

        Args:
            classified: The classified head of the request.
            chunks: Chunks of the body as they arrive.

        Raises:
            errors.TooLargeError: The body is over its service's limit.
            errors.OverloadedError: Too many bytes are buffered.
            errors.DeadlinePassedError: The body did not arrive in time.
            UnreadError: Instead of the last two, if there may have been an
                earlier send of the request's key.
        """
        # A list of small chunks would use many times their size in memory.
        buffer = bytearray()
        try:
            try:
                await self._read(classified, chunks, buffer)
            except (errors.OverloadedError, errors.DeadlinePassedError) as err:
                if classified.needs_key:
                    raise UnreadError(err.detail) from err
                raise
            yield classified.with_body(bytes(buffer))
        finally:
            self._release(classified.account, len(buffer))

    async def _read(
        self,
        classified: classify.ClassifiedHead,
        chunks: abc.AsyncIterator[bytes],
        buffer: bytearray,
    ) -> None:
        limit = classified.service.max_body_bytes
        size = 0
        remaining_s = classified.deadline - self._clock.monotonic()
        with trio.move_on_after(max(0.0, remaining_s)):
            async for chunk in chunks:
                size += len(chunk)
                if size > limit:
                    raise errors.TooLargeError(
                        f"the body is over {limit} bytes"
                    )
                self._reserve(classified.account, len(chunk))
                buffer += chunk
            return
        raise errors.DeadlinePassedError("the body did not arrive in time")

    def _reserve(self, account: str, size: int) -> None:
        account_bytes = self._buffered_by_account[account] + size
        if (
            self.buffered_bytes + size > self._max_buffered_bytes
            or account_bytes > self._max_buffered_bytes * MAX_ACCOUNT_SHARE
        ):
            raise errors.OverloadedError(
                f"{self.buffered_bytes} bytes of bodies are held,"
                f" {account_bytes - size} of them of account {account!r}"
            )
        self._buffered_by_account[account] = account_bytes

    def _release(self, account: str, size: int) -> None:
        self._buffered_by_account[account] -= size
        if not self._buffered_by_account[account]:
            del self._buffered_by_account[account]
