"""Interfaces between the replicated state, its host and its users.

The request router, the job scheduler and the operators' interface access
consensus only through `Groups` and other VMs only through `Peers`.
"""

import abc
import dataclasses
import typing
from collections import abc as collections_abc

import msgspec

from laburnumsill.core import codec
from laburnumsill.core import errors

Handler = collections_abc.Callable[[typing.Any], typing.Any]
AsyncHandler = collections_abc.Callable[
    [typing.Any], collections_abc.Awaitable[typing.Any]
]


class Component(abc.ABC):
    """A component of a replicated state machine.

    A component is deterministic: it reads no clock, generates no random
    numbers and does no I/O. A command that needs the time contains the time
    of its proposal. Commands are idempotent by their key, because a proposer
    whose answer was lost proposes its command again. A handler that refuses a
    command raises `errors.LaburnumsillError` to the proposer and must leave
    the state unchanged.
    """

    @property
    @abc.abstractmethod
    def name(self) -> str:
        """The key of this component in a snapshot."""

    @abc.abstractmethod
    def commands(self) -> dict[type, Handler]:
        """Returns the handlers, which may change the state, by command type."""

    @abc.abstractmethod
    def queries(self) -> dict[type, Handler]:
        """Returns the handlers, which are read-only, by query type."""

    @abc.abstractmethod
    def dump(self) -> bytes:
        """Returns the encoded state of this component."""

    @abc.abstractmethod
    def load(self, raw: bytes) -> None:
        """Replaces the state of this component by a result of `dump`."""


@codec.register("replication.confirmation")
class Confirmation(msgspec.Struct, frozen=True):
    """A query that only confirms the leadership of the VM that answers it.

    All state machines answer it with None.
    """


@codec.register("replication.snapshot")
@dataclasses.dataclass(frozen=True, slots=True)
class MachineSnapshot:
    """A snapshot: the dumps of all components, by name."""

    parts: dict[str, bytes]


class StateMachine:
    """A replicated state machine composed of components.

    Commands and queries are passed to the component that handles their type.
    """

    def __init__(self, *components: Component) -> None:
        self._components = {part.name: part for part in components}
        self._commands: dict[type, Handler] = {}
        self._queries: dict[type, Handler] = {}
        for part in components:
            self._commands.update(part.commands())
            self._queries.update(part.queries())
        self._observers: list[Handler] = []

    def component(self, name: str) -> typing.Any:
        """Returns the component with the given name."""
        return self._components[name]

    def observe(self, observer: Handler) -> None:
        """Registers an observer of commands, called after they are applied."""
        self._observers.append(observer)

    def apply(self, command: object) -> object:
        """Applies a committed command and returns its result.

        Raises:
            errors.LaburnumsillError: The component refused the command.
        """
        handler = self._commands.get(type(command))
        if handler is None:
            raise errors.LaburnumsillError(f"no handler for {command!r}")
        result = handler(command)
        for observer in self._observers:
            observer(command)
        return result

    def query(self, query: object) -> object:
        """Answers a query from the current state."""
        if isinstance(query, Confirmation):
            return None
        handler = self._queries.get(type(query))
        if handler is None:
            raise errors.LaburnumsillError(f"no handler for {query!r}")
        return handler(query)

    def dump(self) -> bytes:
        """Returns a snapshot of all components."""
        parts = {name: part.dump() for name, part in self._components.items()}
        return codec.encode(MachineSnapshot(parts))

    def load(self, raw: bytes) -> None:
        """Replaces the state of all components by a snapshot."""
        snapshot: MachineSnapshot = codec.decode(raw)
        for name, part in self._components.items():
            if name in snapshot.parts:
                part.load(snapshot.parts[name])


class Groups(abc.ABC):
    """Access to the replicated groups, on this VM or on others.

    Deadlines are monotonic times. Commands, queries and results are data
    classes registered with the codec.
    """

    @abc.abstractmethod
    async def propose(
        self, group: str, command: object, deadline: float
    ) -> typing.Any:
        """Commits a command and returns the result of applying it.

        Raises:
            errors.UnavailableError: The command was certainly not committed.
            errors.ProposalLostError: The command may have been committed.
            errors.LaburnumsillError: The state machine refused the command.
        """

    @abc.abstractmethod
    async def query(
        self, group: str, query: object, deadline: float
    ) -> typing.Any:
        """Returns the answer of a leader whose leadership is confirmed.

        Raises:
            errors.UnavailableError: No confirmed leader answered in time.
            errors.LaburnumsillError: The state machine refused the query.
        """

    @abc.abstractmethod
    def leads(self, group: str) -> bool:
        """Returns whether this VM believes that it leads the group."""

    @abc.abstractmethod
    def term(self, group: str) -> int:
        """Returns the current term of this VM's replica, 0 without one."""

    @abc.abstractmethod
    def local_state_machine(self, group: str) -> StateMachine | None:
        """Returns this VM's replica, which may lag behind, None without one."""


class LeaderGroups(Groups):
    """Groups as seen by a VM that hosts replicas of them."""

    @abc.abstractmethod
    def lead_confirmed_at(self, group: str, term: int) -> float | None:
        """Returns a monotonic time before which no later term began.

        Unlike `leads`, this stays true however late it is used, also by a VM
        that stood still and does not know yet that another one leads.

        Args:
            group: The name of the group.
            term: The term in which this VM leads.

        Returns:
            When the latest heartbeats were sent that a majority of the voters
            has acknowledged in the term; None if there are none, or if this VM
            does not lead in the term.
        """

    @abc.abstractmethod
    def leader(self, group: str) -> str | None:
        """Returns the leader of a group as known to this VM, or None."""


class Peers(abc.ABC):
    """Calls and notices between VMs, over one connection per pair."""

    @abc.abstractmethod
    async def call(
        self, vm: str, request: object, deadline: float
    ) -> typing.Any:
        """Sends a call, a registered data class, and returns the peer's result.

        Raises:
            errors.PeerUnreachableError: The call was certainly not sent.
            errors.OutcomeUnknownError: The call may have been executed; no
                reply was received.
            errors.LaburnumsillError: The peer's handler raised this error.
        """

    @abc.abstractmethod
    def notify(self, vm: str, notice: object) -> None:
        """Sends a notice, a registered data class, which may be lost."""

    @abc.abstractmethod
    def on_call(self, request_type: type, handler: AsyncHandler) -> None:
        """Registers the asynchronous handler of calls of `request_type`."""

    @abc.abstractmethod
    def on_notice(self, notice_type: type, handler: Handler) -> None:
        """Registers the synchronous handler of notices of `notice_type`."""

    @abc.abstractmethod
    def reachable(self) -> frozenset[str]:
        """Returns this VM and the VMs with contact within the last second."""
