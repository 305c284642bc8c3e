"""What the logs tell of each job: its hand-ins, its runs and its end."""

import dataclasses
from collections import abc

from laburnumsill.explain import lines

ACCEPTED_STATUS = 200


@dataclasses.dataclass(frozen=True, slots=True)
class HandIn:
    """One call that handed a job in.

    Attributes:
        began_at: When it came, Unix seconds.
        ended_at: When it was answered.
        vm: Who answered.
        accepted: Whether the job was taken in.
        reason: Why not, "" if it was.
    """

    began_at: float
    ended_at: float
    vm: str
    accepted: bool
    reason: str


@dataclasses.dataclass(slots=True)
class RunStory:
    """One run of one task.

    Attributes:
        step: Which step, `occurrence.number`.
        task: The name of the task.
        number: Which run of it.
        worker: Where it was placed.
        placed_at: When, Unix seconds.
        gang: Whether it works only together with the others of its step.
        started_at: When its worker had begun it, None if that is not known.
        ended_at: When its end was noted, None if none was.
        end: How it ended, "" if that is not known.
        stop_reason: Why it was told to stop, "" if it was not.
        stop_at: When it was told so.
        stopped_for: The job that needed its room, "" if that was not why.
    """

    step: str
    task: str
    number: int
    worker: str
    placed_at: float
    gang: bool = False
    started_at: float | None = None
    ended_at: float | None = None
    end: str = ""
    stop_reason: str = ""
    stop_at: float | None = None
    stopped_for: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Obstacle:
    """What stood in the way of a step that waited.

    Attributes:
        at: When it was written, Unix seconds.
        step: Which step, `occurrence.number`.
        text: What it was, in the planner's words.
    """

    at: float
    step: str
    text: str


@dataclasses.dataclass(slots=True)
class JobStory:
    """All that is known of one job.

    Attributes:
        job_id: The job.
        queue: Its queue.
        account: Its client account.
        hand_ins: Calls that handed it in, in order.
        runs: By the name that the logs give them.
        obstacles: What was written while steps of it waited.
        ended_at: When its end was committed, None if that is not known.
        state: How it ended.
        stretch: Its objective is this multiple of its work, and `target_ms`.
        target_ms: See `stretch`.
    """

    job_id: str
    queue: str = ""
    account: str = ""
    hand_ins: list[HandIn] = dataclasses.field(default_factory=list)
    runs: dict[str, RunStory] = dataclasses.field(default_factory=dict)
    obstacles: list[Obstacle] = dataclasses.field(default_factory=list)
    ended_at: float | None = None
    state: str = ""
    stretch: float = 0.0
    target_ms: float = 0.0

    @property
    def came_at(self) -> float | None:
        """When it was first handed in, None if the logs do not say."""
        return self.hand_ins[0].began_at if self.hand_ins else None

    @property
    def accepted_at(self) -> float | None:
        """When it was taken in, None if it was not."""
        taken = [one.ended_at for one in self.hand_ins if one.accepted]
        placed = [run.placed_at for run in self.runs.values()]
        return min((*taken, *placed), default=None)


@dataclasses.dataclass(slots=True)
class Lead:
    """A time in which one VM scheduled.

    Attributes:
        vm: Which.
        began_at: When its scheduler began, Unix seconds.
        last_at: When it last said something as the leader.
    """

    vm: str
    began_at: float
    last_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class SiteStory:
    """What the logs tell of a site.

    Attributes:
        jobs: By id.
        leads: In order.
        domains: Failure domains by VM.
        stops_for: By job, the runs that were stopped to make room for it.
    """

    jobs: abc.Mapping[str, JobStory]
    leads: abc.Sequence[Lead]
    domains: abc.Mapping[str, str]
    stops_for: abc.Mapping[str, abc.Sequence[RunStory]]

    def domain_of(self, job: JobStory) -> str:
        """Returns the failure domain in which a job was first handed in."""
        return self.domains.get(job.hand_ins[0].vm, "") if job.hand_ins else ""


def story_of(events: abc.Iterable[lines.Event]) -> SiteStory:
    """Returns what events, in their order, tell of a site."""
    reader = _Reader()
    for event in events:
        reader.take(event)
    return SiteStory(
        reader.jobs, reader.leads, reader.domains, _stops_for(reader.jobs)
    )


def _stops_for(jobs: abc.Mapping[str, JobStory]) -> dict[str, list[RunStory]]:
    found: dict[str, list[RunStory]] = {}
    for job in jobs.values():
        for run in job.runs.values():
            if run.stopped_for:
                found.setdefault(run.stopped_for, []).append(run)
    return found


_OF_THE_LEADER = frozenset(
    {"run-placed", "run-started", "run-ended", "run-stop", "unit-waits"}
)
"""Events that only a leading scheduler writes, all the time."""


class _Reader:
    """Takes events one after the other."""

    def __init__(self) -> None:
        self.jobs: dict[str, JobStory] = {}
        self.domains: dict[str, str] = {}
        self.leads: list[Lead] = []
        self._handlers: dict[str, abc.Callable[[lines.Event], None]] = {
            "daemon-started": self._daemon_started,
            "scheduler-started": self._scheduler_started,
            "caller-request": self._caller_request,
            "run-placed": self._run_placed,
            "run-started": self._run_started,
            "run-seen": self._run_started,
            "run-stop": self._run_stop,
            "run-ended": self._run_ended,
            "run-released": self._run_released,
            "unit-waits": self._unit_waits,
            "job-ended": self._job_ended,
        }

    def take(self, event: lines.Event) -> None:
        """Takes the next event."""
        by_the_leader = self.leads and event.vm == self.leads[-1].vm
        if event.name in _OF_THE_LEADER and by_the_leader:
            self.leads[-1].last_at = event.at
        handler = self._handlers.get(event.name)
        if handler is not None:
            handler(event)

    def _job(self, event: lines.Event) -> JobStory | None:
        job_id = event.text("job") or event.text("run").partition(".")[0]
        if not job_id:
            return None
        return self.jobs.setdefault(job_id, JobStory(job_id))

    def _run(self, event: lines.Event) -> RunStory | None:
        job = self._job(event)
        return job.runs.get(event.text("run")) if job else None

    def _daemon_started(self, event: lines.Event) -> None:
        self.domains[event.vm] = event.text("domain")

    def _scheduler_started(self, event: lines.Event) -> None:
        self.leads.append(Lead(event.vm, event.at, event.at))

    def _caller_request(self, event: lines.Event) -> None:
        job = self._job(event)
        if job is None or event.text("method") != "POST":
            return
        accepted = event.number("status") == ACCEPTED_STATUS
        reason = "" if accepted else event.text("reason")
        job.queue = job.queue or event.text("queue")
        job.account = job.account or event.text("account")
        began_at = event.at - event.number("took_ms") / 1000
        job.hand_ins.append(
            HandIn(began_at, event.at, event.vm, accepted, reason)
        )

    def _run_placed(self, event: lines.Event) -> None:
        job = self._job(event)
        name = event.text("run")
        if job is None or event.text("refusal") or name in job.runs:
            return
        job.queue = job.queue or event.text("queue")
        task, _, number = name.partition("#")
        step = ".".join(task.split(".")[1:3])
        job.runs[name] = RunStory(
            step,
            task,
            int(number) if number.isdigit() else 0,
            event.text("worker"),
            event.at,
            event.text("gang") == "True",
        )

    def _run_started(self, event: lines.Event) -> None:
        run = self._run(event)
        if run is not None and run.started_at is None:
            run.started_at = event.at

    def _run_stop(self, event: lines.Event) -> None:
        run = self._run(event)
        if run is not None and not run.stop_reason:
            run.stop_reason = event.text("reason")
            run.stop_at = event.at
            run.stopped_for = event.text("for_job")

    def _run_ended(self, event: lines.Event) -> None:
        run = self._run(event)
        if run is not None and (run.ended_at is None or run.end != "done"):
            run.ended_at = event.at
            run.end = event.text("kind")

    def _run_released(self, event: lines.Event) -> None:
        run = self._run(event)
        if run is not None and run.ended_at is None:
            run.ended_at = event.at
            run.end = event.text("reason")

    def _unit_waits(self, event: lines.Event) -> None:
        job = self._job(event)
        if job is not None:
            step = f"{event.text('occurrence')}.{event.text('step')}"
            text = event.text("obstacle")
            job.obstacles.append(Obstacle(event.at, step, text))

    def _job_ended(self, event: lines.Event) -> None:
        job = self._job(event)
        if job is not None and job.ended_at is None:
            job.ended_at = event.at
            job.state = event.text("state")
            job.stretch = event.number("stretch")
            job.target_ms = event.number("target_ms")
