"""Messages that forward commands and queries to the leader of a group."""

import typing

import msgspec

from laburnumsill.core import codec
from laburnumsill.core import errors


@codec.register("host.propose")
class ForwardedProposal(msgspec.Struct, frozen=True):
    """A command for the leader of a group.

    Attributes:
        group: The name of the group.
        command: The encoded command.
        deadline: When the caller stops waiting, in wall-clock seconds.
    """

    group: str
    command: bytes
    deadline: float


@codec.register("host.query")
class ForwardedQuery(msgspec.Struct, frozen=True):
    """A query for the leader of a group.

    Attributes:
        group: The name of the group.
        query: The encoded query.
        deadline: When the caller stops waiting, in wall-clock seconds.
    """

    group: str
    query: bytes
    deadline: float


@codec.register("host.answer")
class Answer(msgspec.Struct, frozen=True):
    """The encoded outcome of a forwarded command or query.

    Attributes:
        result: The encoded result, or None.
        refusal: The error that the state machine raised, or None.
    """

    result: bytes | None = None
    refusal: errors.ErrorRecord | None = None


class Outcome(msgspec.Struct, frozen=True):
    """The outcome of a command or query.

    Attributes:
        result: The result that the state machine returned, or None.
        refusal: The error that the state machine raised, or None.
    """

    result: typing.Any = None
    refusal: errors.LaburnumsillError | None = None
