"""Job operations of API callers, on any VM."""

from laburnumsill.batch import caller_commands
from laburnumsill.batch import model
from laburnumsill.core import clock as clocks
from laburnumsill.core import errors
from laburnumsill.core import replication

ANSWER_MARGIN_S = 0.1
"""Part of a caller's deadline that is reserved for the way of the answer."""

MAX_SUBMISSION_S = 60.0
"""Longest time for which a submission may wait, whatever its caller allows. A
cancellation that overtakes it is recorded for longer than that."""

MAX_STEPS = 40_000
"""Limit of the steps of all jobs whose records are kept: about 100 MB of memory
in each VM of the group."""

MAX_CONTENT_BYTES = 120_000_000
"""Limit of the memory that all jobs whose records are kept may take in each VM
of the group, by their own estimate, in bytes."""

QUERY_TIMEOUT_S = 1.0
"""Timeout of a query."""


class UnknownJobError(errors.NotFoundError):
    """There is no record of the job; records expire some time after the end."""

    slug = "unknown-job"
    title = "Unknown job"


class JobGateway:
    """Submits, cancels and queries jobs in the group of the ledger.

    Deadlines are monotonic. A command may use all the time to its deadline. It
    fails early if no leader can accept it. If its outcome is unknown, the
    outcome is queried until it is known, since the caller could not safely
    retry the command.

    Args:
        group: The group whose state machine holds the ledger.
        groups: Access to the groups of this VM.
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
            caller_commands.JobWithdrawnError: The job was cancelled before; it
                never runs.
            errors.UnavailableError: The job was certainly not accepted, for one
                because all jobs together would have over `MAX_STEPS` steps
                or `MAX_CONTENT_BYTES`.
            errors.OutcomeUnknownError: The job may have been accepted.
        """
        command = caller_commands.SubmitJob(
            job, self._clock.wall_ms(), MAX_STEPS, MAX_CONTENT_BYTES
        )
        deadline = self._deadline_within(deadline, MAX_SUBMISSION_S)
        await self._groups.propose(
            self._group, command, deadline - ANSWER_MARGIN_S
        )

    async def cancel(self, job_id: str, account: str, deadline: float) -> str:
        """Cancels a job; returns its state, which may be another end.

        Args:
            job_id: The job.
            account: Client account of the caller, "" if it is not known.
            deadline: Monotonic time.

        Raises:
            UnknownJobError: There is no such job. It is not accepted later
                either, if a submission of it is still on its way.
            errors.LaburnumsillError: The job may or may not be cancelled.
        """
        command = caller_commands.CancelJob(
            job_id, self._clock.wall_ms(), account
        )
        answer = await self._groups.propose(
            self._group, command, deadline - ANSWER_MARGIN_S
        )
        if not answer.state:
            raise UnknownJobError(f"no job {job_id!r}")
        return str(answer.state)

    async def job_state(self, job_id: str, deadline: float) -> str:
        """Returns the state of a job as shown to callers.

        Raises:
            UnknownJobError: There is no such job.
            errors.UnavailableError: No confirmed answer came.
        """
        answer = await self._groups.query(
            self._group,
            caller_commands.JobQuery(job_id),
            self._deadline_within(deadline, QUERY_TIMEOUT_S),
        )
        if not answer.state:
            raise UnknownJobError(f"no job {job_id!r}")
        return str(answer.state)

    async def pending_jobs(self, queue: str, deadline: float) -> int:
        """Returns the number of jobs of a queue that have not started.

        Raises:
            errors.UnavailableError: No confirmed answer came.
        """
        answer = await self._groups.query(
            self._group,
            caller_commands.PendingQuery(queue),
            self._deadline_within(deadline, QUERY_TIMEOUT_S),
        )
        return int(answer.jobs)

    def _deadline_within(self, deadline: float, limit_s: float) -> float:
        return min(deadline, self._clock.monotonic() + limit_s)
