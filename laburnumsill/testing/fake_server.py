"""A fake backend server of a service, run as a process.

``python -m laburnumsill.testing.fake_server --settings server.toml``, where
the file holds the fields of `server_behaviour.Settings`. It announces itself,
runs requests in its slots and can be told to misbehave while it runs:

* ``GET /_fake/runs``: ``{"<Idempotency-Key>": runs, ...}``, executions only.
* ``GET /_fake/stats``: the fields of `Stats`.
* ``POST /_fake/behaviour``: a JSON object with fields of `Behaviour`; fields
  left out go back to their defaults.

Every other path is a request. A whole answer is JSON with ``server_id``,
``request_id`` (header ``Laburnumsill-Request-Id``), ``key`` (header
``Idempotency-Key``), ``run`` (how often this key has run, 1 at first),
``method``, ``path`` and ``body`` (the request's body as Latin-1), so that a
crossed answer is seen. With `answer_bytes` it is that many bytes instead,
the request id repeated; see `filler`. SIGTERM makes it leave gracefully.
"""

import collections
import random
import signal
from collections import abc

import trio
from starlette import applications
from starlette import requests
from starlette import responses
from starlette import routing

from laburnumsill.api import problems
from laburnumsill.core import clock as clocks
from laburnumsill.core import logs
from laburnumsill.testing import announcer
from laburnumsill.testing import fake_serving
from laburnumsill.testing import recorder
from laburnumsill.testing import server_behaviour

METHODS = ["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"]


async def _stream(pieces: abc.Iterator[bytes]) -> abc.AsyncIterator[bytes]:
    """Yields the pieces without leaving the loop's thread."""
    for piece in pieces:
        yield piece


class FakeServer:
    """Runs requests in slots and counts them."""

    def __init__(
        self, settings: server_behaviour.Settings, clock: clocks.Clock
    ) -> None:
        self.behaviour = server_behaviour.Behaviour()
        self.stats = server_behaviour.Stats()
        self.leaving = False
        self._settings = settings
        self._clock = clock
        self._runs: collections.Counter[str] = collections.Counter()
        self._slots = trio.CapacityLimiter(settings.slots)
        self._changed = trio.Event()
        self._crossed: dict[str, object] = {"request_id": "none yet"}
        self._random = random.Random(settings.id)
        self._recorder = recorder.Recorder(settings.record, clock)
        self.listener = fake_serving.Listener(self.app(), settings.address)
        self.announcer = announcer.Announcer(
            "backend-servers",
            settings.id,
            settings.vms,
            self.document,
            clock,
            f"service={settings.service}",
        )

    def document(self) -> dict[str, object]:
        """Returns this server's announcement."""
        mine = self._settings
        return {
            "server_id": mine.id,
            "service": mine.service,
            "domain": mine.domain,
            "address": mine.announced_address or mine.address,
            "slots": mine.slots,
            "connections": mine.connections,
            "busy": self.stats.busy,
            "leaving": self.leaving,
        }

    def app(self) -> applications.Starlette:
        """Returns the ASGI app."""
        return applications.Starlette(
            routes=[
                routing.Route("/_fake/runs", self._get_runs),
                routing.Route("/_fake/stats", self._get_stats),
                routing.Route(
                    "/_fake/behaviour",
                    problems.guarded(self._set_behaviour),
                    methods=["POST"],
                ),
                routing.Route(
                    "/{path:path}", self._take_request, methods=METHODS
                ),
            ]
        )

    async def run(self) -> None:
        """Serves and announces until SIGTERM or SIGINT, then leaves."""
        with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as caught:
            async with trio.open_nursery() as nursery:
                await nursery.start(self.listener.run)
                nursery.start_soon(self.announcer.run)
                async for _ in caught:
                    break
                await self._leave()
        await self.announcer.aclose()
        self._recorder.close()

    async def _leave(self) -> None:
        logs.event("leaving", server=self._settings.id)
        self.leaving = True
        self.announcer.announce_soon()
        await trio.sleep(self._settings.drain_s)
        self.listener.stop()
        await self.listener.ended.wait()
        await self.announcer.leave()
        logs.event("left", server=self._settings.id, runs=self.stats.runs)

    async def _get_runs(self, request: requests.Request) -> responses.Response:
        return problems.json_response(dict(self._runs))

    async def _get_stats(self, request: requests.Request) -> responses.Response:
        return problems.json_response(self.stats)

    async def _set_behaviour(
        self, request: requests.Request
    ) -> responses.Response:
        self.behaviour = await problems.read_model(
            request, server_behaviour.Behaviour
        )
        self.announcer.paused = not self.behaviour.announcing
        self._changed.set()
        self._changed = trio.Event()
        if self.behaviour.mode == "refuse":
            trio.lowlevel.spawn_system_task(self._refuse_soon)
        return problems.json_response(self.behaviour.model_dump())

    async def _refuse_soon(self) -> None:
        await trio.sleep(0.02)  # lets the answer to the operator out
        self.listener.refuse(self.behaviour.refuse_s)

    async def _take_request(
        self, request: requests.Request
    ) -> responses.Response:
        stats = self.stats
        stats.arrived += 1
        stats.in_flight += 1
        stats.peak_in_flight = max(stats.peak_in_flight, stats.in_flight)
        stats.last_arrival_at = self._clock.wall()
        if self._slots.available_tokens < 1:
            stats.over_committed += 1
        try:
            return await self._treat(request, self._mode_for(request))
        finally:
            stats.in_flight -= 1

    def _mode_for(self, request: requests.Request) -> server_behaviour.Mode:
        behaviour = self.behaviour
        if not request.url.path.startswith(behaviour.prefix):
            return "serve"
        if self._random.random() >= behaviour.share:
            return "serve"
        if behaviour.only_next is not None:
            if behaviour.only_next == 0:
                return "serve"
            behaviour.only_next -= 1
        return behaviour.mode

    async def _treat(
        self, request: requests.Request, mode: server_behaviour.Mode
    ) -> responses.Response:
        if mode == "fail-fast":
            return self._failure()
        body = await request.body()
        if mode == "hang":
            await fake_serving.disconnected(request)
            return fake_serving.CutResponse()
        if mode == "jam":
            await self._changed.wait()
        key = request.headers.get("idempotency-key", "")
        async with self._slots:
            self.stats.busy = int(self._slots.borrowed_tokens)
            run = await self._execute(key, request)
        self.stats.busy = int(self._slots.borrowed_tokens)
        if mode == "fail-after-read":
            return self._failure()
        if mode == "cut":
            return fake_serving.CutResponse()
        return self._answer(request, body, key, run, mode)

    async def _execute(self, key: str, request: requests.Request) -> int:
        self.stats.runs += 1
        if key:
            self._runs[key] += 1
        run = self._runs[key] if key else 0
        self._recorder.write("run", key=key, run=run, path=request.url.path)
        await trio.sleep(server_behaviour.delay_s(self.behaviour, self._random))
        return run

    def _failure(self) -> responses.Response:
        self.stats.failed += 1
        status = self.behaviour.fail_status
        return problems.json_response({"failed": "on purpose"}, status)

    def _answer(
        self,
        request: requests.Request,
        body: bytes,
        key: str,
        run: int,
        mode: server_behaviour.Mode,
    ) -> responses.Response:
        request_id = request.headers.get("laburnumsill-request-id", "")
        length = self.behaviour.answer_bytes
        if mode == "truncate":
            whole = b"".join(
                server_behaviour.filler(request_id, length or 1000)
            )
            return fake_serving.TruncatedResponse(
                whole, self.behaviour.truncate_at
            )
        self.stats.answered += 1
        if length is not None:
            return responses.StreamingResponse(
                _stream(server_behaviour.filler(request_id, length)),
                headers={"Content-Length": str(length)},
                media_type="application/octet-stream",
            )
        answer: dict[str, object] = {
            "server_id": self._settings.id,
            "request_id": request_id,
            "key": key,
            "run": run,
            "method": request.method,
            "path": request.url.path,
            "body": body.decode("latin-1"),
        }
        if mode == "cross":
            answer, self._crossed = self._crossed, answer
        echo = {"Laburnumsill-Request-Id": str(answer["request_id"])}
        return problems.json_response(answer, headers=echo)


def main() -> None:
    """Runs one fake backend server until it is told to leave."""
    settings = fake_serving.settings_from_arguments(
        server_behaviour.Settings, str(__doc__)
    )
    logs.set_up(settings.log_level, settings.id)
    server = FakeServer(settings, clocks.SystemClock())
    trio.run(server.run)


if __name__ == "__main__":
    main()
