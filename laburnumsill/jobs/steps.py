"""The steps that a planner pass yields, and helpers to build them."""

import dataclasses
from collections import abc

from laburnumsill.jobs import fit
from laburnumsill.state import jobs_book
from laburnumsill.state import jobs_messages
from laburnumsill.state import placements

Command = (
    jobs_messages.PlaceJob
    | jobs_messages.HoldSlots
    | jobs_messages.DropHold
    | jobs_messages.ReturnWorker
)


@dataclasses.dataclass(frozen=True, slots=True)
class Step:
    """A command to propose, and the reason for the decision log."""

    command: Command
    why: str


def place_command(
    job: placements.Job, slots: fit.Slots, now: float
) -> jobs_messages.PlaceJob:
    """Returns the command that places a job under its next epoch."""
    return jobs_messages.PlaceJob(job.job_id, job.epoch + 1, slots, now)


def avoided_workers(
    book: jobs_book.JobBook, job: placements.Job
) -> abc.Collection[str]:
    """Returns the workers on which a job failed, unless it needs them."""
    if not job.failed_on:
        return ()
    failed = set(job.failed_on)
    others = (
        worker
        for worker_id, worker in book.pool.workers.items()
        if worker_id not in failed and worker.usable
    )
    return failed if fit.ever_fits(others, job.spec) else ()
