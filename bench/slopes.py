"""Measures slopes inside one process: `python -m bench.slopes`.

* configuration: bytes, processor time and memory of one version with so many
  client accounts, and of a difference in one number of one account;
* ledger: bytes of each command of a job's life, time to apply it, memory and
  snapshot bytes for each worker, running task and waiting job;
* scheduler: what a leader does again and again while nothing changes.
"""

import gc
import os
import pathlib
import tempfile
import time
import tracemalloc
import typing
from collections import abc

import fire

from bench import measuring
from laburnumsill.config import canonical
from laburnumsill.config import difference
from laburnumsill.config import models
from laburnumsill.core import clock as clocks
from laburnumsill.core import codec
from laburnumsill.core import members
from laburnumsill.daemon import configuration_file
from laburnumsill.jobs import membership
from laburnumsill.jobs import planner
from laburnumsill.jobs import policy as policies
from laburnumsill.state import configuration
from laburnumsill.state import configuration_versions
from laburnumsill.state import jobs
from laburnumsill.state import jobs_messages

DOMAINS = [f"r{n // 3}-d{n % 3}" for n in range(9)]
ACCOUNTS = (10, 100, 690)
WORKERS = (0, 600, 2_333)
TASKS_A_JOB = 8
TASKS_A_WORKER = 9.5
NOW = 1_780_000_000.25


def seconds_of(act: abc.Callable[[], object], least_s: float = 0.3) -> float:
    """Returns the processor time of one call, repeated for a while."""
    began, calls = time.process_time(), 0
    while time.process_time() - began < least_s:
        act()
        calls += 1
    return (time.process_time() - began) / calls


def site(accounts: int) -> models.Configuration:
    """Returns a configuration with so many accounts in three domains each."""
    shape = models.Shape(racks=1, workers=2, pairs=1, accelerators=4)
    return models.Configuration(
        site="two-year",
        domains=DOMAINS,
        accounts={
            f"team-{n:03}": models.Account(
                guarantee={DOMAINS[(n + k) % 9]: shape for k in range(3)}
            )
            for n in range(accounts)
        },
    )


def changed(configured: models.Configuration) -> models.Configuration:
    """Returns a configuration that differs in one number of one account."""
    values = configured.model_dump(mode="json")
    account = next(iter(values["accounts"].values()))
    next(iter(account["guarantee"].values()))["workers"] = 3
    return canonical.from_values(values)


def measure_configuration(accounts: int) -> dict[str, typing.Any]:
    """Returns what one version costs."""
    configured = site(accounts)
    raw = canonical.encode(configured)
    digest = canonical.digest(raw)
    accepted = configuration_versions.AcceptedConfiguration(
        1, digest, "operator", NOW, raw
    )
    newer = canonical.encode(changed(configured))
    change = difference.difference(raw, newer)
    assert change is not None
    opened = difference.Document.parse(raw)
    newer_digest = canonical.digest(newer)
    step = configuration.PushDifference(
        "0123456789abcdef", 1, newer_digest, change, NOW, "operator"
    )
    before = measuring.memory_mb(os.getpid())
    kept = [canonical.decode(raw) for _ in range(20)]
    gc.collect()
    memory = (measuring.memory_mb(os.getpid()) - before) / len(kept)
    with tempfile.TemporaryDirectory() as folder:
        file = configuration_file.ConfigurationFile(pathlib.Path(folder))
        began = time.monotonic()
        for _ in range(20):
            file.write(accepted)
        write_ms = 1e3 * (time.monotonic() - began) / 20
    push = configuration.PushConfiguration(
        "0123456789abcdef", 0, digest, raw, NOW, "operator"
    )
    return {
        "accounts": accounts,
        "body_bytes": len(raw),
        "command_bytes": len(codec.encode(push)),
        "difference_bytes": len(codec.encode(step)),
        "difference_ms": 1e3
        * seconds_of(lambda: difference.difference(raw, newer)),
        "apply_ms": 1e3
        * seconds_of(lambda: opened.after_checked(change, newer_digest)),
        "validate_ms": 1e3 * seconds_of(lambda: canonical.decode(raw)),
        "encode_ms": 1e3 * seconds_of(lambda: canonical.encode(configured)),
        "digest_ms": 1e3 * seconds_of(lambda: canonical.digest(raw)),
        "write_synced_ms": write_ms,
        "memory_mb": memory,
        "guarantees_ms": 1e3
        * seconds_of(lambda: policies.guarantees_of(configured, DOMAINS[0])),
        "load": os.getloadavg()[0],
    }


class Domain:
    """One domain's ledger, filled through its commands."""

    def __init__(self, workers: int) -> None:
        self.ledger = jobs.JobLedger("d")
        self._handlers = self.ledger.commands()
        self.present = tuple(_worker(n) for n in range(workers))
        for start in range(0, workers, 256):
            self.apply(
                jobs_messages.PutWorkers(
                    self.present[start : start + 256], (), NOW
                )
            )

    def apply(self, command: typing.Any) -> typing.Any:
        """Applies a command as a replica would, from its bytes."""
        command = codec.decode(codec.encode(command))
        return self._handlers[type(command)](command)

    def life(self, number: int) -> list[typing.Any]:
        """Returns the commands of one job's life, in their order."""
        job_id = f"r0-d0.{number:016x}"
        spec = jobs_messages.JobSpec(
            f"team-{number % 690:03}",
            tasks=TASKS_A_JOB,
            accelerators=0,
            cores=4,
            memory_gb=16,
            adjacency="any",
            estimated_run_s=21_600.0,
            command="python train.py --configuration run.toml",
        )
        size = max(1, len(self.present))
        slots = tuple(
            jobs_messages.Slot(
                f"worker-{(number * TASKS_A_JOB + k) % size:05}", 0
            )
            for k in range(TASKS_A_JOB)
        )
        digest = f"{number:064x}"
        return [
            jobs_messages.RecordHome(f"{number:032x}", digest, "r0-d0", NOW),
            jobs_messages.SubmitJob(job_id, digest, spec, 10_000, NOW),
            jobs_messages.PlaceJob(job_id, 1, slots, NOW),
            jobs_messages.JobStarted(job_id, 1, NOW),
            jobs_messages.JobSucceeded(job_id, 1, NOW),
        ]


def _worker(number: int) -> members.Worker:
    return members.Worker(
        worker_id=f"worker-{number:05}",
        domain="r0-d0",
        rack=f"rack-{number // 12:04}",
        address=f"10.0.{number // 250}.{number % 250}:9000",
        incarnation="00000000000000000001",
        sequence=1,
        cores=64,
        memory_gb=256,
        accelerators=8 if number % 5 == 0 else 0,
    )


def measure_life() -> list[dict[str, typing.Any]]:
    """Returns the bytes and the time of each command of a job's life."""
    domain = Domain(WORKERS[-1])
    bytes_of: dict[str, int] = {}
    spent: dict[str, float] = {}
    count = 1_000
    for number in range(count):
        for command in domain.life(number):
            name = type(command).__name__
            began = time.process_time()
            domain.apply(command)
            spent[name] = spent.get(name, 0.0) + time.process_time() - began
            bytes_of[name] = len(codec.encode(command))
    lease = jobs_messages.ExtendLeases(3, NOW + 10, NOW)
    bytes_of["ExtendLeases"] = len(codec.encode(lease))
    spent["ExtendLeases"] = count * seconds_of(lambda: domain.apply(lease))
    workers = jobs_messages.PutWorkers(domain.present[:1], (), NOW)
    bytes_of["PutWorkers, one worker"] = len(codec.encode(workers))
    spent["PutWorkers, one worker"] = count * seconds_of(
        lambda: domain.apply(workers)
    )
    return [
        {
            "command": name,
            "bytes": size,
            "apply_us": 1e6 * spent[name] / count,
        }
        for name, size in bytes_of.items()
    ]


def _filled(workers: int, tasks: int, ended: int) -> Domain:
    """Returns a ledger with running jobs and jobs that have ended."""
    domain = Domain(workers)
    running = tasks // TASKS_A_JOB
    for number in range(running + ended):
        life = domain.life(number)
        for command in life if number >= running else life[:4]:
            domain.apply(command)
    return domain


def measure_ledger(workers: int, tasks: int, ended: int) -> dict[str, float]:
    """Returns the memory (as traced) and the snapshot of a ledger."""
    tracemalloc.start()
    traced = _filled(workers, tasks, ended)
    gc.collect()
    memory = tracemalloc.get_traced_memory()[0] / 2**20
    tracemalloc.stop()
    del traced
    domain = _filled(workers, tasks, ended)
    began = time.process_time()
    raw = domain.ledger.dump()
    dumped = time.process_time() - began
    fresh = jobs.JobLedger("d")
    began = time.process_time()
    fresh.load(raw)
    return {
        "workers": workers,
        "running_tasks": tasks // TASKS_A_JOB * TASKS_A_JOB,
        "ended_jobs": ended,
        "memory_mb": memory,
        "snapshot_bytes": len(raw),
        "dump_ms": 1e3 * dumped,
        "load_ms": 1e3 * (time.process_time() - began),
        "load": os.getloadavg()[0],
    }


class View(members.MemberView):
    """Always the same workers."""

    def __init__(self, present: tuple[members.Worker, ...]) -> None:
        self._present = present

    def servers(self, service: str) -> tuple[members.BackendServer, ...]:
        """Returns none."""
        return ()

    def workers(self, domain: str) -> tuple[members.Worker, ...]:
        """Returns all."""
        return self._present


def measure_scheduler(workers: int) -> dict[str, typing.Any]:
    """Returns what an idle leader does again and again, as a share."""
    domain = Domain(workers)
    for number in range(int(workers * TASKS_A_WORKER) // TASKS_A_JOB):
        for command in domain.life(number)[:4]:
            domain.apply(command)
    sync = membership.WorkerSync(
        "r0-d0", View(domain.present), clocks.SystemClock(), {}
    )
    plans = planner.Planner()
    policy = policies.policy_of(site(690))
    book = domain.ledger.book
    sync_s = seconds_of(lambda: sync.changes(domain.ledger))
    plan_s = seconds_of(lambda: list(plans.steps(book, policy, NOW)))
    guarantees_s = seconds_of(
        lambda: policies.guarantees_of(site_of_all, DOMAINS[0])
    )
    return {
        "workers": workers,
        "tasks": int(workers * TASKS_A_WORKER),
        "sync_ms": 1e3 * sync_s,
        "idle_pass_ms": 1e3 * plan_s,
        "guarantees_ms": 1e3 * guarantees_s,
        "cpu_percent": 100 * (4 * (sync_s + guarantees_s) + 10 * plan_s),
        "load": os.getloadavg()[0],
    }


site_of_all = site(690)


def show(title: str, rows: list[dict[str, typing.Any]]) -> None:
    """Prints rows that have the same keys."""
    measuring.print_table(
        title, list(rows[0]), [list(row.values()) for row in rows]
    )


def main() -> None:
    """Runs all parts and writes the JSON."""
    configurations = [measure_configuration(count) for count in ACCOUNTS]
    show("one version of the configuration", configurations)
    life = measure_life()
    show("commands of a domain's group", life)
    ledgers = [
        measure_ledger(0, 0, 0),
        measure_ledger(2_333, 0, 0),
        measure_ledger(2_333, 22_000, 0),
        measure_ledger(2_333, 22_000, 2_778),
    ]
    show("a domain's ledger", ledgers)
    idle = [measure_scheduler(count) for count in WORKERS]
    show("a leader's scheduler while nothing changes", idle)
    measuring.save(
        "slopes",
        {
            "configuration": configurations,
            "life": life,
            "ledger": ledgers,
            "scheduler": idle,
        },
    )


if __name__ == "__main__":
    fire.Fire(main)
