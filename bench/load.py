"""Load on one address, as a process: open loop at a rate, or closed loop.

In open loop a latency counts from the moment its request was due, so that a
slow answer does not hide the wait of those behind it (no coordinated
omission). Prints one JSON object with the latencies as an encoded HDR
histogram in microseconds.
"""

import argparse
import random
import time

import orjson
import trio
from hdrh import histogram

from laburnumsill.testing import http

HIGHEST_US = 60_000_000
SIGNIFICANT_FIGURES = 3


def fresh_histogram() -> histogram.HdrHistogram:
    """Returns an empty histogram of microseconds."""
    return histogram.HdrHistogram(1, HIGHEST_US, SIGNIFICANT_FIGURES)


class Load:
    """Sends requests and records what came of them."""

    def __init__(self, arguments: argparse.Namespace) -> None:
        self._arguments = arguments
        self._client = http.Client(arguments.address)
        self._latencies = fresh_histogram()
        self._statuses: dict[str, int] = {}
        self._headers = dict(pair.split("=", 1) for pair in arguments.header)
        self._sent = 0
        self._prefix = f"{random.getrandbits(48):x}"

    async def run(self) -> dict[str, object]:
        """Runs the load and returns the result."""
        begun = time.monotonic()
        if self._arguments.rate:
            await self._open_loop(begun)
        else:
            await self._closed_loop(begun)
        seconds = time.monotonic() - begun
        return {
            "seconds": seconds,
            "count": self._sent,
            "per_second": self._sent / seconds,
            "statuses": self._statuses,
            "latencies": self._latencies.encode().decode(),
        }

    async def _open_loop(self, begun: float) -> None:
        due = begun
        async with trio.open_nursery() as nursery:
            while due < begun + self._arguments.seconds:
                await trio.sleep(max(0.0, due - time.monotonic()))
                nursery.start_soon(self._exchange, due)
                due += random.expovariate(self._arguments.rate)

    async def _closed_loop(self, begun: float) -> None:
        end = begun + self._arguments.seconds

        async def one_client() -> None:
            while time.monotonic() < end:
                await self._exchange(time.monotonic())

        async with trio.open_nursery() as nursery:
            for _ in range(self._arguments.clients):
                nursery.start_soon(one_client)

    async def _exchange(self, due: float) -> None:
        self._sent += 1
        headers = dict(self._headers)
        if self._arguments.keyed:
            headers["Idempotency-Key"] = f"{self._prefix}-{self._sent}"
        try:
            answer = await self._client.send(
                self._arguments.method,
                self._arguments.path,
                b"x" if self._arguments.method == "POST" else None,
                headers,
            )
            status = str(answer.status)
        except Exception as error:  # each kind is counted by its name
            status = type(error).__name__
        taken = int((time.monotonic() - due) * 1e6)
        self._latencies.record_value(min(max(1, taken), HIGHEST_US))
        self._statuses[status] = self._statuses.get(status, 0) + 1


def main() -> None:
    """Runs one load from the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--address", required=True)
    parser.add_argument("--path", required=True)
    parser.add_argument("--method", default="GET")
    parser.add_argument("--header", action="append", default=[])
    parser.add_argument("--keyed", action="store_true")
    parser.add_argument("--rate", type=float, default=0)
    parser.add_argument("--clients", type=int, default=16)
    parser.add_argument("--seconds", type=float, default=5)
    result = trio.run(Load(parser.parse_args()).run)
    print(orjson.dumps(result).decode())


if __name__ == "__main__":
    main()
