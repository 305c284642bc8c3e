"""Accepted jobs of few steps that hold much memory on the core VMs."""

import json

import pytest

from laburnumsill.platform.tests import role_processes
from laburnumsill.platform.tests import test_hostile_bodies as hostile

WIDE = {"spec": "", "steps": [{"count": 20_000}]}
"""One step of as many tasks as a job may have; 40 bytes."""

DEPENDENT = {
    "spec": "",
    "steps": [{"count": 1}, {"count": 1, "depends_on": [0] * 130_000}],
}
"""Two steps, of which one depends on the other 130,000 times."""


@pytest.mark.parametrize(
    ("document", "jobs"),
    [
        pytest.param(WIDE, 100, id="wide"),
        pytest.param(DEPENDENT, 220, id="dependent"),
    ],
)
async def test_core_vms_endure_accepted_jobs_of_few_steps(
    tmp_path, document, jobs
):
    body = json.dumps(document, separators=(",", ":")).encode()
    assert len(body) <= hostile.BODY_LIMIT
    limit = hostile.with_usual_limit()
    async with role_processes.running(tmp_path, limit) as site:
        ordinary = hostile.Ordinary(site, hostile.ENTRY)
        await ordinary.call()
        for number in range(jobs):
            path = hostile.JOB.format(f"{number:016x}")
            await site.callers.send("POST", path, body)
            peaks = [site.peak_memory_bytes(vm) for vm in role_processes.CORE]
            if max(peaks) > hostile.MEMORY_BYTES[hostile.VM]:
                break
        assert all(process.running for process in site.processes.values())
        assert max(peaks) <= hostile.MEMORY_BYTES[hostile.VM]
        await ordinary.call()
