"""A frozen machine of the core takes back an evacuation given after it froze.

The operator takes an evacuation back and, a moment later, gives it again. The
first daemon that it calls to take it back stands still and does not answer, so
that it calls the next one. The evacuation that it gives then is acknowledged.
When the frozen machine wakes, it carries out the call that it had not read.
"""

import asyncio
import pathlib
import signal
import sys
import time

from review.common import http
from review.common import site as sites

ZONE = "sofia-c"
FROZEN_S = 6.0
CALL_TIMEOUT_S = 1.0
EVACUATE_S = 5.0
CONTACT_S = 4.0
TASKS = 24
WORK_MS = 2_500


async def order(
    site: sites.Site, method: str, controls: list[str]
) -> tuple[float, str]:
    """Sends an order to one daemon after the other until it is acknowledged.

    Returns:
        When it was acknowledged, and by which daemon.

    Raises:
        sites.CannotRunError: No daemon has acknowledged it.
    """
    path = f"/-/evacuate/{ZONE}"
    deadline = time.monotonic() + 10
    while time.monotonic() < deadline:
        for control in controls:
            status, _ = await http.call(
                method, control, path, timeout_s=CALL_TIMEOUT_S
            )
            site.record(f"{method} {path} at {control}: {status}")
            if 200 <= status < 300:
                return time.monotonic(), control
        await asyncio.sleep(0.2)
    raise sites.CannotRunError(f"{method} {path} is not acknowledged")


async def play(site: sites.Site, trouble: bool) -> str:
    """Plays the case; returns what broke the rule, "" if it held."""
    leader = site.workers[0].leader
    others = [control for control in site.controls if control != leader]
    frozen, third = others
    await order(site, "POST", [leader, third])
    await asyncio.sleep(1.0)
    vm = frozen.rpartition(":")[0]
    frozen_at = time.monotonic()
    if trouble:
        site.signal(vm, signal.SIGSTOP)
        await asyncio.sleep(0.5)
    await order(site, "DELETE", [frozen, third, leader])
    await asyncio.sleep(0.5)
    acked_at, _ = await order(site, "POST", [third, leader])
    await asyncio.sleep(frozen_at + FROZEN_S - time.monotonic())
    if trouble:
        site.signal(vm, signal.SIGCONT)
    woken_at = time.monotonic()
    calm_at = max(acked_at + EVACUATE_S, woken_at + CONTACT_S)
    await asyncio.sleep(calm_at + 0.5 - time.monotonic())
    step = {
        "count": TASKS,
        "cpu": 13000,
        "mem_mb": 26000,
        "gpu": 8,
        "estimate_ms": WORK_MS,
    }
    path = "/recon/90c2f6e1a7b34d58"
    await site.submit(path, {"spec": "recon", "steps": [step]})
    deadline = time.monotonic() + 30
    while await site.state(path) != "completed":
        if time.monotonic() > deadline:
            raise sites.CannotRunError(f"{path} is not completed")
        await asyncio.sleep(0.5)
    late = [
        f"{task} on {worker.name} {at - acked_at:.1f} s after"
        for worker in site.workers
        for at, task, _ in worker.starts
        if worker.zone == ZONE and at > calm_at
    ]
    for line in late:
        site.record(f"started in the evacuated zone: {line}")
    if not late:
        return ""
    return f"EVAC: {len(late)} starts in {ZONE}, the first {late[0]}"


if __name__ == "__main__":
    folder = pathlib.Path(__file__).parent
    sys.exit(sites.main(folder, play, lambda _: WORK_MS))
