"""Tests of requests to services over HTTP, with a fake backend server."""

import contextlib
import functools

import hypercorn
import hypercorn.trio
import orjson
import trio
from starlette import applications
from starlette import routing

from laburnumsill.api import services
from laburnumsill.requests import headers
from laburnumsill.requests.tests import support


@contextlib.asynccontextmanager
async def serving(reply, **requests):
    """Yields the port of the HTTP interface, the fixture and the server."""
    fixture = support.RouterFixture(**requests)
    server = support.FakeServer(reply)
    router = fixture.router()
    app = applications.Starlette(
        routes=[
            *services.routes(router),
            routing.Mount("/v1/services", services.ServicesApp(router)),
        ]
    )
    config = hypercorn.Config()
    config.bind = ["127.0.0.1:0"]
    config.accesslog = None
    config.h11_max_incomplete_size = 32 * 1024
    async with (
        server.running(),
        fixture.running(router),
        trio.open_nursery() as nursery,
    ):
        fixture.view.add(server.address)
        serve = functools.partial(hypercorn.trio.serve, app, config)
        binds = await nursery.start(serve)
        yield int(binds[0].rsplit(":", 1)[1]), fixture, server
        nursery.cancel_scope.cancel()


async def call(port, *lines, body=b"{}", method="POST", path="/huts/x?y=1"):
    """Returns head and body of an answer, read until the connection closes."""
    stream = await trio.open_tcp_stream("127.0.0.1", port)
    head = [
        f"{method} {path} HTTP/1.1",
        "host: a",
        "connection: close",
        f"content-length: {len(body)}",
        *lines,
    ]
    await stream.send_all("\r\n".join(head).encode() + b"\r\n\r\n" + body)
    parts = []
    async for part in stream:
        parts.append(part)
    head, _, rest = b"".join(parts).partition(b"\r\n\r\n")
    return head.decode().lower(), rest


SERVICES = "/v1/services/huts/x?y=1"
CHECK = "laburnumsill-class: check"
CONFIRM = ("laburnumsill-class: confirm", "idempotency-key: k1")


async def test_answer_resend_and_lookup():
    async with serving(support.respond(b"booked")) as (port, _, server):
        for _ in range(2):
            head, body = await call(port, *CONFIRM, path=SERVICES)
            assert " 200" in head.split("\r\n")[0]
            assert "laburnumsill-outcome: answered" in head
            assert "laburnumsill-request-id: req-" in head
            assert body == b"booked"
        assert [c.target for c in server.calls] == ["/x?y=1"]
        path = "/v1/requests/k1?service=huts"
        head, body = await call(port, method="GET", path=path, body=b"")
        assert orjson.loads(body)["state"] == "answered"


async def test_refused_requests_get_problems_and_are_not_run():
    async with serving(support.respond()) as (port, _, server):
        cases = [
            (("laburnumsill-class: confirm",), SERVICES, 400, "missing-key"),
            (("laburnumsill-class: no",), SERVICES, 404, "unknown-name"),
            (("laburnumsill-account: no",), SERVICES, 404, "unknown-name"),
            ((CHECK, "laburnumsill-timeout-ms: 0"), SERVICES, 400, "deadline"),
            ((CHECK, "laburnumsill-timeout-ms: 1e3"), SERVICES, 400, "invalid"),
            ((), "/v1/services/none/x", 404, "unknown-name"),
            (
                (CHECK, "idempotency-key: " + "k" * 201),
                SERVICES,
                400,
                "invalid",
            ),
        ]
        for lines, path, status, slug in cases:
            head, body = await call(port, *lines, path=path)
            assert f" {status}" in head.split("\r\n")[0], (lines, head)
            assert "laburnumsill-outcome: not-run" in head
            assert slug in orjson.loads(body)["type"]
        head, _ = await call(port, CHECK, "x: " + "y" * 16_500, path=SERVICES)
        assert " 431" in head.split("\r\n")[0]
        head, body = await call(
            port, CHECK, path=SERVICES, body=b"x" * 1_100_000
        )
        assert " 413" in head.split("\r\n")[0]
        assert not server.calls


async def test_durable_request_is_accepted():
    async with serving(support.respond()) as (port, _, _):
        lines = ("laburnumsill-class: tag", "idempotency-key: t1")
        head, body = await call(port, *lines, path=SERVICES)
        assert " 202" in head.split("\r\n")[0]
        assert "laburnumsill-outcome: accepted" in head
        assert orjson.loads(body) == {"key": "t1", "state": "pending"}


async def test_truncated_answer_never_looks_complete():
    cut = b"HTTP/1.1 200 OK\r\ncontent-length: 900000\r\n\r\n" + b"x" * 500_000
    chunk = b"7A120\r\n" + b"x" * 500_000 + b"\r\n"
    chunked = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n" + chunk
    for reply in (support.raw(cut), support.raw(chunked)):
        async with serving(reply) as (port, _, _):
            head, body = await call(port, CHECK, path=SERVICES)
            complete = body.endswith(b"0\r\n\r\n") or len(body) >= 900_000
            assert "laburnumsill-outcome: answered" in head
            assert not complete


async def test_large_answer_streams():
    size = 100 * 1024 * 1024
    piece = b"x" * 1_048_576

    async def reply(_, stream):
        head = f"HTTP/1.1 200 OK\r\ncontent-length: {size}\r\n\r\n"
        await stream.send_all(head.encode())
        for _ in range(size // len(piece)):
            await stream.send_all(piece)
        return True

    async with serving(reply) as (port, _, _):
        head, body = await call(port, CHECK, path=SERVICES)
        assert len(body) == size


async def test_head_answer_has_a_length_and_no_body():
    async def reply(_, stream):
        await stream.send_all(b"HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\n")
        return True

    async with serving(reply) as (port, _, server):
        for _ in range(2):
            head, body = await call(
                port, CHECK, path=SERVICES, method="HEAD", body=b""
            )
            assert "content-length: 9" in head
            assert body == b""
        assert len(server.calls) == 2


def test_date_header_of_the_server_is_not_forwarded():
    received = ((b"date", b"Thu, 01 Jan 1970 00:00:00 GMT"), (b"x", b"1"))
    assert headers.end_to_end(received) == ((b"x", b"1"),)


async def test_answer_without_a_body_gets_no_length():
    async with serving(support.raw(b"HTTP/1.1 204 X\r\n\r\n")) as (port, _, _):
        for _ in range(2):
            head, body = await call(port, *CONFIRM, path=SERVICES)
            assert " 204" in head.split("\r\n")[0]
            assert "content-length" not in head
            assert body == b""


async def test_refusal_reaches_caller_that_is_still_sending():
    async with serving(support.respond()) as (port, _, _):
        for _ in range(20):
            head, _ = await call(
                port, path="/v1/services/none/x", body=b"x" * 900_000
            )
            assert " 404" in head.split("\r\n")[0]
