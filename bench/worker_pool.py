"""Measures calls to many workers at a time: `python -m bench.worker_pool`.

The production client calls stand-ins for workers, each on a port of its own
in this process, that answer every renewal at once. The processor time of a
call holds that of the stand-in; what it grows by with the number of workers
is the client's own pool of connections. Prints a table and writes JSON.
"""

import contextlib
import functools
import os
import time
import typing

import fire
import orjson
import trio

from bench import measuring
from laburnumsill.clients import worker as worker_client
from laburnumsill.core import clock as clocks

WORKERS = (1, 16, 64, 128, 256)
SECONDS = 3.0
TASK = "north.0123456789abcdef-1-0"
BODY = orjson.dumps(
    {"task_id": TASK, "job_id": "north.01", "epoch": 1, "state": "running"}
)
ANSWER = (
    b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
    + f"Content-Length: {len(BODY)}\r\n\r\n".encode()
    + BODY
)


async def answer_all(stream: trio.SocketStream) -> None:
    """Answers whatever comes; each call is small enough for one segment."""
    with contextlib.suppress(trio.BrokenResourceError):
        async for chunk in stream:
            # The head and the body may come apart; the body ends the call.
            if chunk.endswith(b"}"):
                await stream.send_all(ANSWER)


async def measure(workers: int) -> dict[str, typing.Any]:
    """Returns what a call costs with so many workers called all the time."""
    clock = clocks.SystemClock()
    client = worker_client.HttpWorkerClient(clock)
    calls = 0
    late = 0
    async with trio.open_nursery() as nursery:
        addresses = []
        for _ in range(workers):
            serve = functools.partial(
                trio.serve_tcp, answer_all, 0, host="127.0.0.1"
            )
            listeners = await nursery.start(serve)
            port = listeners[0].socket.getsockname()[1]
            addresses.append(f"127.0.0.1:{port}")

        async def call_again(address: str, end: float) -> None:
            nonlocal calls, late
            while time.monotonic() < end:
                try:
                    await client.act(
                        address,
                        worker_client.Action.RENEW,
                        TASK,
                        1,
                        clock.wall() + 10,
                        clock.monotonic() + 1.0,
                    )
                except worker_client.WorkerUnreachableError:
                    late += 1
                calls += 1

        used, began = time.process_time(), time.monotonic()
        async with trio.open_nursery() as callers:
            for address in addresses:
                callers.start_soon(call_again, address, began + SECONDS)
        used = time.process_time() - used
        await client.close()
        nursery.cancel_scope.cancel()
    return {
        "workers": workers,
        "calls": calls,
        "later_than_1_s": late,
        "cpu_us_each": 1e6 * used / max(1, calls),
        "load": os.getloadavg()[0],
    }


def main() -> None:
    """Runs the measurement."""
    rows = [trio.run(measure, workers) for workers in WORKERS]
    measuring.print_table(
        "renewals of many workers at a time",
        list(rows[0]),
        [list(row.values()) for row in rows],
    )
    measuring.save("worker_pool", {"rows": rows})


if __name__ == "__main__":
    fire.Fire(main)
