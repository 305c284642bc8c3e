"""Long-running tasks whose runs end by themselves, in every way."""

import random

import pytest
import trio

from laburnumsill.batch import commands
from laburnumsill.batch import model
from laburnumsill.batch import restarts
from laburnumsill.emulator import site as sites
from laburnumsill.emulator import virtual_time

WATCH_S = 30.0
STOP_S = 2.0
"""Time after its cancellation by which no run of a job is left."""

RUN_S = 2.5
OWN_ENDS = tuple(commands.EndKind)
NEEDS = model.Resources(2000, 1024, 1)


def step(tasks=2, **changes):
    """Returns a long-running step."""
    return model.Step(tasks, NEEDS, 2000, long_running=True, **changes)


def job(*steps, **changes):
    """Returns a job that fails at its third failure, were it not lasting."""
    terms = model.QueueTerms("pool", 1, 3, 3.0, 3000)
    return model.Job("lasting", "q", "a", "", steps, terms, **changes)


def play(seed, one, works, own_end, disturb=None):
    """Runs a long-running job for `WATCH_S` and cancels it; returns the site.

    The job must be shown as running until then.
    """

    async def main():
        site = sites.EmulatedSite(seed, 2, 3)
        site.pool.long_running_end = own_end
        async with trio.open_nursery() as nursery:
            await nursery.start(site.run)
            await trio.sleep(1.0)
            await site.submit(one, works)
            with trio.move_on_after(WATCH_S):
                if disturb is not None:
                    await disturb(site)
                while True:
                    site.look()
                    await trio.sleep(0.2)
            state = site.outcomes["lasting"].state
            await site.cancel("lasting")
            await trio.sleep(STOP_S)
            assert not site.ledger.runs
            nursery.cancel_scope.cancel()
        assert not site.oracle.broken, site.oracle.broken[:3]
        assert state == "running"
        return site

    return virtual_time.run(seed, main)


def starts_of(site, count):
    """Returns the numbers of runs of the first tasks of step 0."""
    truth = site.oracle.jobs["lasting"]
    return [
        truth.starts[model.TaskId("lasting", 0, 0, index)]
        for index in range(count)
    ]


@pytest.mark.parametrize("gang", [False, True])
@pytest.mark.parametrize("kind", OWN_ENDS)
def test_a_long_running_task_runs_again_however_its_run_ends(kind, gang):
    """Guards against a long-running task that counts as done."""
    site = play(1, job(step(gang=gang)), [RUN_S], lambda _: kind)
    assert min(starts_of(site, 2)) >= 3


@pytest.mark.parametrize("seed", range(4))
def test_drawn_ends_of_long_running_tasks_stand_still_nowhere(seed):
    draw = random.Random(seed)
    shape = job(
        step(draw.randint(1, 3), speculative=draw.random() < 0.5),
        step(draw.randint(2, 4), gang=True, same_rack=True),
        step(2, saves_progress=True),
    )
    works = [draw.uniform(0.1, 6.0) for _ in shape.steps]
    play(seed, shape, works, lambda _: draw.choice(OWN_ENDS))


def test_a_finite_step_beside_a_long_running_one_does_not_end_the_job():
    shape = job(step(1), model.Step(2, NEEDS, 2000))
    done = commands.EndKind.DONE
    site = play(2, shape, [RUN_S, 1.0], lambda _: done)
    truth = site.oracle.jobs["lasting"]
    assert truth.done == {
        model.TaskId("lasting", 0, 1, index) for index in range(2)
    }


def test_long_running_tasks_of_each_occurrence_run_again():
    shape = job(step(1), repeat_count=2, first_due_ms=1, interval_ms=5_000)
    done = commands.EndKind.DONE
    site = play(3, shape, [RUN_S], lambda _: done)
    truth = site.oracle.jobs["lasting"]
    for occurrence in range(2):
        assert truth.starts[model.TaskId("lasting", occurrence, 0, 0)] >= 3


@pytest.mark.parametrize("seed", range(3))
def test_a_long_running_task_runs_again_under_the_next_leader(seed):
    async def disturb(site):
        await trio.sleep(RUN_S)
        site.groups.lead("")
        await trio.sleep(1.0)
        site.groups.lead("vm2")

    done = commands.EndKind.DONE
    site = play(seed, job(step()), [RUN_S], lambda _: done, disturb)
    assert min(starts_of(site, 2)) >= 3


@pytest.mark.parametrize(
    "kind", [commands.EndKind.DONE, commands.EndKind.FAILED]
)
def test_a_task_that_ends_at_once_is_started_at_a_bounded_rate(kind):
    """Guards against commands without end for a task that cannot run."""
    site = play(4, job(step(1)), [0.05], lambda _: kind)
    (starts,) = starts_of(site, 1)
    first_pauses = 5
    assert 10 <= starts <= WATCH_S / restarts.MAX_PAUSE_S + first_pauses
