"""Backend servers as queues with slots, in virtual time.

The production classes of a VM run against these in trio's `MockClock`: a
request takes a slot of its server, first come first served, and holds it for
the time that its target names (``/work/0.05``). Reports of busy slots reach
the VMs as seldom as the member table passes them on.
"""

import dataclasses
import typing
from collections import abc

import trio

from laburnumsill.clients import backend
from laburnumsill.core import clock as clocks
from laburnumsill.core import members

ONE_WAY_S = 0.0005
"""Between VM and server inside a failure domain."""

FAST_FAILURE_S = 0.001

TARGET = b"/work/"


class VirtualClock(clocks.Clock):
    """The clock of the trio run, real or virtual."""

    def monotonic(self) -> float:
        """Returns the run's own time."""
        return trio.current_time()

    def wall(self) -> float:
        """Returns the run's own time."""
        return trio.current_time()


class ModelServer:
    """One server.

    Args:
        server: What it announces.
        slowness: Factor on the time of each request.

    Attributes:
        mode: ``serve``, ``fail-fast`` (503 at once), ``frozen`` (takes
            requests and never answers) or ``lost`` (connections hang).
        arrived: Requests that came in.
        over_committed: Those that found no slot free.
    """

    def __init__(
        self, server: members.BackendServer, slowness: float = 1.0
    ) -> None:
        self.server = server
        self.slowness = slowness
        self.mode = "serve"
        self.arrived = 0
        self.over_committed = 0
        self._slots = trio.CapacityLimiter(server.slots)

    @property
    def busy(self) -> int:
        """Slots in use."""
        return int(self._slots.borrowed_tokens)

    async def run(self, seconds: float) -> int:
        """Runs one request and returns its HTTP status."""
        self.arrived += 1
        if self.mode == "fail-fast":
            await trio.sleep(FAST_FAILURE_S)
            return 503
        if self.mode != "serve":
            await trio.sleep_forever()
        if not self._slots.available_tokens:
            self.over_committed += 1
        async with self._token():
            await trio.sleep(seconds * self.slowness)
        return 200

    def _token(self) -> "_Token":
        return _Token(self._slots)


class _Token:
    """A slot for one request; a task may hold several."""

    def __init__(self, slots: trio.CapacityLimiter) -> None:
        self._slots = slots

    async def __aenter__(self) -> None:
        await self._slots.acquire_on_behalf_of(self)

    async def __aexit__(self, *error: object) -> None:
        self._slots.release_on_behalf_of(self)


class ModelView(members.MemberView):
    """Members as the VMs see them; `refresh` is called in `report`."""

    def __init__(self, servers: abc.Sequence[ModelServer]) -> None:
        self._models = list(servers)
        self._present = tuple(model.server for model in servers)
        self._sequence = 1

    def servers(self, service: str) -> tuple[members.BackendServer, ...]:
        """Returns the present servers; all are of one service."""
        return self._present

    def workers(self, domain: str) -> tuple[members.Worker, ...]:
        """Returns nothing."""
        return ()

    def remove(self, gone: abc.Container[ModelServer]) -> None:
        """Takes servers out, as when their announcements stop."""
        self._models = [m for m in self._models if m not in gone]
        self.refresh()

    def add(self, back: abc.Iterable[ModelServer]) -> None:
        """Puts servers in, as when they announce themselves again."""
        self._models += back
        self.refresh()

    def refresh(self) -> None:
        """Passes the busy slots of now on to all VMs."""
        self._sequence += 1
        self._present = tuple(
            dataclasses.replace(
                model.server, busy=model.busy, sequence=self._sequence
            )
            for model in self._models
        )

    async def report(self, period_s: float) -> None:
        """Refreshes until cancelled."""
        while True:
            await trio.sleep(period_s)
            self.refresh()


class ModelClient(backend.BackendClient):
    """Takes requests to model servers by their address."""

    def __init__(self, servers: abc.Iterable[ModelServer]) -> None:
        self._models = {model.server.address: model for model in servers}
        self.sent = 0

    async def send(
        self,
        server: members.BackendServer,
        request: backend.BackendRequest,
        deadline: float,
    ) -> backend.BackendAnswer:
        """Sends a request, see the base class."""
        model = self._models[server.address]
        if model.mode == "lost":
            until = trio.current_time() + backend.CONNECT_TIMEOUT_S
            await trio.sleep_until(min(deadline, until))
            raise backend.ConnectFailedError(
                f"{server.server_id} does not answer"
            )
        self.sent += 1
        seconds = float(request.target.removeprefix(TARGET))
        with trio.move_on_at(deadline):
            await trio.sleep(ONE_WAY_S)
            status = await model.run(seconds)
            await trio.sleep(ONE_WAY_S)
            return _ModelAnswer(status)
        raise backend.AnswerLateError("no answer by the deadline")

    async def aclose(self) -> None:
        """Does nothing."""


class _ModelAnswer(backend.BackendAnswer):
    def __init__(self, status: int) -> None:
        self._status = status

    @property
    def status(self) -> int:
        """The HTTP status."""
        return self._status

    @property
    def headers(self) -> backend.Headers:
        """One header."""
        return ((b"content-length", b"2"),)

    async def chunks(self) -> typing.AsyncIterator[bytes]:
        """Yields the body."""
        yield b"ok"

    async def aclose(self) -> None:
        """Does nothing."""
