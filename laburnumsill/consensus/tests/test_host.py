"""Hosts on loopback TCP: founding, failures, repair and changes."""

import contextlib
import dataclasses
import pathlib
import socket

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
    """A set of keys; adding "bad" is refused."""

    name = "keys"

    def __init__(self) -> None:
        self._keys: dict[str, None] = {}

    def commands(self):
        return {Add: self._add}

    def queries(self):
        return {Count: lambda _: self.total()}

    def total(self):
        return Total(list(self._keys))

    def dump(self):
        return codec.encode(self.total())

    def load(self, raw):
        self._keys = dict.fromkeys(codec.decode(raw).keys)

    def _add(self, command):
        if command.key == "bad":
            raise errors.ConflictError("bad key", key="bad")
        self._keys[command.key] = None
        return Total([command.key])


def free_ports(count: int) -> list[int]:
    with contextlib.ExitStack() as stack:
        opened = [
            stack.enter_context(contextlib.closing(socket.socket()))
            for _ in range(count)
        ]
        for one in opened:
            one.bind(("127.0.0.1", 0))
        return [one.getsockname()[1] for one in opened]


class Node:
    """One VM: its network and its host, started and stopped together."""

    def __init__(self, cluster: "Cluster", vm: topology.Vm) -> None:
        self.cluster = cluster
        self.vm = vm
        self.folder = cluster.folder / vm.vm_id if vm.has_disk else None
        self.scope = trio.CancelScope()
        self.stopped = trio.Event()
        self.host: host.GroupHost

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
        finally:
            self.stopped.set()

    async def stop(self) -> None:
        self.scope.cancel()
        await self.stopped.wait()

    def incarnation(self, group: str = ROOT) -> str:
        return self.status(group).incarnation

    def status(self, group: str = ROOT) -> host.GroupStatus:
        found = {one.group: one for one in self.host.status()}
        return found[group]

    def keys(self, group: str = ROOT) -> list[str]:
        return self.host.local(group).component("keys").total().keys


class Cluster:
    """VMs of one process on loopback, one failure domain each."""

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
        ports = free_ports(len(disks))
        self.vms = [
            topology.Vm(
                f"vm{place}",
                f"d{place}",
                "",
                f"127.0.0.1:{port}",
                disks[place] == "D",
            )
            for place, port in enumerate(ports)
        ]
        self.nodes = [Node(self, vm) for vm in self.vms]

    async def start(self, *places: int) -> None:
        for place in places or range(len(self.nodes)):
            await self.nursery.start(self.nodes[place].run)

    async def until(self, condition, within: float = 10.0) -> None:
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

    async def add(self, place: int, *keys: str, within: float = 10.0) -> None:
        for key in keys:
            await self.nodes[place].host.propose(
                ROOT, Add(key), CLOCK.monotonic() + within
            )

    async def seen(self, place: int, within: float = 10.0) -> list[str]:
        total = await self.nodes[place].host.query(
            ROOT, Count(), CLOCK.monotonic() + within
        )
        return total.keys

    async def until_settled(self, group: str = ROOT) -> None:
        """Waits until all running VMs agree and nobody is a learner."""

        def settled() -> bool:
            running = [n for n in self.nodes if not n.stopped.is_set()]
            found = [
                one
                for node in running
                for one in node.host.status()
                if one.group == group
            ]
            return len({one.leader for one in found}) == 1 and all(
                one.leader
                and not one.learners
                and one.role != "learner"
                and len(one.voters) == 3
                and one.applied == found[0].applied
                for one in found
            )

        await self.until(settled)


@pytest.fixture
def make_cluster(tmp_path, nursery):
    def make(
        disks: str = "DDD",
        limits: host.SnapshotLimits = host.DEFAULT_LIMITS,
    ) -> Cluster:
        return Cluster(tmp_path, nursery, disks, limits)

    return make


async def test_three_found_the_groups_and_any_vm_serves(make_cluster):
    cluster = make_cluster("DDMM")
    await cluster.start()
    for place in range(4):
        await cluster.add(place, f"k{place}")
        assert await cluster.seen(place) == [f"k{n}" for n in range(place + 1)]
    with pytest.raises(errors.ConflictError) as refused:
        await cluster.add(3, "bad")
    assert refused.value.context == {"key": "bad"}
    await cluster.until_settled()
    founded = {node.status().voters for node in cluster.nodes[:3]}
    assert founded == {("vm0", "vm1", "vm2")}


async def test_nothing_is_founded_while_a_first_voter_is_silent(make_cluster):
    cluster = make_cluster()
    await cluster.start(0, 1)
    with pytest.raises(errors.NoQuorumError):
        await cluster.add(0, "early", within=1.0)
    assert [node.status().voters for node in cluster.nodes[:2]] == [(), ()]
    await cluster.start(2)
    await cluster.add(0, "k")


async def test_the_rest_goes_on_when_the_leader_stops(make_cluster):
    cluster = make_cluster()
    await cluster.start()
    await cluster.add(0, "before")
    leader = cluster.leader()
    await leader.stop()
    other = next(n for n in cluster.nodes if n is not leader)
    place = cluster.nodes.index(other)
    await cluster.add(place, "after")
    assert await cluster.seen(place) == ["before", "after"]
    await cluster.start(cluster.nodes.index(leader))
    await cluster.until_settled()
    assert leader.keys() == ["before", "after"]


async def test_without_a_majority_a_proposal_is_truthfully_ended(make_cluster):
    cluster = make_cluster()
    await cluster.start()
    await cluster.add(0, "k")
    await cluster.until_settled()
    leader = cluster.leader()
    place = cluster.nodes.index(leader)
    for node in cluster.nodes:
        if node is not leader:
            await node.stop()
    with pytest.raises(errors.ProposalLostError):
        await cluster.add(place, "maybe", within=1.5)
    with pytest.raises(errors.NoQuorumError):
        await cluster.add(place, "no", within=0.5)
    with pytest.raises(errors.NoQuorumError):
        await cluster.seen(place, within=0.5)


async def test_a_memory_replica_comes_back_as_another(make_cluster):
    cluster = make_cluster("DMM")
    await cluster.start()
    await cluster.add(0, "k")
    for place in (1, 2, 1):
        node = cluster.nodes[place]
        before = node.incarnation()
        await node.stop()
        await cluster.start(place)
        await cluster.until_settled()
        assert node.incarnation() != before
        assert node.keys() == ["k"]
        assert node.status().voters.count(node.vm.vm_id) == 1


async def test_all_disks_restart_with_everything(make_cluster):
    cluster = make_cluster()
    await cluster.start()
    await cluster.add(1, *(f"k{n}" for n in range(20)))
    incarnations = [node.incarnation() for node in cluster.nodes]
    for node in cluster.nodes:
        await node.stop()
    await cluster.start()
    assert await cluster.seen(2) == [f"k{n}" for n in range(20)]
    assert incarnations == [node.incarnation() for node in cluster.nodes]
