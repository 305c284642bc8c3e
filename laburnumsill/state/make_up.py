"""The make-up of the groups: which VMs are to hold each group's replicas.

The first make-up follows from the VMs in the settings, see
`core.topology.initial_voters`. The root group records what has changed since.
Each change names the voters it replaces, so that of two racing changes one
is refused.
"""

import dataclasses
from collections import abc

from laburnumsill.core import codec
from laburnumsill.core import errors
from laburnumsill.core import replication


class MakeUpChangedError(errors.ConflictError):
    """The group has other voters than the change expected."""

    slug = "make-up-changed"
    title = "The group's make-up was changed meanwhile"


@codec.register("make-up.change")
@dataclasses.dataclass(frozen=True, slots=True)
class ChangeMakeUp:
    """Gives a group other voters.

    Attributes:
        group: The group's name.
        expected: The voters that are replaced, sorted.
        voters: The new voters.
        reason: Why, for people.
    """

    group: str
    expected: tuple[str, ...]
    voters: tuple[str, ...]
    reason: str


@codec.register("make-up.get")
@dataclasses.dataclass(frozen=True, slots=True)
class GetMakeUp:
    """Asks for all changes since the first make-up."""


@codec.register("make-up")
@dataclasses.dataclass(frozen=True, slots=True)
class MakeUp:
    """The changed groups' voters; `revision` grows with each change."""

    revision: int = 0
    changed: dict[str, tuple[str, ...]] = dataclasses.field(
        default_factory=dict
    )

    def over(
        self, first: abc.Mapping[str, abc.Sequence[str]]
    ) -> dict[str, list[str]]:
        """Returns the voters of every group.

        Args:
            first: The first make-up of every group.

        Examples:
            >>> MakeUp(1, {"g": ("c",)}).over({"g": ["a"], "h": ["b"]})
            {'g': ['c'], 'h': ['b']}
        """
        return {
            group: list(self.changed.get(group, voters))
            for group, voters in first.items()
        }


class GroupMakeUp(replication.Component):
    """The part of the root state that holds the groups' make-up."""

    def __init__(self) -> None:
        self._make_up = MakeUp()

    @property
    def name(self) -> str:
        """The key of this part in a snapshot."""
        return "make-up"

    def commands(self) -> dict[type, replication.Handler]:
        """See the base class."""
        return {ChangeMakeUp: self._change}

    def queries(self) -> dict[type, replication.Handler]:
        """See the base class."""
        return {GetMakeUp: lambda query: self._make_up}

    def dump(self) -> bytes:
        """See the base class."""
        return codec.encode(self._make_up)

    def load(self, raw: bytes) -> None:
        """See the base class."""
        self._make_up = codec.decode(raw)

    @property
    def make_up(self) -> MakeUp:
        """The present make-up."""
        return self._make_up

    def _change(self, command: ChangeMakeUp) -> MakeUp:
        voters = tuple(sorted(command.voters))
        present = self._make_up.changed.get(command.group)
        if present == voters:
            return self._make_up
        if present is not None and present != command.expected:
            raise MakeUpChangedError(
                f"{command.group} has the voters {', '.join(present)}",
                group=command.group,
            )
        changed = {**self._make_up.changed, command.group: voters}
        self._make_up = MakeUp(self._make_up.revision + 1, changed)
        return self._make_up
