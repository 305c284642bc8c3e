"""What the watch for jobs that stand still sees of a soak's site."""

import contextlib
import pathlib
from collections import abc

import pytest
import trio

from laburnumsill.batch import model
from laburnumsill.batch import worker_client
from laburnumsill.platform.tests import standin
from laburnumsill.platform.tests.soak import site as sites
from laburnumsill.platform.tests.soak import standing_watch
from laburnumsill.platform.tests.soak import witness as witnesses

LONG_ENOUGH_S = 8.0
LEASE_MS = 9_000
STEP = model.Step(1, model.Resources(1_000, 1_000, 1))


@contextlib.asynccontextmanager
async def watched(
    folder: pathlib.Path, job_id: str = "job-0"
) -> abc.AsyncIterator[tuple[sites.SoakSite, standing_watch.StandingWatch]]:
    """Watches a site without daemons that owes a job and has a worker."""
    async with trio.open_nursery() as nursery:
        site = sites.SoakSite(folder, 1, nursery)
        witness = witnesses.Witness(site)
        witness.queue_pools.record_acknowledged(standin.configuration(1))
        terms = model.QueueTerms(standin.POOL, 2, 3)
        job = model.Job(job_id, "batch", "", "", (STEP,), terms)
        site.oracle.submitted(job)
        fate = witnesses.Fate(job, f"/batch/{job_id}", accepted_at=0.0)
        witness.fates.append(fate)
        worker = site.pool.add(
            model.Worker("w", standin.POOL, "", "d-r0", sites.CAPACITY)
        )
        site.announcers["w"] = sites.Announcer(standin.ExecutorApp(worker))
        watch = standing_watch.StandingWatch(site, witness)
        nursery.start_soon(watch.run)
        yield site, watch
        watch.close()
        await witness.aclose()
        await site.operator.aclose()
        nursery.cancel_scope.cancel()


def start(site: sites.SoakSite, job_id: str = "job-0") -> None:
    """Starts the only task of a job on the worker."""
    run = model.RunId(model.TaskId(job_id, 0, 0, 0), 1)
    worker = site.announcers["w"].app.worker
    lease_ms = worker.clock_ms + LEASE_MS
    worker.start(worker_client.StartOrder(run, "", "", lease_ms, 1), False)


async def test_a_job_that_nothing_runs_stands(tmp_path, autojump_clock):
    async with watched(tmp_path) as (_, watch):
        await trio.sleep(LONG_ENOUGH_S)
    (line,) = watch.findings.broken
    assert "LOST /batch/job-0" in line
    assert "room=8" in line


async def test_a_job_that_a_worker_runs_moves(tmp_path, autojump_clock):
    async with watched(tmp_path) as (site, watch):
        start(site)
        await trio.sleep(LONG_ENOUGH_S)
    assert watch.findings.broken == []
    assert watch.findings.judged[-1] == pytest.approx(1 / 8)


async def test_a_crash_excuses_a_stand_which_is_counted(
    tmp_path, autojump_clock
):
    async with watched(tmp_path) as (site, watch):
        start(site)
        site.announcers["w"].app.worker.crash()
        await trio.sleep(LONG_ENOUGH_S)
    assert watch.findings.broken == []
    assert watch.findings.beside_crash_count == 1


async def test_jobs_that_are_cancelled_or_ended_are_not_owed(
    tmp_path, autojump_clock
):
    async with trio.open_nursery() as nursery:
        witness = witnesses.Witness(sites.SoakSite(tmp_path, 1, nursery))
        job = model.Job(
            "0", "batch", "", "", (STEP,), model.QueueTerms("", 2, 3)
        )
        owed = witnesses.Fate(job, "/batch/0", accepted_at=0.0)
        witness.fates += [
            owed,
            witnesses.Fate(job, "/batch/0"),
            witnesses.Fate(job, "/batch/0", 0.0, cancel_sent=True),
            witnesses.Fate(job, "/batch/0", 0.0, final="failed"),
        ]
        assert witness.owed() == [owed]


@pytest.mark.parametrize("is_evacuated", [False, True])
async def test_rooms_of_an_evacuated_domain_do_not_count(
    tmp_path, autojump_clock, is_evacuated
):
    async with watched(tmp_path) as (site, watch):
        if is_evacuated:
            site.evacuating.add("d-r0")
        await trio.sleep(LONG_ENOUGH_S)
    assert len(watch.findings.broken) == (0 if is_evacuated else 1)


async def test_a_draining_worker_has_no_room(tmp_path, autojump_clock):
    async with watched(tmp_path) as (site, watch):
        site.announcers["w"].state = "draining"
        await trio.sleep(LONG_ENOUGH_S)
    assert watch.findings.broken == []


async def test_a_disturbance_excuses_a_stand(tmp_path, autojump_clock):
    async with watched(tmp_path) as (site, watch):
        await trio.sleep(2.0)
        with site.disturbances.disturbance():
            await trio.sleep(LONG_ENOUGH_S)
        await trio.sleep(6.0)
    assert watch.findings.broken == []
