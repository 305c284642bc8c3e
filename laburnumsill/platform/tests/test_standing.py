"""The watch of a soak for jobs that stand still, on moments alone."""

import dataclasses
from collections import abc

import pytest
import trio

from laburnumsill.batch import model
from laburnumsill.emulator import oracle as oracles
from laburnumsill.platform.tests.soak import records
from laburnumsill.platform.tests.soak import standing

POOL = "hutdesk"
OTHER_POOL = "hutdesk-2"
CAPACITY = model.Resources(8_000, 8_000, 8)
NEEDS = model.Resources(1_000, 1_000, 1)
INTERVAL_S = 0.1
LONG_AGO = -100.0


@dataclasses.dataclass(slots=True)
class Scene:
    """A site that a test changes between moments.

    Attributes:
        watch: The watch under test.
        now: Time of the next moment.
        disturbed_at: Time of the last disturbance.
        workers: The workers, by name.
        jobs: The owed jobs.
    """

    watch: standing.Watch
    now: float = 0.0
    disturbed_at: float = LONG_AGO
    workers: dict[str, standing.WorkerState] = dataclasses.field(
        default_factory=dict
    )
    jobs: list[standing.JobState] = dataclasses.field(default_factory=list)

    def add_worker(
        self,
        name: str = "w",
        pool: str = POOL,
        capacity: model.Resources = CAPACITY,
        used: int = 0,
    ) -> None:
        """Adds a worker on which another job uses some accelerators."""
        worker = model.Worker(name, pool, "", "d-r0", capacity, ("a",), "r0")
        running = {
            model.TaskId("other", 0, 0, index): NEEDS for index in range(used)
        }
        self.workers[name] = standing.WorkerState(worker, running)

    def change_worker(self, name: str = "w", **changes: object) -> None:
        """Changes the state of a worker."""
        changed = dataclasses.replace(self.workers[name], **changes)
        self.workers[name] = changed

    def pass_s(self, seconds: float) -> None:
        """Observes moments until some seconds have passed."""
        until = self.now + seconds
        while self.now < until - INTERVAL_S / 2:
            moment = standing.Moment(
                self.now,
                list(self.workers.values()),
                list(self.jobs),
                self.disturbed_at,
            )
            self.watch.observe(moment)
            self.now += INTERVAL_S

    def end(self) -> list[str]:
        """Ends the watch and returns the broken promises."""
        self.watch.close()
        return self.watch.broken


def job(
    *steps: model.Step,
    pools: abc.Set[str] = frozenset({POOL}),
    number: int = 0,
) -> standing.JobState:
    terms = model.QueueTerms(POOL, 1, 3)
    made = model.Job(f"job-{number}", "batch", "", "", steps, terms)
    truth = oracles.GroundTruth(made)
    return standing.JobState(f"/batch/job-{number}", truth, {}, pools)


def task(step: int = 0, index: int = 0) -> model.TaskId:
    return model.TaskId("job-0", 0, step, index)


@pytest.fixture
def scene() -> Scene:
    """Returns a calm site with a worker, which no job has used yet."""
    calm = Scene(standing.Watch())
    calm.add_worker()
    calm.pass_s(10.0)
    return calm


def test_a_job_may_stand_for_less_than_three_seconds(scene):
    scene.jobs = [job(model.Step(1, NEEDS))]
    scene.pass_s(2.9)
    scene.jobs = []
    scene.pass_s(5.0)
    assert scene.end() == []


def test_a_line_tells_what_stood(scene):
    moving = job(model.Step(1, NEEDS), number=1)
    scene.jobs = [
        job(model.Step(2, NEEDS)),
        moving,
        job(model.Step(1, NEEDS), number=2),
    ]
    scene.jobs[0].truth.done.add(task(index=1))
    runs_it = {model.TaskId("job-1", 0, 0, 0): NEEDS}
    scene.change_worker(running=runs_it)
    scene.pass_s(4.0)
    found = scene.end()
    assert len(found) == 2
    assert found[0] == (
        "13.900 LOST /batch/job-0 stands still from 10.00 to 13.90: step=0"
        " tasks=1 gang=no needs=1000m,1000MB,1 runs=0 room=7 others-stand=1"
        " others-move=1 under-half=yes failing-before-s=inf"
    )


@pytest.mark.parametrize("is_seen", [False, True])
def test_a_run_breaks_a_stand(scene, is_seen):
    """A run may have ended before the next moment."""
    one = job(model.Step(1, NEEDS))
    counted = records.CountingOracle()
    scene.jobs = [dataclasses.replace(one, runs=counted.runs)]
    scene.pass_s(2.0)
    counted.runs[task()] += 1
    if is_seen:
        scene.change_worker(running={task(): NEEDS})
        scene.pass_s(INTERVAL_S)
        scene.change_worker(running={})
    scene.pass_s(2.9)
    scene.jobs = []
    scene.pass_s(INTERVAL_S)
    assert scene.end() == []


def test_a_run_on_a_worker_that_is_down_is_none(scene):
    scene.add_worker("v")
    scene.change_worker("v", running={task(): NEEDS}, is_up=False)
    scene.jobs = [job(model.Step(1, NEEDS))]
    scene.pass_s(8.0)
    assert len(scene.end()) == 1


def test_a_run_on_a_draining_worker_is_one(scene):
    scene.add_worker("v")
    scene.change_worker("v", running={task(): NEEDS}, is_ready=False)
    scene.jobs = [job(model.Step(2, NEEDS))]
    scene.pass_s(8.0)
    assert scene.end() == []


def test_the_turn_of_a_step_comes_after_the_steps_before_it(scene):
    step = model.Step(1, NEEDS)
    after = model.Step(1, CAPACITY, depends_on=(0,))
    scene.jobs = [job(step, after)]
    scene.change_worker(
        running={model.TaskId("x", 0, 0, n): NEEDS for n in range(7)}
    )
    scene.pass_s(5.0)
    assert scene.end() == []
    scene.jobs[0].truth.done.add(task())
    scene.change_worker(running={})
    scene.add_worker("v")
    scene.pass_s(8.0)
    (line,) = scene.end()
    assert "step=1" in line


def test_a_job_without_attempts_left_is_not_owed(scene):
    scene.jobs = [job(model.Step(1, NEEDS))]
    scene.jobs[0].truth.failures[task()] = 3
    scene.pass_s(5.0)
    assert scene.end() == []


@pytest.mark.parametrize(("free", "count"), [(18, 0), (19, 0), (20, 1)])
def test_there_has_to_be_room_twice_over(scene, free, count):
    needs = model.Resources(1_000, 1_000, 10)
    capacity = model.Resources(8_000, 8_000, free)
    scene.add_worker(capacity=capacity)
    scene.pass_s(8.0)
    scene.jobs = [job(model.Step(5, needs))]
    scene.pass_s(5.0)
    assert len(scene.end()) == count


@pytest.mark.parametrize(("tasks", "count"), [(4, 1), (5, 0)])
def test_a_gang_needs_room_for_all_of_its_tasks(scene, tasks, count):
    scene.jobs = [job(model.Step(tasks, NEEDS, gang=True))]
    scene.pass_s(5.0)
    assert len(scene.end()) == count


@pytest.mark.parametrize(("limit", "count"), [(1, 0), (2, 1), (0, 1)])
def test_a_worker_has_room_for_max_per_worker(scene, limit, count):
    scene.jobs = [job(model.Step(1, NEEDS, max_per_worker=limit))]
    scene.pass_s(5.0)
    assert len(scene.end()) == count


def test_racks_do_not_matter(scene):
    scene.jobs = [job(model.Step(2, NEEDS, data_rack="r1", same_rack=True))]
    scene.pass_s(5.0)
    assert len(scene.end()) == 1


def test_labels_matter(scene):
    scene.jobs = [job(model.Step(1, NEEDS, required_label="b"))]
    scene.pass_s(5.0)
    assert scene.end() == []


@pytest.mark.parametrize(
    "changes", [{"is_ready": False}, {"is_evacuated": True}, {"is_up": False}]
)
def test_such_room_does_not_count(scene, changes):
    scene.change_worker(**changes)
    scene.pass_s(8.0)
    scene.jobs = [job(model.Step(1, NEEDS))]
    scene.pass_s(5.0)
    assert scene.end() == []


@pytest.mark.parametrize(
    ("pools", "count"),
    [({POOL}, 1), ({OTHER_POOL}, 0), ({POOL, OTHER_POOL}, 0), (set(), 0)],
)
def test_each_pool_that_the_queue_may_have_needs_room(scene, pools, count):
    scene.add_worker("v", OTHER_POOL, used=7)
    scene.pass_s(8.0)
    scene.jobs = [job(model.Step(1, NEEDS), pools=pools)]
    scene.pass_s(5.0)
    assert len(scene.end()) == count


def test_queues_have_the_pools_of_the_newest_configurations():
    pools = records.QueuePools()
    old, new = (
        {"routes": [{"name": "batch", "service": pool}]}
        for pool in (POOL, OTHER_POOL)
    )
    pools.record_acknowledged(old)
    assert pools.pools_of("batch") == {POOL}
    pools.record_sent(new)
    assert pools.pools_of("batch") == {POOL, OTHER_POOL}
    pools.record_acknowledged(new)
    assert pools.pools_of("batch") == {OTHER_POOL}


@pytest.mark.parametrize(("stood_s", "count"), [(6.9, 0), (7.2, 1)])
def test_a_disturbance_excuses_seven_seconds(scene, stood_s, count):
    scene.disturbed_at = scene.now
    scene.jobs = [job(model.Step(1, NEEDS))]
    scene.pass_s(stood_s)
    assert len(scene.end()) == count


@pytest.mark.parametrize(("stood_s", "count"), [(6.9, 0), (7.2, 1)])
@pytest.mark.parametrize("joins", [False, True])
def test_a_change_of_the_workers_excuses_seven_seconds(
    scene, joins, stood_s, count
):
    scene.add_worker("v" if joins else "w", capacity=CAPACITY + NEEDS)
    scene.jobs = [job(model.Step(1, NEEDS))]
    scene.pass_s(stood_s)
    assert len(scene.end()) == count


def test_stands_beside_crashes_are_counted(scene):
    scene.add_worker("v")
    scene.jobs = [job(model.Step(1, NEEDS))]
    scene.pass_s(5.0)
    assert scene.end() == []
    assert scene.watch.beside_crash_count == 1
    assert scene.watch.longest_beside_crash_s == pytest.approx(4.9)


def test_stands_while_the_loop_is_late_are_counted(scene):
    scene.now += standing.LONGEST_GAP_S
    scene.jobs = [job(model.Step(1, NEEDS))]
    scene.pass_s(5.0)
    assert scene.end() == []
    assert scene.watch.excused_count == 1
    assert "stood-while-loop-late=1" in scene.watch.line


@pytest.mark.parametrize("asks_under_half", [False, True])
@pytest.mark.parametrize("used", [3, 4])
def test_a_full_pool_excuses_only_if_asked(asks_under_half, used):
    scene = Scene(standing.Watch(asks_under_half))
    scene.add_worker(used=used)
    scene.pass_s(8.0)
    scene.jobs = [job(model.Step(1, NEEDS))]
    scene.pass_s(5.0)
    assert len(scene.end()) == (0 if asks_under_half and used == 4 else 1)


async def test_disturbances_last_until_the_last_of_them_ends(autojump_clock):
    found = records.Disturbances()
    began_at = trio.current_time()
    with found.disturbance():
        with found.disturbance():
            await trio.sleep(0.5)
        await trio.sleep(0.5)
        assert found.last_at == trio.current_time()
    await trio.sleep(2.0)
    assert found.last_at == began_at + 1.0


def lasting(**changes: object) -> standing.JobState:
    return job(model.Step(2, NEEDS, long_running=True, **changes))


def end_run(scene: Scene, index: int, is_done: bool = True) -> None:
    """Ends a run of a task of the first job now, as a worker does."""
    truth = scene.jobs[0].truth
    truth.ended_at[task(index=index)] = scene.now
    if is_done and not truth.lasts(task(index=index)):
        truth.done.add(task(index=index))


def test_a_long_running_task_is_judged_while_others_of_its_job_run(scene):
    scene.jobs = [lasting()]
    running = model.RunId(task(index=1), 1)
    scene.jobs[0].truth.running[running] = "w"
    scene.change_worker(running={task(index=1): NEEDS})
    scene.pass_s(4.0)
    assert len(scene.end()) == 1


def test_a_long_running_task_may_rest_for_6_s_after_its_last_run(scene):
    scene.jobs = [lasting(gang=True)]
    end_run(scene, 0)
    scene.pass_s(8.9)
    scene.jobs = []
    assert scene.end() == []


@pytest.mark.parametrize("is_done", [False, True])
def test_a_long_running_task_that_rests_longer_is_reported(scene, is_done):
    """Guards against a watch that takes the end of a run for that of a task."""
    scene.jobs = [lasting(gang=True)]
    end_run(scene, 0, is_done)
    end_run(scene, 1, is_done)
    scene.pass_s(9.2)
    assert len(scene.end()) == 1


def test_failures_of_long_running_tasks_excuse_no_stand(scene):
    scene.jobs = [lasting(gang=True)]
    scene.jobs[0].truth.failures[task()] = 5
    scene.pass_s(4.0)
    assert len(scene.end()) == 1
