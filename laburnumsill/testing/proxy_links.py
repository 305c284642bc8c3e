"""One proxied link: its listener and its connections with their faults."""

import contextlib
import math
import random
import socket
import struct

import trio

from laburnumsill.testing import proxy_faults
from laburnumsill.wire import addresses

CHUNK_BYTES = 16_384
"""Most bytes that are passed on at a time."""

SLICES_PER_S = 50
"""A limited bandwidth is spread over at least so many chunks a second."""

DELAYED_CHUNKS = 256
"""Most chunks under way in one direction of a connection."""

_RESET_ON_CLOSE = struct.pack("ii", 1, 0)

_TimedChunk = tuple[float, bytes | None]
"""When a chunk is due, and the chunk: b"" is the end and None a reset."""


class _DueChunks:
    """The chunks of one direction, taken when they are due.

    Chunks that are due at the same time are joined. Taken one by one, they
    would queue up without end on a loop that is slower than their sender.
    """

    def __init__(self, chunks: trio.MemoryReceiveChannel[_TimedChunk]) -> None:
        self._chunks = chunks
        self._next: _TimedChunk | None = None

    async def take(self) -> bytes | None:
        """Returns the next chunk once it is due, with others due by then."""
        due, chunk = self._next or await self._chunks.receive()
        self._next = None
        await trio.sleep_until(due)
        if not chunk:
            return chunk
        parts = [chunk]
        while following := self._take_due():
            parts.append(following)
        return b"".join(parts)

    def _take_due(self) -> bytes | None:
        """Returns the next chunk if it holds bytes that are due, else None."""
        try:
            due, chunk = self._next = self._chunks.receive_nowait()
        except trio.WouldBlock:
            return None
        if not chunk or due > trio.current_time():
            return None
        self._next = None
        return chunk


class _Session:
    """One connection through a link."""

    def __init__(self, link: "Link", client: trio.SocketStream) -> None:
        self._link = link
        self._streams = [client]
        self._scope = trio.CancelScope()
        self._damaged = False
        self._silent: set[proxy_faults.Direction] = set()
        self._ended: set[proxy_faults.Direction] = set()
        self._reset: set[proxy_faults.Direction] = set()
        self.cut_after: dict[proxy_faults.Direction, int | None] = {}

    async def run(self) -> None:
        """Passes bytes both ways until the session ends."""
        try:
            with self._scope:
                await self._pass_both_ways()
        except* trio.ClosedResourceError:
            pass  # it was ended between two steps
        finally:
            self.end()

    def end(self, reset: bool = False) -> None:
        """Closes both sides at once."""
        self._scope.cancel()
        for stream in self._streams:
            if reset and stream.socket.fileno() >= 0:
                stream.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE
                )
            stream.socket.close()

    def healed(self) -> None:
        """Resets the session if bytes or its end were lost.

        One that was silenced stays as it is.
        """
        if self._damaged and not self._silent:
            self.end(reset=True)

    def silence(self, direction: proxy_faults.Direction) -> None:
        """Swallows all that is still sent in a direction, and its end."""
        self._silent.add(direction)

    async def _pass_both_ways(self) -> None:
        client = self._streams[0]
        if not await self._passing(proxy_faults.Direction.TO_TARGET):
            await _swallow(client)
        try:
            target = await trio.open_tcp_stream(
                *addresses.split(self._link.target)
            )
        except OSError:
            self.end(reset=True)
            return
        self._streams.append(target)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(
                self._pump, client, target, proxy_faults.Direction.TO_TARGET
            )
            nursery.start_soon(
                self._pump, target, client, proxy_faults.Direction.FROM_TARGET
            )

    async def _passing(self, direction: proxy_faults.Direction) -> bool:
        """Waits while bytes are held back; returns False if they are lost."""
        passing = await self._link.passing(direction)
        passing = passing and direction not in self._silent
        self._damaged = self._damaged or not passing
        return passing

    async def _pump(
        self,
        source: trio.SocketStream,
        sink: trio.SocketStream,
        direction: proxy_faults.Direction,
    ) -> None:
        """Passes bytes one way; chunks are stamped with their due time."""
        into, out = trio.open_memory_channel[_TimedChunk](DELAYED_CHUNKS)
        async with trio.open_nursery() as nursery:
            due_chunks = _DueChunks(out)
            nursery.start_soon(self._deliver, due_chunks, sink, direction)
            while True:
                chunk: bytes | None
                try:
                    chunk = await source.receive_some(CHUNK_BYTES)
                except trio.BrokenResourceError:
                    chunk = None
                    self._reset.add(direction)
                delay = self._link.delay(direction)
                await into.send((trio.current_time() + delay, chunk))
                if not chunk:
                    self._note_end(direction)
                    return

    def _note_end(self, direction: proxy_faults.Direction) -> None:
        """Ends a silenced session once both of its sides have left it."""
        self._ended.add(direction)
        if self._silent and len(self._ended) == len(self._streams):
            self.end()

    async def _deliver(
        self,
        due_chunks: "_DueChunks",
        sink: trio.SocketStream,
        direction: proxy_faults.Direction,
    ) -> None:
        """Delivers chunks when due; b"" is the end and None a reset."""
        while True:
            chunk = await due_chunks.take()
            held = self._link.holds(direction)
            if not await self._passing(direction):
                continue
            if chunk is None or (held and direction in self._reset):
                self.end(reset=True)
                return
            try:
                await self._send(sink, chunk, direction)
            except trio.BrokenResourceError:
                if await self._passing(_opposite(direction)):
                    self.end(reset=True)
                return
            if not chunk:
                return

    async def _send(
        self,
        sink: trio.SocketStream,
        chunk: bytes,
        direction: proxy_faults.Direction,
    ) -> None:
        if not chunk:
            await sink.send_eof()
        left = memoryview(chunk)
        while left:
            rate = self._link.faults[direction].bytes_per_s
            size = len(left)
            if rate:
                size = min(size, math.ceil(rate / SLICES_PER_S))
                await trio.sleep(size / rate)
            quota = self.cut_after.get(direction)
            part = left[: size if quota is None else min(size, quota)]
            await sink.send_all(part)
            left = left[len(part) :]
            self._link.delivered[direction] += len(part)
            if quota is not None:
                self.cut_after[direction] = quota - len(part)
                if quota == len(part):
                    self.end()
                    await trio.lowlevel.checkpoint_if_cancelled()


class Link:
    """One link: an address that is listened on and where it leads.

    Attributes:
        target: The address that connections are passed to.
        listen: The address that is listened on, with the bound port.
        faults: The fault of each direction.
        delivered: Bytes delivered in each direction.
    """

    def __init__(
        self, name: str, listen: str, target: str, nursery: trio.Nursery
    ) -> None:
        self.target = target
        self.faults = dict.fromkeys(
            proxy_faults.Direction.BOTH.single, proxy_faults.Fault()
        )
        self.delivered = dict.fromkeys(proxy_faults.Direction.BOTH.single, 0)
        self._name = name
        self._nursery = nursery
        self._changed = trio.Event()
        self._sessions: set[_Session] = set()
        self._connections = 0
        self._bind(*addresses.split(listen))
        host, port = self._socket.getsockname()[:2]
        self.listen = addresses.join(host, port)
        self._serve()

    def status(self) -> proxy_faults.LinkStatus:
        """Returns the link's counters."""
        return proxy_faults.LinkStatus(
            self._name,
            self.listen,
            self.target,
            self._connections,
            len(self._sessions),
            self.delivered[proxy_faults.Direction.TO_TARGET],
            self.delivered[proxy_faults.Direction.FROM_TARGET],
        )

    def set_fault(
        self, fault: proxy_faults.Fault, direction: proxy_faults.Direction
    ) -> None:
        """Replaces the fault of one or both directions."""
        was_cut = self._has(proxy_faults.Mode.CUT)
        for single in direction.single:
            self.faults[single] = fault
            for session in self._sessions:
                session.cut_after[single] = fault.cut_after_bytes
        if self._has(proxy_faults.Mode.CUT) and not was_cut:
            self._stop_serving()
        if was_cut and not self._has(proxy_faults.Mode.CUT):
            self._serve()
        self._apply_to_sessions()
        self._changed.set()
        self._changed = trio.Event()

    def silence(self, direction: proxy_faults.Direction) -> None:
        """Silences the connections that are open now, see `Proxy.silence`."""
        for session in self._sessions:
            for single in direction.single:
                session.silence(single)

    def delay(self, direction: proxy_faults.Direction) -> float:
        """Returns the delay of a chunk that comes now, in seconds."""
        fault = self.faults[direction]
        return fault.delay_s + random.uniform(0, fault.jitter_s)

    async def passing(self, direction: proxy_faults.Direction) -> bool:
        """Waits while bytes are held back; returns False if they are lost."""
        while self.holds(direction):
            await self._changed.wait()
        return self.faults[direction].mode is not proxy_faults.Mode.DROP

    def holds(self, direction: proxy_faults.Direction) -> bool:
        """Whether bytes are held back in a direction now."""
        return self.faults[direction].mode is proxy_faults.Mode.HOLD

    def _has(self, mode: proxy_faults.Mode) -> bool:
        return any(fault.mode is mode for fault in self.faults.values())

    def _apply_to_sessions(self) -> None:
        for session in tuple(self._sessions):
            if self._has(proxy_faults.Mode.CUT) or self._has(
                proxy_faults.Mode.RESET
            ):
                session.end(reset=self._has(proxy_faults.Mode.RESET))
            elif not (
                self._has(proxy_faults.Mode.DROP)
                or self._has(proxy_faults.Mode.HOLD)
            ):
                session.healed()

    def _bind(self, host: str, port: int) -> None:
        """Takes the port; without `_serve` connections are refused."""
        family = socket.AF_INET6 if ":" in host else socket.AF_INET
        self._socket = socket.socket(family, socket.SOCK_STREAM)
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._socket.bind((host, port))

    def _serve(self) -> None:
        self._socket.listen()
        own = trio.socket.from_stdlib_socket(self._socket)
        self._listener = trio.SocketListener(own)
        self._nursery.start_soon(self._accept_all, self._listener)

    def _stop_serving(self) -> None:
        """Refuses connections but keeps the port from anyone else."""
        self._listener.socket.close()
        self._bind(*addresses.split(self.listen))

    async def _accept_all(self, listener: trio.SocketListener) -> None:
        with contextlib.suppress(trio.ClosedResourceError), listener.socket:
            while True:
                stream = await listener.accept()
                self._nursery.start_soon(self._run_session, stream)

    async def _run_session(self, stream: trio.SocketStream) -> None:
        session = _Session(self, stream)
        self._connections += 1
        if self._has(proxy_faults.Mode.CUT) or self._has(
            proxy_faults.Mode.RESET
        ):
            session.end(reset=True)
            return
        self._sessions.add(session)
        try:
            await session.run()
        finally:
            self._sessions.discard(session)


async def _swallow(source: trio.SocketStream) -> None:
    """Takes bytes until the session is ended by healing the link."""
    with contextlib.suppress(trio.BrokenResourceError):
        while await source.receive_some(CHUNK_BYTES):
            pass
    await trio.sleep_forever()


def _opposite(direction: proxy_faults.Direction) -> proxy_faults.Direction:
    if direction is proxy_faults.Direction.TO_TARGET:
        return proxy_faults.Direction.FROM_TARGET
    return proxy_faults.Direction.TO_TARGET
