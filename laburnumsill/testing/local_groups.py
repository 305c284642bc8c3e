"""Groups without replication: one state machine a group, in this process."""

import typing

from laburnumsill.core import codec
from laburnumsill.core import errors
from laburnumsill.core import replication


class LocalGroups(replication.Groups):
    """Applies each proposal at once, for tests and benchmarks.

    Commands and results go through the codec as they do in a real group.

    Attributes:
        unavailable: Names of groups that refuse everything, for tests.
    """

    def __init__(self, machines: dict[str, replication.StateMachine]) -> None:
        self._machines = machines
        self.unavailable: set[str] = set()

    async def propose(
        self, group: str, command: object, deadline: float
    ) -> typing.Any:
        """Applies `command`, see the base class."""
        result = self._machine(group).apply(_coded(command))
        return None if result is None else _coded(result)

    async def query(
        self, group: str, query: object, deadline: float
    ) -> typing.Any:
        """Answers `query`, see the base class."""
        result = self._machine(group).query(_coded(query))
        return None if result is None else _coded(result)

    def leads(self, group: str) -> bool:
        """Returns whether the group is available."""
        return group not in self.unavailable

    def term(self, group: str) -> int:
        """Returns 1."""
        return 1

    def local_state_machine(
        self, group: str
    ) -> replication.StateMachine | None:
        """Returns the group's machine."""
        return self._machines.get(group)

    def _machine(self, group: str) -> replication.StateMachine:
        if group in self.unavailable or group not in self._machines:
            raise errors.NoQuorumError(f"group {group!r} has no leader")
        return self._machines[group]


def _coded(message: object) -> typing.Any:
    return codec.decode(codec.encode(message))
