"""Telling bad workers from bad jobs.

A worker on which several distinct jobs failed is bad; a job that failed on
several distinct workers is bad. Each failure counts for both at first. Once
a job has failed on `SUSPECT_WORKERS` workers its failures are held against
no worker, and a failure on a worker that was set aside is not held against
the job.
"""

import dataclasses

from laburnumsill.state import jobs_pool
from laburnumsill.state import placements
from laburnumsill.state import workers

SUSPECT_WORKERS = 2
"""Distinct workers on which a job fails before it is the one suspected."""

ASIDE_S = 60.0
"""Seconds that a worker is set aside for the first time; then doubled."""

MAX_ASIDE_S = 3_600.0
"""Longest time in seconds that a worker is set aside at once."""

TOTAL_TRIES_FACTOR = 4
"""A job ends after this many times its tries, whoever was to blame."""


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """The limits of the job policy that a failure is judged by."""

    max_tries: int
    bad_worker_jobs: int


def blame_worker(
    job: placements.Job,
    worker: workers.WorkerRecord,
    limits: Limits,
    now: float,
) -> bool:
    """Counts a failure of a job against a worker.

    Returns:
        Whether the worker was set aside for it.
    """
    if len(set(job.failed_on)) >= SUSPECT_WORKERS:
        return False
    if job.job_id not in worker.failed_jobs:
        worker.failed_jobs.append(job.job_id)
    on_trial = worker.asides > 0
    if not on_trial and len(worker.failed_jobs) < limits.bad_worker_jobs:
        return False
    pause = min(MAX_ASIDE_S, ASIDE_S * 2.0**worker.asides)
    worker.aside_until = now + pause
    worker.asides = min(worker.asides + 1, 16)
    worker.failed_jobs.clear()
    return True


def blame_job(
    job: placements.Job, worker_id: str, pool: jobs_pool.Pool
) -> None:
    """Counts a failure on a worker against a job."""
    job.failed_on.append(worker_id)
    if len(set(job.failed_on)) < SUSPECT_WORKERS:
        return
    for name in set(job.failed_on):
        worker = pool.workers.get(name)
        if worker is not None and job.job_id in worker.failed_jobs:
            worker.failed_jobs.remove(job.job_id)


def praise(worker: workers.WorkerRecord) -> None:
    """Counts a success: what went wrong on the worker before is forgiven."""
    worker.failed_jobs.clear()
    worker.asides = 0


def is_hopeless(
    job: placements.Job, pool: jobs_pool.Pool, limits: Limits
) -> bool:
    """Returns whether a job has failed too often to be tried again."""
    own = 0
    for name in job.failed_on:
        worker = pool.workers.get(name)
        if worker is None or not worker.asides:
            own += 1
    if own >= limits.max_tries:
        return True
    return len(job.failed_on) >= limits.max_tries * TOTAL_TRIES_FACTOR
