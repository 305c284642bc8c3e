"""Cluster of member tables on an in-memory network in virtual time."""

import collections
import random
import typing
from collections import abc

from laburnumsill.config import current as current_module
from laburnumsill.config import models
from laburnumsill.core import clock as clocks
from laburnumsill.core import codec
from laburnumsill.core import errors
from laburnumsill.core import members
from laburnumsill.core import metrics
from laburnumsill.core import replication
from laburnumsill.core import topology
from laburnumsill.members import intake
from laburnumsill.members import table
from laburnumsill.members import timing

STEP_S = 0.05
LATENCY_S = 0.002
SERVICE = "tee"
VM_BACKOFF_S = 30.0
"""Time for which a member avoids a VM that did not answer."""


def run_sync(coroutine: abc.Coroutine[typing.Any, typing.Any, typing.Any]):
    """Runs a coroutine that must not suspend and returns its result."""
    try:
        coroutine.send(None)
    except StopIteration as end:
        return end.value
    raise AssertionError("the coroutine suspended")


class MemoryPeers(replication.Peers):
    def __init__(self, cluster: "Cluster", local_vm: str) -> None:
        self.cluster = cluster
        self.local_vm = local_vm
        self.handlers: dict[type, replication.Handler] = {}
        self.last_contact_at: dict[str, float] = {}

    async def call(
        self, vm: str, request: object, deadline: float
    ) -> typing.Any:
        raise NotImplementedError

    def notify(self, vm: str, notice: object) -> None:
        self.cluster.send(self.local_vm, vm, notice)

    def on_call(
        self, request_type: type, handler: replication.AsyncHandler
    ) -> None:
        raise NotImplementedError

    def on_notice(
        self, notice_type: type, handler: replication.Handler
    ) -> None:
        self.handlers[notice_type] = handler

    def reachable(self) -> frozenset[str]:
        now = self.cluster.clock.monotonic()
        limit = now - timing.PEER_TIMEOUT_S
        found = {vm for vm, at in self.last_contact_at.items() if at >= limit}
        return frozenset(found | {self.local_vm})


class Cluster:
    """`domains` x `per_domain` VMs; each `step` ticks all tables once.

    Attributes:
        cuts: Pairs of VMs between which notices are lost.
        dead: VMs that are down.
        frozen: VMs whose process is suspended; notices wait for them.
        loss: Probability that a notice is lost.
        repeat: Probability that a notice is sent twice.
        delay_s: Maximum latency of a notice.
        sent: Number of sent notices by class name.
        sent_bytes: Sent bytes by VM.
        changes: Type and server id of the changes that each table reported.
    """

    def __init__(
        self,
        domains: int = 3,
        per_domain: int = 3,
        configuration: models.Configuration | None = None,
        seed: int = 1,
    ) -> None:
        self.clock = clocks.ManualClock(1000.0)
        self.random = random.Random(seed)
        self.vms = [
            topology.Vm(f"vm{d}{n}", f"d{d}", "", "", False)
            for d in range(domains)
            for n in range(per_domain)
        ]
        self.current = current_module.Current()
        if configuration is not None:
            self.current.put(current_module.Versioned(1, "", configuration))
        self.cuts: set[frozenset[str]] = set()
        self.dead: set[str] = set()
        self.frozen: set[str] = set()
        self.loss = 0.0
        self.repeat = 0.0
        self.delay_s = LATENCY_S
        self.sent: collections.Counter[str] = collections.Counter()
        self.sent_bytes: collections.Counter[str] = collections.Counter()
        self.queue: list[tuple[float, str, str, bytes]] = []
        self.peers: dict[str, MemoryPeers] = {}
        self.tables: dict[str, table.MemberTable] = {}
        self.changes: dict[str, list[tuple[str, str]]] = {}
        self.members: list[AnnouncingMember] = []
        for vm in self.vms:
            self.start(vm.vm_id)
        self.run(0.3)

    def vm(self, vm_id: str) -> topology.Vm:
        return next(vm for vm in self.vms if vm.vm_id == vm_id)

    def start(self, vm_id: str) -> None:
        """Starts a VM, or restarts it with an empty table."""
        self.dead.discard(vm_id)
        self.frozen.discard(vm_id)
        self.peers[vm_id] = MemoryPeers(self, vm_id)
        self.tables[vm_id] = table.MemberTable(
            self.vm(vm_id),
            self.vms,
            self.peers[vm_id],
            self.current,
            self.clock,
            metrics.Metrics(),
        )
        seen = self.changes[vm_id] = []
        self.tables[vm_id].observe(
            lambda change: seen.append(
                (change.what.value, getattr(change.member, "server_id", "-"))
            )
        )

    def kill(self, vm_id: str) -> None:
        self.dead.add(vm_id)

    def cut(self, one: str, other: str) -> None:
        self.cuts.add(frozenset((one, other)))

    def isolate(self, domain: str) -> None:
        for vm in self.vms:
            for other in self.vms:
                if (vm.domain == domain) != (other.domain == domain):
                    self.cut(vm.vm_id, other.vm_id)

    def connected(self, one: str, other: str) -> bool:
        return frozenset((one, other)) not in self.cuts

    def alive(self) -> list[str]:
        down = self.dead | self.frozen
        return [vm.vm_id for vm in self.vms if vm.vm_id not in down]

    def send(self, source: str, target: str, notice: object) -> None:
        raw = codec.encode(notice)
        self.sent[type(notice).__name__] += 1
        self.sent_bytes[source] += len(raw)
        copies = 1 + (self.random.random() < self.repeat)
        for _ in range(copies):
            if self.random.random() >= self.loss:
                arrives_at = self.clock.monotonic() + self.random.uniform(
                    LATENCY_S, max(LATENCY_S, self.delay_s)
                )
                self.queue.append((arrives_at, source, target, raw))

    def step(self) -> None:
        self.clock.advance(STEP_S)
        now = self.clock.monotonic()
        for vm in self.alive():
            for other in self.alive():
                if self.connected(vm, other):
                    self.peers[vm].last_contact_at[other] = now
        self._deliver(now)
        for member in self.members:
            member.step()
        for vm in self.alive():
            self.tables[vm].tick()
        # Deliver notices of this tick that arrive before the next one.
        self._deliver(now + LATENCY_S)

    def run(self, seconds: float) -> None:
        for _ in range(round(seconds / STEP_S)):
            self.step()

    def servers(self, vm: str) -> set[str]:
        return {s.server_id for s in self.tables[vm].servers(SERVICE)}

    def workers(self, vm: str, domain: str) -> set[str]:
        return {w.worker_id for w in self.tables[vm].workers(domain)}

    def _deliver(self, now: float) -> None:
        while True:
            due = [item for item in self.queue if item[0] <= now]
            if not due:
                return
            self.queue = [item for item in self.queue if item[0] > now]
            due.sort()
            for item in due:
                _, source, target, raw = item
                if target in self.dead or not self.connected(source, target):
                    continue
                if target in self.frozen:
                    self.queue.append((now + STEP_S, source, target, raw))
                    continue
                notice = codec.decode(raw)
                handler = self.peers[target].handlers[type(notice)]
                handler(notice)


class AnnouncingMember:
    """A member that announces itself at the requested times.

    After a failure it continues with the next VM; a sticky member keeps to a
    VM that answers, any other uses the VMs in round-robin order.

    Attributes:
        alive: Whether the member announces itself.
        vms: The VMs to which it announces itself.
        leaving: Value of `leaving` in its announcements.
        busy: Value of `busy` in its announcements.
        wait_s: Duration of a failed announcement to a VM that is down.
        silent_since: Time of its last announcement, as recorded by a test.
    """

    def __init__(
        self,
        cluster: Cluster,
        kind: str,
        member_id: str,
        domain: str,
        vms: abc.Sequence[str] = (),
        sticky: bool = True,
    ) -> None:
        self.cluster = cluster
        self.kind = kind
        self.member_id = member_id
        self.domain = domain
        self.vms = list(vms) or [vm.vm_id for vm in cluster.vms]
        self.alive = True
        self.leaving = False
        self.busy = 0
        self.wait_s = 0.4
        self.silent_since = 0.0
        self.incarnation = "00000001"
        self.sequence = 0
        self._sticky = sticky
        self._turn = cluster.random.randrange(len(self.vms))
        self._next_at = 0.0
        self._avoided_until: dict[str, float] = {}
        cluster.members.append(self)

    def stop(self) -> None:
        self.alive = False

    def announce_soon(self) -> None:
        self._next_at = 0.0

    def report(self) -> members.BackendServer | members.Worker:
        if self.kind == "worker":
            return members.Worker(
                self.member_id,
                self.domain,
                "r1",
                "10.0.0.1:80",
                self.incarnation,
                self.sequence,
                128,
                512,
                8,
                self.leaving,
            )
        return members.BackendServer(
            self.member_id,
            SERVICE,
            self.domain,
            "10.0.0.2:80",
            self.incarnation,
            self.sequence,
            8,
            64,
            self.busy,
            self.leaving,
        )

    def step(self) -> None:
        now = self.cluster.clock.wall()
        if not self.alive or now < self._next_at:
            return
        while self._avoided_until.get(vm := self._vm(), 0.0) > now:
            self._turn += 1
        answer = self.announce(vm)
        if answer is None:
            self._turn += 1
            if vm in self.cluster.alive():
                self._next_at = now + STEP_S
            else:
                # The load balancer removes the VM for some time.
                self._avoided_until[vm] = now + VM_BACKOFF_S
                self._next_at = now + self.wait_s
            if all(
                self._avoided_until.get(each, 0.0) > now for each in self.vms
            ):
                self._avoided_until.clear()
        else:
            self._turn += 0 if self._sticky else 1
            self._next_at = answer.next_announce_at

    def _vm(self) -> str:
        return self.vms[self._turn % len(self.vms)]

    def announce(self, vm: str) -> intake.AnnouncementResult | None:
        if vm not in self.cluster.alive():
            return None
        self.sequence += 1
        table_of_vm = self.cluster.tables[vm]
        send = (
            table_of_vm.announce_worker
            if self.kind == "worker"
            else table_of_vm.announce_server
        )
        try:
            return run_sync(send(self.report()))
        except errors.UnavailableError:
            return None
