"""Hosts whose disks are full for a while: who can write goes on."""

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

BACK_WITHIN_S = 2.0


class Full:
    """The folders whose disks take no more bytes."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self._folders: set[pathlib.Path] = set()
        self.refused = 0
        real = durable_files.write_all

        def write_all(descriptor, raw, path):
            if self._folders & set(path.parents):
                self.refused += 1
                os.write(descriptor, raw[: len(raw) // 2])  # a torn piece
                number = errno.ENOSPC
                raise store.storage_error(
                    OSError(number, os.strerror(number)), path
                )
            real(descriptor, raw, path)

        monkeypatch.setattr(durable_files, "write_all", write_all)

    def fill(self, *nodes: host_cluster.Node) -> None:
        self._folders |= {node.folder for node in nodes}

    def empty(self, *nodes: host_cluster.Node) -> None:
        self._folders -= {node.folder for node in nodes}


@pytest.fixture
def full(monkeypatch):
    return Full(monkeypatch)


@pytest.fixture
def make_cluster(tmp_path, nursery, monkeypatch):
    host_cluster.skip_syncs(monkeypatch)

    def make(
        limits: host.SnapshotLimits = host.DEFAULT_LIMITS,
    ) -> host_cluster.Cluster:
        return host_cluster.Cluster(tmp_path, nursery, "DDD", limits)

    return make


async def running(cluster, *keys):
    await cluster.start()
    await cluster.add(0, *keys)
    await cluster.until_settled()


def others(cluster, node):
    return [one for one in cluster.nodes if one is not node]


async def same_after_a_restart(cluster, *keys):
    """All have `keys` now, and from their disks alone."""
    await cluster.until_settled()
    assert [node.keys() for node in cluster.nodes] == [list(keys)] * 3
    for node in cluster.nodes:
        await node.stop()
    await cluster.start()
    assert await cluster.seen(0) == list(keys)
    await cluster.until_settled()
    assert [node.keys() for node in cluster.nodes] == [list(keys)] * 3
    assert not any(node.failures for node in cluster.nodes)


async def test_a_leader_with_a_full_disk_hands_over(make_cluster, full):
    cluster = make_cluster()
    await running(cluster, "before")
    leader = cluster.leader()
    place = cluster.nodes.index(leader)
    full.fill(leader)
    for n in range(5):
        await cluster.add((place + n) % 3, f"k{n}", within=1.0)
    assert cluster.leader() is not leader
    assert await cluster.seen(place) == ["before", *(f"k{n}" for n in range(5))]
    assert not leader.stopped.is_set()
    await trio.sleep(2 * host_cluster.OPTIONS.election_timeout_s)
    assert leader.status().role == "follower"
    full.empty(leader)
    await cluster.until(
        lambda: leader.keys() == cluster.leader().keys(), BACK_WITHIN_S
    )
    await same_after_a_restart(cluster, "before", *(f"k{n}" for n in range(5)))


async def test_a_follower_with_a_full_disk_holds_nothing_up(make_cluster, full):
    cluster = make_cluster()
    await running(cluster, "before")
    leader = cluster.leader()
    term = leader.status().term
    follower = others(cluster, leader)[0]
    full.fill(follower)
    keys = [f"k{n}" for n in range(20)]
    for key in keys:
        await cluster.add(cluster.nodes.index(follower), key, within=1.0)
    await trio.sleep(3 * host_cluster.OPTIONS.election_timeout_s)
    await cluster.add(0, "late", within=1.0)
    assert cluster.leader() is leader
    assert leader.status().term == term
    assert follower.status().last_index < leader.status().last_index
    full.empty(follower)
    await cluster.until(lambda: follower.keys() == leader.keys(), BACK_WITHIN_S)
    await same_after_a_restart(cluster, "before", *keys, "late")


async def until_refused(cluster, place):
    """Adds a key until it is refused for want of room; returns the keys."""
    tried = []
    with trio.fail_after(5):
        while True:
            tried.append(f"maybe{len(tried)}")
            try:
                await cluster.add(place, tried[-1], within=0.5)
            except engine.NoRoomError:
                return tried[:-1]
            except (errors.ProposalLostError, errors.NoQuorumError):
                pass


@pytest.mark.parametrize("with_leader", [True, False])
@pytest.mark.parametrize("count", [2, 3])
async def test_with_most_disks_full_all_is_refused_at_once(
    make_cluster, full, count, with_leader
):
    cluster = make_cluster()
    await running(cluster, "before")
    leader = cluster.leader()
    order = others(cluster, leader)
    order.insert(0 if with_leader or count == 3 else 2, leader)
    full.fill(*order[:count])
    maybe = await until_refused(cluster, 0)
    for place in range(3):
        with trio.fail_after(0.5), pytest.raises(engine.NoRoomError) as refused:
            await cluster.add(place, "no", within=5.0)
        assert refused.value.retry_after_s == 1.0
        assert refused.value.status == 503
        assert await cluster.seen(place, within=1.0) == ["before"]
    full.empty(*order)
    with trio.fail_after(BACK_WITHIN_S):
        await cluster.until(cluster.leader)
        await cluster.add(0, "after")
    keys = await cluster.seen(0)
    assert keys[0] == "before"
    assert keys[-1] == "after"
    assert set(keys[1:-1]) <= set(maybe)
    await same_after_a_restart(cluster, *keys)


@pytest.mark.parametrize("count", [1, 3])
async def test_a_start_with_a_full_disk_waits_for_room(
    make_cluster, full, count
):
    cluster = make_cluster()
    await running(cluster, "before")
    incarnations = [node.incarnation() for node in cluster.nodes]
    for node in cluster.nodes:
        await node.stop()
    affected = cluster.nodes[:count]
    full.fill(*affected)
    await cluster.start()
    keys = ["before"]
    if count == 1:
        await cluster.add(0, "meanwhile")
        keys.append("meanwhile")
    else:
        await trio.sleep(1.0)
    assert not any(node.stopped.is_set() for node in cluster.nodes)
    assert not any(node.host.status() for node in affected)
    full.empty(*affected)
    await cluster.until(
        lambda: all(
            node.host.local(host_cluster.ROOT) and node.keys() == keys
            for node in cluster.nodes
        ),
        BACK_WITHIN_S,
    )
    assert incarnations == [node.incarnation() for node in cluster.nodes]
    await same_after_a_restart(cluster, *keys)


async def test_a_first_start_with_full_disks_founds_once_there_is_room(
    make_cluster, full
):
    cluster = make_cluster()
    full.fill(*cluster.nodes)
    await cluster.start()
    with pytest.raises(errors.NoQuorumError):
        await cluster.add(0, "no", within=0.5)
    full.empty(*cluster.nodes)
    await cluster.add(0, "k", within=2 * BACK_WITHIN_S)
    await same_after_a_restart(cluster, "k")


async def test_a_snapshot_without_room_is_put_off_and_the_log_goes_on(
    make_cluster, monkeypatch
):
    cluster = make_cluster(host.SnapshotLimits(entries=10))
    await running(cluster, "before")
    leader = cluster.leader()
    real = durable_files.write_all

    def write_all(descriptor, raw, path):
        if leader.folder in path.parents and path.name.startswith("snapshot"):
            raise store.DiskFullError(f"{path}: no room")
        real(descriptor, raw, path)

    monkeypatch.setattr(durable_files, "write_all", write_all)
    keys = [f"k{n}" for n in range(40)]
    await cluster.add(0, *keys)
    folder = leader.folder / "groups" / host_cluster.ROOT
    assert cluster.leader() is leader
    assert not list(folder.glob("snapshot*"))
    await same_after_a_restart(cluster, "before", *keys)


async def test_a_full_disk_is_tried_at_a_bounded_pace(make_cluster, full):
    cluster = make_cluster()
    await running(cluster, "before")
    full.fill(*cluster.nodes)
    await until_refused(cluster, 0)
    before = full.refused
    await trio.sleep(4 * store.RETRY_S)
    groups = 4
    assert full.refused - before <= 5 * 3 * groups


async def test_a_replica_that_nobody_wants_ends_on_a_full_disk_too(
    make_cluster, monkeypatch
):
    cluster = make_cluster()
    await running(cluster, "k")
    node = cluster.nodes[0]

    def refuse(source, target):
        raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))

    monkeypatch.setattr(os, "rename", refuse)
    await node.host._replicas.retire(host_cluster.ROOT)
    await cluster.until(lambda: node.host.local(host_cluster.ROOT))
    assert not node.stopped.is_set()
    monkeypatch.undo()
    await cluster.add(1, "after")
    await same_after_a_restart(cluster, "k", "after")
