"""The watch on jobs that stand still, on events without a scheduler."""

import dataclasses

import msgspec
import pytest

from laburnumsill.batch import model
from laburnumsill.emulator import oracle as oracles
from laburnumsill.emulator import standing

NEEDS = model.Resources(1000, 1000, 1)
CAPACITY = model.Resources(8000, 8000, 8)
WORKER = model.Worker("w", "pool", "w", "d", CAPACITY, ("a",))
STEP = model.Step(1, NEEDS)
TERMS = model.QueueTerms("pool", 1, 3)
HOWEVER_FULL = standing.Terms(only_under_half=False)

REPORTED_S = 7.0
"""Time at which what stands still from the start on is reported: 4 s of calm
and 3 s."""


def job_of(*steps, job_id="j", **changes):
    return model.Job(job_id, "q", "a", "", steps, TERMS, **changes)


def worker_of(slots, worker_id="w", **changes):
    """Returns a worker with room for a number of tasks."""
    capacity = model.Resources(8000, 8000, slots)
    return msgspec.structs.replace(
        WORKER, worker_id=worker_id, capacity=capacity, **changes
    )


def task_of(step=0, index=0, job_id="j"):
    return model.TaskId(job_id, 0, step, index)


class Watched:
    """A site of which only the events and the conditions are known.

    Attributes:
        oracle: Takes the events.
        conditions: The conditions of the next samples.
        ended: Ids of the jobs that are shown in a final state.
    """

    def __init__(self, *jobs, workers=(WORKER,), terms=standing.DEFAULT_TERMS):
        self.oracle = oracles.Oracle()
        self.ended = set()
        self.conditions = standing.Conditions(0.0, 0, tuple(workers))
        self._watch = standing.StandingWatch(
            self.oracle, self.ended.__contains__, terms
        )
        for job in jobs:
            self.oracle.submitted(job)
            self.oracle.record_acceptance(job.job_id, 0.0)

    @property
    def lines(self):
        """The jobs that were reported to stand still."""
        return [line for line in self.oracle.broken if " STILL " in line]

    def change(self, **changes):
        """Changes the conditions from the next sample on."""
        self.conditions = dataclasses.replace(self.conditions, **changes)

    def watch_until(self, until):
        """Takes samples up to a time, and one at that time."""
        while self.conditions.now <= until:
            self._watch.sample(self.conditions)
            now = self.conditions.now + 0.25
            self.change(now=now, wall_ms=int(1000 * now))

    def start(self, task, number=1, worker=WORKER):
        """Starts a run now."""
        run = model.RunId(task, number)
        self.oracle.check_start(run, worker, self.conditions.now, late=False)

    def end(self, task, number=1, worker=WORKER, done=False):
        """Ends a run now."""
        run = model.RunId(task, number)
        self.oracle.record_end(run, worker.worker_id, self.conditions.now, done)


def test_a_job_is_reported_once_it_has_stood_still_for_3_s():
    site = Watched(job_of(STEP))
    site.watch_until(REPORTED_S - 0.25)
    assert not site.lines
    site.watch_until(REPORTED_S)
    assert len(site.lines) == 1


def test_a_line_is_extended_and_names_the_facts():
    jobs = [job_of(model.Step(3, NEEDS))]
    jobs += [job_of(STEP, job_id=name) for name in ("still", "moving")]
    site = Watched(*jobs)
    site.start(task_of())
    site.start(task_of(job_id="moving"))
    site.watch_until(6.0)
    site.end(task_of())
    site.watch_until(20.0)
    assert site.lines[1:] == [
        "20.000 STILL job j step 0.0 from 6.25 to 20.00: task=0 runs=1"
        " tasks=3 undone=3 gang=False long_running=False"
        " needs=1000m,1000MB,1acc pool=pool room=7 under_half=True"
        " others_still=1 others_moving=1"
    ]
    assert "job still step 0.0 from 4.00 to 20.00" in site.lines[0]


def test_a_job_that_stands_still_again_is_reported_again():
    site = Watched(job_of(STEP))
    site.watch_until(REPORTED_S)
    site.start(task_of())
    site.watch_until(REPORTED_S + 1.0)
    site.end(task_of())
    site.watch_until(REPORTED_S + 5.0)
    assert len(site.lines) == 2


def test_a_run_between_two_samples_is_a_break():
    site = Watched(job_of(STEP))
    site.watch_until(REPORTED_S - 1.0)
    site.start(task_of())
    site.end(task_of())
    site.watch_until(REPORTED_S + 1.5)
    assert not site.lines
    site.watch_until(REPORTED_S + 3.0)
    assert len(site.lines) == 1


def test_a_job_moves_while_any_of_its_tasks_runs():
    site = Watched(job_of(model.Step(2, NEEDS), STEP))
    site.start(task_of(index=1))
    site.watch_until(20.0)
    assert not site.lines


@pytest.mark.parametrize(
    "steps, done, reported",
    [
        ((STEP, model.Step(1, NEEDS, depends_on=(0,))), True, "step 0.1"),
        ((STEP, model.Step(1, NEEDS, depends_on=(0,))), False, "step 0.0"),
        ((STEP,), True, ""),
    ],
)
def test_a_task_has_its_turn_after_the_steps_it_depends_on(
    steps, done, reported
):
    site = Watched(job_of(*steps))
    site.start(task_of())
    site.end(task_of(), done=done)
    site.watch_until(10.0)
    assert [reported in line for line in site.lines] == [True] * bool(reported)


def test_a_step_that_waits_for_another_one_does_not_stand_still():
    large = model.Step(1, model.Resources(1000, 1000, 5))
    after = model.Step(1, NEEDS, depends_on=(0,))
    site = Watched(job_of(large, after))
    site.watch_until(20.0)
    assert not site.lines


def test_an_occurrence_has_its_turn_when_it_is_due():
    job = job_of(STEP, repeat_count=2, first_due_ms=10_000, interval_ms=5_000)
    site = Watched(job)
    site.watch_until(12.75)
    assert not site.lines
    site.watch_until(13.0)
    assert "from 10.00 to 13.00" in site.lines[0]


def test_a_job_that_is_not_accepted_is_not_judged():
    site = Watched()
    site.oracle.submitted(job_of(STEP))
    site.watch_until(20.0)
    assert not site.lines
    site.oracle.record_acceptance("j", 20.25)
    site.watch_until(23.0)
    assert not site.lines
    site.watch_until(23.25)
    assert len(site.lines) == 1


def test_a_job_that_is_cancelled_or_shown_as_ended_is_not_judged():
    site = Watched(job_of(STEP, job_id="j"), job_of(STEP, job_id="k"))
    site.oracle.jobs["j"].cancelled_at = 1.0
    site.ended.add("k")
    site.watch_until(20.0)
    assert not site.lines


@pytest.mark.parametrize("slots, reported", [(1, 0), (2, 1)])
def test_room_for_a_task_counts_if_it_is_there_twice(slots, reported):
    site = Watched(job_of(STEP), workers=[worker_of(slots)])
    site.watch_until(20.0)
    assert len(site.lines) == reported


@pytest.mark.parametrize("slots, reported", [(3, 0), (4, 1)])
def test_room_that_runs_use_is_not_free(slots, reported):
    worker = worker_of(slots)
    busy = job_of(model.Step(2, NEEDS), job_id="busy")
    site = Watched(job_of(STEP), busy, workers=[worker], terms=HOWEVER_FULL)
    for index in range(2):
        site.start(task_of(index=index, job_id="busy"), worker=worker)
    site.watch_until(20.0)
    assert len(site.lines) == reported


@pytest.mark.parametrize("slots, reported", [((10, 9), 0), ((10, 10), 1)])
def test_a_gang_needs_room_for_all_its_tasks_twice(slots, reported):
    workers = [
        worker_of(count, f"w{count}-{i}") for i, count in enumerate(slots)
    ]
    needs = model.Resources(0, 0, 1)
    gang = model.Step(10, needs, gang=True)
    site = Watched(job_of(gang), workers=workers)
    site.watch_until(20.0)
    assert len(site.lines) == reported


@pytest.mark.parametrize(
    "limit, workers, reported", [(0, 1, 1), (1, 3, 0), (1, 4, 1), (2, 2, 1)]
)
def test_each_copy_of_a_gang_keeps_to_the_limit_per_worker(
    limit, workers, reported
):
    gang = model.Step(4, NEEDS, gang=True, max_per_worker=limit)
    site = Watched(
        job_of(gang), workers=[worker_of(8, f"w{i}") for i in range(workers)]
    )
    site.watch_until(20.0)
    assert len(site.lines) == reported


def test_a_worker_at_the_limit_of_a_step_has_no_room_for_it():
    limited = model.Step(2, NEEDS, max_per_worker=1, long_running=True)
    site = Watched(job_of(limited))
    site.start(task_of(index=0))
    site.watch_until(20.0)
    assert not site.lines


@pytest.mark.parametrize("label, reported", [("a", 1), ("b", 0)])
def test_only_workers_with_the_label_have_room(label, reported):
    site = Watched(job_of(model.Step(1, NEEDS, required_label=label)))
    site.watch_until(20.0)
    assert len(site.lines) == reported


@pytest.mark.parametrize(
    "changes", [{"draining": True}, {"departing": True}, {"pool": "other"}]
)
def test_workers_that_take_no_runs_have_no_room(changes):
    site = Watched(job_of(STEP), workers=[worker_of(8, **changes)])
    site.watch_until(20.0)
    assert not site.lines


def test_evacuated_domains_have_no_room():
    site = Watched(job_of(STEP))
    site.change(evacuated=frozenset({"d"}))
    site.watch_until(20.0)
    assert not site.lines


def test_a_moved_queue_has_the_room_of_its_new_pool():
    site = Watched(job_of(STEP), workers=[worker_of(8, pool="other")])
    site.watch_until(20.0)
    assert not site.lines
    site.oracle.record_pool("q", "other")
    site.watch_until(23.25)
    assert len(site.lines) == 1
    site.oracle.record_pool("q", "pool")
    site.watch_until(30.0)
    assert "to 23.25" in site.lines[0]


def test_neither_rack_nor_data_matter_for_room():
    step = model.Step(2, NEEDS, gang=True, same_rack=True, data_rack="far")
    workers = [worker_of(2, f"w{i}", rack=f"r{i}") for i in range(2)]
    site = Watched(job_of(step), workers=workers)
    site.watch_until(20.0)
    assert len(site.lines) == 1


@pytest.mark.parametrize(
    "changes",
    [
        {"disturbed": True},
        {"settings": "another term"},
        {"workers": (WORKER, worker_of(8, "new"))},
        {"workers": (worker_of(7),)},
        {"workers": (msgspec.structs.replace(WORKER, labels=("a", "b")),)},
        {"evacuated": frozenset({"elsewhere"})},
    ],
)
def test_nothing_is_judged_within_4_s_after_a_disturbance(changes):
    site = Watched(job_of(STEP))
    site.watch_until(REPORTED_S - 0.25)
    before = site.conditions
    site.change(**changes)
    site.watch_until(REPORTED_S)
    site.change(disturbed=before.disturbed)
    site.watch_until(REPORTED_S + 6.75)
    assert not site.lines
    site.watch_until(REPORTED_S + 7.0)
    assert len(site.lines) == 1


@pytest.mark.parametrize("used, only_under_half, reported", [
    (3, True, 1), (4, True, 0), (4, False, 1), (6, False, 1),
])  # fmt: skip
def test_half_of_the_capacity_matters_only_if_asked(
    used, only_under_half, reported
):
    busy = job_of(model.Step(used, NEEDS), job_id="busy")
    terms = standing.Terms(only_under_half=only_under_half)
    site = Watched(job_of(STEP), busy, terms=terms)
    for index in range(used):
        site.start(task_of(index=index, job_id="busy"))
    site.watch_until(20.0)
    assert len(site.lines) == reported


def test_long_running_tasks_are_judged_however_full_their_pool_is():
    busy = job_of(model.Step(5, NEEDS), job_id="busy")
    site = Watched(job_of(model.Step(1, NEEDS, long_running=True)), busy)
    for index in range(5):
        site.start(task_of(index=index, job_id="busy"))
    site.watch_until(20.0)
    assert len(site.lines) == 1


def test_a_long_running_gang_of_which_a_part_runs_stands_still():
    gang = model.Step(3, NEEDS, gang=True, long_running=True)
    site = Watched(job_of(gang))
    site.start(task_of(index=0))
    site.watch_until(20.0)
    assert len(site.lines) == 1


def test_long_running_tasks_are_judged_one_by_one_6_s_after_their_run():
    site = Watched(job_of(model.Step(3, NEEDS, long_running=True)))
    for index in range(2):
        site.start(task_of(index=index))
    site.watch_until(10.0)
    assert ["task=2" in line for line in site.lines] == [True]
    site.start(task_of(index=2))
    site.end(task_of(index=1))
    ended_at = site.conditions.now
    site.watch_until(ended_at + 8.75)
    assert len(site.lines) == 1
    site.watch_until(ended_at + 9.0)
    assert "task=1 runs=1" in site.lines[1]


def test_a_long_running_gang_is_one_unit():
    gang = model.Step(4, NEEDS, gang=True, long_running=True)
    site = Watched(job_of(gang))
    site.watch_until(10.0)
    assert len(site.lines) == 1
