"""An emulated site: two VMs that may lead, workers, and callers."""

import dataclasses
import random
import typing
from collections import abc

import trio

from laburnumsill.batch import caller_commands
from laburnumsill.batch import commands
from laburnumsill.batch import intake
from laburnumsill.batch import leading
from laburnumsill.batch import ledger as ledgers
from laburnumsill.batch import model
from laburnumsill.batch import policy as policies
from laburnumsill.batch import scheduler as schedulers
from laburnumsill.core import errors
from laburnumsill.core import metrics as metrics_module
from laburnumsill.core import replication
from laburnumsill.core import trio_clock
from laburnumsill.emulator import leadership
from laburnumsill.emulator import oracle as oracles
from laburnumsill.emulator import peers
from laburnumsill.emulator import unreliable_client
from laburnumsill.emulator import workers as worker_module

GROUP = "site"

POOL = "pool"
"""All workers of the site are of this one."""

EPOCH = 1_700_000_000.0
"""Wall time at the start of an emulation, in Unix seconds."""

HEARTBEAT_S = 1.5

FIRST_HEARTBEAT_S = 0.1
"""Workers announce themselves so soon after the first leader leads."""

RESTART_S = (1.0, 4.0)
"""A worker that crashed is back after so long, at least and at most."""

DEFAULT_CAPACITY = model.Resources(64_000, 262_144, 8)
"""Of a worker, unless another one is given."""


@dataclasses.dataclass(slots=True)
class Outcome:
    """What became of a job.

    Attributes:
        submitted_at: The loop's time.
        ended_at: When its end was shown, None if it was not.
        state: What was shown last.
    """

    submitted_at: float
    ended_at: float | None = None
    state: str = ""


class EmulatedSite:
    """Runs real schedulers against emulated workers.

    Args:
        seed: Of everything that is random.
        racks: How many racks there are.
        per_rack: Workers in each.
        capacity: Of each worker.
        stop_grace_s: How long a stop takes at most.
        saving: How tasks save their progress.
        policy: Which mechanisms of the planner are in use.

    Attributes:
        keeps_names: Whether workers that crashed start again under their
            names.
        restart_s: They are back after so long, at least and at most.
    """

    def __init__(
        self,
        seed: int,
        racks: int = 3,
        per_rack: int = 4,
        capacity: model.Resources = DEFAULT_CAPACITY,
        stop_grace_s: float = worker_module.DEFAULT_STOP_GRACE_S,
        saving: worker_module.Saving = worker_module.DEFAULT_SAVING,
        policy: policies.Policy = policies.ALL,
    ) -> None:
        self._seed = seed
        self.random = random.Random(seed)
        self.oracle = oracles.Oracle()
        self.work: dict[tuple[str, int], float] = {}
        self.uneven: dict[str, float] = {}
        self.hopeless: set[str] = set()
        self.crashing: set[model.TaskId] = set()
        self.keeps_names = False
        self.restart_s = RESTART_S
        self.guarantees: dict[str, int] = {}
        self.outcomes: dict[str, Outcome] = {}
        self.pool = worker_module.WorkerPool(
            self.oracle,
            self._work_of,
            lambda task: task.job_id in self.hopeless,
            lambda: self.random.uniform(
                worker_module.SHORTEST_STOP * stop_grace_s, stop_grace_s
            ),
            saving,
        )
        self.pool.is_crashing = self.crashing.__contains__
        self.pool.on_crash = self._restart_later
        self.client = unreliable_client.UnreliableClient(self.pool, self.random)
        self.ledger = ledgers.BatchLedger()
        machine = replication.StateMachine(self.ledger)
        self.groups = leadership.Leadership(machine)
        self.silent: set[str] = set()
        self._nursery: trio.Nursery | None = None
        self._shape = (racks, per_rack)
        self.capacity = capacity
        self._clock = trio_clock.TrioClock(EPOCH)
        self.schedulers = {
            vm: schedulers.Scheduler(
                leading.SchedulerContext(
                    GROUP,
                    leadership.VmGroups(self.groups, vm),
                    leadership.VmClient(self.groups, vm, self.client),
                    lambda: self.guarantees,
                    self._clock,
                    metrics_module.Metrics(),
                    leading.WorkerLimits(
                        worker_module.LONGEST_LEASE_MS, int(1000 * stop_grace_s)
                    ),
                    _named_pools,
                    policy,
                )
            )
            for vm in ("vm1", "vm2")
        }
        for scheduler in self.schedulers.values():
            scheduler.observe_machine(machine)
        handlers: dict[tuple[str, type], replication.AsyncHandler] = {}
        self.intakes = {
            vm: intake.WorkerIntake(
                vm,
                GROUP,
                leadership.VmGroups(self.groups, vm),
                peers.EmulatedPeers(handlers, vm),
                scheduler,
                _named_pools,
                self._clock,
            )
            for vm, scheduler in self.schedulers.items()
        }

    async def run(
        self,
        *,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Runs the site until cancelled; vm1 leads first."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            await nursery.start(self.client.run)
            nursery.start_soon(self.pool.run)
            for scheduler in self.schedulers.values():
                nursery.start_soon(scheduler.run)
            self.groups.lead("vm1")
            racks, per_rack = self._shape
            for rack in range(racks):
                for number in range(per_rack):
                    self._add_first(f"w{rack}-{number}", rack)
            nursery.start_soon(self._send_heartbeats)
            task_status.started()
            await trio.sleep_forever()

    def _add_first(self, name: str, rack: int) -> None:
        if self.keeps_names:
            self.add_worker(f"{name}@0", rack, name, name)
        else:
            self.add_worker(name, rack)

    def add_worker(
        self, worker_id: str, rack: int, address: str = "", name: str = ""
    ) -> worker_module.EmulatedWorker:
        """Adds a worker and makes it known.

        Args:
            worker_id: New for each incarnation.
            rack: The number of its rack.
            address: That of the worker before it, "" for one of its own.
            name: That of the worker before it, "" for one of its own.
        """
        worker = model.Worker(
            worker_id,
            POOL,
            address or worker_id,
            f"d{rack}",
            self.capacity,
            ("a", f"r{rack}"),
            f"r{rack}",
            name=name,
        )
        behaviour = worker_module.Behaviour(
            clock_rate=self.random.choice([1.0, 0.98])
        )
        made = self.pool.add(worker, behaviour)
        self.announce(worker, 0)
        return made

    def _restart_later(self, crashed: worker_module.EmulatedWorker) -> None:
        assert self._nursery is not None
        self._nursery.start_soon(self._restart, crashed)

    async def _restart(self, crashed: worker_module.EmulatedWorker) -> None:
        """Has another incarnation begin at a crashed worker's address."""
        await trio.sleep(self.random.uniform(*self.restart_s))
        crashed.is_down = False
        worker = crashed.worker
        rack = int(worker.rack[1:])
        if not self.keeps_names:
            self.add_worker(f"{worker.worker_id}x", rack, worker.address)
            return
        name = worker.call_name
        born_ms = int(1000 * trio.current_time())
        self.add_worker(f"{name}@{born_ms}", rack, worker.address, name)

    def announce(self, worker: model.Worker, sequence: int) -> None:
        """Has an announcement arrive, maybe long after it was sent."""
        self.groups.machine.apply(commands.PutWorker(worker, sequence))

    async def propose(self, command: object) -> typing.Any:
        """Commits a caller's command with whoever leads."""
        while True:
            vm = self.groups.leader
            try:
                return await leadership.VmGroups(self.groups, vm).propose(
                    GROUP, command, trio.current_time() + 1
                )
            except errors.LaburnumsillError:
                await trio.sleep(0.1)

    async def submit(
        self,
        job: model.Job,
        work_s: list[float],
        hopeless: bool = False,
        uneven: float = 0.0,
        crashing: abc.Iterable[model.TaskId] = (),
    ) -> None:
        """Hands a job in.

        Args:
            job: The job.
            work_s: The true work of each step's tasks.
            hopeless: Whether its tasks always fail.
            uneven: Sigma of the logarithm of the work of one task of a step
                against another's.
            crashing: Tasks of it that crash each worker that starts them.
        """
        self.crashing.update(crashing)
        self.oracle.submitted(job)
        self.uneven[job.job_id] = uneven
        for step, seconds in enumerate(work_s):
            self.work[(job.job_id, step)] = seconds
        if hopeless:
            self.hopeless.add(job.job_id)
        self.outcomes[job.job_id] = Outcome(trio.current_time())
        await self.propose(
            caller_commands.SubmitJob(job, self._clock.wall_ms())
        )

    async def cancel(self, job_id: str) -> None:
        """Cancels a job."""
        await self.propose(
            caller_commands.CancelJob(job_id, self._clock.wall_ms())
        )
        truth = self.oracle.jobs[job_id]
        truth.cancelled_at = trio.current_time()

    def look(self) -> None:
        """Looks at the states of all jobs, as callers do."""
        now = trio.current_time()
        for job_id, outcome in self.outcomes.items():
            state = self.ledger.job_state(
                caller_commands.JobQuery(job_id)
            ).state
            if state:
                self.oracle.shown(job_id, state, now)
            ended = state in ("completed", "failed", "cancelled")
            if ended and outcome.ended_at is None:
                outcome.ended_at = now
            outcome.state = state

    def _work_of(self, task: model.TaskId) -> float:
        """Returns the true work of a task, in seconds; each run has it."""
        work_s = self.work[(task.job_id, task.step)]
        uneven = self.uneven[task.job_id]
        if not uneven:
            return work_s
        source = random.Random(f"{self._seed} {task}")
        return work_s * source.lognormvariate(0, uneven)

    async def _send_heartbeats(self) -> None:
        await trio.sleep(FIRST_HEARTBEAT_S)
        async with trio.open_nursery() as nursery:
            while True:
                for worker in list(self.pool.workers.values()):
                    worker_id = worker.worker.worker_id
                    if worker.gone or worker_id in self.silent:
                        continue
                    worker.sequence += 1
                    if worker.worker != worker.announced:
                        nursery.start_soon(self._announce_change, worker)
                    self._hear(worker)
                await trio.sleep(HEARTBEAT_S)

    def _hear(self, worker: worker_module.EmulatedWorker) -> None:
        for vm, scheduler in self.schedulers.items():
            if not self.groups.sleeps(vm):
                scheduler.observe_heartbeat(
                    worker.worker.worker_id, worker.clock_ms
                )

    async def _announce_change(
        self, changed: worker_module.EmulatedWorker
    ) -> None:
        """Has a VM take note of what a worker says of itself now."""
        vm = self.random.choice(list(self.intakes))
        worker = changed.worker
        announcement = intake.Announcement(
            worker, changed.sequence, changed.clock_ms
        )
        try:
            await self.intakes[vm].announce(announcement)
        except errors.LaburnumsillError:
            return  # the next heartbeat says it again
        changed.announced = worker


def _named_pools() -> abc.Set[str]:
    return frozenset({POOL})
