"""Detection of faulty workers and faulty jobs.

A worker on which several distinct jobs failed is faulty and is quarantined; a
job that failed on several distinct workers is faulty and ends as failed. Each
failure is first counted against both. Once a job has failed on
`SUSPECT_WORKER_COUNT` workers, it is suspect: its failures count against no
worker, and a worker that was quarantined because of them is released. If the
job succeeds after all, its failures count against those workers again. A
failure on a worker that has been quarantined does not count against the
job's limit of tries.
"""

import dataclasses

from laburnumsill.state import jobs_pool
from laburnumsill.state import placements
from laburnumsill.state import workers

SUSPECT_WORKER_COUNT = 2
"""Distinct workers on which a job has failed when it becomes suspect."""

QUARANTINE_S = 60.0
"""Duration in seconds of a worker's first quarantine; doubles each time."""

MAX_QUARANTINE_S = 3_600.0
"""Limit of the duration in seconds of one quarantine."""

MAX_TOTAL_TRIES_FACTOR = 4
"""Multiple of a job's limit of tries at which the job ends, even if its
failures count against workers."""


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """Limits of the job policy for failures.

    Attributes:
        max_tries: Failed tries after which a job ends.
        bad_worker_jobs: Distinct jobs that fail on a worker before it is
            quarantined.
    """

    max_tries: int
    bad_worker_jobs: int


def blame_worker(
    job: placements.Job,
    worker: workers.WorkerRecord,
    limits: Limits,
    now: float,
    unanswered: bool = False,
) -> bool:
    """Counts a failure of a job against a worker.

    Args:
        job: The job.
        worker: The worker.
        limits: The limits of the job policy.
        now: Wall time.
        unanswered: Whether the worker did not answer. A job cannot cause
            that, so each time counts, even for the same job.

    Returns:
        Whether this failure starts a quarantine of the worker.
    """
    if unanswered:
        worker.failed_jobs.append(job.job_id)
    elif is_suspect(job):
        return False
    return _record_failure(job, worker, limits, now)


def _record_failure(
    job: placements.Job,
    worker: workers.WorkerRecord,
    limits: Limits,
    now: float,
) -> bool:
    """Counts a job against a worker; returns whether it is now quarantined."""
    if job.job_id not in worker.failed_jobs:
        worker.failed_jobs.append(job.job_id)
    if worker.aside_until:
        return False
    threshold = 1 if worker.asides else limits.bad_worker_jobs
    if len(worker.failed_jobs) < threshold:
        return False
    duration = min(MAX_QUARANTINE_S, QUARANTINE_S * 2.0**worker.asides)
    worker.aside_until = now + duration
    worker.asides = min(worker.asides + 1, 16)
    return True


def is_suspect(job: placements.Job) -> bool:
    """Returns whether a job's failures are attributed to the job itself."""
    return len(set(job.failed_on)) >= SUSPECT_WORKER_COUNT


def blame_job(
    job: placements.Job, worker_id: str, pool: jobs_pool.Pool, limits: Limits
) -> list[str]:
    """Counts a failure on a worker against a job.

    Returns:
        The workers released from quarantine, as too few failures remain.
    """
    job.failed_on.append(worker_id)
    if not is_suspect(job):
        return []
    released = []
    for name in sorted(set(job.failed_on)):
        worker = pool.workers.get(name)
        if worker is None or job.job_id not in worker.failed_jobs:
            continue
        worker.failed_jobs[:] = [
            other for other in worker.failed_jobs if other != job.job_id
        ]
        threshold = 1 if worker.asides > 1 else limits.bad_worker_jobs
        if worker.aside_until and len(worker.failed_jobs) < threshold:
            worker.aside_until = 0.0
            worker.asides = max(0, worker.asides - 1)
            released.append(name)
    return released


def reassign_failures(
    job: placements.Job, pool: jobs_pool.Pool, limits: Limits, now: float
) -> list[str]:
    """Counts a successful job's earlier failures against their workers.

    Returns:
        The workers that are quarantined by these failures.
    """
    quarantined = []
    ran_on = {slot.worker_id for slot in job.slots}
    for worker_id in sorted(set(job.failed_on) - ran_on):
        worker = pool.workers.get(worker_id)
        if worker is not None and _record_failure(job, worker, limits, now):
            quarantined.append(worker_id)
    return quarantined


def begin_probation(worker: workers.WorkerRecord) -> None:
    """Ends a quarantine; the next failure starts another one."""
    worker.aside_until = 0.0
    worker.failed_jobs.clear()


def record_success(worker: workers.WorkerRecord) -> None:
    """Clears the failures of a worker on which a job succeeded."""
    worker.failed_jobs.clear()
    worker.asides = 0


def tries_exhausted(
    job: placements.Job, pool: jobs_pool.Pool, limits: Limits
) -> bool:
    """Returns whether a job has reached its limit of failed tries.

    Failures on workers that have been quarantined do not count, except
    against `MAX_TOTAL_TRIES_FACTOR` times the limit.
    """
    own = 0
    for name in job.failed_on:
        worker = pool.workers.get(name)
        if worker is None or not worker.asides:
            own += 1
    if own >= limits.max_tries:
        return True
    return len(job.failed_on) >= limits.max_tries * MAX_TOTAL_TRIES_FACTOR
