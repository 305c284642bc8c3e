"""Tests of at-most-once requests and their outcomes when groups fail."""

import contextlib

import hypothesis
import pytest
import trio
from hypothesis import strategies as st

from laburnumsill.config import current as current_module
from laburnumsill.core import errors
from laburnumsill.requests import answer
from laburnumsill.requests import classify
from laburnumsill.requests import messages
from laburnumsill.requests import read_body
from laburnumsill.requests.tests import support
from laburnumsill.state import claim_records
from laburnumsill.testing import local_groups


class FaultyGroups(local_groups.LocalGroups):
    """Loses proposals, before or after they are applied.

    Attributes:
        faults: Faults of the next proposals, by command type:
            ``answer-lost`` applies the command and loses the answer,
            ``lost`` stores the command for `apply_late`.
        lost_commands: Lost commands with their groups.
    """

    def __init__(self, machines):
        super().__init__(machines)
        self.faults = {}
        self.lost_commands = []

    async def propose(self, group, command, deadline):
        faults = self.faults.get(type(command))
        fault = faults.pop(0) if faults else None
        if fault == "lost":
            self.lost_commands.append((group, command))
            raise errors.ProposalLostError("lost")
        result = await super().propose(group, command, deadline)
        if fault == "answer-lost":
            raise errors.ProposalLostError("answer lost")
        return result

    async def apply_late(self):
        for group, command in self.lost_commands:
            with contextlib.suppress(errors.LaburnumsillError):
                await super().propose(group, command, 0.0)
        self.lost_commands.clear()


@contextlib.asynccontextmanager
async def site(reply, **requests):
    fixture = support.RouterFixture(**requests)
    fixture.groups = FaultyGroups(fixture.machines)
    server = support.FakeServer(reply)
    router = fixture.router()
    async with server.running(), fixture.running(router):
        fixture.view.add(server.address)
        yield fixture, server, router


def confirm(fixture, key="k"):
    return support.head(fixture.clock, "confirm", key)


@pytest.mark.parametrize("faults", [["answer-lost"], ["lost", "answer-lost"]])
async def test_lost_claim_proposal_is_retried_and_request_runs_once(faults):
    async with site(support.respond(b"booked")) as (fixture, server, router):
        fixture.groups.faults[claim_records.ClaimRequest] = faults
        result = await support.send_request(router, confirm(fixture))
        await fixture.groups.apply_late()
        assert (result.body, len(server.calls)) == (b"booked", 1)
        again = await support.send_request(router, confirm(fixture))
        assert (again.body, len(server.calls)) == (b"booked", 1)


async def test_abandoned_claim_never_runs_and_does_not_block_resends():
    async with site(support.respond(b"booked")) as (fixture, server, router):
        fixture.groups.faults[claim_records.ClaimRequest] = ["lost"] * 1000
        with pytest.raises(messages.HomeUnreachableError) as caught:
            await support.send_request(router, confirm(fixture))
        await fixture.groups.apply_late()
        assert not server.calls
        fixture.groups.faults.clear()
        await trio.sleep(caught.value.retry_after_s)
        result = await support.send_request(router, confirm(fixture))
        assert (result.body, len(server.calls)) == (b"booked", 1)


async def test_lost_settle_proposal_is_retried_in_the_background():
    async with site(support.respond(b"booked")) as (fixture, server, router):
        fixture.groups.faults[claim_records.SettleRequest] = ["lost"] * 3
        result = await support.send_request(router, confirm(fixture))
        assert result.body == b"booked"
        with trio.fail_after(30):
            while True:
                try:
                    again = await support.send_request(router, confirm(fixture))
                    break
                except errors.InProgressError:
                    await trio.sleep(0.1)
        assert (again.body, len(server.calls)) == (b"booked", 1)


async def test_request_is_answered_if_its_home_group_fails_before_settle():
    async with site(support.respond(b"booked", wait_s=0.2)) as (
        fixture,
        server,
        router,
    ):
        results = []

        async def send():
            results.append(await support.send_request(router, confirm(fixture)))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(send)
            await support.wait_until(lambda: len(server.calls) == 1)
            fixture.groups.unavailable.update(fixture.machines)
        assert results[0].body == b"booked"
        with pytest.raises(messages.HomeUnreachableError):
            await support.send_request(router, confirm(fixture))
        fixture.groups.unavailable.clear()
        await trio.sleep(1.0)
        again = await support.send_request(router, confirm(fixture))
        assert (again.body, len(server.calls)) == (b"booked", 1)


async def test_claim_of_a_failed_vm_becomes_unknown_and_is_not_run_again():
    async with site(support.respond()) as (fixture, server, router):
        now = fixture.clock.wall()
        head = confirm(fixture)
        classified = classify.classify(head, fixture.current.get())
        request = classified.with_body(b"{}")
        abandoned_claim = claim_records.ClaimRequest(
            request.claim_key, request.digest, "att-dead", "vm9",
            now, now, now + 0.3, now + 99,
        )  # fmt: skip
        for group in fixture.machines:
            await fixture.groups.propose(group, abandoned_claim, 0.0)
        with pytest.raises(errors.InProgressError):
            await support.send_request(router, confirm(fixture))
        await trio.sleep(0.4)
        with pytest.raises(errors.OutcomeUnknownError):
            await support.send_request(router, confirm(fixture))
        assert not server.calls


async def test_rejection_under_overload_fences_off_the_key():
    slow = support.respond(b"booked", wait_s=0.6)
    async with site(slow) as (fixture, server, router):
        fixture.view.all = ()
        fixture.view.add(server.address, slots=1)
        configured = fixture.current.get()
        short_wait = configured.classes["confirm"].model_copy(
            update={"max_wait_ms": 100}
        )
        fixture.put(
            configured.model_copy(
                update={
                    "classes": {**configured.classes, "confirm": short_wait}
                }
            )
        )
        async with trio.open_nursery() as nursery:
            nursery.start_soon(
                support.send_request, router, confirm(fixture, "k1")
            )
            await support.wait_until(lambda: len(server.calls) == 1)
            earlier_send = confirm(fixture, "k2")
            with pytest.raises(errors.OverloadedError) as caught:
                await support.send_request(router, confirm(fixture, "k2"))
            with pytest.raises(errors.InProgressError):
                await support.send_request(router, confirm(fixture, "k1"))
        # A send that arrived before the rejection is fenced off.
        other_router = fixture.router("vm1")
        async with fixture.running(other_router):
            with pytest.raises(errors.UnavailableError):
                await support.send_request(other_router, earlier_send)
        await trio.sleep(caught.value.retry_after_s)
        result = await support.send_request(router, confirm(fixture, "k2"))
        assert (result.body, len(server.calls)) == (b"booked", 2)


async def test_draining_vm_returns_stored_answers_and_rejects_new_keys():
    async with site(support.respond(b"booked")) as (fixture, server, router):
        await support.send_request(router, confirm(fixture, "k1"))
        await router.drain(fixture.clock.monotonic())
        again = await support.send_request(router, confirm(fixture, "k1"))
        assert again.body == b"booked"
        with pytest.raises(messages.DrainingError):
            await support.send_request(router, confirm(fixture, "k2"))
        assert len(server.calls) == 1


async def test_unexpected_error_fails_one_request_and_not_the_router():
    async with site(support.respond(b"booked")) as (fixture, server, router):
        propose = fixture.groups.propose

        async def broken(group, command, deadline):
            raise RuntimeError("a bug")

        fixture.groups.propose = broken
        with pytest.raises(errors.LaburnumsillError) as caught:
            await support.send_request(router, confirm(fixture))
        assert answer.outcome_of(caught.value) == "unknown"
        fixture.groups.propose = propose
        result = await support.send_request(router, confirm(fixture))
        assert (result.body, len(server.calls)) == (b"booked", 1)


async def test_key_has_unknown_outcome_without_a_configuration():
    async with site(support.respond()) as (fixture, _, _):
        fixture.current = current_module.Current()
        router = fixture.router("vm1")
        with pytest.raises(messages.HomeUnreachableError):
            await support.send_request(router, confirm(fixture))
        with pytest.raises(errors.UnavailableError):
            await support.send_request(router, support.head(fixture.clock))


async def test_buffered_bodies_are_limited_per_account():
    async with site(support.respond(b"x", wait_s=0.5)) as (
        fixture,
        server,
        router,
    ):
        reader = read_body.BodyReader(fixture.clock, 1_000)
        router._body_reader = reader
        async with trio.open_nursery() as nursery:
            check = support.head(fixture.clock, "check", account="flood")
            nursery.start_soon(support.send_request, router, check, b"x" * 400)
            await support.wait_until(lambda: len(server.calls) == 1)
            with pytest.raises(errors.OverloadedError):
                await support.send_request(router, check, b"x" * 200)
            booking = support.head(fixture.clock, "confirm", "k", "flood")
            with pytest.raises(read_body.UnreadError):
                await support.send_request(router, booking, b"x" * 200)
            await support.send_request(
                router, support.head(fixture.clock), b"x" * 200
            )
        assert reader.buffered_bytes == 0


printable = st.text(max_size=300).map(lambda text: text.encode())


@hypothesis.given(
    name=st.one_of(st.sampled_from([b"check", b"confirm"]), printable),
    account=st.one_of(st.just(b"lakes"), printable),
    key=st.one_of(st.just(b"k"), printable),
    timeout=st.one_of(st.integers().map(lambda n: str(n).encode()), printable),
    service=st.one_of(st.just("huts"), st.text(max_size=100)),
)
def test_any_head_is_classified_or_rejected_as_invalid_input(
    name, account, key, timeout, service
):
    head = messages.RequestHead(
        "req",
        service,
        "POST",
        b"/",
        (
            (b"laburnumsill-class", name),
            (b"laburnumsill-account", account),
            (b"idempotency-key", key),
            (b"laburnumsill-timeout-ms", timeout),
        ),
        5.0,
    )
    try:
        request = classify.classify(head, support.configuration())
    except errors.InvalidInputError as error:
        assert error.status in (400, 404)
    else:
        assert request.deadline > 5.0
        assert 1 <= len(request.key) <= classify.MAX_KEY_LENGTH
