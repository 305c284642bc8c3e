import socket
import time

import trio
import trio.testing

from laburnumsill.core import turns

TRIALS = 20
TIMER_S = 0.002


def _block_loop(seconds):
    time.sleep(seconds)


async def test_readers_run_before_a_timer_that_a_held_up_loop_missed():
    # In any order of the tasks, a timer must not judge silence too early.
    sending, receiving = socket.socketpair()
    with sending, trio.socket.from_stdlib_socket(receiving) as stream:
        received = []

        async def read():
            while True:
                received.append(await stream.recv(1))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(read)
            for number in range(TRIALS):
                await trio.testing.wait_all_tasks_blocked()
                with trio.move_on_after(TIMER_S):
                    sending.send(b"x")
                    _block_loop(2 * TIMER_S)
                    await trio.sleep_forever()
                await turns.run_readers()
                assert len(received) == number + 1
            nursery.cancel_scope.cancel()
