"""The program `laburnumsill-emulator`: a site in virtual time.

It runs the real scheduler against emulated workers, so that a change of the
planner, a load or a set of faults can be tried in seconds and without a site.
It starts no other process and opens no port.
"""

import json
import sys
import typing

import fire
import loguru

from laburnumsill.batch import policy as policies
from laburnumsill.emulator import days as days_module
from laburnumsill.emulator import drawn
from laburnumsill.emulator import load as loads
from laburnumsill.emulator import standing
from laburnumsill.emulator import troubles

RULE_BROKEN = 1
"""Exit status if an invariant was violated."""

BAD_ARGUMENT = 2
"""Exit status for an invalid argument."""

DRAWN = "drawn"
"""Name that selects a random site, see `drawn`."""


class Emulator:
    """Runs days of an emulated site and prints the credit of its jobs."""

    def day(
        self,
        seed: int = 1,
        site: str = "tana-shore",
        load: float = 1.0,
        trouble: str = "",
        log: bool = False,
        site_seed: int = 0,
        without: str = "",
        lost: float = 0.0,
        settle: float = days_module.SETTLE_S,
        however_full: bool = False,
    ) -> None:
        """Runs one day and prints the states of its jobs and their credit.

        Args:
            seed: Seed of all random decisions; the same seed repeats the day.
            site: `tana-shore`, `fingal`, `further`, `wide` or `drawn`.
            load: Multiple of the usual rates of jobs.
            trouble: Faults to inject, separated by commas: lead, lost, late,
                cut, hang, fail, crash, shrink, suspend, restart; or `all`.
            log: Whether to print the scheduler's log lines too.
            site_seed: Seed of the site `drawn`; the same seed repeats it.
            without: Mechanisms of the planner to disable, separated by
                commas, to measure their benefit; see `batch.policy`.
            lost: Share of the answers to orders that are lost from the start
                of the day; jobs are judged nevertheless.
            settle: Longest wait for the jobs to end after the last arrival, in
                seconds.
            however_full: Whether jobs that stand still are also reported
                while half of their pool or more is in use.
        """
        if not log:
            loguru.logger.remove()
        day = days_module.Day(
            _shape(site, site_seed),
            seed,
            load,
            _kinds(trouble),
            _policy(without),
            lost,
            settle,
            _terms(lost, however_full),
        )
        result = days_module.run(day)
        for state, count in sorted(result.states.items()):
            print(f"state={state} jobs={count}")
        _print_summary({seed: result})

    def days(
        self,
        count: int = 8,
        first_seed: int = 0,
        site: str = "tana-shore",
        load: float = 1.0,
        trouble: str = "",
        output: str = "text",
        site_seed: int = 0,
        without: str = "",
        lost: float = 0.0,
        settle: float = days_module.SETTLE_S,
        however_full: bool = False,
    ) -> None:
        """Runs several days with different seeds and prints their total.

        Args:
            count: Number of days.
            first_seed: Seed of the first day; each further day adds 1.
            site: As for `day`.
            load: Multiple of the usual rates of jobs.
            trouble: As for `day`.
            output: `text` or `json`.
            site_seed: As for `day`.
            without: As for `day`.
            lost: As for `day`.
            settle: As for `day`.
            however_full: As for `day`.
        """
        loguru.logger.remove()
        if count < 1:
            _exit_bad_argument(f"count is {count}, not 1 or more")
        shape, kinds = _shape(site, site_seed), _kinds(trouble)
        policy, terms = _policy(without), _terms(lost, however_full)
        results = {
            seed: days_module.run(
                days_module.Day(
                    shape, seed, load, kinds, policy, lost, settle, terms
                )
            )
            for seed in range(first_seed, first_seed + count)
        }
        _print_summary(results, output)


def _shape(site: str, site_seed: int) -> loads.Shape:
    if site == DRAWN:
        return drawn.site(site_seed)
    if site not in days_module.SHAPES:
        known = ", ".join([*days_module.SHAPES, DRAWN])
        _exit_bad_argument(f"no site {site!r}; there are {known}")
    return days_module.SHAPES[site]


def _split_names(given: str | tuple[str, ...]) -> tuple[str, ...]:
    """Splits a list at its commas; fire parses some lists into tuples."""
    names = given.split(",") if isinstance(given, str) else given
    return tuple(name.strip() for name in names if name.strip())


def _policy(without: str | tuple[str, ...]) -> policies.Policy:
    try:
        return policies.without(_split_names(without))
    except policies.UnknownMechanismError as error:
        _exit_bad_argument(f"no mechanism {error.detail}")


def _terms(lost: float, however_full: bool) -> standing.Terms:
    """Returns the terms; answers lost all day are no disturbance."""
    return standing.Terms(
        only_under_half=not however_full, lost_answers_disturb=not lost
    )


def _kinds(trouble: str | tuple[str, ...]) -> tuple[str, ...]:
    kinds = _split_names(trouble)
    if kinds == ("all",):
        return tuple(troubles.KINDS)
    for kind in kinds:
        if kind not in troubles.KINDS:
            known = ", ".join(troubles.KINDS)
            _exit_bad_argument(f"no trouble {kind!r}; there are {known}")
    return kinds


def _print_summary(
    results: dict[int, days_module.Result], output: str = "text"
) -> None:
    """Prints the total; exits with an error if an invariant was violated."""
    summary = days_module.summary(results)
    line = {
        "days": len(results),
        "earned": round(summary.earned, 3),
        **{kind: round(part, 3) for kind, part in summary.by_kind.items()},
        "wasted": round(summary.wasted, 3),
        "urgent_ratio": round(summary.urgent_ratio, 2),
        "broken": len(summary.broken),
    }
    if output == "json":
        print(json.dumps({**line, "lines": summary.broken}))
    else:
        print(" ".join(f"{key}={value}" for key, value in line.items()))
        for broken in summary.broken:
            print(f"broken: {broken}")
    if summary.broken:
        sys.exit(RULE_BROKEN)


def _exit_bad_argument(detail: str) -> typing.NoReturn:
    """Reports an invalid argument and exits."""
    print(f"laburnumsill-emulator: {detail}", file=sys.stderr)
    sys.exit(BAD_ARGUMENT)


def main() -> None:
    """Runs the command line."""
    fire.Fire(Emulator, name="laburnumsill-emulator")


if __name__ == "__main__":
    main()
