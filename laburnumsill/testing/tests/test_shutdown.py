"""Calls on kept connections around the shutdown of one VM.

The callers send the next call a moment after each answer. They open no
connection once the balancer has taken the VM out.
"""

import pytest
import trio

from laburnumsill.testing import cluster
from laburnumsill.testing import scenario
from laburnumsill.testing.tests import kept_callers

SITE = cluster.Layout(servers=1, workers=1)
CALLERS = 40
MANY_CALLERS = 200
TAKEN_OUT_S = 0.4
"""Time after the signal by which the balancer directs no more connections."""


def late_offer(number: int) -> kept_callers.Call:
    return kept_callers.in_pieces(kept_callers.offer(number), 0.3)


async def shut_down(
    site: cluster.Cluster,
    vm_id: str,
    crowd: kept_callers.Crowd,
    callers: int = CALLERS,
) -> None:
    """Shuts one VM down while the crowd calls it."""
    process = site.process(vm_id)

    async def all_called() -> bool:
        return sum(crowd.statuses.values()) >= 2 * callers

    async with trio.open_nursery() as nursery:
        nursery.start_soon(crowd.run, callers)
        await site.until(all_called, "the callers are answered")
        process.terminate()
        await trio.sleep(TAKEN_OUT_S)
        crowd.connects = False
        assert await trio.to_thread.run_sync(process.wait) == 0


@pytest.mark.parametrize(
    "calls",
    [
        kept_callers.readiness,
        kept_callers.configuration,
        kept_callers.offer,
        kept_callers.confirmation,
        kept_callers.job,
        late_offer,
    ],
)
async def test_a_shutdown_ends_no_kept_connection_under_a_call(tmp_path, calls):
    async with cluster.running(tmp_path, SITE) as site:
        await scenario.start_site(site)
        crowd = kept_callers.Crowd(site.address("vm1"), calls)
        await shut_down(site, "vm1", crowd)
        assert crowd.lost == []


async def test_a_shutdown_resets_no_connection_that_waits_to_be_accepted(
    tmp_path,
):
    async with cluster.running(tmp_path, SITE) as site:
        await scenario.start_site(site)
        address = site.address("vm1")
        crowd = kept_callers.Crowd(address, kept_callers.readiness)
        await shut_down(site, "vm1", crowd, callers=MANY_CALLERS)
        assert crowd.lost == []
