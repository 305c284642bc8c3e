"""Measures what idle daemons cost: `python -m bench.idle_daemons`.

Starts whole sites as processes on loopback, without a proxy and without
workers: few VMs and the 26 VMs in nine domains of the two-year size. Prints
what one daemon costs a second, at the median and at the worst, and writes
JSON. Bytes are those of the peer network without the headers of TCP and IP;
with them each frame is taken as a segment with an acknowledgement of its own.
"""

import os
import pathlib
import statistics
import tempfile
import time
import typing

import fire
import trio

from bench import measuring
from laburnumsill.testing import cluster
from laburnumsill.testing import scenario

HEADER_BYTES = 52
LAYOUTS: tuple[dict[str, int], ...] = (
    {"d1": 1, "d2": 1, "d3": 1},
    {"d1": 3, "d2": 3, "d3": 3},
    {f"d{n}": 1 for n in range(9)},
    {f"d{n}": 3 if n < 8 else 2 for n in range(9)},
)
COUNTERS = ("sent_bytes", "received_bytes", "sent_frames", "received_frames")


class DirectCluster(cluster.Cluster):
    """A site whose VMs dial each other without the proxy between."""

    def _add_links(self) -> None:
        """Adds none: a VM without a link is dialed at its own address."""


async def counters(site: cluster.Cluster, vm_id: str) -> dict[str, float]:
    """Returns the counts of the peer network of one VM."""
    answer = await site.client(vm_id).send("GET", "/metrics", timeout_s=10)
    found = dict.fromkeys(COUNTERS, 0.0)
    for line in answer.body.decode().splitlines():
        for name in COUNTERS:
            if line.startswith(f"laburnumsill_peer_{name}_total"):
                found[name] = float(line.rpartition(" ")[2])
    return found


async def measure(
    domains: dict[str, int], seconds: float
) -> dict[str, typing.Any]:
    """Returns the figures of one site."""
    with tempfile.TemporaryDirectory() as folder:
        site = DirectCluster(
            pathlib.Path(folder), cluster.Layout(domains=domains)
        )
        async with trio.open_nursery() as nursery:
            try:
                await site.start(nursery)
                await scenario.start_site(site)
                await trio.sleep(5)
                return await _idle(site, domains, seconds)
            finally:
                site.stop()
                nursery.cancel_scope.cancel()
    raise AssertionError


async def _idle(
    site: cluster.Cluster, domains: dict[str, int], seconds: float
) -> dict[str, typing.Any]:
    pids = {vm_id: site.process(vm_id).pid for vm_id in site.vm_ids}
    before = {vm_id: await counters(site, vm_id) for vm_id in pids}
    used = {vm_id: measuring.cpu_seconds(pid) for vm_id, pid in pids.items()}
    began = time.monotonic()
    await trio.sleep(seconds)
    took = time.monotonic() - began
    cpu = [
        100 * (measuring.cpu_seconds(pid) - used[vm_id]) / took
        for vm_id, pid in pids.items()
    ]
    memory = [measuring.memory_mb(pid) for pid in pids.values()]
    grown = []
    for vm_id in pids:
        after = await counters(site, vm_id)
        grown.append(
            {n: (after[n] - before[vm_id][n]) / took for n in COUNTERS}
        )
    bytes_s = [g["sent_bytes"] + g["received_bytes"] for g in grown]
    frames_s = [g["sent_frames"] + g["received_frames"] for g in grown]
    headed = [
        b + 2 * HEADER_BYTES * f for b, f in zip(bytes_s, frames_s, strict=True)
    ]
    return {
        "vms": len(pids),
        "domains": len(domains),
        "cpu_percent_median": statistics.median(cpu),
        "cpu_percent_max": max(cpu),
        "bytes_per_s_median": statistics.median(bytes_s),
        "bytes_per_s_max": max(bytes_s),
        "frames_per_s_median": statistics.median(frames_s),
        "with_headers_median": statistics.median(headed),
        "memory_mb_median": statistics.median(memory),
        "memory_mb_max": max(memory),
        "load": os.getloadavg()[0],
    }


async def measure_all(seconds: float) -> None:
    """Runs all sites, one after the other."""
    rows = [await measure(domains, seconds) for domains in LAYOUTS]
    names = list(rows[0])
    measuring.print_table(
        "one idle daemon",
        ["", *(f"{row['vms']}/{row['domains']}" for row in rows)],
        [[name, *(row[name] for row in rows)] for name in names],
    )
    measuring.save("idle_daemons", {"rows": rows})


def main(seconds: float = 20.0) -> None:
    """Runs the measurement.

    Args:
        seconds: Length of the idle part of each site.
    """
    trio.run(measure_all, seconds)


if __name__ == "__main__":
    fire.Fire(main)
