"""Measures configuration versions on 26 VMs: `bench.configuration_rate`.

Pushes versions with 690 client accounts to 26 daemons in nine domains, one
about every second, and asks one VM for the versions in force everywhere.
Prints how long each took and what a daemon spent meanwhile; writes JSON.
"""

import os
import pathlib
import statistics
import tempfile
import time
import typing

import fire
import trio

from bench import idle_daemons
from bench import measuring
from laburnumsill.config import models
from laburnumsill.testing import cluster

DOMAINS = {f"d{n}": 3 if n < 8 else 2 for n in range(9)}
PERIOD_S = 86_400 / 80_000
POLL_S = 0.1
GIVE_UP_S = 20.0


def configuration(accounts: int, change: int) -> dict[str, typing.Any]:
    """Returns a configuration that differs in one account's guarantee."""
    names = list(DOMAINS)
    shape = models.Shape(racks=1, workers=2, pairs=1, accelerators=4)
    filled = {
        f"team-{n:03}": {
            "guarantee": {
                names[(n + k) % len(names)]: shape.model_dump()
                for k in range(3)
            }
        }
        for n in range(accounts)
    }
    filled["team-000"]["guarantee"]["d0"]["accelerators"] = change
    return {"site": "two-year", "domains": names, "accounts": filled}


async def until_everywhere(site: cluster.Cluster, version: int) -> bool:
    """Waits until every VM has said that a version is in force."""
    with trio.move_on_after(GIVE_UP_S):
        while True:
            answer = await site.client("vm1").send("GET", "/v1/config/status")
            vms = answer.json()["vms"]
            if all(vm["version"] >= version for vm in vms):
                return True
            await trio.sleep(POLL_S)
    return False


async def push_all(
    site: cluster.Cluster, accounts: int, versions: int
) -> dict[str, list[float]]:
    """Returns the times of the answers and until in force everywhere."""
    accepted: list[float] = []
    in_force: list[float] = []
    for version in range(2, versions + 2):
        began = time.monotonic()
        answer = await site.push(
            configuration(accounts, version), "vm1", version - 1
        )
        assert answer.status == 200, answer.body
        accepted.append(time.monotonic() - began)
        if await until_everywhere(site, version):
            in_force.append(time.monotonic() - began)
        left = began + PERIOD_S - time.monotonic()
        await trio.sleep(max(0.0, left))
    return {"accepted_s": accepted, "in_force_s": in_force}


async def measure(
    site: cluster.Cluster, accounts: int, versions: int
) -> dict[str, typing.Any]:
    """Returns the figures of one run."""
    pids = {vm_id: site.process(vm_id).pid for vm_id in site.vm_ids}
    before = {v: await idle_daemons.counters(site, v) for v in pids}
    used = {v: measuring.cpu_seconds(pid) for v, pid in pids.items()}
    began = time.monotonic()
    times = await push_all(site, accounts, versions)
    took = time.monotonic() - began
    cpu = [
        100 * (measuring.cpu_seconds(pid) - used[v]) / took
        for v, pid in pids.items()
    ]
    bytes_s = []
    for vm_id in pids:
        after = await idle_daemons.counters(site, vm_id)
        grown = sum(
            after[n] - before[vm_id][n]
            for n in ("sent_bytes", "received_bytes")
        )
        bytes_s.append(grown / took)
    in_force = times["in_force_s"] or [GIVE_UP_S]
    return {
        "accounts": accounts,
        "versions": versions,
        "versions_per_s": versions / took,
        "late": versions - len(times["in_force_s"]),
        "accepted_median_s": statistics.median(times["accepted_s"]),
        "in_force_median_s": statistics.median(in_force),
        "in_force_max_s": max(in_force),
        "cpu_percent_median": statistics.median(cpu),
        "cpu_percent_max": max(cpu),
        "bytes_per_s_median": statistics.median(bytes_s),
        "bytes_per_s_max": max(bytes_s),
        "memory_mb_max": max(measuring.memory_mb(p) for p in pids.values()),
        "load": os.getloadavg()[0],
    }


async def measure_all(accounts: int, versions: int) -> None:
    """Starts the site, runs the measurement and writes the JSON."""
    with tempfile.TemporaryDirectory() as folder:
        site = idle_daemons.DirectCluster(
            pathlib.Path(folder), cluster.Layout(domains=DOMAINS)
        )
        async with trio.open_nursery() as nursery:
            try:
                await site.start(nursery)
                await site.until_led("root", site.vm_ids)
                first = await site.push(configuration(accounts, 1), "vm1")
                assert first.status == 200, first.body
                await site.until_ready()
                await trio.sleep(3)
                found = await measure(site, accounts, versions)
            finally:
                site.stop()
                nursery.cancel_scope.cancel()
    measuring.print_table(
        "configuration versions on 26 VMs",
        ["", ""],
        [[name, value] for name, value in found.items()],
    )
    measuring.save("configuration_rate", {"rows": [found]})


def main(accounts: int = 690, versions: int = 20) -> None:
    """Runs the measurement.

    Args:
        accounts: Client accounts in each version.
        versions: Versions that are pushed.
    """
    trio.run(measure_all, accounts, versions)


if __name__ == "__main__":
    fire.Fire(main)
