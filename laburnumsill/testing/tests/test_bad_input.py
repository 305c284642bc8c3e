"""Bad input at real VMs: typed answers, nothing leaks, no task dies."""

import contextlib
import json
import pathlib

import httpcore
import hypothesis
import orjson
import pytest
import trio
from hypothesis import strategies
from starlette import requests

from laburnumsill.api import configuration
from laburnumsill.api import groups
from laburnumsill.api import jobs
from laburnumsill.api import members
from laburnumsill.api import problems
from laburnumsill.testing import cluster
from laburnumsill.testing import scenario

SITE = cluster.Layout(servers=1)
RUN = "/v1/services/booking/run"
OFFER = "Laburnumsill-Class: offer"
CONFIRM = "Laburnumsill-Class: confirm"
LEAKS = (b"Traceback", b".py", b"site-packages", b"pydantic", b"0x")
MB = 1024 * 1024

WEBSOCKET_CALLS = 5


async def raw(address, request, timeout_s=10):
    """Sends bytes and returns all that comes back until the end."""
    received = b""
    with trio.move_on_after(timeout_s):
        stream = await trio.open_tcp_stream(*split(address))
        async with stream:
            with contextlib.suppress(trio.BrokenResourceError):
                await stream.send_all(request)
            with contextlib.suppress(trio.BrokenResourceError):
                async for part in stream:
                    received += part
    return received


def split(address):
    """Returns host and port of an address."""
    host, port = address.rsplit(":", 1)
    return host, int(port)


def message(method, path, *headers, body=b"", length=None):
    """Returns a request as it goes over the wire."""
    lines = [
        f"{method} {path} HTTP/1.1",
        "Host: a",
        "Connection: close",
        f"Content-Length: {len(body) if length is None else length}",
        *headers,
    ]
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body


BAD = {
    "unknown service": (
        message("POST", "/v1/services/nothing/run"),
        (404, "unknown-name"),
    ),
    "no service": (message("GET", "/v1/services/"), (404, "unknown-name")),
    "unknown class": (
        message("POST", RUN, "Laburnumsill-Class: nothing"),
        (404, "unknown-name"),
    ),
    "unknown account": (
        message("POST", RUN, OFFER, "Laburnumsill-Account: nobody"),
        (404, "unknown-name"),
    ),
    "missing key": (message("POST", RUN, CONFIRM), (400, "missing-key")),
    "empty key": (
        message("POST", RUN, CONFIRM, "Idempotency-Key:  "),
        (400, "invalid-input"),
    ),
    "long key": (
        message("POST", RUN, CONFIRM, "Idempotency-Key: " + "k" * 201),
        (400, "invalid-input"),
    ),
    "unprintable key": (
        message("POST", RUN, CONFIRM, "Idempotency-Key: a\x80b"),
        (400, "invalid-input"),
    ),
    "no number as timeout": (
        message("POST", RUN, OFFER, "Laburnumsill-Timeout-Ms: 1e3"),
        (400, "invalid-input"),
    ),
    "past deadline": (
        message("POST", RUN, OFFER, "Laburnumsill-Timeout-Ms: -5"),
        (400, "deadline-passed"),
    ),
    "large body": (
        message("POST", RUN, OFFER, body=b"x" * (MB + 1)),
        (413, "too-large"),
    ),
    "large headers": (
        message("POST", RUN, OFFER, "X-Fill: " + "x" * 17_000),
        (431, "headers-too-large"),
    ),
    "huge headers": (
        message("POST", RUN, OFFER, "X-Fill: " + "x" * 200_000),
        (431, None),
    ),
    "two lengths": (
        message("POST", RUN, OFFER, "Content-Length: 7"),
        (400, None),
    ),
    "negative length": (message("POST", RUN, OFFER, length=-4), (400, None)),
    "no HTTP": (b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\r\n\r\n", (400, None)),
    "damaged chunk": (
        b"POST /v1/services/booking/run HTTP/1.1\r\nHost: a\r\n"
        b"Transfer-Encoding: chunked\r\n\r\nzz\r\nabc\r\n",
        (400, None),
    ),
    "bad method": (message("PATCH", "/v1/jobs"), (405, "method-not-allowed")),
    "unknown path": (message("GET", "/v2/nothing"), (404, "not-found")),
    "no service of a key": (
        message("GET", "/v1/requests/k"),
        (400, "invalid-input"),
    ),
    "no JSON": (
        message("POST", "/v1/backend-servers", body=b"{nope"),
        (400, "malformed-json"),
    ),
    "a list": (
        message("POST", "/v1/workers", body=b"[1]"),
        (400, "malformed-json"),
    ),
    "deep JSON": (
        message("PUT", "/v1/config", body=b"[" * 100_000),
        (400, "malformed-json"),
    ),
    "not UTF-8": (
        message("PUT", "/v1/config", body=b'{"operator": "\xff\xfe"}'),
        (400, "malformed-json"),
    ),
    "large operator's body": (
        message("PUT", "/v1/config", body=b" " * (4 * MB + 1)),
        (413, "too-large"),
    ),
    "job without a key": (
        message("POST", "/v1/jobs", body=b'{"account": "lakeside"}'),
        (400, "missing-key"),
    ),
}


def check_answer(name, received, status, slug):
    """Checks one answer of a VM to bad input."""
    head, _, body = received.partition(b"\r\n\r\n")
    assert head, f"{name}: no answer"
    assert head.split()[1] == str(status).encode(), (name, received[:300])
    assert not any(leak in body for leak in LEAKS), (name, body)
    if slug is not None:
        assert orjson.loads(body)["type"].endswith("/" + slug), (name, body)


def check_unharmed(site):
    """Checks that no VM has died or met an error of its own."""
    for vm_id in site.vm_ids:
        assert site.process(vm_id).running, site.process(vm_id).log_text()
        log = site.process(vm_id).log_text()
        assert "Traceback" not in log, log[log.index("Traceback") :][:3000]
        assert "level=ERROR" not in log, log[log.index("level=ERROR") :][:500]


def memory(site, vm_id):
    """Returns the resident memory of a VM in bytes."""
    statm = pathlib.Path(f"/proc/{site.process(vm_id).pid}/statm")
    return int(statm.read_text().split()[1]) * 4096


async def test_bad_requests_get_typed_answers(tmp_path: pathlib.Path):
    async with cluster.running(tmp_path, SITE) as site:
        await scenario.start_site(site)
        address = site.address("vm1")
        for name, (request, (status, slug)) in BAD.items():
            check_answer(name, await raw(address, request), status, slug)
        for method in ("CONNECT", "TRACE", "OPTIONS", "BREW"):
            received = await raw(address, message(method, RUN, OFFER))
            assert not any(leak in received for leak in LEAKS), received
        first = await scenario.request(site, "vm1", "confirm", "k1")
        assert first.status == 200
        reused = await scenario.request(
            site, "vm2", "confirm", "k1", body=b'{"other": 1}'
        )
        assert reused.status == 422
        assert reused.json()["type"].endswith("/key-reused")
        assert reused.outcome != "answered"
        for vm_id in site.vm_ids:
            answer = await scenario.request(site, vm_id, "offer")
            assert answer.outcome == "answered"
        check_unharmed(site)


@pytest.mark.parametrize(
    "address", ["127.0.0.1:99999", "a" * 80 + ":80", "[::1:80", "x_-:0"]
)
async def test_an_impossible_address_is_refused_or_harmless(
    tmp_path: pathlib.Path, address
):
    """Such a server is never usable, and no request dies of it."""
    async with cluster.running(tmp_path, cluster.Layout()) as site:
        await scenario.start_site(site)
        announcement = {
            "server_id": "odd",
            "service": "booking",
            "domain": "north",
            "address": address,
            "incarnation": "00001780000000000000",
            "sequence": 1,
            "slots": 8,
            "connections": 64,
        }
        sent = await site.client("vm1").send(
            "POST", "/v1/backend-servers", announcement
        )
        assert sent.status in (200, 400), sent.body
        for request_class in ("offer", "confirm", "tagging"):
            with contextlib.suppress(httpcore.ReadError):
                answer = await scenario.request(
                    site, "vm1", request_class, f"odd-{request_class}"
                )
                assert answer.status in (202, 503), answer.body
        await trio.sleep(1)
        check_unharmed(site)
        await site.until_status("vm1", "/readyz")


SLOW = 150
"""Connections that are held open without a whole request."""

MEMORY_LIMIT = 300 * MB
"""60 MB of the daemon's own, 32 MB of bodies, and some 0.6 MB of buffers for
each of 300 connections; the 300 bodies alone would be 300 MB."""


async def slow_caller(address, request, piece):
    """Sends a request whose body trickles in; returns what came back."""
    received = b""
    stream = await trio.open_tcp_stream(*split(address))
    async with stream, trio.open_nursery() as nursery:

        async def trickle():
            with contextlib.suppress(trio.BrokenResourceError):
                await stream.send_all(request)
                while True:
                    await trio.sleep(0.2)
                    await stream.send_all(piece)

        nursery.start_soon(trickle)
        with contextlib.suppress(trio.BrokenResourceError):
            async for part in stream:
                received += part
        nursery.cancel_scope.cancel()
    return received


UPGRADE = (
    b"GET / HTTP/1.1\r\nHost: a\r\nConnection: upgrade\r\n"
    b"Upgrade: websocket\r\nSec-WebSocket-Version: 13\r\n"
    b"Sec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\n\r\n"
)


async def test_a_malformed_websocket_call_ends_no_daemon(tmp_path):
    """Guards against a caller's bytes that end the process for all."""
    async with cluster.running(tmp_path, SITE) as site:
        await scenario.start_site(site)
        for _ in range(WEBSOCKET_CALLS):
            await raw(site.address("vm1"), UPGRADE + b"\xff" * 50, 1.0)
        answer = await scenario.request(site, "vm1", "confirm", "after")
        assert answer.outcome == "answered"
        assert site.process("vm1").running


async def test_half_sent_and_trickling_requests_hold_up_nobody(
    tmp_path: pathlib.Path,
):
    timeout = "Laburnumsill-Timeout-Ms: 3000"
    trickling = message("POST", RUN, OFFER, timeout, length=100_000)
    async with cluster.running(tmp_path, SITE) as site:
        await scenario.start_site(site)
        address = site.address("vm1")
        answers = []

        async def one():
            answers.append(await slow_caller(address, trickling, b"x"))

        async with trio.open_nursery() as nursery:
            for _ in range(SLOW):
                nursery.start_soon(one)
            halves = []
            for number in range(SLOW):
                stream = await trio.open_tcp_stream(*split(address))
                await stream.send_all(trickling[: 10 + number])
                halves.append(stream)
            for _ in range(20):
                answer = await scenario.request(site, "vm1", "offer")
                assert answer.outcome == "answered"
            for stream in halves:
                await trio.aclose_forcefully(stream)
            nursery.cancel_scope.deadline = trio.current_time() + 30
        assert len(answers) == SLOW
        for received in answers:
            check_answer("trickling", received, 400, "deadline-passed")
            assert b"not-run" in received.lower()
        check_unharmed(site)


async def test_bodies_that_never_end_leave_the_memory_bounded(
    tmp_path: pathlib.Path,
):
    timeout = "Laburnumsill-Timeout-Ms: 8000"
    almost = message(
        "POST", RUN, OFFER, timeout, body=b"x" * (MB - 1), length=MB
    )
    async with cluster.running(tmp_path, SITE) as site:
        await scenario.start_site(site)
        address = site.address("vm1")
        answers, most = [], [0]

        async def one():
            answers.append(await slow_caller(address, almost, b""))

        async with trio.open_nursery() as nursery:
            for _ in range(2 * SLOW):
                nursery.start_soon(one)
            with trio.move_on_after(40):
                while len(answers) < 2 * SLOW:
                    most[0] = max(most[0], memory(site, "vm1"))
                    await trio.sleep(0.05)
            nursery.cancel_scope.cancel()
        print(most[0] / MB, len(answers))
        assert len(answers) == 2 * SLOW
        assert most[0] < MEMORY_LIMIT
        statuses = {received.split()[1] for received in answers if received}
        assert statuses <= {b"400", b"503"}
        answer = await scenario.request(site, "vm1", "offer")
        assert answer.outcome == "answered"
        check_unharmed(site)


MODELS = (
    members.ServerAnnouncement,
    members.WorkerAnnouncement,
    members.UsageReport,
    jobs.JobBody,
    configuration.Push,
    groups.Transfer,
    groups.Replace,
)
FIELDS = sorted({name for model in MODELS for name in model.model_fields})
VALUES = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers(-(2**70), 2**70)
    | strategies.floats()
    | strategies.text(max_size=20)
    | strategies.sampled_from(["127.0.0.1:80", "north", "1:99999", "::1"]),
    lambda inner: (
        strategies.lists(inner, max_size=4)
        | strategies.dictionaries(
            strategies.sampled_from(FIELDS) | strategies.text(max_size=8),
            inner,
            max_size=12,
        )
    ),
    max_leaves=20,
)
BODIES = strategies.binary(max_size=200) | VALUES.map(
    lambda value: json.dumps(value).encode()
)


@hypothesis.given(model=strategies.sampled_from(MODELS), body=BODIES)
@hypothesis.settings(max_examples=600, deadline=None)
def test_any_body_is_a_valid_model_or_a_typed_problem(model, body):
    async def receive():
        return {"type": "http.request", "body": body, "more_body": False}

    async def endpoint(request):
        read = await problems.read_model(request, model)
        assert isinstance(read, model)
        return problems.json_response({})

    async def call():
        scope = {"type": "http", "path": "/", "headers": [], "root_path": ""}
        request = requests.Request(scope | {"query_string": b""}, receive)
        return await problems.guarded(endpoint)(request)

    response = trio.run(call)
    assert response.status_code in (200, 400), response.body
    if response.status_code == 400:
        slug = orjson.loads(response.body)["type"].rsplit("/", 1)[1]
        assert slug == "malformed-json"
