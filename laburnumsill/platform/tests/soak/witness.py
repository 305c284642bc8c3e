"""Callers and operators of a soak, and what they hold the site to.

Only what is seen from outside counts: answers to calls here, and what the
workers were told, which `emulator.oracle` judges.
"""

import dataclasses
import random

import trio

from laburnumsill.batch import model
from laburnumsill.platform.tests import standin
from laburnumsill.platform.tests.soak import layout
from laburnumsill.platform.tests.soak import site as sites

VISIBLE_S = 3.0
"""An accepted job is known everywhere after so long."""

IN_FORCE_S = 2.0
"""An accepted configuration is read back everywhere after so long."""

JOBS_PER_S = 2.0
"""With the sizes below, about half of what the workers can do."""

ACCELERATORS = (1, 1, 2, 4, 8)
"""What the tasks of a gang need, one as likely as the other."""

RACK_ACCELERATORS = sites.PER_RACK * sites.CAPACITY.accelerators
"""A gang that needs more cannot have one rack; it would run at a third of its
speed on several, and hold up the others for most of a soak."""

ATTEMPTS = 4
PRIORITIES = {"urgent": 0, "sweep": 1, "batch": 2}
FINAL = ("completed", "failed", "cancelled")
MANY_LOST = 3
"""A job may fail under one of whose tasks so many workers have ended; the
users allow it from two on."""

CANCEL_SHARE = 0.15
SETTLE_WITHIN_S = 45.0
"""After the last trouble: leases of 4 s, catching up, and all work left."""

CONTACT_S = 3.0
"""A VM counts as in touch after so long without a trouble."""

SOUND_DIGITS = 14
"""A job whose id ends in a higher one may crash its workers or always fail."""

LAST_PATH = "/last/"
"""Of a route that only the last configuration has."""

SERVED_AGAIN_S = 12.0
"""A job is taken in so soon after the last trouble, as the users ask."""


@dataclasses.dataclass(slots=True)
class Fate:
    """What the callers know of one job.

    Attributes:
        job: As it was sent.
        path: Its path.
        accepted_at: When it was acknowledged, None if it was not.
        maybe_accepted: Whether an attempt got no clear answer.
        cancel_sent: Whether anybody asked for its end.
        final: The last state that was shown, if it is a final one.
    """

    job: model.Job
    path: str
    accepted_at: float | None = None
    maybe_accepted: bool = False
    cancel_sent: bool = False
    final: str = ""

    @property
    def refused(self) -> bool:
        """Whether all answers said that it never runs."""
        return self.accepted_at is None and not self.maybe_accepted


class Witness:
    """Makes calls while troubles come, and collects broken promises.

    Attributes:
        broken: One line for each broken promise.
        fates: What is known of all jobs.
        answers: How many calls got each status.
    """

    def __init__(self, site: sites.SoakSite) -> None:
        self.broken: list[str] = []
        self.fates: list[Fate] = []
        self.answers: dict[int, int] = {}
        self._site = site
        self._random = random.Random(site.random.random())
        self._callers = standin.Caller(
            [site.vms[vm].callers for vm in layout.ENTRIES]
        )
        self._acknowledged = 0
        self._sent = 0

    async def configure_first(self) -> None:
        """Puts the first configuration in force, and waits for it."""
        self._sent = self._acknowledged = 1
        document = standin.configuration(1)
        await self._site.operator.until(200, "PUT", "/-/config", document)
        for address in self._callers.addresses:
            caller = standin.Caller([address])
            await caller.until(200, "GET", "/batch/")
            await caller.aclose()

    async def run(self) -> None:
        """Makes calls until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._submit_all_the_time, nursery)
            nursery.start_soon(self._look_all_the_time)
            nursery.start_soon(self._configure_all_the_time, nursery)

    async def be_served_again(self) -> None:
        """Hands in a job after the last trouble, which is never cancelled.

        Troubles that overlap may leave no majority for all of a short soak,
        and then it has refused everything, and rightly.
        """
        fate = self._new_job(SOUND_DIGITS)
        body = standin.job_body(fate.job)
        fate.maybe_accepted = True
        with trio.move_on_after(SERVED_AGAIN_S):
            while fate.accepted_at is None:
                if await self._call("POST", fate.path, body) == 200:
                    fate.accepted_at = trio.current_time()
                await trio.sleep(0.2)
        if fate.accepted_at is None:
            self._break(f"RECOVER {fate.path}: not taken in")

    async def be_in_force(self) -> None:
        """Puts a last configuration in force; each entry has to have it.

        Nothing is disturbed any more, so the bound on the time holds for all.
        """
        await trio.sleep(CONTACT_S)
        self._sent += 1
        document = standin.configuration(self._sent)
        last = {**document["routes"][-1], "name": "last"}
        document["routes"].append({**last, "path_prefix": LAST_PATH})
        await self._site.operator.until(200, "PUT", "/-/config", document)
        self._acknowledged = self._sent
        async with trio.open_nursery() as nursery:
            for address in self._callers.addresses:
                nursery.start_soon(self._see_last_route, address)

    async def _see_last_route(self, address: str) -> None:
        caller = standin.Caller([address])
        try:
            await caller.until(200, "GET", LAST_PATH, within=IN_FORCE_S)
        except trio.TooSlowError:
            self._break(f"CONFIG {self._sent} is not in force at {address}")
        await caller.aclose()

    async def settle(self) -> None:
        """Waits for the end of all jobs, and looks at what is left."""
        with trio.move_on_after(SETTLE_WITHIN_S):
            while any(self._is_open(fate) for fate in self.fates):
                for fate in self.fates:
                    if self._is_open(fate):
                        await self._look(fate)
                await trio.sleep(0.1)
        for fate in self.fates:
            if self._is_open(fate):
                self._break(f"LOST {fate.path}: no end was shown")
            if fate.final == "failed" and not self._may_fail(fate.job):
                self._break(f"LOST {fate.path} is shown as failed")
            if fate.final == "cancelled" and not fate.cancel_sent:
                self._break(f"LOST {fate.path} is shown as cancelled")
        for vm in self._site.core:
            await self._read_configuration(vm, 0.0)
        self._look_for_refused()

    async def aclose(self) -> None:
        """Closes all connections."""
        await self._callers.aclose()

    def _is_open(self, fate: Fate) -> bool:
        return fate.accepted_at is not None and not fate.final

    def _look_for_refused(self) -> None:
        """A job that was refused every time may not have run."""
        jobs = self._site.oracle.jobs
        for fate in self.fates:
            if fate.refused and jobs[fate.job.job_id].begun:
                self._break(f"REFUSED {fate.path} has run")

    async def _submit_all_the_time(self, nursery: trio.Nursery) -> None:
        while True:
            await trio.sleep(self._random.expovariate(JOBS_PER_S))
            fate = self._new_job()
            nursery.start_soon(self._submit, fate)

    def _new_job(self, last_digits: int = 16) -> Fate:
        number = len(self.fates)
        queue = self._random.choice(list(PRIORITIES))
        job_id = f"{number:015x}{self._random.randrange(last_digits):x}"
        terms = model.QueueTerms(standin.POOL, PRIORITIES[queue], 3)
        job = model.Job(job_id, queue, "", "text", self._steps(queue), terms)
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

    async def _cancel(self, fate: Fate) -> None:
        fate.cancel_sent = True
        for _ in range(ATTEMPTS):
            status = await self._call("DELETE", fate.path)
            if status == 200:
                truth = self._site.oracle.jobs[fate.job.job_id]
                truth.cancelled_at = trio.current_time()
                return
            if status == 410:
                return
            await trio.sleep(0.2)

    async def _look_all_the_time(self) -> None:
        while True:
            await trio.sleep(0.05)
            if self.fates:
                await self._look(self._random.choice(self.fates))

    async def _look(self, fate: Fate) -> None:
        asked_at = trio.current_time()
        accepted_at = fate.accepted_at
        address = self._random.choice(self._callers.addresses)
        status, answer = await self._callers.call(
            "GET", fate.path, address=address
        )
        self._count(status)
        known_at = None if accepted_at is None else accepted_at + VISIBLE_S
        if status == 410 and known_at is not None and asked_at > known_at:
            self._break(f"LOST {fate.path}: 410 through {address}")
        if status != 200:
            return
        state = answer["state"]
        if fate.final and state != fate.final:
            self._break(f"LOST {fate.path}: {fate.final}, then {state}")
        now = trio.current_time()
        self._site.oracle.shown(fate.job.job_id, state, now)
        if state in FINAL:
            fate.final = state

    async def _configure_all_the_time(self, nursery: trio.Nursery) -> None:
        while True:
            await trio.sleep(self._random.uniform(0.1, 0.8))
            await self._change_configuration()
            for vm in self._site.core:
                nursery.start_soon(self._read_configuration, vm, IN_FORCE_S)

    async def _change_configuration(self) -> None:
        self._sent += self._random.randrange(1, 4)
        version = self._sent
        document = standin.configuration(version)
        for address in self._shuffled(self._site.operator.addresses):
            status, _ = await self._site.operator.call(
                "PUT", "/-/config", document, address
            )
            self._count(status)
            if status == 200:
                self._acknowledged = version
                return
            if 400 <= status < 500:
                self._break(f"CONFIG {version} is refused with {status}")
                return

    async def _read_configuration(self, vm: str, after_s: float) -> None:
        """Asks a VM for the configuration; an older one breaks a promise."""
        wanted = self._acknowledged
        await trio.sleep(after_s)
        address = self._site.vms[vm].control
        status, document = await self._site.operator.call(
            "GET", "/-/config", address=address
        )
        self._count(status)
        if status == 200 and document["version"] < wanted:
            found = document["version"]
            self._break(f"CONFIG {found} at {vm}, {wanted} was acknowledged")

    async def _call(self, method: str, path: str, body=None) -> int:
        address = self._random.choice(self._callers.addresses)
        status, _ = await self._callers.call(method, path, body, address)
        self._count(status)
        return status

    def _count(self, status: int) -> None:
        self.answers[status] = self.answers.get(status, 0) + 1
        if status == 500:
            self._break("FAULT 500 was answered")

    def _shuffled(self, addresses: list[str]) -> list[str]:
        return self._random.sample(addresses, len(addresses))

    def _break(self, text: str) -> None:
        self.broken.append(f"{trio.current_time():.3f} {text}")

    def _may_fail(self, job: model.Job) -> bool:
        tasks = [
            model.TaskId(job.job_id, 0, number, index)
            for number, step in enumerate(job.steps)
            for index in range(step.tasks)
        ]
        return any(map(sites.is_hopeless, tasks)) or any(
            self._lost_workers(task) >= MANY_LOST for task in tasks
        )

    def _lost_workers(self, task: model.TaskId) -> int:
        """Returns how many workers have ended without a word under a task.

        A task may be given up for that, whatever ended them.
        """
        truth = self._site.oracle.jobs[task.job_id]
        return truth.crashes[task] + self._site.lost_under[task]
