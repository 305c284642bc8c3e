"""Small sites, jobs and planner inputs for tests of the planner."""

import dataclasses

from laburnumsill.batch import caller_commands
from laburnumsill.batch import commands
from laburnumsill.batch import ledger as ledgers
from laburnumsill.batch import model
from laburnumsill.batch import planner
from laburnumsill.batch import plans

GIB = 1024


def job(job_id, tasks, accelerators, priority=0, account="a", **step):
    """Returns a job of one step."""
    needs = model.Resources(1000 * accelerators, GIB, accelerators)
    one = model.Step(tasks, needs, 2000, **step)
    terms = model.QueueTerms("pool", priority, 3, 1.5, 250)
    return model.Job(job_id, f"q{priority}", account, "", (one,), terms)


def urgent_gang(job_id, **step):
    """Returns an urgent job of one gang that needs two whole workers."""
    needs = model.Resources(4000, GIB, 8)
    one = model.Step(2, needs, 2500, gang=True, **step)
    terms = model.QueueTerms("pool", 0, 3, 1.5, 250)
    return model.Job(job_id, "urgent", "a", "", (one,), terms)


def site(racks=2, per_rack=2):
    """Returns a ledger of workers with 8 accelerators each."""
    ledger = ledgers.BatchLedger()
    for rack in range(racks):
        for number in range(per_rack):
            worker = model.Worker(
                f"w{rack}{number}",
                "pool",
                "",
                "d",
                model.Resources(64_000, 64 * GIB, 8),
                (f"r{rack}",),
                f"r{rack}",
            )
            ledger.put_worker(commands.PutWorker(worker))
    return ledger


def planner_input(ledger, stopping=(), now_ms=0, guarantees=None):
    """Returns a planner input with all workers usable."""
    return plans.PlannerInput(
        ledger,
        set(ledger.workers),
        frozenset(stopping),
        guarantees or {},
        now_ms,
        steady_ms=now_ms,
    )


def submit(ledger, *jobs):
    """Submits jobs."""
    for one in jobs:
        ledger.submit(caller_commands.SubmitJob(one, 0))


def apply_plan(ledger, made):
    """Applies the placements of a plan to the ledger."""
    placed = ledger.place(commands.PlaceRuns(tuple(made.groups), 0))
    assert set(placed.refusals) <= {""}
    return placed


def occupy(
    ledger, worker_id, job_id, accelerators, placed_ms=0, priority=2, **step
):
    """Creates a job of one task and places the task on a worker."""
    one = job(job_id, 1, accelerators, priority, **step)
    occupy_with(ledger, worker_id, one, placed_ms)


def occupy_with(ledger, worker_id, one, placed_ms=0):
    """Submits a job of one task and places the task on a worker."""
    submit(ledger, one)
    run = model.RunId(model.TaskId(one.job_id, 0, 0, 0), 1)
    placement = commands.Placement(run, worker_id)
    command = commands.PlaceRuns(((placement,),), placed_ms)
    assert ledger.place(command).refusals == ("",)


def lose_worker(ledger, worker_id):
    """Removes a worker as lost."""
    ledger.remove_worker(commands.RemoveWorker(worker_id, "lost", ended_ms=1))


def workers_used(made):
    """Returns the workers on which a plan places runs."""
    return {placed.worker_id for group in made.groups for placed in group}


def placed_jobs(made):
    """Returns the jobs with runs that a plan places."""
    return {group[0].run.task.job_id for group in made.groups}


def occupy_rack(ledger, rack, accelerators=8):
    """Occupies all workers of a rack."""
    for worker_id, worker in sorted(ledger.workers.items()):
        if worker.rack == rack:
            job_id = f"on-{worker_id}"
            occupy(ledger, worker_id, job_id, accelerators)


def near_data(tasks, **step):
    """Returns a job of small tasks whose data is in rack r0."""
    return job("near", tasks, 1, priority=2, data_rack="r0", **step)


def plan_after(ledger, waited_ms, *job_ids, **changes):
    """Returns a plan for jobs of which nothing has run for some time."""
    since_ms = {(job_id, 0, 0): 0 for job_id in job_ids}
    changes["standing_since_ms"] = since_ms
    now = planner_input(ledger, now_ms=waited_ms)
    return planner.plan(dataclasses.replace(now, **changes))
