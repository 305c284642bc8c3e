"""Fakes as processes announce themselves to a real member table over HTTP."""

import collections
import functools
import pathlib
import signal
import typing
from collections import abc

import hypercorn.config
import hypercorn.trio
import pytest
import trio
from starlette import applications

from laburnumsill.api import members as members_api
from laburnumsill.config import current
from laburnumsill.core import clock
from laburnumsill.core import metrics
from laburnumsill.core import replication
from laburnumsill.core import topology
from laburnumsill.members import changes
from laburnumsill.members import table as tables
from laburnumsill.members import usage
from laburnumsill.testing import ports
from laburnumsill.testing.tests import test_fakes as fakes

LIMIT_S = 15.0
POLL_S = 0.02


class NoPeers(replication.Peers):
    """A VM that is alone."""

    async def call(
        self, vm: str, request: object, deadline: float
    ) -> typing.Any:
        raise NotImplementedError

    def notify(self, vm: str, notice: object) -> None:
        raise NotImplementedError

    def on_call(
        self, request_type: type, handler: replication.AsyncHandler
    ) -> None:
        raise NotImplementedError

    def on_notice(
        self, notice_type: type, handler: replication.Handler
    ) -> None:
        pass

    def reachable(self) -> frozenset[str]:
        return frozenset({"vm1"})


class OneVm:
    def __init__(self) -> None:
        self.address = ports.free_address()
        vm = topology.Vm("vm1", "north", self.address, "", False)
        self.table = tables.MemberTable(
            vm,
            [vm],
            NoPeers(),
            current.Current(),
            clock.SystemClock(),
            metrics.Metrics(),
        )
        self.seen: collections.deque[changes.Change] = collections.deque()
        self.table.observe(self.seen.append)
        self.reports: list[usage.UsageReport] = []

    async def take(self, report: usage.UsageReport) -> None:
        self.reports.append(report)

    async def serve(self, *, task_status: trio.TaskStatus) -> None:
        app = applications.Starlette(
            routes=members_api.routes(self.table, self.take)
        )
        config = hypercorn.config.Config()
        config.bind = [self.address]
        async with trio.open_nursery() as nursery:
            await nursery.start(self.table.run)
            await nursery.start(
                functools.partial(hypercorn.trio.serve, app, config)
            )
            task_status.started()

    async def until(self, holds: abc.Callable[[], bool]) -> None:
        for _ in range(int(LIMIT_S / POLL_S)):
            if holds():
                return
            await trio.sleep(POLL_S)
        raise AssertionError("it does not come about")


@pytest.fixture
async def vm(nursery: trio.Nursery) -> abc.AsyncIterator[OneVm]:
    found = OneVm()
    await nursery.start(found.serve)
    yield found


def vms(vm: OneVm) -> str:
    dead = ports.free_address()
    return f'["{dead}", "{vm.address}"]'


async def test_a_server_announces_itself_and_leaves_gracefully(
    vm: OneVm, tmp_path: pathlib.Path
) -> None:
    extra = 'service = "tee"\ndrain_s = 0.5'
    server = fakes.Fake("server", tmp_path, extra, vms(vm))
    try:
        await vm.until(lambda: len(vm.table.servers("tee")) == 1)
        assert vm.table.servers("tee")[0].address == server.address
        await trio.sleep(1.5)  # it goes on announcing itself
        assert vm.table.servers("tee")[0].sequence > 2
        server.process.send_signal(signal.SIGTERM)
        await vm.until(lambda: not vm.table.servers("tee"))
        assert server.process.poll() is None
        assert (await server.call("GET", "/late"))[0] == 200
        assert await server.gone() == 0
        await vm.until(lambda: len(vm.seen) == 3)
        told = [change.what.value for change in vm.seen]
        assert told == ["joined", "leaving", "gone"]
    finally:
        server.process.kill()
        server.process.wait()


async def test_a_worker_reports_and_a_killed_one_is_gone(
    vm: OneVm, tmp_path: pathlib.Path
) -> None:
    extra = 'rack = "r1"\nusage_interval_s = 0.2\nusage_lag_s = 0.3'
    worker = fakes.Fake("worker", tmp_path, extra, vms(vm))
    try:
        await vm.until(lambda: len(vm.table.workers("north")) == 1)
        task = fakes.prepare(1, cores=10.0)
        await worker.call("PUT", "/tasks/t1/prepare", task)
        await worker.call("POST", "/tasks/t1/start", task)
        await vm.until(lambda: bool(vm.reports and vm.reports[-1].tasks))
        used = vm.reports[-1].tasks[0]
        assert (used.task_id, used.cores) == ("t1", 8.0)
        assert vm.reports[-1].worker_id == "f1"
        worker.process.kill()
        await vm.until(lambda: not vm.table.workers("north"))
    finally:
        worker.process.kill()
        worker.process.wait()
