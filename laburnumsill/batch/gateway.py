"""What callers may do with jobs, on any VM."""

from laburnumsill.batch import caller_commands
from laburnumsill.batch import model
from laburnumsill.core import clock as clocks
from laburnumsill.core import errors
from laburnumsill.core import replication

ANSWER_MARGIN_S = 0.1
"""What of a caller's time is left for the answer's way back."""

ASK_WITHIN_S = 1.0
"""Longest wait for a state."""


class UnknownJobError(errors.NotFoundError):
    """There is no such job, or it ended long ago."""

    slug = "unknown-job"
    title = "Unknown job"


class JobGateway:
    """Hands in, cancels and looks up jobs in the group of the ledger.

    Deadlines are monotonic. Commands have them whole: one that nobody can take
    is refused as soon as that shows, and one whose outcome is unknown is asked
    about until it is known, since its caller could not safely try again.

    Args:
        group: The group whose state machine holds the ledger.
        groups: Access to it.
        clock: The clock of this process.
    """

    def __init__(
        self, group: str, groups: replication.Groups, clock: clocks.Clock
    ) -> None:
        self._group = group
        self._groups = groups
        self._clock = clock

    async def submit(self, job: model.Job, deadline: float) -> None:
        """Returns once the job is stored.

        Raises:
            errors.UnavailableError: It was certainly not accepted.
            errors.OutcomeUnknownError: It may have been accepted.
        """
        command = caller_commands.SubmitJob(job, self._clock.wall_ms())
        await self._groups.propose(
            self._group, command, deadline - ANSWER_MARGIN_S
        )

    async def cancel(self, job_id: str, deadline: float) -> str:
        """Cancels a job; returns its state, which may be another end.

        Raises:
            UnknownJobError: There is no such job.
            errors.LaburnumsillError: It may or may not be cancelled.
        """
        command = caller_commands.CancelJob(job_id, self._clock.wall_ms())
        answer = await self._groups.propose(
            self._group, command, deadline - ANSWER_MARGIN_S
        )
        if not answer.state:
            raise UnknownJobError(f"no job {job_id!r}")
        return str(answer.state)

    async def state(self, job_id: str, deadline: float) -> str:
        """Returns what is shown of a job.

        Raises:
            UnknownJobError: There is no such job.
            errors.UnavailableError: No confirmed answer came.
        """
        answer = await self._groups.query(
            self._group,
            caller_commands.JobQuery(job_id),
            self._within(deadline, ASK_WITHIN_S),
        )
        if not answer.state:
            raise UnknownJobError(f"no job {job_id!r}")
        return str(answer.state)

    async def pending(self, queue: str, deadline: float) -> int:
        """Returns how many jobs of a queue have not begun.

        Raises:
            errors.UnavailableError: No confirmed answer came.
        """
        answer = await self._groups.query(
            self._group,
            caller_commands.PendingQuery(queue),
            self._within(deadline, ASK_WITHIN_S),
        )
        return int(answer.jobs)

    def _within(self, deadline: float, limit_s: float) -> float:
        return min(deadline, self._clock.monotonic() + limit_s)
