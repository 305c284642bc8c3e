"""Jobs like those of the users, and the credit for completing them in time.

The rates, widths, run times and credits of the kinds of jobs are the users' own
figures. The run times that jobs declare are rough estimates.
"""

import dataclasses
import math
import random
import statistics
from collections import abc

import msgspec

from laburnumsill.batch import model

ACCOUNTS = ("a", "b", "c", "d")
"""The client accounts of an emulated site."""

URGENT = "urgent"
"""The kind of jobs for which a person waits."""


@dataclasses.dataclass(frozen=True, slots=True)
class Kind:
    """One kind of job.

    Attributes:
        name: Its name, which is also that of its queue.
        per_s: Arrivals per second on a usual day.
        terms: The terms of its queue.
        width: Mean number of tasks in a step.
        width_spread: Sigma of the logarithm of the width.
        max_width: Most tasks in a step.
        work_s: Mean run time of a task, in seconds.
        work_spread: Sigma of the logarithm of the run time.
        cpu_millis: CPU that a task needs.
        memory_mb: Memory that a task needs.
        accelerators: Numbers of accelerators that a task may need; one is
            chosen at random for each step.
        gang: Whether the tasks of a step are a gang.
        one_rack_share: Share of steps whose gang is slow on several racks.
        saves_share: Share of steps whose tasks save progress.
        data_rack_share: Share of steps whose data are in one rack.
        second_step_share: Share of jobs with a second step.
        cancelled_share: Share of jobs that are cancelled.
        estimate_spread: Sigma of the logarithm of the ratio of the declared
            run time to the actual one.
        task_spread: Sigma of the logarithm of the work of the tasks of a step.
        initial_jobs: Number of jobs submitted at the start of a day.
        worth: Credit for a job of mean size that meets its objective.
        late_worth: Credit for one that ends within three times its objective.
    """

    name: str
    per_s: float
    terms: model.QueueTerms
    width: float
    width_spread: float
    max_width: int
    work_s: float
    work_spread: float
    cpu_millis: int
    memory_mb: int
    accelerators: tuple[int, ...]
    gang: bool
    one_rack_share: float
    saves_share: float
    data_rack_share: float
    second_step_share: float
    cancelled_share: float
    estimate_spread: float
    task_spread: float
    initial_jobs: int
    worth: float
    late_worth: float


@dataclasses.dataclass(frozen=True, slots=True)
class Shape:
    """A site: its workers and its kinds of jobs.

    Attributes:
        racks: Number of racks.
        per_rack: Workers in each rack.
        capacity: Capacity of each worker.
        kinds: The kinds of jobs.
        stop_grace_s: Longest duration of a stop.
        checkpoint_s: Work between two checkpoints of a task, in seconds.
        restore_s: Delay of a run that continues from a checkpoint.
        guaranteed: Accelerators that each client account is guaranteed.
        slow_workers: Slowdown factor of every third worker.
    """

    racks: int
    per_rack: int
    capacity: model.Resources
    kinds: tuple[Kind, ...]
    stop_grace_s: float
    checkpoint_s: float = 1.0
    restore_s: float = 0.0
    guaranteed: int = 30
    slow_workers: float = 1.3

    def waves(self, step: model.Step) -> int:
        """Returns how many waves of a step the objective of its job allows.

        There is one wave for each quarter of the site that its tasks fill,
        rounded up; the objective counts the work of the step once per wave.
        """
        workers = self.racks * self.per_rack
        slots = workers * step.needs.copies_in(self.capacity)
        return math.ceil(step.tasks / max(1, slots // 4))


def _kinds(
    cores: tuple[int, int, int],
    rates: tuple[float, ...],
    initial_jobs: tuple[int, int],
    urgent_estimate_spread: float,
) -> tuple[Kind, ...]:
    """Returns sweeps, urgent confirmations and batches of one site."""
    mb_per_core = 4_050
    sweep, urgent, batch = (1000 * number for number in cores)
    terms = model.QueueTerms
    return (
        Kind(
            "sweep", rates[0], terms("pool", 1, 2, 3.0, 1000),
            5, 0.8, 30, 6.8, 0.3, sweep, sweep * mb_per_core // 1000,
            (1, 2, 4, 8, 8), True, 0.6, 0.45, 0.0, 0.0, 0.05, 0.9,
            0.0, initial_jobs[0], 3.0, 0.9,
        ),
        Kind(
            URGENT, rates[1], terms("pool", 0, 3, 1.5, 250),
            3.4, 0.8, 21, 2.5, 0.5, urgent, urgent * mb_per_core // 1000,
            (1, 2, 4, 8, 8), True, 0.8, 0.0, 0.0, 0.0, 0.0,
            urgent_estimate_spread,
            0.0, 0, 4.0, 0.8,
        ),
        Kind(
            "batch", rates[2], terms("pool", 2, 4, 3.0, 3000),
            16, 0.8, 94, 6.1, 0.3, batch, batch * mb_per_core // 1000,
            (1,), False, 0.0, 0.45, 0.12, 0.3, 0.15, 0.5,
            0.2, initial_jobs[1], 1.0, 0.3,
        ),
    )  # fmt: skip


TANA_SHORE = Shape(
    3,
    8,
    model.Resources(128_000, 524_288, 8),
    _kinds((52, 15, 11), (0.392, 0.954, 0.369), (3, 4), 0.9),
    0.9,
)
"""Hut booking: confirmations are urgent, pricing and tagging are not."""

FINGAL = Shape(
    4,
    6,
    model.Resources(32_000, 131_072, 8),
    _kinds((13, 4, 3), (0.539, 1.2, 0.529), (4, 5), 0.2),
    0.2,
)
"""Tee sheet: slot offers are urgent; reconciliation and recalculation are
not."""


def _further_kinds() -> tuple[Kind, ...]:
    """Returns the kinds of jobs of the site on which memory is scarce."""
    renewal, check, rescoring = _kinds(
        (13, 4, 3), (0.314, 1.19, 0.295), (5, 7), 0.5
    )
    return (
        dataclasses.replace(
            renewal, memory_mb=34_000, work_s=8.5, estimate_spread=0.5
        ),
        dataclasses.replace(check, memory_mb=9_800, cpu_millis=3_700),
        dataclasses.replace(
            rescoring,
            memory_mb=4_100,
            cpu_millis=2_800,
            work_s=7.6,
            estimate_spread=0.2,
            task_spread=0.15,
        ),
    )


FURTHER = Shape(
    3,
    8,
    model.Resources(32_000, 65_536, 8),
    _further_kinds(),
    0.4,
    checkpoint_s=0.5,
    restore_s=0.6,
)
"""Fleet pricing: exposure checks are urgent, renewals and rescoring are not.
Memory is scarce: a task of a renewal takes half of a
worker's memory."""


def _wide_kinds() -> tuple[Kind, ...]:
    """Returns the kinds of jobs of the site with hundreds of workers."""
    sweep, urgent, batch = _kinds(
        (52, 15, 11), (2.14, 5.49, 1.69), (27, 31), 0.2
    )
    return (
        dataclasses.replace(
            sweep,
            width=13,
            max_width=76,
            memory_mb=140_000,
            estimate_spread=0.2,
        ),
        dataclasses.replace(urgent, width=5.3, max_width=32, memory_mb=31_000),
        dataclasses.replace(
            batch,
            width=38,
            max_width=230,
            work_s=7.6,
            memory_mb=16_000,
            estimate_spread=0.9,
            task_spread=0.15,
        ),
    )


WIDE = Shape(
    23,
    12,
    model.Resources(128_000, 262_144, 8),
    _wide_kinds(),
    0.4,
    checkpoint_s=0.5,
    restore_s=0.6,
    guaranteed=60,
)
"""Hut booking over many halls: hundreds of workers, urgent gangs that need
whole workers of one rack, and wide batches of one accelerator per task."""


def _shifted_kinds() -> tuple[Kind, ...]:
    """Returns the kinds of jobs of the site whose work has shifted."""
    sweep, urgent, batch = _kinds(
        (52, 15, 11), (0.482, 5.55, 0.59), (14, 18), 0.2
    )
    return (
        dataclasses.replace(
            sweep, width=13, max_width=78, work_s=11.0, memory_mb=110_000
        ),
        dataclasses.replace(urgent, width=5.4, max_width=32, memory_mb=22_000),
        dataclasses.replace(
            batch,
            width=39,
            max_width=230,
            work_s=7.6,
            memory_mb=23_000,
            estimate_spread=0.9,
            task_spread=0.3,
        ),
    )


SHIFTED = Shape(
    22,
    8,
    model.Resources(128_000, 262_144, 8),
    _shifted_kinds(),
    0.4,
    restore_s=0.25,
    guaranteed=60,
)
"""Hut booking, mostly urgent confirmations; pricing runs are long and take
almost half of a worker's memory for each task."""


def with_load(
    kind: Kind, capacity: model.Resources, workers: int, share: float
) -> Kind:
    """Returns a kind at the arrival rate that takes a share of a site.

    Args:
        kind: The kind.
        capacity: Capacity of each worker.
        workers: Number of workers of the site.
        share: Share of the resource of which the kind takes the most.
    """
    mean_accelerators = statistics.fmean(kind.accelerators)
    max_share = max(
        kind.cpu_millis / capacity.cpu_millis,
        kind.memory_mb / capacity.memory_mb,
        mean_accelerators / capacity.accelerators,
    )
    worker_s = kind.width * kind.work_s * max_share
    return dataclasses.replace(kind, per_s=share * workers / worker_s)


@dataclasses.dataclass(frozen=True, slots=True)
class Arrival:
    """A job that a caller submits.

    Attributes:
        at_s: Time of its submission, in seconds from the start.
        job: The job.
        work_s: Actual run time of the tasks of each step.
        kind: Its kind.
        objective_s: Longest duration, from its submission, with full credit.
        cancel_after_s: Delay from its submission to its cancellation, or None.
    """

    at_s: float
    job: model.Job
    work_s: tuple[float, ...]
    kind: Kind
    objective_s: float
    cancel_after_s: float | None

    @property
    def core_s(self) -> float:
        """The work of all tasks, in core-seconds."""
        return sum(
            step.tasks * work * model.core_equivalents(step.needs)
            for step, work in zip(self.job.steps, self.work_s, strict=True)
        )


def arrivals(
    shape: Shape, rng: random.Random, length_s: float, load: float = 1.0
) -> list[Arrival]:
    """Returns the jobs of a day, in the order of their submission.

    Args:
        shape: The site.
        rng: Source of all random decisions.
        length_s: Time during which jobs arrive, in seconds.
        load: Multiple of the usual arrival rates.
    """
    jobs: list[Arrival] = []
    for kind in shape.kinds:
        for _ in range(kind.initial_jobs):
            name = f"{kind.name}-{len(jobs)}"
            jobs.append(_arrival(shape, rng, kind, 0.0, name))
        at_s = rng.expovariate(kind.per_s * load)
        while at_s < length_s:
            name = f"{kind.name}-{len(jobs)}"
            jobs.append(_arrival(shape, rng, kind, at_s, name))
            at_s += rng.expovariate(kind.per_s * load)
    return sorted(jobs, key=lambda arrival: arrival.at_s)


def mean_core_s(jobs: abc.Iterable[Arrival]) -> dict[str, float]:
    """Returns the mean work of a job in core-seconds, by kind."""
    by_kind: dict[str, list[float]] = {}
    for arrival in jobs:
        by_kind.setdefault(arrival.kind.name, []).append(arrival.core_s)
    return {kind: statistics.fmean(work) for kind, work in by_kind.items()}


def credit(arrival: Arrival, mean_core_s: float, took_s: float | None) -> float:
    """Returns the credit of a job that took `took_s`; None: it did not end.

    The credit is the worth of its kind times 0.3 to 4, growing with its work.
    """
    size = 0.3 + 0.7 * arrival.core_s / mean_core_s
    weight = min(4.0, size)
    if took_s is None or took_s > 3 * arrival.objective_s:
        return 0.0
    if took_s <= arrival.objective_s:
        return arrival.kind.worth * weight
    return arrival.kind.late_worth * weight


def _arrival(
    shape: Shape, rng: random.Random, kind: Kind, at_s: float, name: str
) -> Arrival:
    steps = [_step(shape, rng, kind, ())]
    if rng.random() < kind.second_step_share:
        steps.append(_step(shape, rng, kind, (0,)))
    work = tuple(_lognormal(rng, kind.work_s, kind.work_spread) for _ in steps)
    estimated = tuple(
        msgspec.structs.replace(
            step,
            estimated_ms=int(
                1000 * seconds * rng.lognormvariate(0, kind.estimate_spread)
            ),
        )
        for step, seconds in zip(steps, work, strict=True)
    )
    account = rng.choice(ACCOUNTS)
    job = model.Job(name, kind.name, account, "payload", estimated, kind.terms)
    critical_path_s = sum(
        shape.waves(step) * seconds
        for step, seconds in zip(steps, work, strict=True)
    )
    objective_s = (
        kind.terms.stretch * critical_path_s + kind.terms.target_ms / 1000
    )
    cancelled = rng.random() < kind.cancelled_share
    after_s = rng.uniform(0.2, 5.0) if cancelled else None
    return Arrival(at_s, job, work, kind, objective_s, after_s)


def _step(
    shape: Shape,
    rng: random.Random,
    kind: Kind,
    depends_on: tuple[int, ...],
) -> model.Step:
    width = _lognormal(rng, kind.width, kind.width_spread)
    rack = f"r{rng.randrange(shape.racks)}"
    tasks = max(1, min(kind.max_width, round(width)))
    needs = model.Resources(
        kind.cpu_millis, kind.memory_mb, rng.choice(kind.accelerators)
    )
    # A gang that does not fit in one rack would always miss its objective.
    fits_in_rack = tasks <= shape.per_rack * needs.copies_in(shape.capacity)
    return model.Step(
        tasks,
        needs,
        depends_on=depends_on,
        gang=kind.gang,
        same_rack=rng.random() < kind.one_rack_share and fits_in_rack,
        data_rack=rack if rng.random() < kind.data_rack_share else "",
        saves_progress=rng.random() < kind.saves_share,
    )


def _lognormal(rng: random.Random, mean: float, sigma: float) -> float:
    """Returns a random value of the lognormal distribution with this mean."""
    return rng.lognormvariate(math.log(mean) - sigma * sigma / 2, sigma)
