"""Formatting of results and errors as a table or as JSON."""

import datetime
import typing
from collections import abc

import orjson

from laburnumsill.core import errors

FORMATS = ("table", "json")

_COLUMN_GAP = "  "
_EMPTY_CELL = "-"
_TIME_SUFFIX = "_at"

Row = abc.Mapping[str, typing.Any]


def as_json(value: object) -> str:
    """Returns a value as indented JSON."""
    return orjson.dumps(
        value, option=orjson.OPT_INDENT_2 | orjson.OPT_SORT_KEYS
    ).decode()


def as_table(value: object) -> str:
    """Returns a value as a table.

    A list of records has a row per record, a single record a line per field.

    Examples:
        >>> print(as_table([{"vm": "vm1", "ready": True}, {"vm": "vm22"}]))
        VM    READY
        vm1   yes
        vm22  -
    """
    if isinstance(value, abc.Mapping):
        return _fields(value)
    if isinstance(value, list) and all(
        isinstance(row, abc.Mapping) for row in value
    ):
        return _rows(value)
    return _cell(value)


def failure_line(error: errors.LaburnumsillError) -> str:
    """Returns an error as one line of text."""
    pairs = " ".join(
        f"{key}={_cell(value)}"
        for key, value in error.context.items()
        if value is not None
    )
    suffix = f" ({pairs})" if pairs else ""
    return " ".join(f"{error.title}: {error.detail}{suffix}".split())


def failure_json(error: errors.LaburnumsillError) -> str:
    """Returns an error as one line of JSON."""
    return orjson.dumps(
        {"error": error.slug, "detail": error.detail, **error.context}
    ).decode()


def _rows(rows: abc.Sequence[Row]) -> str:
    names = list(dict.fromkeys(name for row in rows for name in row))
    if not names:
        return "(none)"
    lines = [[name.upper().replace("_", " ") for name in names]]
    lines += [[_field(name, row.get(name)) for name in names] for row in rows]
    widths = [
        max(len(cell) for cell in column) for column in zip(*lines, strict=True)
    ]
    return "\n".join(
        _COLUMN_GAP.join(
            cell.ljust(width) for cell, width in zip(line, widths, strict=True)
        ).rstrip()
        for line in lines
    )


def _fields(record: Row) -> str:
    width = max((len(name) for name in record), default=0)
    return "\n".join(
        f"{name.ljust(width)}{_COLUMN_GAP}{_field(name, value)}"
        for name, value in record.items()
    )


def _field(name: str, value: object) -> str:
    """Returns the text of a field; a name that ends in ``_at`` is a time."""
    if name.endswith(_TIME_SUFFIX) and isinstance(value, int | float):
        time = datetime.datetime.fromtimestamp(value, datetime.UTC)
        return time.isoformat(timespec="seconds").replace("+00:00", "Z")
    return _cell(value)


def _cell(value: object) -> str:
    if value is None or value == "" or value == []:
        return _EMPTY_CELL
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, float):
        return f"{value:.6g}" if abs(value) < 1e6 else f"{value:.3f}"
    if isinstance(value, list) and all(isinstance(v, str) for v in value):
        return ",".join(value)
    if isinstance(value, abc.Mapping | list):
        return orjson.dumps(value).decode()
    return str(value)
