import pytest
import trio

from laburnumsill.config import difference
from laburnumsill.core import clock as clocks
from laburnumsill.core import topology
from laburnumsill.daemon import configuration_messages
from laburnumsill.daemon import configuration_recipients
from laburnumsill.daemon import configuration_sources
from laburnumsill.daemon.tests import test_configuration_sync as support
from laburnumsill.state import configuration


class Net:
    """A site whose fetches are noted as (asker, source, whole)."""

    def __init__(self):
        self.site, self.fetches = support.Site(), []
        self.parts = [self.site.add(number) for number in range(4)]
        for name, peers in self.site.net.items():
            self.note(name, peers)

    def note(self, name, peers):
        handler = peers.calls[configuration_messages.FetchInForce]

        async def noting(request):
            answer = await handler(request)
            whole = answer.whole is not None
            self.fetches.append((request.vm, name, whole))
            return answer

        peers.calls[configuration_messages.FetchInForce] = noting

    def push(self):
        log = self.site.log
        if not log.version:
            return self.site.push()
        body = support.canonical.encode(
            support.models.Configuration(
                site=f"s{log.version}", domains=["d0", "d1"]
            )
        )
        command = configuration.PushDifference(
            f"k{log.version}",
            log.version,
            support.canonical.digest(body),
            difference.difference(log.current.body, body),
            1.0,
            "ann",
        )
        self.site.root.apply(command)
        return log.current

    def versions(self):
        return [part[1].version for part in self.parts]


async def settled(net):
    for sync in net.site.syncs.values():
        await sync.wait_ready()
    net.push()
    await trio.sleep(1)
    net.fetches.clear()


async def test_differences_travel_and_cross_to_a_domain_once(autojump_clock):
    net = Net()
    async with support.running(*net.site.syncs.values()):
        await settled(net)
        for version in range(2, 12):
            net.push()
            await trio.sleep(1)
            assert net.versions() == [version] * 4
        assert not any(whole for _, _, whole in net.fetches)
        far = [
            asker
            for asker, source, _ in net.fetches
            if asker in ("vm1", "vm3") and source in ("vm0", "vm2")
        ]
        assert len(far) == 10
        assert len(net.fetches) == 30


async def test_one_behind_catches_up_by_a_chain_or_whole(autojump_clock):
    net = Net()
    async with support.running(*net.site.syncs.values()):
        await settled(net)
        for missed, whole in ((40, False), (100, True)):
            net.site.cut.add("vm2")
            for _ in range(missed):
                net.push()
            await trio.sleep(1)
            net.fetches.clear()
            net.site.cut.clear()
            await trio.sleep(3)
            assert len(set(net.versions())) == 1
            assert [fetch[2] for fetch in net.fetches] == [whole]


async def test_a_step_that_does_not_fit_is_fetched_whole(
    autojump_clock, monkeypatch
):
    net = Net()
    async with support.running(*net.site.syncs.values()):
        await settled(net)
        for sync in net.site.syncs.values():
            sync._accepted = support.dataclasses.replace(
                sync._accepted, body=b"{}"
            )
            sync._opened = None
        net.push()
        await trio.sleep(2)
        assert net.versions() == [2] * 4
        assert any(whole for _, _, whole in net.fetches)
        newest = net.site.log.current.body
        for sync in net.site.syncs.values():
            assert sync.kept(2).body == newest
            assert sync.kept(1) is None


class ManualClock(clocks.Clock):
    now = 5.0

    def monotonic(self):
        return self.now

    def wall(self):
        return self.now


@pytest.mark.parametrize("count", [1, 2, 3])
def test_one_of_a_domain_goes_far_and_the_others_after_a_wait(count):
    vms = [topology.Vm(f"n{n}", "near", "", "", False) for n in range(count)]
    vms.append(topology.Vm("far", "far", "", "", False))
    reachable = {vm.vm_id for vm in vms}
    clock = ManualClock()
    all_sources = [
        configuration_sources.Sources(vm, vms, clock) for vm in vms[:count]
    ]
    chosen = [one.choose(7, 6, {"far"}, reachable) for one in all_sources]
    assert chosen.count("far") == 1
    assert chosen.count(None) == count - 1
    last = all_sources[-1]
    assert last.choose(7, 6, {"far", "n0"}, reachable) == "n0"
    clock.now += configuration_sources.NEAR_S
    for one in all_sources:
        assert one.choose(8, 6, {"far"}, reachable) == "far"
    again = [one.choose(9, 8, {"far"}, reachable) for one in all_sources]
    assert again.count("far") == 1


def of_new(vms, version, replicas, reachable):
    """Returns who is told by whom of a version that all VMs get."""
    told = {}
    for vm in vms:
        recipients = configuration_recipients.Recipients(vm, vms)
        told[vm.vm_id] = recipients.of_new(
            version, reachable, vm.vm_id in replicas
        )
    return told


def test_at_two_year_size_few_are_told_and_none_is_missed():
    vms = [
        topology.Vm(f"n{n:02}", f"d{n % 9}", "", "", False) for n in range(26)
    ]
    names = {vm.vm_id for vm in vms}
    lost = {"n06", "n15", "n22"}
    for version in range(1, 40):
        told = of_new(vms, version, {"n00", "n01", "n02"}, names - lost)
        assert sum(map(len, told.values())) < 26 * 4
        reached = {"n00", "n01", "n02"}
        while True:
            more = {to for at in reached - lost for to in told[at]} - reached
            if not more:
                break
            reached |= more
        assert reached == names
    recipients = configuration_recipients.Recipients(vms[3], vms)
    rounds = {vm for _ in range(7) for vm in recipients.of_round()}
    assert rounds == names - {"n03"}


def test_on_a_small_site_all_are_told():
    told = of_new(support.VMS, 1, set(), set())
    assert all(len(others) == 3 for others in told.values())


async def test_a_status_asks_those_that_are_behind(autojump_clock):
    net = Net()
    async with support.running(*net.site.syncs.values()):
        await settled(net)
        sync = net.site.syncs["vm1"]
        sync._said.clear()
        net.site.cut.add("vm3")
        assert {vm.version for vm in sync.status()} == {0, 1}
        await sync.refresh()
        versions = {vm.vm: vm.version for vm in sync.status()}
        assert versions == {"vm0": 1, "vm1": 1, "vm2": 1, "vm3": 0}
