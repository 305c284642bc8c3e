"""What this VM knows of each backend server beside its announcements."""

import dataclasses
import enum
from collections import abc

from laburnumsill.core import members

LATENCY_GAIN = 0.2
"""Weight of a new observation in the moving mean of a server's latency."""


class Failure(enum.Enum):
    """How an attempt at a server failed.

    `REFUSED`: it took no connection. `LOST`: its answer did not come back
    whole. `ERROR`: it answered with a server error.
    """

    REFUSED = "refused"
    LOST = "lost"
    ERROR = "error"


@dataclasses.dataclass(eq=False, slots=True, weakref_slot=True)
class ServerState:
    """One backend server as this VM sees it.

    Attributes:
        server: Its newest announcement.
        in_flight: Requests of this VM at it.
        in_flight_at_report: The same when `server` was announced.
        limit: Most requests of this VM at it, as last computed.
        latency_s: Moving mean of its latency, measured from the send.
        failures: Failures in a row.
        failure: The last failure, or None.
        successes: Successes in a row since it was ejected.
        ejected_until: Monotonic point; a probe may go out after it.
        ejections: Ejections in a row, for the backoff.
        probing: Whether a probe is at it.
    """

    server: members.BackendServer
    in_flight: int = 0
    in_flight_at_report: int = 0
    limit: float = 1.0
    latency_s: float = 0.0
    failures: int = 0
    failure: Failure | None = None
    successes: int = 0
    ejected_until: float = 0.0
    ejections: int = 0
    probing: bool = False

    @property
    def ejected(self) -> bool:
        """Whether it gets nothing but probes."""
        return self.ejections > 0

    @property
    def others(self) -> int:
        """Slots that other VMs used when the server last reported."""
        return max(0, self.server.busy - self.in_flight_at_report)

    @property
    def load(self) -> int:
        """Best estimate of the slots in use now."""
        return self.in_flight + self.others

    def report(self, server: members.BackendServer) -> None:
        """Takes in a newer announcement."""
        if server is self.server:
            return
        fresh = (server.incarnation, server.sequence) != (
            self.server.incarnation,
            self.server.sequence,
        )
        self.server = server
        if fresh:
            self.in_flight_at_report = self.in_flight

    def observe_latency(self, latency_s: float) -> None:
        """Takes in the latency of one whole answer."""
        if self.latency_s == 0.0:
            self.latency_s = latency_s
        else:
            self.latency_s += LATENCY_GAIN * (latency_s - self.latency_s)


class ServerTable:
    """The present servers of each service, with what this VM knows of them.

    A server that comes back under a new incarnation starts afresh.
    """

    def __init__(self, view: members.MemberView) -> None:
        self._view = view
        self._states: dict[str, dict[str, ServerState]] = {}
        self._seen: dict[str, tuple[members.BackendServer, ...]] = {}

    def present(self, service: str) -> abc.Collection[ServerState]:
        """Returns the servers of a service that may get work."""
        servers = self._view.servers(service)
        if self._seen.get(service) is not servers:
            self._seen[service] = servers
            self._refresh(service, servers)
        return self._states[service].values()

    def addresses(self) -> frozenset[str]:
        """Returns the addresses of the present servers of all services."""
        return frozenset(
            state.server.address
            for service in list(self._states)
            for state in self.present(service)
        )

    def _refresh(
        self, service: str, servers: tuple[members.BackendServer, ...]
    ) -> None:
        old = self._states.get(service, {})
        new: dict[str, ServerState] = {}
        for server in servers:
            if server.leaving:
                continue
            state = old.get(server.server_id)
            same_life = (
                state is not None
                and state.server.incarnation == server.incarnation
            )
            if state is None or not same_life:
                state = ServerState(server)
            state.report(server)
            new[server.server_id] = state
        self._states[service] = new
