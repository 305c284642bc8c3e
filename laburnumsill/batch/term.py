"""Interface of the leader's term that its worker sessions depend on."""

import abc

from laburnumsill.batch import ledger as ledgers
from laburnumsill.batch import lost_work
from laburnumsill.batch import model
from laburnumsill.batch import order_slots
from laburnumsill.batch import restarts
from laburnumsill.batch import worker_client
from laburnumsill.batch import worker_health
from laburnumsill.core import adaptive_timeout
from laburnumsill.core import clock as clocks
from laburnumsill.core import logs


class Term(abc.ABC):
    """The leader's term, as worker sessions use it.

    Attributes:
        ledger: The ledger as applied on this VM.
        client: Sends orders to workers.
        clock: The clock of this process.
        fence: Raft term of this leader, the fencing token of every order.
        repeats_fence: Whether an earlier term of this scheduler had the same
            fence, as after a commit that failed while the lead was kept.
            Workers do not refuse the orders of that term.
        health: Observed failures, stalls and run times of workers and tasks.
        longest_lease_ms: The longest lease that workers grant.
        order_timeout: Adaptive timeout of orders.
        order_slots: Limit of the orders in flight.
        lost_work: Counts the work of runs that end without being done.
        restarts: Paces the restarts of long-running tasks.
    """

    ledger: ledgers.BatchLedger
    client: worker_client.WorkerClient
    clock: clocks.Clock
    fence: int
    repeats_fence: bool
    health: worker_health.WorkerHealth
    longest_lease_ms: int
    order_timeout: adaptive_timeout.AdaptiveTimeout
    order_slots: order_slots.OrderSlots
    lost_work: lost_work.LostWork
    restarts: restarts.Restarts

    @property
    @abc.abstractmethod
    def lead_confirmed_at(self) -> float | None:
        """Monotonic time before which no later term began, or None.

        See `replication.LeaderGroups.lead_confirmed_at`.
        """

    @abc.abstractmethod
    async def commit(self, command: object) -> object:
        """Commits a command and returns its result.

        The term ends if the commit fails.
        """

    @abc.abstractmethod
    async def end_other_incarnations(self, worker: model.Worker) -> None:
        """Ends the sessions of other incarnations with a worker's name.

        Called when a contested worker has answered: only one incarnation of a
        name is alive at a time.
        """

    @abc.abstractmethod
    def is_served(self, pool: str) -> bool:
        """Returns whether runs may ever have been started in a pool."""

    @abc.abstractmethod
    def request_plan(self) -> None:
        """Requests a new plan."""

    @abc.abstractmethod
    def record_seen(self, run: model.RunId) -> None:
        """Records that a worker has first listed a run as running."""

    @abc.abstractmethod
    def step_down(self, worker_id: str) -> None:
        """Ends the term: a worker obeys the leader of a later one."""

    @abc.abstractmethod
    def probe_domain_of(self, worker: model.Worker) -> None:
        """Probes the other workers in the failure domain of a worker.

        Called when the worker becomes unreachable, since its whole domain may
        be cut off.
        """

    def log_job_end(self, job_id: str) -> None:
        """Logs the end of a job with the data to evaluate its response time.

        A job that is unknown or active is not logged.
        """
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
