"""Splits the time between submission and end of a job by cause."""

import dataclasses
import enum
from collections import abc

from laburnumsill.explain import stories


class Cause(enum.StrEnum):
    """Cause of a part of a job's time.

    Attributes:
        HAND_IN: Submission, from the first attempt until one was accepted.
        NO_LEADER: The job waited while no scheduler was active.
        STOPS: The job waited for the end of runs that it preempted.
        ROOM: The job waited for free capacity.
        STARTING: From the placement until all tasks of the gang had started.
        STOPPED: A run that the scheduler stopped.
        FAILED: A run that failed.
        LOST: A run that was lost with its worker, its lease or its gang.
        RUNNING: The run that completed its task.
        UNKNOWN: Time that the logs do not account for.
    """

    HAND_IN = "hand-in"
    NO_LEADER = "no-leader"
    STOPS = "stops"
    ROOM = "room"
    STARTING = "starting"
    STOPPED = "stopped"
    FAILED = "failed"
    LOST = "lost"
    RUNNING = "running"
    UNKNOWN = "unknown"


@dataclasses.dataclass(frozen=True, slots=True)
class Span:
    """A part of a job's time.

    Attributes:
        begin: Unix seconds.
        end: Unix seconds.
        cause: Its cause.
        detail: Free text for display, such as the worker or the obstacle.
    """

    begin: float
    end: float
    cause: Cause
    detail: str = ""

    @property
    def seconds(self) -> float:
        """Length in seconds."""
        return self.end - self.begin


def spans_of(
    job: stories.JobStory, site: stories.SiteStory
) -> abc.Sequence[Span]:
    """Returns the time from a job's first submission to its end, in parts.

    Each step is represented by its task that completed last, since the step
    ended with it. Time that the logs do not account for is `Cause.UNKNOWN`.
    """
    spans = list(_submission_spans(job))
    at = job.accepted_at
    if at is None:
        return spans
    preempted = site.preempted_by.get(job.job_id, ())
    for runs in _critical_runs(job):
        for run in runs:
            if run.placed_at > at:
                spans += _waiting_spans(
                    job, run, at, preempted, site.leaderships
                )
                at = run.placed_at
            for span in _run_spans(job, run, at):
                spans.append(span)
                at = span.end
    if job.ended_at is not None and job.ended_at > at:
        spans.append(Span(at, job.ended_at, Cause.UNKNOWN))
    return [span for span in spans if span.seconds > 0]


def late_by_s(job: stories.JobStory, spans: abc.Sequence[Span]) -> float | None:
    """Returns by how much a job missed its objective, None if unknown.

    The work of the job is taken to be the time of its completed runs. On a
    slow worker this overestimates the work and thus the objective, so a late
    job may be reported as on time.
    """
    submitted_at = job.submitted_at
    if submitted_at is None or job.ended_at is None or not job.stretch:
        return None
    work_s = sum(span.seconds for span in spans if span.cause is Cause.RUNNING)
    objective_s = job.stretch * work_s + job.target_ms / 1000
    return job.ended_at - submitted_at - objective_s


def _submission_spans(job: stories.JobStory) -> abc.Iterator[Span]:
    """Yields the span from the first submission until the job was accepted."""
    submitted_at, accepted_at = job.submitted_at, job.accepted_at
    if submitted_at is None:
        return
    reasons = [call.reason for call in job.submissions if not call.accepted]
    if accepted_at is None:
        accepted_at = job.submissions[-1].answered_at
    yield Span(submitted_at, accepted_at, Cause.HAND_IN, ",".join(reasons))


def _critical_runs(
    job: stories.JobStory,
) -> abc.Iterator[abc.Sequence[stories.RunHistory]]:
    """Yields for each step the runs of the task that completed last."""
    last: dict[str, stories.RunHistory] = {}
    for run in job.runs.values():
        latest = last.get(run.step)
        if latest is None or _done_at(run) > _done_at(latest):
            last[run.step] = run
    for run in sorted(last.values(), key=lambda other: other.placed_at):
        yield sorted(
            (other for other in job.runs.values() if other.task == run.task),
            key=lambda other: other.number,
        )


def _done_at(run: stories.RunHistory) -> float:
    return run.ended_at or 0.0 if run.end == "done" else 0.0


def _waiting_spans(
    job: stories.JobStory,
    run: stories.RunHistory,
    begin: float,
    preempted: abc.Sequence[stories.RunHistory],
    leaderships: abc.Sequence[stories.Leadership],
) -> abc.Iterator[Span]:
    """Yields the spans in which a task waited to be placed, by cause."""
    end = run.placed_at
    for before, after in zip(leaderships, leaderships[1:], strict=False):
        gap_begin, gap_end = max(begin, before.last_event_at), after.started_at
        if gap_begin < end and gap_end > begin and gap_end > gap_begin:
            yield from _capacity_spans(job, run, begin, gap_begin, preempted)
            yield Span(gap_begin, min(gap_end, end), Cause.NO_LEADER)
            begin = min(gap_end, end)
    yield from _capacity_spans(job, run, begin, end, preempted)


def _capacity_spans(
    job: stories.JobStory,
    run: stories.RunHistory,
    begin: float,
    end: float,
    preempted: abc.Sequence[stories.RunHistory],
) -> abc.Iterator[Span]:
    """Yields the wait for free capacity and the wait for preempted runs."""
    if end <= begin:
        return
    stop_times = [
        victim.stop_at
        for victim in preempted
        if victim.stop_at is not None and begin <= victim.stop_at < end
    ]
    first = min(stop_times, default=end)
    obstacles = [
        obstacle.text
        for obstacle in job.obstacles
        if obstacle.step == run.step and begin <= obstacle.at <= end
    ]
    yield Span(begin, first, Cause.ROOM, obstacles[0] if obstacles else "")
    yield Span(first, end, Cause.STOPS, f"{len(stop_times)} runs")


def _run_spans(
    job: stories.JobStory, run: stories.RunHistory, begin: float
) -> abc.Iterator[Span]:
    """Yields a run's span until its gang had started, and that to its end."""
    started_at = _started_at(job, run)
    end = run.ended_at
    if end is None:
        return
    if started_at is None or started_at > end:
        started_at = end
    yield Span(begin, started_at, Cause.STARTING, run.worker)
    detail = run.worker
    if run.end != "done":
        detail += f", {run.end}"
    if run.is_restarted:
        detail += ", its task lasts and starts again"
    if run.stop_reason:
        detail += f", {run.stop_reason}"
    yield Span(started_at, end, _cause_of_end(run), detail)


def _started_at(job: stories.JobStory, run: stories.RunHistory) -> float | None:
    """Returns the start of a run; a gang starts with its last task."""
    if not run.gang:
        return run.started_at
    starts = [
        other.started_at
        for other in job.runs.values()
        if (other.step, other.number) == (run.step, run.number)
    ]
    known = [at for at in starts if at is not None]
    return max(known) if len(known) == len(starts) else None


def _cause_of_end(run: stories.RunHistory) -> Cause:
    if run.end == "done":
        return Cause.RUNNING
    if run.end == "failed":
        return Cause.FAILED
    return Cause.STOPPED if run.stop_reason else Cause.LOST
