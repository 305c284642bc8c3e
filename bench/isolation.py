"""What pricing does to slot offers and confirmations.

``python -m bench.isolation``: eight VMs in four failure domains share 24
fake backend servers with 8 slots each. Offers and confirmations come in open
loop at a fixed rate, first alone, then beside pricing in open loop at five
times the capacity. Also counts how often a server was given more requests
than it has slots.
"""

import argparse
import dataclasses
import pathlib
import tempfile

import trio

from bench import measuring
from laburnumsill.testing import cluster
from laburnumsill.testing import load
from laburnumsill.testing import scenario

DOMAINS = {"north": 2, "east": 2, "south": 2, "west": 2}
SERVERS = 6
SLOTS = 8 * SERVERS * len(DOMAINS)
OVERLOAD = 5
PATH = scenario.SERVICE_PATH + "/run"
URGENT = ("offer", "confirm")


@dataclasses.dataclass(frozen=True, slots=True)
class Row:
    """What came of one class in one phase; times in milliseconds."""

    phase: str
    request_class: str
    sent: int
    answered: int
    p50_ms: float
    p99_ms: float


class Measurement:
    """One site under load."""

    def __init__(
        self, site: cluster.Cluster, arguments: argparse.Namespace
    ) -> None:
        self._site = site
        self._arguments = arguments
        self.rows: list[Row] = []
        self.commitment: list[dict[str, object]] = []

    async def phase(self, name: str, pricing_per_s: float) -> None:
        """Runs one phase and adds its rows."""
        await self._load({"offer": 2.0, "confirm": 2.0}, 3)
        before = await self._counts()
        rates = dict.fromkeys(URGENT, self._arguments.urgent / 8)
        if pricing_per_s:
            rates["pricing"] = pricing_per_s / 8
        results = await self._load(rates, self._arguments.seconds)
        after = await self._counts()
        for request_class, result in results.items():
            self.rows.append(
                Row(
                    name,
                    request_class,
                    result.sent,
                    result.outcomes.get("answered", 0),
                    result.percentile_ms(50),
                    result.percentile_ms(99),
                )
            )
        arrived = after["arrived"] - before["arrived"]
        over = after["over_committed"] - before["over_committed"]
        self.commitment.append(
            {
                "phase": name,
                "arrived": arrived,
                "over_committed_share": over / max(1, arrived),
                "peak_in_flight": after["peak_in_flight"],
            }
        )

    async def _load(
        self, rates: dict[str, float], seconds: float
    ) -> dict[str, load.Result]:
        results = {name: load.Result() for name in rates}

        async def one(vm_id: str, name: str) -> None:
            headers = {
                "Laburnumsill-Class": name,
                "Laburnumsill-Account": "golf"
                if name == "pricing"
                else scenario.ACCOUNT,
            }
            part = await load.run_process(
                self._site.address(vm_id),
                PATH,
                headers,
                "--keyed",
                f"--rate={rates[name]}",
                f"--seconds={seconds}",
            )
            results[name].add(part)

        async with trio.open_nursery() as nursery:
            for vm_id in self._site.vm_ids:
                for name in rates:
                    nursery.start_soon(one, vm_id, name)
        return results

    async def _counts(self) -> dict[str, int]:
        total = {"arrived": 0, "over_committed": 0, "peak_in_flight": 0}
        for name in self._site.names("server-"):
            answer = await self._site.client(name).send("GET", "/_fake/stats")
            stats = answer.json()
            total["arrived"] += stats["arrived"]
            total["over_committed"] += stats["over_committed"]
            total["peak_in_flight"] = max(
                total["peak_in_flight"], stats["peak_in_flight"]
            )
        return total


async def measure(arguments: argparse.Namespace) -> None:
    """Runs both phases and shows the results."""
    layout = cluster.Layout(domains=DOMAINS, servers=SERVERS)
    capacity = SLOTS / (arguments.delay_ms / 1000)
    with tempfile.TemporaryDirectory() as folder:
        async with cluster.running(pathlib.Path(folder), layout) as site:
            await scenario.start_site(site)
            await _use_limiter(site, arguments.limiter)
            await scenario.behave(site, delay_ms=arguments.delay_ms)
            measurement = Measurement(site, arguments)
            await measurement.phase("alone", 0)
            await measurement.phase("moderate", capacity * 0.5)
            await measurement.phase("overload", capacity * OVERLOAD)
    _show(measurement, arguments)


async def _use_limiter(site: cluster.Cluster, limiter: str) -> None:
    """Puts a limiter in force on all VMs."""
    configuration = scenario.configuration(DOMAINS)
    configuration["requests"] = {"limiter": limiter}
    answer = await site.push(configuration, "vm1", 1)
    assert answer.status == 200, answer.body

    async def in_force() -> bool:
        status = await site.client("vm1").send("GET", "/v1/config/status")
        return bool(status.json()["in_force_everywhere"])

    await site.until(in_force, "the limiter is in force")


def _show(measurement: Measurement, arguments: argparse.Namespace) -> None:
    rows = [dataclasses.asdict(row) for row in measurement.rows]
    measuring.print_table(
        "Isolation of classes",
        [field.name for field in dataclasses.fields(Row)],
        [list(row.values()) for row in rows],
    )
    measuring.print_table(
        "Servers given more than their slots",
        list(measurement.commitment[0]),
        [list(line.values()) for line in measurement.commitment],
    )
    measuring.save(
        f"isolation_{arguments.limiter}",
        {
            "arguments": vars(arguments),
            "classes": rows,
            "commitment": measurement.commitment,
        },
    )


def main() -> None:
    """Runs the measurement from the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--delay_ms", type=float, default=2000)
    parser.add_argument("--limiter", default="borrowing")
    parser.add_argument("--urgent", type=float, default=8)
    parser.add_argument("--seconds", type=float, default=25)
    trio.run(measure, parser.parse_args())


if __name__ == "__main__":
    main()
