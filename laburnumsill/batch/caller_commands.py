"""Commands and queries of callers to the job ledger, and their results."""

import enum

import msgspec

from laburnumsill.batch import model
from laburnumsill.core import codec
from laburnumsill.core import errors


class JobState(enum.StrEnum):
    """The state of a job as callers see it."""

    QUEUED = "queued"
    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"


class JobWithdrawnError(errors.ConflictError):
    """The job was cancelled before this submission of it; it never runs."""

    slug = "job-withdrawn"
    title = "The job was cancelled before it was submitted"


class TooManyStepsError(errors.OverloadedError):
    """The jobs that are kept have too many steps; this one was not accepted."""

    slug = "too-many-steps"
    title = "All jobs together have too many steps"
    default_retry_after_s = 10.0


class JobsTooLargeError(errors.OverloadedError):
    """The jobs that are kept take too much memory; this one was not accepted.

    See `model.Job.content_bytes`.
    """

    slug = "jobs-too-large"
    title = "All jobs together are too large"
    default_retry_after_s = 10.0


class TooManyWithdrawnError(errors.OverloadedError):
    """Too many unknown jobs were cancelled; this one was not."""

    slug = "too-many-withdrawn"
    title = "Too many unknown jobs were cancelled"
    default_retry_after_s = 10.0


@codec.register("batch.submit")
class SubmitJob(msgspec.Struct, frozen=True):
    """Submits a job; a second submission with the same id is ignored.

    It is refused if the job was cancelled before it was first submitted.

    Attributes:
        job: The job.
        at_ms: When the request was received, ms since 1970.
        max_steps: Limit of the steps of all jobs whose records are kept, 0 for
            none, as in commands of earlier versions.
        max_content_bytes: Limit of the `content_bytes` of these jobs, 0 for
            none, likewise.
    """

    job: model.Job
    at_ms: int
    max_steps: int = 0
    max_content_bytes: int = 0


@codec.register("batch.cancel")
class CancelJob(msgspec.Struct, frozen=True):
    """Cancels a job; a job that has ended keeps its state.

    A job that does not exist is withdrawn: it is not accepted later. Commands
    of earlier versions of this program, without an account, withdraw none.

    Attributes:
        job_id: The job.
        at_ms: When the request was received, ms since 1970.
        account: Client account of the caller, "" if it is not known, None in
            commands of earlier versions.
    """

    job_id: str
    at_ms: int
    account: str | None = None


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
