"""A small deployment for the scripts of the third review, on loopback.

Starts the programs of the deploy file as processes and plays everything around
them: the operator, the clients and the executors, as the users' pages describe
them. Standard library only. What was sent, answered and run is written to
`record.txt` in the folder of the case.
"""

import asyncio
import contextlib
import json
import os
import pathlib
import shutil
import signal
import socket
import sys
import tempfile
import time

REPOSITORY = pathlib.Path(__file__).resolve().parents[2]
HOLD = 0
BROKEN = 1
NOT_RUN = 2

HOST = "nony24.example"
SERVICE = "huvo11a"
KEY = "d4a3hwrr6x73d3zji9n7"
TENANT = "kaje80"

HEARTBEAT_S = 1.5
HOLD_MAX_MS = 10_000
STOP_S = 0.1
CHECKPOINT_S = 1.0
MAX_WAIT_MS = 2_000

ROUTES = {
    "/lohu930/": (1, 4, 3.0, 1000),
    "/ficu791/": (0, 3, 1.5, 250),
    "/pule252/": (2, 3, 3.0, 3000),
}
"""Priority, `max_attempts`, `stretch` and `target_duration_ms` by prefix."""


class Record:
    """The file `record.txt` of a case."""

    def __init__(self, folder):
        self._file = (folder / "record.txt").open("w")
        self._began = time.monotonic()

    def now(self):
        """Returns the seconds since the start."""
        return time.monotonic() - self._began

    def write(self, what, **fields):
        """Writes one line."""
        rest = " ".join(f"{key}={value}" for key, value in fields.items())
        self._file.write(f"{self.now():9.3f} {what} {rest}\n")
        self._file.flush()


class Run:
    """A task that an executor works on."""

    def __init__(self, number, body, now):
        self.number = number
        self.saved = body.get("saved", "")
        self.began = now
        self.stopping = False


class Executor:
    """One machine's executor; each life has an id of its own.

    Args:
        site: The site.
        number: Number of the machine.
        labels: Kind and rack.
        capacity: Its `capacity`.
    """

    def __init__(self, site, number, labels, capacity):
        self._site = site
        self._number = number
        self._labels = labels
        self._capacity = capacity
        self.address = f"127.0.91.{number + 1}:{site.executor_port}"
        self.instance = ""
        self._life = 0
        self._server = None
        self._tasks = []
        self._writers = set()
        self.runs = {}

    async def start(self):
        """Begins a new life, which knows nothing of the one before."""
        self._life += 1
        self.instance = (
            f"i-{self._number:02d}{self._life:02d}{os.urandom(3).hex()}"
        )
        self.runs = {}
        self._over = {}
        self.ended = []
        self._last_end = 0
        self._fence = 0
        self._lease_ms = 0
        self._clock_zero = time.monotonic() - 400 - self._number
        self._sequence = 0
        self._changed = asyncio.Event()
        host, _, port = self.address.rpartition(":")
        self._server = await asyncio.start_server(
            self._serve, host, int(port), reuse_address=True
        )
        self._tasks = [
            asyncio.create_task(self._announce()),
            asyncio.create_task(self._work()),
        ]
        self._site.record.write(
            "executor-up", id=self.instance, address=self.address
        )

    async def crash(self):
        """Ends this life without a word."""
        for task in self._tasks:
            task.cancel()
        lost = [f"{task}#{run.number}" for task, run in self.runs.items()]
        self.runs = {}
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()
        self._site.record.write(
            "executor-crashed", id=self.instance, running=lost
        )

    def clock_ms(self):
        """Returns its steady clock."""
        return int((time.monotonic() - self._clock_zero) * 1000)

    async def _announce(self):
        where = list(self._site.control)
        while True:
            self._sequence += 1
            body = {
                "service": SERVICE,
                "address": self.address,
                "zone": "swords",
                "version": "v1",
                "slots": 8,
                "state": "ready",
                "cold_left_ms": 0,
                "capacity": self._capacity,
                "labels": self._labels,
                "clock_ms": self.clock_ms(),
                "seq": self._sequence,
            }
            path = f"/-/instances/{self.instance}"
            for _ in range(len(where)):
                status, answer = await call(where[0], "PUT", path, body, 1.0)
                if status // 100 == 2:
                    wanted = (answer or {}).get("heartbeat_addr")
                    if wanted in where:
                        where.remove(wanted)
                        where.insert(0, wanted)
                    break
                where.append(where.pop(0))
            await asyncio.sleep(HEARTBEAT_S)

    async def _work(self):
        """Ends runs that are done, and all at the end of the lease."""
        while True:
            await asyncio.sleep(0.02)
            if self.runs and self.clock_ms() >= self._lease_ms:
                for task in list(self.runs):
                    self._end(task, "lapsed")
            for task, run in list(self.runs.items()):
                if run.stopping and self._now() >= run.stop_at:
                    self._end(task, "stopped")
                    continue
                how = self._site.outcome(self, task, run, self._ran_s(run))
                if how and not run.stopping:
                    self._end(task, how)

    def _now(self):
        return time.monotonic()

    def _ran_s(self, run):
        return self._now() - run.began

    def _end(self, task, how):
        run = self.runs.pop(task)
        self._over[task] = max(self._over.get(task, 0), run.number)
        self._last_end += 1
        self.ended.append([self._last_end, task, run.number, how, ""])
        self._site.on_end(self, task, run, how, self._ran_s(run))
        self._changed.set()
        self._changed = asyncio.Event()

    def _extend(self, body):
        until = body.get("deadline_at_ms")
        if until is not None:
            until = min(until, self.clock_ms() + HOLD_MAX_MS)
            self._lease_ms = max(self._lease_ms, until)

    async def _serve(self, reader, writer):
        life = self._life
        self._writers.add(writer)
        try:
            while True:
                request = await read_message(reader)
                if request is None or life != self._life:
                    return
                line, headers, raw = request
                path = line.split(" ")[1]
                status, answer = await self._answer(
                    path, headers, json.loads(raw or b"{}")
                )
                answer["clock_ms"] = self.clock_ms()
                content = json.dumps(answer).encode()
                head = (
                    f"HTTP/1.1 {status} x\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(content)}\r\n\r\n"
                )
                writer.write(head.encode() + content)
                await writer.drain()
        except (
            ConnectionError,
            asyncio.CancelledError,
            asyncio.IncompleteReadError,
        ):
            return
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _answer(self, path, headers, body):
        if headers.get("x-expect-instance", self.instance) != self.instance:
            return 421, {}
        if path == "/-/hold":
            return await self._hold(body)
        if body.get("fence", 0) < self._fence:
            return 409, {"reason": "fence"}
        self._fence = body.get("fence", 0)
        if path == "/-/run-start":
            return self._start_run(body)
        if path == "/-/run-stop":
            return self._stop_run(body)
        return 404, {}

    def _start_run(self, body):
        task, number = body["task"], body["run"]
        present = self.runs.get(task)
        if present is not None and present.number == number:
            self._extend(body)
            return 200, {}
        if number <= self._over.get(task, 0):
            self._extend(body)
            return 409, {"reason": "old"}
        if body["deadline_at_ms"] <= self.clock_ms():
            return 409, {"reason": "late"}
        self._extend(body)
        self.runs[task] = Run(number, body, self._now())
        self._site.on_start(self, task, number, body)
        return 200, {}

    def _stop_run(self, body):
        task, number = body["task"], body["run"]
        self._over[task] = max(self._over.get(task, 0), number)
        run = self.runs.get(task)
        if run is not None and run.number <= number and not run.stopping:
            run.stopping = True
            run.stop_at = self._now() + STOP_S
            self._site.on_stop(self, task, run, self._ran_s(run))
        return 200, {}

    async def _hold(self, body):
        if body.get("fence", 0) < self._fence:
            return 409, {"reason": "fence"}
        self._fence = body.get("fence", 0)
        self._extend(body)
        taken = body.get("ack_cursor", 0)
        self.ended = [end for end in self.ended if end[0] > taken]
        wait_ms = min(body.get("wait_ms", 0), MAX_WAIT_MS)
        if wait_ms and not self.ended:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), wait_ms / 1000)
        running = [
            [
                task,
                run.number,
                run.saved,
                self._site.percent(task, self._ran_s(run)),
                1,
            ]
            for task, run in self.runs.items()
        ]
        return 200, {"running": running, "ended": self.ended[:500]}


async def read_message(reader):
    """Returns start line, headers and body of a message, None at the end."""
    line = (await reader.readline()).decode().strip()
    if not line:
        return None
    headers = {}
    while True:
        header = (await reader.readline()).decode().strip()
        if not header:
            break
        name, _, value = header.partition(":")
        headers[name.lower()] = value.strip()
    length = int(headers.get("content-length", "0"))
    body = await reader.readexactly(length) if length else b""
    return line, headers, body


async def call(address, method, path, body=None, timeout_s=3.0, key=""):
    """Returns status and JSON of an answer, (0, None) if none comes."""
    try:
        return await asyncio.wait_for(
            _call(address, method, path, body, timeout_s, key), timeout_s
        )
    except (TimeoutError, OSError, asyncio.IncompleteReadError):
        return 0, None


async def _call(address, method, path, body, timeout_s, key):
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        content = b"" if body is None else json.dumps(body).encode()
        head = (
            f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\n"
            f"Content-Type: application/json\r\n"
            f"Content-Length: {len(content)}\r\n"
            f"X-Deadline-Ms: {int(timeout_s * 1000)}\r\n"
        )
        if key:
            head += f"Authorization: Bearer {key}\r\n"
        writer.write(head.encode() + b"\r\n" + content)
        await writer.drain()
        answer = await read_message(reader)
        if answer is None:
            return 0, None
        line, _, raw = answer
        return int(line.split(" ")[1]), json.loads(raw) if raw else None
    finally:
        writer.close()


def configuration(version):
    """Returns a configuration like that of the pages."""
    return {
        "version": version,
        "routes": [
            {
                "name": f"r-{prefix.strip('/')}",
                "host": HOST,
                "path_prefix": prefix,
                "kind": "unsafe",
                "timeout_ms": 3000,
                "target_duration_ms": target_ms,
                "priority": priority,
                "service": SERVICE,
                "max_attempts": attempts,
                "stretch": stretch,
                "public": False,
            }
            for prefix, (priority, attempts, stretch, target_ms) in (
                ROUTES.items()
            )
        ],
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
                "name": TENANT,
                "api_keys": [KEY],
                "priority": 1,
                "guaranteed": {"gpu": 8},
            }
        ],
    }


class Site:
    """Three core machines, two fronts, and executors.

    Subclasses say how long tasks work and how they end.

    Args:
        folder: The folder of the case.
    """

    zones = ("swords", "malahide", "balbriggan")

    def __init__(self, folder):
        self.record = Record(folder)
        self.core = [f"127.0.92.{number}" for number in (1, 2, 3)]
        self.fronts = [f"127.0.93.{number}" for number in (1, 2)]
        ips = [*self.core, *self.fronts, "127.0.91.1"]
        ports = free_ports(ips, 5)
        self.control_port, self.front_port, self.ready_port = ports[:3]
        self.peer_port, self.executor_port = ports[3:]
        self.control = [f"{ip}:{self.control_port}" for ip in self.core]
        self.entries = [f"{ip}:{self.front_port}" for ip in self.fronts]
        self.executors = []
        self.ends = []
        self.starts = []
        self.started = asyncio.Queue()
        self._temporary = tempfile.TemporaryDirectory(prefix="third-")
        self._folder = pathlib.Path(self._temporary.name)
        self.processes = {}

    def outcome(self, executor, task, run, ran_s):
        """Returns how a run ends now, "" while it works on."""
        return ""

    def percent(self, task, ran_s):
        """Returns the progress of a run."""
        return 0

    def on_start(self, executor, task, number, body):
        """Notes a start."""
        self.starts.append((self.record.now(), executor, task, number))
        self.started.put_nowait(executor)
        self.record.write(
            "run-start", executor=executor.instance, task=task, run=number
        )

    def on_stop(self, executor, task, run, ran_s):
        """Notes that a run is told to stop."""
        self.record.write(
            "run-stop",
            executor=executor.instance,
            task=task,
            run=run.number,
            ran_s=f"{ran_s:.2f}",
        )

    def on_end(self, executor, task, run, how, ran_s):
        """Notes an end."""
        self.ends.append((self.record.now(), task, run.number, how))
        self.record.write(
            "run-end",
            executor=executor.instance,
            task=task,
            run=run.number,
            how=how,
            ran_s=f"{ran_s:.2f}",
        )

    async def start(self, executors):
        """Starts all; the first configuration is acknowledged.

        Args:
            executors: Labels and capacity of each executor.
        """
        for ip in self.core:
            self.launch(ip, True)
        for ip in self.fronts:
            self.launch(ip, True)
        version = configuration(7)
        await self.until(self._configured, version, 30.0)
        for number, (labels, capacity) in enumerate(executors):
            executor = Executor(self, number, labels, capacity)
            self.executors.append(executor)
            await executor.start()
        await self.until(self._serves, None, 30.0)
        await asyncio.sleep(4.0)

    async def _configured(self, document):
        for address in self.control:
            status, _ = await call(address, "PUT", "/-/config", document, 1.0)
            self.record.write("config-put", to=address, status=status)
            if status == 200:
                return True
        return False

    async def _serves(self, _):
        answers = [
            await call(entry, "GET", "/pule252/", None, 1.0, KEY)
            for entry in self.entries
        ]
        return all(status == 200 for status, _ in answers)

    async def until(self, check, argument, within_s):
        """Waits until a check succeeds.

        Raises:
            RuntimeError: It does not in time.
        """
        deadline = time.monotonic() + within_s
        while not await check(argument):
            if time.monotonic() > deadline:
                raise RuntimeError(f"{check.__name__} did not succeed")
            await asyncio.sleep(0.2)

    async def submit(self, path, steps, **fields):
        """Hands a job in until it is accepted; returns the path."""
        body = {"spec": "text", "steps": steps, **fields}
        for attempt in range(20):
            entry = self.entries[attempt % len(self.entries)]
            status, _ = await call(entry, "POST", path, body, 3.0, KEY)
            self.record.write(
                "post", to=entry, path=path, status=status, body=body
            )
            if status // 100 == 2:
                return
            await asyncio.sleep(0.3)
        raise RuntimeError(f"{path} was not accepted")

    async def state(self, path):
        """Returns the shown state of a job, "410" or "" without an answer."""
        for entry in self.entries:
            status, answer = await call(entry, "GET", path, None, 3.0, KEY)
            if status == 200:
                self.record.write("get", path=path, state=answer["state"])
                return answer["state"]
            self.record.write("get", path=path, status=status)
            if status == 410:
                return "410"
        return ""

    def launch(self, ip, bootstrap):
        """Starts the process of one machine with its settings."""
        role = "core" if ip in self.core else "entry"
        zone = self.zones[(int(ip.rpartition(".")[2]) - 1) % 3]
        seeds = ", ".join(f'"{address}"' for address in self.control)
        lines = [
            f'name = "{role}-{zone}-{ip.rpartition(".")[2]}"',
            f'address = "{ip}"',
            f'failure_domain = "{zone}"',
            f"failure_domains = {json.dumps(list(self.zones))}",
            f"peer_port = {self.peer_port}",
            f"seeds = [{seeds}]",
            f"founding = {json.dumps(bootstrap)}",
            "tolerated_losses = 1",
        ]
        if role == "core":
            data = self._folder / f"data-{ip}"
            data.mkdir(exist_ok=True)
            listen = [f'control = "{ip}:{self.control_port}"']
            lines.append(f'data_folder = "{data}"')
        else:
            listen = [
                f'callers = "{ip}:{self.front_port}"',
                f'readiness = "{ip}:{self.ready_port}"',
            ]
        lines += [
            "[listen]",
            *listen,
            "[bounds]",
            f"longest_lease_ms = {HOLD_MAX_MS}",
            "stop_grace_ms = 200",
            "restore_ms = 100",
            "key_revoked_ms = 5000",
            "shutdown_s = 6",
            "[limits]",
            "memory_mb = 296" if role == "core" else "memory_mb = 300",
            "descriptors = 4096",
        ]
        path = self._folder / f"{ip}.toml"
        path.write_text("\n".join(lines) + "\n")
        log = (self._folder / f"{ip}.log").open("ab")
        environment = {
            "PATH": os.environ["PATH"],
            "HOME": os.environ.get("HOME", "/"),
            "LANG": "C.UTF-8",
            "PYTHONPATH": str(REPOSITORY / "target" / "deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
            "LABURNUMSILL_NODE_FILE": str(path),
        }
        process = asyncio.create_task(
            asyncio.create_subprocess_exec(
                "python3",
                "-m",
                "laburnumsill.daemon.role_main",
                role,
                cwd=REPOSITORY,
                env=environment,
                stdout=log,
                stderr=log,
                start_new_session=True,
            )
        )
        self.processes[ip] = process
        self.record.write("start", role=role, address=ip)

    def lose_disk(self, ip):
        """Empties the data folder of a machine whose process has ended."""
        shutil.rmtree(self._folder / f"data-{ip}")

    def _keep_log(self, ip):
        """Copies what a process has written to the folder `KEEP_LOGS`."""
        if "KEEP_LOGS" not in os.environ:
            return
        target = pathlib.Path(os.environ["KEEP_LOGS"])
        target.mkdir(parents=True, exist_ok=True)
        log = (self._folder / f"{ip}.log").read_bytes()
        (target / f"{ip}.log").write_bytes(log)

    async def close(self):
        """Ends all processes and executors that this script started."""
        for executor in self.executors:
            with contextlib.suppress(Exception):
                await executor.crash()
        for ip, starting in self.processes.items():
            process = await starting
            if process.returncode is None:
                process.kill()
            await process.wait()
            self._keep_log(ip)
        self._temporary.cleanup()


def free_ports(ips, count):
    """Returns ports that are free on all of some addresses."""
    found = []
    while len(found) < count:
        with contextlib.ExitStack() as stack:
            first = stack.enter_context(socket.socket())
            first.bind((ips[0], 0))
            port = first.getsockname()[1]
            try:
                for ip in ips[1:]:
                    stack.enter_context(socket.socket()).bind((ip, port))
            except OSError:
                continue
            if port not in found:
                found.append(port)
    return found


def main(folder, play, kind, limit_s=112.0):
    """Plays a case and exits with its code.

    Args:
        folder: The folder of the case.
        play: Coroutine function of a site and of whether to disturb it; it
            returns why the rule is broken, "" if it held.
        kind: The class of the site.
        limit_s: Longest duration.
    """
    disturbed = os.environ.get("TROUBLE", "1") != "0"

    async def run():
        site = kind(pathlib.Path(folder))
        loop = asyncio.get_running_loop()
        task = asyncio.current_task()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, task.cancel)
        try:
            found = await asyncio.wait_for(play(site, disturbed), limit_s)
            site.record.write("verdict", broken=bool(found), why=found or "-")
            return found
        finally:
            await site.close()

    try:
        found = asyncio.run(run())
    except (Exception, asyncio.CancelledError) as error:
        print(f"the case could not run: {error!r}")
        sys.exit(NOT_RUN)
    print(f"broken: {found}" if found else "held")
    sys.exit(BROKEN if found else HOLD)
