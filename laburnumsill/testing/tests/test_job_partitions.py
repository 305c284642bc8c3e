"""Gangs while a failure domain or a home leader is cut off or frozen."""

import pathlib
import time

import pytest
import trio

from laburnumsill.core import hashing
from laburnumsill.testing import cluster
from laburnumsill.testing import gang_history
from laburnumsill.testing import job_calls
from laburnumsill.testing import proxy as proxies

DROP = proxies.Fault(mode=proxies.Mode.DROP)
PAST_LEASES_S = gang_history.LEASE_S + 2.0
STALE_ORDERS_S = 3.0
"""What a leader has left to send when it is back has arrived by then."""

TAKEOVER_SPREAD_S = 3.0 + 2 * gang_history.LEASE_S
"""A new leader is there, finds within a lease that a member is lost, and the
lease of a member that hears no stop ends."""

DOMAIN = cluster.Layout(
    domains={"north": 2, "east": 1}, workers=4, bare=frozenset({"east"})
)
"""Two voters of the group of `north` are in it, one is in `east`."""

TWO = cluster.Layout(domains={"north": 2, "east": 2}, workers=3, near_only=True)
OWED = {
    "lakeside": {"north": {"workers": 3}},
    "golf": {"east": {"workers": 3}},
}


def key_in(domain, account, site, salt):
    """Returns a key that this domain keeps the home of."""
    domains = sorted({site.domain_of(vm_id) for vm_id in site.vm_ids})
    return next(
        f"{salt}-{number}"
        for number in range(1_000)
        if hashing.rendezvous(f"{account}/{salt}-{number}", domains) == domain
    )


async def begin(site, domain, account, salt, run_s, tasks=2, accelerators=8):
    """Submits a guaranteed gang in its home domain, through its VMs."""
    return await job_calls.submit_until_accepted(
        site,
        key_in(domain, account, site, salt),
        tasks,
        accelerators,
        run_s,
        site.vms_of(domain),
        account=account,
        guaranteed=True,
    )


async def test_a_domain_cut_off_goes_on_and_both_sides_agree(
    tmp_path: pathlib.Path,
):
    async with cluster.running(tmp_path, TWO) as site:
        await job_calls.start_site(site, OWED)
        sides = {"north": "lakeside", "east": "golf"}
        home = {}
        members = {}
        for domain, account in sides.items():
            job = await begin(site, domain, account, "before", 12.0)
            home[job], members[job] = domain, 2
            await job_calls.until_state(site, job, "running")
        site.isolate(site.vms_of("north"), DROP)
        cut_at = time.time()
        await trio.sleep(2.0)
        for domain, account in sides.items():
            job = await begin(site, domain, account, "during", 1.0, 2, 4)
            home[job], members[job] = domain, 2
        for job, domain in home.items():
            await job_calls.until_state(
                site, job, "succeeded", vm_ids=site.vms_of(domain)
            )
        cut_s = time.time() - cut_at
        site.heal()

        async def agreed():
            views = [
                [
                    await job_calls.view_of(site, job, [vm_id])
                    for vm_id in site.vm_ids
                ]
                for job in home
            ]
            return all(
                view is not None and view == first
                for first, *others in views
                for view in [first, *others]
            )

        await site.until(agreed, "all VMs tell the same of all jobs")
        resent = await job_calls.submit_until_accepted(
            site,
            key_in("north", "lakeside", site, "during"),
            2,
            4,
            1.0,
            site.vms_of("east"),
            account="lakeside",
            guaranteed=True,
        )
        assert resent in home
        history = gang_history.check_gangs(site, members)
        print(f"cut off for {cut_s:.1f} s; epochs: {sorted(history)}")


async def run_gang(site):
    """Starts a gang; returns it, its leader and its members' workers."""
    job = await job_calls.submit_until_accepted(site, "g", 2, 8, 600.0)
    await job_calls.until_state(site, job, "running")
    view = await job_calls.view_of(site, job)
    leader = await site.until_led("domain.north", site.vm_ids)
    return job, leader, view["workers"]


async def until_epoch(site, job, epoch, tasks=2):
    """Waits until a later epoch of a job runs whole."""

    async def runs():
        return any(
            name == job and known >= epoch and len(parts) == tasks
            for (name, known), parts in gang_history.intervals(site).items()
        )

    await site.until(runs, f"{job} runs under epoch {epoch}", 60)


@pytest.mark.parametrize("frozen", [False, True])
async def test_a_leader_cut_off_prolongs_no_lease(
    tmp_path: pathlib.Path, frozen: bool
):
    async with cluster.running(tmp_path, DOMAIN) as site:
        await job_calls.start_site(site, bad_worker_jobs=1)
        job, leader, (dead, deaf) = await run_gang(site)
        # Only its lease can end the task of a worker that hears no stop.
        deafness = {"hang": ["stop", "prepare"]}
        await job_calls.behave(site, deafness, [deaf])
        if frozen:
            site.process(leader).pause()
        else:
            # It still reaches the workers.
            site.isolate([leader], DROP)
        site.process(dead).kill()
        killed = {dead: time.time()}
        # No earlier than all leases of the first epoch have ended.
        await until_epoch(site, job, 2)
        if frozen:
            site.process(leader).resume()
        else:
            site.heal()
        await trio.sleep(STALE_ORDERS_S)
        gang_history.check_gangs(
            site, {job: 2}, killed, stop_spread_s=TAKEOVER_SPREAD_S
        )


async def test_a_quorum_frozen_past_its_leases_stops_its_gangs_whole(
    tmp_path: pathlib.Path,
):
    async with cluster.running(tmp_path, DOMAIN) as site:
        await job_calls.start_site(site)
        job, leader, _ = await run_gang(site)
        other = next(vm_id for vm_id in site.vm_ids if vm_id != leader)
        for vm_id in (leader, other):
            site.process(vm_id).pause()
        await trio.sleep(PAST_LEASES_S)
        ended = gang_history.lines(site, "ended")
        assert [x["reason"] for x in ended] == ["lease-ended"] * 2, ended
        for vm_id in (leader, other):
            site.process(vm_id).resume()
        await until_epoch(site, job, 2)
        gang_history.check_gangs(site, {job: 2})
