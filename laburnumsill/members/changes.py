"""What observers of the member table are told."""

import dataclasses
import enum
from collections import abc

from laburnumsill.core import members

Member = members.BackendServer | members.Worker


class What(enum.Enum):
    """The kinds of changes."""

    JOINED = "joined"
    CHANGED = "changed"
    LEAVING = "leaving"
    GONE = "gone"


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """One change of a member.

    Attributes:
        kind: ``server`` or ``worker``.
        what: What happened. A member that restarted is gone under its old
            incarnation and then joined under its new one.
        member: The member after the change, as last known if it is gone.
    """

    kind: str
    what: What
    member: Member


Observer = abc.Callable[[Change], None]


def between(
    old: Member, old_gone: bool, new: Member, new_gone: bool
) -> list[tuple[What, Member]]:
    """Returns the changes from one report to a newer one.

    Examples:
        >>> old = members.Worker("w", "n", "r", "a:1", "i1", 1, 8, 64, 8)
        >>> new = members.Worker("w", "n", "r", "a:1", "i2", 1, 8, 64, 8)
        >>> [what.value for what, _ in between(old, False, new, False)]
        ['gone', 'joined']
    """
    found = []
    restarted = old.incarnation != new.incarnation
    if not old_gone and (new_gone or restarted):
        found.append((What.GONE, old))
    if new_gone:
        return found
    if old_gone or restarted:
        found.append((What.JOINED, new))
        if not new.leaving:
            return found
    if new.leaving and (restarted or old_gone or not old.leaving):
        found.append((What.LEAVING, new))
    else:
        found.append((What.CHANGED, new))
    return found
