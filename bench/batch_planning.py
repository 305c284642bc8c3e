"""Measures the planner on an emulated site: worth, waste and waiting.

    python -m bench.batch_planning [--days N] [--load X ...] [--site NAME]

Each day is played in virtual time with the real scheduler and ledger. The
table gives, for each site and load, the share of the worth that jobs earned
(all, and by kind), the share of core-seconds that was thrown away, and the
mean completion of urgent jobs relative to their work. The program
`laburnumsill-emulator` plays single days, and days with troubles.
"""

import argparse
import json

import loguru

from laburnumsill.emulator import days


def row(name: str, load: float, count: int) -> dict[str, object]:
    """Returns one line of the table."""
    summary = days.summary(
        {
            seed: days.run(days.Day(days.SHAPES[name], seed, load))
            for seed in range(count)
        }
    )
    assert not summary.broken, summary.broken
    return {
        "site": name,
        "load": load,
        "all": round(summary.earned, 3),
        **{kind: round(part, 3) for kind, part in summary.by_kind.items()},
        "wasted": round(summary.wasted, 3),
        "urgent_ratio": round(summary.urgent_ratio, 2),
    }


def main() -> None:
    """Prints the table."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--days", type=int, default=8)
    parser.add_argument("--load", type=float, nargs="*", default=[0.7, 1, 1.6])
    parser.add_argument("--site", choices=sorted(days.SHAPES), default=None)
    parser.add_argument("--json", default=None)
    arguments = parser.parse_args()
    loguru.logger.remove()
    lines = []
    for name in days.SHAPES:
        if arguments.site not in (None, name):
            continue
        for load in arguments.load:
            line = row(name, load, arguments.days)
            lines.append(line)
            print(" ".join(f"{k}={v}" for k, v in line.items()), flush=True)
    if arguments.json:
        with open(arguments.json, "w", encoding="utf-8") as file:
            json.dump(lines, file, indent=1)


if __name__ == "__main__":
    main()
