"""Structured logs: one line of key=value pairs for each event."""

import sys
import typing

import loguru

from laburnumsill.core import log_limits

_FORMAT = "time={time:YYYY-MM-DDTHH:mm:ss.SSS!UTC}Z level={level} {message}"

_limiter: log_limits.EventLimiter | None = None


def set_up_bounded(level: str, vm: str, stream: typing.TextIO) -> None:
    """Like `set_up`, at a bounded rate and never waiting for the reader."""
    global _limiter
    _limiter = log_limits.EventLimiter()
    _send_to(log_limits.NonBlockingSink(stream).write, level, vm)


def set_up(level: str, vm: str) -> None:
    """Sends events of `level` and above to standard error.

    Args:
        level: A loguru level name, such as ``INFO``.
        vm: The id of this VM or the name of this program, on every line.
    """
    _send_to(sys.stderr, level, vm)


def event(name: str, /, level: str = "INFO", **fields: object) -> None:
    """Writes one event.

    Args:
        name: What happened, in lower case with dashes.
        level: A loguru level name.
        **fields: Further pairs; values with blanks are quoted.
    """
    if _limiter is not None:
        left_out = _limiter.admit(name)
        if left_out is None:
            return
        if left_out:
            fields["left_out_before"] = left_out
    pairs = " ".join(f"{key}={_text(value)}" for key, value in fields.items())
    loguru.logger.log(level, "{}", f"event={name} {pairs}".rstrip())


def decision(name: str, /, **fields: object) -> None:
    """Writes one routing or placement decision: what was chosen and why."""
    event(name, level="INFO", kind="decision", **fields)


def _send_to(sink: typing.Any, level: str, vm: str) -> None:
    loguru.logger.remove()
    loguru.logger.add(
        sink, level=level, format=f"{_FORMAT} vm={vm}", catch=True
    )


def _text(value: object) -> str:
    """Returns `value` as one word, quoted where it would not be one."""
    if isinstance(value, float):
        return f"{value:.6g}"
    text = str(value)
    if text and not any(c in ' "=\n\r\t' for c in text):
        return text
    escaped = text.replace("\\", "\\\\").replace('"', '\\"')
    return '"' + escaped.replace("\n", "\\n").replace("\r", "\\r") + '"'
