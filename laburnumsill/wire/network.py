"""Connections to all other VMs: one for each pair, carrying everything."""

import dataclasses
import itertools
import typing
from collections import abc

import trio

from laburnumsill.core import clock as clocks
from laburnumsill.core import errors
from laburnumsill.core import logs
from laburnumsill.core import metrics as metrics_module
from laburnumsill.core import replication
from laburnumsill.core import topology
from laburnumsill.wire import addresses as addressing
from laburnumsill.wire import backoff
from laburnumsill.wire import connection as connections
from laburnumsill.wire import failures
from laburnumsill.wire import frames
from laburnumsill.wire import handlers
from laburnumsill.wire import hello
from laburnumsill.wire import peer_link
from laburnumsill.wire import sockets
from laburnumsill.wire.generated.peer import ttypes

TICK_S = 0.2
"""How often all connections are looked at, together to save wake-ups. A silent
one is found so much later than its limit at most."""

LATE_S = 0.5
"""A tick that comes so late says that this process was held up."""

TICKS_A_REPORT = 10
"""The metrics are brought up to date at every so many ticks."""

CONNECTION_WAIT_S = 0.3
"""Longest wait of a call for a connection."""

FIRST_PAUSE_S = 0.05
"""First pause before a VM is dialed again."""

LONGEST_PAUSE_S = 0.4
"""Longest pause before a VM is dialed again. With the wait for a connection,
two VMs see each other 0.9 s after a cut between them has ended."""

STABLE_S = 1.0
"""A connection that lasted so long makes the pauses short again."""

IDLE_S = 3.0
"""A connection that is made on demand is closed after so long without calls."""

YIELD_S = 0.4
"""In an open network the VM with the greater id waits so long before it
dials, so that two VMs that know each other seldom dial at once."""


class PeerNetwork(replication.Peers):
    """Calls, notices and Raft messages between this VM and all others.

    Of each pair the VM with the lower id dials. A connection that is silent
    for longer than `connections.SILENCE_LIMIT_S` is closed and dialed anew;
    when nothing else is sent, keep-alive frames of 5 bytes prevent that.

    In an open network the VMs are not known beforehand: they are added as
    they are learnt of, whoever dials in is welcome, and either end of a pair
    may dial, as maybe only one of them knows the other.

    A VM that dials on demand has a connection while it calls the other end:
    many such VMs hold few connections, and a VM that comes back is not dialed
    by all of them at the same moment.

    Deadlines are monotonic points of the clock that was passed in.
    """

    def __init__(
        self,
        me: topology.Vm,
        addresses: abc.Mapping[str, str],
        clock: clocks.Clock,
        metrics: metrics_module.Metrics,
        is_open: bool = False,
        on_demand: bool = False,
    ) -> None:
        """Makes the network; `run` starts it.

        Args:
            me: This VM; its peer address is listened on.
            addresses: ``host:port`` by VM id, as this VM has to dial it; an
                entry for this VM is not used. Read at each attempt.
            clock: The clock of this process.
            metrics: Takes the counters.
            is_open: Whether VMs may be added later and may dial in unknown.
                A VM without a peer address then only dials.
            on_demand: Whether a VM of an open network is dialed only when
                it is called, and left when it is not any more.

        Raises:
            errors.InvalidConfigurationError: An address is malformed.
        """
        self._me = me
        self._open = is_open
        self._on_demand = on_demand
        self._workers: trio.Nursery | None = None
        self._addresses = dict(addresses) if is_open else addresses
        self._clock = clock
        self._metrics = metrics
        self._handlers = handlers.Handlers(clock)
        self._peers = {
            vm: peer_link.PeerLink() for vm in addresses if vm != me.vm_id
        }
        self._counted = connections.Traffic()
        self._finished = connections.Traffic()
        self._listening_address = me.peer_address
        for address in (me.peer_address, *addresses.values()):
            if address or not is_open:
                addressing.split(address)

    @property
    def listening_address(self) -> str:
        """The address that is listened on, with the port that was bound."""
        return self._listening_address

    @property
    def traffic(self) -> connections.Traffic:
        """What went over all connections since the start."""
        total = self._finished
        for peer in self._peers.values():
            if peer.connection is not None:
                total = _sum(total, peer.connection.traffic)
        return total

    async def run(
        self,
        *,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Listens, keeps the connections and runs handlers until cancelled.

        Raises:
            failures.AddressInUseError: Another process has the address.
            failures.PeerListenError: It cannot be listened on.
        """
        listeners = await self._listen()
        async with trio.open_nursery() as nursery:
            self._workers = nursery
            if listeners:
                nursery.start_soon(self._serve, listeners)
            for vm in list(self._peers):
                self._start_dialing(vm)
            nursery.start_soon(self._keep_ticking)
            task_status.started()

    @property
    def peers(self) -> frozenset[str]:
        """The other VMs that are known, connected or not."""
        return frozenset(self._peers)

    def add_peer(self, vm: str, address: str) -> None:
        """Makes a VM of an open network known; one known already stays.

        Raises:
            errors.InvalidConfigurationError: The address is malformed.
        """
        if vm == self._me.vm_id or vm in self._addresses:
            return
        addressing.split(address)
        self._addresses = {**self._addresses, vm: address}
        self._peers.setdefault(vm, peer_link.PeerLink())
        self._start_dialing(vm)

    def remove_peer(self, vm: str) -> None:
        """Forgets a VM of an open network and closes its connection."""
        peer = self._peers.pop(vm, None)
        self._addresses = {
            other: address
            for other, address in self._addresses.items()
            if other != vm
        }
        if peer is None:
            return
        if peer.dialing is not None:
            peer.dialing.cancel()
        if peer.connection is not None:
            peer.connection.lose(failures.ConnectionLostError("forgotten"))

    async def call(
        self, vm: str, request: object, deadline: float
    ) -> typing.Any:
        """Sends a call, see the base class.

        A call to this VM runs the handler directly. Without a connection a
        call waits for one, for `CONNECTION_WAIT_S` at most.
        """
        if vm == self._me.vm_id:
            return await self._handlers.run(request, deadline)
        connection = await self._connection(vm, deadline)
        return await connection.call(request, deadline)

    def notify(self, vm: str, notice: object) -> None:
        """Sends a notice, see the base class."""
        if vm == self._me.vm_id:
            self._handlers.take_notice(notice)
            return
        peer = self._peers.get(vm)
        if peer is not None and peer.connection is not None:
            _sent_or_reported(vm, peer.connection.notify, notice)

    def send_raft(
        self, vm: str, messages: abc.Sequence[ttypes.RaftMessage]
    ) -> None:
        """Sends Raft messages, which may be lost; never blocks.

        Without a connection they are dropped; beyond a bound on the bytes
        that wait, the oldest are.
        """
        if vm == self._me.vm_id:
            self._handlers.take_raft(messages)
            return
        peer = self._peers.get(vm)
        if peer is not None and peer.connection is not None:
            _sent_or_reported(vm, peer.connection.send_raft, messages)

    def on_call(
        self, request_type: type, handler: replication.AsyncHandler
    ) -> None:
        """Answers calls of `request_type`, see the base class."""
        self._handlers.add_call(request_type, handler)

    def on_notice(
        self, notice_type: type, handler: replication.Handler
    ) -> None:
        """Passes notices of `notice_type` on, see the base class."""
        self._handlers.add_notice(notice_type, handler)

    def on_raft(self, handler: handlers.RaftHandler) -> None:
        """Passes the Raft messages of each frame to `handler`."""
        self._handlers.raft = handler

    def reachable(self) -> frozenset[str]:
        """Returns this VM and those heard from within a second."""
        heard = {
            vm
            for vm, peer in self._peers.items()
            if peer.connection is not None and peer.connection.reachable
        }
        return frozenset(heard | {self._me.vm_id})

    async def _connection(
        self, vm: str, deadline: float
    ) -> connections.Connection:
        """Returns the connection to `vm`, waiting for it a little.

        Raises:
            errors.PeerUnreachableError: There is none.
        """
        peer = self._peers.get(vm)
        if peer is None:
            raise errors.PeerUnreachableError(f"no address for {vm!r}", vm=vm)
        remaining = deadline - self._clock.monotonic()
        if peer.connection is None:
            peer.want()
            wait = min(remaining, CONNECTION_WAIT_S)
            with trio.move_on_after(max(0.0, wait)):
                await peer.connected.wait()
        if peer.connection is None:
            raise errors.PeerUnreachableError(f"no connection to {vm}", vm=vm)
        if not peer.connection.reachable:
            raise errors.PeerUnreachableError(f"{vm} is silent", vm=vm)
        if remaining <= 0:
            raise errors.PeerUnreachableError(f"no time left for {vm}", vm=vm)
        return peer.connection

    async def _listen(self) -> list[trio.SocketListener]:
        """Listens, unless this VM of an open network only dials."""
        if not self._me.peer_address and self._open:
            return []
        listeners = await sockets.listen(self._me.peer_address)
        self._listening_address = sockets.local_address(listeners[0])
        return listeners

    def _start_dialing(self, vm: str) -> None:
        """Starts to dial a VM that this one may dial, once `run` runs."""
        peer = self._peers[vm]
        dials = self._open or self._me.vm_id < vm
        if self._workers is None or not dials or peer.dialing is not None:
            return
        if vm in self._addresses:
            peer.dialing = trio.CancelScope()
            self._workers.start_soon(self._keep_dialing, vm, peer)

    async def _serve(self, listeners: list[trio.SocketListener]) -> None:
        await trio.serve_listeners(self._accept, listeners)

    async def _keep_ticking(self) -> None:
        for number in itertools.count():
            due = self._clock.monotonic() + TICK_S
            await trio.sleep(TICK_S)
            late = self._clock.monotonic() - due > LATE_S
            for peer in list(self._peers.values()):
                if peer.connection is not None:
                    self._tick(peer.connection, late)
            if number % TICKS_A_REPORT == 0:
                self._publish()

    def _tick(self, connection: connections.Connection, late: bool) -> None:
        if self._on_demand and connection.idle_s > IDLE_S:
            connection.lose(failures.ConnectionIdleError("not in use"))
        else:
            connection.tick(late)

    async def _keep_dialing(self, vm: str, peer: peer_link.PeerLink) -> None:
        """Keeps a connection to `vm` until it is forgotten."""
        with peer.dialing or trio.CancelScope():
            await self._dial_again_and_again(vm, peer)

    async def _dial_again_and_again(
        self, vm: str, peer: peer_link.PeerLink
    ) -> None:
        pauses = backoff.Backoff(FIRST_PAUSE_S, LONGEST_PAUSE_S)
        reported = ""
        while True:
            await self._until_needed(vm, peer)
            started = self._clock.monotonic()
            try:
                await self._dial(vm)
                reported = ""
            except failures.WireError as error:
                if type(error).__name__ != reported:
                    _report("peer-dial-failed", vm, error)
                reported = type(error).__name__
            if self._clock.monotonic() - started > STABLE_S and not reported:
                pauses.reset()
            await trio.sleep(pauses.next())

    async def _until_needed(self, vm: str, peer: peer_link.PeerLink) -> None:
        """Waits while the other end of an open network's pair has dialed."""
        if not self._open:
            return
        await peer.detached.wait()
        if self._on_demand:
            await peer.until_wanted()
        if vm < self._me.vm_id and self._me.peer_address:
            await trio.sleep(YIELD_S)
            await peer.detached.wait()

    async def _dial(self, vm: str) -> None:
        """Dials `vm` once and runs the connection until it is lost.

        Raises:
            failures.WireError: No connection came about.
        """
        stream = await sockets.connect(self._addresses[vm])
        try:
            reader = frames.FrameReader(stream, self._clock)
            with hello.time_limit():
                await hello.send(stream, self._me.vm_id)
                name = await hello.receive(reader)
            if name != vm:
                raise failures.HelloRefusedError(
                    f"{self._addresses[vm]} is {name!r}, not {vm!r}"
                )
            await self._run_connection(vm, stream, reader, dialed=True)
        finally:
            await trio.aclose_forcefully(stream)

    async def _accept(self, stream: trio.SocketStream) -> None:
        """Runs a connection that another VM dialed."""
        try:
            reader = frames.FrameReader(stream, self._clock)
            with hello.time_limit():
                name = await hello.receive(reader)
                self._check_dialer(name)
                await hello.send(stream, self._me.vm_id)
            await self._run_connection(name, stream, reader, dialed=False)
        except failures.WireError as error:
            _report("peer-refused", sockets.remote_address(stream), error)
        finally:
            await trio.aclose_forcefully(stream)

    def _check_dialer(self, name: str) -> None:
        if self._open and name and name != self._me.vm_id:
            self._peers.setdefault(name, peer_link.PeerLink())
            return
        if name not in self._peers or name >= self._me.vm_id:
            raise failures.HelloRefusedError(
                f"{name!r} must not dial {self._me.vm_id!r}"
            )

    async def _run_connection(
        self,
        vm: str,
        stream: trio.SocketStream,
        reader: frames.FrameReader,
        dialed: bool,
    ) -> None:
        peer = self._peers.get(vm)
        if peer is None or self._workers is None:  # forgotten meanwhile
            return
        connection = connections.Connection(
            vm,
            stream,
            reader,
            self._handlers,
            self._clock,
            self._workers,
            dialed=dialed,
        )
        peer.attach(connection)
        logs.event("peer-connected", peer=vm)
        self._metrics.count("peer_connections_total")
        try:
            reason = await connection.run()
        finally:
            peer.detach(connection)
            self._finished = _sum(self._finished, connection.traffic)
            if peer.connection is None and vm not in self._addresses:
                self._peers.pop(vm, None)
        if isinstance(reason, failures.ConnectionIdleError):
            logs.event("peer-left", peer=vm)
        else:
            _report("peer-lost", vm, reason)

    def _publish(self) -> None:
        """Adds what went over the connections since the last time."""
        total = self.traffic
        for field in dataclasses.fields(connections.Traffic):
            grown = getattr(total, field.name) - getattr(
                self._counted, field.name
            )
            if grown:
                self._metrics.count(f"peer_{field.name}_total", grown)
        self._counted = total
        self._metrics.gauge("peers_reachable", len(self.reachable()))


def _sum(
    one: connections.Traffic, other: connections.Traffic
) -> connections.Traffic:
    fields = dataclasses.fields(connections.Traffic)
    return connections.Traffic(
        *(getattr(one, f.name) + getattr(other, f.name) for f in fields)
    )


def _sent_or_reported(
    vm: str, send: abc.Callable[[typing.Any], None], message: typing.Any
) -> None:
    try:
        send(message)
    except failures.FrameTooLargeError as error:
        _report("peer-message-dropped", vm, error)


def _report(name: str, vm: str, error: errors.LaburnumsillError) -> None:
    logs.event(name, "WARNING", peer=vm, reason=error.slug, detail=error.detail)
