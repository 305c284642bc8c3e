"""The network of VMs, with one connection for each pair of them."""

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
from laburnumsill.core import turns
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
"""Interval at which all connections are checked, together to save wake-ups. It
delays the detection of a silent connection by up to this time."""

STALL_S = 0.5
"""A tick that is later than this shows that this process was stalled."""

TICKS_PER_REPORT = 10
"""Number of ticks between updates of the metrics."""

CONNECTION_WAIT_S = 0.3
"""Timeout of a call that waits for a connection."""

INITIAL_BACKOFF_S = 0.05
"""Initial backoff before a VM is dialed again."""

MAX_BACKOFF_S = 0.4
"""Maximum backoff before a VM is dialed again. With `sockets.CONNECT_TIMEOUT_S`
two VMs are connected again 0.9 s after a network cut between them has ended."""

BACKOFF_RESET_S = 1.0
"""A connection that lasted this long resets the backoff."""

IDLE_S = 3.0
"""An on-demand connection is closed after this time without calls."""

DIAL_DELAY_S = 0.4
"""Delay before the VM with the greater id dials in an open network, so that
two VMs that know each other rarely dial at once."""


class PeerNetwork(replication.Peers):
    """Calls, notices and Raft messages between this VM and all others.

    The VM with the lower id of each pair dials. A connection on which nothing
    was received for `connections.SILENCE_TIMEOUT_S` is closed and dialed again.
    Keep-alive frames of 5 bytes prevent this on an idle connection.

    In an open network the VMs are not known in advance. They are added when
    they are discovered, unknown VMs may dial in, and either end of a pair may
    dial, since possibly only one of them knows the other.

    A VM that dials on demand is connected only while it makes calls. Many
    such VMs need few connections, and a VM that recovers is not dialed by all
    of them at once.

    Deadlines are monotonic times of the given clock.
    """

    def __init__(
        self,
        local_vm: topology.Vm,
        addresses: abc.Mapping[str, str],
        clock: clocks.Clock,
        metrics: metrics_module.Metrics,
        is_open: bool = False,
        on_demand: bool = False,
    ) -> None:
        """Creates the network; `run` starts it.

        Args:
            local_vm: This VM, which listens on its peer address.
            addresses: The ``host:port`` to dial, by VM id. It is read at each
                attempt; an entry for this VM is ignored.
            clock: The clock of this process.
            metrics: Receives the counters.
            is_open: Whether VMs may be added later and unknown VMs may dial
                in. A VM without a peer address then only dials.
            on_demand: Whether a VM of an open network is dialed only for a
                call, and disconnected after `IDLE_S` without calls.

        Raises:
            errors.InvalidConfigurationError: An address is malformed.
        """
        self._local_vm = local_vm
        self._is_open = is_open
        self._on_demand = on_demand
        self._nursery: trio.Nursery | None = None
        self._addresses = dict(addresses) if is_open else addresses
        self._clock = clock
        self._metrics = metrics
        self._handlers = handlers.Handlers(clock)
        self._peers = {
            vm: peer_link.PeerLink() for vm in addresses if vm != local_vm.vm_id
        }
        self._reported_traffic = connections.Traffic()
        self._closed_traffic = connections.Traffic()
        self._longest_late_s = 0.0
        self._listening_address = local_vm.peer_address
        for address in (local_vm.peer_address, *addresses.values()):
            if address or not is_open:
                addressing.split(address)

    @property
    def listening_address(self) -> str:
        """The address that this VM listens on, with the actual port."""
        return self._listening_address

    @property
    def traffic(self) -> connections.Traffic:
        """The counters of all connections since the start."""
        total = self._closed_traffic
        for peer in self._peers.values():
            if peer.connection is not None:
                total = _sum(total, peer.connection.traffic)
        return total

    async def run(
        self,
        *,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Listens, maintains connections and runs handlers until cancelled.

        Raises:
            failures.AddressInUseError: Another process has the address.
            failures.PeerListenError: Listening failed for another reason.
        """
        listeners = await self._listen()
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            if listeners:
                nursery.start_soon(self._serve, listeners)
            for vm in list(self._peers):
                self._start_dialing(vm)
            nursery.start_soon(self._run_ticks)
            task_status.started()

    @property
    def peers(self) -> frozenset[str]:
        """The ids of all known other VMs, connected or not."""
        return frozenset(self._peers)

    def add_peer(self, vm: str, address: str) -> None:
        """Adds a VM of an open network, unless its address is known.

        Raises:
            errors.InvalidConfigurationError: The address is malformed.
        """
        if vm == self._local_vm.vm_id or vm in self._addresses:
            return
        addressing.split(address)
        self._addresses = {**self._addresses, vm: address}
        self._peers.setdefault(vm, peer_link.PeerLink())
        self._start_dialing(vm)

    def remove_peer(self, vm: str) -> None:
        """Removes a VM of an open network and closes its connection."""
        peer = self._peers.pop(vm, None)
        self._addresses = {
            other: address
            for other, address in self._addresses.items()
            if other != vm
        }
        if peer is None:
            return
        if peer.dial_scope is not None:
            peer.dial_scope.cancel()
        if peer.connection is not None:
            peer.connection.close(failures.ConnectionLostError("forgotten"))

    async def call(
        self, vm: str, request: object, deadline: float
    ) -> typing.Any:
        """Sends a call, see the base class.

        A call to this VM runs the handler directly. Without a connection, a
        call waits for one for up to `CONNECTION_WAIT_S`.
        """
        if vm == self._local_vm.vm_id:
            return await self._handlers.run(request, deadline)
        connection = await self._connection(vm, deadline)
        return await connection.call(request, deadline)

    def notify(self, vm: str, notice: object) -> None:
        """Sends a notice, see the base class."""
        if vm == self._local_vm.vm_id:
            self._handlers.handle_notice(notice)
            return
        peer = self._peers.get(vm)
        if peer is not None and peer.connection is not None:
            _send_or_report(vm, peer.connection.notify, notice)

    def send_raft(
        self, vm: str, messages: abc.Sequence[ttypes.RaftMessage]
    ) -> None:
        """Sends Raft messages, which may be lost; never blocks.

        Without a connection they are dropped; if their queue is full, the
        oldest are dropped.
        """
        if vm == self._local_vm.vm_id:
            self._handlers.handle_raft(messages)
            return
        peer = self._peers.get(vm)
        if peer is not None and peer.connection is not None:
            _send_or_report(vm, peer.connection.send_raft, messages)

    def on_call(
        self, request_type: type, handler: replication.AsyncHandler
    ) -> None:
        """Registers the handler of `request_type`, see the base class."""
        self._handlers.add_call(request_type, handler)

    def on_notice(
        self, notice_type: type, handler: replication.Handler
    ) -> None:
        """Registers the handler of `notice_type`, see the base class."""
        self._handlers.add_notice(notice_type, handler)

    def on_raft(self, handler: handlers.RaftHandler) -> None:
        """Registers the handler of the Raft messages of a frame."""
        self._handlers.raft = handler

    def reachable(self) -> frozenset[str]:
        """Returns this VM and all reachable VMs, see the base class."""
        in_contact = {
            vm
            for vm, peer in self._peers.items()
            if peer.connection is not None and peer.connection.reachable
        }
        return frozenset(in_contact | {self._local_vm.vm_id})

    async def _connection(
        self, vm: str, deadline: float
    ) -> connections.Connection:
        """Returns the connection to `vm`, for which it may wait.

        Raises:
            errors.PeerUnreachableError: There is no live connection, or the
                deadline has passed.
        """
        peer = self._peers.get(vm)
        if peer is None:
            raise errors.PeerUnreachableError(f"no address for {vm!r}", vm=vm)
        remaining = deadline - self._clock.monotonic()
        if peer.connection is None:
            peer.request_connection()
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
        """Returns listeners, none if this VM of an open network only dials."""
        if not self._local_vm.peer_address and self._is_open:
            return []
        listeners = await sockets.listen(self._local_vm.peer_address)
        self._listening_address = sockets.local_address(listeners[0])
        return listeners

    def _start_dialing(self, vm: str) -> None:
        """Starts dialing `vm` if `run` has started and this VM may dial it."""
        peer = self._peers[vm]
        dials = self._is_open or self._local_vm.vm_id < vm
        if self._nursery is None or not dials or peer.dial_scope is not None:
            return
        if vm in self._addresses:
            peer.dial_scope = trio.CancelScope()
            self._nursery.start_soon(self._run_dialer, vm, peer)

    async def _serve(self, listeners: list[trio.SocketListener]) -> None:
        await trio.serve_listeners(self._accept, listeners)

    async def _run_ticks(self) -> None:
        for number in itertools.count():
            due_at = self._clock.monotonic() + TICK_S
            await trio.sleep(TICK_S)
            late_s = self._clock.monotonic() - due_at
            stalled = late_s > STALL_S
            if stalled:
                logs.event("loop-late", "WARNING", late_s=late_s)
            self._longest_late_s = max(self._longest_late_s, late_s)
            await turns.run_readers()
            for peer in list(self._peers.values()):
                if peer.connection is not None:
                    self._tick(peer.connection, stalled)
            if number % TICKS_PER_REPORT == 0:
                self._publish()

    def _tick(self, connection: connections.Connection, stalled: bool) -> None:
        if self._on_demand and connection.idle_s > IDLE_S:
            connection.close(failures.ConnectionIdleError("not in use"))
        else:
            connection.tick(stalled)

    async def _run_dialer(self, vm: str, peer: peer_link.PeerLink) -> None:
        """Maintains a connection to `vm` until the VM is removed."""
        with peer.dial_scope or trio.CancelScope():
            await self._dial_repeatedly(vm, peer)

    async def _dial_repeatedly(self, vm: str, peer: peer_link.PeerLink) -> None:
        delays = backoff.Backoff(INITIAL_BACKOFF_S, MAX_BACKOFF_S)
        reported = ""
        while True:
            await self._wait_until_needed(vm, peer)
            started = self._clock.monotonic()
            try:
                await self._dial(vm)
                reported = ""
            except failures.WireError as error:
                if type(error).__name__ != reported:
                    _report("peer-dial-failed", vm, error)
                reported = type(error).__name__
            if (
                self._clock.monotonic() - started > BACKOFF_RESET_S
                and not reported
            ):
                delays.reset()
            await trio.sleep(delays.next())

    async def _wait_until_needed(
        self, vm: str, peer: peer_link.PeerLink
    ) -> None:
        """Waits until `vm` is to be dialed by this VM in an open network."""
        if not self._is_open:
            return
        await peer.disconnected.wait()
        if self._on_demand:
            await peer.wait_for_request()
        if vm < self._local_vm.vm_id and self._local_vm.peer_address:
            await trio.sleep(DIAL_DELAY_S)
            await peer.disconnected.wait()

    async def _dial(self, vm: str) -> None:
        """Dials `vm` once and runs the connection until it is lost.

        Raises:
            failures.WireError: The connection could not be established.
        """
        stream = await sockets.connect(self._addresses[vm])
        try:
            reader = frames.FrameReader(stream, self._clock)
            with hello.time_limit():
                await hello.send(stream, self._local_vm.vm_id)
                name = await hello.receive(reader)
            if name != vm:
                raise failures.HelloRefusedError(
                    f"{self._addresses[vm]} is {name!r}, not {vm!r}"
                )
            await self._run_connection(vm, stream, reader, dialed=True)
        finally:
            await trio.aclose_forcefully(stream)

    async def _accept(self, stream: trio.SocketStream) -> None:
        """Accepts a connection that another VM dialed, and runs it."""
        try:
            reader = frames.FrameReader(stream, self._clock)
            with hello.time_limit():
                name = await hello.receive(reader)
                self._check_dialer(name)
                await hello.send(stream, self._local_vm.vm_id)
            await self._run_connection(name, stream, reader, dialed=False)
        except failures.WireError as error:
            _report("peer-refused", sockets.remote_address(stream), error)
        finally:
            await trio.aclose_forcefully(stream)

    def _check_dialer(self, name: str) -> None:
        if self._is_open and name and name != self._local_vm.vm_id:
            self._peers.setdefault(name, peer_link.PeerLink())
            return
        if name not in self._peers or name >= self._local_vm.vm_id:
            raise failures.HelloRefusedError(
                f"{name!r} must not dial {self._local_vm.vm_id!r}"
            )

    async def _run_connection(
        self,
        vm: str,
        stream: trio.SocketStream,
        reader: frames.FrameReader,
        dialed: bool,
    ) -> None:
        peer = self._peers.get(vm)
        if peer is None or self._nursery is None:  # the VM was removed
            return
        connection = connections.Connection(
            vm,
            stream,
            reader,
            self._handlers,
            self._clock,
            self._nursery,
            dialed=dialed,
        )
        peer.attach(connection)
        logs.event("peer-connected", peer=vm)
        self._metrics.count("peer_connections_total")
        try:
            reason = await connection.run()
        finally:
            peer.detach(connection)
            self._closed_traffic = _sum(
                self._closed_traffic, connection.traffic
            )
            if peer.connection is None and vm not in self._addresses:
                self._peers.pop(vm, None)
        if isinstance(reason, failures.ConnectionIdleError):
            logs.event("peer-left", peer=vm)
        else:
            _report("peer-lost", vm, reason)

    def _publish(self) -> None:
        """Adds the traffic since the last update to the metrics."""
        total = self.traffic
        for field in dataclasses.fields(connections.Traffic):
            increase = getattr(total, field.name) - getattr(
                self._reported_traffic, field.name
            )
            if increase:
                self._metrics.count(f"peer_{field.name}_total", increase)
        self._reported_traffic = total
        self._metrics.gauge("loop_late_seconds", self._longest_late_s)
        self._longest_late_s = 0.0
        self._metrics.gauge("peers_reachable", len(self.reachable()))


def _sum(
    one: connections.Traffic, other: connections.Traffic
) -> connections.Traffic:
    fields = dataclasses.fields(connections.Traffic)
    return connections.Traffic(
        *(getattr(one, f.name) + getattr(other, f.name) for f in fields)
    )


def _send_or_report(
    vm: str, send: abc.Callable[[typing.Any], None], message: typing.Any
) -> None:
    try:
        send(message)
    except failures.FrameTooLargeError as error:
        _report("peer-message-dropped", vm, error)


def _report(name: str, vm: str, error: errors.LaburnumsillError) -> None:
    logs.event(name, "WARNING", peer=vm, reason=error.slug, detail=error.detail)
