"""Telling bad workers from bad jobs.

A worker on which several distinct jobs failed is bad; a job that failed on
several distinct workers is bad. Each failure counts for both at first. Once
a job has failed on `SUSPECT_WORKERS` workers its failures are held against
no worker, and one that was set aside because of it comes back; if the job
succeeds after all, they are held against those workers again. A failure on a
worker that was set aside is not held against the job.
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
    silent: bool = False,
) -> bool:
    """Counts a failure of a job against a worker.

    Args:
        job: The job.
        worker: The worker.
        limits: What a failure is judged by.
        now: Wall time.
        silent: Whether the worker gave no answer. No job is to blame for
            that, so each time counts, also with one job alone.

    Returns:
        Whether the worker was set aside for it.
    """
    if silent:
        worker.failed_jobs.append(job.job_id)
    elif is_suspect(job):
        return False
    return _hold_against(job, worker, limits, now)


def _hold_against(
    job: placements.Job,
    worker: workers.WorkerRecord,
    limits: Limits,
    now: float,
) -> bool:
    """Counts a job against a worker; returns whether that was too many."""
    if job.job_id not in worker.failed_jobs:
        worker.failed_jobs.append(job.job_id)
    if worker.aside_until:
        return False
    needed = 1 if worker.asides else limits.bad_worker_jobs
    if len(worker.failed_jobs) < needed:
        return False
    pause = min(MAX_ASIDE_S, ASIDE_S * 2.0**worker.asides)
    worker.aside_until = now + pause
    worker.asides = min(worker.asides + 1, 16)
    return True


def is_suspect(job: placements.Job) -> bool:
    """Returns whether a job's failures are put down to the job itself."""
    return len(set(job.failed_on)) >= SUSPECT_WORKERS


def blame_job(
    job: placements.Job, worker_id: str, pool: jobs_pool.Pool, limits: Limits
) -> list[str]:
    """Counts a failure on a worker against a job.

    Returns:
        The workers that come back: too little is left against them.
    """
    job.failed_on.append(worker_id)
    if not is_suspect(job):
        return []
    cleared = []
    for name in sorted(set(job.failed_on)):
        worker = pool.workers.get(name)
        if worker is None or job.job_id not in worker.failed_jobs:
            continue
        worker.failed_jobs[:] = [
            other for other in worker.failed_jobs if other != job.job_id
        ]
        needed = 1 if worker.asides > 1 else limits.bad_worker_jobs
        if worker.aside_until and len(worker.failed_jobs) < needed:
            worker.aside_until = 0.0
            worker.asides = max(0, worker.asides - 1)
            cleared.append(name)
    return cleared


def acquit(
    job: placements.Job, pool: jobs_pool.Pool, limits: Limits, now: float
) -> list[str]:
    """Counts a succeeding job's earlier failures against their workers.

    Returns:
        The workers that were set aside for it.
    """
    aside = []
    ran_on = {slot.worker_id for slot in job.slots}
    for worker_id in sorted(set(job.failed_on) - ran_on):
        worker = pool.workers.get(worker_id)
        if worker is not None and _hold_against(job, worker, limits, now):
            aside.append(worker_id)
    return aside


def give_trial(worker: workers.WorkerRecord) -> None:
    """Lets a worker that was set aside get work; one failure is enough."""
    worker.aside_until = 0.0
    worker.failed_jobs.clear()


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
