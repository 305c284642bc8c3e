"""A feedback control of the requests in flight at each server.

Once a period the median of the latencies seen in it is compared with a
window. Below it the limit rises (doubling until the first back-off), above
it the limit falls; both only after some periods agree, because a fall is
larger than a rise. A tail guard lowers it when too many latencies are above
the target. Latency is measured from the moment of the send: with the wait
in our own queue in it, each back-off would cause the next one.

References:
    Package agilelimiter, "An adaptive, latency-driven rate limiter that
    protects a downstream dependency": the control law and its anchors.
"""

import dataclasses
import enum
import math
import statistics
import weakref

from laburnumsill.requests import servers

PERIOD_S = 1.0
WINDOW_SHARE = 0.8
"""The window as a share of the target latency."""

WINDOW_INFLATION = 2.0
"""The window as a multiple of the baseline latency."""

DEADBAND = 0.1
"""Part of the window below it in which the limit is held."""

AGREEING_PERIODS = 2
RISE = 1.1
FALL = 0.7
SLOW_START = 2.0
LEAST_LIMIT = 1.0
TAIL_SHARE = 0.05
TAIL_SIGMAS = 2.0
BASELINE_UP = 0.01
BASELINE_DOWN = 0.3


class Anchor(enum.Enum):
    """What the window is measured against."""

    TARGET = "target"
    BASELINE = "baseline"


@dataclasses.dataclass(slots=True)
class _Control:
    limit: float
    most: float
    slow_start: bool = True
    above: int = 0
    below: int = 0
    baseline_s: float = 0.0
    most_in_flight: int = 0
    latencies: list[float] = dataclasses.field(default_factory=list)


class Controls:
    """One control loop for each server.

    Args:
        anchor: What the window is measured against.
        target_s: Latency to stay below, in seconds.
    """

    def __init__(self, anchor: Anchor, target_s: float) -> None:
        self._anchor = anchor
        self._target_s = target_s
        self._next_period_at = 0.0
        self._controls: weakref.WeakKeyDictionary[
            servers.ServerState, _Control
        ] = weakref.WeakKeyDictionary()

    def limit(self, state: servers.ServerState, first: float) -> float:
        """Returns the limit of one server, `first` at the start."""
        control = self._controls.get(state)
        if control is None:
            most = max(first, float(state.server.slots))
            control = self._controls[state] = _Control(first, most)
        control.most_in_flight = max(control.most_in_flight, state.in_flight)
        return control.limit

    def observe(self, state: servers.ServerState, latency_s: float) -> None:
        """Takes in one latency, measured from the moment of the send."""
        control = self._controls.get(state)
        if control is not None:
            control.latencies.append(latency_s)

    def tick(self, now: float) -> None:
        """Adapts all limits if a period has ended."""
        if now < self._next_period_at:
            return
        self._next_period_at = now + PERIOD_S
        for control in self._controls.values():
            self._step(control)
            control.latencies.clear()
            control.most_in_flight = 0

    def _step(self, control: _Control) -> None:
        if not control.latencies:
            return
        median_s = statistics.median(control.latencies)
        window_s = self._window_s(control, median_s)
        if median_s > window_s or self._tail_is_late(control):
            control.above += 1
            control.below = 0
        elif median_s < window_s * (1 - DEADBAND):
            control.below += 1
            control.above = 0
        else:
            control.above = control.below = 0
        if control.above >= AGREEING_PERIODS:
            _fall(control)
        elif control.below >= AGREEING_PERIODS:
            _rise(control)

    def _window_s(self, control: _Control, median_s: float) -> float:
        if control.baseline_s == 0.0:
            control.baseline_s = median_s
        gain = BASELINE_DOWN if median_s < control.baseline_s else BASELINE_UP
        control.baseline_s += gain * (median_s - control.baseline_s)
        if self._anchor is Anchor.TARGET:
            return WINDOW_SHARE * self._target_s
        return WINDOW_INFLATION * control.baseline_s

    def _tail_is_late(self, control: _Control) -> bool:
        count = len(control.latencies)
        late = sum(seconds > self._target_s for seconds in control.latencies)
        deviation = math.sqrt(TAIL_SHARE * (1 - TAIL_SHARE) / count)
        return late / count > TAIL_SHARE + TAIL_SIGMAS * deviation


def _fall(control: _Control) -> None:
    control.limit = max(LEAST_LIMIT, control.limit * FALL)
    control.slow_start = False
    control.above = 0


def _rise(control: _Control) -> None:
    """Raises a limit that is used; an idle server proves nothing."""
    control.below = 0
    if control.most_in_flight < control.limit / 2:
        return
    factor = SLOW_START if control.slow_start else RISE
    control.limit = min(control.most, control.limit * factor)
