"""Which capacity a job that stands still takes, and what it leaves."""

import dataclasses

import msgspec
import pytest

from laburnumsill.batch import commands
from laburnumsill.batch import model
from laburnumsill.batch import planner
from laburnumsill.batch import standing
from laburnumsill.batch.tests import planned_site

PLAN_INTERVAL_MS = 250
START_BACKOFF_MS = 1_000


def next_plan(ledger, now_ms, since_ms, usable=None, **changes):
    """Returns the plan that follows one in which units stood."""
    made = planned_site.planner_input(ledger, now_ms=now_ms)
    changes.setdefault("standing_since_ms", since_ms)
    if usable is not None:
        changes["usable"] = usable
    return planner.plan(dataclasses.replace(made, **changes))


def test_gang_beside_a_reservation_does_not_wait_for_headroom():
    """Two of 32 accelerators are in use; eight copies of a task have room."""
    ledger = planned_site.site()
    planned_site.occupy(ledger, "w00", "on-w00", 1)
    planned_site.occupy(ledger, "w11", "on-w11", 1)
    planned_site.submit(
        ledger, planned_site.job("wide", 3, 8, priority=1, gang=True)
    )
    one = planned_site.job("small", 2, 3, priority=2, gang=True)
    terms = msgspec.structs.replace(one.terms, target_ms=60_000)
    planned_site.submit(ledger, msgspec.structs.replace(one, terms=terms))
    late_ms = planner.RESERVE_AFTER_MS + 10_000
    made = planned_site.plan_after(ledger, late_ms, "small", headroom=8)
    assert planned_site.placed_jobs(made) == {"small"}


def test_one_task_for_each_worker_has_room_on_one_far_worker():
    """The emulator counts room for each copy by itself, see its watch."""
    ledger = planned_site.site()
    planned_site.occupy_rack(ledger, "r0")
    planned_site.occupy(ledger, "w10", "on-w10", 8)
    planned_site.submit(ledger, planned_site.near_data(1, max_per_worker=1))
    made = planned_site.plan_after(ledger, 60_000, "near")
    assert len(made.groups) == 1


def test_gang_with_one_task_for_each_worker_stands_on_just_its_workers():
    ledger = planned_site.site(racks=2, per_rack=2)
    planned_site.occupy(ledger, "w00", "on-w00", 8)
    planned_site.occupy(ledger, "w10", "on-w10", 8)
    planned_site.submit(
        ledger,
        planned_site.job(
            "gang", 2, 4, 1, gang=True, same_rack=True, max_per_worker=1
        ),
    )
    made = planned_site.plan_after(ledger, 60_000, "gang")
    assert [len(group) for group in made.groups] == [2]


def test_wait_is_bounded_after_the_wall_clock_was_set_back():
    ledger = planned_site.site(racks=4)
    planned_site.occupy_rack(ledger, "r0")
    planned_site.submit(ledger, planned_site.near_data(7))
    since_ms = next_plan(ledger, 60_000, {}).standing_since_ms
    assert since_ms
    for waited_ms in range(0, 20_000, PLAN_INTERVAL_MS):
        made = next_plan(
            ledger,
            10_000 + waited_ms,
            since_ms,
            steady_ms=60_000 + waited_ms,
        )
        if made.groups:
            break
        since_ms = made.standing_since_ms
    assert waited_ms <= 3_000


def test_job_leaves_a_worker_that_refuses_its_start():
    """The worker refuses each start; every other far worker would run it."""
    ledger = planned_site.site(racks=4)
    planned_site.occupy_rack(ledger, "r0")
    planned_site.occupy(ledger, "w10", "on-w10", 1)
    planned_site.submit(ledger, planned_site.near_data(1))
    since_ms, backoff_until_ms, refused = {}, 0, []
    for now_ms in range(0, 20_000, PLAN_INTERVAL_MS):
        usable = set(ledger.workers)
        if now_ms < backoff_until_ms:
            usable.remove("w10")
        made = next_plan(ledger, now_ms, since_ms, usable)
        since_ms = made.standing_since_ms
        if not made.groups:
            continue
        if planned_site.workers_used(made) != {"w10"}:
            break
        planned_site.apply_plan(ledger, made)
        run = made.groups[0][0].run
        release = commands.Release(run, "w10", "no-room")
        ledger.release(commands.ReleaseRuns((release,), now_ms))
        backoff_until_ms = now_ms + START_BACKOFF_MS
        refused.append(now_ms)
    assert now_ms <= 3_000, refused


@pytest.mark.parametrize(
    "poor",
    [
        pytest.param(
            {"avoided_workers": lambda _: frozenset({"w10"})}, id="it-failed"
        ),
        pytest.param(
            {"slowness": lambda one: 20.0 if one == "w10" else 1.0},
            id="very-slow",
        ),
    ],
)
def test_standing_task_avoids_a_poor_worker(poor):
    ledger = planned_site.site()
    planned_site.occupy_rack(ledger, "r0")
    planned_site.occupy(ledger, "w10", "on-w10", 1)
    planned_site.submit(ledger, planned_site.near_data(1))
    made = planned_site.plan_after(
        ledger, standing.MAX_STANDING_MS, "near", **poor
    )
    assert planned_site.workers_used(made) == {"w11"}


def test_suspects_of_a_lasting_step_keep_its_limit_for_each_worker():
    ledger = planned_site.site()
    planned_site.submit(
        ledger,
        planned_site.job(
            "lasting", 2, 1, priority=2, long_running=True, max_per_worker=1
        ),
    )
    for index in range(2):
        run = model.RunId(model.TaskId("lasting", 0, 0, index), 1)
        ledger.place(
            commands.PlaceRuns(((commands.Placement(run, f"w0{index}"),),), 0)
        )
    for index in range(2):
        ledger.remove_worker(
            commands.RemoveWorker(
                f"w0{index}", "crashed", ended_ms=1, crashed=True
            )
        )
    assert len(ledger.crashes.suspects) == 2
    planned_site.occupy(ledger, "w10", "a", 1)
    planned_site.occupy(ledger, "w10", "b", 1)
    planned_site.occupy(ledger, "w11", "c", 1)
    made = next_plan(ledger, 60_000, {})
    placed = ledger.place(commands.PlaceRuns(tuple(made.groups), 0))
    assert set(placed.refusals) == {""}, (made.groups, placed.refusals)


def test_a_stream_of_small_jobs_does_not_starve_a_reserved_gang():
    """A job each half second, of one task of 6 s; the gang needs two workers.

    Half of the pool runs tasks that last.
    """
    ledger = planned_site.site()
    for worker_id in ("w00", "w01"):
        planned_site.occupy(
            ledger, worker_id, f"on-{worker_id}", 8, long_running=True
        )
    planned_site.occupy(ledger, "w10", "first", 1)
    planned_site.submit(
        ledger, planned_site.job("gang", 2, 8, priority=1, gang=True)
    )
    since_ms, ends, racks, number = {}, {}, {}, 0
    end_numbers = dict.fromkeys(ledger.workers, 0)
    ends[next(r for r in ledger.runs if r.task.job_id == "first")] = 6_000
    for now_ms in range(0, 120_000, PLAN_INTERVAL_MS):
        for run in [run for run, at_ms in ends.items() if at_ms <= now_ms]:
            worker_id = ledger.runs[run].worker_id
            end_numbers[worker_id] += 1
            end = commands.EndedRun(
                end_numbers[worker_id], run, commands.EndKind.DONE
            )
            ledger.note_ends(commands.NoteEnds(worker_id, (end,), now_ms))
            del ends[run]
        if now_ms % 500 == 0:
            planned_site.submit(
                ledger, planned_site.job(f"small-{number}", 1, 1, priority=2)
            )
            number += 1
        made = next_plan(ledger, now_ms, since_ms, reserved_racks=racks)
        since_ms, racks = made.standing_since_ms, made.reserved_racks
        ledger.place(commands.PlaceRuns(tuple(made.groups), now_ms))
        if "gang" in planned_site.placed_jobs(made):
            break
        for group in made.groups:
            ends[group[0].run] = now_ms + 6_000
    assert now_ms < 60_000


def test_room_that_waits_for_the_stop_of_a_run_is_not_withheld_for_ever():
    """The run on w11 outlives its stop; w10 is idle all the while."""
    ledger = planned_site.site()
    planned_site.occupy_rack(ledger, "r0")
    planned_site.occupy(ledger, "w11", "outlives", 8)
    (stopping,) = ledger.runs_on("w11")
    planned_site.submit(
        ledger, planned_site.job("urgent", 2, 8, priority=0, gang=True)
    )
    planned_site.submit(ledger, planned_site.near_data(1))
    since_ms = {("near", 0, 0): 0}
    for now_ms in range(0, 20_000, PLAN_INTERVAL_MS):
        made = next_plan(
            ledger, now_ms, since_ms, stopping=frozenset({stopping})
        )
        since_ms = made.standing_since_ms
        if made.groups:
            break
    assert now_ms <= 3_000


def test_run_on_an_unreachable_worker_does_not_hold_the_rest_of_its_job():
    """It may run on for the 10 s of its lease, or be over all the while."""
    ledger = planned_site.site()
    planned_site.submit(ledger, planned_site.near_data(2))
    run = model.RunId(model.TaskId("near", 0, 0, 0), 1)
    placement = commands.Placement(run, "w00")
    ledger.place(commands.PlaceRuns(((placement,),), 0))
    planned_site.occupy(ledger, "w01", "on-w01", 8)
    since_ms = {("near", 0, 0): 0}
    for now_ms in range(0, 10_000, PLAN_INTERVAL_MS):
        usable = set(ledger.workers) - {"w00"}
        made = next_plan(ledger, now_ms, since_ms, usable)
        since_ms = made.standing_since_ms
        if made.groups:
            break
    assert now_ms <= 3_000


def test_suspect_of_a_lasting_step_is_isolated_beside_a_task_that_stands():
    """Their step has one clock: the suspect shares a worker at once."""
    ledger = planned_site.site()
    workers = sorted(ledger.workers)
    for number, worker_id in enumerate(workers):
        planned_site.occupy(ledger, worker_id, f"on-{worker_id}", 1 + number)
    planned_site.submit(
        ledger, planned_site.job("lasting", 3, 1, 2, long_running=True)
    )
    suspect = model.TaskId("lasting", 0, 0, 1)
    ledger.crashes.record_crash([model.RunId(suspect, 1)], 1_400)
    assert suspect in ledger.crashes.suspects
    made = next_plan(ledger, 1_500, {("lasting", 0, 0): 0})
    placed = [group[0].run.task for group in made.groups]
    assert suspect not in placed
