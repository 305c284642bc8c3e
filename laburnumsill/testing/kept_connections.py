"""Callers that keep their connections and account for each call.

A caller sends its next call a moment after the last answer, on the same
connection unless the answer says that it is the last one there.
"""

import dataclasses
import itertools
from collections import abc

import h11
import trio

RECEIVE_BYTES = 65_536
ANSWER_TIMEOUT_S = 10.0
PAUSE_S = 0.005
START_S = 1.0
"""Time in which callers begin one after the other, so as not to call as one."""

RESET_S = 0.1
"""Time within which a reset arrives that answers bytes sent just before."""

LOSS_SLACK_S = 0.2
"""Time after its last byte by which a call may be lost unread, as the users
define it."""


_NO_ANSWER = (
    OSError,
    trio.BrokenResourceError,
    EOFError,
    trio.TooSlowError,
)


@dataclasses.dataclass(frozen=True, slots=True)
class LostCall:
    """A call that was sent whole and got no whole answer.

    Attributes:
        path: What was called.
        began_at: Time of its first byte.
        sent_at: Time of its last byte.
        ended_at: Time of the end of the connection.
        was_reset: Whether the connection was reset, at once or after its end.
        served: Number of answers on that connection before.
    """

    path: str
    began_at: float
    sent_at: float
    ended_at: float
    was_reset: bool
    served: int

    @property
    def after_s(self) -> float:
        """Seconds from its last byte to the end of the connection."""
        return self.ended_at - self.sent_at

    @property
    def may_have_been_read(self) -> bool:
        """Whether a process may have read the call before it was lost.

        The kernel resets a connection if bytes of the call were unread when it
        was closed, or arrive later.
        """
        return self.after_s > LOSS_SLACK_S or not self.was_reset


@dataclasses.dataclass(frozen=True, slots=True)
class Call:
    """One call, with its body in pieces that are sent one after the other.

    Attributes:
        method: The HTTP method.
        path: The path.
        pieces: The body; the caller pauses before each but the first.
        pause_s: Pause between two pieces, in seconds.
        headers: Headers beside the length and those of all calls.
    """

    method: str
    path: str
    pieces: tuple[bytes, ...] = ()
    pause_s: float = 0.0
    headers: abc.Mapping[str, str] = dataclasses.field(default_factory=dict)


class Crowd:
    """Callers of one address.

    Args:
        address: The address, ``host:port``.
        calls: Returns a call by its number.
        headers: Headers of all calls.
        pause_s: Draws the pause between an answer and the next call.
        sees_ends: Whether a caller whose connection has ended in the pause
            sends no call on it. After long pauses such a call is no evidence.

    Attributes:
        statuses: Number of whole answers by status.
        accepted: Paths of the calls that were answered with 200.
        refused: Paths of the calls that were answered with 503.
        lost: The calls that were sent whole and not answered.
        connects: Whether callers may open connections. The balancer directs
            none to an entry that it has found unready.
    """

    def __init__(
        self,
        address: str,
        calls: abc.Callable[[int], Call],
        headers: abc.Mapping[str, str],
        pause_s: abc.Callable[[], float] = lambda: PAUSE_S,
        sees_ends: bool = False,
    ) -> None:
        self.statuses: dict[int, int] = {}
        self.accepted: list[str] = []
        self.refused: list[str] = []
        self.lost: list[LostCall] = []
        self.connects = True
        self._address = address
        self._calls = calls
        self._headers = headers
        self._pause_s = pause_s
        self._sees_ends = sees_ends
        self._numbers = itertools.count(1)

    async def run(self, callers: int) -> None:
        """Calls until each caller has lost its connection and may open none."""
        async with trio.open_nursery() as nursery:
            for number in range(callers):
                delay_s = START_S * number / callers
                nursery.start_soon(self._run_caller, delay_s)

    async def _run_caller(self, delay_s: float) -> None:
        await trio.sleep(delay_s)
        host, _, port = self._address.rpartition(":")
        while self.connects:
            try:
                stream = await trio.open_tcp_stream(host, int(port))
            except OSError:
                await trio.sleep(self._pause_s())
                continue
            async with stream:
                await self._use(stream)

    async def _use(self, stream: trio.SocketStream) -> None:
        """Calls over one connection until it ends or is to be closed."""
        protocol = h11.Connection(h11.CLIENT)
        for served in itertools.count():
            call = self._calls(next(self._numbers))
            began_at = trio.current_time()
            if not await self._send(stream, protocol, call):
                return
            sent_at = trio.current_time()
            try:
                status = await self._receive(stream, protocol)
            except _NO_ANSWER as error:
                ended_at = trio.current_time()
                was_reset = isinstance(
                    error, (OSError, trio.BrokenResourceError)
                )
                if isinstance(error, EOFError):
                    was_reset = await _is_reset(stream)
                self.lost.append(
                    LostCall(
                        call.path,
                        began_at,
                        sent_at,
                        ended_at,
                        was_reset,
                        served,
                    )
                )
                return
            self.statuses[status] = self.statuses.get(status, 0) + 1
            if status == 200:
                self.accepted.append(call.path)
            elif status == 503:
                self.refused.append(call.path)
            if protocol.our_state is h11.MUST_CLOSE:
                return
            protocol.start_next_cycle()
            await trio.sleep(self._pause_s())
            if self._sees_ends and stream.socket.is_readable():
                return

    async def _send(
        self, stream: trio.SocketStream, protocol: h11.Connection, call: Call
    ) -> bool:
        """Sends a call; returns whether all of it was sent."""
        length = str(sum(map(len, call.pieces)))
        headers = {
            **self._headers,
            **call.headers,
            "content-length": length,
        }
        head = protocol.send(
            h11.Request(
                method=call.method, target=call.path, headers=[*headers.items()]
            )
        )
        parts = [protocol.send(h11.Data(data=one)) for one in call.pieces]
        protocol.send(h11.EndOfMessage())
        pieces = [head + (parts[0] if parts else b""), *parts[1:]]
        try:
            for number, piece in enumerate(pieces):
                if number:
                    await trio.sleep(call.pause_s)
                await stream.send_all(piece)
        except trio.BrokenResourceError:
            return False
        return True

    async def _receive(
        self, stream: trio.SocketStream, protocol: h11.Connection
    ) -> int:
        """Returns the status of the answer once all of it has arrived.

        Raises:
            EOFError: The connection ended before, without a reset.
            trio.BrokenResourceError: The connection was reset.
            trio.TooSlowError: Nobody answered within `ANSWER_TIMEOUT_S`.
        """
        status = 0
        with trio.fail_after(ANSWER_TIMEOUT_S):
            while True:
                event = protocol.next_event()
                if event is h11.NEED_DATA:
                    data = await stream.receive_some(RECEIVE_BYTES)
                    if not data:
                        raise EOFError("the connection was closed")
                    protocol.receive_data(data)
                elif isinstance(event, h11.Response):
                    status = event.status_code
                elif isinstance(event, h11.EndOfMessage):
                    return status


async def _is_reset(stream: trio.SocketStream) -> bool:
    """Returns whether a reset follows the end of a connection."""
    await trio.sleep(RESET_S)
    error = stream.socket.getsockopt(
        trio.socket.SOL_SOCKET, trio.socket.SO_ERROR
    )
    return bool(error)
