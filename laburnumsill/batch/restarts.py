"""Restarts of long-running tasks whose runs end by themselves.

Such a task is started again however often its runs end. The first run after an
end starts at once. While the ends follow each other soon, each further run
waits longer, so that a task which cannot keep running does not fill the log of
commands. The pauses are the leader's own and are not replicated: a new leader
begins without any.
"""

import dataclasses
from collections import abc

from laburnumsill.batch import commands
from laburnumsill.batch import model
from laburnumsill.core import logs
from laburnumsill.core import metrics as metrics_module

FIRST_PAUSE_S = 0.25
"""Pause before a task is started again once its runs end soon."""

MAX_PAUSE_S = 2.0
"""Upper bound of the pause, which doubles each time. A long-running task has to
run again within 9 s of its end, including the next plan, its commit, the start
order and a worker that does not answer."""

SETTLED_S = 10.0
"""Time between two ends of a task from which the later one is not soon."""

OWN_ENDS = frozenset({commands.EndKind.DONE, commands.EndKind.FAILED})
"""Ends that a run comes to by itself, not by an order, a lease or its gang."""

_Key = model.TaskId | model.StepKey
"""What is started together: a task, or the step of a gang."""


@dataclasses.dataclass(slots=True)
class _Restart:
    """The newest end of a task or a gang.

    Attributes:
        number: Number of the run that ended.
        ended_at: Monotonic time of its end.
        pause_s: The pause after it, in seconds.
    """

    number: int
    ended_at: float
    pause_s: float

    @property
    def resumes_at(self) -> float:
        """Monotonic time from which the next run may start."""
        return self.ended_at + self.pause_s


class Restarts:
    """Counts, logs and paces the restarts of long-running tasks.

    The metric `long_running_ends_total` counts, by kind and queue, the ends
    that runs of long-running tasks have come to by themselves.

    Args:
        metrics: Receives the metric.
    """

    def __init__(self, metrics: metrics_module.Metrics) -> None:
        self._metrics = metrics
        self._restarts: dict[_Key, _Restart] = {}

    def observe_end(
        self,
        end: commands.EndedRun,
        job: model.Job,
        worker_id: str,
        now: float,
    ) -> None:
        """Records the end of a run; only own ends of long-running tasks count.

        Args:
            end: The end.
            job: The job of the run.
            worker_id: The worker on which it ran.
            now: Monotonic time.
        """
        step = job.steps[end.run.task.step]
        if not step.long_running or end.kind not in OWN_ENDS:
            return
        key = _key_of(end.run.task, step)
        known = self._restarts.get(key)
        if known is not None and end.run.number <= known.number:
            return  # another member of the gang
        restart = _Restart(end.run.number, now, _next_pause_s(known, now))
        self._restarts[key] = restart
        self._metrics.count(
            "long_running_ends_total", kind=end.kind.value, queue=job.queue
        )
        logs.event(
            "task-restarts",
            job=end.run.task.job_id,
            run=end.run,
            worker=worker_id,
            kind=end.kind,
            pause_ms=round(1000 * restart.pause_s),
        )

    def is_paused(self, task: model.TaskId, now: float) -> bool:
        """Returns whether a task, or its gang, waits for the end of a pause."""
        restarts = (
            self._restarts.get(task),
            self._restarts.get(task.step_key),
        )
        return any(one is not None and now < one.resumes_at for one in restarts)

    def next_resume(self, now: float) -> float | None:
        """Returns the monotonic time at which the next pause ends, or None."""
        ends = (restart.resumes_at for restart in self._restarts.values())
        return min((at for at in ends if at > now), default=None)

    def keep_jobs(self, jobs: abc.Container[str]) -> None:
        """Drops the restarts of tasks of all other jobs."""
        self._restarts = {
            key: restart
            for key, restart in self._restarts.items()
            if _job_of(key) in jobs
        }


def _key_of(task: model.TaskId, step: model.Step) -> _Key:
    return task.step_key if step.gang else task


def _job_of(key: _Key) -> str:
    return key.job_id if isinstance(key, model.TaskId) else key[0]


def _next_pause_s(known: _Restart | None, now: float) -> float:
    """Returns the pause after an end, in seconds."""
    if known is None or now - known.ended_at >= SETTLED_S:
        return 0.0
    return min(MAX_PAUSE_S, max(FIRST_PAUSE_S, 2 * known.pause_s))
