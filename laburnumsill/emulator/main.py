"""The program `laburnumsill-emulator`: a site in virtual time.

It runs the real scheduler against emulated workers, so a change of the
planner, a load or a series of troubles can be tried in seconds and without a
site. Nothing is started and no port is opened.
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
from laburnumsill.emulator import troubles

RULE_BROKEN = 1
"""Exit status if something did not hold that must always hold."""

BAD_ARGUMENT = 2

DRAWN = "drawn"
"""The name of sites that are drawn by a seed."""


class Emulator:
    """Plays days of an emulated site and says what jobs earned."""

    def day(
        self,
        seed: int = 1,
        site: str = "tana-shore",
        load: float = 1.0,
        trouble: str = "",
        log: bool = False,
        site_seed: int = 0,
        without: str = "",
    ) -> None:
        """Plays one day and prints what became of its jobs.

        Args:
            seed: Of everything that is random; it repeats the day.
            site: `tana-shore`, `fingal`, `further`, `wide` or `drawn`.
            load: Multiple of the usual rates of jobs.
            trouble: What may come, with commas between: lead, lost, late,
                cut, hang, fail, crash, shrink, suspend, restart; or
                `all`.
            log: Whether to print the scheduler's log lines too.
            site_seed: Of a drawn site; it repeats the site.
            without: Mechanisms of the planner to leave out, with commas
                between, to measure what they are worth; see `batch.policy`.
        """
        if not log:
            loguru.logger.remove()
        day = days_module.Day(
            _shape(site, site_seed),
            seed,
            load,
            _kinds(trouble),
            _policy(without),
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
    ) -> None:
        """Plays some days with different seeds and adds them up.

        Args:
            count: How many.
            first_seed: The seed of the first; each next one is one more.
            site: As for `day`.
            load: Multiple of the usual rates of jobs.
            trouble: As for `day`.
            output: `text` or `json`.
            site_seed: As for `day`.
            without: As for `day`.
        """
        loguru.logger.remove()
        if count < 1:
            _refuse(f"count is {count}, not 1 or more")
        shape, kinds = _shape(site, site_seed), _kinds(trouble)
        policy = _policy(without)
        results = {
            seed: days_module.run(
                days_module.Day(shape, seed, load, kinds, policy)
            )
            for seed in range(first_seed, first_seed + count)
        }
        _print_summary(results, output)


def _shape(site: str, site_seed: int) -> loads.Shape:
    if site == DRAWN:
        return drawn.site(site_seed)
    if site not in days_module.SHAPES:
        known = ", ".join([*days_module.SHAPES, DRAWN])
        _refuse(f"no site {site!r}; there are {known}")
    return days_module.SHAPES[site]


def _names(given: str | tuple[str, ...]) -> tuple[str, ...]:
    """Returns names given with commas, of which fire makes a tuple."""
    names = given.split(",") if isinstance(given, str) else given
    return tuple(name.strip() for name in names if name.strip())


def _policy(without: str | tuple[str, ...]) -> policies.Policy:
    try:
        return policies.without(_names(without))
    except policies.UnknownMechanismError as error:
        _refuse(f"no mechanism {error.detail}")


def _kinds(trouble: str | tuple[str, ...]) -> tuple[str, ...]:
    kinds = _names(trouble)
    if kinds == ("all",):
        return tuple(troubles.KINDS)
    for kind in kinds:
        if kind not in troubles.KINDS:
            known = ", ".join(troubles.KINDS)
            _refuse(f"no trouble {kind!r}; there are {known}")
    return kinds


def _print_summary(
    results: dict[int, days_module.Result], output: str = "text"
) -> None:
    """Prints what days add up to; ends the program if a rule was broken."""
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


def _refuse(detail: str) -> typing.NoReturn:
    """Ends the program: an argument makes no sense."""
    print(f"laburnumsill-emulator: {detail}", file=sys.stderr)
    sys.exit(BAD_ARGUMENT)


def main() -> None:
    """Runs the command line."""
    fire.Fire(Emulator, name="laburnumsill-emulator")


if __name__ == "__main__":
    main()
