"""Measures the member table at two-year size: `python -m bench.members`.

All VMs of nine failure domains are tables in this process, with a clock that
is moved by hand and notices that are encoded, counted and decoded. Workers
announce themselves to a random VM of their domain when they were told to.
Processor time is that of one table, with encoding and decoding, without
sockets and HTTP (`bench.slopes` measures those). Memory is the growth of this
process over the number of tables.
"""

import collections
import dataclasses
import gc
import heapq
import os
import random
import time
import typing

import fire

from bench import measuring
from laburnumsill.config import current
from laburnumsill.core import clock as clocks
from laburnumsill.core import codec
from laburnumsill.core import logs
from laburnumsill.core import members
from laburnumsill.core import metrics
from laburnumsill.core import replication
from laburnumsill.core import topology
from laburnumsill.members import table as tables
from laburnumsill.members import timing
from laburnumsill.wire import frames
from laburnumsill.wire.generated.peer import ttypes

VMS = 26
DOMAINS = 9
WORKERS = (5_250, 10_500, 21_000)
RACK = 12
LENGTH_BYTES = 4
"""The length before a frame."""

RESTARTS = 20
"""Workers that are started anew in the last part."""


@dataclasses.dataclass(slots=True)
class Meter:
    """What one VM has sent, received and spent."""

    cpu_s: float = 0.0
    notices_out: int = 0
    notices_in: int = 0
    bytes_out: int = 0
    bytes_in: int = 0
    announcements: int = 0

    def since(self, before: "Meter") -> "Meter":
        """Returns the growth since an earlier copy."""
        fields = dataclasses.fields(self)
        return Meter(
            *(getattr(self, f.name) - getattr(before, f.name) for f in fields)
        )


class Link(replication.Peers):
    """The end of one VM; all VMs reach each other."""

    def __init__(self, vm_id: str, network: "Network") -> None:
        self._vm_id = vm_id
        self._network = network
        self.handlers: dict[type, replication.Handler] = {}
        self.meter = Meter()

    async def call(
        self, vm: str, request: object, deadline: float
    ) -> typing.Any:
        """Is not used by the member table."""
        raise NotImplementedError

    def notify(self, vm: str, notice: object) -> None:
        """Queues a notice, encoded."""
        frame = ttypes.Frame(notices=[codec.encode(notice)])
        raw = frames.encode(frame)
        self.meter.notices_out += 1
        self.meter.bytes_out += len(raw)
        self._network.queue.append((vm, raw))

    def on_call(
        self, request_type: type, handler: replication.AsyncHandler
    ) -> None:
        """Is not used by the member table."""

    def on_notice(
        self, notice_type: type, handler: replication.Handler
    ) -> None:
        """Keeps the handler."""
        self.handlers[notice_type] = handler

    def reachable(self) -> frozenset[str]:
        """Returns all VMs."""
        return self._network.names


class Network:
    """All VMs and the notices under way."""

    def __init__(self, workers: int) -> None:
        self.clock = clocks.ManualClock(1_000_000.0)
        self.queue: collections.deque[tuple[str, bytes]] = collections.deque()
        vms = [
            topology.Vm(f"vm{n:02}", f"d{n % DOMAINS}", "", "", True)
            for n in range(VMS)
        ]
        self.names = frozenset(vm.vm_id for vm in vms)
        self.links = {vm.vm_id: Link(vm.vm_id, self) for vm in vms}
        self._tables = {
            vm.vm_id: tables.MemberTable(
                vm,
                vms,
                self.links[vm.vm_id],
                current.Current(),
                self.clock,
                metrics.Metrics(),
            )
            for vm in vms
        }
        self._by_domain: dict[str, list[str]] = {}
        for vm in vms:
            self._by_domain.setdefault(vm.domain, []).append(vm.vm_id)
        self._draw = random.Random(1)
        self._workers = [_worker(number) for number in range(workers)]
        self._due = [
            (self.clock.wall() + self._draw.random() * 5.0, number)
            for number in range(workers)
        ]
        heapq.heapify(self._due)
        self.interval_s = 0.0

    def run(self, seconds: float) -> None:
        """Lets virtual time pass."""
        end = self.clock.monotonic() + seconds
        while self.clock.monotonic() < end:
            self.clock.advance(timing.TICK_S)
            self._announce_due()
            for name, table in self._tables.items():
                began = time.process_time()
                table.tick()
                self.links[name].meter.cpu_s += time.process_time() - began
            self._deliver()

    def restart(self, count: int) -> None:
        """Starts workers anew at once, under a later incarnation."""
        for number in self._draw.sample(range(len(self._workers)), count):
            worker = self._workers[number]
            self._workers[number] = dataclasses.replace(
                worker, incarnation="00000000000000000002", sequence=0
            )
            self._announce(number)

    def known(self, name: str) -> int:
        """Returns how many workers a VM may give work to."""
        table = self._tables[name]
        return sum(len(table.workers(d)) for d in self._by_domain)

    def _announce_due(self) -> None:
        while self._due and self._due[0][0] <= self.clock.wall():
            _, number = heapq.heappop(self._due)
            next_at = self._announce(number)
            heapq.heappush(self._due, (next_at, number))

    def _announce(self, number: int) -> float:
        worker = self._workers[number]
        worker = dataclasses.replace(worker, sequence=worker.sequence + 1)
        self._workers[number] = worker
        name = self._draw.choice(self._by_domain[worker.domain])
        meter = self.links[name].meter
        meter.announcements += 1
        # As it comes from HTTP: strings that no other VM shares.
        fresh = codec.decode(codec.encode(worker))
        table = self._tables[name]
        began = time.process_time()
        answer = table._announce(fresh)
        meter.cpu_s += time.process_time() - began
        self.interval_s = answer.next_announce_at - self.clock.wall()
        return answer.next_announce_at

    def _deliver(self) -> None:
        while self.queue:
            name, raw = self.queue.popleft()
            link = self.links[name]
            began = time.process_time()
            notice = codec.decode(frames.decode(raw[LENGTH_BYTES:]).notices[0])
            link.handlers[type(notice)](notice)
            link.meter.cpu_s += time.process_time() - began
            link.meter.notices_in += 1
            link.meter.bytes_in += len(raw)


def _worker(number: int) -> members.Worker:
    rack = number // RACK
    return members.Worker(
        worker_id=f"worker-{number:05}",
        domain=f"d{number % DOMAINS}",
        rack=f"rack-{rack:04}",
        address=f"10.{number // 65536}.{number // 256 % 256}.{number % 256}"
        ":9000",
        incarnation="00000000000000000001",
        sequence=0,
        cores=64,
        memory_gb=256,
        accelerators=8 if number % 5 == 0 else 0,
    )


def _copies(network: Network) -> dict[str, Meter]:
    return {
        name: dataclasses.replace(link.meter)
        for name, link in network.links.items()
    }


def _worst(
    network: Network, before: dict[str, Meter], seconds: float
) -> dict[str, float]:
    """Returns the figures of the VM that spent most, a second."""
    grown = [
        link.meter.since(before[name]) for name, link in network.links.items()
    ]
    bytes_s = [(g.bytes_in + g.bytes_out) / seconds for g in grown]
    return {
        "announcements_per_s": max(g.announcements for g in grown) / seconds,
        "notices_out_per_s": max(g.notices_out for g in grown) / seconds,
        "bytes_out_per_s": max(g.bytes_out for g in grown) / seconds,
        "bytes_in_per_s": max(g.bytes_in for g in grown) / seconds,
        "bytes_per_s": max(bytes_s),
        "bytes_per_s_mean": sum(bytes_s) / len(bytes_s),
        "cpu_percent": 100 * max(g.cpu_s for g in grown) / seconds,
        "cpu_percent_mean": 100
        * sum(g.cpu_s for g in grown)
        / len(grown)
        / seconds,
    }


def measure(workers: int, seconds: float) -> dict[str, typing.Any]:
    """Returns what one VM of 26 spends on so many workers."""
    gc.collect()
    resident = measuring.memory_mb(os.getpid())
    network = Network(workers)
    empty = measuring.memory_mb(os.getpid())
    before = _copies(network)
    network.run(10.0)
    gc.collect()
    joined = _worst(network, before, 1.0)
    memory = (measuring.memory_mb(os.getpid()) - empty) / VMS
    # One whole interval, so that all announce as seldom as they are told.
    network.run(timing.MAX_WORKER_INTERVAL_S)
    before = _copies(network)
    network.run(seconds)
    steady = _worst(network, before, seconds)
    before = _copies(network)
    network.restart(RESTARTS)
    network.run(1.0)
    restarted = _worst(network, before, 1.0)
    quiet = steady["bytes_per_s_mean"]
    return {
        "workers": workers,
        "known": network.known("vm00"),
        "interval_s": network.interval_s,
        "memory_mb": memory,
        "table_empty_mb": (empty - resident) / VMS,
        "join_cpu_s": joined["cpu_percent"] / 100,
        "join_bytes": joined["bytes_per_s"],
        **steady,
        "bytes_a_restart": (restarted["bytes_per_s_mean"] - quiet) / RESTARTS,
        "load": os.getloadavg()[0],
    }


def main(seconds: float = 60.0, largest: int = WORKERS[-1]) -> None:
    """Prints one table over the sizes and writes JSON.

    Args:
        seconds: Length of the steady part, in virtual time.
        largest: Leave out sizes above this.
    """
    logs.set_up("ERROR", "bench")
    rows = [measure(size, seconds) for size in WORKERS if size <= largest]
    names = list(rows[0])
    measuring.print_table(
        f"one VM of {VMS}, {DOMAINS} domains",
        ["", *(f"{row['workers']}" for row in rows)],
        [[name, *(row[name] for row in rows)] for name in names],
    )
    measuring.save("members", {"rows": rows})


if __name__ == "__main__":
    fire.Fire(main)
