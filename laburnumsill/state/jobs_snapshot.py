"""What a snapshot holds of a job ledger; all else is derived from it."""

import dataclasses

from laburnumsill.core import codec
from laburnumsill.core import members
from laburnumsill.state import jobs_messages
from laburnumsill.state import placements
from laburnumsill.state import workers

_HEALTH = ("failed_jobs", "aside_until", "asides", "gone")


@dataclasses.dataclass(frozen=True, slots=True)
class KeyRecord:
    """The home that was chosen for a submission key."""

    domain: str
    digest: str
    recorded_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class WorkerState:
    """What a snapshot holds of a worker; the rest is derived."""

    announced: members.Worker
    failed_jobs: list[str]
    aside_until: float
    asides: int
    gone: bool


@codec.register("jobs.ledger")
@dataclasses.dataclass(frozen=True, slots=True)
class LedgerDump:
    """The whole state of a ledger."""

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
    """Returns what a snapshot holds of a worker."""
    return WorkerState(
        record.announced,
        **{name: getattr(record, name) for name in _HEALTH},
    )


def worker_record(state: WorkerState) -> workers.WorkerRecord:
    """Returns the record of a worker with nothing on it."""
    return workers.WorkerRecord(
        state.announced,
        **{name: getattr(state, name) for name in _HEALTH},
    )
