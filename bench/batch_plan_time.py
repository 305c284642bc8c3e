"""Measures how long one plan of a whole site takes, by its size.

    python -m bench.batch_plan_time [--workers N ...]

A site of that many workers of eight accelerators, nine tenths of it in use by
small tasks and gangs; units wait, some of them urgent. The table gives the
time of one plan in ms (median and longest of several), and of one plan in
which an urgent gang has to make room.
"""

import argparse
import random
import statistics
import time

from laburnumsill.batch import caller_commands
from laburnumsill.batch import commands
from laburnumsill.batch import ledger as ledgers
from laburnumsill.batch import model
from laburnumsill.batch import planner
from laburnumsill.batch import plans

PER_RACK = 20
"""Workers in a rack, as on the users' grown sites."""

CAPACITY = model.Resources(128_000, 524_288, 8)
IN_USE = 0.9
PLANS = 7
URGENT = model.QueueTerms("pool", 0, 3, 1.5, 250)
BATCH = model.QueueTerms("pool", 2, 4, 3.0, 3000)
NOW_MS = 10_000


def site(workers: int) -> ledgers.BatchLedger:
    """Returns a ledger whose workers are mostly in use."""
    ledger = ledgers.BatchLedger()
    for number in range(workers):
        rack = f"r{number // PER_RACK}"
        worker = model.Worker(
            f"w{number}", "pool", f"a{number}", "d", CAPACITY, (rack,), rack
        )
        ledger.put_worker(commands.PutWorker(worker))
    source = random.Random(workers)
    for number in range(workers):
        tasks = round(CAPACITY.accelerators * IN_USE)
        step = model.Step(tasks, model.Resources(11_000, 46_000, 1), 6_000)
        job = model.Job(f"x{number}", "batch", "a", "", (step,), BATCH)
        ledger.submit(caller_commands.SubmitJob(job, 0))
        group = tuple(
            commands.Placement(
                model.RunId(model.TaskId(job.job_id, 0, 0, index), 1),
                f"w{number}",
            )
            for index in range(tasks)
        )
        ledger.place(commands.PlaceRuns((group,), source.randrange(NOW_MS)))
    return ledger


def add_waiting(ledger: ledgers.BatchLedger, count: int, tasks: int) -> None:
    """Has batch jobs wait that are too large for what is free."""
    for number in range(count):
        step = model.Step(tasks, model.Resources(52_000, 210_000, 4), 7_000)
        job = model.Job(f"y{number}", "batch", "a", "", (step,), BATCH)
        ledger.submit(caller_commands.SubmitJob(job, NOW_MS))


def add_urgent(ledger: ledgers.BatchLedger, tasks: int) -> None:
    """Has an urgent gang come that has to make room."""
    needs = model.Resources(15_000, 61_000, 8)
    step = model.Step(tasks, needs, 2_500, gang=True, same_rack=True)
    job = model.Job("u", "urgent", "a", "", (step,), URGENT)
    ledger.submit(caller_commands.SubmitJob(job, NOW_MS))


def plan_ms(ledger: ledgers.BatchLedger) -> list[float]:
    """Returns the times of some plans of the same state."""
    planner_input = plans.PlannerInput(
        ledger, set(ledger.workers), frozenset(), {}, NOW_MS + 100
    )
    times = []
    for _ in range(PLANS):
        began = time.perf_counter()
        planner.plan(planner_input)
        times.append(1000 * (time.perf_counter() - began))
    return times


def main() -> None:
    """Prints the table."""
    parser = argparse.ArgumentParser()
    parser.add_argument(
        "--workers", type=int, nargs="*", default=[24, 176, 700]
    )
    for workers in parser.parse_args().workers:
        ledger = site(workers)
        add_waiting(ledger, workers // 2, 13)
        calm = plan_ms(ledger)
        add_urgent(ledger, 5)
        urgent = plan_ms(ledger)
        print(
            f"workers={workers} runs={len(ledger.runs)}"
            f" waiting={workers // 2}"
            f" plan_ms={statistics.median(calm):.1f}"
            f" longest={max(calm):.1f}"
            f" with_urgent_ms={statistics.median(urgent):.1f}"
            f" longest={max(urgent):.1f}",
            flush=True,
        )


if __name__ == "__main__":
    main()
