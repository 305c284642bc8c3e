"""The fakes as real processes, driven over HTTP."""

import pathlib
import signal
import subprocess
import sys
import time
from collections import abc

import httpcore
import orjson
import pytest
import trio

from laburnumsill.testing import ports
from laburnumsill.testing import recorder

START_LIMIT_S = 20.0
NOBODY = '["127.0.0.1:9"]'


class Fake:
    def __init__(
        self,
        kind: str,
        folder: pathlib.Path,
        extra: str,
        vms: str = NOBODY,
    ) -> None:
        self.address = ports.free_address()
        self.record = folder / "record.jsonl"
        settings = folder / "fake.toml"
        settings.write_text(
            f'id = "f1"\naddress = "{self.address}"\nvms = {vms}\n'
            f'domain = "north"\nrecord = "{self.record}"\n{extra}\n'
        )
        module = f"laburnumsill.testing.fake_{kind}"
        self.process = subprocess.Popen(
            [sys.executable, "-m", module, "--settings", str(settings)]
        )
        self.pool = httpcore.AsyncConnectionPool()

    async def call(
        self,
        method: str,
        path: str,
        body: object = None,
        headers: abc.Mapping[str, str] | None = None,
    ) -> tuple[int, object]:
        with trio.fail_after(10):
            answer = await self.pool.request(
                method,
                f"http://{self.address}{path}",
                headers=list((headers or {}).items()),
                content=None if body is None else orjson.dumps(body),
            )
        return answer.status, orjson.loads(answer.content)

    async def up(self, path: str) -> None:
        deadline = time.monotonic() + START_LIMIT_S
        while time.monotonic() < deadline:
            try:
                await self.call("GET", path)
                return
            except httpcore.NetworkError:
                await trio.sleep(0.05)
        raise AssertionError("the fake did not start")

    async def gone(self) -> int:
        return await trio.to_thread.run_sync(self.process.wait, 10)


@pytest.fixture
async def server(tmp_path: pathlib.Path) -> abc.AsyncIterator[Fake]:
    fake = Fake("server", tmp_path, 'service = "tee"\ndrain_s = 0.3')
    await fake.up("/_fake/stats")
    yield fake
    fake.process.kill()
    fake.process.wait()


@pytest.fixture
async def worker(tmp_path: pathlib.Path) -> abc.AsyncIterator[Fake]:
    fake = Fake("worker", tmp_path, 'rack = "r1"')
    await fake.up("/tasks")
    yield fake
    fake.process.kill()
    fake.process.wait()


async def test_server_echoes_and_counts_runs(server: Fake) -> None:
    headers = {"Idempotency-Key": "k1", "Laburnumsill-Request-Id": "r1"}
    for run in (1, 2):
        status, answer = await server.call("POST", "/a", [run], headers)
        assert status == 200
        assert answer["run"] == run
        assert answer["request_id"] == "r1"
        assert answer["body"] == f"[{run}]"
    assert await server.call("GET", "/_fake/runs") == (200, {"k1": 2})
    assert [line["run"] for line in recorder.read(server.record)] == [1, 2]


async def test_server_misbehaves_as_told(server: Fake) -> None:
    async def behave(**fields: object) -> None:
        status, _ = await server.call("POST", "/_fake/behaviour", fields)
        assert status == 200

    await behave(mode="fail-fast", fail_status=500, only_next=1)
    assert (await server.call("GET", "/x"))[0] == 500
    assert (await server.call("GET", "/x"))[0] == 200
    for mode in ("truncate", "cut"):
        await behave(mode=mode)
        with pytest.raises(httpcore.RemoteProtocolError):
            await server.call("GET", "/x")
    await behave(answer_bytes=3_000_000)
    answer = await server.pool.request(
        "GET",
        f"http://{server.address}/x",
        headers=[("Laburnumsill-Request-Id", "r9")],
    )
    assert len(answer.content) == 3_000_000
    assert answer.content[:6] == b"r9 r9 "
    await behave(mode="refuse", refuse_s=0.5)
    await trio.sleep(0.2)
    with pytest.raises(httpcore.ConnectError):
        await server.call("GET", "/x")
    await server.up("/x")
    status, _ = await server.call("POST", "/_fake/behaviour", {"mode": "?"})
    assert status == 400


async def test_server_jams_and_answers_late(server: Fake) -> None:
    await server.call("POST", "/_fake/behaviour", {"mode": "jam"})
    done: list[int] = []

    async def ask() -> None:
        done.append((await server.call("GET", "/x"))[0])

    async with trio.open_nursery() as nursery:
        nursery.start_soon(ask)
        await trio.sleep(0.2)
        assert not done
        await server.call("POST", "/_fake/behaviour", {})
    assert done == [200]


async def test_server_ends_what_is_in_flight_on_sigterm(server: Fake) -> None:
    await server.call("POST", "/_fake/behaviour", {"delay_ms": 800})
    done: list[int] = []

    async def ask() -> None:
        done.append((await server.call("GET", "/x"))[0])

    async with trio.open_nursery() as nursery:
        nursery.start_soon(ask)
        await trio.sleep(0.2)
        server.process.send_signal(signal.SIGTERM)
    assert done == [200]
    assert await server.gone() == 0


def prepare(epoch: int, **fields: object) -> dict[str, object]:
    return {
        "job_id": "north.j1",
        "epoch": epoch,
        "lease_deadline": time.time() + 10,
        "accelerators": [0, 1],
        "run_s": None,
        **fields,
    }


async def test_worker_fences_and_reserves(worker: Fake) -> None:
    call = worker.call
    assert (await call("PUT", "/tasks/t1/prepare", prepare(3)))[0] == 200
    assert (await call("PUT", "/tasks/t1/prepare", prepare(3)))[0] == 200
    status, answer = await call("PUT", "/tasks/t1/prepare", prepare(2))
    assert (status, answer["type"].split("/")[-1]) == (409, "stale-epoch")
    other = prepare(1, job_id="north.j2")
    status, answer = await call("PUT", "/tasks/t2/prepare", other)
    assert (status, answer["type"].split("/")[-1]) == (409, "accelerators-held")
    assert (await call("POST", "/tasks/t1/start", prepare(2)))[0] == 409
    status, task = await call("POST", "/tasks/t1/start", prepare(3))
    assert (status, task["state"]) == (200, "running")
    status, task = await call("PUT", "/tasks/t1/prepare", prepare(4))
    assert (status, task["state"]) == (200, "prepared")
    reasons = [line["reason"] for line in recorder.read(worker.record)]
    assert "superseded" in reasons


async def test_worker_stops_a_task_at_its_lease(worker: Fake) -> None:
    short = prepare(1, lease_deadline=time.time() + 1.0)
    await worker.call("PUT", "/tasks/t1/prepare", short)
    await worker.call("POST", "/tasks/t1/start", short)
    await trio.sleep(1.2)
    _, answer = await worker.call("GET", "/tasks")
    assert answer["tasks"][0]["ended_reason"] == "lease-ended"
    status, _ = await worker.call("POST", "/tasks/t1/renew", prepare(1))
    assert status == 409
    lines = recorder.read(worker.record)
    assert [line["what"] for line in lines] == ["prepared", "running", "ended"]


async def test_worker_refuses_a_prepare_later_than_its_stop(
    worker: Fake,
) -> None:
    assert (await worker.call("POST", "/tasks/t1/stop", prepare(1)))[0] == 200
    status, _ = await worker.call("PUT", "/tasks/t1/prepare", prepare(1))
    assert status == 409
    status, _ = await worker.call("PUT", "/tasks/t1/prepare", prepare(2))
    assert status == 200


async def test_worker_misbehaves_as_told(worker: Fake) -> None:
    lose = {"lose_answers": ["prepare"], "only_next": 1, "crash_starts": True}
    await worker.call("POST", "/_fake/behaviour", lose)
    with pytest.raises(httpcore.RemoteProtocolError):
        await worker.call("PUT", "/tasks/t1/prepare", prepare(1))
    _, answer = await worker.call("GET", "/tasks")
    assert answer["tasks"][0]["state"] == "prepared"
    assert (await worker.call("POST", "/tasks/t1/start", prepare(1)))[0] == 200
    await trio.sleep(0.3)
    _, answer = await worker.call("GET", "/tasks")
    assert answer["tasks"][0]["state"] == "failed"
    refuse = {"refuse": ["prepare"]}
    await worker.call("POST", "/_fake/behaviour", refuse)
    status, _ = await worker.call("PUT", "/tasks/t2/prepare", prepare(1))
    assert status == 503
