from laburnumsill.batch import commands
from laburnumsill.batch import model
from laburnumsill.batch import worker_client
from laburnumsill.batch import worker_health
from laburnumsill.batch import worker_speeds

STEP = model.Step(8, model.Resources(1000, 64, 1))
GANG = model.Step(8, model.Resources(1000, 64, 1), gang=True)


def run(job="j", index=0):
    return model.RunId(model.TaskId(job, 0, 0, index), 1)


def end(which, kind):
    return commands.EndedRun(1, which, kind)


def failed(health, worker, job, now):
    return health.observe_end(
        worker, end(run(job), commands.EndKind.FAILED), STEP, now
    )


def test_different_jobs_in_a_row_are_the_workers_fault():
    health = worker_health.WorkerHealth()
    assert not failed(health, "w", "a", 1.0)
    assert not failed(health, "w", "a", 2.0)  # one bad job proves nothing
    assert failed(health, "w", "b", 3.0)
    assert health.set_aside("w", 3.1)
    assert not health.set_aside("w", 3.0 + worker_health.QUARANTINE_S)


def test_something_done_clears_a_worker():
    health = worker_health.WorkerHealth()
    failed(health, "w", "a", 1.0)
    done = end(run("c"), commands.EndKind.DONE)
    health.observe_end("w", done, STEP, 2.0)
    assert not failed(health, "w", "b", 3.0)


def test_a_worker_that_goes_on_failing_is_set_aside_for_longer():
    health = worker_health.WorkerHealth()
    now = 0.0
    spans = []
    for number in range(4):
        while not failed(health, "w", f"j{number}{now}", now):
            now += 0.1
        began = now
        while health.set_aside("w", now):
            now += 0.1
        spans.append(round(now - began))
    assert spans == [4, 8, 16, 16]


def test_a_task_does_not_go_where_it_failed():
    health = worker_health.WorkerHealth()
    failed(health, "w", "a", 1.0)
    assert health.avoid(run("a").task) == {"w"}
    health.keep_jobs({"a"})
    assert health.avoid(run("a").task) == {"w"}
    health.keep_jobs({"b"})
    assert health.avoid(run("a").task) == set()


def test_progress_that_stands_still_is_a_hang():
    health = worker_health.WorkerHealth()
    health.observe_start(run(), 0.0)
    seen = worker_client.RunningRun(run(), "", 0)
    assert not health.observe_progress(seen, False, 1.0)
    moved = worker_client.RunningRun(run(), "", 7)
    assert not health.observe_progress(moved, False, 2.0)
    assert not health.observe_progress(moved, False, 4.4)
    assert health.observe_progress(moved, False, 4.5)


def test_a_gang_may_wait_for_its_members():
    health = worker_health.WorkerHealth()
    health.observe_start(run(), 0.0)
    seen = worker_client.RunningRun(run(), "", 0)
    assert not health.observe_progress(seen, True, 3.0)
    assert health.observe_progress(seen, True, 3.6)


def test_workers_that_were_slow_lately_are_learnt_from_siblings():
    health = worker_health.WorkerHealth()
    for index in range(8):
        worker = "slow" if index % 4 == 3 else f"w{index}"
        took = 1.3 if worker == "slow" else 1.0
        which = run("j", index)
        health.observe_start(which, 0.0)
        done = end(which, commands.EndKind.DONE)
        health.observe_end(worker, done, STEP, took)
    now = 2.0
    lately = health.slowness_lately
    assert lately("slow", now) >= worker_speeds.NOTICEABLY_SLOW
    assert lately("w4", now) < worker_speeds.NOTICEABLY_SLOW
    assert lately("unknown", now) == 1.0


def test_a_gang_says_nothing_about_its_workers_speed():
    health = worker_health.WorkerHealth()
    for index in range(8):
        which = run("g", index)
        health.observe_start(which, 0.0)
        done = end(which, commands.EndKind.DONE)
        health.observe_end(f"w{index}", done, GANG, float(1 + index))
    assert health.slowness_lately("w7", 9.0) == 1.0


def end_eight(health, step, slow_s):
    """Eight siblings end, every fourth of them after `slow_s`."""
    for index in range(8):
        worker = "slow" if index % 4 == 3 else f"w{index}"
        which = run("j", index)
        health.observe_start(which, 0.0)
        took_s = slow_s if worker == "slow" else 1.0
        done = end(which, commands.EndKind.DONE)
        health.observe_end(worker, done, step, took_s)


def test_a_run_far_from_its_data_says_nothing_about_its_worker():
    health = worker_health.WorkerHealth()
    far = model.Step(8, model.Resources(1000, 64, 1), data_rack="r1")
    end_eight(health, far, 3.0)
    assert health.slowness_lately("slow", 3.0) == 1.0


def test_nobody_is_very_slow_for_ever():
    health = worker_health.WorkerHealth()
    end_eight(health, STEP, 5.0)
    assert health.slowness_lately("slow", 6.0) >= worker_health.VERY_SLOW
    later = 6.0 + worker_health.RECENT_RATIO_WINDOW_S
    assert health.slowness_lately("slow", later) < worker_health.VERY_SLOW
