"""What a plan says about units that wait or stand still."""

import dataclasses

import msgspec

from laburnumsill.batch import commands
from laburnumsill.batch import model
from laburnumsill.batch import plan_log
from laburnumsill.batch import planner
from laburnumsill.batch.tests import planned_site
from laburnumsill.core import trio_clock

LATE_MS = planner.RESERVE_AFTER_MS


def explained(ledger, **changes):
    """Returns a plan that explains each unit that waits."""
    planner_input = planned_site.planner_input(ledger, now_ms=LATE_MS)
    return planner.plan(
        dataclasses.replace(planner_input, explain=lambda _: True, **changes)
    )


def holder(made, job_id):
    """Returns what holds a job's unit back."""
    fields = made.obstacles[job_id, 0, 0].split(",")
    return dict(field.split(":") for field in fields)["held-by"]


def full_rack(rack="r0"):
    """Returns a site of two racks, one of which is full."""
    ledger = planned_site.site()
    for worker_id, worker in sorted(ledger.workers.items()):
        if worker.rack == rack:
            planned_site.occupy(ledger, worker_id, f"on-{worker_id}", 8)
    return ledger


def test_full_site_has_no_room_and_nothing_stands():
    ledger = planned_site.site(racks=1, per_rack=1)
    planned_site.occupy(ledger, "w00", "busy", 7)
    planned_site.submit(ledger, planned_site.job("waits", 1, 2))
    made = explained(ledger)
    assert holder(made, "waits") == "no-room"
    assert made.standing_since_ms == {}


def test_unit_is_not_said_to_stand_with_room_for_one_copy():
    ledger = full_rack()
    planned_site.occupy(ledger, "w10", "busy", 7)
    planned_site.occupy(ledger, "w11", "busy-too", 8)
    near = planned_site.job("near", 1, 1, priority=2, data_rack="r0")
    planned_site.submit(ledger, near)
    made = explained(ledger)
    assert holder(made, "near") == "data-rack"
    assert made.standing_since_ms == {}


def test_job_stands_beside_workers_that_are_not_usable():
    """Guards against a clock that stops whenever workers are unreachable."""
    ledger = full_rack()
    planned_site.submit(ledger, planned_site.job("waits", 1, 8, priority=2))
    made = explained(ledger, usable={"w00", "w01"})
    assert holder(made, "waits") == "unusable-workers"
    assert list(made.standing_since_ms) == [("waits", 0, 0)]


def test_standing_begins_at_the_first_plan_that_finds_room():
    ledger = full_rack()
    near = planned_site.job("near", 1, 1, priority=2, data_rack="r0")
    planned_site.submit(ledger, near)
    made = explained(ledger)
    key = ("near", 0, 0)
    assert made.standing_since_ms == {key: LATE_MS}
    later = explained(
        ledger, now_ms=LATE_MS + 100, standing_since_ms=made.standing_since_ms
    )
    assert later.standing_since_ms == {key: LATE_MS}


def test_job_of_which_a_task_runs_does_not_stand():
    ledger = full_rack()
    near = planned_site.job("near", 2, 1, priority=2, data_rack="r0")
    planned_site.submit(ledger, near)
    run = model.RunId(model.TaskId("near", 0, 0, 0), 1)
    placement = commands.Placement(run, "w10")
    ledger.place(commands.PlaceRuns(((placement,),), 0))
    assert explained(ledger).standing_since_ms == {}


def test_long_running_task_stands_beside_another_one_of_its_step():
    ledger = full_rack()
    lasting = planned_site.job(
        "lasts", 2, 1, priority=2, data_rack="r0", long_running=True
    )
    planned_site.submit(ledger, lasting)
    run = model.RunId(model.TaskId("lasts", 0, 0, 0), 1)
    placement = commands.Placement(run, "w10")
    ledger.place(commands.PlaceRuns(((placement,),), 0))
    assert list(explained(ledger).standing_since_ms) == [("lasts", 0, 0)]


def test_reservation_is_named_with_the_gang_that_has_it():
    ledger = planned_site.site(racks=1, per_rack=2)
    planned_site.occupy(ledger, "w00", "busy", 1)
    gang = planned_site.job("gang", 2, 8, priority=1, gang=True)
    planned_site.submit(ledger, gang)
    planned_site.submit(ledger, planned_site.job("small", 9, 1, priority=2))
    made = explained(ledger)
    assert holder(made, "small") == "reservation"
    assert "kept-for:gang" in made.obstacles["small", 0, 0]


def test_gang_that_waits_for_one_rack_is_held_by_it():
    ledger = planned_site.site()
    for worker_id in ("w00", "w10"):
        planned_site.occupy(ledger, worker_id, f"on-{worker_id}", 8)
    gang = planned_site.job("gang", 2, 8, priority=1, gang=True, same_rack=True)
    planned_site.submit(ledger, gang)
    assert holder(explained(ledger), "gang") == "one-rack"


def test_poor_workers_are_named():
    ledger = full_rack()
    planned_site.submit(ledger, planned_site.job("avoids", 1, 8, priority=2))
    made = explained(
        ledger, avoided_workers=lambda _: frozenset({"w10", "w11"})
    )
    assert holder(made, "avoids") == "poor-workers"


def test_headroom_is_named():
    ledger = planned_site.site()
    gang = planned_site.job("gang", 4, 8, priority=1, gang=True)
    gang = msgspec.structs.replace(
        gang, terms=msgspec.structs.replace(gang.terms, target_ms=300_000)
    )
    planned_site.submit(ledger, gang)
    assert holder(explained(ledger, headroom=8), "gang") == "headroom"


async def test_standing_unit_is_logged_once_without_waiting_for_the_interval():
    ledger = full_rack()
    near = planned_site.job("near", 1, 1, priority=2, data_rack="r0")
    planned_site.submit(ledger, near)
    clock = trio_clock.TrioClock(0.0)
    log = plan_log.PlanLog(ledger, clock)
    made = explained(ledger)
    key = ("near", 0, 0)
    now_ms = round(1000 * clock.monotonic())
    made.standing_since_ms[key] = now_ms
    log.log_waiting(made, usable=4)
    assert not log.is_due(key)
    made.standing_since_ms[key] = now_ms - plan_log.STANDING_LOG_AFTER_MS
    log.log_waiting(dataclasses.replace(made, obstacles={}), usable=4)
    assert log.is_due(key)
    assert log.jobs_standing == 1 and log.longest_standing_s >= 1.0
    log.log_waiting(made, usable=4)
    assert not log.is_due(key)
