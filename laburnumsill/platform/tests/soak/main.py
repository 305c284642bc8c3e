"""Soaks of real daemons with random troubles, sequentially or in parallel.

`python -m laburnumsill.platform.tests.soak.main --seeds 1-50` runs fifty soaks;
`--fresh 10` draws ten new seeds. If a soak breaks a promise, its folder with
the logs of all daemons is kept and its path printed.
"""

import argparse
import dataclasses
import pathlib
import random
import shutil
import statistics
import subprocess
import sys
import tempfile
from collections import abc

import trio

from laburnumsill.platform.tests.soak import planned_work
from laburnumsill.platform.tests.soak import site as sites
from laburnumsill.platform.tests.soak import standing
from laburnumsill.platform.tests.soak import standing_watch
from laburnumsill.platform.tests.soak import troubles
from laburnumsill.platform.tests.soak import witness as witnesses

MODULE = "laburnumsill.platform.tests.soak.main"

DEFAULT_SECONDS = 20.0

FIRST = "first"
ALL = "all"
SPARE = "spare"
EVACUATIONS = "evacuations"
ORDERS = "orders"
WORKERS = "workers"
PLANNED = "planned"
CALM = "calm"
FAILING = "failing"
LONG_RUNNING = "long-running"
"""Names of sets of troubles, see `troubles.CHOICES`."""

LOADS = {
    CALM: witnesses.CALM_LOAD,
    FAILING: witnesses.FAILING_LOAD,
    LONG_RUNNING: witnesses.LASTING_LOAD,
}
"""Loads other than the usual one, by the set of troubles."""

MEAN_GAP_S = 0.9
"""Mean time between the starts of two troubles, short enough for overlaps."""

MEAN_SILENCE_GAP_S = 4.0
"""Mean time between two troubles that silence all open connections; usually
enough for all connections to be replaced."""

LAG_INTERVAL_S = 0.05
"""Interval at which the lag of the soak's own event loop is measured."""

FAILURE_MARKERS = ("Traceback", "event=daemon-failed")

LOG_TAIL_CHARS = 300
"""Number of final log characters reported for a daemon that ended."""


@dataclasses.dataclass(slots=True)
class Verdict:
    """Result of a soak.

    Attributes:
        seed: The seed of the soak.
        broken: One line for each broken promise.
        kinds: The troubles, in the order in which they began.
        jobs: Number of submitted jobs.
        completed: Number of jobs reported as completed.
        answers: Number of calls by status; 0 stands for no answer.
        kept_answers: Number of answers on kept connections.
        late_s: Maximum and mean lag of the soak's own event loop. Proxies,
            workers and callers share the loop, so a lack of progress during a
            large lag is no evidence against the daemons.
        folder: Folder with logs and data.
        standing: The watch for jobs that stand still.
    """

    seed: int
    broken: list[str]
    kinds: list[str]
    jobs: int
    completed: int
    answers: dict[int, int]
    kept_answers: int
    late_s: tuple[float, float]
    folder: pathlib.Path
    standing: standing.Watch

    def line(self) -> str:
        """Returns the verdict on one line, the broken promises below."""
        text = (
            f"seed={self.seed} broken={len(self.broken)} jobs={self.jobs}"
            f" completed={self.completed} troubles={','.join(self.kinds)}"
            f" answers={self.answers} kept-answers={self.kept_answers}"
            f" loop-late-s={self.late_s[0]:.2f},{self.late_s[1]:.4f}"
            f" {self.standing.line}"
        )
        return "\n    ".join([text, *self.broken])


async def soak(
    seed: int,
    seconds: float,
    folder: pathlib.Path,
    choice: abc.Sequence[type[troubles.Trouble]] = troubles.KINDS,
    has_crashing_tasks: bool = False,
    has_spare: bool = False,
    opening: abc.Sequence[type[troubles.Trouble]] = (),
    moves_queues: bool = False,
    load: witnesses.Load = witnesses.USUAL_LOAD,
    asks_under_half: bool = False,
    calm_s: float = 0.0,
) -> Verdict:
    """Runs one soak.

    Args:
        seed: Seed of the troubles and the callers.
        seconds: Duration of the phase with troubles.
        folder: Empty folder for settings, logs and data.
        choice: The troubles to draw from.
        has_crashing_tasks: Whether some tasks crash their workers.
        has_spare: Whether the core has a spare VM.
        opening: Troubles that begin the phase, whatever is drawn.
        moves_queues: Whether queues may move to another pool; workers list few
            ends in a report then.
        load: What the callers and operators do.
        asks_under_half: Whether jobs stand still only while under half of
            their pool is in use.
        calm_s: Duration of the load after the last trouble, in seconds;
            nothing changes the configuration then.
    """
    kinds: list[str] = []
    lags: list[float] = []
    async with trio.open_nursery() as nursery:
        site = sites.SoakSite(
            folder,
            seed,
            nursery,
            has_crashing_tasks,
            has_spare,
            moves_queues,
        )
        nursery.start_soon(_measure_lag, lags)
        try:
            await site.start()
            # Draws before the workers' first announcements do.
            witness = witnesses.Witness(site, load)
            await site.until_started()
            await witness.configure_first()
            watch = standing_watch.StandingWatch(site, witness, asks_under_half)
            nursery.start_soon(watch.run)
            site.replace_seeds()
            site.disturb_core()
            kept = planned_work.KeptCallers(site, witness.fates)
            await _play(
                site, witness, kept, seconds, kinds, choice, opening, calm_s
            )
            broken = _ended_daemons(site)
            await witness.check_service()
            await witness.check_last_configuration()
            await witness.settle()
            watch.close()
            await witness.aclose()
            broken += [*site.oracle.broken, *witness.broken, *kept.broken]
            broken += watch.findings.broken
            broken += _ended_daemons(site) + _logged_failures(site)
        finally:
            site.stop()
            nursery.cancel_scope.cancel()
    return Verdict(
        seed,
        broken,
        kinds,
        len(witness.fates),
        sum(fate.final == "completed" for fate in witness.fates),
        witness.answers,
        kept.answered,
        (max(lags, default=0.0), statistics.fmean(lags or [0.0])),
        folder,
        watch.findings,
    )


async def _measure_lag(lags: list[float]) -> None:
    """Measures the lag of this event loop when it wakes a sleeping task."""
    while True:
        due = trio.current_time() + LAG_INTERVAL_S
        await trio.sleep_until(due)
        lags.append(trio.current_time() - due)


async def _play(
    site: sites.SoakSite,
    witness: witnesses.Witness,
    kept: planned_work.KeptCallers,
    seconds: float,
    kinds: list[str],
    choice: abc.Sequence[type[troubles.Trouble]],
    opening: abc.Sequence[type[troubles.Trouble]],
    calm_s: float,
) -> None:
    """Plays random troubles during the calls, and calm after all have ended."""
    silences = trio.CancelScope()
    async with trio.open_nursery() as callers:
        callers.start_soon(witness.run)
        callers.start_soon(kept.run)
        end = trio.current_time() + seconds
        if not all(kind.is_planned for kind in choice):
            callers.start_soon(_silence_connections, site, kinds, silences)
        async with trio.open_nursery() as running:
            for kind in opening:
                kinds.append(kind.__name__)
                running.start_soon(kind(site).run)
            if not choice:
                await trio.sleep_until(end)
            while choice:
                gap_s = site.random.expovariate(1 / MEAN_GAP_S)
                await trio.sleep(gap_s)
                if trio.current_time() > end:
                    break
                kind = site.random.choice(choice)
                kinds.append(kind.__name__)
                running.start_soon(kind(site).run)
        if calm_s:
            silences.cancel()
            witness.stop_changes()
            await trio.sleep(calm_s)
        callers.cancel_scope.cancel()


async def _silence_connections(
    site: sites.SoakSite, kinds: list[str], scope: trio.CancelScope
) -> None:
    """Silences open connections at random times, beside the other troubles."""
    source = random.Random(site.seed)
    with scope:
        while True:
            await trio.sleep(source.expovariate(1 / MEAN_SILENCE_GAP_S))
            kinds.append(troubles.SilenceAll.__name__)
            await troubles.SilenceAll(site, source).run()


def _ended_daemons(site: sites.SoakSite) -> list[str]:
    """Returns a line for each daemon that ended without being killed."""
    return [
        f"FAULT {vm} ended by itself with {process.wait(0)}:"
        f" {process.log_text()[-LOG_TAIL_CHARS:]!r}"
        for vm, process in site.processes.items()
        if not process.running
    ]


def _logged_failures(site: sites.SoakSite) -> list[str]:
    """Returns the log lines in which daemons report internal failures."""
    found = []
    for vm, process in site.processes.items():
        for line in process.log_text().splitlines():
            if any(word in line for word in FAILURE_MARKERS):
                found.append(f"FAULT {vm}: {line[:200]}")
    return found


async def _play_all(
    seeds: list[int],
    seconds: float,
    kinds: str,
    asks_under_half: bool,
    calm_s: float,
) -> bool:
    """Runs soaks sequentially and returns whether all promises were kept."""
    kept = True
    top = pathlib.Path(tempfile.mkdtemp(prefix="soak-"))
    for seed in seeds:
        folder = top / str(seed)
        folder.mkdir()
        verdict = await soak(
            seed,
            seconds,
            folder,
            troubles.CHOICES[kinds],
            has_crashing_tasks=kinds
            in (ALL, SPARE, EVACUATIONS, ORDERS, WORKERS),
            has_spare=kinds == SPARE,
            moves_queues=kinds == WORKERS,
            load=LOADS.get(kinds, witnesses.USUAL_LOAD),
            asks_under_half=asks_under_half,
            calm_s=calm_s,
        )
        print(verdict.line(), flush=True)
        if verdict.broken:
            kept = False
            print(f"    kept in {folder}", flush=True)
        else:
            shutil.rmtree(folder)
    return kept


def play_in_processes(
    seeds: list[int],
    jobs: int,
    seconds: float,
    kinds: str = FIRST,
    asks_under_half: bool = False,
    calm_s: float = 0.0,
) -> bool:
    """Runs soaks in parallel, each in its own process with its own event loop.

    Links, workers and callers of a soak share one loop. With three soaks in one
    loop, each iteration lagged by 0.05 s, orders and commits took 0.5 s, and
    jobs did not end.

    Returns:
        Whether all promises were kept.
    """
    shares = [seeds[first::jobs] for first in range(jobs)]
    children = [
        subprocess.Popen(
            [
                *(sys.executable, "-m", MODULE),
                *("--seeds", ",".join(map(str, share))),
                *("--seconds", str(seconds)),
                *("--kinds", kinds),
                *("--calm-seconds", str(calm_s)),
                *(["--under-half"] if asks_under_half else []),
            ]
        )
        for share in shares
        if share
    ]
    statuses = [child.wait() for child in children]
    return not any(statuses)


def _seeds(text: str, fresh: int) -> list[int]:
    """Returns the seeds listed in `text` and `fresh` new random ones.

    Examples:
        >>> _seeds("3-5,9", 0)
        [3, 4, 5, 9]
    """
    found = []
    for part in filter(None, text.split(",")):
        first, _, last = part.partition("-")
        found += range(int(first), int(last or first) + 1)
    return found + [random.randrange(10**9) for _ in range(fresh)]


def main() -> None:
    """Runs the requested soaks; exits with 1 if a promise was broken."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", default="", help="such as 1-50,77")
    parser.add_argument(
        "--fresh", type=int, default=0, help="number of new seeds"
    )
    parser.add_argument(
        "--jobs", type=int, default=1, help="parallel processes"
    )
    parser.add_argument("--seconds", type=float, default=DEFAULT_SECONDS)
    parser.add_argument(
        "--kinds",
        choices=troubles.CHOICES,
        default=FIRST,
        help="set of troubles; all: with tasks that crash their workers;"
        " spare: the same with a spare core VM; workers: the same with workers"
        " that depart and queues that move; planned: only SIGTERM and SIGHUP;"
        " calm: no troubles, and most workers in use; failing: the same with"
        " jobs that always fail; long-running: the first ones beside jobs"
        " that run until they are cancelled",
    )
    parser.add_argument(
        "--under-half",
        action="store_true",
        help="judge jobs that stand still only while under half of their pool"
        " is in use",
    )
    parser.add_argument(
        "--calm-seconds",
        type=float,
        default=0.0,
        help="duration of the load after the last trouble",
    )
    given = parser.parse_args()
    seeds = _seeds(given.seeds, given.fresh)
    if given.jobs > 1:
        kept = play_in_processes(
            seeds,
            given.jobs,
            given.seconds,
            given.kinds,
            given.under_half,
            given.calm_seconds,
        )
    else:
        kept = trio.run(
            _play_all,
            seeds,
            given.seconds,
            given.kinds,
            given.under_half,
            given.calm_seconds,
        )
    sys.exit(0 if kept else 1)


if __name__ == "__main__":
    main()
