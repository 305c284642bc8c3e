"""HTTP endpoints for liveness, readiness and metrics of one daemon."""

from collections import abc

from starlette import requests
from starlette import responses
from starlette import routing

from laburnumsill.api import problems
from laburnumsill.core import errors
from laburnumsill.core import metrics


class NotReadyError(errors.UnavailableError):
    """This VM does not accept new work at the moment."""

    slug = "not-ready"
    title = "Not ready"


def routes(
    vm_id: str,
    registry: metrics.Metrics,
    not_ready_because: abc.Callable[[], str | None],
) -> list[routing.Route]:
    """Returns the routes of this module.

    Args:
        vm_id: The id of this VM.
        registry: The metrics to render.
        not_ready_because: Returns the reason why this VM accepts no new
            work, or None if it is ready.
    """

    async def healthz(request: requests.Request) -> responses.Response:
        return problems.json_response({"vm": vm_id, "alive": True})

    async def readyz(request: requests.Request) -> responses.Response:
        reason = not_ready_because()
        if reason is not None:
            raise NotReadyError(reason, vm=vm_id)
        return problems.json_response({"vm": vm_id, "ready": True})

    async def render(request: requests.Request) -> responses.Response:
        text, headers = registry.render()
        return responses.Response(text, headers=headers)

    return [
        routing.Route("/healthz", healthz),
        routing.Route("/readyz", problems.guarded(readyz)),
        routing.Route("/metrics", render),
    ]
