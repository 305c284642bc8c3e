import dataclasses

import msgspec

from laburnumsill.batch import caller_commands
from laburnumsill.batch import commands
from laburnumsill.batch import model
from laburnumsill.batch import plan_candidates
from laburnumsill.batch import planner
from laburnumsill.batch import plans
from laburnumsill.batch import units
from laburnumsill.batch.tests import planned_site


def test_gang_is_placed_as_a_whole_in_one_rack():
    ledger = planned_site.site()
    planned_site.submit(
        ledger, planned_site.job("g", 2, 8, gang=True, same_rack=True)
    )
    made = planner.plan(planned_site.planner_input(ledger))
    (group,) = made.groups
    racks = {ledger.workers[p.worker_id].rack for p in group}
    assert len(group) == 2 and len(racks) == 1
    planned_site.apply_plan(ledger, made)


def test_gang_that_does_not_fit_is_not_placed_in_part():
    ledger = planned_site.site(racks=1)
    planned_site.submit(ledger, planned_site.job("x", 1, 1, priority=1))
    planned_site.apply_plan(
        ledger, planner.plan(planned_site.planner_input(ledger))
    )
    planned_site.submit(
        ledger, planned_site.job("g", 2, 8, priority=1, gang=True)
    )
    made = planner.plan(planned_site.planner_input(ledger))
    assert made.groups == []
    assert made.stops == []
    assert [unit.record.job.job_id for unit in made.waiting] == ["g"]


def test_small_tasks_fill_partly_used_workers_first():
    ledger = planned_site.site()
    planned_site.submit(ledger, planned_site.job("x", 1, 2, priority=1))
    planned_site.apply_plan(
        ledger, planner.plan(planned_site.planner_input(ledger))
    )
    planned_site.submit(ledger, planned_site.job("y", 3, 2, priority=1))
    made = planner.plan(planned_site.planner_input(ledger))
    planned_site.apply_plan(ledger, made)
    assert len({run.worker_id for run in ledger.runs.values()}) == 1


def test_urgent_gang_preempts_cheapest_runs_and_gets_their_capacity():
    ledger = planned_site.site(racks=1)
    planned_site.submit(
        ledger, planned_site.job("saves", 1, 8, priority=1, saves_progress=True)
    )
    planned_site.submit(ledger, planned_site.job("loses", 1, 8, priority=1))
    planned_site.apply_plan(
        ledger, planner.plan(planned_site.planner_input(ledger))
    )
    planned_site.submit(
        ledger,
        planned_site.job("u", 1, 8, gang=True),
        planned_site.job("late", 1, 8, priority=1),
    )
    made = planner.plan(planned_site.planner_input(ledger, now_ms=9000))
    assert [run.task.job_id for run in made.stops] == ["saves"]
    assert made.groups == []
    again = planner.plan(
        planned_site.planner_input(ledger, made.stops, now_ms=9100)
    )
    assert again.stops == []
    (run,) = made.stops
    worker_id = ledger.runs[run].worker_id
    end = commands.EndedRun(1, run, commands.EndKind.STOPPED, "half")
    ledger.note_ends(commands.NoteEnds(worker_id, (end,), 9500))
    last = planner.plan(planned_site.planner_input(ledger, now_ms=9500))
    ((placement,),) = last.groups
    assert placement.run.task.job_id == "u"
    assert placement.worker_id == worker_id


def test_runs_of_equal_priority_are_never_preempted():
    ledger = planned_site.site(racks=1)
    planned_site.submit(ledger, planned_site.job("a", 2, 8))
    planned_site.apply_plan(
        ledger, planner.plan(planned_site.planner_input(ledger))
    )
    planned_site.submit(ledger, planned_site.job("b", 1, 8))
    assert planner.plan(planned_site.planner_input(ledger)).stops == []


def test_job_within_guarantee_goes_before_job_beyond_it():
    ledger = planned_site.site(racks=1, per_rack=1)
    planned_site.submit(
        ledger, planned_site.job("beyond", 2, 8, account="greedy")
    )
    planned_site.submit(ledger, planned_site.job("own", 1, 8, account="modest"))
    made = planner.plan(
        planned_site.planner_input(
            ledger, guarantees={"greedy": 8, "modest": 8}
        )
    )
    assert [group[0].run.task.job_id for group in made.groups] == ["own"]


def test_long_waiting_gang_reserves_a_rack():
    ledger = planned_site.site(racks=1)
    planned_site.submit(ledger, planned_site.job("x", 1, 8, priority=1))
    planned_site.apply_plan(
        ledger, planner.plan(planned_site.planner_input(ledger))
    )
    planned_site.submit(
        ledger, planned_site.job("g", 2, 8, priority=1, gang=True)
    )
    planned_site.submit(ledger, planned_site.job("small", 1, 1, priority=2))
    early = planner.plan(planned_site.planner_input(ledger, now_ms=100))
    assert [g[0].run.task.job_id for g in early.groups] == ["small"]
    late = planner.plan(
        planned_site.planner_input(ledger, now_ms=planner.RESERVE_AFTER_MS)
    )
    assert late.groups == []


def test_step_waits_for_its_dependencies():
    ledger = planned_site.site()
    needs = model.Resources(1000, planned_site.GIB, 1)
    steps = (model.Step(1, needs), model.Step(2, needs, depends_on=(0,)))
    terms = model.QueueTerms("pool", 1, 3)
    planned_site.submit(ledger, model.Job("j", "q", "a", "", steps, terms))
    made = planner.plan(planned_site.planner_input(ledger))
    assert [g[0].run.task.step for g in made.groups] == [0]
    planned_site.apply_plan(ledger, made)
    ((placement,),) = made.groups
    end = commands.EndedRun(1, placement.run, commands.EndKind.DONE)
    ledger.note_ends(commands.NoteEnds(placement.worker_id, (end,), 5))
    made = planner.plan(planned_site.planner_input(ledger))
    assert [g[0].run.task.step for g in made.groups] == [1, 1]


def test_occurrence_waits_until_it_is_due():
    ledger = planned_site.site()
    needs = model.Resources(1000, planned_site.GIB, 1)
    terms = model.QueueTerms("pool", 1, 3, 1.0, 5000)
    timed = model.Job(
        "j", "q", "a", "", (model.Step(1, needs),), terms, 3, 1000, 500
    )
    planned_site.submit(ledger, timed)
    assert (
        planner.plan(planned_site.planner_input(ledger, now_ms=999)).groups
        == []
    )
    made = planner.plan(planned_site.planner_input(ledger, now_ms=1500))
    assert [g[0].run.task.occurrence for g in made.groups] == [0, 1]


def test_gang_spreads_when_the_site_but_no_rack_is_free_enough():
    ledger = planned_site.site(racks=3, per_rack=4)
    for rack in range(3):
        planned_site.occupy(ledger, f"w{rack}0", f"x{rack}", 1)
        planned_site.occupy(ledger, f"w{rack}1", f"y{rack}", 1)
    gang = planned_site.job("g", 3, 8, priority=1, gang=True, same_rack=True)
    planned_site.submit(ledger, gang)
    assert (
        planner.plan(planned_site.planner_input(ledger, now_ms=100)).groups
        == []
    )
    waited = planner.plan(
        planned_site.planner_input(ledger, now_ms=planner.SPREAD_AFTER_MS)
    )
    (group,) = waited.groups
    assert len(group) == 3


def test_empty_worker_of_a_busy_rack_is_reserved_for_a_gang():
    ledger = planned_site.site(racks=1, per_rack=4)
    for number in range(3):
        planned_site.occupy(ledger, f"w0{number}", f"x{number}", 8)
    planned_site.submit(
        ledger,
        planned_site.job("g", 2, 8, priority=1, gang=True, same_rack=True),
    )
    planned_site.submit(ledger, planned_site.job("s", 1, 1, priority=2))
    made = planner.plan(
        planned_site.planner_input(ledger, now_ms=planner.RESERVE_AFTER_MS)
    )
    assert made.groups == []  # the only empty worker is reserved for the gang


def test_no_more_runs_are_preempted_than_needed():
    ledger = planned_site.site(racks=1, per_rack=2)
    for worker_id in ("w00", "w01"):
        for number in range(4):
            planned_site.occupy(ledger, worker_id, f"{worker_id}-{number}", 2)
    planned_site.submit(ledger, planned_site.job("u", 1, 4))
    made = planner.plan(planned_site.planner_input(ledger, now_ms=1000))
    assert len(made.stops) == 2
    assert len({ledger.runs[run].worker_id for run in made.stops}) == 1


def test_urgent_tasks_go_to_fast_workers():
    ledger = planned_site.site(racks=1, per_rack=4)
    planned_site.submit(ledger, planned_site.job("u", 2, 8, gang=True))
    seen = planned_site.planner_input(ledger)
    slow = {"w00": 1.3, "w01": 1.3}
    seen = plans.PlannerInput(
        ledger,
        seen.usable,
        frozenset(),
        {},
        0,
        slowness=lambda worker_id: slow.get(worker_id, 1.0),
    )
    (group,) = planner.plan(seen).groups
    assert {p.worker_id for p in group} == {"w02", "w03"}


def test_long_waiting_unit_goes_to_any_worker():
    ledger = planned_site.site(racks=1, per_rack=2)
    planned_site.submit(
        ledger, planned_site.job("g", 2, 8, priority=1, gang=True)
    )

    def seen(now_ms):
        return plans.PlannerInput(
            ledger,
            set(ledger.workers),
            frozenset(),
            {},
            now_ms,
            slowness=lambda worker_id: 5.0 if worker_id == "w00" else 1.0,
        )

    assert planner.plan(seen(100)).groups == []
    later = planner.plan(seen(plan_candidates.ANY_WORKER_AFTER_MS))
    assert len(later.groups) == 1


def preempted_workers(ledger, slow, grace_ms):
    """Returns the workers whose runs are preempted for an urgent job of 2 s."""
    seen = plans.PlannerInput(
        ledger,
        set(ledger.workers),
        frozenset(),
        {},
        1_000,
        slowness=lambda worker_id: 1.3 if worker_id in slow else 1.0,
        stop_grace_ms=grace_ms,
    )
    made = planner.plan(seen)
    return {ledger.runs[run].worker_id for run in made.stops}


def test_fast_worker_is_preempted_if_a_slow_one_would_miss_the_objective():
    ledger = planned_site.site(racks=1, per_rack=2)
    planned_site.occupy(ledger, "w00", "cheap", 8)
    planned_site.occupy(ledger, "w01", "dear", 8, placed_ms=-60_000)
    ledger.submit(caller_commands.SubmitJob(planned_site.job("u", 1, 8), 1_000))
    assert preempted_workers(ledger, {"w00"}, 900) == {"w01"}
    # The job also meets its objective on the slow worker, whose run is cheaper.
    assert preempted_workers(ledger, {"w00"}, 200) == {"w00"}


def with_headroom(ledger, headroom, now_ms=0):
    return dataclasses.replace(
        planned_site.planner_input(ledger, now_ms=now_ms), headroom=headroom
    )


def mostly_used_site():
    """Returns a pool of 64 accelerators, 16 of them free."""
    ledger = planned_site.site(racks=4)
    for worker_id in sorted(ledger.workers)[2:]:
        planned_site.occupy(ledger, worker_id, f"on-{worker_id}", 8)
    return ledger


def job_with_slack(job_id, tasks, **step):
    """Returns a job with seconds of slack."""
    one = planned_site.job(job_id, tasks, 1, priority=2, **step)
    terms = msgspec.structs.replace(one.terms, target_ms=5_000)
    return msgspec.structs.replace(one, terms=terms)


def test_tasks_with_slack_leave_headroom_for_urgent_jobs():
    """Guards against placing tasks that the next urgent job preempts."""
    ledger = mostly_used_site()
    planned_site.submit(ledger, job_with_slack("batch", 16))
    made = planner.plan(with_headroom(ledger, 10))
    assert len(made.groups) == 6
    planned_site.apply_plan(ledger, made)
    assert planner.plan(with_headroom(ledger, 10)).groups == []
    assert len(planner.plan(with_headroom(ledger, 0)).groups) == 10


def test_tasks_without_slack_leave_no_headroom():
    ledger = mostly_used_site()
    planned_site.submit(ledger, job_with_slack("batch", 16))
    made = planner.plan(with_headroom(ledger, 10, now_ms=14_500))
    assert len(made.groups) == 16


def test_job_without_runs_gets_one_task_despite_headroom():
    ledger = mostly_used_site()
    planned_site.submit(ledger, job_with_slack("batch", 16))
    made = planner.plan(with_headroom(ledger, 16))
    assert len(made.groups) == 1
    planned_site.apply_plan(ledger, made)
    assert planner.plan(with_headroom(ledger, 16)).groups == []


def test_gang_without_slack_for_a_second_run_leaves_no_headroom():
    """Long-running tasks leave no headroom in any case."""
    ledger = mostly_used_site()
    planned_site.submit(ledger, job_with_slack("gang", 4, gang=True))
    planned_site.submit(ledger, job_with_slack("lasts", 4, long_running=True))
    last_start_ms = last_start_for_two_runs_ms(ledger, "gang")
    made = planner.plan(with_headroom(ledger, 16, last_start_ms + 1))
    assert sum(len(group) for group in made.groups) == 8


def test_gang_with_slack_for_a_second_run_leaves_headroom():
    """Guards against a gang that starts between bursts of urgent jobs.

    The next burst preempts it: on a site with 24 workers, one gang was stopped
    four times and ended 10 s late.
    """
    ledger = mostly_used_site()
    planned_site.submit(ledger, job_with_slack("gang", 4, gang=True))
    last_start_ms = last_start_for_two_runs_ms(ledger, "gang")
    assert not planner.plan(with_headroom(ledger, 13, last_start_ms)).groups
    (group,) = planner.plan(with_headroom(ledger, 12, last_start_ms)).groups
    assert len(group) == 4


def test_headroom_is_limited_to_a_part_of_its_pool():
    """Guards against a small site that idles after each wide urgent gang."""
    ledger = planned_site.site(racks=1)
    planned_site.submit(ledger, job_with_slack("batch", 16))
    made = planner.plan(with_headroom(ledger, 16))
    assert len(made.groups) == 12


def last_start_for_two_runs_ms(ledger, job_id):
    """Returns the latest start at which a job can run twice in time, in ms."""
    (unit,) = [
        one
        for one in units.ready_units(ledger, 0)
        if one.record.job.job_id == job_id
    ]
    return int(unit.objective_ms - 2 * unit.critical_path_ms)


def test_gang_larger_than_a_rack_reserves_workers_in_several():
    """Guards against starvation of the gang by small tasks."""
    ledger = planned_site.site(racks=2, per_rack=3)
    planned_site.submit(
        ledger, planned_site.job("small", 6, 1, priority=2, max_per_worker=1)
    )
    planned_site.apply_plan(
        ledger, planner.plan(planned_site.planner_input(ledger))
    )
    planned_site.submit(
        ledger, planned_site.job("wide", 4, 8, priority=1, gang=True)
    )
    planned_site.submit(ledger, planned_site.job("more", 48, 1, priority=2))
    made = planner.plan(
        planned_site.planner_input(ledger, now_ms=planner.RESERVE_AFTER_MS)
    )
    workers_used = {p.worker_id for group in made.groups for p in group}
    assert len(ledger.workers) - len(workers_used) >= 4


def test_workers_are_not_examined_while_nothing_waits():
    """Guards against work at each event of a large site with little load.

    Such a site has hundreds of workers and an event every 30 ms.
    """

    def slowness(_):
        raise AssertionError("a worker was examined")

    ledger = planned_site.site()
    planned_site.submit(ledger, planned_site.job("x", 4, 2, priority=2))
    planned_site.apply_plan(
        ledger, planner.plan(planned_site.planner_input(ledger))
    )
    planner_input = dataclasses.replace(
        planned_site.planner_input(ledger), slowness=slowness
    )
    made = planner.plan(planner_input)
    assert (made.groups, made.stops, made.waiting) == ([], [], [])


def test_urgent_gang_waits_for_capacity_of_stopping_runs():
    ledger = planned_site.site(racks=1)
    for worker_id in ("w00", "w01"):
        planned_site.occupy(ledger, worker_id, f"x{worker_id}", 8)
    stopping = {run for run in ledger.runs if "w00" in run.task.job_id}
    planned_site.submit(ledger, planned_site.job("u", 1, 8, gang=True))
    made = planner.plan(planned_site.planner_input(ledger, stopping=stopping))
    assert made.groups == [] and made.stops == []
