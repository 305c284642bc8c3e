"""Arrivals of jobs as the two sites describe them, for one failure domain.

Small and large jobs come in bursts; declared run times are off by up to ten
times either way; four client accounts, a few of them large, hold guarantees.
The same seed gives the same jobs.
"""

import dataclasses
import math
import random

from laburnumsill.state import jobs_messages

MIS_DECLARED = 10.0
"""Declared run times are off by up to this factor either way."""

LONGEST = 4.0
"""The longest run of a kind is this many times its mean."""


@dataclasses.dataclass(frozen=True, slots=True)
class Kind:
    """A kind of job.

    Attributes:
        part: Its part of all jobs by number.
        tasks: Members of the gang.
        accelerators: Accelerators of a task.
        mean_s: Mean run time in seconds.
    """

    part: float
    tasks: int
    accelerators: int
    mean_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Site:
    """One failure domain of a site.

    Attributes:
        workers: Workers of a domain, with 8 accelerators each.
        rack: Workers of a rack.
        cores: Cores of a worker.
        memory_gb: Memory of a worker.
        kinds: What arrives.
        burst: Mean number of jobs that arrive together.
        guarantees: Cells owed to each account: accelerators, pairs,
            workers, racks.
        weights: Each account's weight.
        completion_weight: Of the site's policy.
        fragmentation_weight: Of the site's policy.
        bound_s: Wait after which slots are drained for a gang.
    """

    name: str
    workers: int
    rack: int
    cores: int
    memory_gb: int
    kinds: tuple[Kind, ...]
    burst: float
    guarantees: dict[str, tuple[int, int, int, int]]
    weights: dict[str, float]
    completion_weight: float
    fragmentation_weight: float
    bound_s: float

    @property
    def accelerators(self) -> int:
        """All accelerators of the domain."""
        return 8 * self.workers


TANA_SHORE = Site(
    name="tana-shore",
    workers=8,
    rack=8,
    cores=128,
    memory_gb=512,
    kinds=(
        Kind(0.600, 1, 1, 600.0),
        Kind(0.200, 1, 2, 900.0),
        Kind(0.100, 1, 4, 1_800.0),
        Kind(0.065, 1, 8, 2_400.0),
        Kind(0.030, 2, 8, 3_600.0),
        Kind(0.005, 4, 8, 3_600.0),
    ),
    burst=6.0,
    guarantees={
        "lakeside": (0, 0, 2, 0),
        "islands": (0, 0, 1, 0),
        "highlands": (0, 2, 0, 0),
        "photo-desk": (2, 0, 0, 0),
    },
    weights={
        "lakeside": 4.0,
        "islands": 2.0,
        "highlands": 1.0,
        "photo-desk": 1.0,
    },
    completion_weight=0.7,
    fragmentation_weight=0.3,
    bound_s=600.0,
)

FINGAL = Site(
    name="fingal",
    workers=6,
    rack=6,
    cores=32,
    memory_gb=128,
    kinds=(
        Kind(0.580, 1, 1, 600.0),
        Kind(0.200, 1, 2, 900.0),
        Kind(0.120, 1, 4, 1_200.0),
        Kind(0.050, 1, 8, 1_800.0),
        Kind(0.042, 2, 8, 3_600.0),
        Kind(0.008, 4, 8, 3_600.0),
    ),
    burst=4.0,
    guarantees={
        "courses": (0, 0, 1, 0),
        "societies": (0, 2, 0, 0),
        "clubhouse": (0, 1, 0, 0),
        "handicaps": (2, 0, 0, 0),
    },
    weights={
        "courses": 4.0,
        "societies": 2.0,
        "clubhouse": 2.0,
        "handicaps": 1.0,
    },
    completion_weight=0.3,
    fragmentation_weight=0.7,
    bound_s=300.0,
)

STREAM = (
    Kind(0.70, 1, 1, 600.0),
    Kind(0.28, 1, 2, 900.0),
    Kind(0.02, 2, 8, 1_800.0),
)
"""A stream of small jobs with a few gangs, 0.38 of the work."""

SITES = {
    site.name: site
    for site in (
        TANA_SHORE,
        FINGAL,
        dataclasses.replace(TANA_SHORE, name="tana-stream", kinds=STREAM),
        dataclasses.replace(FINGAL, name="fingal-stream", kinds=STREAM),
    )
}
GUARANTEED_PART = 0.3
"""Part of the jobs within its account's guarantee that claim it."""


@dataclasses.dataclass(frozen=True, slots=True)
class Arrival:
    """A job, when it comes and how long it really runs."""

    at: float
    job_id: str
    spec: jobs_messages.JobSpec
    run_s: float


def arrivals(site: Site, load: float, seed: int, count: int) -> list[Arrival]:
    """Returns `count` arrivals that ask for `load` times the capacity."""
    draw = random.Random(f"{site.name} {load} {seed}")
    work = sum(
        kind.part * kind.tasks * kind.accelerators * kind.mean_s
        for kind in site.kinds
    )
    rate = load * site.accelerators / work
    found: list[Arrival] = []
    now = 0.0
    while len(found) < count:
        now += draw.expovariate(rate / site.burst)
        size = 1 + int(draw.expovariate(1.0 / max(0.1, site.burst - 0.5)))
        for _ in range(min(size, count - len(found))):
            found.append(_arrival(site, draw, now, len(found)))
    return found


def _arrival(
    site: Site, draw: random.Random, now: float, number: int
) -> Arrival:
    kind = draw.choices(site.kinds, [kind.part for kind in site.kinds])[0]
    run_s = kind.mean_s * min(LONGEST, draw.lognormvariate(-0.5, 1.0))
    declared = run_s * MIS_DECLARED ** draw.uniform(-1.0, 1.0)
    accounts = list(site.weights)
    account = draw.choices(accounts, list(site.weights.values()))[0]
    spec = jobs_messages.JobSpec(
        account=account,
        tasks=kind.tasks,
        accelerators=kind.accelerators,
        cores=site.cores * kind.accelerators // 8,
        memory_gb=site.memory_gb * kind.accelerators // 8,
        guaranteed=_claims(site, account, kind, draw),
        estimated_run_s=math.ceil(declared),
    )
    return Arrival(now, f"d.{number}", spec, max(1.0, run_s))


def _claims(site: Site, account: str, kind: Kind, draw: random.Random) -> bool:
    """Draws whether a job that its account's guarantee holds claims it."""
    drawn = draw.random() < GUARANTEED_PART
    singles, pairs, whole, _ = site.guarantees[account]
    if kind.accelerators == 8:
        return drawn and kind.tasks <= whole
    if kind.accelerators <= 2 and kind.tasks == 1:
        enough = whole or pairs or (singles and kind.accelerators == 1)
        return drawn and bool(enough)
    return drawn and bool(whole)
