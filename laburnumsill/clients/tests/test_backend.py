"""Tests of the backend client against scripted servers over real TCP."""

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


class ScriptedServer:
    """A server that sends `answers[n]` to the n-th request.

    It closes the connection in place of an answer that is None.
    """

    def __init__(self, *answers):
        self.answers = list(answers)
        self.connections = 0
        self.received = b""

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
            self.received += chunk
            if not chunk.endswith(b"}"):
                continue
            answer = self.answers.pop(0)
            if answer is None:
                return
            await stream.send_all(answer)


async def exchange(client, server, attempt="att-1", seconds=2.0):
    """Sends one request and returns the complete body of the answer."""
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
    scripted = ScriptedServer(answer, answer)
    async with scripted.running() as server:
        client = make_client()
        assert await exchange(client, server) == b"ok"
        assert await exchange(client, server) == b"ok"
        await client.aclose()
    assert scripted.connections == 1
    assert b"laburnumsill-request-id: att-1" in scripted.received.lower()


@pytest.mark.parametrize("answer", [OK, CHUNKED])
async def test_second_answer_never_goes_to_the_next_request(answer):
    other = answer.replace(b"ok", b"NO")
    for stale in (other, answer):
        scripted = ScriptedServer(answer + stale, answer)
        async with scripted.running() as server:
            client = make_client()
            for _ in range(2):
                assert await exchange(client, server) == b"ok"
            await client.aclose()
        assert scripted.connections == 2


async def test_late_answer_never_goes_to_the_next_request():
    scripted = ScriptedServer(b"", OK)
    async with scripted.running() as server:
        client = make_client()
        with pytest.raises(backend.AnswerLostError):
            await exchange(client, server, seconds=0.1)
        assert await exchange(client, server) == b"ok"
        await client.aclose()
    assert scripted.connections == 2


class SilencedServer(ScriptedServer):
    """A server that does not answer on its first `silent_up_to` connections.

    It sends the first answer once `first` connections are open.
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


async def test_one_timeout_closes_all_silent_connections():
    """Guards against one timeout for each of the silent connections."""
    scripted = SilencedServer(first=4)
    async with scripted.running() as server:
        client = make_client()
        async with trio.open_nursery() as requests:
            for _ in range(4):
                requests.start_soon(exchange, client, server)
        scripted.silent_up_to = scripted.connections
        with pytest.raises(backend.AnswerLateError):
            await exchange(client, server, seconds=0.2)
        assert await exchange(client, server, seconds=0.5) == b"ok"
        assert scripted.connections == 5
        await client.aclose()


class SlowThenSilentServer(ScriptedServer):
    """A server that answers on its first connection only, after 0.1 s."""

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


async def test_timeout_on_a_new_connection_closes_no_idle_connection():
    """A timeout on a new connection is no evidence against idle ones."""
    scripted = SlowThenSilentServer()
    async with scripted.running() as server:
        client = make_client()
        async with trio.open_nursery() as requests:
            requests.start_soon(exchange, client, server)
            await trio.sleep(0.05)
            with pytest.raises(backend.AnswerLateError):
                await exchange(client, server, seconds=0.3)
        assert await exchange(client, server) == b"ok"
        assert scripted.connections == 2
        await client.aclose()


async def test_refused_connection_raises_not_sent():
    async with ScriptedServer().running() as server:
        pass
    client = make_client()
    with pytest.raises(backend.NotSentError):
        await exchange(client, server)


async def test_timeout_in_a_full_pool_raises_not_sent():
    scripted = ScriptedServer(b"", b"")
    async with scripted.running(connections=1) as server:
        client = make_client(entry_vms=8)
        error_types = []

        async def send(seconds):
            try:
                await exchange(client, server, seconds=seconds)
            except errors.LaburnumsillError as error:
                error_types.append(type(error))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(send, 0.5)
            await trio.sleep(0.1)
            nursery.start_soon(send, 0.1)
        assert error_types == [backend.NotSentError, backend.AnswerLateError]


async def test_connection_closed_after_the_request_raises_answer_lost():
    scripted = ScriptedServer(None)
    async with scripted.running() as server:
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
    scripted = ScriptedServer(answer)
    async with scripted.running() as server:
        client = make_client()
        with pytest.raises(error):
            await exchange(client, server, seconds=0.2)


async def test_tidy_closes_idle_connections_to_absent_servers():
    scripted = ScriptedServer(OK, OK)
    async with scripted.running() as server:
        client = make_client()
        await exchange(client, server)
        await client.close_unused_connections(frozenset({server.address}))
        await client.close_unused_connections(frozenset())
        await exchange(client, server)
        await client.aclose()
    assert scripted.connections == 2


@pytest.mark.parametrize("checkpoints", range(8))
async def test_a_loop_that_was_held_up_blames_no_server(checkpoints):
    """A stall of this process while it connects is not a connect failure."""

    async def stall():
        for _ in range(checkpoints):
            await trio.lowlevel.checkpoint()
        time.sleep(1.5 * backend.CONNECT_TIMEOUT_S)  # noqa: ASYNC251

    scripted = ScriptedServer(OK)
    async with scripted.running() as server, trio.open_nursery() as nursery:
        client = make_client()
        nursery.start_soon(stall)
        # A busy machine may stall this process more than once.
        assert await exchange(client, server, seconds=30.0) == b"ok"
        await client.aclose()


async def test_server_that_accepts_no_connection_fails_within_the_timeout():
    """The listen backlog of the server is full, so each SYN is dropped."""
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
        started_at = trio.current_time()
        with pytest.raises(backend.ConnectFailedError):
            await exchange(client, server)
        assert trio.current_time() - started_at < 2 * backend.CONNECT_TIMEOUT_S
        await client.aclose()
        for filler in fillers:
            filler.close()
