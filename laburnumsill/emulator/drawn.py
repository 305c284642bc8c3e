"""Random sites, which guard the planner against overfitting the known ones.

The seed of a site determines its workers, racks, kinds of jobs, rates and run
times, and which of cores, memory and accelerators is scarce. The arrival rates
are set so that the work takes a random share of the scarce resource.
"""

import math
import random

from laburnumsill.batch import model
from laburnumsill.emulator import load as loads

MIN_WORKERS = 20
MAX_WORKERS = 60
"""Emulating a day of a larger site takes minutes."""

SCARCE = ("cores", "memory", "accelerators")
SURPLUS_FACTOR = 2.5
"""Ratio of the supply of each other resource to that of the scarce one, both
relative to the demand."""

LOAD_RANGE = (0.7, 1.6)
"""Range of the share of the scarce resource that arriving work takes. A site
is saturated well below 1: some workers are slow, stops discard work, and gangs
leave free capacity unused."""


def site(seed: int) -> loads.Shape:
    """Returns the random site of a seed.

    Examples:
        >>> site(3) == site(3), site(3) == site(4)
        (True, False)
    """
    rng = random.Random(f"site {seed}")
    per_rack = rng.randint(3, 12)
    workers = rng.randint(MIN_WORKERS, MAX_WORKERS)
    racks = max(2, round(workers / per_rack))
    capacity = model.Resources(
        rng.choice((16, 32, 64, 128)) * 1000,
        rng.choice((64, 128, 256, 512)) * 1024,
        rng.choice((4, 8)),
    )
    scarce = rng.choice(SCARCE)
    kinds = tuple(
        _kind(rng, name, capacity, scarce)
        for name in ("sweep", loads.URGENT, "batch")
    )
    total = racks * per_rack
    load = rng.uniform(*LOAD_RANGE)
    shares = _shares(rng)
    return loads.Shape(
        racks,
        per_rack,
        capacity,
        tuple(
            loads.with_load(kind, capacity, total, load * share)
            for kind, share in zip(kinds, shares, strict=True)
        ),
        stop_grace_s=rng.uniform(0.1, 1.5),
        checkpoint_s=rng.uniform(0.5, 5.0),
        restore_s=rng.uniform(0.05, 1.0),
        guaranteed=rng.choice((0, total // 4, total)),
        slow_workers=rng.uniform(1.0, 1.5),
    )


def _shares(rng: random.Random) -> tuple[float, float, float]:
    """Returns the shares of sweeps, urgent jobs and batches in the work.

    The share of urgent jobs is small enough that they alone do not overload
    the site.
    """
    urgent = rng.uniform(0.05, 0.25)
    sweep = rng.uniform(0.25, 0.75) * (1 - urgent)
    return sweep, urgent, 1 - urgent - sweep


def _kind(
    rng: random.Random, name: str, capacity: model.Resources, scarce: str
) -> loads.Kind:
    """Returns a kind of job that uses the scarce resource most."""
    urgent, gang = name == loads.URGENT, name != "batch"
    scarce_share = rng.uniform(0.05, 0.55) if name == "sweep" else None
    scarce_share = scarce_share or rng.uniform(0.03, 0.2)
    other_share = scarce_share / SURPLUS_FACTOR
    shares = {
        resource: scarce_share if resource == scarce else other_share
        for resource in SCARCE
    }
    max_accelerators = max(
        1, int(shares["accelerators"] * capacity.accelerators * 2)
    )
    accelerators = tuple(
        sorted({1, max(1, max_accelerators // 2), max_accelerators})
    )
    work_s = math.exp(
        rng.uniform(math.log(0.5), math.log(6.0))
        if urgent
        else rng.uniform(math.log(3.0), math.log(20.0))
    )
    priority = {"sweep": 1, loads.URGENT: 0, "batch": 2}[name]
    stretch = 1.5 if urgent else rng.uniform(2.0, 4.0)
    target_ms = 250 if urgent else rng.choice((1000, 3000))
    return loads.Kind(
        name,
        per_s=1.0,
        terms=model.QueueTerms("pool", priority, 3, stretch, target_ms),
        width=rng.uniform(2, 6) if gang else rng.uniform(6, 20),
        width_spread=0.8,
        max_width=30 if gang else 90,
        work_s=work_s,
        work_spread=rng.uniform(0.2, 0.6),
        cpu_millis=int(shares["cores"] * capacity.cpu_millis),
        memory_mb=int(shares["memory"] * capacity.memory_mb),
        accelerators=accelerators,
        gang=gang,
        one_rack_share=rng.uniform(0.3, 0.9) if gang else 0.0,
        saves_share=0.0 if urgent else rng.uniform(0.2, 0.8),
        data_rack_share=0.0 if gang else 0.12,
        second_step_share=0.0 if gang else 0.3,
        cancelled_share=0.0 if urgent else 0.1,
        estimate_spread=rng.uniform(0.2, 1.0),
        task_spread=0.0 if gang else 0.2,
        initial_jobs=0 if urgent else 4,
        worth={"sweep": 3.0, loads.URGENT: 4.0, "batch": 1.0}[name],
        late_worth={"sweep": 0.9, loads.URGENT: 0.8, "batch": 0.3}[name],
    )
