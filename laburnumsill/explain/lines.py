"""Reads the lines that `core.logs` writes back into events."""

import dataclasses
import datetime
import re
from collections import abc

_PAIR = re.compile(r'(\w+)=("(?:[^"\\]|\\.)*"|\S*)')
_ESCAPED = re.compile(r"\\(.)")
_BY_ESCAPE = {"n": "\n", "r": "\r"}

_START = "time="
"""What collectors of logs put before a line ends here."""


@dataclasses.dataclass(frozen=True, slots=True)
class Event:
    """One line of a log.

    Attributes:
        at: When, in Unix seconds by the clock of its VM.
        vm: Who wrote it.
        name: What happened.
        fields: All pairs of the line.
    """

    at: float
    vm: str
    name: str
    fields: abc.Mapping[str, str]

    def text(self, name: str) -> str:
        """Returns a field, "" if the line lacks it."""
        return self.fields.get(name, "")

    def number(self, name: str) -> float:
        """Returns a field as a number, 0 if the line has none there."""
        try:
            return float(self.fields.get(name, ""))
        except ValueError:
            return 0.0


def event_of(line: str) -> Event | None:
    """Returns the event that a line tells of, None for any other line.

    Examples:
        >>> event_of("time=1970-01-01T00:00:02.500Z event=signal vm=a").at
        2.5
        >>> event_of("Traceback (most recent call last):") is None
        True
    """
    start = line.find(_START)
    if start < 0:
        return None
    fields = {
        name: _plain(value) for name, value in _PAIR.findall(line[start:])
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
    """Returns the events of lines of any VMs, in the order of their times."""
    found = [event for line in lines if (event := event_of(line)) is not None]
    return sorted(found, key=lambda event: event.at)


def _plain(value: str) -> str:
    """Returns a value without its quotes, as it was before it was written."""
    if not value.startswith('"'):
        return value
    return _ESCAPED.sub(
        lambda match: _BY_ESCAPE.get(match[1], match[1]), value[1:-1]
    )
