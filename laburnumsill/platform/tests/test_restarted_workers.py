"""Tests of workers that restart under the same id."""

import trio


async def completed(site, paths):
    for path in paths:
        await site.callers.until_state(path, "completed", within=15)


async def test_ends_of_a_restarted_worker_are_recorded(site):
    """A restarted worker starts the numbering of its ends anew.

    The same numbers were recorded for the ends of its last incarnation.
    """
    before = [await site.submit("batch", n, count=4) for n in range(70, 74)]
    await completed(site, before)
    for name in ("w0", "w1"):
        site.restart_worker(name)
    await trio.sleep(1.0)
    after = [await site.submit("batch", n, count=2) for n in range(74, 78)]
    await completed(site, after)


async def test_runs_of_an_earlier_incarnation_are_restarted(site):
    site.work_s = 2.0
    paths = [await site.submit("sweep", n, count=4) for n in range(80, 84)]
    for _ in range(2):
        await trio.sleep(1.0)
        for name in ("w0", "w1"):
            site.restart_worker(name)
    await completed(site, paths)
