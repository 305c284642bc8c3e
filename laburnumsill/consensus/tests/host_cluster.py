"""A cluster of VMs on loopback TCP in one process, for tests of the host."""

import dataclasses
import os
import pathlib

import pytest
import trio

from laburnumsill.consensus import engine
from laburnumsill.consensus import host
from laburnumsill.core import clock as clocks
from laburnumsill.core import codec
from laburnumsill.core import errors
from laburnumsill.core import metrics
from laburnumsill.core import replication
from laburnumsill.core import topology
from laburnumsill.testing import ports
from laburnumsill.wire import network

OPTIONS = engine.Options(election_timeout_s=0.3, heartbeat_s=0.06)
CLOCK = clocks.SystemClock()
ROOT = "root"


@codec.register("test.add")
@dataclasses.dataclass(frozen=True, slots=True)
class Add:
    key: str


@codec.register("test.count")
@dataclasses.dataclass(frozen=True, slots=True)
class Count:
    pass


@codec.register("test.total")
@dataclasses.dataclass(frozen=True, slots=True)
class Total:
    keys: list[str]


class Keys(replication.Component):
    """A set of keys; the key "bad" is refused."""

    name = "keys"

    def __init__(self) -> None:
        self._keys: dict[str, None] = {}
        self.loads = 0

    def commands(self):
        return {Add: self._add}

    def queries(self):
        return {Count: lambda _: self.total()}

    def total(self):
        return Total(list(self._keys))

    def dump(self):
        return codec.encode(self.total())

    def load(self, raw):
        self.loads += 1
        self._keys = dict.fromkeys(codec.decode(raw).keys)

    def _add(self, command):
        if command.key == "bad":
            raise errors.ConflictError("bad key", key="bad")
        self._keys[command.key] = None
        return Total([command.key])


def default_deadline() -> float:
    return CLOCK.monotonic() + 5


def _leaves(group: BaseExceptionGroup) -> list[Exception]:
    leaves = []
    for error in group.exceptions:
        if isinstance(error, BaseExceptionGroup):
            leaves += _leaves(error)
        else:
            leaves.append(error)
    return leaves


def skip_syncs(monkeypatch: pytest.MonkeyPatch) -> None:
    """Replaces disk syncs by no-ops.

    The time limits of the tests cover only the delays of the product. A real
    sync takes up to a second while other processes write to the disk, and the
    tests that use this function simulate no power loss.
    """
    for name in ("fsync", "fdatasync"):
        monkeypatch.setattr(os, name, lambda _: None)


class Node:
    """One VM, whose network and host are started and stopped together."""

    def __init__(self, cluster: "Cluster", vm: topology.Vm) -> None:
        self.cluster = cluster
        self.vm = vm
        self.folder = cluster.folder / vm.vm_id if vm.has_disk else None
        self.scope = trio.CancelScope()
        self.stopped = trio.Event()
        self.host: host.GroupHost
        self.failures: list[Exception] = []

    async def run(self, task_status=trio.TASK_STATUS_IGNORED):
        addresses = {vm.vm_id: vm.peer_address for vm in self.cluster.vms}
        measured = metrics.Metrics()
        peers = network.PeerNetwork(self.vm, addresses, CLOCK, measured)
        self.host = host.GroupHost(
            self.vm,
            self.cluster.vms,
            peers,
            lambda _: replication.StateMachine(Keys()),
            self.folder,
            CLOCK,
            measured,
            OPTIONS,
            self.cluster.limits,
        )
        self.scope = trio.CancelScope()
        self.stopped = trio.Event()
        try:
            with self.scope:
                async with trio.open_nursery() as nursery:
                    await nursery.start(peers.run)
                    await nursery.start(self.host.run)
                    task_status.started()
        except* errors.StorageError as group:
            self.failures += _leaves(group)
        finally:
            self.stopped.set()

    async def stop(self) -> None:
        self.scope.cancel()
        await self.stopped.wait()

    def incarnation(self, group: str = ROOT) -> str:
        return self.status(group).incarnation

    def status(self, group: str = ROOT) -> host.GroupStatus:
        statuses = {status.group: status for status in self.host.status()}
        return statuses[group]

    def component(self, group: str = ROOT) -> Keys:
        return self.host.local_state_machine(group).component("keys")

    def keys(self, group: str = ROOT) -> list[str]:
        return self.component(group).total().keys


class Cluster:
    """The VMs of one process, spread over three failure domains."""

    def __init__(
        self,
        folder: pathlib.Path,
        nursery: trio.Nursery,
        disks: str,
        limits: host.SnapshotLimits,
    ) -> None:
        self.folder = folder
        self.nursery = nursery
        self.limits = limits
        taken = ports.free_ports(len(disks))
        self.vms = [
            topology.Vm(
                f"vm{index}",
                f"d{index % 3}",
                "",
                f"127.0.0.1:{port}",
                disks[index] == "D",
            )
            for index, port in enumerate(taken)
        ]
        self.nodes = [Node(self, vm) for vm in self.vms]

    async def start(self, *indexes: int) -> None:
        for index in indexes or range(len(self.nodes)):
            await self.nursery.start(self.nodes[index].run)

    async def wait_until(self, condition, within: float = 10.0) -> None:
        with trio.fail_after(within):
            while not condition():  # noqa: ASYNC110
                await trio.sleep(0.02)

    def leader(self, group: str = ROOT) -> Node | None:
        return next(
            (
                node
                for node in self.nodes
                if not node.stopped.is_set()
                and hasattr(node, "host")
                and node.host.leads(group)
            ),
            None,
        )

    async def add(self, index: int, *keys: str, within: float = 10.0) -> None:
        for key in keys:
            await self.nodes[index].host.propose(
                ROOT, Add(key), CLOCK.monotonic() + within
            )

    async def read_keys(self, index: int, within: float = 10.0) -> list[str]:
        total = await self.nodes[index].host.query(
            ROOT, Count(), CLOCK.monotonic() + within
        )
        return total.keys

    async def wait_until_converged(self, group: str = ROOT) -> None:
        """Waits until all running replicas agree on the state of the group.

        They know the same leader and three voters, no replica is a learner,
        and all have applied the same entries.
        """

        def converged() -> bool:
            running = [n for n in self.nodes if not n.stopped.is_set()]
            statuses = [
                status
                for node in running
                for status in node.host.status()
                if status.group == group
            ]
            return len({status.leader for status in statuses}) == 1 and all(
                status.leader
                and not status.learners
                and status.role != "learner"
                and len(status.voters) == 3
                and status.applied == statuses[0].applied
                for status in statuses
            )

        await self.wait_until(converged)
