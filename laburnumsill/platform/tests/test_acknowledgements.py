"""Tests that a worker's ends are acknowledged to no other incarnation of it."""

import contextlib
import json

import trio

from laburnumsill.batch import model
from laburnumsill.batch import worker_client
from laburnumsill.core import trio_clock
from laburnumsill.platform import workers

JOB = "5c0e7a21d94b36f8"


class Executor:
    """An executor that can restart under its id, at the same address.

    Attributes:
        born: Start time of the current incarnation, ms since 1970.
        cursors: The cursors that each incarnation received.
        closes: Whether each connection is closed after one answer.
        answer_s: Time that an answer takes, in seconds.
    """

    def __init__(self):
        self.address = ""
        self.born = 1_000
        self.cursors = {1_000: []}
        self.closes = False
        self.answer_s = 0.0
        self._scopes = []

    async def run(self, *, task_status=trio.TASK_STATUS_IGNORED):
        async with trio.open_nursery() as nursery:
            listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
            port = listeners[0].socket.getsockname()[1]
            self.address = f"127.0.0.1:{port}"
            nursery.start_soon(trio.serve_listeners, self._serve, listeners)
            task_status.started()

    def restart(self):
        """Ends the incarnation with its connections; another one starts."""
        for scope in self._scopes:
            scope.cancel()
        self.born += 1_000
        self.cursors[self.born] = []

    async def _serve(self, stream):
        scope = trio.CancelScope()
        self._scopes.append(scope)
        async with stream:
            with scope, contextlib.suppress(trio.BrokenResourceError):
                while raw := await _whole_request(stream):
                    answer = self._answer(raw)
                    await trio.sleep(self.answer_s)
                    await stream.send_all(answer)
                    if self.closes:
                        return

    def _answer(self, raw):
        body = json.loads(raw.partition(b"\r\n\r\n")[2])
        self.cursors[self.born].append(body["ack_cursor"])
        content = json.dumps(
            {
                "clock_ms": 5,
                "born": self.born,
                "running": [],
                "ended": [[1, f"{JOB}.0.0.0", 1, "done", ""]],
            }
        ).encode()
        head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(content)}\r\n\r\n"
        return head.encode() + content


async def _whole_request(stream):
    raw = b""
    while not raw.endswith(b"}"):
        chunk = await stream.receive_some()
        if not chunk:
            return b""
        raw += chunk
    return raw


def incarnation(executor):
    return model.Worker(
        f"i-7@{executor.born}",
        "pool",
        executor.address,
        "d",
        model.Resources(1, 1, 1),
        name="i-7",
    )


async def ask(client, worker, last_end):
    order = worker_client.ReportOrder(None, 1, last_end, 0)
    return await client.report(worker, order, trio.current_time() + 1.0)


@contextlib.asynccontextmanager
async def started():
    async with trio.open_nursery() as nursery:
        executor = Executor()
        await nursery.start(executor.run)
        client = workers.PlatformWorkerClient(trio_clock.TrioClock())
        yield executor, client
        await client.close()
        nursery.cancel_scope.cancel()


async def test_a_successor_gets_no_acknowledgement_of_its_predecessor():
    """The successor forgot its first ends, which nobody had recorded.

    It had started runs that were ordered from its predecessor. The leader
    still queried the predecessor and acknowledged that one's ends; the runs
    were then taken for never begun, and their done tasks started again.
    """
    async with started() as (executor, client):
        before = incarnation(executor)
        for _ in range(2):
            await ask(client, before, 2)
        executor.restart()
        for _ in range(3):
            with contextlib.suppress(
                worker_client.NoAnswerError, worker_client.IncarnationGoneError
            ):
                await ask(client, before, 2)
        after = incarnation(executor)
        with contextlib.suppress(worker_client.NoAnswerError):
            await ask(client, after, 0)
        assert executor.cursors[1_000] == [0, 2]
        assert len(executor.cursors[2_000]) >= 2
        assert set(executor.cursors[2_000]) == {0}


async def test_ends_are_acknowledged_once_the_incarnation_has_answered():
    async with started() as (executor, client):
        worker = incarnation(executor)
        reports = [await ask(client, worker, 1) for _ in range(3)]
        assert [one.acknowledged for one in reports] == [False, True, True]
        assert executor.cursors[1_000] == [0, 1, 1]


async def test_no_end_is_acknowledged_over_connections_that_serve_one_call():
    async with started() as (executor, client):
        executor.closes = True
        worker = incarnation(executor)
        for _ in range(3):
            with contextlib.suppress(worker_client.NoAnswerError):
                await ask(client, worker, 1)
        assert set(executor.cursors[1_000]) == {0}


async def test_queries_beside_one_in_flight_acknowledge_nothing():
    """They go over connections of the pool, which may be new ones."""
    async with started() as (executor, client):
        worker = incarnation(executor)
        await ask(client, worker, 1)
        executor.answer_s = 0.1
        async with trio.open_nursery() as nursery:
            for _ in range(4):
                nursery.start_soon(ask, client, worker, 1)
        assert sorted(executor.cursors[1_000]) == [0, 0, 0, 0, 1]


async def test_an_id_of_one_incarnation_is_acknowledged_at_once():
    """Such workers reject calls to other incarnations by the id."""
    async with started() as (executor, client):
        worker = model.Worker(
            "i-7", "pool", executor.address, "d", model.Resources(1, 1, 1)
        )
        with contextlib.suppress(worker_client.IncarnationGoneError):
            await ask(client, worker, 3)
        assert executor.cursors[1_000] == [3]
