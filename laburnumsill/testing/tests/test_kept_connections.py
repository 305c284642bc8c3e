"""What callers that keep their connections say of a lost call."""

import socket

import pytest
import trio

from laburnumsill.testing import kept_connections


@pytest.mark.parametrize("is_read", [True, False])
async def test_a_call_that_was_read_is_told_from_one_that_was_not(
    nursery, is_read
):
    """The process closes its side before or after it has read the call."""
    with socket.create_server(("127.0.0.1", 0)) as listening:
        host, port = listening.getsockname()
        crowd = kept_connections.Crowd(
            f"{host}:{port}",
            lambda _: kept_connections.Call("GET", "/"),
            {"host": "vm"},
        )
        nursery.start_soon(crowd.run, 1)
        accepted, _ = await trio.to_thread.run_sync(listening.accept)
        crowd.connects = False
        if is_read:
            await trio.to_thread.run_sync(accepted.recv, 65_536)
        accepted.close()
        with trio.fail_after(5):
            while not crowd.lost:  # noqa: ASYNC110
                await trio.sleep(0.01)
        assert crowd.lost[0].may_have_been_read == is_read
