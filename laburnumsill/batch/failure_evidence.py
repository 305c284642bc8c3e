"""Telling failing workers from failing jobs by a sequential test.

The load that this is for: some workers fail whatever they run while gangs come.
Each failure ends a whole gang, so a worker that is told by its first failure,
and not by its second, saves one. What a failure proves depends on how often
runs of its queue fail on sound workers, and on how many workers were found to
fail lately; both are observed.

References:
    A. Wald, "Sequential Tests of Statistical Hypotheses", The Annals of
    Mathematical Statistics 16(2), 1945.
"""

import collections
import dataclasses
from collections import abc

FAILING_SHARE = 0.8
"""Share of its runs that a failing worker fails."""

ENOUGH_ODDS = 0.25
"""Odds that a worker fails from which it gets nothing: one sound worker that
rests for seconds costs less than a gang that is broken."""

ONE_IN_WORKERS = 100
"""One in so many workers is taken to fail before anything was seen."""

ONE_IN_RUNS = 20
"""One in so many runs is taken to fail on sound workers at first."""

JOB_WEIGHT = 2.0
"""What is known of a queue counts for a job like so many ends of its runs."""

LATELY_S = 10.0
"""Failing workers of the last seconds make others likelier to fail."""


@dataclasses.dataclass(slots=True)
class _Ends:
    """How many runs have ended on sound workers.

    Attributes:
        all: In all.
        failed: Those that failed.
    """

    all: int = 0
    failed: int = 0


@dataclasses.dataclass(slots=True)
class _Suspicion:
    """What speaks against a worker since it last did something.

    Attributes:
        queues: The queues of the jobs that failed there, by job.
        ratio: How much likelier these failures are on a failing worker.
        is_confirmed: Whether several jobs have shown that it fails.
    """

    queues: dict[str, str] = dataclasses.field(default_factory=dict)
    ratio: float = 1.0
    is_confirmed: bool = False


class FailureEvidence:
    """Weighs the ends of runs; see the module.

    Examples:
        >>> evidence = FailureEvidence()
        >>> evidence.failed("w", "q", "a", 0.0), evidence.failed(
        ...     "w", "q", "b", 1.0
        ... )
        (False, True)
        >>> for number in range(400):
        ...     evidence.done(f"w{number % 20}", "reliable", f"j{number}")
        >>> evidence.failed("w1", "reliable", "c", 2.0)
        True
    """

    def __init__(self) -> None:
        self._queues: dict[str, _Ends] = collections.defaultdict(_Ends)
        self._jobs: dict[str, _Ends] = collections.defaultdict(_Ends)
        self._suspicions: dict[str, _Suspicion] = {}
        self._workers: set[str] = set()
        self._confirmed: collections.deque[float] = collections.deque()

    def done(self, worker_id: str, queue: str, job_id: str) -> None:
        """Notes that a run has done its work, which clears its worker.

        What failed there before was the fault of its job.
        """
        self._workers.add(worker_id)
        self._jobs[job_id].all += 1
        self._queues[queue].all += 1
        suspicion = self._suspicions.pop(worker_id, None)
        if suspicion is not None:
            for other in suspicion.queues.values():
                self._queues[other].all += 1
                self._queues[other].failed += 1

    def failed(
        self, worker_id: str, queue: str, job_id: str, now: float
    ) -> bool:
        """Notes a failure; returns whether its worker is to get nothing.

        A job counts once against a worker, however many of its runs fail.
        """
        self._workers.add(worker_id)
        suspicion = self._suspicions.setdefault(worker_id, _Suspicion())
        if job_id not in suspicion.queues:
            suspicion.queues[job_id] = queue
            suspicion.ratio *= FAILING_SHARE / self._failing_share(
                queue, job_id
            )
        ends = self._jobs[job_id]
        ends.all += 1
        ends.failed += 1
        odds = self._usual_odds(now) * suspicion.ratio
        if odds < ENOUGH_ODDS:
            return False
        if len(suspicion.queues) > 1 and not suspicion.is_confirmed:
            suspicion.is_confirmed = True
            self._confirmed.append(now)
        return True

    def keep_jobs(self, jobs: abc.Container[str]) -> None:
        """Forgets how the runs of all other jobs ended."""
        for job_id in [job for job in self._jobs if job not in jobs]:
            del self._jobs[job_id]

    def _failing_share(self, queue: str, job_id: str) -> float:
        """Returns which share of a job's runs fails on sound workers.

        A job whose runs have failed elsewhere proves little.
        """
        known = self._queues[queue]
        usual = (known.failed + 1) / (known.all + ONE_IN_RUNS)
        ends = self._jobs[job_id]
        share = (ends.failed + JOB_WEIGHT * usual) / (ends.all + JOB_WEIGHT)
        return min(share, FAILING_SHARE)

    def _usual_odds(self, now: float) -> float:
        """Returns the odds that any worker fails, before it ran anything."""
        while self._confirmed and self._confirmed[0] < now - LATELY_S:
            self._confirmed.popleft()
        return (len(self._confirmed) + 1) / (
            len(self._workers) + ONE_IN_WORKERS
        )
