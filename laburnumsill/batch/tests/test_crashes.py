"""Attribution of worker crashes to tasks, and isolation of suspects."""

import msgspec
import pytest

from laburnumsill.batch import commands
from laburnumsill.batch import crashes
from laburnumsill.batch import ledger as ledgers
from laburnumsill.batch import model
from laburnumsill.batch import planner
from laburnumsill.batch import units
from laburnumsill.batch.tests import planned_site
from laburnumsill.core import codec

GONE_MS = 5_000


def run_of(job_id, number=1, index=0):
    return model.RunId(model.TaskId(job_id, 0, 0, index), number)


def place(ledger, worker_id, *runs):
    groups = tuple((commands.Placement(run, worker_id),) for run in runs)
    refusals = ledger.place(commands.PlaceRuns(groups, 0)).refusals
    assert set(refusals) == {""}


def crash(ledger, worker_id, at_ms=GONE_MS, unconfirmed=()):
    """Crashes a worker, and adds its successor at the same address."""
    worker = ledger.workers[worker_id]
    ledger.remove_worker(
        commands.RemoveWorker(
            worker_id, "421", (), at_ms, True, unconfirmed=unconfirmed
        )
    )
    successor = msgspec.structs.replace(worker, worker_id=worker_id + "x")
    ledger.put_worker(commands.PutWorker(successor, at_ms=at_ms))


def addressed_site():
    """Returns a site whose workers have addresses, with jobs j and k."""
    ledger = planned_site.site(1, 2)
    for worker in list(ledger.workers.values()):
        addressed = msgspec.structs.replace(worker, address=worker.worker_id)
        ledger.put_worker(commands.PutWorker(addressed))
    planned_site.submit(
        ledger,
        planned_site.job("j", 1, 1, priority=1),
        planned_site.job("k", 1, 1, priority=1),
    )
    return ledger


def state(ledger, job_id):
    return str(ledger.jobs[job_id].state)


def test_a_task_that_ran_alone_at_three_crashes_fails_its_job():
    ledger = addressed_site()
    worker_id = "w00"
    for number in (1, 2, 3):
        assert state(ledger, "j") != "failed"
        place(ledger, worker_id, run_of("j", number))
        crash(ledger, worker_id)
        worker_id += "x"
    assert state(ledger, "j") == "failed"
    assert ledger.jobs["j"].ended_ms == GONE_MS
    assert state(ledger, "k") == "queued"


def test_a_task_that_shared_its_workers_fails_its_job_at_five_crashes():
    ledger = addressed_site()
    worker_id = "w00"
    for number in (1, 2, 3, 4, 5):
        assert state(ledger, "j") != "failed"
        place(ledger, worker_id, run_of("j", number), run_of("k", number))
        crash(ledger, worker_id)
        worker_id += "x"
    assert state(ledger, "j") == "failed"


def test_after_three_crashes_a_task_is_started_twice_more_however_it_ends():
    """A gang member whose runs end with the gang gains no more blame."""
    ledger = addressed_site()
    worker_id = "w00"
    for number in (1, 2, 3):
        place(ledger, worker_id, run_of("j", number), run_of("k", number))
        crash(ledger, worker_id)
        worker_id += "x"
    for number in (4, 5):
        run = run_of("j", number)
        place(ledger, worker_id, run)
        ended = commands.EndedRun(number, run, commands.EndKind.MEMBER_ENDED)
        ledger.note_ends(commands.NoteEnds(worker_id, (ended,), 0))
    group = (commands.Placement(run_of("j", 6), worker_id),)
    placed = ledger.place(commands.PlaceRuns((group,), GONE_MS))
    assert placed.refusals == ("j.0.0.0 has crashed too many workers",)
    assert state(ledger, "j") == "failed"


def test_no_task_is_blamed_for_a_worker_that_leaves():
    ledger = addressed_site()
    place(ledger, "w00", run_of("j"))
    ledger.remove_worker(commands.RemoveWorker("w00", "it left", (), GONE_MS))
    assert ledger.crashes.blame_of(run_of("j").task) == crashes.NO_BLAME


def test_a_run_that_was_never_ordered_is_not_blamed():
    ledger = addressed_site()
    place(ledger, "w00", run_of("j"), run_of("k"))
    ledger.remove_worker(
        commands.RemoveWorker(
            "w00", "421", (), GONE_MS, True, never_began=(run_of("k"),)
        )
    )
    blames = [ledger.crashes.blame_of(run_of(one).task) for one in "jk"]
    alone = crashes.Blame(crashes.BLAME_ALONE, GONE_MS, 1)
    assert blames == [alone, crashes.NO_BLAME]


def crash_at_once(ledger, worker_id, run):
    """Crashes a worker that has not answered the start order of a run."""
    crash(ledger, worker_id, unconfirmed=(run,))


def crash_after_release(ledger, worker_id, run):
    """Does the same, but the run is released before the crash is known."""
    lost = commands.Release(
        run, worker_id, "lease", is_lost=True, is_unconfirmed=True
    )
    ledger.release(commands.ReleaseRuns((lost,), 0))
    crash(ledger, worker_id)


def crash_after_silence(ledger, worker_id, run):
    """Does the same, but the worker is removed before the crash is known."""
    worker = ledger.workers[worker_id]
    ledger.remove_worker(
        commands.RemoveWorker(worker_id, "silent", unconfirmed=(run,))
    )
    successor = msgspec.structs.replace(worker, worker_id=worker_id + "x")
    ledger.put_worker(commands.PutWorker(successor, at_ms=GONE_MS))


UNCONFIRMED_CRASHES = [crash_at_once, crash_after_release, crash_after_silence]


@pytest.mark.parametrize("unconfirmed_crash", UNCONFIRMED_CRASHES)
@pytest.mark.parametrize("restarts", [False, True])
def test_a_run_that_may_not_have_begun_does_not_count_towards_the_limit(
    restarts, unconfirmed_crash
):
    """Guards against a job that is shown as failed by a run that never began.

    Its start order got no clear answer before its worker started again.
    """
    ledger = addressed_site()
    worker_id = "w00"
    place(ledger, worker_id, run_of("j", 1))
    unconfirmed_crash(ledger, worker_id, run_of("j", 1))
    assert run_of("j").task in ledger.crashes.suspects
    if restarts:
        restored = ledgers.BatchLedger()
        restored.load(ledger.dump())
        ledger = restored
    for number in (2, 3, 4):
        assert state(ledger, "j") != "failed"
        worker_id += "x"
        place(ledger, worker_id, run_of("j", number))
        crash(ledger, worker_id)
    assert state(ledger, "j") == "failed"


def test_a_task_whose_workers_never_answer_its_starts_fails_its_job():
    """It may crash them before they can answer."""
    ledger = addressed_site()
    worker_id = "w00"
    for number in (1, 2, 3, 4):
        assert state(ledger, "j") != "failed"
        place(ledger, worker_id, run_of("j", number))
        crash_at_once(ledger, worker_id, run_of("j", number))
        worker_id += "x"
    assert state(ledger, "j") == "failed"


def test_a_run_that_may_not_have_begun_limits_no_later_starts():
    """Guards against a job that is shown as failed after it was preempted."""
    ledger = addressed_site()
    worker_id = "w00"
    place(ledger, worker_id, run_of("j", 1), run_of("k", 1))
    crash_at_once(ledger, worker_id, run_of("j", 1))
    for number in (2, 3):
        worker_id += "x"
        place(ledger, worker_id, run_of("j", number), run_of("k", number))
        crash(ledger, worker_id)
    worker_id += "x"
    for number in (4, 5, 6):
        run = run_of("j", number)
        place(ledger, worker_id, run)
        ended = commands.EndedRun(number, run, commands.EndKind.STOPPED)
        ledger.note_ends(commands.NoteEnds(worker_id, (ended,), 0))
    assert state(ledger, "j") == "running"
    place(ledger, worker_id, run_of("j", 7), run_of("k", 7))
    crash(ledger, worker_id)
    group = (commands.Placement(run_of("j", 8), worker_id + "x"),)
    ledger.place(commands.PlaceRuns((group,), GONE_MS))
    assert state(ledger, "j") == "failed"


def test_stored_commands_that_do_not_tell_which_runs_began_are_read():
    """Guards against replicas that differ after an upgrade."""
    for command, field in (
        (
            commands.RemoveWorker("w", "421", unconfirmed=(run_of("j"),)),
            "unconfirmed",
        ),
        (
            commands.RemoveWorker("w", "421", outlived_losses=True),
            "outlived_losses",
        ),
        (
            commands.Release(run_of("j"), "w", "", is_unconfirmed=True),
            "is_unconfirmed",
        ),
    ):
        name, fields = msgspec.msgpack.decode(codec.encode(command))
        del fields[field]
        raw = msgspec.msgpack.encode([name, fields])
        assert not getattr(codec.decode(raw), field)


def test_a_snapshot_without_unconfirmed_blame_is_read():
    ledger = addressed_site()
    place(ledger, "w00", run_of("j", 1))
    crash(ledger, "w00")
    place(ledger, "w01", run_of("j", 2), run_of("k"))
    ledger.remove_worker(commands.RemoveWorker("w01", "silent"))
    name, body = msgspec.msgpack.decode(ledger.dump())
    for kind in ("blame", "losses"):
        for one in body["crashes"][kind].values():
            del one["unconfirmed"]
            one.pop("unconfirmed_crashes", None)
    restored = ledgers.BatchLedger()
    restored.load(msgspec.msgpack.encode((name, body)))
    assert restored.crashes.records == ledger.crashes.records


@pytest.mark.parametrize("restarts", [False, True])
def test_a_run_released_before_the_crash_is_known_is_blamed(restarts):
    """The lease of the run ended before the crash of its worker was known."""
    ledger = addressed_site()
    place(ledger, "w00", run_of("j"))
    lost = commands.Release(run_of("j"), "w00", "lease", is_lost=True)
    ledger.release(commands.ReleaseRuns((lost,), 0))
    if restarts:
        restored = ledgers.BatchLedger()
        restored.load(ledger.dump())
        ledger = restored
    assert ledger.crashes.blame_of(run_of("j").task).points == 0
    crash(ledger, "w00")
    blame = ledger.crashes.blame_of(run_of("j").task)
    assert blame == crashes.Blame(crashes.BLAME_ALONE, GONE_MS, 1)


def test_an_unreachable_worker_has_crashed_if_another_has_its_address():
    ledger = addressed_site()
    place(ledger, "w00", run_of("j"))
    worker = ledger.workers["w00"]
    ledger.remove_worker(commands.RemoveWorker("w00", "silent"))
    successor = msgspec.structs.replace(worker, worker_id="next")
    ledger.put_worker(commands.PutWorker(successor, at_ms=GONE_MS))
    blame = ledger.crashes.blame_of(run_of("j").task)
    assert blame == crashes.Blame(crashes.BLAME_ALONE, GONE_MS, 1)


def test_a_lost_run_is_not_blamed_once_its_worker_reports_its_end():
    ledger = addressed_site()
    place(ledger, "w00", run_of("j"))
    worker = ledger.workers["w00"]
    ledger.remove_worker(commands.RemoveWorker("w00", "silent"))
    ledger.put_worker(commands.PutWorker(worker))
    expired = commands.EndedRun(1, run_of("j"), commands.EndKind.LEASE_ENDED)
    ledger.note_ends(commands.NoteEnds("w00", (expired,), 0))
    crash(ledger, "w00")
    assert ledger.crashes.blame_of(run_of("j").task) == crashes.NO_BLAME


def test_a_snapshot_without_crash_records_is_read():
    ledger = addressed_site()
    name, body = msgspec.msgpack.decode(ledger.dump())
    del body["crashes"]
    restored = ledgers.BatchLedger()
    restored.load(msgspec.msgpack.encode((name, body)))
    assert set(restored.jobs) == {"j", "k"}
    assert not restored.crashes.suspects


def test_a_stored_command_without_the_crashed_field_is_read():
    raw = codec.encode(commands.RemoveWorker("w00", "421", (), GONE_MS))
    name, body = msgspec.msgpack.decode(raw)
    del body["crashed"]
    command = codec.decode(msgspec.msgpack.encode((name, body)))
    assert not command.crashed


def site_with_suspects(job_id, tasks=(0,), racks=1, per_rack=3, **step):
    """Returns a site with a job of which some tasks are suspects."""
    ledger = planned_site.site(racks, per_rack)
    count = max(tasks) + 1
    planned_site.submit(
        ledger, planned_site.job(job_id, count, 1, priority=1, **step)
    )
    for index in tasks:
        ledger.crashes.record_crash([run_of(job_id, index=index)], 0)
    return ledger


def plan(ledger, now_ms=0):
    return planner.plan(planned_site.planner_input(ledger, now_ms=now_ms))


def test_a_suspect_gets_an_empty_worker_and_other_tasks_avoid_it():
    ledger = site_with_suspects("j")
    planned_site.occupy(ledger, "w00", "o", 1)
    planned_site.submit(ledger, planned_site.job("k", 4, 1, priority=2))
    made = plan(ledger)
    workers = {
        group[0].run.task.job_id: {placed.worker_id for placed in group}
        for group in made.groups
    }
    assert workers["j"].isdisjoint({"w00"} | workers["k"])


def test_one_suspect_of_a_step_runs_at_a_time():
    ledger = site_with_suspects("j", tasks=(0, 1, 2))
    planned_site.apply_plan(ledger, plan(ledger))
    assert len(ledger.runs) == 1
    assert not plan(ledger).groups


def test_suspects_of_a_long_running_step_wait_for_each_other_up_to_a_timeout():
    """Guards against a task that never runs again: the other one never ends."""
    ledger = site_with_suspects("j", tasks=(0, 1, 2), long_running=True)
    planned_site.apply_plan(ledger, plan(ledger))
    assert len(ledger.runs) == 1
    assert not plan(ledger, now_ms=units.SUSPECT_HOLD_MS - 1).groups
    made = plan(ledger, now_ms=units.SUSPECT_HOLD_MS)
    planned_site.apply_plan(ledger, made)
    workers = {record.worker_id for record in ledger.runs.values()}
    assert len(ledger.runs) == len(workers) == 3


def test_a_suspect_of_a_finite_step_waits_for_the_end_of_another_one():
    """Its job has something running meanwhile."""
    ledger = site_with_suspects("j", tasks=(0, 1, 2))
    planned_site.apply_plan(ledger, plan(ledger))
    assert not plan(ledger, now_ms=10 * units.SUSPECT_HOLD_MS).groups


def test_a_suspect_waits_for_an_empty_worker_up_to_a_timeout():
    ledger = site_with_suspects("j", per_rack=2)
    planned_site.occupy(ledger, "w00", "o", 1)
    planned_site.occupy(ledger, "w01", "p", 1)
    planned_site.occupy(ledger, "w01", "q", 1)
    assert not plan(ledger).groups
    made = plan(ledger, now_ms=planner.ISOLATION_TIMEOUT_MS)
    assert planned_site.workers_used(made) == {
        "w00"
    }  # the worker with the fewest live runs


def test_job_of_a_suspect_does_not_stand_for_an_idle_worker():
    """Its crash is noted up to 1.5 s late, and a plan follows within 0.5 s."""
    ledger = site_with_suspects("j", per_rack=2)
    for worker_id in ledger.workers:
        planned_site.occupy(ledger, worker_id, f"on-{worker_id}", 1)
    longest_ms, noted_ms, planned_ms = 3_000, 1_500, 500
    made = plan(ledger, now_ms=longest_ms - noted_ms - planned_ms)
    assert "j" in planned_site.placed_jobs(made)


@pytest.mark.parametrize("gang", [False, True])
def test_two_suspects_do_not_share_a_worker(gang):
    """Suspects on one worker would be blamed together at each crash."""
    ledger = site_with_suspects("j", per_rack=2)
    planned_site.apply_plan(ledger, plan(ledger))
    (isolated,) = {record.worker_id for record in ledger.runs.values()}
    (other,) = ledger.workers.keys() - {isolated}
    for name in ("o", "p"):
        planned_site.occupy(ledger, other, name, 1)
    suspect = planned_site.job("k", 1, 1, priority=1, gang=gang)
    planned_site.submit(ledger, suspect)
    ledger.crashes.record_crash([run_of("k")], 0)
    made = plan(ledger, now_ms=planner.ISOLATION_TIMEOUT_MS)
    assert planned_site.workers_used(made) == {other}


def test_other_tasks_join_a_suspect_if_no_other_worker_has_capacity():
    ledger = site_with_suspects("j", per_rack=1)
    planned_site.apply_plan(ledger, plan(ledger))
    planned_site.submit(ledger, planned_site.job("k", 1, 1, priority=2))
    assert planned_site.placed_jobs(plan(ledger)) == {"k"}


def test_an_urgent_suspect_preempts_only_after_the_isolation_timeout():
    ledger = planned_site.site(1, 1)
    planned_site.occupy(ledger, "w00", "o", 8, priority=1)
    planned_site.submit(ledger, planned_site.job("j", 1, 8))
    ledger.crashes.record_crash([run_of("j")], 0)
    assert not plan(ledger).stops
    assert plan(ledger, now_ms=planner.ISOLATION_TIMEOUT_MS).stops


def long_running_site():
    """Returns a site with a job of one long-running task, j, and a job k."""
    ledger = addressed_site()
    planned_site.submit(
        ledger, planned_site.job("l", 1, 1, priority=1, long_running=True)
    )
    return ledger


def crash_under(ledger, job_id, count, spares_long_running):
    """Crashes workers under a task that is alone there."""
    worker_id = "w00"
    for number in range(1, count + 1):
        group = (commands.Placement(run_of(job_id, number), worker_id),)
        placed = ledger.place(
            commands.PlaceRuns(
                (group,), 0, spares_long_running=spares_long_running
            )
        )
        if placed.refusals != ("",):
            return number - 1
        worker = ledger.workers[worker_id]
        ledger.remove_worker(
            commands.RemoveWorker(
                worker_id,
                "421",
                (),
                GONE_MS,
                crashed=True,
                spares_long_running=spares_long_running,
            )
        )
        worker_id += "x"
        successor = msgspec.structs.replace(worker, worker_id=worker_id)
        ledger.put_worker(
            commands.PutWorker(
                successor, spares_long_running=spares_long_running
            )
        )
    return count


def test_a_long_running_task_is_restarted_however_many_workers_crash():
    """Guards against a job that is shown as failed though no run has failed."""
    ledger = long_running_site()
    assert crash_under(ledger, "l", 12, True) == 12
    assert state(ledger, "l") == "running"
    assert run_of("l").task in ledger.crashes.suspects


def test_a_task_that_is_not_long_running_is_still_given_up():
    ledger = long_running_site()
    assert crash_under(ledger, "j", 12, True) < 12
    assert state(ledger, "j") == "failed"


def test_a_long_running_task_is_restarted_after_lost_workers_crashed():
    """Guards against the same where a successor shows the crash."""
    ledger = long_running_site()
    worker_id = "w00"
    for number in range(1, 8):
        group = (commands.Placement(run_of("l", number), worker_id),)
        placed = ledger.place(
            commands.PlaceRuns((group,), 0, spares_long_running=True)
        )
        assert placed.refusals == ("",)
        worker = ledger.workers[worker_id]
        ledger.remove_worker(commands.RemoveWorker(worker_id, "silent"))
        worker_id += "x"
        successor = msgspec.structs.replace(worker, worker_id=worker_id)
        ledger.put_worker(
            commands.PutWorker(successor, spares_long_running=True)
        )
    assert state(ledger, "l") == "running"


def test_crashes_in_the_log_of_an_earlier_version_are_replayed_as_they_were():
    """Guards against replicas that differ after an upgrade."""
    ledger = long_running_site()
    assert crash_under(ledger, "l", 12, False) == 3
    assert state(ledger, "l") == "failed"
    for command in (
        commands.RemoveWorker("w", "421", spares_long_running=True),
        commands.PutWorker(ledger.workers["w01"], spares_long_running=True),
        commands.PlaceRuns((), 0, spares_long_running=True),
    ):
        name, fields = msgspec.msgpack.decode(codec.encode(command))
        del fields["spares_long_running"]
        raw = msgspec.msgpack.encode([name, fields])
        assert not codec.decode(raw).spares_long_running
