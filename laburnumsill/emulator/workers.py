"""Emulated workers: they run tasks under leases and list ends."""

import dataclasses
from collections import abc

import msgspec
import trio

from laburnumsill.batch import commands
from laburnumsill.batch import model
from laburnumsill.batch import worker_client
from laburnumsill.emulator import oracle as oracles

TICK_S = 0.02
"""How often what has ended is looked for, virtual time."""

DEFAULT_STOP_GRACE_S = 0.4
"""A stop takes so long at most, unless the site says otherwise."""

SHORTEST_STOP = 0.3
"""The shortest stop, as a part of the longest: on two of the users' days stops
took 0.28 to 0.9 s where 0.9 s was allowed, evenly spread."""

GANG_TIMEOUT_S = 3.0
FAR_FACTOR = 3.0
LONGEST_LEASE_MS = 10_000


@dataclasses.dataclass(frozen=True, slots=True)
class Saving:
    """How tasks that save progress do so.

    Lengths of time: they are properties of the emulated workers.

    Attributes:
        checkpoint_s: After each so much work, and at a stop.
        restore_s: A later run goes on so long after its start.
    """

    checkpoint_s: float
    restore_s: float


DEFAULT_SAVING = Saving(1.0, 0.0)

WorkOf = abc.Callable[[model.TaskId], float]


@dataclasses.dataclass(slots=True)
class Behaviour:
    """How a worker does its work.

    Attributes:
        speed: Work done in a second; below 1 it is slow.
        hangs: Whether its tasks stand still.
        fails: Whether all that it starts fails at once.
        clock_rate: Of its clock; it may be 2% slow.
    """

    speed: float = 1.0
    hangs: bool = False
    fails: bool = False
    clock_rate: float = 1.0


@dataclasses.dataclass(slots=True)
class _Running:
    run: model.RunId
    step: model.Step
    work_s: float
    done_s: float
    began_at: float
    works_at: float
    saving: Saving
    was_whole: bool = False
    stop_at: float | None = None

    @property
    def saved(self) -> str:
        if not self.step.saves_progress or not self.done_s:
            return ""
        checkpoint_s = self.saving.checkpoint_s
        return f"{int(self.done_s / checkpoint_s) * checkpoint_s:.3f}"

    @property
    def saved_at_stop(self) -> str:
        """What is saved when it is stopped in good order: all of it."""
        return f"{self.done_s:.3f}" if self.step.saves_progress else ""


class EmulatedWorker:
    """One incarnation of a worker; its owner calls `tick`.

    Attributes:
        worker: What it says of itself.
        behaviour: How it does its work.
        gone: Whether the incarnation has ended.
        is_down: Whether nothing is at its address: it has crashed and its
            successor has not started.
        sequence: Of its last announcement.
        announced: What was acknowledged of what it says of itself.
        born_ms: When it started, ms since 1970; None if it does not say so.
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
        self._running: dict[model.TaskId, _Running] = {}
        self._over: dict[model.TaskId, int] = {}
        self._ends: list[commands.EndedRun] = []
        self._count = 0
        self._lapsed = 0
        self._noted = 0
        self._changed = trio.Event()

    @property
    def clock_ms(self) -> int:
        """Its own steady clock."""
        elapsed = trio.current_time() - self._started_at
        return int((elapsed * self.behaviour.clock_rate + 1000) * 1000)

    @property
    def running(self) -> abc.Mapping[model.TaskId, _Running]:
        """What runs on it, by task."""
        return self._running

    def start(self, order: worker_client.StartOrder, late: bool) -> None:
        """Carries out a start order.

        Raises:
            errors.LaburnumsillError: It was refused.
        """
        self._check(order.fence)
        self._prolong(order.lease_ms)
        task = order.run.task
        known = self._running.get(task)
        if known is not None and known.run == order.run:
            return
        if order.run.number <= self._over.get(task, 0) or known is not None:
            raise worker_client.RunOverError("old", clock_ms=self.clock_ms)
        if order.lease_ms <= self.clock_ms:
            raise worker_client.LeaseTooOldError("late", clock_ms=self.clock_ms)
        now = trio.current_time()
        self._pool.oracle.started(order.run, self.worker, now, late)
        truth = self._pool.oracle.jobs.get(task.job_id)
        if truth is None:
            return
        step = truth.job.steps[task.step]
        done_s = float(order.saved) if order.saved else 0.0
        saving = self._pool.saving
        works_at = now + (saving.restore_s if order.saved else 0.0)
        self._running[task] = _Running(
            order.run,
            step,
            self._pool.work_of(task),
            done_s,
            now,
            works_at,
            saving,
        )

    def stop(self, run: model.RunId, fence: int) -> None:
        """Carries out a stop order.

        Raises:
            errors.LaburnumsillError: It was refused.
        """
        self._check(fence)
        known = self._running.get(run.task)
        there = known is not None and known.run.number <= run.number
        if known is not None and there and known.stop_at is None:
            known.stop_at = trio.current_time() + self._pool.stop_s()
        over = self._over.get(run.task, 0)
        self._over[run.task] = max(over, run.number)

    async def report(
        self, order: worker_client.ReportOrder
    ) -> worker_client.Report:
        """Carries out an order to report; may wait for an end."""
        self._check(order.fence)
        if order.lease_ms is not None:
            self._prolong(order.lease_ms)
        self._note(order.last_end)
        with trio.move_on_after(order.wait_ms / 1000):
            while not self._ends and not self.is_down:
                await self._changed.wait()
        running = tuple(
            worker_client.RunningRun(
                one.run, one.saved, int(100 * one.done_s / one.work_s)
            )
            for one in self._running.values()
        )
        return worker_client.Report(self.clock_ms, running, tuple(self._ends))

    def tick(self) -> None:
        """Works for one tick."""
        if any(map(self._pool.is_crashing, self._running)):
            self.crash()
        if self.clock_ms > self._lease_ms:
            self._lapsed = self._count
            for one in list(self._running.values()):
                self.end(one.run, commands.EndKind.LEASE_ENDED)
        now = trio.current_time()
        for one in list(self._running.values()):
            if one.stop_at is not None and now >= one.stop_at:
                self.end(one.run, commands.EndKind.STOPPED)
            elif self.behaviour.fails and now - one.began_at > 0.2:
                self.end(one.run, commands.EndKind.FAILED)
            elif not one.step.gang:
                self._work(one)

    def _work(self, one: _Running) -> None:
        rack = one.step.data_rack
        far = bool(rack) and rack != self.worker.rack
        self.advance(one, FAR_FACTOR if far else 1.0)
        if one.done_s >= one.work_s:
            hopeless = self._pool.hopeless(one.run.task)
            kind = commands.EndKind.FAILED if hopeless else None
            self.end(one.run, kind or commands.EndKind.DONE)

    def advance(self, one: _Running, factor: float) -> None:
        """Does a tick's work of a task."""
        if not self.behaviour.hangs and trio.current_time() >= one.works_at:
            one.done_s += TICK_S * self.behaviour.speed / factor

    def end(self, run: model.RunId, kind: commands.EndKind) -> None:
        """Ends a run that is there and lists its end."""
        known = self._running.get(run.task)
        if known is None or known.run != run:
            return
        del self._running[run.task]
        over = self._over.get(run.task, 0)
        self._over[run.task] = max(over, run.number)
        self._count += 1
        saved = known.saved if kind is not commands.EndKind.DONE else ""
        if kind is commands.EndKind.STOPPED and not self.gone:
            saved = known.saved_at_stop
        self._ends.append(commands.EndedRun(self._count, run, kind, saved))
        done = kind is commands.EndKind.DONE
        self._pool.oracle.ended(run, self.worker.worker_id, done)
        if kind is not commands.EndKind.DONE:
            self._pool.count_lost(known.step, known.done_s, saved)
        self._changed.set()
        self._changed = trio.Event()

    def vanish(self) -> None:
        """Ends the incarnation and all that runs on it."""
        self.gone = True
        for one in list(self._running.values()):
            self.end(one.run, commands.EndKind.STOPPED)

    def resize(self, capacity: model.Resources) -> None:
        """Has more or less room from now on; what runs goes on."""
        self._pool.oracle.resized(self.worker, trio.current_time())
        self.worker = msgspec.structs.replace(self.worker, capacity=capacity)

    def crash(self) -> None:
        """Ends the incarnation with all that runs on it, without a word."""
        for one in self._running.values():
            self._pool.oracle.crashed(one.run, self.worker.worker_id)
            self._pool.count_lost(one.step, one.done_s, "")
        self._running.clear()
        self.gone = self.is_down = True
        self._changed.set()
        self._changed = trio.Event()
        self._pool.on_crash(self)

    def _check(self, fence: int) -> None:
        if self.gone:
            raise worker_client.IncarnationGoneError(self.worker.worker_id)
        if fence < self._fence:
            raise worker_client.FencedOffError(f"{fence} < {self._fence}")
        self._fence = fence

    def _prolong(self, lease_ms: int) -> None:
        longest = self.clock_ms + LONGEST_LEASE_MS
        self._lease_ms = max(self._lease_ms, min(lease_ms, longest))

    def _note(self, noted: int) -> None:
        for end in self._ends:
            if end.number <= noted:
                truth = self._pool.oracle.jobs[end.run.task.job_id]
                gang = truth.job.steps[end.run.task.step].gang
                lapsed = end.number <= self._lapsed
                kind = end.kind.value
                self._pool.oracle.noted(end.run, kind, gang, lapsed)
        self._noted = max(self._noted, noted)
        self._ends = [end for end in self._ends if end.number > noted]


_Member = tuple[EmulatedWorker, _Running]
"""A member of a gang, and where it runs."""


class WorkerPool:
    """All workers of an emulated site, and the gangs across them.

    Args:
        oracle: Judges what is seen.
        work_of: Returns the true work of a task, in seconds.
        hopeless: Returns whether a task always fails.
        stop_s: Returns how long the next stop takes, in seconds.
        saving: How tasks save their progress.

    Attributes:
        workers: All that there were, by id.
        lives: The newest one of each name.
        is_crashing: Returns whether a task crashes each worker that starts it.
        on_crash: Told of each worker that has crashed.
    """

    def __init__(
        self,
        oracle: oracles.Oracle,
        work_of: WorkOf,
        hopeless: abc.Callable[[model.TaskId], bool],
        stop_s: abc.Callable[[], float],
        saving: Saving = DEFAULT_SAVING,
    ) -> None:
        self.oracle = oracle
        self.stop_s = stop_s
        self.saving = saving
        self.work_of = work_of
        self.hopeless = hopeless
        self.workers: dict[str, EmulatedWorker] = {}
        self.lives: dict[str, EmulatedWorker] = {}
        self.is_crashing: abc.Callable[[model.TaskId], bool] = lambda _: False
        self.on_crash: abc.Callable[[EmulatedWorker], None] = lambda _: None
        self.lost_core_s = 0.0
        self.done_core_s = 0.0

    def add(
        self, worker: model.Worker, behaviour: Behaviour | None = None
    ) -> EmulatedWorker:
        """Adds a worker."""
        made = EmulatedWorker(worker, self, behaviour or Behaviour())
        self.workers[worker.worker_id] = made
        self.lives[worker.call_name] = made
        return made

    def count_lost(self, step: model.Step, done_s: float, saved: str) -> None:
        """Counts work that was done and not saved."""
        kept = float(saved) if saved else 0.0
        self.lost_core_s += (done_s - kept) * model.core_equivalents(step.needs)

    async def run(self) -> None:
        """Lets all work until cancelled."""
        while True:
            await trio.sleep(TICK_S)
            for worker in list(self.workers.values()):
                worker.tick()
            self._tick_gangs()

    def _tick_gangs(self) -> None:
        gangs: dict[tuple[model.StepKey, int], list[_Member]] = {}
        for worker in self.workers.values():
            for one in worker.running.values():
                if one.step.gang:
                    key = (one.run.task.step_key, one.run.number)
                    gangs.setdefault(key, []).append((worker, one))
        for parts in gangs.values():
            self._tick_gang(parts)

    def _tick_gang(self, parts: list["_Member"]) -> None:
        """Works for one tick at a gang, or ends it if it is not whole."""
        now = trio.current_time()
        whole = len(parts) == parts[0][1].step.tasks
        if not whole and any(one.was_whole for _, one in parts):
            for worker, one in parts:
                worker.end(one.run, commands.EndKind.MEMBER_ENDED)
            return
        if not whole:
            for worker, one in parts:
                if now - one.began_at > GANG_TIMEOUT_S:
                    worker.end(one.run, commands.EndKind.INCOMPLETE_GANG)
            return
        racks = {worker.worker.rack for worker, _ in parts}
        apart = parts[0][1].step.same_rack and len(racks) > 1
        slowest = min(worker.behaviour.speed for worker, _ in parts)
        hangs = any(worker.behaviour.hangs for worker, _ in parts)
        for _, one in parts:
            one.was_whole = True
            if not hangs and now >= one.works_at:
                factor = FAR_FACTOR if apart else 1.0
                one.done_s += TICK_S * slowest / factor
        if all(one.done_s >= one.work_s for _, one in parts):
            failed = self.hopeless(parts[0][1].run.task)
            kind = commands.EndKind.FAILED if failed else commands.EndKind.DONE
            for worker, one in parts:
                worker.end(one.run, kind)
