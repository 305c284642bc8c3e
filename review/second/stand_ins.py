"""Stand-ins of the second review: site, executors, operator and clients.

They use the standard library alone. The site is the project's own programs,
started as processes by the commands of the deploy file. Executors behave as
PROTOCOL.md says; what happens is written to the record of the case.
"""

import asyncio
import contextlib
import dataclasses
import itertools
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST = "queues.example"
KEY = "key-of-lakeside"
TENANT = "lakeside"
SERVICE = "hutdesk"
ZONES = ("bahir-hall", "gorgora-hall", "zege-hall")
HEARTBEAT_S = 1.5
ACK_WAIT_S = 1.0
HOLD_MAX_MS = 10_000
STOP_GRACE_S = 0.3
CPU = 128_000
MEMORY_MB = 524_288
GPUS = 8


class CannotRunError(Exception):
    """The case could not be played; it shows nothing."""


class Record:
    """The record of what was sent, answered and run."""

    def __init__(self, path: pathlib.Path) -> None:
        self._began = time.monotonic()
        self._file = path.open("w", encoding="utf-8")

    def now(self) -> float:
        """Returns the seconds since the case began."""
        return time.monotonic() - self._began

    def write(self, text: str) -> None:
        """Adds a line with the time."""
        self._file.write(f"{self.now():8.3f}  {text}\n")
        self._file.flush()


@dataclasses.dataclass
class Answer:
    """The answer to a call; status 0 means that none came."""

    status: int
    body: dict
    location: str = ""


class Connection:
    """One HTTP/1.1 connection that is kept open between calls."""

    def __init__(self, address: str) -> None:
        self.address = address
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None

    async def _exchange(
        self, method: str, path: str, body: object, headers: dict
    ) -> Answer:
        if self._writer is None or self._writer.is_closing():
            host, _, port = self.address.rpartition(":")
            self._reader, self._writer = await asyncio.open_connection(
                host, int(port)
            )
        assert self._reader is not None
        raw = b"" if body is None else json.dumps(body).encode()
        lines = [f"{method} {path} HTTP/1.1"]
        head = {"Host": self.address, **headers}
        head["Content-Type"] = "application/json"
        head["Content-Length"] = str(len(raw))
        lines += [f"{name}: {value}" for name, value in head.items()]
        self._writer.write("\r\n".join([*lines, "", ""]).encode() + raw)
        await self._writer.drain()
        head_bytes = await self._reader.readuntil(b"\r\n\r\n")
        first, *rest = head_bytes.decode("latin-1").split("\r\n")
        fields = {}
        for line in rest:
            name, _, value = line.partition(":")
            fields[name.lower()] = value.strip()
        length = int(fields.get("content-length", "0"))
        content = await self._reader.readexactly(length)
        if fields.get("connection", "").lower() == "close":
            self.close()
        try:
            decoded = json.loads(content) if content else {}
        except ValueError:
            decoded = {}
        status = int(first.split(" ")[1])
        return Answer(status, decoded, fields.get("location", ""))

    async def call(
        self,
        method: str,
        path: str,
        body: object = None,
        headers: dict | None = None,
        timeout_s: float = 1.0,
    ) -> Answer:
        """Sends a request; returns status 0 if no whole answer came."""
        try:
            return await asyncio.wait_for(
                self._exchange(method, path, body, headers or {}), timeout_s
            )
        except (OSError, ValueError, IndexError, EOFError, TimeoutError):
            self.close()
            return Answer(0, {})

    def close(self) -> None:
        """Closes the connection."""
        if self._writer is not None:
            self._writer.close()
        self._writer = None


async def call_once(
    address: str,
    method: str,
    path: str,
    body: object = None,
    headers: dict | None = None,
    timeout_s: float = 1.0,
) -> Answer:
    """Sends a request over a connection of its own."""
    connection = Connection(address)
    try:
        return await connection.call(method, path, body, headers, timeout_s)
    finally:
        connection.close()


class Site:
    """Three core processes and two entry processes on loopback addresses."""

    def __init__(self, record: Record, cores: int = 3) -> None:
        self.record = record
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        net = f"127.{random.randint(64, 250)}.{random.randint(1, 250)}"
        self.net = net
        self.cores = [f"{net}.{n}" for n in range(1, cores + 1)]
        self.entries = [f"{net}.{n}" for n in (11, 12)]
        self.peer, self.control, self.front, self.ready = free_ports(net, 4)
        self.processes: dict[str, subprocess.Popen] = {}
        self.tasks: list[asyncio.Task] = []
        self._started: set[str] = set()

    @property
    def control_addresses(self) -> list[str]:
        """The addresses at which the core serves control."""
        return [f"{vm}:{self.control}" for vm in self.cores]

    @property
    def front_addresses(self) -> list[str]:
        """The addresses of the entries."""
        return [f"{vm}:{self.front}" for vm in self.entries]

    def start_process(self, vm: str) -> None:
        """Starts the process of a machine, by the deploy file's command."""
        role = "core" if vm in self.cores else "entry"
        zones = ", ".join(f'"{zone}"' for zone in ZONES)
        seeds = ", ".join(f'"{seed}"' for seed in self.control_addresses)
        machines = self.cores if role == "core" else self.entries
        zone = ZONES[machines.index(vm) % 3]
        founding = role == "core" and vm not in self._started
        lines = [
            f'name = "{role}-{vm}"',
            f'address = "{vm}"',
            f'failure_domain = "{zone}"',
            f"failure_domains = [{zones}]",
            f"peer_port = {self.peer}",
            f"seeds = [{seeds}]",
            f"founding = {str(founding).lower()}",
            "tolerated_losses = 1",
        ]
        if role == "core":
            data = self.folder / vm
            data.mkdir(exist_ok=True)
            lines += [f'data_folder = "{data}"', "[listen]"]
            lines += [f'control = "{vm}:{self.control}"']
        else:
            lines += ["[listen]", f'callers = "{vm}:{self.front}"']
            lines += [f'readiness = "{vm}:{self.ready}"']
        lines += [
            "[bounds]",
            f"longest_lease_ms = {HOLD_MAX_MS}",
            "stop_grace_ms = 900",
            "restore_ms = 250",
            "key_revoked_ms = 5000",
        ]
        path = self.folder / f"{vm}.toml"
        path.write_text("\n".join(lines) + "\n")
        self._started.add(vm)
        environment = {
            "PATH": os.environ["PATH"],
            "HOME": os.environ.get("HOME", "/"),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "LABURNUMSILL_NODE_FILE": str(path),
        }
        log = (self.folder / f"{vm}.log").open("ab")
        command = ["python3", "-m", "laburnumsill.daemon.role_main", role]
        self.processes[vm] = subprocess.Popen(
            command, cwd=ROOT, env=environment, stdout=log, stderr=log
        )
        self.record.write(f"started {role} {vm}: {' '.join(command)}")

    def kill(self, vm: str) -> None:
        """Kills the process of a machine."""
        process = self.processes.pop(vm)
        process.kill()
        process.wait()
        self.record.write(f"SIGKILL to {vm}")

    def leader(self) -> str:
        """Returns the machine whose log shows the newest scheduler's start."""
        newest = ("", "")
        for vm in self.cores:
            path = self.folder / f"{vm}.log"
            if vm not in self.processes or not path.exists():
                continue
            for line in path.read_text(errors="replace").splitlines():
                if "event=scheduler-started" in line:
                    newest = max(newest, (line.split(" ")[0], vm))
        return newest[1]

    def log_lines(self, *needles: str) -> list[str]:
        """Returns the log lines of the core that have all the words."""
        lines = []
        for vm in self.cores:
            path = self.folder / f"{vm}.log"
            if path.exists():
                text = path.read_text(errors="replace")
                lines += [
                    line
                    for line in text.splitlines()
                    if all(needle in line for needle in needles)
                ]
        return sorted(lines)

    async def start(self, document: dict) -> None:
        """Starts all processes and brings a first configuration in force.

        Raises:
            CannotRunError: The site does not serve.
        """
        for vm in (*self.cores, *self.entries):
            self.start_process(vm)
        await self.configure(document)
        prefix = document["routes"][0]["path_prefix"]
        for address in self.front_addresses:
            await self.until(address, "GET", prefix, 200)

    async def until(
        self, address: str, method: str, path: str, wanted: int
    ) -> Answer:
        """Repeats a client's call until it has the wanted status.

        Raises:
            CannotRunError: It has not within 20 s.
        """
        ends_at = time.monotonic() + 20
        while time.monotonic() < ends_at:
            answer = await self.client(method, path, address=address)
            if answer.status == wanted:
                return answer
            await asyncio.sleep(0.2)
        raise CannotRunError(f"no {wanted} to {method} {path} at {address}")

    async def configure(self, document: dict) -> None:
        """Sends a configuration until it is acknowledged, as operators do.

        Raises:
            CannotRunError: It was not acknowledged.
        """
        for number in range(100):
            address = self.control_addresses[number % len(self.cores)]
            answer = await call_once(address, "PUT", "/-/config", document)
            if answer.status == 200:
                version = document["version"]
                self.record.write(
                    f"operator: configuration {version} acknowledged"
                )
                return
            await asyncio.sleep(0.2)
        raise CannotRunError("the configuration was not acknowledged")

    async def client(
        self,
        method: str,
        path: str,
        body: object = None,
        address: str = "",
        key: str = KEY,
    ) -> Answer:
        """Sends a client's call to an entry."""
        headers = {
            "Host": HOST,
            "Authorization": f"Bearer {key}",
            "X-Deadline-Ms": "3000",
        }
        return await call_once(
            address or self.front_addresses[0],
            method,
            path,
            body,
            headers,
            timeout_s=3.2,
        )

    async def submit(self, path: str, body: dict) -> None:
        """Hands a job in until it is accepted.

        Raises:
            CannotRunError: It was not accepted.
        """
        for number in range(20):
            address = self.front_addresses[number % 2]
            answer = await self.client("POST", path, body, address)
            self.record.write(f"client: POST {path} -> {answer.status}")
            if 200 <= answer.status < 300:
                return
            await asyncio.sleep(0.3)
        raise CannotRunError(f"{path} was not accepted")

    async def state(self, path: str) -> str:
        """Returns the state of a job as a client is shown it."""
        for number in range(8):
            address = self.front_addresses[number % 2]
            answer = await self.client("GET", path, address=address)
            if answer.status == 410:
                return "410"
            if answer.status == 200:
                return str(answer.body.get("state"))
            await asyncio.sleep(0.2)
        return ""

    def stop(self) -> None:
        """Ends all processes that were started and removes the folder."""
        for process in self.processes.values():
            process.send_signal(signal.SIGCONT)
            process.kill()
        for process in self.processes.values():
            process.wait()
        if os.environ.get("KEEP"):
            print(self.folder, file=sys.stderr)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


class OneWayProxy:
    """A TCP proxy that can drop all that comes back to its clients.

    Attributes:
        silent: Whether bytes towards the clients are dropped.
    """

    def __init__(self, target: str, host: str) -> None:
        self.silent = False
        self.address = f"{host}:{free_ports(host, 1)[0]}"
        self._target = target
        self._server: asyncio.base_events.Server | None = None

    async def start(self) -> None:
        """Listens until the case ends."""
        host, _, port = self.address.rpartition(":")
        self._server = await asyncio.start_server(self._serve, host, int(port))

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        host, _, port = self._target.rpartition(":")
        try:
            back, forth = await asyncio.open_connection(host, int(port))
            await asyncio.gather(
                self._pump(reader, forth, False), self._pump(back, writer, True)
            )
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def _pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        to_client: bool,
    ) -> None:
        while data := await reader.read(65536):
            if not (to_client and self.silent):
                writer.write(data)
                await writer.drain()
        if not (to_client and self.silent):
            writer.close()


@dataclasses.dataclass
class Run:
    """A run of a task on an executor."""

    task: str
    number: int
    began: float
    ends_at: float
    how: str
    lasting: bool = False
    stopping: bool = False


class Executor:
    """One executor at a fixed address; each start of it has a new id.

    Attributes:
        done: By task: number and time of its first end `done`.
        lapses: Times at which its lease lapsed, with or without runs.
        noted: Ends of this life that were taken note of: time by number.
        on_start: Called with the executor and the run at each start.
        is_deaf: Whether nothing arrives here that others send.
    """

    _numbers = itertools.count(1)

    def __init__(
        self,
        site: Site,
        zone: str,
        rack: str,
        service: str = SERVICE,
        host: str = "",
    ) -> None:
        self.site = site
        self.record = site.record
        self.zone = zone
        self.rack = rack
        self.service = service
        self.host = host or f"{site.net}.{100 + next(self._numbers)}"
        self.address = f"{self.host}:{free_ports(self.host, 1)[0]}"
        self.id = ""
        self.up = False
        self.draining = False
        self.left = False
        self.runs: dict[str, Run] = {}
        self.starts: list[tuple[float, str, int]] = []
        self.done: dict[str, tuple[int, float]] = {}
        self.noted: dict[int, float] = {}
        self.lapses: list[float] = []
        self.on_start = None
        self.is_deaf = False
        self._server: asyncio.base_events.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._loops: list[asyncio.Task] = []

    async def boot(self) -> None:
        """Starts a new life: it holds nothing and has seen no fence."""
        self.id = f"i-{random.getrandbits(32):08x}"
        self.up = True
        self.draining = self.left = False
        self.runs = {}
        self.noted = {}
        self._ended: list[list] = []
        self._ended_count = 0
        self._over: dict[str, int] = {}
        self._fence = 0
        self._lease_ms = 0
        self._born = time.monotonic() - 10.0
        self._sequence = 0
        self._end_listed = asyncio.Event()
        self._control = ""
        host, _, port = self.address.rpartition(":")
        self._server = await asyncio.start_server(
            self._serve, host, int(port), reuse_address=True
        )
        self.record.write(f"executor {self.id} at {self.address} is up")
        self._loops = [
            asyncio.ensure_future(self._beat()),
            asyncio.ensure_future(self._work()),
        ]

    async def idle(self) -> None:
        """Waits until nothing runs here."""
        for _ in range(3000):
            if not self.runs:
                return
            await asyncio.sleep(0.01)

    def crash(self) -> None:
        """Ends this life without a word; its runs end with it."""
        self.record.write(
            f"executor {self.id} crashes with {sorted(self.runs)}"
        )
        self._end()

    def end(self) -> None:
        """Ends this life as planned; its runs end with it."""
        self.record.write(f"executor {self.id} ends with {sorted(self.runs)}")
        self._end()

    def _end(self) -> None:
        self.up = False
        self.runs = {}
        for loop in self._loops:
            loop.cancel()
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            with contextlib.suppress(Exception):
                writer.transport.abort()
        self._writers.clear()

    @property
    def clock_ms(self) -> int:
        """The executor's own steady clock."""
        return int((time.monotonic() - self._born) * 1000)

    def report(self, state: str) -> dict:
        """Returns what the executor says of itself."""
        self._sequence += 1
        body = {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": 8,
            "state": state,
            "cold_left_ms": 0,
            "capacity": {"cpu": CPU, "mem_mb": MEMORY_MB, "gpu": GPUS},
            "labels": ["a", self.rack],
            "clock_ms": self.clock_ms,
            "seq": self._sequence,
        }
        if state == "draining":
            body["remaining_ms"] = 0
        return body

    async def beat_once(self) -> bool:
        """Sends a heartbeat to one daemon after the other until one acks."""
        state = "draining" if self.draining else "ready"
        body = self.report(state)
        addresses = list(self.site.control_addresses)
        random.shuffle(addresses)
        for address in [*([self._control] * bool(self._control)), *addresses]:
            answer = await call_once(
                address, "PUT", f"/-/instances/{self.id}", body
            )
            if 200 <= answer.status < 300:
                self._control = answer.body.get("heartbeat_addr", "")
                return True
            self._control = ""
        return False

    async def _beat(self) -> None:
        while not self.left:
            await self.beat_once()
            await asyncio.sleep(HEARTBEAT_S)

    async def _work(self) -> None:
        """Ends runs when they are done, were stopped or lost their lease."""
        while True:
            await asyncio.sleep(0.01)
            if 0 < self._lease_ms <= self.clock_ms:
                self._lease_ms = 0
                self.lapses.append(round(self.record.now(), 3))
                for run in list(self.runs.values()):
                    self._finish(run, "lapsed")
            now = time.monotonic()
            for run in list(self.runs.values()):
                if now >= run.ends_at:
                    self._finish(run, run.how)

    def _finish(self, run: Run, how: str) -> None:
        self.runs.pop(run.task, None)
        self._over[run.task] = max(self._over.get(run.task, 0), run.number)
        self._ended_count += 1
        self._ended.append([self._ended_count, run.task, run.number, how, ""])
        if how == "done":
            at = self.record.now()
            self.done.setdefault(run.task, (self._ended_count, at))
        self.record.write(
            f"{self.id}: {run.task} run {run.number} ends {how}"
            f" (end {self._ended_count})"
        )
        self._end_listed.set()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        life = self.id
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                first, *rest = head.decode("latin-1").split("\r\n")
                fields = {}
                for line in rest:
                    name, _, value = line.partition(":")
                    fields[name.lower()] = value.strip()
                length = int(fields.get("content-length", "0"))
                raw = await reader.readexactly(length)
                if self.is_deaf:
                    continue
                _, path, _ = first.split(" ", 2)
                body = json.loads(raw) if raw else {}
                status, answer = await self._answer(path, fields, body)
                if life != self.id or not self.up:
                    return
                content = json.dumps(answer).encode()
                writer.write(
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json"
                    f"\r\nContent-Length: {len(content)}\r\n\r\n".encode()
                    + content
                )
                await writer.drain()
        except (OSError, EOFError, ValueError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _answer(
        self, path: str, fields: dict, body: dict
    ) -> tuple[int, dict]:
        if path == "/health":
            return 200, {}
        expected = fields.get("x-expect-instance", self.id)
        if expected != self.id:
            return 421, {"clock_ms": self.clock_ms}
        if body.get("fence", 0) < self._fence:
            return 409, {"clock_ms": self.clock_ms, "reason": "fence"}
        self._fence = body.get("fence", 0)
        if path == "/-/run-start":
            return self._start(body)
        if path == "/-/run-stop":
            return self._stop(body)
        if path == "/-/hold":
            return await self._hold(body)
        return 404, {}

    def _renew(self, body: dict) -> None:
        deadline = body.get("deadline_at_ms")
        if deadline is not None:
            limit = self.clock_ms + HOLD_MAX_MS
            self._lease_ms = max(self._lease_ms, min(deadline, limit))

    def _start(self, body: dict) -> tuple[int, dict]:
        task, number = body["task"], body["run"]
        self._renew(body)
        known = self.runs.get(task)
        if known is not None and known.number == number:
            return 200, {"clock_ms": self.clock_ms}
        if number <= self._over.get(task, 0) or known is not None:
            return 409, {"clock_ms": self.clock_ms, "reason": "old"}
        if body["deadline_at_ms"] <= self.clock_ms:
            return 409, {"clock_ms": self.clock_ms, "reason": "late"}
        spec = json.loads(body["spec"])
        now = time.monotonic()
        lasting = bool(spec.get("lasting"))
        ends_at = now + spec["ms"] / 1000
        run = Run(task, number, now, ends_at, "done", lasting)
        self.runs[task] = run
        self.starts.append((self.record.now(), task, number))
        self.record.write(f"{self.id}: {task} run {number} starts")
        if self.on_start is not None:
            self.on_start(self, run)
        return 200, {"clock_ms": self.clock_ms}

    def _stop(self, body: dict) -> tuple[int, dict]:
        task, number = body["task"], body["run"]
        run = self.runs.get(task)
        self._over[task] = max(self._over.get(task, 0), number)
        if run is not None and run.number <= number and not run.stopping:
            run.stopping = True
            run.how = "stopped"
            run.ends_at = min(run.ends_at, time.monotonic() + STOP_GRACE_S)
            self.record.write(f"{self.id}: {task} run {number} is stopped")
        return 200, {"clock_ms": self.clock_ms}

    async def _hold(self, body: dict) -> tuple[int, dict]:
        self._renew(body)
        cursor = body.get("ack_cursor", 0)
        for end in self._ended:
            if end[0] <= cursor:
                self.noted[end[0]] = self.record.now()
                self.record.write(f"{self.id}: end {end[0]} is taken note of")
        self._ended = [end for end in self._ended if end[0] > cursor]
        wait_s = body.get("wait_ms", 0) / 1000
        if wait_s and not self._ended:
            self._end_listed.clear()
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._end_listed.wait(), wait_s)
        now = time.monotonic()
        running = [
            [run.task, run.number, "", self._percent(run, now)]
            for run in self.runs.values()
        ]
        answer = {
            "clock_ms": self.clock_ms,
            "running": running,
            "ended": self._ended[:500],
        }
        return 200, answer

    def _percent(self, run: Run, now: float) -> int:
        if run.lasting:
            return 100
        whole = max(0.001, run.ends_at - run.began)
        return min(100, int(100 * (now - run.began) / whole))


def free_ports(host: str, count: int) -> list[int]:
    """Returns free ports of a loopback address."""
    sockets = [socket.socket() for _ in range(count)]
    try:
        for one in sockets:
            one.bind((host if host.count(".") == 3 else f"{host}.1", 0))
        return [one.getsockname()[1] for one in sockets]
    finally:
        for one in sockets:
            one.close()


def configuration(version: int, **changes: object) -> dict:
    """Returns a configuration as operators send it."""
    routes = [
        {
            "name": f"r-{name}",
            "host": HOST,
            "path_prefix": f"/{name}/",
            "kind": "unsafe",
            "timeout_ms": 3000,
            "target_duration_ms": 1000,
            "priority": priority,
            "service": SERVICE,
            "max_attempts": 3,
            "stretch": 3.0,
            "public": False,
        }
        for priority, name in enumerate(("urgent", "sweep", "batch"))
    ]
    return {
        "version": version,
        "routes": routes,
        "services": [service(SERVICE)],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 262144,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        "tenants": [
            {
                "name": TENANT,
                "api_keys": [KEY],
                "priority": 1,
                "guaranteed": {"gpu": 8},
            }
        ],
        **changes,
    }


def service(name: str) -> dict:
    """Returns a service of a configuration."""
    return {
        "name": name,
        "health_path": "/health",
        "max_conns": 64,
        "protocol": "h1",
        "tls": False,
        "enforces_capacity": False,
        "standby": False,
    }


def job_path(queue: str) -> str:
    """Returns the path of a new job."""
    return f"/{queue}/{random.getrandbits(64):016x}"


def spec(duration_s: float, lasting: bool = False) -> str:
    """Returns a job's spec that says how long its tasks take."""
    return json.dumps({"ms": int(duration_s * 1000), "lasting": lasting})


def play(case: object, folder: str, trouble: bool) -> None:
    """Plays a case and exits with 1 if its rule was broken, 0 if it held.

    Args:
        case: Coroutine function of a site and whether there is trouble; it
            returns whether the rule was broken.
        folder: The folder of the case.
        trouble: Whether the disruption is to happen.
    """
    record = Record(pathlib.Path(folder) / "record.txt")
    record.write(f"trouble: {trouble}")

    async def main() -> int:
        site = Site(record)
        try:
            broken = await asyncio.wait_for(case(site, trouble), 110)
        except Exception as error:  # a fault of the case shows nothing
            record.write(f"the case could not run: {error!r}")
            return 2
        finally:
            for task in site.tasks:
                task.cancel()
            site.stop()
        record.write("the rule was broken" if broken else "the rule held")
        return int(broken)

    sys.exit(asyncio.run(main()))
