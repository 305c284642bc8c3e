"""The order of a replica's output against a sync that takes its time."""

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
EVERYONE = types.Membership((VM1, VM2, VM3), (), frozenset({"vm1"}))
Kind = types.MessageKind


class SlowStore(store.ReplicaStore):
    """A disk whose syncs end when the test says so."""

    with_disk = True
    log_bytes = 0
    stored = types.Stored("r-1", types.HardState(), None, (), with_disk=True)

    def __init__(self) -> None:
        self.changes: list[store.Change] = []

    def commit(self, changes):
        self.changes += changes

    def close(self):
        pass


class Replica:
    """A hosted replica whose syncs the test carries out."""

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

    def take(self, kind, source=VM2, **fields) -> list[types.MessageKind]:
        """Steps one message and returns what may be sent at once."""
        message = types.Message(kind, source, VM1, **fields)
        self.group.step(message)
        return self.sent()

    def sent(self) -> list[types.MessageKind]:
        self.group.process_output()
        kinds = [message.kind for message in self.group.outgoing]
        self.group.outgoing.clear()
        return kinds

    def sync(self) -> list[types.MessageKind]:
        changes = self.group._take_pending()
        self.store.commit(changes)
        self.group._on_stored(changes)
        return self.sent()


def command(index: int, term: int, key: str) -> types.Entry:
    raw = codec.encode(host_cluster.Add(key))
    return types.Entry(index, term, types.EntryKind.COMMAND, raw)


def founding() -> types.Entry:
    raw = codec.encode(EVERYONE)
    return types.Entry(1, 1, types.EntryKind.MEMBERSHIP, raw)


@pytest.fixture
def replica():
    made = Replica()
    entries = (founding(), command(2, 1, "a"))
    made.take(Kind.APPEND, term=1, entries=entries, commit=1)
    made.sync()
    return made


def test_a_vote_waits_for_its_sync(replica):
    fields = {"term": 2, "index": 2, "log_term": 1, "granted": True}
    assert replica.take(Kind.VOTE, **fields) == []
    assert replica.take(Kind.HEARTBEAT, term=2, round=1) == []
    assert replica.sync() == [Kind.VOTE_REPLY, Kind.HEARTBEAT_REPLY]
    assert replica.store.changes[-1].hard_state == types.HardState(2, VM2)


def test_an_acknowledgement_waits_and_heartbeats_do_not(replica):
    more = {"term": 1, "index": 2, "log_term": 1}
    entry = command(3, 1, "b")
    assert replica.take(Kind.APPEND, entries=(entry,), **more) == []
    assert replica.take(Kind.APPEND, entries=(entry,), **more) == []
    assert replica.take(Kind.HEARTBEAT, term=1) == [Kind.HEARTBEAT_REPLY]
    assert replica.sync() == [Kind.APPEND_REPLY, Kind.APPEND_REPLY]


def lead(replica) -> None:
    replica.clock.advance(5)
    replica.group.tick(replica.clock.monotonic())
    replica.sent()
    replica.take(Kind.PRE_VOTE_REPLY, term=2, granted=True)
    replica.sync()
    replica.take(Kind.VOTE_REPLY, term=2, granted=True)
    replica.sync()
    replica.take(Kind.APPEND_REPLY, term=2, index=3, granted=True)
    assert replica.group.leads


def outcome_of(waiter):
    return waiter._outcome or waiter._error


def test_a_leader_sends_at_once_and_commits_once_a_disk_has_it(replica):
    lead(replica)
    raw = codec.encode(host_cluster.Add("b"))
    waiter = replica.group.propose(raw)
    assert Kind.APPEND in replica.sent()
    for source in (VM2, VM3):
        replica.take(Kind.APPEND_REPLY, source, term=2, index=4, granted=True)
    assert outcome_of(waiter) is None
    replica.sync()
    assert outcome_of(waiter).result == host_cluster.Total(["b"])
    replica.clock.advance(0.3)
    replica.group.tick(replica.clock.monotonic())
    assert Kind.HEARTBEAT in replica.sent()


def test_a_waiter_is_told_when_the_lead_is_lost(replica):
    lead(replica)
    waiter = replica.group.propose(codec.encode(host_cluster.Add("b")))
    replica.sent()
    replica.take(Kind.HEARTBEAT, VM3, term=3)
    assert isinstance(outcome_of(waiter), errors.ProposalLostError)
    again = replica.group._proposals.add(4, 2)
    other = command(4, 3, "c")
    more = {"term": 3, "index": 3, "log_term": 2, "commit": 4}
    replica.take(Kind.APPEND, VM3, entries=(other,), **more)
    assert isinstance(outcome_of(again), errors.NoQuorumError)


class FullStore(SlowStore):
    """A disk that is full until the test says otherwise."""

    full = True
    tries = 0

    def commit(self, changes):
        self.tries += 1
        if self.full:
            raise store.DiskFullError("no room")
        super().commit(changes)


async def test_a_full_disk_lets_nothing_pile_up_and_nothing_be_promised(
    replica, nursery
):
    replica_store = FullStore()
    replica.group._store = replica_store
    nursery.start_soon(
        replica.group.run_sync_loop, replica.group.process_output
    )
    more = {"term": 1, "index": 2, "log_term": 1}
    replica.take(Kind.APPEND, entries=(command(3, 1, "b"),), **more)
    with trio.fail_after(1):
        while replica.group.writable:  # noqa: ASYNC110
            await trio.sleep(0.01)
    sent = replica.sent()
    for index in range(3, 1003):
        more = {"index": index, "log_term": 1}
        entry = command(index + 1, 1, "c")
        sent += replica.take(Kind.APPEND, term=1, entries=(entry,), **more)
        sent += replica.take(Kind.HEARTBEAT, term=1)
        ask = {"term": 9, "granted": True, **more}
        sent += replica.take(Kind.VOTE, VM3, **ask)
        sent += replica.take(Kind.PRE_VOTE, VM3, **ask)
    assert set(sent) == {Kind.HEARTBEAT_REPLY}
    assert replica.group.engine.last_index == 3
    assert len(replica.group._pending) + len(replica.group._held_messages) <= 2
    assert replica_store.tries <= 3
    for _ in range(100):
        assert replica.take(Kind.HEARTBEAT, VM3, term=2) == []
    assert replica.group.engine.leader == VM3
    assert len(replica.group._pending) + len(replica.group._held_messages) <= 2
    replica_store.full = False
    with trio.fail_after(2 * store.RETRY_S):
        while not replica.group.writable:  # noqa: ASYNC110
            await trio.sleep(0.01)
    assert [change.entries for change in replica_store.changes][0] == (
        command(3, 1, "b"),
    )
    more = {"term": 2, "index": 3, "log_term": 1}
    replica.take(Kind.APPEND, VM3, entries=(command(4, 2, "d"),), **more)
    with trio.fail_after(1):
        while Kind.APPEND_REPLY not in replica.sent():  # noqa: ASYNC110
            await trio.sleep(0.01)
