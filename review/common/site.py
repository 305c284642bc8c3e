"""A small deployment on loopback, with the commands of the deploy file.

Its bounds are those of the small deployment `dobrev-sched`.
"""

import asyncio
import os
import pathlib
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
import traceback
import typing
from collections import abc

from review.common import http
from review.common import links
from review.common import worker as workers

ROOT = pathlib.Path(__file__).resolve().parents[2]
CORE = 3
ENTRIES = 10
WORKERS = 24
ZONES = ("sofia-a", "sofia-b", "sofia-c")
HOST = "hura70.example"
SERVICE = "rating-engine"
KEY = "d4a3hwrr6x73d3zji9n7"

HOLD_MAX_MS = 6_000
STOP_GRACE_MS = 400
RESTORE_MS = 600
REVOKE_MS = 5_000


class CannotRunError(Exception):
    """The case could not be run; nothing is said about the rule."""


class Record:
    """The record of one play: what was sent, answered and run."""

    def __init__(self, path: pathlib.Path) -> None:
        self._file = path.open("w")
        self._began = time.monotonic()

    def __call__(self, line: str) -> None:
        """Writes a line with the time since the start."""
        at = time.monotonic() - self._began
        self._file.write(f"{at:8.3f} {line}\n")
        self._file.flush()


def configuration(version: int, **changes: typing.Any) -> dict:
    """Returns a configuration like those of the small deployments."""
    route = {
        "host": HOST,
        "kind": "unsafe",
        "timeout_ms": 3000,
        "service": SERVICE,
        "public": False,
    }
    routes = [
        {
            **route,
            "name": "r-recon",
            "path_prefix": "/recon/",
            "target_duration_ms": 1000,
            "priority": 1,
            "max_attempts": 4,
            "stretch": 3.0,
        },
        {
            **route,
            "name": "r-offer",
            "path_prefix": "/offer/",
            "target_duration_ms": 250,
            "priority": 0,
            "max_attempts": 3,
            "stretch": 1.5,
        },
    ]
    return {
        "version": version,
        "routes": routes,
        "services": [
            {
                "name": SERVICE,
                "health_path": "/health",
                "max_conns": 64,
                "protocol": "h1",
                "tls": False,
                "enforces_capacity": False,
                "standby": False,
            }
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 262144,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        "tenants": [
            {
                "name": "kaje80",
                "api_keys": [KEY],
                "priority": 1,
                "guaranteed": {"gpu": 32},
            }
        ],
        **changes,
    }


class Site:
    """Core and entry processes, workers, a client and an operator.

    Args:
        record: Receives what happens.
        work_ms: Returns how long a task runs.
    """

    def __init__(self, record: Record, work_ms: workers.WorkMs) -> None:
        self.record = record
        self._folder = tempfile.TemporaryDirectory(prefix="review-")
        self.folder = pathlib.Path(self._folder.name)
        net = f"127.{random.randrange(2, 250)}.{random.randrange(1, 250)}"
        self.core = [f"{net}.{n + 1}" for n in range(CORE)]
        self.entries = [f"{net}.{n + 101}" for n in range(ENTRIES)]
        vms = [*self.core, *self.entries]
        ports = _free_ports(net, 4 + len(vms))
        control, self._callers, self._ready, self._metrics = ports[:4]
        # A daemon dials a peer at the port on which it listens itself. As
        # each has another port here, its dialing meets the link of the pair.
        self._peer_ports = dict(zip(vms, ports[4:], strict=True))
        self.links = {
            (source, target): links.Link(
                f"{target}:{self._peer_ports[source]}",
                f"{target}:{self._peer_ports[target]}",
            )
            for source in vms
            for target in self.core
            if source != target
        }
        self.controls = [f"{vm}:{control}" for vm in self.core]
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self.workers = [
            workers.Worker(
                f"w{n}",
                ZONES[n % len(ZONES)],
                self.controls,
                record,
                work_ms,
                ("a", f"r1-{n // 8}"),
                SERVICE,
                HOLD_MAX_MS,
            )
            for n in range(WORKERS)
        ]

    async def start(self) -> None:
        """Starts all parts and waits until clients are served.

        Raises:
            CannotRunError: The site did not get ready.
        """
        for link in self.links.values():
            await link.start()
        for vm in (*self.core, *self.entries):
            self.start_process(vm, founding=True)
        for worker in self.workers:
            await worker.start()
        await self.configure(configuration(1), 30.0)
        deadline = time.monotonic() + 30
        for entry in self.entries:
            while (await self.ask(entry, "GET", "/recon/"))[0] != 200:
                if time.monotonic() > deadline:
                    raise CannotRunError("no entry serves clients")
                await asyncio.sleep(0.1)
        while any(not worker.leader for worker in self.workers):
            if time.monotonic() > deadline:
                raise CannotRunError("a heartbeat is not acknowledged")
            await asyncio.sleep(0.1)
        self.record("site is ready")

    async def configure(self, document: dict, within_s: float) -> None:
        """Sends a configuration until it is acknowledged.

        Raises:
            CannotRunError: It was not acknowledged in time.
        """
        deadline = time.monotonic() + within_s
        while time.monotonic() < deadline:
            for address in self.controls:
                status, _ = await http.call(
                    "PUT", address, "/-/config", document
                )
                if status == 200:
                    version = document["version"]
                    self.record(f"configuration {version} acknowledged")
                    return
            await asyncio.sleep(0.1)
        raise CannotRunError("the configuration is not acknowledged")

    def start_process(self, vm: str, founding: bool = False) -> None:
        """Starts the process of a machine by the deploy file's command."""
        role = "core" if vm in self.core else "entry"
        path = self._write_settings(vm, role, founding)
        environment = {
            **os.environ,
            "LABURNUMSILL_NODE_FILE": str(path),
            "PYTHONPATH": f"{ROOT / 'target' / 'deps'}{os.pathsep}{ROOT}",
        }
        with (self.folder / f"{vm}.log").open("ab") as log:
            self.processes[vm] = subprocess.Popen(
                [sys.executable, "-m", "laburnumsill.daemon.role_main", role],
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=subprocess.STDOUT,
            )
        self.record(f"{role} {vm} started")

    def _write_settings(
        self, vm: str, role: str, founding: bool
    ) -> pathlib.Path:
        zones = ", ".join(f'"{zone}"' for zone in ZONES)
        seeds = ", ".join(f'"{address}"' for address in self.controls)
        index = int(vm.rpartition(".")[2]) - 1
        lines = [
            f'name = "{role}-{vm}"',
            f'address = "{vm}"',
            f'failure_domain = "{self.zone_of(vm)}"',
            f"failure_domains = [{zones}]",
            f"peer_port = {self._peer_ports[vm]}",
            f"seeds = [{seeds}]",
            f"founding = {str(founding).lower()}",
            "tolerated_losses = 1",
        ]
        listen = [f'metrics = "{vm}:{self._metrics}"']
        if role == "core":
            data = self.folder / f"data-{vm}"
            data.mkdir(exist_ok=True)
            lines.append(f'data_folder = "{data}"')
            control = self.controls[index].rpartition(":")[2]
            listen.append(f'control = "{vm}:{control}"')
        else:
            listen.append(f'callers = "{vm}:{self._callers}"')
            listen.append(f'readiness = "{vm}:{self._ready}"')
        path = self.folder / f"{vm}.toml"
        bounds = [
            f"longest_lease_ms = {HOLD_MAX_MS}",
            f"stop_grace_ms = {STOP_GRACE_MS}",
            f"restore_ms = {RESTORE_MS}",
            f"key_revoked_ms = {REVOKE_MS}",
        ]
        sections = [*lines, "[listen]", *listen, "[bounds]", *bounds]
        path.write_text("\n".join(sections) + "\n")
        return path

    def zone_of(self, vm: str) -> str:
        """Returns the zone of a machine."""
        return ZONES[(int(vm.rpartition(".")[2]) - 1) % 100 % len(ZONES)]

    async def cut_zone(self, zone: str, fence: int) -> None:
        """Cuts a zone off from the others.

        Connections across the cut are reset, and new ones too.

        Args:
            zone: The zone.
            fence: The fence of the leader in the zone. Calls with a higher
                one come from the other zones.
        """
        self.record(f"zone {zone} is cut off")
        for (source, target), link in self.links.items():
            if (self.zone_of(source) == zone) != (self.zone_of(target) == zone):
                await link.cut()
        inside = {
            control
            for vm, control in zip(self.core, self.controls, strict=True)
            if self.zone_of(vm) == zone
        }
        for worker in self.workers:
            if worker.zone == zone:
                worker.cut_fences = lambda number: number > fence
                worker.reachable_controls = inside
            else:
                worker.cut_fences = lambda number: number <= fence
                worker.reachable_controls = set(self.controls) - inside

    def heal(self) -> None:
        """Ends all cuts."""
        self.record("the cut has ended")
        for link in self.links.values():
            link.heal()
        for worker in self.workers:
            worker.cut_fences = None
            worker.reachable_controls = None

    def signal(self, vm: str, number: signal.Signals) -> None:
        """Sends a signal to the process of a machine."""
        self.processes[vm].send_signal(number)
        self.record(f"{vm} gets {number.name}")

    async def ask(
        self,
        entry: str,
        method: str,
        path: str,
        body: typing.Any = None,
        patience_s: float = 3.2,
    ) -> tuple[int, typing.Any]:
        """Sends a client's request to one entry; status 0 without answer."""
        headers = {
            "Host": HOST,
            "Authorization": f"Bearer {KEY}",
            "X-Deadline-Ms": "3000",
        }
        return await http.call(
            method,
            f"{entry}:{self._callers}",
            path,
            body,
            headers,
            timeout_s=patience_s,
        )

    async def submit(self, path: str, body: dict) -> None:
        """Hands a job in until it is accepted.

        Raises:
            CannotRunError: It was not accepted within 20 s.
        """
        deadline = time.monotonic() + 20
        while time.monotonic() < deadline:
            for entry in self.entries:
                status, _ = await self.ask(entry, "POST", path, body)
                self.record(f"POST {path} {body['steps']}: {status}")
                if 200 <= status < 300:
                    return
            await asyncio.sleep(0.2)
        raise CannotRunError(f"{path} was not accepted")

    async def state(self, path: str) -> str:
        """Returns the state of a job as an entry shows it, "" without one."""
        for entry in self.entries[-2:]:
            status, answer = await self.ask(entry, "GET", path)
            if status == 200:
                return str(answer["state"])
            self.record(f"GET {path}: {status}")
        return ""

    async def close(self) -> None:
        """Ends all processes and workers."""
        for worker in self.workers:
            await worker.close()
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
            process.wait()
        for link in self.links.values():
            await link.close()
        self._keep_logs()
        self._folder.cleanup()

    def _keep_logs(self) -> None:
        """Copies the logs to the folder that `KEEP_LOGS` names, if any."""
        kept = os.environ.get("KEEP_LOGS")
        if kept:
            for log in self.folder.glob("*.log"):
                pathlib.Path(kept, log.name).write_bytes(log.read_bytes())


def _free_ports(net: str, count: int) -> list[int]:
    """Returns ports that are free on the first addresses of a network."""
    ports: list[int] = []
    while len(ports) < count:
        port = random.randrange(20_000, 32_000)
        with socket.socket() as probe:
            try:
                probe.bind((f"{net}.1", port))
            except OSError:
                continue
        if port not in ports:
            ports.append(port)
    return ports


def main(
    folder: pathlib.Path,
    play: abc.Callable[[Site, bool], abc.Awaitable[str]],
    work_ms: workers.WorkMs,
) -> int:
    """Plays a case; returns the exit code of its script.

    Args:
        folder: The folder of the case, which receives the record.
        play: Plays the case on a site, with or without its disruption;
            returns what broke the rule, "" if it held.
        work_ms: Returns how long a task runs.
    """
    record = Record(folder / "record.txt")
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record(f"TROUBLE={int(trouble)}")

    async def run() -> str:
        site = Site(record, work_ms)
        try:
            await site.start()
            return await asyncio.wait_for(play(site, trouble), 100)
        finally:
            await site.close()

    try:
        broken = asyncio.run(run())
    except Exception as error:  # an exit code of 1 would say "broken"
        traceback.print_exc()
        record(f"the case could not run: {error!r}")
        print(f"could not run: {error!r}")
        return 2
    record(f"rule broken: {broken}" if broken else "the rule held")
    print(f"rule broken: {broken}" if broken else "the rule held")
    return 1 if broken else 0
