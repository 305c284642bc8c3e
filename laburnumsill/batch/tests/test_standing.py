"""Units that stand still: each wait for better capacity has a bound."""

import dataclasses

import pytest

from laburnumsill.batch import commands
from laburnumsill.batch import headroom
from laburnumsill.batch import model
from laburnumsill.batch import planner
from laburnumsill.batch import standing
from laburnumsill.batch.tests import planned_site

LONG_MS = 60_000
"""A time after which no unit waits for better capacity, in ms."""


def mostly_free_site():
    """Returns a site of four racks whose rack r0 is full."""
    ledger = planned_site.site(racks=4)
    planned_site.occupy_rack(ledger, "r0")
    return ledger


def test_no_task_waits_for_the_rack_of_its_data_while_others_are_free():
    ledger = mostly_free_site()
    planned_site.submit(ledger, planned_site.near_data(7))
    too_early = planned_site.plan_after(
        ledger, standing.MAX_STANDING_MS - 1, "near"
    )
    assert too_early.groups == []
    made = planned_site.plan_after(ledger, standing.MAX_STANDING_MS, "near")
    assert [len(group) for group in made.groups] == [1]


def test_tasks_that_follow_the_first_one_wait_for_the_rack_of_their_data():
    ledger = mostly_free_site()
    planned_site.submit(ledger, planned_site.near_data(7))
    made = planned_site.plan_after(ledger, standing.MAX_STANDING_MS, "near")
    planned_site.apply_plan(ledger, made)
    assert planned_site.plan_after(ledger, LONG_MS, "near").groups == []


def test_wait_for_the_rack_of_the_data_is_bounded_in_a_busy_pool():
    ledger = planned_site.site()
    planned_site.occupy_rack(ledger, "r0")
    planned_site.submit(ledger, planned_site.near_data(7))
    made = planned_site.plan_after(ledger, standing.MAX_STANDING_MS, "near")
    assert len(made.groups) == 1


def test_rack_of_the_data_is_chosen_if_it_has_room():
    ledger = mostly_free_site()
    (run, _) = sorted(ledger.runs)
    worker_id = ledger.runs[run].worker_id
    end = commands.EndedRun(1, run, commands.EndKind.DONE)
    ledger.note_ends(commands.NoteEnds(worker_id, (end,), 0))
    planned_site.submit(ledger, planned_site.near_data(1))
    made = planned_site.plan_after(ledger, standing.MAX_STANDING_MS, "near")
    assert planned_site.workers_used(made) == {worker_id}


def test_each_task_that_lasts_leaves_the_rack_of_its_data():
    """Its siblings' runs do not help a task that serves callers itself."""
    ledger = planned_site.site()
    planned_site.occupy_rack(ledger, "r0")
    planned_site.submit(ledger, planned_site.near_data(3, long_running=True))
    run = model.RunId(model.TaskId("near", 0, 0, 0), 1)
    placement = commands.Placement(run, "w10")
    ledger.place(commands.PlaceRuns(((placement,),), 0))
    made = planned_site.plan_after(ledger, standing.MAX_STANDING_MS, "near")
    assert len(made.groups) == 2


def test_no_gang_waits_for_one_rack_in_a_mostly_free_pool():
    ledger = planned_site.site(racks=4)
    for rack in range(4):
        planned_site.occupy(ledger, f"w{rack}0", f"on-{rack}", 5)
    planned_site.submit(
        ledger,
        planned_site.job("gang", 2, 6, priority=1, gang=True, same_rack=True),
    )
    made = planned_site.plan_after(
        ledger,
        standing.MAX_STANDING_MS,
        "gang",
        policy=dataclasses.replace(
            planned_site.planner_input(ledger).policy, spreading=False
        ),
    )
    assert [len(group) for group in made.groups] == [2]


@pytest.mark.parametrize("gang", [False, True])
def test_no_job_waits_beside_poor_workers_that_are_free(gang):
    ledger = planned_site.site()
    planned_site.submit(
        ledger, planned_site.job("avoids", 1, 8, priority=2, gang=gang)
    )
    planned_site.occupy_rack(ledger, "r0", accelerators=1)
    poor = {"avoided_workers": lambda _: frozenset({"w10", "w11"})}
    early = planned_site.plan_after(
        ledger, standing.MAX_STANDING_MS - 1, "avoids", **poor
    )
    assert early.groups == []
    made = planned_site.plan_after(
        ledger, standing.MAX_STANDING_MS, "avoids", **poor
    )
    assert len(made.groups) == 1


@pytest.mark.parametrize("pool", [8, 64, 192])
def test_headroom_leaves_a_mostly_free_pool_to_gangs(pool):
    """A pool of which half is free holds a gang twice over beside headroom."""
    for free in range(pool // 2 + 1, pool + 1):
        for gang in range(1, free // standing.ROOM_FACTOR + 1):
            assert headroom.tasks_beside(pool, pool, free, gang) >= 1


def test_wait_beside_reserved_capacity_is_bounded_in_a_busy_pool():
    ledger = planned_site.site(racks=2, per_rack=3)
    for worker_id in ("w00", "w10", "w11"):
        planned_site.occupy(ledger, worker_id, f"on-{worker_id}", 8)
    planned_site.occupy(ledger, "w01", "last", 1)
    wide = planned_site.job("wide", 5, 8, priority=1, gang=True)
    planned_site.submit(ledger, wide)
    planned_site.submit(ledger, planned_site.job("many", 48, 1, priority=2))
    late_ms = planner.RESERVE_AFTER_MS
    assert planned_site.plan_after(ledger, late_ms).groups == []
    made = planned_site.plan_after(ledger, late_ms, "many")
    assert [len(group) for group in made.groups] == [1]


def test_unit_with_room_for_one_copy_may_wait():
    """Room for one copy may be all that a waiting gang needs."""
    ledger = planned_site.site()
    planned_site.occupy_rack(ledger, "r0")
    planned_site.occupy(ledger, "w10", "busy", 7)
    planned_site.occupy(ledger, "w11", "busy-too", 8)
    planned_site.submit(ledger, planned_site.near_data(1))
    assert planned_site.plan_after(ledger, LONG_MS, "near").groups == []
