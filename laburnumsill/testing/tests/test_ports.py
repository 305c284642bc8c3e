"""Two test runs side by side never get the same port."""

import socket
import subprocess
import sys

import pytest
import trio

from laburnumsill.testing import ports

ELSEWHERE = """
from laburnumsill.testing import ports
print(*ports.PortReservations({first}, {last}).take({count}))
"""


@pytest.fixture
def few() -> tuple[int, int]:
    """A range of ports so small that two runs meet in it."""
    first = ports.free_ports(1)[0]
    return first, first + 40


def taken_elsewhere(first: int, last: int, count: int) -> set[int]:
    """Returns what another process is given from a range."""
    code = ELSEWHERE.format(first=first, last=last, count=count)
    found = subprocess.run(
        [sys.executable, "-c", code],
        capture_output=True,
        text=True,
        check=True,
        timeout=30,
    )
    return set(map(int, found.stdout.split()))


def test_another_process_is_not_given_what_is_kept(few):
    mine = ports.PortReservations(*few)
    kept = set(mine.take(20))
    assert len(kept) == 20
    assert not kept & taken_elsewhere(*few, 8)
    mine.release()


async def test_what_a_port_is_for_may_listen_again_and_again(few):
    mine = ports.PortReservations(*few)
    port = mine.take(1)[0]
    for _ in range(2):
        listeners = await trio.open_tcp_listeners(port, host=ports.HOST)
        for listener in listeners:
            await listener.aclose()
        # Between two lives of a VM the port is still nobody else's.
        with socket.socket() as other, pytest.raises(OSError):
            other.bind((ports.HOST, port))
    mine.release()


def test_released_ports_are_free(few):
    mine = ports.PortReservations(*few)
    port = mine.take(1)[0]
    mine.release()
    with socket.socket() as other:
        other.bind((ports.HOST, port))


def test_the_oldest_are_given_back_when_there_are_many(monkeypatch, few):
    monkeypatch.setattr(ports, "MOST_KEPT", 2)
    mine = ports.PortReservations(*few)
    oldest = mine.take(3)[0]
    with socket.socket() as other:
        other.bind((ports.HOST, oldest))
    mine.release()
