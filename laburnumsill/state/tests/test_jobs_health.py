"""Attribution of failures to faulty workers or faulty jobs."""

from laburnumsill.core import members
from laburnumsill.state import jobs_health
from laburnumsill.state import jobs_messages
from laburnumsill.state import jobs_pool
from laburnumsill.state import placements
from laburnumsill.state import workers

LIMITS = jobs_health.Limits(max_tries=3, bad_worker_jobs=3)


def new_pool(*names):
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


def new_jobs(count):
    spec = jobs_messages.JobSpec("lakeside")
    return [
        placements.Job(f"j{n}", "", spec, n, submitted_at=0.0, queued_at=0.0)
        for n in range(count)
    ]


def fail(job, name, pool, now=0.0):
    """Records a failure; returns the workers released from quarantine."""
    released = jobs_health.blame_job(job, name, pool, LIMITS)
    jobs_health.blame_worker(job, pool.workers[name], LIMITS, now)
    return released


def test_workers_quarantined_because_of_faulty_jobs_are_released():
    pool = new_pool("w0", "w1")
    jobs = new_jobs(5)
    for job in jobs:
        fail(job, "w0", pool)
    assert pool.workers["w0"].aside_until
    released = [fail(job, "w1", pool) for job in jobs]
    assert ["w0"] in released
    for worker in pool.workers.values():
        assert worker.usable
        assert not worker.asides
        assert not worker.failed_jobs
    assert jobs_health.tries_exhausted(jobs[0], pool, LIMITS) is False
    fail(jobs[0], "w1", pool)
    assert jobs_health.tries_exhausted(jobs[0], pool, LIMITS)


def test_faulty_workers_are_quarantined_once_their_jobs_succeed_elsewhere():
    pool = new_pool("w0", "w1", "w2")
    for job in new_jobs(3):
        fail(job, "w0", pool)
        fail(job, "w1", pool)
        assert pool.workers["w0"].usable
        jobs_health.record_success(pool.workers["w2"])
        jobs_health.reassign_failures(job, pool, LIMITS, 1.0)
    assert not pool.workers["w0"].usable
    assert not pool.workers["w1"].usable
    assert pool.workers["w2"].usable


def test_a_worker_on_probation_is_quarantined_by_one_failure():
    pool = new_pool("w0", "w1")
    worker = pool.workers["w0"]
    jobs = new_jobs(4)
    for job in jobs[:3]:
        fail(job, "w0", pool)
    jobs_health.begin_probation(worker)
    assert worker.usable
    fail(jobs[3], "w0", pool, now=100.0)
    assert worker.aside_until == 100.0 + 2 * jobs_health.QUARANTINE_S
    assert fail(jobs[3], "w1", pool) == ["w0"]
    assert worker.asides == 1


def test_a_worker_that_does_not_answer_is_quarantined_by_one_job():
    worker = new_pool("w0").workers["w0"]
    (job,) = new_jobs(1)
    quarantined = [
        jobs_health.blame_worker(job, worker, LIMITS, 0.0, unanswered=True)
        for _ in range(LIMITS.bad_worker_jobs)
    ]
    assert quarantined == [False, False, True]
    assert not job.failed_on
