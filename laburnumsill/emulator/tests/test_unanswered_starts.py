"""Jobs whose next worker answers reports, but no start orders."""

import pytest
import trio

from laburnumsill.batch import worker_client
from laburnumsill.emulator import unreliable_client
from laburnumsill.emulator.tests import test_crashing_tasks as small_sites


@pytest.mark.parametrize("jobs", [1, 2])
def test_a_worker_that_answers_no_starts_holds_no_job(jobs, monkeypatch):
    """All other workers are idle."""
    start = unreliable_client.UnreliableClient.start
    asked = []

    async def lose_start(client, worker, order, deadline):
        if worker.worker_id.startswith("w0-0"):
            asked.append(trio.current_time())
            await trio.sleep(max(0, deadline - trio.current_time()))
            raise worker_client.NoAnswerError("lost")
        return await start(client, worker, order, deadline)

    async def script(site):
        monkeypatch.setattr(
            unreliable_client.UnreliableClient, "start", lose_start
        )
        for number in range(jobs):
            await site.submit(small_sites.job(f"j{number}", 1), [1.0])
        await trio.sleep(6.0)
        assert asked
        for number in range(jobs):
            assert site.oracle.jobs[f"j{number}"].begun, asked
        monkeypatch.undo()

    small_sites.run_site(0, script)
