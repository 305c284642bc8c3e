"""A fake worker, run as a process.

``python -m laburnumsill.testing.fake_worker --settings worker.toml``, where
the file holds the fields of `Settings`. It announces itself, runs fake tasks
under leases, reports usage with a lag and records every transition.

Task protocol, JSON bodies; every answer is one task as in `worker_tasks`:

* ``PUT /tasks/{id}/prepare`` with the fields of `Prepare`: reserves; 409 if
  an accelerator is held by another live task. Nothing runs yet.
* ``POST /tasks/{id}/start``: runs a prepared task.
* ``POST /tasks/{id}/renew``: extends the lease; a lease is never shortened.
* ``POST /tasks/{id}/checkpoint``: returns at once; ``checkpointed_at`` is set
  once it is done.
* ``POST /tasks/{id}/throttle``: ``share`` of full speed.
* ``POST /tasks/{id}/stop``: ends it; also for an unknown task, so that a
  late prepare of the same epoch is refused.
* ``GET /tasks``: ``{"tasks": [...]}``.

Every call carries ``epoch`` and ``lease_deadline`` (wall time in seconds). An
epoch older than the newest that the worker knows of the job is refused with
409 ``stale-epoch``; a lease that has ended with 409 ``lease-ended``; what the
task's state does not allow with 409 ``task-state``. Repeating a call is
harmless. A task stops by itself when its lease ends.

``POST /_fake/behaviour`` takes the fields of `Behaviour`.
"""

import collections
import pathlib
import signal
import typing

import pydantic
import trio
from starlette import applications
from starlette import requests
from starlette import responses
from starlette import routing

from laburnumsill.api import problems
from laburnumsill.core import clock as clocks
from laburnumsill.core import errors
from laburnumsill.core import logs
from laburnumsill.testing import announcer
from laburnumsill.testing import fake_serving
from laburnumsill.testing import recorder
from laburnumsill.testing import worker_tasks

Action = typing.Literal[
    "prepare", "start", "renew", "checkpoint", "throttle", "stop"
]
ACTIONS: tuple[str, ...] = typing.get_args(Action)


class Settings(pydantic.BaseModel):
    """Settings of one fake worker.

    Attributes:
        id: Its name, unique in the system.
        domain: Its failure domain.
        rack: Its rack, unique in the domain.
        address: ``host:port`` of its task interface.
        announced_address: What it announces, such as a proxy before it;
            empty means `address`.
        vms: Client addresses of VMs to announce to.
        cores: Processor cores.
        memory_gb: Memory in GB.
        accelerators: Accelerators.
        usage_interval_s: Time between usage reports; 0 for none.
        usage_lag_s: Age of a report when it is sent.
        record: File for all transitions, see `recorder`.
        log_level: A loguru level name.
    """

    model_config = pydantic.ConfigDict(extra="forbid")

    id: str
    domain: str
    rack: str
    address: str
    announced_address: str = ""
    vms: list[str] = pydantic.Field(min_length=1)
    cores: int = 128
    memory_gb: int = 512
    accelerators: int = 8
    usage_interval_s: float = 2.0
    usage_lag_s: float = 1.0
    record: pathlib.Path | None = None
    log_level: str = "INFO"


class Behaviour(pydantic.BaseModel):
    """How the worker misbehaves from now on; the default is not at all.

    Attributes:
        refuse: Calls that are refused with 503, nothing done.
        crash_starts: Whether every start succeeds and then fails at once.
        crash_commands: Commands whose tasks fail in this way.
        crash_after_s: Time from such a start to its failure.
        ignore_checkpoint: Whether a checkpoint is taken on and never done.
        ignore_throttle: Whether a throttled task goes on at full speed.
        lose_answers: Calls that are carried out, then the connection is cut.
        hang: Calls that are read and never carried out.
        only_next: How many calls the lists above are for, or None for all.
        delay_ms: Time before a call is carried out.
        checkpoint_s: Time that a checkpoint takes.
        usage_factor: Reported usage over what the task asked for.
        announcing: Whether it goes on announcing itself.
        leaving: Whether it says that it is leaving, and stays.
    """

    model_config = pydantic.ConfigDict(extra="forbid")

    refuse: list[Action] = []
    crash_starts: bool = False
    crash_commands: list[str] = []
    crash_after_s: float = pydantic.Field(default=0.01, ge=0)
    ignore_checkpoint: bool = False
    ignore_throttle: bool = False
    lose_answers: list[Action] = []
    hang: list[Action] = []
    only_next: int | None = pydantic.Field(default=None, ge=0)
    delay_ms: float = pydantic.Field(default=0.0, ge=0)
    checkpoint_s: float = pydantic.Field(default=0.05, ge=0)
    usage_factor: float = pydantic.Field(default=0.8, ge=0)
    announcing: bool = True
    leaving: bool = False


class Fenced(pydantic.BaseModel):
    """What every call carries.

    Attributes:
        epoch: Fencing epoch of the placement.
        lease_deadline: Wall time in seconds.
        share: Of full speed, for throttle.
    """

    epoch: int = pydantic.Field(ge=0)
    lease_deadline: float
    share: float = pydantic.Field(default=1.0, ge=0, le=1)


class Prepare(Fenced):
    """The body of prepare.

    Attributes:
        job_id: The job that the task is part of.
        accelerators: Indexes of the accelerators it gets.
        cores: Processor cores.
        memory_gb: Memory in GB.
        run_s: Fake run time at full speed, or None to run until stopped.
        command: Kept and never run.
    """

    job_id: str
    accelerators: list[int] = []
    cores: float = 0
    memory_gb: float = 0
    run_s: float | None = pydantic.Field(default=None, ge=0)
    command: typing.Any = None


class FakeWorker:
    """Serves the task protocol over a `worker_tasks.TaskTable`."""

    def __init__(self, settings: Settings, clock: clocks.Clock) -> None:
        self.behaviour = Behaviour()
        self.leaving = False
        self._settings = settings
        self._clock = clock
        self._recorder = recorder.Recorder(settings.record, clock)
        self.tasks = worker_tasks.TaskTable(
            settings.id, settings.accelerators, clock, self._recorder
        )
        self._lagging: collections.deque[dict[str, object]] = collections.deque(
            maxlen=1000
        )
        self.listener = fake_serving.Listener(self.app(), settings.address)
        self.announcer = announcer.Announcer(
            "workers", settings.id, settings.vms, self.document, clock
        )

    def document(self) -> dict[str, object]:
        """Returns this worker's announcement."""
        mine = self._settings
        return {
            "worker_id": mine.id,
            "domain": mine.domain,
            "rack": mine.rack,
            "address": mine.announced_address or mine.address,
            "cores": mine.cores,
            "memory_gb": mine.memory_gb,
            "accelerators": mine.accelerators,
            "leaving": self.leaving,
        }

    def app(self) -> applications.Starlette:
        """Returns the ASGI app."""
        action = problems.guarded(self._act)
        return applications.Starlette(
            routes=[
                routing.Route("/tasks", self._list),
                routing.Route(
                    "/tasks/{task_id}/{action}", action, methods=["PUT", "POST"]
                ),
                routing.Route(
                    "/_fake/behaviour",
                    problems.guarded(self._set_behaviour),
                    methods=["POST"],
                ),
            ]
        )

    async def run(self) -> None:
        """Serves and announces until SIGTERM or SIGINT, then leaves."""
        with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as caught:
            async with trio.open_nursery() as nursery:
                await nursery.start(self.listener.run)
                nursery.start_soon(self.announcer.run)
                nursery.start_soon(self.tasks.run)
                if self._settings.usage_interval_s > 0:
                    nursery.start_soon(self._report)
                async for _ in caught:
                    break
                logs.event("leaving", worker=self._settings.id)
                self.leaving = True
                await self.announcer.announce()
                self.tasks.stop_all("worker-left")
                await self.announcer.leave()
                nursery.cancel_scope.cancel()
        self._recorder.close()

    async def _list(self, request: requests.Request) -> responses.Response:
        return problems.json_response({"tasks": self.tasks.documents()})

    async def _set_behaviour(
        self, request: requests.Request
    ) -> responses.Response:
        self.behaviour = await problems.read_model(request, Behaviour)
        self.announcer.paused = not self.behaviour.announcing
        self.leaving = self.behaviour.leaving
        self.announcer.announce_soon()
        self.tasks.crash_after_s = (
            self.behaviour.crash_after_s
            if self.behaviour.crash_starts
            else None
        )
        self.tasks.crash_commands = frozenset(self.behaviour.crash_commands)
        self.tasks.ignore_throttle = self.behaviour.ignore_throttle
        self.tasks.checkpoint_s = (
            None
            if self.behaviour.ignore_checkpoint
            else self.behaviour.checkpoint_s
        )
        return problems.json_response(self.behaviour.model_dump())

    async def _act(self, request: requests.Request) -> responses.Response:
        action = request.path_params["action"]
        if action not in ACTIONS:
            raise errors.NotFoundError(f"no call {action!r}")
        model = Prepare if action == "prepare" else Fenced
        body = await problems.read_model(request, model)
        behaviour = self.behaviour
        await trio.sleep(behaviour.delay_ms / 1000)
        if self._meant(behaviour.hang, action):
            await fake_serving.disconnected(request)
            return fake_serving.CutResponse()
        if self._meant(behaviour.refuse, action):
            raise errors.UnavailableError(f"{action} is refused on purpose")
        task = self._carry_out(action, request.path_params["task_id"], body)
        if self._meant(behaviour.lose_answers, action):
            return fake_serving.CutResponse()
        return problems.json_response(task)

    def _meant(self, actions: list[Action], action: str) -> bool:
        """Returns whether a listed misbehaviour is for this call."""
        if action not in actions:
            return False
        if self.behaviour.only_next is None:
            return True
        self.behaviour.only_next -= 1
        return self.behaviour.only_next >= 0

    def _carry_out(
        self, action: str, task_id: str, body: Fenced
    ) -> dict[str, object]:
        if isinstance(body, Prepare):
            wanted = worker_tasks.Task(
                task_id=task_id,
                job_id=body.job_id,
                epoch=body.epoch,
                lease_deadline=body.lease_deadline,
                accelerators=tuple(body.accelerators),
                cores=body.cores,
                memory_gb=body.memory_gb,
                run_s=body.run_s,
                command=body.command,
            )
            return self.tasks.prepare(wanted)
        epoch, lease_deadline = body.epoch, body.lease_deadline
        match action:
            case "start":
                return self.tasks.start(task_id, epoch, lease_deadline)
            case "renew":
                return self.tasks.renew(task_id, epoch, lease_deadline)
            case "checkpoint":
                return self.tasks.checkpoint(task_id, epoch, lease_deadline)
            case "throttle":
                return self.tasks.throttle(
                    task_id, epoch, lease_deadline, body.share
                )
            case _:
                return self.tasks.stop(task_id, epoch)

    async def _report(self) -> None:
        """Reports usage as it was `usage_lag_s` ago."""
        while True:
            self._lagging.append(self._usage())
            oldest = self._clock.wall() - self._settings.usage_lag_s
            due = None
            while self._lagging and _measured_at(self._lagging[0]) <= oldest:
                due = self._lagging.popleft()
            if due is not None:
                await self.announcer.report(due)
            await trio.sleep(self._settings.usage_interval_s)

    def _usage(self) -> dict[str, object]:
        factor = self.behaviour.usage_factor
        return {
            "incarnation": self.announcer.incarnation,
            "measured_at": self._clock.wall(),
            "tasks": [
                {
                    "task_id": task.task_id,
                    "job_id": task.job_id,
                    "epoch": task.epoch,
                    "state": task.state,
                    "cores": task.cores * factor * task.share,
                    "memory_gb": task.memory_gb * factor,
                    "accelerators": len(task.accelerators) * task.share,
                }
                for task in self.tasks.live()
            ],
        }


def _measured_at(report: dict[str, object]) -> float:
    return typing.cast(float, report["measured_at"])


def main() -> None:
    """Runs one fake worker until it is told to leave."""
    settings = fake_serving.settings_from_arguments(Settings, str(__doc__))
    logs.set_up(settings.log_level, settings.id)
    worker = FakeWorker(settings, clocks.SystemClock())
    trio.run(worker.run)


if __name__ == "__main__":
    main()
