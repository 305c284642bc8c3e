"""Measures how soon a gang runs: `python -m bench.urgent_start`.

One site as processes: a VM in each of three failure domains and four fake
workers with 32 accelerators each. Gangs are submitted one at a time onto
free workers; then borrowers fill every worker and an account reclaims. The
time is that from sending the submission to the first sight of ``running``.
It is looked for every 50 ms, which is
part of it. Prints a table and writes JSON.
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
from laburnumsill.testing import job_calls

DOMAINS = ("north", "east", "south")
WORKERS = 4
ACCELERATORS = 32
GANGS = (1, 8, 32)
LARGE_GANG = 128
LARGE_TIMEOUT_S = 20.0
CHECKPOINT_TIMEOUT_S = 1.0


async def run_once(
    site: cluster.Cluster, key: str, tasks: int, **fields: object
) -> tuple[str, float]:
    """Submits a gang; returns its id and the seconds until it runs."""
    began = time.monotonic()
    accelerators = fields.pop("accelerators", 1)
    assert isinstance(accelerators, int)
    answer = await job_calls.submit(
        site, "vm1", key, tasks, accelerators, 3_600.0, urgent=True, **fields
    )
    assert answer.status == 201, answer.body
    job_id = answer.json()["job_id"]
    await job_calls.until_state(site, job_id, "running", vm_ids=["vm1"])
    return job_id, time.monotonic() - began


async def cancel(site: cluster.Cluster, job_id: str) -> None:
    """Cancels a job and waits for its end."""
    await site.client("vm1").send("DELETE", f"/v1/jobs/{job_id}")
    await job_calls.until_state(site, job_id, "cancelled", "failed")


def row(name: str, tasks: int, spent: list[float]) -> dict[str, typing.Any]:
    """Returns one line of the table."""
    ordered = sorted(spent)
    return {
        "start": name,
        "tasks": tasks,
        "runs": len(spent),
        "median_s": statistics.median(spent) if spent else -1.0,
        "highest_s": ordered[-1] if spent else -1.0,
        "load": os.getloadavg()[0],
    }


async def free_starts(
    site: cluster.Cluster, runs: int
) -> list[dict[str, typing.Any]]:
    """Returns the times onto free workers."""
    rows = []
    for tasks in GANGS:
        spent = []
        for number in range(runs):
            job_id, took = await run_once(site, f"f{tasks}-{number}", tasks)
            spent.append(took)
            await cancel(site, job_id)
        rows.append(row("free", tasks, spent))
    return rows


async def reclaiming_starts(
    site: cluster.Cluster, runs: int
) -> list[dict[str, typing.Any]]:
    """Returns the times where borrowers have to go first."""
    borrowers = []
    for number in range(len(DOMAINS) * WORKERS):
        job_id = await job_calls.submit_until_accepted(
            site, f"b{number}", 4, ACCELERATORS // 4, 3_600.0
        )
        await job_calls.until_state(site, job_id, "running")
        borrowers.append(job_id)
    spent = []
    for number in range(runs):
        for job_id in borrowers:
            await job_calls.until_state(site, job_id, "running")
        job_id, took = await run_once(
            site,
            f"r{number}",
            1,
            accelerators=ACCELERATORS,
            account="golf",
            guaranteed=True,
        )
        spent.append(took)
        await cancel(site, job_id)
    for job_id in borrowers:
        await cancel(site, job_id)
    return [row("reclaimed from a gang of 4", 1, spent)]


async def large_starts(
    site: cluster.Cluster, runs: int
) -> list[dict[str, typing.Any]]:
    """Returns the times of the largest gang until one is late."""
    spent: list[float] = []
    with trio.move_on_after(LARGE_TIMEOUT_S * runs):
        for number in range(runs):
            with trio.move_on_after(LARGE_TIMEOUT_S) as scope:
                job_id, took = await run_once(site, f"l{number}", LARGE_GANG)
            if scope.cancelled_caught:
                return [row("free, then one late", LARGE_GANG, spent)]
            spent.append(took)
            await cancel(site, job_id)
    return [row("free", LARGE_GANG, spent)]


async def measure_all(runs: int) -> None:
    """Runs all parts, prints the table and writes the JSON."""
    layout = cluster.Layout(
        domains=dict.fromkeys(DOMAINS, 1),
        workers=WORKERS,
        accelerators=ACCELERATORS,
        worker_fields={"usage_interval_s": 0, "cores": 128},
    )
    with tempfile.TemporaryDirectory() as folder:
        async with cluster.running(pathlib.Path(folder), layout) as site:
            await job_calls.start_site(
                site,
                {"golf": {"north": {"workers": 2}}},
                checkpoint_timeout_s=CHECKPOINT_TIMEOUT_S,
            )
            rows = await free_starts(site, runs)
            rows += await reclaiming_starts(site, runs)
            rows += await large_starts(site, runs)
    measuring.print_table(
        "from submission to running",
        list(rows[0]),
        [list(one.values()) for one in rows],
    )
    measuring.save("urgent_start", {"rows": rows})


def main(runs: int = 10) -> None:
    """Runs the measurement.

    Args:
        runs: Gangs of each kind.
    """
    trio.run(measure_all, runs)


if __name__ == "__main__":
    fire.Fire(main)
