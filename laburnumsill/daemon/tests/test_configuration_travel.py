"""Fetching of new configuration versions between VMs and failure domains."""

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
    """A site that records each fetch as (requesting VM, source, whole)."""

    def __init__(self):
        self.site, self.fetches = support.Site(), []
        self.parts = [self.site.add(number) for number in range(4)]
        for name, peers in self.site.net.items():
            self.record_fetches(name, peers)

    def record_fetches(self, name, peers):
        handler = peers.calls[configuration_messages.FetchInForce]

        async def recording(request):
            answer = await handler(request)
            whole = answer.whole is not None
            self.fetches.append((request.vm, name, whole))
            return answer

        peers.calls[configuration_messages.FetchInForce] = recording

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


async def test_differences_are_fetched_across_domains_once(autojump_clock):
    net = Net()
    async with support.running(*net.site.syncs.values()):
        await settled(net)
        for version in range(2, 12):
            net.push()
            await trio.sleep(1)
            assert net.versions() == [version] * 4
        assert not any(whole for _, _, whole in net.fetches)
        across_domains = [
            vm
            for vm, source, _ in net.fetches
            if vm in ("vm1", "vm3") and source in ("vm0", "vm2")
        ]
        assert len(across_domains) == 10
        assert len(net.fetches) == 30


async def test_vm_behind_fetches_few_missed_versions_as_steps_many_whole(
    autojump_clock,
):
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


async def test_version_is_fetched_whole_if_a_step_does_not_apply(
    autojump_clock, monkeypatch
):
    net = Net()
    async with support.running(*net.site.syncs.values()):
        await settled(net)
        for sync in net.site.syncs.values():
            sync._accepted = support.dataclasses.replace(
                sync._accepted, body=b"{}"
            )
            sync._parsed_version = None
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
def test_one_vm_of_a_domain_fetches_from_another_and_the_rest_wait(count):
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
    clock.now += configuration_sources.DOMAIN_WAIT_S
    for one in all_sources:
        assert one.choose(8, 6, {"far"}, reachable) == "far"
    again = [one.choose(9, 8, {"far"}, reachable) for one in all_sources]
    assert again.count("far") == 1


def notified_vms(vms, version, replicas, reachable):
    """Returns the VMs that each VM notifies of a new version."""
    notified = {}
    for vm in vms:
        recipients = configuration_recipients.Recipients(vm, vms)
        notified[vm.vm_id] = recipients.for_new_version(
            version, reachable, vm.vm_id in replicas
        )
    return notified


def test_on_a_large_site_few_notices_reach_all_vms():
    vms = [
        topology.Vm(f"n{n:02}", f"d{n % 9}", "", "", False) for n in range(26)
    ]
    names = {vm.vm_id for vm in vms}
    lost = {"n06", "n15", "n22"}
    for version in range(1, 40):
        notified = notified_vms(
            vms, version, {"n00", "n01", "n02"}, names - lost
        )
        assert sum(map(len, notified.values())) < 26 * 4
        reached = {"n00", "n01", "n02"}
        while True:
            more = {
                to for at in reached - lost for to in notified[at]
            } - reached
            if not more:
                break
            reached |= more
        assert reached == names
    recipients = configuration_recipients.Recipients(vms[3], vms)
    rounds = {vm for _ in range(7) for vm in recipients.for_next_round()}
    assert rounds == names - {"n03"}


def test_on_a_small_site_all_vms_are_notified():
    notified = notified_vms(support.VMS, 1, set(), set())
    assert all(len(others) == 3 for others in notified.values())


async def test_refresh_queries_vms_without_a_notice(autojump_clock):
    net = Net()
    async with support.running(*net.site.syncs.values()):
        await settled(net)
        sync = net.site.syncs["vm1"]
        sync._notices.clear()
        net.site.cut.add("vm3")
        assert {vm.version for vm in sync.status()} == {0, 1}
        await sync.refresh()
        versions = {vm.vm: vm.version for vm in sync.status()}
        assert versions == {"vm0": 1, "vm1": 1, "vm2": 1, "vm3": 0}
