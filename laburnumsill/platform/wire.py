"""The messages of the platform, field by field as they are on the wire."""

import typing

import msgspec

LARGEST_NUMBER = 2**53
"""Numbers up to this one are exact for all readers of JSON, and fit into the
log's 64 bits."""

LARGEST_AMOUNT = 10**9
"""A million cores, or a petabyte of memory in MB."""

MOST_ACCELERATORS = 10_000
"""Of one worker; the users' workers have 8."""

LONGEST_NAME = 256
"""Of a service, a failure domain or a label, in characters."""

Whole = typing.Annotated[int, msgspec.Meta(ge=-(2**63), le=2**63 - 1)]
"""What the log carries."""

Count = typing.Annotated[int, msgspec.Meta(ge=0, le=LARGEST_NUMBER)]
Number = typing.Annotated[int, msgspec.Meta(ge=1, le=LARGEST_NUMBER)]
Percent = typing.Annotated[float, msgspec.Meta(ge=0, le=LARGEST_NUMBER)]
Amount = typing.Annotated[int, msgspec.Meta(ge=0, le=LARGEST_AMOUNT)]
Accelerators = typing.Annotated[int, msgspec.Meta(ge=0, le=MOST_ACCELERATORS)]
Name = typing.Annotated[
    str, msgspec.Meta(min_length=1, max_length=LONGEST_NAME)
]


class StepBody(msgspec.Struct):
    """A step of a submitted job; fields that are zero are left out."""

    count: Whole
    cpu: Count = 0  # thousandths of a core
    mem_mb: Count = 0
    gpu: Count = 0
    estimate_ms: Count = 0
    depends_on: tuple[Whole, ...] = ()
    saves_progress: bool = False
    gang: bool = False
    same_rack: bool = False
    data_rack: str = ""
    required_label: str = ""
    max_per_server: Count = 0  # a server is a worker here
    speculative: bool = False
    long_running: bool = False


class JobBody(msgspec.Struct):
    """A submitted job."""

    steps: tuple[StepBody, ...]
    spec: str = ""  # opaque; handed to the workers unread
    repeat_count: Count = 0
    start_at_ms: Whole = 0  # ms since 1970
    interval_ms: Count = 0


class CapacityBody(msgspec.Struct):
    """What a worker has in all."""

    cpu: Amount
    mem_mb: Amount
    gpu: Accelerators


class HeartbeatBody(msgspec.Struct):
    """What a worker says of itself; its id is in the path.

    Nothing that workers always send has a default: what lacks it was not
    sent by a worker.
    """

    service: Name
    address: str
    zone: Name
    version: str  # of its software, not of a message
    slots: Count
    state: typing.Literal["ready", "draining"]
    cold_left_ms: Count
    seq: Count
    capacity: CapacityBody
    labels: tuple[Name, ...]
    clock_ms: Count | msgspec.UnsetType = msgspec.UNSET
    born: Count | msgspec.UnsetType = msgspec.UNSET  # Unix ms of its start
    remaining_ms: Count = 0  # the least time left, only while it drains


class RouteBody(msgspec.Struct):
    """A route of the configuration, which is a queue of jobs."""

    name: str
    host: str
    path_prefix: str
    service: str
    timeout_ms: Whole
    kind: str = ""
    target_duration_ms: Whole = 0
    priority: Whole = 0
    max_attempts: Whole = 1
    stretch: float = 1.0
    public: bool = False
    advice: dict[str, int] | None = None


class ServiceBody(msgspec.Struct):
    """A service of the configuration, which is a pool of workers."""

    name: str
    enforces_capacity: bool = False
    standby: bool = False


class LimitsBody(msgspec.Struct):
    """Bounds of callers' requests."""

    max_header_bytes: Whole = 16384
    max_body_bytes: Whole = 262144


class GuaranteeBody(msgspec.Struct):
    """What is a tenant's own."""

    gpu: Whole = 0


class TenantBody(msgspec.Struct):
    """A tenant of the configuration, which is a client account."""

    name: str
    api_keys: tuple[str, ...] = ()
    guaranteed: GuaranteeBody = msgspec.field(default_factory=GuaranteeBody)


class ConfigurationBody(msgspec.Struct):
    """A whole configuration."""

    version: Whole
    routes: tuple[RouteBody, ...]
    services: tuple[ServiceBody, ...]
    limits: LimitsBody = msgspec.field(default_factory=LimitsBody)
    tenants: tuple[TenantBody, ...] = ()


class OrderAnswer(msgspec.Struct):
    """A worker's answer to an order."""

    clock_ms: Count | None = None
    reason: str = ""  # of a refusal: fence, old, late, room, ticket


class ReportAnswer(msgspec.Struct):
    """A worker's answer to a hold; its rows are read one by one."""

    clock_ms: Count
    born: Count | msgspec.UnsetType = msgspec.UNSET  # Unix ms of its start
    running: list[msgspec.Raw] = []
    ended: list[msgspec.Raw] = []


class RunningRow(msgspec.Struct, array_like=True):
    """A run in a hold; further entries may follow."""

    task: str
    run: Number
    saved: str
    percent: Percent


class EndedRow(msgspec.Struct, array_like=True):
    """An end in a hold."""

    seq: Number  # N on the users' pages
    task: str
    run: Number
    how: str
    saved: str = ""
