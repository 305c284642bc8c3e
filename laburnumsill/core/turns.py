"""Order of timers and received data in the event loop."""

import trio


async def run_readers() -> None:
    """Lets all tasks read what their sockets hold now.

    A timer and data that arrived before it expired may wake their tasks in the
    same turn of the loop, in any order. A task that judges how long others
    have been silent calls this first.
    """
    await trio.lowlevel.checkpoint()  # the next turn polls the sockets
    await trio.lowlevel.checkpoint()  # their readers ran in that turn
