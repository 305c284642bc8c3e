"""Telling bad workers from bad jobs, step by step."""

from laburnumsill.core import members
from laburnumsill.state import jobs_health
from laburnumsill.state import jobs_messages
from laburnumsill.state import jobs_pool
from laburnumsill.state import placements
from laburnumsill.state import workers

LIMITS = jobs_health.Limits(max_tries=3, bad_worker_jobs=3)


def pool_of(*names):
    pool = jobs_pool.Pool()
    for name in names:
        announced = members.Worker(
            worker_id=name,
            domain="north",
            rack="r1",
            address="127.0.0.1:1",
            cores=32,
            memory_gb=128,
            accelerators=8,
            incarnation="1",
            sequence=1,
            leaving=False,
        )
        pool.put(workers.WorkerRecord(announced))
    return pool


def jobs_of(count):
    spec = jobs_messages.JobSpec("lakeside")
    return [
        placements.Job(f"j{n}", "", spec, n, submitted_at=0.0, queued_at=0.0)
        for n in range(count)
    ]


def fail(job, name, pool, now=0.0):
    """Lets a job fail on a worker; returns who came back."""
    back = jobs_health.blame_job(job, name, pool, LIMITS)
    jobs_health.blame_worker(job, pool.workers[name], LIMITS, now)
    return back


def test_a_burst_of_bad_jobs_condemns_no_worker():
    pool = pool_of("w0", "w1")
    jobs = jobs_of(5)
    for job in jobs:
        fail(job, "w0", pool)
    assert pool.workers["w0"].aside_until
    back = [fail(job, "w1", pool) for job in jobs]
    assert ["w0"] in back
    for worker in pool.workers.values():
        assert worker.usable
        assert not worker.asides
        assert not worker.failed_jobs
    assert jobs_health.is_hopeless(jobs[0], pool, LIMITS) is False
    fail(jobs[0], "w1", pool)
    assert jobs_health.is_hopeless(jobs[0], pool, LIMITS)


def test_two_bad_workers_are_set_aside_once_their_jobs_succeed_elsewhere():
    pool = pool_of("w0", "w1", "w2")
    for job in jobs_of(3):
        fail(job, "w0", pool)
        fail(job, "w1", pool)
        assert pool.workers["w0"].usable
        jobs_health.praise(pool.workers["w2"])
        jobs_health.acquit(job, pool, LIMITS, 1.0)
    assert not pool.workers["w0"].usable
    assert not pool.workers["w1"].usable
    assert pool.workers["w2"].usable


def test_a_worker_on_trial_is_set_aside_by_one_failure():
    pool = pool_of("w0", "w1")
    worker = pool.workers["w0"]
    jobs = jobs_of(4)
    for job in jobs[:3]:
        fail(job, "w0", pool)
    jobs_health.give_trial(worker)
    assert worker.usable
    fail(jobs[3], "w0", pool, now=100.0)
    assert worker.aside_until == 100.0 + 2 * jobs_health.ASIDE_S
    assert fail(jobs[3], "w1", pool) == ["w0"]
    assert worker.asides == 1


def test_a_worker_that_gives_no_answer_is_set_aside_by_one_job():
    worker = pool_of("w0").workers["w0"]
    (job,) = jobs_of(1)
    aside = [
        jobs_health.blame_worker(job, worker, LIMITS, 0.0, silent=True)
        for _ in range(LIMITS.bad_worker_jobs)
    ]
    assert aside == [False, False, True]
    assert not job.failed_on
