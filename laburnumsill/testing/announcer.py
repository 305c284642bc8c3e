"""Announces a fake member to the VMs until it leaves.

A member knows a few client addresses, as behind a balancer, and tries the
next one when an attempt fails. It announces again at the point in time that
the answer names.
"""

from collections import abc

import httpcore
import orjson
import trio

from laburnumsill.core import clock as clocks
from laburnumsill.core import logs

ATTEMPT_TIMEOUT_S = 0.4
"""Time for one attempt at one VM, in seconds."""

RETRY_PAUSE_S = 0.05
"""Pause after a failed attempt, in seconds."""

DEFAULT_INTERVAL_S = 0.5
"""Time to the next announcement if the answer names none, in seconds."""

Document = abc.Callable[[], dict[str, object]]


class Announcer:
    """Repeats one member's announcement.

    Attributes:
        paused: While True nothing is announced, as if the member hung.
    """

    def __init__(
        self,
        collection: str,
        member_id: str,
        vms: abc.Sequence[str],
        document: Document,
        clock: clocks.Clock,
        leave_query: str = "",
    ) -> None:
        """Makes an announcer.

        Args:
            collection: ``backend-servers`` or ``workers``.
            member_id: The member's id.
            vms: Client addresses (``host:port``) of VMs.
            document: Returns the announcement without `incarnation` and
                `sequence`.
            clock: The clock of this process.
            leave_query: Further query parameters of the last call, such as
                ``service=tee-sheet``.
        """
        self.paused = False
        self._collection = collection
        self._member_id = member_id
        self._vms = list(vms)
        self._document = document
        self._clock = clock
        self._leave_query = leave_query
        self._incarnation = f"{int(clock.wall() * 1e6):020d}"
        self._sequence = 0
        self._left = False
        self._vm = 0
        self._wake = trio.Event()
        self._pool = httpcore.AsyncConnectionPool(
            max_connections=4, keepalive_expiry=30.0
        )

    @property
    def incarnation(self) -> str:
        """New for each start, and sorts after all earlier ones."""
        return self._incarnation

    @property
    def sequence(self) -> int:
        """Number of the last announcement."""
        return self._sequence

    async def run(self) -> None:
        """Announces until `leave` is called."""
        while not self._left:
            self._wake = trio.Event()
            next_at = self._clock.wall() + RETRY_PAUSE_S
            if not self.paused:
                next_at = await self.announce() or next_at
            with trio.move_on_after(max(0, next_at - self._clock.wall())):
                await self._wake.wait()

    def announce_soon(self) -> None:
        """Lets `run` announce at once."""
        self._wake.set()

    async def announce(self) -> float | None:
        """Announces once and returns when to do so again, wall time.

        Returns:
            None if the attempt failed; the next one goes to the next VM.
        """
        self._sequence += 1
        body = {
            **self._document(),
            "incarnation": self._incarnation,
            "sequence": self._sequence,
        }
        answer = await self._call("POST", f"/v1/{self._collection}", body)
        if answer is None:
            return None
        next_at = answer.get("next_announce_at")
        if isinstance(next_at, int | float):
            return float(next_at)
        return self._clock.wall() + DEFAULT_INTERVAL_S

    async def leave(self) -> bool:
        """Says that this member is gone; tries each VM once."""
        self._left = True
        self._wake.set()
        query = f"incarnation={self._incarnation}"
        if self._leave_query:
            query += "&" + self._leave_query
        path = f"/v1/{self._collection}/{self._member_id}?{query}"
        for _ in self._vms:
            if await self._call("DELETE", path, None) is not None:
                return True
        return False

    async def report(self, body: dict[str, object]) -> bool:
        """Sends a usage report and returns whether a VM took it."""
        path = f"/v1/{self._collection}/{self._member_id}/usage"
        return await self._call("POST", path, body) is not None

    async def aclose(self) -> None:
        """Closes the connections to the VMs."""
        await self._pool.aclose()

    async def _call(
        self, method: str, path: str, body: dict[str, object] | None
    ) -> dict[str, object] | None:
        vm = self._vms[self._vm % len(self._vms)]
        try:
            with trio.fail_after(ATTEMPT_TIMEOUT_S):
                response = await self._pool.request(
                    method,
                    f"http://{vm}{path}",
                    headers=[("Content-Type", "application/json")],
                    content=None if body is None else orjson.dumps(body),
                )
            if response.status < 300:
                return _object(response.content)
            reason = f"status {response.status}: {response.content[:200]!r}"
        except (trio.TooSlowError, OSError, *_HTTP_ERRORS) as error:
            reason = repr(error)
        self._vm += 1
        logs.event("call-failed", level="DEBUG", to=vm, path=path, why=reason)
        return None


_HTTP_ERRORS = (
    httpcore.NetworkError,
    httpcore.ProtocolError,
    httpcore.TimeoutException,
    httpcore.ConnectionNotAvailable,
)


def _object(raw: bytes) -> dict[str, object]:
    """Returns the JSON object in `raw`, empty if there is none."""
    try:
        value = orjson.loads(raw) if raw else {}
    except orjson.JSONDecodeError:
        return {}
    return value if isinstance(value, dict) else {}
