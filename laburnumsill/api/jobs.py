"""HTTP endpoints for jobs: submit, list, read, cancel."""

import typing

import pydantic
from starlette import requests
from starlette import responses
from starlette import routing

from laburnumsill.api import problems
from laburnumsill.config import models
from laburnumsill.core import errors
from laburnumsill.jobs import service as job_service
from laburnumsill.state import jobs_messages

KEY_HEADER = "Idempotency-Key"
MAX_KEY_LENGTH = 255
SUBMIT_TIMEOUT_S = 10.0
"""Timeout for accepting a submitted job."""

MAX_LISTED = 1_000
MAX_COMMAND_LENGTH = 4_096


class JobBody(pydantic.BaseModel):
    """The body of a job submission; resources are per task.

    Attributes:
        estimated_run_s: The expected run time in seconds, used at most to
            order a queue.
        run_s: The run time in seconds, passed to the workers.
    """

    model_config = pydantic.ConfigDict(extra="forbid")

    account: models.Name
    tasks: int = pydantic.Field(default=1, ge=1, le=jobs_messages.MAX_TASKS)
    accelerators: int = pydantic.Field(default=1, ge=0, le=1_024)
    cores: int = pydantic.Field(default=1, ge=0, le=1_000_000)
    memory_gb: int = pydantic.Field(default=1, ge=0, le=1_000_000)
    adjacency: typing.Literal["rack", "any"] = "rack"
    guaranteed: bool = False
    estimated_run_s: models.Seconds | None = None
    run_s: typing.Annotated[float, pydantic.Field(ge=0)] | None = None
    urgent: bool = False
    command: str = pydantic.Field(default="", max_length=MAX_COMMAND_LENGTH)

    def spec(self) -> jobs_messages.JobSpec:
        """Returns the job specification for the scheduler."""
        return jobs_messages.JobSpec(**self.model_dump())


class ListParameters(pydantic.BaseModel):
    """The query parameters of a job listing."""

    model_config = pydantic.ConfigDict(extra="forbid")

    account: str | None = None
    state: jobs_messages.JobState | None = None
    limit: int = pydantic.Field(default=100, ge=1, le=MAX_LISTED)


def routes(service: job_service.JobService) -> list[routing.Route]:
    """Returns the routes of this module."""

    async def submit(request: requests.Request) -> responses.Response:
        key = request.headers.get(KEY_HEADER, "")
        if not key:
            raise errors.MissingKeyError(f"{KEY_HEADER} is needed")
        if len(key) > MAX_KEY_LENGTH:
            raise errors.InvalidInputError(
                f"{KEY_HEADER} is over {MAX_KEY_LENGTH} characters"
            )
        body = await problems.read_model(request, JobBody)
        deadline = service.deadline(SUBMIT_TIMEOUT_S)
        view = await service.submit(body.spec(), key, deadline)
        return problems.json_response(
            view, 201, {"Location": f"/v1/jobs/{view.job_id}"}
        )

    async def list_jobs(request: requests.Request) -> responses.Response:
        try:
            parameters = ListParameters.model_validate(
                dict(request.query_params)
            )
        except pydantic.ValidationError as error:
            raise errors.InvalidInputError(str(error.errors()[0])) from error
        listing = await service.list_jobs(
            parameters.account, parameters.state, parameters.limit
        )
        return problems.json_response(listing)

    async def get(request: requests.Request) -> responses.Response:
        view = await service.get(request.path_params["job_id"])
        return problems.json_response(view)

    async def cancel(request: requests.Request) -> responses.Response:
        view = await service.cancel(request.path_params["job_id"])
        cancelling = view.state == jobs_messages.JobState.CANCELLING
        return problems.json_response(view, 202 if cancelling else 200)

    return [
        routing.Route("/v1/jobs", problems.guarded(submit), methods=["POST"]),
        routing.Route("/v1/jobs", problems.guarded(list_jobs), methods=["GET"]),
        routing.Route(
            "/v1/jobs/{job_id}", problems.guarded(get), methods=["GET"]
        ),
        routing.Route(
            "/v1/jobs/{job_id}", problems.guarded(cancel), methods=["DELETE"]
        ),
    ]
