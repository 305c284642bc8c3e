"""Soaks of real daemons with random troubles, one after the other or more.

`python -m laburnumsill.platform.tests.soak.main --seeds 1-50` plays fifty;
`--fresh 10` draws ten new ones. The folder of a broken one is kept and named,
with all logs of its daemons.
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

from laburnumsill.platform.tests.soak import site as sites
from laburnumsill.platform.tests.soak import troubles
from laburnumsill.platform.tests.soak import witness as witnesses

MODULE = "laburnumsill.platform.tests.soak.main"

DEFAULT_SECONDS = 20.0

FIRST = "first"
ALL = "all"
SPARE = "spare"
"""Names of choices of troubles, see `troubles.CHOICES`."""

MEAN_GAP_S = 0.9
"""Between the beginnings of two troubles, so that they overlap."""

MEAN_SILENCE_GAP_S = 4.0
"""Between two moments at which all open connections go silent: time enough
for all of them to be replaced, mostly."""

LOOK_EVERY_S = 0.05
"""How often the soak looks how late its own loop is."""

SAID_BY_A_FAILURE = ("Traceback", "event=daemon-failed")

LAST_WORDS = 300
"""Characters of the log of a daemon that ended which are told."""


@dataclasses.dataclass(slots=True)
class Verdict:
    """What one soak showed.

    Attributes:
        seed: Its seed.
        broken: One line for each broken promise.
        kinds: The troubles, in the order in which they began.
        jobs: How many jobs were sent.
        completed: How many of them were shown as completed.
        answers: How many calls got each status; 0 stands for no answer.
        late_s: How late the soak's own loop was at worst and usually (the
            mean). Proxies, workers and callers are that late too, so a site
            that did not get on while it was says nothing of the daemons.
        folder: Logs and data.
    """

    seed: int
    broken: list[str]
    kinds: list[str]
    jobs: int
    completed: int
    answers: dict[int, int]
    late_s: tuple[float, float]
    folder: pathlib.Path

    def line(self) -> str:
        """Returns the verdict on one line, the broken promises below."""
        text = (
            f"seed={self.seed} broken={len(self.broken)} jobs={self.jobs}"
            f" completed={self.completed} troubles={','.join(self.kinds)}"
            f" answers={self.answers}"
            f" loop-late-s={self.late_s[0]:.2f},{self.late_s[1]:.4f}"
        )
        return "\n    ".join([text, *self.broken])


async def soak(
    seed: int,
    seconds: float,
    folder: pathlib.Path,
    choice: abc.Sequence[type[troubles.Trouble]] = troubles.KINDS,
    has_crashing_tasks: bool = False,
    has_spare: bool = False,
) -> Verdict:
    """Plays one soak.

    Args:
        seed: Of the troubles and the callers.
        seconds: Troubles come for so long.
        folder: For settings, logs and data; empty.
        choice: The kinds that are drawn from.
        has_crashing_tasks: Whether some tasks crash their workers.
        has_spare: Whether a core VM stands by.
    """
    kinds: list[str] = []
    lags: list[float] = []
    async with trio.open_nursery() as nursery:
        site = sites.SoakSite(
            folder, seed, nursery, has_crashing_tasks, has_spare
        )
        nursery.start_soon(_watch_loop, lags)
        try:
            await site.start()
            witness = witnesses.Witness(site)
            await witness.configure_first()
            site.turn_seeds_over()
            site.disturb_core()
            await _play(site, witness, seconds, kinds, choice)
            broken = _ended(site)
            await witness.be_served_again()
            await witness.be_in_force()
            await witness.settle()
            await witness.aclose()
            broken += [*site.oracle.broken, *witness.broken]
            broken += _ended(site) + _complaints(site)
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
        (max(lags, default=0.0), statistics.fmean(lags or [0.0])),
        folder,
    )


async def _watch_loop(lags: list[float]) -> None:
    """Notes how late this loop wakes a task that sleeps."""
    while True:
        due = trio.current_time() + LOOK_EVERY_S
        await trio.sleep_until(due)
        lags.append(trio.current_time() - due)


async def _play(
    site: sites.SoakSite,
    witness: witnesses.Witness,
    seconds: float,
    kinds: list[str],
    choice: abc.Sequence[type[troubles.Trouble]],
) -> None:
    """Lets troubles come beside the calls, and waits until all are over."""
    async with trio.open_nursery() as callers:
        callers.start_soon(witness.run)
        end = trio.current_time() + seconds
        callers.start_soon(_silence_now_and_then, site, kinds)
        async with trio.open_nursery() as running:
            while True:
                gap_s = site.random.expovariate(1 / MEAN_GAP_S)
                await trio.sleep(gap_s)
                if trio.current_time() > end:
                    break
                kind = site.random.choice(choice)
                kinds.append(kind.__name__)
                running.start_soon(kind(site).run)
        callers.cancel_scope.cancel()


async def _silence_now_and_then(site: sites.SoakSite, kinds: list[str]) -> None:
    """Lets all open connections go silent beside the other troubles."""
    source = random.Random(site.seed)
    while True:
        await trio.sleep(source.expovariate(1 / MEAN_SILENCE_GAP_S))
        kinds.append(troubles.SilenceAll.__name__)
        await troubles.SilenceAll(site, source).run()


def _ended(site: sites.SoakSite) -> list[str]:
    """Returns which daemons do not run, though each trouble undoes itself."""
    return [
        f"FAULT {vm} ended by itself with {process.wait(0)}:"
        f" {process.log_text()[-LAST_WORDS:]!r}"
        for vm, process in site.processes.items()
        if not process.running
    ]


def _complaints(site: sites.SoakSite) -> list[str]:
    """Returns what daemons say of failures of their own."""
    found = []
    for vm, process in site.processes.items():
        for line in process.log_text().splitlines():
            if any(word in line for word in SAID_BY_A_FAILURE):
                found.append(f"FAULT {vm}: {line[:200]}")
    return found


async def _play_all(seeds: list[int], seconds: float, kinds: str) -> bool:
    """Plays one soak after the other; returns whether all were kept."""
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
            has_crashing_tasks=kinds in (ALL, SPARE),
            has_spare=kinds == SPARE,
        )
        print(verdict.line(), flush=True)
        if verdict.broken:
            kept = False
            print(f"    kept in {folder}", flush=True)
        else:
            shutil.rmtree(folder)
    return kept


def play_in_processes(
    seeds: list[int], jobs: int, seconds: float, kinds: str = FIRST
) -> bool:
    """Plays soaks side by side, each with a process and a loop of its own.

    Links, workers and callers of a soak share one loop. Three soaks in one
    loop made each of its turns 0.05 s late, orders and commits took 0.5 s, and
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
            ]
        )
        for share in shares
        if share
    ]
    statuses = [child.wait() for child in children]
    return not any(statuses)


def _seeds(text: str, fresh: int) -> list[int]:
    """Returns the seeds that `text` names, and so many fresh ones.

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
    """Plays what the arguments ask for; the exit code is 1 if one broke."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", default="", help="such as 1-50,77")
    parser.add_argument("--fresh", type=int, default=0, help="so many new ones")
    parser.add_argument("--jobs", type=int, default=1, help="side by side")
    parser.add_argument("--seconds", type=float, default=DEFAULT_SECONDS)
    parser.add_argument(
        "--kinds",
        choices=troubles.CHOICES,
        default=FIRST,
        help="of troubles; all: with tasks that crash their workers;"
        " spare: the same with a core VM that stands by",
    )
    given = parser.parse_args()
    seeds = _seeds(given.seeds, given.fresh)
    if given.jobs > 1:
        kept = play_in_processes(seeds, given.jobs, given.seconds, given.kinds)
    else:
        kept = trio.run(_play_all, seeds, given.seconds, given.kinds)
    sys.exit(0 if kept else 1)


if __name__ == "__main__":
    main()
