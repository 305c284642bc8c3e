"""A whole site on loopback: ``python -m laburnumsill.testing.demo``.

Starts the daemons, backend servers and workers of `examples/tana-shore` as
processes, pushes the configuration with the command-line tool, sends
requests and jobs through different VMs, prints one line for each and shuts
everything down gracefully. Exits 0 only if every outcome was the right one.
"""

import argparse
import dataclasses
import pathlib
import shutil
import signal
import sys
import time
import tomllib
import typing
from collections import abc

import httpcore
import trio

from laburnumsill.testing import http
from laburnumsill.testing import processes

ROOT = pathlib.Path(__file__).parents[2]
SITE = ROOT / "examples" / "tana-shore"
BASE = ROOT / "examples" / "base.toml"
RUN = ROOT / "run" / "tana-shore"
READY_TIMEOUT_S = 40.0
POLL_S = 0.1

SERVICE = "/v1/services/booking"
CONFIRMATION_KEY = "demo-confirmation-1"


class DemoFailedError(Exception):
    """An outcome that is not the right one."""


@dataclasses.dataclass(frozen=True, slots=True)
class Step:
    """One thing that the demo does and shows.

    Attributes:
        title: What is done.
        run: Does it and returns what came out, or raises DemoFailedError.
    """

    title: str
    run: abc.Callable[[], abc.Awaitable[str]]


class Demo:
    """The processes of the site and the steps that are shown on it."""

    def __init__(self) -> None:
        entries = tomllib.loads((SITE / "vms.toml").read_text())["vms"]
        self._addresses = {vm["vm_id"]: vm["client_address"] for vm in entries}
        self._clients = {
            vm_id: http.Client(address)
            for vm_id, address in self._addresses.items()
        }
        self._processes = [
            *self._started("vm*.toml", "laburnumsill.daemon.main"),
            *self._started("server*.toml", "laburnumsill.testing.fake_server"),
            *self._started("worker*.toml", "laburnumsill.testing.fake_worker"),
        ]
        self._job = ""

    def _started(self, pattern: str, module: str) -> list[processes.Process]:
        files = sorted(SITE.rglob(pattern))
        return [
            processes.Process(
                path.stem,
                module,
                ["--settings", str(path)],
                RUN / f"{path.stem}.log",
            )
            for path in files
            if path.name != "vms.toml"
        ]

    async def run(self, keep: bool) -> bool:
        """Runs all steps; returns whether every outcome was right."""
        shutil.rmtree(RUN, ignore_errors=True)
        RUN.mkdir(parents=True)
        for process in self._processes:
            process.start()
        try:
            right = await self._show(self._steps())
            if keep and right:
                await _until_interrupted()
        finally:
            codes = processes.stop_all(self._processes)
        bad = {name: code for name, code in codes.items() if code != 0}
        print(f"shutdown: {len(codes)} processes, not graceful: {bad or 0}")
        return right and not bad and len(codes) == len(self._processes)

    async def _show(self, steps: abc.Sequence[Step]) -> bool:
        right = True
        for step in steps:
            begun = time.monotonic()
            try:
                text = await step.run()
                mark = "ok"
            except (DemoFailedError, httpcore.NetworkError, TimeoutError) as e:
                text, mark, right = repr(e), "WRONG", False
            taken = time.monotonic() - begun
            print(
                f"{mark:5} {step.title:44} {taken:6.2f} s  {text}", flush=True
            )
            if mark == "WRONG" and step.title.startswith("start"):
                break
        return right

    def _steps(self) -> list[Step]:
        return [
            Step("start 8 daemons, push base and overlay", self._start_up),
            Step("members announced themselves", self._members),
            Step("slot offer through vm1", self._slot_offer),
            Step("booking confirmation through vm2", self._confirm),
            Step("its resend through vm3", self._resend),
            Step("photo tagging, durable, through vm4", self._tagging),
            Step("gang of 16 accelerators through vm5", self._gang),
            Step("a job cancelled through vm6", self._cancel),
            Step("an impossible job refused by vm7", self._impossible),
            Step("the gang has succeeded, asked at vm8", self._gang_done),
        ]

    async def _start_up(self) -> str:
        await self._until(self._pushed, "the configuration is accepted")
        await self._until(self._all_ready, "all VMs are ready")
        return f"{len(self._addresses)} VMs ready, version 1 in force"

    async def _pushed(self) -> bool:
        command = [
            sys.executable,
            "-m",
            "laburnumsill.cli.main",
            "config",
            "push",
            str(BASE),
            f"--overlay={SITE / 'site.toml'}",
            "--expected-version=0",
            "--operator=demo",
            f"--vms={','.join(self._addresses.values())}",
        ]
        done = await trio.run_process(
            command,
            check=False,
            capture_stdout=True,
            capture_stderr=True,
        )
        if done.returncode == 2:
            raise DemoFailedError(done.stderr.decode())
        return done.returncode == 0

    async def _all_ready(self) -> bool:
        for client in self._clients.values():
            answer = await client.send("GET", "/readyz")
            if answer.status != 200:
                return False
        return True

    async def _members(self) -> str:
        await self._until(self._all_members, "all members are known")
        return "6 backend servers and 6 workers known on every VM"

    async def _all_members(self) -> bool:
        for client in self._clients.values():
            servers = await client.send("GET", "/v1/backend-servers")
            workers = await client.send("GET", "/v1/workers")
            if _count(servers, workers) != (6, 6):
                return False
        return True

    async def _slot_offer(self) -> str:
        answer = await self._request("vm1", "slot-offer", "/offers?hut=7")
        _expect(answer, 200, "answered")
        return _served(answer)

    async def _confirm(self) -> str:
        answer = await self._request(
            "vm2",
            "booking-confirmation",
            "/confirmations",
            {"hut": 7},
            CONFIRMATION_KEY,
        )
        _expect(answer, 200, "answered")
        return _served(answer)

    async def _resend(self) -> str:
        answer = await self._request(
            "vm3",
            "booking-confirmation",
            "/confirmations",
            {"hut": 7},
            CONFIRMATION_KEY,
        )
        _expect(answer, 200, "answered")
        if answer.json()["run"] != 1:
            raise DemoFailedError(f"ran again: {answer.json()}")
        return _served(answer) + ", the same answer again"

    async def _tagging(self) -> str:
        answer = await self._request(
            "vm4", "photo-tagging", "/tags", {"photo": 1}, "demo-photo-1"
        )
        _expect(answer, 202, "accepted")
        await self._until(self._tagged, "the photo is tagged")
        return "accepted, then run"

    async def _tagged(self) -> bool:
        answer = await self._clients["vm1"].send(
            "GET",
            "/v1/requests/demo-photo-1?service=booking&account=lakeside",
        )
        return answer.status == 200 and answer.json()["state"] == "succeeded"

    async def _gang(self) -> str:
        answer = await self._submit("vm5", 2, 8, "demo-gang-1", run_s=2)
        _expect(answer, 201)
        self._job = answer.json()["job_id"]
        await self._until(self._gang_runs, "the gang runs")
        return f"{self._job} runs on 2 workers"

    async def _gang_runs(self) -> bool:
        return await self._job_state(self._job) in ("running", "succeeded")

    async def _gang_done(self) -> str:
        async def done() -> bool:
            return await self._job_state(self._job) == "succeeded"

        await self._until(done, "the gang succeeds")
        return f"{self._job} succeeded"

    async def _cancel(self) -> str:
        answer = await self._submit("vm6", 1, 1, "demo-cancel-1", run_s=60)
        _expect(answer, 201)
        job = answer.json()["job_id"]
        cancelled = await self._clients["vm6"].send("DELETE", f"/v1/jobs/{job}")
        _expect(cancelled, 200)
        state = await self._job_state(job)
        if state != "cancelled":
            raise DemoFailedError(f"{job} is {state}")
        return f"{job} cancelled"

    async def _impossible(self) -> str:
        answer = await self._submit("vm7", 100, 8, "demo-impossible-1")
        _expect(answer, 422)
        return answer.json()["detail"]

    async def _request(
        self,
        vm_id: str,
        request_class: str,
        path: str,
        body: object = None,
        key: str = "",
    ) -> http.Answer:
        headers = {
            "Laburnumsill-Class": request_class,
            "Laburnumsill-Account": "lakeside",
        }
        if key:
            headers["Idempotency-Key"] = key
        return await self._clients[vm_id].send(
            "POST" if body else "GET", SERVICE + path, body, headers
        )

    async def _submit(
        self,
        vm_id: str,
        tasks: int,
        accelerators: int,
        key: str,
        run_s: float = 1,
    ) -> http.Answer:
        job = {
            "account": "lakeside",
            "tasks": tasks,
            "accelerators": accelerators,
            "run_s": run_s,
        }
        return await self._clients[vm_id].send(
            "POST", "/v1/jobs", job, {"Idempotency-Key": key}
        )

    async def _job_state(self, job: str) -> str:
        answer = await self._clients["vm8"].send("GET", f"/v1/jobs/{job}")
        _expect(answer, 200)
        state: str = answer.json()["state"]
        return state

    async def _until(
        self, condition: abc.Callable[[], abc.Awaitable[bool]], what: str
    ) -> None:
        with trio.move_on_after(READY_TIMEOUT_S):
            while True:
                try:
                    if await condition():
                        return
                except (httpcore.NetworkError, httpcore.TimeoutException):
                    pass
                await trio.sleep(POLL_S)
        raise DemoFailedError(f"not within {READY_TIMEOUT_S} s: {what}")


async def _until_interrupted() -> None:
    with trio.open_signal_receiver(signal.SIGINT, signal.SIGTERM) as signals:
        print("The site goes on; interrupt with Ctrl-C.", flush=True)
        async for _ in signals:
            return


def _count(servers: http.Answer, workers: http.Answer) -> tuple[int, int]:
    return (
        len(servers.json()["backend_servers"]),
        len(workers.json()["workers"]),
    )


def _expect(
    answer: http.Answer, status: int, outcome: str | None = None
) -> None:
    if answer.status != status or answer.outcome not in (outcome, None):
        raise DemoFailedError(
            f"{answer.status} {answer.outcome} {answer.body[:300]!r}"
        )


def _served(answer: http.Answer) -> str:
    body: dict[str, typing.Any] = answer.json()
    return f"{answer.outcome} by {body['server_id']}, run {body['run']}"


def main() -> None:
    """Runs the demo."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        "--keep",
        action="store_true",
        help="keep the site running until interrupted",
    )
    keep = parser.parse_args().keep
    begun = time.monotonic()
    right = trio.run(Demo().run, keep)
    print(f"{'all outcomes right' if right else 'FAILED'}", end=", ")
    print(f"{time.monotonic() - begun:.1f} s")
    sys.exit(0 if right else 1)


if __name__ == "__main__":
    main()
