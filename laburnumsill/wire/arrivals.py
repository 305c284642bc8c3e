"""When data that is read from a socket can have arrived at the earliest.

A process that stood still reads what has waited in its sockets as if it had
just arrived, though its sender may have left. The kernel does not tell when
data arrived, but it was after the socket was last known to hold nothing. That
time is never later than the arrival, wherever the process stood still.
"""

import math
import socket

import trio

from laburnumsill.core import clock as clocks

EXTENSION = "laburnumsill.arrival"
"""Key of the arrival among the extensions of an ASGI scope."""

AFTER = "after"
"""Key of the monotonic time in s after which a request began to arrive, in the
extension `EXTENSION`."""

CLOSED = -1
"""Descriptor of a socket that is closed."""

_CLOCK = clocks.SystemClock()


class LoopWatch(trio.abc.Instrument):
    """Records when the event loop looks for arrived data.

    Data that wakes a task in this turn of the loop was not there when the loop
    began to look in the turn before. Ticks of the network bound the time
    between two looks of a loop that is not held up.
    """

    def __init__(self) -> None:
        self._looked_at = -math.inf
        self._previous_look_at = -math.inf

    @property
    def previous_look_at(self) -> float:
        """Monotonic time in s of the look before that of this turn."""
        return self._previous_look_at

    def before_io_wait(self, timeout: float) -> None:
        """Records a look, see the base class."""
        del timeout  # the look may end at once
        self._previous_look_at = self._looked_at
        self._looked_at = _CLOCK.monotonic()


_watches: trio.lowlevel.RunVar[LoopWatch] = trio.lowlevel.RunVar("loop-watch")


def loop_watch() -> LoopWatch:
    """Returns the watch of the running event loop, installed at first use."""
    try:
        return _watches.get()
    except LookupError:
        watch = LoopWatch()
        trio.lowlevel.add_instrument(watch)
        _watches.set(watch)
        return watch


class Arrivals:
    """What is known about arrivals at one socket.

    Args:
        sock: A socket that is read from, or that accepts connections.
        empty_at: Monotonic time in s at which it certainly held nothing.
    """

    def __init__(self, sock: trio.socket.SocketType, empty_at: float) -> None:
        self._socket = sock
        self._empty_at = empty_at
        self._watch = loop_watch()

    @property
    def empty_at(self) -> float:
        """Monotonic time in s at which the socket was last known to be empty.

        All that it holds now has arrived after that time.
        """
        return self._empty_at

    async def wait(self) -> None:
        """Waits until something has arrived.

        Raises:
            trio.ClosedResourceError: The socket was closed here.
        """
        if self._socket.fileno() == CLOSED:
            raise trio.ClosedResourceError
        looked_at = _CLOCK.monotonic()
        if self._socket.is_readable():
            return
        self._empty_at = looked_at
        await trio.lowlevel.wait_readable(self._socket)
        self._empty_at = max(looked_at, self._watch.previous_look_at)


class Stream(trio.abc.Stream):
    """A connection that knows after which time its unread data has arrived.

    Args:
        stream: The connection.
        empty_at: Monotonic time in s at which nothing had arrived on it.
    """

    def __init__(self, stream: trio.SocketStream, empty_at: float) -> None:
        self._stream = stream
        self._arrivals = Arrivals(stream.socket, empty_at)
        self._has_data = False

    @property
    def empty_at(self) -> float:
        """Monotonic time in s after which the data read last has arrived."""
        return self._arrivals.empty_at

    @property
    def socket(self) -> trio.socket.SocketType:
        """The socket of the connection."""
        return self._stream.socket

    @property
    def has_unread(self) -> bool:
        """Whether data has arrived and was not read; False once closed."""
        is_closed = self.socket.fileno() == CLOSED
        return not is_closed and bool(self.socket.is_readable())

    async def wait_for_data(self) -> None:
        """Waits until data has arrived, or the other side has closed."""
        await self._arrivals.wait()
        self._has_data = True  # saves the next read a look at the socket

    async def receive_some(self, max_bytes: int | None = None) -> bytes:
        """Returns received data, see the base class."""
        if not self._has_data:
            await self._arrivals.wait()
        self._has_data = False
        return bytes(await self._stream.receive_some(max_bytes))

    async def send_all(self, data: bytes | bytearray | memoryview) -> None:
        """Sends data, see the base class."""
        await self._stream.send_all(data)

    async def send_eof(self) -> None:
        """Ends what is sent; data can still be received."""
        await self._stream.send_eof()

    async def wait_send_all_might_not_block(self) -> None:
        """Waits until data can probably be sent, see the base class."""
        await self._stream.wait_send_all_might_not_block()

    async def aclose(self) -> None:
        """Closes the connection, see the base class."""
        await self._stream.aclose()


class Listener(trio.abc.Listener[Stream]):
    """Accepts connections that know after which time they have arrived.

    Args:
        listening: A non-blocking socket that listens.
    """

    def __init__(self, listening: socket.socket) -> None:
        self._listening = listening
        wrapped = trio.socket.from_stdlib_socket(listening)
        self._listener = trio.SocketListener(wrapped)
        self._arrivals = Arrivals(wrapped, _CLOCK.monotonic())

    async def accept(self) -> Stream:
        """Returns the next connection, see the base class."""
        await self._arrivals.wait()
        accepted = await self._listener.accept()
        return Stream(accepted, self._arrivals.empty_at)

    def close(self) -> list[Stream]:
        """Stops listening; returns the connections that waited to be accepted.

        The kernel completes a connection before it is accepted. Its caller may
        have sent a request, and would be reset with the listening socket.
        """
        waiting = []
        while True:
            try:
                waiting.append(self._listening.accept()[0])
            except ConnectionAbortedError:
                continue
            except OSError:  # none is left, or there is no descriptor for it
                break
        self._listener.socket.close()
        sockets = map(trio.socket.from_stdlib_socket, waiting)
        empty_at = self._arrivals.empty_at
        return [Stream(trio.SocketStream(one), empty_at) for one in sockets]

    async def aclose(self) -> None:
        """Closes the listener, see the base class."""
        await self._listener.aclose()
