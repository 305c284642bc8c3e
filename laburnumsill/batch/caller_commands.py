"""Commands and queries of callers to the job ledger, and their results."""

import enum

import msgspec

from laburnumsill.batch import model
from laburnumsill.core import codec


class JobState(enum.StrEnum):
    """The state of a job as callers see it."""

    QUEUED = "queued"
    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"


@codec.register("batch.submit")
class SubmitJob(msgspec.Struct, frozen=True):
    """Submits a job; a second submission with the same id is ignored."""

    job: model.Job
    at_ms: int


@codec.register("batch.cancel")
class CancelJob(msgspec.Struct, frozen=True):
    """Cancels a job; a job that has ended keeps its state."""

    job_id: str
    at_ms: int


@codec.register("batch.job-query")
class JobQuery(msgspec.Struct, frozen=True):
    """Queries the state of a job."""

    job_id: str


@codec.register("batch.job-answer")
class JobAnswer(msgspec.Struct, frozen=True):
    """The state of a job, "" if the job does not exist."""

    state: str = ""


@codec.register("batch.pending-query")
class PendingQuery(msgspec.Struct, frozen=True):
    """Queries the number of active jobs of a queue that have not begun."""

    queue: str


@codec.register("batch.pending-answer")
class PendingAnswer(msgspec.Struct, frozen=True):
    """The number of active jobs of a queue that have not begun."""

    jobs: int
