"""Durable requests: dispatched until a success is recorded."""

import trio

from laburnumsill.requests import durable as dispatchers
from laburnumsill.requests.tests import support


async def test_dispatched_until_it_succeeds():
    bench = support.Bench()
    server = support.FakeServer(support.raw(b""))
    router = bench.router()
    dispatcher = dispatchers.DurableDispatcher(
        router, bench.groups, bench.current, bench.clock, bench.metrics
    )
    async with (
        server.running(),
        bench.running(router),
        trio.open_nursery() as nursery,
    ):
        bench.view.add(server.address)
        await nursery.start(dispatcher.run)
        head = support.head(bench.clock, "tag", "k1")
        result = await support.ask(router, head)
        assert (result.outcome, result.status) == ("accepted", 202)
        await support.until(lambda: len(server.calls) >= 2)
        server.reply = support.respond()
        components = [m.component("durable") for m in bench.machines.values()]
        await support.until(lambda: not any(p.pending for p in components))
        head = support.head(bench.clock, "tag", "k1")
        again = await support.ask(router, head)
        assert (again.outcome, again.status) == ("answered", 200)
        nursery.cancel_scope.cancel()
    assert {call.headers["idempotency-key"] for call in server.calls} == {"k1"}
