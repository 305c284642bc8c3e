"""The replica groups: their replicas, leaders and the change of VMs."""

import dataclasses
import typing
from collections import abc

import pydantic
from starlette import requests
from starlette import responses
from starlette import routing

from laburnumsill.api import problems


class GroupOperations(typing.Protocol):
    """What the routes need of the daemon."""

    def status(self) -> abc.Sequence[typing.Any]:
        """Returns a data class for each replica on this VM."""

    async def transfer(self, group: str, vm: str | None) -> None:
        """Hands a group's lead over."""

    async def replace(self, group: str, old: str, new: str) -> None:
        """Replaces a voter of a group."""


class Transfer(pydantic.BaseModel):
    """The body of a transfer: the VM that is to lead, or any."""

    model_config = pydantic.ConfigDict(extra="forbid")

    to: str | None = None


class Replace(pydantic.BaseModel):
    """The body of a replacement."""

    model_config = pydantic.ConfigDict(extra="forbid")

    old: str
    new: str


def routes(operations: GroupOperations) -> list[routing.Route]:
    """Returns the routes of this module."""

    async def status(request: requests.Request) -> responses.Response:
        replicas = operations.status()
        return problems.json_response(
            [dataclasses.asdict(replica) for replica in replicas]
        )

    async def transfer(request: requests.Request) -> responses.Response:
        body = await problems.read_model(request, Transfer)
        await operations.transfer(request.path_params["group"], body.to)
        return problems.json_response({"transferred": True})

    async def replace(request: requests.Request) -> responses.Response:
        body = await problems.read_model(request, Replace)
        group = request.path_params["group"]
        await operations.replace(group, body.old, body.new)
        return problems.json_response({"accepted": True}, 202)

    return [
        routing.Route("/v1/groups", problems.guarded(status)),
        routing.Route(
            "/v1/groups/{group}/transfer",
            problems.guarded(transfer),
            methods=["POST"],
        ),
        routing.Route(
            "/v1/groups/{group}/replace",
            problems.guarded(replace),
            methods=["POST"],
        ),
    ]
