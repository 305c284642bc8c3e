"""Structured logs: one line of key=value pairs for each event."""

import sys
import typing

import loguru

from laburnumsill.core import log_limits

_FORMAT = "time={time:YYYY-MM-DDTHH:mm:ss.SSS!UTC}Z level={level} {message}"

_limiter: log_limits.EventLimiter | None = None


def set_up_bounded(level: str, vm: str, stream: typing.TextIO) -> None:
    """Sends events to `stream` with rate limits and without blocking.

    Args:
        level: A loguru level name, such as ``INFO``.
        vm: The id of this VM, on every line.
        stream: The stream, which is set to non-blocking mode.
    """
    global _limiter
    _limiter = log_limits.EventLimiter()
    _set_sink(log_limits.NonBlockingSink(stream).write, level, vm)


def set_up(level: str, vm: str) -> None:
    """Sends events of `level` and above to standard error.

    Args:
        level: A loguru level name, such as ``INFO``.
        vm: The id of this VM or the name of this program, on every line.
    """
    _set_sink(sys.stderr, level, vm)


def event(name: str, /, level: str = "INFO", **fields: object) -> None:
    """Writes an event as one line.

    Args:
        name: The name of the event, in lower case with dashes.
        level: A loguru level name.
        **fields: Further keys and values; values with blanks are quoted.
    """
    if _limiter is not None:
        dropped = _limiter.admit(name)
        if dropped is None:
            return
        if dropped:
            fields["left_out_before"] = dropped
    pairs = " ".join(f"{key}={_text(value)}" for key, value in fields.items())
    loguru.logger.log(level, "{}", f"event={name} {pairs}".rstrip())


def decision(name: str, /, **fields: object) -> None:
    """Writes an event of a routing or placement decision with its reasons."""
    event(name, level="INFO", kind="decision", **fields)


def _set_sink(sink: typing.Any, level: str, vm: str) -> None:
    loguru.logger.remove()
    loguru.logger.add(
        sink, level=level, format=f"{_FORMAT} vm={vm}", catch=True
    )


def _text(value: object) -> str:
    """Returns `value` as text, quoted if it is empty or not a single word."""
    if isinstance(value, float):
        return f"{value:.6g}"
    text = str(value)
    if text and not any(c in ' "=\n\r\t' for c in text):
        return text
    escaped = text.replace("\\", "\\\\").replace('"', '\\"')
    return '"' + escaped.replace("\n", "\\n").replace("\r", "\\r") + '"'
