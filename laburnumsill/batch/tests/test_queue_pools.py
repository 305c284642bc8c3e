"""Queues that are sent to another pool, in the ledger and in the plans."""

import msgspec

from laburnumsill.batch import caller_commands
from laburnumsill.batch import commands
from laburnumsill.batch import ledger as ledgers
from laburnumsill.batch import model
from laburnumsill.batch import planner
from laburnumsill.batch import queue_pools
from laburnumsill.batch import units
from laburnumsill.batch.tests import planned_site
from laburnumsill.core import codec

CAPACITY = model.Resources(8000, 8000, 8)
OLD = "old"
NEW = "new"


def make_job(job_id="j", queue="q", pool=OLD):
    step = model.Step(2, model.Resources(1000, 1000, 8))
    terms = model.QueueTerms(pool, 1, 3)
    return model.Job(job_id, queue, "a", "", (step,), terms)


def ledger_with(*jobs):
    ledger = ledgers.BatchLedger()
    for pool in (OLD, NEW):
        worker = model.Worker(f"w-{pool}", pool, f"a-{pool}:1", "d", CAPACITY)
        ledger.put_worker(commands.PutWorker(worker))
    for job in jobs:
        ledger.submit(caller_commands.SubmitJob(job, 0))
    return ledger


def move(ledger, version, **pools):
    ledger.move_queues(queue_pools.MoveQueues(version, pools))


def place(ledger, pool, index=0, job_id="j"):
    run = model.RunId(model.TaskId(job_id, 0, 0, index), 1)
    group = (commands.Placement(run, f"w-{pool}"),)
    return ledger.place(commands.PlaceRuns((group,), 0)).refusals[0]


def restored(ledger):
    copy = ledgers.BatchLedger()
    copy.load(ledger.dump())
    return copy


def test_a_moved_queue_is_placed_in_its_new_pool_only():
    """Guards against jobs that stay with a pool which their queue has left."""
    ledger = ledger_with(make_job())
    assert place(ledger, OLD) == ""
    move(ledger, 2, q=NEW)
    for one in (restored(ledger), ledger):
        assert "belongs to pool old" in place(one, OLD, 1)
        assert len(one.runs_on("w-old")) == 1  # what runs goes on
        assert place(one, NEW, 1) == ""


def test_only_jobs_of_the_queue_move():
    ledger = ledger_with(make_job(), make_job("k", "other"))
    move(ledger, 2, q=NEW)
    assert place(ledger, OLD, job_id="k") == ""


def test_an_earlier_version_does_not_move_a_queue_back():
    """Guards against a former leader whose command is committed late."""
    ledger = ledger_with(make_job())
    move(ledger, 7, q=NEW)
    move(restored(ledger), 6, q=OLD)
    move(ledger, 6, q=OLD)
    assert ledger.pool_of(make_job()) == NEW
    move(ledger, 8, q=OLD)
    assert ledger.pool_of(make_job()) == OLD


def test_a_job_that_names_an_older_pool_is_moved_by_the_next_plan():
    ledger = ledger_with(make_job(pool=NEW))
    configured = queue_pools.ConfiguredPools(3, {"q": NEW, "unused": OLD})

    def moved():
        jobs = [record.job for record in ledger.active_jobs.values()]
        return queue_pools.moved_queues(ledger, jobs, configured)

    assert moved() == {}
    ledger.submit(caller_commands.SubmitJob(make_job("k"), 1))
    assert moved() == {"q": NEW}
    move(ledger, 3, **moved())
    assert moved() == {}


def test_a_queue_that_is_not_configured_stays_where_it_is():
    ledger = ledger_with(make_job())
    move(ledger, 2, q=NEW)
    jobs = [record.job for record in ledger.active_jobs.values()]
    dropped = queue_pools.ConfiguredPools(3, {})
    assert queue_pools.moved_queues(ledger, jobs, dropped) == {}
    assert ledger.pool_of(make_job()) == NEW


def test_pools_of_queues_without_jobs_are_forgotten():
    ledger = ledger_with(make_job(), make_job("k", "other"))
    move(ledger, 2, q=NEW, other=NEW)
    ledger.cancel(caller_commands.CancelJob("k", 5, "a"))
    ledger.forget(commands.ForgetJobs(6))
    assert set(ledger._queue_pools.records) == {"q"}


def test_a_snapshot_of_an_earlier_version_is_read():
    """Guards against an upgrade that cannot read its state."""
    ledger = ledger_with(make_job())
    name, fields = msgspec.msgpack.decode(ledger.dump())
    del fields["moved_queues"]
    copy = ledgers.BatchLedger()
    copy.load(msgspec.msgpack.encode([name, fields]))
    assert copy.pool_of(make_job()) == OLD
    assert place(copy, OLD) == ""


def test_a_move_is_encoded_as_a_command_of_the_log():
    command = queue_pools.MoveQueues(4, {"q": NEW})
    assert codec.decode(codec.encode(command)) == command


def test_a_plan_places_a_moved_queue_in_its_new_pool():
    ledger = ledger_with(make_job())
    move(ledger, 2, q=NEW)
    (unit,) = units.ready_units(ledger, 0)
    assert unit.pool == NEW
    plan = planner.plan(planned_site.planner_input(ledger))
    assert planned_site.workers_used(plan) == {"w-new"}
