"""What disturbs an emulated site, so that no job of it is judged."""

import msgspec
import pytest
import trio

from laburnumsill.batch import model
from laburnumsill.emulator import site as sites
from laburnumsill.emulator import standing
from laburnumsill.emulator import virtual_time

LOST_ARE_CALM = standing.Terms(lost_answers_disturb=False)


def observe(change, terms=standing.DEFAULT_TERMS):
    """Returns the conditions of a site before and after a change."""

    async def main():
        site = sites.EmulatedSite(1, terms=terms)
        site.groups.lead("vm1")
        for rack in range(2):
            site.add_worker(f"w{rack}", rack)
        before = site.conditions.observe()
        change(site)
        return before, site.conditions.observe()

    return virtual_time.run(1, main)


def lose_answers(site):
    site.client.lost_share = 0.05


def hang(site):
    site.pool.workers["w0"].behaviour.hangs = True


def fail(site):
    site.pool.workers["w0"].behaviour.fails = True


def delay_orders(site):
    site.client.late_share = 0.05


def cut_off(site):
    site.client.cut = {"w0"}


def cut_off_from_a_vm(site):
    site.groups.unreachable = {"vm2": {"w0"}}


def lose_leader(site):
    site.groups.lead("")


def silence(site):
    site.silent.add("w0")


@pytest.mark.parametrize(
    "disturb",
    [
        lose_answers,
        hang,
        fail,
        delay_orders,
        cut_off,
        cut_off_from_a_vm,
        lose_leader,
        silence,
    ],
)
def test_faults_disturb_a_site(disturb):
    before, after = observe(disturb)
    assert not before.disturbed
    assert after.disturbed


def test_lost_answers_are_calm_if_asked():
    _, after = observe(lose_answers, LOST_ARE_CALM)
    assert not after.disturbed


@pytest.mark.parametrize("disturb", [cut_off, hang, silence])
def test_faults_of_workers_that_are_gone_do_not_disturb(disturb):
    def change(site):
        disturb(site)
        site.pool.workers["w0"].vanish()

    before, after = observe(change)
    assert not after.disturbed
    assert after.workers == before.workers[1:]


def change_leader(site):
    site.groups.lead("vm2")


def move_queue(site):
    site.move_queue("q", sites.OTHER_POOL)


def guarantee(site):
    site.guarantees = {"a": 8}


@pytest.mark.parametrize("change", [change_leader, move_queue, guarantee])
def test_changes_of_the_leader_and_the_configuration_are_seen(change):
    before, after = observe(change)
    assert not after.disturbed
    assert before.settings != after.settings


def test_changes_of_a_worker_are_seen():
    def change(site):
        worker = site.pool.workers["w0"]
        worker.resize(model.Resources(1, 1, 1))
        worker.worker = msgspec.structs.replace(worker.worker, draining=True)

    before, after = observe(change)
    assert before.workers != after.workers


def test_a_worker_that_came_and_went_between_observations_is_seen():
    def change(site):
        site.add_worker("w2", 0).vanish()

    before, after = observe(change)
    assert before.workers == after.workers
    assert before.settings != after.settings


def test_a_site_with_a_suspended_vm_is_disturbed():
    async def main():
        site = sites.EmulatedSite(1)
        async with trio.open_nursery() as nursery:
            site.groups.lead("vm1")
            nursery.start_soon(site.groups.suspend, "vm2", 1.0)
            await trio.sleep(0.5)
            assert site.conditions.observe().disturbed
        assert not site.conditions.observe().disturbed

    virtual_time.run(1, main)


def test_a_site_judges_its_jobs():
    """Guards against a watch that no site starts."""

    async def main():
        site = sites.EmulatedSite(1, racks=1, per_rack=1)
        step = model.Step(1, model.Resources(1000, 1000, 1))
        terms = model.QueueTerms(sites.POOL, 1, 3)
        job = model.Job("j", "q", "a", "", (step,), terms)
        async with trio.open_nursery() as nursery:
            await nursery.start(site.run)
            await trio.sleep(1.0)
            # The schedulers do not know of this job.
            site.oracle.submitted(job)
            site.oracle.record_acceptance("j", trio.current_time())
            await trio.sleep(10.0)
            nursery.cancel_scope.cancel()
        return site.oracle.broken

    (line,) = virtual_time.run(1, main)
    assert "STILL job j" in line
