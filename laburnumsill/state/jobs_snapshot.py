"""Snapshot records of a job ledger; all other state is derived from them."""

import dataclasses

from laburnumsill.core import codec
from laburnumsill.core import members
from laburnumsill.state import jobs_messages
from laburnumsill.state import placements
from laburnumsill.state import workers

_HEALTH = ("failed_jobs", "aside_until", "asides", "gone")


@dataclasses.dataclass(frozen=True, slots=True)
class KeyRecord:
    """The home domain recorded for a submission's idempotency key.

    Attributes:
        domain: The home domain.
        digest: Digest of the submission.
        recorded_at: Wall time of the record.
    """

    domain: str
    digest: str
    recorded_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class WorkerState:
    """Stored state of a worker, see `workers.WorkerRecord`."""

    announced: members.Worker
    failed_jobs: list[str]
    aside_until: float
    asides: int
    gone: bool


@codec.register("jobs.ledger")
@dataclasses.dataclass(frozen=True, slots=True)
class LedgerDump:
    """Snapshot of a `jobs.JobLedger`."""

    jobs: list[placements.Job]
    workers: list[WorkerState]
    keys: dict[str, KeyRecord]
    guarantees: dict[str, tuple[int, int, int, int]]
    guarantees_version: int
    bound: dict[str, list[jobs_messages.Cell]]
    sequence: int
    lease_term: int
    lease_until: float


def worker_state(record: workers.WorkerRecord) -> WorkerState:
    """Returns the stored state of a worker."""
    return WorkerState(
        record.announced,
        **{name: getattr(record, name) for name in _HEALTH},
    )


def worker_record(state: WorkerState) -> workers.WorkerRecord:
    """Returns a worker's record without tasks and reservations."""
    return workers.WorkerRecord(
        state.announced,
        **{name: getattr(state, name) for name in _HEALTH},
    )
