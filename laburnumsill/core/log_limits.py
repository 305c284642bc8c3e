"""Bounds on what is logged: by the event, and never waiting for the reader."""

import errno
import os
import time
import typing
from collections import abc

LINES_A_SECOND = 100.0
"""Lines of one event in the long run: a busy VM decides some tens a second."""

BURST_LINES = 400.0
"""Lines of one event at once: a plan for a whole site after a failure."""

MAX_EVENTS = 1_000
"""Events that are told apart; their names are constants of the program."""


class EventLimiter:
    """Lets each event through at a bounded rate and counts the rest.

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
        """Returns None if a line is left out, else how many were before."""
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
            bucket.left_out += 1
            return None
        bucket.tokens -= 1.0
        left_out, bucket.left_out = bucket.left_out, 0
        return left_out


class _Bucket:
    def __init__(self, tokens: float, filled_at: float) -> None:
        self.tokens = tokens
        self.filled_at = filled_at
        self.left_out = 0


class NonBlockingSink:
    """Writes lines to a file descriptor; one that does not fit is counted.

    A reader that does not read must not stop the daemon. What was left out
    is said in a line of its own as soon as there is room.
    """

    def __init__(self, stream: typing.TextIO) -> None:
        self._descriptor = stream.fileno()
        self._rest = b""
        self._left_out = 0
        os.set_blocking(self._descriptor, False)

    def write(self, line: str) -> None:
        """Writes a line, or counts it as left out."""
        if not self._flush():
            self._left_out += 1
            return
        if self._left_out:
            note = f"level=WARNING event=log-lines-lost count={self._left_out}"
            self._left_out = 0
            self._rest = note.encode() + b"\n"
        self._rest += line.encode()
        self._flush()

    def _flush(self) -> bool:
        """Writes what is left of earlier lines; returns whether all went."""
        while self._rest:
            try:
                written = os.write(self._descriptor, self._rest)
            except OSError as error:
                if error.errno not in (errno.EAGAIN, errno.EINTR):
                    self._rest = b""  # nobody reads any more
                return False
            self._rest = self._rest[written:]
        return True
