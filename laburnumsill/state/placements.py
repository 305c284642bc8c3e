"""Jobs and their placements as the ledger keeps them."""

import dataclasses

from laburnumsill.core import clock
from laburnumsill.state import jobs_messages


@dataclasses.dataclass(slots=True)
class Placement:
    """One try to run a job: the slots of its tasks under one epoch.

    Attributes:
        epoch: The fencing epoch; grows with each placement of the job.
        slots: The place of each task.
        placed_at: Wall time of its commit.
        running: Whether every member has prepared.
        stopping: Why it was given up, or None.
        lease_bound: Wall time after which no lease of it is valid; set when
            it is stopped.
        checkpoint_until: Wall time up to which its tasks may save work.
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
        """Wall time from which its leases have certainly ended."""
        return self.lease_bound + clock.MAX_CLOCK_DRIFT_S


@dataclasses.dataclass(slots=True)
class Job:
    """A job and what became of it so far.

    Attributes:
        sequence: Its place in the order of submission to the domain.
        hopeless: Whether it ends as failed once its placement has ended.
        failed_on: The worker of each failed try.
        hold: Slots kept for it until they are free, or ().
        interruptions: How often it was stopped through no fault of its own.
        queued_at: Since when it waits, wall time.
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
        """The slots of its placement, or () without one."""
        return self.placement.slots if self.placement else ()

    @property
    def stoppable(self) -> bool:
        """Whether it borrows and runs, so that a claim may stop it."""
        placement = self.placement
        return placement is not None and not self.spec.guaranteed

    @property
    def ended(self) -> bool:
        """Whether it will never run again."""
        return self.state in jobs_messages.ENDED

    def view(self, domain: str) -> jobs_messages.JobView:
        """Returns the job as it is shown to its owner."""
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
    """Returns the name of a task on its worker.

    Examples:
        >>> task_id("north.5f", 2, 0)
        'north.5f-2-0'
    """
    return f"{job_id}-{epoch}-{member}"
