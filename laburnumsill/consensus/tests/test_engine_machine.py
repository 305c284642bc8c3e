"""Model-based tests of the consensus engine under random faults.

Each example ends without faults; the group must then commit again, and all
its members must reach the same state. The environment variable
LABURNUMSILL_ENGINE_EXAMPLES sets the number of examples, of 50 steps each,
which are then drawn from a new random seed.
"""

import contextlib
import os

import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from laburnumsill.consensus import engine
from laburnumsill.consensus import log
from laburnumsill.consensus import types
from laburnumsill.consensus.tests import simulated_group

EXAMPLES = os.environ.get("LABURNUMSILL_ENGINE_EXAMPLES")
STEPS = 50
SETTINGS = hypothesis.settings(
    max_examples=int(EXAMPLES or 30),
    stateful_step_count=STEPS,
    derandomize=EXAMPLES is None,
    database=None,
    deadline=None,
    suppress_health_check=list(hypothesis.HealthCheck),
)
NUMBERS = strategies.integers(0, 99)
REFUSALS = (engine.NoSuchVoterError, engine.NotLeaderError)
TURNS = strategies.integers(0, 60)
RATES = strategies.sampled_from((0.0, 0.0, 0.1, 0.4))


class Faults(stateful.RuleBasedStateMachine):
    """Random actions of clients, faults and operators on one group.

    Attributes:
        vms: VMs of the first voters, one letter each.
        disks: VMs that have a disk.
        spare: A VM that is not a member at first.
        steps: Number of rules run in all examples.
    """

    vms = ""
    disks = ""
    spare = ""
    steps = 0

    @stateful.initialize(seed=strategies.integers(0, 2**16))
    def bootstrap(self, seed):
        self.group = simulated_group.Group(self.vms, self.disks, seed)
        self.group.add(self.spare)
        self.group.load = 0.3
        self.group.run(2.0)

    def host(self, number):
        hosts = self.group.hosts
        return hosts[sorted(hosts)[number % len(hosts)]]

    @stateful.rule(turns=TURNS, load=strategies.sampled_from((0.1, 0.5)))
    def run(self, turns, load):
        self.group.load = load
        self.advance(turns)

    @stateful.rule(number=NUMBERS, count=strategies.integers(1, 20))
    def write(self, number, count):
        host = self.host(number)
        for _ in range(count):
            if host.engine:
                self.group.write(host, b"burst")
        self.advance(2)

    @stateful.rule(
        number=NUMBERS, kept=strategies.integers(0, 4), down=TURNS, turns=TURNS
    )
    def crash(self, number, kept, down, turns):
        host = self.host(number)
        if host.replica_id.vm in self.disks:
            host.crash(kept, down * 0.05)
        else:
            self.lose(host)
        self.advance(turns)

    @stateful.rule(
        kept=strategies.lists(strategies.integers(0, 4), min_size=6),
        down=strategies.integers(0, 9),
    )
    def crash_all_with_disk(self, kept, down):
        for vm, records in zip(self.disks, kept, strict=False):
            self.group.hosts[vm].crash(records, down * 0.05)
        self.advance(30)

    @stateful.rule(number=NUMBERS, cut=TURNS, turns=TURNS)
    def lose_disk(self, number, cut, turns):
        leader = self.group.leader()
        if leader and number % 2:
            self.group.isolate(leader.replica_id.vm, cut * 0.05)
        self.lose(self.host(number))
        self.advance(turns)

    @stateful.rule(number=NUMBERS, paused=TURNS, turns=TURNS)
    def pause(self, number, paused, turns):
        self.host(number).paused_until = self.group.now + paused * 0.05
        self.advance(turns)

    @stateful.rule(
        number=NUMBERS,
        count=strategies.integers(1, 5),
        full=TURNS,
        turns=TURNS,
    )
    def fill_disks(self, number, count, full, turns):
        until = self.group.now + full * 0.05
        for offset in range(count):
            host = self.host(number + offset)
            if host.replica_id.vm in self.disks:
                host.full_until = until
        self.advance(turns)

    @stateful.rule(one=NUMBERS, other=NUMBERS, cut=TURNS, turns=TURNS)
    def cut(self, one, other, cut, turns):
        pair = frozenset(
            (self.host(one).replica_id.vm, self.host(other).replica_id.vm)
        )
        self.group.cut[pair] = self.group.now + cut * 0.05
        self.advance(turns)

    @stateful.rule(number=NUMBERS, cut=TURNS, turns=TURNS)
    def isolate(self, number, cut, turns):
        leader = self.group.leader()
        host = leader if leader and number % 2 else self.host(number)
        self.group.isolate(host.replica_id.vm, cut * 0.05)
        self.advance(turns)

    @stateful.rule(loss=RATES, duplicates=RATES, delay=RATES)
    def degrade(self, loss, duplicates, delay):
        self.group.loss = loss
        self.group.duplicates = duplicates
        self.group.delay = delay
        self.advance(5)

    @stateful.rule(number=NUMBERS)
    def transfer_leadership(self, number):
        leader = self.group.leader()
        if leader:
            vm = self.host(number).replica_id.vm
            with contextlib.suppress(*REFUSALS):
                leader.engine.transfer_leadership(vm, self.group.now)
        self.advance(5)

    @stateful.rule(number=NUMBERS, turns=TURNS)
    def change_membership(self, number, turns):
        leader = self.group.leader()
        if leader:
            choices = list(self.changes(leader.engine.membership))
            if choices:
                self.group.change_membership(
                    leader, choices[number % len(choices)]
                )
        self.advance(turns)

    def advance(self, turns):
        type(self).steps += 1
        self.group.run(turns * 0.05)

    def changes(self, current):
        """Yields the memberships that an operator could propose now."""
        members = (*current.voters, *current.learners)
        live = {host.replica_id for host in self.group.hosts.values()}
        for replica_id in sorted(live - set(members)):
            yield self.with_disks(
                current.voters, (*current.learners, replica_id)
            )
        for replica_id in current.learners:
            rest = tuple(one for one in current.learners if one != replica_id)
            yield self.with_disks(current.voters, rest)
            if replica_id in live:
                yield self.with_disks((*current.voters, replica_id), rest)
        for replica_id in current.voters:
            rest = tuple(one for one in current.voters if one != replica_id)
            lost = sum(one not in live for one in rest)
            survivable = len(rest) >= 3 and lost <= (len(rest) - 1) // 2
            if survivable and any(
                x.vm in self.disks for x in rest if x in live
            ):
                yield self.with_disks(rest, current.learners)

    def with_disks(self, voters, learners):
        vms = {one.vm for one in (*voters, *learners)}
        disks = frozenset(vms & set(self.disks))
        return types.Membership(voters, learners, disks)

    def lose(self, host):
        """Replaces a replica by an empty one if the group tolerates the loss.

        In every membership in effect, a majority of the voters and one of the
        disks must stay.
        """
        live = {one.replica_id for one in self.group.hosts.values()} - {
            host.replica_id
        }
        for membership in self.memberships():
            lost = sum(one not in live for one in membership.voters)
            disks = [
                x for x in membership.voters if x.vm in membership.with_disk
            ]
            if lost > (len(membership.voters) - 1) // 2:
                return
            if disks and not any(one in live for one in disks):
                return
        if self.group.completed:
            self.group.add(host.replica_id.vm)

    def memberships(self):
        """Yields each membership that is in effect at some replica."""
        for host in self.group.hosts.values():
            stored = host.disk.stored
            yield log.Log(stored.snapshot, stored.entries).membership
            if host.engine:
                yield host.engine.membership

    def teardown(self):
        group = self.group
        group.cut.clear()
        group.loss = group.duplicates = group.delay = group.load = 0.0
        for host in group.hosts.values():
            host.paused_until = host.boot_at = host.full_until = 0.0
        group.run(4.0)
        group.run_until(lambda: self.last_write_done(), 60.0)
        group.run_until(self.converged, 30.0)

    def converged(self):
        leader = self.group.leader()
        if leader is None:
            return False
        current = leader.engine.membership
        return all(
            host.values == leader.values
            for host in self.group.hosts.values()
            if host.replica_id in (*current.voters, *current.learners)
        )

    def last_write_done(self):
        leader = self.group.leader()
        write = leader and self.group.write(leader, b"last")
        self.group.run(1.0)
        return write and write.done


class ThreeReplicas(Faults):
    """Two of the three have a disk."""

    vms = "abc"
    disks = "ab"
    spare = "d"


class FiveReplicas(Faults):
    """Three of the five, and the spare, have a disk."""

    vms = "abcde"
    disks = "abcf"
    spare = "f"


def test_three_replicas():
    stateful.run_state_machine_as_test(ThreeReplicas, settings=SETTINGS)
    assert ThreeReplicas.steps >= 1000


def test_five_replicas():
    stateful.run_state_machine_as_test(FiveReplicas, settings=SETTINGS)
    assert FiveReplicas.steps >= 1000
