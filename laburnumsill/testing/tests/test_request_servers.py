"""Backend servers that fail, die, freeze or mix up, with real processes."""

import collections
import pathlib
import time

import httpcore
import trio

from laburnumsill.testing import cluster
from laburnumsill.testing import scenario

SITE = cluster.Layout(servers=2)
WORK_LIMIT_S = 3.0
"""Source: the brief, "no new work after a few seconds"."""

LOST = (
    httpcore.NetworkError,
    httpcore.TimeoutException,
    httpcore.ProtocolError,
)


async def stats(site, name):
    """Returns the counts of a fake server."""
    answer = await site.client(name).send("GET", "/_fake/stats")
    return answer.json()


async def offers(site, count, vm_ids=None):
    """Sends offers one by one through VM after VM; returns the answers."""
    chosen = vm_ids or site.vm_ids
    return [
        await scenario.request(site, chosen[number % len(chosen)], "offer")
        for number in range(count)
    ]


async def test_a_server_that_fails_fast_loses_its_work_and_wins_it_back(
    tmp_path: pathlib.Path,
):
    bad = "server-north-0"
    async with cluster.running(tmp_path, SITE) as site:
        await scenario.start_site(site)
        north = site.vms_of("north")
        await scenario.behave(site, [bad], mode="fail-fast")
        await offers(site, 30, north)
        before = (await stats(site, bad))["arrived"]
        answers = await offers(site, 200, north)
        assert {answer.status for answer in answers} == {200}
        seen = (await stats(site, bad))["arrived"] - before
        # Half of all would be its part; probes alone are a handful.
        assert seen <= 20, seen

        await scenario.behave(site, [bad])
        served = collections.Counter()

        async def wins_its_part():
            for answer in await offers(site, 40, north):
                served[answer.json()["server_id"]] += 1
            part = served[bad]
            served.clear()
            return part >= 10

        await site.until(wins_its_part, "the healed server has work again", 45)


async def load(site, stop, vm_ids):
    """Keeps four callers busy at each VM until `stop` is set."""

    async def caller(vm_id):
        while not stop.is_set():
            try:
                await scenario.request(site, vm_id, "offer", timeout_s=3)
            except LOST:
                await trio.sleep(0.1)

    async with trio.open_nursery() as nursery:
        for vm_id in vm_ids:
            for _ in range(4):
                nursery.start_soon(caller, vm_id)


def routed_after(site, vm_ids, name, moment):
    """Returns the routing decisions for a server after a wall time."""
    text = time.strftime("%Y-%m-%dT%H:%M:%S", time.gmtime(moment))
    return [
        line
        for vm_id in vm_ids
        for line in site.process(vm_id).log_text().splitlines()
        if "event=request-routed" in line
        and f" server={name} " in line
        and line.removeprefix("time=") > text
    ]


async def assert_no_new_work(site, lost, kill_vm=""):
    """Runs load while servers are lost; none is given work 3 s later.

    Args:
        site: The site.
        lost: How to lose each server, by its name.
        kill_vm: A VM that is killed at the same moment.
    """
    vm_ids = [vm_id for vm_id in site.vm_ids if vm_id != kill_vm]
    stop = trio.Event()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(load, site, stop, vm_ids)
        await trio.sleep(1)
        for lose in lost.values():
            await lose()
        if kill_vm:
            site.process(kill_vm).kill()
        lost_at = time.time()
        await trio.sleep(WORK_LIMIT_S + 4)
        stop.set()
    # A second more than the limit, because the log lines of the second in
    # which it ends are not told apart.
    limit = lost_at + WORK_LIMIT_S + 1
    for name in lost:
        assert not routed_after(site, vm_ids, name, limit), name
    return limit


async def test_servers_lost_in_any_way_get_no_new_work_after_three_seconds(
    tmp_path: pathlib.Path,
):
    async with cluster.running(tmp_path, SITE) as site:
        await scenario.start_site(site)
        dead, frozen, silent = (
            "server-north-0",
            "server-east-0",
            "server-south-0",
        )

        async def kill():
            site.process(dead).kill()

        async def freeze():
            site.process(frozen).pause()

        async def silence():
            await scenario.behave(site, [silent], announcing=False)

        lost = {dead: kill, frozen: freeze, silent: silence}
        limit = await assert_no_new_work(site, lost)
        last = (await stats(site, silent))["last_arrival_at"]
        assert 0 < last <= limit
        for answer in await offers(site, 30):
            assert answer.outcome == "answered"


async def test_a_server_lost_with_its_watcher_gets_no_new_work(
    tmp_path: pathlib.Path,
):
    layout = cluster.Layout(
        domains={"north": 2, "east": 1, "south": 1}, servers=2
    )
    async with cluster.running(tmp_path, layout) as site:
        await scenario.start_site(site)
        frozen, silent = "server-north-0", "server-north-1"

        async def freeze():
            site.process(frozen).pause()

        async def silence():
            await scenario.behave(site, [silent], announcing=False)

        lost = {frozen: freeze, silent: silence}
        watcher = site.vms_of("north")[0]
        limit = await assert_no_new_work(site, lost, watcher)
        assert 0 < (await stats(site, silent))["last_arrival_at"] <= limit
        left = [vm_id for vm_id in site.vm_ids if vm_id != watcher]
        for answer in await offers(site, 30, left):
            assert answer.outcome == "answered"


async def attempts_each(site, callers, turns):
    """Sends offers from many callers; returns attempts for each request."""
    names = site.names("server-")
    before = sum([(await stats(site, name))["arrived"] for name in names])
    statuses = collections.Counter()

    async def caller(vm_id):
        for _ in range(turns):
            answer = await scenario.request(site, vm_id, "offer")
            statuses[answer.status] += 1

    async with trio.open_nursery() as nursery:
        for number in range(callers):
            nursery.start_soon(caller, site.vm_ids[number % 3])
    after = sum([(await stats(site, name))["arrived"] for name in names])
    print((after - before) / (callers * turns), statuses)
    return (after - before) / (callers * turns), statuses


async def test_half_the_servers_failing_costs_few_attempts(
    tmp_path: pathlib.Path,
):
    async with cluster.running(tmp_path, SITE) as site:
        await scenario.start_site(site)
        half = [name for name in site.names("server-") if name.endswith("-0")]
        await scenario.behave(site, half, mode="fail-fast")
        each, statuses = await attempts_each(site, 12, 50)
        assert each <= 1.2, each
        assert statuses[200] >= 0.9 * statuses.total(), statuses


async def test_late_and_crossed_answers_reach_their_own_callers(
    tmp_path: pathlib.Path,
):
    async with cluster.running(tmp_path, SITE) as site:
        await scenario.start_site(site)
        outcomes = collections.Counter()

        async def caller(vm_id, number):
            name = "offer" if number % 2 else "confirm"
            for turn in range(8):
                key = f"{name}-{vm_id}-{number}-{turn}"
                body = f'{{"caller": "{key}", "fill": "{"x" * number}"}}'
                answer = await scenario.request(
                    site, vm_id, name, key, "/run/" + key, body.encode(), 30
                )
                outcomes[answer.outcome] += 1
                if answer.outcome != "answered":
                    assert answer.status in (503, 504), answer.body
                    continue
                echo = answer.json()
                assert echo.get("key") == key, answer.body
                assert echo["body"] == body
                assert echo["path"].endswith("/run/" + key)

        async def misbehave():
            """Lets jammed answers out each time, and crosses others."""
            while True:
                for mode in ("jam", "cross"):
                    await scenario.behave(
                        site,
                        mode=mode,
                        share=0.2,
                        delay_ms=40,
                        delay_kind="exponential",
                    )
                    await trio.sleep(0.3)

        async with trio.open_nursery() as nursery:
            nursery.start_soon(misbehave)
            async with trio.open_nursery() as callers:
                for vm_id in site.vm_ids:
                    for number in range(16):
                        callers.start_soon(caller, vm_id, number)
            nursery.cancel_scope.cancel()
        print(outcomes)
        # Crossed answers are told apart, and most requests are answered.
        assert outcomes["answered"] >= 0.6 * sum(outcomes.values()), outcomes
        assert outcomes["unknown"] > 0, outcomes
        for key, runs in (await scenario.runs(site)).items():
            assert runs == 1 or key.startswith("offer"), key
