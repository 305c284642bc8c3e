"""Emulated workers, which run tasks under leases and report their ends."""

import dataclasses
from collections import abc

import msgspec
import trio

from laburnumsill.batch import commands
from laburnumsill.batch import model
from laburnumsill.batch import worker_client
from laburnumsill.emulator import oracle as oracles

TICK_S = 0.02
"""Virtual time between two steps of the work of all workers."""

DEFAULT_STOP_GRACE_S = 0.4
"""Longest duration of a stop, unless the site sets another one."""

MIN_STOP_SHARE = 0.3
"""Shortest duration of a stop, relative to the longest: on two days of the
users, stops took 0.28 to 0.9 s of an allowed 0.9 s, evenly distributed."""

GANG_TIMEOUT_S = 3.0
"""A gang whose members have not all started within this time ends."""

REMOTE_SLOWDOWN = 3.0
"""Factor on the run time of a task whose data are in another rack, and of a
gang that wants one rack and runs on several."""

MAX_LEASE_MS = 10_000
"""Longest time by which a worker extends its lease."""

MAX_LISTED_ENDS = 500
"""Most ends that a worker lists in one report."""


@dataclasses.dataclass(frozen=True, slots=True)
class Checkpointing:
    """Timing of checkpoints of tasks that save their progress.

    Attributes:
        checkpoint_s: Work between two checkpoints, in seconds; a stop adds
            another checkpoint.
        restore_s: Delay from the start of a later run until it continues from
            the checkpoint.
    """

    checkpoint_s: float
    restore_s: float


DEFAULT_CHECKPOINTING = Checkpointing(1.0, 0.0)

WorkOf = abc.Callable[[model.TaskId], float]


@dataclasses.dataclass(slots=True)
class Behaviour:
    """The performance and the injected faults of a worker.

    Attributes:
        speed: Seconds of work done in a second; below 1 for a slow worker.
        hangs: Whether its tasks make no progress.
        fails: Whether each of its tasks fails 0.2 s after its start.
        clock_rate: Rate of its clock; the emulated site has some at 0.98.
    """

    speed: float = 1.0
    hangs: bool = False
    fails: bool = False
    clock_rate: float = 1.0

    @property
    def is_faulty(self) -> bool:
        """Whether a fault is injected."""
        return self.hangs or self.fails


@dataclasses.dataclass(slots=True)
class _RunState:
    """A run on a worker.

    Attributes:
        run: The run.
        step: The step of its task.
        work_s: Work of the task, in seconds.
        done_s: Work done so far, restored work included.
        started_at: Time of its start.
        work_starts_at: Time from which it makes progress, after a restore.
        checkpointing: Timing of its checkpoints.
        was_complete: Whether all members of its gang ran at some time.
        stop_at: Time at which an ordered stop takes effect, or None.
    """

    run: model.RunId
    step: model.Step
    work_s: float
    done_s: float
    started_at: float
    work_starts_at: float
    checkpointing: Checkpointing
    was_complete: bool = False
    stop_at: float | None = None

    @property
    def percent(self) -> int:
        """Its progress; a long-running task is at work from its start on."""
        if self.step.long_running:
            return 100
        return int(100 * self.done_s / self.work_s)

    @property
    def saved(self) -> str:
        """The work covered by its last periodic checkpoint, in seconds."""
        if not self.step.saves_progress or not self.done_s:
            return ""
        checkpoint_s = self.checkpointing.checkpoint_s
        return f"{int(self.done_s / checkpoint_s) * checkpoint_s:.3f}"

    @property
    def saved_at_stop(self) -> str:
        """The work covered by the checkpoint of a regular stop: all of it."""
        return f"{self.done_s:.3f}" if self.step.saves_progress else ""


class EmulatedWorker:
    """One incarnation of a worker; its owner calls `tick`.

    Attributes:
        worker: The worker's description of itself.
        behaviour: Its performance and injected faults.
        gone: Whether the incarnation has ended.
        is_down: Whether connections to its address are refused: it has
            crashed and its successor has not started.
        sequence: Sequence number of its last announcement.
        announced: The last description that was acknowledged.
        born_ms: Start of the incarnation in Unix milliseconds, None if the
            worker does not announce it.
    """

    def __init__(
        self,
        worker: model.Worker,
        pool: "WorkerPool",
        behaviour: Behaviour,
    ) -> None:
        self.worker = worker
        self.behaviour = behaviour
        self.gone = False
        self.is_down = False
        self.sequence = 0
        self.announced = worker
        self.born_ms: int | None = None
        self._pool = pool
        self._started_at = trio.current_time()
        self._fence = 0
        self._lease_ms = 0
        self._running: dict[model.TaskId, _RunState] = {}
        self._last_ended: dict[model.TaskId, int] = {}
        self._ends: list[commands.EndedRun] = []
        self._end_count = 0
        self._last_expired_end = 0
        self._acknowledged = 0
        self._ends_changed = trio.Event()

    @property
    def clock_ms(self) -> int:
        """The worker's monotonic clock, in milliseconds."""
        elapsed = trio.current_time() - self._started_at
        return int((elapsed * self.behaviour.clock_rate + 1000) * 1000)

    @property
    def running(self) -> abc.Mapping[model.TaskId, _RunState]:
        """The runs on the worker, by task."""
        return self._running

    def start(self, order: worker_client.StartOrder, late: bool) -> None:
        """Executes a start order.

        Raises:
            errors.LaburnumsillError: The order was refused.
        """
        self._check_fence(order.fence)
        self._renew_lease(order.lease_ms)
        task = order.run.task
        known = self._running.get(task)
        if known is not None and known.run == order.run:
            return
        if (
            order.run.number <= self._last_ended.get(task, 0)
            or known is not None
        ):
            raise worker_client.RunOverError("old", clock_ms=self.clock_ms)
        if order.lease_ms <= self.clock_ms:
            raise worker_client.LeaseTooOldError("late", clock_ms=self.clock_ms)
        now = trio.current_time()
        self._pool.oracle.check_start(order.run, self.worker, now, late)
        truth = self._pool.oracle.jobs.get(task.job_id)
        if truth is None:
            return
        step = truth.job.steps[task.step]
        done_s = float(order.saved) if order.saved else 0.0
        checkpointing = self._pool.checkpointing
        work_starts_at = now + (checkpointing.restore_s if order.saved else 0.0)
        self._running[task] = _RunState(
            order.run,
            step,
            self._pool.work_of(task),
            done_s,
            now,
            work_starts_at,
            checkpointing,
        )

    def stop(self, run: model.RunId, fence: int) -> None:
        """Executes a stop order.

        Raises:
            errors.LaburnumsillError: The order was refused.
        """
        self._check_fence(fence)
        known = self._running.get(run.task)
        is_covered = known is not None and known.run.number <= run.number
        if known is not None and is_covered and known.stop_at is None:
            known.stop_at = trio.current_time() + self._pool.stop_s()
        last_ended = self._last_ended.get(run.task, 0)
        self._last_ended[run.task] = max(last_ended, run.number)

    async def report(
        self, order: worker_client.ReportOrder
    ) -> worker_client.Report:
        """Returns the runs and the unacknowledged ends.

        Waits up to `order.wait_ms` for an end if there is none.
        """
        self._check_fence(order.fence)
        if order.lease_ms is not None:
            self._renew_lease(order.lease_ms)
        self._acknowledge_ends(order.last_end)
        with trio.move_on_after(order.wait_ms / 1000):
            while not self._ends and not self.is_down:
                await self._ends_changed.wait()
        running = tuple(
            worker_client.RunningRun(state.run, state.saved, state.percent)
            for state in self._running.values()
        )
        listed = tuple(self._ends[: self._pool.listed_ends])
        return worker_client.Report(
            self.clock_ms,
            running,
            listed,
            omits_ends=len(listed) >= MAX_LISTED_ENDS,
        )

    def tick(self) -> None:
        """Advances the worker by one tick: its lease, stops and single runs."""
        if any(map(self._pool.is_crashing, self._running)):
            self.crash()
        if self.clock_ms > self._lease_ms:
            self._last_expired_end = self._end_count
            for state in list(self._running.values()):
                self.end(state.run, commands.EndKind.LEASE_ENDED)
        now = trio.current_time()
        for state in list(self._running.values()):
            if state.stop_at is not None and now >= state.stop_at:
                self.end(state.run, commands.EndKind.STOPPED)
            elif self.behaviour.fails and now - state.started_at > 0.2:
                self.end(state.run, commands.EndKind.FAILED)
            elif not state.step.gang:
                self._work(state)

    def _work(self, state: _RunState) -> None:
        rack = state.step.data_rack
        is_remote = bool(rack) and rack != self.worker.rack
        self.advance(state, REMOTE_SLOWDOWN if is_remote else 1.0)
        if state.done_s >= state.work_s:
            self.end(state.run, self._pool.own_end(state.run, state.step))

    def advance(self, state: _RunState, factor: float) -> None:
        """Advances a run by the work of one tick, slowed by `factor`."""
        if (
            not self.behaviour.hangs
            and trio.current_time() >= state.work_starts_at
        ):
            state.done_s += TICK_S * self.behaviour.speed / factor

    def end(self, run: model.RunId, kind: commands.EndKind) -> None:
        """Ends a run if it is on the worker, and adds it to the ends."""
        known = self._running.get(run.task)
        if known is None or known.run != run:
            return
        del self._running[run.task]
        last_ended = self._last_ended.get(run.task, 0)
        self._last_ended[run.task] = max(last_ended, run.number)
        self._end_count += 1
        saved = known.saved if kind is not commands.EndKind.DONE else ""
        if kind is commands.EndKind.STOPPED and not self.gone:
            saved = known.saved_at_stop
        self._ends.append(commands.EndedRun(self._end_count, run, kind, saved))
        done = kind is commands.EndKind.DONE
        self._pool.oracle.record_end(
            run, self.worker.worker_id, trio.current_time(), done
        )
        if kind is not commands.EndKind.DONE:
            self._pool.count_lost_work(known.step, known.done_s, saved)
        self._ends_changed.set()
        self._ends_changed = trio.Event()

    def vanish(self) -> None:
        """Ends the incarnation and all of its runs."""
        self.gone = True
        for state in list(self._running.values()):
            self.end(state.run, commands.EndKind.STOPPED)

    def resize(self, capacity: model.Resources) -> None:
        """Changes the capacity; current runs continue."""
        self._pool.oracle.record_resize(self.worker, trio.current_time())
        self.worker = msgspec.structs.replace(self.worker, capacity=capacity)

    def crash(self) -> None:
        """Ends the incarnation and its runs; no end is reported."""
        for state in self._running.values():
            self._pool.oracle.record_crash(
                state.run, self.worker.worker_id, trio.current_time()
            )
            self._pool.count_lost_work(state.step, state.done_s, "")
        self._running.clear()
        self.gone = self.is_down = True
        self._ends_changed.set()
        self._ends_changed = trio.Event()
        self._pool.on_crash(self)

    def _check_fence(self, fence: int) -> None:
        if self.gone:
            raise worker_client.IncarnationGoneError(self.worker.worker_id)
        if fence < self._fence:
            raise worker_client.FencedOffError(f"{fence} < {self._fence}")
        self._fence = fence

    def _renew_lease(self, lease_ms: int) -> None:
        longest = self.clock_ms + MAX_LEASE_MS
        self._lease_ms = max(self._lease_ms, min(lease_ms, longest))

    def _acknowledge_ends(self, last_end: int) -> None:
        for end in self._ends:
            if end.number <= last_end:
                truth = self._pool.oracle.jobs[end.run.task.job_id]
                gang = truth.job.steps[end.run.task.step].gang
                after_expiry = end.number <= self._last_expired_end
                kind = end.kind.value
                self._pool.oracle.record_acknowledged_end(
                    end.run, kind, gang, after_expiry
                )
        self._acknowledged = max(self._acknowledged, last_end)
        self._ends = [end for end in self._ends if end.number > last_end]


_GangMember = tuple[EmulatedWorker, _RunState]
"""The worker of a gang member, and its run."""


class WorkerPool:
    """All workers of an emulated site, and the gangs that run on them.

    Args:
        oracle: Records and checks the events on the workers.
        work_of: Returns the actual work of a task, in seconds.
        always_fails: Returns whether a task always fails.
        stop_s: Returns the duration of the next stop, in seconds.
        checkpointing: Timing of checkpoints.

    Attributes:
        workers: All incarnations, ended ones included, by worker id.
        newest: The newest incarnation of each worker name.
        is_crashing: Returns whether a task crashes each worker that starts it.
        long_running_end: Returns how a run of a long-running task ends when
            its work is over.
        on_crash: Called with each worker that has crashed.
        listed_ends: Most ends that a worker lists in one report.
        lost_core_s: Work that was done and lost, in core-equivalent seconds.
    """

    def __init__(
        self,
        oracle: oracles.Oracle,
        work_of: WorkOf,
        always_fails: abc.Callable[[model.TaskId], bool],
        stop_s: abc.Callable[[], float],
        checkpointing: Checkpointing = DEFAULT_CHECKPOINTING,
    ) -> None:
        self.oracle = oracle
        self.stop_s = stop_s
        self.checkpointing = checkpointing
        self.work_of = work_of
        self.always_fails = always_fails
        self.workers: dict[str, EmulatedWorker] = {}
        self.newest: dict[str, EmulatedWorker] = {}
        self.is_crashing: abc.Callable[[model.TaskId], bool] = lambda _: False
        self.long_running_end: abc.Callable[[model.RunId], commands.EndKind] = (
            lambda _: commands.EndKind.DONE
        )
        self.on_crash: abc.Callable[[EmulatedWorker], None] = lambda _: None
        self.listed_ends = MAX_LISTED_ENDS
        self.lost_core_s = 0.0
        self.done_core_s = 0.0

    def add(
        self, worker: model.Worker, behaviour: Behaviour | None = None
    ) -> EmulatedWorker:
        """Adds a worker, by default with `Behaviour()`."""
        added = EmulatedWorker(worker, self, behaviour or Behaviour())
        self.workers[worker.worker_id] = added
        self.newest[worker.call_name] = added
        return added

    def own_end(self, run: model.RunId, step: model.Step) -> commands.EndKind:
        """Returns how a run ends that has done all work of its task."""
        if self.always_fails(run.task):
            return commands.EndKind.FAILED
        if step.long_running:
            return self.long_running_end(run)
        return commands.EndKind.DONE

    def count_lost_work(
        self, step: model.Step, done_s: float, saved: str
    ) -> None:
        """Counts the work of an ended run that no checkpoint covers."""
        kept = float(saved) if saved else 0.0
        self.lost_core_s += (done_s - kept) * model.core_equivalents(step.needs)

    async def run(self) -> None:
        """Advances all workers by ticks until cancelled."""
        while True:
            await trio.sleep(TICK_S)
            for worker in list(self.workers.values()):
                worker.tick()
            self._tick_gangs()

    def _tick_gangs(self) -> None:
        gangs: dict[tuple[model.StepKey, int], list[_GangMember]] = {}
        for worker in self.workers.values():
            for state in worker.running.values():
                if state.step.gang:
                    key = (state.run.task.step_key, state.run.number)
                    gangs.setdefault(key, []).append((worker, state))
        for members in gangs.values():
            self._tick_gang(members)

    def _tick_gang(self, members: list["_GangMember"]) -> None:
        """Advances a gang by one tick, or ends it if it is incomplete.

        A gang that was complete ends as soon as a member is missing, another
        one once it has waited `GANG_TIMEOUT_S` for its members.
        """
        now = trio.current_time()
        is_complete = len(members) == members[0][1].step.tasks
        if not is_complete and any(state.was_complete for _, state in members):
            for worker, state in members:
                worker.end(state.run, commands.EndKind.MEMBER_ENDED)
            return
        if not is_complete:
            for worker, state in members:
                if now - state.started_at > GANG_TIMEOUT_S:
                    worker.end(state.run, commands.EndKind.INCOMPLETE_GANG)
            return
        racks = {worker.worker.rack for worker, _ in members}
        is_split = members[0][1].step.same_rack and len(racks) > 1
        slowest = min(worker.behaviour.speed for worker, _ in members)
        hangs = any(worker.behaviour.hangs for worker, _ in members)
        for _, state in members:
            state.was_complete = True
            if not hangs and now >= state.work_starts_at:
                factor = REMOTE_SLOWDOWN if is_split else 1.0
                state.done_s += TICK_S * slowest / factor
        if all(state.done_s >= state.work_s for _, state in members):
            first = members[0][1]
            kind = self.own_end(first.run, first.step)
            for worker, state in members:
                worker.end(state.run, kind)
