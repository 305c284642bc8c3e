"""Convergence of tables after lost, repeated and delayed notices."""

import hypothesis
import loguru
from hypothesis import stateful
from hypothesis import strategies

from laburnumsill.members import entries
from laburnumsill.members import timing
from laburnumsill.members.tests import cluster as clusters

VMS = [f"vm{d}{n}" for d in range(3) for n in range(3)]
MEMBERS = [("server", f"s{n}", f"d{n % 3}") for n in range(4)] + [
    ("worker", f"w{n}", f"d{n % 3}") for n in range(3)
]
SETTLE_S = 8.0
"""Time to converge: longer than the worker TTL and several probe intervals."""


class Convergence(stateful.RuleBasedStateMachine):
    """Nine VMs in three domains, seven members and an unreliable network."""

    def __init__(self) -> None:
        super().__init__()
        loguru.logger.disable("laburnumsill")  # thousands of lines per run
        self.cluster = clusters.Cluster(seed=7)
        self.members = {
            member_id: clusters.AnnouncingMember(
                self.cluster, kind, member_id, domain, sticky=False
            )
            for kind, member_id, domain in MEMBERS
        }

    def teardown(self) -> None:
        loguru.logger.enable("laburnumsill")

    @stateful.rule(seconds=strategies.sampled_from([0.05, 0.3, 1.1, 2.5]))
    def wait(self, seconds: float) -> None:
        self.cluster.run(seconds)

    @stateful.rule(
        loss=strategies.sampled_from([0.0, 0.1, 0.5]),
        repeat=strategies.sampled_from([0.0, 0.5]),
        delay_s=strategies.sampled_from([0.002, 0.2, 1.5]),
    )
    def disturb(self, loss: float, repeat: float, delay_s: float) -> None:
        self.cluster.loss = loss
        self.cluster.repeat = repeat
        self.cluster.delay_s = delay_s

    @stateful.rule(pair=strategies.tuples(*[strategies.sampled_from(VMS)] * 2))
    def cut(self, pair: tuple[str, str]) -> None:
        if pair[0] != pair[1]:
            self.cluster.cut(*pair)

    @stateful.rule(domain=strategies.sampled_from(["d0", "d1", "d2"]))
    def isolate(self, domain: str) -> None:
        self.cluster.isolate(domain)

    @stateful.rule()
    def heal(self) -> None:
        self.cluster.cuts.clear()

    @stateful.rule(vm=strategies.sampled_from(VMS))
    def kill(self, vm: str) -> None:
        self.cluster.kill(vm)

    @stateful.rule(vm=strategies.sampled_from(VMS))
    def restart(self, vm: str) -> None:
        self.cluster.start(vm)

    @stateful.rule(vm=strategies.sampled_from(VMS))
    def freeze(self, vm: str) -> None:
        if vm not in self.cluster.dead:
            self.cluster.frozen.add(vm)

    @stateful.rule(vm=strategies.sampled_from(VMS))
    def resume(self, vm: str) -> None:
        self.cluster.frozen.discard(vm)

    @stateful.rule(member_id=strategies.sampled_from([m[1] for m in MEMBERS]))
    def stop_member(self, member_id: str) -> None:
        self.members[member_id].stop()

    @stateful.rule(member_id=strategies.sampled_from([m[1] for m in MEMBERS]))
    def restart_member(self, member_id: str) -> None:
        member = self.members[member_id]
        member.incarnation = str(int(member.incarnation) + 1).zfill(8)
        member.sequence = 0
        member.alive = True
        member.leaving = False

    @stateful.rule(
        member_id=strategies.sampled_from([m[1] for m in MEMBERS]),
        leaving=strategies.booleans(),
    )
    def leave(self, member_id: str, leaving: bool) -> None:
        self.members[member_id].leaving = leaving

    @stateful.rule(
        vm=strategies.sampled_from(VMS), index=strategies.integers(0, 6)
    )
    def announce_late(self, vm: str, index: int) -> None:
        """Sends an announcement with an outdated sequence."""
        member = self.members[MEMBERS[index][1]]
        if vm in self.cluster.alive() and member.sequence > 2:
            member.sequence -= 2
            member.announce(vm)
            member.sequence += 1
            member.silent_since = self.cluster.clock.monotonic()

    @stateful.rule()
    def quiet(self) -> None:
        """Ends all faults; then every VM uses exactly the live members."""
        cluster = self.cluster
        cluster.cuts.clear()
        cluster.frozen.clear()
        cluster.loss = cluster.repeat = 0.0
        cluster.delay_s = clusters.LATENCY_S
        cluster.run(SETTLE_S)
        live_domains = {
            vm.domain for vm in cluster.vms if vm.vm_id in cluster.alive()
        }
        usable = {
            m.member_id
            for m in self.members.values()
            if m.alive and not m.leaving and m.domain in live_domains
        }
        for vm in cluster.alive():
            servers = cluster.servers(vm)
            workers = {
                worker
                for domain in ("d0", "d1", "d2")
                for worker in cluster.workers(vm, domain)
            }
            assert servers | workers == usable, vm

    @stateful.invariant()
    def no_long_lost_server_is_usable(self) -> None:
        """No VM uses a server that is silent beyond `MAX_SILENCE_S`."""
        now = self.cluster.clock.monotonic()
        for member in self.members.values():
            if member.alive:
                member.silent_since = now
        for vm in self.cluster.alive():
            for known in self.cluster.tables[vm].known_members(entries.SERVER):
                if not known.usable:
                    continue
                member = self.members[known.member.server_id]
                silent_s = now - member.silent_since
                assert silent_s <= MAX_SILENCE_S, (vm, member.member_id)


MAX_SILENCE_S = (
    timing.MAX_SERVER_TTL_S
    + timing.SUSPICION_TIMEOUT_S
    + 2 * timing.EVIDENCE_TTL_S
    + 1.5
)
"""Bound with lost and delayed notices and any number of VMs down."""


Convergence.TestCase.settings = hypothesis.settings(
    max_examples=60, stateful_step_count=25, deadline=None
)
TestConvergence = Convergence.TestCase
