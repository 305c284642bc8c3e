"""Reservations for long-waiting gangs, and their use by other units."""

import dataclasses

import msgspec

from laburnumsill.batch import caller_commands
from laburnumsill.batch import commands
from laburnumsill.batch import planner
from laburnumsill.batch.tests import planned_site

LATE_MS = planner.RESERVE_AFTER_MS


def gang(job_id, tasks, priority=1, **step):
    """Returns a gang whose tasks need a whole worker each."""
    return planned_site.job(job_id, tasks, 8, priority, gang=True, **step)


def small(job_id, tasks):
    """Returns tasks that fit into the free capacity of partly used workers."""
    return planned_site.job(job_id, tasks, 1, priority=2)


def occupied_site(racks, per_rack, accelerators=1):
    """Returns a site with one run on each worker."""
    ledger = planned_site.site(racks, per_rack)
    for worker_id in sorted(ledger.workers):
        planned_site.occupy(ledger, worker_id, f"on-{worker_id}", accelerators)
    return ledger


def late_plan(ledger, **changes):
    """Returns a plan at a time when gangs waited long enough to reserve."""
    planner_input = planned_site.planner_input(ledger, now_ms=LATE_MS)
    return planner.plan(dataclasses.replace(planner_input, **changes))


def end_runs(ledger, runs):
    """Ends runs successfully."""
    for run in runs:
        worker_id = ledger.runs[run].worker_id
        number = ledger.last_end(worker_id) + 1
        end = commands.EndedRun(number, run, commands.EndKind.DONE)
        ledger.note_ends(commands.NoteEnds(worker_id, (end,), LATE_MS))


def test_gang_that_spans_racks_starts_despite_many_small_tasks():
    ledger = occupied_site(racks=2, per_rack=3)
    planned_site.submit(ledger, gang("wide", 4), small("many", 1_000))
    oldest = sorted(ledger.runs)
    for _ in range(len(ledger.workers)):
        end_runs(ledger, oldest[:1])
        oldest = oldest[1:]
        made = late_plan(ledger)
        planned_site.apply_plan(ledger, made)
        if "wide" in planned_site.placed_jobs(made):
            return
        assert planned_site.placed_jobs(made) <= {"many"}
    raise AssertionError("the gang did not start after all other runs ended")


def test_gang_that_spans_racks_reserves_only_the_workers_it_needs():
    ledger = occupied_site(racks=2, per_rack=3)
    planned_site.submit(ledger, gang("wide", 4), small("many", 48))
    made = late_plan(ledger)
    assert len(planned_site.workers_used(made)) == 2


def test_only_one_of_several_waiting_gangs_gets_a_reservation():
    ledger = occupied_site(racks=2, per_rack=3)
    planned_site.submit(ledger, gang("first", 4), gang("second", 4))
    planned_site.submit(ledger, small("many", 48))
    made = late_plan(ledger)
    assert [unit.key[0] for unit in made.waiting] == ["first", "second", "many"]
    assert len(planned_site.workers_used(made)) == 2


def test_gang_that_fits_into_a_rack_reserves_one_rack():
    ledger = occupied_site(racks=3, per_rack=3)
    planned_site.submit(ledger, gang("g", 3), small("many", 80))
    made = late_plan(ledger)
    racks = [
        ledger.workers[one].rack for one in planned_site.workers_used(made)
    ]
    assert len(racks) == 6 and len(set(racks)) == 2


def test_reservation_moves_to_a_worker_that_becomes_empty():
    ledger = occupied_site(racks=2, per_rack=3)
    planned_site.submit(ledger, gang("wide", 4), small("many", 48))
    reserved = set(ledger.workers) - planned_site.workers_used(
        late_plan(ledger)
    )
    other = min(set(ledger.workers) - reserved)
    end_runs(ledger, list(ledger.runs_on(other)))
    assert other not in planned_site.workers_used(late_plan(ledger))


def test_reservation_replaces_a_lost_worker():
    ledger = occupied_site(racks=2, per_rack=3)
    planned_site.submit(ledger, gang("wide", 4), small("many", 48))
    made = late_plan(ledger)
    reserved = set(ledger.workers) - planned_site.workers_used(made)
    gone = min(reserved)
    ledger.cancel(caller_commands.CancelJob(f"on-{gone}", LATE_MS))
    planned_site.lose_worker(ledger, gone)
    made = late_plan(ledger, reserved_racks=made.reserved_racks)
    assert len(planned_site.workers_used(made)) == 1


def test_gang_too_large_for_the_remaining_workers_gets_no_reservation():
    """Guards against idle workers until the lost worker comes back."""
    ledger = occupied_site(racks=2, per_rack=3)
    planned_site.submit(ledger, gang("wide", 6), small("many", 48))
    planned_site.lose_worker(ledger, "w00")
    made = late_plan(ledger)
    assert planned_site.workers_used(made) == set(ledger.workers)


def test_reservation_moves_to_another_rack_when_a_worker_is_lost():
    """Guards against a permanent reservation of a rack that is too small."""
    ledger = occupied_site(racks=2, per_rack=3)
    planned_site.submit(ledger, gang("g", 3, same_rack=True))
    made = late_plan(ledger)
    (rack,) = made.reserved_racks.values()
    gone = min(w for w in ledger.workers if ledger.workers[w].rack == rack)
    planned_site.lose_worker(ledger, gone)
    again = late_plan(ledger, reserved_racks=made.reserved_racks)
    (other,) = again.reserved_racks.values()
    assert other != rack


def test_rack_with_a_long_running_task_is_not_reserved():
    """A gang would wait there for a run that does not end by itself."""
    ledger = planned_site.site(racks=2, per_rack=3)
    planned_site.occupy(ledger, "w00", "lasts", 1, long_running=True)
    for worker_id in ("w10", "w11", "w12"):
        planned_site.occupy(ledger, worker_id, f"on-{worker_id}", 4)
    planned_site.submit(ledger, gang("g", 3), small("many", 48))
    racks = {
        ledger.workers[one].rack
        for one in planned_site.workers_used(late_plan(ledger))
    }
    assert racks == {"r0"}


def test_gang_spreads_if_long_running_tasks_are_in_every_rack():
    ledger = planned_site.site(racks=2, per_rack=3)
    for rack in range(2):
        planned_site.occupy(
            ledger, f"w{rack}0", f"lasts{rack}", 8, long_running=True
        )
    planned_site.submit(ledger, gang("g", 3, same_rack=True))
    ((*placed,),) = planner.plan(planned_site.planner_input(ledger)).groups
    assert len(placed) == 3


def test_urgent_gang_without_victims_gets_a_reservation():
    """Guards against other urgent tasks that repeatedly take its capacity."""
    ledger = planned_site.site(racks=2, per_rack=3)
    for worker_id in sorted(ledger.workers):
        job_id = f"on-{worker_id}"
        planned_site.occupy(ledger, worker_id, job_id, 1, priority=0)
    urgent = planned_site.job("z-many", 48, 1)
    planned_site.submit(ledger, gang("wide", 4, priority=0), urgent)
    made = late_plan(ledger)
    assert made.stops == []
    assert len(planned_site.workers_used(made)) == 2


def mostly_reserved_site():
    """Returns a site where a gang reserves all workers but a full one."""
    ledger = planned_site.site(racks=2, per_rack=3)
    planned_site.occupy(ledger, "w00", "full", 8)
    planned_site.occupy(ledger, "w01", "last", 1)
    planned_site.submit(ledger, gang("wide", 5))
    return ledger


def test_idle_job_gets_one_reserved_slot_while_the_site_is_mostly_free():
    """Guards against a job without runs on a site that is idle for a gang."""
    ledger = mostly_reserved_site()
    planned_site.submit(ledger, small("many", 48))
    made = late_plan(ledger)
    planned_site.apply_plan(ledger, made)
    assert [len(group) for group in made.groups] == [1]
    # The gang waits for this worker in any case.
    assert planned_site.workers_used(made) == {"w01"}
    assert late_plan(ledger).groups == []


def test_idle_gang_gets_reserved_capacity_while_the_site_is_mostly_free():
    ledger = mostly_reserved_site()
    planned_site.submit(ledger, gang("x-small", 2, priority=2))
    made = late_plan(ledger)
    assert [len(group) for group in made.groups] == [2]


def test_new_job_does_not_use_reserved_capacity():
    ledger = mostly_reserved_site()
    ledger.submit(caller_commands.SubmitJob(small("new", 1), LATE_MS - 100))
    assert late_plan(ledger).groups == []


def test_job_does_not_use_reserved_capacity_on_a_busy_site():
    ledger = mostly_reserved_site()
    for number in range(2):
        planned_site.occupy(ledger, f"w1{number}", f"busy{number}", 8)
    planned_site.submit(ledger, small("many", 48))
    assert late_plan(ledger).groups == []


def test_gang_does_not_spread_into_reserved_capacity():
    """Guards against a gang that is slow there and delays the reserved one.

    It ran three times as long on several racks.
    """
    ledger = planned_site.site(racks=2, per_rack=3)
    used = {"w01": 1, "w02": 5, "w10": 8, "w11": 8, "w12": 1}
    for worker_id, accelerators in used.items():
        job_id = f"on-{worker_id}"
        planned_site.occupy(ledger, worker_id, job_id, accelerators)
    planned_site.submit(ledger, gang("first", 3, same_rack=True))
    second = planned_site.job(
        "second", 4, 4, priority=2, gang=True, same_rack=True
    )
    planned_site.submit(ledger, second)
    made = late_plan(ledger)
    assert made.reserved_racks == {("first", 0, 0): "r0"}
    assert made.groups == []


def reservation_behind_long_runs(short_ms):
    """Returns a site with two reserved workers and tasks with a declared time.

    The gang's last worker is expected to be free in 12 s.

    Args:
        short_ms: The declared run time of the waiting tasks, in ms.
    """
    ledger = planned_site.site(racks=1, per_rack=3)
    for worker_id in ("w01", "w02"):
        long_job = planned_site.job(f"on-{worker_id}", 1, 8, priority=2)
        planned_site.occupy_with(
            ledger, worker_id, with_declared_time(long_job, 15_000)
        )
    planned_site.submit(ledger, gang("g", 2))
    planned_site.submit(ledger, with_declared_time(small("many", 20), short_ms))
    return ledger


def with_declared_time(job, task_ms):
    """Returns a job with a declared run time of its tasks."""
    (step,) = job.steps
    step = msgspec.structs.replace(step, estimated_ms=task_ms)
    return msgspec.structs.replace(job, steps=(step,))


def test_short_tasks_backfill_a_reservation():
    """Guards against idle reserved workers: short tasks waited for 40 s."""
    ledger = reservation_behind_long_runs(4_000)
    made = late_plan(ledger)
    assert [placed.worker_id for (placed,) in made.groups] == ["w00"] * 8


def test_tasks_that_may_end_too_late_do_not_backfill():
    assert late_plan(reservation_behind_long_runs(4_100)).groups == []


def test_overdue_run_is_expected_to_take_half_its_time_more():
    ledger = reservation_behind_long_runs(2_900)
    planner_input = planned_site.planner_input(ledger, now_ms=18_000)
    assert len(planner.plan(planner_input).groups) == 8
    ledger = reservation_behind_long_runs(3_100)
    planner_input = planned_site.planner_input(ledger, now_ms=18_000)
    assert planner.plan(planner_input).groups == []
