"""Parses the log lines that `core.logs` writes."""

import dataclasses
import datetime
import re
from collections import abc

_PAIR = re.compile(r'(\w+)=("(?:[^"\\]|\\.)*"|\S*)')
_ESCAPED = re.compile(r"\\(.)")
_BY_ESCAPE = {"n": "\n", "r": "\r"}

_LINE_START = "time="
"""Start of the part that `core.logs` wrote; log collectors add prefixes."""


@dataclasses.dataclass(frozen=True, slots=True)
class Event:
    """One line of a log.

    Attributes:
        at: Unix seconds by the clock of the VM.
        vm: The VM that wrote the line.
        name: The name of the event.
        fields: All keys and values of the line.
    """

    at: float
    vm: str
    name: str
    fields: abc.Mapping[str, str]

    def text(self, name: str) -> str:
        """Returns the value of a key, "" if the line lacks it."""
        return self.fields.get(name, "")

    def number(self, name: str) -> float:
        """Returns the value of a key as a number, 0 if it is not a number."""
        try:
            return float(self.fields.get(name, ""))
        except ValueError:
            return 0.0


def parse_event(line: str) -> Event | None:
    """Returns the event of a line, None if the line is not an event.

    Examples:
        >>> parse_event("time=1970-01-01T00:00:02.500Z event=signal vm=a").at
        2.5
        >>> parse_event("Traceback (most recent call last):") is None
        True
    """
    start = line.find(_LINE_START)
    if start < 0:
        return None
    fields = {
        name: _unquote(value) for name, value in _PAIR.findall(line[start:])
    }
    try:
        moment = datetime.datetime.fromisoformat(fields.get("time", ""))
    except ValueError:
        return None
    if "event" not in fields or moment.tzinfo is None:
        return None
    return Event(
        moment.timestamp(), fields.get("vm", ""), fields["event"], fields
    )


def events_of(lines: abc.Iterable[str]) -> list[Event]:
    """Returns the events of log lines of any VMs, sorted by time."""
    events = [
        event for line in lines if (event := parse_event(line)) is not None
    ]
    return sorted(events, key=lambda event: event.at)


def _unquote(value: str) -> str:
    """Returns a value without quotes and escapes."""
    if not value.startswith('"'):
        return value
    return _ESCAPED.sub(
        lambda match: _BY_ESCAPE.get(match[1], match[1]), value[1:-1]
    )
