"""Policies that limit how many requests of this VM are at one server."""

import abc

from laburnumsill.core import errors
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

    def tick(self) -> None:
        """Adapts the limits; called once a control period."""
        return


class NoLimiter(Limiter):
    """Lets any number through."""

    def limit(self, state: servers.ServerState, share: float = 1.0) -> float:
        """Returns the limit, see the base class."""
        return UNLIMITED * share


class FixedLimiter(Limiter):
    """Slots that others leave free, and never less than an equal share."""

    def limit(self, state: servers.ServerState, share: float = 1.0) -> float:
        """Returns the limit, see the base class."""
        slots = state.server.slots * share
        return max(slots / self._entry_vms, slots - state.others)


LIMITERS: dict[str, type[Limiter]] = {
    "none": NoLimiter,
    "fixed": FixedLimiter,
}


def make(name: str, entry_vms: int, target_s: float) -> Limiter:
    """Returns the limiter that the configuration calls `name`."""
    if name not in LIMITERS:
        raise errors.UnknownNameError(
            f"no limiter {name!r}; there are {', '.join(LIMITERS)}"
        )
    return LIMITERS[name](entry_vms, target_s)
