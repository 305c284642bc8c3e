"""The client of backend servers against scripted servers over real TCP."""

import contextlib
import functools
import socket
import time

import pytest
import trio

from laburnumsill.clients import backend
from laburnumsill.core import clock as clocks
from laburnumsill.core import errors
from laburnumsill.core import members

OK = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok"
CHUNKED = (
    b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"
)


class Scripted:
    """Writes `answers[n]` after the n-th request; closes after a None."""

    def __init__(self, *answers):
        self.answers = list(answers)
        self.connections = 0
        self.seen = b""

    @contextlib.asynccontextmanager
    async def running(self, connections=64):
        async with trio.open_nursery() as nursery:
            serve = functools.partial(
                trio.serve_tcp, self._serve, 0, host="127.0.0.1"
            )
            listeners = await nursery.start(serve)
            port = listeners[0].socket.getsockname()[1]
            yield members.BackendServer(
                "s", "huts", "d", f"127.0.0.1:{port}", "i", 1, 8, connections
            )
            nursery.cancel_scope.cancel()

    async def _serve(self, stream):
        self.connections += 1
        async for chunk in stream:
            self.seen += chunk
            if not chunk.endswith(b"}"):
                continue
            answer = self.answers.pop(0)
            if answer is None:
                return
            await stream.send_all(answer)


async def exchange(client, server, attempt="att-1", seconds=2.0):
    """Returns the body of one whole answer."""
    request = backend.BackendRequest(attempt, "POST", b"/x", (), b"{}")
    deadline = clocks.SystemClock().monotonic() + seconds
    answer = await client.send(server, request, deadline)
    try:
        return b"".join([chunk async for chunk in answer.chunks()])
    finally:
        await answer.aclose()


def make_client(entry_vms=1):
    return backend.HttpBackendClient(clocks.SystemClock(), entry_vms)


@pytest.mark.parametrize("answer", [OK, CHUNKED])
async def test_whole_answers_share_a_connection(answer):
    script = Scripted(answer, answer)
    async with script.running() as server:
        client = make_client()
        assert await exchange(client, server) == b"ok"
        assert await exchange(client, server) == b"ok"
        await client.aclose()
    assert script.connections == 1
    assert b"laburnumsill-request-id: att-1" in script.seen.lower()


@pytest.mark.parametrize("answer", [OK, CHUNKED])
async def test_second_answer_never_goes_to_the_next_request(answer):
    other = answer.replace(b"ok", b"NO")
    for stale in (other, answer):
        script = Scripted(answer + stale, answer)
        async with script.running() as server:
            client = make_client()
            for _ in range(2):
                assert await exchange(client, server) == b"ok"
            await client.aclose()
        assert script.connections == 2


async def test_late_answer_never_goes_to_the_next_request():
    script = Scripted(b"", OK)
    async with script.running() as server:
        client = make_client()
        with pytest.raises(backend.AnswerLostError):
            await exchange(client, server, seconds=0.1)
        assert await exchange(client, server) == b"ok"
        await client.aclose()
    assert script.connections == 2


class GoingSilent(Scripted):
    """Answers nothing on the connections that were open at some point.

    It answers nothing at all before `first` connections are open.
    """

    def __init__(self, first):
        super().__init__()
        self._first = first
        self._all_open = trio.Event()
        self.silent_up_to = 0

    async def _serve(self, stream):
        self.connections += 1
        number = self.connections
        if number == self._first:
            self._all_open.set()
        async for chunk in stream:
            if not chunk.endswith(b"}"):
                continue
            await self._all_open.wait()
            if number <= self.silent_up_to:
                await trio.sleep_forever()
            await stream.send_all(OK)


async def test_one_late_answer_ends_all_connections_that_went_silent():
    """Otherwise each of them costs a deadline of its own."""
    script = GoingSilent(first=4)
    async with script.running() as server:
        client = make_client()
        async with trio.open_nursery() as at_once:
            for _ in range(4):
                at_once.start_soon(exchange, client, server)
        script.silent_up_to = script.connections
        with pytest.raises(backend.AnswerLateError):
            await exchange(client, server, seconds=0.2)
        assert await exchange(client, server, seconds=0.5) == b"ok"
        assert script.connections == 5
        await client.aclose()


class SlowThenSilent(Scripted):
    """Answers on its first connection, after a pause; else never."""

    async def _serve(self, stream):
        self.connections += 1
        number = self.connections
        async for chunk in stream:
            if not chunk.endswith(b"}"):
                continue
            if number > 1:
                await trio.sleep_forever()
            await trio.sleep(0.1)
            await stream.send_all(OK)


async def test_a_late_answer_on_a_new_connection_ends_no_other():
    """It says nothing of those that were kept."""
    script = SlowThenSilent()
    async with script.running() as server:
        client = make_client()
        async with trio.open_nursery() as at_once:
            at_once.start_soon(exchange, client, server)
            await trio.sleep(0.05)
            with pytest.raises(backend.AnswerLateError):
                await exchange(client, server, seconds=0.3)
        assert await exchange(client, server) == b"ok"
        assert script.connections == 2
        await client.aclose()


async def test_refused_connection_was_not_sent():
    async with Scripted().running() as server:
        pass
    client = make_client()
    with pytest.raises(backend.NotSentError):
        await exchange(client, server)


async def test_full_pool_was_not_sent():
    script = Scripted(b"", b"")
    async with script.running(connections=1) as server:
        client = make_client(entry_vms=8)
        ends = []

        async def send(seconds):
            try:
                await exchange(client, server, seconds=seconds)
            except errors.LaburnumsillError as error:
                ends.append(type(error))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(send, 0.5)
            await trio.sleep(0.1)
            nursery.start_soon(send, 0.1)
        assert ends == [backend.NotSentError, backend.AnswerLateError]


async def test_closed_after_the_request_may_have_run():
    script = Scripted(None)
    async with script.running() as server:
        client = make_client()
        with pytest.raises(backend.AnswerLostError):
            await exchange(client, server)


@pytest.mark.parametrize(
    ("answer", "error"),
    [
        (OK[:-1], backend.AnswerLostError),
        (CHUNKED[:-2], backend.AnswerLostError),
        (b"HTTP/1.1 200 OK\r\n\r\nok", backend.TruncatedAnswerError),
        (
            OK.replace(b"\r\n\r\n", b"\r\nlaburnumsill-request-id: x\r\n\r\n"),
            backend.CrossedAnswerError,
        ),
    ],
)
async def test_cut_or_crossed_answer_is_lost(answer, error):
    script = Scripted(answer)
    async with script.running() as server:
        client = make_client()
        with pytest.raises(error):
            await exchange(client, server, seconds=0.2)


async def test_idle_connections_to_servers_that_are_gone_are_closed():
    script = Scripted(OK, OK)
    async with script.running() as server:
        client = make_client()
        await exchange(client, server)
        await client.close_unused_connections(frozenset({server.address}))
        await client.close_unused_connections(frozenset())
        await exchange(client, server)
        await client.aclose()
    assert script.connections == 2


@pytest.mark.parametrize("turns", range(8))
async def test_a_loop_that_was_held_up_blames_no_server(turns):
    """A busy machine stops this process while it connects."""

    async def hold_up():
        for _ in range(turns):
            await trio.lowlevel.checkpoint()
        time.sleep(1.5 * backend.CONNECT_TIMEOUT_S)  # noqa: ASYNC251

    script = Scripted(OK)
    async with script.running() as server, trio.open_nursery() as nursery:
        client = make_client()
        nursery.start_soon(hold_up)
        # A busy machine may hold it up again and again.
        assert await exchange(client, server, seconds=30.0) == b"ok"
        await client.aclose()


async def test_a_server_that_never_connects_fails_in_time():
    """Its queue of connections is full, so that each SYN is dropped."""
    with socket.socket() as listener:
        listener.bind(("127.0.0.1", 0))
        listener.listen(0)
        port = listener.getsockname()[1]
        fillers = [socket.socket() for _ in range(4)]
        for filler in fillers:
            filler.setblocking(False)
            filler.connect_ex(("127.0.0.1", port))
        server = members.BackendServer(
            "s", "huts", "d", f"127.0.0.1:{port}", "i", 1, 8, 1
        )
        client = make_client()
        began = trio.current_time()
        with pytest.raises(backend.ConnectFailedError):
            await exchange(client, server)
        assert trio.current_time() - began < 2 * backend.CONNECT_TIMEOUT_S
        await client.aclose()
        for filler in fillers:
            filler.close()
