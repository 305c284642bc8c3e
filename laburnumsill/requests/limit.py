"""Policies that limit how many requests of this VM are at one server.

No VM knows what the others send at this moment: a server's report of its
busy slots is up to seconds old. A limiter that hands out what a report shows
as free lets every VM hand out the same slots; one that keeps to an equal
share never does, and wastes slots where VMs are loaded unevenly.
`docs/design/routing.md` has the figures.
"""

import abc

from laburnumsill.core import errors
from laburnumsill.requests import adaptive
from laburnumsill.requests import servers

UNLIMITED = 1_000.0


class Limiter(abc.ABC):
    """Says how many requests of this VM a server may hold.

    Args:
        entry_vms: VMs that share each server.
        target_s: Latency to stay below, in seconds.
    """

    def __init__(self, entry_vms: int, target_s: float) -> None:
        self._entry_vms = max(1, entry_vms)
        self._target_s = target_s

    @abc.abstractmethod
    def limit(self, state: servers.ServerState, share: float = 1.0) -> float:
        """Returns the limit for one server.

        Args:
            state: The server.
            share: Part of the server's slots that may be used at all.
        """

    def observe(self, state: servers.ServerState, latency_s: float) -> None:
        """Takes in one latency, measured from the moment of the send."""
        return

    def tick(self, now: float) -> None:
        """Adapts the limits; called several times a second."""
        return

    def _equal(self, state: servers.ServerState, share: float) -> float:
        return state.server.slots * share / self._entry_vms


class NoLimiter(Limiter):
    """Lets any number through."""

    def limit(self, state: servers.ServerState, share: float = 1.0) -> float:
        """Returns the limit, see the base class."""
        return UNLIMITED * share


class FixedLimiter(Limiter):
    """An equal share of the server's slots, at least one."""

    def limit(self, state: servers.ServerState, share: float = 1.0) -> float:
        """Returns the limit, see the base class."""
        return max(share, self._equal(state, share))


class ReportedLimiter(Limiter):
    """All slots that others left free, and never less than an equal share."""

    def limit(self, state: servers.ServerState, share: float = 1.0) -> float:
        """Returns the limit, see the base class."""
        free = state.server.slots * share - state.busy_elsewhere
        return max(share, self._equal(state, share), free)


class BorrowingLimiter(Limiter):
    """An equal share, and an equal part of what the report shows as free.

    If all VMs take their parts at once, the slots are just used up, so the
    reports may be old. A VM that is loaded alone comes to nearly all slots
    within some reports. Where a report shows none free and others use some,
    a VM above its equal share gives one back: the others have theirs as well,
    and the sum would stay above the slots as long as the load lasts.
    """

    def limit(self, state: servers.ServerState, share: float = 1.0) -> float:
        """Returns the limit, see the base class."""
        slots = state.server.slots * share
        free = max(0.0, slots - state.server.busy)
        part = state.in_flight_at_report + free / self._entry_vms
        if free < 1 and state.busy_elsewhere > 0:
            part = state.in_flight_at_report - 1.0
        return max(share, self._equal(state, share), part)


class AdaptiveLimiter(Limiter):
    """Follows the latency of each server, see `adaptive`."""

    anchor = adaptive.Anchor.TARGET

    def __init__(self, entry_vms: int, target_s: float) -> None:
        super().__init__(entry_vms, target_s)
        self._controls = adaptive.Controls(self.anchor, target_s)

    def limit(self, state: servers.ServerState, share: float = 1.0) -> float:
        """Returns the limit, see the base class."""
        first = max(1.0, self._equal(state, 1.0))
        return share * self._controls.limit(state, first)

    def observe(self, state: servers.ServerState, latency_s: float) -> None:
        """Takes in one latency, see the base class."""
        self._controls.observe(state, latency_s)

    def tick(self, now: float) -> None:
        """Adapts the limits, see the base class."""
        self._controls.tick(now)


class BaselineLimiter(AdaptiveLimiter):
    """The same, relative to each server's own latency when it is idle."""

    anchor = adaptive.Anchor.BASELINE


LIMITERS: dict[str, type[Limiter]] = {
    "none": NoLimiter,
    "fixed": FixedLimiter,
    "reported": ReportedLimiter,
    "borrowing": BorrowingLimiter,
    "adaptive": AdaptiveLimiter,
    "adaptive-baseline": BaselineLimiter,
}


def make(name: str, entry_vms: int, target_s: float) -> Limiter:
    """Returns the limiter that the configuration calls `name`."""
    if name not in LIMITERS:
        raise errors.UnknownNameError(
            f"no limiter {name!r}; there are {', '.join(LIMITERS)}"
        )
    return LIMITERS[name](entry_vms, target_s)
