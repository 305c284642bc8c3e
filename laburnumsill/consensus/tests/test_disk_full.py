"""Tests of hosts whose disks are full for a while.

Hosts with space keep a group writable as long as they are a majority.
"""

import errno
import os
import pathlib

import pytest
import trio

from laburnumsill.consensus import durable_files
from laburnumsill.consensus import engine
from laburnumsill.consensus import host
from laburnumsill.consensus import store
from laburnumsill.consensus.tests import host_cluster
from laburnumsill.core import errors

RECOVERY_TIMEOUT_S = 2.0


class FullDisks:
    """Makes the disks of single nodes full.

    Attributes:
        refusals: Number of writes that failed.
    """

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self._folders: set[pathlib.Path] = set()
        self.refusals = 0
        real_write_all = durable_files.write_all

        def write_all(descriptor, raw, path):
            if self._folders & set(path.parents):
                self.refusals += 1
                os.write(descriptor, raw[: len(raw) // 2])  # a torn write
                number = errno.ENOSPC
                raise store.storage_error(
                    OSError(number, os.strerror(number)), path
                )
            real_write_all(descriptor, raw, path)

        monkeypatch.setattr(durable_files, "write_all", write_all)

    def fill(self, *nodes: host_cluster.Node) -> None:
        self._folders |= {node.folder for node in nodes}

    def free_space(self, *nodes: host_cluster.Node) -> None:
        self._folders -= {node.folder for node in nodes}


@pytest.fixture
def full_disks(monkeypatch):
    return FullDisks(monkeypatch)


@pytest.fixture
def make_cluster(tmp_path, nursery, monkeypatch):
    host_cluster.skip_syncs(monkeypatch)

    def make(
        limits: host.SnapshotLimits = host.DEFAULT_LIMITS,
    ) -> host_cluster.Cluster:
        return host_cluster.Cluster(tmp_path, nursery, "DDD", limits)

    return make


async def start_with_keys(cluster, *keys):
    await cluster.start()
    await cluster.add(0, *keys)
    await cluster.wait_until_converged()


def other_nodes(cluster, node):
    return [one for one in cluster.nodes if one is not node]


async def check_after_restart(cluster, *keys):
    """Checks that all nodes have `keys`, before and after a restart."""
    await cluster.wait_until_converged()
    assert [node.keys() for node in cluster.nodes] == [list(keys)] * 3
    for node in cluster.nodes:
        await node.stop()
    await cluster.start()
    assert await cluster.read_keys(0) == list(keys)
    await cluster.wait_until_converged()
    assert [node.keys() for node in cluster.nodes] == [list(keys)] * 3
    assert not any(node.failures for node in cluster.nodes)


async def test_a_leader_with_a_full_disk_transfers_leadership(
    make_cluster, full_disks
):
    cluster = make_cluster()
    await start_with_keys(cluster, "before")
    leader = cluster.leader()
    node_index = cluster.nodes.index(leader)
    full_disks.fill(leader)
    for n in range(5):
        await cluster.add((node_index + n) % 3, f"k{n}", within=1.0)
    assert cluster.leader() is not leader
    assert await cluster.read_keys(node_index) == [
        "before",
        *(f"k{n}" for n in range(5)),
    ]
    assert not leader.stopped.is_set()
    await trio.sleep(2 * host_cluster.OPTIONS.election_timeout_s)
    assert leader.status().role == "follower"
    full_disks.free_space(leader)
    await cluster.wait_until(
        lambda: leader.keys() == cluster.leader().keys(), RECOVERY_TIMEOUT_S
    )
    await check_after_restart(cluster, "before", *(f"k{n}" for n in range(5)))


async def test_a_follower_with_a_full_disk_delays_no_writes(
    make_cluster, full_disks
):
    cluster = make_cluster()
    await start_with_keys(cluster, "before")
    leader = cluster.leader()
    term = leader.status().term
    follower = other_nodes(cluster, leader)[0]
    full_disks.fill(follower)
    keys = [f"k{n}" for n in range(20)]
    for key in keys:
        await cluster.add(cluster.nodes.index(follower), key, within=1.0)
    await trio.sleep(3 * host_cluster.OPTIONS.election_timeout_s)
    await cluster.add(0, "late", within=1.0)
    assert cluster.leader() is leader
    assert leader.status().term == term
    assert follower.status().last_index < leader.status().last_index
    full_disks.free_space(follower)
    await cluster.wait_until(
        lambda: follower.keys() == leader.keys(), RECOVERY_TIMEOUT_S
    )
    await check_after_restart(cluster, "before", *keys, "late")


async def add_until_refused(cluster, node_index):
    """Adds keys until one is refused because disks are full.

    Returns:
        The keys before that one; each may or may not be stored.
    """
    tried = []
    with trio.fail_after(5):
        while True:
            tried.append(f"maybe{len(tried)}")
            try:
                await cluster.add(node_index, tried[-1], within=0.5)
            except engine.NoRoomError:
                return tried[:-1]
            except (errors.ProposalLostError, errors.NoQuorumError):
                pass


@pytest.mark.parametrize("with_leader", [True, False])
@pytest.mark.parametrize("count", [2, 3])
async def test_writes_are_refused_at_once_when_most_disks_are_full(
    make_cluster, full_disks, count, with_leader
):
    cluster = make_cluster()
    await start_with_keys(cluster, "before")
    leader = cluster.leader()
    order = other_nodes(cluster, leader)
    order.insert(0 if with_leader or count == 3 else 2, leader)
    full_disks.fill(*order[:count])
    possible_keys = await add_until_refused(cluster, 0)
    for node_index in range(3):
        with trio.fail_after(0.5), pytest.raises(engine.NoRoomError) as refused:
            await cluster.add(node_index, "no", within=5.0)
        assert refused.value.retry_after_s == 1.0
        assert refused.value.status == 503
        assert await cluster.read_keys(node_index, within=1.0) == ["before"]
    full_disks.free_space(*order)
    with trio.fail_after(RECOVERY_TIMEOUT_S):
        await cluster.wait_until(cluster.leader)
        await cluster.add(0, "after")
    keys = await cluster.read_keys(0)
    assert keys[0] == "before"
    assert keys[-1] == "after"
    assert set(keys[1:-1]) <= set(possible_keys)
    await check_after_restart(cluster, *keys)


@pytest.mark.parametrize("count", [1, 3])
async def test_a_start_on_a_full_disk_waits_for_space(
    make_cluster, full_disks, count
):
    cluster = make_cluster()
    await start_with_keys(cluster, "before")
    incarnations = [node.incarnation() for node in cluster.nodes]
    for node in cluster.nodes:
        await node.stop()
    affected = cluster.nodes[:count]
    full_disks.fill(*affected)
    await cluster.start()
    keys = ["before"]
    if count == 1:
        await cluster.add(0, "meanwhile")
        keys.append("meanwhile")
    else:
        await trio.sleep(1.0)
    assert not any(node.stopped.is_set() for node in cluster.nodes)
    assert not any(node.host.status() for node in affected)
    full_disks.free_space(*affected)
    await cluster.wait_until(
        lambda: all(
            node.host.local_state_machine(host_cluster.ROOT)
            and node.keys() == keys
            for node in cluster.nodes
        ),
        RECOVERY_TIMEOUT_S,
    )
    assert incarnations == [node.incarnation() for node in cluster.nodes]
    await check_after_restart(cluster, *keys)


async def test_a_first_start_on_full_disks_bootstraps_once_there_is_space(
    make_cluster, full_disks
):
    cluster = make_cluster()
    full_disks.fill(*cluster.nodes)
    await cluster.start()
    with pytest.raises(errors.NoQuorumError):
        await cluster.add(0, "no", within=0.5)
    full_disks.free_space(*cluster.nodes)
    await cluster.add(0, "k", within=2 * RECOVERY_TIMEOUT_S)
    await check_after_restart(cluster, "k")


async def test_a_snapshot_on_a_full_disk_is_postponed_and_the_log_goes_on(
    make_cluster, monkeypatch
):
    cluster = make_cluster(host.SnapshotLimits(entries=10))
    await start_with_keys(cluster, "before")
    leader = cluster.leader()
    real_write_all = durable_files.write_all

    def write_all(descriptor, raw, path):
        if leader.folder in path.parents and path.name.startswith("snapshot"):
            raise store.DiskFullError(f"{path}: no space")
        real_write_all(descriptor, raw, path)

    monkeypatch.setattr(durable_files, "write_all", write_all)
    keys = [f"k{n}" for n in range(40)]
    await cluster.add(0, *keys)
    folder = leader.folder / "groups" / host_cluster.ROOT
    assert cluster.leader() is leader
    assert not list(folder.glob("snapshot*"))
    await check_after_restart(cluster, "before", *keys)


async def test_writes_to_a_full_disk_are_retried_at_a_bounded_rate(
    make_cluster, full_disks
):
    cluster = make_cluster()
    await start_with_keys(cluster, "before")
    full_disks.fill(*cluster.nodes)
    await add_until_refused(cluster, 0)
    before = full_disks.refusals
    await trio.sleep(4 * store.DISK_FULL_RETRY_S)
    groups = 4
    assert full_disks.refusals - before <= 5 * 3 * groups


async def test_retiring_a_replica_on_a_full_disk_does_not_stop_the_host(
    make_cluster, monkeypatch
):
    cluster = make_cluster()
    await start_with_keys(cluster, "k")
    node = cluster.nodes[0]

    def refuse(source, target):
        raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))

    monkeypatch.setattr(os, "rename", refuse)
    await node.host._replicas.retire(host_cluster.ROOT)
    await cluster.wait_until(
        lambda: node.host.local_state_machine(host_cluster.ROOT)
    )
    assert not node.stopped.is_set()
    monkeypatch.undo()
    await cluster.add(1, "after")
    await check_after_restart(cluster, "k", "after")
