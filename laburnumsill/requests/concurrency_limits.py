"""Concurrency limit policies: limits of this VM's requests to each server.

A VM does not know the current load from other VMs: a server's report of its
busy slots may be seconds old. If each VM uses all slots that a report shows
as free, several VMs use the same slots. Equal shares prevent this, but waste
slots if the load of the VMs is uneven. `docs/design/routing.md` has the
figures.
"""

import abc

from laburnumsill.core import errors
from laburnumsill.requests import adaptive
from laburnumsill.requests import servers

UNLIMITED = 1_000.0


class Limiter(abc.ABC):
    """Limits this VM's requests in flight to each server.

    Args:
        entry_vms: Number of VMs that share each server.
        target_s: The target latency, in seconds.
    """

    def __init__(self, entry_vms: int, target_s: float) -> None:
        self._entry_vms = max(1, entry_vms)
        self._target_s = target_s

    @abc.abstractmethod
    def limit(self, state: servers.ServerState, share: float = 1.0) -> float:
        """Returns the limit for one server.

        Args:
            state: The server.
            share: Share of the server's slots that may be used.
        """

    def observe(self, state: servers.ServerState, latency_s: float) -> None:
        """Records a latency, measured from the send."""
        return

    def tick(self, now: float) -> None:
        """Adapts the limits; called several times a second."""
        return

    def _equal_share(self, state: servers.ServerState, share: float) -> float:
        return state.server.slots * share / self._entry_vms


class NoLimiter(Limiter):
    """No limit in practice."""

    def limit(self, state: servers.ServerState, share: float = 1.0) -> float:
        """Returns the limit, see the base class."""
        return UNLIMITED * share


class FixedLimiter(Limiter):
    """An equal share of the server's slots, at least one."""

    def limit(self, state: servers.ServerState, share: float = 1.0) -> float:
        """Returns the limit, see the base class."""
        return max(share, self._equal_share(state, share))


class ReportedLimiter(Limiter):
    """All slots not used by other VMs, but at least an equal share."""

    def limit(self, state: servers.ServerState, share: float = 1.0) -> float:
        """Returns the limit, see the base class."""
        free = state.server.slots * share - state.busy_elsewhere
        return max(share, self._equal_share(state, share), free)


class BorrowingLimiter(Limiter):
    """At least an equal share; more if the server reports free slots.

    The limit is the VM's requests at the time of the report plus an equal
    share of the free slots.

    If all VMs use their limits at once, their requests exactly fill the
    slots, so stale reports do not cause overcommit. A VM that alone has load
    reaches nearly all slots within a few reports. If a report shows no free
    slot and other VMs use some, a VM above its equal share limits itself to
    one request fewer than it had: the other VMs may use their equal shares
    too, and the sum would otherwise exceed the slots while the load lasts.
    """

    def limit(self, state: servers.ServerState, share: float = 1.0) -> float:
        """Returns the limit, see the base class."""
        slots = state.server.slots * share
        free = max(0.0, slots - state.server.busy)
        borrowed_limit = state.in_flight_at_report + free / self._entry_vms
        if free < 1 and state.busy_elsewhere > 0:
            borrowed_limit = state.in_flight_at_report - 1.0
        return max(share, self._equal_share(state, share), borrowed_limit)


class AdaptiveLimiter(Limiter):
    """Limits that adapt to the latency of each server, see `adaptive`."""

    anchor = adaptive.Anchor.TARGET

    def __init__(self, entry_vms: int, target_s: float) -> None:
        super().__init__(entry_vms, target_s)
        self._control_loops = adaptive.ControlLoops(self.anchor, target_s)

    def limit(self, state: servers.ServerState, share: float = 1.0) -> float:
        """Returns the limit, see the base class."""
        initial = max(1.0, self._equal_share(state, 1.0))
        return share * self._control_loops.limit(state, initial)

    def observe(self, state: servers.ServerState, latency_s: float) -> None:
        """Records a latency, see the base class."""
        self._control_loops.observe(state, latency_s)

    def tick(self, now: float) -> None:
        """Adapts the limits, see the base class."""
        self._control_loops.tick(now)


class BaselineLimiter(AdaptiveLimiter):
    """Limits that adapt to latency relative to each server's baseline."""

    anchor = adaptive.Anchor.BASELINE


LIMITERS: dict[str, type[Limiter]] = {
    "none": NoLimiter,
    "fixed": FixedLimiter,
    "reported": ReportedLimiter,
    "borrowing": BorrowingLimiter,
    "adaptive": AdaptiveLimiter,
    "adaptive-baseline": BaselineLimiter,
}


def make_limiter(name: str, entry_vms: int, target_s: float) -> Limiter:
    """Returns a limiter of the policy `name`.

    Raises:
        errors.UnknownNameError: There is no such policy.
    """
    if name not in LIMITERS:
        raise errors.UnknownNameError(
            f"no limiter {name!r}; there are {', '.join(LIMITERS)}"
        )
    return LIMITERS[name](entry_vms, target_s)
