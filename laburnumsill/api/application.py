"""The ASGI application of one daemon.

Requests to services bypass starlette's router, because they are by far the
most frequent. All other paths are routed by starlette.
"""

import typing
from collections import abc

from starlette import applications
from starlette import exceptions
from starlette import requests
from starlette import responses
from starlette import routing
from starlette import types

from laburnumsill.api import body_budget
from laburnumsill.api import problems
from laburnumsill.core import errors

SERVICES_PREFIX = "/v1/services/"


class MethodNotAllowedError(errors.InvalidInputError):
    """The path exists but does not support the method."""

    slug = "method-not-allowed"
    status = 405
    title = "Method not allowed"


class Application:
    """Dispatches requests to the application for services or to the routes.

    Args:
        services: The application for paths below `SERVICES_PREFIX`.
        routes: The routes of all other paths.
    """

    def __init__(
        self, services: types.ASGIApp, routes: abc.Sequence[routing.BaseRoute]
    ) -> None:
        self._services = services
        self._budget = body_budget.BodyBudget()
        self._router = applications.Starlette(
            routes=routes,
            exception_handlers={exceptions.HTTPException: _http_problem},
        )

    async def __call__(
        self, scope: types.Scope, receive: types.Receive, send: types.Send
    ) -> None:
        """Handles one ASGI scope."""
        if scope["type"] != "http":
            await send({"type": "websocket.close", "code": 1000})
        elif scope["path"].startswith(SERVICES_PREFIX):
            await self._services(scope, receive, send)
        else:
            await self._budget.serve(self._router, scope, receive, send)


async def _http_problem(
    request: requests.Request, error: typing.Any
) -> responses.Response:
    if error.status_code == MethodNotAllowedError.status:
        return problems.problem(
            MethodNotAllowedError(f"{request.method} {request.url.path}")
        )
    return problems.problem(
        errors.NotFoundError(f"no resource at {request.url.path}")
    )
