"""Switches for the planner's mechanisms.

The product uses all mechanisms. The switches serve to measure the effect of
each one in tests, in the emulator (`--without`) and on a copy of the product;
they are not part of its configuration.
"""

import dataclasses
from collections import abc

from laburnumsill.core import errors


class UnknownMechanismError(errors.InvalidInputError):
    """There is no mechanism with a given name."""

    slug = "unknown-mechanism"
    title = "Unknown mechanism"


@dataclasses.dataclass(frozen=True, slots=True)
class Policy:
    """One switch for each mechanism.

    Attributes:
        headroom: Units with slack leave headroom for urgent jobs.
        kept_rooms: Capacity is reserved for gangs that have waited long.
        tasks_in_kept_room: Short tasks backfill reserved capacity.
        spreading: A gang may span racks if the pool would otherwise be idle.
        learnt_times: Declared run times are corrected by observed ones.
        learnt_speeds: Urgent tasks go to fast workers first.
        very_slow_last: Very slow workers are used only if nothing else fits.
        setting_aside: Failing and stalled workers are put into quarantine.
        avoiding: A task avoids workers on which it failed.
        in_time_first: Units that can meet their objective come first.
        pruning: Victims that turn out not to be needed are left out.
        cheapest_slot: Victims are chosen where the next slot costs least.
        asking: Workers are probed before runs are placed on them.
        deferral: A new leader defers preemption until it has heard from the
            workers that make it needless.
        leaving_workers: Runs that would be lost with a worker that is about to
            leave are stopped before.
        saved_at_stop: The cost of a preemption counts progress that is saved
            at the stop.

    Examples:
        >>> without(["headroom"]).headroom, without([]) == ALL
        (False, True)
    """

    headroom: bool = True
    kept_rooms: bool = True
    tasks_in_kept_room: bool = True
    spreading: bool = True
    learnt_times: bool = True
    learnt_speeds: bool = True
    very_slow_last: bool = True
    setting_aside: bool = True
    avoiding: bool = True
    in_time_first: bool = True
    pruning: bool = True
    cheapest_slot: bool = True
    asking: bool = True
    deferral: bool = True
    saved_at_stop: bool = True
    leaving_workers: bool = True


ALL = Policy()
"""The policy of the product: all mechanisms on."""

MECHANISMS = tuple(field.name for field in dataclasses.fields(Policy))


def without(names: abc.Iterable[str]) -> Policy:
    """Returns a policy with some mechanisms turned off.

    Raises:
        UnknownMechanismError: There is no mechanism with one of the names.
    """
    off = tuple(names)
    for name in off:
        if name not in MECHANISMS:
            known = ", ".join(MECHANISMS)
            raise UnknownMechanismError(f"{name!r}; there are {known}")
    return Policy(**dict.fromkeys(off, False))
