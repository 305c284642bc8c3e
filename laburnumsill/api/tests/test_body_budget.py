"""Tests of the limit of what bodies may hold."""

import pytest
import trio
import trio.testing

from laburnumsill.api import body_budget
from laburnumsill.core import errors


class Caller:
    """A caller whose body is sent piece by piece."""

    def __init__(self, budget: body_budget.BodyBudget) -> None:
        self._budget = budget
        self._pieces, self._received = trio.open_memory_channel(100)
        self.answered = trio.Event()
        self.messages = []
        self.body = b""
        self.error = None

    async def send(self, piece: bytes, more: bool = True) -> None:
        message = {"type": "http.request", "body": piece, "more_body": more}
        await self._pieces.send(message)
        await trio.testing.wait_all_tasks_blocked()

    async def run(self) -> None:
        scope = {"type": "http", "headers": [(b"content-length", b"9")]}
        await self._budget.serve(
            self._answer, scope, self._received.receive, self._send
        )

    async def _send(self, message) -> None:
        self.messages.append(message)

    async def _answer(self, scope, receive, send) -> None:
        more = True
        try:
            while more:
                message = await receive()
                self.body += message["body"]
                more = message["more_body"]
            await self.answered.wait()
        except errors.OverloadedError as error:
            self.error = error
        await send({"type": "http.response.start"})


async def test_the_body_that_has_been_arriving_for_longest_is_given_up(
    nursery, autojump_clock
):
    budget = body_budget.BodyBudget(max_held_bytes=10)
    whole, idle, old, new = (Caller(budget) for _ in range(4))
    for caller in (whole, idle, old, new):
        nursery.start_soon(caller.run)
        await trio.testing.wait_all_tasks_blocked()
    await whole.send(b"1234", more=False)
    await old.send(b"5678")
    await new.send(b"90", more=True)
    assert budget.held_bytes == 10
    await new.send(b"a", more=False)
    assert budget.held_bytes == 7
    assert isinstance(old.error, errors.OverloadedError)
    assert (whole.error, idle.error, new.error) == (None, None, None)
    for caller in (whole, new):
        caller.answered.set()
    await trio.testing.wait_all_tasks_blocked()
    assert budget.held_bytes == 0
    assert (whole.body, new.body) == (b"1234", b"90a")
    nursery.cancel_scope.cancel()


async def test_whole_bodies_leave_the_refusal_to_the_newcomer(
    nursery, autojump_clock
):
    budget = body_budget.BodyBudget(max_held_bytes=10)
    whole, new = Caller(budget), Caller(budget)
    for caller in (whole, new):
        nursery.start_soon(caller.run)
    await whole.send(b"123456789", more=False)
    await new.send(b"01")
    assert budget.held_bytes == 9
    assert isinstance(new.error, errors.OverloadedError)
    assert whole.error is None
    nursery.cancel_scope.cancel()


async def test_the_rest_of_a_body_is_read_before_the_answer(
    nursery, autojump_clock
):
    budget = body_budget.BodyBudget(max_held_bytes=1)
    caller = Caller(budget)
    nursery.start_soon(caller.run)
    await caller.send(b"12")
    assert (caller.messages, budget.held_bytes) == ([], 0)
    await caller.send(b"3", more=False)
    assert caller.messages == [{"type": "http.response.start"}]


@pytest.mark.parametrize("size", [1, body_budget.MAX_DISCARDED_BYTES])
async def test_an_answer_does_not_wait_long_for_a_body(
    nursery, autojump_clock, size
):
    budget = body_budget.BodyBudget(max_held_bytes=1)
    caller = Caller(budget)
    nursery.start_soon(caller.run)
    await caller.send(b"12")
    await caller.send(b"x" * size)
    await trio.sleep(body_budget.DISCARD_TIMEOUT_S)
    await trio.testing.wait_all_tasks_blocked()
    assert caller.messages == [{"type": "http.response.start"}]
