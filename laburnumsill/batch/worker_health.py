"""Telling slow, hanging and failing workers from bad jobs.

Everything here is the leader's own observation and may be forgotten: a new
leader learns it again within seconds. Nothing that must hold rests on it.
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

SET_ASIDE_S = 4.0
"""How long a failing or hanging worker gets nothing, at first; the users'
troubles of this kind last 5 to 7 s."""

LONGEST_SET_ASIDE_S = 16.0
"""The same when it goes on; it doubles each time."""

STALLED_AFTER_S = 2.5
"""A run whose progress stood still for so long hangs; a worker reports whole
percents, and the longest runs of the users do one in a third of a second."""

GANG_STALLED_AFTER_S = 3.5
"""The same for a gang, whose members wait up to 3 s for each other."""

SAMPLES = 12
"""Newest relative run times of a worker that are gone by."""

VERY_SLOW = 2.0
"""Relative run time from which a worker is used only if nothing else is."""

NOT_VERY_SLOW = VERY_SLOW - 0.01
"""What a worker counts for at most that was not very slow of late."""

VERY_SLOW_FOR_S = 10.0
"""A worker counts as very slow only by run times of the last seconds: it gets
no runs then, so nothing else would ever show that it has recovered."""


@dataclasses.dataclass(slots=True)
class _Standing:
    """What is known of one worker.

    Attributes:
        aside_until: It gets nothing before this point, monotonic.
        aside_s: How long it was set aside last.
        ratios: Newest run times relative to those of other workers, each
            with when it was seen, monotonic.
    """

    aside_until: float = 0.0
    aside_s: float = 0.0
    ratios: collections.deque[tuple[float, float]] = dataclasses.field(
        default_factory=lambda: collections.deque(maxlen=SAMPLES)
    )


@dataclasses.dataclass(slots=True)
class _Seen:
    percent: int
    since: float
    first_at: float


class WorkerHealth:
    """What the leader has observed of workers and of tasks on them."""

    def __init__(self) -> None:
        self._workers: dict[str, _Standing] = {}
        self._seen: dict[model.RunId, _Seen] = {}
        self._failed_on: dict[model.TaskId, set[str]] = {}
        self._durations: dict[model.StepKey, list[float]] = {}
        self._evidence = failure_evidence.FailureEvidence()

    def set_aside(self, worker_id: str, now: float) -> bool:
        """Returns whether a worker is to get nothing now."""
        standing = self._workers.get(worker_id)
        return standing is not None and now < standing.aside_until

    def slowness_lately(self, worker_id: str, now: float) -> float:
        """Returns the run time on a worker, against others, of late.

        1.0 if it is not known; `worker_speeds` knows what is usual.
        """
        standing = self._workers.get(worker_id)
        if standing is None or not standing.ratios:
            return 1.0
        since = now - VERY_SLOW_FOR_S
        recent = [ratio for at, ratio in standing.ratios if at >= since]
        return statistics.median(recent) if recent else 1.0

    def avoid(self, task: model.TaskId) -> abc.Set[str]:
        """Returns the workers on which a task has failed or hung."""
        return self._failed_on.get(task, set())

    def keep_jobs(self, jobs: abc.Container[str]) -> None:
        """Forgets what was observed of the tasks of all other jobs."""
        for task in [t for t in self._failed_on if t.job_id not in jobs]:
            del self._failed_on[task]
        for key in [key for key in self._durations if key[0] not in jobs]:
            del self._durations[key]
        self._evidence.keep_jobs(jobs)

    def note_end(
        self,
        worker_id: str,
        end: commands.EndedRun,
        step: model.Step,
        now: float,
        queue: str = "",
    ) -> bool:
        """Takes note of an end; returns whether the worker is set aside.

        Args:
            worker_id: The worker.
            end: The end.
            step: The step of the run.
            now: Monotonic point.
            queue: Of the job.
        """
        seen = self._seen.pop(end.run, None)
        standing = self._workers.setdefault(worker_id, _Standing())
        if end.kind is commands.EndKind.DONE:
            self._evidence.done(worker_id, queue, end.run.task.job_id)
            standing.aside_s = 0.0
            if seen is not None and step.tells_speed and not end.saved:
                self._compare(standing, end.run, seen.first_at, now)
            return False
        if end.kind is not commands.EndKind.FAILED:
            return False
        self._failed_on.setdefault(end.run.task, set()).add(worker_id)
        job_id = end.run.task.job_id
        if not self._evidence.failed(worker_id, queue, job_id, now):
            return False
        self._put_aside(standing, now)
        return True

    def note_started(self, run: model.RunId, now: float) -> None:
        """Takes note that a run has begun."""
        self._seen.setdefault(run, _Seen(0, now, now))

    def note_running(
        self, seen: worker_client.RunningRun, gang: bool, now: float
    ) -> bool:
        """Takes note of progress; returns whether the run hangs."""
        known = self._seen.get(seen.run)
        if known is None:
            self._seen[seen.run] = _Seen(seen.percent, now, now)
            return False
        if seen.percent != known.percent:
            known.percent = seen.percent
            known.since = now
            return False
        limit = GANG_STALLED_AFTER_S if gang else STALLED_AFTER_S
        return seen.percent < 100 and now - known.since >= limit

    def note_hang(self, worker_id: str, run: model.RunId, now: float) -> None:
        """Sets a worker aside on which a single task hangs."""
        self._failed_on.setdefault(run.task, set()).add(worker_id)
        standing = self._workers.setdefault(worker_id, _Standing())
        self._put_aside(standing, now)

    def forget_run(self, run: model.RunId) -> None:
        """Forgets a run that will list no end."""
        self._seen.pop(run, None)

    def _put_aside(self, standing: _Standing, now: float) -> None:
        if now < standing.aside_until:
            return
        longer = max(SET_ASIDE_S, 2 * standing.aside_s)
        standing.aside_s = min(longer, LONGEST_SET_ASIDE_S)
        standing.aside_until = now + standing.aside_s

    def _compare(
        self, standing: _Standing, run: model.RunId, began: float, now: float
    ) -> None:
        """Compares a run's time with those of its siblings elsewhere."""
        took_s = now - began
        times = self._durations.setdefault(run.task.step_key, [])
        if len(times) >= worker_speeds.MIN_SIBLINGS:
            usual = statistics.median(times)
            if usual > 0:
                standing.ratios.append((now, took_s / usual))
        times.append(took_s)
