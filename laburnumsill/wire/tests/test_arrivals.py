"""Bounds on the arrival of data, also in a process that stood still.

A loop that is blocked for a while reads what arrived meanwhile as a process
does that was stopped and continued.
"""

import contextlib
import itertools
import socket
import threading
import time

import pytest
import trio

from laburnumsill.core import clock as clocks
from laburnumsill.wire import arrivals

TICK_S = 0.05
BLOCKED_S = 0.6
CONNECTIONS = 8


def now():
    return clocks.SystemClock().monotonic()


class Ticks:
    """Turns the loop, as the network of a daemon does.

    Attributes:
        longest_s: The longest time between two turns, in seconds, which is
            that of the ticks unless the machine is busy.
    """

    def __init__(self):
        self.longest_s = 0.0

    async def run(self):
        before = now()
        for _ in itertools.count():
            await trio.sleep(TICK_S)
            after = now()
            self.longest_s = max(self.longest_s, after - before)
            before = after

    @property
    def oldest_s(self):
        """Greatest age of a bound on what has just arrived, in seconds."""
        return 2 * max(self.longest_s, TICK_S)


@contextlib.asynccontextmanager
async def listening():
    """Yields a listener, its address and the ticks of the loop."""
    sock = socket.create_server(("127.0.0.1", 0), backlog=CONNECTIONS)
    sock.setblocking(False)
    listener = arrivals.Listener(sock)
    async with trio.open_nursery() as nursery:
        ticks = Ticks()
        nursery.start_soon(ticks.run)
        yield listener, sock.getsockname(), ticks
        nursery.cancel_scope.cancel()
    await listener.aclose()


def block_while(action):
    """Blocks the loop while `action` runs in a thread; returns the begin."""
    began = now()
    thread = threading.Thread(target=action)
    thread.start()
    time.sleep(BLOCKED_S)
    thread.join()
    return began


async def test_connections_that_waited_are_older_than_the_pause():
    """Guards against a bound that only the first connection keeps."""
    opened = []

    def connect():
        for _ in range(CONNECTIONS):
            caller = socket.create_connection(address)
            caller.sendall(b"order")
            opened.append(caller)

    async with listening() as (listener, address, _):
        accepted = []
        async with trio.open_nursery() as nursery:

            async def accept():
                while len(accepted) < CONNECTIONS:
                    accepted.append(await listener.accept())

            nursery.start_soon(accept)
            await trio.sleep(4 * TICK_S)
            began = block_while(connect)
        for stream in accepted:
            assert await stream.receive_some() == b"order"
            assert stream.empty_at <= began
            await stream.aclose()
    for caller in opened:
        caller.close()


@pytest.mark.parametrize("waits", [True, False])
async def test_data_that_waited_on_an_open_connection_is_older(waits):
    """Guards against a bound that only new connections have.

    Args:
        waits: Whether a task waited for the data when the pause began.
    """
    async with listening() as (listener, address, _):
        with socket.create_connection(address) as caller:
            stream = await listener.accept()
            caller.sendall(b"first")
            assert await stream.receive_some() == b"first"
            received = []

            async def receive():
                received.append(await stream.receive_some())

            async with trio.open_nursery() as nursery:
                if waits:
                    nursery.start_soon(receive)
                    await trio.sleep(4 * TICK_S)
                began = block_while(lambda: caller.sendall(b"second"))
                if not waits:
                    await trio.sleep(4 * TICK_S)
                    nursery.start_soon(receive)
            assert received == [b"second"]
            assert stream.empty_at <= began


async def test_data_that_has_just_arrived_is_not_older_than_some_turns():
    """Guards against refusals of requests after a connection was idle."""
    async with listening() as (listener, address, ticks):
        with socket.create_connection(address) as caller:
            stream = await listener.accept()
            for idle_s in (0.0, 0.5):
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(stream.receive_some)
                    await trio.sleep(idle_s)
                    sent_at = now()
                    caller.sendall(b"order")
                await trio.sleep(2 * TICK_S)  # the next tick counts this turn
                assert sent_at - ticks.oldest_s <= stream.empty_at <= now()


async def test_a_loop_that_is_late_shortens_what_is_left_by_as_much():
    """Guards against a fresh bound while a loaded loop reads late."""
    async with listening() as (listener, address, ticks):
        with socket.create_connection(address) as caller:
            stream = await listener.accept()
            async with trio.open_nursery() as nursery:
                nursery.start_soon(stream.receive_some)
                await trio.sleep(4 * TICK_S)
                await trio.lowlevel.checkpoint()  # the tick counted this turn
                oldest_s = ticks.oldest_s
                began = block_while(lambda: caller.sendall(b"order"))
            assert began - oldest_s <= stream.empty_at <= began


async def test_the_end_of_a_connection_is_received():
    async with listening() as (listener, address, _):
        with socket.create_connection(address):
            stream = await listener.accept()
        assert await stream.receive_some() == b""
        await stream.aclose()
