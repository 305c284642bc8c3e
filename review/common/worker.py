"""A stand-in for an executor, as `PROTOCOL.md` describes it.

It starts whatever it is told to (`enforces_capacity` is false), keeps the
lease of all its runs, and lists runs and ends.
"""

import asyncio
import contextlib
import dataclasses
import itertools
import random
import time
import typing
from collections import abc

from review.common import http

HEARTBEAT_S = 1.5
ACK_TIMEOUT_S = 1.0
STOP_S = 0.05
CLOCK_TICK_S = 0.02

Log = abc.Callable[[str], None]
WorkMs = abc.Callable[[str], float]
"""Returns how long a task of the given name runs, in ms."""


@dataclasses.dataclass
class Run:
    """A running task.

    Attributes:
        task: The name of the task.
        number: The number of the run.
        began: When it started, by the monotonic clock.
        work_ms: How long it runs.
        stop_at: When it ends after a stop, by the monotonic clock.
    """

    task: str
    number: int
    began: float
    work_ms: float
    stop_at: float | None = None

    @property
    def percent(self) -> int:
        """Its progress."""
        ran_ms = (time.monotonic() - self.began) * 1000
        return min(100, int(100 * ran_ms / self.work_ms))


class Worker:
    """One executor.

    Args:
        name: The name in the record.
        zone: Its zone.
        controls: The `control` addresses that it may call.
        log: Writes a line to the record.
        work_ms: Returns how long a task runs.
        labels: Its labels: its kind and its rack.
        service: The service that it works for.
        hold_max_ms: The longest lease that it grants.

    Attributes:
        starts: Time, task and number of the runs that it has started.
        ends: Time, task, number and kind of the runs that have ended.
        leader: The control address of the leader, as last heard.
        cut_fences: During a cut, returns whether calls with a fence come from
            the other side of it; None without a cut.
        reachable_controls: During a cut, the `control` addresses on its side.
    """

    def __init__(
        self,
        name: str,
        zone: str,
        controls: abc.Sequence[str],
        log: Log,
        work_ms: WorkMs,
        labels: tuple[str, str],
        service: str,
        hold_max_ms: int,
    ) -> None:
        self.name = name
        self.zone = zone
        self.labels = labels
        self.service = service
        self.starts: list[tuple[float, str, int]] = []
        self.ends: list[tuple[float, str, int, str]] = []
        self.leader = ""
        self.cut_fences: abc.Callable[[int], bool] | None = None
        self.reachable_controls: set[str] | None = None
        self._hold_max_ms = hold_max_ms
        self._controls = list(controls)
        self._log = log
        self._work_ms = work_ms
        self._server = http.Server(self._answer, "127.0.0.1")
        self._loops: list[asyncio.Task[None]] = []
        self._target = ""
        self.worker_id = f"i-{random.randrange(16**10):010x}"
        self.running: dict[str, Run] = {}
        self._ended: list[list[typing.Any]] = []
        self._numbers = itertools.count(1)
        self._refused_up_to: dict[str, int] = {}
        self._fence = 0
        self._lease_ms = 0.0
        self._born = time.monotonic() - random.uniform(1, 100)
        self._sequence = itertools.count(1)
        self._ended_event = asyncio.Event()

    @property
    def fence(self) -> int:
        """The highest fence that it has seen."""
        return self._fence

    @property
    def clock_ms(self) -> int:
        """Its own steady clock."""
        return int((time.monotonic() - self._born) * 1000)

    async def start(self) -> None:
        """Starts to listen and to send heartbeats."""
        await self._server.start()
        self._loops = [
            asyncio.create_task(self._run_clock()),
            asyncio.create_task(self._run_heartbeats()),
        ]

    async def close(self) -> None:
        """Ends without a word, as after a crash."""
        pending = set(self._loops)
        while pending:  # a cancellation may be lost in `asyncio.wait_for`
            for loop in pending:
                loop.cancel()
            _, pending = await asyncio.wait(pending, timeout=0.2)
        await self._server.close()

    async def _run_heartbeats(self) -> None:
        await asyncio.sleep(random.uniform(0, 0.2))
        while True:
            await self._heartbeat()
            await asyncio.sleep(HEARTBEAT_S)

    async def _heartbeat(self) -> None:
        """Sends a heartbeat, to the next daemon after each failure."""
        body = {
            "service": self.service,
            "address": self._server.address,
            "zone": self.zone,
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "cold_left_ms": 0,
            "capacity": {"cpu": 32000, "mem_mb": 65536, "gpu": 8},
            "labels": list(self.labels),
            "clock_ms": self.clock_ms,
            "seq": next(self._sequence),
        }
        path = f"/-/instances/{self.worker_id}"
        first = [self._target] if self._target else []
        others = random.sample(self._controls, len(self._controls))
        for address in first + others:
            if self._is_cut_from(address):
                self._target = ""
                continue
            status, answer = await http.call(
                "PUT", address, path, body, timeout_s=ACK_TIMEOUT_S
            )
            if 200 <= status < 300:
                named = (answer or {}).get("heartbeat_addr", "")
                self._target = named
                self.leader = named or address
                return
            self._target = ""

    def _is_cut_from(self, control: str) -> bool:
        reachable = self.reachable_controls
        return reachable is not None and control not in reachable

    async def _answer(
        self, request: http.Request
    ) -> tuple[int, dict[str, typing.Any]] | None:
        is_cut = self.cut_fences
        if is_cut is not None and is_cut(request.body["fence"]):
            return None  # it comes from beyond the cut and does not arrive
        expected = request.headers.get("x-expect-instance", self.worker_id)
        if expected != self.worker_id:
            return 421, {"clock_ms": self.clock_ms}
        body = request.body
        if body["fence"] < self._fence:
            return self._refuse("fence")
        self._fence = body["fence"]
        if request.path == "/-/run-start":
            return self._start(body)
        if request.path == "/-/run-stop":
            return self._stop(body)
        if request.path == "/-/hold":
            return await self._hold(body)
        return 400, {"clock_ms": self.clock_ms}

    def _note_start_order(self, body: typing.Any, what: str) -> None:
        self._log(
            f"{self.name} {self.worker_id} run-start {body['task']} run "
            f"{body['run']} fence {body['fence']}: {what}"
        )

    def _refuse(self, reason: str) -> tuple[int, dict[str, typing.Any]]:
        return 409, {"clock_ms": self.clock_ms, "reason": reason}

    def _extend(self, deadline_ms: int) -> None:
        deadline_ms = min(deadline_ms, self.clock_ms + self._hold_max_ms)
        self._lease_ms = max(self._lease_ms, deadline_ms)

    def _start(self, body: typing.Any) -> tuple[int, dict[str, typing.Any]]:
        task, number = body["task"], body["run"]
        known = self.running.get(task)
        if known is not None and known.number == number:
            self._extend(body["deadline_at_ms"])
            return 200, {"clock_ms": self.clock_ms}
        if body["deadline_at_ms"] <= self.clock_ms:
            return self._refuse("late")
        if number <= self._refused_up_to.get(task, 0):
            self._extend(body["deadline_at_ms"])
            return self._refuse("old")
        self._extend(body["deadline_at_ms"])
        now = time.monotonic()
        self.running[task] = Run(task, number, now, self._work_ms(task))
        self.starts.append((now, task, number))
        self._note_start_order(body, "started")
        return 200, {"clock_ms": self.clock_ms}

    def _stop(self, body: typing.Any) -> tuple[int, dict[str, typing.Any]]:
        task, number = body["task"], body["run"]
        before = self._refused_up_to.get(task, 0)
        self._refused_up_to[task] = max(before, number)
        run = self.running.get(task)
        if run is not None and run.number <= number and run.stop_at is None:
            run.stop_at = time.monotonic() + STOP_S
        self._log(
            f"{self.name} {self.worker_id} run-stop {task} run {number} "
            f"fence {body['fence']}"
        )
        return 200, {"clock_ms": self.clock_ms}

    async def _hold(
        self, body: typing.Any
    ) -> tuple[int, dict[str, typing.Any]]:
        cursor = body.get("ack_cursor", 0)
        self._ended = [row for row in self._ended if row[0] > cursor]
        if "deadline_at_ms" in body:
            self._extend(body["deadline_at_ms"])
            left_s = (self._lease_ms - self.clock_ms) / 1000
            self._log(
                f"{self.name} {self.worker_id} hold fence {body['fence']}: "
                f"leases end in {left_s:.2f} s"
            )
        wait_ms = min(body.get("wait_ms", 0), 2000)
        if wait_ms and not self._ended:
            self._ended_event = asyncio.Event()
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._ended_event.wait(), wait_ms / 1000)
        return 200, {
            "clock_ms": self.clock_ms,
            "running": [
                [run.task, run.number, "", run.percent, 0]
                for run in self.running.values()
            ],
            "ended": self._ended[:500],
        }

    def end(self, task: str, how: str) -> None:
        """Ends a run and lists its end."""
        run = self.running.pop(task)
        before = self._refused_up_to.get(task, 0)
        self._refused_up_to[task] = max(before, run.number)
        self._ended.append([next(self._numbers), task, run.number, how, ""])
        self.ends.append((time.monotonic(), task, run.number, how))
        self._log(
            f"{self.name} {self.worker_id} ended {task} run {run.number}: {how}"
        )
        self._ended_event.set()

    async def _run_clock(self) -> None:
        """Ends runs that are done, stopped, or whose lease has expired."""
        while True:
            await asyncio.sleep(CLOCK_TICK_S)
            now = time.monotonic()
            for run in list(self.running.values()):
                if self.clock_ms >= self._lease_ms:
                    self.end(run.task, "lapsed")
                elif run.stop_at is not None and now >= run.stop_at:
                    self.end(run.task, "stopped")
                elif (now - run.began) * 1000 >= run.work_ms:
                    self.end(run.task, "done")
