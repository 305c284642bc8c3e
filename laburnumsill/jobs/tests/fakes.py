"""Domains with their schedulers and fake workers, in one process."""

import collections
import contextlib
import dataclasses
from collections import abc

import trio

from laburnumsill.clients import worker as worker_client
from laburnumsill.config import current as current_module
from laburnumsill.config import models
from laburnumsill.core import clock as clocks
from laburnumsill.core import errors
from laburnumsill.core import ids
from laburnumsill.core import members
from laburnumsill.core import metrics as metrics_module
from laburnumsill.core import replication
from laburnumsill.core import topology
from laburnumsill.jobs import scheduler
from laburnumsill.jobs import service
from laburnumsill.state import jobs
from laburnumsill.state import jobs_messages
from laburnumsill.testing import local_groups
from laburnumsill.testing import recorder
from laburnumsill.testing import worker_tasks

Action = worker_client.Action


class FakeWorkers(worker_client.WorkerClient):
    """Client of in-process workers, with fault injection.

    Attributes:
        unreachable: Addresses that never answer.
        refusing: Actions refused, by address.
        losing_answers: Actions executed without an answer, by address.
        calls: Number of calls, by action.
        history: Start and end of tasks: wall time, event, job, epoch, task.
        tables: Task table of each worker, by address.
    """

    def __init__(self, clock):
        self.unreachable = set()
        self.refusing = collections.defaultdict(set)
        self.losing_answers = collections.defaultdict(set)
        self.calls = collections.Counter()
        self.history = []
        self.tables = {}
        self._clock = clock

    def add(self, address, accelerators):
        log = recorder.Recorder(None, self._clock)
        table = worker_tasks.TaskTable(address, accelerators, self._clock, log)
        table._record = lambda what, task, **_: self.history.append(
            (self._clock.wall(), what, task.job_id, task.epoch, task.task_id)
        )
        self.tables[address] = table

    async def prepare(self, address, task_id, order, deadline):
        def call(table):
            return table.prepare(
                worker_tasks.Task(
                    task_id,
                    order.job_id,
                    order.epoch,
                    order.lease_deadline,
                    tuple(order.accelerators),
                    order.cores,
                    order.memory_gb,
                    order.run_s,
                )
            )

        return await self._call(address, "prepare", call)

    async def act(
        self, address, action, task_id, epoch, lease_deadline, deadline,
        share=1.0,
    ):  # fmt: skip
        def call(table):
            if action == Action.STOP:
                return table.stop(task_id, epoch)
            extra = (share,) if action == Action.THROTTLE else ()
            return getattr(table, str(action))(
                task_id, epoch, lease_deadline, *extra
            )

        return await self._call(address, str(action), call)

    async def tasks(self, address, deadline):
        documents = self.tables[address].documents()
        return [worker_client.TaskReport(**d) for d in documents]

    async def _call(self, address, action, call):
        self.calls[action] += 1
        await trio.sleep(0.001)
        if address in self.unreachable:
            await trio.sleep(0.05)
            raise worker_client.WorkerUnreachableError(
                f"{address} is unreachable"
            )
        if action in self.refusing[address]:
            raise worker_client.WorkerRefusedError(f"{action} refused")
        try:
            document = call(self.tables[address])
        except (worker_tasks.TaskStateError, errors.NotFoundError) as error:
            raise worker_client.TaskNotLiveError(
                error.detail, **error.context
            ) from error
        except errors.ConflictError as error:
            raise worker_client.WorkerRefusedError(error.detail) from error
        if action in self.losing_answers[address]:
            raise worker_client.WorkerUnreachableError("answer lost")
        return worker_client.TaskReport(**document)


@dataclasses.dataclass
class FakeMembers(members.MemberView):
    """A member view backed by a list of workers."""

    present: list = dataclasses.field(default_factory=list)

    def servers(self, service):
        return ()

    def workers(self, domain):
        return tuple(w for w in self.present if w.domain == domain)


def worker(name, rack="r1", domain="north", accelerators=8, **changes):
    fields = dict(
        worker_id=name, domain=domain, rack=rack, address=name,
        incarnation="1", sequence=1, cores=128, memory_gb=512,
        accelerators=accelerators, leaving=False,
    )  # fmt: skip
    return members.Worker(**{**fields, **changes})


def configuration(domains=("north",), policy=None, **accounts):
    return models.Configuration(
        site="test",
        domains=list(domains),
        accounts={"tana": {}, "fingal": {}, **accounts},
        jobs={"lease_s": 2.0, "checkpoint_timeout_s": 0.5, **(policy or {})},
    )


class Domain:
    """Ledgers, workers, a job service and schedulers of all domains."""

    def __init__(self, workers, config=None):
        config = config or configuration()
        self.clock = clocks.SystemClock()
        self.client = FakeWorkers(self.clock)
        self.view = FakeMembers(list(workers))
        for one in workers:
            self.client.add(one.address, one.accelerators)
        self.ledgers = {name: jobs.JobLedger(name) for name in config.domains}
        self.groups = local_groups.LocalGroups(
            {
                ids.domain_group(name): replication.StateMachine(ledger)
                for name, ledger in self.ledgers.items()
            }
        )
        self.current = current_module.Current()
        self.current.put(current_module.Versioned(1, "d", config))
        self.metrics = metrics_module.Metrics()
        self.service = service.JobService(
            topology.Vm("vm1", "north", "", "", False),
            self.groups,
            self.view,
            self.current,
            self.clock,
            self.metrics,
        )
        self.schedulers = [self.scheduler(name) for name in config.domains]

    def scheduler(self, name="north"):
        return scheduler.DomainScheduler(
            name,
            self.groups,
            self.view,
            self.current,
            self.client,
            self.clock,
            self.metrics,
        )

    @contextlib.asynccontextmanager
    async def running(self):
        async with trio.open_nursery() as nursery:
            for one in self.schedulers:
                await nursery.start(one.run)
            for table in self.client.tables.values():
                nursery.start_soon(table.run)
            yield nursery
            nursery.cancel_scope.cancel()

    async def submit(self, key="k", **spec):
        spec = {"account": "tana", **spec}
        return await self.service.submit(
            jobs_messages.JobSpec(**spec), key, self.service.deadline(5)
        )

    async def state(self, job_id):
        return (await self.service.get(job_id)).state

    async def reaches(self, job_id, *states, seconds=10):
        """Waits until a job is in one of the states and returns its view."""
        view = None
        with trio.move_on_after(seconds):
            while True:
                view = await self.service.get(job_id)
                if view.state in states:
                    return view
                await trio.sleep(0.01)
        raise AssertionError(f"{view} did not reach any of {states}")

    def live_tasks(self, job_id) -> abc.Iterable[worker_tasks.Task]:
        return [
            task
            for table in self.client.tables.values()
            for task in table.live()
            if task.job_id == job_id
        ]

    async def has_live(self, job_id, count, seconds=5):
        """Waits until `count` tasks of a job are live and returns them."""
        for _ in range(seconds * 100):
            found = self.live_tasks(job_id)
            if len(found) == count:
                return found
            await trio.sleep(0.01)
        raise AssertionError(f"{job_id} never had {count} live tasks")

    def started(self, job_id):
        return [
            entry
            for entry in self.client.history
            if entry[1] == "running" and entry[2] == job_id
        ]
