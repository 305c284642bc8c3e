"""Orders to the platform's executors, over HTTP."""

import httpcore
import msgspec

from laburnumsill.batch import commands
from laburnumsill.batch import model
from laburnumsill.batch import worker_client
from laburnumsill.clients import http_pools
from laburnumsill.core import clock as clocks
from laburnumsill.core import errors
from laburnumsill.platform import wire

MAX_CONNECTIONS = 12
"""Connections to one worker; the users' workers take 64 in all."""

KEEP_ALIVE_S = 60.0
"""New connections are priced; a worker is called again within seconds."""

CONNECT_TIMEOUT_S = 0.5
"""A connection within a site takes some milliseconds."""

_END_KINDS = {
    "done": commands.EndKind.DONE,
    "failed": commands.EndKind.FAILED,
    "stopped": commands.EndKind.STOPPED,
    "lapsed": commands.EndKind.LEASE_ENDED,
    # "broken" means that another member of the gang ended, not a fault.
    "broken": commands.EndKind.MEMBER_ENDED,
    # "alone" means that the other members did not come in time.
    "alone": commands.EndKind.INCOMPLETE_GANG,
}


class PlatformWorkerClient(worker_client.WorkerClient):
    """Speaks the platform's calls run-start, run-stop and hold."""

    def __init__(self, clock: clocks.Clock) -> None:
        self._pools = http_pools.HttpPools(
            clock,
            http_pools.PoolLimits(
                MAX_CONNECTIONS, KEEP_ALIVE_S, CONNECT_TIMEOUT_S
            ),
        )

    async def start(
        self,
        worker: model.Worker,
        order: worker_client.StartOrder,
        deadline: float,
    ) -> worker_client.Answer:
        """Starts a run, see the base class."""
        body: dict[str, object] = {
            "task": str(order.run.task),
            "run": order.run.number,
            "spec": order.payload,
            "deadline_at_ms": order.lease_ms,
            "fence": order.fence,
        }
        if order.saved:
            body["saved"] = order.saved
        raw = await self._call(worker, "/-/run-start", body, deadline)
        return worker_client.Answer(_answer(raw).clock_ms)

    async def stop(
        self,
        worker: model.Worker,
        run: model.RunId,
        fence: int,
        deadline: float,
    ) -> worker_client.Answer:
        """Stops a run, see the base class."""
        body = {"task": str(run.task), "run": run.number, "fence": fence}
        raw = await self._call(worker, "/-/run-stop", body, deadline)
        return worker_client.Answer(_answer(raw).clock_ms)

    async def report(
        self,
        worker: model.Worker,
        order: worker_client.ReportOrder,
        deadline: float,
    ) -> worker_client.Report:
        """Asks for a report, see the base class."""
        body: dict[str, object] = {
            "fence": order.fence,
            "ack_cursor": order.noted,
        }
        if order.lease_ms is not None:
            body["deadline_at_ms"] = order.lease_ms
        if order.wait_ms:
            body["wait_ms"] = order.wait_ms
        raw = await self._call(worker, "/-/hold", body, deadline)
        try:
            answer = msgspec.json.decode(raw, type=wire.ReportAnswer)
            return worker_client.Report(
                answer.clock_ms,
                tuple(_running(row) for row in answer.running),
                tuple(_ended(row) for row in answer.ended),
            )
        except (msgspec.MsgspecError, ValueError, KeyError) as error:
            raise worker_client.NoAnswerError(
                f"{worker.worker_id} reported {raw[:80]!r}: {error}"
            ) from error

    async def close(self) -> None:
        """Closes all connections."""
        await self._pools.close()

    async def _call(
        self,
        worker: model.Worker,
        path: str,
        body: dict[str, object],
        deadline: float,
    ) -> bytes:
        """Returns the body of a success; anything else becomes an error."""
        try:
            response = await self._pools.request(
                "POST",
                worker.address,
                path,
                {
                    "Content-Type": "application/json",
                    "X-Expect-Instance": worker.worker_id,
                },
                msgspec.json.encode(body),
                deadline,
            )
        except http_pools.NoResponseError as error:
            raise worker_client.NoAnswerError(
                f"{worker.worker_id}: {error.detail}"
            ) from error
        if response.status != 200:
            raise _refusal(response, f"{path} at {worker.worker_id}")
        return response.content


def _answer(raw: bytes) -> wire.OrderAnswer:
    """Returns the answer to an order; one without a body says nothing."""
    try:
        return msgspec.json.decode(raw, type=wire.OrderAnswer)
    except msgspec.MsgspecError:
        return wire.OrderAnswer()


def _running(row: list[str | int | float]) -> worker_client.RunningRun:
    task = model.TaskId.parse(str(row[0]))
    run = model.RunId(task, int(row[1]))
    percent = int(row[3]) if len(row) > 3 else 0
    return worker_client.RunningRun(run, str(row[2]), percent)


def _ended(row: list[str | int]) -> commands.EndedRun:
    task = model.TaskId.parse(str(row[1]))
    return commands.EndedRun(
        int(row[0]),
        model.RunId(task, int(row[2])),
        _END_KINDS[str(row[3])],
        str(row[4]) if len(row) > 4 else "",
    )


def _refusal(response: httpcore.Response, call: str) -> Exception:
    """Returns the error that a status other than 200 stands for."""
    answer = _answer(response.content)
    detail = f"{call}: {response.status} {answer.reason}"
    clock_ms = answer.clock_ms
    if response.status == 421:
        return worker_client.IncarnationGoneError(detail)
    if response.status in (429, 503):
        return worker_client.NothingDoneError(detail, clock_ms=clock_ms)
    if response.status == 409:
        kind = _REFUSALS.get(answer.reason, worker_client.OrderRefusedError)
        return kind(detail, clock_ms=clock_ms)
    if response.status == 400:
        return worker_client.OrderRefusedError(detail, clock_ms=clock_ms)
    return worker_client.NoAnswerError(detail)


_REFUSALS: dict[str, type[errors.ConflictError]] = {
    "fence": worker_client.FencedOffError,
    # "old" means that this run, or a later one of the task, ended there.
    "old": worker_client.RunOverError,
    # "late" means that the lease in the order had ended already.
    "late": worker_client.LeaseTooOldError,
}
