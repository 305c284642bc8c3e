"""Calls to workers: the tasks they run under leases.

Every call carries the fencing epoch of the placement and the wall-clock
deadline of the lease; a worker refuses an older epoch, and a task stops by
itself when its lease ends.
"""

import abc
import collections
import enum
import typing

import httpcore
import orjson
import pydantic
import trio

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
    """Calls workers over HTTP with connections that are kept open.

    Each worker has a pool of its own, because a pool looks through all its
    connections at each call.
    """

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._pools: collections.OrderedDict[
            str, httpcore.AsyncConnectionPool
        ] = collections.OrderedDict()

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
        for pool in self._pools.values():
            await pool.aclose()
        self._pools.clear()

    def _pool_of(self, address: str) -> httpcore.AsyncConnectionPool:
        pool = self._pools.get(address)
        if pool is None:
            pool = httpcore.AsyncConnectionPool(
                max_connections=MAX_CONNECTIONS,
                max_keepalive_connections=MAX_CONNECTIONS,
                keepalive_expiry=KEEP_ALIVE_S,
            )
            self._pools[address] = pool
        self._pools.move_to_end(address)
        return pool

    async def _close_unused(self) -> None:
        """Closes the longest unused pool where there are too many."""
        if len(self._pools) <= MAX_POOLS:
            return
        address, pool = next(iter(self._pools.items()))
        if all(entry.is_idle() for entry in pool.connections):
            del self._pools[address]
            await pool.aclose()

    async def _call(
        self,
        method: str,
        address: str,
        path: str,
        body: dict[str, typing.Any] | None,
        deadline: float,
    ) -> bytes:
        remaining = deadline - self._clock.monotonic()
        response = None
        with trio.move_on_after(max(0.0, remaining)):
            response = await self._request(method, address, path, body)
        if response is None:
            raise WorkerUnreachableError(f"{method} {path} at {address}: late")
        if response.status >= 300:
            raise _refusal(response, f"{method} {path} at {address}")
        return response.content

    async def _request(
        self,
        method: str,
        address: str,
        path: str,
        body: dict[str, typing.Any] | None,
    ) -> httpcore.Response:
        await self._close_unused()
        try:
            return await self._pool_of(address).request(
                method,
                f"http://{address}{path}",
                headers={"Content-Type": "application/json"},
                content=orjson.dumps(body) if body is not None else b"",
                extensions={"timeout": {"connect": CONNECT_TIMEOUT_S}},
            )
        except (
            httpcore.NetworkError,
            httpcore.ProtocolError,
            httpcore.TimeoutException,
            httpcore.UnsupportedProtocol,
        ) as error:
            raise WorkerUnreachableError(
                f"{method} {path} at {address}: {error!r}"
            ) from error


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
