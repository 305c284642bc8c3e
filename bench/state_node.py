"""One VM of the measurement of the replicated state, see `bench.state`.

Takes one JSON command a line on standard input and answers each with one
line: what was measured, or nothing but the time it took.
"""

import dataclasses
import functools
import pathlib
import sys
import time
import typing
from collections import abc

import fire
import hdrh.histogram
import orjson
import trio

from laburnumsill.consensus import durable_files
from laburnumsill.consensus import host
from laburnumsill.core import clock as clocks
from laburnumsill.core import codec
from laburnumsill.core import errors
from laburnumsill.core import logs
from laburnumsill.core import metrics
from laburnumsill.core import replication
from laburnumsill.core import topology
from laburnumsill.wire import network

GROUP = "group0"
KEYS = 1024
HIGHEST_US = 60_000_000
PROBE_PAUSE_S = 0.005


@codec.register("bench.state-put")
@dataclasses.dataclass(frozen=True, slots=True)
class Put:
    """Sets one of `KEYS` values."""

    key: int
    value: bytes


@codec.register("bench.state-get")
@dataclasses.dataclass(frozen=True, slots=True)
class Get:
    """Reads one value."""

    key: int


@codec.register("bench.state-values")
@dataclasses.dataclass(frozen=True, slots=True)
class Values:
    """Values by key."""

    by_key: dict[int, bytes]


class Table(replication.Component):
    """A bounded table."""

    def __init__(self) -> None:
        self._by_key: dict[int, bytes] = {}

    @property
    def name(self) -> str:
        """The key in a snapshot."""
        return "table"

    def commands(self) -> dict[type, replication.Handler]:
        """Returns the handler of `Put`."""
        return {Put: self._put}

    def queries(self) -> dict[type, replication.Handler]:
        """Returns the handler of `Get`."""
        return {Get: self._get}

    def dump(self) -> bytes:
        """Returns all values."""
        return codec.encode(Values(self._by_key))

    def load(self, raw: bytes) -> None:
        """Replaces all values."""
        self._by_key = codec.decode(raw).by_key

    def _put(self, command: Put) -> None:
        self._by_key[command.key] = command.value

    def _get(self, query: Get) -> Values:
        return Values({query.key: self._by_key.get(query.key, b"")})


class Node:
    """One VM: its connections, its replicas and the commands of the bench."""

    def __init__(
        self, number: int, ports: list[int], groups: int, folder: str
    ) -> None:
        self._clock = clocks.SystemClock()
        self._vms = [
            topology.Vm(f"vm{n}", "d", "", f"127.0.0.1:{port}", bool(folder))
            for n, port in enumerate(ports)
        ]
        self._me = self._vms[number]
        measured = metrics.Metrics()
        addresses = {vm.vm_id: vm.peer_address for vm in self._vms}
        self._network = network.PeerNetwork(
            self._me, addresses, self._clock, measured
        )
        self._host = host.GroupHost(
            self._me,
            self._vms,
            self._network,
            lambda _: replication.StateMachine(Table()),
            pathlib.Path(folder) / self._me.vm_id if folder else None,
            self._clock,
            measured,
            initial_voters={
                f"group{n}": list(addresses) for n in range(groups)
            },
        )
        self._groups = groups

    async def run(self) -> None:
        """Serves commands until standard input ends."""
        async with trio.open_nursery() as nursery:
            await nursery.start(self._network.run)
            await nursery.start(self._host.run)
            while True:
                line = await trio.to_thread.run_sync(
                    sys.stdin.buffer.readline, abandon_on_cancel=True
                )
                if not line:
                    break
                command = orjson.loads(line)
                action = getattr(self, command.pop("do"))
                answer = await action(**command)
                print(orjson.dumps(answer).decode(), flush=True)
            nursery.cancel_scope.cancel()

    async def settle(self) -> dict[str, typing.Any]:
        """Waits until every group takes a command from here."""
        for number in range(self._groups):
            await self._host.propose(
                f"group{number}", Put(0, b""), self._clock.monotonic() + 60
            )
        return {"vm": self._me.vm_id}

    async def until_whole(self) -> dict[str, typing.Any]:
        """Waits until this VM votes in its group and has applied all."""
        while True:
            status = self._host.status()[0]
            voter = status.role in ("leader", "follower")
            if voter and status.leader and status.applied == status.committed:
                return {"applied": status.applied}
            await trio.sleep(0.05)

    async def lead(self) -> dict[str, typing.Any]:
        """Takes the lead of all groups."""
        for number in range(self._groups):
            name = f"group{number}"
            while not self._host.leads(name):
                deadline = self._clock.monotonic() + 10
                await self._host.transfer_leadership(
                    name, self._me.vm_id, deadline
                )
                await trio.sleep(0.05)
        return {"leads": True}

    async def load(
        self, clients: int, seconds: float, size: int, reads: bool
    ) -> dict[str, typing.Any]:
        """Runs clients in closed loop against one group."""
        latencies = hdrh.histogram.HdrHistogram(1, HIGHEST_US, 3)
        used, started = time.process_time(), time.monotonic()
        act = self._read if reads else functools.partial(self._write, size)
        async with trio.open_nursery() as nursery:
            for number in range(clients):
                nursery.start_soon(
                    self._loop, act, number, started + seconds, latencies
                )
        taken = time.monotonic() - started
        count = latencies.get_total_count()
        return {
            "clients": clients,
            "per_s": count / taken,
            "p50_ms": latencies.get_value_at_percentile(50) / 1000,
            "p99_ms": latencies.get_value_at_percentile(99) / 1000,
            "cpu_us_each": 1e6 * (time.process_time() - used) / count,
        }

    async def idle(self, seconds: float) -> dict[str, typing.Any]:
        """Counts what goes over the connections while nothing is asked."""
        before = self._network.traffic
        used = time.process_time()
        await trio.sleep(seconds)
        after = self._network.traffic
        sent = after.sent_bytes - before.sent_bytes
        received = after.received_bytes - before.received_bytes
        frames = after.sent_frames - before.sent_frames
        led = sum(self._host.leads(f"group{n}") for n in range(self._groups))
        return {
            "leads": led,
            "sent_bytes_per_s": sent / seconds,
            "received_bytes_per_s": received / seconds,
            "sent_frames_per_s": frames / seconds,
            "cpu_percent": 100 * (time.process_time() - used) / seconds,
        }

    async def probe(self, seconds: float) -> dict[str, typing.Any]:
        """Returns the longest time between two commits from here.

        One proposal after the other, so this is how long a caller that
        comes at the worst moment finds no leader.
        """
        end = self._clock.monotonic() + seconds
        last = self._clock.monotonic()
        longest = 0.0
        while last < end:
            try:
                await self._write(16, 0, last + 20)
            except errors.LaburnumsillError as error:
                return {"error": error.slug}
            now = self._clock.monotonic()
            longest = max(longest, now - last)
            last = now
            await trio.sleep(PROBE_PAUSE_S)
        return {"longest_s": longest}

    async def _loop(
        self,
        act: abc.Callable[[int, float], abc.Awaitable[typing.Any]],
        number: int,
        end: float,
        latencies: hdrh.histogram.HdrHistogram,
    ) -> None:
        now = time.monotonic()
        while now < end:
            await act(number, now + 20)
            done = time.monotonic()
            latencies.record_value(max(1, int(1e6 * (done - now))))
            now = done

    async def _write(self, size: int, number: int, deadline: float) -> None:
        command = Put(number % KEYS, b"x" * size)
        await self._host.propose(GROUP, command, deadline)

    async def _read(self, number: int, deadline: float) -> None:
        await self._host.query(GROUP, Get(number % KEYS), deadline)


def _no_sync(descriptor: int, path: pathlib.Path) -> None:
    """Stands in for `durable_files.sync` where its cost is to be left out."""


def main(
    vm: int, ports: str, groups: int, folder: str = "", sync: bool = True
) -> None:
    """Runs one VM.

    Args:
        vm: Its number.
        ports: Ports of all VMs, joined by dashes.
        groups: Groups, each with a replica on every VM.
        folder: Where all VMs keep their state; none without.
        sync: Whether to sync.
    """
    logs.set_up("WARNING", f"vm{vm}")
    if not sync:
        durable_files.sync = _no_sync
    numbers = [int(port) for port in str(ports).split("-")]
    trio.run(Node(vm, numbers, groups, folder).run)


if __name__ == "__main__":
    fire.Fire(main)
