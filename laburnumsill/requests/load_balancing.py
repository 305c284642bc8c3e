"""Load balancing policies: choose one of several candidate servers.

References:
    M. Mitzenmacher, "The Power of Two Choices in Randomized Load
    Balancing", IEEE TPDS 12(10), 2001.
    B. Wydrowski et al., "Load is not what you should balance: Introducing
    Prequal", NSDI 2024.
"""

import abc
import random
from collections import abc as collections_abc

from laburnumsill.core import errors
from laburnumsill.requests import servers

Candidates = collections_abc.Sequence[servers.ServerState]


class Chooser(abc.ABC):
    """Chooses one of several servers; there is at least one candidate.

    Args:
        rng: Source of random numbers.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng

    @abc.abstractmethod
    def choose(self, candidates: Candidates) -> servers.ServerState:
        """Returns one of `candidates`."""

    def _sample_two(self, candidates: Candidates) -> Candidates:
        """Returns two candidates in random order, so ties are random too."""
        return self._rng.sample(candidates, min(2, len(candidates)))


class RandomChooser(Chooser):
    """Any server, with equal probability."""

    def choose(self, candidates: Candidates) -> servers.ServerState:
        """Returns one of `candidates`."""
        return self._rng.choice(candidates)


class LeastInFlightChooser(Chooser):
    """The server with the fewest requests of this VM in flight."""

    def choose(self, candidates: Candidates) -> servers.ServerState:
        """Returns one of `candidates`."""
        min_in_flight = min(state.in_flight for state in candidates)
        return self._rng.choice(
            [state for state in candidates if state.in_flight == min_in_flight]
        )


class TwoChoicesChooser(Chooser):
    """Of two random servers, the one with fewer requests of this VM."""

    def choose(self, candidates: Candidates) -> servers.ServerState:
        """Returns one of `candidates`."""
        return min(
            self._sample_two(candidates), key=lambda state: state.in_flight
        )


class ReportedTwoChoicesChooser(Chooser):
    """Of two random servers, the one with the smaller share of busy slots.

    It includes the slots that the servers report as used by other VMs.
    """

    def choose(self, candidates: Candidates) -> servers.ServerState:
        """Returns one of `candidates`."""
        return min(self._sample_two(candidates), key=_reported_load)


class ShortestDelayChooser(Chooser):
    """Of two random servers, the one with the shorter expected delay.

    The expected delay is this VM's mean latency of the server times the
    number of its requests in flight, including the new one. It is zero for a
    server without observed latency, so that such servers come first.
    """

    def choose(self, candidates: Candidates) -> servers.ServerState:
        """Returns one of `candidates`."""
        return min(
            self._sample_two(candidates),
            key=lambda state: (state.in_flight + 1) * state.latency_s,
        )


class HotColdChooser(Chooser):
    """The fastest cold server of a sample, or the least loaded if all are hot.

    A server is hot if its load is at or above the quantile `HOT_QUANTILE` of
    the sample's loads. This is the rule of Prequal, with reported load and
    observed latency instead of probes.
    """

    SAMPLE_SIZE = 6
    HOT_QUANTILE = 0.75

    def choose(self, candidates: Candidates) -> servers.ServerState:
        """Returns one of `candidates`."""
        count = min(self.SAMPLE_SIZE, len(candidates))
        sample = self._rng.sample(candidates, count)
        loads = sorted(_reported_load(state) for state in sample)
        hot_threshold = loads[min(count - 1, int(count * self.HOT_QUANTILE))]
        cold = [
            state for state in sample if _reported_load(state) < hot_threshold
        ]
        if not cold:
            return min(sample, key=_reported_load)
        return min(cold, key=lambda state: state.latency_s)


def _reported_load(state: servers.ServerState) -> float:
    return state.load / state.server.slots


CHOOSERS: dict[str, type[Chooser]] = {
    "random": RandomChooser,
    "least-in-flight": LeastInFlightChooser,
    "two-choices": TwoChoicesChooser,
    "two-choices-reported": ReportedTwoChoicesChooser,
    "two-choices-delay": ShortestDelayChooser,
    "hot-cold": HotColdChooser,
}


def make_chooser(name: str, rng: random.Random) -> Chooser:
    """Returns a chooser of the policy `name`.

    Raises:
        errors.UnknownNameError: There is no such policy.
    """
    if name not in CHOOSERS:
        raise errors.UnknownNameError(
            f"no chooser {name!r}; there are {', '.join(CHOOSERS)}"
        )
    return CHOOSERS[name](rng)
