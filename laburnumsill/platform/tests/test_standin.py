"""Tests of the fakes of the platform's executors and callers."""

import contextlib
import functools

import trio

from laburnumsill.platform.tests import standin
from laburnumsill.testing import proxy as proxies

HEAD = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n"
CONCURRENT_CALLS = 5


async def receive_disconnect():
    """Returns the ASGI message for a caller that disconnected."""
    return {"type": "http.disconnect"}


async def test_a_disconnect_ends_a_call_without_an_answer():
    sent = []

    async def send(message):
        sent.append(message)

    app = standin.ExecutorApp(worker=None)
    scope = {"type": "http", "method": "POST", "path": "/-/hold"}
    await app({**scope, "headers": []}, receive_disconnect, send)
    assert not sent
    assert not app.calls


async def test_a_caller_closes_all_idle_connections_after_a_timeout():
    """Each silenced connection costs a timeout of 3 s.

    A soak requires the site to serve again within 12 s.
    """

    async def answer(stream):
        with contextlib.suppress(trio.BrokenResourceError):
            while await stream.receive_some():
                await trio.sleep(
                    0.05
                )  # so that concurrent calls share no connection
                await stream.send_all(HEAD + b"{}")

    async with proxies.running() as proxy, trio.open_nursery() as nursery:
        serve = functools.partial(trio.serve_tcp, answer, 0, host="127.0.0.1")
        (listener,) = await nursery.start(serve)
        port = listener.socket.getsockname()[1]
        proxy.add_link("a", "127.0.0.1:0", f"127.0.0.1:{port}")
        caller = standin.Caller([proxy.status("a").listen])
        async with trio.open_nursery() as calls:
            for _ in range(CONCURRENT_CALLS):
                calls.start_soon(caller.call, "GET", "/")
        assert proxy.status("a").connections == CONCURRENT_CALLS
        proxy.silence("a")
        assert await caller.call("GET", "/") == (0, None)
        assert await caller.call("GET", "/") == (200, {})
        await caller.aclose()
        nursery.cancel_scope.cancel()
