"""Reconstructs the history of jobs and schedulers from log events."""

import dataclasses
from collections import abc

from laburnumsill.explain import lines

ACCEPTED_STATUS = 200


@dataclasses.dataclass(frozen=True, slots=True)
class Submission:
    """One request that submitted a job.

    Attributes:
        received_at: Time of the request, Unix seconds.
        answered_at: Time of the answer, Unix seconds.
        vm: The VM that answered.
        accepted: Whether the job was accepted.
        reason: The reason for a refusal, "" if the job was accepted.
    """

    received_at: float
    answered_at: float
    vm: str
    accepted: bool
    reason: str


@dataclasses.dataclass(slots=True)
class RunHistory:
    """History of one run of a task.

    Attributes:
        step: The step, as `occurrence.number`.
        task: The id of the task.
        number: The number of the run among the runs of its task.
        worker: The worker that it was placed on.
        placed_at: Time of the placement, Unix seconds.
        gang: Whether all tasks of its step run together.
        started_at: Time of its start on the worker, None if unknown.
        ended_at: Time at which its end was recorded, None before that.
        end: The kind of its end, "" if unknown.
        stop_reason: Why the scheduler stopped it, "" if it did not.
        stop_at: Time of the order to stop, None without one.
        stopped_for: The job that preempted it, "" if none did.
        is_restarted: Whether its task is long-running and starts again.
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
    is_restarted: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Obstacle:
    """A reason of the planner for not placing a step.

    Attributes:
        at: Time of the log line, Unix seconds.
        step: The step, as `occurrence.number`.
        text: The obstacle as the planner logged it.
    """

    at: float
    step: str
    text: str


@dataclasses.dataclass(slots=True)
class JobStory:
    """History of one job.

    Attributes:
        job_id: The id of the job.
        queue: Its queue.
        account: Its client account.
        submissions: Requests that submitted it, in order.
        runs: Its runs by run id.
        obstacles: Obstacles logged while its steps waited.
        ended_at: Time at which its end was committed, None if unknown.
        state: Its final state, "" if unknown.
        stretch: Its objective is `stretch` times its work plus `target_ms`.
        target_ms: See `stretch`.
    """

    job_id: str
    queue: str = ""
    account: str = ""
    submissions: list[Submission] = dataclasses.field(default_factory=list)
    runs: dict[str, RunHistory] = dataclasses.field(default_factory=dict)
    obstacles: list[Obstacle] = dataclasses.field(default_factory=list)
    ended_at: float | None = None
    state: str = ""
    stretch: float = 0.0
    target_ms: float = 0.0

    @property
    def submitted_at(self) -> float | None:
        """Time of the first submission, None if the logs contain none."""
        return self.submissions[0].received_at if self.submissions else None

    @property
    def accepted_at(self) -> float | None:
        """Time of the acceptance or the first placement, None before both."""
        answers = [
            call.answered_at for call in self.submissions if call.accepted
        ]
        placed = [run.placed_at for run in self.runs.values()]
        return min((*answers, *placed), default=None)


@dataclasses.dataclass(slots=True)
class Leadership:
    """A period in which the scheduler of one VM was active.

    Attributes:
        vm: The VM.
        started_at: Start of its scheduler, Unix seconds.
        last_event_at: Time of its last event as the leader.
    """

    vm: str
    started_at: float
    last_event_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class SiteStory:
    """History of a site.

    Attributes:
        jobs: Jobs by id.
        leaderships: Leaderships in order.
        domains: Failure domains by VM.
        preempted_by: The runs that each job preempted, by job id.
    """

    jobs: abc.Mapping[str, JobStory]
    leaderships: abc.Sequence[Leadership]
    domains: abc.Mapping[str, str]
    preempted_by: abc.Mapping[str, abc.Sequence[RunHistory]]

    def domain_of(self, job: JobStory) -> str:
        """Returns the failure domain to which a job was first submitted."""
        return (
            self.domains.get(job.submissions[0].vm, "")
            if job.submissions
            else ""
        )


def story_of(events: abc.Iterable[lines.Event]) -> SiteStory:
    """Returns the history of a site from its events, sorted by time."""
    builder = _HistoryBuilder()
    for event in events:
        builder.add(event)
    return SiteStory(
        builder.jobs,
        builder.leaderships,
        builder.domains,
        _preempted_by(builder.jobs),
    )


def _preempted_by(
    jobs: abc.Mapping[str, JobStory],
) -> dict[str, list[RunHistory]]:
    """Returns the runs that each job preempted, by job id."""
    victims: dict[str, list[RunHistory]] = {}
    for job in jobs.values():
        for run in job.runs.values():
            if run.stopped_for:
                victims.setdefault(run.stopped_for, []).append(run)
    return victims


_LEADER_EVENTS = frozenset(
    {"run-placed", "run-started", "run-ended", "run-stop", "unit-waits"}
)
"""Events that only the active scheduler logs, throughout its leadership."""


class _HistoryBuilder:
    """Builds the histories event by event."""

    def __init__(self) -> None:
        self.jobs: dict[str, JobStory] = {}
        self.domains: dict[str, str] = {}
        self.leaderships: list[Leadership] = []
        self._handlers: dict[str, abc.Callable[[lines.Event], None]] = {
            "daemon-started": self._daemon_started,
            "scheduler-started": self._scheduler_started,
            "caller-request": self._caller_request,
            "run-placed": self._run_placed,
            "run-started": self._run_started,
            "run-seen": self._run_started,
            "run-stop": self._run_stop,
            "run-ended": self._run_ended,
            "task-restarts": self._task_restarts,
            "run-released": self._run_released,
            "unit-waits": self._unit_waits,
            "job-ended": self._job_ended,
        }

    def add(self, event: lines.Event) -> None:
        """Adds the next event."""
        from_leader = self.leaderships and event.vm == self.leaderships[-1].vm
        if event.name in _LEADER_EVENTS and from_leader:
            self.leaderships[-1].last_event_at = event.at
        handler = self._handlers.get(event.name)
        if handler is not None:
            handler(event)

    def _job(self, event: lines.Event) -> JobStory | None:
        job_id = event.text("job") or event.text("run").partition(".")[0]
        if not job_id:
            return None
        return self.jobs.setdefault(job_id, JobStory(job_id))

    def _run(self, event: lines.Event) -> RunHistory | None:
        job = self._job(event)
        return job.runs.get(event.text("run")) if job else None

    def _daemon_started(self, event: lines.Event) -> None:
        self.domains[event.vm] = event.text("domain")

    def _scheduler_started(self, event: lines.Event) -> None:
        self.leaderships.append(Leadership(event.vm, event.at, event.at))

    def _caller_request(self, event: lines.Event) -> None:
        job = self._job(event)
        if job is None or event.text("method") != "POST":
            return
        accepted = event.number("status") == ACCEPTED_STATUS
        reason = "" if accepted else event.text("reason")
        job.queue = job.queue or event.text("queue")
        job.account = job.account or event.text("account")
        received_at = event.at - event.number("took_ms") / 1000
        job.submissions.append(
            Submission(received_at, event.at, event.vm, accepted, reason)
        )

    def _run_placed(self, event: lines.Event) -> None:
        job = self._job(event)
        run_id = event.text("run")
        if job is None or event.text("refusal") or run_id in job.runs:
            return
        job.queue = job.queue or event.text("queue")
        task, _, number = run_id.partition("#")
        step = ".".join(task.split(".")[1:3])
        job.runs[run_id] = RunHistory(
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

    def _task_restarts(self, event: lines.Event) -> None:
        run = self._run(event)
        if run is not None:
            run.is_restarted = True

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
