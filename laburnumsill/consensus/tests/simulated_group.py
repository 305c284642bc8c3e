"""A simulated group: engines, their hosts and disks, and a network.

Every output of an engine is checked, so that any test that drives a `Group`
checks the safety properties of Raft.
"""

import collections
import dataclasses
import math
import random as random_module

from laburnumsill.consensus import engine
from laburnumsill.consensus import held_messages
from laburnumsill.consensus import types

OPTIONS = engine.Options(
    max_append_bytes=64,
    max_in_flight=4,
    snapshot_chunk_bytes=128,
    max_in_flight_bytes=256,
    retained_bytes=16,
    max_retained_bytes=1024,
)


@dataclasses.dataclass
class Operation:
    """A write or read of a client.

    Attributes:
        floor: Highest index of the operations completed before it began.
        index: Index of the entry written, or at which the read was served.
        term: Term of the entry written.
        done: Whether the client was answered.
    """

    floor: int
    index: int = 0
    term: int = 0
    done: bool = False


class Disk:
    """The synced state of one replica."""

    def __init__(self, stored: types.StoredState) -> None:
        self.stored = stored

    def write(self, output: types.Output, kept: int | None = None) -> None:
        """Writes the output, or only its first `kept` records."""
        hard_state, snapshot, entries = (
            self.stored.hard_state,
            self.stored.snapshot,
            list(self.stored.entries),
        )
        records = [output.hard_state, output.snapshot, *output.entries]
        for record in [record for record in records if record is not None][
            :kept
        ]:
            if isinstance(record, types.HardState):
                hard_state = record
            elif isinstance(record, types.Snapshot):
                snapshot, entries = record, []
            else:
                entries = [x for x in entries if x.index < record.index]
                entries.append(record)
        self.stored = dataclasses.replace(
            self.stored,
            hard_state=hard_state,
            snapshot=snapshot,
            entries=tuple(entries),
        )

    def compact(self, snapshot: types.Snapshot) -> None:
        tail = [x for x in self.stored.entries if x.index > snapshot.index]
        self.stored = dataclasses.replace(
            self.stored, snapshot=snapshot, entries=tuple(tail)
        )


def _has_writes(output: types.Output) -> bool:
    """Returns whether the output has anything to store."""
    return bool(output.hard_state or output.snapshot or output.entries)


class Host:
    """One simulated replica: engine, disk and applied state.

    Attributes:
        engine: The engine, None while the process is down.
        applied: Index of the last entry applied.
        values: Data of the applied commands.
        outputs: Outputs not executed yet.
        paused_until: Until then the process is frozen.
        full_until: Until then the disk is full.
        boot_at: When a process that is down restarts.
    """

    def __init__(self, group: "Group", replica_id: types.ReplicaId) -> None:
        self.group = group
        self.replica_id = replica_id
        self.disk = Disk(
            types.StoredState(
                replica_id.incarnation,
                types.HardState(),
                None,
                (),
                with_disk=replica_id.vm in group.disks,
            )
        )
        self.paused_until = 0.0
        self.full_until = 0.0
        self.boot_at = math.inf
        self.boot()

    def boot(self) -> None:
        stored = self.disk.stored
        self.engine: engine.Engine | None = engine.Engine(
            "g",
            self.replica_id,
            stored,
            OPTIONS,
            self.group.now,
            self.group.random,
        )
        self.applied = stored.snapshot.index if stored.snapshot else 0
        self.values = self._load(stored.snapshot)
        self.outputs: collections.deque[types.Output] = collections.deque()
        self.inbox: list[types.Message] = []
        self.writes: list[Operation] = []
        self.reads: dict[int, Operation] = {}

    def crash(self, kept: int | None = 0, seconds: float = math.inf) -> None:
        """Ends the process for `seconds`, during its next write.

        Args:
            kept: Number of records of that write that reach the disk.
            seconds: Time until the process restarts.
        """
        if self.engine and kept:
            self._step_engine()
            self.disk.write(self.outputs[0], kept)
        self.engine = None
        self.boot_at = self.group.now + seconds

    def run_once(self) -> None:
        """Runs one iteration: steps the engine, then executes its output."""
        if self.engine is None and self.group.now >= self.boot_at:
            self.boot()
        if self.engine is None or self.group.now < self.paused_until:
            return
        self._step_engine()
        if self.group.now < self.full_until and any(
            map(_has_writes, self.outputs)
        ):
            self.engine.set_writable(False)
            self._drop_messages()
            return
        if self.outputs:
            self.engine.set_writable(True)
        # With probability 0.2 the sync is still pending in the next iteration.
        while self.outputs and self.group.random.random() > 0.2:
            self._execute(self.outputs[0])
            self.outputs.popleft()

    def _drop_messages(self) -> None:
        """Drops the messages that wait for a write to the full disk."""
        self.outputs = collections.deque(
            dataclasses.replace(output, messages=()) for output in self.outputs
        )

    def _step_engine(self) -> None:
        inbox, self.inbox = self.inbox, []
        for message in inbox:
            self.engine.step(message, self.group.now)
        if self.engine.next_tick() <= self.group.now:
            self.engine.tick(self.group.now)
        output = self.engine.take_output()
        self.group.check_output(self, output)
        self._apply_output(output)
        self.outputs.append(self._send_unsynced(output))

    def _send_unsynced(self, output: types.Output) -> types.Output:
        """Sends the messages that need not wait for the sync."""
        if any(item.hard_state for item in (*self.outputs, output)):
            return output
        synced_messages = []
        for message in output.messages:
            if message.kind in held_messages.UNSYNCED_KINDS:
                self.group.send(message)
            else:
                synced_messages.append(message)
        return dataclasses.replace(output, messages=tuple(synced_messages))

    def snapshot(self) -> None:
        if self.engine is None or not self.applied or self.outputs:
            return
        new_snapshot = types.Snapshot(
            self.applied,
            self.group.committed[self.applied].term,
            self.engine.membership_at(self.applied),
            b",".join(self.values),
        )
        self.disk.compact(new_snapshot)
        self.engine.compact(new_snapshot)

    def _execute(self, output: types.Output) -> None:
        assert self.engine is not None
        self.disk.write(output)
        for message in output.messages:
            self.group.send(message)
        if output.entries:
            last = output.entries[-1]
            self.engine.on_synced(last.index, last.term)

    def _apply_output(self, output: types.Output) -> None:
        if output.snapshot:
            self.applied = output.snapshot.index
            self.values = self._load(output.snapshot)
        for entry in output.committed:
            self._apply(entry)
        for read in output.reads:
            assert self.applied >= read.index
            operation = self.reads.pop(read.read_id)
            self.group.complete(operation, self.applied)
        for read_id in output.failed_reads:
            del self.reads[read_id]

    def _apply(self, entry: types.Entry) -> None:
        assert entry.index == self.applied + 1
        self.applied = entry.index
        if entry.kind is types.EntryKind.COMMAND:
            self.values.append(entry.data)
        for operation in [
            item for item in self.writes if item.index == entry.index
        ]:
            self.writes.remove(operation)
            if operation.term == entry.term:
                assert operation.index > operation.floor
                self.group.complete(operation, entry.index)

    def _load(self, snapshot: types.Snapshot | None) -> list[bytes]:
        if snapshot is None or not snapshot.data:
            return []
        return snapshot.data.split(b",")


class Group:
    """Hosts, a faulty network, and checks of the safety properties.

    Attributes:
        hosts: The current replica of each VM.
        loss: Probability that a message is lost.
        duplicates: Probability that a message is sent twice.
        delay: Maximum delay of a message, in seconds.
        load: Probability of a write, and of a read, in each iteration.
        cut: Pairs of VMs that are partitioned, with the end time of each.
        committed: Committed entries by index.
        leaders: Leader of each term.
        led_from: Time at which the leader of each term was elected.
        appended: Entry and previous term by index and term.
        floor: Highest index at which an operation completed.
        completed: Number of completed operations.
    """

    def __init__(
        self, vms: str, disks: str, seed: int, counted: str | None = None
    ) -> None:
        """Bootstraps a group.

        Args:
            vms: Names of the VMs, one letter each; the first one
                bootstraps the group.
            disks: VMs that have a disk.
            seed: Seed of all random choices.
            counted: VMs in `with_disk` of the first membership; by default all
                in `disks`.
        """
        self.random = random_module.Random(seed)
        self.now = 0.0
        self.hosts: dict[str, Host] = {}
        self.retired: list[Host] = []
        self.disks = frozenset(disks)
        self.loss = self.duplicates = self.delay = 0.0
        self.load = 0.0
        self.cut: dict[frozenset[str], float] = {}
        self.network: list[tuple[float, types.Message]] = []
        self.committed: dict[int, types.Entry] = {}
        self.leaders: dict[int, types.ReplicaId] = {}
        self.led_from: dict[int, float] = {}
        self.appended: dict[tuple[int, int], tuple[types.Entry, int]] = {}
        self.floor = 0
        self.completed = 0
        self._incarnations = 0
        for vm in vms:
            self.add(vm)
        first = self.hosts[vms[0]]
        voters = tuple(self.hosts[vm].replica_id for vm in vms)
        with_disk = self.disks if counted is None else frozenset(counted)
        membership = types.Membership(voters, (), with_disk & set(vms))
        hard_state, entry = engine.Engine.bootstrap(
            "g", first.replica_id, membership
        )
        output = types.Output(hard_state=hard_state, entries=(entry,))
        first.disk.write(output)
        first.boot()

    def add(self, vm: str) -> Host:
        """Starts an empty replica on `vm` under a new incarnation."""
        self._incarnations += 1
        if vm in self.hosts:
            self.retired.append(self.hosts[vm])
        replica_id = types.ReplicaId(vm, f"i{self._incarnations}")
        self.hosts[vm] = Host(self, replica_id)
        return self.hosts[vm]

    def leader(self) -> Host | None:
        """Returns the running leader of the highest term, if any."""
        leaders = [
            host
            for host in self.hosts.values()
            if host.engine and host.engine.role == "leader"
        ]
        return max(leaders, key=lambda item: item.engine.term, default=None)

    def run(self, seconds: float) -> None:
        for _ in range(round(seconds / 0.05)):
            self.now += 0.05
            self._deliver()
            hosts = list(self.hosts.values())
            self.random.shuffle(hosts)
            for host in hosts:
                host.run_once()
                if host.engine and host.engine.role == "leader":
                    self._generate_load(host)

    def _generate_load(self, host: Host) -> None:
        """Writes, reads and takes a snapshot on the host, at random."""
        if self.random.random() < self.load:
            self.write(host, b"%d" % len(self.appended))
        if self.random.random() < self.load:
            self.read(host)
        if self.random.random() < self.load / 10:
            host.snapshot()

    def isolate(self, vm: str, seconds: float = math.inf) -> None:
        """Partitions a VM from all others for `seconds`."""
        for other in self.hosts:
            self.cut[frozenset((vm, other))] = self.now + seconds

    def run_until(self, condition, seconds: float = 20.0) -> None:
        deadline = self.now + seconds
        while not condition():
            assert self.now < deadline, "the condition did not hold in time"
            self.run(0.05)

    def run_until_read(self, seconds: float = 20.0) -> None:
        """Runs until a leader has answered a read begun after this call."""
        reads: list[Operation | None] = []

        def read_completed() -> bool:
            leader = self.leader()
            reads.append(self.read(leader) if leader else None)
            self.run(0.2)
            return any(item is not None and item.done for item in reads)

        self.run_until(read_completed, seconds)

    def elect(self) -> Host:
        self.run_until(self.leader)
        return self.leader()

    def write(self, host: Host, value: bytes) -> Operation | None:
        assert host.engine is not None
        try:
            index, term = host.engine.propose(value, self.now)
        except (engine.NotLeaderError, engine.NoRoomError):
            return None
        operation = Operation(self.floor, index, term)
        host.writes.append(operation)
        return operation

    def read(self, host: Host) -> Operation | None:
        assert host.engine is not None
        operation = Operation(self.floor)
        try:
            host.reads[host.engine.read(self.now)] = operation
        except engine.NotLeaderError:
            return None
        return operation

    def complete(self, operation: Operation, index: int) -> None:
        """Checks that the operation is linearizable in the order of the log."""
        assert index >= operation.floor, "linearizability"
        operation.index = index
        operation.done = True
        self.floor = max(self.floor, index)
        self.completed += 1

    def send(self, message: types.Message) -> None:
        for _ in range(1 + (self.random.random() < self.duplicates)):
            if self.random.random() >= self.loss:
                due = self.now + self.random.random() * self.delay
                self.network.append((due, message))

    def _deliver(self) -> None:
        due = [item for item in self.network if item[0] <= self.now]
        self.network = [item for item in self.network if item[0] > self.now]
        for _, message in due:
            source, target = message.source.vm, message.target.vm
            host = self.hosts[target]
            cut_until = self.cut.get(frozenset((source, target)), 0.0)
            if self.now >= cut_until and host.engine:
                host.inbox.append(message)

    def check_output(self, host: Host, output: types.Output) -> None:
        raft = host.engine
        assert raft is not None
        for entry in output.entries:
            self._check_log_matching(raft, entry)
        for entry in output.committed:
            expected = self.committed.setdefault(entry.index, entry)
            assert expected == entry, "state machine safety"
        if raft.role == "leader":
            self._check_leader(host)

    def _check_log_matching(
        self, raft: engine.Engine, entry: types.Entry
    ) -> None:
        before = raft.term_at(entry.index - 1)
        if before is not None:
            record = (entry, before)
            key = (entry.index, entry.term)
            assert self.appended.setdefault(key, record) == record, (
                "log matching"
            )

    def _check_leader(self, host: Host) -> None:
        raft = host.engine
        assert raft is not None
        expected = self.leaders.get(raft.term)
        assert expected in (None, host.replica_id), "election safety"
        self._check_confirmed_lead(raft)
        if expected is None:
            self.leaders[raft.term] = host.replica_id
            self.led_from[raft.term] = self.now
            for index, entry in self.committed.items():
                term = raft.term_at(index)
                complete = index < raft.committed or term == entry.term
                assert complete, "leader completeness"

    def _check_confirmed_lead(self, raft: engine.Engine) -> None:
        """Checks that no later term began while the lead was confirmed."""
        if raft.confirmed_at is None:
            return
        for term, led_from in self.led_from.items():
            overlaps = term > raft.term and led_from < raft.confirmed_at
            assert not overlaps, "a lead is confirmed into a later term"

    def change_membership(self, host: Host, new: types.Membership) -> bool:
        """Proposes a membership; returns whether it was accepted."""
        assert host.engine is not None
        try:
            host.engine.propose_membership(new, self.now)
        except (
            engine.NotLeaderError,
            engine.NoRoomError,
            engine.MembershipPendingError,
        ):
            return False
        return True
