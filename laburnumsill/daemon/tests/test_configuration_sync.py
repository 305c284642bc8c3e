"""Distribution of the version in force, restarts and damaged files."""

import contextlib
import dataclasses
import os

import pytest
import trio

from laburnumsill.config import canonical
from laburnumsill.config import current
from laburnumsill.config import models
from laburnumsill.core import errors
from laburnumsill.core import replication
from laburnumsill.core import topology
from laburnumsill.core import trio_clock
from laburnumsill.daemon import configuration_file
from laburnumsill.daemon import configuration_messages
from laburnumsill.daemon import configuration_sync
from laburnumsill.state import configuration
from laburnumsill.testing import local_groups

VMS = [
    topology.Vm(f"vm{n}", f"d{n % 2}", "", "", has_disk=False) for n in range(4)
]


class Peers(replication.Peers):
    """Peers in one process; those in `cut` neither receive nor send."""

    def __init__(self, net, cut, local_vm_id):
        self.local_vm_id, self.net, self.cut = local_vm_id, net, cut
        self.calls, self.notices = {}, {}
        net[local_vm_id] = self

    def _cut(self, vm):
        return (
            vm in self.cut or self.local_vm_id in self.cut or vm not in self.net
        )

    async def call(self, vm, request, deadline):
        await trio.lowlevel.checkpoint()
        if self._cut(vm):
            raise errors.PeerUnreachableError(vm)
        return await self.net[vm].calls[type(request)](request)

    def notify(self, vm, notice):
        if not self._cut(vm):
            self.net[vm].notices[type(notice)](notice)

    def on_call(self, request_type, handler):
        self.calls[request_type] = handler

    def on_notice(self, notice_type, handler):
        self.notices[notice_type] = handler

    def reachable(self):
        return frozenset(vm for vm in self.net if not self._cut(vm))


class NoReplica(local_groups.LocalGroups):
    def local_state_machine(self, group):
        return None


class Site:
    """Four VMs; vm0 holds the root replica."""

    def __init__(self):
        self.net, self.cut = {}, set()
        self.log = configuration.ConfigurationLog()
        self.root = replication.StateMachine(self.log)
        self.syncs, self.history, self.groups = {}, {}, {}

    def add(self, number, folder=None):
        vm = VMS[number]
        kind = NoReplica if number else local_groups.LocalGroups
        groups = kind({"root": self.root})
        holder = current.Current()
        seen = self.history.setdefault(vm.vm_id, [])
        holder.observe(lambda versioned: seen.append(versioned.version))
        peers = Peers(self.net, self.cut, vm.vm_id)
        sync = configuration_sync.ConfigurationSync(
            vm, VMS, groups, peers, holder, folder, trio_clock.TrioClock()
        )
        self.syncs[vm.vm_id], self.groups[vm.vm_id] = sync, groups
        return sync, holder, groups

    def push(self, body=None):
        number = self.log.version
        body = body or canonical.encode(
            models.Configuration(site=f"s{number}", domains=["d0", "d1"])
        )
        self.root.apply(
            configuration.PushConfiguration(
                f"k{number}", number, canonical.digest(body), body, 1.0, "ann"
            )
        )
        return self.log.current


@contextlib.asynccontextmanager
async def running(*syncs):
    async with trio.open_nursery() as nursery:
        for sync in syncs:
            nursery.start_soon(sync.run)
        yield
        nursery.cancel_scope.cancel()


async def test_in_force_on_all_vms_within_a_second(autojump_clock):
    site = Site()
    parts = [site.add(number) for number in range(4)]
    async with running(*site.syncs.values()):
        for sync in site.syncs.values():
            await sync.wait_ready()
        for version in range(1, 6):
            site.push()
            await trio.sleep(1)
            assert [part[1].version for part in parts] == [version] * 4
            for sync in site.syncs.values():
                assert {vm.version for vm in sync.status()} == {version}


async def test_status_shows_a_cut_off_vm_which_catches_up_later(autojump_clock):
    site = Site()
    parts = [site.add(number) for number in range(4)]
    async with running(*site.syncs.values()):
        site.push()
        await trio.sleep(1)
        site.cut.add("vm3")
        for _ in range(300):
            site.push()
        await trio.sleep(2)
        status = {vm.vm: vm for vm in site.syncs["vm1"].status()}
        assert not status["vm3"].reachable
        assert status["vm3"].version == 1
        assert status["vm2"].version == 301
        site.cut.clear()
        await trio.sleep(3)
        assert parts[3][1].version == 301
    assert site.history["vm3"] == [1, 301]


async def test_restart_with_an_older_file_adopts_the_newest_version(
    tmp_path, autojump_clock
):
    site = Site()
    file = configuration_file.ConfigurationFile(tmp_path)
    file.write(site.push())
    for _ in range(4):
        site.push()
    sync, holder, _ = site.add(1, tmp_path)
    async with running(sync):
        await sync.wait_ready()
        assert holder.version == 5
    assert site.history["vm1"] == [1, 5]
    assert file.read().version == 5


async def test_restart_cut_off_keeps_the_newer_version_of_its_disk(
    tmp_path, autojump_clock
):
    site = Site()
    old = site.add(2)[0]
    behind = site.add(3)[0]
    async with running(old, behind):
        site.push()
        await trio.sleep(2)
        for groups in site.groups.values():
            groups.unavailable.add("root")
        newest = [site.push() for _ in range(3)][-1]
        configuration_file.ConfigurationFile(tmp_path).write(newest)
        site.cut.add("vm1")
        sync, holder, groups = site.add(1, tmp_path)
        groups.unavailable.add("root")
        async with running(sync):
            await sync.wait_ready()
            site.cut.clear()
            await trio.sleep(5)
    assert site.history["vm1"] == [4]
    assert site.history["vm3"] == [1, 4]


async def test_without_a_quorum_vms_of_the_own_domain_are_queried(
    autojump_clock,
):
    site = Site()
    neighbour = site.add(3)[0]
    async with running(neighbour):
        site.push()
        await trio.sleep(3)
        del site.net["vm3"].notices[configuration_messages.InForceNotice]
        sync, holder, groups = site.add(1)
        groups.unavailable.add("root")
        site.cut.add("vm3")
        async with running(sync):
            await trio.sleep(20)
            assert not sync.ready
            assert holder.version == 0
            site.cut.clear()
            site.net["vm3"].on_notice(
                configuration_messages.InForceNotice, lambda notice: None
            )
            with trio.fail_after(5):
                await sync.wait_ready()
            assert holder.version == 1


async def test_vm_is_ready_if_a_quorum_has_no_version(autojump_clock):
    sync, holder, _ = Site().add(1)
    async with running(sync):
        with trio.fail_after(1):
            await sync.wait_ready()
        assert holder.version == 0


async def test_an_undecodable_version_leaves_the_old_one_in_force(
    autojump_clock,
):
    site = Site()
    sync, holder, _ = site.add(0)
    async with running(sync):
        site.push()
        await trio.sleep(1)
        site.push(b'{"from": "a newer program"}')
        await trio.sleep(1)
        assert holder.version == 1
        site.push()
        await trio.sleep(1)
        assert holder.version == 3


@pytest.mark.parametrize("damage", ["cut", "flip", "other"])
def test_a_damaged_file_is_renamed(tmp_path, damage):
    file = configuration_file.ConfigurationFile(tmp_path)
    file.write(Site().push())
    path = tmp_path / configuration_file.FILE_NAME
    raw = bytearray(path.read_bytes())
    raw[-3] ^= 1
    damaged = {"cut": raw[:20], "flip": raw, "other": b"\xff\xfe"}[damage]
    path.write_bytes(damaged)
    assert file.read() is None
    assert file.read() is None
    assert list(tmp_path.glob("*.damaged"))


async def test_a_failed_sync_is_fatal(tmp_path, monkeypatch, autojump_clock):
    def fail(descriptor):
        raise OSError(5, "Input/output error")

    site = Site()
    sync, holder, _ = site.add(0, tmp_path)
    monkeypatch.setattr(os, "fsync", fail)
    site.push()
    with pytest.raises(ExceptionGroup) as caught:
        await sync.run()
    matched, rest = caught.value.split(errors.StorageError)
    assert matched is not None and rest is None
    assert holder.version == 0


async def test_an_offered_version_is_put_in_force(tmp_path, autojump_clock):
    site = Site()
    sync, holder, groups = site.add(1, tmp_path)
    groups.unavailable.add("root")
    async with running(sync):
        await trio.sleep(1)
        accepted = site.push()
        sync.offer(accepted)
        sync.offer(dataclasses.replace(accepted, version=0))
        await trio.sleep(0.1)
        assert holder.version == 1


async def test_older_answer_or_replica_does_not_revert_a_vm(
    tmp_path, autojump_clock
):
    ahead, behind = Site(), Site()
    for _ in range(5):
        newest = ahead.push()
    file = configuration_file.ConfigurationFile(tmp_path)
    file.write(newest)
    behind.push()
    sync, holder, _ = behind.add(0, tmp_path)
    async with running(sync):
        await sync.wait_ready()
        for _ in range(3):
            assert holder.version == 5
            assert file.read().version == 5
            behind.push()
            await trio.sleep(1)
    assert behind.history["vm0"] == [5]
    assert file.read().version == 5
