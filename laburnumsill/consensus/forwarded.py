"""Commands and queries on their way to the leader of a group."""

import typing

import msgspec

from laburnumsill.core import codec
from laburnumsill.core import errors


@codec.register("host.propose")
class ForwardedProposal(msgspec.Struct, frozen=True):
    """A command for the leader of a group.

    Attributes:
        group: The group.
        command: The encoded command.
        deadline: Wall-clock point after which nobody waits any more.
    """

    group: str
    command: bytes
    deadline: float


@codec.register("host.query")
class ForwardedQuery(msgspec.Struct, frozen=True):
    """A query for the leader of a group; fields as above."""

    group: str
    query: bytes
    deadline: float


@codec.register("host.answer")
class Answer(msgspec.Struct, frozen=True):
    """What the state machine made of a forwarded command or query.

    Attributes:
        result: The encoded result, or None.
        refusal: What the state machine raised, or None.
    """

    result: bytes | None = None
    refusal: errors.ErrorRecord | None = None


class Outcome(msgspec.Struct, frozen=True):
    """What the state machine made of a command or query.

    Attributes:
        result: What it returned.
        refusal: What it raised, or None.
    """

    result: typing.Any = None
    refusal: errors.LaburnumsillError | None = None
