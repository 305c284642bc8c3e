"""Splits the time of a job by what it was spent on."""

import dataclasses
import enum
from collections import abc

from laburnumsill.explain import stories


class Cause(enum.StrEnum):
    """What a part of a job's time was spent on.

    Attributes:
        HAND_IN: Calls that were refused or not answered, and coming back.
        NO_LEADER: It waited while no VM scheduled.
        STOPS: It waited until runs had ended that were stopped for it.
        ROOM: It waited for room.
        STARTING: Placed, until all of its workers had begun.
        STOPPED: A run that was told to stop.
        FAILED: A run that failed.
        LOST: A run that was lost with its worker, its lease or its gang.
        RUNNING: The run that was done.
        UNKNOWN: The logs do not say.
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
        cause: What it was spent on.
        detail: More of it, for people.
    """

    begin: float
    end: float
    cause: Cause
    detail: str = ""

    @property
    def seconds(self) -> float:
        """How long it is."""
        return self.end - self.begin


def spans_of(
    job: stories.JobStory, site: stories.SiteStory
) -> abc.Sequence[Span]:
    """Returns a job's time from its first hand-in to its end, in parts.

    Of each step the task counts that was done last: the others were done by
    then. What is not accounted for by the logs is `Cause.UNKNOWN`.
    """
    found = list(_hand_in_spans(job))
    at = job.accepted_at
    if at is None:
        return found
    room_for = site.stops_for.get(job.job_id, ())
    for runs in _critical_runs(job):
        for run in runs:
            if run.placed_at > at:
                found += _waiting_spans(job, run, at, room_for, site.leads)
                at = run.placed_at
            for span in _run_spans(job, run, at):
                found.append(span)
                at = span.end
    if job.ended_at is not None and job.ended_at > at:
        found.append(Span(at, job.ended_at, Cause.UNKNOWN))
    return [span for span in found if span.seconds > 0]


def late_by_s(job: stories.JobStory, spans: abc.Sequence[Span]) -> float | None:
    """Returns by how much a job missed its objective, None if unknown.

    Its work counts as long as its last runs took. On a slow worker that is
    more than it would have been elsewhere, so a job may be late without this.
    """
    came_at = job.came_at
    if came_at is None or job.ended_at is None or not job.stretch:
        return None
    work_s = sum(one.seconds for one in spans if one.cause is Cause.RUNNING)
    objective_s = job.stretch * work_s + job.target_ms / 1000
    return job.ended_at - came_at - objective_s


def _hand_in_spans(job: stories.JobStory) -> abc.Iterator[Span]:
    """Yields the time from the first call until the job was taken in."""
    came_at, accepted_at = job.came_at, job.accepted_at
    if came_at is None:
        return
    reasons = [one.reason for one in job.hand_ins if not one.accepted]
    if accepted_at is None:
        accepted_at = job.hand_ins[-1].ended_at
    yield Span(came_at, accepted_at, Cause.HAND_IN, ",".join(reasons))


def _critical_runs(
    job: stories.JobStory,
) -> abc.Iterator[abc.Sequence[stories.RunStory]]:
    """Yields, step by step, the runs of the task that was done last."""
    last: dict[str, stories.RunStory] = {}
    for run in job.runs.values():
        known = last.get(run.step)
        if known is None or _done_at(run) > _done_at(known):
            last[run.step] = run
    for run in sorted(last.values(), key=lambda one: one.placed_at):
        yield sorted(
            (one for one in job.runs.values() if one.task == run.task),
            key=lambda one: one.number,
        )


def _done_at(run: stories.RunStory) -> float:
    return run.ended_at or 0.0 if run.end == "done" else 0.0


def _waiting_spans(
    job: stories.JobStory,
    run: stories.RunStory,
    begin: float,
    room_for: abc.Sequence[stories.RunStory],
    leads: abc.Sequence[stories.Lead],
) -> abc.Iterator[Span]:
    """Yields what a task waited for until it was placed."""
    end = run.placed_at
    for before, after in zip(leads, leads[1:], strict=False):
        gap_begin, gap_end = max(begin, before.last_at), after.began_at
        if gap_begin < end and gap_end > begin and gap_end > gap_begin:
            yield from _room_spans(job, run, begin, gap_begin, room_for)
            yield Span(gap_begin, min(gap_end, end), Cause.NO_LEADER)
            begin = min(gap_end, end)
    yield from _room_spans(job, run, begin, end, room_for)


def _room_spans(
    job: stories.JobStory,
    run: stories.RunStory,
    begin: float,
    end: float,
    room_for: abc.Sequence[stories.RunStory],
) -> abc.Iterator[Span]:
    """Yields waiting for room, and for the stops that were to make it."""
    if end <= begin:
        return
    stopping = [
        one.stop_at
        for one in room_for
        if one.stop_at is not None and begin <= one.stop_at < end
    ]
    first = min(stopping, default=end)
    obstacles = [
        one.text
        for one in job.obstacles
        if one.step == run.step and begin <= one.at <= end
    ]
    yield Span(begin, first, Cause.ROOM, obstacles[0] if obstacles else "")
    yield Span(first, end, Cause.STOPS, f"{len(stopping)} runs")


def _run_spans(
    job: stories.JobStory, run: stories.RunStory, begin: float
) -> abc.Iterator[Span]:
    """Yields one run: until all had begun, and from then on."""
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
    if run.stop_reason:
        detail += f", {run.stop_reason}"
    yield Span(started_at, end, _cause_of_end(run), detail)


def _started_at(job: stories.JobStory, run: stories.RunStory) -> float | None:
    """Returns when a run began, that of a gang with its last member."""
    if not run.gang:
        return run.started_at
    begun = [
        one.started_at
        for one in job.runs.values()
        if (one.step, one.number) == (run.step, run.number)
    ]
    known = [at for at in begun if at is not None]
    return max(known) if len(known) == len(begun) else None


def _cause_of_end(run: stories.RunStory) -> Cause:
    if run.end == "done":
        return Cause.RUNNING
    if run.end == "failed":
        return Cause.FAILED
    return Cause.STOPPED if run.stop_reason else Cause.LOST
