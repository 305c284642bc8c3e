"""Replicated state under failure, with real processes behind the proxy."""

import contextlib
import pathlib

import httpcore
import pytest
import trio

from laburnumsill.testing import cluster
from laburnumsill.testing import proxy
from laburnumsill.testing import scenario

SMALL = cluster.Layout()
BLACK_HOLE = proxy.Fault(proxy.Mode.DROP)
LOST = (
    httpcore.NetworkError,
    httpcore.TimeoutException,
    httpcore.ProtocolError,
)


def changed(domains, number):
    configuration = scenario.configuration(domains)
    configuration["accounts"][f"extra-{number}"] = {}
    return configuration


async def push_numbered(site, vm_id, expected, number):
    domains = {site.domain_of(vm) for vm in site.vm_ids}
    return await site.push(
        changed(domains, number), vm_id, expected, key=f"push-{number}"
    )


async def push_until_accepted(site, vm_ids, expected, number):
    """Resends one push through VM after VM until its answer arrives."""
    with trio.fail_after(30):
        while True:
            for vm_id in vm_ids:
                try:
                    answer = await push_numbered(site, vm_id, expected, number)
                except LOST:
                    continue
                if answer.status == 200:
                    return answer.json()["version"]
                assert answer.status == 503, answer.body
            await trio.sleep(0.05)


async def version_in_force(site, vm_id):
    answer = await site.client(vm_id).send("GET", "/v1/config")
    return answer.json()["version"]


async def in_force_here(site, vm_id):
    """Returns the version that a VM itself has in force, 0 for none."""
    answer = await site.client(vm_id).send(
        "GET", "/v1/config?source=in-force", timeout_s=2
    )
    return answer.json()["version"] if answer.status == 200 else 0


async def until_in_force(site, vm_id, version):
    """Waits until a VM itself has a version in force, and a quorum says so."""

    async def reached():
        if await in_force_here(site, vm_id) < version:
            return False
        answer = await site.client(vm_id).send("GET", "/v1/config")
        return answer.status == 200 and answer.json()["version"] >= version

    await site.until(reached, f"version {version} is in force on {vm_id}")


async def watch_in_force(site, vm_ids, seen):
    """Notes what VMs have in force, again and again, in `seen` by VM.

    A VM that has answered once never answers with an older version, also
    not after a restart.
    """

    async def watch(vm_id):
        versions = seen.setdefault(vm_id, [])
        while True:
            with contextlib.suppress(*LOST):
                versions.append(await in_force_here(site, vm_id))
            await trio.sleep(0.01)

    async with trio.open_nursery() as nursery:
        for vm_id in vm_ids:
            nursery.start_soon(watch, vm_id)


def check_never_older(seen):
    """Checks what `watch_in_force` noted; 0 says that none is known yet."""
    for vm_id, versions in seen.items():
        known = [version for version in versions if version]
        assert known, vm_id
        assert known == sorted(known), (vm_id, known)


async def replica(site, vm_id, group="root"):
    """Returns the document of a VM's replica of a group."""
    answer = await site.client(vm_id).send("GET", "/v1/groups")
    return next(r for r in answer.json() if r["group"] == group)


async def until_applied(site, vm_id, index):
    """Waits until the root replica on a VM has applied an entry."""

    async def applied():
        return (await replica(site, vm_id))["applied"] >= index

    await site.until(applied, f"{vm_id} has applied entry {index}")


async def until_votes(site, vm_id):
    """Waits until the replica of the root group on a VM is a voter again."""

    async def votes():
        answer = await site.client(vm_id).send("GET", "/v1/groups")
        root = next(r for r in answer.json() if r["group"] == "root")
        return root["role"] in ("follower", "leader") and (
            len(root["voters"]) == 3
        )

    await site.until(votes, f"the replica on {vm_id} votes again")


async def test_kill_of_the_leader_during_writes_loses_and_doubles_nothing(
    tmp_path: pathlib.Path,
):
    async with cluster.running(tmp_path, SMALL) as site:
        await scenario.start_site(site)
        version = 1
        seen = {}
        async with trio.open_nursery() as nursery:
            nursery.start_soon(watch_in_force, site, site.vm_ids, seen)
            for number in range(12):
                if number in (3, 7):
                    leader = await site.until_led("root", site.vm_ids)
                    site.process(leader).kill()
                    site.start_vm(leader)
                got = await push_until_accepted(
                    site, site.vm_ids, version, number
                )
                assert got == version + 1
                version = got
            for vm_id in site.vm_ids:
                await until_in_force(site, vm_id, version)
                assert await version_in_force(site, vm_id) == version
            nursery.cancel_scope.cancel()
        check_never_older(seen)


async def test_an_isolated_leader_answers_unavailable_and_disturbs_no_one(
    tmp_path: pathlib.Path,
):
    async with cluster.running(tmp_path, SMALL) as site:
        await scenario.start_site(site)
        old = await site.until_led("root", site.vm_ids)
        others = [vm for vm in site.vm_ids if vm != old]
        site.isolate([old], BLACK_HOLE)
        new = await site.until_led("root", others)
        version = await push_until_accepted(site, others, 1, 1)
        refused = await push_numbered(site, old, 1, 2)
        assert refused.status == 503, refused.body
        stale = await site.client(old).send("GET", "/v1/config")
        assert stale.status == 503, stale.body
        assert (await replica(site, old))["role"] != "leader"
        term = (await replica(site, new))["term"]
        await trio.sleep(3)
        site.heal()
        await until_in_force(site, old, version)
        assert await site.until_led("root", site.vm_ids) == new
        assert (await replica(site, new))["term"] == term
        assert (await replica(site, old))["term"] == term


async def test_a_paused_leader_answers_no_read_with_the_past(
    tmp_path: pathlib.Path,
):
    async with cluster.running(tmp_path, SMALL) as site:
        await scenario.start_site(site)
        old = await site.until_led("root", site.vm_ids)
        others = [vm for vm in site.vm_ids if vm != old]
        answers = []

        async def read():
            with contextlib.suppress(*LOST):
                answers.append(await site.client(old).send("GET", "/v1/config"))

        site.process(old).pause()
        version = await push_until_accepted(site, others, 1, 1)
        async with trio.open_nursery() as nursery:
            for _ in range(20):
                nursery.start_soon(read)
            await trio.sleep(0.3)
            site.process(old).resume()
        assert answers
        for answer in answers:
            fresh = answer.status == 200 and answer.json()["version"] == version
            assert fresh or answer.status == 503, answer.body


async def test_a_paused_leader_does_no_harm_when_it_goes_on(
    tmp_path: pathlib.Path,
):
    async with cluster.running(tmp_path, SMALL) as site:
        await scenario.start_site(site)
        old = await site.until_led("root", site.vm_ids)
        others = [vm for vm in site.vm_ids if vm != old]
        site.process(old).pause()
        version = await push_until_accepted(site, others, 1, 1)
        site.process(old).resume()
        answer = await push_numbered(site, old, 1, 2)
        assert answer.status in (409, 503), answer.body
        await until_in_force(site, old, version)
        assert await version_in_force(site, old) == version


async def test_a_domain_cut_off_goes_on_and_all_agree_afterwards(
    tmp_path: pathlib.Path,
):
    layout = cluster.Layout(
        domains={"north": 3, "east": 3, "south": 2}, servers=1
    )
    async with cluster.running(tmp_path, layout) as site:
        await scenario.start_site(site)
        north = site.vms_of("north")
        rest = [vm for vm in site.vm_ids if vm not in north]
        site.isolate(north, BLACK_HOLE)
        await site.until_led("domain.north", north)
        await site.until_led("root", rest)
        served = await scenario.request(site, north[0], "offer")
        assert (served.status, served.outcome) == (200, "answered")
        # Past every timeout, so that the lead and its commits are new ones.
        await trio.sleep(3)
        await site.until_led("domain.north", north)
        outcomes = []
        for number in range(9):  # one by one: a VM has few slots to itself
            answer = await scenario.request(
                site, north[0], "confirm", f"cut-{number}", timeout_s=20.0
            )
            outcomes.append(answer.outcome)
        # Those whose home is north are answered, and only those.
        assert 0 < outcomes.count("answered") < 9, outcomes
        version = await push_until_accepted(site, rest, 1, 1)
        refused = await push_numbered(site, north[0], 1, 2)
        assert refused.status == 503, refused.body
        site.heal()
        for vm_id in site.vm_ids:
            await until_in_force(site, vm_id, version)


async def test_of_five_racing_operators_exactly_one_wins(
    tmp_path: pathlib.Path,
):
    async with cluster.running(tmp_path, SMALL) as site:
        await scenario.start_site(site)
        answers = {}

        async def operator(number):
            vm_id = site.vm_ids[number % len(site.vm_ids)]
            answers[number] = await push_numbered(site, vm_id, 1, number)

        async with trio.open_nursery() as nursery:
            for number in range(5):
                nursery.start_soon(operator, number)
        won = [n for n, answer in answers.items() if answer.status == 200]
        lost = [a for a in answers.values() if a.status == 409]
        assert len(won) == 1
        assert len(lost) == 4
        digest = answers[won[0]].json()["digest"]
        assert {a.json()["digest"] for a in lost} == {digest}
        for vm_id in site.vm_ids:
            again = await push_numbered(site, vm_id, 1, won[0])
            assert again.json() == answers[won[0]].json()
            await until_in_force(site, vm_id, 2)
            assert await version_in_force(site, vm_id) == 2


async def test_a_restart_after_a_thousand_changes_catches_up(
    tmp_path: pathlib.Path,
):
    async with cluster.running(tmp_path, SMALL) as site:
        await scenario.start_site(site)
        leader = await site.until_led("root", site.vm_ids)
        away = next(vm for vm in site.vm_ids if vm != leader)
        near = [vm for vm in site.vm_ids if vm != away]
        site.process(away).kill()
        version = 1
        for number in range(1000):
            version = await push_until_accepted(
                site, [leader, *near], version, number
            )
        target = (await replica(site, leader))["committed"]
        seen = {}
        async with trio.open_nursery() as nursery:
            nursery.start_soon(watch_in_force, site, [away], seen)
            site.start_vm(away)
            await until_in_force(site, away, 1001)
            await until_applied(site, away, target)
            nursery.cancel_scope.cancel()
        check_never_older(seen)


async def test_a_voter_that_lost_its_disk_comes_back_without_its_old_vote(
    tmp_path: pathlib.Path,
):
    async with cluster.running(tmp_path, SMALL) as site:
        await scenario.start_site(site)
        leader = await site.until_led("root", site.vm_ids)
        lost = next(vm for vm in site.vm_ids if vm != leader)
        site.process(lost).kill()
        site.data_folder(lost).rename(tmp_path / "lost-disk")
        version = await push_until_accepted(site, [leader], 1, 1)
        site.start_vm(lost)
        await until_in_force(site, lost, version)
        await until_votes(site, lost)
        site.process(leader).kill()
        others = [vm for vm in site.vm_ids if vm != leader]
        assert await push_until_accepted(site, others, version, 2) == 3


@pytest.mark.parametrize("damage", ["torn", "middle"])
async def test_a_damaged_log_is_repaired_and_nothing_is_lost(
    tmp_path: pathlib.Path, damage: str
):
    async with cluster.running(tmp_path, SMALL) as site:
        await scenario.start_site(site)
        version = 1
        for number in range(20):
            version = await push_until_accepted(
                site, site.vm_ids, version, number
            )
        leader = await site.until_led("root", site.vm_ids)
        hurt = next(vm for vm in site.vm_ids if vm != leader)
        site.process(hurt).kill()
        damage_log(site.data_folder(hurt), damage)
        site.start_vm(hurt)
        await until_in_force(site, hurt, version)
        await until_votes(site, hurt)
        site.process(leader).kill()
        others = [vm for vm in site.vm_ids if vm != leader]
        got = await push_until_accepted(site, others, version, 99)
        assert got == version + 1


def damage_log(folder, damage):
    """Tears the tail, or turns bytes in the middle, of the root's log."""
    segments = sorted(
        path
        for path in folder.rglob("*")
        if path.parent.name == "root" and "log" in path.name
    )
    assert segments, list(folder.rglob("*"))
    raw = bytearray(segments[-1].read_bytes())
    if damage == "torn":
        raw = raw[:-7]
    else:
        middle = len(raw) // 2
        raw[middle : middle + 8] = b"\xff" * 8
    segments[-1].write_bytes(raw)


async def test_a_lost_vm_is_replaced_and_a_second_loss_stops_no_group(
    tmp_path: pathlib.Path,
):
    layout = cluster.Layout(
        domains={"north": 3, "east": 3, "south": 2}, replace_after_s=2.0
    )
    async with cluster.running(tmp_path, layout) as site:
        await scenario.start_site(site)
        first = await site.until_led("domain.north", site.vms_of("north"))
        site.process(first).kill()
        left = [vm for vm in site.vm_ids if vm != first]

        groups = ("root", "domain.north", "domain.east", "domain.south")

        async def replaced():
            """Whether no group counts on the lost VM any more."""
            for group in groups:
                leader = await site.leader(group, left)
                if leader is None:
                    return False
                answer = await site.client(leader).send("GET", "/v1/groups")
                voters = next(
                    r["voters"] for r in answer.json() if r["group"] == group
                )
                if first in voters or len(voters) < 3:
                    return False
            return True

        await site.until(replaced, f"{first} is replaced")
        second = await site.until_led("domain.north", left)
        site.process(second).kill()
        left.remove(second)
        for group in groups:
            await site.until_led(group, left)
        assert await push_until_accepted(site, left, 1, 1) == 2
