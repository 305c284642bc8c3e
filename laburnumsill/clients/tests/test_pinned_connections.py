"""Tests of pinned connections whose requests are cancelled or cut off."""

import contextlib
import os
import time

import pytest
import trio
import trio.testing

from laburnumsill.clients import http_pools
from laburnumsill.core import trio_clock

LIMITS = http_pools.PoolLimits(
    connections=8, keep_alive_s=60.0, connect_timeout_s=1.0
)
PEER = "w0@1"
TIMEOUT_S = 3.0
SHORT_TIMEOUT_S = 0.2
STALL_S = 0.3
PASSES = 40
BODY = b"{}"
ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
ANSWER_HEAD = ANSWER.removesuffix(b"ok")


class Server:
    """A server whose next answer is sent by `misbehave`, if it is set.

    Attributes:
        address: Where it listens.
        misbehave: Called with the stream in place of the next answer.
    """

    def __init__(self):
        self.address = ""
        self.misbehave = None

    async def run(self, *, task_status=trio.TASK_STATUS_IGNORED):
        async with trio.open_nursery() as nursery:
            listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
            nursery.start_soon(trio.serve_listeners, self._serve, listeners)
            port = listeners[0].socket.getsockname()[1]
            self.address = f"127.0.0.1:{port}"
            task_status.started()

    async def _serve(self, stream):
        raw = b""
        with contextlib.suppress(
            trio.BrokenResourceError, trio.ClosedResourceError
        ):
            while chunk := await stream.receive_some():
                raw += chunk
                if not raw.endswith(BODY):
                    continue
                raw = b""
                misbehave, self.misbehave = self.misbehave, None
                if misbehave is None:
                    await stream.send_all(ANSWER)
                else:
                    await misbehave(stream)


@contextlib.asynccontextmanager
async def running_server():
    """Yields a server and the pools of its caller."""
    async with trio.open_nursery() as nursery:
        server = Server()
        await nursery.start(server.run)
        pools = http_pools.HttpPools(trio_clock.TrioClock(), LIMITS)
        yield server, pools
        await pools.close()
        nursery.cancel_scope.cancel()


async def call(pools, address, timeout_s=TIMEOUT_S):
    """Sends a request over the pinned connection."""
    connection = await pools.pinned(address, PEER)
    assert connection is not None
    deadline = trio.current_time() + timeout_s
    with connection:
        return await pools.request(
            "POST", address, "/x", {}, BODY, deadline, connection
        )


async def answer_and_stall(stream):
    """Sends an answer that the loop reads only after it stood still."""
    await trio.testing.wait_all_tasks_blocked()
    os.write(stream.socket.fileno(), ANSWER)
    stall()


def stall():
    time.sleep(STALL_S)


async def test_call_whose_answer_comes_with_its_deadline_ends_no_connection():
    """Each later call failed at once, for good: the connection stayed busy.

    A loop that stood still finds the answer and the end of the deadline in the
    same pass.
    """
    async with running_server() as (server, pools):
        await call(pools, server.address)
        server.misbehave = answer_and_stall
        with contextlib.suppress(http_pools.NoResponseError):
            await call(pools, server.address, SHORT_TIMEOUT_S)
        assert (await call(pools, server.address)).content == b"ok"


async def test_answer_that_comes_with_the_deadline_is_returned():
    """A worker that has answered would count as unreachable."""
    async with running_server() as (server, pools):
        await call(pools, server.address)
        server.misbehave = answer_and_stall
        answer = await call(pools, server.address, SHORT_TIMEOUT_S)
        assert answer.content == b"ok"


async def test_call_that_is_cancelled_as_its_answer_comes_ends_no_connection():
    """As a long poll that is cut short because its worker is unreachable."""
    async with running_server() as (server, pools):
        await call(pools, server.address)
        with trio.CancelScope() as scope:

            async def answer_and_cancel(stream):
                await trio.testing.wait_all_tasks_blocked()
                os.write(stream.socket.fileno(), ANSWER)
                scope.deadline = trio.current_time()

            server.misbehave = answer_and_cancel
            await call(pools, server.address)
        assert (await call(pools, server.address)).content == b"ok"


@pytest.mark.parametrize("is_open", [False, True])
async def test_call_cancelled_at_any_point_ends_no_connection(is_open):
    """Connecting, sending, waiting or reading."""
    for passes in range(PASSES):
        async with running_server() as (server, pools):
            if is_open:
                await call(pools, server.address)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(call, pools, server.address)
                for _ in range(passes):
                    await trio.lowlevel.checkpoint()
                nursery.cancel_scope.cancel()
            assert (await call(pools, server.address)).content == b"ok"


async def fall_silent(_):
    await trio.sleep_forever()


async def close(stream):
    await stream.aclose()


async def stop_within_the_answer(stream):
    await stream.send_all(ANSWER_HEAD)
    await trio.sleep_forever()


async def close_within_the_answer(stream):
    await stream.send_all(ANSWER_HEAD)
    await stream.aclose()


@pytest.mark.parametrize(
    "misbehave",
    [fall_silent, close, stop_within_the_answer, close_within_the_answer],
)
async def test_call_after_a_lost_answer_is_answered(misbehave):
    async with running_server() as (server, pools):
        await call(pools, server.address)
        server.misbehave = misbehave
        with pytest.raises(http_pools.NoResponseError):
            await call(pools, server.address, SHORT_TIMEOUT_S)
        assert (await call(pools, server.address)).content == b"ok"


async def test_call_over_a_connection_that_is_in_use_fails_alone():
    """It has a type, and neither call ends the connection."""
    async with running_server() as (server, pools):
        connection = await pools.pinned(server.address, PEER)
        with connection:

            async def send():
                deadline = trio.current_time() + TIMEOUT_S
                return await pools.request(
                    "POST", server.address, "/x", {}, BODY, deadline, connection
                )

            async def fail_beside(stream):
                with pytest.raises(http_pools.NoResponseError):
                    await send()
                await stream.send_all(ANSWER)

            server.misbehave = fail_beside
            assert (await send()).content == b"ok"
        assert (await call(pools, server.address)).content == b"ok"
