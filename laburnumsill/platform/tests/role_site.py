"""Site whose core VMs, entries, workers and operator share one process.

Each VM has its own loopback address, since its address is its id.
"""

import pathlib
import time

import msgspec
import trio

from laburnumsill.batch import model
from laburnumsill.daemon import core_role
from laburnumsill.daemon import entry_role
from laburnumsill.daemon import role
from laburnumsill.daemon import role_settings
from laburnumsill.daemon import server
from laburnumsill.emulator import oracle as oracles
from laburnumsill.emulator import workers as emulated
from laburnumsill.platform.tests import standin
from laburnumsill.testing import ports


class Site:
    """Daemons and workers that a test starts and stops."""

    def __init__(self, folder: pathlib.Path, nursery: trio.Nursery) -> None:
        self.folder = folder
        self.nursery = nursery
        self.peer_port, self.control_port = ports.free_ports(2)
        self.scopes: dict[str, trio.CancelScope] = {}
        self.ended: dict[str, trio.Event] = {}
        self.daemons: dict[str, role.RoleDaemon] = {}
        self.seeds = [f"127.0.77.{n}" for n in (1, 2, 3)]
        self.oracle = oracles.Oracle()
        self.work_s = 0.3
        self.pool = emulated.WorkerPool(
            self.oracle,
            lambda _: self.work_s,
            lambda _: False,
            lambda: emulated.DEFAULT_STOP_GRACE_S,
        )
        self.apps: dict[str, standin.ExecutorApp] = {}
        self.callers = standin.Caller([])
        self.operator = standin.Caller(
            [f"{vm}:{self.control_port}" for vm in self.seeds]
        )

    def settings(self, vm: str, **changes) -> pathlib.Path:
        """Writes a settings file like those of the platform."""
        seeds = ", ".join(f'"{s}:{self.control_port}"' for s in self.seeds)
        values = {
            "name": f'"{vm}"',
            "address": f'"{vm}"',
            "failure_domain": '"d"',
            "peer_port": self.peer_port,
            "seeds": f"[{seeds}]",
            "log_level": '"WARNING"',
            **changes,
        }
        listen = values.pop("listen")
        lines = [f"{key} = {value}" for key, value in values.items()]
        path = self.folder / f"{vm}.toml"
        path.write_text("\n".join([*lines, "[listen]", *listen]) + "\n")
        return path

    async def start_core(self, vm: str, founding: bool = False) -> None:
        data = self.folder / vm
        data.mkdir(exist_ok=True)
        path = self.settings(
            vm,
            founding=str(founding).lower(),
            data_folder=f'"{data}"',
            listen=[f'control = "{vm}:{self.control_port}"'],
        )
        await self._run(vm, core_role.CoreDaemon, path)

    async def start_entry(self, vm: str) -> None:
        callers = f"{vm}:{ports.free_ports(1)[0]}"
        ready = f"{vm}:{ports.free_ports(1)[0]}"
        path = self.settings(
            vm, listen=[f'callers = "{callers}"', f'readiness = "{ready}"']
        )
        self.callers.addresses.append(callers)
        await self._run(vm, entry_role.EntryDaemon, path)

    async def _run(self, vm, kind, path) -> None:
        daemon = kind(path, role_settings.load(path))
        self.daemons[vm] = daemon
        self.scopes[vm] = trio.CancelScope()
        self.ended[vm] = trio.Event()
        await self.nursery.start(self._run_one, vm, daemon)

    async def _run_one(self, vm, daemon, task_status) -> None:
        with self.scopes[vm]:
            await daemon.run(False, task_status=task_status)
        self.ended[vm].set()

    async def kill(self, vm: str) -> None:
        self.scopes[vm].cancel()
        await self.ended[vm].wait()

    async def start_worker(
        self,
        name: str,
        rack: str = "r1",
        domain: str = "d",
        pool: str = standin.POOL,
    ) -> None:
        address = f"127.0.0.1:{ports.free_ports(1)[0]}"
        worker = self.pool.add(
            model.Worker(
                name,
                pool,
                address,
                domain,
                model.Resources(32_000, 64_000, 8),
                ("a", rack),
                rack,
            )
        )
        self.apps[name] = standin.ExecutorApp(worker)
        stop = trio.Event()
        await self.nursery.start(
            server.serve,
            self.apps[name],
            address,
            stop.wait,
            0.1,
        )
        self.nursery.start_soon(self._announce, worker)

    def restart_worker(self, name: str) -> None:
        """Restarts a worker under the same id; its runs and ends are lost."""
        app = self.apps[name]
        old = app.worker
        old.crash()
        old.is_down = False
        born_ms = int(time.time() * 1000)
        app.worker = self.pool.add(
            msgspec.structs.replace(old.worker, worker_id=f"{name}@{born_ms}")
        )
        app.worker.born_ms = born_ms
        self.nursery.start_soon(self._announce, app.worker)

    async def _announce(self, worker) -> None:
        sequence = 0
        while not worker.gone:
            sequence += 1
            path = f"/-/instances/{standin.wire_id(worker)}"
            body = standin.heartbeat(worker, sequence)
            for address in self.operator.addresses:
                status, _ = await self.operator.call("PUT", path, body, address)
                if status == 200:
                    break
            await trio.sleep(0.5)

    async def start(self) -> None:
        """Starts a complete site with a first configuration."""
        self.nursery.start_soon(self.pool.run)
        async with trio.open_nursery() as starting:
            for vm in self.seeds:
                starting.start_soon(self.start_core, vm, True)
            starting.start_soon(self.start_entry, "127.0.77.11")
        await self.configure(standin.configuration(1))
        for number in range(2):
            await self.start_worker(f"w{number}")
        await self.callers.until(200, "GET", "/sweep/")

    async def configure(self, document) -> None:
        await self.operator.until(200, "PUT", "/-/config", document)

    async def submit(self, queue: str, number: int, **step) -> str:
        """Submits a job and returns its path."""
        path, body = self.job(queue, number, **step)
        await self.callers.until(200, "POST", path, body)
        return path

    def job(self, queue: str, number: int, **step) -> tuple[str, dict]:
        """Returns the path and body of a job, which the oracle now expects."""
        job_id = f"{number:016x}"
        one = {"count": 1, "cpu": 1000, "mem_mb": 64, "gpu": 1, **step}
        terms = model.QueueTerms(standin.POOL, 0, 3)
        spec = model.Step(
            one["count"],
            model.Resources(one["cpu"], one["mem_mb"], one["gpu"]),
            gang=one.get("gang", False),
        )
        self.oracle.submitted(
            model.Job(job_id, queue, "a", "text", (spec,), terms)
        )
        path = f"/{queue}/{job_id}"
        return path, {"spec": "text", "steps": [one]}

    def leader(self) -> str:
        for vm, daemon in self.daemons.items():
            if isinstance(daemon, core_role.CoreDaemon) and vm in self.seeds:
                running = not self.ended[vm].is_set()
                if running and daemon._host.leads(role.SITE_GROUP):
                    return vm
        return ""

    async def until_leader(self) -> str:
        with trio.fail_after(10):
            while not self.leader():  # noqa: ASYNC110
                await trio.sleep(0.05)
        return self.leader()
