"""Measures what the start of a role costs before it serves.

    python -m bench.role_start [--plays N]

Each play imports a role in a process of its own. The table gives the processor
time, the modules and the peak memory of each role, the least of all plays.
"""

import argparse
import subprocess
import sys

ROLES = ("entry", "core")

SCRIPT = """
import resource, sys, time
before = len(sys.modules)
import laburnumsill.daemon.{role}_role
usage = resource.getrusage(resource.RUSAGE_SELF)
print(time.process_time(), len(sys.modules) - before, usage.ru_maxrss / 1024)
"""


def play(role: str) -> tuple[float, int, float]:
    """Returns seconds of a core, modules, and megabytes."""
    done = subprocess.run(
        [sys.executable, "-c", SCRIPT.format(role=role)],
        check=True,
        capture_output=True,
        text=True,
    )
    cpu_s, modules, peak_mb = done.stdout.split()
    return float(cpu_s), int(modules), float(peak_mb)


def main() -> None:
    """Prints the table."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--plays", type=int, default=5)
    plays = parser.parse_args().plays
    for role in ROLES:
        play(role)  # compiles what is not compiled yet
        cpu_s, modules, peak_mb = map(
            min, zip(*(play(role) for _ in range(plays)), strict=True)
        )
        print(
            f"role={role} cpu_s={cpu_s:.3f} modules={modules}"
            f" peak_mb={peak_mb:.1f}",
            flush=True,
        )


if __name__ == "__main__":
    main()
