"""What the parts of a scheduler's term share."""

import abc

from laburnumsill.batch import ledger as ledgers
from laburnumsill.batch import model
from laburnumsill.batch import worker_client
from laburnumsill.batch import worker_health
from laburnumsill.core import clock as clocks
from laburnumsill.core import learnt_wait
from laburnumsill.core import logs


class Term(abc.ABC):
    """What a session needs of the scheduler that leads.

    Attributes:
        ledger: The replicated record as applied on this VM.
        client: Gives orders to workers.
        clock: The clock of this process.
        fence: The term of the lead, on every order.
        health: What was observed of workers.
        longest_lease_ms: The longest lease that workers grant.
        attempt: How long workers are given for an answer.
    """

    ledger: ledgers.BatchLedger
    client: worker_client.WorkerClient
    clock: clocks.Clock
    fence: int
    health: worker_health.WorkerHealth
    longest_lease_ms: int
    attempt: learnt_wait.LearntWait

    @abc.abstractmethod
    async def commit(self, command: object) -> object:
        """Returns a command's result; a lost lead ends the term instead."""

    @abc.abstractmethod
    async def verified(self, worker: model.Worker) -> None:
        """Notes that a worker was there after another claimed its place.

        Others of its name have ended, since one incarnation lives at a time.
        """

    @abc.abstractmethod
    def is_served(self, pool: str) -> bool:
        """Returns whether a run may ever have been ordered in a pool."""

    @abc.abstractmethod
    def wake(self) -> None:
        """Has a plan made soon."""

    @abc.abstractmethod
    def note_seen(self, run: model.RunId) -> None:
        """Notes that a run was seen running for the first time."""

    @abc.abstractmethod
    def fenced_off(self, worker_id: str) -> None:
        """Notes that a worker obeys a later leader."""

    @abc.abstractmethod
    def doubt_domain_of(self, worker: model.Worker) -> None:
        """Notes that a worker does not answer any more.

        Its failure domain may be cut off, so the others are asked.
        """

    def log_end(self, job_id: str) -> None:
        """Writes a line if a job has ended, with what its end is judged by."""
        record = self.ledger.jobs.get(job_id)
        if record is None or record.active:
            return
        logs.event(
            "job-ended",
            job=job_id,
            state=record.state,
            queue=record.job.queue,
            account=record.job.account,
            took_ms=record.ended_ms - record.submitted_ms,
            stretch=record.job.terms.stretch,
            target_ms=record.job.terms.target_ms,
        )
