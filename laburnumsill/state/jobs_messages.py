"""Commands, queries and records of a domain's job ledger.

Commands carry the wall time of their proposal (`now`, Unix seconds) and are
idempotent, so that a proposer may retry a command whose answer was lost.
"""

import dataclasses
import enum

from laburnumsill.core import codec
from laburnumsill.core import members

MAX_TASKS = 128
"""Limit of the tasks of a gang."""


class JobState(enum.StrEnum):
    """State of a job.

    CANCELLING: the cancellation is committed, but tasks may still run.
    CANCELLED: no task runs, and none will run.
    """

    QUEUED = "queued"
    PREPARING = "preparing"
    RUNNING = "running"
    STOPPING = "stopping"
    CANCELLING = "cancelling"
    SUCCEEDED = "succeeded"
    FAILED = "failed"
    CANCELLED = "cancelled"


ENDED = frozenset({JobState.SUCCEEDED, JobState.FAILED, JobState.CANCELLED})
"""The final states of a job."""


class StopReason(enum.StrEnum):
    """Reason for stopping a placement before its tasks have ended."""

    CANCELLED = "cancelled"
    RECLAIMED = "reclaimed"
    DRAINED = "drained-for-gang"
    WORKER_LOST = "worker-lost"
    TASK_FAILED = "task-failed"
    REFUSED = "refused-by-worker"
    UNREACHABLE = "worker-unreachable"
    OVER_USE = "over-use"


FAULTS = frozenset(
    {StopReason.TASK_FAILED, StopReason.REFUSED, StopReason.OVER_USE}
)
"""The stop reasons that count as a failed try of the job."""


@codec.register("jobs.spec")
@dataclasses.dataclass(frozen=True, slots=True)
class JobSpec:
    """A job's requested resources and options.

    Attributes:
        account: The client account.
        tasks: Number of tasks of the gang.
        accelerators: Accelerators of a task.
        cores: Processor cores of a task.
        memory_gb: Memory of a task in GB.
        adjacency: "rack" for one rack, "any" for anywhere in the domain.
        guaranteed: Whether the job uses the account's guarantee; if not, it
            borrows free capacity and may be preempted for guaranteed jobs.
        estimated_run_s: The declared run time, an estimate only; safety does
            not depend on it.
        run_s: Run time passed to the worker, or None.
        urgent: Whether the job is placed before the account's other jobs.
        command: The command that the worker runs.
    """

    account: str
    tasks: int = 1
    accelerators: int = 1
    cores: int = 1
    memory_gb: int = 1
    adjacency: str = "rack"
    guaranteed: bool = False
    estimated_run_s: float | None = None
    run_s: float | None = None
    urgent: bool = False
    command: str = ""

    @property
    def total_accelerators(self) -> int:
        """The accelerators of the whole gang."""
        return self.tasks * self.accelerators


@codec.register("jobs.slot")
@dataclasses.dataclass(frozen=True, slots=True)
class Slot:
    """The resources of one task on a worker.

    Attributes:
        worker_id: The worker.
        mask: Accelerators of the task, bit i for accelerator i.
    """

    worker_id: str
    mask: int


@codec.register("cells.cell")
@dataclasses.dataclass(frozen=True, slots=True)
class Cell:
    """A physical cell, see `cells`.

    Attributes:
        level: The size of the cell, a `cells.Level`.
        rack: The rack of the cell.
        worker_id: The worker of the cell; "" if the cell is a rack.
        mask: Accelerators of the cell; 0 if it is a rack or a worker.
    """

    level: int
    rack: str
    worker_id: str = ""
    mask: int = 0


@codec.register("jobs.view")
@dataclasses.dataclass(frozen=True, slots=True)
class JobView:
    """View of a job for its owner, see `placements.Job`."""

    job_id: str
    account: str
    domain: str
    state: JobState
    reason: str
    epoch: int
    failed_tries: int
    interruptions: int
    submitted_at: float
    started_at: float | None
    ended_at: float | None
    spec: JobSpec
    workers: tuple[str, ...]


@codec.register("jobs.record-home")
@dataclasses.dataclass(frozen=True, slots=True)
class RecordHome:
    """Command that records a submission's home domain; the first one stays."""

    key: str
    digest: str
    domain: str
    now: float


@codec.register("jobs.get-home")
@dataclasses.dataclass(frozen=True, slots=True)
class GetHome:
    """Query for the recorded home domain of a submission."""

    key: str
    digest: str


@codec.register("jobs.home")
@dataclasses.dataclass(frozen=True, slots=True)
class Home:
    """Answer with the recorded home domain of a submission, or ""."""

    domain: str


@codec.register("jobs.submit")
@dataclasses.dataclass(frozen=True, slots=True)
class SubmitJob:
    """Command that queues a job; idempotent by `job_id`."""

    job_id: str
    digest: str
    spec: JobSpec
    max_queued: int
    now: float


@codec.register("jobs.cancel")
@dataclasses.dataclass(frozen=True, slots=True)
class CancelJob:
    """Command that cancels a job; no effect on a job that has ended."""

    job_id: str
    now: float


@codec.register("jobs.put-workers")
@dataclasses.dataclass(frozen=True, slots=True)
class PutWorkers:
    """Command that adds, updates and removes workers.

    The placements on a worker that is gone or has restarted are stopped.

    Attributes:
        present: Announcements of the workers to add or update.
        gone: Ids of the workers to remove.
    """

    present: tuple[members.Worker, ...]
    gone: tuple[str, ...]
    now: float


@codec.register("jobs.place")
@dataclasses.dataclass(frozen=True, slots=True)
class PlaceJob:
    """Command that places a queued job under a new fencing epoch.

    Attributes:
        epoch: One more than the job's last epoch.
        slots: One slot for each task.
        bind: Cells to bind to the account first, for a guaranteed job.
    """

    job_id: str
    epoch: int
    slots: tuple[Slot, ...]
    now: float
    bind: tuple[Cell, ...] = ()


@codec.register("jobs.hold")
@dataclasses.dataclass(frozen=True, slots=True)
class HoldSlots:
    """Command that reserves slots for a queued job and stops its victims.

    Attributes:
        epoch: The job's present epoch.
        slots: One slot for each task; they may still be in use.
        bind: Cells to bind to the account first, for a guaranteed job.
        victims: Borrowing jobs to stop.
        reason: Reason for stopping the victims.
        checkpoint_until: Wall time up to which the victims may checkpoint.
    """

    job_id: str
    epoch: int
    slots: tuple[Slot, ...]
    bind: tuple[Cell, ...]
    victims: tuple[str, ...]
    reason: StopReason
    checkpoint_until: float
    now: float


@codec.register("jobs.drop-hold")
@dataclasses.dataclass(frozen=True, slots=True)
class DropHold:
    """Command that cancels a job's reservation, so that it is planned again."""

    job_id: str
    now: float


@codec.register("jobs.set-guarantees")
@dataclasses.dataclass(frozen=True, slots=True)
class SetGuarantees:
    """Command that applies the guarantees of a newer configuration.

    Attributes:
        version: The configuration version.
        cells: For each account, the number of single accelerators, pairs,
            workers and racks guaranteed in this domain.
    """

    version: int
    cells: dict[str, tuple[int, int, int, int]]


@codec.register("jobs.return-worker")
@dataclasses.dataclass(frozen=True, slots=True)
class ReturnWorker:
    """Command that ends the quarantine of a worker."""

    worker_id: str
    now: float


@codec.register("jobs.started")
@dataclasses.dataclass(frozen=True, slots=True)
class JobStarted:
    """Command that records that all tasks are prepared and may start."""

    job_id: str
    epoch: int
    now: float


@codec.register("jobs.stop")
@dataclasses.dataclass(frozen=True, slots=True)
class StopPlacement:
    """Command that stops a placement.

    When the placement has been released, its job is queued again or ends.

    Attributes:
        reason: Reason of the stop.
        blamed: The worker on which a task failed, or "".
        detail: The worker's description of the failure.
        checkpoint_until: Wall time up to which tasks may checkpoint; 0 to
            stop immediately.
        max_tries: Failed tries after which the job ends.
        bad_worker_jobs: Distinct jobs that fail on a worker before it is
            quarantined.
    """

    job_id: str
    epoch: int
    reason: StopReason
    now: float
    blamed: str = ""
    detail: str = ""
    checkpoint_until: float = 0.0
    max_tries: int = 3
    bad_worker_jobs: int = 3


@codec.register("jobs.release")
@dataclasses.dataclass(frozen=True, slots=True)
class ReleasePlacement:
    """Command that frees the slots of a stopped placement.

    Attributes:
        confirmed: Whether the end of all tasks was confirmed; if not, the
            command is refused until all their leases have expired.
    """

    job_id: str
    epoch: int
    confirmed: bool
    now: float


@codec.register("jobs.succeeded")
@dataclasses.dataclass(frozen=True, slots=True)
class JobSucceeded:
    """Command that ends a job all of whose tasks succeeded.

    Attributes:
        bad_worker_jobs: Distinct jobs that fail on a worker before it is
            quarantined.
    """

    job_id: str
    epoch: int
    now: float
    bad_worker_jobs: int = 3


@codec.register("jobs.extend-leases")
@dataclasses.dataclass(frozen=True, slots=True)
class ExtendLeases:
    """Command that extends the lease limit of the domain.

    A leader grants no lease beyond the committed limit, so that the next
    leader knows when all leases granted before have expired.

    Attributes:
        term: The leader's term; an older one than the last is refused.
        until: Wall time up to which leases may be granted.
    """

    term: int
    until: float
    now: float


@codec.register("jobs.leases")
@dataclasses.dataclass(frozen=True, slots=True)
class Leases:
    """Answer to `ExtendLeases`.

    Attributes:
        until: Wall time up to which leases may be granted.
        stopping: Jobs being stopped, whose leases must not be renewed.
    """

    until: float
    stopping: tuple[str, ...]


@codec.register("jobs.get")
@dataclasses.dataclass(frozen=True, slots=True)
class GetJob:
    """Query for one job."""

    job_id: str


@codec.register("jobs.list")
@dataclasses.dataclass(frozen=True, slots=True)
class ListJobs:
    """Query for jobs, the newest first.

    Attributes:
        account: Only jobs of this account, or None for all.
        state: Only jobs in this state, or None for all.
        limit: Limit of the jobs in the answer.
    """

    account: str | None
    state: JobState | None
    limit: int


@codec.register("jobs.listing")
@dataclasses.dataclass(frozen=True, slots=True)
class Listing:
    """Answer with jobs.

    Attributes:
        jobs: The jobs, the newest first.
        unavailable: The domains that did not answer.
    """

    jobs: tuple[JobView, ...]
    unavailable: tuple[str, ...] = ()


@codec.register("jobs.get-use")
@dataclasses.dataclass(frozen=True, slots=True)
class GetUse:
    """Query for the resources in use in this domain by account."""


@codec.register("jobs.account-use")
@dataclasses.dataclass(frozen=True, slots=True)
class AccountUse:
    """Resources in use by an account in a domain.

    Attributes:
        guaranteed: Accelerators in use by its guaranteed jobs.
        borrowed: Accelerators in use by its borrowing jobs.
        borrowed_cores: Cores in use by its borrowing jobs.
        queued: Number of its queued jobs.
        running: Number of its jobs with a placement.
    """

    guaranteed: int = 0
    borrowed: int = 0
    borrowed_cores: int = 0
    queued: int = 0
    running: int = 0


@codec.register("jobs.domain-use")
@dataclasses.dataclass(frozen=True, slots=True)
class DomainUse:
    """Capacity, use and demand of a domain.

    Attributes:
        accelerators: Accelerators of all workers.
        free_accelerators: Free accelerators of usable workers.
        free_cores: Free cores of usable workers.
        queued_accelerators: Accelerators that queued jobs request.
        queued_cores: Cores that queued jobs request.
        shortfall: Accelerators missing to restore all guarantees.
        accounts: Use of each account, by name.
    """

    accelerators: int
    free_accelerators: int
    free_cores: int
    queued_accelerators: int
    queued_cores: int
    shortfall: int
    accounts: dict[str, AccountUse]
