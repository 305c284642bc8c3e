"""Troubles that come over an emulated site, one after the other."""

import random
from collections import abc

import trio

from laburnumsill.batch import model
from laburnumsill.emulator import site as sites
from laburnumsill.emulator import workers as worker_module

LONGEST_PAUSE_S = 5.0
LONGEST_S = 6.0
LONGEST_WITHOUT_LEADER_S = 3.0

LOST_SHARE = 0.3
"""Share of the orders that are carried out and not answered."""

LATE_SHARE = 0.2
"""Share of the orders that are carried out seconds late."""

Trouble = abc.Callable[[sites.EmulatedSite, random.Random], abc.Awaitable[None]]


async def bring(
    site: sites.EmulatedSite,
    source: random.Random,
    kinds: abc.Sequence[str],
    until_s: float,
) -> None:
    """Brings troubles at random moments until the loop's time is `until_s`.

    Args:
        site: The site.
        source: Of all that is random.
        kinds: Names out of `KINDS`.
        until_s: When to end.

    Raises:
        KeyError: There is no such kind.
    """
    while trio.current_time() < until_s:
        await trio.sleep(source.uniform(1.0, LONGEST_PAUSE_S))
        await KINDS[source.choice(kinds)](site, source)


async def _lose_lead(site: sites.EmulatedSite, source: random.Random) -> None:
    site.groups.lead("")
    await trio.sleep(source.uniform(0.0, LONGEST_WITHOUT_LEADER_S))
    site.groups.lead(source.choice(list(site.schedulers)))


async def _suspend(site: sites.EmulatedSite, source: random.Random) -> None:
    """A VM is suspended; if it leads, another one leads meanwhile."""
    vm = source.choice(list(site.schedulers))
    async with trio.open_nursery() as nursery:
        nursery.start_soon(site.groups.suspend, vm, source.uniform(0.5, 12.0))
        if site.groups.leader == vm:
            await trio.sleep(source.uniform(0.3, 0.8))
            others = [one for one in site.schedulers if one != vm]
            site.groups.lead(source.choice(others))


async def _lose_answers(
    site: sites.EmulatedSite, source: random.Random
) -> None:
    site.client.lost_share = LOST_SHARE
    await _last(source)
    site.client.lost_share = 0.0


async def _delay_orders(
    site: sites.EmulatedSite, source: random.Random
) -> None:
    site.client.late_share = LATE_SHARE
    await _last(source)
    site.client.late_share = 0.0


async def _cut_off(site: sites.EmulatedSite, source: random.Random) -> None:
    some = _some_workers(site, source)
    site.client.cut = {one.worker.worker_id for one in some}
    await _last(source)
    await _last(source)
    site.client.cut = set()


async def _hang(site: sites.EmulatedSite, source: random.Random) -> None:
    some = _some_workers(site, source)
    for one in some:
        one.behaviour.hangs = True
    await _last(source)
    for one in some:
        one.behaviour.hangs = False


async def _fail(site: sites.EmulatedSite, source: random.Random) -> None:
    one, _ = _some_workers(site, source)
    one.behaviour.fails = True
    await _last(source)
    one.behaviour.fails = False


async def _crash(site: sites.EmulatedSite, source: random.Random) -> None:
    """A worker crashes, and its successor has its address."""
    gone, _ = _some_workers(site, source)
    if gone.gone:
        return
    gone.vanish()
    worker = gone.worker
    rack = int(worker.rack[1:])
    site.add_worker(f"{worker.worker_id}x", rack, worker.address)
    await _last(source)
    # An announcement of the crashed one was held up until now.
    site.announce(worker, 1_000)


async def _restart(site: sites.EmulatedSite, source: random.Random) -> None:
    """Some workers crash and start again under their names."""
    site.keeps_names = True
    for one in _some_workers(site, source):
        if not one.gone:
            one.crash()
            await trio.sleep(source.uniform(0.0, 1.0))
    await _last(source)


async def _shrink(site: sites.EmulatedSite, source: random.Random) -> None:
    """Some workers have less room for a while, some of them none."""
    some = _some_workers(site, source)
    for one in some:
        before = one.worker.capacity
        share = source.choice((0.0, 0.25, 0.5, 0.75))
        one.resize(
            model.Resources(
                int(share * before.cpu_millis),
                int(share * before.memory_mb),
                int(share * before.accelerators),
            )
        )
    await _last(source)
    for one in some:
        one.resize(site.capacity)


def _some_workers(
    site: sites.EmulatedSite, source: random.Random
) -> list[worker_module.EmulatedWorker]:
    return source.sample(list(site.pool.workers.values()), k=2)


async def _last(source: random.Random) -> None:
    await trio.sleep(source.uniform(1.0, LONGEST_S))


KINDS: dict[str, Trouble] = {
    "lead": _lose_lead,
    "lost": _lose_answers,
    "late": _delay_orders,
    "cut": _cut_off,
    "hang": _hang,
    "fail": _fail,
    "crash": _crash,
    "shrink": _shrink,
    "suspend": _suspend,
    "restart": _restart,
}
"""What may come: the lead is lost, answers are lost, orders come late; workers
are cut off, hang, fail all that they start, crash, or have less room; a VM is
suspended; workers start again under their names."""

FIRST_KINDS = ("lead", "lost", "late", "cut", "hang", "fail", "crash")
"""What older seeds draw from; a new kind would make other days of them."""
