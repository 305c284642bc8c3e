"""Holding tasks to what they declared, from reports that lag behind.

A task that uses more cores than it was given is throttled; one that goes on
so in later reports, or whose memory leaves its worker short, is checkpointed
and stopped, which counts as a failed try. On each worker borrowers are dealt
with before guaranteed tasks. Nothing safe rests on this: what is guaranteed
is kept by leases and cells, not by declarations.
"""

import collections
import dataclasses
import enum
import typing

import pydantic

from laburnumsill.core import clock as clocks
from laburnumsill.core import errors
from laburnumsill.core import logs
from laburnumsill.jobs import gangs
from laburnumsill.state import jobs_book
from laburnumsill.state import jobs_messages
from laburnumsill.state import placements

INTERVAL_S = 1.0
"""Time between two looks at the reports, in seconds."""

TOLERANCE = 1.25
"""Use over what was declared that is let pass."""

PATIENCE = 4
"""Reports of over-use after a throttle before a task is stopped."""

SHORT_MEMORY = 0.95
"""Part of a worker's memory in use from which over-use is stopped."""


class TaskUse(pydantic.BaseModel):
    """What a task used when the report was made."""

    model_config = pydantic.ConfigDict(extra="ignore", from_attributes=True)

    task_id: str
    job_id: str
    epoch: int
    cores: float = 0.0
    memory_gb: float = 0.0


class Report(pydantic.BaseModel):
    """A worker's report of the use of its tasks."""

    model_config = pydantic.ConfigDict(extra="ignore", from_attributes=True)

    tasks: list[TaskUse] = []


class Kind(enum.StrEnum):
    """What is done about over-use."""

    THROTTLE = "throttle"
    STOP = "stop"


@dataclasses.dataclass(frozen=True, slots=True)
class Measure:
    """What is to be done about one task.

    Attributes:
        share: Part of full speed, for THROTTLE.
        detail: What was used and what was declared.
    """

    kind: Kind
    task_id: str
    job_id: str
    epoch: int
    worker_id: str
    share: float
    detail: str


class OveruseControl:
    """Decides from usage reports which tasks to throttle or stop."""

    def __init__(self) -> None:
        self._reports: dict[str, Report] = {}
        self._over: collections.Counter[str] = collections.Counter()

    def note(self, worker_id: str, report: typing.Any) -> None:
        """Keeps a worker's newest report; a malformed one is dropped."""
        try:
            self._reports[worker_id] = Report.model_validate(report)
        except pydantic.ValidationError as error:
            logs.event(
                "usage-malformed", worker=worker_id, error=error.error_count()
            )

    def actions(self, book: jobs_book.JobBook) -> list[Measure]:
        """Returns what to do about the reports since the last call."""
        found = []
        reports, self._reports = self._reports, {}
        for worker_id, report in reports.items():
            found += self._on_worker(book, worker_id, report)
        live = sum(len(job.slots) for job in book.live.values())
        if len(self._over) > 2 * live + 100:
            self._over.clear()
        return found

    def _on_worker(
        self, book: jobs_book.JobBook, worker_id: str, report: Report
    ) -> list[Measure]:
        worker = book.pool.workers.get(worker_id)
        if worker is None:
            return []
        memory_gb = sum(task.memory_gb for task in report.tasks)
        short = memory_gb > SHORT_MEMORY * worker.announced.memory_gb
        borrowed: list[Measure] = []
        guaranteed: list[Measure] = []
        for task in report.tasks:
            job = book.live.get(task.job_id)
            if job is None or job.epoch != task.epoch:
                continue
            measure = self._on_task(job, worker_id, task, short)
            if measure is not None:
                kept = guaranteed if job.spec.guaranteed else borrowed
                kept.append(measure)
        return borrowed or guaranteed

    def _on_task(
        self,
        job: placements.Job,
        worker_id: str,
        task: TaskUse,
        short_of_memory: bool,
    ) -> Measure | None:
        spec = job.spec
        over_cores = task.cores > TOLERANCE * max(spec.cores, 0.1)
        over_memory = (
            short_of_memory and task.memory_gb > TOLERANCE * spec.memory_gb
        )
        if not over_cores and not over_memory:
            del self._over[task.task_id]
            return None
        self._over[task.task_id] += 1
        seen = self._over[task.task_id]
        stop = over_memory or seen > PATIENCE
        if not stop and seen > 1:
            return None
        return Measure(
            Kind.STOP if stop else Kind.THROTTLE,
            task.task_id,
            job.job_id,
            job.epoch,
            worker_id,
            share=min(1.0, max(0.01, spec.cores / max(task.cores, 0.1))),
            detail=(
                f"{task.cores:.1f} cores of {spec.cores},"
                f" {task.memory_gb:.1f} GB of {spec.memory_gb}"
            ),
        )


async def carry_out(
    measure: Measure,
    driver: gangs.GangDriver,
    clock: clocks.Clock,
    checkpoint_timeout_s: float,
) -> None:
    """Throttles a task, or has its gang checkpointed and stopped."""
    logs.decision(
        "over-use",
        what=measure.kind,
        job=measure.job_id,
        task=measure.task_id,
        worker=measure.worker_id,
        share=measure.share,
        detail=measure.detail,
    )
    if measure.kind == Kind.STOP:
        await driver.give_up(
            measure.job_id,
            measure.epoch,
            jobs_messages.StopReason.OVER_USE,
            blamed=measure.worker_id,
            detail=f"used more than declared: {measure.detail}",
            checkpoint_until=clock.wall() + checkpoint_timeout_s,
        )
        return
    try:
        await driver.throttle(
            measure.worker_id, measure.task_id, measure.epoch, measure.share
        )
    except errors.LaburnumsillError as error:
        logs.event("throttle-failed", detail=error.detail)
