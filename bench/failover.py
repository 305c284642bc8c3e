"""Measures how soon a lost leader is followed by the next one.

Three engines in virtual time, with links and disks of given delays. The leader
falls silent at a random moment; the time until an entry of its successor is
committed is what every job waits for. Also counts elections that nothing called
for: on lossy links, behind slow disks, and with a leader that is held up.

`python -m bench.failover` prints a table and writes JSON.

Time from the leader's end to the next leader's first commit, 100 plays, while
reads come all the time: 1,032 ms in the median and 1,364 ms at the 95th
percentile with a fixed time of 0.8 s; 470 and 819 ms with
`laburnumsill.consensus.election_timeout` while reads put heartbeats off, 373
and 520 ms since they do not. No election in ten minutes of any of the
conditions.
"""

import contextlib
import dataclasses
import functools
import heapq
import itertools
import pathlib
import random
from collections import abc

import fire
import orjson

from bench import sync as sync_bench
from laburnumsill.consensus import engine as engines
from laburnumsill.consensus import held_messages
from laburnumsill.consensus import tick_alignment
from laburnumsill.consensus import types
from laburnumsill.daemon import core_role

VMS = ("a", "b", "c")
FIXED_HEARTBEAT_S = 0.2
"""What the fixed time went with."""

WARM_S = 5.0
"""After so long followers have learnt what they can."""

QUIET_S = 600.0
WRITE_EVERY_S = 0.1
LONGEST_S = 10.0


@dataclasses.dataclass(frozen=True, slots=True)
class Conditions:
    """What the group lives with; lengths of time are what is simulated.

    Attributes:
        trip_s: Of a message, at least; it varies by half.
        lost: Share of the messages that is lost.
        sync_s: Of a disk.
        held_up_s: The leader stands still for so long, now and then.
        reads_per_s: How many reads the leader confirms.
    """

    trip_s: float = 0.001
    lost: float = 0.0
    sync_s: float = 0.006
    held_up_s: float = 0.0
    reads_per_s: float = 15.0


QUIET = {
    "quiet": Conditions(),
    "lossy 3%": Conditions(lost=0.03),
    "syncs of 0.15 s": Conditions(sync_s=0.15),
    "held up 0.1 s": Conditions(held_up_s=0.1),
}


class Group:
    """Three engines, their links and disks.

    Args:
        options: Of the engines.
        conditions: Of links and disks.
        seed: Of everything that is random.
        vms: The voters.
    """

    def __init__(
        self,
        options: engines.Options,
        conditions: Conditions,
        seed: int,
        vms: tuple[str, ...] = VMS,
    ) -> None:
        self.now = 0.0
        self.elections = 0
        self.silent: set[str] = set()
        self.committed_term = 0
        self._conditions = conditions
        self._period_s = options.heartbeat_s
        self._random = random.Random(seed)
        self._count = itertools.count()
        self._due: list[tuple[float, int, abc.Callable[[], None]]] = []
        self._syncing: dict[str, float] = dict.fromkeys(vms, 0.0)
        self._voted: dict[str, float] = dict.fromkeys(vms, 0.0)
        self._terms: set[int] = set()
        self._ticks = dict.fromkeys(vms, 0)
        members = tuple(types.ReplicaId(vm, "i") for vm in vms)
        membership = types.Membership(members, with_disk=frozenset(vms))
        hard_state, entry = engines.Engine.bootstrap(
            "g", members[0], membership
        )
        self.engines = {}
        for me in members:
            stored = types.StoredState(
                "i", hard_state, None, (entry,), with_disk=True
            )
            self.engines[me.vm] = engines.Engine(
                "g", me, stored, options, 0.0, random.Random(f"{seed} {me.vm}")
            )
            self._tick_later(me.vm)

    @property
    def leader(self) -> str:
        """The VM that leads, "" if none does."""
        leading = [
            (engine.term, vm)
            for vm, engine in self.engines.items()
            if engine.role == "leader" and vm not in self.silent
        ]
        return max(leading)[1] if leading else ""

    @property
    def next_at(self) -> float:
        """When something is done next, in seconds of virtual time."""
        return self._due[0][0]

    def at(self, when: float, action: abc.Callable[[], None]) -> None:
        """Has something done at a point of virtual time."""
        heapq.heappush(self._due, (when, next(self._count), action))

    def run(self, until: float, done: abc.Callable[[], bool]) -> None:
        """Plays until a point of time, or until something holds."""
        while self._due and self._due[0][0] <= until and not done():
            self.now, _, action = heapq.heappop(self._due)
            action()

    def write(self) -> None:
        """Has the leader append an entry, as jobs do all the time."""
        if self.leader:
            try:
                self.engines[self.leader].propose(b"x", self.now)
            except engines.NotLeaderError:
                return
            self._flush(self.leader)

    def read(self) -> None:
        """Has the leader confirm a read, and the next one come."""
        if self.leader:
            with contextlib.suppress(engines.NotLeaderError):
                self.engines[self.leader].read(self.now)
                self._flush(self.leader)
        gap_s = self._random.expovariate(self._conditions.reads_per_s)
        self.at(self.now + gap_s, self.read)

    def hold_up(self, seconds: float) -> None:
        """Has the leader stand still for a while."""
        vm = self.leader
        if vm:
            self.silent.add(vm)
            self.at(self.now + seconds, functools.partial(self._go_on, vm))

    def _go_on(self, vm: str) -> None:
        self.silent.discard(vm)
        self._tick_later(vm)

    def _tick_later(self, vm: str) -> None:
        engine = self.engines[vm]
        leads = engine.role == "leader"
        when = tick_alignment.aligned_tick_at(
            engine.next_tick(), self._period_s, leads
        )
        when = max(when, self.now + 1e-4)
        self._ticks[vm] += 1  # the one before is over
        self.at(when, functools.partial(self._tick, vm, self._ticks[vm]))

    def _tick(self, vm: str, number: int) -> None:
        if vm in self.silent or number != self._ticks[vm]:
            return
        engine = self.engines[vm]
        leads = engine.role == "leader"
        moment = tick_alignment.aligned_time(
            self.now, engine.next_tick(), self._period_s, leads
        )
        engine.tick(moment)
        self._flush(vm)
        self._tick_later(vm)

    def _flush(self, vm: str) -> None:
        """Carries an engine's output out, as a host would."""
        engine = self.engines[vm]
        output = engine.take_output()
        if any(entry.term > 1 for entry in output.committed):
            self.committed_term = max(self.committed_term, engine.term)
        if engine.role == "leader" and engine.term not in self._terms:
            self._terms.add(engine.term)
            self.elections += 1
        synced_at = max(self.now, self._syncing[vm])
        if output.entries or output.hard_state:
            synced_at += self._conditions.sync_s
            self._syncing[vm] = synced_at
        if output.hard_state:
            self._voted[vm] = synced_at
        if output.entries:
            last = output.entries[-1]
            self.at(
                synced_at,
                functools.partial(self._synced, vm, last.index, last.term),
            )
        for message in output.messages:
            early = message.kind in held_messages.UNSYNCED_KINDS
            sent_at = self._voted[vm] if early else synced_at
            self._send(message, max(self.now, sent_at))

    def _synced(self, vm: str, index: int, term: int) -> None:
        self.engines[vm].on_synced(index, term)
        self._flush(vm)

    def _send(self, message: types.Message, at: float) -> None:
        if self._random.random() < self._conditions.lost:
            return
        trip_s = self._conditions.trip_s * self._random.uniform(1.0, 1.5)
        self.at(at + trip_s, functools.partial(self._deliver, message))

    def _deliver(self, message: types.Message) -> None:
        if message.target.vm in self.silent or message.source.vm in self.silent:
            return
        self.engines[message.target.vm].step(message, self.now)
        self._flush(message.target.vm)
        self._tick_later(message.target.vm)


def options_of(learnt: bool) -> engines.Options:
    """Returns the daemon's options, or those with a fixed time."""
    heartbeat_s = core_role.HEARTBEAT_S if learnt else FIXED_HEARTBEAT_S
    return engines.Options(
        core_role.ELECTION_TIMEOUT_S,
        heartbeat_s,
        adaptive_election_timeout=learnt,
    )


def started(group: Group, writing_s: float) -> None:
    """Plays a group until it is warm, with writes for some more seconds."""
    for number in range(int((WARM_S + writing_s) / WRITE_EVERY_S)):
        group.at(number * WRITE_EVERY_S, group.write)
    group.at(1.0, group.read)
    group.run(WARM_S, lambda: False)


def time_without_leader(
    learnt: bool, seed: int, conditions: Conditions = QUIET["quiet"]
) -> float:
    """Returns the seconds from a leader's end to its successor's commit.

    It is `LONGEST_S` if there is none by then.
    """
    group = Group(options_of(learnt), conditions, seed)
    started(group, 0.0)
    began = WARM_S + random.Random(seed).uniform(0, 1)
    group.run(began, lambda: False)
    group.now = began
    term = group.committed_term
    group.silent.add(group.leader)
    group.run(began + LONGEST_S, lambda: group.committed_term > term)
    return group.now - began if group.committed_term > term else LONGEST_S


def elections_uncalled_for(learnt: bool, conditions: Conditions) -> int:
    """Returns how many elections ten minutes have that need none."""
    group = Group(options_of(learnt), conditions, 1)
    started(group, QUIET_S)
    before = group.elections
    if conditions.held_up_s:
        for second in range(int(QUIET_S)):
            hold_up = functools.partial(group.hold_up, conditions.held_up_s)
            group.at(WARM_S + second + 0.37, hold_up)
    group.run(WARM_S + QUIET_S, lambda: False)
    return group.elections - before


def main(plays: int = 200, output: str = "run/failover.json") -> None:
    """Runs the bench.

    Args:
        plays: Leaders that are lost, for each way.
        output: Where the JSON goes.
    """
    results = {}
    for learnt in (False, True):
        times = [time_without_leader(learnt, seed) for seed in range(plays)]
        row = {
            "median_ms": round(sync_bench.quantile(times, 0.5)),
            "p95_ms": round(sync_bench.quantile(times, 0.95)),
            "longest_ms": round(1000 * max(times)),
            **{
                name: elections_uncalled_for(learnt, conditions)
                for name, conditions in QUIET.items()
            },
        }
        results["learnt" if learnt else "fixed"] = row
        print("learnt" if learnt else "fixed", row)
    path = pathlib.Path(output)
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_bytes(orjson.dumps(results, option=orjson.OPT_INDENT_2))


if __name__ == "__main__":
    fire.Fire(main)
