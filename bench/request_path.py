"""What one VM adds to a request: ``python -m bench.request_path``.

Runs a site of three VMs with one fake backend server in each domain, and a
bare forwarder before the same server. Latency is taken in open loop at a
fixed rate, throughput in closed loop by several load processes at once.
"""

import argparse
import dataclasses
import functools
import pathlib
import sys
import tempfile

import orjson
import trio

from bench import load
from bench import measuring
from laburnumsill.testing import cluster
from laburnumsill.testing import ports
from laburnumsill.testing import processes

PATH = "/offers"
SERVICE_PATH = f"/v1/services/booking{PATH}"
CONFIGURATION = {
    "site": "bench",
    "domains": ["east", "north", "south"],
    "services": {"booking": {"slots": 64, "classes": ["offer", "confirm"]}},
    "classes": {
        "offer": {"urgency": 0},
        "confirm": {"urgency": 1, "repeatable": False},
    },
    "accounts": {"bench": {}},
}


@dataclasses.dataclass(frozen=True, slots=True)
class Result:
    """What one load gave; times in milliseconds."""

    name: str
    per_second: float
    p50_ms: float
    p99_ms: float
    statuses: dict[str, int]
    cpu_ms_each: float


async def run_load(
    name: str,
    address: str,
    path: str,
    pid: int,
    processes_count: int,
    *options: str,
) -> Result:
    """Runs load processes side by side and merges what they print."""
    before = measuring.cpu_seconds(pid)
    printed: list[bytes] = []

    async def one() -> None:
        done = await trio.run_process(
            [
                sys.executable,
                "-m",
                "bench.load",
                f"--address={address}",
                f"--path={path}",
                *options,
            ],
            capture_stdout=True,
        )
        printed.append(done.stdout)

    async with trio.open_nursery() as nursery:
        for _ in range(processes_count):
            nursery.start_soon(one)
    used = measuring.cpu_seconds(pid) - before
    merged = load.fresh_histogram()
    statuses: dict[str, int] = {}
    per_second = 0.0
    count = 0
    for raw in printed:
        part = orjson.loads(raw)
        merged.decode_and_add(part["latencies"])
        per_second += part["per_second"]
        count += part["count"]
        for status, number in part["statuses"].items():
            statuses[status] = statuses.get(status, 0) + number
    return Result(
        name,
        per_second,
        merged.get_value_at_percentile(50) / 1e3,
        merged.get_value_at_percentile(99) / 1e3,
        statuses,
        used / max(1, count) * 1e3,
    )


async def measure(rate: float, seconds: float) -> None:
    """Runs all loads and shows the results."""
    with tempfile.TemporaryDirectory() as folder:
        layout = cluster.Layout(servers=1)
        async with cluster.running(pathlib.Path(folder), layout) as site:
            await site.until_led("root", site.vm_ids)
            await site.push(CONFIGURATION, "vm1")
            await site.until_ready()
            idle = await _idle(site)
            results = await _loads(site, folder, rate, seconds)
    _show(results, idle)


async def _idle(site: cluster.Cluster) -> dict[str, dict[str, float]]:
    """Returns CPU share and memory of each daemon without any load."""
    seconds = 5.0
    pids = {vm_id: site.process(vm_id).pid for vm_id in site.vm_ids}
    before = {vm_id: measuring.cpu_seconds(pid) for vm_id, pid in pids.items()}
    await trio.sleep(seconds)
    return {
        vm_id: {
            "cpu_percent": (measuring.cpu_seconds(pid) - before[vm_id])
            / seconds
            * 100,
            "memory_mb": measuring.memory_mb(pid),
        }
        for vm_id, pid in pids.items()
    }


async def _loads(
    site: cluster.Cluster, folder: str, rate: float, seconds: float
) -> list[Result]:
    server = "server-north-0"
    direct = site.address(server)
    forwarder_address = ports.free_address()
    forwarder = processes.Process(
        "forwarder",
        "bench.bare_forwarder",
        [f"--listen={forwarder_address}", f"--target={direct}"],
        pathlib.Path(folder) / "forwarder.log",
    )
    forwarder.start()
    await trio.sleep(1.5)
    vm = site.address("vm1")
    vm_pid = site.process("vm1").pid
    offer = ("--header=Laburnumsill-Account=bench",)
    confirm = (
        *offer,
        "--header=Laburnumsill-Class=confirm",
        "--method=POST",
        "--keyed",
    )
    targets = [
        ("direct", direct, PATH, site.process(server).pid, ()),
        ("bare forwarder", forwarder_address, PATH, forwarder.pid, ()),
        ("VM, repeatable", vm, SERVICE_PATH, vm_pid, offer),
        ("VM, not repeatable", vm, SERVICE_PATH, vm_pid, confirm),
    ]
    results = []
    try:
        for name, address, path, pid, options in targets:
            run = functools.partial(run_load, name, address, path, pid)
            timed = f"--seconds={seconds}"
            await run(1, f"--rate={rate}", "--seconds=2", *options)
            results.append(await run(1, f"--rate={rate}", timed, *options))
            full = await run(4, "--clients=8", timed, *options)
            results.append(
                dataclasses.replace(full, name=f"{name}, closed loop")
            )
    finally:
        forwarder.kill()
    return results


def _show(results: list[Result], idle: dict[str, dict[str, float]]) -> None:
    measuring.print_table(
        "Request path",
        ["what", "per s", "p50 ms", "p99 ms", "CPU ms each", "statuses"],
        [
            [
                r.name,
                r.per_second,
                r.p50_ms,
                r.p99_ms,
                r.cpu_ms_each,
                r.statuses,
            ]
            for r in results
        ],
    )
    measuring.print_table(
        "Idle daemon",
        ["VM", "CPU %", "memory MB"],
        [[vm, v["cpu_percent"], v["memory_mb"]] for vm, v in idle.items()],
    )
    measuring.save(
        "request_path",
        {"results": [dataclasses.asdict(r) for r in results], "idle": idle},
    )


def main() -> None:
    """Runs the measurement from the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--rate", type=float, default=300)
    parser.add_argument("--seconds", type=float, default=8)
    arguments = parser.parse_args()
    trio.run(measure, arguments.rate, arguments.seconds)


if __name__ == "__main__":
    main()
