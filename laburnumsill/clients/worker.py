"""Calls to workers: the tasks they run under leases.

Every call carries the fencing epoch of the placement and the wall-clock
deadline of the lease; a worker refuses an older epoch, and a task stops by
itself when its lease ends.
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
"""Longest time to connect to a worker, in seconds."""

KEEP_ALIVE_S = 30.0
MAX_CONNECTIONS = 16
"""Connections to one worker."""

MAX_POOLS = 4_096
"""Workers whose connections are kept; the longest unused goes first."""

_GONE_SLUGS = frozenset({"task-state", "not-found", "lease-ended"})


class Action(enum.StrEnum):
    """What a worker can be asked to do with a task."""

    START = "start"
    RENEW = "renew"
    CHECKPOINT = "checkpoint"
    THROTTLE = "throttle"
    STOP = "stop"


class WorkerUnreachableError(errors.UnavailableError):
    """No answer from a worker; it may have carried out the call."""

    slug = "worker-unreachable"
    title = "The worker did not answer"


class WorkerRefusedError(errors.ConflictError):
    """A worker refused a call and did nothing."""

    slug = "worker-refused"
    title = "The worker refused the call"


class TaskNotLiveError(WorkerRefusedError):
    """The task is not prepared and not running on the worker.

    The context holds its `state`, "" if the worker does not know it, and
    the `ended_reason`.
    """

    slug = "task-not-live"
    title = "The task is not live on the worker"

    @property
    def state(self) -> str:
        """The task's last state, or "" if the worker does not know it."""
        return str(self.context.get("state") or "")


class TaskReport(pydantic.BaseModel):
    """A task as its worker describes it.

    Attributes:
        state: ``prepared``, ``running``, ``succeeded``, ``failed`` or
            ``stopped``.
        checkpointed_at: Wall time of its last whole checkpoint, or None.
        ended_reason: Why it ended, empty while it is live.
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
        """Whether it holds anything on its worker."""
        return self.state in ("prepared", "running")


class _TaskList(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra="ignore")

    tasks: list[TaskReport]


class Prepare(pydantic.BaseModel):
    """What a worker needs to know of a task before it is started."""

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
    """Calls to workers by their address; deadlines are monotonic points.

    Each method raises `WorkerUnreachableError` where no answer came,
    `TaskNotLiveError` where the task has ended or is unknown, and
    `WorkerRefusedError` for any other refusal.
    """

    @abc.abstractmethod
    async def prepare(
        self, address: str, task_id: str, order: Prepare, deadline: float
    ) -> TaskReport:
        """Reserves for a task; nothing runs yet."""

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
            action: What to do.
            task_id: The task.
            epoch: The fencing epoch of its placement.
            lease_deadline: Wall time up to which it may run.
            deadline: Monotonic point after which no answer is waited for.
            share: Part of full speed, for THROTTLE.
        """

    @abc.abstractmethod
    async def tasks(self, address: str, deadline: float) -> list[TaskReport]:
        """Returns the tasks that a worker remembers."""


class HttpWorkerClient(WorkerClient):
    """Calls workers over HTTP with connections that are kept open."""

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
        """Reserves for a task, see the base class."""
        raw = await self._call(
            "PUT",
            address,
            f"/tasks/{task_id}/prepare",
            order.model_dump(),
            deadline,
        )
        return _parsed(TaskReport, raw, address)

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
        """Acts on a task, see the base class."""
        body: dict[str, typing.Any] = {
            "epoch": epoch,
            "lease_deadline": lease_deadline,
        }
        if action == Action.THROTTLE:
            body["share"] = share
        raw = await self._call(
            "POST", address, f"/tasks/{task_id}/{action}", body, deadline
        )
        return _parsed(TaskReport, raw, address)

    async def tasks(self, address: str, deadline: float) -> list[TaskReport]:
        """Returns a worker's tasks, see the base class."""
        raw = await self._call("GET", address, "/tasks", None, deadline)
        return _parsed(_TaskList, raw, address).tasks

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


def _parsed(model: type[ModelT], raw: bytes, address: str) -> ModelT:
    try:
        return model.model_validate_json(raw)
    except pydantic.ValidationError as error:
        raise WorkerRefusedError(f"{address} answered {raw[:80]!r}") from error


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
    """Returns the first `count` accelerators of a mask.

    Examples:
        >>> indexes(0b10110, 2)
        [1, 2]
    """
    found = [bit for bit in range(mask.bit_length()) if mask >> bit & 1]
    return found[: min(count, len(found))]
