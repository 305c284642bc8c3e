"""Measures placement: `python -m bench.placement`.

Recorded arrivals of both sites go through each policy in virtual time. The
first rows are the baselines; then the production planner's mechanisms are
added in turn.
"""

import math
import statistics
import time
import typing
from collections import abc

import fire

from bench import arrivals
from bench import baselines
from bench import measuring
from bench import virtual_domain

JOBS = 1_000
SEEDS = 3
LOADS = (0.5, 0.7, 0.85, 1.0, 1.2)
SLOWDOWN_FLOOR_S = 60.0
"""Run times below this count as this in a slowdown."""

CLASSES = (("small", 1, 2), ("middle", 3, 8), ("large", 9, 1_024))
Make = abc.Callable[[arrivals.Site], virtual_domain.Placing]


def policies() -> dict[str, Make]:
    """Returns the policies by name, in the order of the table."""
    production = virtual_domain.Production
    return {
        "fifo-first-fit": lambda site: baselines.FifoFirstFit(),
        "fifo-best-fit": lambda site: baselines.FifoBestFit(),
        "easy": lambda site: baselines.Easy(),
        "past-the-first": lambda site: production(
            site, _weights(site), drains=False, claims=False
        ),
        "+gang-help": lambda site: production(
            site, _weights(site), claims=False
        ),
        "+guarantees": lambda site: production(site, _weights(site)),
    }


def _weights(site: arrivals.Site) -> tuple[float, float]:
    return site.completion_weight, site.fragmentation_weight


def measure(
    site: arrivals.Site, load: float, make: Make, seeds: int, jobs: int
) -> dict[str, float]:
    """Returns the columns for one site, load and policy."""
    runs = []
    for seed in range(seeds):
        recorded = arrivals.arrivals(site, load, seed, jobs)
        domain = virtual_domain.VirtualDomain(site, recorded, make(site))
        domain.run()
        runs.append(domain)
    return _columns(site, runs)


def _columns(
    site: arrivals.Site, runs: list[virtual_domain.VirtualDomain]
) -> dict[str, float]:
    ended = [one for run in runs for one in run.outcomes.values()]
    completion = [_completion(one) for one in ended]
    totals = [run.totals for run in runs]
    spans = sum(total.busy + total.free for total in totals)
    reclaims = [s for total in totals for s in total.reclaim_s]
    found = {
        "mean_jct_s": statistics.fmean(completion),
        "p95_jct_s": _quantile(completion, 0.95),
    }
    for name, least, most in CLASSES:
        of_class = [
            _completion(one) / max(SLOWDOWN_FLOOR_S, one.arrival.run_s)
            for one in ended
            if least <= one.arrival.spec.total_accelerators <= most
        ]
        found[f"slow_{name}"] = (
            statistics.fmean(of_class) if of_class else math.nan
        )
    waits = [
        (one.started_at or math.inf) - one.arrival.at
        for one in ended
        if one.arrival.spec.total_accelerators == virtual_domain.LARGE
    ]
    return found | {
        "frag": sum(t.apart for t in totals)
        / max(1.0, sum(t.together for t in totals)),
        "frag_raw": sum(t.ratio for t in totals)
        / max(1.0, sum(t.free_time for t in totals)),
        "stranded": sum(t.stranded for t in totals) / spans,
        "util": sum(t.busy for t in totals) / spans,
        "large_wait_p95": _quantile(waits, 0.95) / site.bound_s,
        "large_wait_max": max(waits) / site.bound_s,
        "stops": sum(t.preemptions for t in totals) / len(ended),
        "lost_work": sum(t.lost_work for t in totals)
        / sum(t.busy for t in totals),
        "reclaim_max_s": max(reclaims, default=0.0),
        "broken": sum(t.broken_guarantees for t in totals),
    }


def _completion(one: virtual_domain.Outcome) -> float:
    return (one.ended_at or math.inf) - one.arrival.at


def _quantile(values: abc.Sequence[float], part: float) -> float:
    return sorted(values)[min(len(values) - 1, int(part * len(values)))]


def main(
    jobs: int = JOBS,
    seeds: int = SEEDS,
    site: str = "",
    load: float = 0.0,
    save: bool = True,
) -> None:
    """Prints one table over sites, loads and policies; writes JSON.

    Args:
        jobs: Jobs in each run.
        seeds: Runs for each line.
        site: Only this site.
        load: Only this load.
        save: Whether to write the JSON file.
    """
    rows: list[dict[str, typing.Any]] = []
    began = time.monotonic()
    for name, where in arrivals.SITES.items():
        for factor in LOADS:
            if (site and name != site) or (load and factor != load):
                continue
            for policy, make in policies().items():
                found = measure(where, factor, make, seeds, jobs)
                rows.append(
                    {"site": name, "load": factor, "policy": policy, **found}
                )
    names = [key for key in rows[0]]
    table = [[row[key] for key in names] for row in rows]
    measuring.print_table("placement", names, table)
    print(f"took {time.monotonic() - began:.0f} s")
    if save:
        measuring.save(
            "placement", {"jobs": jobs, "seeds": seeds, "rows": rows}
        )


if __name__ == "__main__":
    fire.Fire(main)
