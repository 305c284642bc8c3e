"""What the measurements share: CPU, memory, tables and JSON files."""

import os
import pathlib
import platform
import sys
import time
import typing
from collections import abc

import orjson

RESULTS = pathlib.Path(__file__).parent / "results"
_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
_PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


def cpu_seconds(pid: int) -> float:
    """Returns the processor time that a process has used."""
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1]
    user, system = fields.split()[11:13]
    return (int(user) + int(system)) / _TICKS_PER_S


def memory_mb(pid: int) -> float:
    """Returns the resident memory of a process in MB (2**20 bytes)."""
    pages = pathlib.Path(f"/proc/{pid}/statm").read_text().split()[1]
    return int(pages) * _PAGE_BYTES / 2**20


def print_table(
    title: str,
    columns: abc.Sequence[str],
    rows: abc.Sequence[abc.Sequence[object]],
) -> None:
    """Prints rows under columns, numbers with four figures."""
    texts = [[_text(cell) for cell in row] for row in rows]
    widths = [
        max(len(row[n]) for row in [list(columns), *texts])
        for n in range(len(columns))
    ]
    print(f"\n{title}")
    for row in [list(columns), *texts]:
        cells = zip(row, widths, strict=True)
        print("  ".join(text.rjust(width) for text, width in cells))


def save(name: str, results: abc.Mapping[str, typing.Any]) -> None:
    """Writes results, with the machine and the moment, as JSON."""
    RESULTS.mkdir(exist_ok=True)
    report = {
        "name": name,
        "at": time.strftime("%Y-%m-%dT%H:%M:%SZ", time.gmtime()),
        "python": sys.version.split()[0],
        "machine": platform.machine(),
        "cores": os.cpu_count(),
        "load": os.getloadavg(),
        **results,
    }
    raw = orjson.dumps(report, option=orjson.OPT_INDENT_2)
    (RESULTS / f"{name}.json").write_bytes(raw + b"\n")


def _text(cell: object) -> str:
    return f"{cell:.4g}" if isinstance(cell, float) else str(cell)
