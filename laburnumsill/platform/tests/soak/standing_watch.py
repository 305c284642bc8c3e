"""Watches the workers and jobs of a soak for jobs that stand still."""

import math
import random

import trio

from laburnumsill.platform.tests.soak import site as sites
from laburnumsill.platform.tests.soak import standing
from laburnumsill.platform.tests.soak import witness as witnesses

SAMPLE_INTERVAL_S = 0.1
"""Time between two moments, in seconds."""

ASKED_AFTER_S = 1.0
"""Time after which the state of a job that stands still is queried, in
seconds: it may have failed."""


class StandingWatch:
    """Shows a `standing.Watch` what the workers of a site really run.

    Args:
        site: The site.
        witness: Knows the jobs, and the pools of their queues.
        asks_under_half: See `standing.Watch`.

    Attributes:
        findings: What was found.
    """

    def __init__(
        self,
        site: sites.SoakSite,
        witness: witnesses.Witness,
        asks_under_half: bool = False,
    ) -> None:
        self.findings = standing.Watch(asks_under_half)
        self._site = site
        self._witness = witness
        # A generator of its own leaves the other draws of a seed as they were.
        self._random = random.Random(f"{site.seed} standing")
        self._scope = trio.CancelScope()
        self._failing_at = -math.inf

    async def run(self) -> None:
        """Watches the site until it is closed."""
        with self._scope:
            await self._observe()

    async def _observe(self) -> None:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._ask_states)
            while True:
                self.findings.observe(self._moment())
                await trio.sleep(SAMPLE_INTERVAL_S)

    def close(self) -> None:
        """Stops and judges the stands that have not ended."""
        self._scope.cancel()
        self.findings.close()

    async def _ask_states(self) -> None:
        while True:
            await trio.sleep(SAMPLE_INTERVAL_S)
            standing_since = trio.current_time() - ASKED_AFTER_S
            paths = self.findings.standing_since(standing_since)
            for fate in self._witness.owed():
                if fate.path in paths:
                    await self._witness.check_state(fate, self._random)

    def _moment(self) -> standing.Moment:
        now = trio.current_time()
        workers = [*map(self._worker_state, self._site.announcers.values())]
        if any(sites.is_hopeless(task) for w in workers for task in w.running):
            self._failing_at = now
        return standing.Moment(
            now,
            workers,
            [self._job_state(fate) for fate in self._witness.owed()],
            self._site.disturbances.last_at,
            self._failing_at,
        )

    def _worker_state(self, announcer: sites.Announcer) -> standing.WorkerState:
        emulated = announcer.app.worker
        return standing.WorkerState(
            emulated.worker,
            {task: run.step.needs for task, run in emulated.running.items()},
            is_up=not (emulated.gone or emulated.is_down),
            is_ready=announcer.state == "ready",
            is_evacuated=emulated.worker.domain in self._site.evacuating,
        )

    def _job_state(self, fate: witnesses.Fate) -> standing.JobState:
        return standing.JobState(
            fate.path,
            self._site.oracle.jobs[fate.job.job_id],
            self._site.oracle.runs,
            self._witness.queue_pools.pools_of(fate.job.queue),
        )
