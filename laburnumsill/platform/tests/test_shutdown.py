"""Calls around the shutdown of a role's process, see `role_processes`.

The callers keep their connections and send the next call a moment after each
answer. They open no connection to a VM that the balancer has taken out.
"""

import os
import signal

import pytest
import trio

from laburnumsill.platform.tests import crowds
from laburnumsill.platform.tests import role_processes
from laburnumsill.platform.tests import standin
from laburnumsill.testing import kept_connections

CALLERS = 40
WARM_UP_S = 1.5
"""Time until all callers call."""

LATE_S = 1.0
"""Time by which the last bytes of a body are late."""

PROBE_INTERVAL_S = 1.0
"""Interval of the balancer's readiness probes, as on the users' platform."""

MISSES = 2
"""Failed probes after which the balancer directs no connection to an entry."""


def submission_in_pieces(number: int) -> kept_connections.Call:
    whole = crowds.submission(number)
    body = whole.pieces[0]
    pieces = (body[:-5], body[-5:])
    return kept_connections.Call(whole.method, whole.path, pieces, LATE_S)


def configuration_query(number: int) -> kept_connections.Call:
    return kept_connections.Call("GET", "/-/config")


async def follow_readiness(
    site: role_processes.ProcessSite, crowd: kept_connections.Crowd
) -> None:
    """Lets no caller connect any more once the entry has been unready."""
    balancer = standin.Caller([site.readiness_address])
    misses = 0
    while misses < MISSES:
        await trio.sleep(PROBE_INTERVAL_S)
        status, _ = await balancer.call("GET", "/-/ready")
        misses = 0 if status == 200 else misses + 1
    crowd.connects = False
    await balancer.aclose()


async def shut_down_entry(
    site: role_processes.ProcessSite,
    crowd: kept_connections.Crowd,
    *,
    is_last: bool = False,
    reloads: bool = False,
) -> None:
    """Shuts the entry down under calls, and checks what it has accepted.

    Args:
        site: The site.
        crowd: The callers.
        is_last: Whether the balancer has no other entry to choose.
        reloads: Whether the process is told to reload its settings before.
    """
    entry = site.processes[role_processes.ENTRY]
    async with trio.open_nursery() as nursery:
        nursery.start_soon(crowd.run, CALLERS)
        await trio.sleep(WARM_UP_S)
        if reloads:
            os.kill(entry.pid, signal.SIGHUP)
        entry.terminate()
        if not is_last:
            nursery.start_soon(follow_readiness, site, crowd)
        assert await site.until_ended(role_processes.ENTRY) == 0
        crowd.connects = False
    assert crowd.accepted
    assert "event=call-cut" not in entry.log_text()
    await site.restart(role_processes.ENTRY)
    for path in crowd.accepted[-CALLERS:]:
        await site.callers.until(200, "GET", path)


async def test_no_call_in_pieces_is_cut_by_the_shutdown_of_an_entry(tmp_path):
    async with role_processes.running(tmp_path) as site:
        crowd = crowds.crowd(site.entry_address, submission_in_pieces)
        await shut_down_entry(site, crowd)
        assert crowd.lost == []


@pytest.mark.parametrize("reloads", [False, True])
async def test_no_call_is_cut_by_the_shutdown_of_the_last_entry(
    tmp_path, reloads
):
    """A connection that the process has not accepted may be reset at once."""
    async with role_processes.running(tmp_path) as site:
        crowd = crowds.crowd(site.entry_address)
        await shut_down_entry(site, crowd, is_last=True, reloads=reloads)
        assert [one for one in crowd.lost if one.may_have_been_read] == []


async def test_no_call_is_cut_by_the_shutdown_of_a_core_vm(tmp_path):
    async with role_processes.running(tmp_path) as site:
        vm = role_processes.CORE[0]
        address = site.control_address(vm)
        crowd = crowds.crowd(address, configuration_query)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(crowd.run, CALLERS)
            await trio.sleep(WARM_UP_S)
            crowd.connects = False
            site.processes[vm].terminate()
            assert await site.until_ended(vm) == 0
        assert crowd.statuses
        assert crowd.lost == []
