"""Sites drawn by seed, so that no decision is made for the known ones.

Each has workers, racks, kinds of jobs, rates and run times of its own; any one
of cores, memory and accelerators may be the scarce one. The load is set so that
what arrives takes a drawn share of the scarcest resource.
"""

import math
import random

from laburnumsill.batch import model
from laburnumsill.emulator import load as loads

FEWEST_WORKERS = 20
MOST_WORKERS = 60
"""Larger sites take minutes a day to play."""

SCARCE = ("cores", "memory", "accelerators")
TIMES_ROOMIER = 2.5
"""The pool has so many times more of the resources that are not scarce."""

LOAD = (0.7, 1.6)
"""Share of the scarcest resource that arriving work takes. Workers are slower
than their work says, stops throw work away, and gangs do not fill what is
free, so a site is full long before 1."""


def site(seed: int) -> loads.Shape:
    """Returns the site of a seed.

    Examples:
        >>> site(3) == site(3), site(3) == site(4)
        (True, False)
    """
    source = random.Random(f"site {seed}")
    per_rack = source.randint(3, 12)
    workers = source.randint(FEWEST_WORKERS, MOST_WORKERS)
    racks = max(2, round(workers / per_rack))
    capacity = model.Resources(
        source.choice((16, 32, 64, 128)) * 1000,
        source.choice((64, 128, 256, 512)) * 1024,
        source.choice((4, 8)),
    )
    scarce = source.choice(SCARCE)
    kinds = tuple(
        _kind(source, name, capacity, scarce)
        for name in ("sweep", loads.URGENT, "batch")
    )
    total = racks * per_rack
    load = source.uniform(*LOAD)
    shares = _shares(source)
    return loads.Shape(
        racks,
        per_rack,
        capacity,
        tuple(
            loads.with_load(kind, capacity, total, load * share)
            for kind, share in zip(kinds, shares, strict=True)
        ),
        stop_grace_s=source.uniform(0.1, 1.5),
        checkpoint_s=source.uniform(0.5, 5.0),
        restore_s=source.uniform(0.05, 1.0),
        guaranteed=source.choice((0, total // 4, total)),
        slow_workers=source.uniform(1.0, 1.5),
    )


def _shares(source: random.Random) -> tuple[float, float, float]:
    """Returns the shares of the work that sweeps, urgent jobs and batches are.

    Urgent jobs alone must not be more than the site can do.
    """
    urgent = source.uniform(0.05, 0.25)
    sweep = source.uniform(0.25, 0.75) * (1 - urgent)
    return sweep, urgent, 1 - urgent - sweep


def _kind(
    source: random.Random, name: str, capacity: model.Resources, scarce: str
) -> loads.Kind:
    """Returns a kind whose tasks need most of what is scarce."""
    urgent, gang = name == loads.URGENT, name != "batch"
    part = source.uniform(0.05, 0.55) if name == "sweep" else None
    part = part or source.uniform(0.03, 0.2)
    rest = part / TIMES_ROOMIER
    parts = {one: part if one == scarce else rest for one in SCARCE}
    most = max(1, int(parts["accelerators"] * capacity.accelerators * 2))
    accelerators = tuple(sorted({1, max(1, most // 2), most}))
    work_s = math.exp(
        source.uniform(math.log(0.5), math.log(6.0))
        if urgent
        else source.uniform(math.log(3.0), math.log(20.0))
    )
    priority = {"sweep": 1, loads.URGENT: 0, "batch": 2}[name]
    stretch = 1.5 if urgent else source.uniform(2.0, 4.0)
    target_ms = 250 if urgent else source.choice((1000, 3000))
    return loads.Kind(
        name,
        per_s=1.0,
        terms=model.QueueTerms("pool", priority, 3, stretch, target_ms),
        width=source.uniform(2, 6) if gang else source.uniform(6, 20),
        width_spread=0.8,
        longest_width=30 if gang else 90,
        work_s=work_s,
        work_spread=source.uniform(0.2, 0.6),
        cpu_millis=int(parts["cores"] * capacity.cpu_millis),
        memory_mb=int(parts["memory"] * capacity.memory_mb),
        accelerators=accelerators,
        gang=gang,
        one_rack_share=source.uniform(0.3, 0.9) if gang else 0.0,
        saves_share=0.0 if urgent else source.uniform(0.2, 0.8),
        data_rack_share=0.0 if gang else 0.12,
        second_step_share=0.0 if gang else 0.3,
        cancelled_share=0.0 if urgent else 0.1,
        estimate_spread=source.uniform(0.2, 1.0),
        uneven=0.0 if gang else 0.2,
        there_first=0 if urgent else 4,
        worth={"sweep": 3.0, loads.URGENT: 4.0, "batch": 1.0}[name],
        late_worth={"sweep": 0.9, loads.URGENT: 0.8, "batch": 0.3}[name],
    )
