"""The order of a replica's messages and commits relative to a slow sync."""

import random

import pytest
import trio

from laburnumsill.consensus import engine
from laburnumsill.consensus import group
from laburnumsill.consensus import store
from laburnumsill.consensus import types
from laburnumsill.consensus.tests import host_cluster
from laburnumsill.core import clock as clocks
from laburnumsill.core import codec
from laburnumsill.core import errors
from laburnumsill.core import replication

VM1 = types.ReplicaId("vm1", "r-1")
VM2 = types.ReplicaId("vm2", "r-2")
VM3 = types.ReplicaId("vm3", "r-3")
INITIAL_MEMBERSHIP = types.Membership((VM1, VM2, VM3), (), frozenset({"vm1"}))
Kind = types.MessageKind


class SlowStore(store.ReplicaStore):
    """A store whose syncs are ended by the test."""

    with_disk = True
    log_bytes = 0
    stored = types.StoredState(
        "r-1", types.HardState(), None, (), with_disk=True
    )

    def __init__(self) -> None:
        self.changes: list[store.Change] = []

    def commit(self, changes):
        self.changes += changes

    def close(self):
        pass


class SyncedReplica:
    """A hosted replica whose changes are synced by the test."""

    def __init__(self) -> None:
        self.clock = clocks.ManualClock()
        self.store = SlowStore()
        self.group = group.HostedGroup(
            "root",
            "vm1",
            self.store,
            replication.StateMachine(host_cluster.Keys()),
            self.clock,
            engine.Options(),
            group.SnapshotLimits(),
            random.Random(1),
        )

    def step(self, kind, source=VM2, **fields) -> list[types.MessageKind]:
        """Steps one message; returns the kinds of messages sent at once."""
        message = types.Message(kind, source, VM1, **fields)
        self.group.step(message)
        return self.take_outgoing()

    def take_outgoing(self) -> list[types.MessageKind]:
        self.group.process_output()
        kinds = [message.kind for message in self.group.outgoing]
        self.group.outgoing.clear()
        return kinds

    def sync(self) -> list[types.MessageKind]:
        changes = self.group._take_pending()
        self.store.commit(changes)
        self.group._on_stored(changes)
        return self.take_outgoing()


def command_entry(index: int, term: int, key: str) -> types.Entry:
    raw = codec.encode(host_cluster.Add(key))
    return types.Entry(index, term, types.EntryKind.COMMAND, raw)


def bootstrap_entry() -> types.Entry:
    raw = codec.encode(INITIAL_MEMBERSHIP)
    return types.Entry(1, 1, types.EntryKind.MEMBERSHIP, raw)


@pytest.fixture
def replica():
    new_replica = SyncedReplica()
    entries = (bootstrap_entry(), command_entry(2, 1, "a"))
    new_replica.step(Kind.APPEND, term=1, entries=entries, commit=1)
    new_replica.sync()
    return new_replica


def test_a_vote_waits_for_its_sync(replica):
    fields = {"term": 2, "index": 2, "log_term": 1, "granted": True}
    assert replica.step(Kind.VOTE, **fields) == []
    assert replica.step(Kind.HEARTBEAT, term=2, round=1) == []
    assert replica.sync() == [Kind.VOTE_REPLY, Kind.HEARTBEAT_REPLY]
    assert replica.store.changes[-1].hard_state == types.HardState(2, VM2)


def test_append_replies_wait_for_a_sync_but_heartbeat_replies_do_not(replica):
    fields = {"term": 1, "index": 2, "log_term": 1}
    entry = command_entry(3, 1, "b")
    assert replica.step(Kind.APPEND, entries=(entry,), **fields) == []
    assert replica.step(Kind.APPEND, entries=(entry,), **fields) == []
    assert replica.step(Kind.HEARTBEAT, term=1) == [Kind.HEARTBEAT_REPLY]
    assert replica.sync() == [Kind.APPEND_REPLY, Kind.APPEND_REPLY]


def win_election(replica) -> None:
    replica.clock.advance(5)
    replica.group.tick(replica.clock.monotonic())
    replica.take_outgoing()
    replica.step(Kind.PRE_VOTE_REPLY, term=2, granted=True)
    replica.sync()
    replica.step(Kind.VOTE_REPLY, term=2, granted=True)
    replica.sync()
    replica.step(Kind.APPEND_REPLY, term=2, index=3, granted=True)
    assert replica.group.leads


def outcome_of(waiter):
    return waiter._outcome or waiter._error


def test_a_leader_sends_before_its_sync_and_commits_after_it(replica):
    win_election(replica)
    raw = codec.encode(host_cluster.Add("b"))
    waiter = replica.group.propose(raw)
    assert Kind.APPEND in replica.take_outgoing()
    for source in (VM2, VM3):
        replica.step(Kind.APPEND_REPLY, source, term=2, index=4, granted=True)
    assert outcome_of(waiter) is None
    replica.sync()
    assert outcome_of(waiter).result == host_cluster.Total(["b"])
    replica.clock.advance(0.3)
    replica.group.tick(replica.clock.monotonic())
    assert Kind.HEARTBEAT in replica.take_outgoing()


def test_a_pending_proposal_fails_when_leadership_is_lost(replica):
    win_election(replica)
    waiter = replica.group.propose(codec.encode(host_cluster.Add("b")))
    replica.take_outgoing()
    replica.step(Kind.HEARTBEAT, VM3, term=3)
    assert isinstance(outcome_of(waiter), errors.ProposalLostError)
    again = replica.group._proposals.add(4, 2)
    other = command_entry(4, 3, "c")
    fields = {"term": 3, "index": 3, "log_term": 2, "commit": 4}
    replica.step(Kind.APPEND, VM3, entries=(other,), **fields)
    assert isinstance(outcome_of(again), errors.NoQuorumError)


class FullStore(SlowStore):
    """A store on a disk that is full until the test frees space."""

    full = True
    attempts = 0

    def commit(self, changes):
        self.attempts += 1
        if self.full:
            raise store.DiskFullError("no room")
        super().commit(changes)


async def test_a_replica_with_a_full_disk_queues_and_acknowledges_nothing(
    replica, nursery
):
    replica_store = FullStore()
    replica.group._store = replica_store
    nursery.start_soon(
        replica.group.run_sync_loop, replica.group.process_output
    )
    fields = {"term": 1, "index": 2, "log_term": 1}
    replica.step(Kind.APPEND, entries=(command_entry(3, 1, "b"),), **fields)
    with trio.fail_after(1):
        while replica.group.writable:  # noqa: ASYNC110
            await trio.sleep(0.01)
    sent = replica.take_outgoing()
    for index in range(3, 1003):
        fields = {"index": index, "log_term": 1}
        entry = command_entry(index + 1, 1, "c")
        sent += replica.step(Kind.APPEND, term=1, entries=(entry,), **fields)
        sent += replica.step(Kind.HEARTBEAT, term=1)
        ask = {"term": 9, "granted": True, **fields}
        sent += replica.step(Kind.VOTE, VM3, **ask)
        sent += replica.step(Kind.PRE_VOTE, VM3, **ask)
    assert set(sent) == {Kind.HEARTBEAT_REPLY}
    assert replica.group.engine.last_index == 3
    assert (
        len(replica.group._pending_changes) + len(replica.group._held_messages)
        <= 2
    )
    assert replica_store.attempts <= 3
    for _ in range(100):
        assert replica.step(Kind.HEARTBEAT, VM3, term=2) == []
    assert replica.group.engine.leader == VM3
    assert (
        len(replica.group._pending_changes) + len(replica.group._held_messages)
        <= 2
    )
    replica_store.full = False
    with trio.fail_after(2 * store.DISK_FULL_RETRY_S):
        while not replica.group.writable:  # noqa: ASYNC110
            await trio.sleep(0.01)
    assert [change.entries for change in replica_store.changes][0] == (
        command_entry(3, 1, "b"),
    )
    fields = {"term": 2, "index": 3, "log_term": 1}
    replica.step(
        Kind.APPEND, VM3, entries=(command_entry(4, 2, "d"),), **fields
    )
    with trio.fail_after(1):
        while Kind.APPEND_REPLY not in replica.take_outgoing():  # noqa: ASYNC110
            await trio.sleep(0.01)
