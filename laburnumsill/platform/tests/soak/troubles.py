"""Troubles of a soak; each is one run of a class with its own way to end."""

import abc
import random

import trio

from laburnumsill.batch import model
from laburnumsill.platform.tests.soak import layout
from laburnumsill.platform.tests.soak import site as sites
from laburnumsill.testing import proxy as proxies

BLACK_HOLES = (
    proxies.Fault(proxies.Mode.DROP),
    proxies.Fault(proxies.Mode.HOLD),
    proxies.Fault(proxies.Mode.RESET),
    proxies.Fault(proxies.Mode.CUT),
)

SHORTEST_S = 0.2
LONGEST_S = 4.0
"""How long a trouble lasts, in seconds: below and above what elections (0.8 s)
and leases (4 s here) take."""

GIVE_WAY_S = (2.0, LONGEST_S)
"""A voter gives way after 1.5 s of silence."""

LONGEST_DARK_S = 1.5
"""All of the core is down for so long at most, in seconds."""

RESTART_GAP_S = 0.3
"""Longest time from the start of one daemon to that of the next."""

SHUTDOWN_S = 6.0
"""From SIGTERM to SIGKILL, as on the users' sites."""

LOOK_EVERY_S = 0.05
"""How often it is looked whether a daemon has ended."""

DRAIN_S = 1.5
"""A worker drains for so long before it ends."""


class Trouble(abc.ABC):
    """Something bad that begins, lasts and ends.

    Args:
        site: Where; it draws what is left open, too.
    """

    concerns_workers = False
    """Whether it leaves the VMs alone."""

    def __init__(self, site: sites.SoakSite) -> None:
        self._site = site
        self._random = site.random

    async def run(self) -> None:
        """Does it, unless the VMs are to be left alone just now."""
        if self.concerns_workers:
            await self._play()
        elif not self._site.keep_calm:
            self._site.disturb_core()
            await self._play()
            self._site.disturb_core()

    @abc.abstractmethod
    async def _play(self) -> None:
        """Does it, and undoes it."""

    def _core_vm(self) -> str:
        return self._random.choice(self._site.core)

    def _any_vm(self) -> str:
        return self._random.choice([*self._site.core, *layout.ENTRIES])

    async def _last(self) -> None:
        await trio.sleep(self._random.uniform(SHORTEST_S, LONGEST_S))


class Kill(Trouble):
    """SIGKILL of one daemon, in the middle of a write to its disk."""

    async def _play(self) -> None:
        vm = self._any_vm()
        self._site.processes[vm].kill()
        self._site.tear_log(vm)
        await self._last()
        self._site.start_vm(vm)


class GiveWay(Trouble):
    """A core VM is down for so long that one that stands by takes its place."""

    async def _play(self) -> None:
        vm = self._core_vm()
        self._site.processes[vm].kill()
        await trio.sleep(self._random.uniform(*GIVE_WAY_S))
        self._site.start_vm(vm)


class KillAll(Trouble):
    """SIGKILL of all daemons of the core, or of the whole site."""

    async def _play(self) -> None:
        vms = [*self._site.core]
        if self._random.random() < 0.5:
            vms += layout.ENTRIES
        for vm in vms:
            self._site.processes[vm].kill()
        await trio.sleep(self._random.uniform(SHORTEST_S, LONGEST_DARK_S))
        self._random.shuffle(vms)
        for vm in vms:
            self._site.start_vm(vm)
            await trio.sleep(self._random.uniform(0.0, RESTART_GAP_S))


class Terminate(Trouble):
    """SIGTERM of one daemon, then its next life."""

    async def _play(self) -> None:
        vm = self._any_vm()
        process = self._site.processes[vm]
        process.terminate()
        with trio.move_on_after(SHUTDOWN_S):
            while process.running:  # noqa: ASYNC110
                await trio.sleep(LOOK_EVERY_S)
        process.kill()
        self._site.start_vm(vm)


class Pause(Trouble):
    """SIGSTOP of one daemon, and SIGCONT."""

    async def _play(self) -> None:
        vm = self._any_vm()
        process = self._site.processes[vm]
        if process.running:
            process.pause()
        await self._last()
        if process.running:
            process.resume()


class LoseDisk(Trouble):
    """A core VM dies and comes back with an empty disk.

    Only while all others hold everything: more is not tolerated. Once the
    disk is lost, other troubles may come again.
    """

    async def run(self) -> None:
        if self._site.keep_calm:
            return
        self._site.keep_calm = True
        if await self._site.until_core_is_calm():
            await self._play()
        else:
            self._site.keep_calm = False

    async def _play(self) -> None:
        vm = self._core_vm()
        self._site.processes[vm].kill()
        self._site.wipe(vm)
        self._site.disturb_core()
        self._site.keep_calm = False
        await self._last()
        self._site.start_vm(vm)
        self._site.disturb_core()


class LoseDiskAndPower(LoseDisk):
    """All VMs lose power, and one of the core its disk as well."""

    async def _play(self) -> None:
        vms = [*self._site.core, *layout.ENTRIES]
        for vm in vms:
            self._site.processes[vm].kill()
        self._site.wipe(self._core_vm())
        self._site.disturb_core()
        await trio.sleep(self._random.uniform(SHORTEST_S, LONGEST_DARK_S))
        self._random.shuffle(vms)
        for vm in vms:
            self._site.start_vm(vm)
        self._site.disturb_core()
        self._site.keep_calm = False


class Suspend(Trouble):
    """A VM is suspended; its steady clock stands still meanwhile."""

    async def _play(self) -> None:
        vm = self._any_vm()
        process = self._site.processes[vm]
        if not process.running:
            return
        process.pause()
        paused, began = process.pid, trio.current_time()
        await self._last()
        if process.running and process.pid == paused:
            self._site.wake(vm, trio.current_time() - began)


class CutVm(Trouble):
    """One VM is cut off from the others: silently, held, reset or refused."""

    async def _play(self) -> None:
        vm = self._any_vm()
        fault = self._random.choice(BLACK_HOLES)
        names = self._site.links_of(vm)
        for name in names:
            self._site.proxy.set_fault(name, fault)
        await self._last()
        for name in names:
            self._site.proxy.heal(name)


class CutOneWay(Trouble):
    """What one VM sends on some of its links arrives nowhere."""

    async def _play(self) -> None:
        vm = self._any_vm()
        names = self._site.links_of(vm)
        for name in names:
            source, _ = name.split(">")
            direction = (
                proxies.Direction.TO_TARGET
                if source == vm
                else proxies.Direction.FROM_TARGET
            )
            fault = proxies.Fault(proxies.Mode.DROP)
            self._site.proxy.set_fault(name, fault, direction)
        await self._last()
        for name in names:
            self._site.proxy.heal(name)


class SlowLinks(Trouble):
    """Some links are delayed, or cut again and again after some bytes."""

    async def _play(self) -> None:
        names = self._random.sample(sorted(layout.links(self._site.vms)), 4)
        for name in names:
            self._site.proxy.set_fault(name, self._fault())
        await self._last()
        for name in names:
            self._site.proxy.heal(name)

    def _fault(self) -> proxies.Fault:
        if self._random.random() < 0.5:
            return proxies.Fault(delay_s=0.05, jitter_s=0.3)
        count = self._random.randrange(1, 4000)
        return proxies.Fault(cut_after_bytes=count)


class SilenceAll(Trouble):
    """All open connections go silent for good; new ones work.

    Those of one VM or of all, one way or both, and those to workers as well.
    It has its own source of randomness, so that the seeds of soaks that broke
    a promise bring the same other troubles as before it was added.

    Args:
        site: Where.
        source: Draws what is left open.
    """

    def __init__(self, site: sites.SoakSite, source: random.Random) -> None:
        super().__init__(site)
        self._random = source

    async def _play(self) -> None:
        names = list(layout.links(self._site.vms))
        if self._random.random() < 0.5:
            names = self._site.links_of(self._any_vm())
        names += map(self._site.order_link, self._site.announcers)
        direction = self._random.choice(list(proxies.Direction))
        for name in names:
            self._site.proxy.silence(name, direction)
        await trio.lowlevel.checkpoint()


class CutWorkers(Trouble):
    """Some workers get no orders, or their answers are lost."""

    concerns_workers = True

    async def _play(self) -> None:
        count = self._random.randrange(1, 4)
        names = self._random.sample(sorted(self._site.announcers), count)
        direction = self._random.choice(list(proxies.Direction))
        modes = (proxies.Mode.DROP, proxies.Mode.HOLD)
        fault = proxies.Fault(self._random.choice(modes))
        links = [self._site.order_link(name) for name in names]
        for link in links:
            self._site.proxy.set_fault(link, fault, direction)
        await self._last()
        for link in links:
            self._site.proxy.heal(link)


class CrashWorker(Trouble):
    """A worker's incarnation ends without a word, and another begins."""

    concerns_workers = True

    async def _play(self) -> None:
        name = self._random.choice(sorted(self._site.announcers))
        self._site.replace_worker(name)
        await trio.lowlevel.checkpoint()


class RestartWorkers(Trouble):
    """Some workers crash, and start again under their ids at once."""

    concerns_workers = True

    async def _play(self) -> None:
        names = self._random.sample(sorted(self._site.announcers), 2)
        for name in names:
            self._site.replace_worker(name, keeps_id=True)
            await trio.sleep(self._random.uniform(0.0, RESTART_GAP_S))


class ShrinkWorkers(Trouble):
    """Some workers have less room for a while, or none."""

    concerns_workers = True

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
        await self._last()
        for worker in shrunk:
            worker.resize(sites.CAPACITY)


class DrainWorker(Trouble):
    """A worker announces its end, drains, and another begins."""

    concerns_workers = True

    async def _play(self) -> None:
        name = self._random.choice(sorted(self._site.announcers))
        self._site.announcers[name].state = "draining"
        await trio.sleep(DRAIN_S)
        self._site.replace_worker(name)


class FullDisks(Trouble):
    """Some core VMs, often one and at times all, can write nothing."""

    async def _play(self) -> None:
        count = self._random.choice((1, 1, 1, 2, len(self._site.core)))
        vms = self._random.sample(self._site.core, count)
        for vm in vms:
            self._site.fill_disk(vm)
        await self._last()
        for vm in vms:
            self._site.make_room(vm)


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
"""What older seeds draw from; a new kind would make other soaks of them."""

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
"""What soaks with tasks that crash their workers draw from."""

SPARE_KINDS = (*ALL_KINDS, *(4 * (GiveWay,)))
"""What soaks with a core VM that stands by draw from."""

CHOICES = {
    "first": KINDS,
    "full-disks": KINDS_WITH_DISKS,
    "all": ALL_KINDS,
    "spare": SPARE_KINDS,
}
"""Kinds to draw from, by the names that the command line has for them."""
