"""Answers of served calls where the budget of bytes is full."""

from laburnumsill.daemon.tests import test_light_server as light


async def test_a_call_that_was_served_is_answered_where_it_fills_the_budget():
    """The call was carried out; its answer of some bytes finds no room.

    The connection that holds most is not given up for it either.
    """
    async with light.served(max_bytes=80_000) as site:
        head = len(light.PUT.format("/held", 79_900))
        whole = await site.hold_call(79_990 - head)
        assert site.budget.held_bytes == 79_990
        site.resume.set()
        await whole.until("answer")
        await whole.send(light.GET.format("/"))
        await whole.until("answer")


async def test_served_calls_are_answered_where_they_fill_the_budget():
    """As above, of several calls the first to be answered is cut."""
    async with light.served(max_bytes=80_000) as site:
        head = len(light.PUT.format("/held", 9_900))
        callers = [await site.hold_call(9_998 - head + 1) for _ in range(8)]
        assert site.budget.held_bytes == 8 * 9_999
        site.resume.set()
        for caller in callers:
            await caller.until("answer")
