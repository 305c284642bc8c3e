"""Measures a sync on the loop against one in a worker thread.

Prints a table and writes JSON. Each way commits the same entries to a
`DiskStore` while another task wakes every millisecond; how late it wakes is
what a heartbeat would suffer. A slow disk is a stand-in: a sync that takes
`SLOW_SYNC_S` longer.
"""

import functools
import pathlib
import tempfile
import time
import typing
from collections import abc

import fire
import orjson
import trio

from laburnumsill.consensus import durable_files
from laburnumsill.consensus import store
from laburnumsill.consensus import store_disk
from laburnumsill.consensus import types

WAKE_EVERY_S = 0.001
SLOW_SYNC_S = 0.2

Commit = abc.Callable[[list[store.Change]], abc.Awaitable[None]]


def quantile(values: list[float], part: float) -> float:
    """Returns the value below which `part` of `values` lie, in ms."""
    ordered = sorted(values)
    return 1000 * ordered[min(len(ordered) - 1, int(part * len(ordered)))]


async def wake(lags: list[float]) -> None:
    """Notes how late each wake-up is, in seconds."""
    while True:
        due = time.monotonic() + WAKE_EVERY_S
        await trio.sleep(WAKE_EVERY_S)
        lags.append(time.monotonic() - due)


async def measure(
    commit: Commit, batch: int, rounds: int, data: bytes
) -> dict[str, float]:
    """Returns the times of `rounds` commits of `batch` entries each."""
    taken: list[float] = []
    lags: list[float] = []
    async with trio.open_nursery() as nursery:
        nursery.start_soon(wake, lags)
        for number in range(rounds):
            entries = tuple(
                types.Entry(
                    number * batch + place + 1, 1, types.EntryKind(0), data
                )
                for place in range(batch)
            )
            start = time.monotonic()
            await commit([store.Change(entries=entries)])
            taken.append(time.monotonic() - start)
            await trio.lowlevel.checkpoint()
        nursery.cancel_scope.cancel()
    return {
        "commits_per_s": rounds / sum(taken),
        "commit_p50_ms": quantile(taken, 0.5),
        "commit_p99_ms": quantile(taken, 0.99),
        "loop_lag_p99_ms": quantile(lags, 0.99) if lags else -1,
        "loop_lag_max_ms": 1000 * max(lags, default=-0.001),
    }


async def on_loop(
    kept: store_disk.DiskStore, changes: list[store.Change]
) -> None:
    """Commits on the loop."""
    kept.commit(changes)
    await trio.lowlevel.checkpoint()


async def in_thread(
    kept: store_disk.DiskStore, changes: list[store.Change]
) -> None:
    """Commits in a worker thread."""
    await trio.to_thread.run_sync(kept.commit, changes)


def run(
    folder: str | None = None,
    rounds: int = 1000,
    entry_bytes: int = 256,
    out: str = "run/bench-sync.json",
) -> None:
    """Runs all ways and prints one line for each.

    Args:
        folder: Where the stores are made; a temporary folder by default.
        rounds: Commits of each way.
        entry_bytes: Bytes of each entry.
        out: The JSON file.
    """
    rows: list[dict[str, typing.Any]] = []
    real_sync = durable_files.sync

    def slow_sync(descriptor: int, path: pathlib.Path) -> None:
        time.sleep(SLOW_SYNC_S)
        real_sync(descriptor, path)

    with tempfile.TemporaryDirectory(dir=folder) as place:
        for slow in (False, True):
            for way in (on_loop, in_thread):
                for batch in (1, 16, 64):
                    kept = store_disk.DiskStore(
                        pathlib.Path(place) / f"{slow}{way.__name__}{batch}",
                        "bench",
                    )
                    durable_files.sync = slow_sync if slow else real_sync
                    commit = functools.partial(way, kept)
                    figures = trio.run(
                        measure,
                        commit,
                        batch,
                        10 if slow else rounds,
                        b"x" * entry_bytes,
                    )
                    durable_files.sync = real_sync
                    kept.close()
                    rows.append(
                        {
                            "way": way.__name__,
                            "slow_disk": slow,
                            "batch": batch,
                            **figures,
                        }
                    )
    for row in rows:
        print(
            " ".join(
                f"{key}={value:.3f}"
                if isinstance(value, float)
                else f"{key}={value}"
                for key, value in row.items()
            )
        )
    path = pathlib.Path(out)
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_bytes(orjson.dumps(rows, option=orjson.OPT_INDENT_2))


if __name__ == "__main__":
    fire.Fire(run)
