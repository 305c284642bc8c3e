"""How a fake backend server is set up and told to misbehave."""

import dataclasses
import pathlib
import random
import typing
from collections import abc

import pydantic

CHUNK_BYTES = 65_536
"""Size of one piece of a long answer."""

PARETO_SHAPE = 1.5
"""Tail index of the heavy-tailed delay: finite mean, infinite variance."""

Mode = typing.Literal[
    "serve",
    "fail-fast",
    "fail-after-read",
    "truncate",
    "cut",
    "hang",
    "jam",
    "cross",
    "refuse",
]


class Settings(pydantic.BaseModel):
    """Settings of one fake backend server.

    Attributes:
        id: Its name, unique in its service.
        service: The service it belongs to.
        domain: Its failure domain.
        address: ``host:port`` where it takes requests.
        announced_address: What it announces, such as a proxy before it;
            empty means `address`.
        vms: Client addresses of VMs to announce to.
        slots: Requests it runs at a time.
        connections: Connections it says it takes.
        drain_s: Time that it goes on serving after it said it leaves.
        record: File for its runs, see `recorder`.
        log_level: A loguru level name.
    """

    model_config = pydantic.ConfigDict(extra="forbid")

    id: str
    service: str
    domain: str
    address: str
    announced_address: str = ""
    vms: list[str] = pydantic.Field(min_length=1)
    slots: int = 8
    connections: int = 64
    drain_s: float = 3.0
    record: pathlib.Path | None = None
    log_level: str = "INFO"


class Behaviour(pydantic.BaseModel):
    """How requests are treated from now on.

    Attributes:
        mode: ``serve``; ``fail-fast``: `fail_status` before the body is read
            and without a run; ``fail-after-read``: a run, then
            `fail_status`; ``truncate``: a run, then an answer that ends
            after `truncate_at` bytes; ``cut``: a run, then the connection
            is closed without an answer; ``hang``: the request is read and
            never run or answered; ``jam``: the same until the mode changes,
            then it is run and answered late; ``cross``: a run, then the
            whole answer to another request, its id in the header;
            ``refuse``: the listener is closed for `refuse_s`.
        share: Share of the requests that `mode` is for; others are served.
        only_next: How many requests `mode` is for; then it is ``serve``.
        prefix: Only paths that start so are meant by `mode`.
        delay_ms: Mean time that a run takes.
        delay_kind: How that time is spread.
        fail_status: HTTP status of failures.
        answer_bytes: Length of a whole answer, or None for the JSON one.
        truncate_at: Bytes of a truncated answer that are sent.
        refuse_s: How long connections are refused, in seconds.
        announcing: Whether it goes on announcing itself.
    """

    model_config = pydantic.ConfigDict(extra="forbid")

    mode: Mode = "serve"
    share: float = pydantic.Field(default=1.0, ge=0, le=1)
    only_next: int | None = pydantic.Field(default=None, ge=0)
    prefix: str = ""
    delay_ms: float = pydantic.Field(default=0.0, ge=0)
    delay_kind: typing.Literal["fixed", "uniform", "exponential", "pareto"] = (
        "fixed"
    )
    fail_status: int = pydantic.Field(default=503, ge=400, le=599)
    answer_bytes: int | None = pydantic.Field(default=None, ge=0)
    truncate_at: int = pydantic.Field(default=10, ge=0)
    refuse_s: float = pydantic.Field(default=1.0, ge=0)
    announcing: bool = True


@dataclasses.dataclass(slots=True)
class Stats:
    """Counts since the process started.

    Attributes:
        arrived: Requests whose head was read.
        runs: Executions, answered or not.
        answered: Whole answers that were sent off.
        failed: Failures on purpose.
        in_flight: Requests here now.
        busy: Slots in use now.
        peak_in_flight: Most requests here at a time.
        over_committed: Requests that found no free slot.
        last_arrival_at: Wall time of the last arrival, 0 before any.
    """

    arrived: int = 0
    runs: int = 0
    answered: int = 0
    failed: int = 0
    in_flight: int = 0
    busy: int = 0
    peak_in_flight: int = 0
    over_committed: int = 0
    last_arrival_at: float = 0.0


def delay_s(behaviour: Behaviour, draw: random.Random) -> float:
    """Returns the time of one run in seconds, drawn from its distribution.

    Examples:
        >>> delay_s(Behaviour(delay_ms=20), random.Random(1))
        0.02
    """
    mean = behaviour.delay_ms / 1000
    match behaviour.delay_kind:
        case "uniform":
            return draw.uniform(0, 2 * mean)
        case "exponential":
            return draw.expovariate(1 / mean) if mean else 0.0
        case "pareto":
            # The mean of a Pareto variable with scale 1 is a / (a - 1).
            scale = mean * (PARETO_SHAPE - 1) / PARETO_SHAPE
            return scale * draw.paretovariate(PARETO_SHAPE)
        case _:
            return mean


def filler(request_id: str, length: int) -> abc.Iterator[bytes]:
    """Yields `length` bytes: the request id and a space, repeated.

    Each piece starts with the request id again.

    Examples:
        >>> b"".join(filler("ab", 7))
        b'ab ab a'
    """
    unit = (request_id or "-").encode() + b" "
    piece = unit * (CHUNK_BYTES // len(unit) + 1)
    while length > 0:
        part = piece[:length]
        yield part
        length -= len(part)
