"""Gangs on workers that are out of reach or refuse one step for good."""

import pathlib

from laburnumsill.testing import cluster
from laburnumsill.testing import gang_history
from laburnumsill.testing import job_calls

SITE = cluster.Layout(domains={"north": 3}, workers=3)
LONG_LEASE_S = 10.0
"""Longer than a silent worker stays in the member table."""

STOPPED_WITHIN_S = 3.0
"""What was started is stopped so soon after another start was refused."""

MANY_JOBS = 60
FEW_STARTS = 5
"""Starts on a worker that fails everything, until it is set aside."""

ALL_CALLS = ("prepare", "start", "renew", "checkpoint", "throttle", "stop")


async def test_a_worker_out_of_reach_is_succeeded_only_after_its_lease(
    tmp_path: pathlib.Path,
):
    async with cluster.running(tmp_path, SITE) as site:
        await job_calls.start_site(site, lease_s=LONG_LEASE_S)
        job = await job_calls.submit_until_accepted(site, "g1", 2, 8, 12)
        await job_calls.until_state(site, job, "running")

        async def all_run():
            return len(gang_history.lines(site, "running")) == 2

        await site.until(all_run, "both members run")
        lost = gang_history.lines(site, "running")[0]["worker"]
        await job_calls.behave(
            site, {"hang": ALL_CALLS, "announcing": False}, [lost]
        )
        await job_calls.until_state(site, job, "stopping", "queued")
        await job_calls.until_state(site, job, "succeeded")
        gang_history.check_prepared_first(site, {job: 2})
        history = gang_history.intervals(site)
        first, second = (history[key] for key in sorted(history))
        assert len(first) == len(second) == 2
        assert max(end for _, end in first) <= min(b for b, _ in second)
        ended = [
            line["reason"]
            for line in gang_history.lines(site, "ended")
            if line["worker"] == lost
        ]
        assert ended == ["lease-ended"]


async def test_a_refused_prepare_starts_no_member_of_the_gang(
    tmp_path: pathlib.Path,
):
    async with cluster.running(tmp_path, SITE) as site:
        await job_calls.start_site(site)
        await job_calls.behave(
            site, {"refuse": ["prepare"]}, ["worker-north-1"]
        )
        job = await job_calls.submit_until_accepted(site, "g1", 3, 8, 30)

        async def prepared_twice():
            lines = gang_history.lines(site, "prepared")
            return len({line["epoch"] for line in lines}) >= 2

        await site.until(prepared_twice, "the gang is tried twice")
        assert not gang_history.lines(site, "running")
        gang_history.check_gangs(site, {job: 3})


async def test_a_refused_start_stops_the_members_that_have_started(
    tmp_path: pathlib.Path,
):
    async with cluster.running(tmp_path, SITE) as site:
        await job_calls.start_site(site)
        await job_calls.behave(site, {"refuse": ["start"]}, ["worker-north-1"])
        job = await job_calls.submit_until_accepted(site, "g1", 3, 8, 30)

        async def ended_twice():
            lines = gang_history.lines(site, "ended")
            return len({line["epoch"] for line in lines}) >= 2

        await site.until(ended_twice, "the gang is stopped twice")
        started = gang_history.lines(site, "running")
        assert started
        assert {line["worker"] for line in started}.isdisjoint(
            {"worker-north-1"}
        )
        ended = {
            line["task_id"]: line["at"]
            for line in gang_history.lines(site, "ended")
        }
        for line in started:
            if line["epoch"] == 1:
                took = ended[line["task_id"]] - line["at"]
                assert took <= STOPPED_WITHIN_S, line
        gang_history.check_prepared_first(site, {job: 3})


async def test_a_worker_that_fails_everything_gets_few_of_a_long_queue(
    tmp_path: pathlib.Path,
):
    async with cluster.running(tmp_path, SITE) as site:
        await job_calls.start_site(site)
        bad = "worker-north-0"
        await job_calls.behave(site, {"crash_starts": True}, [bad])
        jobs = [
            await job_calls.submit_until_accepted(site, f"q{n}", 1, 8, 0.1)
            for n in range(MANY_JOBS)
        ]
        for job in jobs:
            await job_calls.until_state(site, job, "succeeded", timeout_s=90)
        starts = [
            line
            for line in gang_history.lines(site, "running")
            if line["worker"] == bad
        ]
        assert 0 < len(starts) <= FEW_STARTS
