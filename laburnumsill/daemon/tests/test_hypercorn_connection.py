"""Limits and shutdown of connections that hypercorn serves."""

import contextlib
import socket

import pytest
import trio
import trio.testing

from laburnumsill.core import metrics as metrics_module
from laburnumsill.daemon import connection_budget
from laburnumsill.daemon import server
from laburnumsill.daemon.tests import test_light_server
from laburnumsill.platform import http
from laburnumsill.testing import ports

GRACE_S = 0.5
LARGE_ANSWER = b"x" * 16 * 1024 * 1024
"""More than the sockets between a server and its caller take."""

LARGE_HEAD = 1_000_000

GET = test_light_server.GET
PUT = test_light_server.PUT


class Site:
    """A served application."""

    def __init__(self, max_connections) -> None:
        self.address = f"127.0.0.1:{ports.free_ports(1)[0]}"
        self.metrics = metrics_module.Metrics()
        self.budget = connection_budget.ConnectionBudget(
            10**9, max_connections, self.metrics
        )
        self.server = server.HypercornServer(
            self.app, self.address, self.budget
        )
        self.resume = trio.Event()
        self.request_started = trio.Semaphore(0)
        self.server.listen()

    async def app(self, scope, receive, send) -> None:
        self.request_started.release()
        await http.read_body(receive)
        if scope["path"] == "/held":
            await self.resume.wait()
        body = LARGE_ANSWER if scope["path"] == "/large" else b"answer"
        await http.send_answer(send, http.Answer(200, body))

    @property
    def endpoint(self) -> tuple[str, int]:
        host, _, port = self.address.rpartition(":")
        return host, int(port)

    async def connect(self) -> test_light_server.Caller:
        stream = await trio.open_tcp_stream(*self.endpoint)
        return test_light_server.Caller(stream)

    async def begin(self, request: str) -> test_light_server.Caller:
        """Returns a caller whose call has reached the application."""
        caller = await self.connect()
        await caller.send(request)
        await self.request_started.acquire()
        await trio.testing.wait_all_tasks_blocked()
        return caller

    async def end(self) -> None:
        """Ends the server."""
        self.server.stop(trio.current_time() + GRACE_S)
        with trio.fail_after(10 * GRACE_S):
            await self.server.wait_ended()


@contextlib.asynccontextmanager
async def served(max_connections=100):
    async with trio.open_nursery() as nursery:
        site = Site(max_connections)
        await nursery.start(site.server.run)
        yield site
        nursery.cancel_scope.cancel()


async def test_an_idle_connection_makes_room_for_a_new_one():
    """Guards against any number of connections without a call."""
    async with served(max_connections=2) as site:
        callers = [await site.begin(GET.format("/")) for _ in range(2)]
        for caller in callers:
            await caller.until("answer")
        new = await site.begin(GET.format("/"))
        await new.until("answer")
        assert await callers[0].until_closed() == ""
        await callers[1].send(GET.format("/"))
        await callers[1].until("answer")


async def test_a_head_that_is_never_complete_makes_room_for_others():
    async with served(max_connections=2) as site:
        slow = await site.connect()
        await slow.send("GET / HTTP/1.1\r\nhost:")
        await trio.testing.wait_all_tasks_blocked()
        for _ in range(2):
            await (await site.begin(GET.format("/"))).until("answer")
        with contextlib.suppress(trio.BrokenResourceError):
            assert await slow.until_closed() == ""


@pytest.mark.parametrize(
    "request_text", [GET.format("/held"), PUT.format("/held", 4) + "body"]
)
async def test_a_whole_call_is_not_given_up_for_others(request_text):
    async with served(max_connections=2) as site:
        whole = await site.begin(request_text)
        for _ in range(5):
            await (await site.begin(GET.format("/"))).until("answer")
        site.resume.set()
        await whole.until("answer")


async def test_a_body_that_is_held_makes_room_for_others():
    async with served(max_connections=2) as site:
        held = await site.begin(PUT.format("/", 4) + "bod")
        for _ in range(2):
            await (await site.begin(GET.format("/"))).until("answer")
        with contextlib.suppress(trio.BrokenResourceError):
            assert await held.until_closed() == ""


async def test_an_answer_that_is_not_read_makes_room_for_others():
    """Guards against callers that shut all others out for good."""
    async with served(max_connections=2) as site:
        deaf = [await site.begin(GET.format("/large")) for _ in range(2)]
        try:
            for _ in range(2):
                new = await site.connect()
                await new.send(GET.format("/"))
                await new.until("answer")
        finally:
            for caller in deaf:
                await caller.stream.aclose()


async def test_a_caller_that_still_sends_sees_its_refusal():
    """Guards against a reset in place of the answer."""
    async with served() as site:
        caller = await site.connect()
        await caller.send("GET / HTTP/1.1\r\nx-filler: " + "x" * LARGE_HEAD)
        assert (await caller.until_closed()).startswith("HTTP/1.1 4")


async def test_the_last_answer_of_a_connection_says_so():
    async with served() as site:
        caller = await site.begin(GET.format("/"))
        assert "connection: close" not in await caller.until("answer")
        site.server.close_after_answers()
        await caller.send(GET.format("/"))
        assert "connection: close" in await caller.until_closed()


async def test_a_shutdown_closes_idle_connections_and_completes_calls():
    async with served() as site:
        idle = await site.begin(GET.format("/"))
        await idle.until("answer")
        busy = await site.begin(GET.format("/held"))
        late = await site.begin(PUT.format("/", 4) + "bod")
        async with trio.open_nursery() as nursery:
            nursery.start_soon(site.end)
            assert await idle.until_closed() == ""
            await late.send("y")
            assert "answer" in await late.until_closed()
            site.resume.set()
            assert "answer" in await busy.until_closed()


async def test_calls_on_connections_that_wait_are_answered_when_stopping():
    """Guards against connections that are reset with the listening socket."""
    async with served() as site:
        raw = [socket.create_connection(site.endpoint) for _ in range(20)]
        for one in raw:
            one.sendall(GET.format("/").encode())
        async with trio.open_nursery() as nursery:
            nursery.start_soon(site.end)
            for one in raw:
                with one, one.makefile("rb") as received:
                    answer = await trio.to_thread.run_sync(received.read)
                assert answer.endswith(b"answer")


async def test_a_new_connection_may_make_its_first_call_when_stopping():
    async with served() as site:
        early = await site.connect()
        await trio.testing.wait_all_tasks_blocked()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(site.end)
            await trio.sleep(GRACE_S / 3)
            await early.send(GET.format("/"))
            assert "answer" in await early.until_closed()


async def test_a_call_that_cannot_end_is_cut_after_the_grace():
    async with served() as site:
        caller = await site.begin(GET.format("/held"))
        await site.end()
        assert await caller.until_closed() == ""


async def test_a_caller_that_reads_no_answer_holds_up_no_shutdown():
    """Guards against a process that ends only when it is killed."""
    async with served() as site:
        caller = await site.begin(GET.format("/large"))
        try:
            await site.end()
        finally:
            await caller.stream.aclose()
