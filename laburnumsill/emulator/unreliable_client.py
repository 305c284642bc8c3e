"""A worker client whose orders may be lost or delayed."""

import dataclasses
import random
from collections import abc

import trio

from laburnumsill.batch import model
from laburnumsill.batch import worker_client
from laburnumsill.core import errors
from laburnumsill.emulator import workers as worker_module


class UnreliableClient(worker_client.WorkerClient):
    """Sends orders to emulated workers, with injected faults.

    Attributes:
        lost_share: Share of the orders that are executed but whose answer is
            lost.
        late_share: Share of the orders that are executed 2 to 12 s later and
            never answered.
        cut: Ids of unreachable workers.
        gone: Ids of workers that have ended without a sign.
    """

    def __init__(
        self, pool: worker_module.WorkerPool, rng: random.Random
    ) -> None:
        self.lost_share = 0.0
        self.late_share = 0.0
        self.cut: set[str] = set()
        self.gone: set[str] = set()
        self._pool = pool
        self._random = rng
        self._nursery: trio.Nursery | None = None

    async def run(
        self,
        *,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Executes delayed orders until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            task_status.started()
            await trio.sleep_forever()

    async def start(
        self,
        worker: model.Worker,
        order: worker_client.StartOrder,
        deadline: float,
    ) -> worker_client.Answer:
        """Starts a run, see the base class."""
        target = await self._connect(worker, deadline)

        def execute(late: bool) -> None:
            target.start(order, late)

        await self._deliver(execute, deadline)
        return worker_client.Answer(target.clock_ms)

    async def stop(
        self,
        worker: model.Worker,
        run: model.RunId,
        fence: int,
        deadline: float,
    ) -> worker_client.Answer:
        """Stops a run, see the base class."""
        target = await self._connect(worker, deadline)
        await self._deliver(lambda _: target.stop(run, fence), deadline)
        return worker_client.Answer(target.clock_ms)

    async def report(
        self,
        worker: model.Worker,
        order: worker_client.ReportOrder,
        deadline: float,
    ) -> worker_client.Report:
        """Asks for a report, see the base class."""
        target = await self._connect(worker, deadline)
        if target.worker.worker_id != worker.worker_id:
            # Ends are acknowledged over connections of one incarnation only.
            order = dataclasses.replace(order, last_end=0)
        report = await target.report(order)
        if target.worker.worker_id != worker.worker_id:
            raise worker_client.IncarnationReplacedError(worker.worker_id)
        if target.is_down:
            raise worker_client.NoAnswerError("disconnected")
        if worker.worker_id in self.cut | self.gone:
            await self._time_out(deadline)
        if self._random.random() < self.lost_share:
            await self._time_out(deadline)
        await trio.sleep(0.001)
        return report

    async def _connect(
        self, worker: model.Worker, deadline: float
    ) -> worker_module.EmulatedWorker:
        await trio.sleep(self._random.uniform(0.0005, 0.002))
        target = self._pool.newest.get(worker.call_name)
        unreachable = self.cut | self.gone
        if worker.worker_id in unreachable or target is None:
            await self._time_out(deadline)
        assert target is not None
        if target.is_down:
            raise worker_client.NoAnswerError("connection refused")
        return target

    async def _deliver(
        self, execute: abc.Callable[[bool], None], deadline: float
    ) -> None:
        draw = self._random.random()
        if draw < self.late_share and self._nursery is not None:
            self._nursery.start_soon(self._execute_late, execute)
            await self._time_out(deadline)
        execute(False)
        if draw < self.late_share + self.lost_share:
            await self._time_out(deadline)
        await trio.sleep(0.001)

    async def _execute_late(self, execute: abc.Callable[[bool], None]) -> None:
        await trio.sleep(self._random.uniform(2.0, 12.0))
        try:
            execute(True)
        except errors.LaburnumsillError:
            return  # refused; no caller waits for the answer

    async def _time_out(self, deadline: float) -> None:
        await trio.sleep(max(0.0, deadline - trio.current_time()))
        raise worker_client.NoAnswerError("lost")
