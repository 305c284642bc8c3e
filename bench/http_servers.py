"""Compares the HTTP servers by the processor time of a small request.

    python -m bench.http_servers

One client in the same process sends requests of ten bytes, each on a
connection of its own, and then all on one. The client's part is the same for
both servers.
"""

import time
import typing

import trio

from laburnumsill.daemon import light_server
from laburnumsill.daemon import server
from laburnumsill.platform import http
from laburnumsill.testing import ports

REQUESTS = 1_000
WITHIN_S = 20.0
REQUEST = (
    b"PUT /x HTTP/1.1\r\nhost: a\r\ncontent-length: 10\r\n"
    b"x-a: b\r\nx-b: c\r\n\r\n0123456789"
)
ANSWER = b"the whole answer"


async def application(
    scope: http.Scope, receive: http.Receive, send: http.Send
) -> None:
    """Answers each request."""
    await http.read_body(receive)
    await http.send_answer(send, http.Answer(200, ANSWER))


async def exchange(stream: trio.SocketStream) -> None:
    """Sends one request and reads the answer."""
    await stream.send_all(REQUEST)
    got = b""
    while not got.endswith(ANSWER):
        got += await stream.receive_some()


async def measure(address: str, on_one: bool) -> float:
    """Returns microseconds of a core for a request."""
    host, _, port = address.rpartition(":")
    began = time.process_time()
    stream = await trio.open_tcp_stream(host, int(port))
    for _ in range(REQUESTS):
        await exchange(stream)
        if not on_one:
            await stream.aclose()
            stream = await trio.open_tcp_stream(host, int(port))
    await stream.aclose()
    return 1e6 * (time.process_time() - began) / REQUESTS


async def play(name: str, serve: typing.Any, served: typing.Any) -> None:
    """Measures one server."""
    stop = trio.Event()
    address = f"127.0.0.1:{ports.free_ports(1)[0]}"
    async with trio.open_nursery() as nursery:
        await nursery.start(serve, served, address, stop.wait, 0.1)
        for on_one in (False, True):
            took = "not ended"
            with trio.move_on_after(WITHIN_S):
                took = f"{await measure(address, on_one):.0f}"
            print(f"server={name} one_connection={on_one} us={took}")
        stop.set()


async def main() -> None:
    """Prints the table."""
    await play("light", light_server.serve, application)
    await play("hypercorn", server.serve, application)


if __name__ == "__main__":
    trio.run(main)
