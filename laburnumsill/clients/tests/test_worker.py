import functools

import pytest
import trio

from laburnumsill.clients import worker
from laburnumsill.core import clock as clocks
from laburnumsill.testing import fake_worker
from laburnumsill.testing import ports

Action = worker.Action


def order(clock, epoch=1, accelerators=(0, 1)):
    return worker.Prepare(
        job_id="north.1",
        epoch=epoch,
        lease_deadline=clock.wall() + 30,
        accelerators=list(accelerators),
        cores=4,
        memory_gb=8,
        run_s=None,
        command="train",
    )


class ServedWorker:
    """A fake worker in this process with a client of it."""

    def __init__(self):
        self.clock = clocks.SystemClock()
        self.address = ports.free_address()
        self.fake = fake_worker.FakeWorker(
            fake_worker.Settings(
                id="w1",
                domain="north",
                rack="r1",
                address=self.address,
                vms=["127.0.0.1:9"],
            ),
            self.clock,
        )
        self.client = worker.HttpWorkerClient(self.clock)

    async def act(self, action, epoch=1, **extra):
        return await self.client.act(
            self.address,
            action,
            "t1",
            epoch,
            self.clock.wall() + 30,
            self.clock.monotonic() + 5,
            **extra,
        )

    async def prepare(self, task_id="t1", **changes):
        return await self.client.prepare(
            self.address,
            task_id,
            order(self.clock, **changes),
            self.clock.monotonic() + 5,
        )


async def test_task_lifecycle_over_http(nursery):
    served = ServedWorker()
    await nursery.start(served.fake.listener.run)
    assert (await served.prepare()).state == "prepared"
    assert (await served.act(Action.START)).state == "running"
    assert (await served.act(Action.RENEW)).live
    assert (await served.act(Action.CHECKPOINT)).live
    assert (await served.act(Action.THROTTLE, share=0.5)).live
    reports = await served.client.tasks(
        served.address, served.clock.monotonic() + 5
    )
    assert [report.accelerators for report in reports] == [(0, 1)]
    with pytest.raises(worker.WorkerRefusedError, match="held"):
        await served.prepare("t2", accelerators=(1,))
    assert (await served.act(Action.STOP)).state == "stopped"
    with pytest.raises(worker.TaskNotLiveError) as caught:
        await served.act(Action.RENEW)
    assert caught.value.state == "stopped"
    await served.client.close()
    nursery.cancel_scope.cancel()


async def test_missing_answer_and_refusal_raise_different_errors(nursery):
    served = ServedWorker()
    with pytest.raises(worker.WorkerUnreachableError):
        await served.act(Action.START)
    await nursery.start(served.fake.listener.run)
    with pytest.raises(worker.TaskNotLiveError):
        await served.act(Action.START)
    served.fake.behaviour = fake_worker.Behaviour(
        lose_answers=["prepare"], refuse=["start"], hang=["renew"]
    )
    with pytest.raises(worker.WorkerUnreachableError):
        await served.prepare()
    with pytest.raises(worker.WorkerRefusedError):
        await served.act(Action.START)
    with trio.fail_after(5), pytest.raises(worker.WorkerUnreachableError):
        await served.client.act(
            served.address,
            Action.RENEW,
            "t1",
            1,
            served.clock.wall() + 30,
            served.clock.monotonic() + 0.2,
        )
    await served.client.close()
    nursery.cancel_scope.cancel()


async def test_an_answer_that_cannot_be_parsed_is_no_refusal(nursery):
    """The worker may have executed the call, so nothing may say it did not."""
    address = ports.free_address()
    host, _, port = address.rpartition(":")

    async def answer(stream):
        await stream.receive_some()
        await stream.send_all(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n[]")

    await nursery.start(
        functools.partial(trio.serve_tcp, answer, int(port), host=host)
    )
    clock = clocks.SystemClock()
    client = worker.HttpWorkerClient(clock)
    with pytest.raises(worker.UnreadableAnswerError) as caught:
        await client.prepare(address, "t1", order(clock), clock.monotonic() + 5)
    assert isinstance(caught.value, worker.WorkerUnreachableError)
    await client.close()
    nursery.cancel_scope.cancel()
