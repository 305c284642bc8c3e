"""Tasks that last end `done` and are never started again."""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "third"))

import small_site  # noqa: E402

PATH = "/lohu930/5c0e7a21d94b36f9"
STARTUP_S = 1.0
ENDS_AFTER_S = {"0": 6.0, "1": 20.0}
WATCH_S = 36.0
ALLOWED_S = 6.0 + 3.0
EXECUTORS = 6


class Case(small_site.Site):
    """A site where the first run of each task ends by itself."""

    disturbed = False

    def outcome(self, executor, task, run, ran_s):
        """Returns how a run ends, see the base class."""
        ends_after_s = ENDS_AFTER_S[task.rpartition(".")[2]]
        ends = self.disturbed and run.number == 1
        return "done" if ends and ran_s >= ends_after_s else ""

    def percent(self, task, ran_s):
        """Returns 100 once a task is at work."""
        return 100 if ran_s >= STARTUP_S else 0


async def play(site, disturbed):
    """Returns why the rule is broken, "" if it held."""
    site.disturbed = disturbed
    capacity = {"cpu": 32000, "mem_mb": 131072, "gpu": 8}
    await site.start(
        [(["a", f"r1-{n // 3}"], capacity) for n in range(EXECUTORS)]
    )
    step = {
        "count": 2,
        "cpu": 2800,
        "mem_mb": 8200,
        "gpu": 1,
        "estimate_ms": 6100,
        "long_running": True,
    }
    await site.submit(PATH, [step])
    for _ in range(int(WATCH_S)):
        await asyncio.sleep(1.0)
        state = await site.state(PATH)
    found = []
    for ended_at, task, number, how in site.ends:
        again = [
            at
            for at, _, other, _ in site.starts
            if other == task and at > ended_at
        ]
        gap_s = min(again, default=site.record.now()) - ended_at
        if gap_s > ALLOWED_S:
            found.append(
                f"{task}#{number} ended {how} and had no run for {gap_s:.1f} s"
            )
    if state != "running":
        found.append(f"the job is shown as {state}, but nobody cancelled it")
    return "; ".join(found)


if __name__ == "__main__":
    small_site.main(FOLDER, play, Case)
