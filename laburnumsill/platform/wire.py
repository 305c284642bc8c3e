"""Schemas of the platform's messages, with the field names of the wire."""

import typing

import msgspec

LARGEST_NUMBER = 2**53
"""Largest integer that every JSON parser represents exactly; it fits the 64-bit
integers of the replicated log."""

LARGEST_AMOUNT = 10**9
"""Limit of a resource amount: a million cores in thousandths, or a petabyte of
memory in MB."""

MOST_ACCELERATORS = 10_000
"""Limit of the accelerators of a worker; the users' workers have 8."""

LONGEST_NAME = 256
"""Length limit of the name of a service, failure domain or label, in
characters."""

Whole = typing.Annotated[int, msgspec.Meta(ge=-(2**63), le=2**63 - 1)]
"""Integer that fits the 64 bits of the replicated log."""

Count = typing.Annotated[int, msgspec.Meta(ge=0, le=LARGEST_NUMBER)]
Number = typing.Annotated[int, msgspec.Meta(ge=1, le=LARGEST_NUMBER)]
Percent = typing.Annotated[float, msgspec.Meta(ge=0, le=LARGEST_NUMBER)]
Amount = typing.Annotated[int, msgspec.Meta(ge=0, le=LARGEST_AMOUNT)]
Accelerators = typing.Annotated[int, msgspec.Meta(ge=0, le=MOST_ACCELERATORS)]
Name = typing.Annotated[
    str, msgspec.Meta(min_length=1, max_length=LONGEST_NAME)
]


class StepBody(msgspec.Struct):
    """A step of a submitted job; callers omit fields that are zero."""

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
    spec: str = ""  # opaque payload, passed to the workers unparsed
    repeat_count: Count = 0
    start_at_ms: Whole = 0  # ms since 1970
    interval_ms: Count = 0


class CapacityBody(msgspec.Struct):
    """Total resources of a worker."""

    cpu: Amount
    mem_mb: Amount
    gpu: Accelerators


class HeartbeatBody(msgspec.Struct):
    """The announcement of a worker, whose id is in the path.

    Fields that workers always send have no default, so a body without them is
    rejected as not sent by a worker.
    """

    service: Name
    address: str
    zone: Name
    version: str  # of the worker's software
    slots: Count
    state: typing.Literal["ready", "draining"]
    cold_left_ms: Count
    seq: Count
    capacity: CapacityBody
    labels: tuple[Name, ...]
    clock_ms: Count
    born: Count | msgspec.UnsetType = msgspec.UNSET  # start time, Unix ms
    # Minimum time left; only while draining.
    remaining_ms: Count | msgspec.UnsetType = msgspec.UNSET


class RouteBody(msgspec.Struct):
    """A route of the configuration; it corresponds to a job queue."""

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
    """A service of the configuration; it corresponds to a worker pool."""

    name: str
    enforces_capacity: bool = False
    standby: bool = False


class LimitsBody(msgspec.Struct):
    """Size limits of callers' requests."""

    max_header_bytes: Whole = 16384
    max_body_bytes: Whole = 262144


class GuaranteeBody(msgspec.Struct):
    """Resources that are guaranteed to a tenant."""

    gpu: Whole = 0


class TenantBody(msgspec.Struct):
    """A tenant of the configuration; it corresponds to a client account."""

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
    """A worker's answer to a hold call; its rows are decoded individually."""

    clock_ms: Count
    born: Count | msgspec.UnsetType = msgspec.UNSET  # start time, Unix ms
    running: list[msgspec.Raw] = []
    ended: list[msgspec.Raw] = []


class RunningRow(msgspec.Struct, array_like=True):
    """A running task in the answer to a hold; further elements are ignored."""

    task: str
    run: Number
    saved: str
    percent: Percent


class EndedRow(msgspec.Struct, array_like=True):
    """An ended run in the answer to a hold."""

    seq: Number  # "N" in the platform documentation
    task: str
    run: Number
    how: str
    saved: str = ""
