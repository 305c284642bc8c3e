"""What goes into and comes out of a domain's job ledger.

Commands carry the wall time they were proposed at (`now`, Unix seconds) and
are idempotent, so that a proposer whose answer was lost repeats them.
"""

import dataclasses
import enum

from laburnumsill.core import codec
from laburnumsill.core import members

MAX_TASKS = 128
"""The most tasks that a gang may have."""


class JobState(enum.StrEnum):
    """Where a job stands.

    CANCELLING says that the cancellation is committed while tasks may still
    run; CANCELLED says that none runs and none ever will.
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
"""The states that a job never leaves."""


class StopReason(enum.StrEnum):
    """Why a placement was stopped before its tasks had ended."""

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
"""The reasons that count as a failed try of the job."""


@codec.register("jobs.spec")
@dataclasses.dataclass(frozen=True, slots=True)
class JobSpec:
    """What a client account asked for; sizes are for each task.

    Attributes:
        account: The client account.
        tasks: Members of the gang.
        accelerators: Accelerators of a task.
        cores: Processor cores of a task.
        memory_gb: Memory of a task in GB.
        adjacency: "rack" for one rack, "any" for anywhere in the domain.
        guaranteed: Whether it claims the account's guarantee; if not it
            borrows and may be stopped for a claim.
        estimated_run_s: The declared run time; nothing safe rests on it.
        run_s: Passed to the worker, or None.
        urgent: Whether it goes before the account's other jobs.
        command: What the worker runs.
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
    """The place of one task.

    Attributes:
        worker_id: The worker.
        mask: The accelerators it holds, bit i for accelerator i.
    """

    worker_id: str
    mask: int


@codec.register("cells.cell")
@dataclasses.dataclass(frozen=True, slots=True)
class Cell:
    """A physical cell, see `cells`.

    Attributes:
        level: A `cells.Level`.
        rack: The rack that it is or lies in.
        worker_id: The worker that it is or lies on; "" for a rack.
        mask: Its accelerators; 0 for a rack or a worker, which are whole.
    """

    level: int
    rack: str
    worker_id: str = ""
    mask: int = 0


@codec.register("jobs.view")
@dataclasses.dataclass(frozen=True, slots=True)
class JobView:
    """A job as it is shown to its owner."""

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
    """Records the home domain chosen for a submission, unless it has one."""

    key: str
    digest: str
    domain: str
    now: float


@codec.register("jobs.get-home")
@dataclasses.dataclass(frozen=True, slots=True)
class GetHome:
    """Asks for the home domain recorded for a submission."""

    key: str
    digest: str


@codec.register("jobs.home")
@dataclasses.dataclass(frozen=True, slots=True)
class Home:
    """The home domain of a submission as first recorded, or ""."""

    domain: str


@codec.register("jobs.submit")
@dataclasses.dataclass(frozen=True, slots=True)
class SubmitJob:
    """Puts a job into the queue; the same id again changes nothing."""

    job_id: str
    digest: str
    spec: JobSpec
    max_queued: int
    now: float


@codec.register("jobs.cancel")
@dataclasses.dataclass(frozen=True, slots=True)
class CancelJob:
    """Cancels a job; a job that has ended stays as it is."""

    job_id: str
    now: float


@codec.register("jobs.put-workers")
@dataclasses.dataclass(frozen=True, slots=True)
class PutWorkers:
    """Adds or changes workers, and removes those that are gone.

    The placements on a worker that is gone or was started anew are stopped.
    """

    present: tuple[members.Worker, ...]
    gone: tuple[str, ...]
    now: float


@codec.register("jobs.place")
@dataclasses.dataclass(frozen=True, slots=True)
class PlaceJob:
    """Gives a queued job its slots under a new fencing epoch.

    Attributes:
        epoch: One more than the job's last epoch.
        slots: One for each task.
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
    """Keeps slots for a queued job and stops the borrowers in its way.

    Attributes:
        epoch: The job's present epoch.
        slots: One for each task; they may still be in use.
        bind: Cells to bind to the account first, for a guaranteed job.
        victims: Borrowing jobs to stop.
        reason: Why they are stopped.
        checkpoint_until: Wall time up to which they may save their work.
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
    """Gives up the slots held for a job, so that it is planned anew."""

    job_id: str
    now: float


@codec.register("jobs.set-guarantees")
@dataclasses.dataclass(frozen=True, slots=True)
class SetGuarantees:
    """Puts the guarantees of a newer configuration in force.

    Attributes:
        cells: For each account the number of single accelerators, pairs,
            workers and racks owed in this domain.
    """

    version: int
    cells: dict[str, tuple[int, int, int, int]]


@codec.register("jobs.return-worker")
@dataclasses.dataclass(frozen=True, slots=True)
class ReturnWorker:
    """Lets a worker that was set aside be tried again."""

    worker_id: str
    now: float


@codec.register("jobs.started")
@dataclasses.dataclass(frozen=True, slots=True)
class JobStarted:
    """Says that every member has prepared and may now be started."""

    job_id: str
    epoch: int
    now: float


@codec.register("jobs.stop")
@dataclasses.dataclass(frozen=True, slots=True)
class StopPlacement:
    """Gives up a placement; its job waits for it to end, then queues again.

    Attributes:
        blamed: The worker on which a task failed, or "".
        detail: What the worker said.
        checkpoint_until: Wall time up to which tasks may save their work; 0
            to stop at once.
        max_tries: Failed tries after which the job ends.
        bad_worker_jobs: Distinct jobs that fail on a worker before it is
            set aside.
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
    """Frees the slots of a stopped placement: no task of it can run now.

    Attributes:
        confirmed: Whether every member confirmed its end; if not, every
            lease has certainly ended.
    """

    job_id: str
    epoch: int
    confirmed: bool
    now: float


@codec.register("jobs.succeeded")
@dataclasses.dataclass(frozen=True, slots=True)
class JobSucceeded:
    """Says that every member ended well; ends the job, frees its slots.

    Attributes:
        bad_worker_jobs: Distinct jobs that fail on a worker before it is
            set aside.
    """

    job_id: str
    epoch: int
    now: float
    bad_worker_jobs: int = 3


@codec.register("jobs.extend-leases")
@dataclasses.dataclass(frozen=True, slots=True)
class ExtendLeases:
    """Moves on the point up to which leases may be granted in the domain.

    A leader grants no lease beyond the committed point, so that the next
    one knows when every lease granted before it has ended.

    Attributes:
        term: The leader's term; one older than the last is refused.
        until: Wall time, the new point.
    """

    term: int
    until: float
    now: float


@codec.register("jobs.leases")
@dataclasses.dataclass(frozen=True, slots=True)
class Leases:
    """How far leases may be granted, and the jobs whose leases may not."""

    until: float
    stopping: tuple[str, ...]


@codec.register("jobs.get")
@dataclasses.dataclass(frozen=True, slots=True)
class GetJob:
    """Asks for one job."""

    job_id: str


@codec.register("jobs.list")
@dataclasses.dataclass(frozen=True, slots=True)
class ListJobs:
    """Asks for jobs, the newest first."""

    account: str | None
    state: JobState | None
    limit: int


@codec.register("jobs.listing")
@dataclasses.dataclass(frozen=True, slots=True)
class Listing:
    """Jobs, the newest first, and the domains that did not answer."""

    jobs: tuple[JobView, ...]
    unavailable: tuple[str, ...] = ()


@codec.register("jobs.get-use")
@dataclasses.dataclass(frozen=True, slots=True)
class GetUse:
    """Asks what each account uses in this domain."""


@codec.register("jobs.account-use")
@dataclasses.dataclass(frozen=True, slots=True)
class AccountUse:
    """What an account uses in a domain.

    Attributes:
        guaranteed: Accelerators in use by its guaranteed jobs.
        borrowed: Accelerators in use by its borrowing jobs.
        borrowed_cores: Cores in use by its borrowing jobs.
        queued: Its jobs that wait.
        running: Its jobs with a placement.
    """

    guaranteed: int = 0
    borrowed: int = 0
    borrowed_cores: int = 0
    queued: int = 0
    running: int = 0


@codec.register("jobs.domain-use")
@dataclasses.dataclass(frozen=True, slots=True)
class DomainUse:
    """What is there and in use in a domain.

    Attributes:
        accelerators: Those of all workers.
        free_accelerators: Those that nothing runs on.
        free_cores: Cores that nothing runs on.
        queued_accelerators: Those that waiting jobs ask for.
        queued_cores: Cores that waiting jobs ask for.
        shortfall: Accelerators missing to restore all guarantees.
        accounts: By name.
    """

    accelerators: int
    free_accelerators: int
    free_cores: int
    queued_accelerators: int
    queued_cores: int
    shortfall: int
    accounts: dict[str, AccountUse]
