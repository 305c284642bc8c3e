"""This VM's state of each backend server: load, latency and health."""

import dataclasses
import enum
from collections import abc

from laburnumsill.core import members

LATENCY_GAIN = 0.2
"""Weight of a new observation in the moving mean of a server's latency."""


class Failure(enum.Enum):
    """The kind of failure of an attempt at a server.

    `REFUSED`: the connection could not be made. `LOST`: the answer was
    incomplete or missing. `ERROR`: the answer was a server error.
    """

    REFUSED = "refused"
    LOST = "lost"
    ERROR = "error"


@dataclasses.dataclass(eq=False, slots=True, weakref_slot=True)
class ServerState:
    """This VM's state of one backend server.

    Attributes:
        server: The newest announcement.
        in_flight: Number of this VM's requests in flight to the server.
        in_flight_at_report: `in_flight` when `server` was announced.
        limit: Concurrency limit for this VM's requests, as last computed.
        latency_s: Moving mean of the latency, measured from the send.
        failures: Consecutive failures.
        last_failure: The last failure, or None.
        successes: Consecutive successes since the server was ejected.
        ejected_until: Monotonic time from which a probe may be sent.
        ejections: Consecutive ejections, for the exponential backoff.
        probing: Whether a probe is in flight.
    """

    server: members.BackendServer
    in_flight: int = 0
    in_flight_at_report: int = 0
    limit: float = 1.0
    latency_s: float = 0.0
    failures: int = 0
    last_failure: Failure | None = None
    successes: int = 0
    ejected_until: float = 0.0
    ejections: int = 0
    probing: bool = False

    @property
    def ejected(self) -> bool:
        """Whether the server is ejected and receives only probes."""
        return self.ejections > 0

    @property
    def busy_elsewhere(self) -> int:
        """Slots in use by other VMs at the newest announcement."""
        return max(0, self.server.busy - self.in_flight_at_report)

    @property
    def load(self) -> int:
        """Estimate of the slots in use now, by all VMs."""
        return self.in_flight + self.busy_elsewhere

    def observe_announcement(self, server: members.BackendServer) -> None:
        """Updates the state from an announcement."""
        if server is self.server:
            return
        is_new = (server.incarnation, server.sequence) != (
            self.server.incarnation,
            self.server.sequence,
        )
        self.server = server
        if is_new:
            self.in_flight_at_report = self.in_flight

    def observe_latency(self, latency_s: float) -> None:
        """Adds the latency of one answer to the moving mean."""
        if self.latency_s == 0.0:
            self.latency_s = latency_s
        else:
            self.latency_s += LATENCY_GAIN * (latency_s - self.latency_s)


class ServerTable:
    """The known servers of each service and this VM's state of them.

    A server that returns with a new incarnation gets a new state.

    Args:
        view: The announced backend servers.
    """

    def __init__(self, view: members.MemberView) -> None:
        self._view = view
        self._states: dict[str, dict[str, ServerState]] = {}
        self._last_announced: dict[str, tuple[members.BackendServer, ...]] = {}

    def servers_of(self, service: str) -> abc.Collection[ServerState]:
        """Returns the servers of a service, without those that are leaving."""
        announced = self._view.servers(service)
        if self._last_announced.get(service) is not announced:
            self._last_announced[service] = announced
            self._refresh(service, announced)
        return self._states[service].values()

    def addresses(self) -> frozenset[str]:
        """Returns the addresses of the servers of all services."""
        return frozenset(
            state.server.address
            for service in list(self._states)
            for state in self.servers_of(service)
        )

    def _refresh(
        self, service: str, announced: tuple[members.BackendServer, ...]
    ) -> None:
        old = self._states.get(service, {})
        new: dict[str, ServerState] = {}
        for server in announced:
            if server.leaving:
                continue
            state = old.get(server.server_id)
            same_incarnation = (
                state is not None
                and state.server.incarnation == server.incarnation
            )
            if state is None or not same_incarnation:
                state = ServerState(server)
            state.observe_announcement(server)
            new[server.server_id] = state
        self._states[service] = new
