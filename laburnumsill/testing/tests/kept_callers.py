"""Callers of a daemon that keep their connections and account for each call.

A caller sends its next call a moment after the last answer, on the same
connection unless the answer says that it is the last one there.
"""

import dataclasses
import itertools
import json
from collections import abc

import h11
import trio

from laburnumsill.testing import scenario

RECEIVE_BYTES = 65_536
ANSWER_TIMEOUT_S = 10.0


@dataclasses.dataclass(frozen=True, slots=True)
class Call:
    """One call, with its body in pieces that are sent one after the other.

    Attributes:
        method: The HTTP method.
        path: The path.
        headers: Headers beside host and length.
        pieces: The body; the caller pauses before each but the first.
        pause_s: Pause between two pieces, in seconds.
    """

    method: str
    path: str
    headers: abc.Mapping[str, str] = dataclasses.field(default_factory=dict)
    pieces: tuple[bytes, ...] = ()
    pause_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class LostCall:
    """A call that was sent whole and got no whole answer.

    Attributes:
        path: What was called.
        sent_at: Time of its last byte, of trio's clock.
        after_s: Seconds from its last byte to the end of the connection.
        error: How the connection ended.
        served: Number of answers on that connection before.
    """

    path: str
    sent_at: float
    after_s: float
    error: str
    served: int


def readiness(number: int) -> Call:
    """Returns a call for the readiness."""
    return Call("GET", "/readyz")


def configuration(number: int) -> Call:
    """Returns a call that reads the configuration."""
    return Call("GET", "/v1/config")


def offer(number: int) -> Call:
    """Returns a call to a service that may be repeated."""
    return _service("offer")


def confirmation(number: int) -> Call:
    """Returns a call to a service that may run once."""
    return _service("confirm", key=f"kept-{number}")


def job(number: int) -> Call:
    """Returns a call that submits a job of its own."""
    document = {"account": scenario.ACCOUNT, "run_s": 0.1}
    return Call(
        "POST",
        "/v1/jobs",
        {"idempotency-key": f"kept-{number}"},
        (json.dumps(document).encode(),),
    )


def in_pieces(call: Call, pause_s: float) -> Call:
    """Returns the call with the last byte of its body late."""
    body = b"".join(call.pieces)
    pieces = (body[:-1], body[-1:])
    return dataclasses.replace(call, pieces=pieces, pause_s=pause_s)


def _service(request_class: str, key: str = "") -> Call:
    headers = {
        "laburnumsill-class": request_class,
        "laburnumsill-account": scenario.ACCOUNT,
    }
    if key:
        headers["idempotency-key"] = key
    path = f"{scenario.SERVICE_PATH}/run"
    return Call("POST", path, headers, (b"{}",))


class Crowd:
    """Callers of one address.

    Args:
        address: The address, ``host:port``.
        calls: Returns a call by its number.
        pause_s: Pause of a caller between an answer and its next call.

    Attributes:
        statuses: Number of whole answers by status.
        lost: The calls that were sent whole and not answered.
        connects: Whether callers may open connections. The balancer directs
            none to a VM that it has found unready.
    """

    def __init__(
        self,
        address: str,
        calls: abc.Callable[[int], Call],
        pause_s: float = 0.005,
    ) -> None:
        self.statuses: dict[int, int] = {}
        self.lost: list[LostCall] = []
        self.connects = True
        self._address = address
        self._calls = calls
        self._pause_s = pause_s
        self._numbers = itertools.count(1)

    async def run(self, callers: int) -> None:
        """Calls until each caller has lost its connection and may open none."""
        async with trio.open_nursery() as nursery:
            for _ in range(callers):
                nursery.start_soon(self._run_caller)

    async def _run_caller(self) -> None:
        host, _, port = self._address.rpartition(":")
        while self.connects:
            try:
                stream = await trio.open_tcp_stream(host, int(port))
            except OSError:
                await trio.sleep(self._pause_s)
                continue
            async with stream:
                await self._use(stream)

    async def _use(self, stream: trio.SocketStream) -> None:
        """Calls over one connection until it ends or is to be closed."""
        protocol = h11.Connection(h11.CLIENT)
        for served in itertools.count():
            call = self._calls(next(self._numbers))
            try:
                await self._send(stream, protocol, call)
            except trio.BrokenResourceError:
                return
            sent_at = trio.current_time()
            try:
                status = await _receive(stream, protocol)
            except (trio.BrokenResourceError, h11.RemoteProtocolError) as error:
                after_s = trio.current_time() - sent_at
                self.lost.append(
                    LostCall(call.path, sent_at, after_s, repr(error), served)
                )
                return
            self.statuses[status] = self.statuses.get(status, 0) + 1
            if protocol.our_state is h11.MUST_CLOSE:
                return
            protocol.start_next_cycle()
            await trio.sleep(self._pause_s)

    async def _send(
        self, stream: trio.SocketStream, protocol: h11.Connection, call: Call
    ) -> None:
        """Sends a call, piece by piece.

        Raises:
            trio.BrokenResourceError: The connection ended before.
        """
        length = sum(map(len, call.pieces))
        headers = {"host": "vm", "content-length": str(length), **call.headers}
        head = protocol.send(
            h11.Request(
                method=call.method, target=call.path, headers=[*headers.items()]
            )
        )
        first, *rest = call.pieces or (b"",)
        await stream.send_all(head + protocol.send(h11.Data(data=first)))
        for piece in rest:
            await trio.sleep(call.pause_s)
            await stream.send_all(protocol.send(h11.Data(data=piece)))
        protocol.send(h11.EndOfMessage())


async def _receive(stream: trio.SocketStream, protocol: h11.Connection) -> int:
    """Returns the status of the answer once all of it has arrived.

    Raises:
        h11.RemoteProtocolError: The connection was closed before.
        trio.BrokenResourceError: The connection was reset before.
    """
    status = 0
    with trio.fail_after(ANSWER_TIMEOUT_S):
        while True:
            event = protocol.next_event()
            if event is h11.NEED_DATA:
                protocol.receive_data(await stream.receive_some(RECEIVE_BYTES))
            elif isinstance(event, h11.Response):
                status = event.status_code
            elif isinstance(event, h11.EndOfMessage):
                return status
            elif isinstance(event, h11.ConnectionClosed):
                raise h11.RemoteProtocolError("closed without an answer")
