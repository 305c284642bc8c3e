"""Detection of faulty workers by a sequential probability ratio test.

The test tells faulty workers, which fail nearly all their runs, from jobs that
fail on any worker. Each failure ends a whole gang, so a worker that is detected
at its first failure, not at its second, saves a gang. The weight of a failure
depends on the failure rate of its queue on healthy workers and on the number of
workers that were recently confirmed as faulty; both are observed.

References:
    A. Wald, "Sequential Tests of Statistical Hypotheses", The Annals of
    Mathematical Statistics 16(2), 1945.
"""

import collections
import dataclasses
from collections import abc

FAULTY_FAILURE_RATE = 0.8
"""Assumed failure rate of runs on a faulty worker."""

QUARANTINE_ODDS = 0.25
"""Odds of being faulty from which a worker is quarantined. They are below 1,
since a quarantine of a healthy worker for seconds costs less than the failure
of a gang."""

PRIOR_WORKERS = 100
"""Prior share of faulty workers: one in this number."""

PRIOR_RUNS = 20
"""Prior failure rate of runs on healthy workers: one in this number."""

QUEUE_PRIOR_RUNS = 2.0
"""Weight of the failure rate of a queue as the prior for a job, in runs."""

CONFIRMED_WINDOW_S = 10.0
"""Sliding window in which confirmed faulty workers raise the prior odds."""


@dataclasses.dataclass(slots=True)
class _RunCounts:
    """Counts of the ended runs of a job, or of a queue on healthy workers.

    Attributes:
        all: Number of ended runs.
        failed: Number of those that failed.
    """

    all: int = 0
    failed: int = 0


@dataclasses.dataclass(slots=True)
class _Suspicion:
    """The evidence against a worker since its last success.

    Attributes:
        queues: Queue of each job that failed on the worker, by job id.
        ratio: Likelihood ratio of these failures: faulty to healthy worker.
        is_confirmed: Whether failures of several jobs led to a quarantine.
    """

    queues: dict[str, str] = dataclasses.field(default_factory=dict)
    ratio: float = 1.0
    is_confirmed: bool = False


class FailureEvidence:
    """Evidence from the ends of runs on whether workers are faulty.

    Examples:
        >>> evidence = FailureEvidence()
        >>> evidence.record_failure("w", "q", "a", 0.0)
        False
        >>> evidence.record_failure("w", "q", "b", 1.0)
        True
        >>> for number in range(400):
        ...     worker_id = f"w{number % 20}"
        ...     evidence.record_success(worker_id, "reliable", f"j{number}")
        >>> evidence.record_failure("w1", "reliable", "c", 2.0)
        True
    """

    def __init__(self) -> None:
        self._queues: dict[str, _RunCounts] = collections.defaultdict(
            _RunCounts
        )
        self._jobs: dict[str, _RunCounts] = collections.defaultdict(_RunCounts)
        self._suspicions: dict[str, _Suspicion] = {}
        self._workers: set[str] = set()
        self._confirmed: collections.deque[float] = collections.deque()

    def record_success(self, worker_id: str, queue: str, job_id: str) -> None:
        """Records the success of a run, which clears its worker.

        The earlier failures on the worker then count as failures on a healthy
        worker, that is, against the queues of their jobs.
        """
        self._workers.add(worker_id)
        self._jobs[job_id].all += 1
        self._queues[queue].all += 1
        suspicion = self._suspicions.pop(worker_id, None)
        if suspicion is not None:
            for other in suspicion.queues.values():
                self._queues[other].all += 1
                self._queues[other].failed += 1

    def record_failure(
        self, worker_id: str, queue: str, job_id: str, now: float
    ) -> bool:
        """Records the failure of a run.

        The failures of one job on a worker count only once against it.

        Returns:
            Whether the worker is to be quarantined.
        """
        self._workers.add(worker_id)
        suspicion = self._suspicions.setdefault(worker_id, _Suspicion())
        if job_id not in suspicion.queues:
            suspicion.queues[job_id] = queue
            suspicion.ratio *= FAULTY_FAILURE_RATE / self._healthy_failure_rate(
                queue, job_id
            )
        counts = self._jobs[job_id]
        counts.all += 1
        counts.failed += 1
        odds = self._prior_odds(now) * suspicion.ratio
        if odds < QUARANTINE_ODDS:
            return False
        if len(suspicion.queues) > 1 and not suspicion.is_confirmed:
            suspicion.is_confirmed = True
            self._confirmed.append(now)
        return True

    def keep_jobs(self, jobs: abc.Container[str]) -> None:
        """Deletes the counts of all jobs that are not in `jobs`."""
        for job_id in [job for job in self._jobs if job not in jobs]:
            del self._jobs[job_id]

    def keep_workers(self, workers: abc.Container[str]) -> None:
        """Deletes the evidence on all workers that are not in `workers`."""
        for worker_id in [one for one in self._workers if one not in workers]:
            self._workers.discard(worker_id)
            self._suspicions.pop(worker_id, None)

    def _healthy_failure_rate(self, queue: str, job_id: str) -> float:
        """Returns the expected failure rate of a job on healthy workers.

        A job that has failed on other workers has a higher rate, so its
        failures are weak evidence against a worker.
        """
        queue_counts = self._queues[queue]
        prior = (queue_counts.failed + 1) / (queue_counts.all + PRIOR_RUNS)
        counts = self._jobs[job_id]
        rate = (counts.failed + QUEUE_PRIOR_RUNS * prior) / (
            counts.all + QUEUE_PRIOR_RUNS
        )
        return min(rate, FAULTY_FAILURE_RATE)

    def _prior_odds(self, now: float) -> float:
        """Returns the odds that a worker is faulty, before any evidence."""
        while self._confirmed and self._confirmed[0] < now - CONFIRMED_WINDOW_S:
            self._confirmed.popleft()
        return (len(self._confirmed) + 1) / (len(self._workers) + PRIOR_WORKERS)
