"""Detection of slow, stalled and faulty workers, as distinct from faulty jobs.

The data are the leader's own observations and are not replicated: a new leader
collects them again within seconds. No correctness guarantee depends on them.
"""

import collections
import dataclasses
import statistics
from collections import abc

from laburnumsill.batch import commands
from laburnumsill.batch import failure_evidence
from laburnumsill.batch import model
from laburnumsill.batch import worker_client
from laburnumsill.batch import worker_speeds

QUARANTINE_S = 4.0
"""First quarantine of a faulty worker; such faults last 5 to 7 s at the users'
sites."""

MAX_QUARANTINE_S = 6.0
"""Upper bound of the quarantine, which doubles each time. Jobs for which the
workers in quarantine are the only room may stand until 7 s after the fault has
ended, including the next plan, its commit and the start orders."""

STALL_TIMEOUT_S = 2.5
"""Time without progress after which a run is stalled. Workers report whole
percents; the longest runs of the users need a third of a second for one."""

GANG_STALL_TIMEOUT_S = 3.5
"""Stall timeout of gang members, which wait up to 3 s for each other."""

MAX_RATIO_SAMPLES = 12
"""Number of newest relative run times that are kept of a worker."""

VERY_SLOW_RATIO = 2.0
"""Relative run time from which a worker is used only as a last resort."""

MAX_SLOW_RATIO = VERY_SLOW_RATIO - 0.01
"""Upper bound of the relative run time of a worker that is not very slow."""

RECENT_RATIO_WINDOW_S = 10.0
"""Sliding window of the run times by which a worker counts as very slow. Older
ones expire: a very slow worker gets no runs that could show its recovery."""


@dataclasses.dataclass(slots=True)
class _WorkerRecord:
    """Observations of one worker.

    Attributes:
        quarantined_until: Monotonic time at which its quarantine ends.
        quarantine_s: Length of its last quarantine; 0 after a success.
        ratios: Pairs of a monotonic time and the run time that was observed
            then, relative to those on other workers.
    """

    quarantined_until: float = 0.0
    quarantine_s: float = 0.0
    ratios: collections.deque[tuple[float, float]] = dataclasses.field(
        default_factory=lambda: collections.deque(maxlen=MAX_RATIO_SAMPLES)
    )


@dataclasses.dataclass(slots=True)
class _RunProgress:
    """Progress of a run.

    Attributes:
        percent: The last reported progress.
        changed_at: Monotonic time of the last change.
        started_at: Monotonic time of the start, or of the first report.
    """

    percent: int
    changed_at: float
    started_at: float


class WorkerHealth:
    """Observed failures, stalls and run times, by worker and task."""

    def __init__(self) -> None:
        self._workers: dict[str, _WorkerRecord] = {}
        self._progress_by_run: dict[model.RunId, _RunProgress] = {}
        self._failed_on: dict[model.TaskId, set[str]] = {}
        self._durations: dict[model.StepKey, list[float]] = {}
        self._evidence = failure_evidence.FailureEvidence()

    def is_quarantined(self, worker_id: str, now: float) -> bool:
        """Returns whether a worker is in quarantine."""
        record = self._workers.get(worker_id)
        return record is not None and now < record.quarantined_until

    def recent_slowness(self, worker_id: str, now: float) -> float:
        """Returns the median relative run time in the sliding window.

        1.0 if there is none. `worker_speeds` estimates the long-term value.
        """
        record = self._workers.get(worker_id)
        if record is None or not record.ratios:
            return 1.0
        window_start = now - RECENT_RATIO_WINDOW_S
        recent = [ratio for at, ratio in record.ratios if at >= window_start]
        return statistics.median(recent) if recent else 1.0

    def avoided_workers(self, task: model.TaskId) -> abc.Set[str]:
        """Returns the workers on which a task has failed or stalled.

        A long-running task also avoids those on which its runs have ended.
        """
        return self._failed_on.get(task, set())

    def keep_jobs(self, jobs: abc.Container[str]) -> None:
        """Drops the observations of tasks of all other jobs."""
        for task in [t for t in self._failed_on if t.job_id not in jobs]:
            del self._failed_on[task]
        for key in [key for key in self._durations if key[0] not in jobs]:
            del self._durations[key]
        self._evidence.keep_jobs(jobs)

    def keep_workers(self, workers: abc.Container[str]) -> None:
        """Drops the observations of all other workers."""
        for worker_id in [one for one in self._workers if one not in workers]:
            del self._workers[worker_id]
        self._evidence.keep_workers(workers)

    def observe_end(
        self,
        worker_id: str,
        end: commands.EndedRun,
        step: model.Step,
        now: float,
        queue: str = "",
    ) -> bool:
        """Records the end of a run; returns whether the worker is quarantined.

        Args:
            worker_id: The worker.
            end: The end.
            step: The step of the run.
            now: Monotonic time.
            queue: The queue of the job.
        """
        progress = self._progress_by_run.pop(end.run, None)
        record = self._workers.setdefault(worker_id, _WorkerRecord())
        if end.kind is commands.EndKind.DONE and step.long_running:
            # No success: the task was to go on. No evidence of a fault either.
            self._failed_on.setdefault(end.run.task, set()).add(worker_id)
            return False
        if end.kind is commands.EndKind.DONE:
            self._evidence.record_success(worker_id, queue, end.run.task.job_id)
            record.quarantine_s = 0.0
            if (
                progress is not None
                and step.measures_worker_speed
                and not end.saved
            ):
                self._compare(record, end.run, progress.started_at, now)
            return False
        if end.kind is not commands.EndKind.FAILED:
            return False
        self._failed_on.setdefault(end.run.task, set()).add(worker_id)
        job_id = end.run.task.job_id
        if not self._evidence.record_failure(worker_id, queue, job_id, now):
            return False
        self._quarantine(record, now)
        return True

    def observe_start(self, run: model.RunId, now: float) -> None:
        """Records the start of a run."""
        self._progress_by_run.setdefault(run, _RunProgress(0, now, now))

    def observe_progress(
        self, listed: worker_client.RunningRun, gang: bool, now: float
    ) -> bool:
        """Records progress; returns whether the run is stalled."""
        progress = self._progress_by_run.get(listed.run)
        if progress is None:
            self._progress_by_run[listed.run] = _RunProgress(
                listed.percent, now, now
            )
            return False
        if listed.percent != progress.percent:
            progress.percent = listed.percent
            progress.changed_at = now
            return False
        limit = GANG_STALL_TIMEOUT_S if gang else STALL_TIMEOUT_S
        return listed.percent < 100 and now - progress.changed_at >= limit

    def quarantine_for_stall(
        self, worker_id: str, run: model.RunId, now: float
    ) -> None:
        """Quarantines a worker on which a run is stalled."""
        self._failed_on.setdefault(run.task, set()).add(worker_id)
        record = self._workers.setdefault(worker_id, _WorkerRecord())
        self._quarantine(record, now)

    def forget_run(self, run: model.RunId) -> None:
        """Drops a run whose end will not be reported."""
        self._progress_by_run.pop(run, None)

    def _quarantine(self, record: _WorkerRecord, now: float) -> None:
        if now < record.quarantined_until:
            return
        longer = max(QUARANTINE_S, 2 * record.quarantine_s)
        record.quarantine_s = min(longer, MAX_QUARANTINE_S)
        record.quarantined_until = now + record.quarantine_s

    def _compare(
        self, record: _WorkerRecord, run: model.RunId, began: float, now: float
    ) -> None:
        """Records a run's time relative to those of its step's other runs."""
        took_s = now - began
        times = self._durations.setdefault(run.task.step_key, [])
        if len(times) >= worker_speeds.MIN_SIBLINGS:
            usual = statistics.median(times)
            if usual > 0:
                record.ratios.append((now, took_s / usual))
        times.append(took_s)
