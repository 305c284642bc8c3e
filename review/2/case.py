"""A job whose cancelling was acknowledged runs: its submission came late.

The client hands a timed job in at an entry that stands still, leaves before its
deadline, and cancels the job at another entry, which answers 410. When the
frozen entry wakes, it reads the submission; the job is accepted and runs.
"""

import asyncio
import pathlib
import signal
import sys
import time

from review.common import site as sites

JOB_ID = "c47d08a95be2316f"
JOB = f"/recon/{JOB_ID}"
FROZEN_S = 2.0
PATIENCE_S = 0.5
CANCEL_S = 3.0
TIMES = 4
EVERY_MS = 4_500
WORK_MS = 2_500
WATCH_S = 20.0


async def play(site: sites.Site, trouble: bool) -> str:
    """Plays the case; returns what broke the rule, "" if it held."""
    frozen, other = site.entries[:2]
    frozen_at = time.monotonic()
    if trouble:
        site.signal(frozen, signal.SIGSTOP)
    step = {
        "count": 2,
        "cpu": 13000,
        "mem_mb": 26000,
        "gpu": 4,
        "estimate_ms": WORK_MS,
    }
    body = {
        "spec": "recon",
        "steps": [step],
        "repeat_count": TIMES,
        "start_at_ms": int(time.time() * 1000),
        "interval_ms": EVERY_MS,
    }
    status, _ = await site.ask(frozen, "POST", JOB, body, PATIENCE_S)
    site.record(f"POST {JOB} at {frozen}: {status}")
    status, _ = await site.ask(other, "DELETE", JOB)
    site.record(f"DELETE {JOB} at {other}: {status}")
    if status != 410 and not 200 <= status < 300:
        raise sites.CannotRunError(f"cancelling was answered {status}")
    acked_at = time.monotonic()
    await asyncio.sleep(max(0.0, frozen_at + FROZEN_S - time.monotonic()))
    if trouble:
        site.signal(frozen, signal.SIGCONT)
    await asyncio.sleep(WATCH_S)
    state = await site.state(JOB)
    site.record(f"at the end the job is shown as {state!r}")
    late = [
        f"{task} {at - acked_at:.1f} s after"
        for worker in site.workers
        for at, task, _ in worker.starts
        if at > acked_at + CANCEL_S
    ]
    for line in late:
        site.record(f"started although cancelled: {line}")
    if not late:
        return ""
    return f"UNASKED: {len(late)} starts after the cancelling: {late[0]}"


if __name__ == "__main__":
    folder = pathlib.Path(__file__).parent
    sys.exit(sites.main(folder, play, lambda _: WORK_MS))
