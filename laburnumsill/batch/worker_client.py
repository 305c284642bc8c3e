"""What the scheduler asks of workers, whatever protocol they speak."""

import abc
import dataclasses

from laburnumsill.batch import commands
from laburnumsill.batch import model
from laburnumsill.core import errors


class NoAnswerError(errors.OutcomeUnknownError):
    """No clear answer came; the order may have been or be carried out."""

    slug = "no-worker-answer"
    title = "The worker gave no clear answer"


class IncarnationGoneError(errors.NotFoundError):
    """Another incarnation answers at the worker's address."""

    slug = "incarnation-gone"
    title = "This incarnation of the worker is gone"


class IncarnationReplacedError(IncarnationGoneError):
    """Another incarnation answers under the worker's name.

    It may have carried out orders that were meant for this one, and may still
    do so.
    """

    slug = "incarnation-replaced"
    title = "The worker has started again"


class FencedOffError(errors.ConflictError):
    """The worker has obeyed a leader of a later term; nothing was done."""

    slug = "fenced-off"
    title = "A later leader has given orders"


class OrderRefusedError(errors.ConflictError):
    """The worker will never carry out this order; nothing was done."""

    slug = "order-refused"
    title = "The worker refused the order"


class RunOverError(OrderRefusedError):
    """The run, or a later one of its task, has ended or was stopped there."""

    slug = "run-over"
    title = "The run is over"


class LeaseTooOldError(OrderRefusedError):
    """The lease that came with the order had ended on the worker's clock."""

    slug = "lease-too-old"
    title = "The lease had ended"


class NothingDoneError(errors.UnavailableError):
    """The worker is not well and has done nothing."""

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
        run: Which run.
        saved: Its newest saved progress, or "".
        percent: How much of it is done, 0 to 100.
    """

    run: model.RunId
    saved: str
    percent: int


@dataclasses.dataclass(frozen=True, slots=True)
class Report:
    """What a worker runs, and the ends that are not noted yet.

    Attributes:
        clock_ms: The worker's clock when it answered.
        running: All that runs on it.
        ended: Ends in the order of their numbers.
        unread_running: How many of what runs on it could not be read, so
            that a run which is not listed may be there.
        unread_ended: How many ends could not be read.
    """

    clock_ms: int
    running: tuple[RunningRun, ...]
    ended: tuple[commands.EndedRun, ...]
    unread_running: int = 0
    unread_ended: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class StartOrder:
    """An order to start a run.

    Attributes:
        run: Which run.
        payload: The job's payload.
        saved: Progress to go on from, or "".
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
    """An order to prolong the lease and report.

    Attributes:
        lease_ms: End of the lease, on the worker's clock; None leaves it.
        fence: The term of the leader that gives the order.
        noted: Ends up to this number may be forgotten.
        wait_ms: The answer may wait so long for an end, in ms.
    """

    lease_ms: int | None
    fence: int
    noted: int
    wait_ms: int


class WorkerClient(abc.ABC):
    """Gives orders to workers.

    Deadlines are monotonic points. Every call may raise NoAnswerError,
    IncarnationGoneError, FencedOffError and NothingDoneError.
    """

    @abc.abstractmethod
    async def start(
        self, worker: model.Worker, order: StartOrder, deadline: float
    ) -> Answer:
        """Starts a run; a run that is there already stays.

        Raises:
            RunOverError: It has ended there.
            LeaseTooOldError: The lease has ended.
            OrderRefusedError: It was refused for another reason.
        """

    @abc.abstractmethod
    async def stop(
        self,
        worker: model.Worker,
        run: model.RunId,
        fence: int,
        deadline: float,
    ) -> Answer:
        """Stops a run; one that is not there will never start."""

    @abc.abstractmethod
    async def report(
        self, worker: model.Worker, order: ReportOrder, deadline: float
    ) -> Report:
        """Prolongs the lease of all that runs there and returns a report."""
