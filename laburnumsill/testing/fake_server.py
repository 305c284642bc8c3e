"""A fake backend server of a service, run as a process.

``python -m laburnumsill.testing.fake_server --settings server.toml``, where
the file holds the fields of `Settings`. It announces itself, runs requests
in its slots and can be told to misbehave while it runs:

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
import dataclasses
import pathlib
import random
import signal
import typing
from collections import abc

import pydantic
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

CHUNK_BYTES = 65_536
"""Size of one piece of a long answer."""

METHODS = ["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"]

PARETO_SHAPE = 1.5
"""Tail index of the heavy-tailed delay: finite mean, infinite variance."""

Mode = typing.Literal[
    "serve",
    "fail-fast",
    "fail-after-read",
    "truncate",
    "cut",
    "hang",
    "jam",
    "refuse",
]


class Settings(pydantic.BaseModel):
    """Settings of one fake backend server.

    Attributes:
        id: Its name, unique in its service.
        service: The service it belongs to.
        domain: Its failure domain.
        address: ``host:port`` where it takes requests.
        announced_address: What it announces, such as a proxy before it;
            empty means `address`.
        vms: Client addresses of VMs to announce to.
        slots: Requests it runs at a time.
        connections: Connections it says it takes.
        drain_s: Time that it goes on serving after it said it leaves.
        record: File for its runs, see `recorder`.
        log_level: A loguru level name.
    """

    model_config = pydantic.ConfigDict(extra="forbid")

    id: str
    service: str
    domain: str
    address: str
    announced_address: str = ""
    vms: list[str] = pydantic.Field(min_length=1)
    slots: int = 8
    connections: int = 64
    drain_s: float = 3.0
    record: pathlib.Path | None = None
    log_level: str = "INFO"


class Behaviour(pydantic.BaseModel):
    """How requests are treated from now on.

    Attributes:
        mode: ``serve``; ``fail-fast``: `fail_status` before the body is read
            and without a run; ``fail-after-read``: a run, then
            `fail_status`; ``truncate``: a run, then an answer that ends
            after `truncate_at` bytes; ``cut``: a run, then the connection
            is closed without an answer; ``hang``: the request is read and
            never run or answered; ``jam``: the same until the mode changes,
            then it is run and answered late; ``refuse``: the listener is
            closed for `refuse_s`.
        share: Share of the requests that `mode` is for; others are served.
        only_next: How many requests `mode` is for; then it is ``serve``.
        prefix: Only paths that start so are meant by `mode`.
        delay_ms: Mean time that a run takes.
        delay_kind: How that time is spread.
        fail_status: HTTP status of failures.
        answer_bytes: Length of a whole answer, or None for the JSON one.
        truncate_at: Bytes of a truncated answer that are sent.
        refuse_s: How long connections are refused, in seconds.
        announcing: Whether it goes on announcing itself.
    """

    model_config = pydantic.ConfigDict(extra="forbid")

    mode: Mode = "serve"
    share: float = pydantic.Field(default=1.0, ge=0, le=1)
    only_next: int | None = pydantic.Field(default=None, ge=0)
    prefix: str = ""
    delay_ms: float = pydantic.Field(default=0.0, ge=0)
    delay_kind: typing.Literal["fixed", "uniform", "exponential", "pareto"] = (
        "fixed"
    )
    fail_status: int = pydantic.Field(default=503, ge=400, le=599)
    answer_bytes: int | None = pydantic.Field(default=None, ge=0)
    truncate_at: int = pydantic.Field(default=10, ge=0)
    refuse_s: float = pydantic.Field(default=1.0, ge=0)
    announcing: bool = True


@dataclasses.dataclass(slots=True)
class Stats:
    """Counts since the process started.

    Attributes:
        arrived: Requests whose head was read.
        runs: Executions, answered or not.
        answered: Whole answers that were sent off.
        failed: Failures on purpose.
        in_flight: Requests here now.
        busy: Slots in use now.
        peak_in_flight: Most requests here at a time.
        over_committed: Requests that found no free slot.
        last_arrival_at: Wall time of the last arrival, 0 before any.
    """

    arrived: int = 0
    runs: int = 0
    answered: int = 0
    failed: int = 0
    in_flight: int = 0
    busy: int = 0
    peak_in_flight: int = 0
    over_committed: int = 0
    last_arrival_at: float = 0.0


def delay_s(behaviour: Behaviour, draw: random.Random) -> float:
    """Returns the time of one run in seconds, drawn from its distribution.

    Examples:
        >>> delay_s(Behaviour(delay_ms=20), random.Random(1))
        0.02
    """
    mean = behaviour.delay_ms / 1000
    match behaviour.delay_kind:
        case "uniform":
            return draw.uniform(0, 2 * mean)
        case "exponential":
            return draw.expovariate(1 / mean) if mean else 0.0
        case "pareto":
            # The mean of a Pareto variable with scale 1 is a / (a - 1).
            scale = mean * (PARETO_SHAPE - 1) / PARETO_SHAPE
            return scale * draw.paretovariate(PARETO_SHAPE)
        case _:
            return mean


def filler(request_id: str, length: int) -> abc.Iterator[bytes]:
    """Yields `length` bytes: the request id and a space, repeated.

    Each piece starts with the request id again.

    Examples:
        >>> b"".join(filler("ab", 7))
        b'ab ab a'
    """
    unit = (request_id or "-").encode() + b" "
    piece = unit * (CHUNK_BYTES // len(unit) + 1)
    while length > 0:
        part = piece[:length]
        yield part
        length -= len(part)


async def _stream(pieces: abc.Iterator[bytes]) -> abc.AsyncIterator[bytes]:
    """Yields the pieces without leaving the loop's thread."""
    for piece in pieces:
        yield piece


class FakeServer:
    """Runs requests in slots and counts them."""

    def __init__(self, settings: Settings, clock: clocks.Clock) -> None:
        self.behaviour = Behaviour()
        self.stats = Stats()
        self.leaving = False
        self._settings = settings
        self._clock = clock
        self._runs: collections.Counter[str] = collections.Counter()
        self._slots = trio.CapacityLimiter(settings.slots)
        self._changed = trio.Event()
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
        self.behaviour = await problems.read_model(request, Behaviour)
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

    def _mode_for(self, request: requests.Request) -> Mode:
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
        self, request: requests.Request, mode: Mode
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
        await trio.sleep(delay_s(self.behaviour, self._random))
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
        mode: Mode,
    ) -> responses.Response:
        request_id = request.headers.get("laburnumsill-request-id", "")
        length = self.behaviour.answer_bytes
        if mode == "truncate":
            whole = b"".join(filler(request_id, length or 1000))
            return fake_serving.TruncatedResponse(
                whole, self.behaviour.truncate_at
            )
        self.stats.answered += 1
        if length is not None:
            return responses.StreamingResponse(
                _stream(filler(request_id, length)),
                headers={"Content-Length": str(length)},
                media_type="application/octet-stream",
            )
        return problems.json_response(
            {
                "server_id": self._settings.id,
                "request_id": request_id,
                "key": key,
                "run": run,
                "method": request.method,
                "path": request.url.path,
                "body": body.decode("latin-1"),
            }
        )


def main() -> None:
    """Runs one fake backend server until it is told to leave."""
    settings = fake_serving.settings_from_arguments(Settings, str(__doc__))
    logs.set_up(settings.log_level, settings.id)
    server = FakeServer(settings, clocks.SystemClock())
    trio.run(server.run)


if __name__ == "__main__":
    main()
