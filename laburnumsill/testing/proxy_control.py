"""The proxy as a process of its own, controlled by JSON over HTTP.

Run ``python -m laburnumsill.testing.proxy_control --control HOST:PORT
--links FILE``, where FILE is TOML with ``listen`` and ``target`` in a table
``[links.NAME]`` for each link.
"""

import functools
import pathlib
import tomllib
import typing

import fire
import httpcore
import hypercorn
import hypercorn.trio
import orjson
import pydantic
import trio
from starlette import applications
from starlette import requests
from starlette import responses
from starlette import routing

from laburnumsill.api import problems
from laburnumsill.core import logs
from laburnumsill.testing import proxy as proxies
from laburnumsill.testing import proxy_faults


class _LinkModel(pydantic.BaseModel):
    """Where a link listens and where it leads."""

    model_config = pydantic.ConfigDict(extra="forbid")

    listen: str
    target: str


class _LinksModel(pydantic.BaseModel):
    """The file of links."""

    model_config = pydantic.ConfigDict(extra="forbid")

    links: dict[str, _LinkModel]


class _FaultModel(pydantic.BaseModel):
    """A fault and the direction it is for."""

    model_config = pydantic.ConfigDict(extra="forbid")

    fault: proxy_faults.Fault
    direction: proxy_faults.Direction = proxy_faults.Direction.BOTH


def control_app(proxy: proxies.Proxy) -> applications.Starlette:
    """Returns the control interface of a proxy.

    ``GET /links`` lists the links, ``PUT /links/{name}`` adds one, ``PUT
    /links/{name}/fault`` sets a fault and ``DELETE`` of it heals the link.
    """

    async def list_links(_: requests.Request) -> responses.Response:
        return problems.json_response(proxy.statuses())

    async def add_link(request: requests.Request) -> responses.Response:
        name = request.path_params["name"]
        link = await problems.read_model(request, _LinkModel)
        proxy.add_link(name, link.listen, link.target)
        return problems.json_response(proxy.status(name))

    async def set_fault(request: requests.Request) -> responses.Response:
        name = request.path_params["name"]
        model = await problems.read_model(request, _FaultModel)
        proxy.set_fault(name, model.fault, model.direction)
        return problems.json_response(proxy.status(name))

    async def heal(request: requests.Request) -> responses.Response:
        name = request.path_params["name"]
        proxy.heal(name)
        return problems.json_response(proxy.status(name))

    def route(
        path: str, endpoint: problems.Endpoint, method: str
    ) -> routing.Route:
        guarded = problems.guarded(endpoint)
        return routing.Route(path, guarded, methods=[method])

    return applications.Starlette(
        routes=[
            route("/links", list_links, "GET"),
            route("/links/{name}", add_link, "PUT"),
            route("/links/{name}/fault", set_fault, "PUT"),
            route("/links/{name}/fault", heal, "DELETE"),
        ]
    )


async def serve_control(
    proxy: proxies.Proxy,
    control: str,
    *,
    task_status: trio.TaskStatus[str] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Serves the control interface; the status is its address."""
    config = hypercorn.Config()
    config.bind = [control]
    config.loglevel = "WARNING"
    config.graceful_timeout = 0.1
    async with trio.open_nursery() as nursery:
        app: typing.Any = control_app(proxy)
        serve = functools.partial(hypercorn.trio.serve, app, config)
        binds = await nursery.start(serve)
        task_status.started(binds[0].rpartition("/")[2])


class ProxyControl:
    """Controls a proxy that runs as its own process."""

    def __init__(self, address: str) -> None:
        self._url = f"http://{address}/links"
        self._pool = httpcore.AsyncConnectionPool()

    async def links(self) -> dict[str, proxy_faults.LinkStatus]:
        """Returns the links and their counters by name."""
        found = await self._call("GET", "")
        return {link["name"]: proxy_faults.LinkStatus(**link) for link in found}

    async def add_link(
        self, name: str, listen: str, target: str
    ) -> proxy_faults.LinkStatus:
        """Adds a link, see `Proxy.add_link`."""
        body = {"listen": listen, "target": target}
        return proxy_faults.LinkStatus(
            **await self._call("PUT", f"/{name}", body)
        )

    async def set_fault(
        self,
        name: str,
        fault: proxy_faults.Fault,
        direction: proxy_faults.Direction = proxy_faults.Direction.BOTH,
    ) -> None:
        """Sets a fault, see `Proxy.set_fault`."""
        body = {"fault": fault, "direction": direction}
        await self._call("PUT", f"/{name}/fault", body)

    async def heal(self, name: str) -> None:
        """Removes the faults of a link."""
        await self._call("DELETE", f"/{name}/fault")

    async def aclose(self) -> None:
        """Closes the connections to the proxy."""
        await self._pool.aclose()

    async def _call(
        self, method: str, path: str, body: object = None
    ) -> typing.Any:
        """Makes one call.

        Raises:
            proxy_faults.ProxyError: It was refused.
        """
        answer = await self._pool.request(
            method,
            self._url + path,
            headers={"Content-Type": "application/json"},
            content=orjson.dumps(body) if body is not None else b"",
        )
        if answer.status != 200:
            raise proxy_faults.ProxyError(
                answer.content.decode(errors="replace")
            )
        return orjson.loads(answer.content)


async def _run(control: str, links: _LinksModel) -> None:
    async with proxies.running() as proxy, trio.open_nursery() as nursery:
        for name, link in links.links.items():
            proxy.add_link(name, link.listen, link.target)
        serve = functools.partial(serve_control, proxy, control)
        address = await nursery.start(serve)
        logs.event("proxy-ready", control=address, links=len(links.links))


def main(control: str, links: str) -> None:
    """Runs a proxy until it is stopped.

    Args:
        control: ``host:port`` of the control interface.
        links: Path of the TOML file of links.
    """
    logs.set_up("INFO", "proxy")
    text = pathlib.Path(links).read_text(encoding="utf-8")
    model = _LinksModel.model_validate(tomllib.loads(text))
    trio.run(_run, control, model)


if __name__ == "__main__":
    fire.Fire(main)
