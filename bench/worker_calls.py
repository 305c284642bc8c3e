"""Measures the HTTP calls between VMs and workers: `bench.worker_calls`.

A real daemon takes announcements and usage reports, each as bytes on a
socket, over one kept connection and over a new one each time. A real fake
worker takes renewals from the production client. Bytes are counted at the
socket, without the headers of TCP and IP; processor time is that of the
daemon, or of this process for the client.
"""

import os
import pathlib
import socket
import tempfile
import time
import typing

import fire
import orjson
import trio

from bench import measuring
from laburnumsill.clients import worker as worker_client
from laburnumsill.core import clock as clocks
from laburnumsill.testing import cluster
from laburnumsill.testing import scenario

CALLS = 900
"""Calls of a kind; the HTTP library closes a connection after 1,000."""
TASKS_A_WORKER = 10
INCARNATION = "00001780000000000000"


class Caller:
    """Sends HTTP requests as bytes and counts what goes both ways."""

    def __init__(self, address: str, keep: bool) -> None:
        host, port = address.split(":")
        self._address = (host, int(port))
        self._keep = keep
        self._socket: socket.socket | None = None
        self.bytes = 0
        self.calls = 0

    def post(self, path: str, body: object) -> bytes:
        """Returns the body of the answer."""
        raw = orjson.dumps(body)
        head = (
            f"POST {path} HTTP/1.1\r\n"
            f"Host: {self._address[0]}:{self._address[1]}\r\n"
            "Content-Type: application/json\r\n"
            f"Content-Length: {len(raw)}\r\n\r\n"
        ).encode()
        if self._socket is None:
            self._socket = socket.create_connection(self._address)
        self._socket.sendall(head + raw)
        answer = self._receive()
        self.bytes += len(head) + len(raw) + len(answer)
        self.calls += 1
        if not self._keep:
            self._socket.close()
            self._socket = None
        return answer.partition(b"\r\n\r\n")[2]

    def _receive(self) -> bytes:
        assert self._socket is not None
        raw = b""
        while True:
            raw += self._socket.recv(65_536)
            head, found, body = raw.partition(b"\r\n\r\n")
            if not found:
                continue
            length = head.lower().partition(b"content-length:")[2]
            if len(body) >= int(length.split()[0]):
                return raw


def announcement(sequence: int) -> dict[str, typing.Any]:
    """Returns a worker's announcement of usual length."""
    return {
        "worker_id": "worker-00001",
        "domain": "north",
        "rack": "rack-0001",
        "address": "10.0.1.7:9000",
        "incarnation": INCARNATION,
        "sequence": sequence,
        "cores": 64,
        "memory_gb": 256,
        "accelerators": 8,
    }


def usage(tasks: int) -> dict[str, typing.Any]:
    """Returns a worker's usage report."""
    return {
        "incarnation": INCARNATION,
        "measured_at": 1_780_000_000.25,
        "tasks": [
            {
                "task_id": f"north.0123456789abcdef-1-{number}",
                "job_id": "north.0123456789abcdef",
                "epoch": 1,
                "state": "running",
                "cores": 6.25,
                "memory_gb": 24.5,
                "accelerators": 0.75,
            }
            for number in range(tasks)
        ],
    }


def measure_calls(
    name: str,
    pid: int,
    caller: Caller,
    path: str,
    body: typing.Callable[[int], object],
) -> dict[str, typing.Any]:
    """Returns what one call costs the daemon."""
    for number in range(50):
        caller.post(path, body(number))
    bytes_before, used = caller.bytes, measuring.cpu_seconds(pid)
    began = time.monotonic()
    for number in range(CALLS):
        caller.post(path, body(50 + number))
    spent = measuring.cpu_seconds(pid) - used
    return {
        "call": name,
        "bytes_both_ways": (caller.bytes - bytes_before) / CALLS,
        "daemon_cpu_us": 1e6 * spent / CALLS,
        "ms_each": 1e3 * (time.monotonic() - began) / CALLS,
        "load": os.getloadavg()[0],
    }


def measure_daemon(address: str, pid: int) -> list[dict[str, typing.Any]]:
    """Returns what announcements and usage reports cost."""
    sequence = int(time.time())
    rows = []
    for keep in (True, False):
        how = "kept connection" if keep else "new connection"

        def announce(number: int, base: int = sequence) -> object:
            return announcement(base + number)

        rows.append(
            measure_calls(
                f"announcement, {how}",
                pid,
                Caller(address, keep),
                "/v1/workers",
                announce,
            )
        )
        sequence += CALLS + 50
    for tasks in (1, TASKS_A_WORKER):
        report = usage(tasks)
        rows.append(
            measure_calls(
                f"usage report, {tasks} tasks",
                pid,
                Caller(address, True),
                "/v1/workers/worker-00001/usage",
                lambda _, report=report: report,  # type: ignore[misc]
            )
        )
    return rows


async def measure_renewals(address: str) -> list[dict[str, typing.Any]]:
    """Returns what renewals cost the caller, one and many at a time."""
    clock = clocks.SystemClock()
    client = worker_client.HttpWorkerClient(clock)
    until = clock.wall() + 600
    name = "north.0123456789abcdef-1-0"
    order = worker_client.Prepare(
        job_id="north.0123456789abcdef",
        epoch=1,
        lease_deadline=until,
        accelerators=[0],
        cores=8,
        memory_gb=24,
        run_s=None,
        command="train",
    )
    await client.prepare(address, name, order, clock.monotonic() + 10)

    async def act(action: worker_client.Action, times: int) -> None:
        for _ in range(times):
            await client.act(
                address, action, name, 1, until, clock.monotonic() + 10
            )

    await act(worker_client.Action.START, 1)
    rows = []
    for at_once in (1, 16, 32, 64):
        await act(worker_client.Action.RENEW, 20)
        used, began = time.process_time(), time.monotonic()
        each = CALLS // at_once
        async with trio.open_nursery() as nursery:
            for _ in range(at_once):
                nursery.start_soon(act, worker_client.Action.RENEW, each)
        calls = each * at_once
        rows.append(
            {
                "call": f"renewal, {at_once} at a time",
                "bytes_both_ways": 0.0,
                "caller_cpu_us": 1e6 * (time.process_time() - used) / calls,
                "ms_each": 1e3 * (time.monotonic() - began) / calls,
                "load": os.getloadavg()[0],
            }
        )
    await client.close()
    caller = Caller(address, True)
    caller.post(f"/tasks/{name}/renew", {"epoch": 1, "lease_deadline": until})
    for row in rows:
        row["bytes_both_ways"] = caller.bytes
    return rows


async def measure_all() -> None:
    """Runs all parts, prints the tables and writes the JSON."""
    layout = cluster.Layout(
        domains={"north": 1}, workers=1, worker_fields={"usage_interval_s": 0}
    )
    with tempfile.TemporaryDirectory() as folder:
        async with cluster.running(pathlib.Path(folder), layout) as site:
            await scenario.start_site(site)
            pid = site.process("vm1").pid
            calls = await trio.to_thread.run_sync(
                measure_daemon, site.address("vm1"), pid
            )
            renewals = await measure_renewals(site.address("worker-north-0"))
    for title, rows in (("Calls of workers", calls), ("Renewals", renewals)):
        measuring.print_table(
            title, list(rows[0]), [list(row.values()) for row in rows]
        )
    measuring.save("worker_calls", {"calls": calls, "renewals": renewals})


def main() -> None:
    """Runs the measurement."""
    trio.run(measure_all)


if __name__ == "__main__":
    fire.Fire(main)
