"""Problem responses (``application/problem+json``) and validated JSON bodies.

References:
    RFC 9457, Problem Details for HTTP APIs.
"""

import math
import typing
from collections import abc

import orjson
import pydantic
import trio
from starlette import requests
from starlette import responses

from laburnumsill.core import errors
from laburnumsill.core import logs

TYPE_PREFIX = "https://laburnumsill.invalid/problems/"
MEDIA_TYPE = "application/problem+json"
MAX_OPERATOR_BODY_BYTES = 4 * 1024 * 1024
"""Largest JSON body of a request by an operator or a member."""

BODY_TIMEOUT_S = 10.0
"""Timeout for receiving the body of a request by an operator or a member."""

ModelT = typing.TypeVar("ModelT", bound=pydantic.BaseModel)
Endpoint = abc.Callable[[requests.Request], abc.Awaitable[responses.Response]]


class MalformedJsonError(errors.InvalidInputError):
    """The body is not valid JSON, or does not match the endpoint's model."""

    slug = "malformed-json"
    title = "Malformed JSON"


def problem(error: errors.LaburnumsillError) -> responses.Response:
    """Returns the problem response for `error`."""
    body = {
        "type": TYPE_PREFIX + error.slug,
        "title": error.title,
        "status": error.status,
        "detail": error.detail,
        **{key: val for key, val in error.context.items() if val is not None},
    }
    headers = {}
    if error.retry_after_s is not None:
        headers["Retry-After"] = str(max(1, math.ceil(error.retry_after_s)))
    return responses.Response(
        orjson.dumps(body), error.status, headers, MEDIA_TYPE
    )


def json_response(
    body: object, status: int = 200, headers: dict[str, str] | None = None
) -> responses.Response:
    """Returns a JSON response; `body` has plain values or data classes."""
    raw = orjson.dumps(body, option=orjson.OPT_APPEND_NEWLINE)
    return responses.Response(raw, status, headers, "application/json")


async def read_body(request: requests.Request, limit: int) -> bytes:
    """Returns the whole body of a request.

    Raises:
        errors.TooLargeError: The body is longer than `limit` bytes, or says
            that it will be.
        errors.DeadlinePassedError: The body did not arrive within
            `BODY_TIMEOUT_S`.
    """
    if int(request.headers.get("content-length", 0)) > limit:
        raise errors.TooLargeError(f"the body is over {limit} bytes")
    body = bytearray()
    with trio.move_on_after(BODY_TIMEOUT_S):
        async for chunk in request.stream():
            if len(body) + len(chunk) > limit:
                raise errors.TooLargeError(f"the body is over {limit} bytes")
            body += chunk
        return bytes(body)
    raise errors.DeadlinePassedError("the body did not arrive in time")


async def read_model(request: requests.Request, model: type[ModelT]) -> ModelT:
    """Returns the JSON body of a request as a validated model.

    Raises:
        MalformedJsonError: The body is not valid JSON or does not match
            `model`.
    """
    raw = await read_body(request, MAX_OPERATOR_BODY_BYTES)
    try:
        return model.model_validate_json(raw)
    except pydantic.ValidationError as error:
        first = error.errors()[0]
        location = ".".join(str(part) for part in first["loc"]) or "body"
        raise MalformedJsonError(
            f"{location}: {first['msg']}, got {str(first['input'])[:80]!r}"
        ) from error


def guarded(endpoint: Endpoint) -> Endpoint:
    """Wraps an endpoint so that each error becomes a problem response."""

    async def call_endpoint(request: requests.Request) -> responses.Response:
        try:
            return await endpoint(request)
        except errors.LaburnumsillError as error:
            return problem(error)
        except requests.ClientDisconnect:
            raise
        except Exception as error:  # callers get no internal details
            logs.event(
                "endpoint-failed",
                level="ERROR",
                path=request.url.path,
                error=repr(error),
            )
            return problem(errors.LaburnumsillError("unexpected failure"))

    return call_endpoint
