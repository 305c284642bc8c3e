"""The ledger's records of jobs and placements."""

import dataclasses

from laburnumsill.core import clock
from laburnumsill.state import jobs_messages


@dataclasses.dataclass(slots=True)
class Placement:
    """One try to run a job: the slots of its tasks under one epoch.

    Attributes:
        epoch: The fencing epoch, one more with each placement of the job.
        slots: The slot of each task.
        placed_at: Wall time of the proposal.
        running: Whether all tasks were prepared and may run.
        stopping: Reason why the placement is being stopped, or None.
        lease_bound: Wall time after which no lease of its tasks is valid;
            set when the placement is stopped.
        checkpoint_until: Wall time up to which its tasks may checkpoint.
    """

    epoch: int
    slots: tuple[jobs_messages.Slot, ...]
    placed_at: float
    running: bool = False
    stopping: jobs_messages.StopReason | None = None
    lease_bound: float = 0.0
    checkpoint_until: float = 0.0

    @property
    def safe_at(self) -> float:
        """Wall time from which all leases of its tasks have expired."""
        return self.lease_bound + clock.MAX_CLOCK_DRIFT_S


@dataclasses.dataclass(slots=True)
class Job:
    """Record of a job.

    Attributes:
        job_id: The job's id.
        digest: Digest of the submission.
        spec: The requested resources.
        sequence: Position in the order of submission to the domain.
        submitted_at: Wall time of the submission.
        queued_at: Wall time at which the job was last queued.
        state: The job's state.
        reason: Reason of the last stop or of the end.
        epoch: Fencing epoch of the last placement, 0 before the first.
        placement: The present placement, or None.
        hold: Slots reserved for the queued job, or ().
        hopeless: Whether the limit of failed tries is reached; the job ends
            as failed when its placement is released.
        failed_on: The worker of each failed try.
        interruptions: Number of stops that were not faults of the job.
        started_at: Wall time at which its tasks last started to run.
        ended_at: Wall time of its end.
    """

    job_id: str
    digest: str
    spec: jobs_messages.JobSpec
    sequence: int
    submitted_at: float
    queued_at: float
    state: jobs_messages.JobState = jobs_messages.JobState.QUEUED
    reason: str = ""
    epoch: int = 0
    placement: Placement | None = None
    hold: tuple[jobs_messages.Slot, ...] = ()
    hopeless: bool = False
    failed_on: list[str] = dataclasses.field(default_factory=list)
    interruptions: int = 0
    started_at: float | None = None
    ended_at: float | None = None

    @property
    def slots(self) -> tuple[jobs_messages.Slot, ...]:
        """The slots of the job's placement, or () without one."""
        return self.placement.slots if self.placement else ()

    @property
    def preemptible(self) -> bool:
        """Whether the job is placed on borrowed slots and may be preempted."""
        placement = self.placement
        return placement is not None and not self.spec.guaranteed

    @property
    def ended(self) -> bool:
        """Whether the job has ended and never runs again."""
        return self.state in jobs_messages.ENDED

    def view(self, domain: str) -> jobs_messages.JobView:
        """Returns the view of the job for its owner."""
        return jobs_messages.JobView(
            job_id=self.job_id,
            account=self.spec.account,
            domain=domain,
            state=self.state,
            reason=self.reason,
            epoch=self.epoch,
            failed_tries=len(self.failed_on),
            interruptions=self.interruptions,
            submitted_at=self.submitted_at,
            started_at=self.started_at,
            ended_at=self.ended_at,
            spec=self.spec,
            workers=tuple(slot.worker_id for slot in self.slots),
        )


def task_id(job_id: str, epoch: int, member: int) -> str:
    """Returns the id of a task on its worker.

    Examples:
        >>> task_id("north.5f", 2, 0)
        'north.5f-2-0'
    """
    return f"{job_id}-{epoch}-{member}"
