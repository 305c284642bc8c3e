"""Adaptive concurrency limits: feedback control on each server's latency.

Once a period, the median latency of the period is compared with a latency
window. If it is below the window, the limit increases, doubling until the
first decrease (slow start); if it is above, the limit decreases. Both need
several consecutive periods, because a decrease is larger than an increase.
The limit also decreases if too many latencies are above the target (tail
guard). Latency is measured from the send: if it included the time in this
VM's queue, each decrease would cause the next one.

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
"""Length of a control period."""

WINDOW_SHARE = 0.8
"""The window as a share of the target latency."""

WINDOW_INFLATION = 2.0
"""The window as a multiple of the baseline latency."""

DEADBAND = 0.1
"""Share of the window, below its upper end, in which the limit is unchanged."""

CONSECUTIVE_PERIODS = 2
"""Consecutive periods above or below the window that change the limit."""

INCREASE_FACTOR = 1.1
DECREASE_FACTOR = 0.7
SLOW_START_FACTOR = 2.0
MIN_LIMIT = 1.0

TAIL_SHARE = 0.05
"""Share of a period's latencies that may be above the target."""

TAIL_DEVIATIONS = 2.0
"""Standard deviations above `TAIL_SHARE` at which the tail guard acts."""

BASELINE_INCREASE_GAIN = 0.01
"""Weight of a median above the baseline in the baseline's moving mean."""

BASELINE_DECREASE_GAIN = 0.3
"""Weight of a median below the baseline in the baseline's moving mean."""


class Anchor(enum.Enum):
    """The reference of the latency window.

    `TARGET`: the target latency. `BASELINE`: a moving mean of the server's
    median latencies, which follows decreases faster than increases.
    """

    TARGET = "target"
    BASELINE = "baseline"


@dataclasses.dataclass(slots=True)
class _ControlLoop:
    """The state of one server's control loop.

    Attributes:
        limit: The concurrency limit.
        max_limit: Upper bound of `limit`.
        slow_start: Whether the limit has not decreased yet.
        periods_above: Consecutive periods above the window.
        periods_below: Consecutive periods below the window.
        baseline_s: The baseline latency, 0 before the first latency.
        peak_in_flight: Most requests in flight in the current period.
        latencies: Latencies of the current period, in seconds.
    """

    limit: float
    max_limit: float
    slow_start: bool = True
    periods_above: int = 0
    periods_below: int = 0
    baseline_s: float = 0.0
    peak_in_flight: int = 0
    latencies: list[float] = dataclasses.field(default_factory=list)


class ControlLoops:
    """The control loops of all servers.

    Args:
        anchor: The reference of the latency window.
        target_s: The target latency, in seconds.
    """

    def __init__(self, anchor: Anchor, target_s: float) -> None:
        self._anchor = anchor
        self._target_s = target_s
        self._next_period_at = 0.0
        self._control_loops: weakref.WeakKeyDictionary[
            servers.ServerState, _ControlLoop
        ] = weakref.WeakKeyDictionary()

    def limit(self, state: servers.ServerState, initial: float) -> float:
        """Returns the limit of a server; a new server starts at `initial`."""
        control = self._control_loops.get(state)
        if control is None:
            max_limit = max(initial, float(state.server.slots))
            control = self._control_loops[state] = _ControlLoop(
                initial, max_limit
            )
        control.peak_in_flight = max(control.peak_in_flight, state.in_flight)
        return control.limit

    def observe(self, state: servers.ServerState, latency_s: float) -> None:
        """Records a latency, measured from the send."""
        control = self._control_loops.get(state)
        if control is not None:
            control.latencies.append(latency_s)

    def tick(self, now: float) -> None:
        """Adapts all limits at the end of a period."""
        if now < self._next_period_at:
            return
        self._next_period_at = now + PERIOD_S
        for control in self._control_loops.values():
            self._adapt(control)
            control.latencies.clear()
            control.peak_in_flight = 0

    def _adapt(self, control: _ControlLoop) -> None:
        if not control.latencies:
            return
        median_s = statistics.median(control.latencies)
        window_s = self._window_s(control, median_s)
        if median_s > window_s or self._tail_exceeds_target(control):
            control.periods_above += 1
            control.periods_below = 0
        elif median_s < window_s * (1 - DEADBAND):
            control.periods_below += 1
            control.periods_above = 0
        else:
            control.periods_above = control.periods_below = 0
        if control.periods_above >= CONSECUTIVE_PERIODS:
            _decrease(control)
        elif control.periods_below >= CONSECUTIVE_PERIODS:
            _increase(control)

    def _window_s(self, control: _ControlLoop, median_s: float) -> float:
        if control.baseline_s == 0.0:
            control.baseline_s = median_s
        gain = (
            BASELINE_DECREASE_GAIN
            if median_s < control.baseline_s
            else BASELINE_INCREASE_GAIN
        )
        control.baseline_s += gain * (median_s - control.baseline_s)
        if self._anchor is Anchor.TARGET:
            return WINDOW_SHARE * self._target_s
        return WINDOW_INFLATION * control.baseline_s

    def _tail_exceeds_target(self, control: _ControlLoop) -> bool:
        count = len(control.latencies)
        above_target_count = sum(
            seconds > self._target_s for seconds in control.latencies
        )
        standard_deviation = math.sqrt(TAIL_SHARE * (1 - TAIL_SHARE) / count)
        return (
            above_target_count / count
            > TAIL_SHARE + TAIL_DEVIATIONS * standard_deviation
        )


def _decrease(control: _ControlLoop) -> None:
    control.limit = max(MIN_LIMIT, control.limit * DECREASE_FACTOR)
    control.slow_start = False
    control.periods_above = 0


def _increase(control: _ControlLoop) -> None:
    """Increases the limit if at least half of it was used.

    The latency of a mostly idle server is no evidence for a higher limit.
    """
    control.periods_below = 0
    if control.peak_in_flight < control.limit / 2:
        return
    factor = SLOW_START_FACTOR if control.slow_start else INCREASE_FACTOR
    control.limit = min(control.max_limit, control.limit * factor)
