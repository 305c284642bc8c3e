"""Faults that are injected into an emulated site, one after the other."""

import contextlib
import random
from collections import abc

import msgspec
import trio

from laburnumsill.batch import model
from laburnumsill.core import errors
from laburnumsill.emulator import site as sites
from laburnumsill.emulator import workers as worker_module

MAX_PAUSE_S = 5.0
MAX_DURATION_S = 6.0
MAX_WITHOUT_LEADER_S = 3.0
MAX_EVACUATION_S = 12.0
CUT_S = (6.0, 16.0)
"""Shortest and longest cut around a deposed leader. A lease ends after 10 s."""


RECLAIM_NOTICE_S = 2.0
"""Time between the notice of a reclaimed worker and its end."""

REPLACEMENT_DELAY_S = 4.0
"""Time between the end of a reclaimed worker and the start of another one."""

DRAIN_S = (2.0, 5.0)
"""Shortest and longest time for which a worker drains before its departure."""

DEPARTURE_PATIENCE_S = (1.5, 4.0)
"""Shortest and longest time after which a worker without an acknowledgement of
its departure ends anyway."""

DEPARTURE_INTERVAL_S = 1.0
"""Time after which a worker without an acknowledgement repeats its departure
to another VM."""

MAX_ANSWER_DELAY_S = 0.9
"""Longest delay of the answer to a departure."""

QUEUES_MOVED_BACK = 0.7
"""Share of the moved queues that are sent back to their first pool."""

LOST_DEPARTURES = 0.4
"""Share of the departures whose answer is lost."""

MAX_COPY_DELAY_S = 6.0
"""Longest time from the end of a worker to the arrival of a copy of its
departure."""

LOST_SHARE = 0.3
"""Share of the orders that are executed but whose answer is lost."""

LATE_SHARE = 0.2
"""Share of the orders that are executed seconds late."""

Trouble = abc.Callable[[sites.EmulatedSite, random.Random], abc.Awaitable[None]]


async def inject(
    site: sites.EmulatedSite,
    rng: random.Random,
    kinds: abc.Sequence[str],
    until_s: float,
) -> None:
    """Injects faults at random times until the loop's clock is at `until_s`.

    Args:
        site: The site.
        rng: Source of all random decisions.
        kinds: Names from `KINDS`.
        until_s: Time after which no further fault is injected.

    Raises:
        KeyError: There is no such kind.
    """
    while trio.current_time() < until_s:
        await trio.sleep(rng.uniform(1.0, MAX_PAUSE_S))
        await KINDS[rng.choice(kinds)](site, rng)


async def _lose_leader(site: sites.EmulatedSite, rng: random.Random) -> None:
    site.groups.lead("")
    await trio.sleep(rng.uniform(0.0, MAX_WITHOUT_LEADER_S))
    site.groups.lead(rng.choice(list(site.schedulers)))


async def _suspend(site: sites.EmulatedSite, rng: random.Random) -> None:
    """Suspends a VM; if it leads, another one becomes the leader."""
    vm = rng.choice(list(site.schedulers))
    async with trio.open_nursery() as nursery:
        nursery.start_soon(site.groups.suspend, vm, rng.uniform(0.5, 12.0))
        if site.groups.leader == vm:
            await trio.sleep(rng.uniform(0.3, 0.8))
            others = [worker for worker in site.schedulers if worker != vm]
            site.groups.lead(rng.choice(others))


async def _depose(site: sites.EmulatedSite, rng: random.Random) -> None:
    """Suspends the leader and cuts its failure domain off from the others.

    The next leader reaches the workers of the other domains only. The deposed
    one resumes, reaches its own, and does not know yet that it was deposed.
    """
    deposed = site.groups.leader
    if not deposed:
        return
    workers = [one.worker for one in site.pool.workers.values()]
    domain = rng.choice(sorted({worker.domain for worker in workers}))
    inside = {one.worker_id for one in workers if one.domain == domain}
    outside = {one.worker_id for one in workers} - inside
    others = [vm for vm in site.schedulers if vm != deposed]
    async with trio.open_nursery() as nursery:
        nursery.start_soon(site.groups.suspend, deposed, rng.uniform(0.5, 8.0))
        await trio.sleep(rng.uniform(0.3, 0.8))
        site.groups.unreachable = dict.fromkeys(others, inside)
        site.groups.unreachable[deposed] = outside
        site.groups.lead(rng.choice(others))
        await trio.sleep(rng.uniform(*CUT_S))
        site.groups.unreachable.clear()


async def _lose_answers(site: sites.EmulatedSite, rng: random.Random) -> None:
    site.client.lost_share = LOST_SHARE
    await _sleep_while_active(rng)
    site.client.lost_share = 0.0


async def _delay_orders(site: sites.EmulatedSite, rng: random.Random) -> None:
    site.client.late_share = LATE_SHARE
    await _sleep_while_active(rng)
    site.client.late_share = 0.0


async def _cut_off(site: sites.EmulatedSite, rng: random.Random) -> None:
    chosen = _some_workers(site, rng)
    site.client.cut = {worker.worker.worker_id for worker in chosen}
    await _sleep_while_active(rng)
    await _sleep_while_active(rng)
    site.client.cut = set()


async def _hang(site: sites.EmulatedSite, rng: random.Random) -> None:
    chosen = _some_workers(site, rng)
    for worker in chosen:
        worker.behaviour.hangs = True
    await _sleep_while_active(rng)
    for worker in chosen:
        worker.behaviour.hangs = False


async def _fail(site: sites.EmulatedSite, rng: random.Random) -> None:
    worker, _ = _some_workers(site, rng)
    worker.behaviour.fails = True
    await _sleep_while_active(rng)
    worker.behaviour.fails = False


async def _crash(site: sites.EmulatedSite, rng: random.Random) -> None:
    """Replaces a worker by a successor at the same address.

    An announcement of the replaced incarnation arrives late.
    """
    replaced, _ = _some_workers(site, rng)
    if replaced.gone:
        return
    replaced.vanish()
    worker = replaced.worker
    rack = int(worker.rack[1:])
    site.add_worker(
        f"{worker.worker_id}x", rack, worker.address, pool=worker.pool
    )
    await _sleep_while_active(rng)
    site.announce(worker, 1_000)


async def _restart(site: sites.EmulatedSite, rng: random.Random) -> None:
    """Crashes two workers, which restart under their names."""
    site.keeps_names = True
    for worker in _some_workers(site, rng):
        if not worker.gone:
            worker.crash()
            await trio.sleep(rng.uniform(0.0, 1.0))
    await _sleep_while_active(rng)


async def reclaim_worker(
    site: sites.EmulatedSite,
    worker: worker_module.EmulatedWorker,
    notice_s: float,
) -> None:
    """Gives a worker its notice; it ends without a sign.

    Args:
        site: The site.
        worker: The worker.
        notice_s: Time between the notice and its end.
    """
    worker.worker = msgspec.structs.replace(worker.worker, draining=True)
    worker_id = worker.worker.worker_id
    worker.sequence += 1
    site.announce(worker.worker, worker.sequence)
    site.deliver_heartbeat(worker, int(1000 * notice_s))
    await trio.sleep(notice_s)
    site.client.gone.add(worker_id)
    site.silent.add(worker_id)
    worker.vanish()


async def _reclaim(site: sites.EmulatedSite, rng: random.Random) -> None:
    """Reclaims two workers; others replace them."""
    chosen = [one for one in _some_workers(site, rng) if not one.gone]
    async with trio.open_nursery() as nursery:
        for worker in chosen:
            nursery.start_soon(reclaim_worker, site, worker, RECLAIM_NOTICE_S)
    await trio.sleep(REPLACEMENT_DELAY_S)
    for worker in chosen:
        known = worker.worker
        site.add_worker(
            f"{known.worker_id}y", int(known.rack[1:]), pool=known.pool
        )


async def depart(
    site: sites.EmulatedSite,
    worker: worker_module.EmulatedWorker,
    rng: random.Random,
) -> None:
    """Lets a worker drain, announce its departure and end.

    It ends when the departure is acknowledged, at the latest after a time.
    Until then it executes orders and works on. Another copy of the departure
    arrives after its end.
    """
    worker.worker = msgspec.structs.replace(worker.worker, draining=True)
    await trio.sleep(rng.uniform(*DRAIN_S))
    if worker.gone:
        return
    name = worker.worker.call_name
    with trio.move_on_after(rng.uniform(*DEPARTURE_PATIENCE_S)):
        while not await _is_departure_acknowledged(site, name, rng):
            pass
    if worker.gone:
        return
    site.client.gone.add(worker.worker.worker_id)
    site.silent.add(worker.worker.worker_id)
    worker.vanish()
    await trio.sleep(rng.uniform(0.0, MAX_COPY_DELAY_S))
    with contextlib.suppress(errors.LaburnumsillError):
        await site.intakes[rng.choice(list(site.intakes))].leave(name)


async def _is_departure_acknowledged(
    site: sites.EmulatedSite, name: str, rng: random.Random
) -> bool:
    """Sends a departure to one VM; returns whether its answer has arrived."""
    vm = rng.choice(list(site.intakes))
    is_lost = rng.random() < LOST_DEPARTURES
    delay_s = rng.uniform(0.0, MAX_ANSWER_DELAY_S)
    with trio.move_on_after(DEPARTURE_INTERVAL_S):
        try:
            await site.intakes[vm].leave(name)
        except errors.LaburnumsillError:
            await trio.sleep_forever()
        await trio.sleep(delay_s)
        if is_lost:
            await trio.sleep_forever()
        return True
    return False


async def _depart(site: sites.EmulatedSite, rng: random.Random) -> None:
    """Lets two workers depart; others replace them."""
    chosen = [one for one in _some_workers(site, rng) if not one.gone]
    async with trio.open_nursery() as nursery:
        for worker in chosen:
            nursery.start_soon(depart, site, worker, rng)
    for worker in chosen:
        known = worker.worker
        site.add_worker(
            f"{known.worker_id}z", int(known.rack[1:]), pool=known.pool
        )


async def _shrink(site: sites.EmulatedSite, rng: random.Random) -> None:
    """Reduces the capacity of two workers for a while, possibly to zero."""
    chosen = _some_workers(site, rng)
    for worker in chosen:
        before = worker.worker.capacity
        share = rng.choice((0.0, 0.25, 0.5, 0.75))
        worker.resize(
            model.Resources(
                int(share * before.cpu_millis),
                int(share * before.memory_mb),
                int(share * before.accelerators),
            )
        )
    await _sleep_while_active(rng)
    for worker in chosen:
        worker.resize(site.capacity)


async def _evacuate(site: sites.EmulatedSite, rng: random.Random) -> None:
    """Evacuates a failure domain and takes it back."""
    workers = site.pool.workers.values()
    domain = rng.choice(sorted({one.worker.domain for one in workers}))
    await site.evacuate(domain)
    await trio.sleep(rng.uniform(1.0, MAX_EVACUATION_S))
    await site.restore(domain)


async def _change_orders(site: sites.EmulatedSite, rng: random.Random) -> None:
    """Gives orders in quick succession while a VM is suspended."""
    workers = site.pool.workers.values()
    domain = rng.choice(sorted({one.worker.domain for one in workers}))
    vm = rng.choice(list(site.schedulers))
    async with trio.open_nursery() as nursery:
        await site.evacuate(domain)
        nursery.start_soon(site.groups.suspend, vm, rng.uniform(0.5, 8.0))
        if site.groups.leader == vm:
            others = [other for other in site.schedulers if other != vm]
            site.groups.lead(rng.choice(others))
        await site.restore(domain)
        await trio.sleep(rng.uniform(0.0, 1.0))
        await site.evacuate(domain)
    await trio.sleep(rng.uniform(6.0, MAX_EVACUATION_S))
    await site.restore(domain)


async def _move_queue(site: sites.EmulatedSite, rng: random.Random) -> None:
    """Sends a queue to another pool, for some time or for good.

    The other pool is as large as the first one, so that it holds any gang.
    """
    workers = [one.worker for one in site.pool.workers.values() if not one.gone]
    if not any(worker.pool == sites.OTHER_POOL for worker in workers):
        for worker in workers:
            site.add_worker(
                f"{worker.worker_id}-other",
                int(worker.rack[1:]),
                pool=sites.OTHER_POOL,
            )
    queues = {truth.job.queue for truth in site.oracle.jobs.values()}
    if not queues:
        return
    queue = rng.choice(sorted(queues))
    site.move_queue(queue, sites.OTHER_POOL)
    await _sleep_while_active(rng)
    if rng.random() < QUEUES_MOVED_BACK:
        site.move_queue(queue, sites.POOL)


def _some_workers(
    site: sites.EmulatedSite, rng: random.Random
) -> list[worker_module.EmulatedWorker]:
    return rng.sample(list(site.pool.workers.values()), k=2)


async def _sleep_while_active(rng: random.Random) -> None:
    await trio.sleep(rng.uniform(1.0, MAX_DURATION_S))


KINDS: dict[str, Trouble] = {
    "lead": _lose_leader,
    "lost": _lose_answers,
    "late": _delay_orders,
    "cut": _cut_off,
    "hang": _hang,
    "fail": _fail,
    "crash": _crash,
    "shrink": _shrink,
    "suspend": _suspend,
    "depose": _depose,
    "restart": _restart,
    "evacuate": _evacuate,
    "reorder": _change_orders,
    "reclaim": _reclaim,
    "depart": _depart,
    "move": _move_queue,
}
"""The faults by name: the leader is lost; answers to orders are lost; orders
are executed late; workers are unreachable, hang, fail their tasks, are replaced
at their address, or have less capacity; a VM is suspended; a leader is deposed
while it is suspended, and some workers reach only it; workers crash and restart
under their names; a failure domain is evacuated, also by orders in quick
succession while a VM is suspended; workers are reclaimed at short notice, or
depart after a drain, and the answer to that may be late or lost; a queue is
sent to another pool and back."""

BASE_KINDS = ("lead", "lost", "late", "cut", "hang", "fail", "crash")
"""A fixed selection of `KINDS` for tests by seed: adding a kind changes the
faults that a seed injects."""
