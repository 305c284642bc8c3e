"""Alignment of the ticks of the engines of one VM.

Leaders are ticked at whole multiples of the heartbeat period on the clock of
the process, so that the heartbeats of all groups of a VM are sent together and
share frames. Other replicas are ticked when their engine requests it.
"""

import math

TOLERANCE_S = 0.01
"""An engine due at most this long after an aligned tick is ticked with it, in
seconds."""


def aligned_tick_at(requested_at: float, period: float, leads: bool) -> float:
    """Returns when to tick an engine, in monotonic seconds.

    Args:
        requested_at: The time requested by the engine, in monotonic seconds.
        period: The heartbeat period in seconds.
        leads: Whether the engine leads.

    Examples:
        >>> aligned_tick_at(10.25, 0.25, True)
        10.25
        >>> aligned_tick_at(10.3, 0.25, True)
        10.5
        >>> aligned_tick_at(10.3, 0.25, False)
        10.3
    """
    if not leads:
        return requested_at
    return math.ceil((requested_at - TOLERANCE_S) / period) * period


def aligned_time(
    now: float, requested_at: float, period: float, leads: bool
) -> float:
    """Returns the time to pass to the engine at a tick.

    A leader that is ticked slightly late is passed the aligned time, so that
    its next heartbeat falls on the next aligned tick. If it is late by more
    than half a period, it is passed the actual time. The result is at most
    `TOLERANCE_S` ahead of `now`.

    Args:
        now: The monotonic time.
        requested_at: The time requested by the engine, in monotonic seconds.
        period: The heartbeat period in seconds.
        leads: Whether the engine leads.

    Examples:
        >>> aligned_time(10.26, 10.25, 0.25, True)
        10.25
        >>> aligned_time(10.4, 10.25, 0.25, True)
        10.4
    """
    if not leads:
        return now
    aligned = math.floor((now + TOLERANCE_S) / period) * period
    if now - aligned > period / 2:
        return now
    return max(aligned, min(requested_at, aligned + TOLERANCE_S))
