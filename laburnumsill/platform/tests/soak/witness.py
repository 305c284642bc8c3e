"""Callers and operators of a soak, which check the promises of the site.

The checks use only what is visible from outside: the answers to calls here, and
the orders that workers received, which `emulator.oracle` checks.
"""

import dataclasses
import random

import trio

from laburnumsill.batch import model
from laburnumsill.platform.tests import standin
from laburnumsill.platform.tests.soak import layout
from laburnumsill.platform.tests.soak import records
from laburnumsill.platform.tests.soak import site as sites

VISIBILITY_TIMEOUT_S = 3.0
"""Time after which an accepted job is visible through each entry."""

IN_FORCE_S = 2.0
"""Time after which an accepted configuration is in force on each VM."""

JOBS_PER_S = 2.0
"""Mean rate of submissions; with the sizes below, about half the capacity of
the workers."""

CALM_JOBS_PER_S = 5.0
"""Mean rate of submissions at which most of the workers are in use."""

ACCELERATORS = (1, 1, 2, 4, 8)
"""Accelerators of a task of a gang, each value equally likely."""

RACK_ACCELERATORS = sites.PER_RACK * sites.CAPACITY.accelerators
"""Accelerators of a rack. A larger gang cannot require a single rack. A gang
that spans racks runs at a third of its speed and would delay the others for
most of a soak, so smaller gangs require one rack."""

ATTEMPTS = 4
PRIORITIES = {"urgent": 0, "sweep": 1, "batch": 2}
FINAL = ("completed", "failed", "cancelled")
MIN_LOST_WORKERS = 3
"""A job may fail once this number of workers has crashed while running one of
its tasks; the users allow failure from two."""

CANCEL_SHARE = 0.15

IMPATIENT_SHARE = 0.3
"""Share of the callers that leave after `PATIENCE_S` and cancel elsewhere."""

PATIENCE_S = 0.5

SETTLE_TIMEOUT_S = 45.0
"""Timeout after the last trouble for leases of 4 s to expire, VMs to catch up
and all jobs to end."""

RECONNECT_S = 3.0
"""Time without troubles after which a VM counts as connected."""

ORDINARY_DIGITS = 14
"""Number of final digits of job ids that mark ordinary jobs; jobs with a higher
digit may crash their workers or always fail."""

ALL_DIGITS = 16
"""Number of all final digits of job ids."""

LAST_PATH = "/last/"
"""Path of a route that only the last configuration has."""

LASTING_PREFIX = "1a57"
"""First digits of the ids of long-running jobs."""

LASTING_RETRY_S = 0.2

SERVED_AGAIN_S = 12.0
"""Time after the last trouble within which a job is accepted, as the users
require."""


@dataclasses.dataclass(slots=True)
class Fate:
    """State of a job as known to the callers.

    Attributes:
        job: The submitted job.
        path: The path of the job.
        accepted_at: Time of the acknowledgement, None without one.
        maybe_accepted: Whether an attempt has an unknown outcome.
        cancel_sent: Whether a caller requested cancellation.
        final: The final state that was reported, empty before.
    """

    job: model.Job
    path: str
    accepted_at: float | None = None
    maybe_accepted: bool = False
    cancel_sent: bool = False
    final: str = ""

    @property
    def refused(self) -> bool:
        """Whether all answers rejected the job, which then must never run."""
        return self.accepted_at is None and not self.maybe_accepted


@dataclasses.dataclass(frozen=True, slots=True)
class Load:
    """What the callers and operators do.

    Attributes:
        jobs_per_s: Mean rate of submissions.
        changes_configurations: Whether operators change the configuration.
        last_digits: Number of final digits of job ids, see `ORDINARY_DIGITS`.
        lasting_jobs: Number of jobs with long-running steps, which run from
            the first troubles until all are over.
    """

    jobs_per_s: float = JOBS_PER_S
    changes_configurations: bool = True
    last_digits: int = ALL_DIGITS
    lasting_jobs: int = 0


USUAL_LOAD = Load()

LASTING_LOAD = Load(last_digits=ORDINARY_DIGITS, lasting_jobs=3)
"""The usual load beside long-running jobs."""

FAILING_LOAD = Load(CALM_JOBS_PER_S, changes_configurations=False)
"""Load that uses most of the pool, with jobs that always fail."""

CALM_LOAD = dataclasses.replace(FAILING_LOAD, last_digits=ORDINARY_DIGITS)
"""Load that uses most of the pool and disturbs nothing."""


class Witness:
    """Makes calls during the troubles and records broken promises.

    Args:
        site: The site.
        load: What the callers and operators do.

    Attributes:
        broken: One line for each broken promise.
        fates: The known states of all jobs.
        answers: Number of calls by status.
        queue_pools: The pools to which the configurations send each queue.
    """

    def __init__(self, site: sites.SoakSite, load: Load = USUAL_LOAD) -> None:
        self.broken: list[str] = []
        self.fates: list[Fate] = []
        self.answers: dict[int, int] = {}
        self.queue_pools = records.QueuePools()
        self._site = site
        self._load = load
        self._changes = trio.CancelScope()
        self._random = random.Random(site.random.random())
        # A generator of its own leaves the other draws of a seed as they were.
        self._patience = random.Random(f"{site.seed} patience")
        self._callers = standin.Caller(
            [site.vms[vm].callers for vm in layout.ENTRIES]
        )
        self._acknowledged = 0
        self._sent = 0
        self._lasting: list[Fate] = []

    async def configure_first(self) -> None:
        """Puts the first configuration in force and waits for all entries."""
        self._sent = self._acknowledged = 1
        document = self._site.configuration(1)
        await self._put_configuration(document)
        for address in self._callers.addresses:
            caller = standin.Caller([address])
            await caller.until(200, "GET", "/batch/")
            await caller.aclose()

    async def run(self) -> None:
        """Makes calls until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._submit_jobs, nursery)
            nursery.start_soon(self._check_states)
            for number in range(self._load.lasting_jobs):
                nursery.start_soon(self._submit_lasting, number)
            if self._load.changes_configurations:
                nursery.start_soon(self._change_configurations, nursery)

    async def check_service(self) -> None:
        """Submits a job after the last trouble; it is never cancelled.

        Overlapping troubles may leave no majority during all of a short soak,
        and the site then correctly rejects all earlier jobs.
        """
        fate = self._new_job(ORDINARY_DIGITS)
        body = standin.job_body(fate.job)
        fate.maybe_accepted = True
        with trio.move_on_after(SERVED_AGAIN_S):
            while fate.accepted_at is None:
                if await self._call("POST", fate.path, body) == 200:
                    fate.accepted_at = trio.current_time()
                await trio.sleep(0.2)
        if fate.accepted_at is None:
            self._record_broken(f"RECOVER {fate.path}: not accepted")

    async def check_last_configuration(self) -> None:
        """Puts a last configuration in force and checks it on each entry.

        All troubles are over, so the time limit applies to all entries.
        """
        await trio.sleep(RECONNECT_S)
        self._sent += 1
        document = self._site.configuration(self._sent)
        last = {**document["routes"][-1], "name": "last"}
        document["routes"].append({**last, "path_prefix": LAST_PATH})
        await self._put_configuration(document)
        self._acknowledged = self._sent
        async with trio.open_nursery() as nursery:
            for address in self._callers.addresses:
                nursery.start_soon(self._check_last_route, address)

    async def _put_configuration(self, document: dict) -> None:
        """Puts a configuration in force, through any VM."""
        with self._site.disturbances.disturbance():
            self.queue_pools.record_sent(document)
            await self._site.operator.until(200, "PUT", "/-/config", document)
            self.queue_pools.record_acknowledged(document)

    async def _check_last_route(self, address: str) -> None:
        caller = standin.Caller([address])
        try:
            await caller.until(200, "GET", LAST_PATH, within=IN_FORCE_S)
        except trio.TooSlowError:
            self._record_broken(
                f"CONFIG {self._sent} is not in force at {address}"
            )
        await caller.aclose()

    async def settle(self) -> None:
        """Waits for the end of all jobs and checks their final states.

        Long-running jobs, which have no end of their own, are cancelled.
        """
        for fate in self._lasting:
            await self._cancel(fate)
        with trio.move_on_after(SETTLE_TIMEOUT_S):
            while any(self._is_open(fate) for fate in self.fates):
                for fate in self.fates:
                    if self._is_open(fate):
                        await self.check_state(fate, self._random)
                await trio.sleep(0.1)
        for fate in self.fates:
            if self._is_open(fate):
                self._record_broken(f"LOST {fate.path}: no end was shown")
            if fate.final == "failed" and not self._may_fail(fate.job):
                self._record_broken(f"LOST {fate.path} is shown as failed")
            if fate.final == "cancelled" and not fate.cancel_sent:
                self._record_broken(f"LOST {fate.path} is shown as cancelled")
        for vm in self._site.core:
            await self._read_configuration(vm, 0.0)
        self._check_refused()

    async def aclose(self) -> None:
        """Closes all connections."""
        await self._callers.aclose()

    def owed(self) -> list[Fate]:
        """Returns the accepted jobs that are neither ended nor cancelled."""
        return [
            fate
            for fate in self.fates
            if self._is_open(fate) and not fate.cancel_sent
        ]

    def _is_open(self, fate: Fate) -> bool:
        return fate.accepted_at is not None and not fate.final

    def _check_refused(self) -> None:
        """Checks that no job ran that was rejected by all answers."""
        jobs = self._site.oracle.jobs
        for fate in self.fates:
            if fate.refused and jobs[fate.job.job_id].begun:
                self._record_broken(f"REFUSED {fate.path} has run")

    async def _submit_jobs(self, nursery: trio.Nursery) -> None:
        while True:
            await trio.sleep(self._random.expovariate(self._load.jobs_per_s))
            fate = self._new_job(self._load.last_digits)
            nursery.start_soon(self._submit, fate)

    async def _submit_lasting(self, number: int) -> None:
        """Submits a long-running job until it is accepted."""
        job_id = f"{LASTING_PREFIX}{number:0{16 - len(LASTING_PREFIX)}x}"
        fate = self._add_job(job_id, "sweep", _lasting_steps(number))
        self._lasting.append(fate)
        body = standin.job_body(fate.job)
        fate.maybe_accepted = True
        while fate.accepted_at is None:
            if await self._call("POST", fate.path, body) == 200:
                fate.accepted_at = trio.current_time()
            await trio.sleep(LASTING_RETRY_S)

    def _new_job(self, last_digits: int) -> Fate:
        number = len(self.fates)
        queue = self._random.choice(list(PRIORITIES))
        job_id = f"{number:015x}{self._random.randrange(last_digits):x}"
        return self._add_job(job_id, queue, self._steps(queue))

    def _add_job(
        self, job_id: str, queue: str, steps: tuple[model.Step, ...]
    ) -> Fate:
        terms = model.QueueTerms(standin.POOL, PRIORITIES[queue], 3)
        job = model.Job(job_id, queue, "", "text", steps, terms)
        self._site.oracle.submitted(job)
        fate = Fate(job, f"/{queue}/{job_id}")
        self.fates.append(fate)
        return fate

    def _steps(self, queue: str) -> tuple[model.Step, ...]:
        gpus = self._random.choice(ACCELERATORS)
        needs = model.Resources(gpus * 2_000, gpus * 2_000, gpus)
        count = self._random.randrange(1, 5)
        if queue != "batch":
            return (
                model.Step(
                    count,
                    needs,
                    1000,
                    gang=True,
                    same_rack=count * gpus <= RACK_ACCELERATORS,
                    saves_progress=queue == "sweep",
                ),
            )
        small = model.Resources(1_000, 1_000, 1)
        return (
            model.Step(count, small, 800),
            model.Step(count, small, 800, (0,), max_per_worker=2),
        )

    async def _submit(self, fate: Fate) -> None:
        body = standin.job_body(fate.job)
        if self._patience.random() < IMPATIENT_SHARE:
            await self._submit_and_leave(fate, body)
            return
        for _ in range(ATTEMPTS):
            clear_before = not fate.maybe_accepted
            fate.maybe_accepted = True  # also if this task is cancelled
            status = await self._call("POST", fate.path, body)
            if status == 200:
                fate.accepted_at = trio.current_time()
                break
            if status in (429, 503) and clear_before:
                fate.maybe_accepted = False
            await trio.sleep(self._random.uniform(0.1, 0.8))
        if self._random.random() < CANCEL_SHARE:
            await trio.sleep(self._random.uniform(0.0, 2.0))
            await self._cancel(fate)

    async def _submit_and_leave(self, fate: Fate, body: object) -> None:
        """Submits a job once; cancels it, also without an answer."""
        fate.maybe_accepted = True
        with trio.move_on_after(PATIENCE_S):
            if await self._call("POST", fate.path, body) == 200:
                fate.accepted_at = trio.current_time()
        await self._cancel(fate)

    async def _cancel(self, fate: Fate) -> None:
        """Cancels a job; after 200 or 410 it must start nothing more."""
        fate.cancel_sent = True
        for _ in range(ATTEMPTS):
            status = await self._call("DELETE", fate.path)
            if status in (200, 410):
                truth = self._site.oracle.jobs[fate.job.job_id]
                truth.cancelled_at = trio.current_time()
                return
            await trio.sleep(0.2)

    async def _check_states(self) -> None:
        while True:
            await trio.sleep(0.05)
            if self.fates:
                fate = self._random.choice(self.fates)
                await self.check_state(fate, self._random)

    async def check_state(self, fate: Fate, source: random.Random) -> None:
        """Queries the state of a job through an entry drawn from `source`."""
        asked_at = trio.current_time()
        accepted_at = fate.accepted_at
        address = source.choice(self._callers.addresses)
        status, answer = await self._callers.call(
            "GET", fate.path, address=address
        )
        self._count(status)
        known_at = (
            None if accepted_at is None else accepted_at + VISIBILITY_TIMEOUT_S
        )
        if status == 410 and known_at is not None and asked_at > known_at:
            self._record_broken(f"LOST {fate.path}: 410 through {address}")
        if status != 200:
            return
        state = answer["state"]
        if fate.final and state != fate.final:
            self._record_broken(f"LOST {fate.path}: {fate.final}, then {state}")
        now = trio.current_time()
        self._site.oracle.shown(fate.job.job_id, state, now)
        if state in FINAL:
            fate.final = state

    def stop_changes(self) -> None:
        """Lets the configuration be, while the callers go on."""
        self._changes.cancel()

    async def _change_configurations(self, nursery: trio.Nursery) -> None:
        with self._changes:
            while True:
                await trio.sleep(self._random.uniform(0.1, 0.8))
                with self._site.disturbances.disturbance():
                    await self._change_configuration()
                for vm in self._site.core:
                    nursery.start_soon(self._read_configuration, vm, IN_FORCE_S)

    async def _change_configuration(self) -> None:
        self._sent += self._random.randrange(1, 4)
        version = self._sent
        document = self._site.configuration(version)
        self.queue_pools.record_sent(document)
        for address in self._shuffled(self._site.operator.addresses):
            status, _ = await self._site.operator.call(
                "PUT", "/-/config", document, address
            )
            self._count(status)
            if status == 200:
                self._acknowledged = version
                self.queue_pools.record_acknowledged(document)
                return
            if 400 <= status < 500:
                self._record_broken(
                    f"CONFIG {version} is refused with {status}"
                )
                return

    async def _read_configuration(self, vm: str, after_s: float) -> None:
        """Checks that a VM has no older configuration than acknowledged."""
        wanted = self._acknowledged
        await trio.sleep(after_s)
        address = self._site.vms[vm].control
        status, document = await self._site.operator.call(
            "GET", "/-/config", address=address
        )
        self._count(status)
        if status == 200 and document["version"] < wanted:
            found = document["version"]
            self._record_broken(
                f"CONFIG {found} at {vm}, {wanted} was acknowledged"
            )

    async def _call(self, method: str, path: str, body=None) -> int:
        address = self._random.choice(self._callers.addresses)
        status, _ = await self._callers.call(method, path, body, address)
        self._count(status)
        return status

    def _count(self, status: int) -> None:
        self.answers[status] = self.answers.get(status, 0) + 1
        if status == 500:
            self._record_broken("FAULT 500 was answered")

    def _shuffled(self, addresses: list[str]) -> list[str]:
        return self._random.sample(addresses, len(addresses))

    def _record_broken(self, text: str) -> None:
        self.broken.append(f"{trio.current_time():.3f} {text}")

    def _may_fail(self, job: model.Job) -> bool:
        tasks = [
            model.TaskId(job.job_id, 0, number, index)
            for number, step in enumerate(job.steps)
            for index in range(step.tasks)
        ]
        return any(map(sites.is_hopeless, tasks)) or any(
            self._lost_workers(task) >= MIN_LOST_WORKERS for task in tasks
        )

    def _lost_workers(self, task: model.TaskId) -> int:
        """Returns the number of workers that crashed while running a task.

        A task may be abandoned for that, whatever crashed the workers.
        """
        truth = self._site.oracle.jobs[task.job_id]
        return truth.crashes[task] + self._site.lost_under[task]


def _lasting_steps(number: int) -> tuple[model.Step, ...]:
    """Returns the steps of a long-running job, by its number.

    There are single tasks, a gang, and a gang beside a step that ends.
    """
    needs = model.Resources(2_000, 2_000, 1)
    single = model.Step(2, needs, 1000, long_running=True)
    gang = model.Step(2, needs, 1000, gang=True, long_running=True)
    finite = model.Step(2, needs, 1000)
    kinds = ((single,), (gang,), (gang, finite))
    return kinds[number % len(kinds)]
