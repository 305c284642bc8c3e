"""One connection between two VMs, after the exchange of hellos."""

import dataclasses
import typing
from collections import abc

import trio

from laburnumsill.core import clock as clocks
from laburnumsill.core import codec
from laburnumsill.core import errors
from laburnumsill.core import logs
from laburnumsill.wire import calls
from laburnumsill.wire import failures
from laburnumsill.wire import frames
from laburnumsill.wire import handlers
from laburnumsill.wire import outbox
from laburnumsill.wire.generated.peer import ttypes

KEEPALIVE_REPLY_S = 0.2
"""A frame from the peer is answered by an empty frame if nothing was sent for
this long.

The empty frame carries the pending TCP acknowledgement, which saves a packet,
and all peers answer at the same moment, which saves wake-ups.
"""

DIALER_KEEPALIVE_S = 0.3
"""Keep-alive interval of the dialing end. It is checked at each tick of 0.2 s,
so an idle connection sends a keep-alive every 0.4 s."""

ACCEPTOR_KEEPALIVE_S = 0.5
"""Keep-alive interval of the accepting end, which normally answers the
keep-alives of the dialing end instead."""

REACHABLE_S = 1.0
"""A peer counts as reachable for this long after the last contact."""

SILENCE_TIMEOUT_S = 0.9
"""A connection on which nothing was received for this long is closed and
dialed again.

A connection may go silent for good while new ones work, so this timeout is
shorter than those of the users' callers. A healthy connection carries a frame
every 0.4 s, which may be delayed by another 0.4 s without a timeout.
"""

MAX_RUNNING_CALLS = 4096
"""Limit of the calls of one peer that run at a time."""


@dataclasses.dataclass(slots=True)
class Traffic:
    """Counters of one or more connections."""

    sent_bytes: int = 0
    received_bytes: int = 0
    sent_frames: int = 0
    received_frames: int = 0
    dropped: int = 0
    late_replies: int = 0


class Connection:
    """One connection; it never outlives its stream.

    Attributes:
        vm: The VM at the other end.
    """

    def __init__(
        self,
        vm: str,
        stream: trio.abc.Stream,
        reader: frames.FrameReader,
        peer_handlers: handlers.Handlers,
        clock: clocks.Clock,
        call_nursery: trio.Nursery,
        dialed: bool,
    ) -> None:
        """Creates a connection.

        Args:
            vm: The VM at the other end.
            stream: The stream, after the exchange of hellos.
            reader: The reader that received the hello.
            peer_handlers: The handlers of the peer's messages.
            clock: The clock of this process.
            call_nursery: Runs the peer's calls, also after this connection is
                lost, since the peer may repeat a call on another one.
            dialed: Whether this end dialed the connection.
        """
        self.vm = vm
        self._traffic = Traffic()
        self._stream = stream
        self._reader = reader
        self._handlers = peer_handlers
        self._clock = clock
        self._call_nursery = call_nursery
        self._keepalive_s = (
            DIALER_KEEPALIVE_S if dialed else ACCEPTOR_KEEPALIVE_S
        )
        self._outbox = outbox.Outbox()
        self._pending = calls.PendingCalls()
        self._running_calls = 0
        self._wakeup = trio.Event()
        self._last_sent_at = clock.monotonic()
        self._last_call_at = clock.monotonic()
        self._closed = False
        self._scope = trio.CancelScope()
        self._reason: failures.WireError | None = None

    @property
    def reachable(self) -> bool:
        """Whether the last contact was within `REACHABLE_S`."""
        return not self._closed and self._silence_s() < REACHABLE_S

    @property
    def idle_s(self) -> float:
        """Seconds since the last call from this end."""
        return self._clock.monotonic() - self._last_call_at

    @property
    def traffic(self) -> Traffic:
        """The counters of this connection."""
        return dataclasses.replace(
            self._traffic,
            received_bytes=self._reader.byte_count,
            dropped=self._outbox.dropped,
        )

    async def run(self) -> failures.WireError:
        """Runs the connection until it is lost and returns the reason."""
        try:
            with self._scope:
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(self._close_on_error, self._write)
                    await self._close_on_error(self._read)
        finally:
            self._shut_down()
        return self._reason or failures.ConnectionLostError("shut down")

    def close(self, reason: failures.WireError) -> None:
        """Closes the connection; `run` then returns `reason`."""
        self._reason = self._reason or reason
        self._shut_down()

    def tick(self, stalled: bool) -> None:
        """Sends a keep-alive if one is due, or closes a silent connection.

        Args:
            stalled: Whether this process was stalled, so that bytes of the
                peer may wait to be read.
        """
        silence = self._silence_s()
        if silence > SILENCE_TIMEOUT_S and not stalled:
            self.close(
                failures.ConnectionLostError(f"silent for {silence:.2f} s")
            )
        elif self._send_idle_s() > self._keepalive_s:
            self._wakeup.set()

    async def call(self, request: object, deadline: float) -> typing.Any:
        """Sends a call and returns the peer's result, see `Peers.call`."""
        call = ttypes.Call(
            self._pending.next_id(),
            codec.encode(request),
            self._clock.wall_deadline(deadline),
        )
        self._check_open()
        self._last_call_at = self._clock.monotonic()
        pending = self._pending.add(self._outbox.add_call(call))
        self._wakeup.set()
        try:
            remaining = deadline - self._clock.monotonic()
            with trio.move_on_after(max(0.0, remaining)):
                await pending.done.wait()
        finally:
            self._pending.discard(pending)
        return calls.result(self.vm, pending)

    def notify(self, notice: object) -> None:
        """Sends a notice that may be lost."""
        self._outbox.add_notice(codec.encode(notice))
        self._wakeup.set()

    def send_raft(self, messages: abc.Iterable[ttypes.RaftMessage]) -> None:
        """Sends Raft messages that may be lost."""
        try:
            self._outbox.add_raft(messages)
        finally:
            self._wakeup.set()

    async def _close_on_error(
        self, work: abc.Callable[[], abc.Awaitable[None]]
    ) -> None:
        """Runs `work` and closes the connection if it fails."""
        try:
            await work()
        except failures.WireError as error:
            self.close(error)

    async def _read(self) -> None:
        while True:
            frame = await self._reader.read()
            self._traffic.received_frames += 1
            if self._send_idle_s() > KEEPALIVE_REPLY_S:
                self._wakeup.set()
            self._dispatch(frame)

    def _dispatch(self, frame: ttypes.Frame) -> None:
        if frame.raft:
            self._handlers.handle_raft(frame.raft)
        for reply in frame.replies or ():
            if not self._pending.resolve(reply):
                self._traffic.late_replies += 1
        for call in frame.calls or ():
            self._start_call(call)
        for notice in frame.notices or ():
            self._handlers.handle_encoded_notice(notice)

    def _start_call(self, call: ttypes.Call) -> None:
        if self._running_calls < MAX_RUNNING_CALLS:
            self._running_calls += 1
            self._call_nursery.start_soon(self._answer, call)
            return
        refusal = errors.OverloadedError(
            f"{MAX_RUNNING_CALLS} calls are running"
        )
        self._reply(handlers.error_reply(call.call_id, refusal))

    async def _answer(self, call: ttypes.Call) -> None:
        try:
            self._reply(await self._handlers.answer(call))
        finally:
            self._running_calls -= 1

    def _reply(self, reply: ttypes.Reply) -> None:
        if self._closed:
            return
        try:
            self._outbox.add_reply(reply)
        except failures.FrameTooLargeError as error:
            logs.event("reply-too-large", "ERROR", error=error.detail)
            self._outbox.add_reply(handlers.error_reply(reply.call_id, error))
        self._wakeup.set()

    async def _write(self) -> None:
        """Sends queued messages; an empty queue yields a keep-alive frame."""
        while True:
            await self._wakeup.wait()
            self._wakeup = trio.Event()
            await self._send(self._outbox.next_frame())
            while self._outbox:
                await self._send(self._outbox.next_frame())

    async def _send(self, frame: ttypes.Frame) -> None:
        raw = frames.encode(frame)
        try:
            await self._stream.send_all(raw)
        except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
            raise failures.ConnectionLostError(
                f"sending failed: {error.__cause__ or error!r}"
            ) from error
        self._last_sent_at = self._clock.monotonic()
        self._traffic.sent_frames += 1
        self._traffic.sent_bytes += len(raw)

    def _silence_s(self) -> float:
        return self._clock.monotonic() - self._reader.last_contact_at

    def _send_idle_s(self) -> float:
        return self._clock.monotonic() - self._last_sent_at

    def _check_open(self) -> None:
        if self._closed:
            raise errors.PeerUnreachableError(f"{self.vm}: closed")

    def _shut_down(self) -> None:
        if not self._closed:
            self._closed = True
            self._pending.fail_all()
            self._scope.cancel()
