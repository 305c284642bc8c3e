"""HTTP endpoints for replica groups: status, transfer and replacement."""

import dataclasses
import typing
from collections import abc

import pydantic
from starlette import requests
from starlette import responses
from starlette import routing

from laburnumsill.api import problems


class GroupOperations(typing.Protocol):
    """Operations on replica groups that the daemon provides."""

    def status(self) -> abc.Sequence[typing.Any]:
        """Returns the status of each replica on this VM, as data classes."""

    async def transfer(self, group: str, vm: str | None) -> None:
        """Transfers a group's leadership to `vm`, or to any VM if None."""

    async def replace(self, group: str, old: str, new: str) -> None:
        """Replaces the voter `old` of a group by the VM `new`."""


class Transfer(pydantic.BaseModel):
    """The body of a leadership transfer.

    Attributes:
        to: The VM that becomes leader, or None for any.
    """

    model_config = pydantic.ConfigDict(extra="forbid")

    to: str | None = None


class Replace(pydantic.BaseModel):
    """The body of a voter replacement.

    Attributes:
        old: The voter that is removed.
        new: The VM that replaces it.
    """

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
