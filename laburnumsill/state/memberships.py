"""Desired membership of the Raft groups: the VMs that are voters of each.

The initial voters follow from the VMs in the settings, see
`core.topology.initial_voters`. The root group records only the groups whose
voters have changed since. Each change names the voters it replaces, so that
of two concurrent changes one is refused.
"""

import dataclasses
from collections import abc

from laburnumsill.core import codec
from laburnumsill.core import errors
from laburnumsill.core import replication


class MakeUpChangedError(errors.ConflictError):
    """The group's voters differ from those that the change expected."""

    slug = "make-up-changed"
    title = "The group's make-up was changed meanwhile"


@codec.register("make-up.change")
@dataclasses.dataclass(frozen=True, slots=True)
class ChangeMakeUp:
    """Command that replaces a group's voters; idempotent.

    Attributes:
        group: The group's name.
        expected: The voters that are replaced, sorted.
        voters: The new voters.
        reason: Reason of the change, for operators.
    """

    group: str
    expected: tuple[str, ...]
    voters: tuple[str, ...]
    reason: str


@codec.register("make-up.get")
@dataclasses.dataclass(frozen=True, slots=True)
class GetMakeUp:
    """Query for all changes since the initial membership."""


@codec.register("make-up")
@dataclasses.dataclass(frozen=True, slots=True)
class MakeUp:
    """Voters of the groups that have changed.

    Attributes:
        revision: Number of changes applied.
        changed: The present voters of each changed group, sorted.
    """

    revision: int = 0
    changed: dict[str, tuple[str, ...]] = dataclasses.field(
        default_factory=dict
    )

    def voters_by_group(
        self, initial_voters: abc.Mapping[str, abc.Sequence[str]]
    ) -> dict[str, list[str]]:
        """Returns the present voters of every group.

        Args:
            initial_voters: The initial voters of every group.

        Examples:
            >>> changes = MakeUp(1, {"g": ("c",)})
            >>> changes.voters_by_group({"g": ["a"], "h": ["b"]})
            {'g': ['c'], 'h': ['b']}
        """
        return {
            group: list(self.changed.get(group, voters))
            for group, voters in initial_voters.items()
        }


class GroupMembership(replication.Component):
    """Component of the root machine that holds the groups' membership."""

    def __init__(self) -> None:
        self._membership = MakeUp()

    @property
    def name(self) -> str:
        """The key of this component in a snapshot."""
        return "make-up"

    def commands(self) -> dict[type, replication.Handler]:
        """See the base class."""
        return {ChangeMakeUp: self._change}

    def queries(self) -> dict[type, replication.Handler]:
        """See the base class."""
        return {GetMakeUp: lambda query: self._membership}

    def dump(self) -> bytes:
        """See the base class."""
        return codec.encode(self._membership)

    def load(self, raw: bytes) -> None:
        """See the base class."""
        self._membership = codec.decode(raw)

    @property
    def membership(self) -> MakeUp:
        """All changes since the initial membership."""
        return self._membership

    def _change(self, command: ChangeMakeUp) -> MakeUp:
        voters = tuple(sorted(command.voters))
        present = self._membership.changed.get(command.group)
        if present == voters:
            return self._membership
        if present is not None and present != command.expected:
            raise MakeUpChangedError(
                f"{command.group} has the voters {', '.join(present)}",
                group=command.group,
            )
        changed = {**self._membership.changed, command.group: voters}
        self._membership = MakeUp(self._membership.revision + 1, changed)
        return self._membership
