"""Evacuated failure domains: orders, placements, starts and planning."""

import dataclasses

import msgspec
import pytest
import trio

from laburnumsill.batch import commands
from laburnumsill.batch import domain_gateway
from laburnumsill.batch import evacuations
from laburnumsill.batch import ledger as ledgers
from laburnumsill.batch import model
from laburnumsill.batch import planner
from laburnumsill.batch.tests import planned_site
from laburnumsill.core import codec
from laburnumsill.core import errors
from laburnumsill.core import replication
from laburnumsill.core import trio_clock
from laburnumsill.emulator import oracle as oracles
from laburnumsill.emulator import site as sites
from laburnumsill.emulator import virtual_time
from laburnumsill.testing import local_groups

NORTH = "north"
SOUTH = "south"


def site_of_two_domains(per_rack=2):
    """Returns a ledger with one rack in each of two failure domains."""
    ledger = planned_site.site(2, per_rack)
    for worker in list(ledger.workers.values()):
        domain = NORTH if worker.rack == "r0" else SOUTH
        moved = msgspec.structs.replace(worker, domain=domain)
        ledger.put_worker(commands.PutWorker(moved))
    return ledger


def order(ledger, domain, evacuated, expected_version=None):
    """Gives an order against the present version, unless another is given."""
    if expected_version is None:
        query = evacuations.DomainQuery(domain)
        expected_version = ledger.domain_status(query).state.version
    return ledger.set_evacuation(
        evacuations.SetEvacuation(
            domain, evacuated, expected_version, 7, counts_always=True
        )
    )


def input_without(ledger, *domains):
    """Returns a planner input without the workers of some domains."""
    usable = {
        worker.worker_id
        for worker in ledger.workers.values()
        if worker.domain not in domains
    }
    return dataclasses.replace(
        planned_site.planner_input(ledger),
        usable=usable,
        explain=lambda _: True,
    )


def test_orders_end_in_what_was_asked_last():
    ledger = site_of_two_domains()
    assert order(ledger, NORTH, True).version == 1
    assert order(ledger, NORTH, True, 0).version == 1  # a repeated order
    assert order(ledger, NORTH, False).version == 2
    with pytest.raises(evacuations.EvacuationConflictError):
        order(ledger, NORTH, True, 0)  # the first order, committed late
    assert not ledger.is_evacuated(NORTH)
    assert order(ledger, NORTH, True).version == 3
    assert ledger.evacuated_domains == {NORTH}


def test_an_order_for_the_present_state_is_not_reverted_by_an_earlier_one():
    """Guards against an order that was given up and is committed late.

    The operator repeated the order before it, which changed nothing.
    """
    ledger = site_of_two_domains()
    order(ledger, NORTH, True)
    given_up = 1
    repeated = order(ledger, NORTH, True)
    assert repeated.since_ms == 7
    with pytest.raises(evacuations.EvacuationConflictError):
        order(ledger, NORTH, False, given_up)
    assert ledger.is_evacuated(NORTH)


def test_orders_in_the_log_of_an_earlier_version_are_replayed_as_they_were():
    """Guards against an upgrade that loses an acknowledged order."""
    ledger = site_of_two_domains()
    for evacuated, expected_version in ((True, 0), (True, 1), (False, 1)):
        fields = {
            "domain": NORTH,
            "evacuated": evacuated,
            "expected_version": expected_version,
            "at_ms": 7,
        }
        raw = msgspec.msgpack.encode(["batch.set-evacuation", fields])
        ledger.set_evacuation(codec.decode(raw))
    assert not ledger.is_evacuated(NORTH)
    status = ledger.domain_status(evacuations.DomainQuery(NORTH))
    assert status.state.version == 2


class SlowGroups(local_groups.LocalGroups):
    """Groups whose answers to queries are read after a pause."""

    pause_s = 0.0

    async def query(self, group, query, deadline):
        answer = await super().query(group, query, deadline)
        await trio.sleep(self.pause_s)
        return answer


async def test_an_order_whose_caller_may_have_left_changes_nothing(
    autojump_clock,
):
    """Guards against an order that replaces the state it did not know."""
    ledger = site_of_two_domains()
    groups = SlowGroups({"site": replication.StateMachine(ledger)})
    gateway = domain_gateway.DomainGateway(
        "site", groups, lambda: (), trio_clock.TrioClock()
    )
    await gateway.evacuate(NORTH, trio.current_time() + 1)
    groups.pause_s = 7.0
    with pytest.raises(evacuations.OrderLateError):
        await gateway.restore(NORTH, trio.current_time() + 1)
    assert ledger.is_evacuated(NORTH)
    assert evacuations.OrderLateError.status == 503


def test_a_snapshot_keeps_evacuations():
    ledger = site_of_two_domains()
    order(ledger, NORTH, True)
    restored = ledgers.BatchLedger()
    restored.load(ledger.dump())
    assert restored.evacuated_domains == {NORTH}
    needs = model.Resources(1000, 1, 8)
    assert restored.slots_in("pool", needs) == 2
    assert restored.slots_in("pool", needs) == ledger.slots_in("pool", needs)
    state = restored.domain_status(evacuations.DomainQuery(NORTH)).state
    assert state == evacuations.DomainState(True, 1, 7)


def test_a_snapshot_of_an_earlier_version_has_no_evacuations():
    ledger = site_of_two_domains()
    order(ledger, NORTH, True)
    name, fields = msgspec.msgpack.decode(ledger.dump())
    assert fields.pop("domains")
    ledger.load(msgspec.msgpack.encode([name, fields]))
    assert ledger.evacuated_domains == set()
    assert ledger.slots_in("pool", model.Resources(1000, 1, 8)) == 4


def test_no_run_is_placed_in_an_evacuated_domain():
    ledger = site_of_two_domains()
    planned_site.submit(ledger, planned_site.job("j", 1, 8))
    made = planner.plan(planned_site.planner_input(ledger))
    ((placement,),) = made.groups
    order(ledger, ledger.workers[placement.worker_id].domain, True)
    (refusal,) = ledger.place(
        commands.PlaceRuns(tuple(made.groups), 0)
    ).refusals
    assert "is evacuated" in refusal
    assert not ledger.runs


def test_live_runs_go_on_in_an_evacuated_domain():
    ledger = site_of_two_domains()
    planned_site.occupy(ledger, "w00", "busy", 8)
    order(ledger, NORTH, True)
    status = ledger.domain_status(evacuations.DomainQuery(NORTH))
    assert (status.runs, status.accelerators_left) == (1, 16)
    (run,) = ledger.runs
    end = commands.EndedRun(1, run, commands.EndKind.DONE)
    ledger.note_ends(commands.NoteEnds("w00", (end,), 9))
    assert str(ledger.jobs["busy"].state) == "completed"


def test_a_waiting_unit_is_logged_with_the_evacuated_domains():
    ledger = site_of_two_domains()
    order(ledger, NORTH, True)
    order(ledger, SOUTH, True)
    planned_site.submit(ledger, planned_site.job("j", 1, 8))
    made = planner.plan(input_without(ledger, NORTH, SOUTH))
    (obstacle,) = made.obstacles.values()
    assert "evacuated:north+south" in obstacle


def job(job_id, tasks, priority=1, **step):
    needs = model.Resources(2000, 1024, 8)
    one = model.Step(tasks, needs, 2000, **step)
    terms = model.QueueTerms(sites.POOL, priority, 3, 3.0, 3000)
    return model.Job(job_id, "q", "a", "", (one,), terms)


def run_site(script, racks=2, per_rack=2):
    """Runs a script on an emulated site whose racks are failure domains."""

    async def main():
        site = sites.EmulatedSite(5, racks, per_rack)
        async with trio.open_nursery() as nursery:
            await nursery.start(site.run)
            await trio.sleep(1.0)
            await script(site)
            nursery.cancel_scope.cancel()
        assert not site.oracle.broken, site.oracle.broken[:3]

    virtual_time.run(5, main)


def domains_in_use(site):
    return {
        site.ledger.workers[run.worker_id].domain
        for run in site.ledger.runs.values()
    }


def test_jobs_use_what_is_left_and_a_restored_domain_at_once():
    async def script(site):
        await site.evacuate("d0")
        await site.submit(job("wide", 4), [2.0])
        await trio.sleep(0.5)
        assert domains_in_use(site) == {"d1"}
        assert len(site.ledger.runs) == 2
        await site.restore("d0")
        await trio.sleep(0.5)
        assert domains_in_use(site) == {"d0", "d1"}
        await trio.sleep(3)
        site.look()
        assert site.outcomes["wide"].state == "completed"

    run_site(script)


def test_a_gang_that_waits_for_an_evacuated_domain_is_replanned():
    async def script(site):
        await site.submit(job("busy", 2, priority=0, gang=True), [2.0])
        await trio.sleep(0.3)
        (busy,) = domains_in_use(site)
        (other,) = {"d0", "d1"} - {busy}
        await site.evacuate(other)
        await site.submit(job("gang", 2, gang=True, same_rack=True), [1.0])
        await trio.sleep(1.0)
        assert domains_in_use(site) == {busy}
        await site.evacuate(busy)
        await site.restore(other)
        await trio.sleep(0.5)
        assert domains_in_use(site) == {busy, other}

    run_site(script)


def test_the_next_leader_starts_no_run_placed_before_an_evacuation():
    """The leader was lost before it ordered a run that it had placed."""

    async def script(site):
        await site.evacuate("d0")
        await site.evacuate("d1")
        await site.submit(job("j", 1), [1.0])
        await trio.sleep(oracles.EVACUATION_GRACE_S + 1)
        site.oracle.record_restore("d1")
        site.groups.lead("")
        run = model.RunId(model.TaskId("j", 0, 0, 0), 1)
        apply = site.groups.machine.apply
        apply(evacuations.SetEvacuation("d0", False, 1, 0))
        group = (commands.Placement(run, "w0-0"),)
        assert apply(commands.PlaceRuns((group,), 0)).refusals == ("",)
        apply(evacuations.SetEvacuation("d0", True, 2, 0))
        apply(evacuations.SetEvacuation("d1", False, 1, 0))
        site.groups.lead("vm2")
        await trio.sleep(5)
        site.look()
        assert site.outcomes["j"].state == "completed"

    run_site(script)


class UnreachableGroups(replication.Groups):
    """Groups without a leader."""

    async def propose(self, group, command, deadline):
        raise errors.NoQuorumError("nobody leads")

    async def query(self, group, query, deadline):
        raise errors.NoQuorumError("nobody leads")

    def leads(self, group):
        return False

    def term(self, group):
        return 0

    def local_state_machine(self, group):
        return None


async def test_an_unknown_domain_is_refused():
    ledger = site_of_two_domains()
    groups = local_groups.LocalGroups(
        {"site": replication.StateMachine(ledger)}
    )
    gateway = domain_gateway.DomainGateway(
        "site", groups, lambda: ("empty",), trio_clock.TrioClock()
    )
    deadline = trio.current_time() + 1
    with pytest.raises(evacuations.UnknownFailureDomainError):
        await gateway.evacuate("nowhere", deadline)
    await gateway.evacuate("empty", deadline)  # its workers may come later
    await gateway.evacuate(NORTH, deadline)
    assert ledger.evacuated_domains == {"empty", NORTH}
    await gateway.restore(NORTH, deadline)
    status = await gateway.status(NORTH, deadline)
    assert not status.state.evacuated
    assert ledger.evacuated_domains == {"empty"}


async def test_an_order_without_a_leader_can_be_repeated():
    gateway = domain_gateway.DomainGateway(
        "site", UnreachableGroups(), lambda: (NORTH,), trio_clock.TrioClock()
    )
    with pytest.raises(errors.UnavailableError) as caught:
        await gateway.evacuate(NORTH, trio.current_time() + 1)
    assert caught.value.status == 503
