"""Runs at most once, and truthful endings, when the groups fail."""

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
from laburnumsill.requests import read
from laburnumsill.requests.tests import support
from laburnumsill.state import claim_records
from laburnumsill.testing import local_groups


class FaultyGroups(local_groups.LocalGroups):
    """Loses answers to proposals, before or after they are applied.

    Attributes:
        faults: Per command type, what becomes of the next proposals:
            ``answer-lost`` applies it, ``lost`` keeps it for `apply_late`.
        kept: Commands that were lost.
    """

    def __init__(self, machines):
        super().__init__(machines)
        self.faults = {}
        self.kept = []

    async def propose(self, group, command, deadline):
        faults = self.faults.get(type(command))
        fault = faults.pop(0) if faults else None
        if fault == "lost":
            self.kept.append((group, command))
            raise errors.ProposalLostError("lost")
        result = await super().propose(group, command, deadline)
        if fault == "answer-lost":
            raise errors.ProposalLostError("answer lost")
        return result

    async def apply_late(self):
        for group, command in self.kept:
            with contextlib.suppress(errors.LaburnumsillError):
                await super().propose(group, command, 0.0)
        self.kept.clear()


@contextlib.asynccontextmanager
async def site(reply, **requests):
    bench = support.Bench(**requests)
    bench.groups = FaultyGroups(bench.machines)
    server = support.FakeServer(reply)
    router = bench.router()
    async with server.running(), bench.running(router):
        bench.view.add(server.address)
        yield bench, server, router


def confirm(bench, key="k"):
    return support.head(bench.clock, "confirm", key)


@pytest.mark.parametrize("faults", [["answer-lost"], ["lost", "answer-lost"]])
async def test_lost_claim_is_proposed_again_and_runs_once(faults):
    async with site(support.respond(b"booked")) as (bench, server, router):
        bench.groups.faults[claim_records.ClaimRequest] = faults
        result = await support.ask(router, confirm(bench))
        await bench.groups.apply_late()
        assert (result.body, len(server.calls)) == (b"booked", 1)
        again = await support.ask(router, confirm(bench))
        assert (again.body, len(server.calls)) == (b"booked", 1)


async def test_claim_given_up_never_runs_and_holds_up_no_resend():
    async with site(support.respond(b"booked")) as (bench, server, router):
        bench.groups.faults[claim_records.ClaimRequest] = ["lost"] * 1000
        with pytest.raises(messages.HomeUnreachableError) as caught:
            await support.ask(router, confirm(bench))
        await bench.groups.apply_late()
        assert not server.calls
        bench.groups.faults.clear()
        await trio.sleep(caught.value.retry_after_s)
        result = await support.ask(router, confirm(bench))
        assert (result.body, len(server.calls)) == (b"booked", 1)


async def test_lost_settle_is_recorded_in_the_background():
    async with site(support.respond(b"booked")) as (bench, server, router):
        bench.groups.faults[claim_records.SettleRequest] = ["lost"] * 3
        result = await support.ask(router, confirm(bench))
        assert result.body == b"booked"
        with trio.fail_after(30):
            while True:
                try:
                    again = await support.ask(router, confirm(bench))
                    break
                except errors.InProgressError:
                    await trio.sleep(0.1)
        assert (again.body, len(server.calls)) == (b"booked", 1)


async def test_home_lost_between_claim_and_settle_still_answers():
    async with site(support.respond(b"booked", wait_s=0.2)) as (
        bench,
        server,
        router,
    ):
        ends = []

        async def send():
            ends.append(await support.ask(router, confirm(bench)))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(send)
            await support.until(lambda: len(server.calls) == 1)
            bench.groups.unavailable.update(bench.machines)
        assert ends[0].body == b"booked"
        with pytest.raises(messages.HomeUnreachableError):
            await support.ask(router, confirm(bench))
        bench.groups.unavailable.clear()
        await trio.sleep(1.0)
        again = await support.ask(router, confirm(bench))
        assert (again.body, len(server.calls)) == (b"booked", 1)


async def test_vm_that_died_after_its_claim_leaves_unknown_not_a_rerun():
    async with site(support.respond()) as (bench, server, router):
        now = bench.clock.wall()
        head = confirm(bench)
        classified = classify.classify(head, bench.current.get())
        request = classified.with_body(b"{}")
        dead = claim_records.ClaimRequest(
            request.claim_key, request.digest, "att-dead", "vm9",
            now, now, now + 0.3, now + 99,
        )  # fmt: skip
        for group in bench.machines:
            await bench.groups.propose(group, dead, 0.0)
        with pytest.raises(errors.InProgressError):
            await support.ask(router, confirm(bench))
        await trio.sleep(0.4)
        with pytest.raises(errors.OutcomeUnknownError):
            await support.ask(router, confirm(bench))
        assert not server.calls


async def test_refused_under_overload_is_truthful_about_its_key():
    slow = support.respond(b"booked", wait_s=0.6)
    async with site(slow) as (bench, server, router):
        bench.view.all = ()
        bench.view.add(server.address, slots=1)
        configured = bench.current.get()
        quick = configured.classes["confirm"].model_copy(
            update={"max_wait_ms": 100}
        )
        bench.put(
            configured.model_copy(
                update={"classes": {**configured.classes, "confirm": quick}}
            )
        )
        async with trio.open_nursery() as nursery:
            nursery.start_soon(support.ask, router, confirm(bench, "k1"))
            await support.until(lambda: len(server.calls) == 1)
            early = confirm(bench, "k2")
            with pytest.raises(errors.OverloadedError) as caught:
                await support.ask(router, confirm(bench, "k2"))
            with pytest.raises(errors.InProgressError):
                await support.ask(router, confirm(bench, "k1"))
        # What arrived before "not run" was said does not run any more.
        late = bench.router("vm1")
        async with bench.running(late):
            with pytest.raises(errors.UnavailableError):
                await support.ask(late, early)
        await trio.sleep(caught.value.retry_after_s)
        result = await support.ask(router, confirm(bench, "k2"))
        assert (result.body, len(server.calls)) == (b"booked", 2)


async def test_draining_vm_is_truthful_about_keys():
    async with site(support.respond(b"booked")) as (bench, server, router):
        await support.ask(router, confirm(bench, "k1"))
        await router.drain(bench.clock.monotonic())
        again = await support.ask(router, confirm(bench, "k1"))
        assert again.body == b"booked"
        with pytest.raises(messages.DrainingError):
            await support.ask(router, confirm(bench, "k2"))
        assert len(server.calls) == 1


async def test_unexpected_failure_ends_one_request_and_not_the_router():
    async with site(support.respond(b"booked")) as (bench, server, router):
        propose = bench.groups.propose

        async def broken(group, command, deadline):
            raise RuntimeError("a bug")

        bench.groups.propose = broken
        with pytest.raises(errors.LaburnumsillError) as caught:
            await support.ask(router, confirm(bench))
        assert answer.outcome_of(caught.value) == "unknown"
        bench.groups.propose = propose
        result = await support.ask(router, confirm(bench))
        assert (result.body, len(server.calls)) == (b"booked", 1)


async def test_without_a_configuration_a_key_is_not_called_not_run():
    async with site(support.respond()) as (bench, _, _):
        bench.current = current_module.Current()
        router = bench.router("vm1")
        with pytest.raises(messages.HomeUnreachableError):
            await support.ask(router, confirm(bench))
        with pytest.raises(errors.UnavailableError):
            await support.ask(router, support.head(bench.clock))


async def test_bodies_held_are_bounded_for_each_account():
    async with site(support.respond(b"x", wait_s=0.5)) as (
        bench,
        server,
        router,
    ):
        reader = read.BodyReader(bench.clock, 1_000)
        router._reader = reader
        async with trio.open_nursery() as nursery:
            check = support.head(bench.clock, "check", account="flood")
            nursery.start_soon(support.ask, router, check, b"x" * 400)
            await support.until(lambda: len(server.calls) == 1)
            with pytest.raises(errors.OverloadedError):
                await support.ask(router, check, b"x" * 200)
            booking = support.head(bench.clock, "confirm", "k", "flood")
            with pytest.raises(read.UnreadError):
                await support.ask(router, booking, b"x" * 200)
            await support.ask(router, support.head(bench.clock), b"x" * 200)
        assert reader.buffered_bytes == 0


printable = st.text(max_size=300).map(lambda text: text.encode())


@hypothesis.given(
    name=st.one_of(st.sampled_from([b"check", b"confirm"]), printable),
    account=st.one_of(st.just(b"lakes"), printable),
    key=st.one_of(st.just(b"k"), printable),
    timeout=st.one_of(st.integers().map(lambda n: str(n).encode()), printable),
    service=st.one_of(st.just("huts"), st.text(max_size=100)),
)
def test_any_head_is_classified_or_refused_with_a_type(
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
