"""A TCP proxy that injects faults, as a library and as a process.

A link takes connections on one address and passes their bytes to another.
Each direction of a link has a fault, changed at run time by `Proxy` or, from
another process, by `ProxyControl`::

    python -m laburnumsill.testing.proxy --control HOST:PORT --links FILE

where FILE is TOML with ``listen`` and ``target`` in a table
``[links.NAME]`` for each link. Delays are exact to about a millisecond.
"""

import contextlib
import dataclasses
import enum
import functools
import math
import pathlib
import random
import socket
import struct
import tomllib
import typing
from collections import abc

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
from laburnumsill.core import errors
from laburnumsill.core import logs
from laburnumsill.wire import addresses

CHUNK_BYTES = 16_384
"""Most bytes that are passed on at a time."""

SLICES_PER_S = 50
"""A limited bandwidth is spread over at least so many chunks a second."""

DELAYED_CHUNKS = 256
"""Most chunks under way in one direction of a connection."""

_RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class ProxyError(errors.LaburnumsillError):
    """The control interface of a proxy refused a call."""

    slug = "proxy"
    title = "The fault-injecting proxy refused a call"


class Mode(enum.Enum):
    """What becomes of the connections of a link.

    DROP swallows bytes and hides the end of a connection; what has lost
    bytes is reset when the fault is healed. HOLD keeps bytes back until
    then, as TCP does over a short partition. RESET and CUT concern both
    directions: RESET takes connections and resets them, CUT closes them and
    refuses new ones.
    """

    PASS = "pass"
    DROP = "drop"
    HOLD = "hold"
    RESET = "reset"
    CUT = "cut"


class Direction(enum.Enum):
    """A direction of a link, or both."""

    TO_TARGET = "to-target"
    FROM_TARGET = "from-target"
    BOTH = "both"

    @property
    def single(self) -> tuple["Direction", ...]:
        """The one or two single directions that this means."""
        if self is Direction.BOTH:
            return (Direction.TO_TARGET, Direction.FROM_TARGET)
        return (self,)


@dataclasses.dataclass(frozen=True, slots=True)
class Fault:
    """A fault of one direction of a link; the default is none.

    Attributes:
        mode: What becomes of connections.
        delay_s: Time by which bytes are delayed, in seconds.
        jitter_s: Up to so much is added to it at random; order is kept.
        bytes_per_s: Bandwidth of each connection, or None.
        cut_after_bytes: Each connection that is open when the fault is set
            is closed after so many further bytes, or None.
    """

    mode: Mode = Mode.PASS
    delay_s: float = 0.0
    jitter_s: float = 0.0
    bytes_per_s: float | None = None
    cut_after_bytes: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class LinkStatus:
    """A link and its counters since the start.

    Attributes:
        name: Its name.
        listen: The address that connections are taken on.
        target: The address that they are passed to.
        connections: Connections taken.
        open: Connections that are open now.
        to_target_bytes: Bytes delivered to the target.
        from_target_bytes: Bytes delivered from the target.
    """

    name: str
    listen: str
    target: str
    connections: int
    open: int
    to_target_bytes: int
    from_target_bytes: int


class _Session:
    """One connection through a link."""

    def __init__(self, link: "Link", client: trio.SocketStream) -> None:
        self._link = link
        self._streams = [client]
        self._scope = trio.CancelScope()
        self._damaged = False
        self.cut_after: dict[Direction, int | None] = {}

    async def run(self) -> None:
        """Passes bytes both ways until the session ends."""
        try:
            with self._scope:
                await self._pass_both_ways()
        except* trio.ClosedResourceError:
            pass  # it was ended between two steps
        finally:
            self.end()

    def end(self, reset: bool = False) -> None:
        """Closes both sides at once."""
        self._scope.cancel()
        for stream in self._streams:
            if reset and stream.socket.fileno() >= 0:
                stream.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE
                )
            stream.socket.close()

    def healed(self) -> None:
        """Resets the session if bytes or its end were lost."""
        if self._damaged:
            self.end(reset=True)

    async def _pass_both_ways(self) -> None:
        client = self._streams[0]
        if not await self._passing(Direction.TO_TARGET):
            await _swallow(client)
        try:
            target = await trio.open_tcp_stream(
                *addresses.split(self._link.target)
            )
        except OSError:
            self.end(reset=True)
            return
        self._streams.append(target)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._pump, client, target, Direction.TO_TARGET)
            nursery.start_soon(
                self._pump, target, client, Direction.FROM_TARGET
            )

    async def _passing(self, direction: Direction) -> bool:
        """Waits while bytes are held back; returns False if they are lost."""
        passing = await self._link.passing(direction)
        self._damaged = self._damaged or not passing
        return passing

    async def _pump(
        self,
        source: trio.SocketStream,
        sink: trio.SocketStream,
        direction: Direction,
    ) -> None:
        """Passes bytes one way; chunks are stamped with their due time."""
        into, out = trio.open_memory_channel[tuple[float, bytes | None]](
            DELAYED_CHUNKS
        )
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._deliver, out, sink, direction)
            while True:
                chunk: bytes | None
                try:
                    chunk = await source.receive_some(CHUNK_BYTES)
                except trio.BrokenResourceError:
                    chunk = None
                delay = self._link.delay(direction)
                await into.send((trio.current_time() + delay, chunk))
                if not chunk:
                    return

    async def _deliver(
        self,
        chunks: trio.MemoryReceiveChannel[tuple[float, bytes | None]],
        sink: trio.SocketStream,
        direction: Direction,
    ) -> None:
        """Delivers chunks when due; b"" is the end and None a reset."""
        async for due, chunk in chunks:
            await trio.sleep_until(due)
            if not await self._passing(direction):
                continue
            if chunk is None:
                self.end(reset=True)
                return
            try:
                await self._send(sink, chunk, direction)
            except trio.BrokenResourceError:
                if await self._passing(_opposite(direction)):
                    self.end(reset=True)
                return
            if not chunk:
                return

    async def _send(
        self, sink: trio.SocketStream, chunk: bytes, direction: Direction
    ) -> None:
        if not chunk:
            await sink.send_eof()
        left = memoryview(chunk)
        while left:
            rate = self._link.faults[direction].bytes_per_s
            size = len(left)
            if rate:
                size = min(size, math.ceil(rate / SLICES_PER_S))
                await trio.sleep(size / rate)
            quota = self.cut_after.get(direction)
            part = left[: size if quota is None else min(size, quota)]
            await sink.send_all(part)
            left = left[len(part) :]
            self._link.delivered[direction] += len(part)
            if quota is not None:
                self.cut_after[direction] = quota - len(part)
                if quota == len(part):
                    self.end()
                    await trio.lowlevel.checkpoint_if_cancelled()


class Link:
    """One link: an address that is listened on and where it leads.

    Attributes:
        target: The address that connections are passed to.
        listen: The address that is listened on, with the bound port.
        faults: The fault of each direction.
        delivered: Bytes delivered in each direction.
    """

    def __init__(
        self, name: str, listen: str, target: str, nursery: trio.Nursery
    ) -> None:
        self.target = target
        self.faults = dict.fromkeys(Direction.BOTH.single, Fault())
        self.delivered = dict.fromkeys(Direction.BOTH.single, 0)
        self._name = name
        self._nursery = nursery
        self._changed = trio.Event()
        self._sessions: set[_Session] = set()
        self._connections = 0
        self._bind(*addresses.split(listen))
        host, port = self._socket.getsockname()[:2]
        self.listen = addresses.join(host, port)
        self._serve()

    def status(self) -> LinkStatus:
        """Returns the link's counters."""
        return LinkStatus(
            self._name,
            self.listen,
            self.target,
            self._connections,
            len(self._sessions),
            self.delivered[Direction.TO_TARGET],
            self.delivered[Direction.FROM_TARGET],
        )

    def set_fault(self, fault: Fault, direction: Direction) -> None:
        """Replaces the fault of one or both directions."""
        was_cut = self._has(Mode.CUT)
        for single in direction.single:
            self.faults[single] = fault
            for session in self._sessions:
                session.cut_after[single] = fault.cut_after_bytes
        if self._has(Mode.CUT) and not was_cut:
            self._stop_serving()
        if was_cut and not self._has(Mode.CUT):
            self._serve()
        self._apply_to_sessions()
        self._changed.set()
        self._changed = trio.Event()

    def delay(self, direction: Direction) -> float:
        """Returns the delay of a chunk that comes now, in seconds."""
        fault = self.faults[direction]
        return fault.delay_s + random.uniform(0, fault.jitter_s)

    async def passing(self, direction: Direction) -> bool:
        """Waits while bytes are held back; returns False if they are lost."""
        while self.faults[direction].mode is Mode.HOLD:
            await self._changed.wait()
        return self.faults[direction].mode is not Mode.DROP

    def _has(self, mode: Mode) -> bool:
        return any(fault.mode is mode for fault in self.faults.values())

    def _apply_to_sessions(self) -> None:
        for session in tuple(self._sessions):
            if self._has(Mode.CUT) or self._has(Mode.RESET):
                session.end(reset=self._has(Mode.RESET))
            elif not (self._has(Mode.DROP) or self._has(Mode.HOLD)):
                session.healed()

    def _bind(self, host: str, port: int) -> None:
        """Takes the port; without `_serve` connections are refused."""
        family = socket.AF_INET6 if ":" in host else socket.AF_INET
        self._socket = socket.socket(family, socket.SOCK_STREAM)
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._socket.bind((host, port))

    def _serve(self) -> None:
        self._socket.listen()
        own = trio.socket.from_stdlib_socket(self._socket)
        self._listener = trio.SocketListener(own)
        self._nursery.start_soon(self._accept_all, self._listener)

    def _stop_serving(self) -> None:
        """Refuses connections but keeps the port from anyone else."""
        self._listener.socket.close()
        self._bind(*addresses.split(self.listen))

    async def _accept_all(self, listener: trio.SocketListener) -> None:
        with contextlib.suppress(trio.ClosedResourceError), listener.socket:
            while True:
                stream = await listener.accept()
                self._nursery.start_soon(self._run_session, stream)

    async def _run_session(self, stream: trio.SocketStream) -> None:
        session = _Session(self, stream)
        self._connections += 1
        if self._has(Mode.CUT) or self._has(Mode.RESET):
            session.end(reset=True)
            return
        self._sessions.add(session)
        try:
            await session.run()
        finally:
            self._sessions.discard(session)


class Proxy:
    """A set of links, each with its faults.

    Examples:
        >>> async def main():
        ...     async with running() as proxy:
        ...         proxy.add_link("a", "127.0.0.1:0", "127.0.0.1:1")
        ...         proxy.set_fault("a", Fault(mode=Mode.CUT))
        ...         proxy.heal("a")
        ...         return proxy.status("a").connections
        >>> trio.run(main)
        0
    """

    def __init__(self) -> None:
        self._links: dict[str, Link] = {}
        self._nursery: trio.Nursery | None = None

    async def start(self, nursery: trio.Nursery) -> None:
        """Lets links run in `nursery`; they end with it."""
        self._nursery = nursery

    def add_link(self, name: str, listen: str, target: str) -> None:
        """Adds a link; port 0 takes a free port, see `status`.

        Raises:
            ProxyError: The name or the address is taken, or the proxy was
                not started.
        """
        if name in self._links or self._nursery is None:
            raise ProxyError(f"link {name!r} exists or nothing is started")
        try:
            self._links[name] = Link(name, listen, target, self._nursery)
        except OSError as error:
            raise ProxyError(f"{listen}: {error}") from error

    def set_fault(
        self, name: str, fault: Fault, direction: Direction = Direction.BOTH
    ) -> None:
        """Replaces the fault of one or both directions of a link."""
        self._link(name).set_fault(fault, direction)

    def heal(self, name: str) -> None:
        """Removes the faults of a link."""
        self._link(name).set_fault(Fault(), Direction.BOTH)

    def status(self, name: str) -> LinkStatus:
        """Returns the address and the counters of a link."""
        return self._link(name).status()

    def statuses(self) -> list[LinkStatus]:
        """Returns the addresses and the counters of all links."""
        return [link.status() for link in self._links.values()]

    def _link(self, name: str) -> Link:
        if name not in self._links:
            raise errors.NotFoundError(f"no link {name!r}")
        return self._links[name]


@contextlib.asynccontextmanager
async def running() -> abc.AsyncIterator[Proxy]:
    """Runs a proxy until the end of the block."""
    proxy = Proxy()
    async with trio.open_nursery() as nursery:
        await proxy.start(nursery)
        yield proxy
        nursery.cancel_scope.cancel()


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

    fault: Fault
    direction: Direction = Direction.BOTH


def control_app(proxy: Proxy) -> applications.Starlette:
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
    proxy: Proxy,
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

    async def links(self) -> dict[str, LinkStatus]:
        """Returns the links and their counters by name."""
        found = await self._call("GET", "")
        return {link["name"]: LinkStatus(**link) for link in found}

    async def add_link(self, name: str, listen: str, target: str) -> LinkStatus:
        """Adds a link, see `Proxy.add_link`."""
        body = {"listen": listen, "target": target}
        return LinkStatus(**await self._call("PUT", f"/{name}", body))

    async def set_fault(
        self, name: str, fault: Fault, direction: Direction = Direction.BOTH
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
            ProxyError: It was refused.
        """
        answer = await self._pool.request(
            method,
            self._url + path,
            headers={"Content-Type": "application/json"},
            content=orjson.dumps(body) if body is not None else b"",
        )
        if answer.status != 200:
            raise ProxyError(answer.content.decode(errors="replace"))
        return orjson.loads(answer.content)


async def _swallow(source: trio.SocketStream) -> None:
    """Takes bytes until the session is ended by healing the link."""
    with contextlib.suppress(trio.BrokenResourceError):
        while await source.receive_some(CHUNK_BYTES):
            pass
    await trio.sleep_forever()


def _opposite(direction: Direction) -> Direction:
    if direction is Direction.TO_TARGET:
        return Direction.FROM_TARGET
    return Direction.TO_TARGET


async def _run(control: str, links: _LinksModel) -> None:
    async with running() as proxy, trio.open_nursery() as nursery:
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
