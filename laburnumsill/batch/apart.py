"""Where tasks go that may crash their workers, and where all others go.

Both sides only prefer to be apart: a job never waits for long because of it.
"""

from collections import abc

from laburnumsill.batch import packing
from laburnumsill.batch import rooms as room_module
from laburnumsill.batch import units

Rooms = abc.Sequence[room_module.Room]

Fit = abc.Callable[[Rooms], packing.Assignment]
"""Returns where a unit fits among some workers."""


def fit_other(unit: units.Unit, rooms: Rooms, fit: Fit) -> packing.Assignment:
    """Returns where a unit fits, beside no suspect if that can be."""
    quiet = [room for room in rooms if not room.holds_suspect]
    found = fit(quiet)
    if len(found) == len(unit.tasks) or len(quiet) == len(rooms):
        return found
    return fit(rooms)


def fit_suspect(
    unit: units.Unit, rooms: Rooms, fit: Fit, may_share: bool
) -> packing.Assignment:
    """Returns where a suspect fits: alone, or where the least runs.

    Two suspects on one worker are blamed alike for its crash, which tells
    nothing, so they share one only if each worker has a suspect.

    Args:
        unit: The suspect, or a gang that has one.
        rooms: The workers that may run it.
        fit: Returns where it fits among some of them.
        may_share: Whether it may go where others run.
    """
    found = fit([room for room in rooms if not room.runs])
    if found or not may_share:
        return found
    quiet = [room for room in rooms if not room.holds_suspect] or rooms
    if unit.step.gang:
        return fit(quiet)
    by_runs = sorted(quiet, key=lambda room: room.runs)
    return next(filter(None, (fit([room]) for room in by_runs)), [])
