"""Jobs like those of the two users, and what finishing them in time is worth.

The numbers are those of the users' own sheets: kinds of jobs with their
rates, widths, run times and worth. Declared times are rough guesses.
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
"""The kind of jobs that someone waits for."""


@dataclasses.dataclass(frozen=True, slots=True)
class Kind:
    """One kind of job.

    Attributes:
        name: Also the name of its queue.
        per_s: Jobs a second on a usual day.
        terms: Of its queue.
        width: Mean number of tasks in a step.
        width_spread: Sigma of its logarithm.
        longest_width: Most tasks in a step.
        work_s: Mean run time of a task, in seconds.
        work_spread: Sigma of its logarithm.
        cpu_millis: What a task needs.
        memory_mb: What a task needs.
        accelerators: What a task needs; one is drawn.
        gang: Whether its tasks are a gang.
        one_rack_share: Share whose gang is slow on several racks.
        saves_share: Share that saves progress.
        data_rack_share: Share whose data are in one rack.
        second_step_share: Share with a second step.
        cancelled_share: Share that is cancelled after a while.
        estimate_spread: Sigma of the logarithm of the guess.
        uneven: Sigma of the logarithm of one task's work against another's.
        there_first: Jobs that are handed in at the very start.
        worth: For a job that is in time.
        late_worth: For one within three times its objective.
    """

    name: str
    per_s: float
    terms: model.QueueTerms
    width: float
    width_spread: float
    longest_width: int
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
    uneven: float
    there_first: int
    worth: float
    late_worth: float


@dataclasses.dataclass(frozen=True, slots=True)
class Shape:
    """A site: its workers and its kinds of jobs.

    Attributes:
        racks: How many racks there are.
        per_rack: Workers in each.
        capacity: Of each worker.
        kinds: The kinds of jobs.
        stop_grace_s: A stop takes at most so long.
        checkpoint_s: Tasks that save do so after so much work.
        restore_s: What goes on from saved progress begins so much later.
        guaranteed: Accelerators that each client account is guaranteed.
        slow_workers: Every third worker takes so many times as long.
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
        """Returns how often a step's work counts in its job's objective.

        A step that is wider than a quarter of the site may run in waves.
        """
        workers = self.racks * self.per_rack
        slots = workers * step.needs.copies_in(self.capacity)
        return math.ceil(step.tasks / max(1, slots // 4))


def _kinds(
    cores: tuple[int, int, int],
    rates: tuple[float, ...],
    there_first: tuple[int, int],
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
            0.0, there_first[0], 3.0, 0.9,
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
            0.2, there_first[1], 1.0, 0.3,
        ),
    )  # fmt: skip


TANA_SHORE = Shape(
    3,
    8,
    model.Resources(128_000, 524_288, 8),
    _kinds((52, 15, 11), (0.392, 0.954, 0.369), (3, 4), 0.9),
    0.9,
)
"""Hut booking: confirmations are urgent, pricing and tagging can wait."""

FINGAL = Shape(
    4,
    6,
    model.Resources(32_000, 131_072, 8),
    _kinds((13, 4, 3), (0.539, 1.2, 0.529), (4, 5), 0.2),
    0.2,
)
"""Tee sheet: slot offers are urgent, reconciliation and recalculation wait."""


def _further_kinds() -> tuple[Kind, ...]:
    """Returns the kinds of the site on which memory is scarce."""
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
            uneven=0.15,
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
"""Fleet pricing: exposure checks are urgent, renewals and rescoring wait, and
memory is scarce: a renewal's task takes half of a worker's."""


def _wide_kinds() -> tuple[Kind, ...]:
    """Returns the kinds of the site of hundreds of workers."""
    sweep, urgent, batch = _kinds(
        (52, 15, 11), (2.14, 5.49, 1.69), (27, 31), 0.2
    )
    return (
        dataclasses.replace(
            sweep,
            width=13,
            longest_width=76,
            memory_mb=140_000,
            estimate_spread=0.2,
        ),
        dataclasses.replace(
            urgent, width=5.3, longest_width=32, memory_mb=31_000
        ),
        dataclasses.replace(
            batch,
            width=38,
            longest_width=230,
            work_s=7.6,
            memory_mb=16_000,
            estimate_spread=0.9,
            uneven=0.15,
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
"""Hut booking over many halls: hundreds of workers, urgent gangs that want
whole workers of one rack, and wide batches of single accelerators."""


def with_load(
    kind: Kind, capacity: model.Resources, workers: int, share: float
) -> Kind:
    """Returns a kind at the rate at which it takes a share of some workers.

    Args:
        kind: The kind.
        capacity: Of each worker.
        workers: How many there are.
        share: Of the resource of which it takes the most.
    """
    mean_accelerators = statistics.fmean(kind.accelerators)
    taken = max(
        kind.cpu_millis / capacity.cpu_millis,
        kind.memory_mb / capacity.memory_mb,
        mean_accelerators / capacity.accelerators,
    )
    worker_s = kind.width * kind.work_s * taken
    return dataclasses.replace(kind, per_s=share * workers / worker_s)


@dataclasses.dataclass(frozen=True, slots=True)
class Arrival:
    """A job that is handed in.

    Attributes:
        at_s: When, in seconds from the start.
        job: The job.
        work_s: True run time of the tasks of each step.
        kind: Its kind.
        objective_s: It is in time if it ends so long after it came.
        cancel_after_s: When it is cancelled after that, or None.
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
    shape: Shape, source: random.Random, length_s: float, load: float = 1.0
) -> list[Arrival]:
    """Returns the jobs of a day, in their order.

    Args:
        shape: The site.
        source: Of all that is random.
        length_s: How long jobs come, in seconds.
        load: Multiple of the usual rates.
    """
    found: list[Arrival] = []
    for kind in shape.kinds:
        for _ in range(kind.there_first):
            name = f"{kind.name}-{len(found)}"
            found.append(_arrival(shape, source, kind, 0.0, name))
        at_s = source.expovariate(kind.per_s * load)
        while at_s < length_s:
            name = f"{kind.name}-{len(found)}"
            found.append(_arrival(shape, source, kind, at_s, name))
            at_s += source.expovariate(kind.per_s * load)
    return sorted(found, key=lambda one: one.at_s)


def mean_core_s(jobs: abc.Iterable[Arrival]) -> dict[str, float]:
    """Returns the mean work of a job in core-seconds, by kind."""
    by_kind: dict[str, list[float]] = {}
    for one in jobs:
        by_kind.setdefault(one.kind.name, []).append(one.core_s)
    return {kind: statistics.fmean(work) for kind, work in by_kind.items()}


def credit(arrival: Arrival, mean_core_s: float, took_s: float | None) -> float:
    """Returns what a job earns that ended `took_s` after it came."""
    size = 0.3 + 0.7 * arrival.core_s / mean_core_s
    owed = min(4.0, size)
    if took_s is None or took_s > 3 * arrival.objective_s:
        return 0.0
    if took_s <= arrival.objective_s:
        return arrival.kind.worth * owed
    return arrival.kind.late_worth * owed


def _arrival(
    shape: Shape, source: random.Random, kind: Kind, at_s: float, name: str
) -> Arrival:
    steps = [_step(shape, source, kind, ())]
    if source.random() < kind.second_step_share:
        steps.append(_step(shape, source, kind, (0,)))
    work = tuple(_skewed(source, kind.work_s, kind.work_spread) for _ in steps)
    guessed = tuple(
        msgspec.structs.replace(
            step,
            estimated_ms=int(
                1000 * seconds * source.lognormvariate(0, kind.estimate_spread)
            ),
        )
        for step, seconds in zip(steps, work, strict=True)
    )
    account = source.choice(ACCOUNTS)
    job = model.Job(name, kind.name, account, "payload", guessed, kind.terms)
    chain_s = sum(
        shape.waves(step) * seconds
        for step, seconds in zip(steps, work, strict=True)
    )
    objective_s = kind.terms.stretch * chain_s + kind.terms.target_ms / 1000
    cancelled = source.random() < kind.cancelled_share
    after_s = source.uniform(0.2, 5.0) if cancelled else None
    return Arrival(at_s, job, work, kind, objective_s, after_s)


def _step(
    shape: Shape,
    source: random.Random,
    kind: Kind,
    depends_on: tuple[int, ...],
) -> model.Step:
    width = _skewed(source, kind.width, kind.width_spread)
    rack = f"r{source.randrange(shape.racks)}"
    tasks = max(1, min(kind.longest_width, round(width)))
    needs = model.Resources(
        kind.cpu_millis, kind.memory_mb, source.choice(kind.accelerators)
    )
    # A gang that no rack holds would be late whatever is done.
    one_rack = tasks <= shape.per_rack * needs.copies_in(shape.capacity)
    return model.Step(
        tasks,
        needs,
        depends_on=depends_on,
        gang=kind.gang,
        same_rack=source.random() < kind.one_rack_share and one_rack,
        data_rack=rack if source.random() < kind.data_rack_share else "",
        saves_progress=source.random() < kind.saves_share,
    )


def _skewed(source: random.Random, mean: float, sigma: float) -> float:
    """Returns a draw from a lognormal distribution with this mean."""
    return source.lognormvariate(math.log(mean) - sigma * sigma / 2, sigma)
