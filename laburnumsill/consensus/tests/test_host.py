"""Hosts on loopback TCP: bootstrap, requests, restarts and transfers."""

import pytest
import trio

from laburnumsill.consensus import engine
from laburnumsill.consensus import host
from laburnumsill.consensus.tests import host_cluster
from laburnumsill.core import errors


@pytest.fixture
def make_cluster(tmp_path, nursery, monkeypatch):
    host_cluster.skip_syncs(monkeypatch)

    def make(
        disks: str = "DDD",
        limits: host.SnapshotLimits = host.DEFAULT_LIMITS,
    ) -> host_cluster.Cluster:
        return host_cluster.Cluster(tmp_path, nursery, disks, limits)

    return make


async def test_initial_voters_bootstrap_a_group_that_every_vm_can_use(
    make_cluster,
):
    cluster = make_cluster("DDMM")
    await cluster.start()
    for node_index in range(4):
        await cluster.add(node_index, f"k{node_index}")
        assert await cluster.read_keys(node_index) == [
            f"k{n}" for n in range(node_index + 1)
        ]
    with pytest.raises(errors.ConflictError) as refused:
        await cluster.add(3, "bad")
    assert refused.value.context == {"key": "bad"}
    await cluster.wait_until_converged()
    founded = {node.status().voters for node in cluster.nodes[:3]}
    assert founded == {("vm0", "vm1", "vm2")}


async def test_no_bootstrap_without_all_initial_voters(make_cluster):
    cluster = make_cluster()
    await cluster.start(0, 1)
    with pytest.raises(errors.NoQuorumError):
        await cluster.add(0, "early", within=1.0)
    assert [node.status().voters for node in cluster.nodes[:2]] == [(), ()]
    await cluster.start(2)
    await cluster.add(0, "k")


async def test_the_group_continues_after_the_leader_stops(make_cluster):
    cluster = make_cluster()
    await cluster.start()
    await cluster.add(0, "before")
    leader = cluster.leader()
    await leader.stop()
    other = next(n for n in cluster.nodes if n is not leader)
    node_index = cluster.nodes.index(other)
    await cluster.add(node_index, "after")
    assert await cluster.read_keys(node_index) == ["before", "after"]
    await cluster.start(cluster.nodes.index(leader))
    await cluster.wait_until_converged()
    assert leader.keys() == ["before", "after"]


async def test_without_a_majority_errors_say_if_the_outcome_is_unknown(
    make_cluster,
):
    cluster = make_cluster()
    await cluster.start()
    await cluster.add(0, "k")
    await cluster.wait_until_converged()
    leader = cluster.leader()
    node_index = cluster.nodes.index(leader)
    for node in cluster.nodes:
        if node is not leader:
            await node.stop()
    with pytest.raises(errors.ProposalLostError):
        await cluster.add(node_index, "maybe", within=1.5)
    with pytest.raises(errors.NoQuorumError):
        await cluster.add(node_index, "no", within=0.5)
    with pytest.raises(errors.NoQuorumError):
        await cluster.read_keys(node_index, within=0.5)


async def test_a_restarted_memory_replica_gets_a_new_incarnation(make_cluster):
    cluster = make_cluster("DMM")
    await cluster.start()
    await cluster.add(0, "k")
    for node_index in (1, 2, 1):
        node = cluster.nodes[node_index]
        before = node.incarnation()
        await node.stop()
        await cluster.start(node_index)
        await cluster.wait_until_converged()
        assert node.incarnation() != before
        assert node.keys() == ["k"]
        assert node.status().voters.count(node.vm.vm_id) == 1


async def test_disk_replicas_keep_their_logs_over_a_full_restart(make_cluster):
    cluster = make_cluster()
    await cluster.start()
    await cluster.add(1, *(f"k{n}" for n in range(20)))
    incarnations = [node.incarnation() for node in cluster.nodes]
    for node in cluster.nodes:
        await node.stop()
    await cluster.start()
    assert await cluster.read_keys(2) == [f"k{n}" for n in range(20)]
    assert incarnations == [node.incarnation() for node in cluster.nodes]


async def test_one_disk_restores_the_group_after_a_full_restart(make_cluster):
    cluster = make_cluster("DMM")
    await cluster.start()
    await cluster.add(1, "k1", "k2")
    for node in cluster.nodes:
        await node.stop()
    await cluster.start()
    await cluster.add(2, "k3", within=20)
    assert await cluster.read_keys(1) == ["k1", "k2", "k3"]
    await cluster.wait_until_converged()


async def test_a_shutdown_transfers_leadership(make_cluster):
    cluster = make_cluster()
    await cluster.start()
    await cluster.add(0, "k")
    await cluster.wait_until_converged()
    leader = cluster.leader()
    term = leader.status().term
    await leader.host.transfer_leaderships()
    await cluster.wait_until(lambda: cluster.leader() not in (None, leader), 1)
    assert cluster.leader().status().term == term + 1
    await cluster.nodes[0].host.transfer_leadership(
        host_cluster.ROOT, leader.vm.vm_id, host_cluster.default_deadline()
    )
    await cluster.wait_until(lambda: cluster.leader() is leader, 1)
    with pytest.raises(engine.NoSuchVoterError):
        await cluster.nodes[0].host.transfer_leadership(
            host_cluster.ROOT, "nobody", host_cluster.default_deadline()
        )


async def test_a_leader_has_applied_all_acknowledged_commands(make_cluster):
    """A restarted replica without a snapshot has an empty state machine.

    It must not count as the leader before it has applied its log again.
    """
    cluster = make_cluster()
    await cluster.start()
    keys = [f"k{number}" for number in range(50)]
    await cluster.add(0, *keys)
    for node in cluster.nodes:
        await node.stop()
    for node in cluster.nodes:
        cluster.nursery.start_soon(node.run)
    with trio.fail_after(10):
        while (leader := cluster.leader()) is None:
            await trio.lowlevel.checkpoint()
    assert leader.keys() == keys
