"""Client that sends orders to the platform's executors over HTTP.

An executor that restarts under its id answers at the same address, and the
wire has no field by which a call names one incarnation. The ends that a call
acknowledges are forgotten by whoever receives it, so ends are acknowledged only
over a connection on which the incarnation has answered before.
"""

import contextlib

import httpcore
import msgspec

from laburnumsill.batch import model
from laburnumsill.batch import worker_client
from laburnumsill.clients import http_pools
from laburnumsill.clients import pinned_connections
from laburnumsill.core import clock as clocks
from laburnumsill.core import errors
from laburnumsill.core import logs
from laburnumsill.platform import decoding
from laburnumsill.platform import reports
from laburnumsill.platform import wire

MAX_CONNECTIONS = 12
"""Limit of the connections to one worker; the users' workers accept 64 in
total."""

KEEP_ALIVE_S = 60.0
"""Idle connections are kept open because new ones are charged for, and a worker
is called again within seconds."""

CONNECT_TIMEOUT_S = 0.5
"""Connecting within a site takes a few milliseconds."""


class PlatformWorkerClient(worker_client.WorkerClient):
    """Implements the platform's calls run-start, run-stop and hold."""

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
        """Starts a run; see the base class."""
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
        call = f"run-start at {worker.worker_id}"
        return worker_client.Answer(_answer(raw, call).clock_ms)

    async def stop(
        self,
        worker: model.Worker,
        run: model.RunId,
        fence: int,
        deadline: float,
    ) -> worker_client.Answer:
        """Stops a run; see the base class."""
        body = {"task": str(run.task), "run": run.number, "fence": fence}
        raw = await self._call(worker, "/-/run-stop", body, deadline)
        call = f"run-stop at {worker.worker_id}"
        return worker_client.Answer(_answer(raw, call).clock_ms)

    async def report(
        self,
        worker: model.Worker,
        order: worker_client.ReportOrder,
        deadline: float,
    ) -> worker_client.Report:
        """Requests a report; see the base class."""
        if not worker.name:
            return await self._report(worker, order, deadline, None)
        connection = await self._pools.pinned(worker.address, worker.worker_id)
        with connection or contextlib.nullcontext():
            report = await self._report(worker, order, deadline, connection)
        if connection is not None:
            connection.is_confirmed = True
        return report

    async def _report(
        self,
        worker: model.Worker,
        order: worker_client.ReportOrder,
        deadline: float,
        connection: pinned_connections.PinnedConnection | None,
    ) -> worker_client.Report:
        is_known = connection is not None and connection.is_confirmed
        acknowledges = not worker.name or is_known
        body: dict[str, object] = {
            "fence": order.fence,
            "ack_cursor": order.last_end if acknowledges else 0,
        }
        if order.lease_ms is not None:
            body["deadline_at_ms"] = order.lease_ms
        if order.wait_ms:
            body["wait_ms"] = order.wait_ms
        raw = await self._call(worker, "/-/hold", body, deadline, connection)
        try:
            return reports.decode(worker, raw, acknowledges)
        except decoding.MalformedBodyError as error:
            raise worker_client.NoAnswerError(
                f"{worker.worker_id} reported {raw[:80]!r}: {error.detail}"
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
        connection: pinned_connections.PinnedConnection | None = None,
    ) -> bytes:
        """Returns the body of a successful answer, or raises an error."""
        try:
            response = await self._pools.request(
                "POST",
                worker.address,
                path,
                {
                    "Content-Type": "application/json",
                    "X-Expect-Instance": worker.call_name,
                },
                msgspec.json.encode(body),
                deadline,
                connection,
            )
        except http_pools.NoResponseError as error:
            raise worker_client.NoAnswerError(
                f"{worker.worker_id}: {error.detail}"
            ) from error
        if response.status != 200:
            raise _refusal(response, f"{path} at {worker.worker_id}")
        return response.content


def _answer(raw: bytes, call: str) -> wire.OrderAnswer:
    """Decodes the answer to an order; an invalid answer is treated as empty."""
    if not raw:
        return wire.OrderAnswer()
    try:
        return decoding.parse(raw, wire.OrderAnswer)
    except decoding.MalformedBodyError as error:
        logs.event(
            "order-answer-unread", "WARNING", call=call, reason=error.detail
        )
        return wire.OrderAnswer()


def _refusal(response: httpcore.Response, call: str) -> Exception:
    """Returns the error for a response with a status other than 200."""
    answer = _answer(response.content, call)
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
    # "old" means that this or a later run of the task has ended there.
    "old": worker_client.RunOverError,
    # "late" means that the lease in the order had already expired.
    "late": worker_client.LeaseTooOldError,
}
