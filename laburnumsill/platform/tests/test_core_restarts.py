"""Jobs around the ends of core VMs, see `role_processes`.

Callers submit jobs at an entry, over connections that they keep.
"""

import re

import pytest
import trio

from laburnumsill.platform.tests import crowds
from laburnumsill.platform.tests import role_processes
from laburnumsill.platform.tests import standin
from laburnumsill.testing import kept_connections
from laburnumsill.testing import processes

CALLERS = 20
PAUSE_S = 0.05
WARM_UP_S = 1.0
"""Time until all callers call."""

VERDICT_TIMEOUT_S = 60.0
"""Limit for the answer to one query, far above what it takes."""

FROZEN_S = 4.0
"""Longer than any submission may take."""

NO_VERDICT = (0, 503, 504)
"""Statuses of an answer to a query that says nothing of the job."""


_LEAD = re.compile(r"event=group-lead-confirmed .*term=(\d+)")


def leader(site: role_processes.ProcessSite) -> str:
    """Returns the core VM whose log has the newest term that it led."""
    newest = {}
    for vm in role_processes.CORE:
        terms = _LEAD.findall(site.processes[vm].log_text())
        newest[vm] = max(map(int, terms), default=0)
    return max(newest, key=lambda vm: newest[vm])


async def restart(site: role_processes.ProcessSite, vm: str) -> None:
    """Starts a core VM that has ended; returns once it reaches a leader."""
    await site.restart(vm)
    operator = standin.Caller([site.control_address(vm)])
    await operator.until(200, "GET", "/-/config", within=60.0)
    await operator.aclose()


async def answers_other_than(
    expected: int, site: role_processes.ProcessSite, paths: list[str]
) -> dict[str, int]:
    """Returns the status of each job that is not answered as expected."""
    others = {}
    for path in paths:
        status = 0
        with trio.fail_after(VERDICT_TIMEOUT_S):
            while status in NO_VERDICT:
                status, _ = await site.callers.call("GET", path)
                if status in NO_VERDICT:
                    await trio.sleep(PAUSE_S)
        if status != expected:
            others[path] = status
    return others


async def check_jobs(
    site: role_processes.ProcessSite, crowd: kept_connections.Crowd
) -> None:
    """Checks that each answer to a submission was true, and that all came."""
    assert crowd.accepted
    assert crowd.lost == []
    assert crowd.statuses.keys() <= {200, 503, 504}
    assert await answers_other_than(200, site, crowd.accepted) == {}
    assert await answers_other_than(410, site, crowd.refused) == {}


@pytest.mark.parametrize(
    "end", [processes.Process.terminate, processes.Process.kill]
)
async def test_what_a_caller_is_told_of_a_job_outlives_each_core_vm(
    tmp_path, end
):
    async with role_processes.running(tmp_path) as site:
        crowd = crowds.crowd(site.entry_address, pause_s=lambda: PAUSE_S)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(crowd.run, CALLERS)
            await trio.sleep(WARM_UP_S)
            for vm in role_processes.CORE:
                end(site.processes[vm])
                await site.until_ended(vm)
                await restart(site, vm)
            nursery.cancel_scope.cancel()
        await check_jobs(site, crowd)


@pytest.mark.parametrize("leader_ends", [False, True])
async def test_what_a_caller_is_told_holds_where_only_the_leader_has_the_job(
    tmp_path, leader_ends
):
    async with role_processes.running(tmp_path) as site:
        crowd = crowds.crowd(site.entry_address)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(crowd.run, CALLERS)
            await trio.sleep(WARM_UP_S)
            led = leader(site)
            others = [vm for vm in role_processes.CORE if vm != led]
            for vm in others:
                site.processes[vm].pause()
            await trio.sleep(FROZEN_S)
            nursery.cancel_scope.cancel()
        if leader_ends:
            site.processes[led].kill()
        for vm in others:
            site.processes[vm].resume()
        if leader_ends:
            await restart(site, led)
        await check_jobs(site, crowd)
