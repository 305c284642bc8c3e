"""Tests of the request pipeline over real TCP, with failing exchanges."""

import contextlib

import pytest
import trio

from laburnumsill.core import errors
from laburnumsill.requests import messages
from laburnumsill.requests.tests import support


@contextlib.asynccontextmanager
async def one_server(reply, **requests):
    fixture = support.RouterFixture(**requests)
    server = support.FakeServer(reply)
    router = fixture.router()
    async with server.running(), fixture.running(router):
        fixture.view.add(server.address)
        yield fixture, server, router


async def test_repeatable_request_is_forwarded():
    async with one_server(support.respond(b"free")) as (
        fixture,
        server,
        router,
    ):
        result = await support.send_request(router, support.head(fixture.clock))
        assert (result.outcome, result.status) == ("answered", 200)
        assert result.body == b"free"
        call = server.calls[0]
        assert (call.method, call.target) == ("POST", "/x?y=1")
        assert call.body == b"{}"
        assert call.headers["x-mine"] == "1"
        assert "connection" not in call.headers
        assert call.headers["laburnumsill-request-id"].startswith("att-")


async def test_resend_through_another_vm_gets_the_stored_answer():
    async with one_server(support.respond(b"booked")) as (
        fixture,
        server,
        first_router,
    ):
        second_router = fixture.router("vm1")
        async with fixture.running(second_router):
            request_head = support.head(fixture.clock, "confirm", "k1")
            first = await support.send_request(first_router, request_head)
            resend = support.head(fixture.clock, "confirm", "k1")
            second = await support.send_request(second_router, resend)
        assert first == second
        assert len(server.calls) == 1
        assert server.calls[0].headers["idempotency-key"] == "k1"


async def test_concurrent_resends_run_once():
    slow = support.respond(b"booked", wait_s=0.1)
    async with one_server(slow) as (fixture, server, first_router):
        second_router = fixture.router("vm1")
        outcomes = []

        async def send(router):
            try:
                head = support.head(fixture.clock, "confirm", "k1")
                outcomes.append(
                    (await support.send_request(router, head)).outcome
                )
            except errors.InProgressError as error:
                assert error.retry_after_s
                outcomes.append("in-progress")

        async with (
            fixture.running(second_router),
            trio.open_nursery() as nursery,
        ):
            nursery.start_soon(send, first_router)
            nursery.start_soon(send, second_router)
        assert sorted(outcomes) == ["answered", "in-progress"]
        assert len(server.calls) == 1


async def test_key_reused_with_another_body_is_refused():
    async with one_server(support.respond()) as (fixture, server, router):
        head = support.head(fixture.clock, "confirm", "k1")
        await support.send_request(router, head, b"a")
        with pytest.raises(errors.KeyReusedError):
            await support.send_request(router, head, b"b")
        assert len(server.calls) == 1


@pytest.mark.parametrize(
    "text",
    [
        b"",
        b"HTTP/1.1 200 OK\r\ncontent-le",
        b"HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nhalf",
        b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\nhalf\r\n",
        b"HTTP/1.1 200 OK\r\n\r\nlength unknown",
        b"HTTP/1.1 200 OK\r\nlaburnumsill-request-id: att-other\r\n"
        b"content-length: 2\r\n\r\nok",
        b"not http at all\r\n\r\n",
    ],
)
async def test_lost_answer_is_unknown_and_never_runs_again(text):
    async with one_server(support.raw(text)) as (fixture, server, router):
        head = support.head(fixture.clock, "confirm", "k1")
        for _ in range(2):
            with pytest.raises(errors.OutcomeUnknownError):
                await support.send_request(router, head)
        assert len(server.calls) == 1


async def test_request_with_a_refused_connection_is_not_run_and_may_be_resent():
    async with one_server(support.respond(b"booked")) as (
        fixture,
        server,
        router,
    ):
        fixture.view.all = ()
        listener = await trio.open_tcp_listeners(0, host="127.0.0.1")
        port = listener[0].socket.getsockname()[1]
        await listener[0].aclose()
        fixture.view.add(f"127.0.0.1:{port}")
        with pytest.raises(errors.NoServerError) as caught:
            await support.send_request(
                router, support.head(fixture.clock, "confirm", "k")
            )
        assert caught.value.retry_after_s
        fixture.view.all = ()
        fixture.view.add(server.address)
        await trio.sleep(caught.value.retry_after_s)
        head = support.head(fixture.clock, "confirm", "k")
        assert (await support.send_request(router, head)).body == b"booked"
        assert len(server.calls) == 1


async def test_streamed_answer_over_the_limit_is_complete_and_not_stored():
    big = b"x" * 300_000
    async with one_server(support.respond(big)) as (fixture, server, router):
        head = support.head(fixture.clock, "confirm", "k1")
        assert (await support.send_request(router, head)).body == big
        await trio.sleep(0.05)
        with pytest.raises(messages.AnswerNotKeptError):
            await support.send_request(router, head)
        assert len(server.calls) == 1


async def test_request_with_unreachable_home_group_has_unknown_outcome():
    async with one_server(support.respond()) as (fixture, server, router):
        fixture.groups.unavailable.update(fixture.machines)
        with pytest.raises(messages.HomeUnreachableError):
            await support.send_request(
                router, support.head(fixture.clock, "confirm", "k")
            )
        assert not server.calls


async def test_outcome_is_recorded_after_the_caller_disconnects():
    slow = support.respond(b"booked", wait_s=0.2)
    async with one_server(slow) as (fixture, server, router):
        with trio.move_on_after(0.05):
            await support.send_request(
                router, support.head(fixture.clock, "confirm", "k")
            )
        await trio.sleep(0.4)
        head = support.head(fixture.clock, "confirm", "k")
        assert (await support.send_request(router, head)).body == b"booked"
        assert len(server.calls) == 1


async def test_drain_waits_for_requests_in_flight_and_rejects_new_ones():
    slow = support.respond(b"late", wait_s=0.3)
    async with one_server(slow) as (fixture, server, router):
        bodies = []

        async def send():
            head = support.head(fixture.clock, "check")
            bodies.append((await support.send_request(router, head)).body)

        async with trio.open_nursery() as nursery:
            nursery.start_soon(send)
            await trio.sleep(0.1)
            nursery.start_soon(router.drain, fixture.clock.monotonic() + 5)
            await trio.sleep(0.05)
            with pytest.raises(messages.DrainingError):
                await support.send_request(router, support.head(fixture.clock))
        assert bodies == [b"late"]
