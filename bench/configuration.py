"""Measures how configuration versions travel: `python -m bench.configuration`.

Runs the VMs of a site as processes of their own on loopback, first idle and
then with a push at the pace of 80,000 a day, each through another VM. What
idling costs is taken off. It prints tables and writes JSON:

* bytes that a VM sends and receives for a version, and processor time;
* bytes of a version in the root group's log;
* time from the push to the answer, and to the version in force everywhere;
* which VMs are fetched from;
* what the single steps cost: file, difference, digest, models.

``--before`` names the JSON file of another run to keep beside this one.
"""

import dataclasses
import pathlib
import random
import subprocess
import sys
import tempfile
import time
import typing
from collections import abc

import fire
import hdrh.histogram
import orjson

from bench import configuration_node
from bench import measuring
from laburnumsill.config import canonical
from laburnumsill.daemon import configuration_file
from laburnumsill.state import configuration
from laburnumsill.testing import ports

PACE_S = 86_400 / 80_000
"""Time between two pushes at two-year size."""

SETTLE_S = 3.0
LAST_S = 7.0
"""Wait after the last push, over the 6 s that a version may take."""

HIGHEST_US = 60_000_000
STEPS = 40


@dataclasses.dataclass(frozen=True, slots=True)
class Way:
    """One site."""

    name: str
    vms: int
    size: configuration_node.Size


WAYS = (
    Way("today", 8, configuration_node.Size(4, 4, 4)),
    Way("690 accounts, 2 shares", 26, configuration_node.Size(690, 2, 9)),
    Way("690 accounts, 9 shares", 26, configuration_node.Size(690, 9, 9)),
)


class Site:
    """The VMs of one site as processes."""

    def __init__(self, way: Way, folder: str) -> None:
        self._way = way
        self._arguments = [
            "--ports=" + "-".join(map(str, ports.free_ports(way.vms))),
            f"--accounts={way.size.accounts}",
            f"--shares={way.size.shares}",
            f"--domains={way.size.domains}",
            f"--folder={folder}",
        ]
        self._nodes = [self._start(number) for number in range(way.vms)]

    def __enter__(self) -> "Site":
        self.ask_all("settle", vms=self._way.vms)
        return self

    def __exit__(self, *_: object) -> None:
        for node in self._nodes:
            node.kill()
            node.wait()

    def ask_all(self, do: str, **fields: object) -> list[typing.Any]:
        """Has all VMs do something and returns their answers."""
        for number in range(self._way.vms):
            self._tell(number, do, **fields)
        return [self._answer(number) for number in range(self._way.vms)]

    def ask(self, number: int, do: str, **fields: object) -> typing.Any:
        """Has one VM do something and returns its answer."""
        self._tell(number, do, **fields)
        return self._answer(number)

    def memory_mb(self) -> list[float]:
        """Returns the memory of each VM."""
        return [measuring.memory_mb(node.pid) for node in self._nodes]

    def _tell(self, number: int, do: str, **fields: object) -> None:
        stdin = self._nodes[number].stdin
        assert stdin is not None
        stdin.write(orjson.dumps({"do": do, **fields}) + b"\n")
        stdin.flush()

    def _answer(self, number: int) -> typing.Any:
        stdout = self._nodes[number].stdout
        assert stdout is not None
        return orjson.loads(stdout.readline())

    def _start(self, number: int) -> subprocess.Popen[bytes]:
        return subprocess.Popen(
            [
                sys.executable,
                "-m",
                "bench.configuration_node",
                f"--vm={number}",
                *self._arguments,
            ],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
        )


def measure_site(way: Way, versions: int, idle_s: float) -> dict:
    """Returns what versions cost on one site."""
    draw = random.Random(1)
    with (
        tempfile.TemporaryDirectory() as folder,
        Site(way, folder) as site,
    ):
        pushes = [_push(site, 0, 1)]
        time.sleep(SETTLE_S)
        idle_from = site.ask_all("figures")
        time.sleep(idle_s)
        before = site.ask_all("figures")
        started = time.monotonic()
        for number in range(2, versions + 2):
            due = started + (number - 2) * PACE_S
            time.sleep(max(0.0, due - time.monotonic()))
            pushes.append(_push(site, draw.randrange(way.vms), number))
        time.sleep(LAST_S)
        taken = time.monotonic() - started
        after = site.ask_all("figures")
        memory = site.memory_mb()
    idle = _rates(idle_from, before, idle_s)
    costs = [
        {
            "vm": late["vm"],
            "domain": late["domain"],
            "leads_root": late["leads_root"],
            "replica": late["replica"],
            "disk": late["disk"],
            "sent_bytes": _cost("sent", early, late, rest, taken, versions),
            "received_bytes": _cost(
                "received", early, late, rest, taken, versions
            ),
            "cpu_ms": 1000 * _cost("cpu_s", early, late, rest, taken, versions),
            "fetches": (late["fetches"] - early["fetches"]) / versions,
            "memory_mb": used,
            "idle": rest,
        }
        for early, late, rest, used in zip(
            before, after, idle, memory, strict=True
        )
    ]
    return {
        "way": dataclasses.asdict(way),
        "versions": versions,
        "body_bytes": pushes[0]["body_bytes"],
        "log_bytes": _middle(
            next(one for one in after if one["leads_root"])["entry_bytes"][1:]
        ),
        "commit_ms": _spread(
            [one["accepted"] - one["started"] for one in pushes[1:]]
        ),
        "everywhere_ms": _spread(_everywhere(pushes[1:], after)),
        "skipped": sum(
            str(number) not in one["in_force"]
            for one in after
            for number in range(2, versions + 2)
        ),
        "vms": costs,
    }


def _push(site: Site, vm: int, number: int) -> dict:
    pushed = site.ask(vm, "push", version=number)
    if pushed["status"] != 200 or pushed["answer"]["version"] != number:
        raise RuntimeError(f"push {number} on {vm}: {pushed}")
    return pushed | {"version": number}


def _rates(
    early: abc.Sequence[dict], late: abc.Sequence[dict], seconds: float
) -> list[dict[str, float]]:
    return [
        {
            key: (after[key] - before[key]) / seconds
            for key in ("sent", "received", "cpu_s")
        }
        for before, after in zip(early, late, strict=True)
    ]


def _cost(
    key: str,
    early: dict,
    late: dict,
    idle: dict[str, float],
    seconds: float,
    versions: int,
) -> float:
    """Returns what one version cost beyond idling."""
    return (late[key] - early[key] - idle[key] * seconds) / versions


def _everywhere(
    pushes: abc.Iterable[dict], vms: abc.Sequence[dict]
) -> list[float]:
    """Returns the seconds from each push until all VMs had it or a newer."""
    taken = []
    for push in pushes:
        arrived = [
            min(
                at
                for number, at in vm["in_force"].items()
                if int(number) >= push["version"]
            )
            for vm in vms
        ]
        taken.append(max(arrived) - push["started"])
    return taken


def _spread(seconds: abc.Iterable[float]) -> dict[str, float]:
    taken = hdrh.histogram.HdrHistogram(1, HIGHEST_US, 3)
    for one in seconds:
        taken.record_value(max(1, int(one * 1e6)))
    return {
        "p50": taken.get_value_at_percentile(50) / 1000,
        "p99": taken.get_value_at_percentile(99) / 1000,
        "highest": taken.get_max_value() / 1000,
    }


def _middle(numbers: abc.Iterable[int]) -> int:
    ordered = sorted(numbers)
    return ordered[len(ordered) // 2]


def measure_steps(way: Way, folder: str) -> dict:
    """Returns what the single steps of one version cost on this machine."""
    bodies = [
        canonical.encode(
            canonical.from_values(configuration_node.values(way.size, n))
        )
        for n in range(STEPS)
    ]
    file = configuration_file.ConfigurationFile(pathlib.Path(folder))
    accepted = _accepted_type()
    pairs = list(zip(bodies, bodies[1:], strict=False))
    found = {
        "file, synced": _timed(
            lambda pair: file.write(accepted(1, "d", "o", 0.0, pair[1])), pairs
        ),
        "digest": _timed(lambda pair: canonical.digest(pair[1]), pairs),
        "models": _timed(lambda pair: canonical.decode(pair[1]), pairs),
    }
    found |= _difference_steps(pairs)
    return {
        "way": way.name,
        "body_bytes": len(bodies[1]),
        "steps": found,
    }


def _accepted_type() -> typing.Any:
    """Returns the class of an accepted version, where it was before too."""
    try:
        from laburnumsill.state import configuration_versions
    except ImportError:
        return configuration.AcceptedConfiguration  # type: ignore[attr-defined]
    return configuration_versions.AcceptedConfiguration


def _difference_steps(pairs: list[tuple[bytes, bytes]]) -> dict:
    try:
        from laburnumsill.config import difference
    except ImportError:
        return {}
    changes = [difference.difference(*pair) for pair in pairs]
    applied = zip(pairs, changes, strict=True)
    return {
        "difference": _timed(lambda pair: difference.difference(*pair), pairs),
        "apply": _timed(
            lambda one: difference.apply(one[0][0], one[1]), list(applied)
        ),
    }


def _timed(
    act: abc.Callable[[typing.Any], object], given: abc.Sequence[typing.Any]
) -> dict[str, float]:
    wall, used = [], time.process_time()
    for one in given:
        started = time.monotonic()
        act(one)
        wall.append(time.monotonic() - started)
    used = time.process_time() - used
    return _spread(wall) | {"cpu": 1000 * used / len(given)}


def show(sites: list[dict], steps: list[dict]) -> None:
    """Prints what was measured."""
    rows = []
    for site in sites:
        for label, chosen in _kinds(site["vms"]).items():
            count = max(1, len(chosen))
            rows.append(
                [site["way"]["name"], label, len(chosen)]
                + [
                    sum(vm[key] for vm in chosen) / count
                    for key in (
                        "sent_bytes",
                        "received_bytes",
                        "cpu_ms",
                        "fetches",
                        "memory_mb",
                    )
                ]
            )
    measuring.print_table(
        "A version, mean of the VMs",
        ["site", "VMs", "count", "sent", "received", "CPU ms", "fetched from"]
        + ["MB"],
        rows,
    )
    measuring.print_table(
        "Versions",
        ["site", "body", "log", "commit p50 ms", "p99", "everywhere p50 ms"]
        + ["p99", "highest", "skipped"],
        [
            [site["way"]["name"], site["body_bytes"], site["log_bytes"]]
            + [site["commit_ms"]["p50"], site["commit_ms"]["p99"]]
            + [site["everywhere_ms"][key] for key in ("p50", "p99", "highest")]
            + [site["skipped"]]
            for site in sites
        ],
    )
    measuring.print_table(
        "Single steps",
        ["site", "body", "step", "p50 ms", "p99 ms", "CPU ms"],
        [
            [one["way"], one["body_bytes"], name]
            + [spread["p50"], spread["p99"], spread["cpu"]]
            for one in steps
            for name, spread in one["steps"].items()
        ],
    )


def _kinds(vms: abc.Sequence[dict]) -> dict[str, list[dict]]:
    return {
        "all": list(vms),
        "root's leader": [vm for vm in vms if vm["leads_root"]],
        "root's others": [
            vm for vm in vms if vm["replica"] and not vm["leads_root"]
        ],
        "no root replica": [vm for vm in vms if not vm["replica"]],
    }


def main(
    versions: int = 40,
    idle_seconds: float = 10.0,
    only: str = "",
    before: str | None = None,
) -> None:
    """Runs all measurements.

    Args:
        versions: How many are pushed on each site.
        idle_seconds: Length of each idle part.
        only: Sites whose names have this in them; all by default.
        before: JSON file of an earlier run, kept in this run's.
    """
    sites, steps = [], []
    for way in WAYS:
        if only in way.name:
            sites.append(measure_site(way, versions, idle_seconds))
            with tempfile.TemporaryDirectory() as folder:
                steps.append(measure_steps(way, folder))
    show(sites, steps)
    earlier = before and orjson.loads(pathlib.Path(before).read_bytes())
    measuring.save(
        "configuration", {"sites": sites, "steps": steps, "before": earlier}
    )


if __name__ == "__main__":
    fire.Fire(main)
