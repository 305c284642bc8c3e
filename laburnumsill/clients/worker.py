"""Client of workers, which run tasks under leases.

Every call that changes a task carries the fencing epoch of its placement and
the wall-clock expiry of its lease. A worker refuses an older epoch, and a task
stops by itself when its lease expires.
"""

import abc
import enum
import typing

import httpcore
import orjson
import pydantic

from laburnumsill.clients import http_pools
from laburnumsill.core import clock as clocks
from laburnumsill.core import errors

CONNECT_TIMEOUT_S = 1.0
"""Timeout for a connection to a worker, in seconds."""

KEEP_ALIVE_S = 30.0
"""Time after which an idle connection is closed, in seconds."""

MAX_CONNECTIONS = 16
"""Maximum number of connections to one worker."""

MAX_POOLS = 4_096
"""Number of workers with open connections above which the least recently
used pool is closed."""

_GONE_SLUGS = frozenset({"task-state", "not-found", "lease-ended"})


class Action(enum.StrEnum):
    """An action of a worker on a task."""

    START = "start"
    RENEW = "renew"
    CHECKPOINT = "checkpoint"
    THROTTLE = "throttle"
    STOP = "stop"


class WorkerUnreachableError(errors.UnavailableError):
    """No answer came from a worker; it may have executed the call."""

    slug = "worker-unreachable"
    title = "The worker did not answer"


class UnreadableAnswerError(WorkerUnreachableError):
    """A worker accepted a call, but its answer cannot be parsed."""

    slug = "unreadable-worker-answer"
    title = "The answer of the worker cannot be read"


class WorkerRefusedError(errors.ConflictError):
    """A worker refused a call without executing it."""

    slug = "worker-refused"
    title = "The worker refused the call"


class TaskNotLiveError(WorkerRefusedError):
    """The task is neither prepared nor running on the worker.

    The context has its last `state`, "" if the worker does not know the task,
    and the `ended_reason`.
    """

    slug = "task-not-live"
    title = "The task is not live on the worker"

    @property
    def state(self) -> str:
        """The task's last state, or "" if the worker does not know the task."""
        return str(self.context.get("state") or "")


class TaskReport(pydantic.BaseModel):
    """The state of a task, as reported by its worker.

    Attributes:
        state: ``prepared``, ``running``, ``succeeded``, ``failed`` or
            ``stopped``.
        checkpointed_at: Wall time of its last complete checkpoint, or None.
        ended_reason: Reason for its end, None or empty while it is live.
    """

    model_config = pydantic.ConfigDict(extra="ignore", frozen=True)

    task_id: str
    job_id: str
    epoch: int
    state: str
    lease_deadline: float = 0.0
    accelerators: tuple[int, ...] = ()
    checkpointed_at: float | None = None
    ended_reason: str | None = None

    @property
    def live(self) -> bool:
        """Whether the task is prepared or running."""
        return self.state in ("prepared", "running")


class _TaskList(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra="ignore")

    tasks: list[TaskReport]


class Prepare(pydantic.BaseModel):
    """The body of a prepare call, with all that is needed to start a task."""

    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)

    job_id: str
    epoch: int
    lease_deadline: float
    accelerators: list[int]
    cores: int
    memory_gb: int
    run_s: float | None
    command: str


class WorkerClient(abc.ABC):
    """Interface of clients that call workers by their address.

    Deadlines are monotonic times. Each method raises `WorkerUnreachableError`
    if no answer comes that can be read, `TaskNotLiveError` if the task has
    ended or is unknown, and `WorkerRefusedError` for any other refusal.
    """

    @abc.abstractmethod
    async def prepare(
        self, address: str, task_id: str, order: Prepare, deadline: float
    ) -> TaskReport:
        """Reserves the accelerators of a task without starting it."""

    @abc.abstractmethod
    async def act(
        self,
        address: str,
        action: Action,
        task_id: str,
        epoch: int,
        lease_deadline: float,
        deadline: float,
        share: float = 1.0,
    ) -> TaskReport:
        """Starts, renews, checkpoints, throttles or stops a task.

        Args:
            address: ``host:port`` of the worker.
            action: The action.
            task_id: The task.
            epoch: The fencing epoch of its placement.
            lease_deadline: Wall time at which its lease expires.
            deadline: Monotonic time at which the call times out.
            share: Fraction of full speed, for THROTTLE.
        """

    @abc.abstractmethod
    async def tasks(self, address: str, deadline: float) -> list[TaskReport]:
        """Returns all tasks that a worker still has a record of."""


class HttpWorkerClient(WorkerClient):
    """Calls workers over HTTP with persistent connections."""

    def __init__(self, clock: clocks.Clock) -> None:
        self._pools = http_pools.HttpPools(
            clock,
            http_pools.PoolLimits(
                MAX_CONNECTIONS, KEEP_ALIVE_S, CONNECT_TIMEOUT_S, MAX_POOLS
            ),
        )

    async def prepare(
        self, address: str, task_id: str, order: Prepare, deadline: float
    ) -> TaskReport:
        """Reserves the accelerators of a task, see the base class."""
        raw = await self._call(
            "PUT",
            address,
            f"/tasks/{task_id}/prepare",
            order.model_dump(),
            deadline,
        )
        return _parse(TaskReport, raw, address)

    async def act(
        self,
        address: str,
        action: Action,
        task_id: str,
        epoch: int,
        lease_deadline: float,
        deadline: float,
        share: float = 1.0,
    ) -> TaskReport:
        """Executes an action on a task, see the base class."""
        body: dict[str, typing.Any] = {
            "epoch": epoch,
            "lease_deadline": lease_deadline,
        }
        if action == Action.THROTTLE:
            body["share"] = share
        raw = await self._call(
            "POST", address, f"/tasks/{task_id}/{action}", body, deadline
        )
        return _parse(TaskReport, raw, address)

    async def tasks(self, address: str, deadline: float) -> list[TaskReport]:
        """Returns a worker's tasks, see the base class."""
        raw = await self._call("GET", address, "/tasks", None, deadline)
        return _parse(_TaskList, raw, address).tasks

    async def close(self) -> None:
        """Closes all connections."""
        await self._pools.close()

    async def _call(
        self,
        method: str,
        address: str,
        path: str,
        body: dict[str, typing.Any] | None,
        deadline: float,
    ) -> bytes:
        try:
            response = await self._pools.request(
                method,
                address,
                path,
                {"Content-Type": "application/json"},
                orjson.dumps(body) if body is not None else b"",
                deadline,
            )
        except http_pools.NoResponseError as error:
            raise WorkerUnreachableError(error.detail) from error
        if response.status >= 300:
            raise _refusal(response, f"{method} {path} at {address}")
        return response.content


ModelT = typing.TypeVar("ModelT", bound=pydantic.BaseModel)


def _parse(model: type[ModelT], raw: bytes, address: str) -> ModelT:
    """Returns the parsed body of an answer.

    Raises:
        UnreadableAnswerError: The body does not fit the model.
    """
    try:
        return model.model_validate_json(raw)
    except pydantic.ValidationError as error:
        detail = f"{address} answered {raw[:80]!r}"
        raise UnreadableAnswerError(detail) from error


def _refusal(response: httpcore.Response, call: str) -> WorkerRefusedError:
    """Returns the error that a worker's problem document describes."""
    try:
        document = orjson.loads(response.content)
    except orjson.JSONDecodeError:
        document = {}
    if not isinstance(document, dict):
        document = {}
    slug = str(document.get("type", "")).rpartition("/")[2]
    detail = f"{call}: {response.status} {document.get('detail', '')}"
    if response.status == 404 or slug in _GONE_SLUGS:
        return TaskNotLiveError(
            detail,
            state=document.get("state", ""),
            ended_reason=document.get("ended_reason", ""),
        )
    return WorkerRefusedError(detail, status=response.status)


def indexes(mask: int, count: int) -> list[int]:
    """Returns the indexes of the first `count` bits set in a mask.

    Examples:
        >>> indexes(0b10110, 2)
        [1, 2]
    """
    bits = [bit for bit in range(mask.bit_length()) if mask >> bit & 1]
    return bits[: min(count, len(bits))]
