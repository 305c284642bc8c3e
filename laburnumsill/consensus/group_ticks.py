"""When an engine is ticked.

Leaders are ticked at whole multiples of the heartbeat period of the process's
clock, so that the heartbeats of all groups of a VM leave together and share
frames. Others are ticked when their engine wants it.
"""

import math

TOLERANCE_S = 0.01
"""An engine that is due so little after a common moment is ticked at it."""


def due(wanted: float, period: float, leads: bool) -> float:
    """Returns when to tick an engine.

    Args:
        wanted: When the engine wants it, a monotonic point.
        period: The heartbeat period in seconds.
        leads: Whether the engine leads.

    Examples:
        >>> due(10.25, 0.25, True), due(10.3, 0.25, True)
        (10.25, 10.5)
        >>> due(10.3, 0.25, False)
        10.3
    """
    if not leads:
        return wanted
    return math.ceil((wanted - TOLERANCE_S) / period) * period


def moment(now: float, wanted: float, period: float, leads: bool) -> float:
    """Returns the time to tell the engine.

    A leader woken late is told the common moment, so that its next heartbeat
    falls on the next one; woken much too late it is told the truth.

    Args:
        now: The monotonic time.
        wanted: When the engine wants the tick.
        period: The heartbeat period in seconds.
        leads: Whether the engine leads.

    Examples:
        >>> moment(10.26, 10.25, 0.25, True), moment(10.4, 10.25, 0.25, True)
        (10.25, 10.4)
    """
    if not leads:
        return now
    common = math.floor((now + TOLERANCE_S) / period) * period
    if now - common > period / 2:
        return now
    return max(common, min(wanted, common + TOLERANCE_S))
