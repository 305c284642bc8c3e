"""Hosts whose disks are full for a while: who can write goes on."""

import errno
import os
import pathlib

import pytest
import trio

from laburnumsill.consensus import host
from laburnumsill.consensus import segments
from laburnumsill.consensus import store
from laburnumsill.consensus.tests import host_cluster
from laburnumsill.core import errors

BACK_WITHIN_S = 2.0


class Full:
    """The folders whose disks take no more bytes."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self._folders: set[pathlib.Path] = set()
        self.refused = 0
        real = segments.write_all

        def write_all(descriptor, raw, path):
            if self._folders & set(path.parents):
                self.refused += 1
                os.write(descriptor, raw[: len(raw) // 2])  # a torn piece
                number = errno.ENOSPC
                raise store.storage_error(
                    OSError(number, os.strerror(number)), path
                )
            real(descriptor, raw, path)

        monkeypatch.setattr(segments, "write_all", write_all)

    def fill(self, *nodes: host_cluster.Node) -> None:
        self._folders |= {node.folder for node in nodes}

    def empty(self, *nodes: host_cluster.Node) -> None:
        self._folders -= {node.folder for node in nodes}


@pytest.fixture
def full(monkeypatch):
    return Full(monkeypatch)


@pytest.fixture
def make_cluster(tmp_path, nursery):
    def make(
        limits: host.SnapshotLimits = host.DEFAULT_LIMITS,
    ) -> host_cluster.Cluster:
        return host_cluster.Cluster(tmp_path, nursery, "DDD", limits)

    return make


async def running(cluster, *keys):
    await cluster.start()
    await cluster.add(0, *keys)
    await cluster.until_settled()


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
