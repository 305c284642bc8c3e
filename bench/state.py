"""Measures the replicated state: commits, elections and what idling costs.

``python -m bench.state`` runs three VMs as processes of their own on
loopback; their stores share one disk. It prints tables and writes JSON:

* commits and confirmed reads with 1, 16 and 64 clients in closed loop, on
  the leader's VM and on another, with sync, without it and without a disk;
* the longest time between two commits when the leader is killed;
* bytes, processor time and memory of an idle VM with 1, 2 and 4 groups.
"""

import dataclasses
import pathlib
import subprocess
import sys
import tempfile
import time
import typing

import fire
import orjson

from bench import measuring
from laburnumsill.testing import ports

VMS = 3
CLIENTS = (1, 16, 64)
GROUPS = (1, 2, 4)
VALUE_BYTES = 256
KILL_AFTER_S = 0.5
PROBE_S = 5.0
SETTLE_S = 3.0


@dataclasses.dataclass(frozen=True, slots=True)
class Way:
    """How the stores keep what they are given."""

    name: str
    disk: bool
    sync: bool


WAYS = (
    Way("sync", True, True),
    Way("no sync", True, False),
    Way("memory", False, False),
)


class Site:
    """Three VMs as processes."""

    def __init__(self, way: Way, groups: int, folder: str) -> None:
        taken = ports.free_ports(VMS)
        self._arguments = [
            "--ports=" + "-".join(map(str, taken)),
            f"--groups={groups}",
            f"--sync={way.sync}",
        ]
        if way.disk:
            self._arguments.append(f"--folder={folder}")
        self._nodes = [self._start(number) for number in range(VMS)]

    def __enter__(self) -> "Site":
        self.ask(0, "settle")
        return self

    def __exit__(self, *_: object) -> None:
        for number in range(VMS):
            self.kill(number)

    def ask(self, number: int, do: str, **fields: object) -> typing.Any:
        """Has one VM do something and returns its answer."""
        self.tell(number, do, **fields)
        return self.answer(number)

    def tell(self, number: int, do: str, **fields: object) -> None:
        """Has one VM begin to do something."""
        stdin = self._nodes[number].stdin
        assert stdin is not None
        stdin.write(orjson.dumps({"do": do, **fields}) + b"\n")
        stdin.flush()

    def answer(self, number: int) -> typing.Any:
        """Returns the next answer of one VM."""
        stdout = self._nodes[number].stdout
        assert stdout is not None
        return orjson.loads(stdout.readline())

    def kill(self, number: int) -> None:
        """Ends one VM at once."""
        self._nodes[number].kill()
        self._nodes[number].wait()

    def restart(self, number: int) -> None:
        """Starts a VM again that was killed."""
        self._nodes[number] = self._start(number)

    def pid(self, number: int) -> int:
        """Returns the process id of a VM."""
        return self._nodes[number].pid

    def _start(self, number: int) -> subprocess.Popen[bytes]:
        return subprocess.Popen(
            [
                sys.executable,
                "-m",
                "bench.state_node",
                f"--vm={number}",
                *self._arguments,
            ],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
        )


def measure_load(way: Way, folder: str, seconds: float) -> list[dict]:
    """Returns rates and latencies of commits and reads."""
    rows = []
    with Site(way, 1, folder) as site:
        for leader, place in ((0, "leader"), (1, "another")):
            site.ask(leader, "lead")
            for reads in (False, True):
                for clients in CLIENTS:
                    figures = site.ask(
                        0,
                        "load",
                        clients=clients,
                        seconds=seconds,
                        size=VALUE_BYTES,
                        reads=reads,
                    )
                    what = "read" if reads else "commit"
                    rows.append(
                        {"store": way.name, "on": place, "what": what} | figures
                    )
    return rows


def measure_kills(way: Way, folder: str, kills: int) -> dict[str, typing.Any]:
    """Returns how long nobody led after the leader was killed."""
    gaps = []
    failed = []
    with Site(way, 1, folder) as site:
        for _ in range(kills):
            site.ask(1, "lead")
            site.tell(0, "probe", seconds=PROBE_S)
            time.sleep(KILL_AFTER_S)
            site.kill(1)
            found = site.answer(0)
            if "error" in found:
                failed.append(found["error"])
            else:
                gaps.append(found["longest_s"])
            site.restart(1)
            site.ask(1, "until_whole")
    gaps.sort()
    return {
        "store": way.name,
        "kills": kills,
        "failed": len(failed),
        "median_s": gaps[len(gaps) // 2],
        "highest_s": gaps[-1],
    }


def measure_idle(groups: int, folder: str, seconds: float) -> list[dict]:
    """Returns what each idle VM costs a second."""
    rows = []
    with Site(WAYS[0], groups, folder) as site:
        site.ask(0, "lead")
        time.sleep(SETTLE_S)
        for number in range(VMS):
            site.tell(number, "idle", seconds=seconds)
        for number in range(VMS):
            figures = site.answer(number)
            memory = measuring.memory_mb(site.pid(number))
            rows.append(
                {"groups": groups, "vm": number}
                | figures
                | {"memory_mb": memory}
            )
    return rows


def show(title: str, rows: list[dict]) -> None:
    """Prints rows that have the same keys."""
    measuring.print_table(
        title, list(rows[0]), [list(row.values()) for row in rows]
    )


def main(
    seconds: float = 5.0,
    kills: int = 20,
    idle_seconds: float = 20.0,
    folder: str | None = None,
) -> None:
    """Runs all measurements.

    Args:
        seconds: Length of each load.
        kills: How often the leader is killed.
        idle_seconds: Length of each idle part.
        folder: Where the stores are made; a temporary folder by default.
    """
    with tempfile.TemporaryDirectory(dir=folder) as place:
        loads = []
        for way in WAYS:
            data = str(pathlib.Path(place) / f"load-{way.name}")
            loads += measure_load(way, data, seconds)
        show("Commits and confirmed reads", loads)
        killed = [
            measure_kills(way, str(pathlib.Path(place) / "kills"), kills)
            for way in WAYS[:1]
        ]
        show("Longest time between two commits after kill -9", killed)
        idle = []
        for groups in GROUPS:
            data = str(pathlib.Path(place) / f"idle-{groups}")
            idle += measure_idle(groups, data, idle_seconds)
        show("Idle VMs", idle)
    measuring.save("state", {"loads": loads, "kills": killed, "idle": idle})


if __name__ == "__main__":
    fire.Fire(main)
