"""Time until a push is in force on all VMs: ``python -m bench.in_force``.

Runs a site of eight VMs as processes, pushes versions one after another, and
asks every VM for the version in force there until all have it; then the same
with one VM killed that votes in the root group, asking the others. A push
counts from the moment it is sent. The polls are part of what is measured.
"""

import argparse
import pathlib
import tempfile
import time
from collections import abc

import trio

from bench import load
from bench import measuring
from laburnumsill.testing import cluster
from laburnumsill.testing import scenario

LAYOUT = cluster.Layout(domains={"north": 3, "east": 3, "south": 2})
POLL_S = 0.005


async def push_and_wait(
    site: cluster.Cluster, vm_ids: abc.Sequence[str], version: int
) -> float:
    """Pushes one version and returns the seconds until it is in force."""
    domains = {site.domain_of(vm_id) for vm_id in site.vm_ids}
    configuration = scenario.configuration(domains)
    configuration["accounts"][f"extra-{version}"] = {}
    begun = time.monotonic()
    while True:
        answer = await site.push(
            configuration, vm_ids[0], version - 1, key=f"push-{version}"
        )
        if answer.status == 200:
            break
        await trio.sleep(POLL_S)
    async with trio.open_nursery() as nursery:
        for vm_id in vm_ids:
            nursery.start_soon(_until_in_force, site, vm_id, version)
    return time.monotonic() - begun


async def _until_in_force(
    site: cluster.Cluster, vm_id: str, version: int
) -> None:
    while True:
        answer = await site.client(vm_id).send(
            "GET", "/v1/config?source=in-force"
        )
        if answer.status == 200 and answer.json()["version"] >= version:
            return
        await trio.sleep(POLL_S)


async def measure(pushes: int) -> dict[str, dict[str, float]]:
    """Returns what was measured, healthy and with one VM dead."""
    results = {}
    with tempfile.TemporaryDirectory() as folder:
        async with cluster.running(pathlib.Path(folder), LAYOUT) as site:
            await scenario.start_site(site)
            leader = await site.until_led("root", site.vm_ids)
            results["healthy"] = await _round(site, site.vm_ids, 2, pushes)
            site.process(leader).kill()
            alive = [vm_id for vm_id in site.vm_ids if vm_id != leader]
            results["root leader killed"] = await _round(
                site, alive, 2 + pushes, pushes
            )
    return results


async def _round(
    site: cluster.Cluster, vm_ids: abc.Sequence[str], first: int, pushes: int
) -> dict[str, float]:
    times = load.fresh_histogram()
    for version in range(first, first + pushes):
        taken = await push_and_wait(site, vm_ids, version)
        times.record_value(int(taken * 1e6))
    return {
        "pushes": pushes,
        "p50_ms": times.get_value_at_percentile(50) / 1e3,
        "p99_ms": times.get_value_at_percentile(99) / 1e3,
        "highest_ms": times.get_max_value() / 1e3,
    }


def main() -> None:
    """Runs the measurement from the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--pushes", type=int, default=100)
    results = trio.run(measure, parser.parse_args().pushes)
    measuring.print_table(
        "Until a push is in force on all VMs",
        ["VMs", "pushes", "p50 ms", "p99 ms", "highest ms"],
        [[name, *row.values()] for name, row in results.items()],
    )
    measuring.save("in_force", {"results": results})


if __name__ == "__main__":
    main()
