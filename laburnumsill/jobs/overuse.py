"""Enforcement of declared resources, from delayed usage reports.

A task that uses more cores than it declared is throttled. If it still does in
later reports, or if its memory use leaves its worker short of memory, it is
checkpointed and stopped, which counts as a failed try. On each worker,
borrowers are limited before guaranteed tasks. Safety does not depend on this:
guarantees rest on leases and cells, not on declarations.
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

CHECK_INTERVAL_S = 1.0
"""Interval at which usage reports are evaluated, in seconds."""

OVERUSE_FACTOR = 1.25
"""Ratio of used to declared resources that is tolerated."""

MAX_OVERUSE_REPORTS = 4
"""Maximum number of consecutive reports of over-use before a task is stopped.

The first of them throttles the task.
"""

MEMORY_PRESSURE_FRACTION = 0.95
"""Fraction of a worker's memory in use above which over-use is stopped."""


class TaskUse(pydantic.BaseModel):
    """Resources that a task used at the time of the report."""

    model_config = pydantic.ConfigDict(extra="ignore", from_attributes=True)

    task_id: str
    job_id: str
    epoch: int
    cores: float = 0.0
    memory_gb: float = 0.0


class Report(pydantic.BaseModel):
    """A worker's usage report on its tasks."""

    model_config = pydantic.ConfigDict(extra="ignore", from_attributes=True)

    tasks: list[TaskUse] = []


class EnforcementKind(enum.StrEnum):
    """The kinds of enforcement against over-use."""

    THROTTLE = "throttle"
    STOP = "stop"


@dataclasses.dataclass(frozen=True, slots=True)
class Enforcement:
    """An enforcement against one task.

    Attributes:
        share: Fraction of full speed, for THROTTLE.
        detail: The used and the declared resources.
    """

    kind: EnforcementKind
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
        self._overuse_counts: collections.Counter[str] = collections.Counter()

    def record_report(self, worker_id: str, report: typing.Any) -> None:
        """Stores a worker's newest report; a malformed one is dropped."""
        try:
            self._reports[worker_id] = Report.model_validate(report)
        except pydantic.ValidationError as error:
            logs.event(
                "usage-malformed", worker=worker_id, error=error.error_count()
            )

    def enforcements(self, book: jobs_book.JobBook) -> list[Enforcement]:
        """Returns the enforcements for the reports since the last call."""
        found = []
        reports, self._reports = self._reports, {}
        for worker_id, report in reports.items():
            found += self._on_worker(book, worker_id, report)
        live = sum(len(job.slots) for job in book.live.values())
        if len(self._overuse_counts) > 2 * live + 100:
            self._overuse_counts.clear()
        return found

    def _on_worker(
        self, book: jobs_book.JobBook, worker_id: str, report: Report
    ) -> list[Enforcement]:
        worker = book.pool.workers.get(worker_id)
        if worker is None:
            return []
        memory_gb = sum(task.memory_gb for task in report.tasks)
        short_of_memory = (
            memory_gb > MEMORY_PRESSURE_FRACTION * worker.announced.memory_gb
        )
        borrowed: list[Enforcement] = []
        guaranteed: list[Enforcement] = []
        for task in report.tasks:
            job = book.live.get(task.job_id)
            if job is None or job.epoch != task.epoch:
                continue
            enforcement = self._on_task(job, worker_id, task, short_of_memory)
            if enforcement is not None:
                enforcements = guaranteed if job.spec.guaranteed else borrowed
                enforcements.append(enforcement)
        return borrowed or guaranteed

    def _on_task(
        self,
        job: placements.Job,
        worker_id: str,
        task: TaskUse,
        short_of_memory: bool,
    ) -> Enforcement | None:
        spec = job.spec
        over_cores = task.cores > OVERUSE_FACTOR * max(spec.cores, 0.1)
        over_memory = (
            short_of_memory and task.memory_gb > OVERUSE_FACTOR * spec.memory_gb
        )
        if not over_cores and not over_memory:
            del self._overuse_counts[task.task_id]
            return None
        self._overuse_counts[task.task_id] += 1
        count = self._overuse_counts[task.task_id]
        stop = over_memory or count > MAX_OVERUSE_REPORTS
        if not stop and count > 1:
            return None
        return Enforcement(
            EnforcementKind.STOP if stop else EnforcementKind.THROTTLE,
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


async def enforce(
    enforcement: Enforcement,
    driver: gangs.GangDriver,
    clock: clocks.Clock,
    checkpoint_timeout_s: float,
) -> None:
    """Throttles a task, or commits the stop of its gang."""
    logs.decision(
        "over-use",
        what=enforcement.kind,
        job=enforcement.job_id,
        task=enforcement.task_id,
        worker=enforcement.worker_id,
        share=enforcement.share,
        detail=enforcement.detail,
    )
    if enforcement.kind == EnforcementKind.STOP:
        await driver.commit_stop(
            enforcement.job_id,
            enforcement.epoch,
            jobs_messages.StopReason.OVER_USE,
            blamed=enforcement.worker_id,
            detail=f"used more than declared: {enforcement.detail}",
            checkpoint_until=clock.wall() + checkpoint_timeout_s,
        )
        return
    try:
        await driver.throttle(
            enforcement.worker_id,
            enforcement.task_id,
            enforcement.epoch,
            enforcement.share,
        )
    except errors.LaburnumsillError as error:
        logs.event("throttle-failed", detail=error.detail)
