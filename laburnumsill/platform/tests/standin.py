"""Fakes of the platform's executors, operator and callers.

They follow the platform's published protocol. They are part of this package
because they use the names of that protocol.
"""

import contextlib
import json
import typing

import httpcore
import trio

from laburnumsill.batch import commands
from laburnumsill.batch import model
from laburnumsill.batch import worker_client
from laburnumsill.clients import http_pools
from laburnumsill.core import errors
from laburnumsill.emulator import workers as emulated
from laburnumsill.platform import http

KEY = "key-of-lakeside"
HOST = "queues.example"
POOL = "hutdesk"

_HOW = {
    commands.EndKind.DONE: "done",
    commands.EndKind.FAILED: "failed",
    commands.EndKind.STOPPED: "stopped",
    commands.EndKind.LEASE_ENDED: "lapsed",
    commands.EndKind.MEMBER_ENDED: "broken",
    commands.EndKind.INCOMPLETE_GANG: "alone",
}
_REASONS = {
    worker_client.FencedOffError: "fence",
    worker_client.RunOverError: "old",
    worker_client.LeaseTooOldError: "late",
}


def configuration(version: int, **changes: typing.Any) -> dict:
    routes = [
        {
            "name": name,
            "host": HOST,
            "path_prefix": f"/{name}/",
            "kind": "unsafe",
            "timeout_ms": 3000,
            "target_duration_ms": 250,
            "priority": priority,
            "service": POOL,
            "max_attempts": 3,
            "stretch": 1.5,
            "public": False,
        }
        for priority, name in enumerate(["urgent", "sweep", "batch"])
    ]
    return {
        "version": version,
        "routes": routes,
        "services": [{"name": POOL, "enforces_capacity": False}],
        "limits": {"max_body_bytes": 4096},
        "tenants": [
            {"name": "lakeside", "api_keys": [KEY], "guaranteed": {"gpu": 8}}
        ],
        **changes,
    }


def job_body(job: model.Job) -> dict:
    """Returns the body with which a caller submits a job."""
    return {
        "spec": job.payload,
        "steps": [
            {
                "count": step.tasks,
                "cpu": step.needs.cpu_millis,
                "mem_mb": step.needs.memory_mb,
                "gpu": step.needs.accelerators,
                "estimate_ms": step.estimated_ms,
                "depends_on": list(step.depends_on),
                "gang": step.gang,
                "same_rack": step.same_rack,
                "max_per_server": step.max_per_worker,
                "saves_progress": step.saves_progress,
                "long_running": step.long_running,
            }
            for step in job.steps
        ],
    }


def wire_id(worker: emulated.EmulatedWorker) -> str:
    """Returns a worker's id on the wire, which incarnations may share."""
    return worker.worker.worker_id.partition("@")[0]


class ExecutorApp:
    """Serves one emulated worker as the platform's executor does.

    The connections of an incarnation end with it: a request over one of them
    does not reach the next incarnation.
    """

    def __init__(self, worker: emulated.EmulatedWorker) -> None:
        self.worker = worker
        self.calls: list[str] = []
        self._connections: dict[tuple, emulated.EmulatedWorker] = {}

    async def __call__(self, scope, receive, send) -> None:
        if scope["type"] != "http":
            return
        request = http.request_of(scope)
        try:
            body = json.loads(await http.read_body(receive))
        except http.DisconnectedError:
            return
        worker = self.worker
        client = tuple(scope["client"])
        if self._connections.setdefault(client, worker) is not worker:
            return  # the connection of an earlier incarnation
        self.calls.append(request.path)
        status, answer = await self._answer(request, body)
        if worker.is_down:
            return  # a crashed worker does not answer
        answer["clock_ms"] = self.worker.clock_ms
        await http.send_answer(send, http.json_answer(status, answer))

    async def _answer(self, request, body):
        expected = request.headers["x-expect-instance"]
        if self.worker.gone or expected != wire_id(self.worker):
            return 421, {}
        try:
            if request.path == "/-/run-start":
                self.worker.start(
                    worker_client.StartOrder(
                        _run(body),
                        body["spec"],
                        body.get("saved", ""),
                        body["deadline_at_ms"],
                        body["fence"],
                    ),
                    False,
                )
                return 200, {}
            if request.path == "/-/run-stop":
                self.worker.stop(_run(body), body["fence"])
                return 200, {}
            return 200, await self._hold(body)
        except errors.ConflictError as error:
            return 409, {"reason": _REASONS[type(error)]}

    async def _hold(self, body):
        report = await self.worker.report(
            worker_client.ReportOrder(
                body.get("deadline_at_ms"),
                body["fence"],
                body["ack_cursor"],
                body.get("wait_ms", 0),
            )
        )
        return {
            **_born(self.worker),
            "running": [
                [str(one.run.task), one.run.number, one.saved, one.percent]
                for one in report.running
            ],
            "ended": [
                [
                    end.number,
                    str(end.run.task),
                    end.run.number,
                    _HOW[end.kind],
                    end.saved,
                ]
                for end in report.ended
            ],
        }


def _born(worker: emulated.EmulatedWorker) -> dict[str, int]:
    return {} if worker.born_ms is None else {"born": worker.born_ms}


def _run(body) -> model.RunId:
    return model.RunId(model.TaskId.parse(body["task"]), body["run"])


class Caller:
    """HTTP client that calls daemons by their addresses."""

    def __init__(self, addresses: list[str]) -> None:
        self.addresses = addresses
        self._pool = httpcore.AsyncConnectionPool(max_connections=20)

    async def call(
        self, method, path, body=None, address=None, key=KEY, host=HOST
    ):
        """Returns status and JSON of the answer, or (0, None) without one."""
        content = b"" if body is None else json.dumps(body).encode()
        return await self.send(method, path, content, address, key, host)

    async def send(
        self, method, path, content, address=None, key=KEY, host=HOST
    ):
        """Calls like `call`, with a body of raw bytes."""
        headers = {
            "Host": host,
            "Authorization": f"Bearer {key}",
            "X-Deadline-Ms": "2000",
        }
        with contextlib.suppress(
            httpcore.NetworkError, httpcore.ProtocolError, OSError
        ):
            with trio.move_on_after(3):
                response = await self._pool.request(
                    method,
                    f"http://{address or self.addresses[0]}{path}",
                    headers=headers,
                    content=content,
                )
                raw = response.content
                return response.status, json.loads(raw) if raw else None
        # Connections are silenced together, so the other idle connections are
        # closed too; each would cost a timeout of 3 s.
        await http_pools.close_idle(self._pool)
        return 0, None

    async def until(self, wanted, method, path, body=None, within=15.0):
        """Repeats a call at all addresses until its status is `wanted`."""
        with trio.fail_after(within):
            while True:
                for address in self.addresses:
                    status, answer = await self.call(
                        method, path, body, address
                    )
                    if status == wanted:
                        return answer
                await trio.sleep(0.1)

    async def until_state(self, path, state, within=20.0):
        with trio.fail_after(within):
            while True:
                answer = await self.until(200, "GET", path, within=within)
                if answer["state"] == state:
                    return
                await trio.sleep(0.1)

    async def aclose(self) -> None:
        await self._pool.aclose()


def heartbeat(worker: emulated.EmulatedWorker, sequence: int, **changes):
    known = worker.worker
    return {
        "service": known.pool,
        "address": known.address,
        "zone": known.domain,
        "version": "v1",
        "slots": 8,
        "state": "ready",
        "cold_left_ms": 0,
        "capacity": {
            "cpu": known.capacity.cpu_millis,
            "mem_mb": known.capacity.memory_mb,
            "gpu": known.capacity.accelerators,
        },
        "labels": list(known.labels),
        "clock_ms": worker.clock_ms,
        "seq": sequence,
        **_born(worker),
        **changes,
    }
