"""Changes of members, as reported to observers of the member table."""

import dataclasses
import enum
from collections import abc

from laburnumsill.core import members

Member = members.BackendServer | members.Worker


class ChangeType(enum.Enum):
    """Types of changes of a member."""

    JOINED = "joined"
    CHANGED = "changed"
    LEAVING = "leaving"
    GONE = "gone"


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """One change of a member.

    Attributes:
        kind: ``server`` or ``worker``.
        what: Type of the change. A restart is reported as two changes: the
            old incarnation is gone, then the new one has joined.
        member: The member after the change, or as last known if it is gone.
    """

    kind: str
    what: ChangeType
    member: Member


Observer = abc.Callable[[Change], None]


def between(
    old: Member, old_gone: bool, new: Member, new_gone: bool
) -> list[tuple[ChangeType, Member]]:
    """Returns the changes from one report to a newer one.

    Examples:
        >>> old = members.Worker("w", "n", "r", "a:1", "i1", 1, 8, 64, 8)
        >>> new = members.Worker("w", "n", "r", "a:1", "i2", 1, 8, 64, 8)
        >>> [change.value for change, _ in between(old, False, new, False)]
        ['gone', 'joined']
    """
    found = []
    restarted = old.incarnation != new.incarnation
    if not old_gone and (new_gone or restarted):
        found.append((ChangeType.GONE, old))
    if new_gone:
        return found
    if old_gone or restarted:
        found.append((ChangeType.JOINED, new))
        if not new.leaving:
            return found
    if new.leaving and (restarted or old_gone or not old.leaving):
        found.append((ChangeType.LEAVING, new))
    else:
        found.append((ChangeType.CHANGED, new))
    return found
