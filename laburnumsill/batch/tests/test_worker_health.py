from laburnumsill.batch import commands
from laburnumsill.batch import model
from laburnumsill.batch import worker_client
from laburnumsill.batch import worker_health
from laburnumsill.batch import worker_speeds

STEP = model.Step(8, model.Resources(1000, 64, 1))
GANG = model.Step(8, model.Resources(1000, 64, 1), gang=True)


def run(job="j", index=0):
    return model.RunId(model.TaskId(job, 0, 0, index), 1)


def end(run_id, kind):
    return commands.EndedRun(1, run_id, kind)


def failed(health, worker, job, now):
    return health.observe_end(
        worker, end(run(job), commands.EndKind.FAILED), STEP, now
    )


def test_consecutive_failures_of_different_jobs_quarantine_a_worker():
    health = worker_health.WorkerHealth()
    assert not failed(health, "w", "a", 1.0)
    assert not failed(health, "w", "a", 2.0)  # one bad job proves nothing
    assert failed(health, "w", "b", 3.0)
    assert health.is_quarantined("w", 3.1)
    assert not health.is_quarantined("w", 3.0 + worker_health.QUARANTINE_S)


def test_a_success_clears_earlier_failures_of_a_worker():
    health = worker_health.WorkerHealth()
    failed(health, "w", "a", 1.0)
    done = end(run("c"), commands.EndKind.DONE)
    health.observe_end("w", done, STEP, 2.0)
    assert not failed(health, "w", "b", 3.0)


def test_the_quarantine_of_a_worker_doubles_up_to_a_limit():
    health = worker_health.WorkerHealth()
    now = 0.0
    durations = []
    for number in range(4):
        while not failed(health, "w", f"j{number}{now}", now):
            now += 0.1
        began = now
        while health.is_quarantined("w", now):
            now += 0.1
        durations.append(round(now - began))
    assert durations == [4, 6, 6, 6]


def test_no_quarantine_outlasts_the_time_for_which_jobs_may_stand():
    """Guards against jobs that wait although the fault has long ended.

    They may stand for 3 s that begin 4 s after it.
    """
    assert worker_health.MAX_QUARANTINE_S + 1.0 <= 4.0 + 3.0


def test_a_task_avoids_workers_on_which_it_failed():
    health = worker_health.WorkerHealth()
    failed(health, "w", "a", 1.0)
    assert health.avoided_workers(run("a").task) == {"w"}
    health.keep_jobs({"a"})
    assert health.avoided_workers(run("a").task) == {"w"}
    health.keep_jobs({"b"})
    assert health.avoided_workers(run("a").task) == set()


def test_a_run_without_progress_is_stalled():
    health = worker_health.WorkerHealth()
    health.observe_start(run(), 0.0)
    seen = worker_client.RunningRun(run(), "", 0)
    assert not health.observe_progress(seen, False, 1.0)
    moved = worker_client.RunningRun(run(), "", 7)
    assert not health.observe_progress(moved, False, 2.0)
    assert not health.observe_progress(moved, False, 4.4)
    assert health.observe_progress(moved, False, 4.5)


def test_a_gang_member_has_a_longer_stall_timeout():
    health = worker_health.WorkerHealth()
    health.observe_start(run(), 0.0)
    seen = worker_client.RunningRun(run(), "", 0)
    assert not health.observe_progress(seen, True, 3.0)
    assert health.observe_progress(seen, True, 3.6)


def test_slow_workers_are_detected_from_tasks_of_the_same_step():
    health = worker_health.WorkerHealth()
    for index in range(8):
        worker = "slow" if index % 4 == 3 else f"w{index}"
        took = 1.3 if worker == "slow" else 1.0
        run_id = run("j", index)
        health.observe_start(run_id, 0.0)
        done = end(run_id, commands.EndKind.DONE)
        health.observe_end(worker, done, STEP, took)
    now = 2.0
    slowness = health.recent_slowness
    assert slowness("slow", now) >= worker_speeds.SLOW_RATIO
    assert slowness("w4", now) < worker_speeds.SLOW_RATIO
    assert slowness("unknown", now) == 1.0


def test_gang_runs_do_not_count_for_worker_speed():
    health = worker_health.WorkerHealth()
    for index in range(8):
        run_id = run("g", index)
        health.observe_start(run_id, 0.0)
        done = end(run_id, commands.EndKind.DONE)
        health.observe_end(f"w{index}", done, GANG, float(1 + index))
    assert health.recent_slowness("w7", 9.0) == 1.0


def end_eight_runs(health, step, slow_s):
    """Ends eight runs of a step, every fourth of them after `slow_s`."""
    for index in range(8):
        worker = "slow" if index % 4 == 3 else f"w{index}"
        run_id = run("j", index)
        health.observe_start(run_id, 0.0)
        took_s = slow_s if worker == "slow" else 1.0
        done = end(run_id, commands.EndKind.DONE)
        health.observe_end(worker, done, step, took_s)


def test_runs_far_from_their_data_do_not_count_for_worker_speed():
    health = worker_health.WorkerHealth()
    far = model.Step(8, model.Resources(1000, 64, 1), data_rack="r1")
    end_eight_runs(health, far, 3.0)
    assert health.recent_slowness("slow", 3.0) == 1.0


def test_a_very_slow_worker_recovers_after_the_sliding_window():
    health = worker_health.WorkerHealth()
    end_eight_runs(health, STEP, 5.0)
    assert health.recent_slowness("slow", 6.0) >= worker_health.VERY_SLOW_RATIO
    later = 6.0 + worker_health.RECENT_RATIO_WINDOW_S
    assert health.recent_slowness("slow", later) < worker_health.VERY_SLOW_RATIO


def test_incarnations_that_have_left_do_not_lower_the_prior_odds():
    # Each one that ended a run counted for ever as one more healthy worker.
    fresh, old = (worker_health.WorkerHealth() for _ in range(2))
    done = end(run("done"), commands.EndKind.DONE)
    for number in range(1000):
        old.observe_end(f"w@{number}", done, STEP, 0.0, "other")
    old.keep_workers({"w"})
    old.keep_jobs(())
    for health in (fresh, old):
        failed(health, "w", "a", 1.0)
        assert failed(health, "w", "b", 2.0)


def test_workers_that_are_there_keep_their_quarantine():
    health = worker_health.WorkerHealth()
    for job in "ab":
        failed(health, "w", job, 1.0)
    health.keep_workers({"w"})
    assert health.is_quarantined("w", 1.1)


LASTING = model.Step(8, model.Resources(1000, 64, 1), long_running=True)


def test_an_end_as_done_of_a_long_running_task_is_no_success():
    """Guards against a worker that ends whatever lasts but looks sound."""
    health = worker_health.WorkerHealth()
    failed(health, "w", "a", 1.0)
    done = end(run("c"), commands.EndKind.DONE)
    assert not health.observe_end("w", done, LASTING, 2.0)
    assert failed(health, "w", "b", 3.0)


def test_a_long_running_task_avoids_workers_on_which_its_runs_have_ended():
    health = worker_health.WorkerHealth()
    done = end(run("a"), commands.EndKind.DONE)
    health.observe_end("w", done, LASTING, 1.0)
    assert health.avoided_workers(run("a").task) == {"w"}
    health.observe_end("v", end(run("b"), done.kind), STEP, 1.0)
    assert not health.avoided_workers(run("b").task)


def test_run_times_of_long_running_tasks_measure_no_speed():
    assert STEP.measures_worker_speed
    assert not LASTING.measures_worker_speed
