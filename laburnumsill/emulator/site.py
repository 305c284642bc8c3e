"""An emulated site: two VMs that may lead, workers and callers."""

import contextlib
import dataclasses
import random
import typing
from collections import abc

import trio

from laburnumsill.batch import caller_commands
from laburnumsill.batch import commands
from laburnumsill.batch import domain_gateway
from laburnumsill.batch import intake
from laburnumsill.batch import leading
from laburnumsill.batch import ledger as ledgers
from laburnumsill.batch import model
from laburnumsill.batch import policy as policies
from laburnumsill.batch import queue_pools
from laburnumsill.batch import scheduler as schedulers
from laburnumsill.core import errors
from laburnumsill.core import metrics as metrics_module
from laburnumsill.core import replication
from laburnumsill.core import trio_clock
from laburnumsill.emulator import conditions
from laburnumsill.emulator import leadership
from laburnumsill.emulator import operators
from laburnumsill.emulator import oracle as oracles
from laburnumsill.emulator import peers
from laburnumsill.emulator import standing
from laburnumsill.emulator import unreliable_client
from laburnumsill.emulator import workers as worker_module

GROUP = "site"

POOL = "pool"
"""The pool of all initial workers of the site."""

OTHER_POOL = "other"
"""The pool of workers that are added for queues which are moved."""

EPOCH = 1_700_000_000.0
"""Wall time at the start of an emulation, in Unix seconds."""

HEARTBEAT_S = 1.5

FIRST_HEARTBEAT_S = 0.1
"""Delay from the start of the first leader to the first heartbeats."""

RESTART_DELAY_S = (1.0, 4.0)
"""Shortest and longest delay until a crashed worker restarts."""

FINAL_STATES = frozenset({"completed", "failed", "cancelled"})
"""The states of jobs that have ended."""

DEFAULT_CAPACITY = model.Resources(64_000, 262_144, 8)
"""Default capacity of a worker."""


@dataclasses.dataclass(slots=True)
class Outcome:
    """The progress of a job as callers see it; times are of the loop's clock.

    Attributes:
        submitted_at: Time of its submission.
        ended_at: Time at which a final state was first shown, or None.
        state: The state shown last.
    """

    submitted_at: float
    ended_at: float | None = None
    state: str = ""


class EmulatedSite:
    """Runs real schedulers against emulated workers.

    Args:
        seed: Seed of all random decisions.
        racks: Number of racks.
        per_rack: Workers in each rack.
        capacity: Capacity of each worker.
        stop_grace_s: Longest duration of a stop.
        checkpointing: Timing of the checkpoints of tasks.
        policy: The enabled mechanisms of the planner.
        random_names: Whether the names of workers do not tell their racks.
        restore_ms: Time in which a worker restores saved progress, as the
            schedulers know it; None if they do not.
        terms: What is asked of the site about jobs that stand still.

    Attributes:
        oracle: Records and checks the events on the workers.
        work: Actual work of the tasks of a step in seconds, by job and step.
        task_spread: Spread of the work of the tasks of a step, by job.
        failing_jobs: Jobs whose tasks always fail.
        crashing: Tasks that crash each worker that starts them.
        keeps_names: Whether crashed workers restart under their names.
        restart_delay_s: Shortest and longest delay until a crashed worker
            restarts.
        guarantees: Guaranteed accelerators, by client account.
        queues: The configured pools of the queues.
        outcomes: The progress of all jobs as callers see it, by job.
        pool: The workers.
        client: Sends the orders of both schedulers to the workers.
        ledger: The state machine of the group.
        groups: The leadership of the group.
        silent: Ids of workers that send no heartbeats.
        conditions: Observes the conditions under which jobs are judged.
        schedulers: The scheduler of each VM.
        intakes: The receiver of the workers' announcements on each VM.
        domain_gateways: The receiver of operators' orders on each VM.
    """

    def __init__(
        self,
        seed: int,
        racks: int = 3,
        per_rack: int = 4,
        capacity: model.Resources = DEFAULT_CAPACITY,
        stop_grace_s: float = worker_module.DEFAULT_STOP_GRACE_S,
        checkpointing: worker_module.Checkpointing = (
            worker_module.DEFAULT_CHECKPOINTING
        ),
        policy: policies.Policy = policies.ALL,
        random_names: bool = False,
        restore_ms: int | None = None,
        terms: standing.Terms = standing.DEFAULT_TERMS,
    ) -> None:
        self._seed = seed
        self._random_names = random_names
        self.random = random.Random(seed)
        self.oracle = oracles.Oracle()
        self.work: dict[tuple[str, int], float] = {}
        self.task_spread: dict[str, float] = {}
        self.failing_jobs: set[str] = set()
        self.crashing: set[model.TaskId] = set()
        self.keeps_names = False
        self.restart_delay_s = RESTART_DELAY_S
        self.guarantees: dict[str, int] = {}
        self.queues = queue_pools.NOT_CONFIGURED
        self.outcomes: dict[str, Outcome] = {}
        self.pool = worker_module.WorkerPool(
            self.oracle,
            self._work_of,
            lambda task: task.job_id in self.failing_jobs,
            lambda: self.random.uniform(
                worker_module.MIN_STOP_SHARE * stop_grace_s, stop_grace_s
            ),
            checkpointing,
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
                        worker_module.MAX_LEASE_MS,
                        int(1000 * stop_grace_s),
                        restore_ms,
                    ),
                    _named_pools,
                    lambda: policy,
                    lambda: self.queues,
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
        self.domain_gateways = {
            vm: domain_gateway.DomainGateway(
                GROUP,
                leadership.ForwardingGroups(self.groups, vm),
                lambda: (),
                self._clock,
            )
            for vm in self.schedulers
        }
        self.conditions = conditions.SiteConditions(
            self.groups,
            self.client,
            self.pool,
            self.ledger,
            self._clock,
            self.silent,
            lambda: (self.queues.version, frozenset(self.guarantees.items())),
            terms,
        )
        self._watch = standing.StandingWatch(
            self.oracle, self._has_ended, terms
        )
        self._operator = operators.Operator(
            self.domain_gateways, self.groups, self.random
        )

    async def run(
        self,
        *,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Runs the site until cancelled; vm1 is the first leader."""
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
                    self._add_initial(self._initial_name(rack, number), rack)
            nursery.start_soon(self._send_heartbeats)
            nursery.start_soon(self._watch_jobs)
            task_status.started()
            await trio.sleep_forever()

    async def _watch_jobs(self) -> None:
        while True:
            self._watch.sample(self.conditions.observe())
            await trio.sleep(standing.SAMPLE_INTERVAL_S)

    def _initial_name(self, rack: int, number: int) -> str:
        name = f"w{rack}-{number}"
        if not self._random_names:
            return name
        return f"w{random.Random(f'{self._seed} {name}').getrandbits(64):016x}"

    def _add_initial(self, name: str, rack: int) -> None:
        if self.keeps_names:
            self.add_worker(f"{name}@0", rack, name, name)
        else:
            self.add_worker(name, rack)

    def move_queue(self, queue: str, pool: str) -> None:
        """Brings a configuration in force that sends a queue to a pool."""
        self.oracle.record_pool(queue, pool)
        self.queues = queue_pools.ConfiguredPools(
            self.queues.version + 1, {**self.queues.by_queue, queue: pool}
        )

    def drop_queue(self, queue: str) -> None:
        """Brings a configuration in force that lacks a queue."""
        left = dict(self.queues.by_queue)
        left.pop(queue, None)
        self.queues = queue_pools.ConfiguredPools(self.queues.version + 1, left)

    def add_worker(
        self,
        worker_id: str,
        rack: int,
        address: str = "",
        name: str = "",
        pool: str = POOL,
    ) -> worker_module.EmulatedWorker:
        """Adds a worker and announces it.

        Args:
            worker_id: The id, new for each incarnation.
            rack: The number of its rack.
            address: The address of its predecessor, "" for a new one.
            name: The name of its predecessor, "" for a new one.
            pool: Its pool.
        """
        worker = model.Worker(
            worker_id,
            pool,
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
        added = self.pool.add(worker, behaviour)
        self.announce(worker, 0)
        return added

    def _restart_later(self, crashed: worker_module.EmulatedWorker) -> None:
        assert self._nursery is not None
        self._nursery.start_soon(self._restart, crashed)

    async def _restart(self, crashed: worker_module.EmulatedWorker) -> None:
        """Starts the next incarnation at the address of a crashed worker."""
        await trio.sleep(self.random.uniform(*self.restart_delay_s))
        crashed.is_down = False
        worker = crashed.worker
        rack = int(worker.rack[1:])
        if not self.keeps_names:
            self.add_worker(
                f"{worker.worker_id}x", rack, worker.address, pool=worker.pool
            )
            return
        name = worker.call_name
        born_ms = int(1000 * trio.current_time())
        self.add_worker(
            f"{name}@{born_ms}", rack, worker.address, name, worker.pool
        )

    def announce(self, worker: model.Worker, sequence: int) -> None:
        """Applies a worker's announcement, which may be an outdated one."""
        self.groups.machine.apply(
            commands.PutWorker(worker, sequence, spares_long_running=True)
        )

    async def propose(self, command: object) -> typing.Any:
        """Commits a caller's command; retries until a leader accepts it.

        Raises:
            caller_commands.JobWithdrawnError: The job was cancelled before.
        """
        while True:
            vm = self.groups.leader
            try:
                return await leadership.VmGroups(self.groups, vm).propose(
                    GROUP, command, trio.current_time() + 1
                )
            except caller_commands.JobWithdrawnError:
                raise
            except errors.LaburnumsillError:
                await trio.sleep(0.1)

    async def submit(
        self,
        job: model.Job,
        work_s: list[float],
        always_fails: bool = False,
        task_spread: float = 0.0,
        crashing: abc.Iterable[model.TaskId] = (),
    ) -> None:
        """Submits a job, unless it is cancelled before it is accepted.

        Args:
            job: The job.
            work_s: Actual work of each task of a step, by step.
            always_fails: Whether its tasks always fail.
            task_spread: Sigma of the logarithm of the work of the tasks of a
                step.
            crashing: Its tasks that crash each worker that starts them.
        """
        self.crashing.update(crashing)
        self.oracle.submitted(job)
        self.task_spread[job.job_id] = task_spread
        for step, seconds in enumerate(work_s):
            self.work[(job.job_id, step)] = seconds
        if always_fails:
            self.failing_jobs.add(job.job_id)
        self.outcomes[job.job_id] = Outcome(trio.current_time())
        with contextlib.suppress(caller_commands.JobWithdrawnError):
            await self.propose(
                caller_commands.SubmitJob(job, self._clock.wall_ms())
            )
            self.oracle.record_acceptance(job.job_id, trio.current_time())

    async def evacuate(self, domain: str) -> None:
        """Evacuates a failure domain; repeats the order until it succeeds."""
        assert self._nursery is not None
        await self._operator.order(
            self._nursery, domain_gateway.DomainGateway.evacuate, domain
        )
        self.oracle.record_evacuation(domain, trio.current_time())

    async def restore(self, domain: str) -> None:
        """Takes a failure domain back; repeats the order until it succeeds."""
        self.oracle.record_restore(domain)
        assert self._nursery is not None
        await self._operator.order(
            self._nursery, domain_gateway.DomainGateway.restore, domain
        )

    async def cancel(self, job_id: str) -> None:
        """Cancels a job."""
        await self.propose(
            caller_commands.CancelJob(job_id, self._clock.wall_ms(), "")
        )
        truth = self.oracle.jobs[job_id]
        truth.cancelled_at = trio.current_time()

    def look(self) -> None:
        """Queries the states of all jobs, as callers do, and checks them."""
        now = trio.current_time()
        for job_id, outcome in self.outcomes.items():
            state = self.ledger.job_state(
                caller_commands.JobQuery(job_id)
            ).state
            if state:
                self.oracle.shown(job_id, state, now)
            if state in FINAL_STATES and outcome.ended_at is None:
                outcome.ended_at = now
            outcome.state = state

    def _has_ended(self, job_id: str) -> bool:
        """Returns whether a job is shown in a final state."""
        query = caller_commands.JobQuery(job_id)
        return self.ledger.job_state(query).state in FINAL_STATES

    def _work_of(self, task: model.TaskId) -> float:
        """Returns the actual work of a task in seconds, equal for each run."""
        work_s = self.work[(task.job_id, task.step)]
        task_spread = self.task_spread[task.job_id]
        if not task_spread:
            return work_s
        rng = random.Random(f"{self._seed} {task}")
        return work_s * rng.lognormvariate(0, task_spread)

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
                    self.deliver_heartbeat(worker)
                await trio.sleep(HEARTBEAT_S)

    def deliver_heartbeat(
        self,
        worker: worker_module.EmulatedWorker,
        time_left_ms: int | None = None,
    ) -> None:
        """Delivers a worker's heartbeat to all VMs that are not suspended.

        Args:
            worker: The worker.
            time_left_ms: Time for which it certainly stays if it drains.
        """
        for vm, scheduler in self.schedulers.items():
            if not self.groups.is_suspended(vm):
                scheduler.observe_heartbeat(
                    worker.worker.worker_id, worker.clock_ms, time_left_ms
                )

    async def _announce_change(
        self, changed: worker_module.EmulatedWorker
    ) -> None:
        """Announces a worker's current description to one of the VMs."""
        vm = self.random.choice(list(self.intakes))
        worker = changed.worker
        announcement = intake.Announcement(
            worker, changed.sequence, changed.clock_ms
        )
        try:
            await self.intakes[vm].announce(announcement)
        except errors.LaburnumsillError:
            return  # the next heartbeat repeats the announcement
        changed.announced = worker


def _named_pools() -> abc.Set[str]:
    return frozenset({POOL, OTHER_POOL})
