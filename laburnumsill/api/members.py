"""HTTP endpoints for backend servers and workers, and lists for operators.

``POST /v1/backend-servers`` announces a backend server, at first and again
as a heartbeat. Body::

    {"server_id": "s1", "service": "tee-sheet", "domain": "north",
     "address": "10.0.0.7:8080", "incarnation": "00001780000000000000",
     "sequence": 17, "slots": 8, "connections": 64,
     "busy": 3, "leaving": false}

``busy`` and ``leaving`` may be left out. ``POST /v1/workers`` announces a
worker. Body::

    {"worker_id": "w1", "domain": "north", "rack": "r1",
     "address": "10.0.1.7:9000", "incarnation": "00001780000000000000",
     "sequence": 17, "cores": 128, "memory_gb": 512, "accelerators": 8,
     "leaving": false}

Incarnations of one member are compared as strings and must increase with each
start of its process: use the start time, padded to a fixed width. The sequence
must increase with each announcement, including retries. The answer to both
calls is 200::

    {"accepted": true, "next_announce_at": 1780000000.35}

``next_announce_at`` is wall time in seconds; ``accepted`` is false if the VM
already has a later announcement. A member that gets 503 or no answer sends the
announcement to the next VM. Problems: 400 ``malformed-json``, 404
``unknown-service`` or ``unknown-domain``, 409 ``stale-incarnation`` (with
``incarnation``, the later one), 503 ``domain-unreachable`` or
``member-table-full``.

``DELETE /v1/backend-servers/{id}?service=...&incarnation=...`` and ``DELETE
/v1/workers/{id}?incarnation=...`` remove the member. 200 ``{"left": true}``,
also when repeated; 400 ``invalid-input`` without the parameters; 404
``unknown-member``: this VM does not know the member, retry with another VM;
409 ``stale-incarnation``; 503 ``domain-unreachable``. To drain, a member first
announces ``"leaving": true``, finishes its running work, then calls DELETE.

``POST /v1/workers/{id}/usage`` reports the resource usage of tasks. Body::

    {"incarnation": "00001780000000000000", "measured_at": 1780000000.0,
     "tasks": [{"task_id": "t1", "job_id": "north.5f", "epoch": 4,
                "state": "running", "cores": 90.5, "memory_gb": 410.0,
                "accelerators": 7.5}]}

202 ``{"accepted": true}``.

``GET /v1/backend-servers`` and ``GET /v1/workers`` list the members in this
VM's member table: ``{"backend_servers": [...]}`` and ``{"workers": [...]}``.
Each has the fields of its announcement and ``usable``: whether this VM may
assign work to it at the moment.
"""

import dataclasses
import ipaddress
import typing

import pydantic
from starlette import requests
from starlette import responses
from starlette import routing

from laburnumsill.api import problems
from laburnumsill.core import errors
from laburnumsill.core import members
from laburnumsill.members import entries
from laburnumsill.members import table as tables
from laburnumsill.members import usage as usage_module

Identifier = typing.Annotated[
    str, pydantic.Field(pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$")
]
MAX_PORT = 65_535


def _checked_address(address: str) -> str:
    """Returns an address unchanged if it is an IP address with a port.

    Other addresses are refused, because no VM could connect to them.
    """
    host, _, port = address.rpartition(":")
    ipaddress.ip_address(host.removeprefix("[").removesuffix("]"))
    if not 1 <= int(port) <= MAX_PORT:
        raise ValueError(f"{port} is no port")
    return address


Address = typing.Annotated[
    str,
    pydantic.Field(pattern=r"^[0-9A-Fa-f.:\[\]]{2,45}:[0-9]{1,5}$"),
    pydantic.AfterValidator(_checked_address),
]
Sequence = typing.Annotated[int, pydantic.Field(ge=0, lt=2**53)]
Amount = typing.Annotated[int, pydantic.Field(ge=0, le=1_000_000)]
Load = typing.Annotated[
    float, pydantic.Field(ge=0, le=1e9, allow_inf_nan=False)
]
WallTime = typing.Annotated[
    float, pydantic.Field(ge=0, le=1e11, allow_inf_nan=False)
]

MAX_TASKS = 10_000
"""Largest number of tasks in one usage report."""


class StrictModel(pydantic.BaseModel):
    """Base of the bodies: refuses unknown fields and converts no types."""

    model_config = pydantic.ConfigDict(extra="forbid", strict=True)


class ServerAnnouncement(StrictModel):
    """The body of an announcement of a backend server."""

    server_id: Identifier
    service: Identifier
    domain: Identifier
    address: Address
    incarnation: Identifier
    sequence: Sequence
    slots: typing.Annotated[int, pydantic.Field(ge=1, le=1024)]
    connections: typing.Annotated[int, pydantic.Field(ge=1, le=65_536)]
    busy: Amount = 0
    leaving: bool = False


class WorkerAnnouncement(StrictModel):
    """The body of an announcement of a worker."""

    worker_id: Identifier
    domain: Identifier
    rack: Identifier
    address: Address
    incarnation: Identifier
    sequence: Sequence
    cores: Amount
    memory_gb: Amount
    accelerators: typing.Annotated[int, pydantic.Field(ge=0, le=1024)]
    leaving: bool = False


class TaskUsage(StrictModel):
    """The resource usage of one task in a report."""

    task_id: typing.Annotated[str, pydantic.Field(max_length=255)]
    job_id: typing.Annotated[str, pydantic.Field(max_length=255)]
    epoch: Sequence
    state: typing.Annotated[str, pydantic.Field(max_length=63)]
    cores: Load
    memory_gb: Load
    accelerators: Load


class UsageReport(StrictModel):
    """The body of a usage report."""

    incarnation: Identifier
    measured_at: WallTime
    tasks: typing.Annotated[
        list[TaskUsage], pydantic.Field(max_length=MAX_TASKS)
    ]


def routes(
    table: tables.MemberTable,
    usage: usage_module.UsageHandler | None = None,
) -> list[routing.Route]:
    """Returns the routes of this module.

    Args:
        table: The member table of this VM.
        usage: Handles the workers' usage reports; None drops them.
    """
    calls = _Endpoints(table, usage)
    paths: list[tuple[str, str, problems.Endpoint]] = [
        ("POST", "/v1/backend-servers", calls.announce_server),
        ("GET", "/v1/backend-servers", calls.list_servers),
        ("DELETE", "/v1/backend-servers/{member_id}", calls.leave_server),
        ("POST", "/v1/workers", calls.announce_worker),
        ("GET", "/v1/workers", calls.list_workers),
        ("DELETE", "/v1/workers/{member_id}", calls.leave_worker),
        ("POST", "/v1/workers/{member_id}/usage", calls.report_usage),
    ]
    return [
        routing.Route(path, problems.guarded(endpoint), methods=[method])
        for method, path, endpoint in paths
    ]


class _Endpoints:
    """The endpoints."""

    def __init__(
        self,
        table: tables.MemberTable,
        usage: usage_module.UsageHandler | None,
    ) -> None:
        self._table = table
        self._usage = usage

    async def announce_server(
        self, request: requests.Request
    ) -> responses.Response:
        body = await problems.read_model(request, ServerAnnouncement)
        server = members.BackendServer(**body.model_dump())
        answer = await self._table.announce_server(server)
        return problems.json_response(answer)

    async def announce_worker(
        self, request: requests.Request
    ) -> responses.Response:
        body = await problems.read_model(request, WorkerAnnouncement)
        worker = members.Worker(**body.model_dump())
        answer = await self._table.announce_worker(worker)
        return problems.json_response(answer)

    async def leave_server(
        self, request: requests.Request
    ) -> responses.Response:
        service = _parameter(request, "service")
        member_id = entries.server_member_id(
            service, request.path_params["member_id"]
        )
        return await self._leave(request, entries.SERVER, member_id)

    async def leave_worker(
        self, request: requests.Request
    ) -> responses.Response:
        member_id = request.path_params["member_id"]
        return await self._leave(request, entries.WORKER, member_id)

    async def report_usage(
        self, request: requests.Request
    ) -> responses.Response:
        body = await problems.read_model(request, UsageReport)
        if self._usage is not None:
            tasks = tuple(
                usage_module.TaskUsage(**task.model_dump())
                for task in body.tasks
            )
            await self._usage(
                usage_module.UsageReport(
                    request.path_params["member_id"],
                    body.incarnation,
                    body.measured_at,
                    tasks,
                )
            )
        return problems.json_response({"accepted": True}, 202)

    async def list_servers(
        self, request: requests.Request
    ) -> responses.Response:
        return problems.json_response(
            {"backend_servers": self._list_members(entries.SERVER)}
        )

    async def list_workers(
        self, request: requests.Request
    ) -> responses.Response:
        return problems.json_response(
            {"workers": self._list_members(entries.WORKER)}
        )

    async def _leave(
        self, request: requests.Request, kind: str, member_id: str
    ) -> responses.Response:
        incarnation = _parameter(request, "incarnation")
        await self._table.leave(kind, member_id, incarnation)
        return problems.json_response({"left": True})

    def _list_members(self, kind: str) -> list[dict[str, object]]:
        listed = sorted(
            self._table.known_members(kind),
            key=lambda known: entries.member_id(known.member),
        )
        return [
            {**dataclasses.asdict(known.member), "usable": known.usable}
            for known in listed
        ]


def _parameter(request: requests.Request, name: str) -> str:
    """Returns a query parameter, validated as an identifier."""
    value = request.query_params.get(name, "")
    try:
        return _IDENTIFIER.validate_python(value)
    except pydantic.ValidationError as error:
        raise errors.InvalidInputError(f"?{name}= is {value[:80]!r}") from error


_IDENTIFIER: pydantic.TypeAdapter[str] = pydantic.TypeAdapter(Identifier)
