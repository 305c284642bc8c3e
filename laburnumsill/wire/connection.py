"""One connection between two VMs, after both have said who they are."""

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

QUIET_S = 0.2
"""A frame from the peer is answered by an empty one after so long a quiet.

The answer comes while the acknowledgement is still due, which saves a packet,
and all peers answer at the same moment, which saves wake-ups.
"""

DIALER_QUIET_S = 0.3
"""The dialing end sends an empty frame at the first tick after so long a
quiet: every 0.4 s where nothing else is sent."""

LONG_QUIET_S = 0.5
"""The other end sends an empty frame by itself only after so long."""

REACHABLE_S = 1.0
"""A peer that was heard from within this time counts as reachable."""

SILENCE_LIMIT_S = 0.9
"""A connection that was silent for so long is closed and dialed anew.

It may have gone silent for good while new ones work, so this comes before the
calls of the users' callers give up. A connection without faults brings
something every 0.4 s, which a delay by another 0.4 s does not make silent.
"""

MAX_RUNNING_CALLS = 4096
"""Most calls of one peer that run at a time."""


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
        answers: handlers.Handlers,
        clock: clocks.Clock,
        workers: trio.Nursery,
        dialed: bool,
    ) -> None:
        """Makes a connection.

        Args:
            vm: The VM at the other end.
            stream: The stream, after the exchange of hellos.
            reader: The reader that took the hello.
            answers: Runs what the peer asks for.
            clock: The clock of this process.
            workers: Runs calls of the peer, also after this connection is
                lost, since the peer may ask again over another one.
            dialed: Whether this end dialed.
        """
        self.vm = vm
        self._traffic = Traffic()
        self._stream = stream
        self._reader = reader
        self._handlers = answers
        self._clock = clock
        self._workers = workers
        self._longest_quiet_s = DIALER_QUIET_S if dialed else LONG_QUIET_S
        self._outbox = outbox.Outbox()
        self._pending = calls.PendingCalls()
        self._running_calls = 0
        self._wakeup = trio.Event()
        self._last_sent = clock.monotonic()
        self._last_called = clock.monotonic()
        self._closed = False
        self._scope = trio.CancelScope()
        self._reason: failures.WireError | None = None

    @property
    def reachable(self) -> bool:
        """Whether the peer was heard from lately."""
        return not self._closed and self._silence() < REACHABLE_S

    @property
    def idle_s(self) -> float:
        """Seconds since this end last called the other one."""
        return self._clock.monotonic() - self._last_called

    @property
    def traffic(self) -> Traffic:
        """What went over it so far."""
        return dataclasses.replace(
            self._traffic,
            received_bytes=self._reader.received,
            dropped=self._outbox.dropped,
        )

    async def run(self) -> failures.WireError:
        """Runs the connection until it is lost and returns the reason."""
        try:
            with self._scope:
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(self._until_lost, self._write)
                    await self._until_lost(self._read)
        finally:
            self._close()
        return self._reason or failures.ConnectionLostError("shut down")

    def lose(self, reason: failures.WireError) -> None:
        """Closes the connection; `run` then returns `reason`."""
        self._reason = self._reason or reason
        self._close()

    def tick(self, late: bool) -> None:
        """Sends a keep-alive or gives the peer up, where one is due.

        Args:
            late: Whether this process was held up, so that what the peer
                sent may not have been read yet.
        """
        silence = self._silence()
        if silence > SILENCE_LIMIT_S and not late:
            self.lose(
                failures.ConnectionLostError(f"silent for {silence:.2f} s")
            )
        elif self._quiet() > self._longest_quiet_s:
            self._wakeup.set()

    async def call(self, request: object, deadline: float) -> typing.Any:
        """Sends a call and returns the peer's answer, see `Peers.call`."""
        call = ttypes.Call(
            self._pending.next_id(),
            codec.encode(request),
            self._clock.wall_deadline(deadline),
        )
        self._check_open()
        self._last_called = self._clock.monotonic()
        pending = self._pending.add(self._outbox.add_call(call))
        self._wakeup.set()
        try:
            remaining = deadline - self._clock.monotonic()
            with trio.move_on_after(max(0.0, remaining)):
                await pending.done.wait()
        finally:
            self._pending.forget(pending)
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

    async def _until_lost(
        self, work: abc.Callable[[], abc.Awaitable[None]]
    ) -> None:
        """Runs `work`; its failure is the end of the connection."""
        try:
            await work()
        except failures.WireError as error:
            self.lose(error)

    async def _read(self) -> None:
        while True:
            frame = await self._reader.read()
            self._traffic.received_frames += 1
            if self._quiet() > QUIET_S:
                self._wakeup.set()
            self._take(frame)

    def _take(self, frame: ttypes.Frame) -> None:
        if frame.raft:
            self._handlers.take_raft(frame.raft)
        for reply in frame.replies or ():
            if not self._pending.settle(reply):
                self._traffic.late_replies += 1
        for call in frame.calls or ():
            self._take_call(call)
        for notice in frame.notices or ():
            self._handlers.take_notice_bytes(notice)

    def _take_call(self, call: ttypes.Call) -> None:
        if self._running_calls < MAX_RUNNING_CALLS:
            self._running_calls += 1
            self._workers.start_soon(self._answer, call)
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
        """Sends all that waits; a wake-up with nothing is a keep-alive."""
        while True:
            await self._wakeup.wait()
            self._wakeup = trio.Event()
            await self._send(self._outbox.gather())
            while self._outbox:
                await self._send(self._outbox.gather())

    async def _send(self, frame: ttypes.Frame) -> None:
        raw = frames.encode(frame)
        try:
            await self._stream.send_all(raw)
        except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
            raise failures.ConnectionLostError(
                f"sending failed: {error.__cause__ or error!r}"
            ) from error
        self._last_sent = self._clock.monotonic()
        self._traffic.sent_frames += 1
        self._traffic.sent_bytes += len(raw)

    def _silence(self) -> float:
        return self._clock.monotonic() - self._reader.last_heard

    def _quiet(self) -> float:
        return self._clock.monotonic() - self._last_sent

    def _check_open(self) -> None:
        if self._closed:
            raise errors.PeerUnreachableError(f"{self.vm}: closed")

    def _close(self) -> None:
        if not self._closed:
            self._closed = True
            self._pending.fail_all()
            self._scope.cancel()
