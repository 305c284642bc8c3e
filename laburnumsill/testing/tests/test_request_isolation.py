"""Classes and client accounts under overload, with real processes.

A request takes 400 ms at a fake backend server, so that the three servers'
24 slots give 60 requests a second, and waits stand out from the noise of
the machine. The bounds leave room for that noise; `bench/isolation.py`
measures the ratio itself.
"""

import pathlib

import trio

from laburnumsill.testing import cluster
from laburnumsill.testing import load
from laburnumsill.testing import scenario

SITE = cluster.Layout(servers=1)
DELAY_MS = 400
SLOTS = 24
OVERLOAD = 5
SECONDS = 12.0
URGENT_PER_S = 3.0
"""Slot offers, and as many confirmations, through each VM."""

BOUND = 3
SLACK_MS = 50


async def send(site, vm_id, request_class, account, tally, *options):
    """Adds what comes of requests of one class to `tally`."""
    headers = {
        "Laburnumsill-Class": request_class,
        "Laburnumsill-Account": account,
    }
    path = scenario.SERVICE_PATH + "/run"
    tally.add(
        await load.run_process(site.address(vm_id), path, headers, *options)
    )


async def urgent(site):
    """Returns the results of offers and confirmations sent for a while."""
    tallies = {"offer": load.Result(), "confirm": load.Result()}
    options = [f"--rate={URGENT_PER_S}", f"--seconds={SECONDS}", "--keyed"]
    async with trio.open_nursery() as nursery:
        for name, tally in tallies.items():
            for vm in site.vm_ids:
                nursery.start_soon(
                    send, site, vm, name, scenario.ACCOUNT, tally, *options
                )
    return tallies


def flood(nursery, site, vm_ids, tally, outstanding, seconds):
    """Keeps so many pricing requests outstanding for a while."""
    options = [
        f"--clients={outstanding // len(vm_ids)}",
        f"--seconds={seconds}",
    ]
    for vm_id in vm_ids:
        nursery.start_soon(
            send, site, vm_id, "pricing", "golf", tally, *options
        )


async def test_pricing_never_holds_up_offers_and_confirmations(
    tmp_path: pathlib.Path,
):
    async with cluster.running(tmp_path, SITE) as site:
        await scenario.start_site(site)
        await scenario.behave(site, delay_ms=DELAY_MS)
        alone = await urgent(site)
        pricing = load.Result()
        async with trio.open_nursery() as nursery:
            flood(
                nursery,
                site,
                site.vm_ids,
                pricing,
                OVERLOAD * SLOTS,
                SECONDS + 5,
            )
            await trio.sleep(3)
            crowded = await urgent(site)
    print({name: tally.outcomes for name, tally in alone.items()})
    for name, tally in crowded.items():
        before, after = alone[name].percentile_ms(99), tally.percentile_ms(99)
        report = (
            f"{name}: p99 {after} ms with pricing, {before} ms without;"
            f" {tally.outcomes}; pricing {pricing.outcomes}"
        )
        print(report, tally.percentile_ms(50), alone[name].percentile_ms(50))
        assert tally.sent >= 80, report
        assert set(tally.outcomes) == {"answered"}, report
        assert after <= BOUND * before + SLACK_MS, report
    # A quarter of the slots at least is pricing's, or it would not move.
    least = SLOTS / 4 * SECONDS / (DELAY_MS / 1000)
    assert pricing.outcomes["answered"] >= least, pricing.outcomes


async def test_the_flood_of_one_account_does_not_push_out_another(
    tmp_path: pathlib.Path,
):
    async with cluster.running(tmp_path, SITE) as site:
        await scenario.start_site(site)
        await scenario.behave(site, delay_ms=DELAY_MS)
        alone, crowded, flooding = load.Result(), load.Result(), load.Result()

        async def one_caller(tally):
            options = ["--clients=1", "--seconds=6"]
            await send(
                site, "vm1", "pricing", scenario.ACCOUNT, tally, *options
            )

        await one_caller(alone)
        async with trio.open_nursery() as nursery:
            flood(nursery, site, ["vm1"], flooding, 60, 12)
            await trio.sleep(3)
            await one_caller(crowded)
    before, after = alone.percentile_ms(99), crowded.percentile_ms(99)
    report = f"p99 {after} ms beside a flood, {before} ms alone"
    print(report, crowded.outcomes, flooding.outcomes)
    assert set(crowded.outcomes) == {"answered"}, crowded.outcomes
    assert after <= BOUND * before + SLACK_MS, report
    assert flooding.outcomes["answered"] > 0
