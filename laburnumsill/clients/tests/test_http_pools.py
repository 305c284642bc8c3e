"""Tests of persistent connections that go silent while new ones work."""

import contextlib

import pytest
import trio
import trio.testing

from laburnumsill.clients import http_pools
from laburnumsill.core import trio_clock
from laburnumsill.testing import proxy as proxies

LIMITS = http_pools.PoolLimits(
    connections=8, keep_alive_s=60.0, connect_timeout_s=1.0
)
TIMEOUT_S = 0.2
HELD_S = 0.7
BODY = b"{}"
ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


class Server:
    """A server that can stop answering on all its open connections.

    It sends the first answer once `first` connections are open. A request for
    `/held` is answered after `HELD_S`.
    """

    def __init__(self, first):
        self.address = ""
        self.connections = 0
        self._first = first
        self._all_open = trio.Event()
        self._silent_up_to = 0

    def silence_open_connections(self):
        """Stops answering on them, also requests that came before."""
        self._silent_up_to = self.connections

    async def run(self, *, task_status=trio.TASK_STATUS_IGNORED):
        async with trio.open_nursery() as nursery:
            listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
            nursery.start_soon(trio.serve_listeners, self._serve, listeners)
            port = listeners[0].socket.getsockname()[1]
            self.address = f"127.0.0.1:{port}"
            task_status.started()

    async def _serve(self, stream):
        self.connections += 1
        number = self.connections
        if number == self._first:
            self._all_open.set()
        with contextlib.suppress(trio.BrokenResourceError):
            while raw := await _whole_request(stream):
                await self._all_open.wait()
                if b"/held" in raw:
                    await trio.sleep(HELD_S)
                if number <= self._silent_up_to:
                    await trio.sleep_forever()
                await stream.send_all(ANSWER)


async def _whole_request(stream):
    """Returns a complete request, b"" at the end of the stream.

    Its head and body may arrive separately.
    """
    raw = b""
    while not raw.endswith(BODY):
        chunk = await stream.receive_some()
        if not chunk:
            return b""
        raw += chunk
    return raw


async def request(pools, address, path="/x", timeout_s=TIMEOUT_S):
    deadline = trio.current_time() + timeout_s
    return await pools.request("POST", address, path, {}, BODY, deadline)


async def test_one_unanswered_request_ends_all_silent_connections():
    """Guards against one timeout for each of the silent connections."""
    async with trio.open_nursery() as nursery:
        server = Server(first=4)
        await nursery.start(server.run)
        pools = http_pools.HttpPools(trio_clock.TrioClock(), LIMITS)
        async with trio.open_nursery() as requests:
            for _ in range(4):
                requests.start_soon(request, pools, server.address)
        server.silence_open_connections()
        with pytest.raises(http_pools.NoResponseError):
            await request(pools, server.address)
        answer = await request(pools, server.address)
        assert answer.status == 200
        assert server.connections == 5
        await pools.close()
        nursery.cancel_scope.cancel()


async def test_an_address_that_cannot_be_used_is_a_failure_with_a_type():
    """Callers catch only `NoResponseError`; any other error ends their loop."""
    pools = http_pools.HttpPools(trio_clock.TrioClock(), LIMITS)
    invalid_addresses = [
        "",
        "x:99999",
        "x:y",
        "é:80",
        f"{'a' * 70}:80",
        "x y:1",
        "::1:8",
    ]
    for address in invalid_addresses:
        with pytest.raises(http_pools.NoResponseError):
            await request(pools, address)
    await pools.close()


MALFORMED_ANSWERS = [
    b"",
    b"\x00\xff\xfe",
    b"HTTP/9.9 200 OK\r\n\r\n",
    b"HTTP/1.1 abc OK\r\n\r\n",
    b"HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n",
    b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nab",
    b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab",
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
    b"HTTP/1.1 200 OK\r\n" + b"x" * 200_000 + b"\r\n\r\n",
    b"HTTP/1.1 200 OK\r\nA\x00: b\r\n\r\n",
    b"HTTP/1.1 101 Switching Protocols\r\n\r\n",
]


async def test_malformed_answer_gives_a_response_or_no_response_error():
    async with trio.open_nursery() as nursery:
        for raw in MALFORMED_ANSWERS:

            async def answer(stream, raw=raw):
                with contextlib.suppress(trio.BrokenResourceError):
                    await stream.receive_some()
                    await stream.send_all(raw)
                    await stream.aclose()

            listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
            nursery.start_soon(trio.serve_listeners, answer, listeners)
            port = listeners[0].socket.getsockname()[1]
            pools = http_pools.HttpPools(trio_clock.TrioClock(), LIMITS)
            with contextlib.suppress(http_pools.NoResponseError):
                response = await request(pools, f"127.0.0.1:{port}")
                assert response.status in (101, 200), raw[:40]
            await pools.close()
        nursery.cancel_scope.cancel()


async def request_held(pools, address, results):
    """Sends a request for `/held`; records time and outcome of its end."""
    try:
        await request(pools, address, "/held", timeout_s=3.0)
        results.append((trio.current_time(), "answered"))
    except http_pools.NoResponseError:
        results.append((trio.current_time(), "lost"))


async def test_request_on_a_silent_connection_is_cancelled_early():
    """An answer on a new connection after a timeout cancels older requests."""
    async with trio.open_nursery() as nursery:
        server = Server(first=2)
        await nursery.start(server.run)
        pools = http_pools.HttpPools(trio_clock.TrioClock(), LIMITS)
        async with trio.open_nursery() as requests:
            for _ in range(2):
                requests.start_soon(request, pools, server.address)
        results = []
        started_at = trio.current_time()
        async with trio.open_nursery() as held_requests:
            held_requests.start_soon(
                request_held, pools, server.address, results
            )
            await trio.sleep(0.05)
            server.silence_open_connections()
            with pytest.raises(http_pools.NoResponseError):
                await request(pools, server.address)
            assert (await request(pools, server.address)).status == 200
        ((ended_at, outcome),) = results
        assert outcome == "lost"
        assert ended_at - started_at < 0.05 + TIMEOUT_S + 0.3
        await pools.close()
        nursery.cancel_scope.cancel()


async def test_request_is_not_cancelled_while_no_request_is_answered():
    """A hung worker must not get more requests than one that answers."""
    async with trio.open_nursery() as nursery:
        server = Server(first=1)
        await nursery.start(server.run)
        pools = http_pools.HttpPools(trio_clock.TrioClock(), LIMITS)
        results = []
        async with trio.open_nursery() as held_requests:
            held_requests.start_soon(
                request_held, pools, server.address, results
            )
            await trio.sleep(0.05)
            with pytest.raises(http_pools.NoResponseError):
                await request(pools, server.address, "/held", 0.1)
            with pytest.raises(http_pools.NoResponseError):
                await request(pools, server.address, "/held", 0.1)
        assert [outcome for _, outcome in results] == ["answered"]
        await pools.close()
        nursery.cancel_scope.cancel()


async def test_an_order_that_was_given_up_does_not_arrive_later():
    """A late start order would start a task that was cancelled meanwhile."""
    async with proxies.running() as proxy, trio.open_nursery() as nursery:
        server = Server(first=1)
        await nursery.start(server.run)
        proxy.add_link("a", "127.0.0.1:0", server.address)
        address = proxy.status("a").listen
        pools = http_pools.HttpPools(trio_clock.TrioClock(), LIMITS)
        assert (await request(pools, address)).status == 200
        sent = proxy.status("a").to_target_bytes
        proxy.set_fault("a", proxies.Fault(proxies.Mode.HOLD))
        with pytest.raises(http_pools.NoResponseError):
            await request(pools, address)
        await trio.sleep(0.1)
        proxy.heal("a")
        await trio.sleep(0.2)
        assert proxy.status("a").to_target_bytes == sent
        await pools.close()
        nursery.cancel_scope.cancel()


async def test_a_pinned_connection_is_not_handed_out_twice(monkeypatch):
    # The second request failed and marked a sound worker as unreachable.
    pools = http_pools.HttpPools(trio_clock.TrioClock(), LIMITS)
    old = await pools.pinned("127.0.0.1:9", "before")

    async def close_slowly():
        await trio.sleep(HELD_S)

    monkeypatch.setattr(old.http, "aclose", close_slowly)
    taken = []

    async def use():
        connection = await pools.pinned("127.0.0.1:9", "after")
        taken.append(connection)
        with connection or contextlib.nullcontext():
            await trio.sleep(2 * HELD_S)

    async with trio.open_nursery() as nursery:
        nursery.start_soon(use)
        await trio.testing.wait_all_tasks_blocked()
        nursery.start_soon(use)
    assert [one is not None for one in taken] == [True, False]
