"""Tests of core VMs, entries and workers together, see `role_site`."""

import shutil

import msgspec
import pytest
import trio

from laburnumsill.batch import caller_commands
from laburnumsill.batch import scheduler as schedulers
from laburnumsill.consensus import durable_files
from laburnumsill.consensus import store
from laburnumsill.daemon import role
from laburnumsill.platform.tests import standin
from laburnumsill.platform.tests import test_announcements

IMMEDIATE_S = 0.3


async def test_submitted_jobs_complete(site):
    gang = await site.submit("urgent", 1, count=2, gpu=8, gang=True)
    small = await site.submit("batch", 2, count=3)
    await site.callers.until_state(gang, "completed")
    await site.callers.until_state(small, "completed")
    again = await site.callers.call(
        "POST", small, {"spec": "text", "steps": [{"count": 3}]}
    )
    assert again[0] == 200  # the same id again is the same job
    assert await site.callers.call("GET", "/batch/") == (200, {"pending": 0})
    assert (await site.callers.call("GET", f"/sweep/{7:016x}"))[0] == 410
    assert (await site.callers.call("DELETE", f"/sweep/{7:016x}"))[0] == 410


async def test_invalid_calls_get_error_answers(site):
    call = site.callers.call
    job = f"/urgent/{3:016x}"
    body = {"spec": "", "steps": [{"count": 1}]}
    assert (await call("POST", job, body, key="nobody's"))[0] == 401
    assert (await call("POST", job, body, host="else.example"))[0] == 404
    assert (await call("POST", "/urgent/xyz", body))[0] == 404
    assert (await call("POST", job, {"steps": []}))[0] == 400
    large = {"spec": "x" * 5000, "steps": []}
    assert (await call("POST", job, large))[0] == 413
    assert (await call("PATCH", job))[0] == 405
    assert (await call("GET", job))[0] == 410  # none of them was accepted


async def test_a_cancelled_job_stops(site):
    site.work_s = 30.0
    path = await site.submit("sweep", 4, count=2, gpu=8)
    await site.callers.until_state(path, "running")
    assert (await site.callers.call("DELETE", path))[0] == 200
    await site.callers.until_state(path, "cancelled")
    with trio.fail_after(5):
        while any(  # noqa: ASYNC110
            one.running for one in site.pool.workers.values()
        ):
            await trio.sleep(0.05)


async def test_a_lost_leader_loses_no_job(site):
    site.work_s = 2.0
    paths = [await site.submit("batch", n, count=4) for n in range(10, 13)]
    await site.kill(await site.until_leader())
    paths.append(await site.submit("urgent", 20, count=2, gpu=8, gang=True))
    for path in paths:
        await site.callers.until_state(path, "completed", within=30)


@pytest.fixture
def full_disks(monkeypatch):
    """Data folders in which every write fails with a full disk."""
    folders = set()
    real = durable_files.write_all

    def write_all(descriptor, raw, path):
        if folders & set(path.parents):
            raise store.DiskFullError(f"{path}: no space")
        real(descriptor, raw, path)

    monkeypatch.setattr(durable_files, "write_all", write_all)
    return folders


async def test_jobs_continue_while_the_leader_s_disk_is_full(site, full_disks):
    full = await site.until_leader()
    before = await site.submit("batch", 40, count=2)
    full_disks.add(site.folder / full)
    paths = [await site.submit("batch", n, count=2) for n in range(41, 44)]
    assert site.leader() not in ("", full)
    assert not site.ended[full].is_set()
    control = f"{full}:{site.control_port}"
    answer = await site.operator.call("GET", "/-/config", address=control)
    assert answer[0] == 200  # it still reaches the leader
    for path in (before, *paths):
        await site.callers.until_state(path, "completed")
    text = site.daemons[full]._metrics.render()[0].decode()
    assert 'group_disk_full{group="site"} 1' in text
    full_disks.clear()
    with trio.fail_after(2):
        leader = await site.until_leader()
        while applied(site, full) != applied(site, leader):  # noqa: ASYNC110
            await trio.sleep(0.05)


def applied(site, vm) -> int:
    return site.daemons[vm]._host.status()[0].applied


async def test_with_all_disks_full_jobs_are_refused_at_once(site, full_disks):
    await site.until_leader()
    done = await site.submit("batch", 45)
    await site.callers.until_state(done, "completed")
    full_disks |= {site.folder / vm for vm in site.seeds}
    refused = ""
    for number in range(50, 60):
        path, body = site.job("batch", number)
        began = trio.current_time()
        status, _ = await site.callers.call("POST", path, body)
        assert status in (503, 504)
        if status == 503 and trio.current_time() - began < IMMEDIATE_S:
            refused = path
            break
    assert refused
    assert not any(site.ended[vm].is_set() for vm in site.seeds)
    state = await site.callers.call("GET", done)
    assert state[0] == 200
    assert state[1]["state"] == "completed"
    full_disks.clear()
    path = await site.submit("urgent", 60)
    await site.callers.until_state(path, "completed")
    assert (await site.callers.call("GET", refused))[0] == 410


async def test_a_core_vm_that_starts_with_a_full_disk_serves(site, full_disks):
    vm = await site.until_leader()
    await site.kill(vm)
    full_disks.add(site.folder / vm)
    await site.start_core(vm)
    control = f"{vm}:{site.control_port}"
    with trio.fail_after(5):
        while True:
            call = site.operator.call("GET", "/-/config", address=control)
            if (await call)[0] == 200:
                break
            await trio.sleep(0.1)
    assert not site.daemons[vm]._host.status()
    full_disks.clear()
    with trio.fail_after(3):
        while not site.daemons[vm]._host.status():  # noqa: ASYNC110
            await trio.sleep(0.05)


async def test_a_vm_that_lost_its_disk_joins_again(site):
    lost = await site.until_leader()
    await site.submit("batch", 30)
    await site.kill(lost)
    shutil.rmtree(site.folder / lost)
    await site.start_core(lost, founding=False)
    with trio.fail_after(15):
        while True:
            members = site.daemons[lost]._host.members(role.SITE_GROUP)
            if set(members) == set(site.seeds):
                break
            await trio.sleep(0.1)
    other = next(vm for vm in site.seeds if vm != lost)
    await trio.sleep(1.5)
    await site.kill(other)  # tolerated, since the first VM has caught up
    path = await site.submit("urgent", 31)
    await site.callers.until_state(path, "completed", within=20)


async def test_the_scheduler_of_a_vm_that_joined_later_observes_commands(
    site, monkeypatch
):
    """A leader that misses commands plans only every half second."""
    observed = []

    def on_command(self, command):
        observed.append((self, type(command)))

    monkeypatch.setattr(schedulers.Scheduler, "on_command", on_command)
    spare = "127.0.77.4"
    await site.start_core(spare)
    joined = site.daemons[spare]._scheduler
    leading = await site.until_leader()
    await site.kill(next(vm for vm in site.seeds if vm != leading))
    with trio.fail_after(20):
        members = site.daemons[leading]._host.members
        while spare not in members(role.SITE_GROUP):  # noqa: ASYNC110
            await trio.sleep(0.1)
    await site.submit("batch", 33)
    with trio.fail_after(5):
        while (joined, caller_commands.SubmitJob) not in observed:  # noqa: ASYNC110
            await trio.sleep(0.05)


async def test_a_spare_vm_takes_the_place_of_a_lost_one(site):
    spare = "127.0.77.4"
    await site.start_core(spare)
    leading = await site.until_leader()
    lost = next(vm for vm in site.seeds if vm != leading)
    await site.kill(lost)
    leader = site.daemons[await site.until_leader()]
    with trio.fail_after(20):
        while True:
            members = set(leader._host.members(role.SITE_GROUP))
            if spare in members and lost not in members:
                break
            await trio.sleep(0.1)


async def test_the_version_in_force_only_increases(site):
    call = site.operator.call
    newer = standin.configuration(9)
    newer["tenants"][0]["api_keys"] = ["another-key"]
    await site.configure(newer)
    assert (await call("PUT", "/-/config", standin.configuration(5)))[0] == 200
    assert (await call("PUT", "/-/config", newer))[0] == 200
    other = standin.configuration(9)
    assert (await call("PUT", "/-/config", other))[0] == 409
    bad = standin.configuration(12, services=[])
    assert (await call("PUT", "/-/config", bad))[0] == 400
    for address in site.operator.addresses:
        assert await call("GET", "/-/config", address=address) == (200, newer)
    with trio.fail_after(2):  # the removed key stops working
        while True:
            status, _ = await site.callers.call("GET", "/sweep/")
            if status == 401:
                break
            await trio.sleep(0.05)


async def test_an_entry_without_the_core_rejects_calls_at_once(site):
    leader = await site.until_leader()
    for vm in site.seeds:
        if vm != leader:
            await site.kill(vm)
    with trio.fail_after(6):
        while True:
            began = trio.current_time()
            status, problem = await site.callers.call("GET", "/sweep/")
            if status == 503 and problem["type"] == "no-configuration":
                break
            await trio.sleep(0.1)
    assert trio.current_time() - began < 0.5
    body = {"spec": "", "steps": [{"count": 1}]}
    status, _ = await site.callers.call("POST", f"/urgent/{5:016x}", body)
    assert status == 503
    ready, _ = await site.callers.call("GET", "/-/ready")
    assert ready == 503


async def test_a_stopping_entry_is_unready_and_still_answers(site):
    entry = site.daemons["127.0.77.11"]
    path = await site.submit("batch", 40)
    entry.stop()
    await trio.sleep(0.1)
    assert (await site.callers.call("GET", "/-/ready"))[0] == 503
    await site.callers.until_state(path, "completed", within=2.5)
    with trio.fail_after(5):
        await site.ended["127.0.77.11"].wait()


async def test_a_draining_worker_gets_no_new_work(site):
    worker = site.pool.workers["w0"]
    body = standin.heartbeat(worker, 10**6, state="draining")
    await site.operator.until(200, "PUT", "/-/instances/w0", body)
    path = await site.submit("batch", 50, count=4)
    await site.callers.until_state(path, "completed")
    assert "/-/run-start" not in site.apps["w0"].calls
    assert site.apps["w1"].calls.count("/-/run-start") == 4


async def test_bad_announcements_have_no_effect(site):
    """Each core VM receives all of them, under a known and an unknown id."""
    valid = standin.heartbeat(site.pool.workers["w0"], 10**6)
    for name, raw in test_announcements.bad_bodies():
        for vm in site.seeds:
            path = f"/-/instances/{'w0' if len(name) % 2 else 'i-new'}"
            address = f"{vm}:{site.control_port}"
            status, answer = await site.operator.send("PUT", path, raw, address)
            assert (status, answer["type"]) == (400, "malformed-announcement")
    stray = {**valid, "service": "nobody's"}
    status, _ = await site.operator.call("PUT", "/-/instances/w0", stray)
    assert status == 409
    status, _ = await site.operator.call("PUT", "/-/instances/i-new", stray)
    assert status == 200
    path = await site.submit("urgent", 60, count=2, gpu=8, gang=True)
    await site.callers.until_state(path, "completed")
    assert not any(ended.is_set() for ended in site.ended.values())


async def test_a_late_announcement_does_not_restore_a_crashed_worker(
    site,
):
    """An announcement of a replaced worker does not restore the old worker.

    The new worker at its address gets the work.
    """
    old = site.pool.workers["w0"]
    late = standin.heartbeat(old, 10**6)
    old.vanish()
    reborn = site.pool.add(
        msgspec.structs.replace(old.worker, worker_id="reborn")
    )
    site.apps["w0"].worker = reborn
    site.nursery.start_soon(site._announce, reborn)
    for vm in site.seeds:
        address = f"{vm}:{site.control_port}"
        status, _ = await site.operator.call(
            "PUT", "/-/instances/w0", late, address
        )
        assert status == 200
    path = await site.submit("urgent", 61, count=2, gpu=8, gang=True)
    await site.callers.until_state(path, "completed")
    await site.kill(await site.until_leader())
    await site.until_leader()
    left = [vm for vm in site.seeds if not site.ended[vm].is_set()]
    site.operator.addresses = [f"{vm}:{site.control_port}" for vm in left]
    await site.operator.until(200, "PUT", "/-/instances/w0", late)
    path = await site.submit("urgent", 62, count=2, gpu=8, gang=True)
    await site.callers.until_state(path, "completed")
    leading = site.daemons[await site.until_leader()]
    machine = leading._host.local_state_machine(role.SITE_GROUP)
    assert set(machine.component("batch").workers) == {"reborn", "w1"}
