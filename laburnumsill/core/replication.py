"""Interfaces between the replicated state, its host and its users.

`Groups` is all that the request router, the job scheduler and the operators'
interface know of consensus; `Peers` is all that they know of other VMs.
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
    """One part of a replicated state machine.

    A component is deterministic: it reads no clock, draws no random numbers
    and does no I/O. A command carries the time it was proposed at where it
    needs one. Every command is idempotent under its own key, because a
    proposer whose answer was lost proposes it again. A handler may raise
    `errors.LaburnumsillError`; the proposer gets it, and the state must be
    unchanged then.
    """

    @property
    @abc.abstractmethod
    def name(self) -> str:
        """The key of this part in a snapshot."""

    @abc.abstractmethod
    def commands(self) -> dict[type, Handler]:
        """Returns a handler for each command type; each changes state."""

    @abc.abstractmethod
    def queries(self) -> dict[type, Handler]:
        """Returns a handler for each query type; none changes state."""

    @abc.abstractmethod
    def dump(self) -> bytes:
        """Returns the whole state of this part, encoded."""

    @abc.abstractmethod
    def load(self, raw: bytes) -> None:
        """Replaces the state of this part by one that `dump` returned."""


@codec.register("replication.confirmation")
class Confirmation(msgspec.Struct, frozen=True):
    """Asks for nothing but what each answer says: that the lead is confirmed.

    All state machines answer it, with None.
    """


@codec.register("replication.snapshot")
@dataclasses.dataclass(frozen=True, slots=True)
class MachineSnapshot:
    """The dumps of all components, by name."""

    parts: dict[str, bytes]


class StateMachine:
    """A replicated state machine composed of components.

    Commands and queries reach the component that declares their type.
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
        """Returns the component called `name`."""
        return self._components[name]

    def observe(self, observer: Handler) -> None:
        """Calls `observer` with each command after it was applied here."""
        self._observers.append(observer)

    def apply(self, command: object) -> object:
        """Applies a committed command and returns its result.

        Raises:
            errors.LaburnumsillError: The command was refused.
        """
        handler = self._commands.get(type(command))
        if handler is None:
            raise errors.LaburnumsillError(f"no handler for {command!r}")
        result = handler(command)
        for observer in self._observers:
            observer(command)
        return result

    def query(self, query: object) -> object:
        """Answers a query from the present state."""
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
    """Access to the replicated groups, wherever their leaders are.

    Deadlines are monotonic points of the process's clock. Commands, queries
    and results are data classes registered with the codec.
    """

    @abc.abstractmethod
    async def propose(
        self, group: str, command: object, deadline: float
    ) -> typing.Any:
        """Commits a command and returns the result of applying it.

        Raises:
            errors.UnavailableError: The command was certainly not committed.
            errors.ProposalLostError: It may or may not have been committed.
            errors.LaburnumsillError: The state machine refused it.
        """

    @abc.abstractmethod
    async def query(
        self, group: str, query: object, deadline: float
    ) -> typing.Any:
        """Answers a query from a leader that has confirmed its lead.

        Raises:
            errors.UnavailableError: No confirmed leader answered in time.
            errors.LaburnumsillError: The state machine refused it.
        """

    @abc.abstractmethod
    def leads(self, group: str) -> bool:
        """Returns whether this VM leads the group as far as it knows."""

    @abc.abstractmethod
    def term(self, group: str) -> int:
        """Returns the newest term that this VM's replica has seen, or 0."""

    @abc.abstractmethod
    def local_state_machine(self, group: str) -> StateMachine | None:
        """Returns this VM's replica of the group, maybe behind, or None."""


class LeaderGroups(Groups):
    """Groups as seen by a VM that hosts replicas of them."""

    @abc.abstractmethod
    def leader(self, group: str) -> str | None:
        """Returns the VM that leads a group as far as is known here."""


class Peers(abc.ABC):
    """Calls and notices between VMs over one connection a pair."""

    @abc.abstractmethod
    async def call(
        self, vm: str, request: object, deadline: float
    ) -> typing.Any:
        """Sends a registered data class and returns the peer's answer.

        Raises:
            errors.PeerUnreachableError: The request was certainly not sent.
            errors.OutcomeUnknownError: It was sent and no answer came.
            errors.LaburnumsillError: The peer's handler raised it.
        """

    @abc.abstractmethod
    def notify(self, vm: str, notice: object) -> None:
        """Sends a registered data class that may be lost."""

    @abc.abstractmethod
    def on_call(self, request_type: type, handler: AsyncHandler) -> None:
        """Answers calls of `request_type` with an async handler."""

    @abc.abstractmethod
    def on_notice(self, notice_type: type, handler: Handler) -> None:
        """Passes notices of `notice_type` to a synchronous handler."""

    @abc.abstractmethod
    def reachable(self) -> frozenset[str]:
        """Returns the VMs, this one too, heard from within a second."""
