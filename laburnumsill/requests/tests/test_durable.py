"""Tests of durable requests, from acceptance to their recorded ends."""

import contextlib

import pytest
import trio

from laburnumsill.requests import accept
from laburnumsill.requests import durable_dispatch
from laburnumsill.requests.tests import support
from laburnumsill.testing import local_groups


class LeaderGroups(local_groups.LocalGroups):
    """The groups of one VM, with shared state machines.

    Attributes:
        leading: Whether this VM leads all groups.
    """

    def __init__(self, machines, leading):
        super().__init__(machines)
        self.leading = leading

    def leads(self, group):
        return self.leading


@contextlib.asynccontextmanager
async def site(reply, vms=1, **requests):
    """Runs routers and durable dispatchers on `vms` VMs; the first VM leads.

    Yields the fixture, the backend server, the routers and each VM's groups.
    """
    fixture = support.RouterFixture(**requests)
    server = support.FakeServer(reply)
    groups = [LeaderGroups(fixture.machines, n == 0) for n in range(vms)]
    routers = [fixture.router(f"vm{n}", groups[n]) for n in range(vms)]
    async with (
        server.running(),
        fixture.running(*routers),
        trio.open_nursery() as nursery,
    ):
        fixture.view.add(server.address)
        for router, vm_groups in zip(routers, groups, strict=True):
            dispatcher = durable_dispatch.DurableDispatcher(
                router,
                vm_groups,
                fixture.current,
                fixture.clock,
                fixture.metrics,
            )
            await nursery.start(dispatcher.run)
        yield fixture, server, routers, groups
        nursery.cancel_scope.cancel()


def pending(fixture):
    components = [m.component("durable") for m in fixture.machines.values()]
    return sum(len(part.pending) for part in components)


async def send(fixture, router, key="k1"):
    return await support.send_request(
        router, support.head(fixture.clock, "tag", key)
    )


async def test_request_is_dispatched_until_it_succeeds():
    async with site(support.raw(b"")) as (fixture, server, routers, _):
        result = await send(fixture, routers[0])
        assert (result.outcome, result.status) == ("accepted", 202)
        await support.wait_until(lambda: len(server.calls) >= 2)
        server.reply = support.respond(status=503)
        await support.wait_until(lambda: len(server.calls) >= 3)
        server.reply = support.respond()
        await support.wait_until(lambda: not pending(fixture))
        again = await send(fixture, routers[0])
        assert (again.outcome, again.status) == ("answered", 200)
    keys = {call.headers["idempotency-key"] for call in server.calls}
    assert keys == {"k1"}


async def test_new_leader_dispatches_pending_requests():
    async with site(support.raw(b""), vms=2) as (
        fixture,
        server,
        routers,
        groups,
    ):
        for number in range(20):
            await send(fixture, routers[number % 2], f"k{number}")
        groups[0].leading = False
        server.reply = support.respond()
        await trio.sleep(0.5)
        assert pending(fixture)
        groups[1].leading = True
        await support.wait_until(lambda: not pending(fixture))


async def test_request_that_is_not_repeatable_runs_once_and_ends_unknown():
    async with site(support.raw(b"")) as (fixture, server, routers, _):
        configured = fixture.current.get()
        at_most_once = configured.classes["tag"].model_copy(
            update={"repeatable": False}
        )
        classes = {**configured.classes, "tag": at_most_once}
        fixture.put(configured.model_copy(update={"classes": classes}))
        await send(fixture, routers[0])
        await support.wait_until(lambda: not pending(fixture))
        with pytest.raises(accept.DurableExpiredError) as caught:
            await send(fixture, routers[0])
        assert caught.value.context["state"] == "unknown"
        assert len(server.calls) == 1


async def test_request_expires_at_its_deadline():
    async with site(support.raw(b""), durable_timeout_s=0.5) as (
        fixture,
        server,
        routers,
        _,
    ):
        await send(fixture, routers[0])
        await support.wait_until(lambda: not pending(fixture))
        with pytest.raises(accept.DurableExpiredError):
            await send(fixture, routers[0])
