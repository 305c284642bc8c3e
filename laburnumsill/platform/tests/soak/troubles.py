"""Troubles of a soak: faults that are injected and removed again."""

import abc
import os
import random
import signal
from collections import abc as collections_abc

import trio

from laburnumsill.batch import model
from laburnumsill.platform.tests import standin
from laburnumsill.platform.tests.soak import layout
from laburnumsill.platform.tests.soak import site as sites
from laburnumsill.platform.tests.soak import touches
from laburnumsill.testing import proxy as proxies

CUT_FAULTS = (
    proxies.Fault(proxies.Mode.DROP),
    proxies.Fault(proxies.Mode.HOLD),
    proxies.Fault(proxies.Mode.RESET),
    proxies.Fault(proxies.Mode.CUT),
)

MIN_DURATION_S = 0.2
MAX_DURATION_S = 4.0
"""Range of the duration of a trouble, in seconds: below and above the times of
elections (0.8 s) and leases (4 s in a soak)."""

GIVE_WAY_S = (2.0, MAX_DURATION_S)
"""Range of the downtime in `GiveWay`; a voter is replaced by a spare VM after
1.5 s without contact."""

MAX_CORE_DOWNTIME_S = 1.5
"""Maximum downtime of the whole core."""

MAX_START_GAP_S = 0.3
"""Maximum time between the starts of two daemons."""

MAX_RESTART_GAP_S = 3.0
"""Maximum time between the starts of two planned restarts."""

MAX_RELOADS = 6
"""A series of SIGHUPs is shorter than this."""

SHUTDOWN_S = 6.0
"""Time from SIGTERM to SIGKILL, as on the users' sites."""

POLL_INTERVAL_S = 0.05
"""Interval at which a stopping daemon is polled."""

EVACUATED_S = (0.5, 12.0)
"""Range of the duration of an evacuation, in seconds."""

LONG_EVACUATED_S = (6.0, 12.0)
"""Range of the duration of an evacuation after which starts are checked, in
seconds: a domain is empty 5 s after its evacuation."""

PAUSED_S = (2.0, 7.0)
"""Range of the duration of a pause that operators notice, in seconds."""

OPERATOR_PATIENCE_S = 1.0
"""Time after which an operator leaves a VM that does not answer, in seconds."""

MAX_ORDER_S = 60.0
"""Time within which an operator's order must succeed, in seconds, with further
troubles of 4 s in the meantime."""

DRAIN_S = 1.5
"""Time for which a worker drains before it ends."""

DEPARTURE_PATIENCE_S = (1.0, 4.0)
"""Range of the time after which a worker without an acknowledgement of its
departure ends anyway, in seconds."""

WORKER_PATIENCE_S = 1.0
"""Time after which a worker calls another VM, in seconds."""

LOST_DEPARTURES = 0.5
"""Share of the departures whose answer is lost."""


class Trouble(abc.ABC):
    """A fault that is injected, lasts for some time and is removed.

    Args:
        site: The affected site; its random generator selects the details.
    """

    affects_workers_only = False
    """Whether the trouble affects only workers, no VMs."""

    is_planned = False
    """Whether the trouble is planned work, during which no call may be cut."""

    def __init__(self, site: sites.SoakSite) -> None:
        self._site = site
        self._random = site.random
        self._touches: list[touches.Touch] = []

    async def run(self) -> None:
        """Plays the trouble, unless it affects VMs while `keep_calm` is set."""
        if self.affects_workers_only:
            await self._disturb()
        elif not self._site.keep_calm:
            self._site.disturb_core()
            await self._disturb()
            self._end_touches()
            self._site.disturb_core()

    async def _disturb(self) -> None:
        """Plays the trouble and records that it disturbs the site."""
        with self._site.disturbances.disturbance():
            await self._play()

    @abc.abstractmethod
    async def _play(self) -> None:
        """Injects the fault and removes it."""

    def _core_vm(self) -> str:
        vm = self._random.choice(self._site.core)
        self._touch(vm)
        return vm

    def _any_vm(self) -> str:
        vm = self._random.choice([*self._site.core, *layout.ENTRIES])
        self._touch(vm)
        return vm

    def _touch(self, *vms: str, is_planned: bool | None = None) -> None:
        """Records that the trouble affects VMs until its end."""
        if self.affects_workers_only:
            return
        if is_planned is None:
            is_planned = self.is_planned
        name = type(self).__name__
        for vm in vms:
            touch = self._site.touches.begin(vm, name, is_planned)
            self._touches.append(touch)

    def _touch_ends(self, links: collections_abc.Iterable[str]) -> None:
        """Records that the trouble affects the VMs at both ends of links."""
        ends = {end for name in links for end in name.split(">")}
        self._touch(*sorted(ends.intersection(self._site.vms)))

    def _end_touches(self) -> None:
        for touch in self._touches:
            touch.ended_at = trio.current_time()

    def _domain_to_evacuate(self) -> str | None:
        """Draws a failure domain; None if another trouble has evacuated it."""
        workers = [one.app.worker for one in self._site.announcers.values()]
        domain = self._random.choice(sorted({w.worker.domain for w in workers}))
        if domain in self._site.evacuating:
            return None
        self._site.evacuating.add(domain)
        return domain

    async def _wait(self) -> None:
        await trio.sleep(self._random.uniform(MIN_DURATION_S, MAX_DURATION_S))


class Kill(Trouble):
    """Kills one daemon with SIGKILL during a write to its disk."""

    async def _play(self) -> None:
        vm = self._any_vm()
        self._site.processes[vm].kill()
        self._site.tear_log(vm)
        await self._wait()
        self._site.start_vm(vm)


class GiveWay(Trouble):
    """Keeps a core VM down until a spare VM has replaced it as a voter."""

    async def _play(self) -> None:
        vm = self._core_vm()
        self._site.processes[vm].kill()
        await trio.sleep(self._random.uniform(*GIVE_WAY_S))
        self._site.start_vm(vm)


class KillAll(Trouble):
    """Kills all daemons of the core, or of the whole site, with SIGKILL."""

    async def _play(self) -> None:
        vms = [*self._site.core]
        if self._random.random() < 0.5:
            vms += layout.ENTRIES
        self._touch(*vms)
        for vm in vms:
            self._site.processes[vm].kill()
        await trio.sleep(
            self._random.uniform(MIN_DURATION_S, MAX_CORE_DOWNTIME_S)
        )
        self._random.shuffle(vms)
        for vm in vms:
            self._site.start_vm(vm)
            await trio.sleep(self._random.uniform(0.0, MAX_START_GAP_S))


class Terminate(Trouble):
    """Ends one daemon with SIGTERM and starts it again."""

    is_planned = True

    async def _play(self) -> None:
        await self._restart(self._any_vm())

    async def _restart(self, vm: str) -> None:
        process = self._site.processes[vm]
        pid = process.pid
        process.terminate()
        with trio.move_on_after(SHUTDOWN_S):
            while process.running:  # noqa: ASYNC110
                await trio.sleep(POLL_INTERVAL_S)
        if process.pid != pid:
            # Another trouble has started it, and this ends it without SIGTERM.
            self._touch(vm, is_planned=False)
        process.kill()
        self._site.start_vm(vm)


class RollingRestart(Terminate):
    """Ends some daemons, each as `Terminate`, one soon after the other.

    Leaves out those that are still being restarted by another such trouble.
    """

    async def _play(self) -> None:
        vms = [*self._site.core, *layout.ENTRIES]
        count = self._random.randrange(1, 4)
        async with trio.open_nursery() as nursery:
            for vm in self._random.sample(vms, count):
                nursery.start_soon(self._restart_alone, vm)
                await trio.sleep(self._random.uniform(0.0, MAX_RESTART_GAP_S))

    async def _restart_alone(self, vm: str) -> None:
        if vm in self._site.restarting:
            return
        self._site.restarting.add(vm)
        self._touch(vm)
        await self._restart(vm)
        self._site.restarting.remove(vm)


class Reload(Trouble):
    """Sends some SIGHUPs to one daemon, some with changed settings."""

    is_planned = True

    async def _play(self) -> None:
        vm = self._any_vm()
        process = self._site.processes[vm]
        for _ in range(self._random.randrange(1, MAX_RELOADS)):
            if self._random.random() < 0.5:
                seeds = self._site.seed_vms
                layout.write_settings(
                    self._site.folder,
                    self._site.vms[vm],
                    False,
                    tuple(self._random.sample(seeds, len(seeds))),
                )
            # A process that is still starting would be ended by the signal.
            if process.running and self._site.has_started(vm):
                os.kill(process.pid, signal.SIGHUP)
            await trio.sleep(self._random.uniform(0.0, MAX_START_GAP_S))


class Pause(Trouble):
    """Pauses one daemon with SIGSTOP and resumes it with SIGCONT."""

    async def _play(self) -> None:
        vm = self._any_vm()
        process = self._site.processes[vm]
        if process.running:
            process.pause()
        await self._wait()
        if process.running:
            process.resume()


class LoseDisk(Trouble):
    """Kills a core VM and starts it again with an empty disk.

    Only one lost disk is tolerated, so the others must have caught up before.
    Other troubles may begin again as soon as the disk is lost.
    """

    async def run(self) -> None:
        if self._site.keep_calm:
            return
        self._site.keep_calm = True
        if await self._site.until_core_is_calm():
            await self._disturb()
            self._end_touches()
        else:
            self._site.keep_calm = False

    async def _play(self) -> None:
        vm = self._core_vm()
        self._site.processes[vm].kill()
        self._site.wipe_disk(vm)
        self._site.disturb_core()
        self._site.keep_calm = False
        await self._wait()
        self._site.start_vm(vm)
        self._site.disturb_core()


class LoseDiskAndPower(LoseDisk):
    """Cuts the power of all VMs; one core VM also loses its disk."""

    async def _play(self) -> None:
        vms = [*self._site.core, *layout.ENTRIES]
        self._touch(*vms)
        for vm in vms:
            self._site.processes[vm].kill()
        self._site.wipe_disk(self._core_vm())
        self._site.disturb_core()
        await trio.sleep(
            self._random.uniform(MIN_DURATION_S, MAX_CORE_DOWNTIME_S)
        )
        self._random.shuffle(vms)
        for vm in vms:
            self._site.start_vm(vm)
        self._site.disturb_core()
        self._site.keep_calm = False


class Suspend(Trouble):
    """Suspends a VM, whose monotonic clock stops meanwhile."""

    async def _play(self) -> None:
        vm = self._any_vm()
        process = self._site.processes[vm]
        if not process.running:
            return
        process.pause()
        paused, began = process.pid, trio.current_time()
        await self._wait()
        if process.running and process.pid == paused:
            self._site.resume_suspended(vm, trio.current_time() - began)


class CutVm(Trouble):
    """Cuts one VM off: its links drop, hold, reset or refuse connections."""

    async def _play(self) -> None:
        vm = self._any_vm()
        fault = self._random.choice(CUT_FAULTS)
        names = self._site.links_of(vm)
        self._touch_ends(names)
        for name in names:
            self._site.proxy.set_fault(name, fault)
        await self._wait()
        for name in names:
            self._site.proxy.heal(name)


class CutOneWay(Trouble):
    """Drops all data that one VM sends to the other VMs."""

    async def _play(self) -> None:
        vm = self._any_vm()
        names = self._site.links_of(vm)
        self._touch_ends(names)
        for name in names:
            source, _ = name.split(">")
            direction = (
                proxies.Direction.TO_TARGET
                if source == vm
                else proxies.Direction.FROM_TARGET
            )
            fault = proxies.Fault(proxies.Mode.DROP)
            self._site.proxy.set_fault(name, fault, direction)
        await self._wait()
        for name in names:
            self._site.proxy.heal(name)


class SlowLinks(Trouble):
    """Delays some links, or cuts each of their connections after some bytes."""

    async def _play(self) -> None:
        names = self._random.sample(sorted(layout.links(self._site.vms)), 4)
        self._touch_ends(names)
        for name in names:
            self._site.proxy.set_fault(name, self._fault())
        await self._wait()
        for name in names:
            self._site.proxy.heal(name)

    def _fault(self) -> proxies.Fault:
        if self._random.random() < 0.5:
            return proxies.Fault(delay_s=0.05, jitter_s=0.3)
        count = self._random.randrange(1, 4000)
        return proxies.Fault(cut_after_bytes=count)


class SilenceAll(Trouble):
    """Silences open connections for good, while new connections work.

    Affects the links of one VM or of all VMs and the order links of all
    workers, in one direction or both. A separate random generator keeps the
    other troubles of known seeds independent of this one.

    Args:
        site: The affected site.
        source: The random generator that selects the details.
    """

    def __init__(self, site: sites.SoakSite, source: random.Random) -> None:
        super().__init__(site)
        self._random = source

    async def _play(self) -> None:
        names = list(layout.links(self._site.vms))
        if self._random.random() < 0.5:
            names = self._site.links_of(self._any_vm())
        self._touch_ends(names)
        names += map(self._site.order_link, self._site.announcers)
        direction = self._random.choice(list(proxies.Direction))
        for name in names:
            self._site.proxy.silence(name, direction)
        await trio.lowlevel.checkpoint()


class CutWorkers(Trouble):
    """Cuts off some workers, which lose orders, answers or both."""

    affects_workers_only = True

    async def _play(self) -> None:
        count = self._random.randrange(1, 4)
        names = self._random.sample(sorted(self._site.announcers), count)
        direction = self._random.choice(list(proxies.Direction))
        modes = (proxies.Mode.DROP, proxies.Mode.HOLD)
        fault = proxies.Fault(self._random.choice(modes))
        links = [self._site.order_link(name) for name in names]
        for link in links:
            self._site.proxy.set_fault(link, fault, direction)
        await self._wait()
        for link in links:
            self._site.proxy.heal(link)


class CrashWorker(Trouble):
    """Crashes a worker and replaces it by an incarnation with a new id."""

    affects_workers_only = True

    async def _play(self) -> None:
        name = self._random.choice(sorted(self._site.announcers))
        self._site.replace_worker(name)
        await trio.lowlevel.checkpoint()


class RestartWorkers(Trouble):
    """Crashes some workers, which restart at once under the same ids."""

    affects_workers_only = True

    async def _play(self) -> None:
        names = self._random.sample(sorted(self._site.announcers), 2)
        for name in names:
            self._site.replace_worker(name, keeps_id=True)
            await trio.sleep(self._random.uniform(0.0, MAX_START_GAP_S))


class ShrinkWorkers(Trouble):
    """Reduces the capacity of some workers for a while, possibly to zero."""

    affects_workers_only = True

    async def _play(self) -> None:
        count = self._random.randrange(1, 4)
        names = self._random.sample(sorted(self._site.announcers), count)
        shrunk = [self._site.announcers[name].app.worker for name in names]
        for worker in shrunk:
            share = self._random.choice((0.0, 0.25, 0.5))
            worker.resize(
                model.Resources(
                    int(share * sites.CAPACITY.cpu_millis),
                    int(share * sites.CAPACITY.memory_mb),
                    int(share * sites.CAPACITY.accelerators),
                )
            )
        await self._wait()
        for worker in shrunk:
            worker.resize(sites.CAPACITY)


class DrainWorker(Trouble):
    """Drains a worker and replaces it."""

    affects_workers_only = True

    async def _play(self) -> None:
        name = self._random.choice(sorted(self._site.announcers))
        announcer = self._site.announcers[name]
        announcer.leaves_at = trio.current_time() + DRAIN_S
        announcer.state = "draining"
        await trio.sleep(DRAIN_S)
        self._site.replace_worker(name)


class DepartWorker(Trouble):
    """Drains a worker, which announces its departure and is replaced.

    It ends when it has an answer, or some time later, and executes orders and
    works on until then. Some answers are lost.
    """

    affects_workers_only = True

    async def _play(self) -> None:
        name = self._random.choice(sorted(self._site.announcers))
        announcer = self._site.announcers[name]
        worker = announcer.app.worker
        announcer.leaves_at = trio.current_time() + DRAIN_S
        announcer.state = "draining"
        await trio.sleep(DRAIN_S)
        path = f"/-/instances/{standin.wire_id(worker)}"
        with trio.move_on_after(self._random.uniform(*DEPARTURE_PATIENCE_S)):
            while not await self._is_acknowledged(path):
                pass
        if announcer.app.worker is worker:
            self._site.replace_worker(name)

    async def _is_acknowledged(self, path: str) -> bool:
        """Sends a departure to a VM; returns whether an answer has arrived."""
        address = self._site.vms[self._core_vm()].control
        is_lost = self._random.random() < LOST_DEPARTURES
        with trio.move_on_after(WORKER_PATIENCE_S):
            status, _ = await self._site.operator.call(
                "DELETE", path, address=address
            )
            if status == 200 and not is_lost:
                return True
            await trio.sleep_forever()
        return False


class MoveQueue(Trouble):
    """Sends a queue to another pool and back, by the next configurations."""

    affects_workers_only = True

    async def _play(self) -> None:
        routes = standin.configuration(1)["routes"]
        queue = self._random.choice([route["name"] for route in routes])
        self._site.moved.add(queue)
        await self._wait()
        self._site.moved.discard(queue)


class FullDisks(Trouble):
    """Fills the disks of some core VMs: mostly one, sometimes all."""

    async def _play(self) -> None:
        count = self._random.choice((1, 1, 1, 2, len(self._site.core)))
        vms = self._random.sample(self._site.core, count)
        self._touch(*vms)
        for vm in vms:
            self._site.fill_disk(vm)
        await self._wait()
        for vm in vms:
            self._site.free_disk(vm)


class Evacuate(Trouble):
    """Evacuates a failure domain and takes it back.

    The order is repeated through all core VMs until one acknowledges it. Other
    troubles, such as lost disks, may follow the acknowledgement at once.
    """

    affects_workers_only = True

    async def _play(self) -> None:
        domain = self._domain_to_evacuate()
        if domain is None:
            return
        path = f"/-/evacuate/{domain}"
        oracle = self._site.oracle
        operator = self._site.operator
        await operator.until(200, "POST", path, within=MAX_ORDER_S)
        oracle.record_evacuation(domain, trio.current_time())
        await trio.sleep(self._random.uniform(*EVACUATED_S))
        oracle.record_restore(domain)
        await operator.until(200, "DELETE", path, within=MAX_ORDER_S)
        self._site.evacuating.remove(domain)


class ChangeOrders(Trouble):
    """Gives orders for a domain in quick succession while a core VM is paused.

    The operator calls the paused VM first, to take an evacuation back, and
    leaves it after a second without an answer. It gives the same evacuation
    again through the other VMs. The paused VM resumes later.
    """

    async def _play(self) -> None:
        domain = self._domain_to_evacuate()
        if domain is None:
            return
        paused = self._core_vm()
        others = [vm for vm in self._site.core if vm != paused]
        await self._give("POST", domain, self._site.core)
        async with trio.open_nursery() as nursery:
            pause_s = self._random.uniform(*PAUSED_S)
            await nursery.start(self._pause, paused, pause_s)
            await self._give("DELETE", domain, [paused, *others])
            await trio.sleep(self._random.uniform(0.0, 1.0))
            await self._give("POST", domain, others)
            self._site.oracle.record_evacuation(domain, trio.current_time())
        await trio.sleep(self._random.uniform(*LONG_EVACUATED_S))
        self._site.oracle.record_restore(domain)
        await self._give("DELETE", domain, self._site.core)
        self._site.evacuating.remove(domain)

    async def _pause(
        self,
        vm: str,
        seconds: float,
        *,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Pauses a VM for some time, also while no order is acknowledged."""
        process = self._site.processes[vm]
        if process.running:
            process.pause()
        task_status.started()
        await trio.sleep(seconds)
        if process.running:
            process.resume()

    async def _give(
        self, method: str, domain: str, vms: collections_abc.Sequence[str]
    ) -> None:
        """Gives an order to one VM after the other until one acknowledges."""
        operator = self._site.operator
        path = f"/-/evacuate/{domain}"
        with trio.fail_after(MAX_ORDER_S):
            while True:
                for vm in vms:
                    address = self._site.vms[vm].control
                    with trio.move_on_after(OPERATOR_PATIENCE_S):
                        status, _ = await operator.call(
                            method, path, address=address
                        )
                        if status == 200:
                            return
                await trio.sleep(POLL_INTERVAL_S)


KINDS: tuple[type[Trouble], ...] = (
    Kill,
    KillAll,
    Terminate,
    Pause,
    LoseDisk,
    CutVm,
    CutOneWay,
    SlowLinks,
    CutWorkers,
    CrashWorker,
    DrainWorker,
)
"""Troubles for the seeds of `BROKEN_ONCE`; adding a kind would change these
soaks."""

KINDS_WITH_DISKS: tuple[type[Trouble], ...] = (*KINDS, FullDisks, FullDisks)

ALL_KINDS: tuple[type[Trouble], ...] = (
    *KINDS,
    FullDisks,
    LoseDiskAndPower,
    Suspend,
    Suspend,
    ShrinkWorkers,
    ShrinkWorkers,
    RestartWorkers,
    RestartWorkers,
)
"""Troubles for soaks with tasks that crash their workers."""

SPARE_KINDS = (*ALL_KINDS, *(4 * (GiveWay,)))
"""Troubles for soaks with a spare core VM."""

EVACUATION_KINDS = (*ALL_KINDS, *(5 * (Evacuate,)))
"""Troubles for soaks with evacuations."""

ORDER_KINDS = (*EVACUATION_KINDS, *(3 * (ChangeOrders,)))
"""Troubles for soaks with orders that wait in a paused VM."""

WORKER_KINDS = (*ALL_KINDS, *(4 * (DepartWorker,)), *(4 * (MoveQueue,)))
"""Troubles for soaks with departing workers and queues that move."""

PLANNED_KINDS = (RollingRestart, RollingRestart, Reload)
"""Troubles for soaks in which no call may be cut."""

CALM_KINDS: tuple[type[Trouble], ...] = ()
"""No troubles, for soaks of a full and calm site."""

CHOICES = {
    "first": KINDS,
    "full-disks": KINDS_WITH_DISKS,
    "all": ALL_KINDS,
    "spare": SPARE_KINDS,
    "evacuations": EVACUATION_KINDS,
    "orders": ORDER_KINDS,
    "workers": WORKER_KINDS,
    "planned": PLANNED_KINDS,
    "calm": CALM_KINDS,
    "failing": CALM_KINDS,
    "long-running": KINDS,
}
"""Sets of troubles by their names on the command line."""
