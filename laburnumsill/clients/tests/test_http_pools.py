"""Kept connections against a server whose old ones go silent."""

import contextlib

import pytest
import trio

from laburnumsill.clients import http_pools
from laburnumsill.core import trio_clock
from laburnumsill.testing import proxy as proxies

LIMITS = http_pools.PoolLimits(
    connections=8, keep_alive_s=60.0, connect_timeout_s=1.0
)
PATIENCE_S = 0.2
HELD_S = 0.7
BODY = b"{}"
ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


class Server:
    """Answers on new connections; those that it was told of stay silent.

    It answers nothing before `first` connections are open.
    """

    def __init__(self, first):
        self.address = ""
        self.connections = 0
        self._first = first
        self._all_open = trio.Event()
        self._silent_up_to = 0

    def silence_open_connections(self):
        """Answers nothing on them any more, not even what came before."""
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
    """Returns a request, b"" at the end; its head may come before its body."""
    raw = b""
    while not raw.endswith(BODY):
        chunk = await stream.receive_some()
        if not chunk:
            return b""
        raw += chunk
    return raw


async def request(pools, address, path="/x", patience_s=PATIENCE_S):
    deadline = trio.current_time() + patience_s
    return await pools.request("POST", address, path, {}, BODY, deadline)


async def test_one_unanswered_request_ends_all_silent_connections():
    """Otherwise each of them costs a timeout of its own."""
    async with trio.open_nursery() as nursery:
        server = Server(first=4)
        await nursery.start(server.run)
        pools = http_pools.HttpPools(trio_clock.TrioClock(), LIMITS)
        async with trio.open_nursery() as at_once:
            for _ in range(4):
                at_once.start_soon(request, pools, server.address)
        server.silence_open_connections()
        with pytest.raises(http_pools.NoResponseError):
            await request(pools, server.address)
        answer = await request(pools, server.address)
        assert answer.status == 200
        assert server.connections == 5
        await pools.close()
        nursery.cancel_scope.cancel()


async def test_an_address_that_cannot_be_used_is_a_failure_with_a_type():
    """Anything else would end the loop of whoever calls."""
    pools = http_pools.HttpPools(trio_clock.TrioClock(), LIMITS)
    wrong = ["", "x:99999", "x:y", "é:80", f"{'a' * 70}:80", "x y:1", "::1:8"]
    for address in wrong:
        with pytest.raises(http_pools.NoResponseError):
            await request(pools, address)
    await pools.close()


GARBAGE = [
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


async def test_whatever_is_answered_is_a_response_or_a_failure_with_a_type():
    async with trio.open_nursery() as nursery:
        for raw in GARBAGE:

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


async def held(pools, address, ends):
    """Waits long for an answer; notes when it ended, and how."""
    try:
        await request(pools, address, "/held", patience_s=3.0)
        ends.append((trio.current_time(), "answered"))
    except http_pools.NoResponseError:
        ends.append((trio.current_time(), "lost"))


async def test_a_long_wait_on_a_silent_connection_ends_with_the_proof():
    """A short request that is answered on a new connection is the proof."""
    async with trio.open_nursery() as nursery:
        server = Server(first=2)
        await nursery.start(server.run)
        pools = http_pools.HttpPools(trio_clock.TrioClock(), LIMITS)
        async with trio.open_nursery() as at_once:
            for _ in range(2):
                at_once.start_soon(request, pools, server.address)
        ends = []
        began = trio.current_time()
        async with trio.open_nursery() as waits:
            waits.start_soon(held, pools, server.address, ends)
            await trio.sleep(0.05)
            server.silence_open_connections()
            with pytest.raises(http_pools.NoResponseError):
                await request(pools, server.address)
            assert (await request(pools, server.address)).status == 200
        ((ended, outcome),) = ends
        assert outcome == "lost"
        assert ended - began < 0.05 + PATIENCE_S + 0.3
        await pools.close()
        nursery.cancel_scope.cancel()


async def test_a_long_wait_goes_on_while_nothing_is_answered():
    """A worker that hangs is asked no more often than one that does not."""
    async with trio.open_nursery() as nursery:
        server = Server(first=1)
        await nursery.start(server.run)
        pools = http_pools.HttpPools(trio_clock.TrioClock(), LIMITS)
        ends = []
        async with trio.open_nursery() as waits:
            waits.start_soon(held, pools, server.address, ends)
            await trio.sleep(0.05)
            with pytest.raises(http_pools.NoResponseError):
                await request(pools, server.address, "/held", 0.1)
            with pytest.raises(http_pools.NoResponseError):
                await request(pools, server.address, "/held", 0.1)
        assert [outcome for _, outcome in ends] == ["answered"]
        await pools.close()
        nursery.cancel_scope.cancel()


async def test_an_order_that_was_given_up_does_not_arrive_later():
    """It would start what was cancelled meanwhile."""
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
