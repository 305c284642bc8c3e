"""One connection of the light server, which serves one call after the other.

Closing a connection with unread bytes resets it, and a reset may destroy an
answer that the caller has not read yet. So a connection ends as idle only
while nothing of a further call has arrived. After its last answer the server
stops sending, and reads on until the caller has closed its side.
"""

import contextlib
import math
import typing
from collections import abc

import h11
import trio

from laburnumsill.core import byte_budget
from laburnumsill.core import logs
from laburnumsill.daemon import connection_budget
from laburnumsill.daemon import connection_monitor
from laburnumsill.daemon import light_exchange
from laburnumsill.daemon import staged_server
from laburnumsill.wire import arrivals

MAX_HEADER_BYTES = 32 * 1024
MAX_HEADERS = 100
"""Number of headers of a request. Each of a few bytes needs hundreds of bytes
of memory once it is decoded."""

KEEP_ALIVE_S = 60
HEAD_TIMEOUT_S = 10.0
"""Time within which the head of a request has to arrive."""

RECEIVE_BYTES = 32_768
"""Maximum size of one read. Headers are rejected after the first read that
exceeds their limit."""

MAX_JOINED_BYTES = 32_768
"""Size up to which an answer is copied together, to be sent in one write."""

PIECES_A_TURN = 16
"""Pieces of one read that are handled in one turn of the loop. A read may hold
thousands of chunks of a byte."""

SMALL_ANSWER_BYTES = 8_192
"""Size up to which an answer takes nothing from the budget. Were a connection
given up for its own answer, a call would be carried out and not answered. What
such answers hold together is bounded by the number of connections."""

SEND_TIMEOUT_S = 60
"""The connection of a caller that has not read an answer by then is closed."""

LINGER_S = 0.5
"""Time for which the rest of a body is read and discarded after an early
response, and for which a caller may take to close its side after the last
answer on a connection."""

_End = connection_monitor.ConnectionEnd


class Connection(
    byte_budget.Holder, light_exchange.Channel, staged_server.Connection
):
    """One caller's connection, which serves one exchange at a time.

    Args:
        application: The ASGI application. It acts on a call only once it has
            read the whole body.
        stream: The connection.
        monitor: Records the end of the connection.
        budget: Bounds what the connections of the process hold.
        is_closing: Returns whether an answer is the last one on its
            connection unless a further call has arrived.
    """

    def __init__(
        self,
        application: light_exchange.Application,
        stream: arrivals.Stream,
        monitor: connection_monitor.Monitor,
        budget: connection_budget.ConnectionBudget,
        is_closing: abc.Callable[[], bool],
    ) -> None:
        self._application = application
        self._stream = stream
        self._monitor = monitor
        self._budget = budget
        self._is_closing = is_closing
        self._arrived_after: float | None = None
        self._protocol = h11.Connection(
            h11.SERVER, max_incomplete_event_size=MAX_HEADER_BYTES
        )
        self._answers = 0
        self._idle: trio.CancelScope | None = None
        self._work: trio.CancelScope | None = None
        self._sending: trio.CancelScope | None = None
        self._answer_by: float | None = None
        self._request: h11.Request | None = None
        self._since = trio.current_time()
        self._keeps_waiting = True
        self._is_given_up = False
        self._ends_at_once = False
        self._answered_early = False
        self._pieces = 0

    @property
    def waiting_since(self) -> float | None:
        """Time since which its caller keeps it waiting, see the base class."""
        return self._since if self._keeps_waiting else None

    def give_up(self) -> None:
        """Ends the connection, see the base class.

        A call of which a part has arrived gets an answer, and none is served
        after it. An answer that the caller does not read is cut.
        """
        self._ends_at_once = self._is_given_up
        self._is_given_up = True
        for scope in (self._idle, self._sending, self._work):
            if scope is not None:
                scope.cancel()
                return

    @property
    def is_last_answer(self) -> bool:
        """Whether it is closed after this answer, see the base class."""
        if self._is_given_up:
            return True
        return self._is_closing() and not self._has_unread

    def finish(self, answer_by: float) -> None:
        """Closes it once all calls are answered, see the base class."""
        self._answer_by = answer_by
        if self._work is not None:
            self._work.deadline = min(self._work.deadline, answer_by)
        if self._idle is not None and not self._has_unread:
            self._idle.deadline = self._idle_deadline()

    async def run(self) -> None:
        """Serves exchanges until either end closes the connection."""
        end = _End.CUT
        self._budget.add(self)
        try:
            while await self._exchange():
                self._protocol.start_next_cycle()
            end = _End.ANSWERED
            if self._protocol.our_state is h11.IDLE:
                end = _End.IDLE
            else:
                await self._linger()
        except light_exchange.CutError:
            pass
        except (light_exchange.ClosedError, *light_exchange.STREAM_ERRORS):
            end = _End.CALLER
        except h11.RemoteProtocolError as error:
            end = _End.INVALID
            with contextlib.suppress(
                light_exchange.ClosedError, *light_exchange.STREAM_ERRORS
            ):
                await self._reject(error.error_status_hint)
                await self._linger()
        finally:
            self._record(end)
            await trio.aclose_forcefully(self._stream)

    def _record(self, end: connection_monitor.ConnectionEnd) -> None:
        """Records the end of the connection and of a call that it cuts."""
        self._budget.remove(self)
        if self._is_given_up:
            self._monitor.on_end(_End.GIVEN_UP)
            return
        if end in (_End.IDLE, _End.CUT) and self._request is None:
            end = _End.CUT if self._has_unread else _End.IDLE
        if end is _End.CUT:
            since_s = trio.current_time() - self._since
            self._monitor.on_cut(self._request, since_s)
        self._monitor.on_end(end)

    @property
    def _has_unread(self) -> bool:
        """Whether a part of a further call has arrived."""
        return bool(self._protocol.trailing_data[0]) or self._stream.has_unread

    async def _exchange(self) -> bool:
        """Serves one exchange; returns whether the connection can be reused."""
        request = await self._next_request()
        if request is None:
            return False
        self._request = request
        exchange = light_exchange.Exchange(self, request)
        await self._serve(request, exchange)
        self._request = None
        self._answers += 1
        self._budget.release(self)
        self._wait_for_caller()
        await self._discard_body()
        done = self._protocol.our_state is h11.DONE
        return done and self._protocol.their_state is h11.DONE

    async def _serve(
        self, request: h11.Request, exchange: light_exchange.Exchange
    ) -> None:
        """Has the application answer a request, or answers in its place."""
        try:
            with self._bounded(math.inf):
                await self._application(
                    light_exchange.scope(request, self._arrived_after),
                    exchange.receive,
                    exchange.send,
                )
                return
        except (
            light_exchange.ClosedError,
            h11.RemoteProtocolError,
            *light_exchange.STREAM_ERRORS,
        ):
            raise
        except Exception as error:  # a failure must not affect other requests
            logs.event(
                "http-server",
                level="ERROR",
                message="the application failed",
                error=repr(error),
            )
            await exchange.send_failure(500)
            return
        await exchange.send_unfinished()

    async def _next_request(self) -> h11.Request | None:
        """Returns the next request, None if the connection is to be closed."""
        if self._is_given_up:
            if self._has_unread and not self._answers:
                await self._reject(503)  # there was no place for it
            return None
        unread, _ = self._protocol.trailing_data
        self._arrived_after = self._stream.empty_at if unread else None
        if not unread and not await self._wait_for_request():
            return None
        self._wait_for_caller()
        event = None
        with self._bounded(self._since + HEAD_TIMEOUT_S):
            event = await self.next_event()
        if event is None:
            await self._reject(503 if self._is_ending else 408)
        elif isinstance(event, h11.Request) and _has_many_headers(event):
            del event  # its memory is not needed while the caller reads
            await self._reject(431)
            return None
        return event if isinstance(event, h11.Request) else None

    @property
    def _is_ending(self) -> bool:
        return self._is_given_up or self._answer_by is not None

    def _wait_for_caller(self) -> None:
        """Counts the time from now on as time that the caller takes."""
        self._keeps_waiting = True
        self._since = trio.current_time()

    def begin_service(self) -> None:
        """Counts no time as the caller's, see the base class."""
        self._keeps_waiting = False

    def _bounded(
        self, deadline: float, has_answered: bool = False
    ) -> trio.CancelScope:
        """Returns a scope that ends at a deadline or with a shutdown.

        After its answer a connection ends with the server at the latest.
        """
        if self._answer_by is not None and not has_answered:
            deadline = min(deadline, self._answer_by)
        self._work = trio.CancelScope(deadline=deadline)
        return self._work

    async def _wait_for_request(self) -> bool:
        """Waits for a request; returns whether one has begun to arrive."""
        self._idle = trio.CancelScope(deadline=self._idle_deadline())
        with self._idle as idle:
            await self._stream.wait_for_data()
        self._idle = None
        return not idle.cancelled_caught or self._stream.has_unread

    def _idle_deadline(self) -> float:
        """Returns until when the connection is kept without a call."""
        if self._answer_by is None:
            return trio.current_time() + KEEP_ALIVE_S
        if self._answers:
            return trio.current_time()
        return min(self._since + staged_server.FIRST_CALL_S, self._answer_by)

    async def next_event(self) -> typing.Any:
        """Returns the next h11 event, see the base class."""
        while True:
            event = self._protocol.next_event()
            if event is not h11.NEED_DATA:
                self._pieces += 1
                if self._pieces % PIECES_A_TURN == 0:
                    await trio.lowlevel.checkpoint()  # others have their turn
                return event
            if self._protocol.they_are_waiting_for_100_continue:
                await self.write(
                    h11.InformationalResponse(status_code=100, headers=[])
                )
            data = await self._stream.receive_some(RECEIVE_BYTES)
            if self._arrived_after is None:
                self._arrived_after = self._stream.empty_at
            if not data:
                raise light_exchange.ClosedError(
                    "the caller closed the connection"
                )
            self._protocol.receive_data(data)
            if self._answered_early:
                continue
            self._budget.take(self, len(data))
            if self._is_given_up:
                await trio.lowlevel.checkpoint()  # what was read is not served

    async def write(self, *events: typing.Any) -> None:
        """Sends h11 events in one write, see the base class."""
        pieces = [self._protocol.send(event) or b"" for event in events]
        size = sum(map(len, pieces))
        if not size:
            return
        if size <= MAX_JOINED_BYTES:
            pieces = [b"".join(pieces)]
        was_served = not self._keeps_waiting
        self._wait_for_caller()
        with trio.move_on_after(SEND_TIMEOUT_S) as self._sending:
            if size > SMALL_ANSWER_BYTES:
                self._budget.take(self, size)
            for piece in pieces:
                await self._stream.send_all(piece)
        if self._sending.cancelled_caught:
            raise light_exchange.ClosedError(
                "the caller did not read the answer in time"
            )
        self._sending = None
        if was_served:
            self.begin_service()

    async def _discard_body(self) -> None:
        """Discards the rest of the body after an early response."""
        if self._protocol.their_state is not h11.SEND_BODY:
            return
        self._answered_early = True
        with self._bounded(trio.current_time() + LINGER_S, has_answered=True):
            while self._reads_on:
                await self.next_event()
        self._answered_early = False

    @property
    def _reads_on(self) -> bool:
        """Whether the rest of a body is read after its answer."""
        if self._ends_at_once:
            return False
        return self._protocol.their_state is h11.SEND_BODY

    async def _linger(self) -> None:
        """Lets the caller read the last answer before the connection ends."""
        with self._bounded(trio.current_time() + LINGER_S, has_answered=True):
            await self._stream.send_eof()
            while not self._is_given_up:
                if not await self._stream.receive_some(RECEIVE_BYTES):
                    return

    async def _reject(self, status: int) -> None:
        """Answers what is no request, unless a response has been started."""
        if self._protocol.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return
        headers = [("content-length", "0"), ("connection", "close")]
        with trio.move_on_after(LINGER_S):
            await self.write(
                h11.Response(status_code=status, headers=headers),
                h11.EndOfMessage(),
            )


def _has_many_headers(request: h11.Request) -> bool:
    return len(request.headers) > MAX_HEADERS
