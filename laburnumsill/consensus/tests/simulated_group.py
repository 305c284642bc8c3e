"""A group of engines with a simulated host, disk and network each.

Every output is checked as it is taken, so that any test that drives a
`Group` checks the safety rules.
"""

import collections
import dataclasses
import math
import random as random_module

from laburnumsill.consensus import engine
from laburnumsill.consensus import group_promises
from laburnumsill.consensus import types

OPTIONS = engine.Options(
    max_append_bytes=64,
    max_in_flight=4,
    snapshot_chunk_bytes=128,
    max_in_flight_bytes=256,
    kept_bytes=16,
    max_kept_bytes=1024,
)


@dataclasses.dataclass
class Operation:
    """A client's write or read; `floor` is what it must come after."""

    floor: int
    index: int = 0
    term: int = 0
    done: bool = False


class Disk:
    """What is synced, and where a crash cuts an unsynced write."""

    def __init__(self, stored: types.Stored) -> None:
        self.stored = stored

    def write(self, output: types.Output, kept: int | None = None) -> None:
        """Carries out the output, or the first `kept` of its records."""
        hard_state, snapshot, entries = (
            self.stored.hard_state,
            self.stored.snapshot,
            list(self.stored.entries),
        )
        records = [output.hard_state, output.install, *output.append]
        for record in [one for one in records if one is not None][:kept]:
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


def _writes(output: types.Output) -> bool:
    """Returns whether anything of an output is to be stored."""
    return bool(output.hard_state or output.install or output.append)


class Host:
    """One replica: its engine, its disk, its applied state."""

    def __init__(self, group: "Group", me: types.ReplicaId) -> None:
        self.group = group
        self.me = me
        self.disk = Disk(
            types.Stored(
                me.incarnation,
                types.HardState(),
                None,
                (),
                with_disk=me.vm in group.disks,
            )
        )
        self.paused_until = 0.0
        self.full_until = 0.0
        self.boot_at = math.inf
        self.boot()

    def boot(self) -> None:
        stored = self.disk.stored
        self.engine: engine.Engine | None = engine.Engine(
            "g", self.me, stored, OPTIONS, self.group.now, self.group.random
        )
        self.applied = stored.snapshot.index if stored.snapshot else 0
        self.values = self._load(stored.snapshot)
        self.outputs: collections.deque[types.Output] = collections.deque()
        self.inbox: list[types.Message] = []
        self.writes: list[Operation] = []
        self.reads: dict[int, Operation] = {}

    def crash(self, kept: int | None = 0, seconds: float = math.inf) -> None:
        """Ends the process in its next write, of which `kept` records stay."""
        if self.engine and kept:
            self._take()
            self.disk.write(self.outputs[0], kept)
        self.engine = None
        self.boot_at = self.group.now + seconds

    def turn(self) -> None:
        """Takes messages and time, then takes and carries out output."""
        if self.engine is None and self.group.now >= self.boot_at:
            self.boot()
        if self.engine is None or self.group.now < self.paused_until:
            return
        self._take()
        if self.group.now < self.full_until and any(map(_writes, self.outputs)):
            self.engine.set_writable(False)
            self._drop_promises()
            return
        if self.outputs:
            self.engine.set_writable(True)
        # Now and then a sync takes so long that the engine goes on.
        while self.outputs and self.group.random.random() > 0.2:
            self._carry_out(self.outputs[0])
            self.outputs.popleft()

    def _drop_promises(self) -> None:
        """Leaves out what could only be sent once there is room again."""
        self.outputs = collections.deque(
            dataclasses.replace(output, messages=()) for output in self.outputs
        )

    def _take(self) -> None:
        inbox, self.inbox = self.inbox, []
        for message in inbox:
            self.engine.step(message, self.group.now)
        if self.engine.next_tick() <= self.group.now:
            self.engine.tick(self.group.now)
        output = self.engine.take_output()
        self.group.check_output(self, output)
        self._apply_all(output)
        self.outputs.append(self._send_early(output))

    def _send_early(self, output: types.Output) -> types.Output:
        """Sends, before the sync, what promises nothing of this log."""
        if any(one.hard_state for one in (*self.outputs, output)):
            return output
        late = []
        for message in output.messages:
            if message.kind in group_promises.UNSYNCED_KINDS:
                self.group.send(message)
            else:
                late.append(message)
        return dataclasses.replace(output, messages=tuple(late))

    def snapshot(self) -> None:
        if self.engine is None or not self.applied or self.outputs:
            return
        taken = types.Snapshot(
            self.applied,
            self.group.committed[self.applied].term,
            self.engine.membership_at(self.applied),
            b",".join(self.values),
        )
        self.disk.compact(taken)
        self.engine.compact(taken)

    def _carry_out(self, output: types.Output) -> None:
        assert self.engine is not None
        self.disk.write(output)
        for message in output.messages:
            self.group.send(message)
        if output.append:
            last = output.append[-1]
            self.engine.synced(last.index, last.term)

    def _apply_all(self, output: types.Output) -> None:
        if output.install:
            self.applied = output.install.index
            self.values = self._load(output.install)
        for entry in output.committed:
            self._apply(entry)
        for read in output.reads:
            assert self.applied >= read.index
            operation = self.reads.pop(read.read_id)
            self.group.complete(operation, self.applied)
        for read_id in output.lost_reads:
            del self.reads[read_id]

    def _apply(self, entry: types.Entry) -> None:
        assert entry.index == self.applied + 1
        self.applied = entry.index
        if entry.kind is types.EntryKind.COMMAND:
            self.values.append(entry.data)
        for operation in [x for x in self.writes if x.index == entry.index]:
            self.writes.remove(operation)
            if operation.term == entry.term:
                assert operation.index > operation.floor
                self.group.complete(operation, entry.index)

    def _load(self, snapshot: types.Snapshot | None) -> list[bytes]:
        if snapshot is None or not snapshot.data:
            return []
        return snapshot.data.split(b",")


class Group:
    """Hosts, a network with faults, and what must always hold."""

    def __init__(
        self, vms: str, disks: str, seed: int, counted: str | None = None
    ) -> None:
        """Founds a group; its first membership counts on `counted` disks."""
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
        self.appended: dict[tuple[int, int], tuple[types.Entry, int]] = {}
        self.floor = 0
        self.completed = 0
        self._names = 0
        for vm in vms:
            self.add(vm)
        founder = self.hosts[vms[0]]
        voters = tuple(self.hosts[vm].me for vm in vms)
        marked = self.disks if counted is None else frozenset(counted)
        founding = types.Membership(voters, (), marked & set(vms))
        hard_state, entry = engine.Engine.found("g", founder.me, founding)
        output = types.Output(hard_state=hard_state, append=(entry,))
        founder.disk.write(output)
        founder.boot()

    def add(self, vm: str) -> Host:
        """Starts an empty replica, under a new incarnation."""
        self._names += 1
        if vm in self.hosts:
            self.retired.append(self.hosts[vm])
        me = types.ReplicaId(vm, f"i{self._names}")
        self.hosts[vm] = Host(self, me)
        return self.hosts[vm]

    def leader(self) -> Host | None:
        """Returns the live leader of the newest term, if any."""
        leaders = [
            host
            for host in self.hosts.values()
            if host.engine and host.engine.role == "leader"
        ]
        return max(leaders, key=lambda x: x.engine.term, default=None)

    def run(self, seconds: float) -> None:
        for _ in range(round(seconds / 0.05)):
            self.now += 0.05
            self._deliver()
            hosts = list(self.hosts.values())
            self.random.shuffle(hosts)
            for host in hosts:
                host.turn()
                if host.engine and host.engine.role == "leader":
                    self._use(host)

    def _use(self, host: Host) -> None:
        """Writes and reads, and takes a snapshot, at random."""
        if self.random.random() < self.load:
            self.write(host, b"%d" % len(self.appended))
        if self.random.random() < self.load:
            self.read(host)
        if self.random.random() < self.load / 10:
            host.snapshot()

    def isolate(self, vm: str, seconds: float = math.inf) -> None:
        """Cuts a VM off from all others."""
        for other in self.hosts:
            self.cut[frozenset((vm, other))] = self.now + seconds

    def run_until(self, condition, seconds: float = 20.0) -> None:
        deadline = self.now + seconds
        while not condition():
            assert self.now < deadline, "nothing came of it"
            self.run(0.05)

    def until_read(self, seconds: float = 20.0) -> None:
        """Runs until a leader has answered a read that began here."""
        reads: list[Operation | None] = []

        def answered() -> bool:
            leader = self.leader()
            reads.append(self.read(leader) if leader else None)
            self.run(0.2)
            return any(one is not None and one.done for one in reads)

        self.run_until(answered, seconds)

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
        """Checks linearizability, the log's order being the witness."""
        assert index >= operation.floor, "stale"
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
        due = [x for x in self.network if x[0] <= self.now]
        self.network = [x for x in self.network if x[0] > self.now]
        for _, message in due:
            source, target = message.source.vm, message.target.vm
            host = self.hosts[target]
            cut_until = self.cut.get(frozenset((source, target)), 0.0)
            if self.now >= cut_until and host.engine:
                host.inbox.append(message)

    def check_output(self, host: Host, output: types.Output) -> None:
        made = host.engine
        assert made is not None
        for entry in output.append:
            self._check_log_matching(made, entry)
        for entry in output.committed:
            known = self.committed.setdefault(entry.index, entry)
            assert known == entry, "state machine safety"
        if made.role == "leader":
            self._check_leader(host)

    def _check_log_matching(
        self, made: engine.Engine, entry: types.Entry
    ) -> None:
        before = made.term_at(entry.index - 1)
        if before is not None:
            fact = (entry, before)
            key = (entry.index, entry.term)
            assert self.appended.setdefault(key, fact) == fact, "log matching"

    def _check_leader(self, host: Host) -> None:
        made = host.engine
        assert made is not None
        known = self.leaders.get(made.term)
        assert known in (None, host.me), "election safety"
        if known is None:
            self.leaders[made.term] = host.me
            for index, entry in self.committed.items():
                term = made.term_at(index)
                complete = index < made.committed or term == entry.term
                assert complete, "leader completeness"

    def change(self, host: Host, new: types.Membership) -> bool:
        """Proposes a membership; returns whether it was taken."""
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
