"""What gangs that wait long keep, and what they leave to others."""

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
    """Returns tasks that fit into what other runs leave of a worker."""
    return planned_site.job(job_id, tasks, 1, priority=2)


def occupied_site(racks, per_rack, accelerators=1):
    """Returns a site on whose workers something runs."""
    ledger = planned_site.site(racks, per_rack)
    for worker_id in sorted(ledger.workers):
        planned_site.occupy(ledger, worker_id, f"on-{worker_id}", accelerators)
    return ledger


def late_plan(ledger, **changes):
    """Returns a plan made when gangs have waited long enough to keep room."""
    view = planned_site.view(ledger, now_ms=LATE_MS)
    return planner.plan(dataclasses.replace(view, **changes))


def end_runs(ledger, runs):
    """Has runs end as done."""
    for run in runs:
        worker_id = ledger.runs[run].worker_id
        number = ledger.noted(worker_id) + 1
        end = commands.EndedRun(number, run, commands.EndKind.DONE)
        ledger.note_ends(commands.NoteEnds(worker_id, (end,), LATE_MS))


def test_a_gang_that_spans_racks_begins_though_small_tasks_always_wait():
    ledger = occupied_site(racks=2, per_rack=3)
    planned_site.submit(ledger, gang("wide", 4), small("many", 1_000))
    oldest = sorted(ledger.runs)
    for _ in range(len(ledger.workers)):
        end_runs(ledger, oldest[:1])
        oldest = oldest[1:]
        made = late_plan(ledger)
        planned_site.carry_out(ledger, made)
        if "wide" in planned_site.placed_jobs(made):
            return
        assert planned_site.placed_jobs(made) <= {"many"}
    raise AssertionError("the gang did not begin when all others had ended")


def test_a_gang_that_spans_racks_keeps_no_more_workers_than_it_needs():
    ledger = occupied_site(racks=2, per_rack=3)
    planned_site.submit(ledger, gang("wide", 4), small("many", 48))
    made = late_plan(ledger)
    assert len(planned_site.taken(made)) == 2


def test_of_several_waiting_gangs_one_keeps_room():
    ledger = occupied_site(racks=2, per_rack=3)
    planned_site.submit(ledger, gang("first", 4), gang("second", 4))
    planned_site.submit(ledger, small("many", 48))
    made = late_plan(ledger)
    assert [unit.key[0] for unit in made.waiting] == ["first", "second", "many"]
    assert len(planned_site.taken(made)) == 2


def test_a_gang_that_one_rack_holds_keeps_only_that():
    ledger = occupied_site(racks=3, per_rack=3)
    planned_site.submit(ledger, gang("g", 3), small("many", 80))
    made = late_plan(ledger)
    racks = [ledger.workers[one].rack for one in planned_site.taken(made)]
    assert len(racks) == 6 and len(set(racks)) == 2


def test_what_becomes_empty_is_kept_instead_of_what_still_runs():
    ledger = occupied_site(racks=2, per_rack=3)
    planned_site.submit(ledger, gang("wide", 4), small("many", 48))
    kept = set(ledger.workers) - planned_site.taken(late_plan(ledger))
    other = min(set(ledger.workers) - kept)
    end_runs(ledger, list(ledger.runs_on(other)))
    assert other not in planned_site.taken(late_plan(ledger))


def test_another_worker_is_kept_for_one_that_goes():
    ledger = occupied_site(racks=2, per_rack=3)
    planned_site.submit(ledger, gang("wide", 4), small("many", 48))
    made = late_plan(ledger)
    kept = set(ledger.workers) - planned_site.taken(made)
    gone = min(kept)
    ledger.cancel(caller_commands.CancelJob(f"on-{gone}", LATE_MS))
    planned_site.lose(ledger, gone)
    made = late_plan(ledger, kept_racks=made.kept_racks)
    assert len(planned_site.taken(made)) == 1


def test_nothing_is_kept_for_a_gang_that_the_workers_left_do_not_hold():
    """It kept a rack from small tasks until the lost workers came back."""
    ledger = occupied_site(racks=2, per_rack=3)
    planned_site.submit(ledger, gang("wide", 6), small("many", 48))
    planned_site.lose(ledger, "w00")
    made = late_plan(ledger)
    assert planned_site.taken(made) == set(ledger.workers)


def test_another_rack_is_kept_when_the_kept_one_lost_a_worker():
    """The rack that could not hold the gang any more was kept for ever."""
    ledger = occupied_site(racks=2, per_rack=3)
    planned_site.submit(ledger, gang("g", 3, same_rack=True))
    made = late_plan(ledger)
    (rack,) = made.kept_racks.values()
    gone = min(w for w in ledger.workers if ledger.workers[w].rack == rack)
    planned_site.lose(ledger, gone)
    again = late_plan(ledger, kept_racks=made.kept_racks)
    (other,) = again.kept_racks.values()
    assert other != rack


def test_a_rack_on_which_a_run_lasts_is_not_kept():
    """Nothing ended there that the gang could wait for."""
    ledger = planned_site.site(racks=2, per_rack=3)
    planned_site.occupy(ledger, "w00", "lasts", 1, long_running=True)
    for worker_id in ("w10", "w11", "w12"):
        planned_site.occupy(ledger, worker_id, f"on-{worker_id}", 4)
    planned_site.submit(ledger, gang("g", 3), small("many", 48))
    racks = {
        ledger.workers[one].rack
        for one in planned_site.taken(late_plan(ledger))
    }
    assert racks == {"r0"}


def test_a_gang_spreads_where_runs_that_last_leave_it_no_whole_rack():
    ledger = planned_site.site(racks=2, per_rack=3)
    for rack in range(2):
        planned_site.occupy(
            ledger, f"w{rack}0", f"lasts{rack}", 8, long_running=True
        )
    planned_site.submit(ledger, gang("g", 3, same_rack=True))
    ((*placed,),) = planner.plan(planned_site.view(ledger)).groups
    assert len(placed) == 3


def test_an_urgent_gang_for_which_nothing_can_be_stopped_keeps_room():
    """Other urgent tasks took what it lacked again and again."""
    ledger = planned_site.site(racks=2, per_rack=3)
    for worker_id in sorted(ledger.workers):
        job_id = f"on-{worker_id}"
        planned_site.occupy(ledger, worker_id, job_id, 1, priority=0)
    urgent = planned_site.job("z-many", 48, 1)
    planned_site.submit(ledger, gang("wide", 4, priority=0), urgent)
    made = late_plan(ledger)
    assert made.stops == []
    assert len(planned_site.taken(made)) == 2


def mostly_kept_site():
    """Returns a site of which a waiting gang keeps all but a full worker."""
    ledger = planned_site.site(racks=2, per_rack=3)
    planned_site.occupy(ledger, "w00", "full", 8)
    planned_site.occupy(ledger, "w01", "last", 1)
    planned_site.submit(ledger, gang("wide", 5))
    return ledger


def test_a_job_gets_on_in_kept_room_while_the_site_is_mostly_free():
    """It stood still beside an idle site until the gang's last worker."""
    ledger = mostly_kept_site()
    planned_site.submit(ledger, small("many", 48))
    made = late_plan(ledger)
    planned_site.carry_out(ledger, made)
    assert [len(group) for group in made.groups] == [1]
    assert planned_site.taken(made) == {"w01"}  # where the gang waits anyhow
    assert late_plan(ledger).groups == []


def test_a_gang_gets_on_in_kept_room_while_the_site_is_mostly_free():
    ledger = mostly_kept_site()
    planned_site.submit(ledger, gang("x-small", 2, priority=2))
    made = late_plan(ledger)
    assert [len(group) for group in made.groups] == [2]


def test_a_job_that_came_just_now_leaves_kept_room_alone():
    ledger = mostly_kept_site()
    ledger.submit(caller_commands.SubmitJob(small("new", 1), LATE_MS - 100))
    assert late_plan(ledger).groups == []


def test_a_job_leaves_kept_room_alone_while_the_site_is_mostly_in_use():
    ledger = mostly_kept_site()
    for number in range(2):
        planned_site.occupy(ledger, f"w1{number}", f"busy{number}", 8)
    planned_site.submit(ledger, small("many", 48))
    assert late_plan(ledger).groups == []


def test_a_gang_does_not_spread_into_kept_room():
    """It was three times as slow there, and held up the gang that waited."""
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
    assert made.kept_racks == {("first", 0, 0): "r0"}
    assert made.groups == []


def kept_beside_long_runs(short_ms):
    """Returns a site in use, two workers kept, and tasks that take so long.

    The gang's last worker is expected to be free in 12 s.
    """
    ledger = planned_site.site(racks=1, per_rack=3)
    for worker_id in ("w01", "w02"):
        long_job = planned_site.job(f"on-{worker_id}", 1, 8, priority=2)
        planned_site.occupy_with(ledger, worker_id, lasting(long_job, 15_000))
    planned_site.submit(ledger, gang("g", 2))
    planned_site.submit(ledger, lasting(small("many", 20), short_ms))
    return ledger


def lasting(job, task_ms):
    """Returns a job whose tasks are declared to take so long."""
    (step,) = job.steps
    step = msgspec.structs.replace(step, estimated_ms=task_ms)
    return msgspec.structs.replace(job, steps=(step,))


def test_short_tasks_use_room_that_is_kept_for_later():
    """They waited for 40 s beside workers that were idle meanwhile."""
    ledger = kept_beside_long_runs(4_000)
    made = late_plan(ledger)
    assert [placed.worker_id for (placed,) in made.groups] == ["w00"] * 8


def test_tasks_that_might_end_too_late_leave_kept_room_alone():
    assert late_plan(kept_beside_long_runs(4_100)).groups == []


def test_a_run_that_is_overdue_is_given_half_its_time_again():
    ledger = kept_beside_long_runs(2_900)
    view = planned_site.view(ledger, now_ms=18_000)
    assert len(planner.plan(view).groups) == 8
    ledger = kept_beside_long_runs(3_100)
    view = planned_site.view(ledger, now_ms=18_000)
    assert planner.plan(view).groups == []
