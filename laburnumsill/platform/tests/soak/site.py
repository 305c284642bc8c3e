"""Site of real daemon processes behind proxies, with in-process workers."""

import collections
import dataclasses
import pathlib
import random
import shutil
import time
import zlib

import msgspec
import trio

from laburnumsill.batch import commands
from laburnumsill.batch import model
from laburnumsill.daemon import server
from laburnumsill.emulator import workers as emulated
from laburnumsill.platform.tests import standin
from laburnumsill.platform.tests.soak import daemon_on_machine
from laburnumsill.platform.tests.soak import layout
from laburnumsill.platform.tests.soak import records
from laburnumsill.platform.tests.soak import touches
from laburnumsill.testing import ports
from laburnumsill.testing import processes
from laburnumsill.testing import proxy as proxies

WORKERS = 6
PER_RACK = 3

OTHER_POOL = "hutdesk-2"
"""A pool to which queues are moved."""

OTHER_WORKERS = 4
"""Workers of the other pool, in one rack: enough for the largest gang."""

FEW_LISTED_ENDS = 2
"""Most ends in a report where a soak is to have more of them often."""

CAPACITY = model.Resources(32_000, 64_000, 8)

SHORT_WORK_S = (0.2, 1.5)
LONG_WORK_S = (4.0, 7.0)
LONG_SHARE = 0.15
"""Share of long tasks, which are still running when a worker has been cut off
for seconds."""

OWN_ENDS = (commands.EndKind.DONE, *commands.EndKind)
"""Ends of runs of long-running tasks, drawn alike; done is twice as likely."""

SLOWEST_CLOCK = 0.98
"""Minimum rate of the workers' monotonic clocks, which may be 2% slow."""

ANNOUNCE_INTERVAL_S = 0.5
"""Interval between announcements of a worker; 1.5 s on the users' sites."""

STOP_S = (0.05, 0.4)
"""Range of the time in which a worker stops a run; on the users' sites the
maximum is 0.2 or 0.9 s."""

RESTART_S = (0.3, 2.0)
"""Range of the time until a crashed worker starts again."""

TORN_BYTES = 40
"""Size of a torn write, which is smaller than any record of the log."""

SERVER_GRACE_S = 0.1
START_TIMEOUT_S = 60.0
"""Timeout for all daemons to start. On a machine with more work than cores the
interpreters and their imports take longer than the core to elect a leader."""

CALM_TIMEOUT_S = 40.0
"""Timeout for the core to recover, while troubles of 4 s overlap."""

CATCH_UP_TIME_S = 5.0
"""Time after which a core VM that serves again no longer counts as lost. The
users allow 4 s after its start, on machines without other load."""


_PROGRAMS = {
    "core": "laburnumsill.platform.tests.soak.daemon_on_machine",
    "entry": "laburnumsill.platform.tests.soak.daemon_on_machine",
}


@dataclasses.dataclass(slots=True)
class Announcer:
    """State of a worker's announcements.

    Attributes:
        app: Serves the current incarnation.
        state: The state on the wire.
        sequence: Sequence number of the last announcement.
        leaves_at: Time until which a draining worker certainly stays.
    """

    app: standin.ExecutorApp
    state: str = "ready"
    sequence: int = 0
    leaves_at: float = 0.0

    def remaining(self) -> dict[str, int]:
        """Returns the remaining time that a draining worker announces."""
        if self.state == "ready":
            return {}
        left_s = max(0.0, self.leaves_at - trio.current_time())
        return {"remaining_ms": int(1000 * left_s)}


class SoakSite:
    """Processes, links and workers of a soak.

    Args:
        folder: Folder for settings, logs and data.
        seed: Seed of the random generator.
        nursery: Runs the proxies and the workers.
        has_crashing_tasks: Whether some tasks crash their workers, and
            workers may restart under the same id.
        has_spare: Whether the core has a spare VM that is not an initial
            voter. It is listed among the seeds once the site has started.
        moves_queues: Whether there is another pool, and workers list few ends
            in a report.
    """

    def __init__(
        self,
        folder: pathlib.Path,
        seed: int,
        nursery: trio.Nursery,
        has_crashing_tasks: bool = False,
        has_spare: bool = False,
        moves_queues: bool = False,
    ) -> None:
        self.core = layout.CORE
        self.seed_vms = layout.CORE
        if has_spare:
            self.core = (*layout.CORE, layout.SPARE)
        self.folder = folder
        self.nursery = nursery
        self.seed = seed
        self.random = random.Random(seed)
        self.vms = layout.vms(self.core)
        self.proxy = proxies.Proxy()
        self.processes: dict[str, processes.Process] = {}
        self._old_log_chars: dict[str, int] = {}
        self.oracle = records.CountingOracle()
        self.pool = emulated.WorkerPool(
            self.oracle,
            _work_s,
            is_hopeless,
            lambda: self.random.uniform(*STOP_S),
        )
        self.has_crashing_tasks = has_crashing_tasks
        self.pool.is_crashing = self.is_crashing
        self.pool.on_crash = self._restart_later
        self.pool.long_running_end = _own_end
        self.suspended_s: dict[str, float] = {}
        self.lost_under: collections.Counter[model.TaskId] = (
            collections.Counter()
        )
        self.announcers: dict[str, Announcer] = {}
        self.operator = standin.Caller(
            [self.vms[vm].control for vm in self.core]
        )
        self.disturbed_at = trio.current_time()
        self.touches = touches.Touches()
        self.disturbances = records.Disturbances()
        self.keep_calm = False
        self.evacuating: set[str] = set()
        self.restarting: set[str] = set()
        self.moves_queues = moves_queues
        self.moved: set[str] = set()
        if moves_queues:
            self.pool.listed_ends = FEW_LISTED_ENDS
        self.incarnations = 0

    async def start(self) -> None:
        """Starts all daemons and workers; the site has no configuration yet."""
        await self.proxy.start(self.nursery)
        for name, (listen, target) in layout.links(self.vms).items():
            self.proxy.add_link(name, listen, target)
        for vm in self.vms:
            self.start_vm(vm, founding=True)
        self.nursery.start_soon(self.pool.run)
        for number in range(WORKERS):
            await self._start_worker(f"w{number}", f"r{number // PER_RACK}")
        if self.moves_queues:
            for number in range(OTHER_WORKERS):
                await self._start_worker(f"v{number}", "r9", OTHER_POOL)

    def configuration(self, version: int) -> dict:
        """Returns a configuration that sends the moved queues elsewhere."""
        document = standin.configuration(version)
        if not self.moves_queues:
            return document
        document["services"].append({"name": OTHER_POOL})
        for route in document["routes"]:
            if route["name"] in self.moved:
                route["service"] = OTHER_POOL
                self.oracle.record_pool(route["name"], OTHER_POOL)
        return document

    def start_vm(self, vm: str, founding: bool = False) -> None:
        """Starts or restarts the daemon of a VM."""
        one = self.vms[vm]
        if one.role == "core":
            layout.data_folder(self.folder, vm).mkdir(exist_ok=True)
        settings = layout.write_settings(
            self.folder, one, founding, self.seed_vms
        )
        if vm not in self.processes:
            self.processes[vm] = processes.Process(
                vm,
                _PROGRAMS[one.role],
                [one.role, str(settings)],
                self.folder / f"{vm}.log",
            )
        if not self.processes[vm].running:
            self.suspended_s[vm] = 0.0
            if not founding:
                log = self.processes[vm].log_text()
                self._old_log_chars[vm] = len(log)
            self.processes[vm].start()

    async def until_started(self) -> None:
        """Waits until each daemon has written that it has started.

        Raises:
            trio.TooSlowError: One has not within `START_TIMEOUT_S`.
        """
        with trio.fail_after(START_TIMEOUT_S):
            while True:
                if all(map(self.has_started, self.processes)):
                    return
                await trio.sleep(0.1)

    def has_started(self, vm: str) -> bool:
        """Returns whether the last daemon of a VM has ever served."""
        log = self.processes[vm].log_text()[self._old_log_chars.get(vm, 0) :]
        return "event=daemon-started" in log

    def replace_seeds(self) -> None:
        """Lists the spare VM among the seeds if the site has one."""
        self.seed_vms = self.core[-len(layout.CORE) :]
        for one in self.vms.values():
            layout.write_settings(self.folder, one, False, self.seed_vms)

    def resume_suspended(self, vm: str, slept_s: float) -> None:
        """Resumes a daemon whose monotonic clock excludes the suspension."""
        self.suspended_s[vm] += slept_s
        settings = layout.settings_path(self.folder, vm)
        marker = daemon_on_machine.suspended_marker(settings)
        marker.write_text(str(self.suspended_s[vm]))
        self.processes[vm].resume()

    def is_crashing(self, task: model.TaskId) -> bool:
        """Returns whether a task crashes each worker that starts it."""
        is_first = (task.step, task.index) == (0, 0)
        crashes = self.has_crashing_tasks and task.job_id.endswith("e")
        return crashes and is_first

    def fill_disk(self, vm: str) -> None:
        """Makes all writes of a core VM fail."""
        self._full_marker(vm).touch()

    def free_disk(self, vm: str) -> None:
        """Lets a core VM write to its disk again."""
        self._full_marker(vm).unlink(missing_ok=True)

    def _full_marker(self, vm: str) -> pathlib.Path:
        return daemon_on_machine.full_marker(
            layout.settings_path(self.folder, vm)
        )

    def wipe_disk(self, vm: str) -> None:
        """Deletes the data of a VM that is down."""
        shutil.rmtree(layout.data_folder(self.folder, vm))

    def tear_log(self, vm: str) -> None:
        """Appends a torn write to the newest log files of a VM that is down."""
        folder = layout.data_folder(self.folder, vm)
        for path in folder.glob("**/log-*"):
            newest = max(path.parent.glob("log-*"))
            if path == newest:
                torn = random.Random(path.stat().st_size).randbytes(TORN_BYTES)
                with path.open("ab") as file:
                    file.write(torn)

    def stop(self) -> None:
        """Kills all daemons."""
        for process in self.processes.values():
            process.kill()

    def links_of(self, vm: str) -> list[str]:
        """Returns the names of all links between a VM and other VMs."""
        return [
            name
            for name in layout.links(self.vms)
            if vm in name.split(">") and name != layout.outside_link(vm)
        ]

    def disturb_core(self) -> None:
        """Records the current time as the last disturbance of the core."""
        self.disturbed_at = trio.current_time()

    async def until_core_is_calm(self) -> bool:
        """Waits until the core has caught up, so that a disk may be lost.

        A VM counts as recovered only once it serves, since under load a daemon
        takes more than a second to start.

        Returns:
            Whether the core recovered within `CALM_TIMEOUT_S`.
        """
        with trio.move_on_after(CALM_TIMEOUT_S) as scope:
            while trio.current_time() - self.disturbed_at < CATCH_UP_TIME_S:
                if not await self._core_answers():
                    self.disturb_core()
                await trio.sleep(0.1)
        return not scope.cancelled_caught

    async def _core_answers(self) -> bool:
        """Returns whether each core VM reads the configuration by quorum."""
        for vm in self.core:
            status, _ = await self.operator.call(
                "GET", "/-/config", address=self.vms[vm].control
            )
            if status != 200:
                return False
        return True

    def order_link(self, worker: str) -> str:
        """Returns the name of the link on which a worker receives orders."""
        return f"orders>{worker}"

    def replace_worker(self, name: str, keeps_id: bool = False) -> None:
        """Replaces a worker by a new incarnation at the same address.

        Args:
            name: The name of the worker.
            keeps_id: Whether the new incarnation has the same id on the wire.
        """
        app = self.announcers[name].app
        old = app.worker
        self.lost_under.update(list(old.running))
        old.vanish()
        self.incarnations += 1
        wire_id = f"{name}-{self.incarnations}"
        if keeps_id:
            wire_id = standin.wire_id(old)
        app.worker = self._add_worker(
            msgspec.structs.replace(
                old.worker, worker_id=wire_id, capacity=CAPACITY
            )
        )
        self.announcers[name].sequence = 0
        self.announcers[name].state = "ready"

    def _restart_later(self, crashed: emulated.EmulatedWorker) -> None:
        for name, announcer in self.announcers.items():
            if announcer.app.worker is crashed:
                self.nursery.start_soon(self._restart, name, crashed)

    async def _restart(
        self, name: str, crashed: emulated.EmulatedWorker
    ) -> None:
        await trio.sleep(self.random.uniform(*RESTART_S))
        crashed.is_down = False
        if self.announcers[name].app.worker is crashed:
            self.replace_worker(name, self.random.random() < 0.5)

    def _add_worker(self, worker: model.Worker) -> emulated.EmulatedWorker:
        """Adds a worker, which sends its start time if tasks may crash it."""
        if not self.has_crashing_tasks:
            return self.pool.add(worker, self._behaviour())
        born_ms = int(time.time() * 1000)
        worker_id = f"{worker.worker_id}@{born_ms}"
        made = self.pool.add(
            msgspec.structs.replace(worker, worker_id=worker_id),
            self._behaviour(),
        )
        made.born_ms = born_ms
        return made

    def _behaviour(self) -> emulated.Behaviour:
        return emulated.Behaviour(
            clock_rate=self.random.uniform(SLOWEST_CLOCK, 1.0)
        )

    async def _start_worker(
        self, name: str, rack: str, pool: str = standin.POOL
    ) -> None:
        own = ports.free_address()
        link = self.order_link(name)
        self.proxy.add_link(link, "127.0.0.1:0", own)
        worker = model.Worker(
            name,
            pool,
            self.proxy.status(link).listen,
            f"d-{rack}",
            CAPACITY,
            ("a", rack),
            rack,
        )
        app = standin.ExecutorApp(self._add_worker(worker))
        self.announcers[name] = Announcer(app)
        await self.nursery.start(
            server.serve,
            app,
            own,
            trio.Event().wait,
            SERVER_GRACE_S,
        )
        self.nursery.start_soon(self._announce, self.announcers[name])

    async def _announce(self, announcer: Announcer) -> None:
        first = self.random.randrange(len(self.core))
        while True:
            worker = announcer.app.worker
            if worker.is_down:
                await trio.sleep(ANNOUNCE_INTERVAL_S)
                continue
            announcer.sequence += 1
            path = f"/-/instances/{standin.wire_id(worker)}"
            body = standin.heartbeat(
                worker,
                announcer.sequence,
                state=announcer.state,
                **announcer.remaining(),
            )
            for offset in range(len(self.core)):
                vm = self.core[(first + offset) % len(self.core)]
                status, _ = await self.operator.call(
                    "PUT", path, body, self.vms[vm].control
                )
                if status == 200:
                    break
            await trio.sleep(ANNOUNCE_INTERVAL_S)


def _work_s(task: model.TaskId) -> float:
    """Returns the duration of a task, which is the same for all its runs."""
    source = random.Random(zlib.crc32(str(task).encode()))
    is_long = source.random() < LONG_SHARE
    return source.uniform(*(LONG_WORK_S if is_long else SHORT_WORK_S))


def _own_end(run: model.RunId) -> commands.EndKind:
    """Returns how a run of a long-running task ends by itself."""
    source = random.Random(zlib.crc32(str(run).encode()))
    return source.choice(OWN_ENDS)


def is_hopeless(task: model.TaskId) -> bool:
    """Returns whether a task always fails, as in one job of sixteen."""
    return task.job_id.endswith("f")
