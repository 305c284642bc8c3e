"""Measures one domain at two-year size: `python -m bench.scale`.

The production ledger and planner are called directly. The time of a
placement is that of the planner's step and of applying its command.
"""

import gc
import math
import random
import resource
import time
import tracemalloc
import typing
from collections import abc

import fire

from bench import measuring
from laburnumsill.core import members
from laburnumsill.jobs import planner
from laburnumsill.jobs import policy as policies
from laburnumsill.state import jobs
from laburnumsill.state import jobs_messages

SIZES = (100, 500, 2_400)
ACCELERATORS_A_WORKER = 4_000 / 2_400
TASKS_A_WORKER = 22_000 / 2_400
QUEUED_A_WORKER = 5_000 / 2_400
RACK = 12
"""Workers of a rack; one in five racks has accelerators, 8 a worker."""

ACCOUNTS = [f"team-{n}" for n in range(77)]
"""The 690 teams of nine domains."""

GUARANTEE = {
    f"team-{n}": (0, 1, 1, 0) if n % 4 else (2, 0, 2, 0) for n in range(40)
}
TURNOVER = 400
"""Jobs that end, each followed by a pass of the planner."""

CLAIMS = 40
CANCELLATIONS = 2_000


class Domain:
    """A filled domain.

    Attributes:
        ledger: The production ledger.
        now: The moment, in seconds.
    """

    def __init__(self, workers: int) -> None:
        self.ledger = jobs.JobLedger("d")
        self.now = 1_000_000.0
        self._handlers = self.ledger.commands()
        self._draw = random.Random(workers)
        self._workers = workers
        self._number = 0
        self._planner = planner.Planner()
        self._policy = policies.Policy()
        self._add_workers()
        owed = {
            account: cells
            for account, cells in GUARANTEE.items()
            if int(account[5:]) < max(4, workers * 40 // 2_400)
        }
        self.apply(jobs_messages.SetGuarantees(1, owed))

    def apply(self, command: typing.Any) -> typing.Any:
        """Applies a command as the group would."""
        return self._handlers[type(command)](command)

    def submit(self, **fields: typing.Any) -> str:
        """Puts a job into the queue and returns its id."""
        self._number += 1
        job_id = f"d.{self._number}"
        fields.setdefault("account", self._draw.choice(ACCOUNTS))
        spec = jobs_messages.JobSpec(**fields)
        self.apply(jobs_messages.SubmitJob(job_id, "", spec, 10**6, self.now))
        return job_id

    def submit_any(self) -> str:
        """Puts one of the usual mix into the queue."""
        tasks, accelerators = self._draw.choices(
            ((1, 0), (4, 0), (16, 0), (1, 1), (1, 2), (1, 4), (2, 8), (8, 8)),
            (30, 12, 3, 25, 12, 8, 8, 2),
        )[0]
        return self.submit(
            tasks=tasks,
            accelerators=accelerators,
            cores=self._draw.choice((2, 4, 8)) if not accelerators else 8,
            memory_gb=self._draw.choice((4, 8)),
            estimated_run_s=self._draw.choice((600.0, 3_600.0, 36_000.0)),
        )

    def fill(self, tasks: int) -> None:
        """Runs jobs until so many tasks run, and as many accelerators."""
        while self.running_tasks() < tasks:
            for _ in range(50):
                self.submit_any()
            self.plan()
            self.now += 1.0

    def running_tasks(self) -> int:
        """Returns how many tasks run."""
        return sum(len(j.slots) for j in self.ledger.book.live.values())

    def plan(self) -> list[float]:
        """Carries out a pass; returns the seconds that each step took."""
        book = self.ledger.book
        spent = []
        began = time.perf_counter()
        for step in self._planner.steps(book, self._policy, self.now):
            self.apply(step.command)
            spent.append(time.perf_counter() - began)
            command = step.command
            if isinstance(command, jobs_messages.PlaceJob):
                self.apply(
                    jobs_messages.JobStarted(
                        command.job_id, command.epoch, self.now
                    )
                )
            began = time.perf_counter()
        spent.append(time.perf_counter() - began)
        return spent

    def end_one(self) -> None:
        """Ends a running job."""
        book = self.ledger.book
        job_id = self._draw.choice(self._live())
        job = book.jobs[job_id]
        self.apply(jobs_messages.JobSucceeded(job_id, job.epoch, self.now))

    def _live(self) -> list[str]:
        return [
            name
            for name, job in self.ledger.book.live.items()
            if job.placement is not None and job.placement.stopping is None
        ]

    def _add_workers(self) -> None:
        present = []
        for number in range(self._workers):
            rack = number // RACK
            with_accelerators = rack % 5 == 0
            present.append(
                members.Worker(
                    worker_id=f"w{number}",
                    domain="d",
                    rack=f"r{rack}",
                    address=f"10.0.{number // 250}.{number % 250}:9000",
                    incarnation="00000000000000000001",
                    sequence=1,
                    cores=64,
                    memory_gb=256,
                    accelerators=8 if with_accelerators else 0,
                )
            )
        for start in range(0, len(present), 256):
            batch = tuple(present[start : start + 256])
            self.apply(jobs_messages.PutWorkers(batch, (), self.now))


def measure(workers: int) -> dict[str, typing.Any]:
    """Returns what a domain of that size costs."""
    gc.collect()
    tracemalloc.start()
    domain = Domain(workers)
    domain.fill(int(workers * TASKS_A_WORKER))
    while len(domain.ledger.book.queue) < workers * QUEUED_A_WORKER:
        domain.submit_any()
    domain.plan()
    memory = tracemalloc.get_traced_memory()[0] / 2**20
    tracemalloc.stop()
    book = domain.ledger.book
    found: dict[str, typing.Any] = {
        "workers": workers,
        "accelerators": book.pool.accelerators,
        "tasks": domain.running_tasks(),
        "queued": len(book.queue),
        "memory_mb": memory,
    }
    found |= _placements(domain)
    found |= _reclaims(domain)
    found |= _waves(domain)
    return found | _snapshots(domain)


def _placements(domain: Domain) -> dict[str, float]:
    """Times the steps of the planner while jobs end and others arrive."""
    spent: list[float] = []
    for _ in range(TURNOVER):
        domain.end_one()
        domain.submit_any()
        domain.now += 1.0
        spent += domain.plan()
    return _quantiles("step", spent)


def _reclaims(domain: Domain) -> dict[str, float]:
    """Times passes in which accounts claim their guarantees."""
    spent = []
    owed = domain.ledger.book.cells.guarantees
    for number in range(CLAIMS):
        account = list(owed)[number % len(owed)]
        domain.submit(
            account=account,
            tasks=1,
            accelerators=8 if number < len(owed) else 1,
            cores=8,
            memory_gb=8,
            guaranteed=True,
        )
        began = time.perf_counter()
        domain.plan()
        spent.append(time.perf_counter() - began)
    return _quantiles("reclaim", spent)


def _waves(domain: Domain) -> dict[str, float]:
    """Times a wave of cancellations, the waiting ones and running ones."""
    book = domain.ledger.book
    wave = list(book.jobs)[::-1][:CANCELLATIONS]
    began = time.perf_counter()
    for job_id in wave:
        domain.apply(jobs_messages.CancelJob(job_id, domain.now))
    spent = time.perf_counter() - began
    return {"cancelled": len(wave), "cancel_us": spent / len(wave) * 1e6}


def _snapshots(domain: Domain) -> dict[str, float]:
    began = time.perf_counter()
    raw = domain.ledger.dump()
    dumped = time.perf_counter() - began
    fresh = jobs.JobLedger("d")
    began = time.perf_counter()
    fresh.load(raw)
    loaded = time.perf_counter() - began
    return {
        "snapshot_mb": len(raw) / 2**20,
        "dump_ms": dumped * 1e3,
        "load_ms": loaded * 1e3,
    }


def _quantiles(name: str, spent: abc.Sequence[float]) -> dict[str, float]:
    ordered = sorted(spent)
    last = len(ordered) - 1
    found: dict[str, float] = {f"{name}_n": len(ordered)}
    for label, part in (("p50", 0.5), ("p99", 0.99), ("max", 1.0)):
        place = min(last, math.ceil(part * last))
        found[f"{name}_{label}_ms"] = ordered[place] * 1e3
    return found


def main(save: bool = True, largest: int = SIZES[-1]) -> None:
    """Prints one table over the sizes; writes JSON.

    Args:
        save: Whether to write the JSON file.
        largest: Leave out sizes above this.
    """
    rows = [measure(size) for size in SIZES if size <= largest]
    names = list(rows[0])
    table = [[name, *(row[name] for row in rows)] for name in names]
    measuring.print_table(
        "scale of a decision", ["", *(f"{r['workers']}" for r in rows)], table
    )
    peak = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024
    print(f"peak resident memory {peak:.0f} MB")
    if save:
        measuring.save("scale", {"rows": rows, "peak_mb": peak})


if __name__ == "__main__":
    fire.Fire(main)
