"""Test fixtures: backend servers over real TCP and routers, in process."""

import contextlib
import dataclasses
import functools
import typing
from collections import abc

import trio

from laburnumsill.clients import backend
from laburnumsill.config import current as current_module
from laburnumsill.config import models
from laburnumsill.core import clock as clocks
from laburnumsill.core import ids
from laburnumsill.core import members
from laburnumsill.core import metrics
from laburnumsill.core import replication
from laburnumsill.core import topology
from laburnumsill.requests import messages
from laburnumsill.requests import router as routers
from laburnumsill.state import claims
from laburnumsill.state import durable
from laburnumsill.testing import local_groups

DOMAINS = ("north", "south", "west")
CLASSES = {
    "confirm": {"urgency": 0, "repeatable": False, "reserved_share": 0.25},
    "check": {"urgency": 1, "reserved_share": 0.25, "max_queued": 600},
    "pricing": {"urgency": 5, "timeout_ms": 60_000, "max_wait_ms": 30_000},
    "tag": {"urgency": 6, "durable": True},
}


@dataclasses.dataclass
class Call:
    """A request that a fake server received."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes


Reply = abc.Callable[[Call, trio.SocketStream], abc.Awaitable[bool]]


def respond(body: bytes = b"done", status: int = 200, wait_s: float = 0.0):
    """Returns a reply that answers and keeps the connection open."""

    async def reply(call: Call, stream: trio.SocketStream) -> bool:
        await trio.sleep(wait_s)
        head = f"HTTP/1.1 {status} X\r\ncontent-length: {len(body)}\r\n\r\n"
        await stream.send_all(head.encode() + body)
        return True

    return reply


def raw(text: bytes):
    """Returns a reply that writes `text` and closes the connection."""

    async def reply(call: Call, stream: trio.SocketStream) -> bool:
        await stream.send_all(text)
        return False

    return reply


class FakeServer:
    """A backend server that records its calls and answers with `reply`."""

    def __init__(self, reply: Reply) -> None:
        self.reply = reply
        self.calls: list[Call] = []
        self.busy = 0
        self.most_busy = 0
        self.address = ""

    @contextlib.asynccontextmanager
    async def running(self) -> typing.AsyncIterator["FakeServer"]:
        async with trio.open_nursery() as nursery:
            serve = functools.partial(
                trio.serve_tcp, self._serve, 0, host="127.0.0.1"
            )
            listeners = await nursery.start(serve)
            port = listeners[0].socket.getsockname()[1]
            self.address = f"127.0.0.1:{port}"
            yield self
            nursery.cancel_scope.cancel()

    async def _serve(self, stream: trio.SocketStream) -> None:
        buffer = b""
        with contextlib.suppress(trio.BrokenResourceError):
            while True:
                while b"\r\n\r\n" not in buffer:
                    chunk = await stream.receive_some()
                    if not chunk:
                        return
                    buffer += chunk
                head, _, buffer = buffer.partition(b"\r\n\r\n")
                first, *lines = head.decode().split("\r\n")
                pairs = [line.split(": ", 1) for line in lines]
                headers = {name.lower(): value for name, value in pairs}
                size = int(headers.get("content-length", 0))
                while len(buffer) < size:
                    buffer += await stream.receive_some()
                body, buffer = buffer[:size], buffer[size:]
                method, target, _ = first.split(" ")
                call = Call(method, target, headers, body)
                self.calls.append(call)
                self.busy += 1
                self.most_busy = max(self.busy, self.most_busy)
                try:
                    if not await self.reply(call, stream):
                        return
                finally:
                    self.busy -= 1


class FixedView(members.MemberView):
    """A member view whose backend servers are added by the test."""

    def __init__(self) -> None:
        self.all: tuple[members.BackendServer, ...] = ()

    def servers(self, service: str) -> tuple[members.BackendServer, ...]:
        return self.all

    def workers(self, domain: str) -> tuple[members.Worker, ...]:
        return ()

    def add(
        self, address: str, domain: str = "north", slots: int = 8
    ) -> members.BackendServer:
        server = members.BackendServer(
            f"s{len(self.all)}", "huts", domain, address, "i1", 1, slots, 64
        )
        self.all = (*self.all, server)
        return server


def state_machine() -> replication.StateMachine:
    return replication.StateMachine(claims.Claims(), durable.DurableRequests())


def configuration(**requests: typing.Any) -> models.Configuration:
    return models.Configuration.model_validate(
        {
            "site": "tana",
            "domains": list(DOMAINS),
            "classes": CLASSES,
            "services": {"huts": {"classes": list(CLASSES)}},
            "accounts": {"lakes": {}, "flood": {}},
            "requests": requests,
        }
    )


class RouterFixture:
    """Groups, servers and a configuration shared by one or more routers."""

    def __init__(self, entry_vms: int = 1, **requests: typing.Any) -> None:
        self.clock = clocks.SystemClock()
        self.machines = {
            ids.domain_group(name): state_machine() for name in DOMAINS
        }
        self.groups = local_groups.LocalGroups(self.machines)
        self.view = FixedView()
        self.current = current_module.Current()
        self.put(configuration(**requests))
        self.metrics = metrics.Metrics()
        self.entry_vms = entry_vms

    def put(self, configured: models.Configuration) -> None:
        version = self.current.version + 1
        self.current.put(
            current_module.Versioned(version, str(version), configured)
        )

    def router(
        self, name: str = "vm0", groups: replication.Groups | None = None
    ) -> routers.RequestRouter:
        local_vm = topology.Vm(name, "north", "", "", True)
        return routers.RequestRouter(
            local_vm,
            groups or self.groups,
            self.view,
            self.current,
            backend.HttpBackendClient(self.clock, self.entry_vms),
            self.clock,
            self.metrics,
            self.entry_vms,
        )

    @contextlib.asynccontextmanager
    async def running(
        self, *routers_: routers.RequestRouter
    ) -> typing.AsyncIterator[None]:
        async with trio.open_nursery() as nursery:
            for router in routers_:
                await nursery.start(router.run)
            yield
            nursery.cancel_scope.cancel()


def head(
    clock: clocks.Clock,
    class_name: str = "check",
    key: str | None = None,
    account: str = "lakes",
    timeout_ms: int | None = None,
    target: bytes = b"/x?y=1",
    service: str = "huts",
) -> messages.RequestHead:
    pairs = [
        (b"laburnumsill-class", class_name.encode()),
        (b"laburnumsill-account", account.encode()),
        (b"connection", b"close"),
        (b"x-mine", b"1"),
    ]
    if key is not None:
        pairs.append((b"idempotency-key", key.encode()))
    if timeout_ms is not None:
        pairs.append((b"laburnumsill-timeout-ms", str(timeout_ms).encode()))
    return messages.RequestHead(
        ids.fresh("req"),
        service,
        "POST",
        target,
        tuple(pairs),
        clock.monotonic(),
    )


async def body_of(raw_body: bytes) -> typing.AsyncIterator[bytes]:
    yield raw_body


@dataclasses.dataclass
class Result:
    """An answer as the caller receives it."""

    outcome: str
    status: int
    body: bytes


async def send_request(
    router: routers.RequestRouter,
    request_head: messages.RequestHead,
    body: bytes = b"{}",
) -> Result:
    """Routes one request and reads its answer.

    Raises:
        errors.LaburnumsillError: The router's error.
    """
    answer = await router.route(request_head, body_of(body))
    try:
        whole = b"".join([chunk async for chunk in answer.chunks()])
    finally:
        await answer.aclose()
    return Result(str(answer.outcome), answer.status, whole)


async def wait_until(
    condition: abc.Callable[[], bool], seconds: float = 20.0
) -> None:
    """Waits until `condition` holds."""
    with trio.fail_after(seconds):
        while True:
            if condition():
                return
            await trio.sleep(0.02)
