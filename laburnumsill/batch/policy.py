"""Which mechanisms of the planner are in use.

All of them are. The switches are there to measure what each is worth, in
tests, in the emulator (`--without`) and on a copy of the product; they are no
settings of it.
"""

import dataclasses
from collections import abc

from laburnumsill.core import errors


class UnknownMechanismError(errors.InvalidInputError):
    """No mechanism has this name."""

    slug = "unknown-mechanism"
    title = "Unknown mechanism"


@dataclasses.dataclass(frozen=True, slots=True)
class Policy:
    """One switch for each mechanism.

    Attributes:
        headroom: Single tasks leave room for urgent jobs to come.
        kept_rooms: A gang that has waited long keeps room for itself.
        tasks_in_kept_room: Short tasks use such room meanwhile.
        spreading: A gang rather spreads over racks than leaves a pool idle.
        learnt_times: Declared run times are corrected by those seen.
        learnt_speeds: Urgent tasks go to fast workers first.
        very_slow_last: Very slow workers get what fits nowhere else.
        setting_aside: Failing and hanging workers get nothing for a while.
        avoiding: A task does not go again to a worker on which it failed.
        in_time_first: What can be in time goes before what cannot.
        pruning: Stops that turn out to be needless are left out.
        cheapest_slot: Runs are stopped where the next slot costs least.
        asking: Workers are asked before runs are placed on them.

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


ALL = Policy()
"""What the product uses."""

MECHANISMS = tuple(field.name for field in dataclasses.fields(Policy))


def without(names: abc.Iterable[str]) -> Policy:
    """Returns a policy with some mechanisms off.

    Raises:
        UnknownMechanismError: There is none of that name.
    """
    off = tuple(names)
    for name in off:
        if name not in MECHANISMS:
            known = ", ".join(MECHANISMS)
            raise UnknownMechanismError(f"{name!r}; there are {known}")
    return Policy(**dict.fromkeys(off, False))
