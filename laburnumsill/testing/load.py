"""Callers as a process of their own: open loop at a rate, or closed loop.

``python -m laburnumsill.testing.load --address 127.0.0.1:8080 ...`` sends
requests to one VM and prints one JSON object with the fields of `Result`. A
process of its own keeps the callers' work out of the loop that carries a
test's proxies. In open loop a latency counts from the moment its request was
due, so that a slow answer does not hide the wait of those behind it.
"""

import argparse
import dataclasses
import random
import sys
import time
import typing
from collections import abc

import httpcore
import orjson
import trio
from hdrh import histogram

from laburnumsill.testing import http

HIGHEST_US = 60_000_000
SIGNIFICANT_FIGURES = 3
REFUSED_PAUSE_S = 0.1
"""Pause of a caller in closed loop after a refusal, in seconds."""

POOLS = 16
"""Pools of connections in open loop; a large one is slow to search."""

_LOST = (
    httpcore.NetworkError,
    httpcore.TimeoutException,
    httpcore.ProtocolError,
)


def fresh_histogram() -> histogram.HdrHistogram:
    """Returns an empty histogram of microseconds."""
    return histogram.HdrHistogram(1, HIGHEST_US, SIGNIFICANT_FIGURES)


@dataclasses.dataclass(slots=True)
class Result:
    """What came of the requests.

    Attributes:
        outcomes: Count of each `Laburnumsill-Outcome`; "lost" if none came.
        latencies: Of the answered ones, in microseconds.
    """

    outcomes: dict[str, int] = dataclasses.field(default_factory=dict)
    latencies: typing.Any = dataclasses.field(default_factory=fresh_histogram)

    @property
    def sent(self) -> int:
        """The number of requests."""
        return sum(self.outcomes.values())

    def percentile_ms(self, percentile: float) -> float:
        """Returns a percentile of the latencies in milliseconds."""
        value: int = self.latencies.get_value_at_percentile(percentile)
        return value / 1000

    def add(self, other: "Result") -> None:
        """Adds what another process counted."""
        for outcome, count in other.outcomes.items():
            self.outcomes[outcome] = self.outcomes.get(outcome, 0) + count
        self.latencies.add(other.latencies)

    def encoded(self) -> bytes:
        """Returns this as JSON."""
        return orjson.dumps(
            {
                "outcomes": self.outcomes,
                "latencies": self.latencies.encode().decode(),
            }
        )

    @classmethod
    def decoded(cls, raw: bytes) -> "Result":
        """Returns the result that `encoded` made `raw` of."""
        fields = orjson.loads(raw)
        result = cls(fields["outcomes"])
        result.latencies.decode_and_add(fields["latencies"])
        return result


class Load:
    """Sends requests to one address and counts what becomes of them."""

    def __init__(self, arguments: argparse.Namespace) -> None:
        self._arguments = arguments
        self._result = Result()
        self._headers = dict(pair.split("=", 1) for pair in arguments.header)
        self._prefix = f"{random.getrandbits(48):x}"
        self._number = 0

    async def run(self) -> Result:
        """Runs the load and returns what came of it."""
        if self._arguments.rate:
            await self._open_loop()
        else:
            await self._closed_loop()
        return self._result

    async def _open_loop(self) -> None:
        clients = [http.Client(self._arguments.address) for _ in range(POOLS)]
        due = time.monotonic()
        end = due + self._arguments.seconds
        async with trio.open_nursery() as nursery:
            while due < end:
                await trio.sleep(max(0.0, due - time.monotonic()))
                client = clients[self._number % POOLS]
                nursery.start_soon(self._exchange, client, due)
                due += random.expovariate(self._arguments.rate)

    async def _closed_loop(self) -> None:
        end = time.monotonic() + self._arguments.seconds

        async def caller() -> None:
            client = http.Client(self._arguments.address)
            while time.monotonic() < end:
                outcome = await self._exchange(client, time.monotonic())
                if outcome != "answered":
                    await trio.sleep(REFUSED_PAUSE_S)

        async with trio.open_nursery() as nursery:
            for _ in range(self._arguments.clients):
                nursery.start_soon(caller)

    async def _exchange(self, client: http.Client, due: float) -> str:
        self._number += 1
        headers = dict(self._headers)
        if self._arguments.keyed:
            headers["Idempotency-Key"] = f"{self._prefix}-{self._number}"
        outcome = "lost"
        try:
            answer = await client.send(
                "POST", self._arguments.path, b"{}", headers, 60
            )
            outcome = answer.outcome or str(answer.status)
        except _LOST:
            pass
        taken = int((time.monotonic() - due) * 1e6)
        if outcome == "answered":
            self._result.latencies.record_value(min(taken, HIGHEST_US))
        outcomes = self._result.outcomes
        outcomes[outcome] = outcomes.get(outcome, 0) + 1
        return outcome


async def run_process(
    address: str, path: str, headers: abc.Mapping[str, str], *options: str
) -> Result:
    """Runs a load as a process and returns what came of it.

    Args:
        address: A VM's client address.
        path: The path.
        headers: Headers of every request.
        options: Further arguments of the program.
    """
    command = [
        sys.executable,
        "-m",
        "laburnumsill.testing.load",
        f"--address={address}",
        f"--path={path}",
        *(f"--header={name}={value}" for name, value in headers.items()),
        *options,
    ]
    done = await trio.run_process(command, capture_stdout=True)
    return Result.decoded(done.stdout)


def main() -> None:
    """Runs one load from the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--address", required=True)
    parser.add_argument("--path", required=True)
    parser.add_argument("--header", action="append", default=[])
    parser.add_argument("--keyed", action="store_true")
    parser.add_argument("--rate", type=float, default=0)
    parser.add_argument("--clients", type=int, default=16)
    parser.add_argument("--seconds", type=float, default=5)
    result = trio.run(Load(parser.parse_args()).run)
    print(result.encoded().decode())


if __name__ == "__main__":
    main()
