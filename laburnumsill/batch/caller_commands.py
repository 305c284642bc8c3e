"""Commands and queries of callers to the job ledger, and their results."""

import enum

import msgspec

from laburnumsill.batch import model
from laburnumsill.core import codec


class JobState(enum.StrEnum):
    """What is shown of a job."""

    QUEUED = "queued"
    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"


@codec.register("batch.submit")
class SubmitJob(msgspec.Struct, frozen=True):
    """Accepts a job; a second submission with its id changes nothing."""

    job: model.Job
    at_ms: int


@codec.register("batch.cancel")
class CancelJob(msgspec.Struct, frozen=True):
    """Cancels a job; one that has ended stays as it is."""

    job_id: str
    at_ms: int


@codec.register("batch.job-query")
class JobQuery(msgspec.Struct, frozen=True):
    """Asks for the state of a job."""

    job_id: str


@codec.register("batch.job-answer")
class JobAnswer(msgspec.Struct, frozen=True):
    """The state of a job; empty if there is no such job."""

    state: str = ""


@codec.register("batch.pending-query")
class PendingQuery(msgspec.Struct, frozen=True):
    """Asks how many jobs of a queue have not begun."""

    queue: str


@codec.register("batch.pending-answer")
class PendingAnswer(msgspec.Struct, frozen=True):
    """How many jobs of a queue have not begun."""

    jobs: int
