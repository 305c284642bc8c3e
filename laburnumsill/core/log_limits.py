"""Rate limits for log events, and a log sink that does not block."""

import errno
import os
import time
import typing
from collections import abc

LINES_A_SECOND = 100.0
"""Sustained rate of lines per event; a busy VM logs some tens of decisions a
second."""

BURST_LINES = 400.0
"""Burst of lines per event, enough for a plan for a whole site after a
failure."""

MAX_EVENTS = 1_000
"""Maximum number of token buckets, one per event. Event names are constants of
the program."""


class EventLimiter:
    """Limits the rate of each event by a token bucket and counts drops.

    Examples:
        >>> limiter = EventLimiter(1.0, 2.0, lambda: 0.0)
        >>> [limiter.admit("e") for _ in range(4)]
        [0, 0, None, None]
        >>> limiter = EventLimiter(1.0, 1.0, iter([0.0, 0.1, 1.2]).__next__)
        >>> [limiter.admit("e") for _ in range(3)]
        [0, None, 1]
    """

    def __init__(
        self,
        rate: float = LINES_A_SECOND,
        burst: float = BURST_LINES,
        now: abc.Callable[[], float] = time.monotonic,
    ) -> None:
        self._rate = rate
        self._burst = burst
        self._now = now
        self._buckets: dict[str, _Bucket] = {}

    def admit(self, event: str) -> int | None:
        """Returns None to drop a line, else the number dropped before it."""
        now = self._now()
        bucket = self._buckets.get(event)
        if bucket is None:
            if len(self._buckets) >= MAX_EVENTS:
                self._buckets.clear()
            bucket = self._buckets[event] = _Bucket(self._burst, now)
        bucket.tokens += (now - bucket.filled_at) * self._rate
        bucket.tokens = min(bucket.tokens, self._burst)
        bucket.filled_at = now
        if bucket.tokens < 1.0:
            bucket.dropped += 1
            return None
        bucket.tokens -= 1.0
        dropped, bucket.dropped = bucket.dropped, 0
        return dropped


class _Bucket:
    def __init__(self, tokens: float, filled_at: float) -> None:
        self.tokens = tokens
        self.filled_at = filled_at
        self.dropped = 0


class NonBlockingSink:
    """Writes lines to a file descriptor without blocking.

    A reader that does not read must not block the daemon. Lines that do not
    fit into the pipe are dropped, and a line with their number is written
    once writing succeeds again.
    """

    def __init__(self, stream: typing.TextIO) -> None:
        self._descriptor = stream.fileno()
        self._unwritten = b""
        self._dropped = 0
        os.set_blocking(self._descriptor, False)

    def write(self, line: str) -> None:
        """Writes a line, or drops and counts it."""
        if not self._flush():
            self._dropped += 1
            return
        if self._dropped:
            note = f"level=WARNING event=log-lines-lost count={self._dropped}"
            self._dropped = 0
            self._unwritten = note.encode() + b"\n"
        self._unwritten += line.encode()
        self._flush()

    def _flush(self) -> bool:
        """Writes the unwritten bytes; returns whether all were written."""
        while self._unwritten:
            try:
                written = os.write(self._descriptor, self._unwritten)
            except OSError as error:
                if error.errno not in (errno.EAGAIN, errno.EINTR):
                    self._unwritten = b""  # the reader has closed the pipe
                return False
            self._unwritten = self._unwritten[written:]
        return True
