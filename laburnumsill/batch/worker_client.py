"""Interface of the scheduler to workers, independent of their protocol."""

import abc
import dataclasses

from laburnumsill.batch import commands
from laburnumsill.batch import model
from laburnumsill.core import errors


class NoAnswerError(errors.OutcomeUnknownError):
    """No clear answer came; the order may have been carried out, or may be."""

    slug = "no-worker-answer"
    title = "The worker gave no clear answer"


class IncarnationGoneError(errors.NotFoundError):
    """Another incarnation answers at the worker's address."""

    slug = "incarnation-gone"
    title = "This incarnation of the worker is gone"


class IncarnationReplacedError(IncarnationGoneError):
    """Another incarnation answers under the worker's name.

    That incarnation may have carried out orders meant for this one, and may
    still do so.
    """

    slug = "incarnation-replaced"
    title = "The worker has started again"


class FencedOffError(errors.ConflictError):
    """The worker has accepted orders of a later term; it did nothing."""

    slug = "fenced-off"
    title = "A later leader has given orders"


class OrderRefusedError(errors.ConflictError):
    """The worker did nothing and will never carry out this order."""

    slug = "order-refused"
    title = "The worker refused the order"


class RunOverError(OrderRefusedError):
    """The run, or a later one of its task, has ended or was stopped there."""

    slug = "run-over"
    title = "The run is over"


class LeaseTooOldError(OrderRefusedError):
    """The lease in the order had expired on the worker's clock."""

    slug = "lease-too-old"
    title = "The lease had ended"


class NothingDoneError(errors.UnavailableError):
    """The worker cannot carry out orders at present; it did nothing."""

    slug = "worker-unwell"
    title = "The worker has done nothing"


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """The answer to an order.

    Attributes:
        clock_ms: The worker's clock when it answered, or None.
    """

    clock_ms: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class RunningRun:
    """A run that a worker lists as running.

    Attributes:
        run: The run.
        saved: Its newest saved progress, or "".
        percent: Its progress, 0 to 100.
    """

    run: model.RunId
    saved: str
    percent: int


@dataclasses.dataclass(frozen=True, slots=True)
class Report:
    """A worker's running runs and its ends that are not acknowledged yet.

    Attributes:
        clock_ms: The worker's clock when it answered.
        running: All runs on the worker.
        ended: Ends in the order of their numbers, which count from 1 without
            gaps; those that come first if there are more.
        malformed_running: Number of malformed rows of running runs. If there
            are any, a run that is missing in `running` may be running.
        malformed_ended: Number of malformed rows of ends. If there are any,
            `ended` lacks numbers, and the run of each of them is unknown.
        omits_ends: Whether the worker may have more ends than it lists.
        acknowledged: Whether the query acknowledged the recorded ends; not if
            another incarnation might have received it.
    """

    clock_ms: int
    running: tuple[RunningRun, ...]
    ended: tuple[commands.EndedRun, ...]
    malformed_running: int = 0
    malformed_ended: int = 0
    omits_ends: bool = False
    acknowledged: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class StartOrder:
    """An order to start a run.

    Attributes:
        run: The run.
        payload: The job's payload.
        saved: Saved progress to resume from, or "".
        lease_ms: End of the lease, on the worker's clock.
        fence: The term of the leader that gives the order.
    """

    run: model.RunId
    payload: str
    saved: str
    lease_ms: int
    fence: int


@dataclasses.dataclass(frozen=True, slots=True)
class ReportOrder:
    """An order to renew the lease and report.

    Attributes:
        lease_ms: End of the lease, on the worker's clock; None for no renewal.
        fence: The term of the leader that gives the order.
        last_end: Number of the last recorded end; the worker may drop the ends
            up to it. Only the incarnation whose ends they are may receive it.
        wait_ms: Long-poll timeout: longest time for which the worker may wait
            for an end before it answers, in ms.
    """

    lease_ms: int | None
    fence: int
    last_end: int
    wait_ms: int


class WorkerClient(abc.ABC):
    """Sends orders to workers.

    Deadlines are monotonic times. Every call may raise NoAnswerError,
    IncarnationGoneError, FencedOffError and NothingDoneError.
    """

    @abc.abstractmethod
    async def start(
        self, worker: model.Worker, order: StartOrder, deadline: float
    ) -> Answer:
        """Starts a run; has no effect on a run that is already started.

        Raises:
            RunOverError: The run has ended on the worker.
            LeaseTooOldError: The lease has expired.
            OrderRefusedError: The order was refused for another reason.
        """

    @abc.abstractmethod
    async def stop(
        self,
        worker: model.Worker,
        run: model.RunId,
        fence: int,
        deadline: float,
    ) -> Answer:
        """Stops a run, or keeps it from ever starting on the worker."""

    @abc.abstractmethod
    async def report(
        self, worker: model.Worker, order: ReportOrder, deadline: float
    ) -> Report:
        """Renews the lease of all runs on the worker and returns a report."""
