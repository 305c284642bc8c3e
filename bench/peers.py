"""Measures calls between VMs and what idle connections cost.

``python -m bench.peers`` starts one process for each of eight VMs. First all
are idle, then one of them calls another in closed loop. Ends with a table and
JSON. The bytes with headers are an upper bound: each frame as a segment of
its own with one bare acknowledgement, 52 bytes of IP and TCP headers each.
"""

import dataclasses
import functools
import subprocess
import sys
import time
import typing

import fire
import hdrh.histogram
import orjson
import trio

from bench import measuring
from laburnumsill.core import clock
from laburnumsill.core import codec
from laburnumsill.core import logs
from laburnumsill.core import metrics
from laburnumsill.core import topology
from laburnumsill.testing import ports as testing_ports
from laburnumsill.wire import network

VMS = 8
SETTLE_S = 3.0
HEADER_BYTES = 52
HIGHEST_US = 10_000_000
IN_FLIGHT = (1, 16, 64, 256)


@codec.register("bench.peers-echo")
@dataclasses.dataclass(frozen=True, slots=True)
class Echo:
    """A call that returns itself."""

    text: str


async def echo(request: Echo) -> Echo:
    """Answers a call."""
    return request


async def ask_in_loop(
    peers: network.PeerNetwork,
    request: Echo,
    until: float,
    latencies: hdrh.histogram.HdrHistogram,
) -> None:
    """Calls the second VM until a point in time."""
    now = time.monotonic()
    while now < until:
        await peers.call("vm1", request, now + 10)
        done = time.monotonic()
        latencies.record_value(int(1e6 * (done - now)))
        now = done


async def measure_calls(
    peers: network.PeerNetwork, in_flight: int, size: int, seconds: float
) -> dict[str, float]:
    """Returns the rate and the latency of calls in closed loop."""
    latencies = hdrh.histogram.HdrHistogram(1, HIGHEST_US, 3)
    used, started = time.process_time(), time.monotonic()
    before = peers.traffic
    async with trio.open_nursery() as nursery:
        for _ in range(in_flight):
            nursery.start_soon(
                ask_in_loop,
                peers,
                Echo("x" * size),
                started + seconds,
                latencies,
            )
    calls = latencies.get_total_count()
    frames = peers.traffic.sent_frames - before.sent_frames
    return {
        "in_flight": in_flight,
        "bytes": size,
        "calls_per_s": calls / (time.monotonic() - started),
        "p50_ms": latencies.get_value_at_percentile(50) / 1000,
        "p99_ms": latencies.get_value_at_percentile(99) / 1000,
        "caller_cpu_us_each": 1e6 * (time.process_time() - used) / calls,
        "calls_per_frame": calls / frames,
    }


async def measure_idle(
    peers: network.PeerNetwork, seconds: float
) -> dict[str, float]:
    """Returns what idle connections cost one VM a second."""
    before, used = peers.traffic, time.process_time()
    await trio.sleep(seconds)
    after = peers.traffic
    sent = (after.sent_bytes - before.sent_bytes) / seconds
    received = (after.received_bytes - before.received_bytes) / seconds
    frames = after.sent_frames + after.received_frames
    frames -= before.sent_frames + before.received_frames
    return {
        "reachable": len(peers.reachable()),
        "sent_bytes_per_s": sent,
        "received_bytes_per_s": received,
        "with_headers_bytes_per_s": sent
        + received
        + 2 * HEADER_BYTES * frames / seconds,
        "cpu_percent": 100 * (time.process_time() - used) / seconds,
    }


async def run_vm(number: int, ports: list[int], seconds: float) -> None:
    """Runs one VM; all wait for each other's idle part to end."""
    addresses = {f"vm{n}": f"127.0.0.1:{port}" for n, port in enumerate(ports)}
    vm_id = f"vm{number}"
    me = topology.Vm(vm_id, "d", "", addresses[vm_id], False)
    peers = network.PeerNetwork(
        me, addresses, clock.SystemClock(), metrics.Metrics()
    )
    peers.on_call(Echo, echo)
    async with trio.open_nursery() as nursery:
        await nursery.start(peers.run)
        await trio.sleep(SETTLE_S)
        report: dict[str, typing.Any] = {
            "idle": await measure_idle(peers, seconds)
        }
        await trio.sleep(1)
        if number == 0:
            report["calls"] = [
                await measure_calls(peers, in_flight, size, seconds / 4)
                for size in (100, 10_000)
                for in_flight in IN_FLIGHT
            ]
            print(orjson.dumps(report).decode(), flush=True)
        else:
            print(orjson.dumps(report).decode(), flush=True)
            await trio.sleep_forever()
        nursery.cancel_scope.cancel()


def start_vm(
    number: int, ports: list[int], seconds: float
) -> subprocess.Popen[bytes]:
    """Starts the process of one VM."""
    arguments = [f"--vm={number}", f"--seconds={seconds}"]
    arguments.append("--ports=" + "-".join(map(str, ports)))
    command = [sys.executable, "-m", "bench.peers", *arguments]
    return subprocess.Popen(command, stdout=subprocess.PIPE)


def report_line(process: subprocess.Popen[bytes]) -> dict[str, typing.Any]:
    """Returns what a VM has measured."""
    assert process.stdout is not None
    return orjson.loads(process.stdout.readline())


def measure_all(seconds: float) -> None:
    """Starts the VMs, prints the tables and writes the JSON."""
    ports = testing_ports.free_ports(VMS)
    started = [start_vm(number, ports, seconds) for number in range(VMS)]
    try:
        first, *others = [report_line(process) for process in started]
        memory = [measuring.memory_mb(one.pid) for one in started[1:]]
    finally:
        for process in started:
            process.kill()
            process.wait()
    idle = [first["idle"], *(other["idle"] for other in others)]
    calls = first["calls"]
    measuring.print_table(
        f"One VM with {VMS - 1} idle peers",
        list(idle[0]),
        [list(row.values()) for row in idle],
    )
    measuring.print_table(
        "Calls from one VM to another",
        list(calls[0]),
        [list(row.values()) for row in calls],
    )
    measuring.save("peers", {"idle": idle, "calls": calls, "memory_mb": memory})


def main(seconds: float = 20.0, vm: int = -1, ports: str = "") -> None:
    """Runs the measurement, or one VM of it.

    Args:
        seconds: Length of the idle part.
        vm: Number of the VM that this process is, if it is one.
        ports: Ports of all VMs, joined by dashes.
    """
    if vm < 0:
        measure_all(seconds)
        return
    logs.set_up("WARNING", f"vm{vm}")
    numbers = [int(port) for port in str(ports).split("-")]
    trio.run(functools.partial(run_vm, vm, numbers, seconds))


if __name__ == "__main__":
    fire.Fire(main)
