"""What stands in for the platform's executors behaves as they do."""

import contextlib
import functools

import trio

from laburnumsill.platform.tests import standin
from laburnumsill.testing import proxy as proxies

HEAD = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n"
AT_ONCE = 5


async def gone():
    """Receives that the caller has gone."""
    return {"type": "http.disconnect"}


async def test_a_caller_that_goes_away_ends_its_call_quietly():
    sent = []

    async def send(message):
        sent.append(message)

    app = standin.ExecutorApp(worker=None)
    scope = {"type": "http", "method": "POST", "path": "/-/hold"}
    await app({**scope, "headers": []}, gone, send)
    assert not sent
    assert not app.calls


async def test_a_caller_tries_no_second_connection_that_went_silent():
    """A soak asks for service within 12 s; a silent connection costs 3 s."""

    async def answer(stream):
        with contextlib.suppress(trio.BrokenResourceError):
            while await stream.receive_some():
                await trio.sleep(0.05)  # so that calls at once share nothing
                await stream.send_all(HEAD + b"{}")

    async with proxies.running() as proxy, trio.open_nursery() as nursery:
        serve = functools.partial(trio.serve_tcp, answer, 0, host="127.0.0.1")
        (listener,) = await nursery.start(serve)
        port = listener.socket.getsockname()[1]
        proxy.add_link("a", "127.0.0.1:0", f"127.0.0.1:{port}")
        caller = standin.Caller([proxy.status("a").listen])
        async with trio.open_nursery() as calls:
            for _ in range(AT_ONCE):
                calls.start_soon(caller.call, "GET", "/")
        assert proxy.status("a").connections == AT_ONCE
        proxy.silence("a")
        assert await caller.call("GET", "/") == (0, None)
        assert await caller.call("GET", "/") == (200, {})
        await caller.aclose()
        nursery.cancel_scope.cancel()
