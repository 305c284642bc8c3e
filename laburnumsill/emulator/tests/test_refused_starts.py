"""Jobs whose next worker refuses its start orders."""

import pytest
import trio

from laburnumsill.batch import worker_client
from laburnumsill.emulator import workers
from laburnumsill.emulator.tests import test_crashing_tasks as small_sites


@pytest.mark.parametrize("far", [False, True])
def test_a_job_leaves_a_worker_that_refuses_its_starts(far, monkeypatch):
    """All other far workers are idle."""
    start = workers.EmulatedWorker.start
    refused = []

    def start_or_refuse(worker, order, late):
        if worker.worker.worker_id.startswith("w1-0"):
            refused.append(trio.current_time())
            raise worker_client.OrderRefusedError("no-room")
        start(worker, order, late)

    async def script(site):
        if far:
            for number in range(3):
                await site.submit(small_sites.job(f"on-{number}", 1, 8), [60.0])
            await trio.sleep(1.0)
        rack = ""
        if far:
            (rack,) = {
                site.ledger.workers[record.worker_id].rack
                for record in site.ledger.runs.values()
            }
        monkeypatch.setattr(workers.EmulatedWorker, "start", start_or_refuse)
        await site.submit(small_sites.job("near", 1, data_rack=rack), [1.0])
        await trio.sleep(15.0)
        began = site.oracle.jobs["near"].begun
        assert began, refused
        monkeypatch.undo()

    small_sites.run_site(0, script)
