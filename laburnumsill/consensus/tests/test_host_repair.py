"""Lost, damaged and slow stores, and changes of the voters, over TCP."""

import shutil
import time

import pytest
import trio

from laburnumsill.consensus import durable_files
from laburnumsill.consensus import host
from laburnumsill.consensus import segments
from laburnumsill.consensus import store
from laburnumsill.consensus import types
from laburnumsill.consensus.tests import host_cluster

KEYS = [f"k{n}" for n in range(30)]


@pytest.fixture
def make_cluster(tmp_path, nursery):
    def make(
        disks: str = "DDD",
        limits: host.SnapshotLimits = host.DEFAULT_LIMITS,
    ) -> host_cluster.Cluster:
        return host_cluster.Cluster(tmp_path, nursery, disks, limits)

    return make


def largest_segment(node):
    folder = node.folder / "groups" / host_cluster.ROOT
    return max(folder.glob("log-*"), key=lambda path: path.stat().st_size)


async def start_with_keys(cluster, *keys):
    """Starts all VMs and adds `keys`."""
    await cluster.start()
    await cluster.add(0, *keys)
    await cluster.wait_until_converged()


async def test_a_replica_with_a_lost_disk_gets_a_new_incarnation(make_cluster):
    cluster = make_cluster()
    await start_with_keys(cluster, *KEYS)
    for node_index in (0, 1):
        node = cluster.nodes[node_index]
        before = node.incarnation()
        await node.stop()
        shutil.rmtree(node.folder)
        await cluster.start(node_index)
        await cluster.wait_until_converged()
        assert node.incarnation() != before
        assert node.keys() == KEYS


async def test_a_torn_record_is_truncated_and_the_replica_keeps_its_identity(
    make_cluster,
):
    cluster = make_cluster()
    await start_with_keys(cluster, *KEYS)
    node = cluster.nodes[1]
    before = node.incarnation()
    await node.stop()
    await cluster.add(0, "missed")
    entry = types.Entry(99, 2, types.EntryKind.COMMAND, b"torn")
    with largest_segment(node).open("ab") as log:
        log.write(segments.entry_record(entry)[:-1])
    await cluster.start(1)
    await cluster.wait_until_converged()
    assert node.incarnation() == before
    assert node.keys() == [*KEYS, "missed"]


async def test_a_damaged_store_is_set_aside_and_replicated_again(make_cluster):
    cluster = make_cluster()
    await start_with_keys(cluster, *KEYS)
    node = cluster.nodes[1]
    before = node.incarnation()
    await node.stop()
    path = largest_segment(node)
    raw = bytearray(path.read_bytes())
    raw[raw.index(b"k10")] ^= 1
    path.write_bytes(raw)
    await cluster.start(1)
    await cluster.wait_until_converged()
    assert node.incarnation() != before
    assert node.keys() == KEYS
    assert list(node.folder.glob("groups/root.set-aside*"))


async def test_a_replica_far_behind_receives_a_snapshot(make_cluster):
    limits = host.SnapshotLimits(entries=50)
    cluster = make_cluster("DDM", limits)
    await start_with_keys(cluster, "first")
    for node_index in (1, 2):
        node = cluster.nodes[node_index]
        await node.stop()
        data = [f"{node_index}-{n}-{'x' * 2000}" for n in range(300)]
        await cluster.add(0, *data)
        await cluster.start(node_index)
        await cluster.wait_until_converged()
        assert node.keys()[-300:] == data
        assert node.component().loads >= 1
    await cluster.nodes[0].stop()
    await cluster.start(0)
    await cluster.wait_until_converged()
    assert len(cluster.nodes[0].keys()) == 601
    assert cluster.nodes[0].component().loads == 1


async def test_a_vm_is_replaced_and_a_second_loss_is_survived(make_cluster):
    cluster = make_cluster("DMDMM")
    cluster.make_up = {host_cluster.ROOT: ["vm0", "vm2", "vm1"]}
    await cluster.start()
    await cluster.add(0, *KEYS)
    voters = cluster.leader().status().voters
    lost = cluster.nodes[int(voters[2][2:])]
    spare = next(n for n in cluster.nodes if n.vm.vm_id not in voters)
    await lost.stop()
    desired_voters = {host_cluster.ROOT: [*voters[:2], spare.vm.vm_id]}
    for node in cluster.nodes:
        if node is not lost:
            node.host.set_desired_voters(desired_voters)
    await cluster.wait_until(
        lambda: (
            (leader := cluster.leader()) is not None
            and set(leader.status().voters)
            == set(desired_voters[host_cluster.ROOT])
            and not leader.status().learners
        )
    )
    second = cluster.nodes[int(voters[1][2:])]
    await second.stop()
    node_index = cluster.nodes.index(spare)
    await cluster.add(node_index, "after")
    assert await cluster.read_keys(node_index) == [*KEYS, "after"]


async def test_a_running_replica_retires_after_its_replacement(make_cluster):
    cluster = make_cluster("DDDDD")
    await cluster.start()
    await cluster.add(0, *KEYS)
    voters = cluster.leader().status().voters
    replaced = cluster.leader()
    spare = next(n for n in cluster.nodes if n.vm.vm_id not in voters)
    remaining = [vm for vm in voters if vm != replaced.vm.vm_id]
    desired_voters = {host_cluster.ROOT: [*remaining, spare.vm.vm_id]}
    for node in cluster.nodes:
        node.host.set_desired_voters(desired_voters)
    await cluster.wait_until(
        lambda: replaced.host.local_state_machine(host_cluster.ROOT) is None,
        within=15,
    )
    assert await cluster.read_keys(cluster.nodes.index(replaced)) == KEYS
    assert set(cluster.leader().status().voters) == {*remaining, spare.vm.vm_id}
    assert list(replaced.folder.glob("groups/root.set-aside*"))


async def test_a_full_restart_keeps_a_membership_change(make_cluster):
    cluster = make_cluster("DDDD")
    await start_with_keys(cluster, *KEYS)
    voters = cluster.leader().status().voters
    spare = next(n for n in cluster.nodes if n.vm.vm_id not in voters)
    wanted = {*voters[:2], spare.vm.vm_id}
    for node in cluster.nodes:
        node.host.set_desired_voters({host_cluster.ROOT: sorted(wanted)})

    def repaired():
        leader = cluster.leader()
        return leader is not None and set(leader.status().voters) == wanted

    def committed():
        # A membership change takes effect before it is committed, and an
        # uncommitted one may be lost, so wait for its commit.
        engine = cluster.leader().host._hosted(host_cluster.ROOT).engine
        return engine.committed >= engine.membership_index

    await cluster.wait_until(lambda: repaired() and committed())
    for node in cluster.nodes:
        await node.stop()
    await cluster.start()
    await cluster.wait_until(repaired)
    for _ in range(20):
        await trio.sleep(0.1)
        assert cluster.leader() is None or repaired()


def slow_down(monkeypatch, node, seconds):
    """Delays each sync of one VM's stores."""
    real = durable_files.sync

    def sync(descriptor, path):
        if node.folder in path.parents:
            time.sleep(seconds)
        real(descriptor, path)

    monkeypatch.setattr(durable_files, "sync", sync)


async def test_a_slow_leader_disk_keeps_leadership_and_commits(
    make_cluster, monkeypatch
):
    cluster = make_cluster()
    await start_with_keys(cluster, "k")
    leader = cluster.leader()
    term = leader.status().term
    slow_down(monkeypatch, leader, 4 * host_cluster.OPTIONS.election_timeout_s)
    for node_index in range(3):
        await cluster.add(node_index, f"slow-{node_index}", within=1.0)
    await trio.sleep(3 * host_cluster.OPTIONS.election_timeout_s)
    assert cluster.leader() is leader
    assert leader.status().term == term


async def test_a_failed_sync_ends_the_host(make_cluster, monkeypatch):
    cluster = make_cluster()
    await start_with_keys(cluster, "k")
    node = cluster.leader()
    real = durable_files.sync

    def fail(descriptor, path):
        if node.folder in path.parents:
            raise store.SyncFailedError(f"{path}: no")
        real(descriptor, path)

    monkeypatch.setattr(durable_files, "sync", fail)
    node_index = next(n for n in range(3) if cluster.nodes[n] is not node)
    await cluster.add(node_index, "after")
    await cluster.wait_until(node.stopped.is_set)
    assert {type(one) for one in node.failures} == {store.SyncFailedError}
    assert await cluster.read_keys(node_index) == ["k", "after"]
